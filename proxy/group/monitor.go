package group

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// monitorInterval is how often a group is looked at while something is to be
	// done. Others wait for news: thousands of groups that were looked at four times
	// a second would use up a small machine.
	monitorInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe of a suspect primary: a connection takes
	// 12 ms and a status waits behind queued statements for up to 80 ms.
	probeTimeout = 250 * time.Millisecond
	// silenceLimit is how long the lead may leave statements unanswered, without
	// any answer between, until it is probed. 18 statements of 9 ms on two slots
	// take 80 ms.
	silenceLimit = 150 * time.Millisecond
	// probePause separates two probes, so that a restart of the member's
	// listener is not taken for its death.
	probePause = 60 * time.Millisecond
	// unansweredWrites is the number of writes without an answer, and without
	// an answered one between them, after which the replicas are compared with
	// the primary: answers get lost also where commits go on.
	unansweredWrites = 2
	// stuckInterval separates the two comparisons; a replica of the site files
	// is 20 ms behind on average and 120 ms at most.
	stuckInterval = 150 * time.Millisecond
	// storeFresh is the age up to which the last reading of the records shows
	// that the store is reachable from here; readings are 400 ms apart.
	storeFresh = 900 * time.Millisecond
	// learnSpacing is the time between the turns of two instances in asking for
	// the first lead. The record of the one before is read within 0.4 s.
	learnSpacing = 500 * time.Millisecond
	// unannouncedWait is how long an instance that is not announced leaves that to
	// others: announcements take up to 2 s.
	unannouncedWait = 4 * time.Second
)

// suspicion is what speaks against the lead.
type suspicion struct {
	since      time.Duration // first failure since the last answer; 0 if none
	failures   int
	unanswered int
	// confirmed means that probes on fresh connections failed too.
	confirmed  bool
	later      leadership.Leader // primary of a later term seen without a record
	laterSince time.Duration
	changedAt  time.Duration
}

func (t *suspicion) answered(time.Duration) {
	if !t.confirmed {
		t.since, t.failures = 0, 0
	}
}

func (t *suspicion) clear() { *t = suspicion{changedAt: t.changedAt} }

// silence watches whether statements sent to the lead are answered.
type silence struct {
	outstanding int
	since       time.Duration // last answer, or first statement after a quiet time
	watching    bool
}

// StatementStarted takes in that a statement is sent to the lead.
func (g *Group) StatementStarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.silence.outstanding == 0 {
		g.silence.since = g.cfg.Clock()
	}
	g.silence.outstanding++
	if !g.silence.watching {
		g.silence.watching = true
		time.AfterFunc(silenceLimit, g.checkSilence)
	}
}

// StatementFinished takes in that such a statement was answered or given up.
func (g *Group) StatementFinished(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silence.outstanding--
	if answered {
		g.silence.since = g.cfg.Clock()
	}
}

func (g *Group) checkSilence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silence.watching = false
	if g.silence.outstanding == 0 {
		return
	}
	now := g.cfg.Clock()
	if now-g.silence.since >= silenceLimit {
		if g.suspicion.since == 0 {
			g.suspicion.since = g.silence.since
		}
		g.suspicion.failures++
		g.poke()
	}
	g.silence.watching = true
	time.AfterFunc(max(g.silence.since+silenceLimit-now, silenceLimit/2), g.checkSilence)
}

// RequestFailed takes in that a request to a member failed without an answer.
func (g *Group) RequestFailed(u *upstream.Upstream, unansweredWrite bool) {
	u.RecordFailure()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, lead := g.leadLocked(); lead != u {
		return
	}
	if g.suspicion.since == 0 {
		g.suspicion.since = g.cfg.Clock()
	}
	g.suspicion.failures++
	if unansweredWrite {
		g.suspicion.unanswered++
	}
	g.poke()
}

// WriteAcknowledged takes in that a write that was sent at sentAt was acknowledged, at
// position p.
func (g *Group) WriteAcknowledged(u *upstream.Upstream, p position.Position, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged = position.Max(g.acknowledged, p)
	if _, lead := g.leadLocked(); lead == u {
		g.suspicion.unanswered = 0
		g.committed = max(g.committed, sentAt)
	}
}

// PrimaryDemoted takes in that the lead refused a write as a replica.
func (g *Group) PrimaryDemoted(u *upstream.Upstream) { g.RequestFailed(u, false) }

// Run watches the primary and replaces it when needed, until ctx ends.
func (g *Group) Run(ctx context.Context) {
	defer close(g.finished)
	again := time.NewTimer(monitorInterval)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-again.C:
		}
		if g.look(ctx) {
			again.Reset(monitorInterval)
		}
	}
}

// look does what is to be done now, and reports whether something is left to do
// without further news.
func (g *Group) look(ctx context.Context) bool {
	g.mu.Lock()
	lead, u := g.leadLocked()
	hinted := g.roleHint.Member != ""
	g.mu.Unlock()
	if lead.Member == "" {
		g.learnLead()
		return hinted
	}
	g.recordFirstLead(ctx, lead)
	why, ok := g.reason(lead, u)
	if !ok {
		return g.suspects()
	}
	g.mu.Lock()
	// A probe takes up to 0.5 s: what it shows of a former lead is no reason to doubt
	// or to replace its successor.
	if now, _ := g.leadLocked(); now != lead {
		g.mu.Unlock()
		return true
	}
	blocked := g.blockedLocked()
	if why.confirms && !g.suspicion.confirmed {
		g.suspicion.confirmed = true
		if g.suspicion.since == 0 {
			g.suspicion.since = g.cfg.Clock()
		}
		g.cfg.Log.WithFields(logrus.Fields{"event": "primary_lost", "member": lead.Member, "term": lead.Term, "reason": why.text}).Warn("primary does not serve")
		g.broadcast()
	}
	if blocked != "" && g.suspicion.confirmed {
		g.startRound()
	}
	g.mu.Unlock()
	if blocked == "" {
		g.takeOver(ctx, why)
	}
	return true
}

// handOverDue reports whether the lead should be handed over because no replica can
// execute reads and the primary has no room for them. It says so once a while.
func (g *Group) handOverDue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	// Without a replica's confirmation, an acknowledged commit may be on the primary
	// alone, and a successor could lack it.
	if g.service.AcknowledgedBy == 0 || !g.handover.Due(now, g.suspicion.changedAt) {
		return false
	}
	// Without the store no change can begin; it is due when the store is back.
	if g.blockedLocked() != "" {
		return false
	}
	g.handover.RecordAttempt(now)
	return true
}

// mayHandOver asks the members whether a replica could take the lead over at once,
// so that no claim interrupts the primary for nothing.
func (g *Group) mayHandOver(lead leadership.Leader) bool {
	members := g.askAll(statement.Control{Kind: statement.GetStatus}, nil, false)
	step := takeover.Decide(takeover.Input{OldLeader: lead, Members: members, GroupSize: groupSize(len(members)), HandOver: true})
	ready := step.Action == takeover.Pause || step.Action == takeover.Promote
	g.cfg.Log.WithFields(logrus.Fields{"event": "no_room_for_reads", "member": lead.Member, "term": lead.Term, "hand_over": ready, "why": step.Reason, "members": describe(members)}).Warn("all replicas are behind and the primary has no room for reads")
	return ready
}

// suspects reports whether something speaks against the lead.
func (g *Group) suspects() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspicion.failures > 0 || g.suspicion.confirmed
}

// learnLead asks the member that calls itself primary for its term, as long as
// no record names a lead. Instances do so in turn: 85 that asked at once used up
// the connections of the members, and half of the leads were not known 14 s
// after the start.
func (g *Group) learnLead() {
	g.mu.Lock()
	hint, seen, fleet := g.roleHint, g.roleSeen, g.fleet
	m := g.members[hint.Member]
	g.mu.Unlock()
	if m == nil || hint.Term != 0 {
		return
	}
	wait := unannouncedWait
	if turn, announced := fleet.Precedence(g.cfg.Service); announced {
		wait = time.Duration(turn) * learnSpacing
	}
	askedAt := g.cfg.Clock()
	if askedAt < seen+wait {
		return
	}
	status, _ := g.ask(m.Upstream, statement.Control{Kind: statement.GetStatus}, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	if status == nil || !status.Primary || g.roleHint != hint {
		return
	}
	g.roleHint.Term, g.roleSeen = status.Term, askedAt
}

// recordFirstLead stores a record of the lead if there is none.
func (g *Group) recordFirstLead(ctx context.Context, lead leadership.Leader) {
	g.mu.Lock()
	due := g.unrecorded && g.tracker.Record().Version == 0
	g.mu.Unlock()
	if !due {
		return
	}
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, _, err := g.cfg.RecordStore.Put(call, leadership.Record{Service: g.cfg.Service, Leader: lead})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unrecorded = false
	fields := logrus.Fields{"event": "first_lead_recorded", "member": lead.Member, "term": lead.Term}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.cfg.Log.WithFields(fields).Info("first primary recorded")
}

// reason is why a primary is to be replaced.
type reason struct {
	text string
	// confirms means that the primary cannot serve requests.
	confirms bool
	// registered means that the register or the record shows the reason, so that
	// all instances see it at once.
	registered bool
	// stepDown means that it must give up its lead although it answers.
	stepDown bool
	// handOver means that it serves and stays, as a replica.
	handOver bool
}

// reason returns why the lead should be replaced. It probes a suspect lead.
func (g *Group) reason(lead leadership.Leader, u *upstream.Upstream) (reason, bool) {
	g.mu.Lock()
	r := g.tracker.Record()
	t := g.suspicion
	m := g.members[lead.Member]
	g.mu.Unlock()
	switch {
	case r.Claim != nil:
		return reason{text: "unfinished_change", registered: true}, true
	case u == nil && g.leadGone():
		return reason{text: "gone", confirms: true, registered: true}, true
	case u == nil:
		return reason{}, false
	case u.Member().Draining:
		return reason{text: "leaving", registered: true}, true
	case !m.rebornFloor.IsZero():
		return reason{text: "restarted", confirms: true, registered: true}, true
	case g.handOverDue():
		return reason{text: "replicas_behind", handOver: true}, g.mayHandOver(lead)
	case t.failures == 0 && !t.confirmed:
		return reason{}, false
	}
	switch g.probe(u, lead) {
	case probeDead:
		return reason{text: "unreachable", confirms: true}, true
	case probeReplica:
		return reason{text: "not_primary", confirms: true}, true
	case probeUnknown:
		return reason{}, false
	}
	if t.unanswered >= unansweredWrites && g.replicationStuck(lead) {
		return reason{text: "commits_unacknowledged", stepDown: true}, true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	unanswered := g.suspicion.unanswered
	if g.suspicion.confirmed {
		g.cfg.Log.WithFields(logrus.Fields{"event": "primary_back", "member": lead.Member, "term": lead.Term}).Info("primary answers again")
	}
	g.suspicion.clear()
	g.suspicion.unanswered = unanswered
	g.broadcast()
	return reason{}, false
}

type probeResult uint8

const (
	probeAlive probeResult = iota
	probeReplica
	probeDead
	// probeUnknown means that the member runs but did not say its role, as when
	// its connection limit is reached.
	probeUnknown
)

// probe asks the lead on fresh connections: an open one may be silent while the
// member serves.
func (g *Group) probe(u *upstream.Upstream, lead leadership.Leader) probeResult {
	for attempt := range 2 {
		if attempt > 0 {
			time.Sleep(probePause)
		}
		reply, err := u.Control(true, statement.Control{Kind: statement.GetStatus}, probeTimeout)
		if err == nil {
			if reply.Primary && reply.Term == lead.Term {
				return probeAlive
			}
			return probeReplica
		}
		if reason, ok := statement.ReasonOf(err); ok && reason != statement.WrongMember {
			return probeUnknown
		}
		g.cfg.Log.WithFields(logrus.Fields{"event": "probe_failed", "member": lead.Member, "attempt": attempt, "error": err.Error()}).Info("primary did not answer a probe")
		var link *statement.ConnError
		if errors.As(err, &link) && link.Timeout {
			break // it was silent for longer than any pause
		}
	}
	return probeDead
}

// replicationStuck reports whether no replica has the primary's log, nor comes
// closer to it: then no commit can be acknowledged.
func (g *Group) replicationStuck(lead leadership.Leader) bool {
	first, ok := g.furthestReplica(lead)
	if !ok {
		return false
	}
	time.Sleep(stuckInterval)
	second, ok := g.furthestReplica(lead)
	return ok && first == second
}

// furthestReplica returns the greatest position of a replica; ok is false if it
// is the primary's, or the primary does not answer.
func (g *Group) furthestReplica(lead leadership.Leader) (furthest position.Position, ok bool) {
	var own position.Position
	for _, m := range g.askAll(statement.Control{Kind: statement.GetStatus}, nil, false) {
		switch {
		case m.Status == nil:
		case m.ID == lead.Member:
			own = m.Status.Received
		default:
			furthest = position.Max(furthest, m.Status.Received)
		}
	}
	return furthest, !own.IsZero() && !furthest.AtLeast(own)
}

// blockedLocked returns why this instance cannot replace the primary now, or
// an empty text.
func (g *Group) blockedLocked() string {
	now := g.cfg.Clock()
	if now-g.recordsRead.Earliest > storeFresh {
		return "store_unreachable"
	}
	if r := g.tracker.Record(); r.Claim != nil {
		if g.recordsRead.Store-r.Claim.RenewedAt < claimLife {
			return "claimed_by_" + r.Claim.Holder
		}
	}
	return ""
}
