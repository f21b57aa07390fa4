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

// ledger registers batches one after the other and remembers which were
// acknowledged and which were reported as not run.
type writeHistory struct {
	conn     *pgx.Conn
	name     string
	next     int
	attempts int // guarded by the cluster's mutex
	acked    []string
	notRun   []string
	unknown  []string // outcome unknown
	lastErr  error    // of the last request that was not acknowledged
}

// register writes one batch and notes the outcome. It reports whether the
// session can go on.
func (l *writeHistory) insertBatch() bool {
	id := fmt.Sprintf("%s-%d", l.name, l.next)
	l.next++
	_, err := l.conn.Exec(context.Background(), "INSERT INTO batches (id, state) VALUES ($1, 'registered')", id)
	var pg *pgconn.PgError
	if err != nil {
		l.lastErr = err
	}
	switch {
	case err == nil:
		l.acked = append(l.acked, id)
	case errors.As(err, &pg) && strings.Contains(pg.Detail, "verdict=not_run"):
		l.notRun = append(l.notRun, id)
	default:
		l.unknown = append(l.unknown, id)
	}
	return !l.conn.IsClosed()
}

// written returns the ledger of a caller that has registered some batches at the
// instance of a failure domain, and a reader at Siracusa.
func (c *cluster) startWriter(domain, name string) (*writeHistory, *pgx.Conn) {
	writer, reader := c.connect(domain), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	l := &writeHistory{conn: writer, name: name}
	for range 20 {
		l.insertBatch()
	}
	return l, reader
}

// insertUntil writes until the condition holds after an acknowledgement that
// came later than the call.
func (l *writeHistory) insertUntil(t *testing.T, ok func() bool) {
	before := len(l.acked)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		assert.Assert(t, l.insertBatch(), "the session of %s ended", l.name)
		if len(l.acked) == before || !ok() {
			return poll.Continue("%d acknowledged, %d not run, %d unknown", len(l.acked), len(l.notRun), len(l.unknown))
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(1))
}

// insertAndCheck writes on after a fault and then checks.
func (l *writeHistory) insertAndCheck(t *testing.T, reader *pgx.Conn) {
	t.Helper()
	for range 20 {
		l.insertBatch()
	}
	l.check(t, reader)
}

// check reads everything back through another instance.
func (l *writeHistory) check(t *testing.T, reader *pgx.Conn) {
	found := make(map[string]bool)
	rows, err := reader.Query(context.Background(), "SELECT id FROM batches")
	assert.NilError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	assert.NilError(t, err)
	for _, id := range ids {
		found[id] = true
	}
	for _, id := range l.acked {
		assert.Assert(t, found[id], "guarantee 1/2: acknowledged batch %s is lost", id)
	}
	for _, id := range l.notRun {
		assert.Assert(t, !found[id], "guarantee 5: batch %s was reported as not run and was run", id)
	}
}

// checkNoneUnknown reads the ledgers back and demands that no outcome is unknown.
func checkNoneUnknown(t *testing.T, ledgers []*writeHistory, reader *pgx.Conn) {
	for _, l := range ledgers {
		assert.Equal(t, len(l.unknown), 0, "guarantee 8: cut requests: %v", l.unknown)
		l.check(t, reader)
	}
}
