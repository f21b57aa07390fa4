package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

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
	last   error    // of the last request that was not acknowledged
}

// register writes one batch and notes the outcome. It reports whether the
// session can go on.
func (l *ledger) register() bool {
	id := fmt.Sprintf("%s-%d", l.name, l.next)
	l.next++
	_, err := l.conn.Exec(context.Background(), "INSERT INTO batches (id, state) VALUES ($1, 'registered')", id)
	var pg *pgconn.PgError
	if err != nil {
		l.last = err
	}
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
		if name != old && name != "platform" {
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
	// Callers of the stopping instance, and callers of another one whose requests
	// it runs as the owner of the primary.
	ledgers, stop := c.startLoad("catania", "messina")
	_, stderr, err := client("drain", "-wait", hangLimit.String(), c.settings["catania"].OperatorAddress)
	assert.NilError(t, err, stderr)
	assert.NilError(t, c.wait("catania"))
	stop()
	checkUncut(t, ledgers, c.connect("siracusa"))
}

// Guards against a planned stop that cuts the open transaction of a caller at
// another instance, whose connection the stopping instance holds as the owner.
func TestDrainLetsTransactionsEnd(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	ctx := context.Background()
	tx, err := writer.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO batches (id, state) VALUES ('open', 'registered')")
	assert.NilError(t, err)
	_, stderr, err := client("drain", c.settings["catania"].OperatorAddress)
	assert.NilError(t, err, stderr)
	c.awaitDump("catania", func(d *node.Dump) bool {
		return d.Leaving && len(d.Upstreams) == 1 && d.Upstreams[0].Retiring
	})
	_, err = tx.Exec(ctx, "INSERT INTO batches (id, state) VALUES ('later', 'registered')")
	assert.NilError(t, err, "guarantee 8")
	assert.NilError(t, tx.Commit(ctx), "guarantee 8")
	assert.NilError(t, c.wait("catania"))
	c.eventually(reader, "SELECT state FROM batches WHERE id = 'open'")
	assert.Equal(t, state(t, reader, "open"), "registered")
}

// checkUncut reads the ledgers back and demands that no outcome is unknown.
func checkUncut(t *testing.T, ledgers []*ledger, reader *pgx.Conn) {
	for _, l := range ledgers {
		assert.Equal(t, len(l.open), 0, "guarantee 8: cut requests: %v", l.open)
		l.check(t, reader)
	}
}

// Guards against a halving by the document, of instances and of connections,
// that cuts requests or leaves connections above the new budget.
func TestHalvingCutsNothing(t *testing.T) {
	c := newCluster(t, "catania-2", "messina-2")
	setup := c.connect("siracusa")
	c.eventually(setup, createBatches)
	ledgers, stop := c.startLoad("catania", "catania-2", "messina", "messina-2")
	for i := range c.document.Instances {
		if strings.HasSuffix(c.document.Instances[i].Name, "a-2") {
			c.document.Instances[i].State = fleet.Leaving
		}
	}
	const half = 7
	for i := range c.document.Services[0].Databases {
		c.document.Services[0].Databases[i].Connections = half
	}
	c.apply("1")
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
	checkUncut(t, ledgers, c.connect("siracusa"))
}

// Guards against statements of two sessions that end up in one transaction: each
// session's rows appear together, and those that were rolled back never do.
func TestTransactionsNeverMix(t *testing.T) {
	c := newCluster(t)
	setup := c.connect("messina")
	ctx := context.Background()
	c.eventually(setup, "CREATE TABLE IF NOT EXISTS moves (id text PRIMARY KEY, part text, session text)")
	const sessions, rounds = 6, 15
	var wg sync.WaitGroup
	failures := make([]error, sessions)
	for i := range sessions {
		conn := c.connect(domains[i%len(domains)])
		wg.Go(func() { failures[i] = moveStock(ctx, conn, i, rounds) })
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

// moveStock runs transactions of two rows each; every third is rolled back.
func moveStock(ctx context.Context, conn *pgx.Conn, session, rounds int) error {
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

// Guards against two operators who edit the same revision and both believe that
// theirs is in force, and against a revision that is not in force everywhere.
func TestTwoOperators(t *testing.T) {
	c := newCluster(t)
	files := make([]string, 2)
	for i := range files {
		c.document.Services[0].MaxStalenessMS = 6000 + i
		files[i] = c.file(fmt.Sprintf("edit%d", i), c.document)
	}
	// The delay lets both read the revision before either writes.
	c.fault("platform", map[string]any{"delay_ms": 300})
	results := make([]error, len(files))
	var wg sync.WaitGroup
	for i, file := range files {
		wg.Go(func() {
			_, _, results[i] = client("apply", "-platform", "http://"+c.platform, "-revision", "1", file)
		})
	}
	wg.Wait()
	c.fault("platform", map[string]any{})
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

// Guards against a failure domain that is cut off with the primary: no write may
// be acknowledged there, reads that can be proved go on, the other domains get a
// new primary, and after the cut everything agrees.
func TestFailureDomainCutOff(t *testing.T) {
	c := newCluster(t)
	inside, outside := c.connect("catania"), c.connect("messina")
	c.eventually(inside, createBatches)
	l := &ledger{conn: inside, name: "before"}
	for range 20 {
		l.register()
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
	c.fault(old, map[string]any{"cut": members})

	w := &ledger{conn: outside, name: "outside"}
	w.registerUntil(t, func() bool { return c.primary("messina") != old })
	// Before any write inside, nothing tells this side that its primary has been
	// replaced, except that the read gets no evidence.
	var count int
	err = inside.QueryRow(context.Background(), "SELECT count(*) FROM batches").Scan(&count)
	assert.ErrorContains(t, err, "SQLSTATE", "guarantee 1: a strict read missed %d acknowledged writes", len(w.acked))

	cut := &ledger{conn: inside, name: "inside"}
	for range 3 {
		cut.register()
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
	}, poll.WithTimeout(hangLimit), poll.WithDelay(300*time.Millisecond))

	c.fault(old, map[string]any{"cut": []string{}})
	c.network.isolate("catania", false)
	c.awaitDump("catania", func(d *node.Dump) bool {
		return len(d.Peers) == 2 && string(d.Routes[0].Primary) != old
	})
	back := c.connect("catania")
	c.eventually(back, "UPDATE batches SET state = 'seen' WHERE id = 'before-0'")
	for _, x := range []*ledger{l, w, cut} {
		x.check(t, back)
	}
}

// Guards against reads that stop in a failure domain whose replica provably has
// what the caller may expect, although the primary cannot be reached.
func TestCutOffDomainServesProvenReads(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("catania"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	l := &ledger{conn: writer, name: "cut"}
	l.register()
	ctx := context.Background()
	_, err := reader.Exec(ctx, "SET papayarail.consistency = session")
	assert.NilError(t, err)
	assert.Equal(t, state(t, reader, "cut-0"), "registered")
	stale := c.connect("siracusa")
	_, err = stale.Exec(ctx, "SET papayarail.max_staleness = '4s'")
	assert.NilError(t, err)
	// An age is proved after the first barrier that the replica has reached.
	c.eventually(stale, "SELECT state FROM batches WHERE id = 'cut-0'")
	c.network.isolate("siracusa", true)
	assert.Equal(t, state(t, stale, "cut-0"), "registered")
	c.awaitDump("siracusa", func(d *node.Dump) bool { return len(d.Peers) == 0 })
	c.eventually(reader, "SELECT state FROM batches WHERE id = 'cut-0'")
	assert.Equal(t, state(t, reader, "cut-0"), "registered")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := stale.Exec(ctx, "SELECT state FROM batches WHERE id = 'cut-0'")
		if err == nil {
			return poll.Continue("still served by age")
		}
		assert.ErrorContains(t, err, "57P03")
		return poll.Success()
	}, poll.WithTimeout(hangLimit))
	_, err = reader.Exec(ctx, "UPDATE batches SET state = 'lost' WHERE id = 'cut-0'")
	assert.ErrorContains(t, err, "SQLSTATE")
	var pg *pgconn.PgError
	assert.Assert(t, errors.As(err, &pg) && strings.Contains(pg.Detail, "verdict=not_run"), "guarantee 5: %v", err)
}

// Guards against a caller whose deadlines cannot be met and that takes an
// upstream out of use for the other callers of its instance.
func TestShortDeadlinesLeaveOthersAlone(t *testing.T) {
	c := newCluster(t)
	writer, hasty := c.connect("messina"), c.connect("messina")
	c.eventually(writer, createBatches)
	ctx := context.Background()
	_, err := hasty.Exec(ctx, "SET papayarail.deadline_ms = 1")
	assert.NilError(t, err)
	l := &ledger{conn: writer, name: "patient"}
	for range 100 {
		_, _ = hasty.Exec(ctx, "SELECT count(*) FROM batches")
		assert.Assert(t, l.register())
	}
	assert.Equal(t, len(l.acked), 100, "not run: %v, unknown: %v, last: %v", l.notRun, l.open, l.last)
}

// Guards against the open transaction of a dead entry instance that stays open,
// holds its connection, or commits.
func TestEntryKilledInTransaction(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	c.eventually(writer, createBatches)
	ctx := context.Background()
	tx, err := writer.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO batches (id, state) VALUES ('half', 'registered')")
	assert.NilError(t, err)
	open := func(n int) func(*node.Dump) bool {
		return func(d *node.Dump) bool {
			sum := 0
			for _, u := range d.Upstreams {
				sum += u.OpenTransactions
			}
			return sum == n
		}
	}
	c.awaitDump("catania", open(1))
	c.kill("messina")
	c.awaitDump("catania", open(0))
	c.eventually(reader, "INSERT INTO batches (id, state) VALUES ('half', 'again')")
	assert.Equal(t, state(t, reader, "half"), "again")
}

// Guards against a request key that is forgotten in a failover: the caller asks
// until it has an answer, and the work must have been done once.
func TestRequestKeyAcrossFailover(t *testing.T) {
	c := newCluster(t)
	writer, reader := c.connect("messina"), c.connect("siracusa")
	ctx := context.Background()
	c.eventually(writer, "CREATE TABLE IF NOT EXISTS stock (id text PRIMARY KEY, pieces bigint)")
	c.eventually(writer, "INSERT INTO stock (id, pieces) VALUES ('glue', 1000) ON CONFLICT DO NOTHING")
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
		}, poll.WithTimeout(hangLimit), poll.WithDelay(20*time.Millisecond))
	}
	var pieces int64
	assert.NilError(t, reader.QueryRow(ctx, "SELECT pieces FROM stock WHERE id = 'glue'").Scan(&pieces))
	assert.Equal(t, pieces, int64(1000-writeOffs), "guarantee 6: write-offs ran another number of times than asked")
}
