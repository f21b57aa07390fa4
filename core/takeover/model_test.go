package takeover_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/fixedseed"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// groupModel is a database group whose primary is to be replaced, the record of the group,
// the holder of the claim and the instances that pass on acknowledgements. The holder and
// the instances decide with the functions of this package.
type groupModel struct {
	now       time.Duration
	members   []*modelMember
	committed uint64 // number of commits of the primary
	passed    uint64 // highest commit whose acknowledgement was passed on

	claim      *primacy.Claim // in the record
	instances  []*modelInstance
	holder     modelHolder
	promotions []modelPromotion // called for and without effect yet
	promoted   *modelMember
}

// modelMember is a member. All entries are of term 1, so that its log is a length.
type modelMember struct {
	id       string
	primary  bool
	log      uint64
	paused   bool
	down     bool
	draining bool
	joined   bool // after the beginning
	// startedAt is when it started, and since when instances have a connection to it.
	startedAt time.Duration
}

// modelInstance is an instance that has read the record at readAt, and without a claim at
// noClaimAt.
type modelInstance struct {
	readAt, noClaimAt time.Duration
	claim             *primacy.Claim
}

// modelHolder is the state of a failover attempt; see proxy/group.
type modelHolder struct {
	announced    string
	announcedAt  time.Duration
	pendingUntil time.Duration
}

type modelPromotion struct {
	member *modelMember
	at     time.Duration
}

const modelOldPrimary = "a"

func newGroupModel() *groupModel {
	g := &groupModel{now: time.Minute, instances: []*modelInstance{{readAt: time.Minute, noClaimAt: time.Minute}, {readAt: time.Minute, noClaimAt: time.Minute}}}
	for _, id := range []string{modelOldPrimary, "b", "c"} {
		g.members = append(g.members, &modelMember{id: id})
	}
	g.members[0].primary, g.members[0].draining = true, true
	return g
}

func (g *groupModel) primary() *modelMember { return g.members[0] }

func (m *modelMember) status() *takeover.Status {
	if m.down {
		return nil
	}
	s := &takeover.Status{Primary: m.primary, Term: 1, Received: position.Position{Term: 1, Offset: m.log}}
	if m.paused {
		s.PausedTerm = 2
	}
	return s
}

// ask returns the answers of all members, or of the replicas only.
func (g *groupModel) ask(replicasOnly bool) []takeover.Member {
	var all []takeover.Member
	for _, m := range g.members {
		if !replicasOnly || m.id != modelOldPrimary {
			all = append(all, takeover.Member{ID: m.id, Draining: m.draining, Status: m.status()})
		}
	}
	return all
}

// commit lets the primary commit.
func (g *groupModel) commit(*rapid.T) {
	if p := g.primary(); p.primary && !p.down {
		p.log++
		g.committed = p.log
	}
}

// receive lets one replica receive up to any commit of the primary.
func (g *groupModel) receive(t *rapid.T) {
	p := g.primary()
	r := rapid.SampledFrom(g.members[1:]).Draw(t, "receiver")
	if p.primary && !p.down && !r.down && !r.paused && r.log < p.log {
		r.log = rapid.Uint64Range(r.log+1, p.log).Draw(t, "received")
	}
}

// acknowledged returns the highest commit that the primary has acknowledged: a replica has
// received it.
func (g *groupModel) acknowledged() (n uint64) {
	for _, r := range g.members[1:] {
		n = max(n, r.log)
	}
	return min(n, g.committed)
}

// pass lets an instance pass on the acknowledgement of a commit if it may.
func (g *groupModel) pass(t *rapid.T) {
	acknowledged := g.acknowledged()
	if acknowledged == 0 {
		return
	}
	i := rapid.SampledFrom(g.instances).Draw(t, "instance")
	n := rapid.Uint64Range(1, acknowledged).Draw(t, "commit")
	if takeover.Contains(i.claim, position.Position{Term: 1, Offset: n}, g.evidence(i)) == takeover.Contained {
		g.passed = max(g.passed, n)
	}
}

// evidence returns what an instance knows of the replicas after it has asked all of them.
func (g *groupModel) evidence(i *modelInstance) (all []takeover.Evidence) {
	for _, m := range g.members[1:] {
		e := takeover.Evidence{Member: m.id, Counted: !m.draining && !m.joined}
		if s := m.status(); s != nil {
			e.Observe(*s, m.startedAt)
		}
		e.ObserveNoClaim(i.noClaimAt)
		all = append(all, e)
	}
	return all
}

// read lets an instance read the record.
func (g *groupModel) read(t *rapid.T) {
	i := rapid.SampledFrom(g.instances).Draw(t, "reader")
	i.readAt, i.claim = g.now, g.claim
	if g.claim == nil {
		i.noClaimAt = g.now
	}
}

// restart restarts a replica, which keeps its log and loses its pause.
func (g *groupModel) restart(t *rapid.T) {
	r := rapid.SampledFrom(g.members[1:]).Draw(t, "restarted")
	r.down, r.paused, r.startedAt = false, false, g.now+1
}

// crash ends a replica. It is rare, because the old primary steps down then.
func (g *groupModel) crash(t *rapid.T) {
	if rapid.IntRange(0, rareness).Draw(t, "crash") == rareness {
		rapid.SampledFrom(g.members[1:]).Draw(t, "crashed").down = true
	}
}

// drain lets a replica leave, so that another one becomes the candidate.
func (g *groupModel) drain(t *rapid.T) {
	if rapid.IntRange(0, rareness).Draw(t, "drain") == rareness {
		rapid.SampledFrom(g.members[1:]).Draw(t, "draining").draining = true
	}
}

// rareness is the number of times that a rare event does not happen for each time that it
// does.
const rareness = 20

// join adds a member that has the log of the primary.
func (g *groupModel) join(t *rapid.T) {
	if p := g.primary(); len(g.members) < 5 && p.primary && !p.down {
		g.members = append(g.members, &modelMember{id: fmt.Sprint("n", len(g.members)), log: p.log, joined: true, startedAt: g.now + 1})
	}
}

// wait lets time pass. Promotions that are due take effect.
func (g *groupModel) wait(t *rapid.T) {
	g.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
	for _, p := range g.promotions {
		if p.at <= g.now && !p.member.down && g.promoted == nil {
			g.promoted = p.member
			if p.member.log < g.passed {
				t.Fatalf("commit %d was passed on to a caller; promoted %s has %d", g.passed, p.member.id, p.member.log)
			}
		}
	}
	if g.promoted != nil {
		*g = *newGroupModel()
	}
}

// newHolder replaces the holder, which dies, by one that knows only the record.
func (g *groupModel) newHolder(t *rapid.T) {
	if rapid.IntRange(0, rareness).Draw(t, "holder dies") != rareness {
		return
	}
	g.holder = modelHolder{announcedAt: g.now, pendingUntil: g.now + maxPromotionTime}
	if g.claim != nil {
		g.holder.announced = g.claim.Candidate
	}
}

// maxPromotionTime is the time after which a promotion has taken effect or has failed.
const maxPromotionTime = 1200 * time.Millisecond

// decide performs one round of the holder.
func (g *groupModel) decide(t *rapid.T) {
	h := &g.holder
	members := g.ask(false)
	in := takeover.Input{OldPrimary: primacy.Primary{Member: modelOldPrimary, Term: 1}, Members: members, GroupSize: max(len(members), 3),
		Candidate: h.announced, CandidateKnown: g.now >= h.announcedAt+primacy.ReadLease}
	step := takeover.Decide(in)
	if g.now < h.pendingUntil {
		step = takeover.RestorePauses(in, h.announced)
	}
	switch step.Action {
	case takeover.Announce:
		h.announced, h.announcedAt = step.Targets[0], g.now
		g.claim = &primacy.Claim{Candidate: h.announced}
	case takeover.Pause:
		for _, m := range g.members {
			m.paused = m.paused || slices.Contains(step.Targets, m.id) && !m.primary && !m.down
		}
	case takeover.StepDown:
		g.primary().primary = false
	case takeover.Promote:
		if step.Targets[0] != h.announced {
			h.announced, g.claim = "", &primacy.Claim{}
		}
		for _, m := range g.members {
			if m.id == step.Targets[0] {
				delay := time.Duration(rapid.IntRange(100, int(maxPromotionTime.Milliseconds())-1).Draw(t, "promotion_ms")) * time.Millisecond
				g.promotions = append(g.promotions, modelPromotion{m, g.now + delay})
			}
		}
		h.pendingUntil = g.now + maxPromotionTime
	}
}

// Guards against commits that callers have an acknowledgement of and that the next primary
// lacks after a planned change: replicas restart and lose their pause, members join and
// leave, and holders die, at any step.
func TestPlannedChangeKeepsAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroupModel()
		t.Repeat(map[string]func(*rapid.T){
			"commit": g.commit, "commit2": g.commit, "receive": g.receive, "receive2": g.receive, "pass": g.pass, "pass2": g.pass, "read": g.read,
			"restart": g.restart, "crash": g.crash, "join": g.join, "drain": g.drain, "newHolder": g.newHolder, "wait": g.wait, "wait2": g.wait,
			"decide": g.decide, "decide2": g.decide, "decide3": g.decide, "decide4": g.decide,
		})
	})
}
