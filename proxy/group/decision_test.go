package group

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// decisionRecorder is a Metrics and a DecisionLog that keeps what it is told.
type decisionRecorder struct {
	noMetrics
	counts map[string]int
	noted  []Decision
	fields []logrus.Fields
}

func (r *decisionRecorder) CountStrictRead(basis BasisKind) { r.counts["read by "+basis.String()]++ }
func (r *decisionRecorder) CountCommitProof(by takeover.ProofKind) {
	r.counts["commit by "+by.String()]++
}
func (r *decisionRecorder) CountOtherTerm(kind, direction string) {
	r.counts[kind+" "+direction]++
}
func (r *decisionRecorder) Note(d Decision, fields func() logrus.Fields) {
	r.noted, r.fields = append(r.noted, d), append(r.fields, fields())
}

// newDecisionGroup returns a group of the members a, the primary of term 3, b and c, whose
// record was read at *now, and that has known the primary for 10 s and its position. Its log goes to out.
func newDecisionGroup(now *time.Duration, out *bytes.Buffer) (*Group, *decisionRecorder) {
	g := newTestGroup(&fakeRecordStore{now: now}, func() time.Duration { return *now })
	r := &decisionRecorder{counts: make(map[string]int)}
	g.cfg.Metrics, g.cfg.DecisionLog = r, r
	g.cfg.Log.Logger.SetOutput(out)
	g.cfg.Log.Logger.SetLevel(logrus.DebugLevel)
	g.cfg.Log.Logger.SetFormatter(&logrus.JSONFormatter{})
	g.UpdateService(catalog.Service{Name: "s", Connections: 16, AcknowledgedBy: 1})
	members := catalog.Members{}
	for _, id := range []string{"a", "b", "c"} {
		members[id] = catalog.Member{ID: id, Service: "s", Address: id, Slots: 2}
	}
	record := primacy.Record{Service: "s", Primary: primacy.Primary{Member: "a", Term: 3}, Version: 7}
	g.UpdateMembers(members, *now)
	g.UpdateRecord(record, exactTimestamp(*now))
	*now += 10 * time.Second
	g.UpdateMembers(members, *now)
	g.UpdateRecord(record, exactTimestamp(*now))
	g.ObservePosition(g.members["a"].Upstream, at(3, 1), *now)
	out.Reset()
	return g, r
}

func at(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

func strictRead(arrival time.Duration) Requirements {
	return Requirements{Reads: true, Consistency: catalog.Strict, Arrival: arrival, Deadline: arrival + time.Second}
}

func readJob(id string) upstream.Job {
	return upstream.Job{Statement: statement.Statement{ID: id, Kind: statement.Read}, Caller: "caller"}
}

func answeredAt(p position.Position) upstream.Result {
	return upstream.Result{Reply: statement.Reply{Position: p}}
}

// Guards against a strict read whose record does not tell a lease, a quorum round and a bound
// of acknowledged commits apart.
func TestBasisOfChoice(t *testing.T) {
	now := 100 * time.Second
	var out bytes.Buffer
	g, _ := newDecisionGroup(&now, &out)
	choose := func(req Requirements, excluded ...string) Choice {
		t.Helper()
		g.mu.Lock()
		defer g.mu.Unlock()
		without := make(map[*upstream.Upstream]bool)
		for _, id := range excluded {
			without[g.members[id].Upstream] = true
		}
		c, ok := g.choose(req, without)
		assert.Assert(t, ok)
		return c
	}
	b := choose(strictRead(now)).Basis
	assert.Equal(t, b.Kind, ByLease)
	assert.Equal(t, b.Primary, primacy.Primary{Member: "a", Term: 3})
	assert.Equal(t, b.RecordVersion, g.tracker.Record().Version)
	assert.Equal(t, b.Left, primacy.ReadLease-primacy.LeaseMargin)
	assert.Equal(t, b.unusual(), "")

	now += 5 * time.Second
	answers := &RoundAnswers{Members: []string{"a", "b"}, Listed: 3, ListAgeMs: 5000, JudgedAgeMs: 5000}
	g.finishRound(Confirmation{Primary: g.tracker.Primary(), Received: at(3, 20), Confirmed: true, Answers: answers}, now)
	b = choose(strictRead(now)).Basis
	assert.Equal(t, b.Kind, ByRound)
	assert.Equal(t, b.round.startedAt, now)
	assert.DeepEqual(t, b.fields()["answered"], []string{"a", "b"})

	now += time.Second
	bounded := &RoundAnswers{Members: []string{"b", "c"}, Listed: 3, ListAgeMs: 6000, JudgedAgeMs: -10}
	g.finishRound(Confirmation{Primary: g.tracker.Primary(), AckBound: at(3, 30), HasAckBound: true, Answers: bounded}, now)
	c := choose(strictRead(now))
	assert.Assert(t, !c.Primary)
	assert.Equal(t, c.Basis.Kind, ByBound)
	assert.Equal(t, c.Basis.Position, at(3, 30))
	f := c.Basis.fields()
	assert.DeepEqual(t, f["answered"], []string{"b", "c"})
	assert.Equal(t, f["members_age_ms"], int64(6000))
	assert.Equal(t, f["members_judged_age_ms"], int64(-10))

	stale := strictRead(now)
	stale.Consistency, stale.Staleness = catalog.BoundedStaleness, 2*time.Second
	assert.Equal(t, choose(stale, "b", "c").Basis.Kind, ByRound)
	b = choose(stale, "a").Basis
	assert.Equal(t, b.Kind, ByWatermark)
	assert.Equal(t, b.Position, at(3, 20))
	assert.Equal(t, b.Age, time.Second)
}

// Guards against a lease that is reported as a quorum round, or the other way round, once both
// have proven the primary.
func TestBasisFollowsLatestProof(t *testing.T) {
	now := 100 * time.Second
	var out bytes.Buffer
	g, _ := newDecisionGroup(&now, &out)
	primary := g.tracker.Primary()
	basis := func() BasisKind {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.primaryBasis(strictRead(now), position.Position{}).Kind
	}
	g.finishRound(Confirmation{Primary: primary, Confirmed: true}, now)
	assert.Equal(t, basis(), ByLease, "the lease goes on for longer")
	now += 2 * time.Second
	g.finishRound(Confirmation{Primary: primary, Confirmed: true}, now)
	assert.Equal(t, basis(), ByRound)
	g.UpdateRecord(primacy.Record{Service: "s", Primary: primary, Version: 8}, exactTimestamp(now))
	assert.Equal(t, basis(), ByLease)
}

// Guards against answers of another term than that of the choice that nothing counts, and
// against ordinary ones that count: those of a primary without a commit of its term.
func TestAnswersOfOtherTermAreCounted(t *testing.T) {
	lease := Basis{Kind: ByLease, Strict: true, Primary: primacy.Primary{Member: "a", Term: 3}, Position: at(3, 4), SinceChange: time.Hour}
	fresh, bound, unknown := lease, lease, Basis{}
	fresh.Position = position.Position{}
	bound.Kind = ByBound
	commit := readJob("r")
	commit.Statement.Kind, commit.CommitsWrites = statement.Write, true
	for _, test := range []struct {
		name  string
		basis Basis
		job   upstream.Job
		at    position.Position
		want  string // counted term; empty for none
		cause string
	}{
		{"read", lease, readJob("r"), at(3, 9), "", ""},
		{"read above", lease, readJob("r"), at(4, 9), "read above", "term_above"},
		{"read below", lease, readJob("r"), at(2, 9), "read below", "term_below"},
		{"read on a primary without a commit", fresh, readJob("r"), at(2, 9), "", ""},
		{"read by a bound", bound, readJob("r"), at(4, 9), "", "bound"},
		{"read of another instance", unknown, readJob("r"), at(4, 9), "", ""},
		{"commit", lease, commit, at(3, 9), "", ""},
		{"commit above", lease, commit, at(4, 412), "commit above", "term_above"},
		{"commit below", fresh, commit, at(2, 9), "commit below", "term_below"},
		{"commit without a position", lease, commit, position.Position{}, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := 100 * time.Second
			var out bytes.Buffer
			g, r := newDecisionGroup(&now, &out)
			g.noteAnswer(test.basis, g.members["a"].Upstream, test.job, answeredAt(test.at))
			for _, kind := range []string{"read above", "read below", "commit above", "commit below"} {
				want := 0
				if kind == test.want {
					want = 1
				}
				assert.Equal(t, r.counts[kind], want, kind)
			}
			if test.cause == "" {
				assert.Equal(t, len(r.noted), 0)
				return
			}
			assert.Equal(t, len(r.noted), 1)
			assert.Equal(t, r.noted[0].Cause, test.cause)
			f := r.fields[0]
			assert.Equal(t, f["request"], "r")
			assert.Equal(t, f["member"], "a")
			assert.Equal(t, f["term"], uint64(3))
			assert.Equal(t, f["position"], test.at.String())
		})
	}
}

// Guards against an answer that is an error, or to a statement that is no strict read, in the
// counts of strict reads.
func TestOnlyAnsweredStrictReadsAreCounted(t *testing.T) {
	now := 100 * time.Second
	var out bytes.Buffer
	g, r := newDecisionGroup(&now, &out)
	lease := Basis{Kind: ByLease, Strict: true, Primary: g.tracker.Primary(), SinceChange: time.Hour}
	u := g.members["a"].Upstream
	failed := answeredAt(at(4, 1))
	failed.Reply.Err = &statement.UpstreamError{Reason: statement.Behind}
	g.noteAnswer(lease, u, readJob("r"), failed)
	g.noteAnswer(lease, u, readJob("r"), upstream.NotSent(fmt.Errorf("no connection")))
	stale := lease
	stale.Strict = false
	g.noteAnswer(stale, u, readJob("r"), answeredAt(at(4, 1)))
	write := readJob("r")
	write.Statement.Kind = statement.Execute
	write.Prepared = &upstream.Prepared{Writes: true}
	g.noteAnswer(lease, u, write, answeredAt(at(4, 1)))
	assert.Equal(t, len(r.counts), 0)
	g.noteAnswer(lease, u, readJob("r"), answeredAt(at(3, 1)))
	assert.DeepEqual(t, r.counts, map[string]int{"read by lease": 1})
}

// Guards against a log volume that grows with the load on a calm day, and against unusual
// reads without a line.
func TestOrdinaryDecisionsAreSampled(t *testing.T) {
	now := 100 * time.Second
	var out bytes.Buffer
	g, r := newDecisionGroup(&now, &out)
	u := g.members["a"].Upstream
	lease := Basis{Kind: ByLease, Strict: true, Primary: g.tracker.Primary(), SinceChange: time.Hour}
	const seconds, perSecond = 5, 1000
	for i := range seconds * perSecond {
		g.noteAnswer(lease, u, readJob(fmt.Sprint("r", i)), answeredAt(at(3, 9)))
		g.noteCommit(commitBasis{proof: takeover.Proof{Kind: takeover.ByCounted, Member: "b"}, primary: g.tracker.Primary()}, fmt.Sprint("w", i), "a", at(3, 9), 0)
		now += time.Second / perSecond
	}
	assert.Equal(t, bytes.Count(out.Bytes(), []byte("\n")), 2*seconds, out.String())
	assert.Equal(t, len(r.noted), 0)
	for line := range bytes.Lines(out.Bytes()) {
		var f map[string]any
		assert.NilError(t, json.Unmarshal(line, &f))
		assert.Assert(t, f["request"] != "" && f["member"] == "a" && f["position"] == at(3, 9).String(), "%s", line)
	}
	out.Reset()
	unusual := map[string]Basis{"lease_ended": lease, "claimed": lease, "primary_changed": lease, "round": lease, "bound": lease}
	for cause, b := range unusual {
		switch cause {
		case "lease_ended":
			b.Left = -1
		case "claimed":
			b.Claimed = true
		case "primary_changed":
			b.SinceChange = time.Second
		case "round":
			b.Kind = ByRound
		case "bound":
			b.Kind = ByBound
		}
		r.noted = nil
		for range 3 {
			g.noteAnswer(b, u, readJob("r"), answeredAt(at(3, 9)))
		}
		assert.Equal(t, len(r.noted), 3)
		assert.Equal(t, r.noted[0].Cause, cause)
		assert.Equal(t, r.noted[0].Event, "read_decision")
	}
	assert.Equal(t, out.Len(), 0)
}

// Guards against a read of older data that rests on something unusual and leaves no trace.
func TestUnusualReadsOfOlderDataAreNoted(t *testing.T) {
	for _, consistency := range []catalog.Consistency{catalog.BoundedStaleness, catalog.ReadYourWrites} {
		for cause, change := range map[string]func(*Basis){
			"":                func(*Basis) {},
			"bound":           func(b *Basis) { b.Kind = ByBound },
			"claimed":         func(b *Basis) { b.Claimed = true },
			"primary_changed": func(b *Basis) { b.SinceChange = time.Second },
			"lease_ended":     func(b *Basis) { b.Kind, b.Left = ByLease, -time.Millisecond },
		} {
			now := 100 * time.Second
			g, r := newDecisionGroup(&now, new(bytes.Buffer))
			b := Basis{Kind: ByWatermark, Consistency: consistency, Primary: g.tracker.Primary(), Position: at(3, 8), SinceChange: time.Hour}
			change(&b)
			g.noteAnswer(b, g.members["b"].Upstream, readJob("r"), answeredAt(at(3, 9)))
			assert.Equal(t, len(r.counts), 0, "they are no strict reads")
			if cause == "" {
				assert.Equal(t, len(r.noted), 0)
				continue
			}
			assert.Equal(t, len(r.noted), 1, cause)
			assert.Equal(t, r.noted[0].Cause, cause)
			assert.Equal(t, r.fields[0]["consistency"], consistency.String())
			assert.Equal(t, r.fields[0]["required"], "3.8")
		}
	}
}

// Guards against a member that is forgotten without a trace of what the others had then.
func TestForgottenMemberIsExplained(t *testing.T) {
	now := 100 * time.Second
	out := new(bytes.Buffer)
	g, _ := newDecisionGroup(&now, out)
	g.members["b"].evidence.Observe(takeover.Status{Term: 3, Received: at(3, 8)}, now)
	g.members["c"].evidence.Observe(takeover.Status{Term: 3, Received: at(3, 6)}, now)
	g.mu.Lock()
	g.members["a"].unanswered = true
	g.removeMember("b", g.members["b"], "left")
	g.mu.Unlock()
	var f map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &f))
	assert.Equal(t, f["event"], "member_gone")
	assert.Equal(t, f["reason"], "left")
	assert.Equal(t, f["last_log"], "3.8")
	assert.DeepEqual(t, f["remaining"], []any{"a 0.0 no answer", "c 3.6"})
}

// Guards against an acknowledgement that is passed on without a record of its proof.
func TestProofOfAcknowledgementIsNoted(t *testing.T) {
	primaryA := primacy.Primary{Member: "a", Term: 3}
	replicaAt := func(p position.Position) takeover.Status { return takeover.Status{Term: 3, Received: p} }
	for _, test := range []struct {
		name    string
		record  primacy.Record
		has     []string // replicas that have the commit
		counted bool
		proof   string
		cause   string // empty if it is ordinary
		members []string
	}{
		{"counted", primacy.Record{Primary: primaryA}, []string{"b"}, true, "counted", "", nil},
		{"all", primacy.Record{Primary: primaryA}, []string{"b", "c"}, false, "all", "all", []string{"b", "c"}},
		{"counted under a claim", primacy.Record{Primary: primaryA, Claim: &primacy.Claim{Holder: "i2", OldPrimary: primaryA}}, []string{"b"}, true, "counted", "claimed", []string{"b"}},
		{"announced", primacy.Record{Primary: primaryA, Claim: &primacy.Claim{Holder: "i2", OldPrimary: primaryA, Candidate: "c"}}, []string{"c"}, true, "announced", "claimed", []string{"c"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := 100 * time.Second
			var out bytes.Buffer
			g, r := newDecisionGroup(&now, &out)
			test.record.Service, test.record.Version = "s", 9
			g.UpdateRecord(test.record, exactTimestamp(now))
			for _, id := range test.has {
				m := g.members[id]
				m.evidence.Observe(replicaAt(at(3, 8)), m.knownSince)
				m.evidence.ObserveNoClaim(now)
				if !test.counted {
					m.knownSince = now
				}
			}
			assert.NilError(t, g.confirmCommit(g.members["a"].Upstream, "5b50", at(3, 8), now+time.Second))
			assert.DeepEqual(t, r.counts, map[string]int{"commit by " + test.proof: 1})
			if test.cause == "" {
				assert.Equal(t, len(r.noted), 0)
				return
			}
			assert.Equal(t, len(r.noted), 1)
			d, f := r.noted[0], r.fields[0]
			assert.Equal(t, d.Cause, test.cause)
			assert.Equal(t, d.Request, "5b50")
			assert.Equal(t, f["event"], "commit_decision")
			assert.Equal(t, f["request"], "5b50")
			assert.Equal(t, f["member"], "a")
			assert.Equal(t, f["proof"], test.proof)
			assert.Equal(t, f["position"], "3.8")
			assert.Equal(t, f["term"], test.record.Primary.Term)
			assert.Equal(t, f["record_version"], test.record.Version)
			assert.DeepEqual(t, f["proof_members"], test.members)
			assert.Equal(t, f["claimed"], test.record.Claim != nil)
		})
	}
}

// Guards against an acknowledgement of another term than the one that the instance knows.
func TestCommitOfOtherTermIsNotPassedOn(t *testing.T) {
	for _, term := range []uint64{2, 4} {
		now := 100 * time.Second
		g, r := newDecisionGroup(&now, &bytes.Buffer{})
		m := g.members["b"]
		m.evidence.Observe(takeover.Status{Term: term, Received: at(term, 8)}, m.knownSince)
		m.evidence.ObserveNoClaim(now)
		err := g.confirmCommit(g.members["a"].Upstream, "5b50", at(term, 8), now)
		assert.Equal(t, verdict.FromError(err).Verdict, verdict.MayHaveRun)
		assert.Equal(t, len(r.counts), 0)
	}
}
