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

// Guards against a failover that needs an operator, loses acknowledged writes, or
// reports a write as not run although it was executed.
func TestPrimaryKilled(t *testing.T) {
	c := newCluster(t)
	h, reader := c.startWriter("messina", "killed")
	old := c.primary("messina")
	c.kill(old)
	h.insertUntil(t, func() bool { return c.primary("messina") != old })
	h.check(t, reader)
}

// Guards against a paused primary (SIGSTOP) that, when it resumes, acknowledges writes
// although it was replaced, or keeps its divergent log.
func TestPrimaryFrozen(t *testing.T) {
	c := newCluster(t)
	h, reader := c.startWriter("messina", "frozen")
	old := c.primary("messina")
	c.signal(old, syscall.SIGSTOP)
	h.insertUntil(t, func() bool { return c.primary("messina") != old })
	c.signal(old, syscall.SIGCONT)
	h.insertAndCheck(t, reader)
}

// Guards against a primary that acknowledges writes while it is partitioned from its
// replicas, and against a partition after which no new primary takes over.
func TestPrimaryCutOffFromReplicas(t *testing.T) {
	c := newCluster(t)
	h, reader := c.startWriter("catania", "cut")
	old := c.primary("messina")
	var others []string
	for name := range c.faults {
		if name != old && name != "platform" {
			others = append(others, name)
		}
	}
	c.setFaults(old, map[string]any{"cut": others})
	h.insertUntil(t, func() bool { return c.primary("messina") != old })
	c.setFaults(old, map[string]any{"cut": []string{}})
	h.insertAndCheck(t, reader)
}

// Guards against a failover that does not complete during an outage of the platform.
func TestPrimaryKilledWhilePlatformDown(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	c.kill("platform")
	h := &writeHistory{conn: writer, name: "outage"}
	for range 20 {
		h.insertBatch()
	}
	old := c.primary("messina")
	c.kill(old)
	h.insertUntil(t, func() bool { return c.primary("messina") != old })
	h.check(t, reader)
}

// Guards against a paused instance that, when it resumes, uses the upstreams that it
// owned before although other instances have taken them over.
func TestOwnerFrozen(t *testing.T) {
	c := newCluster(t)
	h, reader := c.startWriter("messina", "owner")
	owner := strings.TrimPrefix(c.primary("messina"), service+"-")
	assert.Equal(t, owner, "catania")
	c.signal(owner, syscall.SIGSTOP)
	h.insertUntil(t, func() bool { return true })
	c.signal(owner, syscall.SIGCONT)
	h.insertAndCheck(t, reader)
}

// Guards against treating a database as dead because its established connections
// stall: new connections work, so no replica may be promoted and writes must continue.
func TestSilentConnectionsCauseNoPromotion(t *testing.T) {
	c := newCluster(t)
	h, reader := c.startWriter("messina", "silent")
	primary := c.primary("messina")
	before := c.awaitDump("messina", func(d *node.Dump) bool { return len(d.Routes) == 1 }).Routes[0].Term
	c.setFaults(primary, map[string]any{"silence": true})
	h.insertUntil(t, func() bool { return true })
	h.check(t, reader)
	d := c.awaitDump("messina", func(d *node.Dump) bool { return len(d.Routes) == 1 })
	assert.Equal(t, d.Routes[0].Term, before, "stalled connections caused a promotion")
}

// Guards against losing request keys in a failover: the caller retries until it has a
// response, and each write must have been executed exactly once.
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
			if answers%2 == 1 { // as if the response had been lost
				return poll.Continue("retrying as if the response had been lost")
			}
			return poll.Success()
		}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
	}
	var pieces int64
	assert.NilError(t, reader.QueryRow(ctx, "SELECT pieces FROM stock WHERE id = 'glue'").Scan(&pieces))
	assert.Equal(t, pieces, int64(1000-writeOffs), "guarantee 6: the number of executed write-offs differs from the number requested")
}
