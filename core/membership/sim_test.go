package membership

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

const ms = time.Millisecond

// envelopeBytes is the assumed size of a JSON-RPC envelope around a digest.
const envelopeBytes = 100

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n].run = nil
	*h = (*h)[:n]
	return e
}

type simNode struct {
	machine    *Machine
	name       string
	generation int // increases with each start, so that events of an earlier process are dropped
	up         bool
	// A paused process keeps its connections but neither ticks nor answers.
	paused     bool
	deaths     int // Changed to Dead seen
	suspicions int // Changed to Suspect seen
}

// simNet simulates the network between machines in virtual time. It delivers each
// message after 1 ms.
type simNet struct {
	now            time.Duration
	order          int
	events         eventHeap
	nodes          map[string]*simNode
	names          []string
	isCut          func(a, b string) bool
	refuseWhenDead bool // a dead process refuses connections; otherwise probes stay unanswered
	seeds          []string
	rand           *rand.Rand
	messages       int
	bytes          int
	measure        bool
	fetches        int
}

func newNet(n int, seed uint64) *simNet {
	s := &simNet{nodes: map[string]*simNode{}, isCut: func(_, _ string) bool { return false }}
	s.rand = rand.New(rand.NewPCG(seed, 5))
	for i := range n {
		s.names = append(s.names, fmt.Sprintf("messina-%04d", i))
	}
	s.seeds = s.names[:min(3, n)]
	for _, name := range s.names {
		s.nodes[name] = &simNode{name: name}
		s.start(name)
	}
	return s
}

// settle gives all nodes the complete list of members, as after a long time without
// changes.
func (s *simNet) settle() {
	var all []Member
	for _, name := range s.names {
		all = append(all, s.nodes[name].machine.Self())
	}
	for _, name := range s.names {
		s.nodes[name].machine.Fetched(all, s.now)
	}
}

func (s *simNet) start(name string) {
	n := s.nodes[name]
	n.generation++
	n.up, n.paused = true, false
	n.machine = New(Config{Name: name, FailureDomain: "messina", Address: name, Seeds: s.seeds,
		Incarnation: uint64(s.now/ms) + 1, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 1))})
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation == generation && n.up {
			if !n.paused {
				s.perform(n, n.machine.Tick(s.now))
			}
			s.after(50*ms, tick)
		}
	}
	s.after(time.Duration(s.rand.Int64N(int64(50*ms))), tick)
}

func (s *simNet) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{at: s.now + d, order: s.order, run: run})
}

func (s *simNet) runFor(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *simNet) countMessage(d Digest) {
	s.messages++
	if s.measure {
		text, _ := json.Marshal(d)
		s.bytes += len(text) + envelopeBytes
	}
}

// call delivers d from one node to another and the answer back; failed is called if
// the connection is refused.
func (s *simNet) call(from *simNode, to string, d Digest, answered func(Digest), failed func()) {
	generation := from.generation
	s.countMessage(d)
	s.after(ms, func() {
		dst := s.nodes[to]
		if dst == nil || s.isCut(from.name, to) || dst.paused {
			return
		}
		if !dst.up {
			if s.refuseWhenDead {
				s.after(ms, failed)
			}
			return
		}
		answer, actions := dst.machine.Received(d, s.now)
		s.perform(dst, actions)
		s.countMessage(answer)
		s.after(ms, func() {
			if from.up && from.generation == generation && !from.paused && !s.isCut(from.name, to) {
				answered(answer)
			}
		})
	})
}

func (s *simNet) perform(n *simNode, actions []Action) {
	generation := n.generation
	current := func() bool { return n.up && n.generation == generation && !n.paused }
	for _, action := range actions {
		switch a := action.(type) {
		case Probe:
			s.call(n, a.Address, a.Digest,
				func(d Digest) { s.perform(n, n.machine.ProbeAnswered(a.Peer, "", d, s.now)) },
				func() {
					if current() {
						s.perform(n, n.machine.ProbeFailed(a.Peer, "", s.now))
					}
				})
		case ProbeThrough:
			s.callThrough(n, a, current)
		case Fetch:
			s.fetches++
			s.after(ms, func() {
				dst := s.nodes[a.Address]
				if dst != nil && dst.up && !dst.paused && current() && !s.isCut(n.name, a.Address) {
					s.perform(n, n.machine.Fetched(dst.machine.Members(), s.now))
				}
			})
		case Changed:
			switch a.Member.State {
			case Dead:
				n.deaths++
			case Suspect:
				n.suspicions++
			}
		}
	}
}

func (s *simNet) callThrough(n *simNode, a ProbeThrough, current func() bool) {
	s.countMessage(a.Digest)
	s.after(ms, func() {
		via := s.nodes[a.Via]
		if !via.up || via.paused || s.isCut(n.name, a.Via) {
			return
		}
		s.call(via, a.Address, a.Digest, func(d Digest) {
			s.countMessage(d)
			s.after(ms, func() {
				if current() && !s.isCut(n.name, a.Via) {
					s.perform(n, n.machine.ProbeAnswered(a.Peer, a.Via, d, s.now))
				}
			})
		}, func() {
			if current() {
				s.perform(n, n.machine.ProbeFailed(a.Peer, a.Via, s.now))
			}
		})
	})
}

// countWithState returns how many of the other running nodes have the named one in the
// state want.
func (s *simNet) countWithState(name string, want State) (matching, running int) {
	for _, n := range s.nodes {
		if n.name == name || !n.up {
			continue
		}
		running++
		if got, ok := n.machine.State(name); ok && got == want {
			matching++
		}
	}
	return matching, running
}
