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

// Guards against reads that rest on a bound which counts a replica that has restarted without its log.
func TestReadBoundCountsRestartedReplica(t *testing.T) {
	t.Parallel()
	for _, withStore := range []bool{true, false} {
		for _, after := range []time.Duration{0, 200, 800} {
			t.Run(fmt.Sprintf("store=%t/%dms", withStore, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "i2")
					c.sim.ModelBranches()
					stops := []func(){c.loadOn(1, "i1"), c.readOn("i2")}
					time.Sleep(5*time.Second + after*time.Millisecond)
					c.sim.SetReceiveLag("c", 20*time.Second)
					time.Sleep(3 * time.Second)
					if !withStore {
						c.sim.Partition("i2", "store")
					}
					c.sim.SetReceiveLag("b", 2500*time.Millisecond)
					c.sim.Crash("b", false)
					c.sim.Restart("b", true)
					time.Sleep(60 * time.Millisecond) // b has received a part of the log
					c.sim.Crash("a", true)
					time.Sleep(6 * time.Second)
					c.sim.Heal("i2", "store")
					c.sim.Restart("a", false)
					time.Sleep(3 * time.Second)
					for _, stop := range stops {
						stop()
					}
					c.closeSimulated()
				})
			})
		}
	}
}

// Guards against reads on a former primary that has restarted without its log and follows its successor.
func TestReadOnRestartedFormerPrimary(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{100, 600} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "i2")
				c.sim.ModelBranches()
				stop := c.loadOn(1, "i1")
				time.Sleep(5 * time.Second)
				s := c.open("i2", simulator.Database)
				assert.NilError(t, c.read(s, 0))
				time.Sleep(3 * time.Second)
				c.isolate([]string{"i2"}, []string{"b", "c", "store"})
				c.sim.SetReceiveLag("a", 3*time.Second)
				c.sim.Crash("a", false)
				time.Sleep(after * time.Millisecond)
				c.sim.Restart("a", true)
				stopReads := c.readOn("i2")
				time.Sleep(6 * time.Second)
				c.rejoin([]string{"i2"}, []string{"b", "c", "store"})
				stop()
				stopReads()
				s.leave()
				c.closeSimulated()
			})
		})
	}
}

// Guards against the promotion of a replica that has restarted without its log, which the list does not show.
func TestPromotionOfRestartedReplica(t *testing.T) {
	t.Parallel()
	for _, missing := range []time.Duration{0, 1200, 2000} {
		t.Run(fmt.Sprintf("missing=%dms", missing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "i2")
				c.sim.ModelBranches()
				stops := []func(){c.loadOn(1, "i1"), c.readOn("i2")}
				time.Sleep(5 * time.Second)
				c.sim.SetReceiveLag("c", 30*time.Second)
				time.Sleep(3 * time.Second)
				if missing > 0 {
					c.sim.Deregister("b")
					time.Sleep(missing * time.Millisecond)
				}
				c.sim.SetReceiveLag("b", 2500*time.Millisecond)
				c.sim.Crash("b", false)
				c.sim.Restart("b", true)
				time.Sleep(60 * time.Millisecond) // b has received a part of the log
				c.sim.Partition("i1", "store")    // so that i2, which has not asked b, holds the claim
				c.sim.Crash("a", missing > 0)
				time.Sleep(3 * time.Second)
				c.sim.Register("b")
				time.Sleep(3 * time.Second)
				assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
				c.sim.Heal("i1", "store")
				c.sim.SetReceiveLag("b", 0)
				c.sim.SetReceiveLag("c", 0)
				c.sim.Restart("a", false)
				gap := c.writeGap("i2", 5*time.Second)
				assert.Check(t, gap < 3*time.Second, "gap %s after the primary is back", gap)
				for _, stop := range stops {
					stop()
				}
				c.closeSimulated()
			})
		})
	}
}

// Guards against the first reads of an instance on a primary that has just restarted without its log.
func TestFirstReadOnRestartedPrimary(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{0, 50, 150, 300} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "i2")
				c.sim.ModelBranches()
				stop := c.loadOn(1, "i1")
				time.Sleep(8 * time.Second)
				c.sim.Crash("a", false)
				c.sim.Restart("a", true)
				time.Sleep(after * time.Millisecond)
				stopReads := c.readOn("i2")
				time.Sleep(6 * time.Second)
				stop()
				stopReads()
				c.closeSimulated()
			})
		})
	}
}
