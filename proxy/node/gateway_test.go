//go:build !race

// See simulated_test.go for why these tests do not build under the race detector.

package node_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/simulator"
	"github.com/papayarail/papayarail/proxy/statement"
)

// largeClusterSize is the number of instances in a large cluster: more than half of
// the connection limit of a member (16), so that instances use gateways.
const largeClusterSize = 10

// newLargeCluster starts largeClusterSize instances in a synctest bubble.
func newLargeCluster(t *testing.T) *cluster { return newClusterOf(t, largeClusterSize) }

// newClusterOf starts n instances in a synctest bubble.
func newClusterOf(t *testing.T, n int) *cluster {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("i", i))
	}
	c := startCluster(t, true, names)
	// Ten statements a second for each of 30 sessions keep the tests short.
	c.pace = func(d time.Duration) { time.Sleep(5 * d) }
	time.Sleep(7 * time.Second) // until all instances have read the list of instances
	return c
}

// maxConnections returns the maximum number of connections to any one member during d.
func (c *cluster) maxConnections(d time.Duration) int {
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollDelay) {
		for _, m := range []string{"a", "b", "c"} {
			most = max(most, c.sim.Connections(m))
		}
	}
	return most
}

// Guards against exceeding the connection limit of a member: with one connection for
// each instance, a member refused half of all attempts (colle-avvisi-grown, 85
// instances on 46 connections), and the first primary was not known when callers
// connected.
func TestManyInstancesShareConnections(t *testing.T) {
	underLoad(t, 1, newLargeCluster, func(t *testing.T, c *cluster) {
		assert.Assert(t, c.maxConnections(3*time.Second) <= 16)
		s := c.open("i3", simulator.Database)
		assert.NilError(t, c.write(s))
		assert.NilError(t, c.read(s, 0))
		assert.NilError(t, s.send(statement.Statement{ID: "t", Kind: statement.Begin}).Err)
		assert.NilError(t, s.send(statement.Statement{ID: "t1", Kind: statement.Write, Operands: "y 2"}).Err)
		assert.NilError(t, s.send(statement.Statement{ID: "t2", Kind: statement.Write, Operands: "y 3"}).Err)
		assert.NilError(t, s.send(statement.Statement{ID: "t", Kind: statement.Commit}).Err)
		c.sim.Acknowledge("t1")
		assert.NilError(t, c.read(s, 0))
		s.leave()
	})
}

// Guards against a gateway as a single point of failure: when any one instance is
// partitioned from all others, these serve again as soon as the silence of the
// gateway is detected.
func TestGatewayCutOff(t *testing.T) {
	underLoad(t, 2, newLargeCluster, func(t *testing.T, c *cluster) {
		for i := range largeClusterSize / 4 {
			lost := fmt.Sprint("i", i)
			others := []string{"a", "b", "c", "store"}
			for name := range c.nodes {
				if name != lost {
					others = append(others, name)
				}
			}
			for _, other := range others {
				c.sim.Partition(lost, other)
			}
			gap := c.writeGap(fmt.Sprint("i", i+1), 3*time.Second)
			assert.Assert(t, gap < 1500*time.Millisecond, "without %s: %s", lost, gap)
			time.Sleep(time.Second)
			for _, other := range others {
				c.sim.Heal(lost, other)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against refused reads and writes while the store is unavailable: instances
// that have no commits of their own need the gateway, which has seen all commits, to
// prove who is primary.
func TestManyInstancesWithoutStore(t *testing.T) {
	underLoad(t, 3, newLargeCluster, func(t *testing.T, c *cluster) {
		c.sim.Crash("c", true)
		time.Sleep(500 * time.Millisecond)
		c.cutStore()
		time.Sleep(3 * time.Second)
		served := 0
		s := c.open("i7", simulator.Database)
		for range 20 {
			if c.read(s, 0) == nil {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, served >= 18, "%d of 20 reads served", served)
		s.leave()
	})
}

// Guards against a failover that fails or takes long with many instances: their claims
// must not collide, and all must find the new primary.
func TestManyInstancesChangePrimary(t *testing.T) {
	manyInstancesChangePrimary(t, func(c *cluster) { c.sim.Crash("a", true) })
}

// Guards against the same when the primary leaves.
func TestManyInstancesReplaceLeavingPrimary(t *testing.T) {
	manyInstancesChangePrimary(t, func(c *cluster) { c.sim.Drain("a") })
}

// Guards against the same with so many instances that they take turns to claim: all but
// the one that reads the store knew of the report 0.3 s later, and the first in turn with them.
func TestInstancesInTurnReplaceLeavingPrimary(t *testing.T) {
	changePrimary(t, func(t *testing.T) *cluster { return newClusterOf(t, 2*largeClusterSize) }, func(c *cluster) { c.sim.Drain("a") })
}

func manyInstancesChangePrimary(t *testing.T, inject func(*cluster)) {
	t.Helper()
	changePrimary(t, newLargeCluster, inject)
}

func changePrimary(t *testing.T, start func(*testing.T) *cluster, inject func(*cluster)) {
	t.Helper()
	underLoad(t, 4, start, func(t *testing.T, c *cluster) {
		inject(c)
		time.Sleep(50 * time.Millisecond)
		gap := c.writeGap("i5", 5*time.Second)
		assert.Assert(t, gap < 3*time.Second, "gap %s, the target is 3 s", gap)
		time.Sleep(3 * time.Second)
		assert.Assert(t, c.sim.Primary() != "a")
	})
}

// Guards against executing abandoned reads: a read that waited for more than 0.4 s in
// a gateway's queue was abandoned and sent to another member, but the gateway still
// executed it. Under a burst of reads of 28 ms and more, that was a third of what the
// members executed (derwent-press-grown, scale-1).
func TestReadsThatWereGivenUpAreNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLargeCluster(t)
		c.sim.SetReadTime(100 * time.Millisecond)
		// The three members together execute 12 reads at a time; 80 are sent.
		const sessions, callers = 8, largeClusterSize
		var answered, refused atomic.Int32
		var ended atomic.Bool
		var work sync.WaitGroup
		before := c.sim.ReadCount()
		for i := range sessions * callers {
			s := c.open(fmt.Sprint("i", i%callers), simulator.Database+"_own")
			work.Go(func() {
				defer s.leave()
				for !ended.Load() {
					if err := c.read(s, 2500*time.Millisecond); err != nil {
						refused.Add(1)
						time.Sleep(50 * time.Millisecond)
						continue
					}
					answered.Add(1)
				}
			})
		}
		time.Sleep(10 * time.Second)
		ended.Store(true)
		work.Wait()
		run := c.sim.ReadCount() - before
		t.Logf("%d reads executed, %d answered, %d refused", run, answered.Load(), refused.Load())
		assert.Assert(t, refused.Load() > 0, "the load must exceed the capacity of the members")
		assert.Assert(t, float64(answered.Load()) >= 0.98*float64(run), "%d reads executed, %d answered", run, answered.Load())
		c.closeSimulated()
	})
}

// Injects sequences of overlapping faults of instances, members and the store, with
// fixed seeds, and checks all guarantees.
func TestRandomFaultsOfManyInstances(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { injectManyFaults(t, seed) })
		})
	}
}

func injectManyFaults(t *testing.T, seed uint64) {
	c := newLargeCluster(t)
	stop := c.load(seed)
	random := rand.New(rand.NewPCG(seed, 77))
	names := []string{"a", "b", "c", "store"}
	for i := range largeClusterSize {
		names = append(names, fmt.Sprint("i", i))
	}
	for range 20 {
		time.Sleep(time.Duration(100+random.IntN(800)) * time.Millisecond)
		member := names[random.IntN(3)]
		x := names[random.IntN(len(names))]
		switch random.IntN(4) {
		case 0:
			c.sim.Crash(member, random.IntN(2) == 0)
			time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
			c.sim.Restart(member, false)
		case 1: // partition one name from all others
			var others []string
			for _, y := range names {
				if y != x {
					others = append(others, y)
					c.sim.Partition(x, y)
				}
			}
			time.AfterFunc(time.Duration(random.IntN(3000))*time.Millisecond, func() {
				for _, y := range others {
					c.sim.Heal(x, y)
				}
			})
		case 2:
			y := names[random.IntN(len(names))]
			c.sim.Partition(x, y)
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, func() { c.sim.Heal(x, y) })
		case 3:
			c.sim.DropStoreReplies(random.IntN(3))
		}
	}
	time.Sleep(8 * time.Second)
	c.endFaults(stop)
}
