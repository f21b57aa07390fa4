package main

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/instance/owner"
)

// Guards against a failure domain that is cut off with the primary: no write may
// be acknowledged there, reads that can be proved go on, the other domains get a
// new primary, and after the cut everything agrees.
func TestFailureDomainCutOff(t *testing.T) {
	c := newCluster(t)
	inside, outside := c.connect("catania"), c.connect("messina")
	c.execUntilSuccess(inside, createBatches)
	l := &writeHistory{conn: inside, name: "before"}
	for range 20 {
		l.insertBatch()
	}
	old := c.primary("messina")
	assert.Equal(t, old, service+"-catania")
	_, err := outside.Exec(context.Background(), "SET papayarail.consistency = session")
	assert.NilError(t, err)

	var members []string
	for name := range c.faults {
		if name != old && name != "platform" {
			members = append(members, name)
		}
	}
	c.network.isolate("catania", true)
	c.setFaults(old, map[string]any{"cut": members})

	w := &writeHistory{conn: outside, name: "outside"}
	w.insertUntil(t, func() bool { return c.primary("messina") != old })
	// Before any write inside, nothing tells this side that its primary has been
	// replaced, except that the read gets no evidence.
	var count int
	err = inside.QueryRow(context.Background(), "SELECT count(*) FROM batches").Scan(&count)
	assert.ErrorContains(t, err, "SQLSTATE", "guarantee 1: a strict read missed %d acknowledged writes", len(w.acked))

	cut := &writeHistory{conn: inside, name: "inside"}
	for range 3 {
		cut.insertBatch()
	}
	assert.Equal(t, len(cut.acked), 0, "guarantee 2: acknowledged without a quorum")
	// Several reads, because the first ones are refused while the primary counts
	// as unreachable; the later ones reach it and lack the evidence.
	reads := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var count int
		err := inside.QueryRow(context.Background(), "SELECT count(*) FROM batches").Scan(&count)
		assert.ErrorContains(t, err, "SQLSTATE", "guarantee 1: a strict read was answered without proof")
		if reads++; reads < 5 {
			return poll.Continue("%d reads", reads)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(300*time.Millisecond))

	c.setFaults(old, map[string]any{"cut": []string{}})
	c.network.isolate("catania", false)
	c.awaitDump("catania", func(d *node.Dump) bool {
		return len(d.Peers) == 2 && string(d.Routes[0].Primary) != old
	})
	back := c.connect("catania")
	c.execUntilSuccess(back, "UPDATE batches SET state = 'seen' WHERE id = 'before-0'")
	for _, x := range []*writeHistory{l, w, cut} {
		x.check(t, back)
	}
}

// Guards against reads that stop in a failure domain whose replica provably has
// what the caller may expect, although the primary cannot be reached.
func TestCutOffDomainServesProvenReads(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("catania"), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	l := &writeHistory{conn: writer, name: "cut"}
	l.insertBatch()
	ctx := context.Background()
	_, err := reader.Exec(ctx, "SET papayarail.consistency = session")
	assert.NilError(t, err)
	assert.Equal(t, batchState(t, reader, "cut-0"), "registered")
	stale := c.connect("siracusa")
	_, err = stale.Exec(ctx, "SET papayarail.max_staleness = '4s'")
	assert.NilError(t, err)
	// The local replica proves an age with its first barrier. Without one before
	// the cut it has nothing to prove, and the read is rightly refused: seen when
	// another member served the read just after the start.
	c.awaitDump("siracusa", func(d *node.Dump) bool {
		return slices.ContainsFunc(d.Upstreams, func(u owner.State) bool {
			return u.Upstream == service+"-siracusa" && u.AgeMS != nil
		})
	})
	c.network.isolate("siracusa", true)
	assert.Equal(t, batchState(t, stale, "cut-0"), "registered")
	c.awaitDump("siracusa", func(d *node.Dump) bool { return len(d.Peers) == 0 })
	c.execUntilSuccess(reader, "SELECT state FROM batches WHERE id = 'cut-0'")
	assert.Equal(t, batchState(t, reader, "cut-0"), "registered")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := stale.Exec(ctx, "SELECT state FROM batches WHERE id = 'cut-0'")
		if err == nil {
			return poll.Continue("still served by age")
		}
		assert.ErrorContains(t, err, "57P03")
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	_, err = reader.Exec(ctx, "UPDATE batches SET state = 'lost' WHERE id = 'cut-0'")
	assert.ErrorContains(t, err, "SQLSTATE")
	var pg *pgconn.PgError
	assert.Assert(t, errors.As(err, &pg) && strings.Contains(pg.Detail, "verdict=not_run"), "guarantee 5: %v", err)
}
