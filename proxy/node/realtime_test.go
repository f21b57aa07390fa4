package node_test

import (
	"testing"
	"time"

	"github.com/papayarail/papayarail/proxy/simulator"
)

// Plays a loss of the primary in real time, so that the race detector sees the
// code that the simulated tests cannot show it.
func TestRealTime(t *testing.T) {
	const limit = 10 * time.Second
	c := newCluster(t, "i1", "i2")
	stop := c.load(1)
	c.await(limit, "some writes", func() bool { return c.nextID.Load() > 50 })
	c.world.Crash("a", false)
	s := c.open("i1", simulator.Database)
	c.eventually(limit, func() error { return c.write(s) })
	c.await(limit, "a new primary", func() bool { return c.world.Primary() != "a" })
	c.world.Restart("a", false)
	leaving := c.world.Primary()
	c.world.Drain(leaving)
	c.await(limit, "the successor of a leaving primary", func() bool { return c.world.Primary() != leaving })
	stop()
	s.leave()
	c.close()
}
