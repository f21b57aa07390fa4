package failover

import (
	"time"
)

// step advances the state machine as far as the latest observations allow.
func (c *Coordinator) step(now time.Duration) []Action {
	if !c.active {
		return nil
	}
	leader := c.leader()
	c.recordHealth(leader != nil, now)
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

func (c *Coordinator) recordHealth(healthy bool, now time.Duration) {
	if !healthy && !c.unhealthy {
		c.unhealthySince = now
	}
	c.unhealthy = !healthy
}

func (c *Coordinator) stepWatching(leader *member, now time.Duration) []Action {
	if leader == nil {
		if now < c.backoffUntil || !c.primaryLost(now) {
			return nil
		}
		return c.beginAttempt(&attempt{}, now)
	}
	if c.stalled(leader, now) && now >= c.backoffUntil {
		return c.beginAttempt(&attempt{excluded: leader.ID}, now)
	}
	if leader.status.Term >= c.triedTerm && !c.stalled(leader, now) {
		c.failedAttempts = 0
	}
	actions := c.repairReplication(leader, now)
	if candidate := c.switchoverCandidate(leader, now); candidate != nil {
		if c.abandonedSwitchovers >= maxAbandonedSwitchovers && c.reachableExcept(leader.ID) >= c.quorum() {
			return append(actions, c.beginAttempt(&attempt{excluded: leader.ID}, now)...)
		}
		return append(actions, c.beginAttempt(&attempt{oldPrimary: leader.ID, candidate: candidate.ID}, now)...)
	}
	return actions
}

// primaryLost reports whether the group has been without a healthy primary for
// SuspectAfter and a quorum is reachable.
func (c *Coordinator) primaryLost(now time.Duration) bool {
	if now-c.unhealthySince < c.cfg.SuspectAfter || c.reachableExcept("") < c.quorum() {
		return false
	}
	m := c.presumedPrimary()
	if m == nil {
		return true
	}
	switch m.reachability {
	case failing:
		return now-m.failingSince >= c.cfg.SuspectAfter
	case reachable:
		return true // it answers and is not the primary of the term
	default:
		return false
	}
}

func (c *Coordinator) stalled(leader *member, now time.Duration) bool {
	return leader.stalledFor(now) >= c.cfg.StalledAfter &&
		c.reachableExcept(leader.ID) >= c.quorum()
}

// switchoverCandidate returns the member that can replace a leaving primary, nil if
// there is none: it follows in the same term and has every entry that the primary
// had at the probe before the latest one. Under load a replica rarely has the very
// last entry.
func (c *Coordinator) switchoverCandidate(leader *member, now time.Duration) *member {
	if !c.leaving[leader.ID] || now < max(c.backoffUntil, c.switchoverBackoffUntil) {
		return nil
	}
	var best *member
	for _, m := range c.members {
		if c.leaving[m.ID] || m.reachability != reachable || !c.follows(m, leader) {
			continue
		}
		if m.statusAt < leader.statusAt || !m.status.Last.AtLeast(leader.previousLast) {
			continue
		}
		if best == nil || c.preferred(m, best) {
			best = m
		}
	}
	return best
}

func (c *Coordinator) follows(m, leader *member) bool {
	return m.hasStatus && m.status.Role == Replica && m.status.Term == leader.status.Term && m.status.Primary == leader.ID
}

// repairReplication makes reachable members follow the leader. A deposed primary
// is first moved to the leader's term, so that it commits nothing more.
func (c *Coordinator) repairReplication(leader *member, now time.Duration) []Action {
	var actions []Action
	for _, m := range c.members {
		if m == leader || m.reachability != reachable || !m.hasStatus || c.follows(m, leader) || now < m.nextFollow {
			continue
		}
		m.nextFollow = now + c.cfg.StepTimeout
		term := leader.status.Term
		if m.status.Role == Primary && m.status.Term < term {
			actions = append(actions, Adopt{m.ID, term, c.attemptID(term)})
			m.nextFollow = now + c.cfg.ProbeInterval
			continue
		}
		actions = append(actions, Follow{m.ID, term, leader.ID})
	}
	return actions
}
