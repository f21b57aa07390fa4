package main

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/papayarail/papayarail/instance/node"
)

// Guards against a failover that needs an operator, loses acknowledged orders or
// reports a write that ran as not run.
func TestPrimaryKilled(t *testing.T) {
	c := newCluster(t)
	l, reader := c.startWriter("messina", "killed")
	old := c.primary("messina")
	c.kill(old)
	l.insertUntil(t, func() bool { return c.primary("messina") != old })
	l.check(t, reader)
}

// Guards against a frozen primary that acknowledges after it was replaced, and
// against one that keeps its divergent log when it wakes.
func TestPrimaryFrozen(t *testing.T) {
	c := newCluster(t)
	l, reader := c.startWriter("messina", "frozen")
	old := c.primary("messina")
	c.signal(old, syscall.SIGSTOP)
	l.insertUntil(t, func() bool { return c.primary("messina") != old })
	c.signal(old, syscall.SIGCONT)
	l.insertAndCheck(t, reader)
}

// Guards against a primary that is cut off from its replicas and goes on to
// acknowledge: its writes must not be acknowledged, and a new primary takes over.
func TestPrimaryCutOffFromReplicas(t *testing.T) {
	c := newCluster(t)
	l, reader := c.startWriter("catania", "cut")
	old := c.primary("messina")
	var others []string
	for name := range c.faults {
		if name != old && name != "platform" {
			others = append(others, name)
		}
	}
	c.setFaults(old, map[string]any{"cut": others})
	l.insertUntil(t, func() bool { return c.primary("messina") != old })
	c.setFaults(old, map[string]any{"cut": []string{}})
	l.insertAndCheck(t, reader)
}

// Guards against a failover that needs the platform.
func TestPrimaryKilledWhilePlatformDown(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	c.kill("platform")
	l := &writeHistory{conn: writer, name: "outage"}
	for range 20 {
		l.insertBatch()
	}
	old := c.primary("messina")
	c.kill(old)
	l.insertUntil(t, func() bool { return c.primary("messina") != old })
	l.check(t, reader)
}

// Guards against an owner that is paused, loses its upstreams to others, and
// serves or acknowledges with them when it wakes.
func TestOwnerFrozen(t *testing.T) {
	c := newCluster(t)
	l, reader := c.startWriter("messina", "owner")
	owner := strings.TrimPrefix(c.primary("messina"), service+"-")
	assert.Equal(t, owner, "catania")
	c.signal(owner, syscall.SIGSTOP)
	l.insertUntil(t, func() bool { return true })
	c.signal(owner, syscall.SIGCONT)
	l.insertAndCheck(t, reader)
}

// Guards against open connections that have gone silent being taken for a dead
// database: new ones work, so nothing may be promoted and service goes on.
func TestSilentConnectionsCauseNoPromotion(t *testing.T) {
	c := newCluster(t)
	l, reader := c.startWriter("messina", "silent")
	primary := c.primary("messina")
	before := c.awaitDump("messina", func(d *node.Dump) bool { return len(d.Routes) == 1 }).Routes[0].Term
	c.setFaults(primary, map[string]any{"silence": true})
	l.insertUntil(t, func() bool { return true })
	l.check(t, reader)
	d := c.awaitDump("messina", func(d *node.Dump) bool { return len(d.Routes) == 1 })
	assert.Equal(t, d.Routes[0].Term, before, "a silent connection caused a promotion")
}

// Guards against a request key that is forgotten in a failover: the caller asks
// until it has an answer, and the work must have been done once.
func TestRequestKeyAcrossFailover(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	ctx := context.Background()
	c.execUntilSuccess(writer, "CREATE TABLE IF NOT EXISTS stock (id text PRIMARY KEY, pieces bigint)")
	c.execUntilSuccess(writer, "INSERT INTO stock (id, pieces) VALUES ('glue', 1000) ON CONFLICT DO NOTHING")
	old := c.primary("messina")
	const writeOffs = 40
	answers := 0
	for i := range writeOffs {
		if i == writeOffs/2 {
			c.kill(old)
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			_, err := writer.Exec(ctx, fmt.Sprintf("SET papayarail.request_key = 'write-off-%d'", i))
			assert.NilError(t, err)
			_, err = writer.Exec(ctx, "UPDATE stock SET pieces = pieces - 1 WHERE id = 'glue'")
			if err != nil {
				return poll.Continue("%v", err)
			}
			answers++
			if answers%2 == 1 { // a caller that has lost its answer asks again
				return poll.Continue("asking once more")
			}
			return poll.Success()
		}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
	}
	var pieces int64
	assert.NilError(t, reader.QueryRow(ctx, "SELECT pieces FROM stock WHERE id = 'glue'").Scan(&pieces))
	assert.Equal(t, pieces, int64(1000-writeOffs), "guarantee 6: write-offs ran another number of times than asked")
}
