package dbgroup

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// answers sends messages and returns the names of the answers up to the first
// message of type last.
func answers(t *testing.T, f *pgproto3.Frontend, last string, messages ...pgproto3.FrontendMessage) string {
	t.Helper()
	for _, m := range messages {
		f.Send(m)
	}
	assert.NilError(t, f.Flush())
	var names []string
	for {
		m, err := f.Receive()
		assert.NilError(t, err)
		names = append(names, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
		if names[len(names)-1] == last {
			return strings.Join(names, " ")
		}
	}
}

// Guards against wrong message order in the extended protocol: answers to a
// Flush, suspended portals, messages after an error, the position's place.
func TestMessageOrder(t *testing.T) {
	c := connect(t, startGroup(t, 1, nil)[0])
	exec(t, c, createTags)
	exec(t, c, `INSERT INTO tags (id) VALUES (1), (2), (3)`)
	hijacked, err := c.PgConn().Hijack()
	assert.NilError(t, err)
	defer hijacked.Conn.Close()
	f := hijacked.Frontend

	parse := &pgproto3.Parse{Query: `SELECT id FROM tags WHERE id > $1`}
	bind := &pgproto3.Bind{Parameters: [][]byte{[]byte("0")}}
	assert.Equal(t, answers(t, f, "RowDescription", parse, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Flush{}),
		"ParseComplete ParameterDescription RowDescription")
	assert.Equal(t, answers(t, f, "PortalSuspended", bind, &pgproto3.Execute{MaxRows: 2}, &pgproto3.Flush{}),
		"BindComplete DataRow DataRow PortalSuspended")
	assert.Equal(t, answers(t, f, "ReadyForQuery", &pgproto3.Execute{}, &pgproto3.Sync{}),
		"DataRow CommandComplete ParameterStatus ReadyForQuery")
	assert.Equal(t, answers(t, f, "ReadyForQuery", &pgproto3.Parse{Query: `SELEC`}, bind, &pgproto3.Execute{}, &pgproto3.Sync{}),
		"ErrorResponse ReadyForQuery")
	assert.Equal(t, answers(t, f, "ReadyForQuery", bind, &pgproto3.Close{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		"BindComplete CloseComplete ErrorResponse ReadyForQuery")
	assert.Equal(t, answers(t, f, "ReadyForQuery", &pgproto3.Query{String: `BEGIN; DELETE FROM tags; COMMIT`}),
		"CommandComplete CommandComplete CommandComplete ParameterStatus ReadyForQuery")
	assert.Equal(t, answers(t, f, "ReadyForQuery", &pgproto3.Query{}), "EmptyQueryResponse ReadyForQuery")
}
