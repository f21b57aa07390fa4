//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayarail/papayarail/proxy/simulator"
)

// promoteTimes are times from a call for a promotion until it takes effect.
var promoteTimes = []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second}

// writeFor writes on an instance for a time, and waits until all replicas have the commits.
func (c *cluster) writeFor(instance string, d time.Duration) {
	stop := c.loadOn(1, instance)
	time.Sleep(d)
	stop()
	time.Sleep(50 * time.Millisecond)
}

// Guards against a primary that an instance without the store adopts while the leases that an
// announcement has extended are in force: the announced change went on at once, without the old
// primary, because a replica had restarted.
func TestAdoptedPrimaryBesideAnnouncement(t *testing.T) {
	for _, promoteTime := range promoteTimes {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("promote=%s/%d", promoteTime, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "i2", "i3")
					c.sim.SetPromoteTime(promoteTime)
					c.sim.Join("d")
					c.writeFor("i1", 4*time.Second+time.Duration(seed)*130*time.Millisecond)
					c.sim.Partition("i1", "store")
					c.sim.Drain("a")
					c.await(5*time.Second, "an announcement", func() bool { return c.sim.Claim().Candidate != "" })
					other := "b"
					if c.sim.Claim().Candidate == "b" {
						other = "c"
					}
					c.sim.Crash(other, false)
					c.await(5*time.Second, "a former primary", func() bool { return c.sim.IsReplica("a") })
					c.sim.Restart(other, false)
					c.sim.SetReceiveLag("a", 700*time.Millisecond)
					stops := []func(){c.loadOn(seed, "i1"), c.readStrictly("i2"), c.readStrictly("i3")}
					time.Sleep(6 * time.Second)
					c.sim.Heal("i1", "store")
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

// Guards against the same after a promotion without an answer has taken effect late, with a
// record without a claim that goes on granting leases on the other primary.
func TestAdoptedPrimaryBesideRecord(t *testing.T) {
	for _, promoteTime := range promoteTimes {
		for _, late := range []time.Duration{0, 1200, 2000} {
			t.Run(fmt.Sprintf("promote=%s/late=%dms", promoteTime, late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "i2")
					c.sim.SetPromoteTime(promoteTime)
					c.sim.Join("d")
					c.writeFor("i1", 4*time.Second)
					c.sim.HoldPromotions(1)
					c.sim.Crash("a", true)
					stop := c.loadOn(uint64(late), "i1")
					c.await(9*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
					called := c.sim.CalledFor()
					c.await(9*time.Second, "a new primary", func() bool { return c.sim.Promotions() == 1 })
					c.sim.Restart("a", false)
					stop() // so that the position of its log does not tell the former primary
					c.sim.Drain(called)
					c.await(9*time.Second, "its successor", func() bool { return c.sim.Promotions() == 2 })
					other := c.sim.Primary()
					c.await(9*time.Second, "its record", func() bool { return c.nodes["i1"].State().Groups[simulator.Service].Primary.Member == other })
					c.sim.Partition("i1", "store")
					time.Sleep(late * time.Millisecond)
					c.sim.ReleaseHeld()
					c.sim.SetReceiveLag(other, 2*time.Second)
					stops := []func(){c.loadOn(uint64(late), "i1"), c.readStrictly("i2")}
					time.Sleep(5 * time.Second)
					c.sim.Heal("i1", "store")
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
