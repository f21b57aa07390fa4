package caller

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/wire/classify"
)

func query(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }

func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

// Guards against pgx, a common driver, failing to connect, to prepare statements
// or to set parameters in one of its execution modes.
func TestPgxClient(t *testing.T) {
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			f := newFakeSession()
			_, address := startServer(t, Settings{}, f)
			c, err := pgx.Connect(t.Context(), "postgres://clerk@"+address+"/svc?sslmode=prefer&default_query_exec_mode="+mode+
				"&options=-c%20papayarail.rank%3Durgent")
			assert.NilError(t, err)
			defer c.Close(context.Background())
			assert.NilError(t, c.Ping(t.Context()))
			_, err = c.Exec(t.Context(), "SET papayarail.request_key = 'k1'")
			assert.NilError(t, err)
			var value string
			for range 2 {
				assert.NilError(t, c.QueryRow(t.Context(), "SELECT a FROM lots").Scan(&value))
				assert.Equal(t, value, "ok")
			}
			assert.NilError(t, c.QueryRow(t.Context(), "SHOW papayarail.position").Scan(&value))
			assert.Equal(t, value, "svc@3.9")
			_, err = c.Exec(t.Context(), "SET papayarail.colour = 'red'")
			assert.Equal(t, sqlState(err), sqlStateUndefinedParameter)
			_, err = c.Exec(t.Context(), "LISTEN c")
			assert.Equal(t, sqlState(err), sqlStateUnsupported)
			assert.ErrorContains(t, err, "LISTEN")
			_, err = c.Exec(t.Context(), "SELECT fail")
			assert.Equal(t, sqlState(err), "42601")
			assert.NilError(t, c.QueryRow(t.Context(), "SELECT a FROM lots").Scan(&value))
			assert.Equal(t, c.PgConn().ParameterStatus(ParameterPosition), "svc@3.9")
			checkKeyUsedOnce(t, f.exchanges())
		})
	}
}

// checkKeyUsedOnce checks that only the first exchange that executes a statement
// carries the request key.
func checkKeyUsedOnce(t *testing.T, seen []Exchange) {
	executed := 0
	for _, x := range seen {
		assert.Equal(t, x.Parameters[ParameterRank], "urgent")
		if len(x.Statements) == 0 {
			continue
		}
		executed++
		assert.Equal(t, x.Parameters[ParameterRequestKey] != "", executed == 1)
	}
	assert.Assert(t, executed >= 3)
}

// Guards against protocol errors in pipelines, answers out of order, and statement
// names that change although their Parse did not run.
func TestPipelines(t *testing.T) {
	_, address := startServer(t, Settings{MaxMessageBytes: 10000}, newFakeSession())
	c := dialRaw(t, address).login(map[string]string{})
	parse := func(name, sql string) pgproto3.FrontendMessage { return &pgproto3.Parse{Name: name, Query: sql} }
	bind := func(name string) pgproto3.FrontendMessage { return &pgproto3.Bind{PreparedStatement: name} }
	closing := func(name string) pgproto3.FrontendMessage { return &pgproto3.Close{ObjectType: 'S', Name: name} }
	run, sync, flush := &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Flush{}
	steps := []struct {
		send  []pgproto3.FrontendMessage
		kinds string
		state string
	}{
		{[]pgproto3.FrontendMessage{sync}, "Z", ""},
		{[]pgproto3.FrontendMessage{parse("a", "SELECT 1"), sync}, "1SZ", ""},
		{[]pgproto3.FrontendMessage{bind("a"), run, sync}, "2DCSZ", ""},
		{[]pgproto3.FrontendMessage{parse("a", "SELECT 2"), bind("a"), run, sync}, "EZ", sqlStateDuplicateStatement},
		{[]pgproto3.FrontendMessage{parse("b", "SELECT fail"), parse("c", "SELECT 1"), sync}, "ESZ", "42601"},
		{[]pgproto3.FrontendMessage{bind("c"), run, sync}, "EZ", sqlStateUndefinedStatement},
		{[]pgproto3.FrontendMessage{parse("b", "SELECT 3"), sync}, "1SZ", ""},
		{[]pgproto3.FrontendMessage{closing("a"), bind("b"), run, closing("b"), sync}, "32DC3SZ", ""},
		{[]pgproto3.FrontendMessage{bind("b"), sync}, "EZ", sqlStateUndefinedStatement},
		{[]pgproto3.FrontendMessage{parse("", "SELECT 4"), flush}, "1S", ""},
		{[]pgproto3.FrontendMessage{bind(""), run, sync}, "2DCSZ", ""},
		{[]pgproto3.FrontendMessage{parse("", "SELECT fail"), flush}, "E", "42601"},
		{[]pgproto3.FrontendMessage{bind(""), run, sync}, "SZ", ""},
		{[]pgproto3.FrontendMessage{bind(""), run, flush}, "E", sqlStateUnsupported},
		{[]pgproto3.FrontendMessage{query("SELECT 1"), sync}, "Z", ""},
		{[]pgproto3.FrontendMessage{parse("s", "SET papayarail.rank = least"), bind("s"), run, parse("", "SELECT 1"), bind(""), run, sync}, "12C12DCSZ", ""},
		{[]pgproto3.FrontendMessage{parse("", "SELECT 1"), bind("s"), run, sync}, "EZ", sqlStateUnsupported},
		{[]pgproto3.FrontendMessage{query("SHOW papayarail.rank")}, "TDCZ", ""},
		{[]pgproto3.FrontendMessage{query("")}, "IZ", ""},
		{[]pgproto3.FrontendMessage{query("SELECT 1; SET papayarail.rank = least")}, "EZ", sqlStateUnsupported},
		{[]pgproto3.FrontendMessage{query("DECLARE c CURSOR FOR SELECT 1")}, "EZ", sqlStateUnsupported},
		{[]pgproto3.FrontendMessage{&pgproto3.FunctionCall{}}, "EZ", sqlStateUnsupported},
		{[]pgproto3.FrontendMessage{query("COPY lots FROM STDIN")}, "EZ", sqlStateUnsupported},
		{[]pgproto3.FrontendMessage{query("BEGIN")}, "TDCSZ", ""},
		{[]pgproto3.FrontendMessage{bind(""), sync}, "EZ", sqlStateUndefinedStatement},
		{[]pgproto3.FrontendMessage{query("SHOW papayarail.rank")}, "EZ", sqlStateFailedTransaction},
		{[]pgproto3.FrontendMessage{query("ROLLBACK")}, "TDCSZ", ""},
		{[]pgproto3.FrontendMessage{parse("", strings.Repeat(" ", 6000)), parse("", "SELECT 1"+strings.Repeat(" ", 6000)), sync}, "EZ", sqlStateTooLarge},
	}
	// x1 and x2 together exceed the limit on the SQL of the session's statements, so that
	// x3 is refused. The expected answers are those of steps 1 and 3.
	for _, name := range []string{"x1", "x2"} {
		steps = append(steps, steps[1])
		steps[len(steps)-1].send = []pgproto3.FrontendMessage{parse(name, "SELECT 5"+strings.Repeat(" ", 6000)), sync}
	}
	steps = append(steps, steps[3])
	steps[len(steps)-1].state = sqlStateTooLarge
	steps[len(steps)-1].send = []pgproto3.FrontendMessage{parse("x3", "SELECT 1"), sync}
	for i, step := range steps {
		kinds, failure := c.sendAndReceive(rune(step.kinds[len(step.kinds)-1]), step.send...)
		assert.Equal(t, kinds, step.kinds, "step %d: %s", i, failure.Message)
		assert.Equal(t, failure.Code, step.state, "step %d", i)
	}
}

// Guards against a COMMIT that commits the statements before a refused one.
func TestRefusalFailsTransaction(t *testing.T) {
	f := newFakeSession()
	_, address := startServer(t, Settings{}, f)
	c := dialRaw(t, address).login(map[string]string{})
	c.sendAndReceive('Z', query("BEGIN"))
	_, failure := c.sendAndReceive('Z', query("LISTEN c"))
	assert.Equal(t, failure.Code, sqlStateUnsupported)
	assert.Equal(t, f.status, byte('E'))
}

// Guards against an ErrorResponse without the verdict or the retry delay.
func TestVerdictInErrorResponse(t *testing.T) {
	_, address := startServer(t, Settings{}, newFakeSession())
	_, failure := dialRaw(t, address).login(map[string]string{}).sendAndReceive('Z', query("SELECT overload"))
	assert.Equal(t, failure.Code, "53300")
	assert.Equal(t, failure.Detail, "verdict=not_run code=overloaded retry_after_ms=250")
	assert.Equal(t, failure.Hint, "The request was not run. Try again in 250ms.")
}

// Guards against start-ups refused without an error of the right SQLSTATE.
func TestRefusedStartups(t *testing.T) {
	otherNetwork := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	cases := []struct {
		settings   Settings
		parameters map[string]string
		state      string
	}{
		{Settings{AllowedNetworks: otherNetwork}, map[string]string{"user": "u"}, sqlStateNotAllowed},
		{Settings{}, map[string]string{"database": "d"}, sqlStateNotAllowed},
		{Settings{}, map[string]string{"user": "u", "database": "unknown"}, "3D000"},
		{Settings{}, map[string]string{"user": "u", "search_path": "a"}, sqlStateUnsupported},
		{Settings{}, map[string]string{"user": "u", "client_encoding": "LATIN1"}, sqlStateUnsupported},
		{Settings{}, map[string]string{"user": "u", "papayarail.rank": "first"}, sqlStateInvalidValue},
		{Settings{}, map[string]string{"user": "u", "options": "-c papayarail.colour=red"}, sqlStateUndefinedParameter},
		{Settings{}, map[string]string{"user": "u", "options": "-c papayarail.rank"}, sqlStateProtocolViolation},
	}
	for _, test := range cases {
		_, address := startServer(t, test.settings, newFakeSession())
		c := dialRaw(t, address)
		kinds, failure := c.sendAndReceive('.', &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: test.parameters})
		assert.Equal(t, kinds, "E.")
		assert.Equal(t, failure.Code, test.state)
		assert.Equal(t, failure.Severity, severityFatal)
	}
}

// Guards against a protocol violation or a limit of one caller that affects the
// session of another.
func TestViolationsLeaveOthersAlone(t *testing.T) {
	_, address := startServer(t, Settings{MaxMessageBytes: 1000, MaxConnections: 2}, newFakeSession())
	good := dialRaw(t, address).login(map[string]string{})
	garbage := dialRaw(t, address)
	_, err := garbage.conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	assert.NilError(t, err)
	_, failure := garbage.receiveUntil('.')
	assert.Equal(t, failure.Code, sqlStateProtocolViolation)
	large := dialRaw(t, address).login(map[string]string{})
	_, failure = dialRaw(t, address).sendAndReceive('.', &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}})
	assert.Equal(t, failure.Code, "53300")
	kinds, failure := large.sendAndReceive('.', query(strings.Repeat("x", 2000)))
	assert.Equal(t, kinds, "E.")
	assert.Equal(t, failure.Code, sqlStateProtocolViolation)
	kinds, _ = good.sendAndReceive('Z', query("SELECT 1"))
	assert.Equal(t, kinds, "TDCSZ")
}

// Guards against a CancelRequest that is ignored, or accepted with a wrong secret.
func TestCancelRequest(t *testing.T) {
	f := newFakeSession()
	s, address := startServer(t, Settings{}, f)
	c, err := pgconn.Connect(t.Context(), "postgres://u@"+address+"/svc?sslmode=disable")
	assert.NilError(t, err)
	defer c.Close(context.Background())
	result := make(chan error, 1)
	go func() {
		_, err := c.Exec(t.Context(), "SELECT block").ReadAll()
		result <- err
	}()
	<-f.entered
	forged := dialRaw(t, address)
	kinds, _ := forged.sendAndReceive('.', &pgproto3.CancelRequest{ProcessID: c.PID(), SecretKey: []byte{0, 0, 0, 0}})
	assert.Equal(t, kinds, ".")
	assert.Equal(t, s.Stats().CancelRequests, uint64(0))
	assert.NilError(t, c.CancelRequest(t.Context()))
	assert.Equal(t, sqlState(<-result), "08007")
	assert.Equal(t, f.causes[0], ErrCanceled)
}

// Guards against an exchange that goes on after its caller has disconnected.
func TestDisconnectEndsExchange(t *testing.T) {
	f := newFakeSession()
	_, address := startServer(t, Settings{}, f)
	c := dialRaw(t, address).login(map[string]string{})
	c.Send(query("SELECT block"))
	assert.NilError(t, c.Flush())
	<-f.entered
	assert.NilError(t, c.conn.Close())
	<-f.entered
	assert.Equal(t, f.causes[0], ErrDisconnected)
}

// Guards against a drain that interrupts a running request, leaves idle sessions
// open, or refuses callers without SQLSTATE 57P01 and a verdict.
func TestDrain(t *testing.T) {
	f := newFakeSession()
	s, address := startServer(t, Settings{}, f)
	busy, idle := dialRaw(t, address).login(map[string]string{}), dialRaw(t, address).login(map[string]string{})
	busy.Send(query("SELECT block"))
	assert.NilError(t, busy.Flush())
	<-f.entered
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	kinds, failure := idle.receiveUntil('.')
	assert.Equal(t, kinds, "E.")
	assert.Equal(t, failure.Code, "57P01")
	assert.Assert(t, strings.Contains(failure.Detail, "verdict=not_run"))
	_, failure = dialRaw(t, address).sendAndReceive('.', &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}})
	assert.Equal(t, failure.Code, "57P01")
	close(f.release)
	kinds, failure = busy.receiveUntil('.')
	assert.Equal(t, kinds, "TDCSZE.")
	assert.Equal(t, failure.Code, "57P01")
	assert.NilError(t, <-drained)
}

// Guards against a drain that ends an open transaction early, or that returns no
// error although its context ended with sessions left.
func TestDrainLetsTransactionEnd(t *testing.T) {
	s, address := startServer(t, Settings{}, newFakeSession())
	c := dialRaw(t, address).login(map[string]string{})
	c.sendAndReceive('Z', query("BEGIN"))
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, s.Drain(expired), context.Canceled)
	kinds, _ := c.sendAndReceive('Z', query("INSERT INTO lots VALUES (1)"))
	assert.Equal(t, kinds, "TDCSZ")
	kinds, failure := c.sendAndReceive('.', query("COMMIT"))
	assert.Equal(t, kinds, "TDCSZE.")
	assert.Equal(t, failure.Code, "57P01")
	assert.NilError(t, s.Drain(t.Context()))
}

// Guards against a Serve that, after a drain, waits for connections still in their
// start-up.
func TestServeEndsAfterDrain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(Settings{StartupTimeout: time.Hour}, newFakeSession())
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), l) }()
	dialRaw(t, l.Addr().String())
	dialRaw(t, l.Addr().String()).login(map[string]string{})
	assert.NilError(t, s.Drain(t.Context()))
	assert.NilError(t, <-served)
}

// Guards against running a request whose Sync arrives after the drain began.
func TestDrainDuringPipeline(t *testing.T) {
	f := newFakeSession()
	s, address := startServer(t, Settings{}, f)
	c := dialRaw(t, address).login(map[string]string{})
	c.Send(&pgproto3.Parse{Query: "DELETE FROM lots"})
	assert.NilError(t, c.Flush())
	for s.anyWaiting() {
		runtime.Gosched() // until the server has read the Parse
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	for !s.draining.Load() {
		runtime.Gosched()
	}
	kinds, failure := c.sendAndReceive('.', &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	assert.Equal(t, kinds, "E.")
	assert.Equal(t, failure.Code, "57P01")
	assert.Equal(t, len(f.exchanges()), 0)
	assert.NilError(t, <-drained)
}

// pipeListener accepts one end of a net.Pipe, whose deadlines follow the fake clock
// of a synctest bubble.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error { return nil }

// Guards against callers that occupy a connection without sending or reading.
func TestTimeouts(t *testing.T) {
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}}
	cases := map[string]struct {
		client func(*rawClient)
		after  time.Duration
	}{
		"silent start-up": {func(c *rawClient) { c.receiveUntil('.') }, 3 * time.Second},
		"idle":            {func(c *rawClient) { c.sendAndReceive('.', startup) }, 7 * time.Second},
		"does not read": {func(c *rawClient) {
			c.sendAndReceive('Z', startup)
			c.Send(query("SELECT 1"))
			assert.NilError(c.t, c.Flush())
		}, 5 * time.Second},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := Settings{StartupTimeout: 3 * time.Second, WriteTimeout: 5 * time.Second, IdleTimeout: 7 * time.Second}
				l := &pipeListener{conns: make(chan net.Conn, 1)}
				clientEnd, serverEnd := net.Pipe()
				l.conns <- serverEnd
				close(l.conns)
				started := time.Now()
				go test.client(&rawClient{Frontend: pgproto3.NewFrontend(clientEnd, clientEnd), conn: clientEnd, t: t})
				assert.ErrorIs(t, NewServer(settings, newFakeSession()).Serve(t.Context(), l), net.ErrClosed)
				assert.Equal(t, time.Since(started), test.after)
			})
		})
	}
}

// Guards against crashes on malformed start-up messages, and against accepting
// invalid parameter values.
func FuzzStartup(f *testing.F) {
	f.Add([]byte("user\x00u\x00database\x00d\x00options\x00-c papayarail.rank=urgent --papayarail.caller=a\\ b\x00\x00"))
	f.Add([]byte("user\x00u\x00papayarail.position\x00s@1.2\x00\x00"))
	f.Fuzz(func(t *testing.T, parameters []byte) {
		var m pgproto3.StartupMessage
		if m.Decode(append(binary.BigEndian.AppendUint32(nil, pgproto3.ProtocolVersion30), parameters...)) != nil {
			return
		}
		s, err := parseStartup(m.Parameters)
		if err != nil {
			return
		}
		assert.Assert(t, s.User != "" && s.Database != "")
		for name, value := range newParameters(s).current {
			assert.Assert(t, name == ParameterCaller || checkParameter(name, value) == nil)
		}
	})
}

// Guards against assembled messages that an upstream cannot decode, and against
// references to statements that neither the exchange parses nor the required
// statements contain.
func FuzzPipeline(f *testing.F) {
	var seed []byte
	for _, m := range []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "a", Query: "SELECT 1"}, &pgproto3.Bind{PreparedStatement: "old"}, &pgproto3.Execute{},
		&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Parse{Query: "SHOW papayarail.rank"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}} {
		seed, _ = m.Encode(seed)
		f.Add(seed)
	}
	old := map[string]sessionStatement{"old": {info: classify.Info{Class: classify.Read, StatementCount: 1}}}
	old["old"] = sessionStatement{prepared: preparedForTest("SELECT 2"), info: old["old"].info}
	f.Fuzz(func(t *testing.T, messages []byte) {
		p := newPipeline(old, nil, false, 1<<20)
		if !addAll(p, messages) {
			return
		}
		known := map[string]bool{}
		for _, n := range p.exchange.RequiredStatements {
			known[n.Name] = true
		}
		executed := checkReferences(t, p.exchange.Messages, known)
		assert.Equal(t, executed, len(p.exchange.Statements))
	})
}
