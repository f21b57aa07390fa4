package completion

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

type encoder interface{ Encode([]byte) ([]byte, error) }

func encode(t testing.TB, messages ...encoder) (out []byte) {
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		assert.NilError(t, err)
	}
	return out
}

func kinds(t testing.TB, messages []byte) string {
	var s []byte
	assert.NilError(t, each(messages, func(kind byte, _ []byte) { s = append(s, kind) }))
	return string(s)
}

// Guards against a recorded answer that is replayed in the shape of the first
// request: a caller that asks again with another protocol mode would read
// messages that answer nothing it sent.
func TestReplayFollowsTheRequest(t *testing.T) {
	first := encode(t, &pgproto3.ParseComplete{}, &pgproto3.BindComplete{},
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("id")}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte("7")}},
		&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	r, err := Record(first)
	assert.NilError(t, err)
	for _, c := range []struct {
		request []byte
		want    string
	}{
		{encode(t, &pgproto3.Query{String: "x"}), "TDC"},
		{encode(t, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}), "2DC"},
		{encode(t, &pgproto3.Parse{}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}), "1tT2DC"},
	} {
		out, err := r.Replay(c.request)
		assert.NilError(t, err)
		assert.Equal(t, kinds(t, out), c.want)
	}
}

func FuzzReplay(f *testing.F) {
	f.Add(encode(f, &pgproto3.Query{String: "x"}))
	f.Fuzz(func(t *testing.T, request []byte) {
		r, err := CommandComplete("COMMIT")
		assert.NilError(t, err)
		out, err := r.Replay(request)
		if err == nil {
			kinds(t, out)
		}
	})
}
