package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/instance/node"
)

const createBatches = "CREATE TABLE IF NOT EXISTS batches (id text PRIMARY KEY, state text)"

func batchState(t *testing.T, conn *pgx.Conn, id string) string {
	t.Helper()
	var s string
	err := conn.QueryRow(context.Background(), "SELECT state FROM batches WHERE id = $1", id).Scan(&s)
	assert.NilError(t, err)
	return s
}

// Guards against read-your-writes that holds only while all instances run in one process,
// and against a killed instance that makes others unavailable.
func TestReadYourWritesAcrossProcesses(t *testing.T) {
	c := newCluster(t)
	ctx := context.Background()
	catania, messina := c.connect("catania"), c.connect("messina")
	c.execUntilSuccess(catania, createBatches)

	_, err := catania.Exec(ctx, "INSERT INTO batches (id, state) VALUES ($1, $2)", "b1", "registered")
	assert.NilError(t, err)
	assert.Equal(t, batchState(t, messina, "b1"), "registered")
	_, err = messina.Exec(ctx, "UPDATE batches SET state = 'recalled' WHERE id = $1", "b1")
	assert.NilError(t, err)
	assert.Equal(t, batchState(t, catania, "b1"), "recalled")

	tx, err := catania.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO batches (id, state) VALUES ('b2', 'registered')")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit(ctx))
	assert.Equal(t, batchState(t, messina, "b2"), "registered")

	c.kill("siracusa")
	c.awaitDump("catania", func(d *node.Dump) bool { return len(d.Peers) == 1 })
	c.execUntilSuccess(catania, "UPDATE batches SET state = 'sold' WHERE id = 'b1'")
	assert.Equal(t, batchState(t, messina, "b1"), "sold")
}

// Guards against a check that does not report the location of a finding or exits with
// status 0.
func TestCheckNamesThePlace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "broken.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"deployment": "x", "failure_domains": [7]}`), 0o600))
	_, stderr, err := runCLI("check", file)
	assert.ErrorContains(t, err, "exit status 1")
	assert.Assert(t, strings.Contains(stderr, "/failure_domains/0"), stderr)
	_, _, err = runCLI("check")
	assert.ErrorContains(t, err, "exit status 2")
}
