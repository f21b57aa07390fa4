//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against reads and promotions that miss commits of a departed replica because another member runs at its address.
func TestDepartedReplicaWhoseAddressIsTaken(t *testing.T) {
	t.Parallel()
	for _, lost := range []bool{false, true} {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("lost=%t primary silent=%t", lost, silent), func(t *testing.T) {
				underLoad(t, 1, simulated("i1", "near", "i3"), func(t *testing.T, c *cluster) {
					c.sim.ModelBranches()
					time.Sleep(5 * time.Second)
					inside, outside := []string{"a", "b", "near"}, []string{"c", "i1", "i3", "store"}
					c.isolate(inside, outside)
					time.Sleep(2 * time.Second)
					c.endReplica("b", lost)
					c.sim.Crash("a", silent)
					c.rejoin(inside, outside)
					c.sim.TakeAddress("b", "e", "c")
					time.Sleep(12 * time.Second)
					assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
					c.sim.Restart("a", false)
					gap := c.writeGap("i1", 5*time.Second)
					assert.Check(t, gap < 3*time.Second, "gap %s after the primary is back", gap)
				})
			})
		}
	}
}

// Guards against a group without a primary in a release, after a replica was replaced with its log and the primary was lost.
func TestPrimaryLostAfterReplicaWasReplaced(t *testing.T) {
	t.Parallel()
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprintf("primary silent=%t", silent), func(t *testing.T) {
			underLoad(t, 1, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				c.sim.ModelBranches()
				time.Sleep(5 * time.Second)
				c.endReplica("b", false)
				c.sim.Crash("a", silent)
				c.sim.TakeAddress("b", "e", "b")
				gap := c.writeGap("i1", 15*time.Second)
				assert.Check(t, gap < 7*time.Second, "gap %s", gap)
			})
		})
	}
}

// endReplica ends a replica for good: it leaves, or it crashes without a report.
func (c *cluster) endReplica(id string, lost bool) {
	if lost {
		time.Sleep(2 * time.Second)
		c.sim.Crash(id, false)
		c.sim.Deregister(id)
		return
	}
	c.sim.Drain(id)
	time.Sleep(7 * time.Second)
	c.sim.Leave(id, false)
}
