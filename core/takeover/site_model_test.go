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
	siteMaxHolderListAge = 2500 * time.Millisecond
	siteSettleTime       = siteMaxHolderListAge + 500*time.Millisecond
	siteRetention        = 8500 * time.Millisecond
	siteMaxCountedAge    = siteRetention - 500*time.Millisecond
	siteMissingTimeout   = 2500 * time.Millisecond
	siteMaxReadGap       = 2200 * time.Millisecond
	siteMinMissingTime   = 4 * time.Second
	siteMaxMembersAge    = 10 * time.Second
	siteMaxStoreReadAge  = 900 * time.Millisecond

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

	// Faults that the product has. The model does without the situations that they need, or
	// corrects them.
	faultOldReadList       siteFault = "a strict read relies on a list of members that is 10 s old"
	faultPrimaryLeft       siteFault = "a strict read does not count a primary that has left with its log"
	faultForgetCrashed     siteFault = "a member that crashed, and comes back with its log, is forgotten while it does not run"
	faultUnknownCandidate  siteFault = "a strict read does not count an announced candidate that the instance does not know"
	faultCandidateNotAsked siteFault = "all known replicas have a commit, but the announced candidate is unknown"
	faultUnknownMember     siteFault = "an instance never reads the entry of a member, which has expired and may have commits"
	faultLeavingCounted    siteFault = "a replica that has left counts for an instance that has not read that it leaves"
	faultUnreadRestart     siteFault = "a member restarts without its log, which a holder has not read of"
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
	evidence                   takeover.Evidence
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
	promotedAt             time.Duration
	promoted, announced    string
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
	if v.departed {
		v.knownSince = s.now
	}
	v.missingSince, v.departed, v.draining = 0, false, m.draining
	if v.incarnation != m.incarnation {
		v.incarnation, v.floor, v.knownSince, v.evidence = m.incarnation, i.seen, s.now, takeover.Evidence{}
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
	primary := i.views["a"]
	if !v.departed || v.m.primary || v.m.id == "a" || primary == nil || primary.unanswered {
		return
	}
	if v.unanswered && s.now-v.missingSince >= siteMinMissingTime && s.now-v.leavingSince >= siteRetention {
		i.remove(v.m.id)
	} else {
		s.ask(i, v)
	}
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
		v.unanswered = true
		return nil
	case !m.up:
		v.unanswered, v.evidence.Gone = true, true
		if v.departed && (!m.registered || s.fault == faultForgetCrashed) {
			i.remove(m.id)
		}
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
	if v.floor <= m.log {
		since := max(v.connectedAt, v.knownSince)
		if s.fault == faultRestart {
			since = 0
		}
		v.evidence.Observe(status, since)
	}
	return &status
}

// askAll asks all members that an instance knows; see Group.controlAll.
func (s *site) askAll(i *siteInstance) (all []takeover.Member) {
	for _, id := range slices.Clone(i.order) {
		v := i.views[id]
		member := takeover.Member{ID: id, Draining: v.draining, Deregistered: v.departed}
		member.Status = s.ask(i, v)
		if member.Status != nil {
			member.LogLost, member.LogShrunk = v.floor > v.m.log, v.maxLog > v.m.log
			v.maxLog = max(v.maxLog, v.m.log)
		}
		if member.Status != nil || i.views[id] != nil {
			all = append(all, member)
		}
	}
	return all
}

// containment returns what an instance knows of a commit; see Group.commitContainment.
func (s *site) containment(i *siteInstance, n uint64) takeover.Containment {
	claim, p := i.tracker.ClaimAgainst("a", siteAt(n)), siteAt(n)
	if i.tracker.Replaced("a", p) {
		return takeover.Superseded
	}
	var all []takeover.Evidence
	if s.fault != faultCandidateNotAsked && claim != nil && claim.Candidate != "" && i.views[claim.Candidate] == nil {
		all = append(all, takeover.Evidence{Member: claim.Candidate})
	}
	nonePaused := true
	for _, id := range i.order {
		if id == "a" {
			continue
		}
		v := i.views[id]
		v.evidence.ObserveNoClaim(i.noClaimAt)
		e := v.evidence
		e.Member = id
		e.Counted = v.missingSince == 0 && !v.draining && s.now-v.knownSince >= siteSettleTime && s.now-i.membersAsOf <= siteMaxCountedAge
		e.Counted = e.Counted || s.fault == faultUncounted
		nonePaused = nonePaused && !v.paused
		all = append(all, e)
	}
	if s.fault == faultWord && claim == nil || s.fault == faultNonePaused && nonePaused && (claim == nil || claim.Candidate == "") {
		return takeover.Contained
	}
	return takeover.Contains(claim, p, all)
}
