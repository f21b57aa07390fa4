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

// The constants of proxy/group on which its decisions rest, and those of the databases.
const (
	siteSendWindow       = 1200 * time.Millisecond
	sitePromoteTimeout   = 600 * time.Millisecond
	sitePromotionTime    = 1200 * time.Millisecond
	siteClaimTTL         = siteSendWindow + sitePromoteTimeout + 400*time.Millisecond
	siteRenewalAge       = 800 * time.Millisecond
	siteAttemptTimeout   = 6 * time.Second
	siteResendDelay      = 2500 * time.Millisecond
	siteMaxHolderListAge = 1300 * time.Millisecond
	siteSettleTime       = 3200 * time.Millisecond
	siteClaimSettleTime  = siteMaxHolderListAge + 100*time.Millisecond
	siteRetention        = 7 * time.Second
	siteMaxCountedAge    = siteRetention - 500*time.Millisecond
	siteMaxGoneGap       = 1500 * time.Millisecond
	siteMissingTimeout   = 2500 * time.Millisecond
	siteMaxReadGap       = 2200 * time.Millisecond
	siteMaxMembersAge    = siteSettleTime - 300*time.Millisecond
	siteMaxStoreReadAge  = 900 * time.Millisecond
	siteNoticeTime       = 400 * time.Millisecond
	siteMaxWatchGap      = 300 * time.Millisecond
	siteCallSettleTime   = 15 * time.Second

	siteEntryExpiry = 3 * time.Second // silence after which the store removes an entry
	siteDrainTime   = 3 * time.Second
	siteMaxLag      = 2 * time.Second
)

// siteFault is a fault that the model plants into the instances.
type siteFault string

const (
	faultNone           siteFault = ""
	faultWord           siteFault = "the word of the database counts as proof"
	faultUncounted      siteFault = "an uncounted or leaving replica counts"
	faultRestart        siteFault = "an answer of a process that restarted counts as unpaused"
	faultNonePaused     siteFault = "no replica is paused counts as proof"
	faultOldList        siteFault = "a holder with an old list promotes"
	faultNoAnnounceWait siteFault = "the announcement wait is left out"
	faultNamesAtOnce    siteFault = "a holder that gives up its announcement names another member at once"

	// Faults that the product has. The model does without the situations that they need, or
	// corrects them.
	faultUnknownMember  siteFault = "an instance never reads the entry of a member, which has expired and may have commits"
	faultLeavingCounted siteFault = "a replica that has left counts for an instance that has not read that it leaves"
	faultUnreadRestart  siteFault = "a member restarts without its log, which a holder has not read of"
)

// siteMember is a database. All entries are of term 1, so that its log is a length.
type siteMember struct {
	id          string
	log         uint64
	behindSince time.Duration // since when it has lacked an entry of the primary; 0 if it lacks none
	primary, up bool
	paused      bool
	registered  bool // it writes its entry
	draining    bool
	drainingAt  time.Duration
	heardAt     time.Duration // last write of its entry
	process     int           // number of its starts
	incarnation int           // number of its starts without its log
}

// siteView is what an instance knows of a member; see group.member.
type siteView struct {
	m                          *siteMember
	missingSince, leavingSince time.Duration
	knownSince                 time.Duration
	departed, draining         bool
	unanswered, paused         bool
	incarnation                int
	floor, maxLog              uint64
	process                    int           // that the pooled connection leads to
	connectedAt                time.Duration // when that was opened
	runsSince                  time.Duration // since when the process of the last answer is known to run
	goneAt                     time.Duration // when its process was last found not to run
	evidence                   takeover.Evidence
	departure                  takeover.Departure
	watch                      takeover.PauseWatch
}

// siteInstance is an instance of the proxy; see group.Group.
type siteInstance struct {
	id           string
	views        map[string]*siteView
	order        []string // keys of views, in the order of their discovery
	membersAsOf  time.Duration
	lastListRead time.Duration
	tracker      primacy.Tracker
	recordReadAt time.Duration
	noClaimAt    time.Duration
	candidate    string // announced
	announcedAt  time.Duration
	acked        uint64
	seen         uint64 // highest position of the primary
	holder       *siteHolder
	frozenUntil  time.Duration
	listAfter    time.Duration // its next read of the list is answered then at the earliest
	recordAfter  time.Duration // the same for the record
}

// siteHolder is an attempt to replace the primary; see group.failover.
type siteHolder struct {
	record                 primacy.Record
	claimSentAt, startedAt time.Duration
	claimedAt, pausedAt    time.Duration // of its first claim and its last command to pause
	roundAt                time.Duration
	promotedAt             time.Duration
	promoted, announced    string
	called                 string
	calledAt               time.Duration
	succession             takeover.Succession
	promoteAfter           time.Duration
	pendingUntil           time.Duration
	ownUntil, earlierUntil time.Duration
	stepDown, handOver     bool
	asked                  bool // step and input are those of a round
	step                   takeover.Step
	in                     takeover.Input
}

type siteCall struct {
	member  *siteMember
	process int
	at      time.Duration
}

// siteWrite is a commit that an instance has sent to the primary.
type siteWrite struct {
	by       *siteInstance
	n        uint64
	sentAt   time.Duration
	answered bool // the primary's acknowledgement has arrived at the instance
}

// siteCounts counts what happened in a sequence.
type siteCounts struct{ passed, promotions, planned, reads, aborted int }

// site is a group of databases, the record in the store and the instances.
type site struct {
	fault     siteFault
	now       time.Duration
	members   []*siteMember
	instances []*siteInstance
	record    primacy.Record
	blocked   map[[2]string]bool
	calls     []siteCall
	passed    uint64 // highest commit whose acknowledgement was passed on
	lost      uint64 // highest entry of a log that was lost by a restart
	writes    []*siteWrite
	received  uint64 // highest entry that the primary knows on a replica
	failure   string // the unplanned failure that has not ended
	counts    siteCounts
	trace     []string
	violation string
}

func (s *site) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func siteAt(n uint64) position.Position { return position.Position{Term: 1, Offset: n} }

var siteOldPrimary = primacy.Primary{Member: "a", Term: 1}

func newSite(fault siteFault) *site {
	s := &site{fault: fault}
	s.reset()
	return s
}

// reset begins with a complete group that every instance knows.
func (s *site) reset() {
	*s = site{fault: s.fault, now: time.Minute, blocked: make(map[[2]string]bool), counts: s.counts, trace: s.trace}
	s.logf("begin")
	s.record = primacy.Record{Primary: siteOldPrimary, Version: 1}
	for _, id := range []string{"a", "b", "c"} {
		s.members = append(s.members, &siteMember{id: id, log: 1, up: true, registered: true, heardAt: s.now, primary: id == "a"})
	}
	for _, id := range []string{"x", "y", "z"} {
		i := &siteInstance{id: id, views: make(map[string]*siteView)}
		s.instances = append(s.instances, i)
		s.readList(i)
		s.readRecord(i)
	}
	s.now += 10 * time.Second
	for _, m := range s.members {
		m.heardAt = s.now
	}
	for _, i := range s.instances {
		s.readList(i)
		s.readRecord(i)
		s.askAll(i)
	}
}

func (s *site) primary() *siteMember { return s.members[0] }

func link(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (s *site) reach(a, b string) bool { return !s.blocked[link(a, b)] }

// entered reports whether a member is in the list of the store.
func (s *site) entered(m *siteMember) bool { return m.registered && s.now-m.heardAt <= siteEntryExpiry }

// readList lets an instance read the members; see Group.UpdateMembers.
func (s *site) readList(i *siteInstance) {
	missed := func(m *siteMember) bool { return m.registered && !s.entered(m) && i.views[m.id] == nil }
	if !s.reach(i.id, "store") || s.fault != faultUnknownMember && slices.ContainsFunc(s.members, missed) {
		return
	}
	for _, m := range s.members {
		if s.entered(m) {
			s.updateMember(i, m)
		} else if v := i.views[m.id]; v != nil {
			s.updateMissing(i, v)
		}
	}
	i.lastListRead, i.membersAsOf = s.now, s.now
}

func (s *site) updateMember(i *siteInstance, m *siteMember) {
	v := i.views[m.id]
	if v == nil {
		v = &siteView{m: m, knownSince: s.now, incarnation: m.incarnation}
		i.views[m.id] = v
		i.order = append(i.order, m.id)
	}
	if v.missingSince != 0 {
		v.knownSince, v.evidence = s.now, takeover.Evidence{} // others may have forgotten it meanwhile
	}
	if v.missingSince != 0 || !s.uncounted(v) {
		v.departure = takeover.Departure{}
	}
	v.missingSince, v.departed, v.draining = 0, false, m.draining
	if v.incarnation != m.incarnation {
		v.incarnation, v.floor, v.knownSince, v.evidence, v.departure = m.incarnation, i.seen, s.now, takeover.Evidence{}, takeover.Departure{}
	}
	switch {
	case !m.draining:
		v.leavingSince = 0
	case v.leavingSince == 0:
		v.leavingSince = s.now
	}
}

func (s *site) updateMissing(i *siteInstance, v *siteView) {
	if v.missingSince == 0 || !v.departed && s.now-i.lastListRead > siteMaxReadGap {
		v.missingSince = s.now
	}
	if v.leavingSince == 0 {
		v.leavingSince = s.now
	}
	v.departed = v.departed || s.now-v.missingSince >= siteMissingTimeout
	if v.departed && v.m.id != "a" && !s.forgetDeparted(i, v) {
		s.ask(i, v)
		s.askRemaining(i, v)
	}
}

// uncounted reports whether no instance counts a member; see Group.uncounted.
func (s *site) uncounted(v *siteView) bool {
	return v.leavingSince != 0 && s.now-v.leavingSince >= siteRetention
}

// trackDeparture begins or ends the departure of a member; see Group.trackDeparture.
func (s *site) trackDeparture(v *siteView) {
	gone := v.evidence.Gone && s.now-v.goneAt <= siteMaxGoneGap
	switch uncounted := s.uncounted(v); {
	case !uncounted && !gone:
		v.departure = takeover.Departure{}
	case uncounted && !gone && v.departure.Since() < v.leavingSince+siteRetention:
		v.departure = takeover.Departure{}
		v.departure.Begin(s.now)
	default:
		v.departure.Begin(s.now)
	}
}

// askRemaining asks the other members whether they have the commits of one that has departed; see
// Group.askRemaining.
func (s *site) askRemaining(i *siteInstance, v *siteView) {
	a := i.views["a"]
	if !v.departure.AwaitsAnswers(i.recordReadAt) || i.views[v.m.id] != v || a == nil || a.departed || s.ask(i, a) == nil {
		return
	}
	for _, id := range slices.Clone(i.order) {
		if r := i.views[id]; r != nil && id != "a" && !r.departed {
			s.ask(i, r)
		}
	}
}

// observeRemaining handles what a status shows of the departures of others; see
// Group.observeRemaining.
func (s *site) observeRemaining(i *siteInstance, v *siteView, status takeover.Status) {
	for _, id := range slices.Clone(i.order) {
		other := i.views[id]
		if other == v || !other.departure.Begun() {
			continue
		}
		if v.m.id == "a" && status.Primary && i.tracker.Undisputed() {
			other.departure.ObservePrimary(status.Received, min(s.now, i.recordReadAt))
		}
		for _, r := range i.views {
			if r != other && r.m.id != "a" && s.settled(r) {
				other.departure.ObserveReplica(r.evidence.Log())
			}
		}
		s.forgetDeparted(i, other)
	}
}

// forgetDeparted leaves out a departed member if it may be; see Group.forgetDeparted.
func (s *site) forgetDeparted(i *siteInstance, v *siteView) bool {
	if !v.departed || !v.unanswered || v.m.id == "a" {
		return false
	}
	s.trackDeparture(v)
	if !v.departure.Covered() {
		return false
	}
	i.remove(v.m.id)
	return true
}

// settled reports whether each instance that reads without the primary knows a member; see
// Group.settled.
func (s *site) settled(v *siteView) bool {
	return v.missingSince == 0 && s.now-v.knownSince >= siteSettleTime
}

func (i *siteInstance) remove(id string) {
	delete(i.views, id)
	i.order = slices.DeleteFunc(slices.Clone(i.order), func(o string) bool { return o == id })
}

// readRecord lets an instance read the record; see Group.UpdateRecord.
func (s *site) readRecord(i *siteInstance) {
	if s.reach(i.id, "store") {
		s.observeRecord(i, s.record, s.now, s.now)
	}
}

// observeRecord handles the answer to a read that was sent, and answered by the store, at sentAt.
func (s *site) observeRecord(i *siteInstance, r primacy.Record, sentAt, at time.Duration) {
	old := i.tracker.Record().Version
	i.tracker.ObserveRecord(r, sentAt, sentAt)
	i.recordReadAt = max(i.recordReadAt, sentAt)
	newest := i.tracker.Record()
	switch {
	case newest.Claim == nil || newest.Claim.Candidate == "":
		i.candidate = ""
	case i.candidate != newest.Claim.Candidate:
		i.candidate, i.announcedAt = newest.Claim.Candidate, at
	}
	if r.Version >= old && r.Claim == nil {
		i.noClaimAt = max(i.noClaimAt, sentAt)
	}
}

// put stores a record of an instance if nobody else has stored one meanwhile.
func (s *site) put(i *siteInstance, r primacy.Record) (primacy.Record, bool) {
	if !s.reach(i.id, "store") || r.Version != s.record.Version {
		return r, false
	}
	r.Version = storeversion.Version(uint64(r.Version) + 1)
	s.record = r
	s.observeRecord(i, r, s.now, s.now)
	return r, true
}

// ask lets an instance ask a member for its status; see Group.control.
func (s *site) ask(i *siteInstance, v *siteView) (answer *takeover.Status) {
	m := v.m
	switch {
	case !s.reach(i.id, m.id):
		v.unanswered, v.evidence.Gone = true, false
		s.observeUnanswered(i, v)
		return nil
	case !m.up:
		if s.now-v.goneAt > siteMaxGoneGap && !s.uncounted(v) {
			v.departure = takeover.Departure{}
		}
		v.unanswered, v.evidence.Gone, v.goneAt = true, true, s.now
		s.observeUnanswered(i, v)
		return nil
	}
	v.unanswered, v.paused = false, m.paused
	if v.connectedAt == 0 || v.process != m.process {
		v.process, v.connectedAt = m.process, s.now
	}
	status := takeover.Status{Primary: m.primary, Term: 1, Received: siteAt(m.log)}
	if m.paused {
		status.PausedTerm = 2
	}
	if m.id == "a" {
		i.seen = max(i.seen, m.log)
	}
	v.runsSince = max(v.connectedAt, v.knownSince)
	if s.fault == faultRestart {
		v.runsSince = 0
	}
	v.watch.Observe(m.paused, s.now, s.now, siteMaxWatchGap)
	s.trackDeparture(v)
	if v.floor <= m.log {
		v.evidence.Observe(status, v.runsSince)
		s.observeRemaining(i, v, status)
	}
	return &status
}

// observeUnanswered handles the silence or the end of a member.
func (s *site) observeUnanswered(i *siteInstance, v *siteView) {
	s.trackDeparture(v)
	if i.views[v.m.id] == v {
		s.forgetDeparted(i, v)
	}
}

// watched reports whether no promotion can have ended a pause of a member unseen; see Group.watched.
func (s *site) watched(i *siteInstance, v *siteView) bool {
	return v.runsSince <= i.noClaimAt && (s.now-i.noClaimAt <= siteNoticeTime || v.watch.Covers(i.noClaimAt+siteNoticeTime, s.now, siteMaxWatchGap))
}

// askAll asks all members that an instance knows; see Group.controlMembers.
func (s *site) askAll(i *siteInstance) (all []takeover.Member) {
	var asked []*siteView
	for _, id := range i.order {
		asked = append(asked, i.views[id])
	}
	for _, v := range asked {
		member := takeover.Member{ID: v.m.id, Draining: v.draining, Deregistered: v.departed}
		if member.Status = s.ask(i, v); member.Status != nil {
			member.LogLost, member.LogShrunk = v.floor > v.m.log, v.maxLog > v.m.log
			v.maxLog = max(v.maxLog, v.m.log)
		}
		member.Gone = member.Status == nil && v.evidence.Gone
		member.Settled = s.settled(v)
		all = append(all, member)
	}
	return all
}

// containment returns what an instance knows of a commit; see Group.commitContainment.
func (s *site) containment(i *siteInstance, n uint64) takeover.Containment {
	claim, p := i.tracker.ClaimAgainst("a", siteAt(n)), siteAt(n)
	if i.tracker.Replaced("a", p) {
		return takeover.Superseded
	}
	outdated := s.now-i.recordReadAt > siteNoticeTime
	var all []takeover.Evidence
	nonePaused, primary := true, i.views["a"]
	for _, id := range i.order {
		if id == "a" {
			continue
		}
		v := i.views[id]
		v.evidence.ObserveNoClaim(i.noClaimAt)
		e := v.evidence
		e.Member = id
		recent := s.now-i.membersAsOf <= siteMaxCountedAge
		e.Counted = v.missingSince == 0 && !v.draining && s.now-v.knownSince >= siteSettleTime && i.noClaimAt-v.knownSince >= siteClaimSettleTime && recent && s.watched(i, v)
		e.Counted = e.Counted && primary != nil && s.settled(primary) && primary.runsSince <= i.noClaimAt
		e.Counted = e.Counted || s.fault == faultUncounted
		e.MayBeLeftOut = v.missingSince != 0 || v.draining || !recent && v.runsSince > i.membersAsOf || outdated && !e.Anchored(p)
		e.Unsettled = !s.settled(v)
		nonePaused = nonePaused && !v.paused
		all = append(all, e)
	}
	known := claim
	if claim != nil && claim.Successor() != "" && outdated {
		known = nil
		for k := range all {
			all[k].Counted = false
		}
	}
	if s.fault == faultWord && claim == nil || s.fault == faultNonePaused && nonePaused && (claim == nil || claim.Candidate == "") {
		return takeover.Contained
	}
	c := takeover.Contains(known, p, all)
	if c == takeover.Contained && claim != nil && known == nil && !takeover.Held(claim.Successor(), p, all) {
		return takeover.Unproven
	}
	return c
}
