//go:build !race

package node_test

import (
	"context"
	"errors"
	"slices"
	"sync"
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

// forgetfulStore is a store that loses its change history: the second call of Config
// fails and returns no cursor.
type forgetfulStore struct {
	*simulator.StoreClient
	mu      sync.Mutex
	cursors []storeversion.Version // of the calls of Config that follow the configuration
}

func (s *forgetfulStore) Config(ctx context.Context, cursor storeversion.Version, wait time.Duration) (*catalog.Config, storeversion.Version, error) {
	c, _, err := s.StoreClient.Config(ctx, cursor, wait)
	if wait == 0 {
		return c, cursor, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursors = append(s.cursors, cursor)
	if len(s.cursors) == 2 {
		return nil, 0, errors.New("history is gone")
	}
	return c, 900, err
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
