package failover

import (
	"cmp"
	"fmt"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// attempt is one try to establish a primary in a new term.
type attempt struct {
	term uint64
	id   string
	// exclude is the stalled or leaving primary that takes no part.
	exclude MemberID
	// from and candidate are set for a planned switch.
	from      MemberID
	candidate MemberID
	// quiescedAt and catchUpUntil bound the wait for the candidate.
	quiescedAt   time.Duration
	catchUpUntil time.Duration
	asked        map[MemberID]bool
	granted      map[MemberID]position.Position
	refused      map[MemberID]bool
	promoted     MemberID
	resendAt     time.Duration
}

func (c *Coordinator) attemptID(term uint64) string {
	return fmt.Sprintf("%s-%d-%016x", c.cfg.Instance, term, c.cfg.Rand.Uint64())
}

func (c *Coordinator) begin(a *attempt, now time.Duration) []Action {
	c.tried = max(c.seen, c.tried) + 1
	a.term = c.tried
	a.id = c.attemptID(a.term)
	a.asked = map[MemberID]bool{}
	a.granted = map[MemberID]position.Position{}
	a.refused = map[MemberID]bool{}
	c.att = a
	c.state = Reserving
	c.deadline = now + c.cfg.StepTimeout + c.jitter()
	return []Action{Reserve{a.term, a.id}}
}

func (c *Coordinator) stepReserving(leader *member, now time.Duration) []Action {
	if c.seen >= c.att.term {
		c.fail(now)
		return nil
	}
	if !c.stillWanted(leader, now) {
		c.state = Watching
		c.att = nil
		return nil
	}
	if now < c.deadline {
		return nil
	}
	return append(c.startAdopting(now), c.stepAdopting(now)...)
}

// stillWanted reports whether the reason of a reserving attempt holds. Nothing
// has changed at the members yet, so the attempt can be dropped.
func (c *Coordinator) stillWanted(leader *member, now time.Duration) bool {
	switch {
	case c.att.from != "":
		return leader != nil && leader.ID == c.att.from && c.leaving[leader.ID]
	case c.att.exclude != "":
		return leader != nil && leader.ID == c.att.exclude && (c.leaving[leader.ID] || c.stalled(leader, now))
	default:
		return leader == nil && c.lost(now)
	}
}

func (c *Coordinator) startAdopting(now time.Duration) []Action {
	c.state = Adopting
	c.deadline = now + c.cfg.StepTimeout
	if c.att.from != "" {
		return c.quiesce(now)
	}
	for _, m := range c.members {
		if m.reach == reachable && m.ID != c.att.exclude {
			c.att.asked[m.ID] = true
		}
	}
	return c.ask(now)
}

// quiesce starts a planned switch. The members are asked to adopt only when the
// candidate has the whole log.
func (c *Coordinator) quiesce(now time.Duration) []Action {
	c.att.quiescedAt = now
	c.att.catchUpUntil = now + c.cfg.StepTimeout
	c.att.resendAt = now + c.cfg.ProbeInterval
	c.deadline = c.att.catchUpUntil + c.cfg.StepTimeout
	c.member(c.att.from).nextProbe = now
	c.member(c.att.candidate).nextProbe = now
	return []Action{Quiesce{c.att.from, 2 * c.cfg.StepTimeout}}
}

// ask sends Adopt to the members that have not answered.
func (c *Coordinator) ask(now time.Duration) []Action {
	c.att.resendAt = now + c.cfg.ProbeInterval
	var actions []Action
	for _, m := range c.members {
		_, granted := c.att.granted[m.ID]
		if c.att.asked[m.ID] && !granted && !c.att.refused[m.ID] {
			actions = append(actions, Adopt{m.ID, c.att.term, c.att.id})
		}
	}
	return actions
}

func (c *Coordinator) stepAdopting(now time.Duration) []Action {
	if c.ended(now) {
		return nil
	}
	var actions []Action
	if c.att.from != "" && !c.att.asked[c.att.candidate] {
		actions = c.stepCatchUp(now)
		if c.state != Adopting {
			return actions
		}
	}
	if len(c.att.granted) >= c.quorum() {
		return append(actions, c.promote(now)...)
	}
	if len(c.att.asked)-len(c.att.refused) < c.quorum() && c.att.from == "" {
		c.fail(now)
		return actions
	}
	if now >= c.att.resendAt {
		actions = append(actions, c.ask(now)...)
	}
	return actions
}

// stepCatchUp freezes the old primary of a planned switch by adoption once the
// candidate has its whole log, and then asks the candidate. A switch that finds
// no such moment is given up before anything has changed at the members.
func (c *Coordinator) stepCatchUp(now time.Duration) []Action {
	from, candidate := c.member(c.att.from), c.member(c.att.candidate)
	if c.att.asked[from.ID] {
		if _, frozen := c.att.granted[from.ID]; !frozen {
			return nil
		}
		c.att.asked[candidate.ID] = true
		return c.ask(now)
	}
	if from.heardAt > c.att.quiescedAt && candidate.heardAt >= from.heardAt &&
		candidate.status.Last.AtLeast(from.status.Last) {
		c.att.asked[from.ID] = true
		return c.ask(now)
	}
	if now >= c.att.catchUpUntil {
		c.state = Watching
		c.att = nil
		c.switches++
		c.switchAfter = now + c.cfg.StepTimeout + c.jitter()
	}
	return nil
}

func (c *Coordinator) promote(now time.Duration) []Action {
	var best *member
	for _, m := range c.members {
		if _, granted := c.att.granted[m.ID]; !granted {
			continue
		}
		if best == nil || c.better(m, best) {
			best = m
		}
	}
	c.switches = 0
	if best.ID == c.att.from {
		c.switches = patientSwitches
		c.switchAfter = now + c.cfg.StepTimeout + c.jitter()
	}
	c.att.promoted = best.ID
	c.state = Promoting
	c.deadline = now + c.cfg.StepTimeout
	return []Action{Promote{best.ID, c.att.term, c.att.id}}
}

// better orders the members that granted: the greatest last position comes
// first, as the acknowledgement rule requires.
func (c *Coordinator) better(a, b *member) bool {
	if order := c.att.granted[a.ID].Compare(c.att.granted[b.ID]); order != 0 {
		return order > 0
	}
	return c.prefer(a, b)
}

// prefer orders members with equal positions.
func (c *Coordinator) prefer(a, b *member) bool {
	if c.leaving[a.ID] != c.leaving[b.ID] {
		return !c.leaving[a.ID]
	}
	order := cmp.Or(
		cmp.Compare(c.live[a.FailureDomain], c.live[b.FailureDomain]),
		cmp.Compare(b.ID, a.ID))
	return order > 0
}

func (c *Coordinator) stepPromoting(now time.Duration) []Action {
	if c.ended(now) {
		leader := c.leader()
		if leader != nil {
			return c.repair(leader, now)
		}
	}
	return nil
}

// ended leaves the attempt when its term has a primary, when a higher term has
// appeared, or when the step took too long.
func (c *Coordinator) ended(now time.Duration) bool {
	leader := c.leader()
	switch {
	case leader != nil && leader.status.Term >= c.att.term:
		c.state = Watching
		c.att = nil
	case c.seen > c.att.term, now >= c.deadline:
		c.fail(now)
	default:
		return false
	}
	return true
}

// fail returns to Watching with a jittered back-off and fresh probes, which show
// whether the attempt took effect without an answer.
func (c *Coordinator) fail(now time.Duration) {
	if c.att.from != "" {
		c.switchAfter = now + c.cfg.StepTimeout + c.jitter()
	}
	if c.state != Reserving {
		// The group is without a primary by this attempt, not by a fault that
		// needs time to be told from a short one.
		c.unhealthy = true
		c.since = min(c.since, now-c.cfg.SuspectAfter)
	}
	c.state = Watching
	c.att = nil
	c.failures++
	c.holdUntil = now + c.backoff()
	for _, m := range c.members {
		m.nextProbe = now
	}
}

// backoff returns one to two probe intervals, doubled with each failure.
func (c *Coordinator) backoff() time.Duration {
	doublings := min(c.failures-1, maxBackoffDoublings)
	base := c.cfg.ProbeInterval << doublings
	return base + time.Duration(c.cfg.Rand.Int64N(int64(base)))
}

// jitter returns up to one probe interval.
func (c *Coordinator) jitter() time.Duration {
	return time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ProbeInterval)))
}
