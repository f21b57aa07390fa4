//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
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
