package takeover_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
)

// startChange lets an instance claim the group; see Group.failOver.
func (s *termsSite) startChange(i *termsInstance, stepDown, handOver bool) {
	r := i.tracker.Record()
	if i.holder != nil || s.now-i.recordReadAt > siteMaxStoreReadAge || r.Claim != nil && i.recordReadAt-r.Claim.RenewedAt < siteClaimTTL {
		return
	}
	h := &termsHolder{record: r, old: i.tracker.Primary(), startedAt: s.now, stepDown: stepDown, handOver: handOver}
	if c := r.Claim; c != nil {
		h.old = c.OldPrimary
		reliedUntil := s.now + siteNoticeTime
		if c.Called != "" {
			h.pendingUntil, h.earlier = s.now+siteResendDelay, c.RenewedAt+siteSendWindow+sitePromoteTimeout+sitePromotionTime
			reliedUntil = 0
		}
		h.succession = takeover.TakeOver(c.Successor(), reliedUntil)
		h.promoteAfter, h.firstClaimAt, h.announced = c.PromoteAfter, s.now, c.Candidate
		h.called, h.calledAt, h.callUnanswered = c.Called, c.CalledAt, c.Called != ""
	}
	i.holder = h
	s.claim(i)
}

// claim stores or renews a claim; the holder ends if it cannot. See failover.claim.
func (s *termsSite) claim(i *termsInstance) bool {
	h := i.holder
	r := h.record
	claim := &primacy.Claim{Holder: i.id, FirstClaimedAt: s.now, RenewedAt: s.now, OldPrimary: h.old, Candidate: h.announced, PromoteAfter: h.promoteAfter, Called: h.called, CalledAt: h.calledAt}
	if r.Claim != nil && r.Claim.OldPrimary == h.old {
		claim.FirstClaimedAt = min(claim.FirstClaimedAt, r.Claim.FirstClaimedAt)
	}
	r.Claim = claim
	stored, ok := s.put(i, r)
	if !ok {
		i.holder = nil
		return false
	}
	s.logf("%s claims %v, candidate %q, called %q", i.id, h.old, h.announced, h.called)
	h.record, h.claimSentAt = stored, s.now
	if h.firstClaimAt == 0 {
		h.firstClaimAt = s.now
	}
	if h.claimedAt == 0 {
		h.claimedAt = s.now
	}
	h.succession.Stored(claim.Successor(), s.now+siteNoticeTime)
	return true
}

// round lets a holder ask the members, or perform the step that their answers led to; see
// failover.run.
func (s *termsSite) round(t *rapid.T, i *termsInstance) {
	h := i.holder
	switch {
	case i.tracker.Record().Version > h.record.Version:
		i.holder = nil
		return
	case h.publishing:
		s.publish(i)
		return
	case h.asked:
		h.asked = false
		if s.perform(t, i, h.step) && i.holder == h && !h.pending && s.now-h.claimSentAt > siteRenewalAge {
			s.claim(i)
		}
		return
	case s.now-h.startedAt >= siteAttemptTimeout:
		i.holder = nil
		return
	}
	h.roundAt = s.now
	readAt, required := i.membersAsOf, h.record.RequiredLog(h.old, i.acked)
	members := s.askAll(i)
	in := takeover.Input{OldPrimary: h.old, Members: members, GroupSize: max(len(members), 3), StepDown: h.stepDown, HandOver: h.handOver && (h.promotedAt != 0 || s.now-h.startedAt < termsSwitchover),
		MembersOutdated: s.now-readAt > termsHolderListAge, Candidate: h.announced, RequiredLog: required,
		CandidateKnown: i.candidate == h.announced && s.now >= i.announcedAt+primacy.ReadLease}
	if v := i.views[h.called]; s.now < h.calledAt+termsCallSettle && (v == nil || !v.evidence.Gone) {
		in.Called = h.called
	}
	h.in, h.step, h.asked = in, takeover.Decide(in), true
	promotes, done := h.step.Action == takeover.Promote, h.step.Action == takeover.Done
	pending := h.promotedAt != 0 && !(done && h.step.Targets[0] == h.promoted) && s.now-h.promotedAt < siteResendDelay
	h.pending = s.now < h.earlier && (promotes || done) || pending
	if h.pending {
		candidate := h.promoted
		if candidate == "" {
			candidate = h.announced
		}
		h.step = takeover.RestorePauses(in, candidate)
	}
}

// perform executes a step and reports whether the attempt goes on; see failover.performStep.
func (s *termsSite) perform(t *rapid.T, i *termsInstance, step takeover.Step) bool {
	h := i.holder
	if step.Action != takeover.Wait {
		s.logf("%s: %s %v (%s)", i.id, step.Action, step.Targets, step.Reason)
	}
	switch step.Action {
	case takeover.Done:
		s.startPublishing(i, step)
	case takeover.Announce:
		if s.now >= max(h.ownUntil, h.earlier) {
			if h.called == "" {
				h.promoteAfter = max(h.promoteAfter, s.now+primacy.ReadLease)
			}
			if h.called != step.Targets[0] {
				h.forgetCall()
			}
			h.announced = step.Targets[0]
			return s.claim(i)
		}
	case takeover.Abort:
		if s.now < h.pendingUntil {
			break
		}
		i.holder = nil
		if s.record.Version != h.record.Version || !s.reach(i.id, "store") {
			return false // no RESUME takes effect after the end of the claim
		}
		s.command(i, step.Targets, func(m *termsMember) { m.paused = false })
		s.put(i, h.record.WithPrimary(h.old))
		return false
	case takeover.Pause:
		s.command(i, step.Targets, func(m *termsMember) { m.paused = m.paused || !m.primary && step.Term > m.term })
		h.pausedAt = s.now
	case takeover.StepDown:
		s.command(i, step.Targets, func(m *termsMember) { m.primary = m.primary && m.term >= step.Term })
	case takeover.Promote:
		return s.callPromotion(t, i, step.Targets[0])
	}
	return true
}

// startPublishing lets a holder wait for the end of the leases; see failover.publish.
func (s *termsSite) startPublishing(i *termsInstance, step takeover.Step) {
	h := i.holder
	primary := primacy.Primary{Member: step.Targets[0], Term: step.Term}
	s.command(i, []string{h.old.Member}, func(m *termsMember) { m.primary = m.primary && m.term >= step.Term })
	h.publishing, h.publishAt = true, max(h.record.Claim.LeasesEnd(), h.firstClaimAt+primacy.ReadLease)
	if s.rules[publishesAtOnce] {
		h.publishAt = s.now
	}
	h.next = h.record.WithPrimary(primary)
	if step.Log.Term < step.Term {
		h.next.PromotedAt = step.Log
	}
	if h.callUnanswered && h.called != "" {
		h.next = h.next.WithLateCall(primacy.LateCall{Member: h.called, Until: h.calledAt + termsCallSettle}, s.now)
		if s.rules[keepsOneCall] {
			h.next.AlsoMayLead = nil
		}
	}
}

// publish records the new primary; without the store, only this instance uses it.
func (s *termsSite) publish(i *termsInstance) {
	h := i.holder
	switch {
	case s.now < h.publishAt:
	case s.reach(i.id, "store"):
		i.holder = nil
		if _, ok := s.put(i, h.next); ok {
			s.counts.changes++
			s.logf("%s publishes %v", i.id, h.next.Primary)
		}
	case s.now-h.publishAt >= termsCallSettle:
		i.holder = nil
	default:
		s.adopt(i, h.next.Primary)
	}
}

// adopt lets an instance use a primary that the record does not show.
func (s *termsSite) adopt(i *termsInstance, primary primacy.Primary) {
	before := i.tracker.Primary()
	if i.tracker.AdoptPromoted(primary) {
		s.counts.adopted++
		s.logf("%s adopts %v", i.id, primary)
		s.primaryChanged(i, before)
	}
}

func (h *termsHolder) forgetCall() { h.called, h.calledAt, h.callUnanswered = "", 0, false }

// callPromotion calls for a promotion, which takes 0.2 to 3 s, or up to 12 s if the call gets no
// answer; see failover.promote. The platform reaches all members.
func (s *termsSite) callPromotion(t *rapid.T, i *termsInstance, id string) bool {
	h := i.holder
	if h.succession.GivesUp(id) {
		h.announced = ""
		h.forgetCall()
		return s.claim(i)
	}
	announced := h.announced == id && h.in.CandidateKnown
	if h.succession.Wait(h.roundAt) > 0 && !announced {
		return true
	}
	newCall := h.called != id || s.now-h.calledAt > siteRenewalAge
	if newCall {
		h.callUnanswered = h.callUnanswered && h.called == id
		h.called, h.calledAt = id, s.now
	}
	if (newCall || s.now-h.claimSentAt > siteRenewalAge) && !s.claim(i) {
		return false
	}
	if !announced && !takeover.Abandoned(h.old, h.in.Members) && s.now < max(h.claimedAt+siteNoticeTime, h.pausedAt+siteMaxWatchGap) {
		return true
	}
	if s.now-h.claimSentAt >= siteSendWindow || s.now-i.membersAsOf > termsHolderListAge {
		return true
	}
	h.ownUntil = s.now + sitePromoteTimeout + siteResendDelay
	h.pendingUntil = h.ownUntil
	answered, longest := rapid.IntRange(0, 3).Draw(t, "answered") > 0, 3000
	if !answered {
		longest = 12000
	}
	k := slices.IndexFunc(s.members, func(m *termsMember) bool { return m.id == id })
	took := rapid.SampledFrom([]int{200, 300, 500, 1000, longest}).Draw(t, "promotion_ms")
	s.calls = append(s.calls, termsCall{s.members[k], s.members[k].process, s.now + time.Duration(took)*time.Millisecond})
	if answered {
		h.promotedAt, h.promoted = s.now, id
	} else {
		h.callUnanswered = true
	}
	return true
}
