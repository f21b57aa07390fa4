//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against reads of an instance without the store that finds a quorum with a leaving replica which the record names no more.
func TestQuorumWithLeavingReplicaNotNamed(t *testing.T) {
	t.Parallel()
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("instance starts before the name is removed=%t", before), func(t *testing.T) {
			underLoad(t, 1, simulated("i1", "near"), func(t *testing.T, c *cluster) {
				c.sim.ModelBranches()
				c.sim.Join("d")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d")
				time.Sleep(5 * time.Second)
				outside := []string{"c", "d", "i1", "new", "store"}
				c.sim.Drain("b")
				time.Sleep(4800 * time.Millisecond)
				c.isolate([]string{"b"}, outside)
				time.Sleep(1900 * time.Millisecond)
				c.isolate([]string{"near"}, outside)
				c.sim.Deregister("b")
				time.Sleep(200 * time.Millisecond)
				if before {
					c.start("new", c.sim.Store("new"))
				}
				time.Sleep(time.Second) // until the name is removed
				if !before {
					c.start("new", c.sim.Store("new"))
					time.Sleep(500 * time.Millisecond)
				}
				c.isolate([]string{"a"}, outside)
				c.isolate([]string{"i1"}, []string{"c", "d", "store"}) // so that it does not claim
				stop := c.loadOn(2, "new")
				defer stop()
				time.Sleep(8 * time.Second)
				assert.Check(t, c.sim.Promotions() <= 1)
			})
		})
	}
}

// Guards against reads and promotions that miss commits of a replica because it was missing once, and was back while no list was read.
func TestReplicaMissingBeforeGapInLists(t *testing.T) {
	t.Parallel()
	for _, departed := range []bool{false, true} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("departed=%t leaves=%t", departed, leaves), func(t *testing.T) {
				underLoad(t, 1, simulated("i1", "near"), func(t *testing.T, c *cluster) {
					c.sim.ModelBranches()
					c.sim.Join("d")
					c.awaitNamed(5*time.Second, "a", "b", "c", "d")
					time.Sleep(5 * time.Second)
					c.sim.Deregister("b")
					time.Sleep(1500 * time.Millisecond)
					if departed {
						time.Sleep(2 * time.Second)
					}
					c.sim.Partition("i1", "store")
					c.sim.Register("b")
					time.Sleep(10 * time.Second)
					inside, outside := []string{"b", "near"}, []string{"c", "d", "i1", "store"}
					c.isolate(inside, outside)
					if leaves {
						c.sim.Drain("b")
					} else {
						time.Sleep(2 * time.Second)
						c.sim.Deregister("b")
					}
					c.sim.Heal("i1", "store")
					time.Sleep(1500 * time.Millisecond)
					c.isolate([]string{"a"}, outside)
					if leaves {
						time.Sleep(5600 * time.Millisecond)
						c.sim.Leave("b", false)
					} else {
						time.Sleep(time.Second)
					}
					c.sim.Crash("a", true)
					time.Sleep(8 * time.Second)
					assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
				})
			})
		}
	}
}

// Guards against reads and promotions that miss commits of two replicas which leave at a time, each left out because the other one has them.
func TestTwoReplicasLeaveBesideOneBehind(t *testing.T) {
	t.Parallel()
	for _, apart := range []time.Duration{0, 700} {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("apart=%dms primary silent=%t", apart, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "idle")
					c.sim.ModelBranches()
					stop := c.loadOn(1, "i1")
					c.sim.Join("d")
					c.sim.Join("e")
					c.awaitNamed(5*time.Second, "a", "b", "c", "d", "e")
					time.Sleep(5 * time.Second)
					c.sim.SetReceiveLag("c", time.Minute)
					c.sim.SetReceiveLag("e", time.Minute)
					c.sim.Drain("b")
					time.Sleep(apart * time.Millisecond)
					c.sim.Drain("d")
					time.Sleep(7500*time.Millisecond - apart*time.Millisecond)
					c.sim.Leave("b", false)
					time.Sleep(apart * time.Millisecond)
					c.sim.Leave("d", false)
					time.Sleep(500 * time.Millisecond)
					stop()
					c.isolate([]string{"i1"}, []string{"c", "e", "store"}) // so that it does not claim
					c.sim.Crash("a", silent)
					stop = c.loadOn(2, "idle")
					time.Sleep(8 * time.Second)
					assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
					c.sim.Restart("a", false)
					time.Sleep(2 * time.Second)
					stop()
					c.closeSimulated()
				})
			})
		}
	}
}

// Guards against reads and promotions that miss commits of a leaving replica which was called for and ends before it is promoted.
func TestCalledReplicaLeaves(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{7500, 8000, 9000} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "near", "idle")
				c.sim.ModelBranches()
				stop := c.loadOn(1, "near")
				c.sim.Join("d")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d")
				time.Sleep(5 * time.Second)
				c.sim.Drain("b")
				time.Sleep(after * time.Millisecond)
				c.isolate([]string{"a"}, []string{"c", "d", "i1", "idle", "store"})
				stopOthers := c.loadOn(2, "i1", "idle")
				c.await(5*time.Second, "a call", func() bool { return c.sim.Calls() == 1 })
				assert.Check(t, c.sim.CalledFor() == "b")
				time.Sleep(100 * time.Millisecond)
				c.sim.Leave("b", false)
				c.sim.Crash("a", true)
				time.Sleep(25 * time.Second)
				assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
				stop()
				stopOthers()
				c.closeSimulated()
			})
		})
	}
}

// Guards against reads and promotions that miss commits of a replica which crashes while an instance that saw it missing reads no list.
func TestReplicaCrashesWithinGapInLists(t *testing.T) {
	t.Parallel()
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprintf("primary silent=%t", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "near")
				c.sim.ModelBranches()
				c.sim.Join("d")
				stop, stopNear := c.loadOn(1, "i1"), c.loadOn(2, "near")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d")
				time.Sleep(5 * time.Second)
				c.sim.Deregister("b")
				time.Sleep(3500 * time.Millisecond)
				c.sim.Partition("i1", "store")
				c.sim.Register("b")
				time.Sleep(8 * time.Second)
				stop()
				c.sim.SetReceiveLag("c", time.Minute)
				c.sim.SetReceiveLag("d", time.Minute)
				time.Sleep(2 * time.Second)
				c.sim.Crash("b", false)
				c.sim.Deregister("b")
				stop = c.loadOn(3, "i1")
				time.Sleep(300 * time.Millisecond)
				c.isolate([]string{"near"}, []string{"c", "d", "store"}) // so that it does not claim
				c.sim.Crash("a", silent)
				c.sim.Heal("i1", "store")
				time.Sleep(8 * time.Second)
				assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
				stop()
				stopNear()
				c.closeSimulated()
			})
		})
	}
}
