//go:build !race

// See simulated_test.go for why these tests do not build under the race detector.

package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/simulator"
	"github.com/papayarail/papayarail/proxy/statement"
)

// memberState returns what an instance knows of a member.
func (c *cluster) memberState(instance, member string) group.MemberState {
	return c.nodes[instance].State().Members[simulator.Service][member]
}

// atFullUse reports whether an instance uses all members without restriction.
func (c *cluster) atFullUse(instance string) bool {
	for _, m := range c.nodes[instance].State().Members[simulator.Service] {
		if m.Ejected != "" || m.PaceCause != "" || m.Limit != m.Full {
			return false
		}
	}
	return true
}

// Guards against a replica that keeps its share of the reads although it is slow or fails
// while it reports that it is well, against a second member that is out of use for it,
// and against one that is not used again.
func TestFailingReplicaIsAvoided(t *testing.T) {
	for name, fault := range map[string]simulator.ReadFault{
		"slow":   {Time: 30 * time.Millisecond},
		"errors": {FailEvery: 2, Reason: statement.Failed},
		"busy":   {FailEvery: 2, Reason: statement.Busy},
		"silent": {FailEvery: 1, Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSimulated(t, "i1", "i2")
				answered, refused, stop := c.readers(100)
				time.Sleep(5 * time.Second)
				refusedBefore := refused.Load() // at the start, all readers read at once
				c.sim.SetReadFault("b", fault)
				time.Sleep(5 * time.Second)
				before, answeredBefore := c.sim.ReadsOn("b"), answered.Load()
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					for instance := range c.nodes {
						for _, other := range []string{"a", "c"} {
							assert.Equal(t, c.memberState(instance, other).Ejected, "", "%s is well", other)
						}
					}
				}
				// 200 reads a second, of which 2 instances may send 10 each as probes.
				during := c.sim.ReadsOn("b") - before
				t.Logf("%d of %d reads sent to the faulty replica", during, answered.Load()-answeredBefore)
				assert.Assert(t, during <= 5*2*10, "%d reads", during)
				c.sim.SetReadFault("b", simulator.ReadFault{})
				healed := time.Now()
				c.await(8*time.Second, "full use", func() bool { return c.atFullUse("i1") && c.atFullUse("i2") })
				t.Logf("full use after %s", time.Since(healed).Round(time.Millisecond))
				before = c.sim.ReadsOn("b")
				time.Sleep(5 * time.Second)
				assert.Assert(t, c.sim.ReadsOn("b")-before > 100, "%d of 1000 reads after the fault", c.sim.ReadsOn("b")-before)
				assert.Equal(t, refused.Load(), refusedBefore)
				stop()
				c.closeSimulated()
			})
		})
	}
}

// Guards against a member that all instances avoid because it fails for one of them, as
// for the instances of one failure domain.
func TestMemberFailsForOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1", "i2")
		_, _, stop := c.readers(100)
		time.Sleep(3 * time.Second)
		c.sim.SetReadFault("b", simulator.ReadFault{FailEvery: 1, Reason: statement.Failed, Instance: "i1"})
		c.await(5*time.Second, "an ejection", func() bool { return c.memberState("i1", "b").Ejected != "" })
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.memberState("i1", "b").Ejected != "")
		assert.Assert(t, c.atFullUse("i2"))
		stop()
		c.closeSimulated()
	})
}

// Guards the rule that nothing changes while all members are well: no member is ejected
// or below its quota, under writes, transactions and reads, and after a start of the
// instances.
func TestWellMembersAtFullUse(t *testing.T) {
	underLoad(t, 3, simulated("i1", "i2"), func(t *testing.T, c *cluster) {
		_, refused, stop := c.readers(60)
		defer stop()
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, c.atFullUse("i1") && c.atFullUse("i2"))
		}
		assert.Equal(t, refused.Load(), int32(0))
	})
}

// Guards against a member that stays below full use although it is warm: one that has
// joined, and a new primary.
func TestWarmMembersReachFullUse(t *testing.T) {
	underLoad(t, 4, simulated("i1", "i2"), func(t *testing.T, c *cluster) {
		_, _, stop := c.readers(60)
		defer stop()
		c.sim.Join("d")
		c.await(4*time.Second, "the new member", func() bool { return c.memberState("i1", "d").Full > 0 })
		c.await(2*time.Second, "full use", func() bool { return c.atFullUse("i1") })
		c.sim.Crash("a", false)
		c.await(6*time.Second, "another primary", func() bool { return c.sim.Primary() != "a" })
		primary := c.sim.Primary()
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.memberState("i1", primary).PaceCause, "")
		c.sim.Restart("a", false)
		time.Sleep(time.Second)
	})
}

// Guards against a faulty replica that each instance probes on its own: its gateways
// refuse the reads of the others.
func TestGatewayAvoidsFailingReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLargeCluster(t)
		answered, refused, stop := c.readers(100)
		time.Sleep(3 * time.Second)
		refusedBefore := refused.Load()
		c.sim.SetReadFault("b", simulator.ReadFault{FailEvery: 1, Reason: statement.Failed})
		time.Sleep(5 * time.Second)
		before, answeredBefore := c.sim.ReadsOn("b"), answered.Load()
		time.Sleep(10 * time.Second)
		during := c.sim.ReadsOn("b") - before
		t.Logf("%d of %d reads sent to the faulty replica", during, answered.Load()-answeredBefore)
		// Two gateways send a probe every 0.8 s each.
		assert.Assert(t, during <= 10*2*2, "%d reads", during)
		assert.Equal(t, refused.Load(), refusedBefore)
		stop()
		c.closeSimulated()
	})
}
