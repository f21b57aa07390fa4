package group

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// promotionSendWindow is how long after sending its claim a holder may send a
	// promotion.
	promotionSendWindow = 1200 * time.Millisecond
	// promoteTimeout bounds the promotion call; its connection is reset then,
	// so that nothing of it arrives later.
	promoteTimeout = 600 * time.Millisecond
	// claimTTL is how long a claim keeps others from claiming. It covers the
	// window, the call, and the difference between two clocks.
	claimTTL = promotionSendWindow + promoteTimeout + 400*time.Millisecond
	// claimRenewalAge is the age at which a holder that is not finished renews its
	// claim, so that a window of 0.4 s is left for the call.
	claimRenewalAge = 800 * time.Millisecond
	// attemptTimeout ends an attempt that makes no progress; the next instance
	// may see more members.
	attemptTimeout = 6 * time.Second
	// handOverTimeout is how long a primary that serves may wait for its successor to
	// be promoted: a replica that is close behind takes some 50 ms. Leases on its
	// lead end after 1 s.
	handOverTimeout = 500 * time.Millisecond
	// promotionResendDelay is how long a promotion may take until it is sent again; it
	// takes 0.3 to 1 s in the site files.
	promotionResendDelay = 2500 * time.Millisecond
	// promotionTime is how long a promotion takes from its arrival: 1 s in the site
	// files, and the time until a member says so.
	promotionTime = 1200 * time.Millisecond
	// pollInterval separates two questions to the members.
	pollInterval = 30 * time.Millisecond
	// claimJitter is the range of the random delay before a claim. Of several
	// instances that notice a loss, most then see the claim of the first.
	claimJitter = 60 * time.Millisecond
	// claimTurnInterval is the time between the claims of two instances that see the same
	// reason: a claim is read by all others within 0.3 s. From the turn maxClaimTurn
	// on, the random delay must do.
	claimTurnInterval = 300 * time.Millisecond
	maxClaimTurn      = 5
	// claimTurnsAbove is the number of instances above which they claim in turn; so few
	// claims at a time cost less than the wait.
	claimTurnsAbove = 12
	// storeCallTimeout bounds one call to the store; a slow store takes 0.4 s.
	storeCallTimeout = 800 * time.Millisecond
	// attemptInterval separates two attempts of one instance, so that a reason
	// that an attempt does not remove cannot fill the store with claims.
	attemptInterval = 500 * time.Millisecond
	// publishTimeout ends the attempts to record a finished change; after that,
	// another instance records it.
	publishTimeout = 15 * time.Second
)

// change is one attempt of this instance to replace the primary.
type failover struct {
	g             *Group
	reason        failoverReason
	old           primacy.Lead
	nonce         uint64
	record        primacy.Record // as stored, with this instance's claim
	claimSentAt   time.Duration  // local time before the claim was sent
	claimStoredAt time.Duration  // local time after its answer
	startedAt     time.Duration
	promotedAt    time.Duration // when the last promotion was accepted; 0 if none
	candidate     string        // of that promotion
	// pending is until when a promotion that was sent, by this or an earlier
	// holder, may still take effect, settled the same of earlier holders alone.
	promotionPendingUntil time.Duration
	earlierPromotionUntil time.Duration
	log                   *logrus.Entry
}

// claimDelay is how long this instance waits before it claims. What the register
// or the record shows, all instances see at once, and they act in turn; a primary
// that does not answer is noticed by few.
func (g *Group) claimDelay(why failoverReason) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	delay := rand.N(claimJitter)
	if why.visibleToAll && g.fleet.Size() > claimTurnsAbove {
		turn, _ := g.fleet.Turn(g.cfg.Service)
		delay += time.Duration(min(turn, maxClaimTurn)) * claimTurnInterval
	}
	return delay
}

func (g *Group) failOver(ctx context.Context, why failoverReason) {
	g.mu.Lock()
	old := g.tracker.Lead()
	base := g.tracker.Record()
	g.mu.Unlock()
	if base.Claim != nil {
		old = base.Claim.Old
	}
	boottime.Sleep(ctx, g.claimDelay(why))
	if ctx.Err() != nil || g.cfg.Clock()-g.lastAttemptAt < attemptInterval {
		return
	}
	g.lastAttemptAt = g.cfg.Clock()
	// The record that was judged is the condition of the claim: one that another
	// instance has claimed meanwhile makes it fail.
	c := &failover{g: g, reason: why, old: old, nonce: rand.Uint64(), startedAt: g.cfg.Clock(), record: base,
		log: g.cfg.Log.WithFields(logrus.Fields{"change_of": old.Member, "old_term": old.Term})}
	if base.Claim != nil {
		c.promotionPendingUntil = c.startedAt + promotionResendDelay
		c.earlierPromotionUntil = c.startedAt + g.untilPromotionSettled(*base.Claim)
	}
	switch {
	case c.claim(ctx):
		c.run(ctx)
	case why.handOver:
		g.mu.Lock()
		g.handover.NotBegun(g.cfg.Clock())
		g.mu.Unlock()
	}
}

// claim stores this instance's claim, or renews it.
func (c *failover) claim(ctx context.Context) bool {
	g := c.g
	g.mu.Lock()
	r := c.record
	now := g.cfg.Clock()
	since := g.storeTime()
	moved := g.tracker.Record().Version > r.Version
	g.mu.Unlock()
	if moved {
		return false
	}
	r.Service = g.cfg.Service
	claim := &primacy.Claim{Holder: g.cfg.Instance, Nonce: c.nonce, Since: since, Renewed: since, Old: c.old}
	if r.Claim != nil && r.Claim.Old == c.old {
		claim.Since = min(claim.Since, r.Claim.Since)
	}
	r.Claim = claim
	c.claimSentAt = now
	version, storeNow, err := c.put(ctx, r)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "claim_failed", "expected_version": r.Version, "error": err.Error()}).Info("claim was not stored")
		return false
	}
	r.Version = version
	c.record, c.claimStoredAt = r, g.cfg.Clock()
	g.UpdateRecord(r, g.stamp(storeNow, c.claimSentAt))
	c.log.WithFields(logrus.Fields{"event": "claimed", "reason": c.reason.text, "token": version}).Info("replacing the primary")
	return true
}

// stamp returns the moment of a call to the store that was sent at sentAt and has
// just been answered.
func (g *Group) stamp(storeNow, sentAt time.Duration) storetime.Stamp {
	return storetime.Stamp{Store: storeNow, Earliest: sentAt, Latest: g.cfg.Clock()}
}

// put stores a record. If the answer is lost, it reads the record back.
func (c *failover) put(ctx context.Context, r primacy.Record) (uint64, time.Duration, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	version, now, err := c.g.cfg.RecordStore.Put(call, r)
	cancel()
	if err == nil || errors.Is(err, ErrConflict) {
		return version, now, err
	}
	call, cancel = context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	records, readErr := c.g.cfg.RecordStore.Records(call)
	if readErr != nil {
		return 0, 0, errors.Join(err, readErr)
	}
	stored := records.Rows[r.Service]
	if stored.Version > r.Version && sameRecord(stored, r) {
		return stored.Version, records.StoreNow, nil
	}
	return 0, 0, err
}

// sameRecord reports whether stored is what this instance wrote as r.
func sameRecord(stored, r primacy.Record) bool {
	if stored.Lead != r.Lead || (stored.Claim == nil) != (r.Claim == nil) {
		return false
	}
	return r.Claim == nil || *stored.Claim == *r.Claim
}

func (c *failover) run(ctx context.Context) {
	var last takeover.Step
	for ctx.Err() == nil && c.g.cfg.Clock()-c.startedAt < attemptTimeout {
		if c.superseded() {
			return
		}
		members := c.g.controlAll(statement.Control{Kind: statement.GetStatus}, nil, false)
		step := takeover.Decide(takeover.Input{Old: c.old, Members: members, Size: groupSize(len(members)), StepDown: c.reason.stepDown, HandOver: c.handOverAllowed()})
		fields := logrus.Fields{"event": "change_step", "action": step.Action.String(), "targets": step.Targets, "term": step.Term, "why": step.Reason, "members": describeMembers(members)}
		if c.promotionPending(step) {
			time.Sleep(pollInterval)
			continue
		}
		if step.Action == last.Action && slices.Equal(step.Targets, last.Targets) && step.Action != takeover.Wait {
			time.Sleep(pollInterval) // the members have not followed the order yet
		}
		last = step
		c.log.WithFields(fields).Info("step of a change of primary")
		if c.performStep(ctx, step) {
			return
		}
	}
	c.log.WithFields(logrus.Fields{"event": "change_unfinished"}).Warn("change of primary was not finished")
}

// handOverAllowed reports whether a primary that serves is still to be replaced: not if
// no promotion could be sent in time, because reads wait for the change to end.
func (c *failover) handOverAllowed() bool {
	return c.reason.handOver && (c.promotedAt != 0 || c.g.cfg.Clock()-c.startedAt < handOverTimeout)
}

// promotionPending reports whether a promotion that was sent may still change who leads.
// Its candidate may take over from a member that leads now, with fewer commits.
func (c *failover) promotionPending(step takeover.Step) bool {
	now := c.g.cfg.Clock()
	if now < c.earlierPromotionUntil && (step.Action == takeover.Promote || step.Action == takeover.Done) {
		return true
	}
	done := step.Action == takeover.Done && step.Targets[0] == c.candidate
	return c.promotedAt != 0 && !done && now-c.promotedAt < promotionResendDelay
}

// untilPromotionSettled returns how long a promotion by the holder of a claim may still
// take effect.
func (g *Group) untilPromotionSettled(claim primacy.Claim) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return claim.Renewed + promotionSendWindow + promoteTimeout + promotionTime - g.storeTime()
}

// groupSize is the number of members of a whole group. While members are
// replaced, there may be more; fewer are never enough.
func groupSize(registered int) int {
	const usual = 3 // every service of the site files has three copies
	return max(registered, usual)
}

// superseded reports whether another instance has changed the record.
func (c *failover) superseded() bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.tracker.Record().Version > c.record.Version
}

// perform executes a step and reports whether the change has ended.
func (c *failover) performStep(ctx context.Context, s takeover.Step) bool {
	switch s.Action {
	case takeover.Done:
		c.publish(ctx, primacy.Lead{Member: s.Targets[0], Term: s.Term})
		return true
	case takeover.Abort:
		// A promotion that may still take effect relies on the holds.
		if c.g.cfg.Clock() < c.promotionPendingUntil {
			time.Sleep(pollInterval)
			break
		}
		c.g.controlAll(statement.Control{Kind: statement.ResumeReplication}, s.Targets, false)
		c.withdraw(ctx)
		return true
	case takeover.Hold:
		c.g.controlAll(statement.Control{Kind: statement.PauseReplication, Term: s.Term}, s.Targets, false)
	case takeover.GiveUp:
		c.g.controlAll(statement.Control{Kind: statement.StepDown, Term: s.Term}, s.Targets, false)
	case takeover.Promote:
		return !c.promote(ctx, s)
	case takeover.Wait:
		time.Sleep(pollInterval)
	}
	return c.g.cfg.Clock()-c.claimSentAt > claimRenewalAge && !c.claim(ctx)
}

// promote sends the promotion and reports whether the change goes on.
func (c *failover) promote(ctx context.Context, s takeover.Step) bool {
	g := c.g
	if g.cfg.Clock()-c.claimSentAt > claimRenewalAge && !c.claim(ctx) {
		return false
	}
	maySend := func() bool { return g.cfg.Clock()-c.claimSentAt < promotionSendWindow }
	sentAt := g.cfg.Clock()
	c.promotionPendingUntil = sentAt + promoteTimeout + promotionResendDelay
	err := g.cfg.Promoter.Promote(Promotion{Service: g.cfg.Service, Member: s.Targets[0], Holder: g.cfg.Instance, FencingToken: c.record.Version}, maySend, promoteTimeout)
	fields := logrus.Fields{"event": "promotion_sent", "member": s.Targets[0], "token": c.record.Version, "took_ms": (g.cfg.Clock() - sentAt).Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
		c.log.WithFields(fields).Warn("promotion failed or was not answered")
		time.Sleep(pollInterval)
		return true
	}
	c.promotedAt, c.candidate = sentAt, s.Targets[0]
	c.log.WithFields(fields).Info("promotion accepted")
	return true
}

// publish records the new lead once no instance can still read from the old one.
func (c *failover) publish(ctx context.Context, lead primacy.Lead) {
	g := c.g
	go g.controlAll(statement.Control{Kind: statement.StepDown, Term: lead.Term}, []string{c.old.Member}, false)
	seen := g.cfg.Clock()
	time.Sleep(max(c.claimStoredAt+primacy.ReadLease-seen, 0))
	r := c.record
	r.Lead, r.Claim = lead, nil
	for g.cfg.Clock()-seen < publishTimeout && ctx.Err() == nil && !c.superseded() {
		sentAt := g.cfg.Clock()
		version, storeNow, err := c.put(ctx, r)
		if err == nil {
			r.Version = version
			g.UpdateRecord(r, g.stamp(storeNow, sentAt))
			c.log.WithFields(logrus.Fields{"event": "change_done", "lead": lead.Member, "term": lead.Term, "took_ms": (g.cfg.Clock() - c.startedAt).Milliseconds()}).Info("primary replaced")
			return
		}
		c.log.WithFields(logrus.Fields{"event": "publish_failed", "error": err.Error()}).Warn("new primary was not recorded")
		if errors.Is(err, ErrConflict) {
			return
		}
		c.adoptWithoutStore(lead)
		time.Sleep(pollInterval)
	}
}

// adoptWithoutStore lets this instance use the new lead although it could not
// be recorded: all readings that prove the old one are older than ReadLease.
func (c *failover) adoptWithoutStore(lead primacy.Lead) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	before := c.g.tracker.Lead()
	if c.g.tracker.AdoptPromoted(lead) {
		c.g.suspicion.clear()
		c.g.observePrimaryChange(before, "own_promotion")
		c.g.broadcast()
	}
}

// withdraw removes the claim: the old primary stays.
func (c *failover) withdraw(ctx context.Context) {
	r := c.record
	r.Claim = nil
	sentAt := c.g.cfg.Clock()
	version, storeNow, err := c.put(ctx, r)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "withdraw_failed", "error": err.Error()}).Warn("claim was not withdrawn; it ends by its age")
		return
	}
	r.Version = version
	c.g.UpdateRecord(r, c.g.stamp(storeNow, sentAt))
	c.log.WithFields(logrus.Fields{"event": "withdrawn", "reason": fmt.Sprint(c.reason.text)}).Info("primary stays")
}
