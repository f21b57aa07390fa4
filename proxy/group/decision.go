package group

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// sampleInterval separates two lines for ordinary decisions of one event.
	sampleInterval = time.Second
	// recentChange is the time after a change of primary in which every decision counts as
	// unusual.
	recentChange = 2 * time.Second
)

// Decision is the part of a strict read or a commit that is logged even when there are too
// many for a line each.
type Decision struct {
	Event    string // "read_decision" or "commit_decision"
	Service  string
	Request  string
	Cause    string // why it is unusual
	Position position.Position
	// Took is how long the acknowledgement of a commit waited for proof.
	Took time.Duration
}

// DecisionLog logs unusual decisions.
type DecisionLog interface {
	// Note logs a decision. It calls fields if the decision gets a line of its own; when
	// there are too many, decisions of the same cause share one.
	Note(d Decision, fields func() logrus.Fields)
}

// noDecisionLog is a DecisionLog that ignores all calls.
type noDecisionLog struct{}

// Note implements DecisionLog.
func (noDecisionLog) Note(Decision, func() logrus.Fields) {}

// DecisionMetrics counts what strict reads and acknowledgements rely on.
type DecisionMetrics interface {
	// CountStrictRead counts a strict read that a member has answered, by what the choice
	// of the member relies on.
	CountStrictRead(basis BasisKind)
	// CountCommitProof counts an acknowledgement that was passed on, by its proof, at the
	// instance that ran the commit.
	CountCommitProof(by takeover.ProofKind)
	// CountOtherTerm counts an answer whose position is of another term than that of the
	// primary that the choice of its member rests on, at the instance that chose. kind is
	// "commit" or "read", and direction "above" or "below", as seen from that primary.
	//
	// Each answered commit with a position counts; one without changes may be below on a
	// primary that has committed nothing yet, if the database answers it with the end of
	// its log. Of strict reads, those count that rest on a lease or a round, single ones
	// and the first of a transaction. As a primary that has committed nothing yet answers
	// with a position of an earlier term, one below counts only if the primary was known to
	// have reached its own term when it was chosen.
	CountOtherTerm(kind, direction string)
}

// BasisKind is what a choice relies on.
type BasisKind uint8

const (
	// NoBasis is the kind of a choice that was not made here.
	NoBasis BasisKind = iota
	// ByLease means a read of the record.
	ByLease
	// ByRound means a quorum round that confirmed the primary.
	ByRound
	// ByBound means the bound of acknowledged commits that a round has found.
	ByBound
	// ByWatermark means a position of the primary, or that of the session's own write.
	ByWatermark
)

// String returns the name of the kind as it appears in logs and metrics.
func (k BasisKind) String() string {
	return [...]string{"none", "lease", "round", "bound", "watermark"}[k]
}

// Basis says what the choice of a member relies on, for the log and the metrics. No decision
// depends on it.
type Basis struct {
	Kind BasisKind
	// Strict means that the request is a strict read, or a transaction that may read.
	Strict bool
	// Consistency is that of the request.
	Consistency catalog.Consistency
	// Claimed means that the record had a claim against the primary.
	Claimed bool
	// Primary is the known primary. The choice rests on it if Kind is ByLease or ByRound.
	Primary primacy.Primary
	// RecordVersion is that of the record which granted the lease, or of the newest known
	// one if there is no lease.
	RecordVersion storeversion.Version
	// Left is how long after the arrival of the request the primary is proven. It is
	// negative for a write that relies on an earlier proof. It applies if Kind is ByLease
	// or ByRound.
	Left time.Duration
	// Position is the one that the member's log must have reached.
	Position position.Position
	// Age is that of a bound or watermark when the request arrived.
	Age time.Duration
	// SinceChange is the time since this instance learned of the primary.
	SinceChange time.Duration
	// round is the one that confirmed the primary or found the bound; nil if it is not
	// known or does not apply.
	round *round
}

// RoundAnswers is what the members' answers in a quorum round come from, for the log.
type RoundAnswers struct {
	Members []string `json:"from"` // that answered
	Listed  int      `json:"of"`   // number of members that were asked
	// ListAgeMs is the age, when the round began, of the list whose members were asked, and
	// JudgedAgeMs that of the list known when the last answer had arrived; the latter is
	// negative if it was read meanwhile. Both are in milliseconds.
	ListAgeMs   int64 `json:"age"`
	JudgedAgeMs int64 `json:"judged"`
}

// round is a quorum round that the group relies on.
type round struct {
	startedAt time.Duration
	answers   *RoundAnswers
}

func describeAnswers(members []takeover.Member, listAge, judgedAge time.Duration) *RoundAnswers {
	a := &RoundAnswers{Listed: len(members), ListAgeMs: listAge.Milliseconds(), JudgedAgeMs: judgedAge.Milliseconds()}
	for _, m := range members {
		if m.Status != nil {
			a.Members = append(a.Members, m.ID)
		}
	}
	slices.Sort(a.Members)
	return a
}

// keepAnswers keeps what the result of a round relies on, under the conditions of
// primacy.Tracker. g.mu is held.
func (g *Group) keepAnswers(c Confirmation, sentAt time.Duration) {
	r := &round{sentAt, c.Answers}
	if c.Confirmed && c.Primary == g.tracker.Primary() && sentAt > g.tracker.ProvenUntil() {
		g.rounds.confirmedBy = r
	}
	if c.HasAckBound && (g.rounds.boundBy == nil || sentAt > g.rounds.boundBy.startedAt) {
		g.rounds.boundBy = r
	}
}

// newBasis returns the part of a Basis that does not depend on its kind. g.mu is held.
func (g *Group) newBasis(req Requirements, p position.Position) Basis {
	return Basis{Strict: req.Reads && req.Consistency == catalog.Strict, Consistency: req.Consistency, Claimed: g.tracker.ReplacementClaimed(), Primary: g.tracker.Primary(),
		RecordVersion: g.tracker.Record().Version, Position: p, SinceChange: g.cfg.Clock() - g.suspicion.primaryChangedAt}
}

// primaryBasis returns the basis of the choice of the primary. g.mu is held.
func (g *Group) primaryBasis(req Requirements, p position.Position) Basis {
	b := g.newBasis(req, p)
	b.Left = g.tracker.ProvenUntil() - req.Arrival
	if v, leased := g.tracker.ProvenByRecord(); leased {
		b.Kind, b.RecordVersion = ByLease, v
	} else {
		b.Kind, b.round = ByRound, g.rounds.confirmedBy
	}
	return b
}

// replicaBasis returns the basis of the choice of a replica that must have reached the
// position p of the local time at. g.mu is held.
func (g *Group) replicaBasis(req Requirements, p position.Position, at time.Duration) Basis {
	b := g.newBasis(req, p)
	b.Kind, b.Age = ByWatermark, req.Arrival-at
	if bound, ok := g.tracker.ReadPosition(0); b.Strict || ok && bound.Position == p && bound.At == at {
		b.Kind, b.round = ByBound, g.rounds.boundBy
	}
	return b
}

// otherTerm returns the direction in which the term of an answer's position differs from
// that of the primary that the choice rests on, as DecisionMetrics.CountOtherTerm counts
// it; empty if it does not.
func (b Basis) otherTerm(p position.Position, commit bool) string {
	switch {
	case b.Kind != ByLease && b.Kind != ByRound:
		return ""
	case p.Term > b.Primary.Term:
		return "above"
	case p.Term < b.Primary.Term && (commit || b.Position.Term == b.Primary.Term):
		return "below"
	default:
		return ""
	}
}

// unusual returns why a choice is unusual, or an empty string. Reads that need not see the latest
// commits rest on a lease or a watermark as a rule, all others on a lease.
func (b Basis) unusual() string {
	switch {
	case b.Kind != ByLease && b.Kind != ByWatermark:
		return b.Kind.String()
	case b.Kind == ByLease && b.Left < 0:
		return "lease_ended"
	case b.Claimed:
		return "claimed"
	case b.SinceChange < recentChange:
		return "primary_changed"
	default:
		return ""
	}
}

// fields returns what a line says of the basis.
func (b Basis) fields() logrus.Fields {
	f := logrus.Fields{"basis": b.Kind.String(), "consistency": b.Consistency.String(), "lead": b.Primary.Member, "term": b.Primary.Term, "record_version": b.RecordVersion, "claimed": b.Claimed,
		"required": b.Position.String(), "lead_known_ms": b.SinceChange.Milliseconds()}
	if b.Kind == ByLease || b.Kind == ByRound {
		f["proven_for_ms"] = b.Left.Milliseconds()
	} else {
		f["basis_age_ms"] = b.Age.Milliseconds()
	}
	if b.round != nil && b.round.answers != nil {
		a := b.round.answers
		f["answered"], f["listed"], f["members_age_ms"], f["members_judged_age_ms"] = a.Members, a.Listed, a.ListAgeMs, a.JudgedAgeMs
	}
	return f
}

// noteAnswer counts and logs the answer to a read or a commit, with the basis of the choice of
// its member. Of reads that need not see the latest commits, those are logged that rest on something
// unusual: on a replica, or on a primary whose proof has ended.
func (g *Group) noteAnswer(b Basis, u *upstream.Upstream, j upstream.Job, r upstream.Result) {
	p := r.Reply.Position
	if b.Kind == NoBasis || r.Err != nil || r.Reply.Err != nil || p.IsZero() {
		return
	}
	reads := j.Statement.Kind == statement.Read || j.Statement.Kind == statement.Execute && j.Prepared != nil && !j.Prepared.Writes
	event, kind := "commit_decision", "commit"
	switch {
	case j.CommitsWrites:
	case b.Strict && reads:
		event, kind = "read_decision", "read"
		g.cfg.Metrics.CountStrictRead(b.Kind)
	case reads && (b.Kind == ByBound || b.Kind == ByWatermark || b.Left < 0):
		if cause := b.unusual(); cause != "" {
			g.logChoice(Decision{Event: "read_decision", Request: j.Statement.ID, Cause: cause, Position: p}, b, u.Member().ID, j.Caller, r.Gateway)
		}
		return
	default:
		return
	}
	cause, direction := b.unusual(), b.otherTerm(p, j.CommitsWrites)
	if direction != "" {
		g.cfg.Metrics.CountOtherTerm(kind, direction)
		cause = "term_" + direction
	}
	if cause == "" && (j.CommitsWrites || !g.sampled(event)) {
		return // an ordinary commit has the line of its proof
	}
	g.logChoice(Decision{Event: event, Request: j.Statement.ID, Cause: cause, Position: p}, b, u.Member().ID, j.Caller, r.Gateway)
}

// logChoice logs a decision with the basis of the choice of its member.
func (g *Group) logChoice(d Decision, b Basis, member, session, gateway string) {
	g.logDecision(d, func() logrus.Fields {
		f := b.fields()
		f["session"], f["member"], f["gateway"] = session, member, gateway
		if b.round != nil {
			f["round_age_ms"] = (g.cfg.Clock() - b.round.startedAt).Milliseconds()
		}
		return f
	})
}

// commitBasis is what the acknowledgement of a commit relies on.
type commitBasis struct {
	proof    takeover.Proof
	replicas []string // that have the commit, if all do
	primary  primacy.Primary
	version  storeversion.Version
	claim    *primacy.Claim // in the record, against whichever primary
	listAge  time.Duration
	proven   time.Duration // how long the known primary is proven
}

// commitBasis returns what proves the commit at p on a member. g.mu is held.
func (g *Group) commitBasis(id string, p position.Position, proof takeover.Proof) commitBasis {
	now, record := g.cfg.Clock(), g.tracker.Record()
	b := commitBasis{proof: proof, primary: g.tracker.Primary(), version: record.Version, claim: record.Claim, listAge: now - g.membersAsOf, proven: g.tracker.ProvenUntil() - now}
	if proof.Kind == takeover.ByAll {
		for other, m := range g.members {
			if other != id && m.evidence.Holds(p) {
				b.replicas = append(b.replicas, other)
			}
		}
		slices.Sort(b.replicas)
	}
	return b
}

// unusual returns why passing on the acknowledgement of a commit at p on a member is
// unusual, or an empty string.
func (b commitBasis) unusual(member string, p position.Position) string {
	switch {
	case p.Term > b.primary.Term:
		return "term_above"
	case p.Term < b.primary.Term:
		return "term_below"
	case member != b.primary.Member:
		return "other_primary"
	case b.claim != nil:
		return "claimed"
	case b.proof.Kind == takeover.ByAll, b.proof.Kind == takeover.ByAnnounced:
		return b.proof.Kind.String()
	default:
		return ""
	}
}

// noteCommit counts and logs an acknowledgement that is passed on.
func (g *Group) noteCommit(b commitBasis, request, member string, p position.Position, waited time.Duration) {
	g.cfg.Metrics.CountCommitProof(b.proof.Kind)
	d := Decision{Event: "commit_decision", Request: request, Cause: b.unusual(member, p), Position: p, Took: waited}
	if d.Cause != "" || g.sampled(d.Event) {
		g.logProof(d, b, member)
	}
}

// logProof logs a decision with the proof of its commit.
func (g *Group) logProof(d Decision, b commitBasis, member string) {
	g.logDecision(d, func() logrus.Fields {
		f := logrus.Fields{"member": member, "proof": b.proof.Kind.String(), "lead": b.primary.Member, "term": b.primary.Term, "record_version": b.version,
			"members_age_ms": b.listAge.Milliseconds(), "proven_for_ms": b.proven.Milliseconds(), "claimed": b.claim != nil, "waited_ms": d.Took.Milliseconds()}
		switch b.proof.Kind {
		case takeover.ByAll:
			f["proof_members"] = b.replicas
		case takeover.ByCounted, takeover.ByAnnounced:
			f["proof_members"] = []string{b.proof.Member}
		}
		if c := b.claim; c != nil {
			f["claim_holder"], f["claim_lead"], f["claim_term"], f["candidate"], f["called"] = c.Holder, c.OldPrimary.Member, c.OldPrimary.Term, c.Candidate, c.Called
		}
		return f
	})
}

// decisionSamples are the times of the last lines for ordinary decisions.
type decisionSamples struct{ read, commit atomic.Int64 }

// due reports whether an ordinary decision gets a line, at most one of each event in
// sampleInterval.
func (s *decisionSamples) due(event string, now time.Duration) bool {
	last := &s.read
	if event == "commit_decision" {
		last = &s.commit
	}
	at := last.Load()
	return (at == 0 || now-time.Duration(at) >= sampleInterval) && last.CompareAndSwap(at, int64(now))
}

// sampled reports whether an ordinary decision gets a line.
func (g *Group) sampled(event string) bool {
	return g.cfg.Log.Logger.IsLevelEnabled(logrus.DebugLevel) && g.samples.due(event, g.cfg.Clock())
}

// logDecision logs an unusual decision, or one of the ordinary ones that are sampled.
func (g *Group) logDecision(d Decision, fields func() logrus.Fields) {
	all := func() logrus.Fields {
		f := fields()
		f["event"], f["service"], f["request"], f["position"] = d.Event, g.cfg.Service, d.Request, d.Position.String()
		if d.Cause != "" {
			f["cause"] = d.Cause
		}
		return f
	}
	if d.Cause != "" {
		d.Service = g.cfg.Service
		g.cfg.DecisionLog.Note(d, all)
	} else {
		g.cfg.Log.WithFields(all()).Debug("ordinary decision")
	}
}
