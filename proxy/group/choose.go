package group

import (
	"time"

	"github.com/papayarail/papayarail/core/health"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/replicaselect"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// maxWriteConfirmationAge is the largest age of the primary's last confirmation that
	// a write accepts. The members themselves prevent a replaced primary from
	// acknowledging writes; this limit stops sending writes to a primary that has
	// not been confirmed for as long as a promotion takes.
	maxWriteConfirmationAge = time.Second
	// failoverTime is the expected time from the claim to the end of a failover:
	// the promotion (1 s) and the members' answers before it.
	failoverTime = 1200 * time.Millisecond
	// failedRoundLimit is the number of rounds without a quorum after which a
	// request that needs one is refused.
	failedRoundLimit = 2
	// minConfirmationWait covers the rest of the running quorum round and the next one,
	// with one member that does not answer.
	minConfirmationWait = 120 * time.Millisecond
	// retryAfterNoPrimary is the suggested retry delay when it is unknown when there
	// will be a primary. Members register at this interval.
	retryAfterNoPrimary = time.Second
)

// Requirements is what a request requires of the member that executes it. Times are
// on the local clock.
type Requirements struct {
	// Writes means that only the primary can execute the request.
	Writes bool
	// Reads is false for a single write: no staleness bound applies to it.
	Reads       bool
	Consistency catalog.Consistency
	Staleness   time.Duration
	// Arrival is when the request, or its transaction, was received.
	Arrival time.Duration
	// OwnWrite is the position of the session's last write, and OwnWriteAt the time
	// of its answer.
	OwnWrite   position.Position
	OwnWriteAt time.Duration
	Rank       schedule.Rank
	// Objective is the response time that the route aims at.
	Objective time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
}

// Choice is the member that executes a request.
type Choice struct {
	*upstream.Upstream
	Primary bool
	// MinPosition is the position that the member's log must have reached, and
	// MinPositionAt the local time by which the primary had reached it.
	MinPosition   position.Position
	MinPositionAt time.Duration
	// EvidenceAge is the age of the confirmation or position that the choice relies
	// on, for the log.
	EvidenceAge time.Duration
	// OnlyCandidate means that all other members are probably behind the position
	// that a read requires.
	OnlyCandidate bool
	Basis         Basis
}

// Choose returns the member that is to execute a request. It waits for a primary or
// for its confirmation if that may arrive in time. Members in excluded are not
// chosen. The error is a *verdict.Error.
func (g *Group) Choose(req Requirements, excluded map[*upstream.Upstream]bool) (Choice, error) {
	failedRounds, inconclusiveRounds := -1, -1
	waitUntil := min(req.Deadline, g.cfg.Clock()+g.confirmationWait(req))
	for {
		g.mu.Lock()
		g.lastRequestAt = req.Arrival
		c, ok := g.choose(req, excluded)
		if ok {
			g.mu.Unlock()
			return c, nil
		}
		if failedRounds < 0 {
			failedRounds, inconclusiveRounds = g.rounds.failed, g.rounds.inconclusive
		}
		failed := g.rounds.failed - failedRounds
		if !req.Writes {
			failed = g.rounds.inconclusive - inconclusiveRounds
		}
		err := g.refusal(req, excluded, failed)
		if err == nil && g.quorumMayHelp(req) {
			g.startRound()
		}
		changed := g.changed
		g.mu.Unlock()
		if err != nil {
			return Choice{}, err
		}
		timer := time.NewTimer(max(waitUntil-g.cfg.Clock(), 0))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return Choice{}, verdict.New(verdict.NoPrimary, "nothing confirms the primary of service %s", g.cfg.Service).WithRetryAfter(g.retryAfter())
		}
	}
}

// confirmationWait returns how long a request waits for a confirmed primary. A quorum
// round takes some 10 ms, and a caller that is refused early can try another
// instance. During a failover, the time until a retry can succeed is known.
func (g *Group) confirmationWait(req Requirements) time.Duration {
	return max(req.Objective/4, minConfirmationWait)
}

// choose is Choose without waiting. g.mu is held.
func (g *Group) choose(req Requirements, excluded map[*upstream.Upstream]bool) (Choice, bool) {
	if req.Writes {
		return g.choosePrimary(req, excluded)
	}
	if req.Consistency == catalog.Strict {
		if c, ok := g.choosePrimary(req, excluded); ok {
			return c, true
		}
	}
	return g.chooseForRead(req, excluded)
}

// choosePrimary returns the primary if it serves and its last confirmation is recent
// enough. g.mu is held.
func (g *Group) choosePrimary(req Requirements, excluded map[*upstream.Upstream]bool) (Choice, bool) {
	primary, u := g.primaryLocked()
	if u == nil || excluded[u] || g.suspicion.confirmed || !g.takesStatements(g.members[primary.Member]) {
		return Choice{}, false
	}
	maxAge := req.Staleness
	if !req.Reads {
		maxAge = maxWriteConfirmationAge
	}
	if !g.tracker.Proven(req.Arrival - maxAge) {
		return Choice{}, false
	}
	after := position.Position{}
	if req.Reads {
		if !g.tracker.ProvenForRead(req.Arrival-maxAge, req.Arrival) {
			return Choice{}, false
		}
		after = g.primaryPosition()
	}
	return Choice{Upstream: u, Primary: true, MinPosition: after, EvidenceAge: req.Arrival - g.tracker.ProvenUntil(), Basis: g.primaryBasis(req, after)}, true
}

// primaryPosition returns a position that the primary has reached, which a primary that has
// restarted without its log lacks; zero if none is known. g.mu is held.
func (g *Group) primaryPosition() position.Position {
	after := g.tracker.LastPosition()
	if r := g.tracker.Record(); r.Primary == g.tracker.Primary() {
		after = position.Max(after, r.PromotedAt)
	}
	return after
}

// chooseForRead returns the cheapest member that can meet the staleness bound: a
// replica that has reached the required position, or the primary if it was
// confirmed recently enough. g.mu is held.
func (g *Group) chooseForRead(req Requirements, excluded map[*upstream.Upstream]bool) (Choice, bool) {
	since := req.Arrival - req.Staleness
	after, at, known := g.minReplicaPosition(req, since)
	replicaBasis := g.replicaBasis(req, after, at)
	var choices []Choice
	var candidates []replicaselect.Candidate
	noGateway := make(map[string]bool) // members that no gateway serves at present
	primary, primaryUpstream := g.primaryLocked()
	g.health.checkSilence()
	for id, m := range g.members {
		if excluded[m.Upstream] || m.departed || m.missingSince != 0 && g.health.suspect(id) {
			continue
		}
		entry := m.Member()
		use := g.health.use(id)
		c := replicaselect.Candidate{Remote: entry.FailureDomain != g.cfg.FailureDomain, RoundTrip: g.roundTrip(entry.FailureDomain), Avoid: use == health.Avoid}
		// A retry of a read that failed elsewhere is not delayed by a probe.
		if use == health.Probe {
			c.Probe, c.Avoid = len(excluded) == 0, len(excluded) > 0
		}
		c.Wait, c.ServiceTime, c.NeedsConnection = m.Load(req.Rank)
		if gw, err := g.cfg.Gateways.Gateway(g.cfg.Service, entry, id == primary.Member, g.service.Connections); err != nil {
			noGateway[id] = true
			c.Avoid, c.Probe = true, false // it can only be refused
		} else if gw != nil {
			c.Wait, c.NeedsConnection = gw.ExpectedWait(req.Rank), false
		}
		choice := Choice{Upstream: m.Upstream, MinPosition: after, MinPositionAt: at, EvidenceAge: req.Arrival - at, Basis: replicaBasis}
		switch {
		case id == primary.Member && req.Consistency == catalog.Strict:
			continue // choosePrimary has already rejected it
		case id == primary.Member:
			if m.Upstream != primaryUpstream || g.suspicion.confirmed || !g.tracker.ProvenForRead(since, req.Arrival) || !g.takesStatements(m) {
				continue
			}
			c.Primary = true
			after := g.primaryPosition()
			choice = Choice{Upstream: m.Upstream, Primary: true, MinPosition: after, EvidenceAge: since - g.tracker.ProvenUntil(), Basis: g.primaryBasis(req, after)}
		case !known || entry.Draining:
			continue
		default:
			behind, due := m.LikelyBehind(after, at)
			c.Behind, c.RecentlyBehind = behind, behind && !due
		}
		choices = append(choices, choice)
		candidates = append(candidates, c)
	}
	best := replicaselect.Best(candidates)
	if best < 0 {
		return Choice{}, false
	}
	if id := choices[best].Member().ID; !noGateway[id] && g.health.use(id) >= health.Retry {
		g.health.recordProbe(id)
	}
	if candidates[best].Behind {
		choices[best].RecordLagProbe()
	}
	choices[best].OnlyCandidate = replicaselect.OthersBehind(candidates, best)
	return choices[best], true
}

// roundTrip returns the measured round trip to a failure domain, or 0.
func (g *Group) roundTrip(domain string) time.Duration {
	if g.cfg.RoundTrip == nil {
		return 0
	}
	return g.cfg.RoundTrip(domain)
}

// minReplicaPosition returns the position that a replica must have reached for a
// read, and the time by which a primary had reached it; ok is false if none is
// known. It prefers a position observed on the primary. The members' bound on
// acknowledged writes is the fallback, known only if the primary does not answer.
// g.mu is held.
func (g *Group) minReplicaPosition(req Requirements, since time.Duration) (after position.Position, at time.Duration, ok bool) {
	if req.Consistency != catalog.Strict {
		watermark, known := g.tracker.OldestWatermark(since)
		after, at = g.includeOwnWrite(req, watermark, &known)
		if known {
			return after, at, true
		}
	}
	if req.Consistency == catalog.ReadYourWrites {
		since = max(since, req.OwnWriteAt)
	}
	bound, ok := g.tracker.ReadPosition(since)
	return bound.Position, bound.At, ok
}

// includeOwnWrite returns the higher of the watermark and the position of the session's
// last write, as read-your-writes requires. It clears known if no position of the
// current term is known that includes that write. g.mu is held.
func (g *Group) includeOwnWrite(req Requirements, watermark primacy.Watermark, known *bool) (position.Position, time.Duration) {
	if req.Consistency != catalog.ReadYourWrites || req.OwnWrite.IsZero() {
		return watermark.Position, watermark.At
	}
	own, ok := g.tracker.CoveringPosition(req.OwnWrite)
	if !ok {
		*known = false
		return position.Position{}, 0
	}
	if own.AtLeast(watermark.Position) {
		return own, max(req.OwnWriteAt, watermark.At)
	}
	return watermark.Position, watermark.At
}

// quorumMayHelp reports whether a quorum round may let the request proceed. g.mu is
// held.
func (g *Group) quorumMayHelp(req Requirements) bool {
	if g.ackBoundPossible(req) {
		return true
	}
	_, u := g.primaryLocked()
	return u != nil && !g.suspicion.confirmed
}

// ackBoundPossible reports whether the members can bound the position of all
// acknowledged writes without the primary, which lets a read proceed. g.mu is held.
func (g *Group) ackBoundPossible(req Requirements) bool {
	return !req.Writes && g.service.AcknowledgedBy > 0 && g.tracker.Primary().Member != "" && g.cfg.Clock()-g.membersAsOf < maxMembersAge
}

// refusal returns the error for a request that should not wait any longer, or nil.
// g.mu is held.
func (g *Group) refusal(req Requirements, excluded map[*upstream.Upstream]bool, failedRounds int) error {
	if len(g.members) == 0 {
		return verdict.New(verdict.CutOff, "no member of service %s is registered", g.cfg.Service).WithRetryAfter(retryAfterNoPrimary)
	}
	if primary, u := g.primaryLocked(); u != nil && req.Writes && !g.takesStatements(g.members[primary.Member]) {
		return verdict.New(verdict.NoPrimary, "the primary of service %s leaves and takes no more statements", g.cfg.Service).WithRetryAfter(g.retryAfterLocked())
	}
	if failedRounds < failedRoundLimit && g.ackBoundPossible(req) && len(excluded) < len(g.members)-1 {
		return nil
	}
	if !g.missingLog.IsZero() && g.suspicion.confirmed {
		return verdict.New(verdict.NoPrimary, "no member of service %s that runs has its acknowledged commits up to %s", g.cfg.Service, g.missingLog).WithRetryAfter(retryAfterNoPrimary)
	}
	if _, u := g.primaryLocked(); u != nil && excluded[u] && !g.tracker.ReplacementClaimed() && !g.suspicion.confirmed {
		return verdict.New(verdict.ReplicaBehind, "no member of service %s could execute the request", g.cfg.Service).WithRetryAfter(g.retryAfterLocked())
	}
	if failedRounds >= failedRoundLimit {
		return verdict.New(verdict.CutOff, "no quorum of service %s confirms its primary", g.cfg.Service).WithRetryAfter(g.retryAfterLocked())
	}
	if wait := g.retryAfterLocked(); (g.tracker.ReplacementClaimed() || g.suspicion.confirmed) && wait > g.confirmationWait(req) {
		return verdict.New(verdict.NoPrimary, "the primary of service %s is being replaced", g.cfg.Service).WithRetryAfter(wait)
	}
	return nil
}

// retryAfter returns the suggested retry delay.
func (g *Group) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryAfterLocked()
}

// retryAfterLocked estimates the time until a primary serves. g.mu is held.
func (g *Group) retryAfterLocked() time.Duration {
	const minRetryAfter = 50 * time.Millisecond // applies when a failover takes longer than expected
	now := g.cfg.Clock()
	switch r := g.tracker.Record(); {
	case r.Claim != nil && g.tracker.ReplacementClaimed():
		return max(max(r.Claim.FirstClaimedAt, r.Claim.PromoteAfter)+failoverTime-g.storeTime(), minRetryAfter)
	case g.suspicion.confirmed:
		return max(g.suspicion.firstFailureAt+failoverTime-now, minRetryAfter)
	case g.tracker.Primary().Member == "":
		return retryAfterNoPrimary
	default:
		return minRetryAfter
	}
}
