//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against reads and promotions that miss commits of two replicas which leave at a time, each left out because the other one has them.
func TestTwoReplicasLeaveBesideOneBehind(t *testing.T) {
	for _, apart := range []time.Duration{0, 700} {
		for _, silent := range []bool{true, false} {
			t.Run(fmt.Sprintf("apart=%dms primary silent=%t", apart, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newSimulated(t, "i1", "idle")
					c.sim.ModelBranches()
					stop := c.loadOn(1, "i1")
					c.sim.Join("d")
					c.sim.Join("e")
					c.awaitNamed(5*time.Second, "a", "b", "c", "d", "e")
					time.Sleep(5 * time.Second)
					c.sim.SetReceiveLag("c", time.Minute)
					c.sim.SetReceiveLag("e", time.Minute)
					c.sim.Drain("b")
					time.Sleep(apart * time.Millisecond)
					c.sim.Drain("d")
					time.Sleep(7500*time.Millisecond - apart*time.Millisecond)
					c.sim.Leave("b", false)
					time.Sleep(apart * time.Millisecond)
					c.sim.Leave("d", false)
					time.Sleep(500 * time.Millisecond)
					stop()
					c.isolate([]string{"i1"}, []string{"c", "e", "store"}) // so that it does not claim
					c.sim.Crash("a", silent)
					stop = c.loadOn(2, "idle")
					time.Sleep(8 * time.Second)
					assert.Check(t, c.sim.Promotions() == 0, "a member without the commits of the primary was promoted")
					c.sim.Restart("a", false)
					time.Sleep(2 * time.Second)
					stop()
					c.closeSimulated()
				})
			})
		}
	}
}
