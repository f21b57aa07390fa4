package failover

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
)

const ms = time.Millisecond

// group answers the actions of one coordinator at once, except where a fault
// is set.
type group struct {
	c        *Coordinator
	now      time.Duration
	members  map[MemberID]*Status
	granted  map[MemberID]uint64
	down     map[MemberID]bool
	silent   map[MemberID]bool // open connections time out, fresh ones work
	platform ReserveOutcome
	busy     bool     // a writes between probes and b is one entry behind
	log      []Action // everything but probes
}

func newGroup(ids ...MemberID) *group {
	g := &group{members: map[MemberID]*Status{}, granted: map[MemberID]uint64{}, down: map[MemberID]bool{},
		silent: map[MemberID]bool{}, platform: ReserveWon}
	cfg := Config{Service: "s", Instance: "i", ProbeInterval: 100 * ms, ProbeTimeout: 200 * ms,
		SuspectAfter: 600 * ms, StalledAfter: 1500 * ms, StepTimeout: 400 * ms, Rand: rand.New(rand.NewPCG(1, 2))}
	for _, id := range ids {
		cfg.Members = append(cfg.Members, Member{ID: id, FailureDomain: "domain-" + string(id)})
		g.members[id] = &Status{Term: 3, Last: position.Position{Term: 3, Offset: 10}, Primary: ids[0]}
	}
	g.members[ids[0]].Role = Primary
	g.members[ids[0]].Confirmed = map[MemberID]uint64{}
	for _, id := range ids[1:] {
		g.members[ids[0]].Confirmed[id] = 10
	}
	g.c = New(cfg, 0)
	g.perform(g.c.SetActive(true, 0))
	return g
}

func (g *group) perform(actions []Action) {
	for _, a := range actions {
		if _, isProbe := a.(Probe); !isProbe {
			g.log = append(g.log, a)
		}
		g.perform(g.answer(a))
	}
}

func (g *group) answer(a Action) []Action {
	switch a := a.(type) {
	case Probe:
		if g.busy && a.Member == "a" {
			g.members["b"].Last = g.members["a"].Last
			g.members["a"].Last.Offset++
		}
		switch {
		case g.down[a.Member], g.silent[a.Member] && !a.Fresh:
			return g.c.ProbeFailed(a.Member, a.Fresh, g.now)
		default:
			return g.c.Probed(a.Member, *g.members[a.Member], g.now)
		}
	case Reserve:
		return g.c.Reserved(a.Term, g.platform, g.now)
	case Adopt:
		m := g.members[a.Member]
		if g.down[a.Member] || a.Term <= m.Term {
			return g.c.Adopted(a.Member, false, m.Term, m.Last, g.now)
		}
		*m = Status{Term: a.Term, Last: m.Last}
		return g.c.Adopted(a.Member, true, a.Term, m.Last, g.now)
	case Promote:
		*g.members[a.Member] = Status{Role: Primary, Term: a.Term, Last: position.Position{Term: a.Term, Offset: 11}, Primary: a.Member,
			Confirmed: map[MemberID]uint64{}}
		return g.c.Promoted(a.Member, true, a.Term, g.now)
	case Follow:
		if g.down[a.Member] {
			return g.c.Followed(a.Member, false, g.now)
		}
		g.members[a.Member].Role = Replica
		g.members[a.Member].Term = a.Term
		g.members[a.Member].Primary = a.Primary
		g.members[a.Member].Last = g.members[a.Primary].Last
		g.members[a.Member].Confirmed = nil
		g.members[a.Primary].Confirmed[a.Member] = g.members[a.Primary].Last.Offset
		return g.c.Followed(a.Member, true, g.now)
	}
	return nil
}

func (g *group) run(d time.Duration) {
	for end := g.now + d; g.c.NextTick() <= end; {
		g.now = max(g.now, g.c.NextTick())
		g.perform(g.c.Tick(g.now))
	}
}

func (g *group) promotions() (n int) {
	for _, a := range g.log {
		if _, ok := a.(Promote); ok {
			n++
		}
	}
	return n
}

func (g *group) primary(t *testing.T) MemberID {
	t.Helper()
	r, ok := g.c.Route()
	assert.Assert(t, ok)
	return r.Primary
}

// Guards against a change of term at the start of a coordinator and by a silent
// connection, a short fault or a dead replica.
func TestHealthyPrimaryStays(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.silent["a"] = true
	g.run(5 * time.Second)
	g.down["a"] = true
	g.run(500 * ms)
	g.down["a"] = false
	g.down["b"] = true
	g.run(5 * time.Second)
	assert.DeepEqual(t, g.log, []Action{Announce{Route{"s", 3, "a"}}})
}

// Guards against losing acknowledged writes by a candidate that is behind, and
// against a returned old primary that is left in its term.
func TestDeadPrimaryIsReplaced(t *testing.T) {
	for _, platform := range []ReserveOutcome{ReserveWon, ReserveUnavailable} {
		g := newGroup("a", "b", "c")
		g.platform = platform
		g.members["b"].Last.Offset = 9
		g.down["a"] = true
		g.run(1500 * ms)
		assert.Equal(t, g.primary(t), MemberID("c"))
		assert.Equal(t, g.members["b"].Primary, MemberID("c"))
		g.down["a"] = false
		g.run(time.Second)
		want := Status{Term: 4, Primary: "c", Last: position.Position{Term: 4, Offset: 11}}
		assert.DeepEqual(t, *g.members["a"], want)
		assert.Equal(t, g.promotions(), 1)
	}
}

// Guards against a coordinator that ignores the live instances when positions are equal.
func TestTieGoesToLiveDomain(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.c.SetLiveInstances(map[string]int{"domain-b": 1, "domain-c": 2})
	g.down["a"] = true
	g.run(1500 * ms)
	assert.Equal(t, g.primary(t), MemberID("c"))
}

// Guards against a promotion without a quorum.
func TestNoPromotionWithoutQuorum(t *testing.T) {
	two := newGroup("a", "b")
	two.down["a"] = true
	two.run(10 * time.Second)
	assert.Equal(t, len(two.log), 1)
	three := newGroup("a", "b", "c")
	three.down["a"], three.down["b"] = true, true
	three.run(10 * time.Second)
	assert.Equal(t, len(three.log), 1)
}

// Guards against a group that stays without a primary after a coordinator died
// between adoption and promotion.
func TestInterruptedAttemptIsRepeated(t *testing.T) {
	g := newGroup("a", "b")
	*g.members["b"] = Status{Term: 7, Last: g.members["b"].Last}
	g.run(2 * time.Second)
	r, _ := g.c.Route()
	assert.Equal(t, r.Term, uint64(8))
}

// Guards against a primary that is reachable for the coordinator and cut off
// from its replicas.
func TestStalledPrimaryIsReplaced(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.members["a"].Last.Offset = 12
	g.run(1400 * ms)
	assert.Equal(t, g.promotions(), 0)
	g.run(400 * ms)
	assert.Equal(t, g.promotions(), 1)
	assert.Equal(t, g.primary(t), MemberID("b"))
}

// Guards against two coordinators that take turns at the same term.
func TestLostRaceBacksOff(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.platform = ReserveLost
	g.down["a"] = true
	g.run(1500 * ms)
	assert.Equal(t, g.promotions(), 0)
	terms := map[uint64]bool{}
	for _, a := range g.log {
		if r, ok := a.(Reserve); ok {
			assert.Assert(t, !terms[r.Term], "term %d tried twice", r.Term)
			terms[r.Term] = true
		}
	}
	assert.Assert(t, len(terms) > 0 && len(terms) < 8)
	*g.members["b"] = Status{Role: Primary, Term: 20, Primary: "b", Confirmed: map[MemberID]uint64{}}
	g.run(time.Second)
	assert.DeepEqual(t, g.c.route, Route{"s", 20, "b"})
	assert.Equal(t, g.promotions(), 0)
}

// Guards against a planned switch to a member that is behind, and against the
// return of the primary to a leaving member.
func TestReplaceWaitsForCandidate(t *testing.T) {
	g := newGroup("a", "b", "c")
	g.members["b"].Last.Offset, g.members["c"].Last.Offset = 8, 9
	g.run(200 * ms)
	g.perform(g.c.SetLeaving("a", g.now))
	g.run(time.Second)
	assert.Equal(t, g.promotions(), 0)
	g.members["c"].Last.Offset = 10
	g.run(time.Second)
	assert.Equal(t, g.primary(t), MemberID("c"))
	g.run(5 * time.Second)
	assert.Equal(t, g.promotions(), 1)
}

// Guards against freezing the log of a leaving primary while its successor still
// lacks entries.
func TestReplaceGivesUpBeforeAdoption(t *testing.T) {
	g := newGroup("a", "b")
	g.busy = true
	g.run(300 * ms)
	g.perform(g.c.SetLeaving("a", g.now))
	g.run(3 * time.Second)
	quiesced := 0
	for _, a := range g.log {
		switch a.(type) {
		case Quiesce:
			quiesced++
		case Adopt:
			t.Fatal("a member has been asked to adopt")
		}
	}
	assert.Assert(t, quiesced > 1)
	g.busy = false
	g.members["b"].Last = g.members["a"].Last
	g.run(2 * time.Second)
	assert.Equal(t, g.primary(t), MemberID("b"))
	assert.Equal(t, g.promotions(), 1)
}
