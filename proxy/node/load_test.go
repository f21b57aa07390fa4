//go:build !race

// See simulated_test.go for why these tests do not build under the race detector.

package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/simulator"
)

// Guards against refused reads while all replicas apply the log many seconds late: the
// primary alone lacked the capacity for all reads for as long as the lag lasted. One
// replica must be promoted, so that the former primary serves reads as a replica, and
// no guarantee may be violated meanwhile.
func TestReplicasBehind(t *testing.T) {
	t.Run("store", func(t *testing.T) { replicasBehind(t, 0) })
	// The store is unavailable when reads are first refused, and the switchover takes
	// place once the store is back (inc-b686): the failed attempt blocked others for
	// 15 s.
	t.Run("store away", func(t *testing.T) { replicasBehind(t, 6*time.Second) })
}

// replicasBehind lets all replicas lag while the store is unavailable for storeOutage.
func replicasBehind(t *testing.T, storeOutage time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1", "i2")
		if storeOutage > 0 {
			c.cutStore()
			time.AfterFunc(storeOutage, c.healStore)
		}
		c.sim.SetReadTime(100 * time.Millisecond)
		for _, id := range []string{"b", "c"} {
			c.sim.SetApplyLag(id, time.Minute)
		}
		stopLoad := c.load(1)
		answered, refused, stopReaders := c.readers(60)
		time.Sleep(storeOutage + 8*time.Second) // watermarks are older than the staleness bound, and the primary has changed
		assert.Assert(t, c.sim.Primary() != "a", "the primary was not handed over")
		answeredBefore, refusedBefore := answered.Load(), refused.Load()
		time.Sleep(10 * time.Second)
		primary := c.sim.Primary()
		stopReaders()
		stopLoad()
		rate, refusedLater := float64(answered.Load()-answeredBefore)/10, refused.Load()-refusedBefore
		t.Logf("%.1f reads a second answered, %d refused later, %d before", rate, refusedLater, refusedBefore)
		assert.Assert(t, refusedBefore > 0, "the load must exceed the capacity of the primary")
		assert.Assert(t, float64(refusedLater) < 0.1*10*rate, "%d refused, %.1f a second answered", refusedLater, rate)
		assert.Equal(t, primary, c.sim.Primary())
		c.closeSimulated()
	})
}

// Guards against callers being kept on an instance in a partitioned failure domain: its
// instances reported ready for another second, until all leases had expired, and kept
// their sessions for 2.2 s more although two probes had failed long before.
func TestCutOffUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1", "i2")
		stop := c.load(1)
		time.Sleep(2 * time.Second)
		idle := c.open("i1", simulator.Database)
		n := c.nodes["i1"]
		assert.Assert(t, n.AnswerProbe())
		outside := []string{"b", "c", "i2", "store"}
		for _, name := range outside {
			c.sim.Partition("i1", name)
		}
		cut := time.Now()
		c.await(time.Second, "an instance that is not ready", func() bool { return !n.Ready() })
		// 0.4 s of silence, 0.1 s until the next check for isolation, and up to 0.1 s from
		// the last answer until callers, who pause for up to 40 ms, have sent requests to
		// two members and this test polls.
		assert.Assert(t, time.Since(cut) <= 600*time.Millisecond, "ready for %s after the cut", time.Since(cut))
		n.AnswerProbe()
		time.Sleep(time.Second)
		n.AnswerProbe()
		missed := time.Now()
		<-idle.ended
		assert.Assert(t, time.Since(missed) < 600*time.Millisecond, "a session stayed open for %s after the second probe", time.Since(missed))
		for _, name := range outside {
			c.sim.Heal("i1", name)
		}
		c.await(3*time.Second, "an instance that is ready", n.Ready)
		stop()
		c.closeSimulated()
	})
}
