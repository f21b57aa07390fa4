package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/classify"
	"github.com/papayarail/papayarail/wire/statement"
)

// fakeSession answers each statement with one row "ok". SQL that contains "fail"
// or "overload" gets an error, SQL that contains "block" waits for release or for
// the end of the context. Prepared statements must be in RequiredStatements or parsed by the
// same messages, as on a shared upstream connection.
type fakeSession struct {
	mu       sync.Mutex
	received []Exchange
	causes   []error // context.Cause of ended contexts
	status   byte
	entered  chan struct{}
	release  chan struct{}
}

func newFakeSession() *fakeSession {
	return &fakeSession{status: 'I', entered: make(chan struct{}, 10), release: make(chan struct{})}
}

func (f *fakeSession) Open(_ context.Context, s Startup) (Session, error) {
	if s.Database == "unknown" {
		return nil, verdict.New(verdict.UnknownService, "no service %q", s.Database)
	}
	return f, nil
}

func (f *fakeSession) TxStatus() byte { return f.status }
func (f *fakeSession) Close()         {}

func (f *fakeSession) exchanges() []Exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

func (f *fakeSession) Exchange(ctx context.Context, x *Exchange) (*Reply, error) {
	f.mu.Lock()
	f.received = append(f.received, *x)
	f.mu.Unlock()
	if strings.Contains(x.SQL, "block") {
		f.entered <- struct{}{}
		select {
		case <-f.release:
		case <-ctx.Done():
			f.mu.Lock()
			f.causes = append(f.causes, context.Cause(ctx))
			f.mu.Unlock()
			f.entered <- struct{}{}
			return nil, verdict.New(verdict.OutcomeUnknown, "ended")
		}
	}
	if strings.Contains(x.SQL, "overload") {
		return nil, verdict.New(verdict.Overloaded, "queue is full").WithRetryAfter(250e6)
	}
	messages, failed := f.answer(x)
	f.updateStatus(x, failed)
	return &Reply{Messages: messages, TxStatus: f.status, Parameters: map[string]string{ParameterPosition: "svc@3.9"}}, nil
}

func (f *fakeSession) updateStatus(x *Exchange, failed bool) {
	for _, c := range x.Statements {
		switch c.Class {
		case classify.Begin:
			f.status = 'T'
		case classify.Commit, classify.Rollback:
			f.status = 'I'
		}
	}
	if failed && f.status == 'T' {
		f.status = 'E'
	}
}

func (f *fakeSession) answer(x *Exchange) (out []byte, failed bool) {
	names := map[string]string{}
	for _, n := range x.RequiredStatements {
		names[n.Name] = n.SQL
	}
	send := func(m pgproto3.BackendMessage) { out, _ = m.Encode(out) }
	fail := func(code string) {
		failed = true
		send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: code})
	}
	row := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a"), DataTypeOID: textOID}}}
	backend := pgproto3.NewBackend(bytes.NewReader(x.Messages), io.Discard)
	for !failed {
		m, err := backend.Receive()
		if err != nil {
			return out, failed
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			if strings.Contains(m.String, "fail") || m.String == abortSQL {
				fail("42601")
				continue
			}
			send(row)
			send(&pgproto3.DataRow{Values: [][]byte{[]byte("ok")}})
			send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		case *pgproto3.Parse:
			if strings.Contains(m.Query, "fail") {
				fail("42601")
				continue
			}
			names[m.Name] = m.Query
			send(&pgproto3.ParseComplete{})
		case *pgproto3.Describe:
			if _, ok := names[m.Name]; m.ObjectType == 'S' && !ok {
				fail("26000")
				continue
			}
			if m.ObjectType == 'S' {
				send(&pgproto3.ParameterDescription{})
			}
			send(row)
		case *pgproto3.Bind:
			if _, ok := names[m.PreparedStatement]; !ok {
				fail("26000")
				continue
			}
			send(&pgproto3.BindComplete{})
		case *pgproto3.Execute:
			send(&pgproto3.DataRow{Values: [][]byte{[]byte("ok")}})
			send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		case *pgproto3.Close:
			send(&pgproto3.CloseComplete{})
		}
	}
	return out, failed
}

// startServer serves f on a loopback address until the test ends.
func startServer(t *testing.T, settings Settings, f *fakeSession) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(settings, f)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return s, l.Addr().String()
}

// rawClient sends and receives single protocol messages.
type rawClient struct {
	*pgproto3.Frontend
	conn net.Conn
	t    *testing.T
}

func dialRaw(t *testing.T, address string) *rawClient {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &rawClient{Frontend: pgproto3.NewFrontend(conn, conn), conn: conn, t: t}
}

// login starts a session and reads up to the first ReadyForQuery.
func (c *rawClient) login(parameters map[string]string) *rawClient {
	parameters["user"] = "u"
	c.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	assert.NilError(c.t, c.Flush())
	c.receiveUntil('Z')
	return c
}

// receiveUntil reads up to a message of type kind. It returns the types of all messages
// read and the last error among them. The end of the connection counts as type '.'.
func (c *rawClient) receiveUntil(kind rune) (string, pgproto3.ErrorResponse) {
	var failure pgproto3.ErrorResponse
	kinds := ""
	for {
		m, err := c.Receive()
		if err != nil {
			return kinds + ".", failure
		}
		encoded, err := m.Encode(nil)
		assert.NilError(c.t, err)
		kinds += string(encoded[0])
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			failure = *e
		}
		if strings.HasSuffix(kinds, string(kind)) {
			return kinds, failure
		}
	}
}

func (c *rawClient) sendAndReceive(kind rune, messages ...pgproto3.FrontendMessage) (string, pgproto3.ErrorResponse) {
	for _, m := range messages {
		c.Send(m)
	}
	assert.NilError(c.t, c.Flush())
	return c.receiveUntil(kind)
}

func preparedForTest(sql string) statement.Prepared { return statement.New(sql, nil) }

// addAll adds encoded messages to a pipeline and reports whether it accepted all.
func addAll(p *pipeline, messages []byte) bool {
	backend := pgproto3.NewBackend(bytes.NewReader(messages), io.Discard)
	backend.SetMaxBodyLen(1 << 16) // pgproto3 allocates the length in the header at once
	for {
		m, err := backend.Receive()
		if err != nil {
			return true
		}
		if p.add(m) != nil {
			return false
		}
	}
}

// checkReferences decodes messages, checks that each statement they refer to is
// known or parsed before, and returns the number of Execute messages.
func checkReferences(t *testing.T, messages []byte, known map[string]bool) int {
	executed, read := 0, bytes.NewReader(messages)
	backend := pgproto3.NewBackend(read, io.Discard)
	for {
		m, err := backend.Receive()
		if err != nil {
			assert.Assert(t, read.Len() == 0, "%v", err)
			return executed
		}
		switch m := m.(type) {
		case *pgproto3.Parse:
			known[m.Name] = true
		case *pgproto3.Bind:
			assert.Assert(t, known[m.PreparedStatement])
		case *pgproto3.Describe:
			assert.Assert(t, m.ObjectType != 'S' || known[m.Name])
		case *pgproto3.Execute:
			executed++
		}
	}
}

// anyWaiting reports whether a session waits for a request or is still being opened.
func (s *Server) anyWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		if c == nil {
			return true
		}
		c.mu.Lock()
		waiting := c.waiting
		c.mu.Unlock()
		if waiting {
			return true
		}
	}
	return false
}
