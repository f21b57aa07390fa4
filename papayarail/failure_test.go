package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
)

// ledger registers batches one after the other and remembers which were
// acknowledged and which were reported as not run.
type ledger struct {
	conn   *pgx.Conn
	name   string
	next   int
	done   int // guarded by the cluster's mutex
	acked  []string
	notRun []string
	open   []string // outcome unknown
}

// register writes one batch and notes the outcome. It reports whether the
// session can go on.
func (l *ledger) register() bool {
	id := fmt.Sprintf("%s-%d", l.name, l.next)
	l.next++
	_, err := l.conn.Exec(context.Background(), "INSERT INTO batches (id, state) VALUES ($1, 'registered')", id)
	var pg *pgconn.PgError
	switch {
	case err == nil:
		l.acked = append(l.acked, id)
	case errors.As(err, &pg) && strings.Contains(pg.Detail, "verdict=not_run"):
		l.notRun = append(l.notRun, id)
	default:
		l.open = append(l.open, id)
	}
	return !l.conn.IsClosed()
}

// registerUntil writes until the condition holds after an acknowledgement that
// came later than the call.
func (l *ledger) registerUntil(t *testing.T, ok func() bool) {
	before := len(l.acked)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		assert.Assert(t, l.register(), "the session of %s ended", l.name)
		if len(l.acked) == before || !ok() {
			return poll.Continue("%d acknowledged, %d not run, %d unknown", len(l.acked), len(l.notRun), len(l.open))
		}
		return poll.Success()
	}, poll.WithTimeout(hangLimit), poll.WithDelay(1))
}

// check reads everything back through another instance.
func (l *ledger) check(t *testing.T, reader *pgx.Conn) {
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

// Guards against a failover that needs an operator, loses acknowledged orders or
// reports a write that ran as not run.
func TestPrimaryKilled(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	l := &ledger{conn: writer, name: "killed"}
	for range 50 {
		l.register()
	}
	old := c.primary("messina")
	c.kill(old)
	l.registerUntil(t, func() bool { return c.primary("messina") != old })
	l.check(t, reader)
}

// Guards against a frozen primary that acknowledges after it was replaced, and
// against one that keeps its divergent log when it wakes.
func TestPrimaryFrozen(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	l := &ledger{conn: writer, name: "frozen"}
	for range 20 {
		l.register()
	}
	old := c.primary("messina")
	c.signal(old, syscall.SIGSTOP)
	l.registerUntil(t, func() bool { return c.primary("messina") != old })
	c.signal(old, syscall.SIGCONT)
	for range 20 {
		l.register()
	}
	l.check(t, reader)
}

// Guards against a primary that is cut off from its replicas and goes on to
// acknowledge: its writes must not be acknowledged, and a new primary takes over.
func TestPrimaryCutOffFromReplicas(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("catania"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	l := &ledger{conn: writer, name: "cut"}
	for range 20 {
		l.register()
	}
	old := c.primary("messina")
	var others []string
	for name := range c.faults {
		if name != old {
			others = append(others, name)
		}
	}
	c.fault(old, map[string]any{"cut": others})
	l.registerUntil(t, func() bool { return c.primary("messina") != old })
	c.fault(old, map[string]any{"cut": []string{}})
	for range 20 {
		l.register()
	}
	l.check(t, reader)
}

// Guards against a failover that needs the platform.
func TestPrimaryKilledWhilePlatformDown(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	c.kill("platform")
	l := &ledger{conn: writer, name: "outage"}
	for range 20 {
		l.register()
	}
	old := c.primary("messina")
	c.kill(old)
	l.registerUntil(t, func() bool { return c.primary("messina") != old })
	l.check(t, reader)
}

// Guards against an owner that is paused, loses its upstreams to others, and
// serves or acknowledges with them when it wakes.
func TestOwnerFrozen(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	l := &ledger{conn: writer, name: "owner"}
	for range 20 {
		l.register()
	}
	owner := strings.TrimPrefix(c.primary("messina"), service+"-")
	assert.Equal(t, owner, "catania")
	c.signal(owner, syscall.SIGSTOP)
	l.registerUntil(t, func() bool { return true })
	c.signal(owner, syscall.SIGCONT)
	for range 20 {
		l.register()
	}
	l.check(t, reader)
}

// Guards against open connections that have gone silent being taken for a dead
// database: new ones work, so nothing may be promoted and service goes on.
func TestSilentConnectionsCauseNoPromotion(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	l := &ledger{conn: writer, name: "silent"}
	for range 20 {
		l.register()
	}
	primary := c.primary("messina")
	before := c.awaitDump("messina", func(d *node.Dump) bool { return len(d.Routes) == 1 }).Routes[0].Term
	c.fault(primary, map[string]any{"silence": true})
	l.registerUntil(t, func() bool { return true })
	l.check(t, reader)
	d := c.awaitDump("messina", func(d *node.Dump) bool { return len(d.Routes) == 1 })
	assert.Equal(t, d.Routes[0].Term, before, "a silent connection caused a promotion")
}

// Guards against a planned stop that cuts requests: callers that move on when
// they are told to must see neither a lost nor an unknown outcome.
func TestDrainCutsNothing(t *testing.T) {
	c := newCluster(t)
	setup := c.connect("messina")
	c.eventually(setup, createBatches)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	ledgers := make([]*ledger, 8)
	for i := range ledgers {
		l := &ledger{conn: c.connect("catania"), name: fmt.Sprintf("drain%d", i)}
		ledgers[i] = l
		wg.Go(func() { c.load(l, "messina", stop) })
	}
	for _, l := range ledgers {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if c.count(l) < 20 {
				return poll.Continue("waiting for load")
			}
			return poll.Success()
		}, poll.WithTimeout(hangLimit))
	}
	_, stderr, err := client("drain", "-wait", hangLimit.String(), c.settings["catania"].OperatorAddress)
	assert.NilError(t, err, stderr)
	assert.NilError(t, c.wait("catania"))
	close(stop)
	wg.Wait()
	reader := c.connect("siracusa")
	for _, l := range ledgers {
		assert.Equal(t, len(l.open), 0, "guarantee 8: cut requests: %v", l.open)
		l.check(t, reader)
	}
}

// Guards against two operators who edit the same revision and both believe that
// theirs is in force, and against a revision that is not in force everywhere.
func TestTwoOperators(t *testing.T) {
	c := newCluster(t)
	files := make([]string, 2)
	for i := range files {
		c.document.Services[0].MaxStalenessMS = 6000 + i
		files[i] = c.file(fmt.Sprintf("edit%d", i), c.document)
	}
	results := make([]error, len(files))
	var wg sync.WaitGroup
	for i, file := range files {
		wg.Go(func() {
			_, _, results[i] = client("apply", "-platform", "http://"+c.platform, "-revision", "1", file)
		})
	}
	wg.Wait()
	assert.Assert(t, (results[0] == nil) != (results[1] == nil), "exactly one edit wins: %v", results)
	_, stderr, err := client("status", "-wait", "2", "-timeout", hangLimit.String(), c.settings["siracusa"].OperatorAddress)
	assert.NilError(t, err, stderr)
}

// Guards against an upstream that is leaving and still gets work, or whose
// departure as primary loses orders.
func TestLeavingPrimary(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	l := &ledger{conn: writer, name: "leaving"}
	l.register()
	old := c.primary("messina")
	for i := range c.document.Services[0].Databases {
		if c.document.Services[0].Databases[i].Name == old {
			c.document.Services[0].Databases[i].State = fleet.Leaving
		}
	}
	c.apply("1")
	l.registerUntil(t, func() bool { return c.primary("messina") != old })
	assert.Equal(t, len(l.open), 0, "guarantee 8: cut requests: %v", l.open)
	l.check(t, reader)
}
