package failover

import (
	"cmp"
	"fmt"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// attempt is one attempt to establish a primary in a new term.
type attempt struct {
	term uint64
	id   string
	// excluded is the stalled or leaving primary that is not asked to adopt.
	excluded MemberID
	// oldPrimary and candidate are set for a planned switchover.
	oldPrimary MemberID
	candidate  MemberID
	// quiescedAt and catchUpUntil are the limits of the wait for the candidate.
	quiescedAt    time.Duration
	catchUpUntil  time.Duration
	asked         map[MemberID]bool
	granted       map[MemberID]position.Position
	refused       map[MemberID]bool
	promoted      MemberID
	resendAdoptAt time.Duration
}

func (c *Coordinator) attemptID(term uint64) string {
	return fmt.Sprintf("%s-%d-%016x", c.cfg.Instance, term, c.cfg.Rand.Uint64())
}

func (c *Coordinator) beginAttempt(a *attempt, now time.Duration) []Action {
	c.triedTerm = max(c.seenTerm, c.triedTerm) + 1
	a.term = c.triedTerm
	a.id = c.attemptID(a.term)
	a.asked = map[MemberID]bool{}
	a.granted = map[MemberID]position.Position{}
	a.refused = map[MemberID]bool{}
	c.attempt = a
	c.state = Reserving
	c.deadline = now + c.cfg.StepTimeout + c.jitter()
	return []Action{Reserve{a.term, a.id}}
}

func (c *Coordinator) stepReserving(primary *member, now time.Duration) []Action {
	if c.seenTerm >= c.attempt.term {
		c.failAttempt(now)
		return nil
	}
	if !c.attemptStillNeeded(primary, now) {
		c.state = Watching
		c.attempt = nil
		return nil
	}
	if now < c.deadline {
		return nil
	}
	return append(c.startAdopting(now), c.stepAdopting(now)...)
}

// attemptStillNeeded reports whether the reason for an attempt in the state
// Reserving still holds. No member has been changed yet, so it can be dropped.
func (c *Coordinator) attemptStillNeeded(primary *member, now time.Duration) bool {
	switch {
	case c.attempt.oldPrimary != "":
		return primary != nil && primary.ID == c.attempt.oldPrimary && c.leaving[primary.ID]
	case c.attempt.excluded != "":
		return primary != nil && primary.ID == c.attempt.excluded && (c.leaving[primary.ID] || c.stalled(primary, now))
	default:
		return primary == nil && c.primaryLost(now)
	}
}

func (c *Coordinator) startAdopting(now time.Duration) []Action {
	c.state = Adopting
	c.deadline = now + c.cfg.StepTimeout
	if c.attempt.oldPrimary != "" {
		return c.quiesce(now)
	}
	for _, m := range c.members {
		if m.reachability == reachable && m.ID != c.attempt.excluded {
			c.attempt.asked[m.ID] = true
		}
	}
	return c.sendAdopt(now)
}

// quiesce starts a planned switchover. The members are asked to adopt only when
// the candidate has the whole log.
func (c *Coordinator) quiesce(now time.Duration) []Action {
	c.attempt.quiescedAt = now
	c.attempt.catchUpUntil = now + c.cfg.StepTimeout
	c.attempt.resendAdoptAt = now + c.cfg.ProbeInterval
	c.deadline = c.attempt.catchUpUntil + c.cfg.StepTimeout
	c.member(c.attempt.oldPrimary).nextProbe = now
	c.member(c.attempt.candidate).nextProbe = now
	return []Action{Quiesce{c.attempt.oldPrimary, 2 * c.cfg.StepTimeout}}
}

// sendAdopt sends Adopt to the asked members that have not answered.
func (c *Coordinator) sendAdopt(now time.Duration) []Action {
	c.attempt.resendAdoptAt = now + c.cfg.ProbeInterval
	var actions []Action
	for _, m := range c.members {
		_, granted := c.attempt.granted[m.ID]
		if c.attempt.asked[m.ID] && !granted && !c.attempt.refused[m.ID] {
			actions = append(actions, Adopt{m.ID, c.attempt.term, c.attempt.id})
		}
	}
	return actions
}

func (c *Coordinator) stepAdopting(now time.Duration) []Action {
	if c.attemptEnded(now) {
		return nil
	}
	var actions []Action
	if c.attempt.oldPrimary != "" && !c.attempt.asked[c.attempt.candidate] {
		actions = c.stepCatchUp(now)
		if c.state != Adopting {
			return actions
		}
	}
	if len(c.attempt.granted) >= c.quorum() {
		return append(actions, c.promote(now)...)
	}
	if len(c.attempt.asked)-len(c.attempt.refused) < c.quorum() && c.attempt.oldPrimary == "" {
		c.failAttempt(now)
		return actions
	}
	if now >= c.attempt.resendAdoptAt {
		actions = append(actions, c.sendAdopt(now)...)
	}
	return actions
}

// stepCatchUp freezes the log of the old primary of a planned switchover with
// Adopt once the candidate has the whole log, and then sends Adopt to the
// candidate. If the candidate does not catch up in time, the switchover is
// abandoned before any member has been changed.
func (c *Coordinator) stepCatchUp(now time.Duration) []Action {
	from, candidate := c.member(c.attempt.oldPrimary), c.member(c.attempt.candidate)
	if c.attempt.asked[from.ID] {
		if _, frozen := c.attempt.granted[from.ID]; !frozen {
			return nil
		}
		c.attempt.asked[candidate.ID] = true
		return c.sendAdopt(now)
	}
	if from.statusAt > c.attempt.quiescedAt && candidate.statusAt >= from.statusAt &&
		candidate.status.Last.AtLeast(from.status.Last) {
		c.attempt.asked[from.ID] = true
		return c.sendAdopt(now)
	}
	if now >= c.attempt.catchUpUntil {
		c.state = Watching
		c.attempt = nil
		c.abandonedSwitchovers++
		c.switchoverBackoffUntil = now + c.cfg.StepTimeout + c.jitter()
	}
	return nil
}

func (c *Coordinator) promote(now time.Duration) []Action {
	var best *member
	for _, m := range c.members {
		if _, granted := c.attempt.granted[m.ID]; !granted {
			continue
		}
		if best == nil || c.hasLongerLog(m, best) {
			best = m
		}
	}
	c.abandonedSwitchovers = 0
	if best.ID == c.attempt.oldPrimary {
		c.abandonedSwitchovers = maxAbandonedSwitchovers
		c.switchoverBackoffUntil = now + c.cfg.StepTimeout + c.jitter()
	}
	c.attempt.promoted = best.ID
	c.state = Promoting
	c.deadline = now + c.cfg.StepTimeout
	return []Action{Promote{best.ID, c.attempt.term, c.attempt.id}}
}

// hasLongerLog orders the members that granted the term: the greatest last position
// comes first, because only that log is certain to have every acknowledged write.
func (c *Coordinator) hasLongerLog(a, b *member) bool {
	if order := c.attempt.granted[a.ID].Compare(c.attempt.granted[b.ID]); order != 0 {
		return order > 0
	}
	return c.preferred(a, b)
}

// preferred reports whether a is to be promoted rather than b at equal positions:
// a member that is not leaving comes first, then the one with more live instances
// in its failure domain, then the smaller ID.
func (c *Coordinator) preferred(a, b *member) bool {
	if c.leaving[a.ID] != c.leaving[b.ID] {
		return !c.leaving[a.ID]
	}
	order := cmp.Or(
		cmp.Compare(c.liveInstances[a.FailureDomain], c.liveInstances[b.FailureDomain]),
		cmp.Compare(b.ID, a.ID))
	return order > 0
}

func (c *Coordinator) stepPromoting(now time.Duration) []Action {
	if c.attemptEnded(now) {
		primary := c.reachablePrimary()
		if primary != nil {
			return c.repairReplication(primary, now)
		}
	}
	return nil
}

// attemptEnded ends the attempt, and reports so, when its term has a primary, when
// a higher term has been seen, or when the step has timed out.
func (c *Coordinator) attemptEnded(now time.Duration) bool {
	primary := c.reachablePrimary()
	switch {
	case primary != nil && primary.status.Term >= c.attempt.term:
		c.state = Watching
		c.attempt = nil
	case c.seenTerm > c.attempt.term, now >= c.deadline:
		c.failAttempt(now)
	default:
		return false
	}
	return true
}

// failAttempt returns to Watching with a jittered backoff and probes all members
// at once, which shows whether an unanswered step of the attempt took effect.
func (c *Coordinator) failAttempt(now time.Duration) {
	if c.attempt.oldPrimary != "" {
		c.switchoverBackoffUntil = now + c.cfg.StepTimeout + c.jitter()
	}
	if c.state != Reserving {
		// The attempt itself has left the group without a primary, so the next
		// one need not wait for SuspectAfter to rule out a short fault.
		c.unhealthy = true
		c.unhealthySince = min(c.unhealthySince, now-c.cfg.SuspectAfter)
	}
	c.state = Watching
	c.attempt = nil
	c.failedAttempts++
	c.backoffUntil = now + c.backoff()
	for _, m := range c.members {
		m.nextProbe = now
	}
}

// backoff returns one to two probe intervals, doubled with each failure.
func (c *Coordinator) backoff() time.Duration {
	doublings := min(c.failedAttempts-1, maxBackoffDoublings)
	base := c.cfg.ProbeInterval << doublings
	return base + time.Duration(c.cfg.Rand.Int64N(int64(base)))
}

// jitter returns up to one probe interval.
func (c *Coordinator) jitter() time.Duration {
	return time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ProbeInterval)))
}
