package dbgroup

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// responses sends messages and returns the type names of the responses, up to the
// first one of type last.
func responses(t *testing.T, f *pgproto3.Frontend, last string, messages ...pgproto3.FrontendMessage) string {
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

// Guards against wrong message order in the extended query protocol: responses to
// Flush, suspended portals, messages after an error, and the ParameterStatus with
// the position.
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
	assert.Equal(t, responses(t, f, "RowDescription", parse, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Flush{}),
		"ParseComplete ParameterDescription RowDescription")
	assert.Equal(t, responses(t, f, "PortalSuspended", bind, &pgproto3.Execute{MaxRows: 2}, &pgproto3.Flush{}),
		"BindComplete DataRow DataRow PortalSuspended")
	assert.Equal(t, responses(t, f, "ReadyForQuery", &pgproto3.Execute{}, &pgproto3.Sync{}),
		"DataRow CommandComplete ParameterStatus ReadyForQuery")
	assert.Equal(t, responses(t, f, "ReadyForQuery", &pgproto3.Parse{Query: `SELEC`}, bind, &pgproto3.Execute{}, &pgproto3.Sync{}),
		"ErrorResponse ReadyForQuery")
	assert.Equal(t, responses(t, f, "ReadyForQuery", bind, &pgproto3.Close{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		"BindComplete CloseComplete ErrorResponse ReadyForQuery")
	assert.Equal(t, responses(t, f, "ReadyForQuery", &pgproto3.Query{String: `BEGIN; DELETE FROM tags; COMMIT`}),
		"CommandComplete CommandComplete CommandComplete ParameterStatus ReadyForQuery")
	assert.Equal(t, responses(t, f, "ReadyForQuery", &pgproto3.Query{}), "EmptyQueryResponse ReadyForQuery")
}
