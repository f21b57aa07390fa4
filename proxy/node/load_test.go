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

// Guards reads while all replicas apply what they receive many seconds late: the
// primary alone had too little room for them, for as long as the lag lasted. One
// replica takes the lead over, and the former primary serves reads as a replica. No
// promise is broken meanwhile.
func TestReplicasBehind(t *testing.T) {
	t.Run("store", func(t *testing.T) { replicasBehind(t, 0) })
	// The store is away when the reads are first refused, and the lead is handed over
	// once it is back (inc-b686): the attempt that failed held back others for 15 s.
	t.Run("store away", func(t *testing.T) { replicasBehind(t, 6*time.Second) })
}

// replicasBehind plays the lag of all replicas while the store is away for a time.
func replicasBehind(t *testing.T, storeAway time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1", "i2")
		if storeAway > 0 {
			c.cutStore()
			time.AfterFunc(storeAway, c.healStore)
		}
		c.world.SetReadTime(100 * time.Millisecond)
		for _, id := range []string{"b", "c"} {
			c.world.SetApplyLag(id, time.Minute)
		}
		writing := c.load(1)
		answered, refused, stopReaders := c.readers(60)
		time.Sleep(storeAway + 8*time.Second) // marks are older than the staleness, and the lead has changed
		assert.Assert(t, c.world.Primary() != "a", "the lead was not handed over")
		before, lost := answered.Load(), refused.Load()
		time.Sleep(10 * time.Second)
		leader := c.world.Primary()
		stopReaders()
		writing()
		rate, refusedLater := float64(answered.Load()-before)/10, refused.Load()-lost
		t.Logf("%.1f reads a second answered, %d refused later, %d before", rate, refusedLater, lost)
		assert.Assert(t, lost > 0, "the load must be too great for the primary")
		assert.Assert(t, float64(refusedLater) < 0.1*10*rate, "%d refused, %.1f a second answered", refusedLater, rate)
		assert.Equal(t, leader, c.world.Primary())
		c.closeSimulated()
	})
}

// Guards the callers of a failure domain that is cut off: its instances said that they
// were ready for another second, until all leases had run out, and kept their sessions
// for 2.2 s more although the load balancer had missed two probes long before.
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
			c.world.Partition("i1", name)
		}
		cut := time.Now()
		c.await(time.Second, "an instance that is not ready", func() bool { return !n.Ready() })
		// 0.4 s of silence, 0.1 s until it is looked at, and after the last answer up to
		// 0.1 s until callers, who pause for 40 ms, have asked two members and this test
		// looks.
		assert.Assert(t, time.Since(cut) <= 600*time.Millisecond, "ready for %s after the cut", time.Since(cut))
		n.AnswerProbe()
		time.Sleep(time.Second)
		n.AnswerProbe()
		missed := time.Now()
		<-idle.ended
		assert.Assert(t, time.Since(missed) < 600*time.Millisecond, "a session stayed open for %s after the second probe", time.Since(missed))
		for _, name := range outside {
			c.world.Heal("i1", name)
		}
		c.await(3*time.Second, "an instance that is ready", n.Ready)
		stop()
		c.closeSimulated()
	})
}
