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
	applyLag         time.Duration // moving average of the wait until a replica has applied a required position
	confirmTime      time.Duration // moving average of the wait until a quorum has confirmed a commit or the primary
	applied          position.Position
	age              time.Duration // proven bound at observedAt
	ageKnown         bool
	load             schedule.Load
	observedAt       time.Duration
	unreachableUntil time.Duration
}

// observation returns what is known of the upstream. rt.mu must be held.
func (rt *Router) observation(name string) *memberObservation {
	observed := rt.observations[name]
	if observed == nil {
		observed = &memberObservation{}
		rt.observations[name] = observed
	}
	return observed
}

// observe records what an answer says about its upstream.
func (rt *Router) observe(upstream string, answer *peer.ExchangeAnswer) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	observed := rt.observation(upstream)
	observed.observedAt = now
	observed.unreachableUntil = 0
	observed.applied = position.Max(observed.applied, answer.Applied)
	observed.applyLag, observed.confirmTime = answer.ApplyLag, answer.ConfirmTime
	observed.age, observed.ageKnown = answer.Age, answer.AgeKnown
	observed.load = answer.Load
	rt.admission.RecordLoad(upstream, answer.Load, now)
}

// observeFailure records a failure that says something about the upstream. active
// means that the request had neither been cancelled nor reached its deadline;
// otherwise a lost answer is no sign that the upstream is unreachable.
func (rt *Router) observeFailure(upstream string, opts options, err *verdict.Error, active bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	observed := rt.observation(upstream)
	switch err.Code {
	case verdict.CutOff, verdict.Draining, verdict.OutcomeUnknown, verdict.Internal:
		if active {
			observed.unreachableUntil = now + unreachableFor
		}
	case verdict.ReplicaBehind:
		observed.applyLag = max(observed.applyLag, err.RetryAfter)
		observed.observedAt = now
	case verdict.DeadlineUnreachable:
		// Missing a deadline shorter than the target of the rank is no sign of
		// overload, and must not delay other sessions of the same caller.
		if opts.timeout < opts.target {
			return
		}
		rt.admission.RecordRefusal(upstream, opts.caller, opts.rank, err.RetryAfter, now)
	case verdict.Overloaded:
		rt.admission.RecordRefusal(upstream, opts.caller, opts.rank, err.RetryAfter, now)
	}
}

// routeView collects the state of a service's members that core/route decides on.
func (rt *Router) routeView(service *fleet.Service, rank schedule.Rank) route.View {
	r, known := rt.view.Route(service.Name)
	v := route.View{Route: r, HasRoute: known, FailureDomain: rt.failureDomain, ConfirmTime: defaultConfirmTime}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := rt.now()
	for i := range service.Databases {
		db := &service.Databases[i]
		observed := rt.observation(db.Name)
		_, owned := rt.view.Owner(db)
		member := route.Member{
			ID:            failover.MemberID(db.Name),
			FailureDomain: db.FailureDomain,
			Reachable:     owned && now >= observed.unreachableUntil,
			State:         routeStates[db.State],
			Applied:       observed.applied,
			Load:          float64(observed.load.Wait[rank]) / float64(waitPerQueuedRequest),
		}
		if now-observed.observedAt < observationMaxAge {
			member.Lag = observed.applyLag
			member.Age = observed.age + now - observed.observedAt
		}
		// An owner proves the age when a read with a maximum age arrives, so a
		// member of unknown age is offered as if its age were 0.
		member.AgeKnown = true
		if !observed.ageKnown {
			member.Age = 0
		}
		if known && member.ID == r.Primary && observed.confirmTime > 0 {
			v.ConfirmTime = max(observed.confirmTime, defaultConfirmTime)
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
