// Package failover decides when the primary of a database group is replaced, by
// failover or planned switchover, and elects the member that replaces it. It is a
// pure state machine: times are passed in, and each event returns the actions to
// perform.
//
// # Safety
//
// Several coordinators may run at once. Safety depends on the members alone: a
// member grants a term to one attempt, a quorum must grant the term before a
// promotion, and the promoted member has the greatest last position of the quorum
// that granted. An attempt promotes one member at most, and each attempt of a
// coordinator has a new term and a new attempt ID, so a promotion that was not
// answered is never repeated on another member in the same term. The reservation
// at the platform, the probes and all timers only affect how soon a primary is
// elected.
//
// # Liveness
//
// A primary is replaced when fresh connections to it have failed for
// SuspectAfter, when no member has been the primary of the highest term for
// SuspectAfter (a coordinator stopped between adoption and promotion), when a
// reachable primary has had no quorum for StalledAfter and the other members form
// one, or when its member is leaving and another has caught up. An attempt needs a
// reachable quorum; in a group of two that is both members.
//
// A planned switchover blocks new writes through Quiesce, waits until the
// candidate has the whole log, sends Adopt to the old primary, which freezes that
// log, and then sends Adopt and Promote to the candidate. It is abandoned before
// the first Adopt if the candidate does not catch up.
package failover

import (
	"math"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// maxBackoffDoublings limits the backoff between attempts to 8 to 16 probe
// intervals.
const maxBackoffDoublings = 3

// maxAbandonedSwitchovers is the number of planned switchovers in a row that are
// abandoned because no candidate caught up. After that, a group of three excludes
// the old primary, as if it had stalled: acknowledged writes are safe, and writes
// in flight end with an unknown outcome.
const maxAbandonedSwitchovers = 3

// catchUpProbesPerInterval is the number of probes per probe interval while a planned
// switchover waits for its candidate, because writes are blocked during that time.
const catchUpProbesPerInterval = 10

// Coordinator monitors the database group of one service and replaces its primary.
// It is active only on the instance that was chosen for the service. It is not safe
// for concurrent use.
type Coordinator struct {
	cfg     Config
	members []*member
	active  bool
	state   State
	attempt *attempt
	// deadline ends the current step.
	deadline time.Duration
	// backoffUntil is the end of the backoff after a failed attempt.
	backoffUntil time.Duration
	// switchoverBackoffUntil is the end of the backoff after a failed or abandoned
	// planned switchover.
	switchoverBackoffUntil time.Duration
	// abandonedSwitchovers counts the planned switchovers abandoned in a row.
	abandonedSwitchovers int
	failedAttempts       int
	// seenTerm is the highest term reported by a member or a route. triedTerm is
	// the highest term that an attempt of this coordinator has used.
	seenTerm, triedTerm uint64
	// unhealthySince is the time since which no healthy primary is known.
	unhealthy      bool
	unhealthySince time.Duration
	route          Route
	hasRoute       bool
	leaving        map[MemberID]bool
	liveInstances  map[string]int
}

// New returns an inactive Coordinator.
func New(cfg Config, now time.Duration) *Coordinator {
	c := &Coordinator{cfg: cfg, leaving: map[MemberID]bool{}}
	for _, m := range cfg.Members {
		c.members = append(c.members, &member{Member: m, nextProbe: now})
	}
	return c
}

// SetActive activates or deactivates the coordinator. An activated coordinator
// discards earlier observations of reachability.
func (c *Coordinator) SetActive(active bool, now time.Duration) []Action {
	if active == c.active {
		return nil
	}
	c.active = active
	c.state = Watching
	c.attempt = nil
	c.failedAttempts = 0
	c.backoffUntil = 0
	c.unhealthy = false
	for _, m := range c.members {
		m.reachability = unknown
		m.probing = false
		m.nextProbe = now
		m.nextFollow = 0
		m.stallTarget = 0
	}
	return c.Tick(now)
}

// SetLiveInstances sets the number of live instances per failure domain, which
// decides between candidates with equal positions.
func (c *Coordinator) SetLiveInstances(live map[string]int) { c.liveInstances = live }

// SetLeaving marks member m as leaving: if it is the primary, it is replaced as soon
// as another member has caught up, and it becomes the primary only if no other
// member of the quorum has a log as long.
func (c *Coordinator) SetLeaving(m MemberID, now time.Duration) []Action {
	c.leaving[m] = true
	return c.step(now)
}

// ClearLeaving reverts SetLeaving.
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

// Tick sends the probes that are due and ends probes and steps that have timed out.
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
			actions = append(actions, c.probe(m, m.reachability == failing, now))
		}
	}
	return append(actions, c.step(now)...)
}

// NextTick returns the time at which Tick is due; the greatest duration if the
// coordinator is inactive.
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
		// Everything else in this state happens on the answers to probes.
	case Adopting:
		next = min(next, c.deadline, c.attempt.resendAdoptAt)
	default:
		next = min(next, c.deadline)
	}
	return next
}

// Probed handles the status that a member returned to a probe.
func (c *Coordinator) Probed(id MemberID, s Status, now time.Duration) []Action {
	m := c.member(id)
	if m == nil {
		return nil
	}
	m.probing = false
	m.observe(s, c.quorum(), now)
	c.seenTerm = max(c.seenTerm, s.Term)
	if c.waitingForCandidate() && (id == c.attempt.candidate || id == c.attempt.oldPrimary) {
		m.nextProbe = now + c.cfg.ProbeInterval/catchUpProbesPerInterval
	}
	var actions []Action
	if s.Role == Primary {
		actions = c.adoptRoute(s.Term, id)
	}
	return append(actions, c.step(now)...)
}

// ProbeFailed handles a failed probe. A failure on an open connection only causes
// a probe on a fresh one.
func (c *Coordinator) ProbeFailed(id MemberID, fresh bool, now time.Duration) []Action {
	m := c.member(id)
	if m == nil || !c.active {
		return nil
	}
	return append(c.probeFailed(m, fresh, now), c.step(now)...)
}

// Reserved handles the answer of the platform to Reserve. If the platform is
// unavailable, the attempt continues without a reservation after a jittered delay.
func (c *Coordinator) Reserved(term uint64, outcome ReserveOutcome, now time.Duration) []Action {
	if c.state != Reserving || term != c.attempt.term {
		return nil
	}
	switch outcome {
	case ReserveWon:
		return append(c.startAdopting(now), c.step(now)...)
	case ReserveLost:
		c.failAttempt(now)
	default:
		c.deadline = min(c.deadline, now+c.jitter())
	}
	return c.step(now)
}

// Adopted handles the answer of a member to Adopt. If the member has not granted
// the term, term is the member's own term, or 0 if the call failed.
func (c *Coordinator) Adopted(id MemberID, granted bool, term uint64, last position.Position, now time.Duration) []Action {
	m := c.member(id)
	if m == nil {
		return nil
	}
	c.seenTerm = max(c.seenTerm, term)
	if granted && term >= m.status.Term {
		// A member that grants a term follows no primary until it receives Follow.
		if term > m.status.Term {
			m.status = Status{Term: term}
		}
		m.hasStatus = true
		m.status.Last = position.Max(m.status.Last, last)
		m.nextFollow = 0
	}
	if c.state == Adopting && c.attempt.asked[id] {
		switch {
		case granted && term == c.attempt.term:
			c.attempt.granted[id] = last
		case term == c.attempt.term:
			c.attempt.refused[id] = true
		}
	}
	return c.step(now)
}

// Promoted handles the answer of the candidate to Promote.
func (c *Coordinator) Promoted(id MemberID, ok bool, term uint64, now time.Duration) []Action {
	m := c.member(id)
	if m == nil {
		return nil
	}
	if !ok {
		if c.state == Promoting && term == c.attempt.term {
			c.failAttempt(now)
		}
		return c.step(now)
	}
	c.seenTerm = max(c.seenTerm, term)
	if term >= m.status.Term {
		// The first entry of the term makes Last at least (term, 0).
		last := position.Max(m.status.Last, position.Position{Term: term})
		m.status = Status{Role: Primary, Term: term, Last: last, Primary: id}
		m.hasStatus = true
		m.reachability = reachable
		m.observeStall(m.status, c.quorum(), now)
	}
	return append(c.adoptRoute(term, id), c.step(now)...)
}

// Followed handles the answer of a member to Follow.
func (c *Coordinator) Followed(id MemberID, ok bool, now time.Duration) []Action {
	m := c.member(id)
	if m == nil {
		return nil
	}
	// Follow is not repeated before the next probe, which shows its effect.
	m.nextFollow = now + c.cfg.ProbeInterval
	if ok {
		m.nextProbe = min(m.nextProbe, now)
	}
	return c.step(now)
}

// LearnRoute adopts a route from another instance if its term is higher.
func (c *Coordinator) LearnRoute(r Route, now time.Duration) []Action {
	if r.Service != c.cfg.Service || c.member(r.Primary) == nil {
		return nil
	}
	c.seenTerm = max(c.seenTerm, r.Term)
	if len(c.adoptRoute(r.Term, r.Primary)) > 0 {
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

func (c *Coordinator) waitingForCandidate() bool {
	return c.state == Adopting && c.attempt.oldPrimary != "" && !c.attempt.asked[c.attempt.oldPrimary]
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
	if m.reachability != failing {
		m.reachability = failing
		m.failingSince = now
	}
	return nil
}

// adoptRoute adopts a primary of a higher term than that of the known route and
// announces it if the coordinator is active.
func (c *Coordinator) adoptRoute(term uint64, primary MemberID) []Action {
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

// reachablePrimary returns the reachable member that is the primary in the highest
// known term; nil if there is none.
func (c *Coordinator) reachablePrimary() *member {
	for _, m := range c.members {
		if m.reachability == reachable && m.isPrimaryIn(c.seenTerm) {
			return m
		}
	}
	return nil
}

// presumedPrimary returns the member that was the primary of the highest known
// term when it last answered, or that the route or another member names as such;
// nil if there is none.
func (c *Coordinator) presumedPrimary() *member {
	for _, m := range c.members {
		if m.isPrimaryIn(c.seenTerm) {
			return m
		}
	}
	if c.hasRoute && c.route.Term == c.seenTerm {
		return c.member(c.route.Primary)
	}
	for _, m := range c.members {
		if m.hasStatus && m.status.Term == c.seenTerm && m.status.Primary != "" {
			return c.member(m.status.Primary)
		}
	}
	return nil
}

func (c *Coordinator) reachableExcept(id MemberID) int {
	n := 0
	for _, m := range c.members {
		if m.reachability == reachable && m.ID != id {
			n++
		}
	}
	return n
}
