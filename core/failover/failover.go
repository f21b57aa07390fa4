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
	"cmp"
	"fmt"
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

// Replace moves the primary away from member as soon as another member has
// caught up, and avoids member as a candidate where positions allow it.
func (c *Coordinator) Replace(m MemberID, now time.Duration) []Action {
	c.leaving[m] = true
	return c.step(now)
}

// Keep takes back Replace.
func (c *Coordinator) Keep(m MemberID) { delete(c.leaving, m) }

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
