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

// leavingGrace is the time that a leaving database keeps its work while its
// replacement as primary takes over. Router instances stop sending at once; the
// guarantee is 3 s.
const leavingGrace = 2 * time.Second

// foreignOwnerDelay keeps an instance that has just started from taking the
// upstreams of other failure domains before it has heard of their instances.
const foreignOwnerDelay = 2 * time.Second

// upstreams runs the upstreams that this instance owns.
type upstreams struct {
	node *Node

	mu       sync.Mutex
	owned    map[string]*ownedUpstream
	retiring map[*owner.Upstream]string
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

// reconcile starts and retires upstreams so that they match the placement.
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
			if s.keep(doc, service, db) {
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

// keep reports whether this instance owns db, and starts or adjusts it if so;
// the caller holds mu.
func (s *upstreams) keep(doc *fleet.Document, service *fleet.Service, db *fleet.Database) bool {
	name, found := s.node.view.Owner(db)
	if !found || name.Name != s.node.settings.Name || s.stopping {
		return false
	}
	foreign := db.FailureDomain != s.node.settings.FailureDomain
	if foreign && len(s.node.view.Peers()) == 0 && s.node.now() < foreignOwnerDelay {
		return false
	}
	u := s.owned[db.Name]
	if u != nil && u.database.Address != db.Address {
		s.retire(db.Name, u)
		u = nil
	}
	if db.State == fleet.Leaving {
		return u != nil && !s.graceOver(u)
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

// graceOver reports whether a leaving database must get no more work.
func (s *upstreams) graceOver(u *ownedUpstream) bool {
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
		Incarnation: s.node.birth,
		MayBeAlive:  s.node.members.alive,
		Service:     service.Name,
		Name:        db.Name,
		Address:     db.Address,
		Source:      s.node.settings.Source(),
		GroupSize:   len(service.Databases),
		Connections: db.Connections,
		Slots:       db.Slots,
		Floor:       floors(doc),
		MaxWait:     targets(doc),
		Now:         s.node.now,
		Barrier:     s.node.barrier,
		Log:         s.node.log,
	})
	s.owned[db.Name] = &ownedUpstream{Upstream: u, database: *db}
}

func floors(doc *fleet.Document) [schedule.NumRanks]float64 {
	var out [schedule.NumRanks]float64
	for r := schedule.Rank(0); r < schedule.NumRanks; r++ {
		out[r] = float64(doc.Ranks[fleet.Rank(r.String())].FloorPercent) / 100
	}
	return out
}

// targets returns the longest wait at which a rank is accepted: a request that
// would wait longer than its rank's target is refused at once instead.
func targets(doc *fleet.Document) [schedule.NumRanks]time.Duration {
	var out [schedule.NumRanks]time.Duration
	for r := schedule.Rank(0); r < schedule.NumRanks; r++ {
		out[r] = time.Duration(doc.Ranks[fleet.Rank(r.String())].TargetMS) * time.Millisecond
	}
	return out
}

// retire lets an upstream finish its work; the caller holds mu.
func (s *upstreams) retire(name string, u *ownedUpstream) {
	s.node.log.WithField("upstream", name).Info("gave up ownership of an upstream")
	delete(s.owned, name)
	s.retiring[u.Upstream] = name
	s.node.work.Go(func() {
		u.Retire(s.node.workCtx)
		s.mu.Lock()
		delete(s.retiring, u.Upstream)
		s.mu.Unlock()
	})
}

// stop retires all upstreams; new ones are no longer started.
func (s *upstreams) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for name, u := range s.owned {
		s.retire(name, u)
	}
}

func (s *upstreams) get(name string) *owner.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.owned[name]; u != nil {
		return u.Upstream
	}
	return nil
}

// all returns the owned and the retiring upstreams of that name; an empty name
// selects all.
func (s *upstreams) all(name string) []*owner.Upstream {
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

// exchange runs r on the upstream. The exchanges of an open transaction also
// reach upstreams that are being retired.
func (s *upstreams) exchange(ctx context.Context, link string, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	if r.Tx != "" && !r.Begins {
		for _, u := range s.all(r.Upstream) {
			if u.HasTransaction(r.Tx) {
				return u.Exchange(ctx, link, r)
			}
		}
		return nil, verdict.New(verdict.TransactionRolledBack, "the transaction was lost and has been rolled back")
	}
	if u := s.get(r.Upstream); u != nil {
		return u.Exchange(ctx, link, r)
	}
	return nil, verdict.New(verdict.Draining, "instance %q does not own upstream %q", s.node.settings.Name, r.Upstream).WithRetryAfter(notOwnerDelay)
}

// quiesce stops the writes of an upstream that this instance owns.
func (s *upstreams) quiesce(ctx context.Context, r *peer.QuiesceRequest) error {
	u := s.get(r.Upstream)
	if u == nil {
		return verdict.New(verdict.Draining, "instance %q does not own upstream %q", s.node.settings.Name, r.Upstream)
	}
	return u.Quiesce(ctx, r.Limit)
}

// learnRoute tells the upstreams of a service of its new term.
func (s *upstreams) learnRoute(r failover.Route) {
	service, found := s.node.view.Service(r.Service)
	if !found {
		return
	}
	for i := range service.Databases {
		for _, u := range s.all(service.Databases[i].Name) {
			u.LearnTerm(r.Term, string(r.Primary))
		}
	}
}

// barrier asks this instance's upstreams for a confirmed position of the service.
func (s *upstreams) barrier(ctx context.Context, service string) (position.Position, error) {
	route, found := s.node.view.Route(service)
	if !found {
		return position.Position{}, verdict.New(verdict.NoPrimary, "service %q has no known primary", service).WithRetryAfter(notOwnerDelay)
	}
	u := s.get(string(route.Primary))
	if u == nil {
		return position.Position{}, verdict.New(verdict.Draining, "instance %q does not own upstream %q", s.node.settings.Name, route.Primary).WithRetryAfter(notOwnerDelay)
	}
	return u.Barrier(ctx)
}
