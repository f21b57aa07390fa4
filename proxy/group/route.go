package group

import (
	"time"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/replicaselect"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// writeEvidence is the age of the evidence that a write needs. The members
	// themselves keep a replaced primary from acknowledging; this keeps writes
	// from one that nobody has confirmed for as long as a promotion takes.
	writeEvidence = time.Second
	// takeoverTime is how long a change of primary takes from its claim: the
	// promotion itself (1 s) and the members' answers before it.
	takeoverTime = 1200 * time.Millisecond
	// roundsBeforeCutOff is the number of rounds without a quorum after which a
	// request that needs one is refused.
	roundsBeforeCutOff = 2
	// minEvidenceWait covers a round of questions to the members after the one that
	// runs, with a member that does not answer.
	minEvidenceWait = 120 * time.Millisecond
	// retryWithoutPrimary is the time to come back if nothing says when there
	// will be a primary: the interval in which members register.
	retryWithoutPrimary = time.Second
)

// Requirements is what a request requires of the member that executes it.
type Requirements struct {
	// Writes means that only the primary can execute it.
	Writes bool
	// Reads is false for a single write, which needs no evidence of the age of
	// what it sees.
	Reads       bool
	Consistency catalog.Consistency
	Staleness   time.Duration
	// Arrival is when the request, or its transaction, was received.
	Arrival time.Duration
	// OwnWrite is the position of the session's last write, and OwnWriteAt its time.
	OwnWrite   position.Position
	OwnWriteAt time.Duration
	Rank       schedule.Rank
	// Objective is the time in which the caller wants its answer.
	Objective time.Duration
	// Deadline is when the caller no longer waits.
	Deadline time.Duration
}

// Choice is the member that executes a request.
type Choice struct {
	*upstream.Upstream
	Primary bool
	// MinPosition is the position that the member's log must have, and MinPositionAt the time at
	// which the primary had reached it.
	MinPosition   position.Position
	MinPositionAt time.Duration
	// Evidence is the age of what the choice rests on, for the log.
	EvidenceAge time.Duration
	// OnlyCandidate means that no other member probably has what a read needs.
	OnlyCandidate bool
}

// Choose returns the member to execute a request, waiting for a primary or for
// evidence if that can come in time. excluded members are not chosen.
func (g *Group) Choose(n Requirements, excluded map[*upstream.Upstream]bool) (Choice, error) {
	failedRounds, unprovenRounds := -1, -1
	giveUp := min(n.Deadline, g.cfg.Clock()+g.evidenceWait(n))
	for {
		g.mu.Lock()
		g.usedAt = n.Arrival
		c, ok := g.choose(n, excluded)
		if ok {
			g.mu.Unlock()
			return c, nil
		}
		if failedRounds < 0 {
			failedRounds, unprovenRounds = g.rounds.failed, g.rounds.unproven
		}
		failed := g.rounds.failed - failedRounds
		if !n.Writes {
			failed = g.rounds.unproven - unprovenRounds
		}
		err := g.refusal(n, excluded, failed)
		if err == nil && g.needsRound(n) {
			g.startRound()
		}
		changed := g.changed
		g.mu.Unlock()
		if err != nil {
			return Choice{}, err
		}
		timer := time.NewTimer(max(giveUp-g.cfg.Clock(), 0))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return Choice{}, verdict.New(verdict.NoPrimary, "nothing confirms the primary of service %s", g.cfg.Service).WithRetryAfter(g.comeBack())
		}
	}
}

// evidenceWait is how long a request waits for evidence. While a primary is being
// replaced it is known when to come back; else a round takes some 10 ms, and a
// caller that is refused early tries another instance.
func (g *Group) evidenceWait(n Requirements) time.Duration {
	return max(n.Objective/4, minEvidenceWait)
}

// choose decides without waiting. g.mu is held.
func (g *Group) choose(n Requirements, excluded map[*upstream.Upstream]bool) (Choice, bool) {
	if n.Writes {
		return g.choosePrimary(n, excluded)
	}
	if n.Consistency == catalog.Strict {
		if c, ok := g.choosePrimary(n, excluded); ok {
			return c, true
		}
	}
	return g.chooseReader(n, excluded)
}

func (g *Group) choosePrimary(n Requirements, excluded map[*upstream.Upstream]bool) (Choice, bool) {
	lead, u := g.leadLocked()
	if u == nil || excluded[u] || g.suspicion.confirmed {
		return Choice{}, false
	}
	age := n.Staleness
	if !n.Reads {
		age = writeEvidence
	}
	if !g.tracker.Proven(n.Arrival - age) {
		return Choice{}, false
	}
	// A primary that restarted without its log is not at this position.
	after := g.tracker.LastPosition()
	if after.Term != lead.Term || !n.Reads {
		after = position.Position{}
	}
	return Choice{Upstream: u, Primary: true, MinPosition: after, EvidenceAge: n.Arrival - g.tracker.ProvenUntil()}, true
}

// chooseReader picks among the replicas that can prove the age and, if the lead
// is proven for that age, the primary.
func (g *Group) chooseReader(n Requirements, excluded map[*upstream.Upstream]bool) (Choice, bool) {
	since := n.Arrival - n.Staleness
	after, at, marked := g.requirement(n, since)
	var choices []Choice
	var candidates []replicaselect.Candidate
	lead, primary := g.leadLocked()
	for id, m := range g.members {
		if excluded[m.Upstream] || m.departed || m.missing != 0 && m.Suspect() {
			continue
		}
		info := m.Member()
		c := replicaselect.Candidate{Remote: info.FailureDomain != g.cfg.FailureDomain, Suspect: m.Suspect()}
		c.Wait, c.Service, c.NeedsConnection = m.Load(n.Rank)
		if way := g.cfg.Gateways.Gateway(g.cfg.Service, id, id == lead.Member, g.service.Connections); way != nil {
			c.Wait, c.NeedsConnection = way.Load(), false
		}
		choice := Choice{Upstream: m.Upstream, MinPosition: after, MinPositionAt: at, EvidenceAge: n.Arrival - at}
		switch {
		case id == lead.Member && n.Consistency == catalog.Strict:
			continue // choosePrimary has refused it
		case id == lead.Member:
			if m.Upstream != primary || g.suspicion.confirmed || !g.tracker.Proven(since) {
				continue
			}
			c.Primary = true
			choice = Choice{Upstream: m.Upstream, Primary: true, EvidenceAge: since - g.tracker.ProvenUntil()}
		case !marked || info.Draining:
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
	if candidates[best].Behind {
		choices[best].RecordLagProbe()
	}
	choices[best].OnlyCandidate = replicaselect.OthersBehind(candidates, best)
	return choices[best], true
}

// requirement returns the position that a replica must have for a read, and the
// time at which a primary had reached it; ok is false if none is known. A mark of
// the lead comes first: a cover is known only if the lead does not answer.
func (g *Group) requirement(n Requirements, since time.Duration) (after position.Position, at time.Duration, ok bool) {
	if n.Consistency != catalog.Strict {
		mark, marked := g.tracker.OldestWatermark(since)
		after, at = g.coverOwn(n, mark, &marked)
		if marked {
			return after, at, true
		}
	}
	if n.Consistency == catalog.ReadYourWrites {
		since = max(since, n.OwnWriteAt)
	}
	cover, ok := g.tracker.ReadPosition(since)
	return cover.Position, cover.At, ok
}

// coverOwn raises the mark to the session's own last write. It clears marked if
// no position is known that covers it.
func (g *Group) coverOwn(n Requirements, mark leadership.Watermark, marked *bool) (position.Position, time.Duration) {
	if n.Consistency != catalog.ReadYourWrites || n.OwnWrite.IsZero() {
		return mark.Position, mark.At
	}
	own, ok := g.tracker.Translate(n.OwnWrite)
	if !ok {
		*marked = false
		return position.Position{}, 0
	}
	if own.AtLeast(mark.Position) {
		return own, max(n.OwnWriteAt, mark.At)
	}
	return mark.Position, mark.At
}

// needsRound reports whether a quorum of members can provide what the request
// lacks. g.mu is held.
func (g *Group) needsRound(n Requirements) bool {
	if g.mayCover(n) {
		return true
	}
	_, u := g.leadLocked()
	return u != nil && !g.suspicion.confirmed
}

// mayCover reports whether the members may show what a read needs without the
// lead. g.mu is held.
func (g *Group) mayCover(n Requirements) bool {
	return !n.Writes && g.service.AcknowledgedBy > 0 && g.tracker.Leader().Member != "" && g.cfg.Clock()-g.recordsRead.Earliest < coverLimit
}

// refusal returns why a request should not wait, or nil. g.mu is held.
func (g *Group) refusal(n Requirements, excluded map[*upstream.Upstream]bool, failedRounds int) error {
	if len(g.members) == 0 {
		return verdict.New(verdict.CutOff, "no member of service %s is registered", g.cfg.Service).WithRetryAfter(retryWithoutPrimary)
	}
	if failedRounds < roundsBeforeCutOff && g.mayCover(n) && len(excluded) < len(g.members)-1 {
		return nil
	}
	if _, u := g.leadLocked(); u != nil && excluded[u] && !g.tracker.Changing() && !g.suspicion.confirmed {
		return verdict.New(verdict.ReplicaBehind, "no member of service %s could execute the request", g.cfg.Service).WithRetryAfter(g.comeBackLocked())
	}
	if failedRounds >= roundsBeforeCutOff {
		return verdict.New(verdict.CutOff, "no quorum of service %s confirms its primary", g.cfg.Service).WithRetryAfter(g.comeBackLocked())
	}
	if wait := g.comeBackLocked(); (g.tracker.Changing() || g.suspicion.confirmed) && wait > g.evidenceWait(n) {
		return verdict.New(verdict.NoPrimary, "the primary of service %s is being replaced", g.cfg.Service).WithRetryAfter(wait)
	}
	return nil
}

func (g *Group) comeBack() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.comeBackLocked()
}

// comeBackLocked estimates when a primary can be expected.
func (g *Group) comeBackLocked() time.Duration {
	const soon = 50 * time.Millisecond // a change that takes longer than expected
	now := g.cfg.Clock()
	switch r := g.tracker.Record(); {
	case r.Claim != nil && g.tracker.Changing():
		return max(r.Claim.FirstClaimedAt+takeoverTime-g.storeTime(), soon)
	case g.suspicion.confirmed:
		return max(g.suspicion.since+takeoverTime-now, soon)
	case g.tracker.Leader().Member == "":
		return retryWithoutPrimary
	default:
		return soon
	}
}
