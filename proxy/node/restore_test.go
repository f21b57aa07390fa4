//go:build !race

package node_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/simulator"
)

// replacePrimary replaces primary a and lets it return as a replica that does not apply
// what it receives.
func (c *cluster) replacePrimary() {
	c.sim.Crash("a", true)
	c.writeGap("i1", 5*time.Second)
	c.sim.SetApplyLag("a", time.Hour)
	c.sim.Restart("a", false)
}

// Guards against reads on a former primary by an instance that starts after the store
// was restored from a copy that is older than the change of primary.
func TestStartAfterRestoreReadsFromPresentPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1", "i2")
		c.sim.CopyStore()
		c.replacePrimary()
		c.sim.RestoreStore()
		c.start("i3", c.sim.Store("i3"))
		c.await(5*time.Second, "i3 to be ready", c.nodes["i3"].Ready)
		writer, reader := c.open("i1", simulator.Database), c.open("i3", simulator.Database)
		for range 50 {
			c.eventually(5*time.Second, func() error { return c.write(writer) })
			c.eventually(5*time.Second, func() error { return c.read(reader, 0) })
		}
		assert.Check(t, c.nodes["i3"].State().Groups[simulator.Service].Primary.Member == c.sim.Primary(), "the new instance uses a former primary")
		writer.leave()
		reader.leave()
		c.closeSimulated()
	})
}

// Guards against a long interruption when the primary is lost right after a restore: a
// failover begins once a claim that the restore took back has ended, after 3 s, and then
// takes 2.5 s at most.
func TestPrimaryLostAfterRestore(t *testing.T) {
	underLoad(t, 3, simulated("i1", "i2"), func(t *testing.T, c *cluster) {
		c.sim.CopyStore()
		time.Sleep(time.Second)
		c.sim.RestoreStore()
		c.sim.Crash("a", true)
		gap := c.writeGap("i1", 10*time.Second)
		assert.Assert(t, gap < 5500*time.Millisecond, "gap %s", gap)
	})
}

// Guards against a holder whose claim was taken back by a restore and another one that
// act at the same time.
func TestRestoreDuringFailover(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			underLoad(t, 4, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
				c.sim.CopyStore()
				c.sim.Crash("a", true)
				time.Sleep(after)
				c.sim.RestoreStore()
				c.sim.Partition("i1", "store")
				time.Sleep(time.Second)
				c.sim.Restart("a", false)
				time.Sleep(2 * time.Second)
				c.sim.Heal("i1", "store")
				c.writeGap("i2", 8*time.Second)
			})
		})
	}
}

// Guards against evidence of an earlier era that counts again after a second restore.
func TestTwoRestoresWithinOneLease(t *testing.T) {
	underLoad(t, 5, simulated("i1", "i2"), func(t *testing.T, c *cluster) {
		c.sim.CopyStore()
		c.replacePrimary()
		c.sim.RestoreStore()
		time.Sleep(400 * time.Millisecond)
		c.sim.RestoreStore()
		c.start("i3", c.sim.Store("i3"))
		stop := c.readStrictly("i3")
		time.Sleep(6 * time.Second)
		stop()
		for name, n := range c.nodes {
			assert.Check(t, !n.State().Groups[simulator.Service].RecordOutdated, "record was not confirmed on %s", name)
		}
	})
}

// Injects restores of the store among overlapping faults and starts of instances, with
// fixed seeds, and checks all guarantees.
func TestRandomFaultsAndRestores(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { injectRestores(t, seed) })
		})
	}
}

// restartMember starts a member again that is down, if id is not empty, and returns the
// member that is down then.
func (c *cluster) restartMember(id string) string {
	if id != "" {
		c.sim.Restart(id, false)
	}
	return ""
}

// readStrictly reads with strict consistency on one instance until it is stopped.
func (c *cluster) readStrictly(instance string) (stop func()) {
	return c.readFrom(instance, simulator.Database, 0)
}

// readOn reads with each consistency on one instance until it is stopped.
func (c *cluster) readOn(instance string) (stop func()) {
	stops := []func(){c.readStrictly(instance), c.readFrom(instance, simulator.Database+"_stale", 1500*time.Millisecond),
		c.readFrom(instance, simulator.Database+"_own", 2500*time.Millisecond)}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// readFrom reads from a database, with its bound on staleness, on one instance until it is stopped.
func (c *cluster) readFrom(instance, database string, staleness time.Duration) (stop func()) {
	var ended atomic.Bool
	var work sync.WaitGroup
	s := c.open(instance, database)
	work.Go(func() {
		defer func() { s.leave() }()
		for !ended.Load() {
			time.Sleep(20 * time.Millisecond)
			// Refused reads are expected under faults.
			if errors.Is(c.read(s, staleness), errEnded) {
				s = c.open(instance, database)
			}
		}
	})
	return func() { ended.Store(true); work.Wait() }
}

func injectRestores(t *testing.T, seed uint64) {
	const maxInstances = 7
	c := newSimulated(t, "i1", "i2", "i3")
	stops := []func(){c.load(seed)}
	c.sim.CopyStore()
	for _, id := range []string{"a", "b", "c"} {
		c.sim.SetApplyLag(id, 300*time.Millisecond)
	}
	random := rand.New(rand.NewPCG(seed, 29))
	names := []string{"a", "b", "c", "i1", "i2", "i3", "store"}
	down := ""
	for range 30 {
		time.Sleep(time.Duration(50+random.IntN(1000)) * time.Millisecond)
		x, y := names[random.IntN(len(names))], names[random.IntN(len(names))]
		switch random.IntN(7) {
		case 0:
			if down == "" {
				down = c.sim.Primary()
				c.sim.Crash(down, random.IntN(2) == 0)
			}
		case 1:
			down = c.restartMember(down)
		case 2:
			c.sim.Partition(x, y)
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, func() { c.sim.Heal(x, y) })
		case 3:
			c.sim.DropStoreReplies(random.IntN(3))
		case 4:
			c.sim.CopyStore()
		case 5:
			c.cutStore()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			c.sim.RestoreStore()
			c.healStore()
			if len(c.nodes) < maxInstances {
				name := fmt.Sprint("i", 1+len(c.nodes))
				c.start(name, c.sim.Store(name))
				stops = append(stops, c.readStrictly(name))
			}
		case 6:
			down = c.restartMember(down)
		}
	}
	c.restartMember(down)
	time.Sleep(6 * time.Second)
	c.endFaults(func() {
		for _, stop := range stops {
			stop()
		}
	})
}

// Guards against instances that a restore has taken out of the list of instances and that
// are not announced again: others would not use them as gateways.
func TestInstancesAreAnnouncedAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLargeCluster(t)
		c.sim.CopyStore()
		c.start("later", c.sim.Store("later"))
		announced := func() bool { return c.sim.IsAnnounced("later") }
		c.await(5*time.Second, "the announcement", announced)
		time.Sleep(10 * time.Second) // until the list is read rarely
		c.sim.RestoreStore()
		assert.Check(t, !announced())
		c.await(2*time.Second, "the announcement after the restore", announced)
		stop := c.load(9)
		time.Sleep(5 * time.Second)
		c.endFaults(stop)
	})
}

// forgetfulStore is a store that loses its change history: the second call of Config
// fails and returns no cursor.
type forgetfulStore struct {
	*simulator.StoreClient
	mu      sync.Mutex
	cursors []storeversion.Version // of the calls of Config that follow the configuration
}

func (s *forgetfulStore) Config(ctx context.Context, cursor catalog.ConfigCursor, wait time.Duration) (*catalog.Config, catalog.ConfigCursor, error) {
	c, next, err := s.StoreClient.Config(ctx, cursor, wait)
	if wait == 0 {
		return c, cursor, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursors = append(s.cursors, cursor.Version)
	if len(s.cursors) == 2 {
		return nil, catalog.ConfigCursor{}, errors.New("history is gone")
	}
	return c, catalog.ConfigCursor{Version: 900, StoreNow: next.StoreNow}, err
}

// Guards against an instance that polls from a cursor of a lost history: once the store's
// counter had passed it, configurations written below it were skipped.
func TestConfigIsReadAgainAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t)
		store := &forgetfulStore{StoreClient: c.sim.Store("i1")}
		c.start("i1", store)
		time.Sleep(10 * time.Second)
		store.mu.Lock()
		assert.Check(t, slices.Equal(store.cursors[:3], []storeversion.Version{0, 900, 0}), "cursors %v", store.cursors)
		store.mu.Unlock()
		c.closeSimulated()
	})
}

// Guards against a group that a record of another writer stops for good: the members must
// confirm the primary, the record is written again, and the primary can be replaced.
func TestUnreadableRecordIsWrittenAgain(t *testing.T) {
	underLoad(t, 12, simulated("i1", "i2", "i3"), func(t *testing.T, c *cluster) {
		time.Sleep(time.Second)
		c.sim.DamageRecord()
		time.Sleep(4 * time.Second)
		for name, n := range c.nodes {
			assert.Assert(t, !n.State().Groups[simulator.Service].RecordOutdated, name)
		}
		c.sim.Crash("a", false)
		gap := c.writeGap("i1", 8*time.Second)
		assert.Assert(t, gap < 3*time.Second, "gap %s, the target is 3 s", gap)
	})
}
