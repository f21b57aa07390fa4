//go:build !race

// See simulated_test.go for why these tests do not build under the race detector.

package node_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/node"
	"github.com/papayarail/papayarail/proxy/simulator"
)

const (
	coldInstances = 91
	coldLimit     = 46   // connections of each member
	coldRoutes    = 2848 // routes in the configuration
	// lateStart is the delay with which a third of the instances begin to obtain the
	// configuration, although they are announced and accept calls.
	lateStart = 700 * time.Millisecond
)

// coldStore is the store as an instance sees it that may be late. It counts reads of the
// whole configuration.
type coldStore struct {
	node.Store
	late    time.Duration
	configs *counter
	name    string
}

type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *counter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

func (s *coldStore) Instances(ctx context.Context) (catalog.Snapshot[source.Candidate], error) {
	time.Sleep(s.late)
	s.late = 0
	return s.Store.Instances(ctx)
}

func (s *coldStore) Config(ctx context.Context, cursor catalog.ConfigCursor, wait time.Duration) (*catalog.Config, catalog.ConfigCursor, error) {
	if cursor.Version == 0 {
		s.configs.add(s.name)
	}
	return s.Store.Config(ctx, cursor, wait)
}

// Guards against a start of all instances that exhausts the members: 91 instances lost
// power and started again with 2,848 routes. Those with a configuration found gateways
// without one, excluded them, and connected to the members themselves; primaries were
// replaced because probes timed out, and requests were refused for five seconds.
func TestColdStart(t *testing.T) {
	testColdStart(t, nil, 1, simulator.Database, simulator.Database+"_own")
}

// Guards against the same where callers have workspaces, so that all instances use the two
// gateways in the failure domain of a member. Its queue has 32 places, so that only every
// fifth instance has a caller; all 182 callers at once are refused by that queue.
func TestColdStartWithWorkspaces(t *testing.T) {
	testColdStart(t, workspaces("acme", "caller"), 5, simulator.Database)
}

// testColdStart starts all instances, with the workspaces if they are not nil, and one caller
// of each database at every n-th instance.
func testColdStart(t *testing.T, of map[string]catalog.Workspace, n int, databases ...string) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, sim: simulator.NewCluster("a", "b", "c"), nodes: make(map[string]*node.Node), peers: true}
		c.sim.LimitConnections(coldLimit)
		c.sim.AddRoutes(coldRoutes)
		if of != nil {
			c.sim.SetWorkspaces(of)
		}
		c.ctx, c.cancel = context.WithCancel(t.Context())
		c.network = c.sim.NewNetwork()
		var names []string
		for i := range coldInstances {
			names = append(names, fmt.Sprint("i", i))
		}
		c.place = func(name string) (domain, region string) {
			var i int
			_, _ = fmt.Sscanf(name, "i%d", &i)
			return string(rune('a' + i%6)), string(rune('x' + i%6/3))
		}
		// The store has the record of the primary and all announcements from before.
		_, _, err := c.sim.Store("earlier").Put(t.Context(), primacy.Record{Service: simulator.Service, Primary: primacy.Primary{Member: "a", Term: 1}})
		assert.NilError(t, err)
		for _, name := range names {
			domain, region := c.place(name)
			assert.NilError(t, c.sim.Store("earlier").Announce(t.Context(), []source.Candidate{{Name: name, Address: name, FailureDomain: domain, Region: region}}))
		}
		for _, member := range []string{"a", "b", "c"} {
			c.sim.HoldConnections(member, coldLimit/2, 3*time.Second)
		}
		configs := &counter{counts: make(map[string]int)}
		started := time.Now()
		for i, name := range names {
			store := &coldStore{Store: c.sim.Store(name), configs: configs, name: name}
			if i/6%3 == 0 { // some in each failure domain
				store.late = lateStart
			}
			c.start(name, store)
		}
		var work sync.WaitGroup
		var mu sync.Mutex
		var slowest time.Duration
		refused := 0
		for i, name := range names {
			if i%n != 0 {
				continue
			}
			for _, database := range databases {
				work.Go(func() {
					s := c.open(name, database)
					defer func() { s.leave() }()
					served := false
					for time.Since(started) < 5*time.Second {
						err := c.write(s)
						if errors.Is(err, errEnded) {
							s = c.open(name, database)
						}
						if err == nil && !served {
							served = true
							mu.Lock()
							slowest = max(slowest, time.Since(started))
							mu.Unlock()
						}
						if err != nil && time.Since(started) > 2*time.Second {
							mu.Lock()
							refused++
							mu.Unlock()
						}
						time.Sleep(200 * time.Millisecond)
					}
					if !served {
						mu.Lock()
						slowest = time.Hour
						mu.Unlock()
					}
				})
			}
		}
		var atLimit, longest time.Duration
		for time.Since(started) < 5*time.Second {
			most := 0
			for _, m := range []string{"a", "b", "c"} {
				most = max(most, c.sim.Connections(m))
			}
			if atLimit += pollDelay; most < coldLimit {
				atLimit = 0
			}
			longest = max(longest, atLimit)
			time.Sleep(pollDelay)
		}
		work.Wait()
		t.Logf("last instance served after %s, connections at the limit for %s, %d refused after 2 s, configuration read by %v", slowest, longest, refused, configs.counts)
		defer c.closeSimulated()
		assert.Assert(t, slowest <= 2*time.Second, "an instance served after %s", slowest)
		assert.Assert(t, longest <= 3*time.Second, "connections at the limit for %s", longest)
		assert.Equal(t, c.sim.Promotions(), 0)
		for _, n := range c.nodes {
			state := n.State().Groups[simulator.Service]
			assert.Assert(t, state.Primary.Term == 1 && state.ClaimHolder == "" && !state.Down, "%+v", state)
		}
		assert.Equal(t, len(configs.counts), 1, "instances that read the configuration from the store: %v", configs.counts)
	})
}
