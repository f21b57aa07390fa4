//go:build !race

package node_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayarail/papayarail/proxy/node"
	"github.com/papayarail/papayarail/proxy/simulator"
)

// newDrainCluster starts instances that poll each other, beside members that take statements
// for 7 s after they have reported that they leave.
func newDrainCluster(t *testing.T, names ...string) *cluster {
	c := startCluster(t, true, nil)
	c.drainTime = 7 * time.Second
	c.sim.SetDrainTime(c.drainTime)
	c.pace = time.Sleep
	for _, name := range names {
		c.startWithWeight(name, c.sim.Store(name), 1)
	}
	c.await(10*time.Second, "all instances to be ready", func() bool {
		for _, n := range c.nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	return c
}

// leaveWithoutSuccessor lets the primary report that it leaves. It serves on, with a replica
// that has just joined, but is not replaced, as the other replicas do not answer.
func (c *cluster) leaveWithoutSuccessor(primary string) {
	c.sim.Join("d")
	time.Sleep(2 * time.Second)
	c.sim.Drain(primary)
	for _, id := range []string{"a", "b", "c"} {
		if id != primary {
			c.sim.Crash(id, true)
		}
	}
}

// Guards against statements that reach a leaving primary after its drain time through an
// instance that has started since the primary reported that it leaves: it counted the time from
// its own first list.
func TestInstanceStartsWhilePrimaryLeaves(t *testing.T) {
	for name, weight := range map[string]float64{"polls another instance": 0.5, "reads the store for all": 2} {
		for _, after := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 7 * time.Second} {
			t.Run(fmt.Sprint(name, " after ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newDrainCluster(t, "i1", "i2", "i3")
					time.Sleep(8 * time.Second) // until the list of instances is read rarely
					c.leaveWithoutSuccessor("a")
					time.Sleep(after)
					c.startWithWeight("new", c.sim.Store("new"), weight)
					stop := c.load(1)
					if after <= 1500*time.Millisecond {
						// The others know since when it leaves, and tell.
						s := c.open("new", simulator.Database)
						c.eventually(3*time.Second, func() error { return c.read(s, 0) })
						s.leave()
					}
					time.Sleep(12*time.Second - after)
					stop()
					c.closeSimulated()
				})
			})
		}
	}
}

// Guards against statements to a leaving primary after a drain time that has become shorter
// since the instances started.
func TestDrainTimeFollowsSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newDrainCluster(t, "i1", "i2", "i3")
		time.Sleep(8 * time.Second) // until the record names all members
		c.sim.SetDrainTime(4 * time.Second)
		for _, n := range c.nodes {
			n.SetPeriods(node.Periods{GracePeriod: 6 * time.Second, DrainTime: 4 * time.Second})
		}
		c.leaveWithoutSuccessor("a")
		stop := c.load(1)
		time.Sleep(8 * time.Second)
		stop()
		c.closeSimulated()
	})
}

// Guards against the same if all instances have started since, so that none knows when the
// primary reported that it leaves.
func TestAllInstancesStartWhilePrimaryLeaves(t *testing.T) {
	names := []string{"i1", "i2", "i3"}
	for _, after := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newDrainCluster(t, names...)
				time.Sleep(8 * time.Second) // until the record names all members
				c.leaveWithoutSuccessor("a")
				time.Sleep(after)
				c.restartInstances(names...)
				stop := c.load(1)
				time.Sleep(12*time.Second - after)
				stop()
				c.closeSimulated()
			})
		})
	}
}

// restartInstances ends all instances at the same moment and starts them again.
func (c *cluster) restartInstances(names ...string) {
	c.cancel()
	for _, l := range c.listeners {
		_ = l.Close()
	}
	c.listeners = nil
	c.wait.Wait()
	c.ctx, c.cancel = context.WithCancel(c.t.Context())
	for _, name := range names {
		c.startWithWeight(name, c.sim.Store(name), 1)
	}
}
