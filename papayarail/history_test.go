package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// writeHistory inserts batches one after the other in one session and records the
// outcome of each.
type writeHistory struct {
	conn     *pgx.Conn
	name     string
	next     int
	attempts int      // guarded by the cluster's mutex
	acked    []string // ids of acknowledged inserts
	notRun   []string // ids of inserts reported as not run
	unknown  []string // ids of inserts with an unknown outcome
	lastErr  error    // of the last insert that was not acknowledged
}

// insertBatch inserts one batch and records the outcome. It reports whether the session
// is still open.
func (h *writeHistory) insertBatch() bool {
	id := fmt.Sprintf("%s-%d", h.name, h.next)
	h.next++
	_, err := h.conn.Exec(context.Background(), "INSERT INTO batches (id, state) VALUES ($1, 'registered')", id)
	var pg *pgconn.PgError
	if err != nil {
		h.lastErr = err
	}
	switch {
	case err == nil:
		h.acked = append(h.acked, id)
	case errors.As(err, &pg) && strings.Contains(pg.Detail, "verdict=not_run"):
		h.notRun = append(h.notRun, id)
	default:
		h.unknown = append(h.unknown, id)
	}
	return !h.conn.IsClosed()
}

// startWriter returns a writer that has inserted 20 batches through the instance of a
// failure domain, and a reader connected to the instance of Siracusa.
func (c *cluster) startWriter(domain, name string) (*writeHistory, *pgx.Conn) {
	writer, reader := c.connect(domain), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	h := &writeHistory{conn: writer, name: name}
	for range 20 {
		h.insertBatch()
	}
	return h, reader
}

// insertUntil inserts batches until at least one has been acknowledged since the call
// and the condition holds.
func (h *writeHistory) insertUntil(t *testing.T, ok func() bool) {
	before := len(h.acked)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		assert.Assert(t, h.insertBatch(), "the session of %s ended", h.name)
		if len(h.acked) == before || !ok() {
			return poll.Continue("%d acknowledged, %d not run, %d unknown", len(h.acked), len(h.notRun), len(h.unknown))
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(1))
}

// insertAndCheck inserts 20 more batches and then checks the history.
func (h *writeHistory) insertAndCheck(t *testing.T, reader *pgx.Conn) {
	t.Helper()
	for range 20 {
		h.insertBatch()
	}
	h.check(t, reader)
}

// check reads all batches through another instance: those acknowledged must exist, and
// those reported as not run must not.
func (h *writeHistory) check(t *testing.T, reader *pgx.Conn) {
	found := make(map[string]bool)
	rows, err := reader.Query(context.Background(), "SELECT id FROM batches")
	assert.NilError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	assert.NilError(t, err)
	for _, id := range ids {
		found[id] = true
	}
	for _, id := range h.acked {
		assert.Assert(t, found[id], "guarantee 1/2: acknowledged batch %s is lost", id)
	}
	for _, id := range h.notRun {
		assert.Assert(t, !found[id], "guarantee 5: batch %s was reported as not run and was executed", id)
	}
}

// checkNoneUnknown checks the histories and that they have no unknown outcome.
func checkNoneUnknown(t *testing.T, histories []*writeHistory, reader *pgx.Conn) {
	for _, h := range histories {
		assert.Equal(t, len(h.unknown), 0, "guarantee 8: cut requests: %v", h.unknown)
		h.check(t, reader)
	}
}
