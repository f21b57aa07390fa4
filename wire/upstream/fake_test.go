package upstream

import (
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// fakeServer handles prepared statements as PostgreSQL does: a Parse of an
// existing name fails, and after an error all messages up to Sync are discarded.
type fakeServer struct {
	listener net.Listener
	refuse   *pgproto3.ErrorResponse // answer to the StartupMessage, if not nil
	serve    func(*pgproto3.Backend) // replaces loop, if not nil
	cancels  chan uint32
	received []string // Parse and Close messages received by loop, as "P name" and "C name"
}

func startFake(t *testing.T, f *fakeServer) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.listener, f.cancels = l, make(chan uint32, 1)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go f.session(conn)
		}
	}()
	return f
}

func (f *fakeServer) dial(t *testing.T, c Config) *Conn {
	c.Address, c.User, c.Database = f.listener.Addr().String(), "u", "d"
	conn, err := Dial(t.Context(), c)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (f *fakeServer) session(conn net.Conn) {
	defer conn.Close()
	backend := pgproto3.NewBackend(conn, conn)
	m, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if c, ok := m.(*pgproto3.CancelRequest); ok {
		f.cancels <- c.ProcessID
		return
	}
	if f.refuse != nil {
		backend.Send(f.refuse)
		_ = backend.Flush()
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = backend.Flush()
	if f.serve != nil {
		f.serve(backend)
		return
	}
	f.loop(backend)
}

// loop answers the messages of a session until its connection ends.
func (f *fakeServer) loop(backend *pgproto3.Backend) {
	statements := map[string]bool{}
	failed := false
	fail := func(code string) {
		backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: code})
		failed = true
	}
	for {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		if _, ok := m.(*pgproto3.Sync); !ok && failed {
			continue
		}
		switch m := m.(type) {
		case *pgproto3.Parse:
			f.received = append(f.received, "P "+m.Name)
			switch {
			case statements[m.Name] && m.Name != "":
				fail("42P05")
			case strings.Contains(m.Query, "syntax error"):
				fail("42601")
			default:
				statements[m.Name] = true
				backend.Send(&pgproto3.ParseComplete{})
			}
		case *pgproto3.Close:
			f.received = append(f.received, "C "+m.Name)
			delete(statements, m.Name)
			backend.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Bind:
			if !statements[m.PreparedStatement] {
				fail("26000")
				continue
			}
			backend.Send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("1")}})
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
			backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: "3.44"})
		case *pgproto3.Query:
			backend.Send(&pgproto3.RowDescription{})
			backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(m.String), nil}})
			backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			_ = backend.Flush()
		case *pgproto3.Sync:
			failed = false
			backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			_ = backend.Flush()
		}
	}
}

// encode returns the messages followed by Sync.
func encode(t *testing.T, messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range append(messages, &pgproto3.Sync{}) {
		var err error
		out, err = m.Encode(out)
		assert.NilError(t, err)
	}
	return out
}

// decode returns the types of backend messages, one letter each.
func decode(messages []byte) string {
	kinds := ""
	all, err := split(messages)
	if err != nil {
		return err.Error()
	}
	for _, m := range all {
		kinds += string(m.kind())
	}
	return kinds
}
