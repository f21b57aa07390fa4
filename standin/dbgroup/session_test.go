package dbgroup

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
	"github.com/papayarail/papayarail/standin/dbgroup/fault"
	"gotest.tools/v3/assert"
)

// Guards against transactions that see or leave uncommitted rows, lose an
// update, or go on after an error.
func TestTransactions(t *testing.T) {
	m := startGroup(t, 1, nil)[0]
	a, b := connect(t, m), connect(t, m)
	exec(t, a, createTags)
	exec(t, a, `INSERT INTO tags (id, stock) VALUES (1, 5), (2, 5)`)
	exec(t, a, `BEGIN`)
	exec(t, b, `BEGIN`)
	assert.Equal(t, query[int](t, a, `UPDATE tags SET stock = stock - 1 WHERE id = 1 RETURNING stock`), 4)
	assert.Equal(t, query[int](t, b, `SELECT stock FROM tags WHERE id = 1`), 5)
	exec(t, a, `COMMIT`)
	assert.Equal(t, query[int](t, b, `SELECT stock FROM tags WHERE id = 1`), 4)

	exec(t, a, `BEGIN`)
	exec(t, a, `UPDATE tags SET stock = 9 WHERE id = 2`)
	exec(t, b, `UPDATE tags SET stock = 8 WHERE id = 2`)
	exec(t, b, `COMMIT`)
	_, err := a.Exec(t.Context(), `COMMIT`)
	assertState(t, err, engine.SerializationFailure)
	assert.Equal(t, query[int](t, a, `SELECT stock FROM tags WHERE id = 2`), 8)

	exec(t, a, `BEGIN`)
	exec(t, a, `DELETE FROM tags`)
	_, err = a.Exec(t.Context(), `SELECT * FROM nothing`)
	assertState(t, err, engine.UndefinedTable)
	_, err = a.Exec(t.Context(), `SELECT 1`)
	assertState(t, err, engine.InFailedSQLTransaction)
	tag, err := a.Exec(t.Context(), `COMMIT`)
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "ROLLBACK")
	assert.Equal(t, query[int64](t, a, `SELECT count(*) FROM tags`), int64(2))
}

// Guards against a pipeline that keeps the effects of statements before an
// error, or runs those after it.
func TestPipelineIsOneTransaction(t *testing.T) {
	c := connect(t, startGroup(t, 1, nil)[0])
	exec(t, c, createTags)
	batch := &pgx.Batch{}
	batch.Queue(`INSERT INTO tags (id) VALUES ($1)`, 1)
	batch.Queue(`INSERT INTO tags (id) VALUES ($1)`, 1)
	batch.Queue(`INSERT INTO tags (id) VALUES ($1)`, 2)
	assertState(t, c.SendBatch(t.Context(), batch).Close(), engine.UniqueViolation)
	assert.Equal(t, query[int64](t, c, `SELECT count(*) FROM tags`), int64(0))
	_, err := c.Exec(t.Context(), `INSERT INTO tags (id) VALUES (1); INSERT INTO tags (id) VALUES (1)`)
	assertState(t, err, engine.UniqueViolation)
	assert.Equal(t, query[int64](t, c, `SELECT count(*) FROM tags`), int64(0))
}

// Guards against a cancel request that does not end a statement, against one
// that makes the connection unusable, and against more statements than slots.
func TestCancelRequest(t *testing.T) {
	m := startGroup(t, 1, func(c *Config) { c.Slots = 1 })[0]
	c := connect(t, m)
	assertCanceled(t, c, `SELECT pg_sleep(3600)`)
	assert.Equal(t, query[int](t, c, `SELECT 1`), 1)
	assertCanceled(t, c, `SELECT * FROM group_wait(1, 1000, 3600000)`)
	assert.NilError(t, m.acquireSlot(t.Context()))
	assertCanceled(t, c, `SELECT 1`)
	m.releaseSlot()
	assert.Equal(t, query[int](t, c, `SELECT 1`), 1)
}

// assertCanceled runs a statement that must wait until it is canceled.
func assertCanceled(t *testing.T, c *pgx.Conn, sql string) {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), sql)
		done <- err
	}()
	for { // a request that arrives before the statement has no effect
		assert.NilError(t, c.PgConn().CancelRequest(t.Context()))
		select {
		case err := <-done:
			assertState(t, err, engine.QueryCanceled)
			return
		default:
		}
	}
}

// Guards against a limit that is not enforced, a terminated session that keeps
// its place or its transaction, and control statements that wait for slots.
func TestConnectionLimitAndTermination(t *testing.T) {
	m := startGroup(t, 1, func(c *Config) { c.MaxConnections, c.Slots = 2, 1 })[0]
	a, b := connect(t, m), connect(t, m)
	address := fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable&application_name=third", m.Addr(), service)
	_, err := pgx.Connect(t.Context(), address)
	assertState(t, err, engine.TooManyConnections)

	exec(t, a, createTags)
	exec(t, b, `BEGIN`)
	exec(t, b, `INSERT INTO tags (id) VALUES (1)`)
	pid := int32(b.PgConn().PID())
	assert.NilError(t, m.acquireSlot(t.Context()))
	assert.Assert(t, query[bool](t, a, `SELECT pg_terminate_backend($1)`, pid))
	assert.Equal(t, groupStatus(t, a).Role, "primary")
	m.releaseSlot()
	_, err = b.Exec(t.Context(), `SELECT 1`)
	assert.Assert(t, err != nil, "a terminated session answered")
	c, err := pgx.Connect(t.Context(), address)
	assert.NilError(t, err)
	defer c.Close(t.Context())
	assert.Equal(t, query[int64](t, c, `SELECT count(*) FROM tags`), int64(0))
	rows, err := c.Query(t.Context(), `SELECT * FROM group_connections()`)
	assert.NilError(t, err)
	type connection struct {
		PID  int32
		Name string
	}
	all, err := pgx.CollectRows(rows, pgx.RowToStructByPos[connection])
	assert.NilError(t, err)
	assert.DeepEqual(t, all, []connection{{int32(a.PgConn().PID()), ""}, {int32(c.PgConn().PID()), "third"}})
}

// Guards against a silence that also affects new connections, and against one
// that an established connection survives.
func TestSilenceAndRefusal(t *testing.T) {
	m := startGroup(t, 1, func(c *Config) { c.FaultAddress = "127.0.0.1:0" })[0]
	old := connect(t, m)
	post := func(body string) {
		response, err := http.Post("http://"+m.FaultAddr()+"/fault", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		defer response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	post(`{"silence": true}`)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = old.Exec(context.Background(), `SELECT 1`) // ends when the connection is terminated
	}()
	fresh := connect(t, m)
	assert.Equal(t, query[int](t, fresh, `SELECT 1`), 1)
	select {
	case <-answered:
		t.Fatal("the silenced connection answered")
	default:
	}
	assert.Assert(t, query[bool](t, fresh, `SELECT pg_terminate_backend($1)`, int32(old.PgConn().PID())))
	<-answered
	post(`{"refuse": true}`)
	_, err := pgconn.Connect(t.Context(), fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", m.Addr(), service))
	assert.Assert(t, err != nil)
	assert.Equal(t, query[int](t, fresh, `SELECT 1`), 1)
}

// Guards against a frozen member that confirms or answers, and against one
// that does not recover.
func TestFreeze(t *testing.T) {
	members := startGroup(t, 2, nil)
	primary, replica := connect(t, members[0]), connect(t, members[1])
	exec(t, primary, createTags)
	created := sessionPosition(t, primary)
	await(t, primary, created)
	freeze, thaw := true, false
	members[1].ApplyFaults(fault.Change{Freeze: &freeze})
	exec(t, primary, `INSERT INTO tags (id) VALUES (1)`)
	answered := make(chan error, 1)
	go func() {
		_, err := replica.Exec(context.Background(), `SELECT 1`)
		answered <- err
	}()
	assert.Equal(t, members[1].Status().Last, created)
	assert.Equal(t, len(answered), 0)
	members[1].ApplyFaults(fault.Change{Freeze: &thaw})
	assert.NilError(t, <-answered)
	await(t, primary, sessionPosition(t, primary))
	await(t, replica, sessionPosition(t, primary))
}

// Guards against a file whose misspelt key is ignored, and against lost defaults.
func TestLoadConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "member.json")
	body := `{"name": "a", "service": "s", "address": "127.0.0.1:1", "initial_primary": "a",
		"members": [{"name": "a", "address": "127.0.0.1:1"}], "slots": 3%s}`
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, body, ""), 0o600))
	c, err := LoadConfig(path)
	assert.NilError(t, err)
	assert.Equal(t, c.Slots, 3)
	assert.Equal(t, c.MaxConnections, DefaultMaxConnections)
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, body, `, "slot": 3`), 0o600))
	_, err = LoadConfig(path)
	assert.ErrorContains(t, err, "slot")
}

// Guards against configurations that are accepted with a missing or unknown
// member and against unchecked limits.
func TestValidate(t *testing.T) {
	valid := GroupConfigs(service, []string{"lairg", "portree"}, []string{"127.0.0.1:1", "127.0.0.1:2"})[1]
	assert.NilError(t, valid.Validate())
	for name, edit := range map[string]func(*Config){
		"name":            func(c *Config) { c.Name = "other" },
		"initial primary": func(c *Config) { c.InitialPrimary = "other" },
		"connections":     func(c *Config) { c.MaxConnections = 0 },
		"slots":           func(c *Config) { c.Slots = 0 },
		"delay":           func(c *Config) { c.StatementDelayUS = -int64(time.Millisecond) },
	} {
		c := valid
		edit(&c)
		assert.Assert(t, c.Validate() != nil, name)
	}
}
