//go:build !race

package node_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/simulator"
)

// record returns the record of the group in the store.
func (c *cluster) record() primacy.Record {
	records, err := c.sim.Store("reader").Records(c.ctx)
	assert.NilError(c.t, err)
	return records.Rows[simulator.Service]
}

// named returns the members that the record names.
func (c *cluster) named() (ids []string) {
	for _, m := range c.record().Members {
		ids = append(ids, m.ID)
	}
	return ids
}

func (c *cluster) awaitNamed(limit time.Duration, ids ...string) {
	c.t.Helper()
	c.await(limit, fmt.Sprintf("a record that names %v", ids), func() bool { return slices.Equal(c.named(), ids) })
}

// putCounter counts the writes of records.
type putCounter struct {
	*simulator.StoreClient
	puts *atomic.Int32
}

func (s putCounter) Put(ctx context.Context, r primacy.Record) (storeversion.Version, time.Duration, error) {
	s.puts.Add(1)
	return s.StoreClient.Put(ctx, r)
}

// Guards against a write for each of many members that join and leave at the same time, and
// against one by each instance: 1,800 instances see the same members.
func TestJoinsAndLeavesNeedFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, true, nil)
		c.pace = time.Sleep
		var puts atomic.Int32
		for i := range 20 {
			name := fmt.Sprintf("i%02d", i)
			assert.NilError(t, c.sim.Store(name).Announce(c.ctx, []source.Candidate{{Name: name, Address: name, FailureDomain: "a"}}))
		}
		for i := range 20 {
			name := fmt.Sprintf("i%02d", i)
			c.start(name, putCounter{c.sim.Store(name), &puts})
		}
		c.awaitNamed(20*time.Second, "a", "b", "c")
		time.Sleep(5 * time.Second)
		t.Logf("%d writes at the start", puts.Swap(0))
		for _, id := range []string{"d", "e", "f", "g"} {
			c.sim.Join(id)
			time.Sleep(20 * time.Millisecond)
		}
		c.awaitNamed(10*time.Second, "a", "b", "c", "d", "e", "f", "g")
		time.Sleep(10 * time.Second)
		t.Logf("%d writes", puts.Load())
		assert.Check(t, puts.Load() <= 3, "%d writes", puts.Load())
		puts.Store(0)
		for _, id := range []string{"d", "e", "f", "g"} {
			c.sim.Drain(id)
		}
		time.Sleep(8 * time.Second)
		for _, id := range []string{"d", "e", "f", "g"} {
			c.sim.Leave(id, true)
			time.Sleep(20 * time.Millisecond)
		}
		c.awaitNamed(30*time.Second, "a", "b", "c")
		time.Sleep(10 * time.Second)
		t.Logf("%d writes", puts.Load())
		assert.Check(t, puts.Load() <= 3, "%d writes", puts.Load())
		puts.Store(0)
		time.Sleep(time.Minute)
		assert.Check(t, puts.Load() == 0, "%d writes at rest", puts.Load())
		c.closeSimulated()
	})
}

// Guards against writes that wait, and a record with the wrong members, when all members are
// replaced.
func TestMembersReplacedUnderLoad(t *testing.T) {
	underLoad(t, 11, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
		for i, id := range []string{"b", "c", "a"} {
			successor := []string{"d", "e", "f"}[i]
			c.sim.Join(successor)
			time.Sleep(time.Second)
			c.sim.Drain(id)
			gap := c.writeGap("i1", 5*time.Second)
			assert.Check(t, gap < 2*time.Second, "gap %s", gap)
			time.Sleep(3 * time.Second)
			c.sim.Leave(id, i%2 == 0)
		}
		c.awaitNamed(20*time.Second, "d", "e", "f")
		c.sim.Crash(c.sim.Primary(), true)
		gap := c.writeGap("i1", 5*time.Second)
		assert.Check(t, gap < 2500*time.Millisecond, "gap %s", gap)
	})
}

// Guards against lost commits and a longer failover while a member that has joined is not named
// yet, and against a failover without its log once it is.
func TestPrimaryLostWhileAdditionIsPending(t *testing.T) {
	for _, after := range []time.Duration{0, 200, 450, 550, 700, 1200} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "i2", "near"), func(t *testing.T, c *cluster) {
				time.Sleep(4 * time.Second)
				c.sim.Join("d")
				time.Sleep(after * time.Millisecond)
				c.sim.Crash("a", true)
				gap := c.writeGap("i1", 5*time.Second)
				assert.Check(t, gap < 3*time.Second, "gap %s", gap)
				c.sim.Restart("a", false)
				c.awaitNamed(20*time.Second, "a", "b", "c", "d")
			})
		})
	}
}

// Guards against a group without writes or a failover while the record names no members, and
// against a record that stays so: an instance of an earlier release drops the names.
func TestRecordOfEarlierReleaseNamesNoMembers(t *testing.T) {
	underLoad(t, 5, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
		c.awaitNamed(5*time.Second, "a", "b", "c")
		drop := func() {
			r := c.record()
			r.Members = nil
			_, _, err := c.sim.Store("earlier").Put(c.ctx, r)
			assert.NilError(t, err)
		}
		drop()
		gap := c.writeGap("i1", 2*time.Second)
		assert.Check(t, gap < 200*time.Millisecond, "gap %s", gap)
		c.awaitNamed(5*time.Second, "a", "b", "c")
		drop()
		c.sim.Crash("a", true)
		gap = c.writeGap("i1", 5*time.Second)
		assert.Check(t, gap < 3*time.Second, "gap %s", gap)
		c.sim.Restart("a", false)
		c.awaitNamed(10*time.Second, "a", "b", "c")
	})
}

// Guards against a failover that waits for members which a restored store names and that have
// been replaced since, and against a record that goes on naming them.
func TestRestoredRecordNamesReplacedMembers(t *testing.T) {
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprintf("instance started=%t", started), func(t *testing.T) {
			underLoad(t, 4, simulated("i1", "i2"), func(t *testing.T, c *cluster) {
				c.awaitNamed(5*time.Second, "a", "b", "c")
				c.sim.CopyStore()
				c.sim.Join("d")
				c.sim.Join("e")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d", "e")
				c.sim.Drain("b")
				c.sim.Drain("c")
				time.Sleep(8 * time.Second)
				c.sim.Leave("b", true)
				c.sim.Leave("c", true)
				c.awaitNamed(20*time.Second, "a", "d", "e")
				c.sim.RestoreStore()
				if started {
					c.start("new", c.sim.Store("new"))
				}
				c.awaitNamed(20*time.Second, "a", "d", "e")
				c.sim.Crash("a", true)
				gap := c.writeGap("i1", 8*time.Second)
				assert.Check(t, gap < 3*time.Second, "gap %s", gap)
			})
		})
	}
}

// Guards against a failover by a new instance that waits for a named member which ended while the primary served.
func TestNewInstanceWaitsForNoEndedMember(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%t", silent), func(t *testing.T) {
			underLoad(t, 9, simulated("i1"), func(t *testing.T, c *cluster) {
				c.sim.Join("d")
				c.awaitNamed(5*time.Second, "a", "b", "c", "d")
				c.sim.Partition("i1", "store") // i1 ends; new is its successor
				c.sim.Crash("b", silent)
				c.sim.Deregister("b")
				time.Sleep(4 * time.Second)
				c.start("new", c.sim.Store("new"))
				c.awaitNamed(12*time.Second, "a", "c", "d")
				c.sim.Crash("a", true)
				c.sim.Deregister("a")
				c.await(8*time.Second, "a new primary", func() bool { return c.sim.Promotions() > 0 })
				c.sim.Heal("i1", "store")
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// Guards against a record that names a silent member for good after all instances that have read
// of it have ended: without callers, a new instance asks the primary for nothing.
func TestIdleNewInstanceForgetsNamedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1")
		c.sim.Join("d")
		c.awaitNamed(5*time.Second, "a", "b", "c", "d")
		c.sim.Partition("i1", "store") // i1 ends; new is its successor
		c.sim.Crash("d", true)
		c.sim.Deregister("d")
		c.start("new", c.sim.Store("new"))
		time.Sleep(5 * time.Second)
		assert.DeepEqual(t, c.named(), []string{"a", "b", "c", "d"})
		c.awaitNamed(10*time.Second, "a", "b", "c")
		c.closeSimulated()
	})
}

// Guards against commits that only a member has which joined shortly before a cut, when a new
// instance fails over without having read its entry: it counts only once it is named.
func TestNewInstanceAfterReplicaJoinsBehindCut(t *testing.T) {
	for _, after := range []time.Duration{200, 500, 700, 1500, 3000, 3500, 4500, 6000} {
		t.Run(fmt.Sprintf("after=%dms", after), func(t *testing.T) {
			underLoad(t, uint64(after), simulated("i1", "near"), func(t *testing.T, c *cluster) {
				time.Sleep(3 * time.Second)
				c.sim.Join("d")
				time.Sleep(after * time.Millisecond)
				c.isolate([]string{"a", "d", "near"}, []string{"b", "c", "i1", "new", "store"})
				c.sim.Partition("i1", "store") // i1 ends; new is its successor
				time.Sleep(3 * time.Second)
				c.sim.Deregister("a")
				c.sim.Deregister("d")
				time.Sleep(100 * time.Millisecond)
				c.start("new", c.sim.Store("new"))
				time.Sleep(10 * time.Second)
				c.sim.Register("a")
				c.sim.Register("d")
				c.sim.Heal("i1", "store")
				c.rejoin([]string{"a", "d", "near"}, []string{"b", "c", "i1", "new", "store"})
				time.Sleep(2 * time.Second)
			})
		})
	}
}
