// Package failover decides when the primary of a database group is replaced and
// by which member.
//
// # Safety
//
// Several coordinators may run at once. Safety rests on the members alone: a
// member grants a term to one attempt, a quorum must grant before a promotion,
// and the candidate has the greatest last position of the quorum that granted.
// An attempt promotes one member at most, and each attempt of a coordinator has
// a new term and a new attempt id, so a promotion without an answer is never
// repeated on another member in the same term. The reservation at the platform,
// the probes and all timers only affect how soon a primary is found.
//
// # Progress
//
// A primary is replaced when fresh connections to it have failed for
// SuspectAfter, when no member claims the highest term for SuspectAfter (a
// coordinator died between adoption and promotion), when a reachable primary has
// had no quorum for StalledAfter and the other members form one, or when its
// member is leaving and another has caught up. An attempt needs a reachable
// quorum; in a group of two that is both members.
//
// A planned switch holds new writes through Quiesce, waits until the candidate has
// the whole log, adopts the old primary, which freezes that log, and then adopts
// and promotes the candidate. It gives up before the first Adopt if the candidate
// does not catch up.
package failover

import (
	"math"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// maxBackoffDoublings limits the back-off between attempts to 8 to 16 probe
// intervals.
const maxBackoffDoublings = 3

// patientSwitches is the number of planned switches that are given up without a
// candidate that has caught up. After that, a group of three leaves the old
// primary out, as if it had stalled: acknowledged writes are safe, and writes in
// flight end with an unknown outcome.
const patientSwitches = 3

// catchUpProbes is the number of probes per probe interval while a planned
// switch waits for its candidate, because writes are held up during that time.
const catchUpProbes = 10

// Coordinator watches one service and replaces its primary. Only the instance
// chosen for the service has it active.
type Coordinator struct {
	cfg     Config
	members []*member
	active  bool
	state   State
	att     *attempt
	// deadline ends the current step.
	deadline time.Duration
	// holdUntil is the end of the back-off after a failed attempt.
	holdUntil time.Duration
	// switchAfter is the end of the back-off after a planned switch that failed.
	switchAfter time.Duration
	// switches counts the planned switches that were given up in a row.
	switches int
	failures int
	// seen is the highest term that a member or a route has shown. tried is the
	// highest term that this coordinator or a winner of a reservation has used.
	seen, tried uint64
	// since is the time since when no healthy primary is known.
	unhealthy bool
	since     time.Duration
	route     Route
	hasRoute  bool
	leaving   map[MemberID]bool
	live      map[string]int
}

// New returns an inactive Coordinator.
func New(cfg Config, now time.Duration) *Coordinator {
	c := &Coordinator{cfg: cfg, leaving: map[MemberID]bool{}}
	for _, m := range cfg.Members {
		c.members = append(c.members, &member{Member: m, nextProbe: now})
	}
	return c
}

// SetActive makes this instance the coordinator of the service or ends that. An
// activated coordinator trusts no earlier observation of reachability.
func (c *Coordinator) SetActive(active bool, now time.Duration) []Action {
	if active == c.active {
		return nil
	}
	c.active = active
	c.state = Watching
	c.att = nil
	c.failures = 0
	c.holdUntil = 0
	c.unhealthy = false
	for _, m := range c.members {
		m.reach = unknown
		m.probing = false
		m.nextProbe = now
		m.followUntil = 0
		m.stallTarget = 0
	}
	return c.Tick(now)
}

// SetLiveInstances sets the number of live instances per failure domain, which
// decides between candidates with equal positions.
func (c *Coordinator) SetLiveInstances(live map[string]int) { c.live = live }

// SetLeaving moves the primary away from member as soon as another member has
// caught up, and avoids member as a candidate where positions allow it.
func (c *Coordinator) SetLeaving(m MemberID, now time.Duration) []Action {
	c.leaving[m] = true
	return c.step(now)
}

// ClearLeaving takes back SetLeaving.
func (c *Coordinator) ClearLeaving(m MemberID) { delete(c.leaving, m) }

// Route returns the known primary with the highest term.
func (c *Coordinator) Route() (Route, bool) { return c.route, c.hasRoute }

// State returns the current step.
func (c *Coordinator) State() State {
	if c.state == Watching && c.unhealthy {
		return Suspecting
	}
	return c.state
}

// Tick sends the probes that are due and ends the steps that took too long.
func (c *Coordinator) Tick(now time.Duration) []Action {
	if !c.active {
		return nil
	}
	var actions []Action
	for _, m := range c.members {
		if m.probing && now >= m.probeDeadline {
			actions = append(actions, c.probeFailed(m, m.probeFresh, now)...)
		}
		if !m.probing && now >= m.nextProbe {
			actions = append(actions, c.probe(m, m.reach == failing, now))
		}
	}
	return append(actions, c.step(now)...)
}

// NextTick returns the time at which Tick has work to do.
func (c *Coordinator) NextTick() time.Duration {
	if !c.active {
		return math.MaxInt64
	}
	next := time.Duration(math.MaxInt64)
	for _, m := range c.members {
		if m.probing {
			next = min(next, m.probeDeadline)
		} else {
			next = min(next, m.nextProbe)
		}
	}
	switch c.state {
	case Watching:
		// The probes drive everything else in this state.
	case Adopting:
		next = min(next, c.deadline, c.att.resendAt)
	default:
		next = min(next, c.deadline)
	}
	return next
}

// Probed notes the status of a member.
func (c *Coordinator) Probed(id MemberID, s Status, now time.Duration) []Action {
	m := c.member(id)
	if m == nil {
		return nil
	}
	m.probing = false
	m.observe(s, c.quorum(), now)
	c.seen = max(c.seen, s.Term)
	if c.catchingUp() && (id == c.att.candidate || id == c.att.from) {
		m.nextProbe = now + c.cfg.ProbeInterval/catchUpProbes
	}
	var actions []Action
	if s.Role == Primary {
		actions = c.learn(s.Term, id)
	}
	return append(actions, c.step(now)...)
}

// ProbeFailed notes a failed probe. A failure on an open connection leads to a
// probe on a fresh one and counts for nothing else.
func (c *Coordinator) ProbeFailed(id MemberID, fresh bool, now time.Duration) []Action {
	m := c.member(id)
	if m == nil || !c.active {
		return nil
	}
	return append(c.probeFailed(m, fresh, now), c.step(now)...)
}

// Reserved notes the answer of the platform. The attempt goes on without an
// answer after a jittered delay.
func (c *Coordinator) Reserved(term uint64, outcome ReserveOutcome, now time.Duration) []Action {
	if c.state != Reserving || term != c.att.term {
		return nil
	}
	switch outcome {
	case ReserveWon:
		return append(c.startAdopting(now), c.step(now)...)
	case ReserveLost:
		c.fail(now)
	default:
		c.deadline = min(c.deadline, now+c.jitter())
	}
	return c.step(now)
}

// Adopted notes the answer of a member to Adopt. When the member has not
// granted, term is the term of the member, or 0 if the call failed.
func (c *Coordinator) Adopted(id MemberID, granted bool, term uint64, last position.Position, now time.Duration) []Action {
	m := c.member(id)
	if m == nil {
		return nil
	}
	c.seen = max(c.seen, term)
	if granted && term >= m.status.Term {
		// A granting member follows no primary until it is told to.
		if term > m.status.Term {
			m.status = Status{Term: term}
		}
		m.heard = true
		m.status.Last = position.Max(m.status.Last, last)
		m.followUntil = 0
	}
	if c.state == Adopting && c.att.asked[id] {
		switch {
		case granted && term == c.att.term:
			c.att.granted[id] = last
		case term == c.att.term:
			c.att.refused[id] = true
		}
	}
	return c.step(now)
}

// Promoted notes the answer of the candidate.
func (c *Coordinator) Promoted(id MemberID, ok bool, term uint64, now time.Duration) []Action {
	m := c.member(id)
	if m == nil {
		return nil
	}
	if !ok {
		if c.state == Promoting && term == c.att.term {
			c.fail(now)
		}
		return c.step(now)
	}
	c.seen = max(c.seen, term)
	if term >= m.status.Term {
		// The first entry of the term makes Last at least (term, 0).
		last := position.Max(m.status.Last, position.Position{Term: term})
		m.status = Status{Role: Primary, Term: term, Last: last, Primary: id}
		m.heard = true
		m.reach = reachable
		m.observeStall(m.status, c.quorum(), now)
	}
	return append(c.learn(term, id), c.step(now)...)
}

// Followed notes the answer of a member to Follow.
func (c *Coordinator) Followed(id MemberID, ok bool, now time.Duration) []Action {
	m := c.member(id)
	if m == nil {
		return nil
	}
	// The next probe shows the effect; a repetition before it is of no use.
	m.followUntil = now + c.cfg.ProbeInterval
	if ok {
		m.nextProbe = min(m.nextProbe, now)
	}
	return c.step(now)
}

// LearnRoute takes over a route from a peer if its term is higher.
func (c *Coordinator) LearnRoute(r Route, now time.Duration) []Action {
	if r.Service != c.cfg.Service || c.member(r.Primary) == nil {
		return nil
	}
	c.seen = max(c.seen, r.Term)
	if len(c.learn(r.Term, r.Primary)) > 0 {
		c.member(r.Primary).nextProbe = now
	}
	return c.step(now)
}

func (c *Coordinator) member(id MemberID) *member {
	for _, m := range c.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

func (c *Coordinator) quorum() int { return len(c.members)/2 + 1 }

func (c *Coordinator) catchingUp() bool {
	return c.state == Adopting && c.att.from != "" && !c.att.asked[c.att.from]
}

func (c *Coordinator) probe(m *member, fresh bool, now time.Duration) Action {
	m.probing = true
	m.probeFresh = fresh
	m.probeDeadline = now + c.cfg.ProbeTimeout
	m.nextProbe = now + c.cfg.ProbeInterval
	return Probe{m.ID, fresh}
}

func (c *Coordinator) probeFailed(m *member, fresh bool, now time.Duration) []Action {
	if !fresh {
		if m.probing && m.probeFresh {
			return nil
		}
		return []Action{c.probe(m, true, now)}
	}
	m.probing = false
	if m.reach != failing {
		m.reach = failing
		m.failingSince = now
	}
	return nil
}

// learn takes over a primary of a higher term.
func (c *Coordinator) learn(term uint64, primary MemberID) []Action {
	if c.hasRoute && term <= c.route.Term {
		return nil
	}
	c.route = Route{c.cfg.Service, term, primary}
	c.hasRoute = true
	if !c.active {
		return nil
	}
	return []Action{Announce{c.route}}
}

// leader returns the reachable member that is primary in the highest known term.
func (c *Coordinator) leader() *member {
	for _, m := range c.members {
		if m.reach == reachable && m.leads(c.seen) {
			return m
		}
	}
	return nil
}

// supposed returns the member that others take for the primary of the highest
// known term, or that claimed it before it failed.
func (c *Coordinator) supposed() *member {
	for _, m := range c.members {
		if m.leads(c.seen) {
			return m
		}
	}
	if c.hasRoute && c.route.Term == c.seen {
		return c.member(c.route.Primary)
	}
	for _, m := range c.members {
		if m.heard && m.status.Term == c.seen && m.status.Primary != "" {
			return c.member(m.status.Primary)
		}
	}
	return nil
}

func (c *Coordinator) reachableExcept(id MemberID) int {
	n := 0
	for _, m := range c.members {
		if m.reach == reachable && m.ID != id {
			n++
		}
	}
	return n
}
