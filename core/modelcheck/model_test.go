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

	// Destinations of messages and links that are not the index of a member:
	platform = -1
	local    = -2 // the instance itself
	peer     = -3 // the other instance
)

// message is a message in transit between an instance and a member, the platform or
// another instance; the field member is the index of a member or one of the constants
// above. run is called on its arrival, and lost, if not nil, on its loss.
type message struct {
	instance, member int
	epoch            int // epoch of the instance that receives it; ignored for requests
	request          bool
	run, lost        func()
}

// instance is one papayarail process: a failover coordinator, and a confirm tracker for
// each member, which it uses as the owner of that member.
type instance struct {
	index       int
	epoch       int
	paused      bool
	coordinator *failover.Coordinator
	trackers    []*confirm.Tracker
	reads       map[uint64]pendingRead
	callbacks   map[uint64]func(position.Position, *verdict.Error)
	owned       []ownedMember
	observed    []observedMember
}

// pendingRead is a strict read that waits for its confirmation or barrier.
type pendingRead struct {
	log     []logEntry // snapshot of a read
	acks    int        // acknowledgements before the submission
	replica int        // member that executes the read after a barrier
}

// simulation holds the members of a group, the instances, the sessions, and the messages
// in transit between them.
type simulation struct {
	*oracle
	rng           *rand.Rand
	members       []*member
	instances     []*instance
	queue         []message
	delayed       []message       // messages that drain has held back
	cut           map[[2]int]bool // cut links from an instance to a member, the platform or its peer
	memberCut     map[[2]int]bool
	silentProbes  map[[2]int]bool   // open probe connections from instance to member that no longer answer
	reserved      map[uint64]string // attempt that has reserved a term on the platform, by term
	quiescedUntil map[failover.MemberID]time.Duration
	nextID        uint64
	lossPerMil    int
	delayPerMil   int

	primaryReads, replicaReads int // answered strict reads

	sessions         []*session
	pending          []*call
	owners           []int             // index of the instance that owns a member
	silentStatements map[[2]int]bool   // open statement connections from instance to member that no longer answer
	leaving          []time.Duration   // time at which a member began to leave; 0 if it does not leave
	keys             map[uint64]uint64 // ID of the write by acknowledged request key
	notRun           map[uint64]bool
	served           map[string]int
	unknownOutcomes  int // writes with an unknown outcome
	switchovers      int // planned switchovers while sessions write
}

func newSimulation(t fataler, size int, seed uint64) *simulation {
	sim := &simulation{oracle: newOracle(), rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{},
		memberCut: map[[2]int]bool{}, silentProbes: map[[2]int]bool{}, reserved: map[uint64]string{}, quiescedUntil: map[failover.MemberID]time.Duration{}}
	sim.t = t
	for i := range size {
		sim.members = append(sim.members, &member{id: failover.MemberID(rune('a' + i)), up: true})
	}
	for i := range 2 {
		sim.instances = append(sim.instances, &instance{index: i})
		sim.restartInstance(sim.instances[i])
	}
	sim.activate(sim.instances[0], true)
	sim.addSessions()
	return sim
}

func (sim *simulation) restartInstance(in *instance) {
	in.epoch++
	cfg := failover.Config{Service: "s", Instance: fmt.Sprintf("i%d.%d", in.index, in.epoch),
		ProbeInterval: 100 * ms, ProbeTimeout: 150 * ms, SuspectAfter: 600 * ms, StalledAfter: 1500 * ms,
		StepTimeout: 400 * ms, Rand: rand.New(rand.NewPCG(sim.rng.Uint64(), 2))}
	in.trackers = nil
	in.reads = map[uint64]pendingRead{}
	in.callbacks = map[uint64]func(position.Position, *verdict.Error){}
	in.owned = make([]ownedMember, len(sim.members))
	in.observed = make([]observedMember, len(sim.members))
	for _, m := range sim.members {
		cfg.Members = append(cfg.Members, failover.Member{ID: m.id})
		in.trackers = append(in.trackers, confirm.New(confirm.Config{Members: len(sim.members), Timeout: 2 * time.Second, BarrierDelay: 5 * ms}, 0))
	}
	in.coordinator = failover.New(cfg, sim.now)
}

func (sim *simulation) activate(in *instance, active bool) {
	sim.applyFailover(in, in.coordinator.SetActive(active, sim.now))
}

func (sim *simulation) memberIndex(id failover.MemberID) int {
	return slices.IndexFunc(sim.members, func(m *member) bool { return m.id == id })
}

// sendRequest sends a request from an instance to a member or the platform.
func (sim *simulation) sendRequest(in *instance, member int, run, lost func()) {
	sim.queue = append(sim.queue, message{instance: in.index, member: member, request: true, run: run, lost: lost})
}

// sendReply sends a response to an instance. lost is called if the response is lost.
func (sim *simulation) sendReply(in *instance, epoch, member int, run, lost func()) {
	sim.queue = append(sim.queue, message{instance: in.index, member: member, epoch: epoch, run: run, lost: lost})
}

// localEvent returns a function that queues f as an event of the instance. The event is
// dropped if the instance has been restarted since.
func (sim *simulation) localEvent(in *instance, epoch int, f func()) func() {
	return func() {
		sim.queue = append(sim.queue, message{instance: in.index, member: local, epoch: epoch, run: f})
	}
}

func (sim *simulation) deliver(m message) {
	sim.step++
	in := sim.instances[m.instance]
	if !m.request && m.epoch != in.epoch {
		return
	}
	if !m.request && in.paused {
		sim.delayed = append(sim.delayed, m)
		return
	}
	broken := sim.cut[[2]int{m.instance, m.member}] || m.request && m.member >= 0 && !sim.members[m.member].up
	if !broken {
		m.run()
	} else if m.lost != nil {
		m.lost()
	}
}

// drain delivers, loses or delays every message in transit.
func (sim *simulation) drain() {
	for len(sim.queue) > 0 {
		m := sim.queue[0]
		sim.queue = sim.queue[1:]
		remote := m.member != local
		switch roll := sim.rng.IntN(1000); {
		case remote && roll < sim.lossPerMil:
			if m.lost != nil {
				m.lost()
			}
		case remote && roll < sim.lossPerMil+sim.delayPerMil:
			sim.delayed = append(sim.delayed, m)
		default:
			sim.deliver(m)
		}
	}
}

// advance advances the virtual time by one tick.
func (sim *simulation) advance() {
	sim.now += tick
	for _, in := range sim.instances {
		if in.paused {
			continue
		}
		sim.applyFailover(in, in.coordinator.Tick(sim.now))
		for i, tr := range in.trackers {
			sim.applyConfirm(in, i, tr.Expire(sim.now))
			if tr.Pending() > 0 {
				sim.poll(in, i)
			}
			sim.monitor(in, i)
		}
	}
	sim.expireCalls()
	sim.drain()
	for p := range sim.members {
		for f := range sim.members {
			if sim.rng.IntN(4) > 0 {
				sim.replicate(p, f, 1+sim.rng.IntN(4))
			}
		}
	}
}

// replicate copies up to n log entries from member p to member f, unless one is down or they
// are partitioned.
func (sim *simulation) replicate(p, f, n int) {
	sim.step++
	from, to := sim.members[p], sim.members[f]
	if p == f || !from.up || !to.up || sim.memberCut[[2]int{min(p, f), max(p, f)}] {
		return
	}
	from.replicate(to, n)
	sim.recordQuorum(from)
}

// recordQuorum records which entries of the primary's term a quorum holds. A member that
// has moved to another term confirms no further entries of this one.
func (sim *simulation) recordQuorum(p *member) {
	history := sim.terms[p.term]
	if p.role != failover.Primary || history == nil {
		return
	}
	for offset := uint64(len(p.log)); offset > 0 && p.log[offset-1].term == p.term; offset-- {
		n := 1
		for _, at := range p.confirmed {
			if at >= offset {
				n++
			}
		}
		if _, known := history.quorumAt[offset]; !known && n > len(sim.members)/2 {
			history.quorumAt[offset] = sim.step
		}
	}
}

func (sim *simulation) applyFailover(in *instance, actions []failover.Action) {
	epoch := in.epoch
	for _, a := range actions {
		switch a := a.(type) {
		case failover.Probe:
			i := sim.memberIndex(a.Member)
			failed := sim.localEvent(in, epoch, func() { sim.applyFailover(in, in.coordinator.ProbeFailed(a.Member, a.Fresh, sim.now)) })
			if sim.silentProbes[[2]int{in.index, i}] && !a.Fresh {
				failed()
				continue
			}
			sim.sendRequest(in, i, func() {
				s := sim.members[i].status()
				sim.sendReply(in, epoch, i, func() { sim.applyFailover(in, in.coordinator.Probed(a.Member, s, sim.now)) }, failed)
			}, failed)
		case failover.Reserve:
			unavailable := sim.localEvent(in, epoch, func() {
				sim.applyFailover(in, in.coordinator.Reserved(a.Term, failover.ReserveUnavailable, sim.now))
			})
			sim.sendRequest(in, platform, func() {
				outcome := failover.ReserveLost
				if holder, taken := sim.reserved[a.Term]; !taken || holder == a.Attempt {
					sim.reserved[a.Term] = a.Attempt
					outcome = failover.ReserveWon
				}
				sim.sendReply(in, epoch, platform, func() { sim.applyFailover(in, in.coordinator.Reserved(a.Term, outcome, sim.now)) }, unavailable)
			}, unavailable)
		case failover.Adopt:
			i := sim.memberIndex(a.Member)
			sim.sendRequest(in, i, func() {
				granted := sim.members[i].adopt(a.Term, a.Attempt)
				term, last := sim.members[i].term, sim.members[i].last()
				sim.sendReply(in, epoch, i, func() { sim.applyFailover(in, in.coordinator.Adopted(a.Member, granted, term, last, sim.now)) }, nil)
			}, nil)
		case failover.Promote:
			i := sim.memberIndex(a.Member)
			sim.sendRequest(in, i, func() {
				ok := sim.promote(sim.members[i], a.Term, a.Attempt)
				sim.sendReply(in, epoch, i, func() { sim.applyFailover(in, in.coordinator.Promoted(a.Member, ok, a.Term, sim.now)) }, nil)
			}, nil)
		case failover.Follow:
			i := sim.memberIndex(a.Member)
			sim.sendRequest(in, i, func() {
				ok := sim.members[i].follow(a.Term, a.Primary)
				sim.sendReply(in, epoch, i, func() { sim.applyFailover(in, in.coordinator.Followed(a.Member, ok, sim.now)) }, nil)
			}, nil)
		case failover.Quiesce:
			sim.quiescedUntil[a.Member] = sim.now + a.For
			sim.quiesce(in, sim.memberIndex(a.Member), a.For)
		case failover.Announce:
			for _, other := range sim.instances {
				from := peer
				if other == in {
					from = local
				}
				sim.queue = append(sim.queue, message{instance: other.index, member: from, epoch: other.epoch,
					run: func() { sim.learnRoute(other, a.Route) }})
			}
		}
	}
}

func (sim *simulation) promote(m *member, term uint64, attempt string) bool {
	ok, now := m.promote(term, attempt)
	if now {
		sim.recordPromotion(m)
		m.append(0)
	}
	return ok
}

func (sim *simulation) learnRoute(in *instance, r failover.Route) {
	sim.applyFailover(in, in.coordinator.LearnRoute(r, sim.now))
	for i, tr := range in.trackers {
		sim.applyConfirm(in, i, tr.NewTerm(r.Term, sim.now))
	}
}

// poll requests the status of a member and reports the positions that it confirms as a
// primary. Sometimes it requests the status of the followers as well, which may be
// reported directly too.
func (sim *simulation) poll(in *instance, i int) {
	epoch := in.epoch
	for j, f := range sim.members {
		if sim.rng.IntN(4) > 0 {
			continue
		}
		sim.sendRequest(in, j, func() {
			s := f.status()
			if s.Primary == sim.members[i].id && s.Last.Term == s.Term {
				sim.sendReply(in, epoch, j, func() { sim.applyConfirm(in, i, in.trackers[i].Report(string(f.id), s.Last, sim.now)) }, nil)
			}
		}, nil)
	}
	sim.sendRequest(in, i, func() {
		s := sim.members[i].status()
		if s.Role != failover.Primary {
			return
		}
		sim.sendReply(in, epoch, i, func() { sim.report(in, i, s) }, nil)
	}, nil)
}

func (sim *simulation) report(in *instance, i int, s failover.Status) {
	tr := in.trackers[i]
	sim.applyConfirm(in, i, tr.Report(string(sim.members[i].id), position.Position{Term: s.Term, Offset: s.Last.Offset}, sim.now))
	for _, m := range sim.members {
		if offset, ok := s.Confirmed[m.id]; ok {
			sim.applyConfirm(in, i, tr.Report(string(m.id), position.Position{Term: s.Term, Offset: offset}, sim.now))
		}
	}
}

func (sim *simulation) write(in *instance, i int) uint64 {
	sim.nextID++
	id, epoch := sim.nextID, in.epoch
	sim.writes[id] = true
	tr := in.trackers[i]
	tr.Started(id)
	abandoned := sim.localEvent(in, epoch, func() { tr.Abandoned(id) })
	sim.sendRequest(in, i, func() {
		m := sim.members[i]
		if m.role != failover.Primary {
			return
		}
		p := m.append(id)
		sim.terms[m.term].writeIDs[id] = true
		sim.recordQuorum(m)
		sim.sendReply(in, epoch, i, func() { sim.applyConfirm(in, i, tr.Committed(id, p, sim.now)) }, abandoned)
	}, abandoned)
	return id
}

// read runs a strict read on member i, which the instance assumes to be the primary.
func (sim *simulation) read(in *instance, i int) {
	sim.nextID++
	id, epoch, before := sim.nextID, in.epoch, len(sim.acks)
	sim.sendRequest(in, i, func() {
		log := sim.members[i].log
		sim.sendReply(in, epoch, i, func() {
			in.reads[id] = pendingRead{log: log, acks: before}
			sim.applyConfirm(in, i, in.trackers[i].Read(id, positionOf(log), sim.now))
		}, nil)
	}, nil)
}

// barrier runs a strict read on a replica after a barrier on member i, the assumed
// primary.
func (sim *simulation) barrier(in *instance, i, replica int) {
	sim.nextID++
	in.reads[sim.nextID] = pendingRead{acks: len(sim.acks), replica: replica}
	sim.applyConfirm(in, i, in.trackers[i].Barrier(sim.nextID, sim.now))
}

func (sim *simulation) applyConfirm(in *instance, i int, actions []confirm.Action) {
	epoch, tr := in.epoch, in.trackers[i]
	for _, a := range actions {
		switch a := a.(type) {
		case confirm.Fail:
			if !in.finishCallback(a.ID, position.Position{}, a.Error) {
				sim.recordFailure(a.ID, a.Error)
			}
		case confirm.Acknowledge:
			if !in.finishCallback(a.ID, a.Position, nil) {
				sim.acknowledge(in, a)
			}
		case confirm.WriteBarrier:
			failed := sim.localEvent(in, epoch, func() { sim.applyConfirm(in, i, tr.BarrierFailed(sim.now)) })
			// A quiesced owner must refuse barriers too: in a group of two, a planned
			// switchover did not end while strict reads continued.
			if sim.now < in.owned[i].quiescedUntil {
				failed()
				continue
			}
			sim.sendRequest(in, i, func() {
				m := sim.members[i]
				if m.role != failover.Primary {
					failed()
					return
				}
				p := m.append(0)
				sim.recordQuorum(m)
				sim.sendReply(in, epoch, i, func() { sim.applyConfirm(in, i, tr.BarrierWritten(p, sim.now)) }, failed)
			}, failed)
		}
	}
}

func (sim *simulation) acknowledge(in *instance, a confirm.Acknowledge) {
	if sim.writes[a.ID] {
		sim.recordAcknowledgement(a.ID, a.Position)
		return
	}
	sim.recordAnswer(a.ID)
	r := in.reads[a.ID]
	if r.log != nil {
		sim.primaryReads++
		sim.checkStrictRead(r.log, r.acks, "on the primary")
		sim.recordStrictRead(r.log, a.Position.Term)
		return
	}
	sim.sendRequest(in, r.replica, func() {
		if m := sim.members[r.replica]; m.last().AtLeast(a.Position) {
			sim.replicaReads++
			sim.checkStrictRead(m.log, r.acks, "on a replica after a barrier")
		}
	}, nil)
}
