//go:build !race

package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a primary that a part of its members confirms because of a commit some time
// ago: another member has been promoted behind a cut, which has ended the pause of a replica that
// goes on with the old primary.
func TestPartlyConfirmedPrimaryAfterPromotion(t *testing.T) {
	for _, promoteTime := range promoteTimes {
		for _, writes := range []bool{false, true} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("promote=%s/writes=%t/%d", promoteTime, writes, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newSimulated(t, "i1", "i2")
						c.sim.SetPromoteTime(promoteTime)
						c.sim.EndPausesBehindCuts()
						c.sim.Join("d")
						stopReads, stopWrites, stopOther := c.readStrictly("i1"), c.loadOn(seed, "i1"), c.loadOn(seed+9, "i2")
						time.Sleep(4*time.Second + time.Duration(seed)*130*time.Millisecond)
						c.sim.Partition("i1", "store")
						c.sim.Partition("i2", "a")
						c.await(5*time.Second, "a call for a promotion", func() bool { return c.sim.CalledFor() != "" })
						near, outside := "b", []string{"c", "d", "i2", "store"}
						if c.sim.CalledFor() == "b" {
							near, outside = "c", []string{"b", "d", "i2", "store"}
						}
						c.isolate([]string{"a", near, "i1"}, outside)
						if !writes {
							c.sim.DropReplies(2) // of those that wait for a paused replica
							stopWrites()
							c.sim.DropReplies(0)
						}
						time.Sleep(4 * time.Second)
						c.rejoin([]string{"a", near, "i1"}, outside)
						time.Sleep(2 * time.Second)
						if writes {
							stopWrites()
						}
						stopReads()
						stopOther()
						c.closeSimulated()
					})
				})
			}
		}
	}
}
