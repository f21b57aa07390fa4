//go:build !race

// See simulated_test.go for why these tests do not build under the race detector.

package node_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/simulator"
)

// Guards against proofs of acknowledgements that use up the connections of a member or hold
// up writes, with 91 instances that write, also while a replica answers nobody.
func TestProofsKeepConnectionsWithinLimit(t *testing.T) {
	for _, silent := range []string{"", "c"} {
		t.Run("silent="+silent, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { proofLoad(t, silent) })
		})
	}
}

// unproven is the longest time of a write under this load if no proof is awaited.
const unproven = 27 * time.Millisecond

func proofLoad(t *testing.T, silent string) {
	c := newClusterOf(t, coldInstances)
	c.sim.LimitConnections(coldLimit)
	time.Sleep(7 * time.Second) // until the limit is in force on all instances
	if silent != "" {
		for name := range c.nodes {
			c.sim.Partition(name, silent)
		}
		// Connections that were open when it fell silent end within 3 s.
		time.Sleep(3 * time.Second)
	}
	// With a silent replica, the first proofs take up to 0.3 s, and a queue may fill up.
	settling := time.Duration(0)
	if silent != "" {
		settling = time.Second
	}
	began := time.Now()
	var (
		ended atomic.Bool
		work  sync.WaitGroup
		mu    sync.Mutex
		took  []time.Duration
		fails int
	)
	for i := range coldInstances {
		s := c.open(fmt.Sprint("i", i), simulator.Database)
		work.Go(func() {
			defer s.leave()
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			for !ended.Load() {
				started := time.Now()
				err := c.write(s)
				mu.Lock()
				if started.Sub(began) >= settling {
					took = append(took, time.Since(started))
					if err != nil {
						fails++
					}
				}
				mu.Unlock()
				time.Sleep(450 * time.Millisecond)
			}
		})
	}
	most := c.maxConnections(6 * time.Second)
	ended.Store(true)
	work.Wait()
	slices.Sort(took)
	n := len(took)
	t.Logf("%d writes, %d failed, median %s, 99th percentile %s, maximum %s; at most %d connections to a member, %d promotions", n, fails, took[n/2], took[n*99/100], took[n-1], most, c.sim.Promotions())
	assert.Assert(t, most <= coldLimit, "%d connections to a member, its limit is %d", most, coldLimit)
	assert.Equal(t, fails, 0)
	if silent == "" {
		assert.Assert(t, took[n-1] <= unproven+50*time.Millisecond, "a write took %s", took[n-1])
	}
	c.closeSimulated()
}
