package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards the target that all notice a death within 3 s at 9 instances, and the
// bound of 2 KB/s per node at 1,800. Prints the figures for all sizes.
func TestFigures(t *testing.T) {
	for _, n := range []int{9, 360, 1800} {
		t.Run(fmt.Sprint("nodes=", n), func(t *testing.T) {
			t.Parallel()
			s := newNet(n, 42)
			s.settle()
			s.runFor(5 * time.Second)
			s.measure, s.messages, s.bytes = true, 0, 0
			s.runFor(10 * time.Second)
			quiet := float64(s.bytes) / 10 / float64(n)
			t.Logf("%d nodes, quiet: %.2f messages and %.0f bytes per node per second, period %s",
				n, float64(s.messages)/10/float64(n), quiet, s.nodes[s.names[0]].m.Period())
			var worst, peak float64
			const deaths = 2
			for i := range deaths {
				name := s.names[n-1-i]
				s.nodes[name].up = false
				hint := i > 0
				if hint {
					s.nodes[s.names[0]].hint(s, name)
				}
				first, all, rate := s.notice(name)
				t.Logf("%d nodes, silent death, link hint %v: first %.2f s, all %.2f s, %.0f bytes per node per second",
					n, hint, first, all, rate)
				worst, peak = max(worst, all), max(peak, rate)
			}
			assert.Assert(t, n > 9 || worst <= 3, "noticed after %.2f s", worst)
			assert.Assert(t, n < 1800 || peak <= 2048, "%.0f bytes per node per second", peak)
			for _, node := range s.nodes {
				if node.up {
					assert.Equal(t, node.deaths, deaths, "a live member was declared dead")
				}
			}
		})
	}
}

// Guards the 3 s target over many random orders, also when a failure domain
// with three of the nine instances dies at once.
func TestDeathNoticedWithinThreeSeconds(t *testing.T) {
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
				s.notice(name)
			}
			worst = max(worst, (s.now - start).Seconds())
		}
		t.Logf("%d of 9 silent at once: all noticed after at most %.2f s", deaths, worst)
		assert.Assert(t, worst <= 3)
	}
}

func (n *simNode) hint(s *simNet, peer string) { s.do(n, n.m.LinkFailed(peer, s.now)) }

// notice runs until all running nodes hold name for dead.
func (s *simNet) notice(name string) (first, all, rate float64) {
	start, bytes := s.now, s.bytes
	for s.now < start+2*time.Minute {
		s.runFor(50 * ms)
		holding, running := s.seen(name, Dead)
		if holding > 0 && first == 0 {
			first = (s.now - start).Seconds()
		}
		if holding == running {
			break
		}
	}
	all = (s.now - start).Seconds()
	return first, all, float64(s.bytes-bytes) / all / float64(len(s.names))
}

// Guards against live connected peers that stay dead, and dead ones that stay
// alive, after any sequence of failures. The oracle knows the real state.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newNet(6, rapid.Uint64().Draw(t, "seed"))
		s.refuse = rapid.Bool().Draw(t, "refuse")
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
				s.cut = func(a, b string) bool { return (a < s.names[size]) != (b < s.names[size]) }
			case 4:
				a, b := n.name, name("other")
				s.cut = func(x, y string) bool { return (x == a && y == b) || (x == b && y == a) }
			case 5:
				if n.up && !n.paused {
					n.hint(s, name("hint"))
				}
			case 6:
				// A lagging list that names nobody, or this node as leaving.
				if n.up && !n.paused {
					s.do(n, n.m.PlatformList([]PlatformEntry{{Name: name("listed"), Leaving: true}}, s.now))
				}
			}
			s.runFor(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * ms)
		}
		s.cut = func(_, _ string) bool { return false }
		for _, n := range s.nodes {
			n.paused = false
		}
		s.runFor(30 * time.Second)
		for _, a := range s.nodes {
			for _, b := range s.nodes {
				if !a.up || a == b {
					continue
				}
				state, known := a.m.State(b.name)
				if b.up {
					assert.Assert(t, known && state == Alive, "%s holds live %s for %s", a.name, b.name, state)
				} else {
					assert.Assert(t, !known || state == Dead, "%s holds dead %s for %s", a.name, b.name, state)
				}
			}
			if a.up {
				assert.Equal(t, a.m.sum, a.m.recomputedSum())
			}
		}
	})
}

func (m *Machine) recomputedSum() (sum uint64) {
	for _, in := range m.Members() {
		sum ^= checksum(in)
	}
	return sum
}

// Guards against a single broken link that makes a peer suspect or dead.
func TestOneCutLinkCausesNoDeath(t *testing.T) {
	s := newNet(9, 3)
	s.settle()
	a, b := s.names[1], s.names[2]
	s.cut = func(x, y string) bool { return (x == a && y == b) || (x == b && y == a) }
	s.nodes[a].hint(s, b)
	s.runFor(time.Minute)
	for _, n := range s.nodes {
		assert.Equal(t, n.deaths+n.suspicions, 0, n.name)
		assert.Equal(t, len(n.m.Live()), 9)
	}
}

// Guards against a woken process that declares all its peers dead.
func TestPausedProcessRejoins(t *testing.T) {
	s := newNet(9, 4)
	s.settle()
	s.runFor(2 * time.Second)
	n := s.nodes[s.names[4]]
	n.paused = true
	s.runFor(10 * time.Second)
	holding, running := s.seen(n.name, Dead)
	assert.Equal(t, holding, running)
	n.paused = false
	s.runFor(10 * time.Second)
	assert.Equal(t, n.deaths, 0)
	holding, running = s.seen(n.name, Alive)
	assert.Equal(t, holding, running)
}

// Guards against refutations that come too late when messages are lost.
func TestMessageLossCausesNoDeath(t *testing.T) {
	s := newNet(360, 5)
	s.settle()
	s.cut = func(_, _ string) bool { return s.rand.Float64() < 0.05 }
	s.runFor(20 * time.Second)
	suspicions := 0
	for _, n := range s.nodes {
		suspicions += n.suspicions
		assert.Equal(t, n.deaths, 0, n.name)
	}
	assert.Assert(t, suspicions > 0, "the loss must cause suspicions")
}

// Guards against a suspicion that runs out while this process is paused and
// could not have heard the refutation.
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
	m := s.nodes[s.names[200]].m
	assert.Assert(t, len(m.hot) > 4*defaultMaxDeltas, "%d changes to spread", len(m.hot))
	for range 20 {
		assert.Assert(t, len(m.digest(nil).Deltas) <= burstFactor*defaultMaxDeltas)
	}
}

// Guards against work that is still placed on a leaving instance.
func TestLeavingIsNotLive(t *testing.T) {
	s := newNet(9, 6)
	s.settle()
	n := s.nodes[s.names[4]]
	actions := n.m.PlatformList([]PlatformEntry{{Name: n.name, Leaving: true}}, s.now)
	assert.DeepEqual(t, actions, []Action{ListedAsLeaving{}})
	reader := s.nodes[s.names[0]]
	list := []PlatformEntry{{Name: n.name, Address: "a lagging address", Leaving: true}, {Name: "unknown", Leaving: true}}
	advice := []Action{AdviseLeaving{Address: n.m.Self().Address}}
	assert.DeepEqual(t, reader.m.PlatformList(list, s.now), advice)
	s.do(n, n.m.Leave(s.now))
	s.runFor(3 * time.Second)
	assert.Equal(t, len(reader.m.PlatformList(list, s.now)), 0)
	for _, other := range s.nodes {
		assert.Equal(t, len(other.m.Live()), 8)
	}
}

// Guards against a leaving instance that owns upstreams again once it has
// stopped, because it turned from leaving to suspect before it was dead.
func TestStoppedInstanceDoesNotOwnAgain(t *testing.T) {
	s := newNet(9, 6)
	s.settle()
	n := s.nodes[s.names[4]]
	s.do(n, n.m.Leave(s.now))
	s.runFor(3 * time.Second)
	delete(s.nodes, n.name)
	for range 50 {
		s.runFor(100 * time.Millisecond)
		for _, other := range s.nodes {
			assert.Equal(t, len(other.m.Live()), 8)
		}
	}
}

// Guards against a healed partition of two regions that stays divided.
func TestLongPartitionHeals(t *testing.T) {
	s := newNet(120, 8)
	s.settle()
	half := s.names[60]
	s.cut = func(a, b string) bool { return (a < half) != (b < half) }
	s.runFor(2 * time.Minute)
	assert.Equal(t, len(s.nodes[half].m.Live()), 60)
	s.cut = func(_, _ string) bool { return false }
	start, whole := s.now, 0
	s.measure, s.bytes, s.fetches = true, 0, 0
	for whole < len(s.names) && s.now < start+5*time.Minute {
		s.runFor(time.Second)
		whole = 0
		for _, n := range s.nodes {
			if len(n.m.Live()) == len(s.names) {
				whole++
			}
		}
	}
	t.Logf("120 nodes agree %.0f s after the partition, with %.1f fetches per node and %.0f bytes per node per second besides",
		(s.now - start).Seconds(), float64(s.fetches)/120, float64(s.bytes)/120/(s.now-start).Seconds())
	assert.Equal(t, whole, len(s.names))
}
