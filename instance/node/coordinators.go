package node

import (
	"context"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/coordinator"
	"github.com/papayarail/papayarail/store/registry"
)

// coordinators runs one failover coordinator per service; only those that the
// placement assigns to this instance are active.
type coordinators struct {
	node *Node

	mu       sync.Mutex
	services map[string]*serviceCoordinator
}

type serviceCoordinator struct {
	*coordinator.Coordinator
	cancel    context.CancelFunc
	databases []fleet.Database
	replacing uint64 // term whose primary is being replaced
}

const (
	// quiesceTimeout bounds the wait for open transactions on a leaving primary,
	// which must get no new work after 3 s.
	quiesceTimeout = 2 * time.Second
	// quiesceLimit covers quiesceTimeout and the change of primary after it.
	quiesceLimit = 3 * time.Second
)

func newCoordinators(n *Node) *coordinators {
	return &coordinators{node: n, services: make(map[string]*serviceCoordinator)}
}

// reconcile matches the coordinators to the configuration and the placement.
func (c *coordinators) reconcile() {
	_, doc := c.node.view.Document()
	if doc == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	live := c.node.view.LiveByDomain()
	for i := range doc.Services {
		c.reconcileService(&doc.Services[i], live)
	}
	for name, running := range c.services {
		if _, found := c.node.view.Service(name); !found {
			running.cancel()
			delete(c.services, name)
		}
	}
}

func (c *coordinators) reconcileService(s *fleet.Service, live map[string]int) {
	running := c.services[s.Name]
	if running != nil && !sameMembers(running.databases, s.Databases) {
		running.cancel()
		running = nil
	}
	if running == nil {
		running = c.start(s)
		c.services[s.Name] = running
	}
	running.SetActive(c.node.view.IsCoordinator(s.Name))
	running.SetLiveInstances(live)
	route, known := c.node.view.Route(s.Name)
	for _, db := range s.Databases {
		if known && db.State == fleet.Leaving && db.Name == string(route.Primary) {
			c.replace(running, route)
		}
	}
}

// replace moves the primary away from a leaving database, after the writes on it
// have ended. It acts once per term; the caller holds mu.
func (c *coordinators) replace(running *serviceCoordinator, route failover.Route) {
	if !running.Active() || running.replacing == route.Term {
		return
	}
	running.replacing = route.Term
	go func() {
		ctx, cancel := context.WithTimeout(c.node.workCtx, quiesceTimeout)
		defer cancel()
		if err := c.node.quiesce(ctx, route.Service, string(route.Primary), quiesceLimit); err != nil {
			c.node.log.WithError(err).WithField("upstream", route.Primary).Warn("the leaving primary was not quiesced")
		}
		running.ReplacePrimary(string(route.Primary))
	}()
}

func (c *coordinators) start(s *fleet.Service) *serviceCoordinator {
	ctx, cancel := context.WithCancel(c.node.workCtx)
	out := &serviceCoordinator{cancel: cancel, databases: s.Databases}
	out.Coordinator = coordinator.New(ctx, coordinator.Config{
		Instance:    c.node.settings.Name,
		Incarnation: c.node.birth,
		Service:     s,
		Now:         c.node.now,
		Source:      c.node.settings.Source(),
		Reserver:    reserver{c.node.register},
		Quiesce:     c.node.quiesce,
		Announce:    c.node.announceRoute,
		Log:         c.node.log,
	})
	if route, found := c.node.view.Route(s.Name); found {
		out.LearnRoute(route)
	}
	return out
}

func (c *coordinators) learn(r failover.Route) {
	c.mu.Lock()
	running := c.services[r.Service]
	c.mu.Unlock()
	if running != nil {
		running.LearnRoute(r)
	}
}

// active returns the services whose failover this instance coordinates.
func (c *coordinators) active() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, s := range c.services {
		if s.Active() {
			out = append(out, name)
		}
	}
	return out
}

func sameMembers(a, b []fleet.Database) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Address != b[i].Address || a[i].FailureDomain != b[i].FailureDomain {
			return false
		}
	}
	return true
}

// reserver adapts the platform's register to the coordinator.
type reserver struct{ register *registry.Registry }

func (r reserver) Reserve(ctx context.Context, service string, term uint64, attempt string) failover.ReserveOutcome {
	result, _ := r.register.Reserve(ctx, service, term, attempt)
	switch result {
	case registry.Won:
		return failover.ReserveWon
	case registry.Lost:
		return failover.ReserveLost
	default:
		return failover.ReserveUnavailable
	}
}
