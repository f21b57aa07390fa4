package group

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
)

type fakeQuerier struct {
	sql  string
	rows [][]string
	err  error
}

func (f *fakeQuerier) Query(_ context.Context, sql string) ([][]string, error) {
	f.sql = sql
	return f.rows, f.err
}

// Guards against a wrong column order of the status row.
func TestStatus(t *testing.T) {
	q := &fakeQuerier{rows: [][]string{{"a", "primary", "7", "6", "42", "a", `{"a":42,"b":40}`}}}
	s, err := New(q).Wait(t.Context(), position.Position{Term: 7, Offset: 41}, 250*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, q.sql, "SELECT * FROM group_wait(7, 41, 250)")
	assert.DeepEqual(t, s, Status{Member: "a", Role: Primary, Term: 7, LastPosition: position.Position{Term: 6, Offset: 42},
		PrimaryMember: "a", ConfirmedOffsets: map[string]uint64{"a": 42, "b": 40}})
}

// Guards against a malformed status that passes for a valid one.
func TestMalformedStatus(t *testing.T) {
	for _, rows := range [][][]string{nil, {{"a"}}, {{"a", "leader", "7", "6", "42", "a", ""}}, {{"a", "replica", "-1", "6", "42", "a", ""}}} {
		_, err := New(&fakeQuerier{rows: rows}).Status(t.Context())
		assert.Assert(t, err != nil)
	}
}

// Guards against text that ends its literal, and against a granted adoption read as refused.
func TestAdopt(t *testing.T) {
	q := &fakeQuerier{rows: [][]string{{"t", "8", "7", "42"}}}
	a, err := New(q).Adopt(t.Context(), 8, "o'neil", []string{"a", "b"})
	assert.NilError(t, err)
	assert.Equal(t, q.sql, "SELECT * FROM group_adopt(8, 'o''neil', 'a,b')")
	assert.DeepEqual(t, a, AdoptResult{Granted: true, Term: 8, LastPosition: position.Position{Term: 7, Offset: 42}})
}

// Guards against losing the SQLSTATE with which a replica refuses a barrier.
func TestBarrierOnReplica(t *testing.T) {
	_, err := New(&fakeQuerier{err: &pgconn.PgError{Code: SQLStateReadOnly}}).Barrier(t.Context())
	assert.Equal(t, SQLState(err), SQLStateReadOnly)
}
