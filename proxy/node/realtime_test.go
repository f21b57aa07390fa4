package node_test

import (
	"testing"
	"time"

	"github.com/papayarail/papayarail/proxy/simulator"
)

// Runs a failover and a switchover in real time, so that the race detector covers their
// code: the simulated tests do not build under it.
func TestRealTime(t *testing.T) {
	const limit = 10 * time.Second
	c := newCluster(t, "i1", "i2")
	stop := c.load(1)
	c.await(limit, "some writes", func() bool { return c.nextID.Load() > 50 })
	c.sim.Crash("a", false)
	s := c.open("i1", simulator.Database)
	c.eventually(limit, func() error { return c.write(s) })
	c.await(limit, "a new primary", func() bool { return c.sim.Primary() != "a" })
	c.sim.Restart("a", false)
	draining := c.sim.Primary()
	c.sim.Drain(draining)
	c.await(limit, "a successor of the draining primary", func() bool { return c.sim.Primary() != draining })
	stop()
	s.leave()
	c.close()
}
