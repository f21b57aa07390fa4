//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against reads and promotions that miss commits of a replica which has left behind a cut.
func TestReplicaLeavesBehindCut(t *testing.T) {
	for _, after := range []time.Duration{500, 2000, 5000} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, 1, simulated("i1", "near", "i3"), func(t *testing.T, c *cluster) {
				c.sim.ModelBranches()
				c.sim.Join("d")
				time.Sleep(4 * time.Second)
				inside, outside := []string{"a", "b", "near"}, []string{"c", "d", "i1", "i3", "store"}
				c.isolate(inside, outside)
				time.Sleep(after * time.Millisecond)
				c.sim.Drain("b")
				time.Sleep(7 * time.Second)
				c.sim.Leave("b", false)
				time.Sleep(8 * time.Second)
				c.rejoin(inside, outside)
				gap := c.writeGap("i1", 5*time.Second)
				assert.Check(t, gap < 3*time.Second, "gap %s after the end of the cut", gap)
				c.awaitNamed(20*time.Second, "a", "c", "d")
			})
		})
	}
}

// Guards against the same after registrations have expired, on an instance without callers.
func TestIdleInstanceBesideExpiredRegistrations(t *testing.T) {
	for _, idle := range []time.Duration{9, 12} {
		t.Run(fmt.Sprintf("idle=%ds", idle), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "near")
				c.sim.ModelBranches()
				c.sim.Join("d")
				stopNear := c.loadOn(2, "near")
				time.Sleep(4 * time.Second)
				inside, outside := []string{"a", "b", "near"}, []string{"c", "d", "i1", "store"}
				c.isolate(inside, outside)
				c.sim.Deregister("b")
				time.Sleep(3 * time.Second)
				stopNear()
				time.Sleep((idle - 3) * time.Second)
				stop := c.loadOn(1, "i1")
				time.Sleep(4 * time.Second)
				c.sim.Register("b")
				c.rejoin(inside, outside)
				gap := c.writeGap("i1", 5*time.Second)
				assert.Check(t, gap < 3*time.Second, "gap %s after the end of the cut", gap)
				stop()
				c.closeSimulated()
			})
		})
	}
}

// Guards against the same after a replica has crashed, whose address refuses connections.
func TestReplicaCrashesBeforeSilentPrimary(t *testing.T) {
	for _, newInstance := range []bool{false, true} {
		t.Run(fmt.Sprintf("new instance=%t", newInstance), func(t *testing.T) {
			underLoad(t, 1, simulated("i1", "i2"), func(t *testing.T, c *cluster) {
				c.sim.ModelBranches()
				c.sim.Join("d")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d")
				time.Sleep(4 * time.Second)
				c.sim.SetReceiveLag("c", 20*time.Second)
				c.sim.SetReceiveLag("d", 20*time.Second)
				time.Sleep(500 * time.Millisecond)
				c.sim.Crash("b", false)
				c.sim.Crash("a", true)
				c.sim.Deregister("b")
				if newInstance {
					time.Sleep(3 * time.Second)
					c.start("new", c.sim.Store("new"))
					stop := c.loadOn(2, "new")
					defer stop()
				}
				time.Sleep(12 * time.Second)
				assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
				c.sim.SetReceiveLag("c", 0)
				c.sim.SetReceiveLag("d", 0)
				c.sim.Restart("b", false)
				c.sim.Register("b")
				gap := c.writeGap("i1", 8*time.Second)
				assert.Check(t, gap < 4*time.Second, "gap %s after the replica is back", gap)
				c.sim.Restart("a", false)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against two replicas that depart together and that are each left out because the other one has its commits.
func TestReplicasThatDepartTogether(t *testing.T) {
	t.Parallel()
	for _, apart := range []time.Duration{0, 300, 1000} {
		t.Run(fmt.Sprintf("apart=%dms", apart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "near")
				c.sim.ModelBranches()
				c.sim.Join("d")
				c.sim.Join("e")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d", "e")
				stopNear := c.loadOn(1, "near")
				time.Sleep(4 * time.Second)
				for _, lagging := range []string{"c", "e"} {
					c.sim.SetReceiveLag(lagging, time.Minute)
				}
				time.Sleep(2 * time.Second)
				c.sim.Drain("b")
				time.Sleep(apart * time.Millisecond)
				c.sim.Drain("d")
				time.Sleep(9 * time.Second)
				c.sim.Leave("b", false)
				c.sim.Leave("d", false)
				c.sim.Crash("a", true)
				c.isolate([]string{"near"}, []string{"i1", "store", "c", "e"})
				stop := c.loadOn(2, "i1")
				time.Sleep(12 * time.Second)
				assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
				c.rejoin([]string{"near"}, []string{"i1", "store", "c", "e"})
				c.sim.Restart("a", false)
				time.Sleep(3 * time.Second)
				stop()
				stopNear()
				c.closeSimulated()
			})
		})
	}
}
