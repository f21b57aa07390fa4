package router

import (
	"errors"
	"time"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/peer"
)

const (
	// unreachableFor keeps an upstream whose owner could not be reached out of
	// the choice.
	unreachableFor = 250 * time.Millisecond
	// observationLifetime is the time after which a lag is forgotten, so that a
	// replica that has caught up is noticed.
	observationLifetime = time.Second
	defaultConfirm      = 5 * time.Millisecond
	// loadUnit is the estimated wait that counts as one queued request.
	loadUnit = 2 * time.Millisecond
)

// memberState is what this entry has observed of an upstream.
type memberState struct {
	lag              time.Duration
	confirm          time.Duration
	applied          position.Position
	age              time.Duration
	ageKnown         bool
	load             schedule.Load
	seen             time.Duration
	unreachableUntil time.Duration
}

func (e *Router) member(name string) *memberState {
	m := e.members[name]
	if m == nil {
		m = &memberState{}
		e.members[name] = m
	}
	return m
}

// observe takes in what an answer says about its upstream.
func (e *Router) observe(upstream string, a *peer.ExchangeAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	m := e.member(upstream)
	m.seen = now
	m.unreachableUntil = 0
	m.applied = position.Max(m.applied, a.Applied)
	m.lag, m.confirm = a.Lag, a.ConfirmTime
	m.age, m.ageKnown = a.Age, a.AgeKnown
	m.load = a.Load
	e.door.RecordLoad(upstream, a.Load, now)
}

// observeFailure takes in a failure that says something about the upstream. It
// says so only if the caller was still waiting, because the end of a caller's own
// deadline shows nothing about the upstream.
func (e *Router) observeFailure(upstream string, o options, err *verdict.Error, waiting bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	m := e.member(upstream)
	switch err.Code {
	case verdict.CutOff, verdict.Draining, verdict.OutcomeUnknown, verdict.Internal:
		if waiting {
			m.unreachableUntil = now + unreachableFor
		}
	case verdict.ReplicaBehind:
		m.lag = max(m.lag, err.RetryAfter)
		m.seen = now
	case verdict.DeadlineUnreachable:
		// A deadline shorter than the target of the rank is no sign of load, and
		// must not hold back other sessions of the same caller.
		if o.deadline < o.target {
			return
		}
		e.door.RecordRefusal(upstream, o.caller, o.rank, err.RetryAfter, now)
	case verdict.Overloaded:
		e.door.RecordRefusal(upstream, o.caller, o.rank, err.RetryAfter, now)
	}
}

// routeView gathers what core/route needs to know of a service.
func (e *Router) routeView(s *fleet.Service, rank schedule.Rank) route.View {
	r, known := e.view.Route(s.Name)
	v := route.View{Route: r, HasRoute: known, FailureDomain: e.domain, ConfirmTime: defaultConfirm}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for i := range s.Databases {
		db := &s.Databases[i]
		m := e.member(db.Name)
		_, owned := e.view.Owner(db)
		x := route.Member{
			ID:            failover.MemberID(db.Name),
			FailureDomain: db.FailureDomain,
			Reachable:     owned && now >= m.unreachableUntil,
			State:         memberStates[db.State],
			Applied:       m.applied,
			Load:          float64(m.load.Wait[rank]) / float64(loadUnit),
		}
		if now-m.seen < observationLifetime {
			x.Lag = m.lag
			x.Age = m.age + now - m.seen
		}
		// An owner proves ages from the first read that asks for one, so that a
		// member whose age is not known is worth a try.
		x.AgeKnown = true
		if !m.ageKnown {
			x.Age = 0
		}
		if known && x.ID == r.Primary && m.confirm > 0 {
			v.ConfirmTime = max(m.confirm, defaultConfirm)
		}
		v.Members = append(v.Members, x)
	}
	return v
}

var memberStates = map[fleet.State]route.State{
	fleet.Active:  route.Active,
	fleet.Leaving: route.Leaving,
}

// asVerdict returns the verdict inside err.
func asVerdict(err error) *verdict.Error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	return verdict.New(verdict.Internal, "%v", err)
}
