package group

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// promotionSendWindow is how long after sending its claim a holder may send a
	// promotion.
	promotionSendWindow = 1200 * time.Millisecond
	// promoteTimeout limits the promotion call. The connection is reset when it
	// expires, so that nothing of the call arrives later.
	promoteTimeout = 600 * time.Millisecond
	// claimTTL is how long a claim excludes other instances after its last renewal. It
	// covers the send window, the call and the difference between two clocks.
	claimTTL = promotionSendWindow + promoteTimeout + 400*time.Millisecond
	// claimRenewalAge is the age at which a holder that has not finished renews its
	// claim, which leaves 0.4 s of the window for the call.
	claimRenewalAge = 800 * time.Millisecond
	// attemptTimeout ends a failover attempt that has not finished; another instance
	// may reach more members.
	attemptTimeout = 6 * time.Second
	// switchoverTimeout limits the time until the promotion in a switchover: the
	// announcement of the candidate takes announcementTime, a replica that is close behind
	// some 50 ms. Read leases on the primary end 1 s after the announcement is known.
	switchoverTimeout = announcementTime + 500*time.Millisecond
	// announcementTime is the time after which every instance has read the announcement of
	// a candidate, or holds no lease on the primary any more.
	announcementTime = primacy.ReadLease
	// promotionResendDelay is the time after which a promotion without effect is sent
	// again; promotions take 0.3 to 1 s in the users' site files.
	promotionResendDelay = 2500 * time.Millisecond
	// promotionTime is how long a promotion takes from its arrival until a member
	// reports it; the promotion itself takes 1 s in the users' site files.
	promotionTime = 1200 * time.Millisecond
	// maxHolderListAge is the age of the list of members up to which a holder promotes one of
	// them. During a failover, lists are read every 0.3 s.
	maxHolderListAge = 1300 * time.Millisecond
	// callSettleTime is the time after which a promotion that was called for has taken effect
	// or has failed, if nothing else shows that. It takes 0.3 to 1 s, or seconds if the call
	// got no answer; connections of unreachable peers are dropped after 3 s.
	callSettleTime = 15 * time.Second
	// resumeSettleTime is the time after which a RESUME without an answer has taken effect or
	// has failed. Databases drop connections of unreachable peers after 3 s.
	resumeSettleTime = 10 * time.Second
	// pollInterval separates two status queries to the members.
	pollInterval = 30 * time.Millisecond
	// claimJitter is the upper bound of the random delay before a claim. Of several
	// instances that detect a failure, most then see the claim of the first.
	claimJitter = 60 * time.Millisecond
	// claimTurnInterval is the time between the claims of two instances that see the
	// same reason: all others read a claim within 0.3 s. Instances after turn
	// maxClaimTurn are separated by the random delay only.
	claimTurnInterval = 300 * time.Millisecond
	maxClaimTurn      = 5
	// claimTurnsAbove is the number of instances above which they take turns to claim.
	// Concurrent claims by fewer instances cost less than the wait.
	claimTurnsAbove = 12
	// storeCallTimeout limits one call to the store; a slow store takes 0.4 s.
	storeCallTimeout = 800 * time.Millisecond
	// attemptInterval separates two attempts of one instance, so that a reason that
	// persists after an attempt cannot flood the store with claims.
	attemptInterval = 500 * time.Millisecond
	// publishTimeout limits the attempts to record a finished failover; after that,
	// another instance records it.
	publishTimeout = 15 * time.Second
)

// failover is one attempt of this instance to replace the primary.
type failover struct {
	g           *Group
	reason      failoverReason
	oldPrimary  primacy.Primary
	nonce       uint64
	record      primacy.Record // as stored, with this instance's claim
	claimSentAt time.Duration  // local time before the claim was sent
	// firstClaimStoredAt is a local time at which the first claim against oldPrimary was
	// stored; leases from reads before it end ReadLease later.
	firstClaimStoredAt time.Duration
	startedAt          time.Duration
	promotedAt         time.Duration // when the last accepted promotion was sent; 0 if none
	candidate          string        // member that it promotes
	blockedReported    bool          // a line change_blocked was logged
	unconfirmed        bool          // the record before the claim was of an earlier era of the store
	// membersReadAt is when the list of members was read that the last round was sent to.
	membersReadAt time.Duration
	roundAt       time.Duration // before the last round was sent
	succession    takeover.Succession
	// announced is the candidate that the claim names; promoteAfter is
	// primacy.Claim.PromoteAfter.
	announced    string
	promoteAfter time.Duration
	// called and calledAt are primacy.Claim.Called and CalledAt.
	called   string
	calledAt time.Duration
	// ownClaimStoredAt is a local time at which this instance's first claim was stored, and
	// pausedAt that of its last command to pause replicas.
	ownClaimStoredAt, pausedAt time.Duration
	// callMade means that a call for the member may have been sent under this or an earlier claim.
	callMade bool
	// callUnanswered means that a call for the member may have got no answer.
	callUnanswered bool
	// resumedAt is primacy.Claim.ResumedAt.
	resumedAt time.Duration
	// promotionPendingUntil is the time until which a promotion sent by this or an
	// earlier holder may still take effect; ownPromotionUntil and earlierPromotionUntil
	// are the same for this holder and for earlier ones only.
	promotionPendingUntil time.Duration
	ownPromotionUntil     time.Duration
	earlierPromotionUntil time.Duration
	log                   *logrus.Entry
}

// claimDelay returns how long this instance waits before it claims. All instances see
// a reason in the store at the same time, so they take turns; a primary that does not
// answer is noticed by few.
func (g *Group) claimDelay(reason failoverReason) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	delay := rand.N(claimJitter)
	if reason.visibleToAll && g.fleet.Size() > claimTurnsAbove {
		turn, _ := g.fleet.Precedence(g.cfg.Service)
		delay += time.Duration(min(turn, maxClaimTurn)) * claimTurnInterval
	}
	return delay
}

// failOver claims the group and replaces its primary.
func (g *Group) failOver(ctx context.Context, reason failoverReason) {
	g.mu.Lock()
	oldPrimary := g.tracker.Primary()
	record := g.tracker.Record()
	claimEnded := g.claimOfEarlierEra(record)
	g.mu.Unlock()
	if record.Claim != nil && (record.Confirmed() || record.Claim.OldPrimary.Term > oldPrimary.Term) {
		oldPrimary = record.Claim.OldPrimary
	}
	boottime.Sleep(ctx, g.claimDelay(reason))
	if ctx.Err() != nil || g.cfg.Clock()-g.lastAttemptAt < attemptInterval {
		return
	}
	g.lastAttemptAt = g.cfg.Clock()
	// The claim is conditional on the record that the decision is based on: it fails
	// if another instance has claimed the group meanwhile.
	f := g.newFailover(record, oldPrimary, reason, claimEnded)
	switch {
	case f.claim(ctx):
		f.run(ctx)
	case reason.switchover:
		g.mu.Lock()
		g.switchover.RecordFailedStart(g.cfg.Clock())
		g.mu.Unlock()
	}
}

// newFailover returns an attempt to replace a primary, based on a record. Its claim, if it has one, is
// taken over; claimEnded means that it has no effect any more.
func (g *Group) newFailover(record primacy.Record, oldPrimary primacy.Primary, reason failoverReason, claimEnded bool) *failover {
	f := &failover{g: g, reason: reason, oldPrimary: oldPrimary, nonce: rand.Uint64(), startedAt: g.cfg.Clock(), record: record, unconfirmed: !record.Confirmed(),
		log: g.cfg.Log.WithFields(logrus.Fields{"change_of": oldPrimary.Member, "old_term": oldPrimary.Term})}
	// A holder notes its call in the claim first.
	if record.Claim != nil && !claimEnded && record.Claim.Called != "" {
		f.promotionPendingUntil = f.startedAt + promotionResendDelay
		f.earlierPromotionUntil = f.startedAt + g.untilPromotionSettled(*record.Claim)
	}
	if record.Claim != nil && record.Claim.OldPrimary == oldPrimary {
		f.promoteAfter = record.Claim.PromoteAfter
		if !claimEnded {
			f.firstClaimStoredAt, f.announced = f.startedAt, record.Claim.Candidate
			f.called, f.calledAt, f.resumedAt = record.Claim.Called, record.Claim.CalledAt, record.Claim.ResumedAt
			f.callUnanswered, f.callMade = f.called != "", f.called != ""
			f.succession = takeOver(*record.Claim, f.startedAt)
		}
	}
	return f
}

// takeOver returns the succession of a holder that has read the claim of an earlier one by the local
// time readAt. A holder names a member as called for only once nobody relies on another one.
func takeOver(claim primacy.Claim, readAt time.Duration) takeover.Succession {
	reliedUntil := readAt + claimNoticeTime
	if claim.Called != "" {
		reliedUntil = 0
	}
	return takeover.TakeOver(claim.Successor(), reliedUntil)
}

// claim stores or renews this instance's claim, and reports whether it holds the claim.
func (f *failover) claim(ctx context.Context) bool {
	g := f.g
	g.mu.Lock()
	r := f.record
	now := g.cfg.Clock()
	claimedAt := g.storeTime()
	recordChanged := g.tracker.Record().Version > r.Version
	g.mu.Unlock()
	if recordChanged {
		return false
	}
	r.Service = g.cfg.Service
	claim := &primacy.Claim{Holder: g.cfg.Instance, Nonce: f.nonce, FirstClaimedAt: claimedAt, RenewedAt: claimedAt, OldPrimary: f.oldPrimary, Candidate: f.announced, PromoteAfter: f.promoteAfter, Called: f.called, CalledAt: f.calledAt, ResumedAt: f.resumedAt}
	if r.Claim != nil && r.Claim.OldPrimary == f.oldPrimary {
		claim.FirstClaimedAt = min(claim.FirstClaimedAt, r.Claim.FirstClaimedAt)
	}
	r.Claim, r.Members = claim, f.namesForClaim(r)
	f.claimSentAt = now
	version, storeNow, err := g.putRecord(ctx, r)
	if err != nil {
		f.log.WithFields(logrus.Fields{"event": "claim_failed", "expected_version": r.Version, "error": err.Error()}).Info("claim was not stored")
		return false
	}
	r.Version = version
	f.record = r
	if f.firstClaimStoredAt == 0 {
		f.firstClaimStoredAt = g.cfg.Clock()
	}
	if f.ownClaimStoredAt == 0 {
		f.ownClaimStoredAt = g.cfg.Clock()
	}
	f.succession.Stored(claim.Successor(), g.cfg.Clock()+claimNoticeTime)
	g.UpdateRecord(r, g.timestamp(storeNow, f.claimSentAt))
	f.log.WithFields(logrus.Fields{"event": "claimed", "reason": f.reason.text, "token": version, "candidate": f.announced}).Info("replacing the primary")
	return true
}

// announce names a candidate in the claim, and reports whether the failover goes on.
func (f *failover) announce(ctx context.Context, candidate string) bool {
	// An earlier call may replace the old primary at any time, so that leases are not extended.
	if f.called == "" {
		f.g.mu.Lock()
		f.promoteAfter = max(f.promoteAfter, f.g.storeTime()+announcementTime)
		f.g.mu.Unlock()
	}
	if f.called != candidate {
		f.forgetCall() // it is settled
	}
	f.announced = candidate
	return f.claim(ctx)
}

// candidateKnown reports whether each instance knows the announced candidate.
func (f *failover) candidateKnown() bool {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.g.announcement.known(f.announced, f.g.cfg.Clock())
}

// untilNextRound returns how long the holder waits before it asks the members again: until
// each instance knows the announced candidate, if that is soon.
func (f *failover) untilNextRound() time.Duration {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	if left := f.g.announcement.storedAt + announcementTime - f.g.cfg.Clock(); f.announced != "" && left > 0 {
		return min(left, pollInterval)
	}
	return pollInterval
}

// timestamp returns the time of a call to the store that was sent at sentAt and has just
// been answered.
func (g *Group) timestamp(storeNow, sentAt time.Duration) storetime.Timestamp {
	return storetime.Timestamp{Store: storeNow, Earliest: sentAt, Latest: g.cfg.Clock()}
}

// putRecord stores a record and returns its new version and the store's time. If the call
// fails without an answer, it reads the records to find out whether the record was stored.
func (g *Group) putRecord(ctx context.Context, r primacy.Record) (storeversion.Version, time.Duration, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	version, now, err := g.cfg.RecordStore.Put(callCtx, r)
	cancel()
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrRestored) {
		return version, now, err
	}
	callCtx, cancel = context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	records, readErr := g.cfg.RecordStore.Records(callCtx)
	if readErr != nil {
		return 0, 0, errors.Join(err, readErr)
	}
	stored := records.Rows[r.Service]
	if records.Version.Era() != r.Version.Era() {
		return 0, 0, errors.Join(err, ErrRestored)
	}
	if stored.Version > r.Version && sameRecord(stored, r) {
		return stored.Version, records.StoreNow, nil
	}
	return 0, 0, err
}

// sameRecord reports whether stored is the record that this instance wrote as r.
func sameRecord(stored, r primacy.Record) bool {
	if stored.Primary != r.Primary || stored.Era != r.Era || (stored.Claim == nil) != (r.Claim == nil) || !slices.Equal(stored.Members, r.Members) {
		return false
	}
	return r.Claim == nil || *stored.Claim == *r.Claim
}

// run executes the steps of the failover until it ends, is superseded or times out.
func (f *failover) run(ctx context.Context) {
	var last takeover.Step
	for ctx.Err() == nil && f.g.cfg.Clock()-f.startedAt < attemptTimeout {
		if f.superseded() {
			return
		}
		// While the primary serves, a commit that is acknowledged after a member's answer is not
		// in it.
		required := f.requiredLog()
		f.roundAt = f.g.cfg.Clock()
		round := f.g.controlMembers(statement.Control{Kind: statement.GetStatus}, nil, false, false)
		members := round.Members
		f.membersReadAt = round.ListReadAt
		in := takeover.Input{OldPrimary: f.oldPrimary, Members: members, GroupSize: groupSize(len(members)), StepDown: f.reason.stepDown, HandOver: f.switchoverAllowed(), Unconfirmed: f.unconfirmed,
			MembersOutdated: f.g.cfg.Clock()-f.membersReadAt > maxHolderListAge, Candidate: f.announced, CandidateKnown: f.candidateKnown(), Called: f.unsettledCall(members), PausesUncertain: !f.resumesSettled(),
			RequiredLog: required}
		step := takeover.Decide(in)
		f.observeBlocked(in, step)
		if f.promotionPending(step) {
			f.restorePauses(in)
			time.Sleep(pollInterval)
			continue
		}
		fields := logrus.Fields{"event": "change_step", "action": step.Action.String(), "targets": step.Targets, "term": step.Term, "why": step.Reason, "members": describeMembers(members),
			"members_age_ms": (f.g.cfg.Clock() - f.membersReadAt).Milliseconds(), "acknowledged": f.g.acknowledgedPosition().String()}
		repeated := step.Action == last.Action && slices.Equal(step.Targets, last.Targets)
		if repeated && step.Action != takeover.Wait {
			time.Sleep(pollInterval) // the members have not executed the last step yet
		}
		if !repeated || step.Reason != last.Reason {
			f.log.WithFields(fields).Info("step of a change of primary")
		}
		last = step
		if f.performStep(ctx, step, in) {
			return
		}
	}
	f.log.WithFields(logrus.Fields{"event": "change_unfinished"}).Warn("failover was not finished")
}

// requiredLog returns the position that a log must have reached to be promoted; zero if
// commits need no replica's acknowledgement, as the primary alone may have had the last ones.
func (f *failover) requiredLog() position.Position {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	if f.g.service.AcknowledgedBy == 0 {
		return position.Position{}
	}
	return f.record.RequiredLog(f.oldPrimary, f.g.ackedPosition)
}

// observeBlocked lets requests be refused at once while no member can be promoted, and reports once
// in an attempt that the change waits for members that may not come back.
func (f *failover) observeBlocked(in takeover.Input, step takeover.Step) {
	missing := position.Position{}
	if step.LogsTooShort {
		missing = in.RequiredLog
	}
	f.g.mu.Lock()
	if f.g.missingLog != missing {
		f.g.missingLog = missing
		f.g.broadcast()
	}
	f.g.mu.Unlock()
	if (step.LogsTooShort || len(step.Departed) > 0) && !f.blockedReported {
		f.blockedReported = true
		f.g.cfg.Metrics.CountBlockedChanges()
		f.log.WithFields(logrus.Fields{"event": "change_blocked", "required": in.RequiredLog.String(), "departed": step.Departed, "members": describeMembers(in.Members)}).Error("no member that answers is known to have all acknowledged commits")
	}
}

// restorePauses pauses replicas that receive log entries while a promotion is pending.
// Acknowledgements through them would wait for the candidate.
func (f *failover) restorePauses(in takeover.Input) {
	step := takeover.RestorePauses(in, cmp.Or(f.candidate, f.announced))
	if step.Action != takeover.Pause {
		return
	}
	f.log.WithFields(logrus.Fields{"event": "pause_restored", "targets": step.Targets, "term": step.Term, "why": step.Reason, "members": describeMembers(in.Members)}).Warn("a replica receives log entries during a promotion")
	f.g.controlAll(statement.Control{Kind: statement.PauseReplication, Term: step.Term}, step.Targets, false)
}

// switchoverAllowed reports whether a switchover may go on. It is aborted if no promotion
// was accepted within switchoverTimeout, because reads wait for its end.
func (f *failover) switchoverAllowed() bool {
	return f.reason.switchover && (f.promotedAt != 0 || f.g.cfg.Clock()-f.startedAt < switchoverTimeout)
}

// promotionPending reports whether a promotion that was sent may still take effect. Its
// candidate could replace the present primary with a log that has fewer commits.
func (f *failover) promotionPending(step takeover.Step) bool {
	now := f.g.cfg.Clock()
	if now < f.earlierPromotionUntil && (step.Action == takeover.Promote || step.Action == takeover.Done) {
		return true
	}
	done := step.Action == takeover.Done && step.Targets[0] == f.candidate
	return f.promotedAt != 0 && !done && now-f.promotedAt < promotionResendDelay
}

// untilPromotionSettled returns for how long a promotion by the holder of the claim may
// still take effect.
func (g *Group) untilPromotionSettled(claim primacy.Claim) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return claim.RenewedAt + promotionSendWindow + promoteTimeout + promotionTime - g.storeTime()
}

// unsettledCall returns the member that was called for, if the call may still take effect:
// neither the bound has passed nor is the member's process known to have ended.
func (f *failover) unsettledCall(members []takeover.Member) string {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	if f.called == "" || f.g.storeTime() >= f.calledAt+callSettleTime {
		return ""
	}
	if m := f.g.members[f.called]; m != nil && m.evidence.Gone {
		return ""
	}
	if slices.ContainsFunc(members, func(m takeover.Member) bool { return m.ID == f.called && m.LogLost }) {
		return ""
	}
	return f.called
}

// groupSize returns the number of members of the complete group. While members are
// replaced there may be more; with fewer, the group is incomplete.
func groupSize(registered int) int {
	const regularSize = 3 // every service in the users' site files has three members
	return max(registered, regularSize)
}

// superseded reports whether another instance has changed the record.
func (f *failover) superseded() bool {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.g.tracker.Record().Version > f.record.Version
}

// performStep executes a step and reports whether the failover has ended.
func (f *failover) performStep(ctx context.Context, s takeover.Step, in takeover.Input) bool {
	switch s.Action {
	case takeover.Done:
		f.publish(ctx, primacy.Primary{Member: s.Targets[0], Term: s.Term}, s.Log)
		return true
	case takeover.Abort:
		// A promotion that may still take effect relies on the replicas' replication
		// being paused.
		if f.g.cfg.Clock() < f.promotionPendingUntil {
			time.Sleep(pollInterval)
			break
		}
		if f.abort(ctx, s.Targets) {
			return true
		}
	case takeover.Pause:
		f.g.controlAll(statement.Control{Kind: statement.PauseReplication, Term: s.Term}, s.Targets, false)
		f.pausedAt = f.g.cfg.Clock()
	case takeover.StepDown:
		f.g.controlAll(statement.Control{Kind: statement.StepDown, Term: s.Term}, s.Targets, false)
	case takeover.Announce:
		// Instances pass on acknowledgements by the log of the announced candidate, so it
		// stays the same as long as the promotion of another one may take effect.
		if f.g.cfg.Clock() >= max(f.ownPromotionUntil, f.earlierPromotionUntil) {
			return !f.announce(ctx, s.Targets[0])
		}
		time.Sleep(pollInterval)
	case takeover.Promote:
		return !f.promote(ctx, s, in)
	case takeover.Wait:
		time.Sleep(f.untilNextRound())
	}
	return f.g.cfg.Clock()-f.claimSentAt > claimRenewalAge && !f.claim(ctx)
}

// abort lets the paused members receive again, and withdraws the claim once none of them can
// do so later. It reports whether the failover has ended.
func (f *failover) abort(ctx context.Context, paused []string) bool {
	if len(paused) > 0 && !f.resume(ctx, paused) {
		return true
	}
	if f.resumesSettled() {
		f.withdraw(ctx)
		return true
	}
	time.Sleep(pollInterval)
	return false
}

// resume lets members receive again, and reports whether this instance holds the claim.
// Later holders know of it unless all members have answered.
func (f *failover) resume(ctx context.Context, ids []string) bool {
	g := f.g
	g.mu.Lock()
	earlier, now := f.resumedAt, g.storeTime()
	g.mu.Unlock()
	if earlier == 0 || now-earlier > claimRenewalAge {
		f.resumedAt = now
		if !f.claim(ctx) {
			return false
		}
	}
	sentAt := g.cfg.Clock()
	members := g.controlAll(statement.Control{Kind: statement.ResumeReplication}, ids, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		answered := slices.ContainsFunc(members, func(m takeover.Member) bool { return m.ID == id && m.Status != nil })
		return answered && g.members[id] != nil && g.members[id].resumeLostAt < sentAt
	})
	if len(lost) == 0 {
		f.resumedAt = earlier
		return true
	}
	f.log.WithFields(logrus.Fields{"event": "resume_unanswered", "members": lost}).Warn("members may receive log entries later")
	return true
}

// resumesSettled reports whether no RESUME under the claim can take effect later.
func (f *failover) resumesSettled() bool {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.resumedAt == 0 || f.g.storeTime() >= f.resumedAt+resumeSettleTime
}

// promote notes the call for the promotion in the claim, makes it once each instance that may
// pass on acknowledgements of the old primary knows of it, and reports whether the failover
// goes on.
func (f *failover) promote(ctx context.Context, s takeover.Step, in takeover.Input) bool {
	g := f.g
	if f.succession.GivesUp(s.Targets[0]) {
		f.announced = ""
		f.forgetCall()
		return f.claim(ctx)
	}
	announced := f.announced == s.Targets[0] && f.candidateKnown()
	if wait := f.succession.Wait(f.roundAt); wait > 0 && !announced {
		time.Sleep(min(wait, pollInterval))
		return true
	}
	g.mu.Lock()
	earlier, earlierAt, now := f.called, f.calledAt, g.storeTime()
	g.mu.Unlock()
	// Each later holder must know of the call before it may take effect.
	newCall := earlier != s.Targets[0] || now-earlierAt > claimRenewalAge
	if newCall {
		f.callUnanswered = f.callUnanswered && earlier == s.Targets[0]
		f.callMade = f.callMade && earlier == s.Targets[0]
		f.called, f.calledAt = s.Targets[0], now
	}
	if (newCall || g.cfg.Clock()-f.claimSentAt > claimRenewalAge) && !f.claim(ctx) {
		return false
	}
	if wait := f.untilCall(announced, in.Members); wait > 0 {
		time.Sleep(min(wait, pollInterval))
		return true
	}
	maySend := func() bool {
		now := g.cfg.Clock()
		return now-f.claimSentAt < promotionSendWindow && now-f.membersReadAt <= maxHolderListAge
	}
	sentAt := g.cfg.Clock()
	f.ownPromotionUntil = sentAt + promoteTimeout + promotionResendDelay
	f.promotionPendingUntil = f.ownPromotionUntil
	err := g.cfg.Promoter.Promote(Promotion{Service: g.cfg.Service, Member: s.Targets[0], Holder: g.cfg.Instance, FencingToken: f.record.Version}, maySend, promoteTimeout)
	fields := logrus.Fields{"event": "promotion_sent", "member": s.Targets[0], "token": f.record.Version, "took_ms": (g.cfg.Clock() - sentAt).Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
		f.log.WithFields(fields).Warn("promotion failed or was not answered")
		switch {
		case errors.Is(err, ErrNotRunning) || errors.Is(err, ErrNotCalled) && !f.callMade:
			f.called, f.calledAt = "", 0
		case errors.Is(err, ErrNotCalled):
			f.calledAt = earlierAt
		default:
			f.callUnanswered, f.callMade = true, true
		}
		time.Sleep(pollInterval)
		return true
	}
	f.promotedAt, f.candidate, f.callMade = sentAt, s.Targets[0], true
	f.log.WithFields(fields).Info("promotion accepted")
	return true
}

// forgetCall lets the next claim name no member as called for.
func (f *failover) forgetCall() {
	f.called, f.calledAt, f.callUnanswered, f.callMade = "", 0, false, false
}

// untilCall returns how long the holder waits before it calls for a promotion: until each
// instance that may pass on acknowledgements of the old primary knows of the claim, or has seen
// the pauses.
func (f *failover) untilCall(announced bool, members []takeover.Member) time.Duration {
	if announced || len(members) > 0 && takeover.Abandoned(f.oldPrimary, members) {
		return 0
	}
	return max(f.ownClaimStoredAt+claimNoticeTime, f.pausedAt+maxWatchGap) - f.g.cfg.Clock()
}

// publish records the new primary once all read leases on the old one have ended. log is
// the last position of its log as first seen.
func (f *failover) publish(ctx context.Context, primary primacy.Primary, log position.Position) {
	g := f.g
	go g.controlAll(statement.Control{Kind: statement.StepDown, Term: primary.Term}, []string{f.oldPrimary.Member}, false)
	seenAt := g.cfg.Clock()
	f.awaitEndOfLeases()
	r := f.record.WithPrimary(primary)
	if log.Term < primary.Term {
		r.PromotedAt = log
	}
	if f.callUnanswered && f.called != "" {
		g.mu.Lock()
		r = r.WithLateCall(primacy.LateCall{Member: f.called, Until: f.calledAt + callSettleTime}, g.storeTime())
		g.mu.Unlock()
	}
	for g.cfg.Clock()-seenAt < publishTimeout && ctx.Err() == nil && !f.superseded() {
		sentAt := g.cfg.Clock()
		version, storeNow, err := g.putRecord(ctx, r)
		if err == nil {
			r.Version = version
			g.UpdateRecord(r, g.timestamp(storeNow, sentAt))
			f.log.WithFields(logrus.Fields{"event": "change_done", "lead": primary.Member, "term": primary.Term, "took_ms": (g.cfg.Clock() - f.startedAt).Milliseconds()}).Info("primary replaced")
			return
		}
		f.log.WithFields(logrus.Fields{"event": "publish_failed", "error": err.Error()}).Warn("new primary was not recorded")
		if errors.Is(err, ErrConflict) || errors.Is(err, ErrRestored) {
			return
		}
		f.adoptWithoutStore(primary)
		time.Sleep(pollInterval)
	}
}

// awaitEndOfLeases waits until no instance holds a read lease on the old primary.
func (f *failover) awaitEndOfLeases() {
	g := f.g
	g.mu.Lock()
	granted := f.record.Claim.LeasesEnd() - g.storeTime()
	g.mu.Unlock()
	time.Sleep(max(granted, f.firstClaimStoredAt+primacy.ReadLease-g.cfg.Clock(), 0))
}

// adoptWithoutStore lets this instance use the new primary although it could not be
// recorded: all read leases on the old one have expired.
func (f *failover) adoptWithoutStore(primary primacy.Primary) {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	before := f.g.tracker.Primary()
	if f.g.tracker.AdoptPromoted(primary) {
		f.g.suspicion.clear()
		f.g.observePrimaryChange(before, "own_promotion")
		f.g.broadcast()
	}
}

// withdraw removes the claim; the old primary stays.
func (f *failover) withdraw(ctx context.Context) {
	r := f.record.WithPrimary(f.oldPrimary)
	sentAt := f.g.cfg.Clock()
	version, storeNow, err := f.g.putRecord(ctx, r)
	if err != nil {
		f.log.WithFields(logrus.Fields{"event": "withdraw_failed", "error": err.Error()}).Warn("claim was not withdrawn; it expires after its TTL")
		return
	}
	r.Version = version
	f.g.UpdateRecord(r, f.g.timestamp(storeNow, sentAt))
	f.log.WithFields(logrus.Fields{"event": "withdrawn", "reason": fmt.Sprint(f.reason.text)}).Info("claim withdrawn; the primary stays")
}
