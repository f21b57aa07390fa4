// Package route selects the upstream that serves a request, and the fallbacks
// for it, from the requested consistency and the replication lag of the members
// of a database group. Each option comes with the way in which the owner of the
// upstream proves that the answer is fresh enough.
//
// Reads go to replicas as long as their lag allows it, so that the primary keeps
// its slots for writes. Replicas with the same kind of proof are ordered by load,
// with a preference for the local failure domain.
package route

import (
	"time"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
)

const (
	// remotePenalty is added to the load of a member of another failure domain, in
	// requests per slot: it is preferred only if its load is lower by half a
	// request per slot than that of a local member.
	remotePenalty = 0.5
	// leavingPenalty is added to the load of a leaving member, in requests per
	// slot, and puts it behind every other member.
	leavingPenalty = 1e6
	// noPrimaryRetry is the retry delay sent to callers while no primary is
	// reachable: a fraction of the target of 3 s for the write gap of a failover.
	noPrimaryRetry = 200 * time.Millisecond
	// minBehindRetry is the minimum retry delay sent to callers while all replicas
	// lag too far behind.
	minBehindRetry = 50 * time.Millisecond
	// maxOptions limits the members tried for one request. A group has at most
	// three members, and an array of fixed size avoids an allocation per decision.
	maxOptions = 3
)

// Class is the kind of statement.
type Class uint8

const (
	// Read changes no data and may be retried.
	Read Class = iota
	// Write is a single statement that may change data.
	Write
	// Transaction is an explicit transaction, which is pinned to one connection.
	Transaction
)

// Consistency is the consistency level that a caller requests.
type Consistency uint8

const (
	// Strict reads are linearizable: they see every write that was acknowledged
	// before they arrived.
	Strict Consistency = iota
	// Session reads see every write at or before the position of their token.
	Session
	// Stale reads accept data up to a given age that includes the position of
	// their token.
	Stale
)

// Rank is the priority of a request.
type Rank uint8

const (
	// Urgent is served first.
	Urgent Rank = iota
	// Middle is served after Urgent.
	Middle
	// Least is served last.
	Least
)

// Request holds the properties of a request that determine its upstream.
type Request struct {
	Class       Class
	Consistency Consistency
	Rank        Rank
	// Token is the minimum position that the answer must reflect, at every consistency.
	Token position.Position
	// MaxAge is the staleness bound of a Stale read.
	MaxAge time.Duration
	// TieBreaker is a number that differs between requests. It distributes
	// requests over members of equal cost.
	TieBreaker uint32
}

// State says whether a member accepts new requests.
type State uint8

const (
	// Active members accept requests.
	Active State = iota
	// Leaving members accept requests only if no other member can.
	Leaving
	// Closed members accept no requests. A leaving member becomes closed within 3 s.
	Closed
)

// Member is what an instance knows of one member of a database group.
type Member struct {
	ID            failover.MemberID
	FailureDomain string
	// Reachable reports whether both the member and the instance that owns it
	// respond.
	Reachable bool
	State     State
	// Lag is the estimated time until the member has applied a new log entry.
	Lag time.Duration
	// Applied is the last known applied position.
	Applied position.Position
	// Age is the upper bound of the age of the data that AgeTracker has proven. It
	// is valid only if AgeKnown is set.
	Age      time.Duration
	AgeKnown bool
	// Load is the number of running and queued requests per slot.
	Load float64
}

// View is what an instance knows of the database group of a service.
type View struct {
	Route    failover.Route
	HasRoute bool
	Members  []Member
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// ConfirmTime is the usual time until a log entry of the primary is confirmed
	// by a quorum.
	ConfirmTime time.Duration
}

// FreshnessProof is the way in which the owner of an upstream proves that an
// answer is fresh enough.
type FreshnessProof uint8

const (
	// PrimaryConfirmed executes the request on the primary and holds the answer
	// back, by means of confirm.Tracker: for a write until it is confirmed, for a
	// read until a later log entry is confirmed.
	PrimaryConfirmed FreshnessProof = iota
	// ReplicaAtPosition executes the request on a replica that has applied
	// Decision.MinPosition.
	ReplicaAtPosition
	// ReplicaAfterBarrier requests a barrier (a position after every acknowledged
	// write) from the owner of the primary, and executes the request on a replica
	// that has applied both the barrier and Decision.MinPosition.
	ReplicaAfterBarrier
	// ReplicaByAge executes the request on a replica that has applied
	// Decision.MinPosition and whose data is proven to be no older than
	// Decision.MaxAge.
	ReplicaByAge
)

// String returns the name of p as used in metrics.
func (p FreshnessProof) String() string {
	return [...]string{"primary_confirmed", "replica_at_position", "replica_after_barrier", "replica_by_age"}[p]
}

// option is one upstream that can serve a request.
type option struct {
	upstream failover.MemberID
	proof    FreshnessProof
}

// Decision is the upstream to which a request is sent, or its rejection.
type Decision struct {
	// Reject is the error returned to the caller; nil if the request is to be sent
	// to Upstream.
	Reject      *verdict.Error
	Upstream    failover.MemberID
	Proof       FreshnessProof
	MinPosition position.Position // see FreshnessProof
	MaxAge      time.Duration     // see ReplicaByAge
	// Term is the term of the route on which the decision is based. The owner of
	// the primary verifies it.
	Term uint64

	class   Class
	rank    Rank
	options [maxOptions]option // in the order in which they are tried
	count   uint8              // number of options
	next    uint8              // index of the option after the current one
}

// Choose returns the first upstream for r, or a rejection if none can serve it.
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
		d.addOption(option{primary.ID, PrimaryConfirmed})
	}
	if d.count == 0 {
		d.Reject = v.rejection(r)
		return d
	}
	return d.selectNext()
}

// Next returns the upstream to try after d has failed. A write is tried on one
// upstream only, and an error that every upstream would return is final. A nil
// failure means that the connection was lost.
func Next(d Decision, failure *verdict.Error) Decision {
	if failure == nil {
		failure = verdict.New(verdict.Internal, "the connection to %s was lost", d.Upstream)
	}
	if d.Reject != nil {
		return d
	}
	if d.class != Read || !retryable(failure) {
		d.Reject = failure
		return d
	}
	failedProof := d.Proof
	for d.next < d.count {
		d = d.selectNext()
		if d.sharesCause(failedProof, failure) {
			continue
		}
		return d
	}
	d.Reject = failure
	return d
}

// retryable reports whether another upstream may succeed after e. An error of a request
// that the database has executed (verdict.Ran) is final.
func retryable(e *verdict.Error) bool {
	switch e.Code {
	case verdict.Unsupported, verdict.ProtocolViolation, verdict.UnknownService, verdict.ConnectionLimit:
		return false
	default:
		return e.Verdict != verdict.Ran
	}
}

// sharesCause reports whether the current option would fail for the same reason
// as the previous one: a barrier needs the primary, and a flood of reads of rank
// Least that replicas have shed must not reach the primary.
func (d *Decision) sharesCause(failedProof FreshnessProof, failure *verdict.Error) bool {
	switch failure.Code {
	case verdict.NoPrimary, verdict.CutOff:
		return failedProof == PrimaryConfirmed && d.Proof == ReplicaAfterBarrier
	case verdict.Overloaded, verdict.DeadlineUnreachable:
		return d.rank == Least && d.Proof == PrimaryConfirmed
	default:
		return false
	}
}

func (d *Decision) addOption(o option) {
	if d.count < maxOptions {
		d.options[d.count] = o
		d.count++
	}
}

func (d Decision) selectNext() Decision {
	o := d.options[d.next]
	d.next++
	d.Upstream = o.upstream
	d.Proof = o.proof
	return d
}

// addReplicas adds the replicas that can serve r: first those that can answer
// immediately, then those that need a barrier or a short wait.
func (d *Decision) addReplicas(r Request, v View, primaryReachable bool) {
	var used [maxOptions]bool
	for pass := range 2 {
		for {
			replica, proof := v.cheapestReplica(r, pass, primaryReachable, &used)
			if replica < 0 {
				break
			}
			used[replica] = true
			d.addOption(option{v.Members[replica].ID, proof})
		}
	}
}

// cheapestReplica returns the index of the unused replica with the lowest cost
// that can answer immediately (pass 0) or after a barrier or a short wait
// (pass 1), and -1 if there is none.
func (v *View) cheapestReplica(r Request, pass int, primaryReachable bool, used *[maxOptions]bool) (int, FreshnessProof) {
	cheapest, cheapestProof, lowestCost := -1, PrimaryConfirmed, 0.0
	n := min(len(v.Members), maxOptions)
	for k := range n {
		i := k
		if r.TieBreaker%2 == 1 {
			i = n - 1 - k // alternates between two replicas of equal cost
		}
		m := &v.Members[i]
		if used[i] || !m.Reachable || m.State == Closed || v.isPrimary(m) {
			continue
		}
		proof, ok := v.proofFor(r, m, pass, primaryReachable)
		if !ok {
			continue
		}
		if cost := v.cost(m); cheapest < 0 || cost < lowestCost {
			cheapest, cheapestProof, lowestCost = i, proof, cost
		}
	}
	return cheapest, cheapestProof
}

// proofFor returns the proof with which replica m can serve r in a pass of addReplicas,
// and false if it cannot.
func (v *View) proofFor(r Request, m *Member, pass int, primaryReachable bool) (FreshnessProof, bool) {
	caughtUp := m.Applied.AtLeast(r.Token)
	// A replica whose lag is within the confirmation time answers no later than
	// the primary would.
	lagWithinConfirm := m.Lag <= v.ConfirmTime
	switch {
	case r.Consistency == Session && pass == 0:
		return ReplicaAtPosition, caughtUp
	case r.Consistency == Session:
		return ReplicaAtPosition, lagWithinConfirm
	case r.Consistency == Stale && pass == 0:
		return ReplicaByAge, caughtUp && m.AgeKnown && m.Age <= r.MaxAge
	default:
		return ReplicaAfterBarrier, pass == 1 && primaryReachable && lagWithinConfirm
	}
}

// cost returns the load of m plus the penalties, in requests per slot.
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

// primary returns the primary, or nil if it is unknown or unreachable.
func (v *View) primary() *Member {
	for i := range v.Members {
		if m := &v.Members[i]; v.isPrimary(m) && m.Reachable {
			return m
		}
	}
	return nil
}

// rejection returns the reason why no member can serve r.
func (v *View) rejection(r Request) *verdict.Error {
	primary := v.primary()
	// A reachable primary that is no option is closed.
	if primary != nil {
		return verdict.New(verdict.Draining, "primary %s takes no new work", primary.ID).WithRetryAfter(noPrimaryRetry)
	}
	if lag, ok := v.minLag(); ok && r.Class == Read && r.Consistency != Strict {
		return verdict.New(verdict.ReplicaBehind, "no reachable replica of %s is recent enough", v.Route.Service).
			WithRetryAfter(max(lag, minBehindRetry))
	}
	if !v.HasRoute {
		return verdict.New(verdict.NoPrimary, "no primary is known").WithRetryAfter(noPrimaryRetry)
	}
	return verdict.New(verdict.CutOff, "primary %s of %s is not reachable from here", v.Route.Primary, v.Route.Service).
		WithRetryAfter(noPrimaryRetry)
}

// minLag returns the lowest lag of the reachable replicas that accept requests.
func (v *View) minLag() (time.Duration, bool) {
	var minimum time.Duration
	found := false
	for i := range v.Members {
		m := &v.Members[i]
		if m.Reachable && m.State != Closed && !v.isPrimary(m) && (!found || m.Lag < minimum) {
			minimum, found = m.Lag, true
		}
	}
	return minimum, found
}
