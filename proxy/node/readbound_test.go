//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/simulator"
)

// Guards against strict reads without the primary that miss a commit which rests on the announced
// candidate: it has joined after the reading instance last read the members.
func TestStrictReadWithoutKnowingCandidate(t *testing.T) {
	for _, promoteTime := range promoteTimes {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("promote=%s/%d", promoteTime, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "i2")
					c.sim.SetPromoteTime(promoteTime)
					stop, stopReads := c.loadOn(seed, "i1"), c.readStrictly("i2")
					time.Sleep(4*time.Second + time.Duration(seed)*130*time.Millisecond)
					c.sim.SetReceiveLag("b", 300*time.Millisecond)
					c.sim.SetReceiveLag("c", 300*time.Millisecond)
					c.isolate([]string{"i2"}, []string{"a", "d", "store"})
					c.sim.Join("d")
					for _, id := range []string{"b", "c", "a"} { // so that no other member can be announced
						c.sim.Drain(id)
					}
					c.await(5*time.Second, "an announcement", func() bool { return c.sim.Claim().Candidate != "" })
					assert.Check(t, c.sim.Claim().Candidate == "d")
					time.Sleep(4 * time.Second)
					c.rejoin([]string{"i2"}, []string{"a", "d", "store"})
					time.Sleep(2 * time.Second)
					stop()
					stopReads()
					c.closeSimulated()
				})
			})
		}
	}
}

// Guards against the same on a primary that has joined and been promoted since then, while the
// replica that proves its commits does not answer the reading instance and the former primary does.
func TestStrictReadWithoutKnowingPrimary(t *testing.T) {
	for _, promoteTime := range promoteTimes {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("promote=%s/%d", promoteTime, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "i2")
					c.sim.SetPromoteTime(promoteTime)
					stops := []func(){c.readStrictly("i1"), c.readStrictly("i2")}
					c.writeFor("i1", 4*time.Second+time.Duration(seed)*600*time.Millisecond)
					c.isolate([]string{"i2"}, []string{"b", "a0", "store"})
					c.sim.Join("a0") // preferred among equal logs
					time.Sleep(100 * time.Millisecond)
					c.isolate([]string{"a"}, []string{"i1", "b", "c", "a0"})
					c.await(5*time.Second, "a promotion", func() bool { return c.sim.Promotions() == 1 })
					assert.Check(t, c.sim.Primary() == "a0")
					c.sim.SetReceiveLag("c", 20*time.Second)
					stops = append(stops, c.loadOn(seed, "i1"))
					time.Sleep(3 * time.Second)
					c.rejoin([]string{"a"}, []string{"i1", "b", "c", "a0"})
					c.rejoin([]string{"i2"}, []string{"b", "a0", "store"})
					c.sim.SetReceiveLag("c", 0)
					time.Sleep(2 * time.Second)
					for _, stop := range stops {
						stop()
					}
					c.closeSimulated()
				})
			})
		}
	}
}

// Guards against strict reads of an instance that does not know the primary, which has left with
// its log: only a replica that does not answer has its last commits.
func TestStrictReadAfterPrimaryLeft(t *testing.T) {
	for _, promoteTime := range promoteTimes {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("promote=%s/silent=%t", promoteTime, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "i2")
					c.sim.SetPromoteTime(promoteTime)
					c.sim.Join("d")
					stop := c.load(1)
					time.Sleep(5 * time.Second)
					c.sim.SetReceiveLag("c", 20*time.Second)
					c.sim.SetReceiveLag("d", 20*time.Second)
					time.Sleep(500 * time.Millisecond)
					c.sim.Leave("a", silent)
					stopReads := c.readOnNew("new", "b")
					time.Sleep(4 * time.Second)
					c.sim.Heal("new", "b")
					c.sim.SetReceiveLag("c", 0)
					c.sim.SetReceiveLag("d", 0)
					time.Sleep(2 * time.Second)
					stop()
					stopReads()
					c.closeSimulated()
				})
			})
		}
	}
}

// readOnNew starts an instance that does not reach the named nodes, and reads there until it is
// stopped.
func (c *cluster) readOnNew(instance string, unreachable ...string) (stop func()) {
	c.isolate([]string{instance}, unreachable)
	c.start(instance, c.sim.Store(instance))
	c.await(5*time.Second, "an instance that is ready", func() bool {
		return c.nodes[instance].Ready() && c.nodes[instance].State().Groups[simulator.Service].Primary.Member != ""
	})
	return c.readStrictly(instance)
}

// Guards against strict reads of an instance that has started while the primary and a replica are
// behind a cut, and after their entries have expired.
func TestStrictReadOfNewInstance(t *testing.T) {
	for _, after := range []time.Duration{0, 1, 2} {
		t.Run(fmt.Sprintf("after=%ds", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "near")
				c.sim.Join("d")
				c.sim.Join("e")
				stop := c.load(1)
				time.Sleep(5 * time.Second)
				inside, outside := []string{"a", "b", "near"}, []string{"c", "d", "e", "i1", "store"}
				c.isolate(inside, outside)
				time.Sleep(3 * time.Second)
				c.sim.Deregister("a")
				c.sim.Deregister("b") // three heartbeats of silence
				time.Sleep(after * time.Second)
				stopReads := c.readOnNew("new", "a", "b", "near")
				time.Sleep(6 * time.Second)
				c.sim.Register("a")
				c.sim.Register("b")
				c.rejoin(inside, append(outside, "new"))
				time.Sleep(2 * time.Second)
				stop()
				stopReads()
				c.closeSimulated()
			})
		})
	}
}

// Guards against strict reads that miss a commit which rests on crashed members that have come
// back with their logs after the reading instance has forgotten them: one without the store still
// knows them, and not those that have joined.
func TestStrictReadBesideForgottenMembers(t *testing.T) {
	for _, after := range []time.Duration{8, 12} {
		t.Run(fmt.Sprintf("after=%ds", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "i2", "old")
				stop := c.loadOn(1, "i1", "i2", "old")
				time.Sleep(3 * time.Second)
				c.sim.Partition("old", "store")
				c.sim.Join("d")
				c.sim.Join("e")
				time.Sleep(4 * time.Second)
				for _, id := range []string{"b", "c"} {
					c.sim.Crash(id, true)
					c.sim.Deregister(id)
				}
				time.Sleep(after * time.Second)
				c.sim.SetReceiveLag("d", 300*time.Millisecond)
				c.sim.SetReceiveLag("e", 300*time.Millisecond)
				stopReads := c.readStrictly("i2")
				c.sim.Restart("b", false)
				c.sim.Restart("c", false)
				time.Sleep(time.Second)
				c.isolate([]string{"i2"}, []string{"a", "store"})
				time.Sleep(4 * time.Second)
				c.rejoin([]string{"i2"}, []string{"a", "store"})
				c.sim.Heal("old", "store")
				c.sim.Register("b")
				c.sim.Register("c")
				time.Sleep(2 * time.Second)
				stop()
				stopReads()
				c.closeSimulated()
			})
		})
	}
}
