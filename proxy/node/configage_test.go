//go:build !race

package node_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// configTarget is the time in which a new version of the configuration is in force on all
// instances; see docs/CAPACITY.md.
const configTarget = 4 * time.Second

// newPeerCluster starts instances that poll each other; the first one reads the store.
func newPeerCluster(t *testing.T, names ...string) *cluster {
	c := startCluster(t, true, nil)
	c.pace = time.Sleep
	for i, name := range names {
		c.startWithWeight(name, c.sim.Store(name), float64(len(names)-i))
	}
	c.await(10*time.Second, "all instances to be ready", func() bool {
		for _, n := range c.nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	time.Sleep(8 * time.Second) // until all have read the list of instances
	return c
}

// outdated returns the instances that have an older configuration than a version.
func (c *cluster) outdated(version int64) (names []string) {
	for name, n := range c.nodes {
		if n.State().ConfigVersion < version {
			names = append(names, name)
		}
	}
	return names
}

// Guards against instances that take the configuration of their source for the newest one
// although the source cannot read it: while its reads of the records went on, a new version
// did not reach any of them.
func TestSourceCannotReadConfig(t *testing.T) {
	for _, after := range []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond, 5 * time.Second} {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newPeerCluster(t, "i1", "i2", "i3", "i4", "i5")
				c.sim.StallConfig("i1")
				time.Sleep(after)
				for version := int64(2); version < 5; version++ {
					c.sim.SetWorkspaces(nil)
					time.Sleep(configTarget)
					assert.Check(t, len(c.outdated(version)) == 0, "version %d is not in force on %v", version, c.outdated(version))
				}
				c.closeSimulated()
			})
		})
	}
}

// Guards against checks of the configuration that cost calls of the store although nothing is
// wrong, and against checks by all instances when the answer to one is enough for all: four
// check before it has reached the rest, and again 3 s later.
func TestChecksOfConfigAreRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 40 {
			names = append(names, fmt.Sprintf("i%02d", i))
		}
		c := newPeerCluster(t, names...)
		time.Sleep(30 * time.Second)
		assert.Equal(t, c.configChecks(), 0)
		c.sim.StallConfig(names[0])
		time.Sleep(30 * time.Second)
		assert.Check(t, c.configChecks() <= 4*10, "%d checks in 30 s", c.configChecks())
		c.closeSimulated()
	})
}

// configChecks returns the number of checks of the configuration that the store has answered.
func (c *cluster) configChecks() (n int) {
	for _, m := range c.metrics {
		var out strings.Builder
		m.Write(&out)
		for line := range strings.Lines(out.String()) {
			if rest, ok := strings.CutPrefix(line, `papayarail_store_calls_total{call="config_check",outcome="ok"} `); ok {
				var count int
				_, _ = fmt.Sscan(rest, &count)
				n += count
			}
		}
	}
	return n
}

// Guards against instances that stay behind because the new version is too large for the
// answer to a poll.
func TestSourceCannotReadLargeConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPeerCluster(t, "i1", "i2", "i3", "i4", "i5")
		c.sim.StallConfig("i1")
		c.sim.AddRoutes(2848)
		c.sim.SetWorkspaces(nil)
		time.Sleep(configTarget)
		assert.Check(t, len(c.outdated(2)) == 0, "version 2 is not in force on %v", c.outdated(2))
		c.closeSimulated()
	})
}
