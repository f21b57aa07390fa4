//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a publication that takes a crashed replica, which comes back with its log, for one that has ended.
func TestPublicationBesideReplicaThatRestarts(t *testing.T) {
	for _, down := range []time.Duration{0, 100, 300} { // ms; 0: no crash
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("down=%dms/%d", down, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "i2")
					c.sim.SetPromoteTime(500 * time.Millisecond)
					c.sim.EndPausesBehindCuts()
					c.sim.Join("d")
					stopReads, stopWrites, stopOther := c.readStrictly("i1"), c.loadOn(seed, "i1"), c.loadOn(seed+9, "i2")
					time.Sleep(4*time.Second + time.Duration(seed)*130*time.Millisecond)
					c.sim.Partition("i1", "store")
					c.sim.Partition("i2", "a")
					c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
					near, outside := "b", []string{"c", "d", "i2", "store"}
					if c.sim.CalledFor() == "b" {
						near, outside = "c", []string{"b", "d", "i2", "store"}
					}
					c.isolate([]string{"a", near, "i1"}, outside)
					c.sim.Heal(near, "i2")
					c.sim.DropReplies(2)
					stopWrites()
					c.sim.DropReplies(0)
					c.await(5*time.Second, "a new primary", func() bool { return c.sim.Promotions() == 1 })
					time.Sleep(500 * time.Millisecond)
					if down > 0 {
						c.sim.Crash(near, false)
						time.Sleep(down * time.Millisecond)
						c.sim.Restart(near, false)
					}
					time.Sleep(4 * time.Second)
					c.rejoin([]string{"a", near, "i1"}, outside)
					time.Sleep(2 * time.Second)
					stopReads()
					stopOther()
					c.closeSimulated()
				})
			})
		}
	}
}

// Guards against a promotion without notice because of a crashed primary, which is back before it takes effect.
func TestPromotionWithoutNoticeBesidePrimaryThatRestarts(t *testing.T) {
	for _, promoteTime := range []time.Duration{200, 300, 500} {
		for _, lost := range []time.Duration{0, 60, 120} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("promote=%dms/lost=%dms/%d", promoteTime, lost, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newSimulated(t, "i1", "i2")
						c.sim.SetPromoteTime(promoteTime * time.Millisecond)
						c.sim.EndPausesBehindCuts()
						c.sim.Join("d")
						stopReads, stopWrites, stopOther := c.readStrictly("i1"), c.loadOn(seed, "i1"), c.loadOn(seed+9, "i2")
						time.Sleep(6*time.Second + time.Duration(seed)*130*time.Millisecond)
						c.sim.Crash("a", false)
						time.Sleep(lost * time.Millisecond)
						c.sim.Partition("i1", "store")
						c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
						near, outside := "b", []string{"c", "d", "i2", "store"}
						if c.sim.CalledFor() == "b" {
							near, outside = "c", []string{"b", "d", "i2", "store"}
						}
						c.isolate([]string{"a", near, "i1"}, outside)
						c.sim.Restart("a", false)
						time.Sleep(4 * time.Second)
						c.rejoin([]string{"a", near, "i1"}, outside)
						time.Sleep(2 * time.Second)
						stopWrites()
						stopReads()
						stopOther()
						c.closeSimulated()
					})
				})
			}
		}
	}
}

// Guards against an instance without the store that passes on commits which rest on a restarted replica that others have left out.
func TestRestartedReplicaThatOthersHaveLeftOut(t *testing.T) {
	t.Parallel()
	for _, down := range []time.Duration{4000, 4500, 5000} {
		t.Run(fmt.Sprintf("down=%dms", down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "near")
				c.sim.ModelBranches()
				c.sim.Join("d")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d")
				stopNear := c.loadOn(1, "near")
				time.Sleep(8 * time.Second)
				c.sim.Partition("near", "store")
				c.sim.Crash("b", false)
				c.sim.Deregister("b")
				time.Sleep(down * time.Millisecond)
				c.sim.Restart("b", false)
				c.sim.Crash("c", false)
				c.sim.Crash("d", false)
				time.Sleep(time.Second)
				c.sim.Crash("a", true)
				c.sim.Crash("b", false)
				c.sim.Restart("c", false)
				c.sim.Restart("d", false)
				stop := c.loadOn(2, "i1")
				time.Sleep(8 * time.Second)
				c.sim.Heal("near", "store")
				c.sim.Restart("a", false)
				time.Sleep(3 * time.Second)
				stop()
				stopNear()
				c.closeSimulated()
			})
		})
	}
}
