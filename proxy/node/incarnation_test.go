//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against reads that rest on a bound which counts a replica that has restarted without its log.
func TestReadBoundCountsRestartedReplica(t *testing.T) {
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
