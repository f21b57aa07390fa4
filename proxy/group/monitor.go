package group

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// monitorInterval is how often Run checks a group while it has something to do.
	// Otherwise Run waits to be woken: checking thousands of groups four times a
	// second would use up a small machine.
	monitorInterval = 250 * time.Millisecond
	// probeTimeout limits each probe of a suspected primary: connecting takes 12 ms,
	// and a status waits behind queued statements for up to 80 ms.
	probeTimeout = 250 * time.Millisecond
	// silenceLimit is how long the primary may answer none of its outstanding
	// statements before it is probed. 18 statements of 9 ms on two slots take 80 ms.
	silenceLimit = 150 * time.Millisecond
	// probeInterval separates two probes, so that a restart of the member's listener
	// does not count as a failure of the member.
	probeInterval = 60 * time.Millisecond
	// lateAnswerAfter is the time after the beginning of a probe from which an answer of the
	// primary on another connection shows that it runs. Earlier ones may have been under way
	// when it failed.
	lateAnswerAfter = 50 * time.Millisecond
	// unansweredWriteLimit is the number of consecutive unanswered writes after which
	// the replicas' positions are compared with the primary's. Unanswered writes
	// alone prove nothing: answers are also lost while commits continue.
	unansweredWriteLimit = 2
	// replicationCheckInterval separates the two comparisons; a replica in the site
	// files is 20 ms behind on average and 120 ms at most.
	replicationCheckInterval = 150 * time.Millisecond
	// maxStoreReadAge is the age up to which the last read of the records shows that
	// this instance can reach the store; reads are 400 ms apart.
	maxStoreReadAge = 900 * time.Millisecond
	// learnTurnInterval is the time between the turns of two instances to ask for the
	// first primary. The record stored by one instance is read by the next within
	// 0.4 s.
	learnTurnInterval = 500 * time.Millisecond
	// unannouncedWait is how long an instance that is not announced yet leaves asking
	// for the first primary to others: announcements take up to 2 s.
	unannouncedWait = 4 * time.Second
)

// suspicion is the evidence of a failure of the primary.
type suspicion struct {
	firstFailureAt   time.Duration // first failure since the last answer; 0 if none
	failures         int
	unansweredWrites int
	// confirmed means that probes on new connections failed too, or that the store
	// shows that the primary cannot serve.
	confirmed         bool
	laterPrimary      primacy.Primary // primary of a later term that the members report and no record shows
	laterPrimarySince time.Duration   // when it was first reported
	primaryChangedAt  time.Duration
}

// answered handles an answer of the primary, which ends an unconfirmed suspicion.
func (s *suspicion) answered(time.Duration) {
	if !s.confirmed {
		s.firstFailureAt, s.failures = 0, 0
	}
}

// clear resets the suspicion, as after a change of primary.
func (s *suspicion) clear() { *s = suspicion{primaryChangedAt: s.primaryChangedAt} }

// silenceWatch tracks whether the primary answers its outstanding statements.
type silenceWatch struct {
	outstanding int
	since       time.Duration // last answer, or first statement after none was outstanding
	answeredAt  time.Duration // last answer of the present primary, here or at a gateway; 0 if none
	watching    bool
}

// StatementStarted must be called before a statement is sent to the primary.
func (g *Group) StatementStarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.silence.outstanding == 0 {
		g.silence.since = g.cfg.Clock()
	}
	g.silence.outstanding++
	g.observePrimaryUse()
	if !g.silence.watching {
		g.silence.watching = true
		time.AfterFunc(silenceLimit, g.checkSilence)
	}
}

// StatementFinished must be called when such a statement was answered or has failed.
func (g *Group) StatementFinished(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silence.outstanding--
	if answered {
		g.silence.since = g.cfg.Clock()
		g.silence.answeredAt = g.silence.since
	}
}

// checkSilence suspects the primary if no outstanding statement has been answered for
// silenceLimit.
func (g *Group) checkSilence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silence.watching = false
	if g.silence.outstanding == 0 {
		return
	}
	now := g.cfg.Clock()
	if now-g.silence.since >= silenceLimit {
		if g.suspicion.firstFailureAt == 0 {
			g.suspicion.firstFailureAt = g.silence.since
		}
		g.suspicion.failures++
		g.signalRun()
	}
	g.silence.watching = true
	time.AfterFunc(max(g.silence.since+silenceLimit-now, silenceLimit/2), g.checkSilence)
}

// RequestFailed records that a request to a member failed without an answer.
func (g *Group) RequestFailed(u *upstream.Upstream, unansweredWrite bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, primary := g.primaryLocked(); primary != u {
		return
	}
	if g.suspicion.firstFailureAt == 0 {
		g.suspicion.firstFailureAt = g.cfg.Clock()
	}
	g.suspicion.failures++
	if unansweredWrite {
		g.suspicion.unansweredWrites++
	}
	g.signalRun()
}

// commitSuperseded records that a commit at p was not passed on because a member is in a later term.
func (g *Group) commitSuperseded(u *upstream.Upstream, p position.Position) {
	if primary, _ := g.Primary(); p.Term == primary.Term {
		g.RequestFailed(u, true)
	}
}

// WriteAcknowledged records that a write sent at sentAt was acknowledged at position p.
func (g *Group) WriteAcknowledged(u *upstream.Upstream, p position.Position, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ackedPosition = position.Max(g.ackedPosition, p)
	// Between two terms of one member, another one may have led.
	if primary, leads := g.primaryLocked(); leads == u && p.Term == primary.Term {
		g.suspicion.unansweredWrites = 0
		g.lastAckSentAt = max(g.lastAckSentAt, sentAt)
	}
}

// PrimaryDemoted records that the primary refused a write because it is a replica.
func (g *Group) PrimaryDemoted(u *upstream.Upstream) { g.RequestFailed(u, false) }

// Run monitors the primary and fails over when needed, until ctx ends.
func (g *Group) Run(ctx context.Context) {
	g.setRunning(true)
	defer g.setRunning(false)
	defer close(g.finished)
	endOfStart := time.AfterFunc(startQuotaPeriod, g.endStartQuota)
	defer endOfStart.Stop()
	timer := time.NewTimer(monitorInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-timer.C:
		}
		if g.runOnce(ctx) {
			timer.Reset(monitorInterval)
		}
	}
}

func (g *Group) setRunning(running bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = running
}

// runOnce performs one check of the group, and reports whether another one is due
// after monitorInterval even if nothing wakes Run.
func (g *Group) runOnce(ctx context.Context) bool {
	g.mu.Lock()
	primary, u := g.primaryLocked()
	reported := g.selfReported.Member != ""
	g.mu.Unlock()
	if primary.Member == "" {
		g.learnPrimary()
		return reported
	}
	g.recordFirstPrimary(ctx, primary)
	reason, ok := g.failoverReason(primary, u)
	if !ok && g.recordOutdated() {
		if reason, ok = g.confirmRecord(ctx, primary); !ok {
			return true
		}
	}
	if !ok {
		return g.updateRoster(ctx, primary) || g.primarySuspected()
	}
	g.mu.Lock()
	// A probe takes up to 0.5 s. If the primary has changed meanwhile, its result says
	// nothing about the new primary.
	if current, _ := g.primaryLocked(); current != primary {
		g.mu.Unlock()
		return true
	}
	blocked := g.failoverBlockedLocked()
	if reason.notServing && !g.suspicion.confirmed {
		g.suspicion.confirmed = true
		if g.suspicion.firstFailureAt == 0 {
			g.suspicion.firstFailureAt = g.cfg.Clock()
		}
		g.cfg.Log.WithFields(logrus.Fields{"event": "primary_lost", "member": primary.Member, "term": primary.Term, "reason": reason.text}).Warn("primary does not serve")
		g.broadcast()
	}
	if blocked != "" && g.suspicion.confirmed {
		g.startRound()
	}
	g.mu.Unlock()
	if blocked == "" {
		g.failOver(ctx, reason)
	}
	return true
}

// switchoverDue reports whether the primary should be replaced by a replica because no
// replica can execute reads and the primary is overloaded. At most one attempt is due
// per interval of core/handover.
func (g *Group) switchoverDue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	// If commits need no replica's acknowledgement, an acknowledged commit may be on
	// the primary alone, and its successor could lack it.
	if g.service.AcknowledgedBy == 0 || !g.switchover.Due(now, g.suspicion.primaryChangedAt) {
		return false
	}
	// Without the store no failover can begin; the switchover stays due.
	if g.failoverBlockedLocked() != "" {
		return false
	}
	g.switchover.RecordAttempt(now)
	return true
}

// canSwitchOver asks the members whether a replica could become the primary at once. If
// not, no claim is made, which would interrupt the primary for no benefit.
func (g *Group) canSwitchOver(primary primacy.Primary) bool {
	members := g.controlAll(statement.Control{Kind: statement.GetStatus}, nil, false)
	step := takeover.Decide(takeover.Input{OldPrimary: primary, Members: members, GroupSize: groupSize(len(members)), HandOver: true})
	ready := step.Action == takeover.Announce
	g.cfg.Log.WithFields(logrus.Fields{"event": "no_room_for_reads", "member": primary.Member, "term": primary.Term, "hand_over": ready, "why": step.Reason, "members": describeMembers(members)}).Warn("all replicas are behind and the primary is overloaded with reads")
	return ready
}

// primarySuspected reports whether requests to the primary or probes of it failed.
func (g *Group) primarySuspected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspicion.failures > 0 || g.suspicion.confirmed
}

// learnPrimary asks the member that reports itself primary for its term, while no
// record names a primary. Instances take turns: 85 instances that asked at once used
// up the members' connections, and half of the primaries were still unknown 14 s
// after the start.
func (g *Group) learnPrimary() {
	g.mu.Lock()
	reported, reportedAt, fleet := g.selfReported, g.selfReportedAt, g.fleet
	m := g.members[reported.Member]
	g.mu.Unlock()
	if m == nil || reported.Term != 0 {
		return
	}
	wait := unannouncedWait
	if turn, announced := fleet.Precedence(g.cfg.Service); announced {
		wait = time.Duration(turn) * learnTurnInterval
	}
	askedAt := g.cfg.Clock()
	if askedAt < reportedAt+wait {
		return
	}
	status, _ := g.control(m, statement.Control{Kind: statement.GetStatus}, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	if status == nil || !status.Primary || g.selfReported != reported {
		return
	}
	g.selfReported.Term, g.selfReportedAt = status.Term, askedAt
}

// recordFirstPrimary stores a record of the primary if there is none.
func (g *Group) recordFirstPrimary(ctx context.Context, primary primacy.Primary) {
	g.mu.Lock()
	version := g.tracker.Record().Version
	due := g.firstPrimaryUnrecorded && version.Counter() == 0
	g.mu.Unlock()
	if !due {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, _, err := g.cfg.RecordStore.Put(callCtx, primacy.Record{Service: g.cfg.Service, Primary: primary, Era: version.Era(), Version: version})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.firstPrimaryUnrecorded = false
	fields := logrus.Fields{"event": "first_lead_recorded", "member": primary.Member, "term": primary.Term}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.cfg.Log.WithFields(fields).Info("first primary recorded")
}

// failoverReason is why a primary is to be replaced.
type failoverReason struct {
	text string
	// notServing means that the primary cannot serve requests.
	notServing bool
	// visibleToAll means that the store shows the reason, so that all instances see
	// it at the same time.
	visibleToAll bool
	// stepDown means that the primary must step down although it answers.
	stepDown bool
	// switchover means that the primary serves and stays in the group as a replica.
	switchover bool
}

// failoverReason returns why the primary should be replaced, and whether it should be.
// It probes a suspected primary.
func (g *Group) failoverReason(primary primacy.Primary, u *upstream.Upstream) (failoverReason, bool) {
	g.mu.Lock()
	record := g.tracker.Record()
	unfinished := record.Claim != nil && !g.claimOfEarlierEra(record)
	suspected := g.suspicion
	m := g.members[primary.Member]
	restarted := m != nil && m.logLost()
	g.mu.Unlock()
	switch {
	case unfinished:
		return failoverReason{text: "unfinished_change", visibleToAll: true}, true
	case u == nil && g.primaryGone():
		return failoverReason{text: "gone", notServing: true, visibleToAll: true}, true
	case u == nil:
		return failoverReason{}, false
	case u.Member().Draining:
		return failoverReason{text: "leaving", visibleToAll: true}, true
	case restarted && !g.hasCaughtUp(m):
		return failoverReason{text: "restarted", notServing: true, visibleToAll: true}, true
	case g.switchoverDue():
		return failoverReason{text: "replicas_behind", switchover: true}, g.canSwitchOver(primary)
	case suspected.failures == 0 && !suspected.confirmed:
		return failoverReason{}, false
	}
	switch g.probe(u, primary) {
	case probeDead:
		return failoverReason{text: "unreachable", notServing: true}, true
	case probeReplica:
		return failoverReason{text: "not_primary", notServing: true}, true
	case probeUnknown:
		return failoverReason{}, false
	}
	if suspected.unansweredWrites >= unansweredWriteLimit {
		if text := g.whyUnacknowledged(primary); text != "" {
			return failoverReason{text: text, stepDown: true}, true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	unanswered := g.suspicion.unansweredWrites
	if g.suspicion.confirmed {
		g.cfg.Log.WithFields(logrus.Fields{"event": "primary_back", "member": primary.Member, "term": primary.Term}).Info("primary answers again")
	}
	g.suspicion.clear()
	g.suspicion.unansweredWrites = unanswered
	g.broadcast()
	return failoverReason{}, false
}

// hasCaughtUp asks a member that has restarted without its log whether that counts again, as
// that of a replica which has been promoted since.
func (g *Group) hasCaughtUp(m *member) bool {
	_, _ = g.control(m, statement.Control{Kind: statement.GetStatus}, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	return !m.logLost()
}

// probeResult is what a probe shows of the primary.
type probeResult uint8

const (
	probeAlive probeResult = iota
	probeReplica
	probeDead
	// probeUnknown means that the member runs but did not report its role, for
	// example because its connection limit is reached, or because its listener is
	// saturated: it then answers statements on open connections.
	probeUnknown
)

// answeredSince reports whether the primary has answered on any connection, here or at a
// gateway, later than the given time.
func (g *Group) answeredSince(at time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silence.answeredAt > at
}

// probe asks the primary for its status on new connections: an open connection may
// be broken without a sign while the member serves. Conversely, a primary that answers
// statements while it does not accept the probe's connections is not dead: after a start of
// 91 instances, the probes of saturated primaries timed out and led to 14 claims.
func (g *Group) probe(u *upstream.Upstream, primary primacy.Primary) probeResult {
	startedAt := g.cfg.Clock()
	// Without any answer since its start, this instance has no open connection that could
	// show that the primary runs, so that it waits for a second probe.
	neverAnswered := !g.answeredSince(0) && startedAt-g.startedAt < startQuotaPeriod
	for attempt := range 2 {
		if attempt > 0 {
			time.Sleep(probeInterval)
		}
		reply, err := u.Control(true, statement.Control{Kind: statement.GetStatus}, probeTimeout)
		if err == nil {
			if reply.Primary && reply.Term == primary.Term {
				return probeAlive
			}
			return probeReplica
		}
		if reason, ok := statement.ReasonOf(err); ok && reason != statement.WrongMember {
			return probeUnknown
		}
		g.cfg.Log.WithFields(logrus.Fields{"event": "probe_failed", "member": primary.Member, "attempt": attempt, "error": err.Error()}).Info("primary did not answer a probe")
		var connErr *statement.ConnError
		if g.answeredSince(startedAt + lateAnswerAfter) {
			return probeUnknown
		}
		if errors.As(err, &connErr) && connErr.Timeout && !neverAnswered {
			break // the timeout was longer than probeInterval already
		}
	}
	return probeDead
}

// whyUnacknowledged returns why no commit of the primary can be acknowledged; empty if that may
// change: all replicas are behind it and receive nothing, or one has moved to a later term.
func (g *Group) whyUnacknowledged(primary primacy.Primary) string {
	members := g.controlAll(statement.Control{Kind: statement.GetStatus}, nil, false)
	if takeover.Outrun(primary, members) {
		return "member_in_later_term"
	}
	first, behind := takeover.Replicated(primary, members)
	if !behind {
		return ""
	}
	time.Sleep(replicationCheckInterval)
	second, behind := takeover.Replicated(primary, g.controlAll(statement.Control{Kind: statement.GetStatus}, nil, false))
	if !behind || first != second {
		return ""
	}
	return "commits_unacknowledged"
}

// failoverBlockedLocked returns why this instance cannot replace the primary now, or
// an empty string. g.mu is held.
func (g *Group) failoverBlockedLocked() string {
	now := g.cfg.Clock()
	if now-g.lastRecordsRead.Earliest > maxStoreReadAge {
		return "store_unreachable"
	}
	r := g.tracker.Record()
	if !r.Confirmed() && !g.eraSettled() {
		return "store_restored"
	}
	if r.Claim != nil && g.lastRecordsRead.Store-r.Claim.RenewedAt < claimTTL {
		return "claimed_by_" + r.Claim.Holder
	}
	return ""
}
