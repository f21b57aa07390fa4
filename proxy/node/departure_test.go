//go:build !race

// See simulated_test.go for why these tests do not build under the race detector.

package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/simulator"
	"github.com/papayarail/papayarail/proxy/statement"
)

// Guards against queued reads and writes that are executed, or retried on other members,
// although their callers have disconnected.
func TestDepartedCallersAreNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1")
		c.sim.SetReadTime(300 * time.Millisecond)
		before := c.sim.ReadCount()
		var departed []*callerStub
		for range 12 {
			s := c.open("i1", simulator.Database)
			s.statements <- statement.Statement{ID: "r", Kind: statement.Read, Operands: "x"}
			departed = append(departed, s)
			time.Sleep(time.Millisecond)
		}
		writer := c.open("i1", simulator.Database)
		writer.statements <- statement.Statement{ID: "never", Kind: statement.Write, Operands: "x 1"}
		time.Sleep(100 * time.Millisecond)
		running := c.sim.Connections(c.sim.Primary())
		for _, s := range append(departed, writer) {
			s.leave()
		}
		for _, s := range append(departed, writer) {
			<-s.ended
		}
		time.Sleep(3 * time.Second)
		executed := c.sim.ReadCount() - before
		assert.Assert(t, executed > 0 && executed <= running, "%d reads were executed, %d connections were open", executed, running)
		assert.Equal(t, c.sim.CountWrite("never"), 0)
		c.closeSimulated()
	})
}

// Guards against the open transaction of a disconnected caller that keeps its connection
// while its next statement waits, and against a commit that is sent for it.
func TestDepartedCallerReleasesItsTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimulated(t, "i1")
		s := c.open("i1", simulator.Database)
		for _, kind := range []statement.Kind{statement.Begin, statement.Write} {
			assert.NilError(t, s.send(statement.Statement{ID: "never", Kind: kind, Operands: "x 1"}).Err)
		}
		c.sim.SetReadTime(time.Second)
		var others []*callerStub
		for range 6 {
			other := c.open("i1", simulator.Database)
			other.statements <- statement.Statement{ID: "r", Kind: statement.Read, Operands: "x"}
			others = append(others, other)
		}
		time.Sleep(50 * time.Millisecond)
		s.statements <- statement.Statement{ID: "never", Kind: statement.Commit}
		time.Sleep(20 * time.Millisecond)
		left := time.Now()
		s.leave()
		<-s.ended
		assert.Assert(t, time.Since(left) <= 100*time.Millisecond, "the transaction ended after %s", time.Since(left))
		for _, other := range others {
			other.leave()
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.sim.CountWrite("never"), 0)
		c.closeSimulated()
	})
}
