package group

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// sendWindow is how long after sending its claim a holder may send a
	// promotion.
	sendWindow = 1200 * time.Millisecond
	// promoteTimeout bounds the promotion call; its connection is reset then,
	// so that nothing of it arrives later.
	promoteTimeout = 600 * time.Millisecond
	// claimLife is how long a claim keeps others from claiming. It covers the
	// window, the call, and the difference between two clocks.
	claimLife = sendWindow + promoteTimeout + 400*time.Millisecond
	// claimRenewal is the age at which a holder that is not finished renews its
	// claim, so that a window of 0.4 s is left for the call.
	claimRenewal = 800 * time.Millisecond
	// attemptLimit ends an attempt that makes no progress; the next instance
	// may see more members.
	attemptLimit = 6 * time.Second
	// handOverLimit is how long a primary that serves may wait for its successor to
	// be promoted: a replica that is close behind takes some 50 ms. Leases on its
	// lead end after 1 s.
	handOverLimit = 500 * time.Millisecond
	// effectLimit is how long a promotion may take until it is sent again; it
	// takes 0.3 to 1 s in the site files.
	effectLimit = 2500 * time.Millisecond
	// promoteEffect is how long a promotion takes from its arrival: 1 s in the site
	// files, and the time until a member says so.
	promoteEffect = 1200 * time.Millisecond
	// pollInterval separates two questions to the members.
	pollInterval = 30 * time.Millisecond
	// claimSpread is the range of the random delay before a claim. Of several
	// instances that notice a loss, most then see the claim of the first.
	claimSpread = 60 * time.Millisecond
	// claimTurn is the time between the claims of two instances that see the same
	// reason: a claim is read by all others within 0.3 s. From the turn maxTurns
	// on, the random delay must do.
	claimTurn = 300 * time.Millisecond
	maxTurns  = 5
	// turnsFrom is the number of instances above which they claim in turn; so few
	// claims at a time cost less than the wait.
	turnsFrom = 12
	// storeCallTimeout bounds one call to the store; a slow store takes 0.4 s.
	storeCallTimeout = 800 * time.Millisecond
	// attemptSpacing separates two attempts of one instance, so that a reason
	// that an attempt does not remove cannot fill the store with claims.
	attemptSpacing = 500 * time.Millisecond
	// publishLimit ends the attempts to record a finished change; after that,
	// another instance records it.
	publishLimit = 15 * time.Second
)

// change is one attempt of this instance to replace the primary.
type change struct {
	g         *Group
	why       reason
	old       leadership.Leader
	nonce     uint64
	record    leadership.Record // as stored, with this instance's claim
	claimed   time.Duration     // local time before the claim was sent
	stored    time.Duration     // local time after its answer
	started   time.Duration
	promoted  time.Duration // when the last promotion was accepted; 0 if none
	candidate string        // of that promotion
	// pending is until when a promotion that was sent, by this or an earlier
	// holder, may still take effect, settled the same of earlier holders alone.
	pending time.Duration
	settled time.Duration
	log     *logrus.Entry
}

// claimDelay is how long this instance waits before it claims. What the register
// or the record shows, all instances see at once, and they act in turn; a primary
// that does not answer is noticed by few.
func (g *Group) claimDelay(why reason) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	delay := rand.N(claimSpread)
	if why.registered && g.fleet.Size() > turnsFrom {
		turn, _ := g.fleet.Precedence(g.cfg.Service)
		delay += time.Duration(min(turn, maxTurns)) * claimTurn
	}
	return delay
}

func (g *Group) takeOver(ctx context.Context, why reason) {
	g.mu.Lock()
	old := g.tracker.Leader()
	base := g.tracker.Record()
	g.mu.Unlock()
	if base.Claim != nil {
		old = base.Claim.OldLeader
	}
	boottime.Sleep(ctx, g.claimDelay(why))
	if ctx.Err() != nil || g.cfg.Clock()-g.attempted < attemptSpacing {
		return
	}
	g.attempted = g.cfg.Clock()
	// The record that was judged is the condition of the claim: one that another
	// instance has claimed meanwhile makes it fail.
	c := &change{g: g, why: why, old: old, nonce: rand.Uint64(), started: g.cfg.Clock(), record: base,
		log: g.cfg.Log.WithFields(logrus.Fields{"change_of": old.Member, "old_term": old.Term})}
	if base.Claim != nil {
		c.pending = c.started + effectLimit
		c.settled = c.started + g.untilSettled(*base.Claim)
	}
	switch {
	case c.claim(ctx):
		c.run(ctx)
	case why.handOver:
		g.mu.Lock()
		g.handover.RecordFailedStart(g.cfg.Clock())
		g.mu.Unlock()
	}
}

// claim stores this instance's claim, or renews it.
func (c *change) claim(ctx context.Context) bool {
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
	claim := &leadership.Claim{Holder: g.cfg.Instance, Nonce: c.nonce, FirstClaimedAt: since, RenewedAt: since, OldLeader: c.old}
	if r.Claim != nil && r.Claim.OldLeader == c.old {
		claim.FirstClaimedAt = min(claim.FirstClaimedAt, r.Claim.FirstClaimedAt)
	}
	r.Claim = claim
	c.claimed = now
	version, storeNow, err := c.put(ctx, r)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "claim_failed", "expected_version": r.Version, "error": err.Error()}).Info("claim was not stored")
		return false
	}
	r.Version = version
	c.record, c.stored = r, g.cfg.Clock()
	g.UpdateRecord(r, g.stamp(storeNow, c.claimed))
	c.log.WithFields(logrus.Fields{"event": "claimed", "reason": c.why.text, "token": version}).Info("replacing the primary")
	return true
}

// stamp returns the moment of a call to the store that was sent at sentAt and has
// just been answered.
func (g *Group) stamp(storeNow, sentAt time.Duration) storetime.Timestamp {
	return storetime.Timestamp{Store: storeNow, Earliest: sentAt, Latest: g.cfg.Clock()}
}

// put stores a record. If the answer is lost, it reads the record back.
func (c *change) put(ctx context.Context, r leadership.Record) (uint64, time.Duration, error) {
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
func sameRecord(stored, r leadership.Record) bool {
	if stored.Leader != r.Leader || (stored.Claim == nil) != (r.Claim == nil) {
		return false
	}
	return r.Claim == nil || *stored.Claim == *r.Claim
}

func (c *change) run(ctx context.Context) {
	var last takeover.Step
	for ctx.Err() == nil && c.g.cfg.Clock()-c.started < attemptLimit {
		if c.superseded() {
			return
		}
		members := c.g.askAll(statement.Control{Kind: statement.GetStatus}, nil, false)
		step := takeover.Decide(takeover.Input{OldLeader: c.old, Members: members, GroupSize: groupSize(len(members)), StepDown: c.why.stepDown, HandOver: c.handsOver()})
		fields := logrus.Fields{"event": "change_step", "action": step.Action.String(), "targets": step.Targets, "term": step.Term, "why": step.Reason, "members": describe(members)}
		if c.mustWait(step) {
			time.Sleep(pollInterval)
			continue
		}
		if step.Action == last.Action && slices.Equal(step.Targets, last.Targets) && step.Action != takeover.Wait {
			time.Sleep(pollInterval) // the members have not followed the order yet
		}
		last = step
		c.log.WithFields(fields).Info("step of a change of primary")
		if c.perform(ctx, step) {
			return
		}
	}
	c.log.WithFields(logrus.Fields{"event": "change_unfinished"}).Warn("change of primary was not finished")
}

// handsOver reports whether a primary that serves is still to be replaced: not if
// no promotion could be sent in time, because reads wait for the change to end.
func (c *change) handsOver() bool {
	return c.why.handOver && (c.promoted != 0 || c.g.cfg.Clock()-c.started < handOverLimit)
}

// mustWait reports whether a promotion that was sent may still change who leads.
// Its candidate may take over from a member that leads now, with fewer commits.
func (c *change) mustWait(step takeover.Step) bool {
	now := c.g.cfg.Clock()
	if now < c.settled && (step.Action == takeover.Promote || step.Action == takeover.Done) {
		return true
	}
	done := step.Action == takeover.Done && step.Targets[0] == c.candidate
	return c.promoted != 0 && !done && now-c.promoted < effectLimit
}

// untilSettled returns how long a promotion by the holder of a claim may still
// take effect.
func (g *Group) untilSettled(claim leadership.Claim) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return claim.RenewedAt + sendWindow + promoteTimeout + promoteEffect - g.storeTime()
}

// groupSize is the number of members of a whole group. While members are
// replaced, there may be more; fewer are never enough.
func groupSize(registered int) int {
	const usual = 3 // every service of the site files has three copies
	return max(registered, usual)
}

// superseded reports whether another instance has changed the record.
func (c *change) superseded() bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	return c.g.tracker.Record().Version > c.record.Version
}

// perform executes a step and reports whether the change has ended.
func (c *change) perform(ctx context.Context, s takeover.Step) bool {
	switch s.Action {
	case takeover.Done:
		c.publish(ctx, leadership.Leader{Member: s.Targets[0], Term: s.Term})
		return true
	case takeover.Abort:
		// A promotion that may still take effect relies on the holds.
		if c.g.cfg.Clock() < c.pending {
			time.Sleep(pollInterval)
			break
		}
		c.g.askAll(statement.Control{Kind: statement.ResumeReplication}, s.Targets, false)
		c.withdraw(ctx)
		return true
	case takeover.Pause:
		c.g.askAll(statement.Control{Kind: statement.PauseReplication, Term: s.Term}, s.Targets, false)
	case takeover.StepDown:
		c.g.askAll(statement.Control{Kind: statement.StepDown, Term: s.Term}, s.Targets, false)
	case takeover.Promote:
		return !c.promote(ctx, s)
	case takeover.Wait:
		time.Sleep(pollInterval)
	}
	return c.g.cfg.Clock()-c.claimed > claimRenewal && !c.claim(ctx)
}

// promote sends the promotion and reports whether the change goes on.
func (c *change) promote(ctx context.Context, s takeover.Step) bool {
	g := c.g
	if g.cfg.Clock()-c.claimed > claimRenewal && !c.claim(ctx) {
		return false
	}
	maySend := func() bool { return g.cfg.Clock()-c.claimed < sendWindow }
	sentAt := g.cfg.Clock()
	c.pending = sentAt + promoteTimeout + effectLimit
	err := g.cfg.Promoter.Promote(Promotion{Service: g.cfg.Service, Member: s.Targets[0], Holder: g.cfg.Instance, FencingToken: c.record.Version}, maySend, promoteTimeout)
	fields := logrus.Fields{"event": "promotion_sent", "member": s.Targets[0], "token": c.record.Version, "took_ms": (g.cfg.Clock() - sentAt).Milliseconds()}
	if err != nil {
		fields["error"] = err.Error()
		c.log.WithFields(fields).Warn("promotion failed or was not answered")
		time.Sleep(pollInterval)
		return true
	}
	c.promoted, c.candidate = sentAt, s.Targets[0]
	c.log.WithFields(fields).Info("promotion accepted")
	return true
}

// publish records the new lead once no instance can still read from the old one.
func (c *change) publish(ctx context.Context, lead leadership.Leader) {
	g := c.g
	go g.askAll(statement.Control{Kind: statement.StepDown, Term: lead.Term}, []string{c.old.Member}, false)
	seen := g.cfg.Clock()
	time.Sleep(max(c.stored+leadership.ReadLease-seen, 0))
	r := c.record
	r.Leader, r.Claim = lead, nil
	for g.cfg.Clock()-seen < publishLimit && ctx.Err() == nil && !c.superseded() {
		sentAt := g.cfg.Clock()
		version, storeNow, err := c.put(ctx, r)
		if err == nil {
			r.Version = version
			g.UpdateRecord(r, g.stamp(storeNow, sentAt))
			c.log.WithFields(logrus.Fields{"event": "change_done", "lead": lead.Member, "term": lead.Term, "took_ms": (g.cfg.Clock() - c.started).Milliseconds()}).Info("primary replaced")
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
func (c *change) adoptWithoutStore(lead leadership.Leader) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	before := c.g.tracker.Leader()
	if c.g.tracker.AdoptPromoted(lead) {
		c.g.suspicion.clear()
		c.g.noteLead(before, "own_promotion")
		c.g.broadcast()
	}
}

// withdraw removes the claim: the old primary stays.
func (c *change) withdraw(ctx context.Context) {
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
	c.log.WithFields(logrus.Fields{"event": "withdrawn", "reason": fmt.Sprint(c.why.text)}).Info("primary stays")
}
