package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against slow failure detection and too much traffic: all of 9 instances must
// detect a dead one within 3 s, and 1,800 instances must send at most 2 KB/s each.
// Logs the figures for all sizes.
func TestFigures(t *testing.T) {
	for _, n := range []int{9, 360, 1800} {
		t.Run(fmt.Sprint("nodes=", n), func(t *testing.T) {
			t.Parallel()
			s := newNet(n, 42)
			s.settle()
			s.runFor(5 * time.Second)
			s.measure, s.messages, s.bytes = true, 0, 0
			s.runFor(10 * time.Second)
			idleRate := float64(s.bytes) / 10 / float64(n)
			t.Logf("%d nodes, no changes: %.2f messages and %.0f bytes per node per second, period %s",
				n, float64(s.messages)/10/float64(n), idleRate, s.nodes[s.names[0]].machine.Period())
			var worst, peak float64
			const deaths = 2
			for i := range deaths {
				name := s.names[n-1-i]
				s.nodes[name].up = false
				linkFailureReported := i > 0
				if linkFailureReported {
					s.nodes[s.names[0]].reportLinkFailure(s, name)
				}
				first, all, rate := s.runUntilAllDetected(name)
				t.Logf("%d nodes, one dead, connections not refused, link failure reported %v: detected by the first after %.2f s, by all after %.2f s, %.0f bytes per node per second",
					n, linkFailureReported, first, all, rate)
				worst, peak = max(worst, all), max(peak, rate)
			}
			assert.Assert(t, n > 9 || worst <= 3, "detected by all after %.2f s", worst)
			assert.Assert(t, n < 1800 || peak <= 2048, "%.0f bytes per node per second", peak)
			for _, node := range s.nodes {
				if node.up {
					assert.Equal(t, node.deaths, deaths, "a live member was declared dead")
				}
			}
		})
	}
}

// Guards against a dead instance that is detected later than 3 s in some random order
// of probes, also when a failure domain with three of nine instances fails at once.
func TestDeathDetectedWithinThreeSeconds(t *testing.T) {
	for _, deaths := range []int{1, 3} {
		worst := 0.0
		for seed := range uint64(50) {
			s := newNet(9, seed)
			s.settle()
			s.runFor(3 * time.Second)
			for _, name := range s.names[:deaths] {
				s.nodes[name].up = false
			}
			start := s.now
			for _, name := range s.names[:deaths] {
				s.runUntilAllDetected(name)
			}
			worst = max(worst, (s.now - start).Seconds())
		}
		t.Logf("%d of 9 dead at once: detected by all after at most %.2f s", deaths, worst)
		assert.Assert(t, worst <= 3)
	}
}

func (n *simNode) reportLinkFailure(s *simNet, peer string) {
	s.perform(n, n.machine.LinkFailed(peer, s.now))
}

// runUntilAllDetected runs until all running nodes consider name dead. first and all
// are in seconds, rate in bytes per node per second.
func (s *simNet) runUntilAllDetected(name string) (first, all, rate float64) {
	start, bytes := s.now, s.bytes
	for s.now < start+2*time.Minute {
		s.runFor(50 * ms)
		matching, running := s.countWithState(name, Dead)
		if matching > 0 && first == 0 {
			first = (s.now - start).Seconds()
		}
		if matching == running {
			break
		}
	}
	all = (s.now - start).Seconds()
	return first, all, float64(s.bytes-bytes) / all / float64(len(s.names))
}

// Guards against live connected members that stay dead for others, and dead ones that
// stay alive, after any sequence of faults.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newNet(6, rapid.Uint64().Draw(t, "seed"))
		s.refuseWhenDead = rapid.Bool().Draw(t, "refuse")
		s.runFor(5 * time.Second)
		name := func(label string) string { return rapid.SampledFrom(s.names).Draw(t, label) }
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			n := s.nodes[name("node")]
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				n.up = false
			case 1:
				if !n.up {
					s.start(n.name)
				}
			case 2:
				n.paused = !n.paused
			case 3:
				size := rapid.IntRange(1, 5).Draw(t, "partition")
				s.isCut = func(a, b string) bool { return (a < s.names[size]) != (b < s.names[size]) }
			case 4:
				a, b := n.name, name("other")
				s.isCut = func(x, y string) bool { return (x == a && y == b) || (x == b && y == a) }
			case 5:
				if n.up && !n.paused {
					n.reportLinkFailure(s, name("hint"))
				}
			case 6:
				// An outdated list of the platform with one leaving entry, which may be this
				// node itself.
				if n.up && !n.paused {
					s.perform(n, n.machine.PlatformList([]PlatformEntry{{Name: name("listed"), Leaving: true}}, s.now))
				}
			}
			s.runFor(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * ms)
		}
		s.isCut = func(_, _ string) bool { return false }
		for _, n := range s.nodes {
			n.paused = false
		}
		s.runFor(30 * time.Second)
		for _, a := range s.nodes {
			for _, b := range s.nodes {
				if !a.up || a == b {
					continue
				}
				state, known := a.machine.State(b.name)
				if b.up {
					assert.Assert(t, known && state == Alive, "%s considers live %s %s", a.name, b.name, state)
				} else {
					assert.Assert(t, !known || state == Dead, "%s considers dead %s %s", a.name, b.name, state)
				}
			}
			if a.up {
				assert.Equal(t, a.machine.listChecksum, a.machine.recomputedChecksum())
			}
		}
	})
}

func (m *Machine) recomputedChecksum() (sum uint64) {
	for _, member := range m.Members() {
		sum ^= checksum(member)
	}
	return sum
}

// Guards against a peer that becomes suspect or dead because of one broken link.
func TestOneCutLinkCausesNoDeath(t *testing.T) {
	s := newNet(9, 3)
	s.settle()
	a, b := s.names[1], s.names[2]
	s.isCut = func(x, y string) bool { return (x == a && y == b) || (x == b && y == a) }
	s.nodes[a].reportLinkFailure(s, b)
	s.runFor(time.Minute)
	for _, n := range s.nodes {
		assert.Equal(t, n.deaths+n.suspicions, 0, n.name)
		assert.Equal(t, len(n.machine.Live()), 9)
	}
}

// Guards against a process that declares all its peers dead after a pause.
func TestPausedProcessRejoins(t *testing.T) {
	s := newNet(9, 4)
	s.settle()
	s.runFor(2 * time.Second)
	n := s.nodes[s.names[4]]
	n.paused = true
	s.runFor(10 * time.Second)
	matching, running := s.countWithState(n.name, Dead)
	assert.Equal(t, matching, running)
	n.paused = false
	s.runFor(10 * time.Second)
	assert.Equal(t, n.deaths, 0)
	matching, running = s.countWithState(n.name, Alive)
	assert.Equal(t, matching, running)
}

// Guards against refutations that come too late when messages are lost.
func TestMessageLossCausesNoDeath(t *testing.T) {
	s := newNet(360, 5)
	s.settle()
	s.isCut = func(_, _ string) bool { return s.rand.Float64() < 0.05 }
	s.runFor(20 * time.Second)
	suspicions := 0
	for _, n := range s.nodes {
		suspicions += n.suspicions
		assert.Equal(t, n.deaths, 0, n.name)
	}
	assert.Assert(t, suspicions > 0, "message loss must cause suspicions")
}

// Guards against a suspicion that times out while this process is paused and cannot
// receive the refutation.
func TestPauseExtendsSuspicion(t *testing.T) {
	m := New(Config{Name: "a", Address: "a", Incarnation: 1})
	m.Tick(0)
	m.Fetched([]Member{{Name: "b", Address: "b", Incarnation: 1, State: Suspect}}, 100*ms)
	m.Tick(200 * ms)
	m.Tick(time.Minute)
	state, _ := m.State("b")
	assert.Equal(t, state, Suspect)
	for now := time.Minute; now < time.Minute+1500*ms; now += 100 * ms {
		m.Tick(now)
	}
	state, _ = m.State("b")
	assert.Equal(t, state, Dead)
}

// Guards against messages that grow with the number of changes.
func TestMessagesAreBounded(t *testing.T) {
	s := newNet(300, 7)
	s.settle()
	for _, name := range s.names[:100] {
		s.nodes[name].up = false
	}
	s.runFor(8 * time.Second)
	m := s.nodes[s.names[200]].machine
	assert.Assert(t, len(m.gossipQueue) > 4*defaultMaxDeltas, "%d changes queued", len(m.gossipQueue))
	for range 20 {
		assert.Assert(t, len(m.digest(nil).Deltas) <= burstFactor*defaultMaxDeltas)
	}
}

// Guards against placement of work on a leaving instance.
func TestLeavingIsNotLive(t *testing.T) {
	s := newNet(9, 6)
	s.settle()
	n := s.nodes[s.names[4]]
	actions := n.machine.PlatformList([]PlatformEntry{{Name: n.name, Leaving: true}}, s.now)
	assert.DeepEqual(t, actions, []Action{ListedAsLeaving{}})
	reader := s.nodes[s.names[0]]
	list := []PlatformEntry{{Name: n.name, Address: "an outdated address", Leaving: true}, {Name: "unknown", Leaving: true}}
	advice := []Action{AdviseLeaving{Address: n.machine.Self().Address}}
	assert.DeepEqual(t, reader.machine.PlatformList(list, s.now), advice)
	s.perform(n, n.machine.Leave(s.now))
	s.runFor(3 * time.Second)
	assert.Equal(t, len(reader.machine.PlatformList(list, s.now)), 0)
	for _, other := range s.nodes {
		assert.Equal(t, len(other.machine.Live()), 8)
	}
}

// Guards against a leaving instance that owns upstreams again after it has stopped,
// because it changed from leaving to suspect before it was dead.
func TestStoppedInstanceDoesNotOwnAgain(t *testing.T) {
	s := newNet(9, 6)
	s.settle()
	n := s.nodes[s.names[4]]
	s.perform(n, n.machine.Leave(s.now))
	s.runFor(3 * time.Second)
	delete(s.nodes, n.name)
	for range 50 {
		s.runFor(100 * time.Millisecond)
		for _, other := range s.nodes {
			assert.Equal(t, len(other.machine.Live()), 8)
		}
	}
}

// Guards against two halves that stay divided after a long partition has healed.
func TestLongPartitionHeals(t *testing.T) {
	s := newNet(120, 8)
	s.settle()
	half := s.names[60]
	s.isCut = func(a, b string) bool { return (a < half) != (b < half) }
	s.runFor(2 * time.Minute)
	assert.Equal(t, len(s.nodes[half].machine.Live()), 60)
	s.isCut = func(_, _ string) bool { return false }
	start, complete := s.now, 0
	s.measure, s.bytes, s.fetches = true, 0, 0
	for complete < len(s.names) && s.now < start+5*time.Minute {
		s.runFor(time.Second)
		complete = 0
		for _, n := range s.nodes {
			if len(n.machine.Live()) == len(s.names) {
				complete++
			}
		}
	}
	t.Logf("120 nodes agree %.0f s after the partition, with %.1f fetches per node and %.0f bytes per node per second for other messages",
		(s.now - start).Seconds(), float64(s.fetches)/120, float64(s.bytes)/120/(s.now-start).Seconds())
	assert.Equal(t, complete, len(s.names))
}
