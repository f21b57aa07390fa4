package group

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/health"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// minTimeout and minTimeoutFactor define which unanswered statements count against a
	// member: those that it was given this time for, and this many service times. A
	// statement that waited in a queue until shortly before its deadline says nothing.
	minTimeout       = 150 * time.Millisecond
	minTimeoutFactor = 4
	// startingPeriod is the longest time after a start or a change of role for which a
	// member that is below full use is not ejected for being slow.
	startingPeriod = 30 * time.Second
	// gatewayFailurePause is the time for which other members are preferred after a
	// statement was not answered through a gateway.
	gatewayFailurePause = 100 * time.Millisecond
)

// HealthMetrics counts changes of the state of members.
type HealthMetrics interface {
	// CountMemberChange counts a change by its kind ("ejected", "returned", "paced" or
	// "full_use") and its cause.
	CountMemberChange(kind, cause string)
}

// noMetrics is a Metrics that ignores all calls.
type noMetrics struct{}

// CountMemberChange implements HealthMetrics.
func (noMetrics) CountMemberChange(string, string) {}

// CountGuardedCommit implements AcknowledgementMetrics.
func (noMetrics) CountGuardedCommit(string) {}

// CountMissingCommits implements AcknowledgementMetrics.
func (noMetrics) CountMissingCommits() {}

// CountBlockedChanges implements AcknowledgementMetrics.
func (noMetrics) CountBlockedChanges() {}

// CountForgottenMember implements AcknowledgementMetrics.
func (noMetrics) CountForgottenMember(string) {}

// CountStrictRead implements DecisionMetrics.
func (noMetrics) CountStrictRead(BasisKind) {}

// CountCommitProof implements DecisionMetrics.
func (noMetrics) CountCommitProof(takeover.ProofKind) {}

// CountOtherTerm implements DecisionMetrics.
func (noMetrics) CountOtherTerm(kind, direction string) {}

// ObserveCommitProof implements AcknowledgementMetrics.
func (noMetrics) ObserveCommitProof(time.Duration) {}

// healthMonitor derives the state of the members from their answers (core/health), and
// applies a pace to those that have started or recovered (core/pace). It is safe for
// concurrent use.
type healthMonitor struct {
	cfg *Config

	mu        sync.Mutex
	tracker   *health.Tracker
	upstreams map[string]*upstream.Upstream
}

func newHealthMonitor(cfg *Config) *healthMonitor {
	return &healthMonitor{cfg: cfg, tracker: health.New(), upstreams: make(map[string]*upstream.Upstream)}
}

// add adds a member, or resets one that has restarted or moved.
func (h *healthMonitor) add(id string, u *upstream.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Add(id)
	h.upstreams[id] = u
}

func (h *healthMonitor) knows(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.upstreams[id] != nil
}

func (h *healthMonitor) remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.tracker.Remove(id, h.cfg.Clock()))
	delete(h.upstreams, id)
}

// startPace raises the load of a member from a small one on. cold means that the member
// reports that it is slow.
func (h *healthMonitor) startPace(id string, u *upstream.Upstream, cause upstream.PaceCause, cold bool) {
	p := u.StartPace(cause, cold)
	if p.Limit >= p.Full {
		return
	}
	h.cfg.Metrics.CountMemberChange("paced", string(cause))
	h.cfg.Log.WithFields(logrus.Fields{"event": "member_paced", "member": id, "cause": string(cause), "limit": p.Limit, "full": p.Full}).Info("member starts with few statements in flight")
}

// apply logs changes and passes them on to the upstreams. h.mu is held.
func (h *healthMonitor) apply(changes []health.Change) {
	for _, c := range changes {
		u := h.upstreams[c.Member]
		fields := logrus.Fields{"event": "member_ejected", "member": c.Member, "cause": string(c.Cause)}
		switch c.Kind {
		case health.Ejection:
			h.cfg.Metrics.CountMemberChange("ejected", string(c.Cause))
			h.cfg.Log.WithFields(fields).Warn("member is the last choice for reads")
			continue
		case health.Return:
			fields["event"], fields["ejected_ms"] = "member_returned", c.Lasted.Milliseconds()
			h.cfg.Metrics.CountMemberChange("returned", string(c.Cause))
			h.cfg.Log.WithFields(fields).Info("member serves reads again")
			if u != nil {
				h.startPace(c.Member, u, upstream.Recovered, false)
			}
		}
		if u != nil {
			u.ForgetServiceTimes()
		}
	}
}

// checkSilence ejects members that leave all statements unanswered.
func (h *healthMonitor) checkSilence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.tracker.CheckSilence(h.cfg.Clock()))
}

// use returns how a member may be used for a read.
func (h *healthMonitor) use(id string) health.Use {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Use(id, h.cfg.Clock())
}

// suspect reports whether a member is ejected or its last statement failed.
func (h *healthMonitor) suspect(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Suspect(id)
}

func (h *healthMonitor) recordProbe(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RecordProbe(id, h.cfg.Clock())
}

// admit reports whether this instance runs a read of another instance on a member: not on
// an ejected one, except for probes and reads that no other member can execute, nor while
// the probe of a suspect one is outstanding.
func (h *healthMonitor) admit(id string, onlyCandidate bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock()
	_, ejected := h.tracker.Ejected(id)
	switch h.tracker.Use(id, now) {
	case health.Probe, health.Retry:
		h.tracker.RecordProbe(id, now)
	case health.Avoid:
		return onlyCandidate || !ejected && !h.tracker.Probing(id, now)
	}
	return true
}

// sent records that a statement is sent to a member on a connection of this instance, and
// returns the function that records its outcome.
func (h *healthMonitor) sent(u *upstream.Upstream, j upstream.Job, timeout time.Duration) func(reply statement.Reply, err error) {
	id, sentAt, load := u.Member().ID, h.cfg.Clock(), u.LoadPerSlot()
	_, service, _ := u.Load(j.Rank)
	h.mu.Lock()
	h.tracker.RecordSent(id, sentAt)
	h.mu.Unlock()
	return func(reply statement.Reply, err error) {
		now := h.cfg.Clock()
		h.mu.Lock()
		h.tracker.RecordDone(id, err == nil, now)
		h.mu.Unlock()
		var connErr *statement.ConnError
		if errors.As(err, &connErr) && connErr.Timeout && timeout < max(minTimeout, minTimeoutFactor*service) {
			return
		}
		a := health.Answer{Outcome: outcomeOf(j, reply, err), Class: classOf(j), Load: load, SentAt: sentAt}
		if err == nil {
			a.Took = now - sentAt
		}
		h.record(u, a)
	}
}

// record records the outcome of a statement.
func (h *healthMonitor) record(u *upstream.Upstream, a health.Answer) {
	id, now := u.Member().ID, h.cfg.Clock()
	pace, paced := u.Pace()
	a.Starting = paced && pace.Cause != upstream.Recovered && now-pace.Since < startingPeriod
	h.mu.Lock()
	ratio, changes := h.tracker.Record(id, a, now)
	h.apply(changes)
	h.mu.Unlock()
	if !paced || a.Outcome == health.Neutral || !u.RecordPace(a.Outcome == health.Good, ratio, a.SentAt) {
		return
	}
	h.cfg.Metrics.CountMemberChange("full_use", string(pace.Cause))
	h.cfg.Log.WithFields(logrus.Fields{"event": "member_full_use", "member": id, "cause": string(pace.Cause), "after_ms": (now - pace.Since).Milliseconds()}).Info("member is at full use")
}

// recordConnFailure records that a connection to a member could not be opened or set up.
func (h *healthMonitor) recordConnFailure(u *upstream.Upstream) {
	h.record(u, health.Answer{Outcome: health.Failed, SentAt: h.cfg.Clock()})
}

// recordGatewayResult records the result of a job that ran at the member's gateway. The
// gateway judges the member; here, a job without an answer only makes the member suspect,
// because the gateway may have failed instead.
func (h *healthMonitor) recordGatewayResult(u *upstream.Upstream, j upstream.Job, r upstream.Result, sentAt time.Duration) {
	if r.Err == nil {
		if outcome := outcomeOf(j, r.Reply, nil); outcome == health.Good || outcome == health.Neutral {
			h.record(u, health.Answer{Outcome: outcome, SentAt: sentAt})
		}
		return
	}
	var connErr *statement.ConnError
	var v *verdict.Error
	h.mu.Lock()
	defer h.mu.Unlock()
	switch id, now := u.Member().ID, h.cfg.Clock(); {
	case errors.As(r.Err, &connErr):
		h.tracker.RecordAvoid(id, now+gatewayFailurePause)
	case errors.As(r.Err, &v) && v.Code == verdict.CutOff:
		h.tracker.RecordAvoid(id, now+retryAfterUnanswered)
	}
}

// outcomeOf returns what the result of a statement says about the member. An error of a
// statement that may write depends on its content and on the transaction.
func outcomeOf(j upstream.Job, reply statement.Reply, err error) health.Outcome {
	if err != nil {
		return health.Failed
	}
	reads := j.Statement.Kind == statement.Read || j.Statement.Kind == statement.Execute && j.Prepared != nil && !j.Prepared.Writes
	reason, failed := statement.ReasonOf(reply.Err)
	switch {
	case reply.Err != nil && !failed:
		return health.Neutral
	case failed && reason == statement.Busy:
		return health.Refused
	case failed && (reason == statement.WrongMember || reads && (reason == statement.Failed || reason == statement.TimedOut)):
		return health.Failed
	case failed:
		return health.Neutral
	}
	switch j.Statement.Kind {
	case statement.Read, statement.Write, statement.Execute:
		return health.Good
	case statement.Commit:
		if j.CommitsWrites {
			return health.Good
		}
	}
	return health.Neutral
}

// classOf returns the class of a statement by rank and kind: only statements of the same
// class have comparable service times.
func classOf(j upstream.Job) int {
	const kinds = 3
	kind := 0
	switch {
	case j.CommitsWrites:
		kind = 2
	case j.Statement.Kind == statement.Write || j.Prepared != nil && j.Prepared.Writes:
		kind = 1
	}
	return int(j.Rank)*kinds + kind
}

// MemberState is what an instance knows of a member, for its diagnostic dump.
type MemberState struct {
	// Ejected is the cause for which the member is the last choice for reads, or empty.
	Ejected string `json:"ejected,omitempty"`
	// Suspect means that the member is ejected or its last statement failed.
	Suspect bool `json:"suspect,omitempty"`
	// PaceCause is why the member is below full use, or empty. Limit is the number of
	// statements in flight that the instance allows at present, of Full.
	PaceCause string `json:"pace_cause,omitempty"`
	Limit     int    `json:"limit"`
	Full      int    `json:"full"`
}

// MemberStates returns the states of all members by ID.
func (g *Group) MemberStates() map[string]MemberState {
	h := g.health
	h.mu.Lock()
	defer h.mu.Unlock()
	states := make(map[string]MemberState, len(h.upstreams))
	for id, u := range h.upstreams {
		cause, _ := h.tracker.Ejected(id)
		p, paced := u.Pace()
		s := MemberState{Ejected: string(cause), Suspect: h.tracker.Suspect(id), Limit: p.Limit, Full: p.Full}
		if paced {
			s.PaceCause = string(p.Cause)
		}
		states[id] = s
	}
	return states
}

// observeMemberStart handles a registered member that is new, or another incarnation of a
// known one, and begins its pace. The members that an instance finds when it starts are
// in use by others already, unless they report that they are cold.
func (g *Group) observeMemberStart(known *member, old, m catalog.Member, joined bool) {
	joined = joined || !g.health.knows(m.ID)
	if !joined && old.Started == m.Started && old.Address == m.Address {
		return
	}
	g.health.add(m.ID, known.Upstream)
	switch {
	case !joined && old.Started != m.Started:
		g.health.startPace(m.ID, known.Upstream, upstream.Restarted, m.ColdFor > 0)
	case joined && (g.lastMembersRead != 0 || m.ColdFor > 0):
		g.health.startPace(m.ID, known.Upstream, upstream.Joined, m.ColdFor > 0)
	}
}
