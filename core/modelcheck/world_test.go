package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/confirm"
	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
)

const (
	ms   = time.Millisecond
	tick = 50 * ms

	// In place of a member index:
	platform = -1
	local    = -2 // the instance itself
	peer     = -3 // the other instance
)

// message is on its way between an instance and a member, the platform or
// another instance. run is its effect on arrival, lost its effect otherwise.
type message struct {
	inst, member int
	epoch        int // of the instance that receives it; requests have none
	request      bool
	run, lost    func()
}

// instance is one papayarail process: a coordinator and the trackers that it
// holds as owner, one for each member.
type instance struct {
	index    int
	epoch    int
	paused   bool
	c        *failover.Coordinator
	trackers []*confirm.Tracker
	reads    map[uint64]running
	work     map[uint64]func(position.Position, *verdict.Error)
	owned    []owned
	seen     []observed
}

// running is a read or barrier under way.
type running struct {
	log     []entry // snapshot of a read
	acks    int     // acknowledgements before the submission
	replica int     // where a barrier is used
}

// world is the group, the instances and everything on its way between them.
type world struct {
	*oracle
	rng        *rand.Rand
	members    []*member
	instances  []*instance
	queue      []message
	late       []message
	cut        map[[2]int]bool // instance to member or platform
	memberCut  map[[2]int]bool
	silent     map[[2]int]bool // open connections from instance to member
	reserved   map[uint64]string
	quietUntil map[failover.MemberID]time.Duration
	nextID     uint64
	lossPerMil int
	holdPerMil int

	primaryReads, replicaReads int // answered

	sessions []*session
	pending  []*call
	home     []int             // index of the instance that owns a member
	mute     map[[2]int]bool   // open connections for statements from instance to member
	leaving  []time.Duration   // when a member began to leave; 0 if it does not
	keys     map[uint64]uint64 // acknowledged request key to write
	notRun   map[uint64]bool
	served   map[string]int
	unknown  int // writes with an unknown outcome
	switches int // planned, while sessions write
}

func newWorld(t failer, size int, seed uint64) *world {
	w := &world{oracle: newOracle(), rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{},
		memberCut: map[[2]int]bool{}, silent: map[[2]int]bool{}, reserved: map[uint64]string{}, quietUntil: map[failover.MemberID]time.Duration{}}
	w.t = t
	for i := range size {
		w.members = append(w.members, &member{id: failover.MemberID(rune('a' + i)), up: true})
	}
	for i := range 2 {
		w.instances = append(w.instances, &instance{index: i})
		w.restart(w.instances[i])
	}
	w.activate(w.instances[0], true)
	w.addSessions()
	return w
}

func (w *world) restart(in *instance) {
	in.epoch++
	cfg := failover.Config{Service: "s", Instance: fmt.Sprintf("i%d.%d", in.index, in.epoch),
		ProbeInterval: 100 * ms, ProbeTimeout: 150 * ms, SuspectAfter: 600 * ms, StalledAfter: 1500 * ms,
		StepTimeout: 400 * ms, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 2))}
	in.trackers = nil
	in.reads = map[uint64]running{}
	in.work = map[uint64]func(position.Position, *verdict.Error){}
	in.owned = make([]owned, len(w.members))
	in.seen = make([]observed, len(w.members))
	for _, m := range w.members {
		cfg.Members = append(cfg.Members, failover.Member{ID: m.id})
		in.trackers = append(in.trackers, confirm.New(confirm.Config{Members: len(w.members), Timeout: 2 * time.Second, BarrierDelay: 5 * ms}, 0))
	}
	in.c = failover.New(cfg, w.now)
}

func (w *world) activate(in *instance, active bool) { w.coordinate(in, in.c.SetActive(active, w.now)) }

func (w *world) index(id failover.MemberID) int {
	return slices.IndexFunc(w.members, func(m *member) bool { return m.id == id })
}

// call sends a request from an instance to a member or the platform.
func (w *world) call(in *instance, member int, run, lost func()) {
	w.queue = append(w.queue, message{inst: in.index, member: member, request: true, run: run, lost: lost})
}

// reply sends a response back; the caller's adapter turns a lost one into lost.
func (w *world) reply(in *instance, epoch, member int, run, lost func()) {
	w.queue = append(w.queue, message{inst: in.index, member: member, epoch: epoch, run: run, lost: lost})
}

// inside runs f in the instance unless it has been restarted.
func (w *world) inside(in *instance, epoch int, f func()) func() {
	return func() {
		w.queue = append(w.queue, message{inst: in.index, member: local, epoch: epoch, run: f})
	}
}

func (w *world) deliver(m message) {
	w.step++
	in := w.instances[m.inst]
	if !m.request && m.epoch != in.epoch {
		return
	}
	if !m.request && in.paused {
		w.late = append(w.late, m)
		return
	}
	broken := w.cut[[2]int{m.inst, m.member}] || m.request && m.member >= 0 && !w.members[m.member].up
	if !broken {
		m.run()
	} else if m.lost != nil {
		m.lost()
	}
}

// drain delivers, drops or holds back everything that is on its way.
func (w *world) drain() {
	for len(w.queue) > 0 {
		m := w.queue[0]
		w.queue = w.queue[1:]
		remote := m.member != local
		switch roll := w.rng.IntN(1000); {
		case remote && roll < w.lossPerMil:
			if m.lost != nil {
				m.lost()
			}
		case remote && roll < w.lossPerMil+w.holdPerMil:
			w.late = append(w.late, m)
		default:
			w.deliver(m)
		}
	}
}

// advance lets one tick pass.
func (w *world) advance() {
	w.now += tick
	for _, in := range w.instances {
		if in.paused {
			continue
		}
		w.coordinate(in, in.c.Tick(w.now))
		for i, tr := range in.trackers {
			w.track(in, i, tr.Expire(w.now))
			if tr.Pending() > 0 {
				w.poll(in, i)
			}
			w.monitor(in, i)
		}
	}
	w.expireCalls()
	w.drain()
	for p := range w.members {
		for f := range w.members {
			if w.rng.IntN(4) > 0 {
				w.replicate(p, f, 1+w.rng.IntN(4))
			}
		}
	}
}

func (w *world) replicate(p, f, n int) {
	w.step++
	from, to := w.members[p], w.members[f]
	if p == f || !from.up || !to.up || w.memberCut[[2]int{min(p, f), max(p, f)}] {
		return
	}
	from.replicate(to, n)
	w.noteQuorum(from)
}

// noteQuorum records which entries of the primary's term a quorum holds. A
// member that has moved to another term no longer adds to it.
func (w *world) noteQuorum(p *member) {
	history := w.terms[p.term]
	if p.role != failover.Primary || history == nil {
		return
	}
	for offset := uint64(len(p.log)); offset > 0 && p.log[offset-1].term == p.term; offset-- {
		n := 1
		for _, at := range p.match {
			if at >= offset {
				n++
			}
		}
		if _, known := history.quorumAt[offset]; !known && n > len(w.members)/2 {
			history.quorumAt[offset] = w.step
		}
	}
}

func (w *world) coordinate(in *instance, actions []failover.Action) {
	epoch := in.epoch
	for _, a := range actions {
		switch a := a.(type) {
		case failover.Probe:
			i := w.index(a.Member)
			failed := w.inside(in, epoch, func() { w.coordinate(in, in.c.ProbeFailed(a.Member, a.Fresh, w.now)) })
			if w.silent[[2]int{in.index, i}] && !a.Fresh {
				failed()
				continue
			}
			w.call(in, i, func() {
				s := w.members[i].status()
				w.reply(in, epoch, i, func() { w.coordinate(in, in.c.Probed(a.Member, s, w.now)) }, failed)
			}, failed)
		case failover.Reserve:
			unavailable := w.inside(in, epoch, func() {
				w.coordinate(in, in.c.Reserved(a.Term, failover.ReserveUnavailable, w.now))
			})
			w.call(in, platform, func() {
				outcome := failover.ReserveLost
				if holder, taken := w.reserved[a.Term]; !taken || holder == a.Attempt {
					w.reserved[a.Term] = a.Attempt
					outcome = failover.ReserveWon
				}
				w.reply(in, epoch, platform, func() { w.coordinate(in, in.c.Reserved(a.Term, outcome, w.now)) }, unavailable)
			}, unavailable)
		case failover.Adopt:
			i := w.index(a.Member)
			w.call(in, i, func() {
				granted := w.members[i].adopt(a.Term, a.Attempt)
				term, last := w.members[i].term, w.members[i].last()
				w.reply(in, epoch, i, func() { w.coordinate(in, in.c.Adopted(a.Member, granted, term, last, w.now)) }, nil)
			}, nil)
		case failover.Promote:
			i := w.index(a.Member)
			w.call(in, i, func() {
				ok := w.promote(w.members[i], a.Term, a.Attempt)
				w.reply(in, epoch, i, func() { w.coordinate(in, in.c.Promoted(a.Member, ok, a.Term, w.now)) }, nil)
			}, nil)
		case failover.Follow:
			i := w.index(a.Member)
			w.call(in, i, func() {
				ok := w.members[i].follow(a.Term, a.Primary)
				w.reply(in, epoch, i, func() { w.coordinate(in, in.c.Followed(a.Member, ok, w.now)) }, nil)
			}, nil)
		case failover.Quiesce:
			w.quietUntil[a.Member] = w.now + a.For
			w.quiesce(in, w.index(a.Member), a.For)
		case failover.Announce:
			for _, other := range w.instances {
				from := peer
				if other == in {
					from = local
				}
				w.queue = append(w.queue, message{inst: other.index, member: from, epoch: other.epoch,
					run: func() { w.learn(other, a.Route) }})
			}
		}
	}
}

func (w *world) promote(m *member, term uint64, attempt string) bool {
	ok, now := m.promote(term, attempt)
	if now {
		w.promoted(m)
		m.append(0)
	}
	return ok
}

func (w *world) learn(in *instance, r failover.Route) {
	w.coordinate(in, in.c.LearnRoute(r, w.now))
	for i, tr := range in.trackers {
		w.track(in, i, tr.NewTerm(r.Term, w.now))
	}
}

// poll reads the status of a member and reports what a primary shows. Members
// that follow it are at times asked directly, which the rule allows as well.
func (w *world) poll(in *instance, i int) {
	epoch := in.epoch
	for j, f := range w.members {
		if w.rng.IntN(4) > 0 {
			continue
		}
		w.call(in, j, func() {
			s := f.status()
			if s.Primary == w.members[i].id && s.Last.Term == s.Term {
				w.reply(in, epoch, j, func() { w.track(in, i, in.trackers[i].Report(string(f.id), s.Last, w.now)) }, nil)
			}
		}, nil)
	}
	w.call(in, i, func() {
		s := w.members[i].status()
		if s.Role != failover.Primary {
			return
		}
		w.reply(in, epoch, i, func() { w.report(in, i, s) }, nil)
	}, nil)
}

func (w *world) report(in *instance, i int, s failover.Status) {
	tr := in.trackers[i]
	w.track(in, i, tr.Report(string(w.members[i].id), position.Position{Term: s.Term, Offset: s.Last.Offset}, w.now))
	for _, m := range w.members {
		if offset, ok := s.Confirmed[m.id]; ok {
			w.track(in, i, tr.Report(string(m.id), position.Position{Term: s.Term, Offset: offset}, w.now))
		}
	}
}

func (w *world) write(in *instance, i int) uint64 {
	w.nextID++
	id, epoch := w.nextID, in.epoch
	w.writes[id] = true
	tr := in.trackers[i]
	tr.Started(id)
	abandoned := w.inside(in, epoch, func() { tr.Abandoned(id) })
	w.call(in, i, func() {
		m := w.members[i]
		if m.role != failover.Primary {
			return
		}
		p := m.append(id)
		w.terms[m.term].ids[id] = true
		w.noteQuorum(m)
		w.reply(in, epoch, i, func() { w.track(in, i, tr.Committed(id, p, w.now)) }, abandoned)
	}, abandoned)
	return id
}

// read runs a strict read on what the instance takes for the primary.
func (w *world) read(in *instance, i int) {
	w.nextID++
	id, epoch, before := w.nextID, in.epoch, len(w.acks)
	w.call(in, i, func() {
		log := w.members[i].log
		w.reply(in, epoch, i, func() {
			in.reads[id] = running{log: log, acks: before}
			w.track(in, i, in.trackers[i].Read(id, positionOf(log), w.now))
		}, nil)
	}, nil)
}

// barrier runs a strict read on a replica after a barrier on the primary.
func (w *world) barrier(in *instance, i, replica int) {
	w.nextID++
	in.reads[w.nextID] = running{acks: len(w.acks), replica: replica}
	w.track(in, i, in.trackers[i].Barrier(w.nextID, w.now))
}

func (w *world) track(in *instance, i int, actions []confirm.Action) {
	epoch, tr := in.epoch, in.trackers[i]
	for _, a := range actions {
		switch a := a.(type) {
		case confirm.Fail:
			if !in.finishWork(a.ID, position.Position{}, a.Error) {
				w.gaveUp(a.ID, a.Error)
			}
		case confirm.Acknowledge:
			if !in.finishWork(a.ID, a.Position, nil) {
				w.acknowledge(in, a)
			}
		case confirm.WriteBarrier:
			failed := w.inside(in, epoch, func() { w.track(in, i, tr.BarrierFailed(w.now)) })
			// A planned switch of a group of two did not end while strict reads
			// went on and the owner let their barriers pass.
			if w.now < in.owned[i].quietUntil {
				failed()
				continue
			}
			w.call(in, i, func() {
				m := w.members[i]
				if m.role != failover.Primary {
					failed()
					return
				}
				p := m.append(0)
				w.noteQuorum(m)
				w.reply(in, epoch, i, func() { w.track(in, i, tr.BarrierWritten(p, w.now)) }, failed)
			}, failed)
		}
	}
}

func (w *world) acknowledge(in *instance, a confirm.Acknowledge) {
	if w.writes[a.ID] {
		w.acknowledged(a.ID, a.Position)
		return
	}
	w.answer(a.ID)
	r := in.reads[a.ID]
	if r.log != nil {
		w.primaryReads++
		w.strictRead(r.log, r.acks, "on the primary")
		w.expose(r.log, a.Position.Term)
		return
	}
	w.call(in, r.replica, func() {
		if m := w.members[r.replica]; m.last().AtLeast(a.Position) {
			w.replicaReads++
			w.strictRead(m.log, r.acks, "on a replica after a barrier")
		}
	}, nil)
}
