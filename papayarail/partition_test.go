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

// Guards against split brain when the failure domain of the primary is partitioned: no
// write may be acknowledged and no strict read served there, the other domains must get
// a new primary, and after the partition all writes must be consistent.
func TestFailureDomainCutOff(t *testing.T) {
	c := newCluster(t)
	inside, outside := c.connect("catania"), c.connect("messina")
	c.execUntilSuccess(inside, createBatches)
	beforeHistory := &writeHistory{conn: inside, name: "before"}
	for range 20 {
		beforeHistory.insertBatch()
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

	outsideHistory := &writeHistory{conn: outside, name: "outside"}
	outsideHistory.insertUntil(t, func() bool { return c.primary("messina") != old })
	// Before the first write inside the partition, the missing confirmation of the
	// read is the only sign there that the primary has been replaced.
	var count int
	err = inside.QueryRow(context.Background(), "SELECT count(*) FROM batches").Scan(&count)
	assert.ErrorContains(t, err, "SQLSTATE", "guarantee 1: a strict read missed %d acknowledged writes", len(outsideHistory.acked))

	insideHistory := &writeHistory{conn: inside, name: "inside"}
	for range 3 {
		insideHistory.insertBatch()
	}
	assert.Equal(t, len(insideHistory.acked), 0, "guarantee 2: acknowledged without a quorum")
	// The first reads are refused because the primary counts as unreachable. Later
	// ones reach the primary, which gets no confirmation that it is current.
	reads := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var count int
		err := inside.QueryRow(context.Background(), "SELECT count(*) FROM batches").Scan(&count)
		assert.ErrorContains(t, err, "SQLSTATE", "guarantee 1: a strict read was served without confirmation of the primary")
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
	for _, history := range []*writeHistory{beforeHistory, outsideHistory, insideHistory} {
		history.check(t, back)
	}
}

// Guards against refusing reads in a partitioned failure domain although its replica
// provably has the position or the age that the caller requires.
func TestCutOffDomainServesProvenReads(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("catania"), c.connect("siracusa")
	c.execUntilSuccess(writer, createBatches)
	h := &writeHistory{conn: writer, name: "cut"}
	h.insertBatch()
	ctx := context.Background()
	_, err := reader.Exec(ctx, "SET papayarail.consistency = session")
	assert.NilError(t, err)
	assert.Equal(t, batchState(t, reader, "cut-0"), "registered")
	staleReader := c.connect("siracusa")
	_, err = staleReader.Exec(ctx, "SET papayarail.max_staleness = '4s'")
	assert.NilError(t, err)
	// The local replica can prove its age from its first barrier on. Without a barrier
	// before the partition, the read is refused correctly, which happens if another
	// member served the read just after the start.
	c.awaitDump("siracusa", func(d *node.Dump) bool {
		return slices.ContainsFunc(d.Upstreams, func(u owner.State) bool {
			return u.Upstream == service+"-siracusa" && u.AgeMS != nil
		})
	})
	c.network.isolate("siracusa", true)
	assert.Equal(t, batchState(t, staleReader, "cut-0"), "registered")
	c.awaitDump("siracusa", func(d *node.Dump) bool { return len(d.Peers) == 0 })
	c.execUntilSuccess(reader, "SELECT state FROM batches WHERE id = 'cut-0'")
	assert.Equal(t, batchState(t, reader, "cut-0"), "registered")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := staleReader.Exec(ctx, "SELECT state FROM batches WHERE id = 'cut-0'")
		if err == nil {
			return poll.Continue("read is still within the maximum staleness")
		}
		assert.ErrorContains(t, err, "57P03")
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	_, err = reader.Exec(ctx, "UPDATE batches SET state = 'lost' WHERE id = 'cut-0'")
	assert.ErrorContains(t, err, "SQLSTATE")
	var pg *pgconn.PgError
	assert.Assert(t, errors.As(err, &pg) && strings.Contains(pg.Detail, "verdict=not_run"), "guarantee 5: %v", err)
}
