package upstream

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/statement"
)

func execute(name string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}}
}

// Guards against losing the SQLSTATE of a refused start-up, which distinguishes a
// full server from other failures.
func TestRefusedStartupKeepsSQLState(t *testing.T) {
	f := startFake(t, &fakeServer{refuse: &pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "full"}})
	_, err := Dial(t.Context(), Config{Address: f.listener.Addr().String(), User: "u", Database: "d"})
	var pg *pgconn.PgError
	assert.Assert(t, errors.As(err, &pg))
	assert.Equal(t, pg.Code, "53300")
}

// Guards against completions of added Parse messages that reach the caller, and
// against parsing a required statement twice.
func TestNeededStatementIsParsedOnce(t *testing.T) {
	f := startFake(t, &fakeServer{})
	c := f.dial(t, Config{})
	s := statement.New("INSERT INTO lots VALUES (1)", nil)
	for range 2 {
		a, err := c.Exchange(t.Context(), []statement.Prepared{s}, encode(t, execute(s.Name)...))
		assert.NilError(t, err)
		assert.Equal(t, decode(a.Messages), "2DC")
		assert.Equal(t, a.Position, position.Position{Term: 3, Offset: 44})
		assert.Equal(t, a.TxStatus, byte('I'))
		assert.Assert(t, a.Committed)
	}
	assert.DeepEqual(t, f.received, []string{"P " + s.Name})
}

// Guards against SQLSTATE 42P05 (duplicate prepared statement) when a caller
// parses a statement that another caller has prepared on the connection.
func TestParseOfKnownStatement(t *testing.T) {
	c := startFake(t, &fakeServer{}).dial(t, Config{})
	parse := encode(t, &pgproto3.Parse{Name: "p_1", Query: "SELECT 1"})
	for range 3 {
		a, err := c.Exchange(t.Context(), nil, parse)
		assert.NilError(t, err)
		assert.Equal(t, decode(a.Messages), "1")
		assert.Equal(t, a.SQLState, "")
	}
}

// Guards against completions that are attributed to the wrong messages after an
// error in a pipeline, and against treating a statement as prepared although its
// Parse failed or was discarded.
func TestErrorInPipeline(t *testing.T) {
	c := startFake(t, &fakeServer{}).dial(t, Config{})
	good := statement.New("SELECT 1", nil)
	messages := []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "bad", Query: "syntax error"}, &pgproto3.Parse{Name: "later", Query: "SELECT 2"}}
	a, err := c.Exchange(t.Context(), []statement.Prepared{good}, encode(t, append(messages, execute("later")...)...))
	assert.NilError(t, err)
	assert.Equal(t, decode(a.Messages), "E")
	assert.Equal(t, a.SQLState, "42601")
	assert.Assert(t, !a.Committed)
	assert.DeepEqual(t, c.preparedStatements.Keys(), []string{good.Name})
	a, err = c.Exchange(t.Context(), []statement.Prepared{good}, encode(t, execute(good.Name)...))
	assert.NilError(t, err)
	assert.Equal(t, decode(a.Messages), "2DC")
}

// Guards against unlimited statements on a connection, and against evicting one
// that is used often or by the same exchange.
func TestPreparedStatementLimit(t *testing.T) {
	f := startFake(t, &fakeServer{})
	c := f.dial(t, Config{})
	often := statement.New("SELECT 'often'", nil)
	exchange := func(required ...statement.Prepared) {
		var messages []pgproto3.FrontendMessage
		for _, s := range required {
			messages = append(messages, execute(s.Name)...)
		}
		a, err := c.Exchange(t.Context(), required, encode(t, messages...))
		assert.NilError(t, err)
		assert.Equal(t, decode(a.Messages), strings.Repeat("2DC", len(required)))
	}
	for i := range MaxPreparedStatements + 20 {
		exchange(statement.New(fmt.Sprintf("SELECT %d", i), nil))
		if i%50 == 0 {
			exchange(often)
		}
	}
	oldest := c.preparedStatements.Keys()[0]
	exchange(statement.New("SELECT 'new'", nil), statement.Prepared{Name: oldest})
	assert.Equal(t, c.preparedStatements.Len(), MaxPreparedStatements)
	closed := strings.Join(f.received, ";")
	assert.Assert(t, !strings.Contains(closed, "C "+often.Name))
	assert.Assert(t, !strings.Contains(closed, "C "+oldest))
}

// Guards against the late answer to a canceled request being taken for the answer
// to the next one.
func TestLateAnswerIsNeverDelivered(t *testing.T) {
	arrived, late := make(chan struct{}), make(chan struct{})
	f := startFake(t, &fakeServer{serve: func(backend *pgproto3.Backend) {
		_, _ = backend.Receive()
		close(arrived)
		<-late
		backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("old")}})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		_ = backend.Flush()
	}})
	c := f.dial(t, Config{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := c.Query(ctx, "SELECT 1")
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	close(late)
	_, err = c.Query(t.Context(), "SELECT 2")
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

// Guards against accepting answers that violate the protocol or the size limit, and
// against further use of such a connection.
func TestProtocolSurpriseEndsConnection(t *testing.T) {
	violations := map[string][]pgproto3.BackendMessage{
		"completion that is not expected": {&pgproto3.CloseComplete{}},
		"early end":                       {&pgproto3.ReadyForQuery{TxStatus: 'I'}},
		"unknown transaction status":      {&pgproto3.BindComplete{}, &pgproto3.CommandComplete{}, &pgproto3.ReadyForQuery{TxStatus: 'X'}},
		"copy":                            {&pgproto3.BindComplete{}, &pgproto3.CopyInResponse{}},
		"fatal error":                     {&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"}},
		"answer above the limit":          {&pgproto3.BindComplete{}, &pgproto3.DataRow{Values: [][]byte{make([]byte, 600)}}, &pgproto3.DataRow{Values: [][]byte{make([]byte, 600)}}},
	}
	for name, messages := range violations {
		t.Run(name, func(t *testing.T) {
			f := startFake(t, &fakeServer{serve: func(backend *pgproto3.Backend) {
				for range 3 {
					_, _ = backend.Receive()
				}
				for _, m := range messages {
					backend.Send(m)
				}
				_ = backend.Flush()
				_, _ = backend.Receive()
			}})
			c := f.dial(t, Config{MaxAnswerBytes: 1000})
			_, err := c.Exchange(t.Context(), nil, encode(t, execute("")...))
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
			_, err = c.Exchange(t.Context(), nil, encode(t, execute("")...))
			assert.Equal(t, verdict.Of(err), verdict.NotRun)
		})
	}
}

// Guards against the verdict "may have run" for a request on a session that the
// server had already ended.
func TestSessionEndedWhileIdle(t *testing.T) {
	f := startFake(t, &fakeServer{serve: func(backend *pgproto3.Backend) {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"})
		_ = backend.Flush()
		_, _ = backend.Receive()
	}})
	c := f.dial(t, Config{})
	for c.checkIdle() == nil {
		runtime.Gosched() // until the kernel has delivered the message
	}
	_, err := c.Query(t.Context(), "SELECT 1")
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}

// Guards against sending malformed requests, after which answers could no longer
// be matched to requests.
func TestMalformedRequestIsNotSent(t *testing.T) {
	c := startFake(t, &fakeServer{}).dial(t, Config{})
	sync := encode(t)
	copyData, err := (&pgproto3.CopyData{}).Encode(nil)
	assert.NilError(t, err)
	for _, messages := range [][]byte{nil, sync[:3], append(append([]byte{}, sync...), sync...), append(copyData, sync...)} {
		_, err := c.Exchange(t.Context(), nil, messages)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	}
	rows, err := c.Query(t.Context(), "SELECT 1")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, [][]string{{"SELECT 1", ""}})
}

// Guards against a deadlock when a pipeline and its answer both exceed the socket
// buffers.
func TestLargePipeline(t *testing.T) {
	c := startFake(t, &fakeServer{serve: func(backend *pgproto3.Backend) {
		for {
			switch m, err := backend.Receive(); m := m.(type) {
			case *pgproto3.Bind:
				backend.Send(&pgproto3.BindComplete{})
				backend.Send(&pgproto3.NoticeResponse{Message: string(m.Parameters[0])})
				_ = backend.Flush()
			case *pgproto3.Sync:
				backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				_ = backend.Flush()
			default:
				if err != nil {
					return
				}
			}
		}
	}}).dial(t, Config{MaxAnswerBytes: 64 << 20})
	const count, size = 200, 64 << 10
	var messages []pgproto3.FrontendMessage
	for range count {
		messages = append(messages, &pgproto3.Bind{Parameters: [][]byte{[]byte(strings.Repeat("x", size))}})
	}
	a, err := c.Exchange(t.Context(), nil, encode(t, messages...))
	assert.NilError(t, err)
	assert.Assert(t, len(a.Messages) > count*size)
}

// Guards against a CancelRequest for another session.
func TestCancel(t *testing.T) {
	f := startFake(t, &fakeServer{})
	c := f.dial(t, Config{})
	assert.NilError(t, c.Cancel(t.Context()))
	assert.Equal(t, <-f.cancels, c.PID())
}

// Guards against crashes on malformed requests, and against plans whose
// expected completions differ from the messages that they send.
func FuzzPlan(f *testing.F) {
	var seed []byte
	for _, m := range []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "a"}, &pgproto3.Close{ObjectType: 'S', Name: "b"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}} {
		seed, _ = m.Encode(seed)
	}
	f.Add(seed, 1)
	f.Add([]byte("Q\x00\x00\x00\x05\x00"), 3)
	f.Fuzz(func(t *testing.T, messages []byte, limit int) {
		prepared, err := simplelru.NewLRU[string, struct{}](10, nil)
		assert.NilError(t, err)
		for _, name := range []string{"a", "b", "c"} {
			prepared.Add(name, struct{}{})
		}
		p, err := newPlan(prepared, limit, []statement.Prepared{{Name: "n"}}, messages)
		if err != nil || p.simple {
			return
		}
		sent, err := split(p.request)
		assert.NilError(t, err)
		next := 0
		for _, m := range sent {
			if m.kind() == typeFlush {
				continue
			}
			name, err := statementName(m)
			assert.NilError(t, err)
			completion := p.expected[next]
			assert.Equal(t, completion.request, m.kind())
			assert.Assert(t, completion.name == "" || completion.name == name)
			next++
		}
		assert.Equal(t, next, len(p.expected))
	})
}
