package failover

import (
	"time"
)

// step moves the state machine as far as the current knowledge allows.
func (c *Coordinator) step(now time.Duration) []Action {
	if !c.active {
		return nil
	}
	leader := c.leader()
	c.noteHealth(leader != nil, now)
	switch c.state {
	case Reserving:
		return c.stepReserving(leader, now)
	case Adopting:
		return c.stepAdopting(now)
	case Promoting:
		return c.stepPromoting(now)
	default:
		return c.stepWatching(leader, now)
	}
}

func (c *Coordinator) noteHealth(healthy bool, now time.Duration) {
	if !healthy && !c.unhealthy {
		c.since = now
	}
	c.unhealthy = !healthy
}

func (c *Coordinator) stepWatching(leader *member, now time.Duration) []Action {
	if leader == nil {
		if now < c.holdUntil || !c.lost(now) {
			return nil
		}
		return c.begin(&attempt{}, now)
	}
	if c.stalled(leader, now) && now >= c.holdUntil {
		return c.begin(&attempt{exclude: leader.ID}, now)
	}
	if leader.status.Term >= c.tried && !c.stalled(leader, now) {
		c.failures = 0
	}
	actions := c.repair(leader, now)
	if candidate := c.successor(leader, now); candidate != nil {
		if c.switches >= patientSwitches && c.reachableExcept(leader.ID) >= c.quorum() {
			return append(actions, c.begin(&attempt{exclude: leader.ID}, now)...)
		}
		return append(actions, c.begin(&attempt{from: leader.ID, candidate: candidate.ID}, now)...)
	}
	return actions
}

// lost reports whether the primary has been gone for SuspectAfter and a quorum
// is reachable.
func (c *Coordinator) lost(now time.Duration) bool {
	if now-c.since < c.cfg.SuspectAfter || c.reachableExcept("") < c.quorum() {
		return false
	}
	m := c.supposed()
	if m == nil {
		return true
	}
	switch m.reach {
	case failing:
		return now-m.failingSince >= c.cfg.SuspectAfter
	case reachable:
		return true // it answers and does not claim the term
	default:
		return false
	}
}

func (c *Coordinator) stalled(leader *member, now time.Duration) bool {
	return leader.stalledFor(now) >= c.cfg.StalledAfter &&
		c.reachableExcept(leader.ID) >= c.quorum()
}

// successor returns the member that can take over from a leaving primary: it
// follows in the same term and has everything that the primary had at the probe
// before the last one. Under load a replica rarely has the very last entry.
func (c *Coordinator) successor(leader *member, now time.Duration) *member {
	if !c.leaving[leader.ID] || now < max(c.holdUntil, c.switchAfter) {
		return nil
	}
	var best *member
	for _, m := range c.members {
		if c.leaving[m.ID] || m.reach != reachable || !c.follows(m, leader) {
			continue
		}
		if m.heardAt < leader.heardAt || !m.status.Last.AtLeast(leader.before) {
			continue
		}
		if best == nil || c.prefer(m, best) {
			best = m
		}
	}
	return best
}

func (c *Coordinator) follows(m, leader *member) bool {
	return m.heard && m.status.Role == Replica && m.status.Term == leader.status.Term && m.status.Primary == leader.ID
}

// repair makes reachable members follow the leader. A deposed primary is first
// moved to the leader's term, so that it commits nothing more.
func (c *Coordinator) repair(leader *member, now time.Duration) []Action {
	var actions []Action
	for _, m := range c.members {
		if m == leader || m.reach != reachable || !m.heard || c.follows(m, leader) || now < m.followUntil {
			continue
		}
		m.followUntil = now + c.cfg.StepTimeout
		term := leader.status.Term
		if m.status.Role == Primary && m.status.Term < term {
			actions = append(actions, Adopt{m.ID, term, c.attemptID(term)})
			m.followUntil = now + c.cfg.ProbeInterval
			continue
		}
		actions = append(actions, Follow{m.ID, term, leader.ID})
	}
	return actions
}
