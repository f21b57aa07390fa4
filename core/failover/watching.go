package failover

import (
	"time"
)

// step advances the state machine as far as the latest observations allow.
func (c *Coordinator) step(now time.Duration) []Action {
	if !c.active {
		return nil
	}
	primary := c.reachablePrimary()
	c.recordHealth(primary != nil, now)
	switch c.state {
	case Reserving:
		return c.stepReserving(primary, now)
	case Adopting:
		return c.stepAdopting(now)
	case Promoting:
		return c.stepPromoting(now)
	default:
		return c.stepWatching(primary, now)
	}
}

func (c *Coordinator) recordHealth(healthy bool, now time.Duration) {
	if !healthy && !c.unhealthy {
		c.unhealthySince = now
	}
	c.unhealthy = !healthy
}

func (c *Coordinator) stepWatching(primary *member, now time.Duration) []Action {
	if primary == nil {
		if now < c.backoffUntil || !c.primaryLost(now) {
			return nil
		}
		return c.beginAttempt(&attempt{}, now)
	}
	if c.stalled(primary, now) && now >= c.backoffUntil {
		return c.beginAttempt(&attempt{excluded: primary.ID}, now)
	}
	if primary.status.Term >= c.triedTerm && !c.stalled(primary, now) {
		c.failedAttempts = 0
	}
	actions := c.repairReplication(primary, now)
	if candidate := c.switchoverCandidate(primary, now); candidate != nil {
		if c.abandonedSwitchovers >= maxAbandonedSwitchovers && c.reachableExcept(primary.ID) >= c.quorum() {
			return append(actions, c.beginAttempt(&attempt{excluded: primary.ID}, now)...)
		}
		return append(actions, c.beginAttempt(&attempt{oldPrimary: primary.ID, candidate: candidate.ID}, now)...)
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

// stalled reports whether no quorum has confirmed the position of the primary for
// StalledAfter, while the other members form a quorum that can replace it.
func (c *Coordinator) stalled(primary *member, now time.Duration) bool {
	return primary.stalledFor(now) >= c.cfg.StalledAfter &&
		c.reachableExcept(primary.ID) >= c.quorum()
}

// switchoverCandidate returns the member that can replace a leaving primary, nil if
// there is none: it follows the primary in the same term and has every entry that the
// primary had at the probe before the latest one. Under load a replica rarely has the
// very last entry.
func (c *Coordinator) switchoverCandidate(primary *member, now time.Duration) *member {
	if !c.leaving[primary.ID] || now < max(c.backoffUntil, c.switchoverBackoffUntil) {
		return nil
	}
	var best *member
	for _, m := range c.members {
		if c.leaving[m.ID] || m.reachability != reachable || !c.follows(m, primary) {
			continue
		}
		if m.statusAt < primary.statusAt || !m.status.Last.AtLeast(primary.previousLast) {
			continue
		}
		if best == nil || c.preferred(m, best) {
			best = m
		}
	}
	return best
}

// follows reports whether m replicates from the primary in its term.
func (c *Coordinator) follows(m, primary *member) bool {
	return m.hasStatus && m.status.Role == Replica && m.status.Term == primary.status.Term && m.status.Primary == primary.ID
}

// repairReplication makes reachable members follow the primary. A member that is
// still primary in an earlier term is first moved to the current term, so that it
// commits nothing more.
func (c *Coordinator) repairReplication(primary *member, now time.Duration) []Action {
	var actions []Action
	for _, m := range c.members {
		if m == primary || m.reachability != reachable || !m.hasStatus || c.follows(m, primary) || now < m.nextFollow {
			continue
		}
		m.nextFollow = now + c.cfg.StepTimeout
		term := primary.status.Term
		if m.status.Role == Primary && m.status.Term < term {
			actions = append(actions, Adopt{m.ID, term, c.attemptID(term)})
			m.nextFollow = now + c.cfg.ProbeInterval
			continue
		}
		actions = append(actions, Follow{m.ID, term, primary.ID})
	}
	return actions
}
