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

// coordinators keeps one failover coordinator per service. A coordinator is active if
// the placement assigns its service to this instance.
type coordinators struct {
	node *Node

	mu       sync.Mutex
	services map[string]*serviceCoordinator
}

type serviceCoordinator struct {
	*coordinator.Coordinator
	cancel       context.CancelFunc
	databases    []fleet.Database
	replacedTerm uint64 // term whose primary is being or has been replaced
}

const (
	// quiesceTimeout bounds the wait for open transactions on a leaving primary,
	// which must get no new work after 3 s.
	quiesceTimeout = 2 * time.Second
	// quiesceDuration is the time for which new writes are refused on a leaving
	// primary. It covers quiesceTimeout and the switchover after it.
	quiesceDuration = 3 * time.Second
)

func newCoordinators(n *Node) *coordinators {
	return &coordinators{node: n, services: make(map[string]*serviceCoordinator)}
}

// reconcile starts, stops, activates and deactivates coordinators to match the
// configuration and the placement.
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
			c.replacePrimary(running, route)
		}
	}
}

// replacePrimary starts the replacement of a primary whose database is leaving,
// after the writes on it have ended. It acts once per term. c.mu must be held.
func (c *coordinators) replacePrimary(running *serviceCoordinator, route failover.Route) {
	if !running.Active() || running.replacedTerm == route.Term {
		return
	}
	running.replacedTerm = route.Term
	go func() {
		ctx, cancel := context.WithTimeout(c.node.workCtx, quiesceTimeout)
		defer cancel()
		if err := c.node.quiesce(ctx, route.Service, string(route.Primary), quiesceDuration); err != nil {
			c.node.log.WithError(err).WithField("upstream", route.Primary).Warn("the leaving primary was not quiesced")
		}
		running.ReplacePrimary(string(route.Primary))
	}()
}

// start creates the inactive coordinator of a service. c.mu must be held.
func (c *coordinators) start(s *fleet.Service) *serviceCoordinator {
	ctx, cancel := context.WithCancel(c.node.workCtx)
	out := &serviceCoordinator{cancel: cancel, databases: s.Databases}
	out.Coordinator = coordinator.New(ctx, coordinator.Config{
		Instance:    c.node.settings.Name,
		Incarnation: c.node.incarnation,
		Service:     s,
		Now:         c.node.now,
		Source:      c.node.settings.Source(),
		Reserver:    storeReserver{c.node.registry},
		Quiesce:     c.node.quiesce,
		Announce:    c.node.announceRoute,
		Log:         c.node.log,
	})
	if route, found := c.node.view.Route(s.Name); found {
		out.LearnRoute(route)
	}
	return out
}

// learn passes a route from a peer to the coordinator of its service.
func (c *coordinators) learn(r failover.Route) {
	c.mu.Lock()
	running := c.services[r.Service]
	c.mu.Unlock()
	if running != nil {
		running.LearnRoute(r)
	}
}

// active returns the names of the services whose failover this instance coordinates.
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

// storeReserver implements coordinator.Reserver with the registry on the platform.
type storeReserver struct{ registry *registry.Registry }

func (r storeReserver) Reserve(ctx context.Context, service string, term uint64, attempt string) failover.ReserveOutcome {
	result, _ := r.registry.Reserve(ctx, service, term, attempt)
	switch result {
	case registry.Won:
		return failover.ReserveWon
	case registry.Lost:
		return failover.ReserveLost
	default:
		return failover.ReserveUnavailable
	}
}
