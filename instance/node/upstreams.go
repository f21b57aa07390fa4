package node

import (
	"context"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/owner"
	"github.com/papayarail/papayarail/instance/peer"
)

// leavingGrace is the time for which the upstream of a leaving primary is kept while
// another member takes over. Routers stop sending new work to a leaving database at
// once; the guarantee is that it gets none after 3 s.
const leavingGrace = 2 * time.Second

// otherDomainDelay is the time after its start for which an instance without known
// peers takes no upstreams of other failure domains, because it may not know the
// instances there yet.
const otherDomainDelay = 2 * time.Second

// upstreams runs the upstreams that this instance owns.
type upstreams struct {
	node *Node

	mu       sync.Mutex
	owned    map[string]*ownedUpstream  // by name
	retiring map[*owner.Upstream]string // names
	stopping bool
}

type ownedUpstream struct {
	*owner.Upstream
	database     fleet.Database
	leavingSince time.Duration // zero while the database is active
}

func newUpstreams(n *Node) *upstreams {
	return &upstreams{node: n, owned: make(map[string]*ownedUpstream), retiring: make(map[*owner.Upstream]string)}
}

// reconcile starts, adjusts and retires upstreams to match the configuration and the
// placement.
func (s *upstreams) reconcile() {
	_, doc := s.node.view.Document()
	if doc == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := make(map[string]bool)
	for i := range doc.Services {
		service := &doc.Services[i]
		for j := range service.Databases {
			db := &service.Databases[j]
			if s.reconcileUpstream(doc, service, db) {
				wanted[db.Name] = true
			}
		}
	}
	for name, u := range s.owned {
		if !wanted[name] {
			s.retire(name, u)
		}
	}
}

// reconcileUpstream starts or adjusts the upstream of db if this instance owns it,
// and reports whether to keep it. s.mu must be held.
func (s *upstreams) reconcileUpstream(doc *fleet.Document, service *fleet.Service, db *fleet.Database) bool {
	owner, found := s.node.view.Owner(db)
	if !found || owner.Name != s.node.settings.Name || s.stopping {
		return false
	}
	otherDomain := db.FailureDomain != s.node.settings.FailureDomain
	if otherDomain && len(s.node.view.Peers()) == 0 && s.node.now() < otherDomainDelay {
		return false
	}
	u := s.owned[db.Name]
	if u != nil && u.database.Address != db.Address {
		s.retire(db.Name, u)
		u = nil
	}
	if db.State == fleet.Leaving {
		return u != nil && !s.leavingGraceExpired(u)
	}
	if u == nil {
		s.start(doc, service, db)
		return true
	}
	u.leavingSince = 0
	if u.database.Connections != db.Connections || u.database.Slots != db.Slots {
		u.SetBudget(db.Connections, db.Slots)
	}
	u.database = *db
	return true
}

// leavingGraceExpired reports whether a leaving database is to be retired: at once
// if it is a replica, after leavingGrace if it is the primary. s.mu must be held.
func (s *upstreams) leavingGraceExpired(u *ownedUpstream) bool {
	now := s.node.now()
	if u.leavingSince == 0 {
		u.leavingSince = now
	}
	if !u.Health().Primary {
		return true
	}
	return now-u.leavingSince >= leavingGrace
}

func (s *upstreams) start(doc *fleet.Document, service *fleet.Service, db *fleet.Database) {
	s.node.log.WithField("upstream", db.Name).Info("took ownership of an upstream")
	u := owner.Start(s.node.workCtx, owner.Config{
		Instance:    s.node.settings.Name,
		Incarnation: s.node.incarnation,
		MayBeAlive:  s.node.members.mayBeAlive,
		Service:     service.Name,
		Name:        db.Name,
		Address:     db.Address,
		Source:      s.node.settings.Source(),
		GroupSize:   len(service.Databases),
		Connections: db.Connections,
		Slots:       db.Slots,
		Floor:       floors(doc),
		MaxWait:     maxWaits(doc),
		Now:         s.node.now,
		Barrier:     s.node.barrier,
		Log:         s.node.log,
	})
	s.owned[db.Name] = &ownedUpstream{Upstream: u, database: *db}
}

// floors returns for each rank its guaranteed share of the slots' time, 0 to 0.5.
func floors(doc *fleet.Document) [schedule.NumRanks]float64 {
	var out [schedule.NumRanks]float64
	for r := schedule.Rank(0); r < schedule.NumRanks; r++ {
		out[r] = float64(doc.Ranks[fleet.Rank(r.String())].FloorPercent) / 100
	}
	return out
}

// maxWaits returns for each rank its latency target, which is the longest expected
// wait at which a request is admitted. Other requests are refused at once.
func maxWaits(doc *fleet.Document) [schedule.NumRanks]time.Duration {
	var out [schedule.NumRanks]time.Duration
	for r := schedule.Rank(0); r < schedule.NumRanks; r++ {
		out[r] = time.Duration(doc.Ranks[fleet.Rank(r.String())].TargetMS) * time.Millisecond
	}
	return out
}

// retire gives up an upstream and lets it finish its work in the background. s.mu
// must be held.
func (s *upstreams) retire(name string, u *ownedUpstream) {
	s.node.log.WithField("upstream", name).Info("gave up ownership of an upstream")
	delete(s.owned, name)
	s.retiring[u.Upstream] = name
	s.node.goroutines.Go(func() {
		u.Retire(s.node.workCtx)
		s.mu.Lock()
		delete(s.retiring, u.Upstream)
		s.mu.Unlock()
	})
}

// stop retires all upstreams and prevents the start of new ones.
func (s *upstreams) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for name, u := range s.owned {
		s.retire(name, u)
	}
}

// get returns the owned upstream of that name, or nil.
func (s *upstreams) get(name string) *owner.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.owned[name]; u != nil {
		return u.Upstream
	}
	return nil
}

// matching returns the owned and the retiring upstreams of that name, or all of them
// if name is empty.
func (s *upstreams) matching(name string) []*owner.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*owner.Upstream
	for n, u := range s.owned {
		if name == "" || n == name {
			out = append(out, u.Upstream)
		}
	}
	for u, n := range s.retiring {
		if name == "" || n == name {
			out = append(out, u)
		}
	}
	return out
}

// exchange runs r on its upstream. An exchange of an open transaction runs also on
// an upstream that is being retired.
func (s *upstreams) exchange(ctx context.Context, link string, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	if r.Tx != "" && !r.Begins {
		for _, u := range s.matching(r.Upstream) {
			if u.HasTransaction(r.Tx) {
				return u.Exchange(ctx, link, r)
			}
		}
		return nil, verdict.New(verdict.TransactionRolledBack, "the transaction was lost and has been rolled back")
	}
	if u := s.get(r.Upstream); u != nil {
		return u.Exchange(ctx, link, r)
	}
	return nil, verdict.New(verdict.Draining, "instance %q does not own upstream %q", s.node.settings.Name, r.Upstream).WithRetryAfter(ownershipRetryDelay)
}

// quiesce stops the writes on an upstream that this instance owns and waits until
// they have ended.
func (s *upstreams) quiesce(ctx context.Context, r *peer.QuiesceRequest) error {
	u := s.get(r.Upstream)
	if u == nil {
		return verdict.New(verdict.Draining, "instance %q does not own upstream %q", s.node.settings.Name, r.Upstream)
	}
	return u.Quiesce(ctx, r.Limit)
}

// learnRoute passes the term and primary of a route to the upstreams of its service.
func (s *upstreams) learnRoute(r failover.Route) {
	service, found := s.node.view.Service(r.Service)
	if !found {
		return
	}
	for i := range service.Databases {
		for _, u := range s.matching(service.Databases[i].Name) {
			u.LearnTerm(r.Term, string(r.Primary))
		}
	}
}

// barrier returns a position of the service's primary that was confirmed after the
// call. The error is Draining if this instance does not own the primary.
func (s *upstreams) barrier(ctx context.Context, service string) (position.Position, error) {
	route, found := s.node.view.Route(service)
	if !found {
		return position.Position{}, verdict.New(verdict.NoPrimary, "service %q has no known primary", service).WithRetryAfter(ownershipRetryDelay)
	}
	u := s.get(string(route.Primary))
	if u == nil {
		return position.Position{}, verdict.New(verdict.Draining, "instance %q does not own upstream %q", s.node.settings.Name, route.Primary).WithRetryAfter(ownershipRetryDelay)
	}
	return u.Barrier(ctx)
}
