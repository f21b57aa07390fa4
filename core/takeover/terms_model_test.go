package takeover_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/core/takeover"
)

// The model of site_model_test.go covers one change of primary in detail. This one covers any
// number of them, with terms, leases, quorums and late promotions; its members join, crash and
// come back with their logs, but do not leave.

// The constants of proxy/group that differ from those of the other model.
const (
	termsHolderListAge  = 1300 * time.Millisecond
	termsSettleTime     = 3200 * time.Millisecond
	termsClaimSettle    = termsHolderListAge + 100*time.Millisecond
	termsCountedAge     = 6500 * time.Millisecond
	termsReadListAge    = termsSettleTime - 300*time.Millisecond
	termsCallSettle     = 15 * time.Second
	termsCommitEvidence = 1200 * time.Millisecond
	termsSwitchover     = primacy.ReadLease + 500*time.Millisecond
	termsMaxLag         = 2 * time.Second
	termsDemoteTime     = time.Second
)

// termsRule changes what instances and databases do: those that begin with "no" or "only" add a
// condition, and the others are faults.
type termsRule string

const (
	noLatePass termsRule = "no commit is passed on that a promotion behind a cut has lost already"

	passesAnyTerm    termsRule = "commits of a term that the instance does not know are passed on"
	adoptsAny        termsRule = "a primary is adopted beside leases"
	boundsAny        termsRule = "neither a strict read nor an acknowledgement considers that a reading instance may not know a member"
	countsUnwatched  termsRule = "a replica counts whose pause a promotion may have ended"
	publishesAtOnce  termsRule = "a holder publishes at once"
	countsRestarts   termsRule = "an answer of a process that restarted counts as unpaused"
	trustsAnyPrimary termsRule = "a quorum counts replicas of any term"
	ignoresMayLead   termsRule = "a member that may lead again need not have a commit"
	keepsOneCall     termsRule = "the record keeps one call without an answer"
)

// termsMember is a database.
type termsMember struct {
	id           string
	log          []position.Position
	term         uint64
	primary, up  bool
	paused       bool
	process      int           // number of its starts
	behindSince  time.Duration // since when it has lacked an entry of its primary; 0 if it lacks none
	reachedSince time.Duration // since when it, a former primary, has reached its successor
}

func (m *termsMember) last() position.Position { return m.log[len(m.log)-1] }

func (m *termsMember) status() takeover.Status {
	s := takeover.Status{Primary: m.primary, Term: m.term, Received: m.last()}
	if m.paused {
		s.PausedTerm = m.term + 1
	}
	return s
}

// termsView is what an instance knows of a member; see group.member.
type termsView struct {
	m           *termsMember
	knownSince  time.Duration
	unanswered  bool
	process     int           // that the pooled connection leads to
	connectedAt time.Duration // when that was opened
	runsSince   time.Duration // since when the process of the last answer is known to run
	maxPosition position.Position
	evidence    takeover.Evidence
	watch       takeover.PauseWatch
}

// termsInstance is an instance of the proxy; see group.Group.
type termsInstance struct {
	id                       string
	views                    map[string]*termsView
	order                    []string // keys of views, in the order of their discovery
	membersAsOf              time.Duration
	tracker                  primacy.Tracker
	recordReadAt, noClaimAt  time.Duration
	candidate                string // announced
	announcedAt              time.Duration
	acked                    position.Position
	ackSentAt                time.Duration // when the last acknowledged write was sent to the primary
	later                    primacy.Primary
	laterSince               time.Duration
	holder                   *termsHolder
	frozenUntil              time.Duration
	listAfter, recordAfter   time.Duration // its next reads are answered then at the earliest
	suspects, primaryReplica bool
}

// termsHolder is an attempt to replace the primary; see group.failover.
type termsHolder struct {
	record                          primacy.Record
	old                             primacy.Primary
	claimSentAt, startedAt          time.Duration
	firstClaimAt, promoteAfter      time.Duration
	promotedAt                      time.Duration
	promoted, announced, called     string
	calledAt                        time.Duration
	callUnanswered                  bool
	succession                      takeover.Succession
	claimedAt, pausedAt, roundAt    time.Duration
	in                              takeover.Input
	pendingUntil, ownUntil, earlier time.Duration
	stepDown, handOver, asked       bool
	step                            takeover.Step
	pending                         bool // the last round waited for the effect of a call
	publishing                      bool
	next                            primacy.Record // to be stored at publishAt
	publishAt                       time.Duration
}

type termsCall struct {
	member  *termsMember
	process int
	at      time.Duration
}

// termsWrite is a commit that an instance has sent to a primary.
type termsWrite struct {
	by       *termsInstance
	on       *termsMember
	p        position.Position
	sentAt   time.Duration
	answered bool
}

// termsSite is a group of databases, the record in the store and the instances.
type termsSite struct {
	rules     map[termsRule]bool
	now       time.Duration
	members   []*termsMember
	instances []*termsInstance
	record    primacy.Record
	blocked   map[[2]string]bool
	leader    *termsMember // promoted last
	calls     []termsCall
	passed    []position.Position // commits whose acknowledgement was passed on
	writes    []*termsWrite
	counts    termsCounts
	trace     []string
	violation string // what the sequence violates, without details
}

// termsCounts counts what happened in a sequence.
type termsCounts struct{ passed, promotions, changes, leased, confirmed, bounded, adopted int }

func (c *termsCounts) add(o termsCounts) {
	*c = termsCounts{c.passed + o.passed, c.promotions + o.promotions, c.changes + o.changes, c.leased + o.leased, c.confirmed + o.confirmed, c.bounded + o.bounded, c.adopted + o.adopted}
}

func newTermsSite(rules ...termsRule) *termsSite {
	s := &termsSite{rules: make(map[termsRule]bool), now: time.Minute, blocked: make(map[[2]string]bool)}
	for _, r := range rules {
		s.rules[r] = true
	}
	s.record = primacy.Record{Primary: primacy.Primary{Member: "a", Term: 1}, Version: 1}
	for _, id := range []string{"a", "b", "c"} {
		s.members = append(s.members, &termsMember{id: id, log: []position.Position{{Term: 1, Offset: 1}}, term: 1, up: true, primary: id == "a"})
	}
	s.leader = s.members[0]
	for _, at := range []time.Duration{0, 10 * time.Second} {
		s.now += at
		for n, id := range []string{"x", "y", "z"} {
			if at == 0 {
				s.instances = append(s.instances, &termsInstance{id: id, views: make(map[string]*termsView)})
			}
			s.readList(s.instances[n])
			s.readRecord(s.instances[n])
			s.askAll(s.instances[n])
		}
	}
	return s
}

func (s *termsSite) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *termsSite) reach(a, b string) bool { return a == b || !s.blocked[link(a, b)] }

// readList lets an instance read the members; see Group.UpdateMembers.
func (s *termsSite) readList(i *termsInstance) {
	if !s.reach(i.id, "store") {
		return
	}
	for _, m := range s.members {
		if i.views[m.id] == nil {
			i.views[m.id] = &termsView{m: m, knownSince: s.now}
			i.order = append(i.order, m.id)
		}
	}
	i.membersAsOf = s.now
}

// readRecord lets an instance read the record; see Group.UpdateRecord.
func (s *termsSite) readRecord(i *termsInstance) {
	if s.reach(i.id, "store") {
		s.observeRecord(i, s.record, s.now)
	}
}

// observeRecord handles the answer to a read that the store answered at sentAt.
func (s *termsSite) observeRecord(i *termsInstance, r primacy.Record, sentAt time.Duration) {
	before, version := i.tracker.Primary(), i.tracker.Record().Version
	if i.tracker.ObserveRecord(r, sentAt, sentAt) {
		s.primaryChanged(i, before)
	}
	i.recordReadAt = max(i.recordReadAt, sentAt)
	newest := i.tracker.Record()
	switch {
	case newest.Claim == nil || newest.Claim.Candidate == "":
		i.candidate = ""
	case i.candidate != newest.Claim.Candidate:
		i.candidate, i.announcedAt = newest.Claim.Candidate, s.now
	}
	if r.Version >= version && r.Claim == nil {
		i.noClaimAt = max(i.noClaimAt, sentAt)
	}
}

// primaryChanged lets an instance forget the former primary, which it asks to step down; see
// Group.observePrimaryChange.
func (s *termsSite) primaryChanged(i *termsInstance, before primacy.Primary) {
	i.ackSentAt, i.later, i.suspects, i.primaryReplica = 0, primacy.Primary{}, false, false
	for _, v := range i.views {
		v.maxPosition = position.Position{}
	}
	after := i.tracker.Primary()
	if v := i.views[before.Member]; v != nil && before.Member != after.Member && i.tracker.Record().Primary == after {
		s.command(i, []string{before.Member}, func(m *termsMember) { m.primary = m.primary && m.term >= after.Term })
	}
}

// command lets an instance send a command to the members that it reaches.
func (s *termsSite) command(i *termsInstance, ids []string, do func(m *termsMember)) {
	for _, m := range s.members {
		if m.up && s.reach(i.id, m.id) && slices.Contains(ids, m.id) {
			do(m)
		}
	}
}

// put stores a record of an instance if nobody else has stored one meanwhile.
func (s *termsSite) put(i *termsInstance, r primacy.Record) (primacy.Record, bool) {
	if !s.reach(i.id, "store") || r.Version != s.record.Version {
		return r, false
	}
	r.Version = storeversion.Version(uint64(r.Version) + 1)
	s.record = r
	s.observeRecord(i, r, s.now)
	return r, true
}

// ask lets an instance ask a member for its status; see Group.control.
func (s *termsSite) ask(i *termsInstance, v *termsView) *takeover.Status {
	m := v.m
	if !s.reach(i.id, m.id) {
		v.unanswered = true
		return nil
	}
	if !m.up {
		v.unanswered, v.evidence.Gone = true, true
		return nil
	}
	v.unanswered = false
	if v.connectedAt == 0 || v.process != m.process {
		v.process, v.connectedAt = m.process, s.now
	}
	status := m.status()
	v.runsSince = max(v.connectedAt, v.knownSince)
	if s.rules[countsRestarts] {
		v.runsSince = 0
	}
	v.watch.Observe(m.paused, s.now, s.now, siteMaxWatchGap)
	v.evidence.Observe(status, v.runsSince)
	return &status
}

// askAll asks all members that an instance knows; see Group.controlMembers.
func (s *termsSite) askAll(i *termsInstance) (all []takeover.Member) {
	for _, id := range i.order {
		v := i.views[id]
		member := takeover.Member{ID: id, Status: s.ask(i, v)}
		member.Gone, member.Settled = member.Status == nil && v.evidence.Gone, s.settled(v)
		member.Watched = member.Status != nil && s.watched(i, v)
		if member.Status != nil {
			member.LogShrunk = !member.Status.Received.AtLeast(v.maxPosition)
			v.maxPosition = position.Max(v.maxPosition, member.Status.Received)
		}
		all = append(all, member)
	}
	return all
}

// settled and watched are those of proxy/group.
func (s *termsSite) settled(v *termsView) bool { return s.now-v.knownSince >= termsSettleTime }

func (s *termsSite) watched(i *termsInstance, v *termsView) bool {
	return s.rules[countsUnwatched] || v.runsSince <= i.noClaimAt && (s.now-i.noClaimAt <= siteNoticeTime || v.watch.Covers(i.noClaimAt+siteNoticeTime, s.now, siteMaxWatchGap))
}

// containment returns what an instance knows of a commit; see Group.commitContainment.
func (s *termsSite) containment(i *termsInstance, id string, p position.Position) takeover.Containment {
	claim, primary := i.tracker.ClaimAgainst(id, p), i.views[id]
	switch {
	case i.tracker.Replaced(id, p), p.Term < i.tracker.Primary().Term && !s.rules[passesAnyTerm]:
		return takeover.Superseded
	case !i.tracker.Establishes(id, p) && !s.rules[passesAnyTerm]:
		return takeover.Unestablished
	}
	outdated := s.now-i.recordReadAt > siteNoticeTime
	var all []takeover.Evidence
	for _, other := range i.order {
		if other == id {
			continue
		}
		v := i.views[other]
		v.evidence.ObserveNoClaim(i.noClaimAt)
		e, recent := v.evidence, s.now-i.membersAsOf <= termsCountedAge
		e.Member = other
		e.Counted = s.settled(v) && i.noClaimAt-v.knownSince >= termsClaimSettle && recent && s.watched(i, v)
		e.Counted = e.Counted && s.settled(primary) && (primary.runsSince <= i.noClaimAt || s.rules[countsUnwatched])
		e.MayBeLeftOut = !recent && v.runsSince > i.membersAsOf || outdated && !e.Anchored(p)
		e.Unsettled = !s.settled(v) && !s.rules[boundsAny]
		all = append(all, e)
	}
	known := claim
	if claim != nil && claim.Successor() != "" && outdated {
		known = nil
		for k := range all {
			all[k].Counted = false
		}
	}
	c := takeover.Contains(known, p, all)
	if c == takeover.Contained && claim != nil && known == nil && !takeover.Held(claim.Successor(), p, all) {
		c = takeover.Unproven
	}
	r := i.tracker.Record()
	mayLack := slices.ContainsFunc(r.MayLeadAt(s.now), func(late string) bool { return late != id && takeover.MayLack(late, p, all) })
	if c == takeover.Contained && !s.rules[ignoresMayLead] && mayLack {
		return takeover.Unproven
	}
	return c
}
