//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a change that is aborted while a promotion that got no answer may still
// take effect: the members go on, and the called-for one lacks what others acknowledged.
func TestLatePromotionAfterPrimaryIsBack(t *testing.T) {
	for _, late := range []time.Duration{1, 3, 4, 6, 9} {
		t.Run(fmt.Sprintf("late=%ds", late), func(t *testing.T) {
			underLoad(t, uint64(late), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				time.Sleep(4 * time.Second)
				c.sim.HoldPromotions(1)
				c.sim.Crash("a", true)
				c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
				c.sim.Restart("a", false)
				c.sim.SetReceiveLag(c.sim.CalledFor(), 60*time.Millisecond)
				time.Sleep(late * time.Second)
				c.sim.ReleaseHeld()
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// Guards against the promotion of another member while one that got no answer may still
// take effect.
func TestLatePromotionAfterAnother(t *testing.T) {
	for _, late := range []time.Duration{0, 300, 1000, 2000} {
		t.Run(fmt.Sprintf("late=%dms", late), func(t *testing.T) {
			underLoad(t, uint64(late), simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				c.sim.Join("d")
				time.Sleep(4 * time.Second)
				c.sim.HoldPromotions(9)
				c.sim.Crash("a", true)
				c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
				called := c.sim.CalledFor()
				// Among members with equal logs, one that is not leaving is preferred.
				c.sim.Drain(called)
				c.sim.SetReceiveLag(called, 60*time.Millisecond)
				c.await(5*time.Second, "another call", func() bool { return c.sim.Calls() > 1 })
				c.sim.HoldPromotions(0)
				time.Sleep(late * time.Millisecond)
				c.sim.ReleaseHeld()
				time.Sleep(3 * time.Second)
				c.sim.Restart("a", false)
				time.Sleep(2 * time.Second)
			})
		})
	}
}
