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
	// unreachableFor is the time for which routing leaves out an upstream whose
	// owner could not be reached.
	unreachableFor = 250 * time.Millisecond
	// observationMaxAge is the time after which an observed lag is ignored, so that
	// a replica that has caught up is chosen again.
	observationMaxAge  = time.Second
	defaultConfirmTime = 5 * time.Millisecond
	// waitPerQueuedRequest converts the expected wait that an owner reports into
	// the number of queued requests that core/route takes as load.
	waitPerQueuedRequest = 2 * time.Millisecond
)

// memberObservation is what the router has learned of an upstream from answers and
// failures.
type memberObservation struct {
	applyLag         time.Duration // usual wait of a replica for a position
	confirmTime      time.Duration // usual wait of a primary for a confirmation
	applied          position.Position
	age              time.Duration // proven bound at observedAt
	ageKnown         bool
	load             schedule.Load
	observedAt       time.Duration
	unreachableUntil time.Duration
}

func (rt *Router) member(name string) *memberObservation {
	m := rt.members[name]
	if m == nil {
		m = &memberObservation{}
		rt.members[name] = m
	}
	return m
}

// observe records what an answer says about its upstream.
func (rt *Router) observe(upstream string, a *peer.ExchangeAnswer) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	m := rt.member(upstream)
	m.observedAt = now
	m.unreachableUntil = 0
	m.applied = position.Max(m.applied, a.Applied)
	m.applyLag, m.confirmTime = a.ApplyLag, a.ConfirmTime
	m.age, m.ageKnown = a.Age, a.AgeKnown
	m.load = a.Load
	rt.admission.RecordLoad(upstream, a.Load, now)
}

// observeFailure records a failure that says something about the upstream. waiting
// tells that the request had neither been cancelled nor reached its deadline:
// otherwise a lost answer is no sign that the upstream is unreachable.
func (rt *Router) observeFailure(upstream string, o options, err *verdict.Error, waiting bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	m := rt.member(upstream)
	switch err.Code {
	case verdict.CutOff, verdict.Draining, verdict.OutcomeUnknown, verdict.Internal:
		if waiting {
			m.unreachableUntil = now + unreachableFor
		}
	case verdict.ReplicaBehind:
		m.applyLag = max(m.applyLag, err.RetryAfter)
		m.observedAt = now
	case verdict.DeadlineUnreachable:
		// Missing a deadline shorter than the target of the rank is no sign of
		// overload, and must not delay other sessions of the same caller.
		if o.deadline < o.target {
			return
		}
		rt.admission.RecordRefusal(upstream, o.caller, o.rank, err.RetryAfter, now)
	case verdict.Overloaded:
		rt.admission.RecordRefusal(upstream, o.caller, o.rank, err.RetryAfter, now)
	}
}

// routeView collects the state of a service's members that core/route decides on.
func (rt *Router) routeView(s *fleet.Service, rank schedule.Rank) route.View {
	r, known := rt.view.Route(s.Name)
	v := route.View{Route: r, HasRoute: known, FailureDomain: rt.failureDomain, ConfirmTime: defaultConfirmTime}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	for i := range s.Databases {
		db := &s.Databases[i]
		m := rt.member(db.Name)
		_, owned := rt.view.Owner(db)
		member := route.Member{
			ID:            failover.MemberID(db.Name),
			FailureDomain: db.FailureDomain,
			Reachable:     owned && now >= m.unreachableUntil,
			State:         routeStates[db.State],
			Applied:       m.applied,
			Load:          float64(m.load.Wait[rank]) / float64(waitPerQueuedRequest),
		}
		if now-m.observedAt < observationMaxAge {
			member.Lag = m.applyLag
			member.Age = m.age + now - m.observedAt
		}
		// An owner proves the age when a read with a maximum age arrives, so a
		// member of unknown age is offered as if its age were 0.
		member.AgeKnown = true
		if !m.ageKnown {
			member.Age = 0
		}
		if known && member.ID == r.Primary && m.confirmTime > 0 {
			v.ConfirmTime = max(m.confirmTime, defaultConfirmTime)
		}
		v.Members = append(v.Members, member)
	}
	return v
}

var routeStates = map[fleet.State]route.State{
	fleet.Active:  route.Active,
	fleet.Leaving: route.Leaving,
}

// asVerdict returns the *verdict.Error in err, or wraps err as an internal error.
func asVerdict(err error) *verdict.Error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	return verdict.New(verdict.Internal, "%v", err)
}
