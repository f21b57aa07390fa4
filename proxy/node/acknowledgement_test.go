//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"time"
)

// failoverDelays are times from a change of the members to the loss of the primary.
var failoverDelays = []time.Duration{20, 50, 100, 200, 400, 700, 1200}

// Guards against commits that only a replica behind a cut has, which the instances outside
// cannot know (review/2, 22 to 80 commits lost).
func TestReplicaJoinsBehindCut(t *testing.T) {
	for _, after := range failoverDelays {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				time.Sleep(time.Second)
				c.isolate([]string{"a", "d", "near"}, []string{"b", "c", "i1", "i2", "store"})
				time.Sleep(after * time.Millisecond)
				c.sim.Join("d")
				c.sim.Deregister("d")
				time.Sleep(5 * time.Second)
				c.rejoin([]string{"a", "d", "near"}, []string{"b", "c", "i1", "i2", "store"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against commits that only a replica has which registered after the holder of the
// claim had read the list of members.
func TestPrimaryLostAfterReplicaJoins(t *testing.T) {
	for at := 1000; at < 2000; at += 140 {
		t.Run(fmt.Sprintf("at=%dms", at), func(t *testing.T) {
			underLoad(t, uint64(at), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				time.Sleep(time.Duration(at) * time.Millisecond)
				c.sim.SetReceiveLag("b", 10*time.Second)
				c.sim.SetReceiveLag("c", 10*time.Second)
				c.sim.Join("d")
				time.Sleep(50 * time.Millisecond)
				c.sim.Crash("a", true)
				time.Sleep(4 * time.Second)
				c.sim.Restart("a", false)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against commits that only a leaving replica has when the primary is lost: its log
// is gone with it.
func TestPrimaryLostAfterReplicaLeaves(t *testing.T) {
	for _, after := range []time.Duration{0, 1, 3, 4, 5, 7} {
		t.Run(fmt.Sprintf("after=%ds", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				c.sim.Join("d")
				time.Sleep(time.Second)
				c.sim.Drain("d")
				time.Sleep(2 * time.Second)
				c.sim.SetReceiveLag("b", 20*time.Second)
				c.sim.SetReceiveLag("c", 20*time.Second)
				time.Sleep(500 * time.Millisecond)
				c.sim.Crash("d", false)
				c.sim.Deregister("d")
				time.Sleep(after * time.Second)
				c.sim.Crash("a", true)
				time.Sleep(9 * time.Second)
				c.sim.Restart("a", false)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against commits that a replica has received after a restart has ended its pause,
// while the promotion of another one is pending (decisions/0012, open cases).
func TestPausedReplicaRestartsDuringFailover(t *testing.T) {
	for _, after := range []time.Duration{0, 100, 300, 600, 900} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				time.Sleep(time.Second)
				// The primary reaches the replicas and one instance, which does not reach the store.
				c.isolate([]string{"a"}, []string{"i1", "i2", "store"})
				c.isolate([]string{"near"}, []string{"i1", "i2", "store"})
				c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
				other := "b"
				if c.sim.CalledFor() == "b" {
					other = "c"
				}
				time.Sleep(after * time.Millisecond)
				c.sim.Crash(other, false)
				c.sim.Restart(other, false)
				time.Sleep(4 * time.Second)
				c.rejoin([]string{"a", "near"}, []string{"i1", "i2", "store"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// isolate drops the traffic between each node of one list and each of the other.
func (c *cluster) isolate(inside, outside []string) { c.eachPair(inside, outside, c.sim.Partition) }

// rejoin ends isolate.
func (c *cluster) rejoin(inside, outside []string) { c.eachPair(inside, outside, c.sim.Heal) }

func (c *cluster) eachPair(inside, outside []string, do func(a, b string)) {
	for _, in := range inside {
		for _, out := range outside {
			do(in, out)
		}
	}
}
