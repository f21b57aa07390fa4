package takeover_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
)

// advance lets time pass: heartbeats arrive, replicas catch up, and promotions take effect.
func (s *site) advance(d time.Duration) {
	a := s.primary()
	for _, r := range s.members[1:] {
		switch {
		case !a.primary || !s.receives(r) || r.log >= a.log:
			r.behindSince = 0
		case r.behindSince == 0:
			r.behindSince = s.now
		case s.now+d-r.behindSince > siteMaxLag:
			s.receive(r, a.log)
		}
	}
	s.now += d
	for _, m := range s.members {
		if m.up && m.registered && s.reach(m.id, "store") {
			m.heardAt = s.now
		}
	}
	for k, c := range s.calls {
		if c.at <= s.now {
			s.calls = slices.Delete(s.calls, k, k+1)
			s.promote(c)
			return
		}
	}
}

func (s *site) promote(c siteCall) {
	if !c.member.up || c.member.process != c.process {
		return
	}
	s.logf("%s is promoted with %d; passed %d", c.member.id, c.member.log, s.passed)
	s.counts.promotions++
	if s.primary().primary && s.primary().up {
		s.counts.planned++
	}
	if c.member.log < s.passed {
		s.violation = fmt.Sprintf("commit %d was passed on to a caller; promoted %s has %d", s.passed, c.member.id, c.member.log)
		return
	}
	s.trace = nil
	s.reset()
}

// receives reports whether a replica receives what the primary commits.
func (s *site) receives(r *siteMember) bool {
	a := s.primary()
	return a.up && r.up && !r.paused && s.reach(a.id, r.id)
}

func (s *site) receive(r *siteMember, n uint64) {
	r.log, r.behindSince = max(r.log, n), 0
	s.received = max(s.received, r.log)
}

// startChange lets an instance claim the group; see Group.failOver.
func (s *site) startChange(i *siteInstance, stepDown, handOver bool) {
	r := i.tracker.Record()
	if i.holder != nil || s.now-i.recordReadAt > siteMaxStoreReadAge || r.Claim != nil && i.recordReadAt-r.Claim.RenewedAt < siteClaimTTL {
		return
	}
	h := &siteHolder{record: r, startedAt: s.now, stepDown: stepDown, handOver: handOver}
	if c := r.Claim; c != nil {
		reliedUntil := s.now + siteNoticeTime
		if c.Called != "" {
			h.pendingUntil, h.earlierUntil = s.now+siteResendDelay, c.RenewedAt+siteSendWindow+sitePromoteTimeout+sitePromotionTime
			reliedUntil = 0
		}
		h.promoteAfter, h.announced, h.called, h.calledAt = c.PromoteAfter, c.Candidate, c.Called, c.CalledAt
		h.succession = takeover.TakeOver(c.Successor(), reliedUntil)
	}
	i.holder = h
	s.claim(i)
}

// claim stores or renews a claim; the holder ends if it cannot. See failover.claim.
func (s *site) claim(i *siteInstance) bool {
	h := i.holder
	r := h.record
	claim := &primacy.Claim{Holder: i.id, FirstClaimedAt: s.now, RenewedAt: s.now, OldPrimary: siteOldPrimary, Candidate: h.announced, PromoteAfter: h.promoteAfter, Called: h.called, CalledAt: h.calledAt}
	if r.Claim != nil {
		claim.FirstClaimedAt = r.Claim.FirstClaimedAt
	}
	r.Claim = claim
	stored, ok := s.put(i, r)
	if !ok {
		i.holder = nil
		return false
	}
	s.logf("%s claims, candidate %q, called %q", i.id, h.announced, h.called)
	h.record, h.claimSentAt = stored, s.now
	if h.claimedAt == 0 {
		h.claimedAt = s.now
	}
	h.succession.Stored(claim.Successor(), s.now+siteNoticeTime)
	return true
}

// round lets a holder ask the members, or perform the step that their answers led to; see
// failover.run.
func (s *site) round(t *rapid.T, i *siteInstance) {
	h := i.holder
	if h.asked {
		h.asked = false
		if s.perform(t, i, h.step) && s.violation == "" && i.holder == h && s.now-h.claimSentAt > siteRenewalAge {
			s.claim(i)
		}
		return
	}
	if i.tracker.Record().Version > h.record.Version || s.now-h.startedAt >= siteAttemptTimeout {
		i.holder = nil
		return
	}
	h.roundAt = s.now
	readAt, members := i.membersAsOf, s.askAll(i)
	h.in = takeover.Input{OldPrimary: siteOldPrimary, Members: members, GroupSize: max(len(members), 3), StepDown: h.stepDown, HandOver: h.handOver,
		MembersOutdated: s.now-readAt > siteMaxHolderListAge && s.fault != faultOldList, Candidate: h.announced,
		CandidateKnown: i.candidate == h.announced && (s.now >= i.announcedAt+primacy.ReadLease || s.fault == faultNoAnnounceWait)}
	if v := i.views[h.called]; s.now < h.calledAt+siteCallSettleTime && (v == nil || !v.evidence.Gone) && !slices.ContainsFunc(members, func(m takeover.Member) bool { return m.ID == h.called && m.LogLost }) {
		h.in.Called = h.called
	}
	h.step, h.asked = takeover.Decide(h.in), true
	if s.now < h.earlierUntil && h.step.Action == takeover.Promote || h.promotedAt != 0 && s.now-h.promotedAt < siteResendDelay {
		candidate := h.promoted
		if candidate == "" {
			candidate = h.announced
		}
		h.step = takeover.RestorePauses(h.in, candidate)
	}
}

// perform executes a step and reports whether the attempt goes on; see
// failover.performStep.
func (s *site) perform(t *rapid.T, i *siteInstance, step takeover.Step) bool {
	h := i.holder
	if step.Action != takeover.Wait {
		s.logf("%s: %s %v (%s)", i.id, step.Action, step.Targets, step.Reason)
	}
	switch step.Action {
	case takeover.Announce:
		if s.now >= max(h.ownUntil, h.earlierUntil) {
			if h.called == "" {
				h.promoteAfter = max(h.promoteAfter, s.now+primacy.ReadLease)
			}
			if h.called != step.Targets[0] {
				h.called, h.calledAt = "", 0
			}
			h.announced = step.Targets[0]
			return s.claim(i)
		}
	case takeover.Abort:
		if s.now < h.pendingUntil {
			break
		}
		i.holder = nil
		// It is assumed that no RESUME takes effect after the end of the claim.
		if s.record.Version != h.record.Version {
			return false
		}
		for _, m := range s.targets(i, step) {
			m.paused = false
		}
		s.counts.aborted++
		s.put(i, h.record.WithPrimary(siteOldPrimary))
		return false
	case takeover.Pause:
		for _, m := range s.targets(i, step) {
			m.paused = m.paused || !m.primary
		}
		h.pausedAt = s.now
	case takeover.StepDown:
		for _, m := range s.targets(i, step) {
			m.primary = false
		}
	case takeover.Promote:
		return s.callPromotion(t, i, step.Targets[0])
	}
	return true
}

// targets returns the members that a command of an instance reaches.
func (s *site) targets(i *siteInstance, step takeover.Step) (all []*siteMember) {
	for _, m := range s.members {
		if m.up && s.reach(i.id, m.id) && slices.Contains(step.Targets, m.id) {
			all = append(all, m)
		}
	}
	return all
}

// callPromotion calls for a promotion; see failover.promote. The platform reaches all
// members.
func (s *site) callPromotion(t *rapid.T, i *siteInstance, id string) bool {
	h := i.holder
	if h.succession.GivesUp(id) {
		h.announced, h.called, h.calledAt = "", "", 0
		if s.fault != faultNamesAtOnce {
			return s.claim(i)
		}
	}
	announced := h.announced == id && h.in.CandidateKnown
	if h.succession.Wait(h.roundAt) > 0 && !announced && s.fault != faultNamesAtOnce {
		return true
	}
	newCall := h.called != id || s.now-h.calledAt > siteRenewalAge
	if newCall {
		h.called, h.calledAt = id, s.now
	}
	if (newCall || s.now-h.claimSentAt > siteRenewalAge) && !s.claim(i) {
		return false
	}
	if !announced && !takeover.Abandoned(siteOldPrimary, h.in.Members) && s.now < max(h.claimedAt+siteNoticeTime, h.pausedAt+siteMaxWatchGap) {
		return true
	}
	if s.now-h.claimSentAt >= siteSendWindow || s.now-i.membersAsOf > siteMaxHolderListAge && s.fault != faultOldList {
		return true
	}
	h.ownUntil = s.now + sitePromoteTimeout + siteResendDelay
	h.pendingUntil = h.ownUntil
	for _, m := range s.members {
		if m.id == id {
			took := rapid.IntRange(300, int((sitePromoteTimeout+sitePromotionTime)/time.Millisecond)).Draw(t, "promotion_ms")
			s.calls = append(s.calls, siteCall{m, m.process, s.now + time.Duration(took)*time.Millisecond})
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "answered") > 0 {
		h.promotedAt, h.promoted = s.now, id
	}
	return true
}

// routine lets time pass in which each instance that is not frozen does its work.
func (s *site) routine(t *rapid.T) { s.work(t, 250) }

// work is routine for up to a number of milliseconds.
func (s *site) work(t *rapid.T, longest int) {
	promotions := s.counts.promotions
	s.advance(time.Duration(rapid.IntRange(10, longest).Draw(t, "ms")) * time.Millisecond)
	for _, r := range s.members[1:] {
		if a := s.primary(); a.primary && s.receives(r) && r.log < a.log && rapid.Bool().Draw(t, "receives") {
			s.receive(r, a.log)
		}
	}
	first := rapid.IntRange(0, len(s.instances)-1).Draw(t, "first")
	for k := range s.instances {
		if s.counts.promotions != promotions || s.violation != "" {
			return
		}
		i := s.instances[(first+k)%len(s.instances)]
		if s.now < i.frozenUntil {
			continue
		}
		s.now += time.Microsecond
		if s.now-i.recordReadAt >= 250*time.Millisecond && s.now >= i.recordAfter {
			s.readRecord(i)
		}
		if s.now-i.lastListRead >= time.Second && s.now >= i.listAfter {
			s.readList(i)
		}
		if i.holder != nil {
			s.round(t, i)
			continue
		}
		v := i.views["a"]
		unfinished := i.tracker.Record().Claim != nil
		if unfinished || v == nil || v.draining || v.departed || v.unanswered {
			s.startChange(i, false, false)
		} else if k == 0 {
			s.ask(i, v)
		}
	}
}

// commit lets an instance with a lease commit.
func (s *site) commit(t *rapid.T) {
	i, a := s.instance(t), s.primary()
	if a.primary && a.up && s.reach(i.id, a.id) && i.tracker.Proven(s.now) {
		a.log++
		s.writes = append(s.writes, &siteWrite{by: i, n: a.log, sentAt: s.now})
	}
}

func (s *site) instance(t *rapid.T) *siteInstance {
	return rapid.SampledFrom(s.instances).Draw(t, "instance")
}

func (s *site) receiveSome(t *rapid.T) {
	a, r := s.primary(), rapid.SampledFrom(s.members[1:]).Draw(t, "receiver")
	if a.primary && s.receives(r) && r.log < a.log {
		s.receive(r, rapid.Uint64Range(r.log+1, a.log).Draw(t, "received"))
		s.logf("%s receives up to %d", r.id, r.log)
	}
}

// pass lets acknowledgements arrive, and instances pass them on once they have proof.
func (s *site) pass(t *rapid.T) {
	i, a := s.instance(t), s.primary()
	if s.now < i.frozenUntil {
		return
	}
	for _, id := range slices.Clone(i.order) {
		if id != "a" && rapid.IntRange(0, 3).Draw(t, "asked") > 0 && i.views[id] != nil {
			s.ask(i, i.views[id])
		}
	}
	s.writes = slices.DeleteFunc(s.writes, func(w *siteWrite) bool {
		if w.by != i {
			return s.now-w.sentAt > writeTimeout
		}
		w.answered = w.answered || w.n <= s.received && a.primary && a.up && s.reach(i.id, a.id)
		if !w.answered || s.containment(i, w.n) != takeover.Contained {
			return s.now-w.sentAt > writeTimeout
		}
		s.counts.passed++
		i.acked, s.passed = max(i.acked, w.n), max(s.passed, w.n)
		s.logf("%s passes on %d", i.id, w.n)
		return true
	})
}

// writeTimeout is the time after which an instance tells the caller of a commit that the
// outcome is unknown.
const writeTimeout = 2 * time.Second

// strictRead checks the position of a strict read without a primary; see
// Group.confirmByMembers.
func (s *site) strictRead(t *rapid.T) {
	i := s.instance(t)
	if s.now-i.membersAsOf >= siteMaxMembersAge || s.now-i.recordReadAt >= siteMaxMembersAge {
		return
	}
	members := s.askAll(i)
	p, ok := takeover.ReadPosition(members, max(len(members), 3))
	ok = ok && takeover.Lists(members, i.tracker.Leaders(s.now)...)
	if !ok || !p.AtLeast(siteAt(i.acked)) {
		return
	}
	s.counts.reads++
	if p.Offset < s.passed {
		s.violation = fmt.Sprintf("commit %d was passed on to a caller; a strict read of %s needs %d only", s.passed, i.id, p.Offset)
	}
}

var siteEvents = []string{"claim", "restart", "restart paused", "restart paused", "drain", "leave", "end", "join", "release", "cut", "cut primary", "cut primary", "heal", "crash", "lose log",
	"freeze", "replace", "late record", "stale record", "list", "stale list", "stale list"}

// disturb is one of the rarer events.
func (s *site) disturb(t *rapid.T) {
	kind := rapid.SampledFrom(siteEvents).Draw(t, "event")
	m, i := rapid.SampledFrom(s.members).Draw(t, "member"), s.instance(t)
	s.now += time.Microsecond
	switch kind {
	case "claim":
		kind = rapid.SampledFrom([]string{"step down", "hand over", "suspect"}).Draw(t, "reason")
		s.startChange(i, kind == "step down", kind == "hand over")
	case "restart":
		if m.primary || !m.up {
			return
		}
		m.process++
		m.paused = false
	case "restart paused":
		for _, m := range s.members {
			if m.paused && m.up {
				m.paused = false
				m.process++
			}
		}
	case "drain", "leave":
		if kind == "leave" {
			m = s.primary()
		}
		if m.draining || !m.up || !s.reach(m.id, "store") {
			return
		}
		m.draining, m.drainingAt = true, s.now
	case "end":
		if !m.draining || !m.up || s.now-m.drainingAt < siteDrainTime {
			return
		}
		counted := func(i *siteInstance) bool { v := i.views[m.id]; return v != nil && !v.draining && v.missingSince == 0 }
		if s.fault != faultLeavingCounted && slices.ContainsFunc(s.instances, counted) {
			return
		}
		// No rule helps if the last log with a commit leaves while the primary is lost.
		a := s.primary()
		if m != a && !(a.up && a.primary) && !slices.ContainsFunc(s.members, func(r *siteMember) bool { return r != m && r.up && r.log >= m.log }) {
			return
		}
		m.up, m.registered, m.log = false, false, 0
	case "join", "release":
		if len(s.members) >= 6 {
			return
		}
		for _, other := range s.members {
			if kind == "release" && !other.draining && other.up && s.reach(other.id, "store") {
				other.draining, other.drainingAt = true, s.now
			}
		}
		m = &siteMember{id: fmt.Sprint("n", len(s.members)), up: true, registered: true, heardAt: -time.Hour}
		s.members = append(s.members, m)
		for _, other := range s.nodes() {
			if s.failure == "cut" && s.blocked[link("a", other)] {
				s.blocked[link(m.id, other)] = true // it joins at the primary's side
			}
		}
		if s.receives(m) && s.primary().primary {
			s.receive(m, s.primary().log)
		}
	case "cut", "cut primary":
		if s.failure != "" || !s.safeWithout(s.primary()) {
			return
		}
		s.failure = "cut"
		nodes := s.nodes()
		var inside []string
		for _, n := range nodes {
			if kind == "cut" && n != "store" && rapid.Bool().Draw(t, "inside") || kind == "cut primary" && (n == "a" || n == m.id || n == i.id) {
				inside = append(inside, n)
			}
		}
		kind += fmt.Sprint(inside)
		s.cut(inside)
	case "heal":
		if s.failure == "" || rapid.IntRange(0, 3).Draw(t, "heals") > 0 {
			return
		}
		for _, other := range s.members {
			if !other.up && other.registered {
				other.up, other.paused = true, false
				other.process++
			}
		}
		s.failure = ""
		clear(s.blocked)
	case "crash":
		if s.failure != "" || !m.up || !s.safeWithout(m) {
			return
		}
		s.failure, m.up = kind, false
	case "lose log":
		// The database itself keeps two logs with each acknowledged commit.
		if m.primary || !m.up || s.failure != "" || !s.primary().up || !s.primary().primary || !s.safeWithout(s.primary()) {
			return
		}
		if s.fault != faultUnreadRestart && slices.ContainsFunc(s.instances, func(i *siteInstance) bool { return i.holder != nil }) {
			return
		}
		s.lost = max(s.lost, m.log)
		m.log, m.paused = 0, false
		m.incarnation++
		m.process++
		for _, i := range s.instances {
			if s.fault != faultUnreadRestart {
				s.readList(i)
			}
		}
	case "freeze":
		i.frozenUntil = s.now + time.Duration(rapid.IntRange(100, 5000).Draw(t, "frozen_ms"))*time.Millisecond
	case "replace":
		if s.fault != faultUnknownMember && slices.ContainsFunc(s.members, func(m *siteMember) bool { return m.registered && !s.entered(m) }) {
			return
		}
		*i = siteInstance{id: i.id, views: make(map[string]*siteView)}
		s.writes = slices.DeleteFunc(s.writes, func(w *siteWrite) bool { return w.by == i })
		s.readRecord(i)
		s.readList(i)
	case "late record":
		if s.now < i.frozenUntil || !s.reach(i.id, "store") {
			return
		}
		r, sentAt := s.record, s.now
		s.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "late_ms")) * time.Millisecond)
		if s.violation == "" && s.now > sentAt {
			s.observeRecord(i, r, sentAt, s.now)
		}
		return
	case "stale record":
		i.recordAfter = s.now + time.Second
	case "stale list":
		i.listAfter = s.now + time.Duration(rapid.IntRange(1000, 7000).Draw(t, "stale_ms"))*time.Millisecond
	case "list":
		if s.now >= max(i.frozenUntil, i.listAfter) {
			s.readList(i)
		}
		return
	}
	s.logf("%s: member %s, instance %s", kind, m.id, i.id)
}

// nodes returns the names of all members and instances and of the store.
func (s *site) nodes() []string {
	all := []string{"store"}
	for _, m := range s.members {
		all = append(all, m.id)
	}
	for _, i := range s.instances {
		all = append(all, i.id)
	}
	return all
}

// safeWithout reports whether another member has what a member had that lost its log.
func (s *site) safeWithout(m *siteMember) bool {
	return s.lost == 0 || slices.ContainsFunc(s.members[1:], func(r *siteMember) bool { return r != m && r.up && r.log >= s.lost })
}
