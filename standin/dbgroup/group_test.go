package dbgroup

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
	"github.com/papayarail/papayarail/standin/dbgroup/fault"
	"gotest.tools/v3/assert"
)

// waitLimitMS bounds group_wait in tests; only a failing test gets that far.
const waitLimitMS = 20000

type status struct {
	Member, Role       string
	Term               uint64
	LastTerm           uint64
	LastOffset         uint64
	Primary, Confirmed string
}

func (s status) last() position.Position {
	return position.Position{Term: s.LastTerm, Offset: s.LastOffset}
}

func (s status) confirmed(t *testing.T) map[string]uint64 {
	t.Helper()
	var m map[string]uint64
	assert.NilError(t, json.Unmarshal([]byte(s.Confirmed), &m))
	return m
}

// call runs a group function as the proxy does: simple query, text results.
func call[T any](t *testing.T, c *pgx.Conn, sql string) T {
	t.Helper()
	rows, err := c.Query(t.Context(), sql, pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err, sql)
	v, err := pgx.CollectExactlyOneRow(rows, pgx.RowToStructByPos[T])
	assert.NilError(t, err, sql)
	return v
}

func groupStatus(t *testing.T, c *pgx.Conn) status {
	t.Helper()
	return call[status](t, c, `SELECT * FROM group_status()`)
}

// await waits until a member has reached p and fails if it does not.
func await(t *testing.T, c *pgx.Conn, p position.Position) status {
	t.Helper()
	s := call[status](t, c, fmt.Sprintf(`SELECT * FROM group_wait(%d, %d, %d)`, p.Term, p.Offset, waitLimitMS))
	assert.Assert(t, s.last().AtLeast(p), "%s is at %s, not at %s", s.Member, s.last(), p)
	return s
}

func sessionPosition(t *testing.T, c *pgx.Conn) position.Position {
	t.Helper()
	p, err := position.Parse(c.PgConn().ParameterStatus(positionParameter))
	assert.NilError(t, err)
	return p
}

type grant struct {
	Granted              bool
	Term                 uint64
	LastTerm, LastOffset uint64
}

func adopt(t *testing.T, c *pgx.Conn, term int, attempt string) grant {
	t.Helper()
	return call[grant](t, c, fmt.Sprintf(`SELECT * FROM group_adopt(%d, '%s', '2')`, term, attempt))
}

func promote(t *testing.T, c *pgx.Conn, term int, attempt string) status {
	t.Helper()
	return call[status](t, c, fmt.Sprintf(`SELECT * FROM group_promote(%d, '%s')`, term, attempt))
}

func follow(t *testing.T, c *pgx.Conn, term int, primary *Member) {
	t.Helper()
	call[status](t, c, fmt.Sprintf(`SELECT * FROM group_follow(%d, '%s', '%s')`, term, primary.config.Name, primary.Addr()))
}

func delay(m *Member, d time.Duration) {
	ms := d.Milliseconds()
	m.ApplyFaults(fault.Change{ReplicationDelayMS: &ms})
}

func cut(m *Member, peers ...string) { m.ApplyFaults(fault.Change{Cut: &peers}) }

// Guards against a replica that shows an entry before its lag is over, that
// reports a wrong position, or that never confirms.
func TestReplicaLagsAndConfirms(t *testing.T) {
	members := startGroup(t, 2, nil)
	primary, replica := connect(t, members[0]), connect(t, members[1])
	exec(t, primary, createTags)
	await(t, replica, sessionPosition(t, primary))
	delay(members[1], time.Hour)
	exec(t, primary, `INSERT INTO tags (id) VALUES (1)`)
	written := sessionPosition(t, primary)

	assert.Equal(t, query[int64](t, replica, `SELECT count(*) FROM tags`), int64(0))
	assert.Assert(t, !sessionPosition(t, replica).AtLeast(written))
	assert.Assert(t, groupStatus(t, primary).confirmed(t)[members[1].config.Name] < written.Offset)

	delay(members[1], 0)
	await(t, replica, written)
	assert.Equal(t, query[int64](t, replica, `SELECT count(*) FROM tags`), int64(1))
	assert.Equal(t, sessionPosition(t, replica), written)
	s := await(t, primary, written)
	assert.Equal(t, s.confirmed(t)[members[1].config.Name], written.Offset)
	_, err := replica.Exec(t.Context(), `INSERT INTO tags (id) VALUES (2)`)
	assertState(t, err, engine.ReadOnlySQLTransaction)
}

// Guards against a promotion that loses confirmed writes, an old primary that
// still commits, and a divergent suffix that survives group_follow.
func TestPromotionWithDivergentOldPrimary(t *testing.T) {
	members := startGroup(t, 3, nil)
	var c []*pgx.Conn
	for _, m := range members {
		c = append(c, connect(t, m))
	}
	exec(t, c[0], createTags)
	exec(t, c[0], `INSERT INTO tags (id) VALUES (1)`)
	for _, replica := range c[1:] {
		await(t, replica, sessionPosition(t, c[0]))
	}
	cut(members[0], members[1].config.Name, members[2].config.Name)
	exec(t, c[0], `INSERT INTO tags (id) VALUES (2)`) // diverges
	tx, err := c[0].Begin(t.Context())
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), `INSERT INTO tags (id) VALUES (3)`)
	assert.NilError(t, err)

	assert.Assert(t, adopt(t, c[1], 2, "a").Granted)
	assert.Assert(t, !adopt(t, c[1], 2, "b").Granted, "a term was granted twice")
	assert.Assert(t, adopt(t, c[1], 2, "a").Granted, "a repeated request was refused")
	assert.Assert(t, adopt(t, c[2], 2, "a").Granted)
	assert.Equal(t, promote(t, c[1], 2, "a").Role, "primary")
	follow(t, c[2], 2, members[1])
	exec(t, c[1], `INSERT INTO tags (id) VALUES (4)`)
	written := sessionPosition(t, c[1])
	assert.Equal(t, written.Term, uint64(2))
	await(t, c[1], written)

	control := connect(t, members[0])
	follow(t, control, 2, members[1])
	assertState(t, tx.Commit(t.Context()), engine.ReadOnlySQLTransaction)
	assert.Equal(t, query[int64](t, c[0], `SELECT count(*) FROM tags WHERE id = 2`), int64(1))
	cut(members[0])
	await(t, control, written)
	for _, member := range c {
		await(t, member, written)
		rows, err := member.Query(t.Context(), `SELECT id FROM tags ORDER BY id`)
		assert.NilError(t, err)
		ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
		assert.NilError(t, err)
		assert.DeepEqual(t, ids, []int64{1, 4})
	}
}

// Guards against counting a confirmation of an earlier term, or of a replica
// that has adopted a newer term, for the current one.
func TestConfirmationsCountUnderTheCurrentTermOnly(t *testing.T) {
	members := startGroup(t, 2, nil)
	primary, replica := connect(t, members[0]), connect(t, members[1])
	exec(t, primary, createTags)
	first := sessionPosition(t, primary)
	assert.Equal(t, len(await(t, primary, first).confirmed(t)), 2)

	assert.Assert(t, adopt(t, replica, 2, "a").Granted)
	exec(t, primary, `INSERT INTO tags (id) VALUES (1)`)
	second := sessionPosition(t, primary)
	s := call[status](t, primary, fmt.Sprintf(`SELECT * FROM group_wait(%d, %d, 0)`, second.Term, second.Offset))
	assert.Equal(t, s.confirmed(t)[members[1].config.Name], first.Offset)
	assert.Equal(t, groupStatus(t, replica).last(), first)

	assert.Assert(t, adopt(t, primary, 2, "a").Granted)
	_, err := primary.Exec(t.Context(), `INSERT INTO tags (id) VALUES (2)`)
	assertState(t, err, engine.ReadOnlySQLTransaction)
	s = promote(t, primary, 2, "a")
	assert.DeepEqual(t, s.confirmed(t), map[string]uint64{members[0].config.Name: s.LastOffset})
	follow(t, replica, 2, members[0])
	assert.Equal(t, await(t, primary, s.last()).confirmed(t)[members[1].config.Name], s.LastOffset)
	assert.Equal(t, groupStatus(t, replica).last(), s.last())
}

// Guards against a restarted member without its log that takes part in a
// quorum before it has caught up.
func TestRejoiningMemberHasNoVote(t *testing.T) {
	members := startGroup(t, 2, func(c *Config) { c.Rejoin = c.Name != c.InitialPrimary })
	primary, replica := connect(t, members[0]), connect(t, members[1])
	exec(t, primary, createTags)
	assert.Assert(t, !adopt(t, replica, 9, "a").Granted)
	follow(t, replica, 1, members[0])
	await(t, replica, sessionPosition(t, primary))
	assert.Assert(t, adopt(t, replica, 9, "a").Granted)
}

// Guards against a barrier or a group_wait that reports progress that has not
// been made.
func TestBarrierAndWait(t *testing.T) {
	members := startGroup(t, 2, nil)
	primary, replica := connect(t, members[0]), connect(t, members[1])
	barrier := call[position.Position](t, primary, `SELECT * FROM group_barrier()`)
	await(t, replica, barrier)
	assert.Equal(t, await(t, primary, barrier).confirmed(t)[members[1].config.Name], barrier.Offset)
	_, err := replica.Exec(t.Context(), `SELECT * FROM group_barrier()`)
	assertState(t, err, engine.ReadOnlySQLTransaction)
	s := call[status](t, replica, fmt.Sprintf(`SELECT * FROM group_wait(1, %d, 0)`, barrier.Offset+1))
	assert.Equal(t, s.last(), barrier)
}
