package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
)

// Guards against a planned stop that interrupts requests: callers that reconnect when
// their connection ends must see neither a lost write nor an unknown outcome.
func TestDrainCutsNothing(t *testing.T) {
	c := newCluster(t)
	setup := c.connect("messina")
	c.execUntilSuccess(setup, createBatches)
	// Callers of the stopping instance, and callers of another instance, whose
	// requests the stopping instance executes because it owns the primary.
	histories, stop := c.startWriters("catania", "messina")
	_, stderr, err := runCLI("drain", "-wait", testTimeout.String(), c.settings["catania"].OperatorAddress)
	assert.NilError(t, err, stderr)
	assert.NilError(t, c.wait("catania"))
	stop()
	checkNoneUnknown(t, histories, c.connect("siracusa"))
}

// Guards against a planned stop that aborts the open transaction of a caller of another
// instance, whose upstream connection belongs to the stopping instance.
func TestDrainLetsTransactionsEnd(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	ctx := context.Background()
	tx, err := writer.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO batches (id, state) VALUES ('open', 'registered')")
	assert.NilError(t, err)
	_, stderr, err := runCLI("drain", c.settings["catania"].OperatorAddress)
	assert.NilError(t, err, stderr)
	c.awaitDump("catania", func(d *node.Dump) bool {
		return d.Leaving && len(d.Upstreams) == 1 && d.Upstreams[0].Retiring
	})
	_, err = tx.Exec(ctx, "INSERT INTO batches (id, state) VALUES ('later', 'registered')")
	assert.NilError(t, err, "guarantee 8")
	assert.NilError(t, tx.Commit(ctx), "guarantee 8")
	assert.NilError(t, c.wait("catania"))
	c.execUntilSuccess(reader, "SELECT state FROM batches WHERE id = 'open'")
	assert.Equal(t, batchState(t, reader, "open"), "registered")
}

// Guards against a revision that halves instances and connections and thereby interrupts
// requests, or leaves more connections open than the new budget.
func TestHalvingCutsNothing(t *testing.T) {
	c := newCluster(t, "catania-2", "messina-2")
	setup := c.connect("siracusa")
	c.execUntilSuccess(setup, createBatches)
	histories, stop := c.startWriters("catania", "catania-2", "messina", "messina-2")
	for i := range c.document.Instances {
		if strings.HasSuffix(c.document.Instances[i].Name, "a-2") {
			c.document.Instances[i].State = fleet.Leaving
		}
	}
	const half = 7
	for i := range c.document.Services[0].Databases {
		c.document.Services[0].Databases[i].Connections = half
	}
	c.applyDocument("1")
	assert.NilError(t, c.wait("catania-2"))
	assert.NilError(t, c.wait("messina-2"))
	for _, d := range domains {
		c.awaitDump(d, func(n *node.Dump) bool {
			for _, u := range n.Upstreams {
				if u.Budget != half || u.Connections > half {
					return false
				}
			}
			return n.Revision == 2 && len(n.Peers) == 2
		})
	}
	stop()
	checkNoneUnknown(t, histories, c.connect("siracusa"))
}

// Guards against accepting the edits of two operators on the same revision, and against
// a revision that is not in force on all instances.
func TestTwoOperators(t *testing.T) {
	c := newCluster(t)
	files := make([]string, 2)
	for i := range files {
		c.document.Services[0].MaxStalenessMS = 6000 + i
		files[i] = c.writeJSONFile(fmt.Sprintf("edit%d", i), c.document)
	}
	// The delay makes both edits read the revision before either writes.
	c.setFaults("platform", map[string]any{"delay_ms": 300})
	results := make([]error, len(files))
	var wg sync.WaitGroup
	for i, file := range files {
		wg.Go(func() {
			_, _, results[i] = runCLI("apply", "-platform", "http://"+c.platform, "-revision", "1", file)
		})
	}
	wg.Wait()
	c.setFaults("platform", map[string]any{})
	assert.Assert(t, (results[0] == nil) != (results[1] == nil), "exactly one edit must be accepted: %v", results)
	_, stderr, err := runCLI("status", "-wait", "2", "-timeout", testTimeout.String(), c.settings["siracusa"].OperatorAddress)
	assert.NilError(t, err, stderr)
}

// Guards against a leaving upstream that stays the primary, and against losing or
// interrupting writes when a leaving primary is replaced.
func TestLeavingPrimary(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	h := &writeHistory{conn: writer, name: "leaving"}
	h.insertBatch()
	old := c.primary("messina")
	for i := range c.document.Services[0].Databases {
		if c.document.Services[0].Databases[i].Name == old {
			c.document.Services[0].Databases[i].State = fleet.Leaving
		}
	}
	c.applyDocument("1")
	h.insertUntil(t, func() bool { return c.primary("messina") != old })
	assert.Equal(t, len(h.unknown), 0, "guarantee 8: cut requests: %v", h.unknown)
	h.check(t, reader)
}
