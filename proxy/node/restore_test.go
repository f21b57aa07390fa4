//go:build !race

package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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
