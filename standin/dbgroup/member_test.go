package dbgroup

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
	"gotest.tools/v3/assert"
)

const service = "tag-register"

// startGroup runs a group of n members on loopback addresses without delays.
func startGroup(t *testing.T, n int, edit func(*Config)) []*Member {
	t.Helper()
	var listeners []net.Listener
	var addresses, domains []string
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		domains = append(domains, fmt.Sprintf("domain%d", i))
	}
	var members []*Member
	for i, c := range GroupConfigs(service, domains, addresses) {
		c.Listener = listeners[i]
		c.ConnectDelayMS, c.StatementDelayUS, c.ReplicationDelayMS = 0, 0, 0
		if edit != nil {
			edit(&c)
		}
		m, err := New(c)
		assert.NilError(t, err)
		members = append(members, m)
		done := make(chan error, 1)
		go func() { done <- m.Serve(context.Background()) }()
		t.Cleanup(func() {
			m.Close()
			assert.NilError(t, <-done)
		})
	}
	return members
}

func connect(t *testing.T, m *Member) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", m.Addr(), service))
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := c.Exec(t.Context(), sql, args...)
	assert.NilError(t, err, sql)
}

func query[T any](t *testing.T, c *pgx.Conn, sql string, args ...any) T {
	t.Helper()
	var v T
	assert.NilError(t, c.QueryRow(t.Context(), sql, args...).Scan(&v), sql)
	return v
}

func assertState(t *testing.T, err error, code string) {
	t.Helper()
	var pgErr *pgconn.PgError
	assert.Assert(t, errors.As(err, &pgErr), "no SQLSTATE in %v", err)
	assert.Equal(t, pgErr.Code, code, pgErr.Message)
}

const createTags = `CREATE TABLE IF NOT EXISTS tags (id bigint PRIMARY KEY, owner text, stock int NOT NULL DEFAULT 0, active boolean)`

// Guards against wrong type OIDs or formats, with which pgx's cached prepared
// statements (its default mode), binary results or other modes fail.
func TestModesOfPGX(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			config, err := pgx.ParseConfig(fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", startGroup(t, 1, nil)[0].Addr(), service))
			assert.NilError(t, err)
			config.DefaultQueryExecMode = mode
			c, err := pgx.ConnectConfig(t.Context(), config)
			assert.NilError(t, err)
			defer c.Close(t.Context())
			useTags(t, c)
		})
	}
}

func useTags(t *testing.T, c *pgx.Conn) {
	t.Helper()
	exec(t, c, createTags)
	for i := range 3 {
		exec(t, c, `INSERT INTO tags (id, owner, stock, active) VALUES ($1, $2, $3, $4)`, i, fmt.Sprint("crofter ", i), 10*i, i > 0)
	}
	assert.Equal(t, query[int64](t, c, `UPDATE tags SET stock = stock - $2 WHERE id = $1 RETURNING stock`, 2, 5), int64(15))
	assert.Equal(t, query[int64](t, c, `SELECT count(*) FROM tags WHERE active AND stock >= $1`, 10), int64(2))
	assert.Equal(t, query[int](t, c, `SELECT $1::int`, 7), 7)
	rows, err := c.Query(t.Context(), `SELECT owner, active FROM tags WHERE id > $1 ORDER BY id DESC LIMIT $2`, 0, 5)
	assert.NilError(t, err)
	type tag struct {
		Owner  string
		Active bool
	}
	tags, err := pgx.CollectRows(rows, pgx.RowToStructByPos[tag])
	assert.NilError(t, err)
	assert.DeepEqual(t, tags, []tag{{"crofter 2", true}, {"crofter 1", true}})
	exec(t, c, `DELETE FROM tags WHERE owner = $1`, "crofter 0")
	exec(t, c, `SELECT pg_sleep($1)`, 0.0)
	exec(t, c, `INSERT INTO tags (id, owner) VALUES ($1, $2) ON CONFLICT (id) DO NOTHING`, 1, nil)
	rows, err = c.Query(t.Context(), `SELECT * FROM group_wait($1, $2, $3)`, 1, 1, 0)
	assert.NilError(t, err)
	s, err := pgx.CollectExactlyOneRow(rows, pgx.RowToStructByPos[status])
	assert.NilError(t, err)
	assert.Equal(t, s.Role, "primary")
	assert.Equal(t, query[int64](t, c, `SELECT count(*) FROM tags`), int64(2))
}

// Guards against errors that a proxy would classify wrongly because of their
// SQLSTATE, and against a session that is unusable after an error.
func TestErrorStates(t *testing.T) {
	c := connect(t, startGroup(t, 1, nil)[0])
	exec(t, c, createTags)
	exec(t, c, `INSERT INTO tags (id) VALUES (1)`)
	for sql, code := range map[string]string{
		`INSERT INTO tags (id) VALUES (2), (1)`:      engine.UniqueViolation,
		`INSERT INTO tags (owner) VALUES ('x')`:      engine.NotNullViolation,
		`SELECT * FROM nothing`:                      engine.UndefinedTable,
		`SELECT nothing FROM tags`:                   engine.UndefinedColumn,
		`SELEC 1`:                                    engine.SyntaxError,
		`SELECT * FROM tags a, tags b`:               engine.FeatureNotSupported,
		`SELECT 1/0`:                                 engine.DivisionByZero,
		`SELECT * FROM tags WHERE id = 'x'`:          engine.InvalidTextRepresentation,
		`UPDATE tags SET stock = stock + 3000000000`: engine.NumericValueOutOfRange,
	} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
			_, err := c.Exec(t.Context(), sql, mode)
			assertState(t, err, code)
		}
	}
	assert.Equal(t, query[int64](t, c, `SELECT count(*) FROM tags`), int64(1))
}
