package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/instance/node"
)

// Guards against statements of two sessions in one transaction: both rows of each
// committed transaction must exist, and no row of one that was rolled back.
func TestTransactionsNeverMix(t *testing.T) {
	c := newCluster(t)
	setup := c.connect("messina")
	ctx := context.Background()
	c.execUntilSuccess(setup, "CREATE TABLE IF NOT EXISTS moves (id text PRIMARY KEY, part text, session text)")
	const sessions, rounds = 6, 15
	var wg sync.WaitGroup
	failures := make([]error, sessions)
	for i := range sessions {
		conn := c.connect(domains[i%len(domains)])
		wg.Go(func() { failures[i] = insertMoves(ctx, conn, i, rounds) })
	}
	wg.Wait()
	for _, err := range failures {
		assert.NilError(t, err)
	}
	rows, err := setup.Query(ctx, "SELECT id, part, session FROM moves")
	assert.NilError(t, err)
	parts := make(map[string]int)
	for rows.Next() {
		var id, part, session string
		assert.NilError(t, rows.Scan(&id, &part, &session))
		move := strings.TrimSuffix(id, "/"+part)
		assert.Assert(t, strings.HasPrefix(move, session+"."), "guarantee 3: %s in a move of %s", session, move)
		parts[move]++
	}
	assert.NilError(t, rows.Err())
	for i := range sessions {
		for round := range rounds {
			want := 2
			if round%3 == 2 {
				want = 0 // rolled back
			}
			assert.Equal(t, parts[fmt.Sprintf("s%d.%d", i, round)], want, "guarantee 3: parts of a move")
		}
	}
}

// insertMoves runs transactions that insert two rows each; every third is rolled back.
func insertMoves(ctx context.Context, conn *pgx.Conn, session, rounds int) error {
	for round := range rounds {
		tx, err := conn.Begin(ctx)
		if err != nil {
			return err
		}
		for _, part := range []string{"out", "in"} {
			id := fmt.Sprintf("s%d.%d/%s", session, round, part)
			if _, err := tx.Exec(ctx, "INSERT INTO moves (id, part, session) VALUES ($1, $2, $3)", id, part, fmt.Sprintf("s%d", session)); err != nil {
				return err
			}
		}
		end := tx.Commit
		if round%3 == 2 {
			end = tx.Rollback
		}
		if err := end(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a caller whose deadlines cannot be met and whose timeouts make its
// instance stop using an upstream for other callers.
func TestShortDeadlinesLeaveOthersAlone(t *testing.T) {
	c := newCluster(t)
	writer, shortDeadline := c.connect("messina"), c.connect("messina")
	c.execUntilSuccess(writer, createBatches)
	ctx := context.Background()
	_, err := shortDeadline.Exec(ctx, "SET papayarail.deadline_ms = 1")
	assert.NilError(t, err)
	h := &writeHistory{conn: writer, name: "patient"}
	for range 100 {
		_, _ = shortDeadline.Exec(ctx, "SELECT count(*) FROM batches")
		assert.Assert(t, h.insertBatch())
	}
	assert.Equal(t, len(h.acked), 100, "not run: %v, unknown: %v, last: %v", h.notRun, h.unknown, h.lastErr)
}

// Guards against an open transaction that stays open, keeps its upstream connection, or
// commits after its entry instance has been killed.
func TestEntryKilledInTransaction(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	ctx := context.Background()
	tx, err := writer.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO batches (id, state) VALUES ('half', 'registered')")
	assert.NilError(t, err)
	hasOpenTransactions := func(n int) func(*node.Dump) bool {
		return func(d *node.Dump) bool {
			sum := 0
			for _, u := range d.Upstreams {
				sum += u.OpenTransactions
			}
			return sum == n
		}
	}
	c.awaitDump("catania", hasOpenTransactions(1))
	c.kill("messina")
	c.awaitDump("catania", hasOpenTransactions(0))
	c.execUntilSuccess(reader, "INSERT INTO batches (id, state) VALUES ('half', 'again')")
	assert.Equal(t, batchState(t, reader, "half"), "again")
}
