// Package route selects the upstream of a request and the way in which its
// owner proves that the answer is recent enough.
//
// Reads go to replicas as long as their lag allows it, so that the primary keeps
// its slots for writes. Among replicas with the same kind of proof, the order
// follows the load, with a preference for the local failure domain.
package route

import (
	"time"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
)

const (
	// remotePenalty is the load that a member of another failure domain must be
	// below a local one to be preferred; half a round of its slots.
	remotePenalty = 0.5
	// leavingPenalty puts a leaving member behind every other one.
	leavingPenalty = 1e6
	// noPrimaryRetry is the retry delay while no primary is reachable. It is a
	// fraction of the targeted write gap of 3 s.
	noPrimaryRetry = 200 * time.Millisecond
	// minBehindRetry is the least retry delay for a replica that is behind.
	minBehindRetry = 50 * time.Millisecond
	// maxOptions bounds the members tried for one request. A group has at most
	// three members, and a fixed array keeps decisions free of allocations.
	maxOptions = 3
)

// Class is the kind of statement.
type Class uint8

const (
	// Read changes nothing and may be repeated.
	Read Class = iota
	// Write is a single statement that may change data.
	Write
	// Transaction is an explicit transaction, pinned to one connection.
	Transaction
)

// Mode is the consistency that a caller asks for.
type Mode uint8

const (
	// Strict reads see every write acknowledged before they arrived.
	Strict Mode = iota
	// Session reads see everything at or before the token.
	Session
	// Stale reads accept data of a stated age, at or after the token.
	Stale
)

// Rank is the urgency of a request.
type Rank uint8

const (
	// Urgent is served first.
	Urgent Rank = iota
	// Middle is served after Urgent.
	Middle
	// MinPosition is served last.
	Least
)

// Request is what routing needs to know of a request.
type Request struct {
	Class Class
	Mode  Mode
	Rank  Rank
	// Token is the least position that the answer may show; it applies to all modes.
	Token position.Position
	// MaxAge is the accepted age in Mode Stale.
	MaxAge time.Duration
	// TieBreaker is any number that differs between requests. It selects among
	// members that are otherwise equal.
	TieBreaker uint32
}

// State says whether a member takes new work.
type State uint8

const (
	// Active members take work.
	Active State = iota
	// Leaving members take work only if no other member can.
	Leaving
	// Closed members take no new work. A leaving member becomes closed within 3 s.
	Closed
)

// Member is the view of one member of the group.
type Member struct {
	ID            failover.MemberID
	FailureDomain string
	// Reachable is true if the member's owner and the member itself answer.
	Reachable bool
	State     State
	// Lag is the estimated time until the member has applied a new entry.
	Lag time.Duration
	// SetApplied is the last known applied position.
	Applied position.Position
	// Age is the proven age of the data; see AgeTracker.
	Age      time.Duration
	AgeKnown bool
	// Load is the number of running and queued requests per slot.
	Load float64
}

// View is what an instance knows of a service.
type View struct {
	Route    failover.Route
	HasRoute bool
	Members  []Member
	// FailureDomain is that of this instance.
	FailureDomain string
	// ConfirmTime is the usual time until the primary's entries are confirmed.
	ConfirmTime time.Duration
}

// FreshnessProof is the way in which the owner proves that an answer is recent enough.
type FreshnessProof uint8

const (
	// PrimaryConfirmed runs on the primary and is answered through confirm.Tracker:
	// a write when confirmed, a read when a later entry is confirmed.
	PrimaryConfirmed FreshnessProof = iota
	// ReplicaAtPosition runs on a replica at or past Decision.MinPosition.
	ReplicaAtPosition
	// ReplicaAfterBarrier obtains a barrier from the primary's owner and runs on
	// a replica at or past both the barrier and Decision.MinPosition.
	ReplicaAfterBarrier
	// ReplicaByAge runs on a replica at or past Decision.MinPosition whose age is proven
	// to be at most Decision.MaxAge.
	ReplicaByAge
)

// String returns the name of the proof as used in metrics.
func (p FreshnessProof) String() string {
	return [...]string{"primary_confirmed", "replica_at_position", "replica_after_barrier", "replica_by_age"}[p]
}

type option struct {
	upstream failover.MemberID
	proof    FreshnessProof
}

// Decision is an upstream with a proof, or a rejection.
type Decision struct {
	// Reject is set if the request is not to be sent anywhere.
	Reject      *verdict.Error
	Upstream    failover.MemberID
	Proof       FreshnessProof
	MinPosition position.Position
	MaxAge      time.Duration
	// Term is the term of the route, for the owner of the primary.
	Term uint64

	class   Class
	rank    Rank
	options [maxOptions]option
	count   uint8
	next    uint8
}

// Choose selects the first upstream for r.
func Choose(r Request, v View) Decision {
	d := Decision{MinPosition: r.Token, class: r.Class, rank: r.Rank}
	if v.HasRoute {
		d.Term = v.Route.Term
	}
	primary := v.primary()
	if r.Class == Read {
		d.MaxAge = r.MaxAge
		d.addReplicas(r, v, primary != nil)
	}
	if primary != nil && primary.State != Closed {
		d.add(option{primary.ID, PrimaryConfirmed})
	}
	if d.count == 0 {
		d.Reject = v.rejection(r)
		return d
	}
	return d.advance()
}

// Next selects the upstream to try after failure. A write is tried on one
// upstream only, and a failure that another upstream cannot mend is final. A nil
// failure stands for a lost connection.
func Next(d Decision, failure *verdict.Error) Decision {
	if failure == nil {
		failure = verdict.New(verdict.Internal, "the connection to %s was lost", d.Upstream)
	}
	if d.Reject != nil {
		return d
	}
	if d.class != Read || !mendable(failure) {
		d.Reject = failure
		return d
	}
	failed := d.Proof
	for d.next < d.count {
		d = d.advance()
		if d.pointless(failed, failure) {
			continue
		}
		return d
	}
	d.Reject = failure
	return d
}

// mendable reports whether another upstream may succeed where one has failed.
func mendable(e *verdict.Error) bool {
	switch e.Code {
	case verdict.Unsupported, verdict.ProtocolViolation, verdict.UnknownService, verdict.ConnectionLimit:
		return false
	default:
		return e.Verdict != verdict.Ran
	}
}

// pointless reports whether the current option fails for the same reason as the
// previous one: a barrier needs the primary, and a flood of least urgent reads
// that replicas have shed must not reach the primary.
func (d *Decision) pointless(failed FreshnessProof, failure *verdict.Error) bool {
	switch failure.Code {
	case verdict.NoPrimary, verdict.CutOff:
		return failed == PrimaryConfirmed && d.Proof == ReplicaAfterBarrier
	case verdict.Overloaded, verdict.DeadlineUnreachable:
		return d.rank == Least && d.Proof == PrimaryConfirmed
	default:
		return false
	}
}

func (d *Decision) add(o option) {
	if d.count < maxOptions {
		d.options[d.count] = o
		d.count++
	}
}

func (d Decision) advance() Decision {
	o := d.options[d.next]
	d.next++
	d.Upstream = o.upstream
	d.Proof = o.proof
	return d
}

// addReplicas adds the replicas that can serve r, those with a proof at hand
// before those that need a barrier or a short wait.
func (d *Decision) addReplicas(r Request, v View, barrier bool) {
	var used [maxOptions]bool
	for class := range 2 {
		for {
			best, proof := v.best(r, class, barrier, &used)
			if best < 0 {
				break
			}
			used[best] = true
			d.add(option{v.Members[best].ID, proof})
		}
	}
}

// best returns the index of the cheapest unused replica whose proof is at hand
// (class 0) or still to be obtained (class 1), and -1 if there is none.
func (v *View) best(r Request, class int, barrier bool, used *[maxOptions]bool) (int, FreshnessProof) {
	found, foundProof, lowest := -1, PrimaryConfirmed, 0.0
	n := min(len(v.Members), maxOptions)
	for k := range n {
		i := k
		if r.TieBreaker%2 == 1 {
			i = n - 1 - k // the other one of two replicas goes first
		}
		m := &v.Members[i]
		if used[i] || !m.Reachable || m.State == Closed || v.isPrimary(m) {
			continue
		}
		proof, ok := v.proof(r, m, class, barrier)
		if !ok {
			continue
		}
		if cost := v.cost(m); found < 0 || cost < lowest {
			found, foundProof, lowest = i, proof, cost
		}
	}
	return found, foundProof
}

func (v *View) proof(r Request, m *Member, class int, barrier bool) (FreshnessProof, bool) {
	caughtUp := m.Applied.AtLeast(r.Token)
	// A replica within the confirmation time answers no later than the primary.
	prompt := m.Lag <= v.ConfirmTime
	switch {
	case r.Mode == Session && class == 0:
		return ReplicaAtPosition, caughtUp
	case r.Mode == Session:
		return ReplicaAtPosition, prompt
	case r.Mode == Stale && class == 0:
		return ReplicaByAge, caughtUp && m.AgeKnown && m.Age <= r.MaxAge
	default:
		return ReplicaAfterBarrier, class == 1 && barrier && prompt
	}
}

func (v *View) cost(m *Member) float64 {
	cost := m.Load
	if m.FailureDomain != v.FailureDomain {
		cost += remotePenalty
	}
	if m.State == Leaving {
		cost += leavingPenalty
	}
	return cost
}

func (v *View) isPrimary(m *Member) bool { return v.HasRoute && m.ID == v.Route.Primary }

// primary returns the reachable primary.
func (v *View) primary() *Member {
	for i := range v.Members {
		if m := &v.Members[i]; v.isPrimary(m) && m.Reachable {
			return m
		}
	}
	return nil
}

// rejection states why nothing can serve r.
func (v *View) rejection(r Request) *verdict.Error {
	primary := v.primary()
	if primary != nil {
		return verdict.New(verdict.Draining, "primary %s takes no new work", primary.ID).WithRetryAfter(noPrimaryRetry)
	}
	if lag, ok := v.leastLag(); ok && r.Class == Read && r.Mode != Strict {
		return verdict.New(verdict.ReplicaBehind, "no reachable replica of %s is recent enough", v.Route.Service).
			WithRetryAfter(max(lag, minBehindRetry))
	}
	if !v.HasRoute {
		return verdict.New(verdict.NoPrimary, "no primary is known").WithRetryAfter(noPrimaryRetry)
	}
	return verdict.New(verdict.CutOff, "primary %s of %s is not reachable from here", v.Route.Primary, v.Route.Service).
		WithRetryAfter(noPrimaryRetry)
}

// leastLag returns the lowest lag of a reachable replica.
func (v *View) leastLag() (time.Duration, bool) {
	var lowest time.Duration
	found := false
	for i := range v.Members {
		m := &v.Members[i]
		if m.Reachable && m.State != Closed && !v.isPrimary(m) && (!found || m.Lag < lowest) {
			lowest, found = m.Lag, true
		}
	}
	return lowest, found
}
