// Package upstream is a client connection to one database server. It carries
// whole exchanges of the PostgreSQL protocol, keeps prepared statements in
// step with the server, and refuses further use after the first irregularity,
// so that a late answer never reaches a later request.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/statement"
)

// Class groups the errors of this package that are not verdict errors.
var Class = errs.Class("upstream")

const (
	// DefaultMaxAnswerBytes limits an answer when the configuration does not.
	DefaultMaxAnswerBytes = 16 << 20
	// MaxPreparedStatements limits the prepared statements of one connection.
	// Each costs the server memory for its plan; 200 covers the statements of
	// one application.
	MaxPreparedStatements = 200
	// defaultConnectTimeout covers a server that accepts and stays silent.
	defaultConnectTimeout = 5 * time.Second
	// closeTimeout limits the attempt to send Terminate.
	closeTimeout = 100 * time.Millisecond
	// positionParameter is the ParameterStatus that carries log positions.
	positionParameter = "group.position"
)

// Config says how to reach an upstream.
type Config struct {
	Address         string // host:port
	User            string
	Password        string
	Database        string
	ApplicationName string
	ConnectTimeout  time.Duration // 0: 5 s
	MaxAnswerBytes  int           // 0: DefaultMaxAnswerBytes
	// SourceAddress is the local address of the connection; the zero value leaves the
	// choice to the system.
	SourceAddress netip.Addr
}

// Answer is the response to one exchange.
type Answer struct {
	// Messages are the backend messages for the caller, without ReadyForQuery
	// and without the ParameterStatus group.position.
	Messages []byte
	// TxStatus is 'I' (idle), 'T' (in a transaction) or 'E' (failed transaction).
	TxStatus byte
	// Position is the last group.position; zero if none came.
	Position position.Position
	// SQLState is that of the first ErrorResponse, else "".
	SQLState string
	// Committed reports, from the command tags, that the exchange committed
	// a write or ended a transaction with COMMIT. A SELECT whose function
	// writes does not count.
	Committed bool
}

// Conn is a connection to an upstream. One exchange runs at a time; Cancel and
// Close may be called while it runs.
type Conn struct {
	pg       *pgconn.PgConn // hijacked; used for Cancel only
	net      net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	limit    int

	mu    sync.Mutex // held during an exchange
	known *simplelru.LRU[string, struct{}]

	stateMu sync.Mutex
	broken  error
}

// Dial connects and starts a session. If the server refuses the start-up, the
// error has a *pgconn.PgError in its chain.
func Dial(ctx context.Context, c Config) (*Conn, error) {
	pc, err := pgConfig(c)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	pg, err := pgconn.ConnectConfig(ctx, pc)
	if err != nil {
		return nil, Class.Wrap(fmt.Errorf("connect to %s: %w", c.Address, err))
	}
	h, err := pg.Hijack()
	if err != nil {
		return nil, Class.Wrap(err)
	}
	// The size only bounds the library's list; newPlan enforces the limit.
	known, err := simplelru.NewLRU[string, struct{}](1<<20, nil)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	limit := answerLimit(c)
	h.Frontend.SetMaxBodyLen(limit)
	return &Conn{pg: pg, net: h.Conn, frontend: h.Frontend, pid: h.PID, limit: limit, known: known}, nil
}

func answerLimit(c Config) int {
	if c.MaxAnswerBytes > 0 {
		return c.MaxAnswerBytes
	}
	return DefaultMaxAnswerBytes
}

// pgConfig sets every field itself, so that PG* environment variables have no effect.
func pgConfig(c Config) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", c.Address, err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("port in address %q: %w", c.Address, err)
	}
	pc, err := pgconn.ParseConfig("host=localhost port=5432 sslmode=disable target_session_attrs=any")
	if err != nil {
		return nil, fmt.Errorf("connection settings: %w", err)
	}
	pc.Host, pc.Port = host, uint16(port)
	pc.User, pc.Password, pc.Database = c.User, c.Password, c.Database
	pc.TLSConfig, pc.Fallbacks, pc.ValidateConnect = nil, nil, nil
	pc.RuntimeParams = map[string]string{}
	if c.ApplicationName != "" {
		pc.RuntimeParams["application_name"] = c.ApplicationName
	}
	pc.ConnectTimeout = defaultConnectTimeout
	if c.ConnectTimeout > 0 {
		pc.ConnectTimeout = c.ConnectTimeout
	}
	dialer := net.Dialer{Timeout: pc.ConnectTimeout, LocalAddr: LocalAddr(c.SourceAddress)}
	pc.DialFunc = dialer.DialContext
	return pc, nil
}

// LocalAddr returns the address to bind an outgoing connection to; nil if the
// source is not set.
func LocalAddr(source netip.Addr) net.Addr {
	if !source.IsValid() {
		return nil
	}
	return &net.TCPAddr{IP: source.AsSlice()}
}

// PID returns the server process of this session.
func (c *Conn) PID() uint32 { return c.pid }

// Cancel asks the server, over a new connection, to cancel what runs on c.
func (c *Conn) Cancel(ctx context.Context) error {
	return Class.Wrap(c.pg.CancelRequest(ctx))
}

// Close ends the session. A running exchange fails.
func (c *Conn) Close() error {
	c.stateMu.Lock()
	wasBroken := c.broken != nil
	if !wasBroken {
		c.broken = errors.New("connection is closed")
	}
	c.stateMu.Unlock()
	if wasBroken {
		return nil
	}
	if c.mu.TryLock() {
		defer c.mu.Unlock()
		c.terminate()
	}
	return c.net.Close()
}

// terminate tells the server about the end; a failure does not matter,
// because the connection is closed next.
func (c *Conn) terminate() {
	_ = c.net.SetDeadline(time.Now().Add(closeTimeout))
	c.frontend.Send(&pgproto3.Terminate{})
	_ = c.frontend.Flush()
}

// Err returns why the connection is unusable, or nil.
func (c *Conn) Err() error {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.broken
}

// fail makes the connection unusable.
func (c *Conn) fail(err error) {
	c.stateMu.Lock()
	first := c.broken == nil
	if first {
		c.broken = err
	}
	c.stateMu.Unlock()
	if first {
		_ = c.net.Close()
	}
}

// Exchange sends messages (encoded frontend messages up to and including Sync,
// or one Query) and reads the answer up to ReadyForQuery. Statements in need
// that are not on the connection are parsed first. An error is a
// *verdict.Error: NotRun if nothing was sent, else MayHaveRun. An ErrorResponse
// of the server is part of the Answer and not an error.
func (c *Conn) Exchange(ctx context.Context, need []statement.Prepared, messages []byte) (Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := newPlan(c.known, MaxPreparedStatements, need, messages)
	if err != nil {
		return Answer{}, verdict.New(verdict.ProtocolViolation, "%v", err)
	}
	r := &reader{conn: c, plan: p}
	if err := c.roundTrip(ctx, p, r); err != nil {
		return Answer{}, err
	}
	for _, name := range p.used {
		c.known.Get(name) // marks the statement as recently used
	}
	return r.answer, nil
}

// roundTrip sends the plan and lets r read the answer.
func (c *Conn) roundTrip(ctx context.Context, p *plan, r *reader) error {
	if err := c.ready(ctx); err != nil {
		return err
	}
	release := c.watch(ctx)
	sent, err := c.send(p.out, r)
	release()
	if err == nil {
		return nil
	}
	c.fail(err)
	return c.failure(ctx, sent, err)
}

// ready checks that nothing stands against sending a request.
func (c *Conn) ready(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return verdict.New(verdict.DeadlineUnreachable, "request ended before it was sent: %v", err)
	}
	if err := c.Err(); err != nil {
		return verdict.New(verdict.CutOff, "upstream connection is unusable: %v", err)
	}
	if err := c.idleInput(); err != nil {
		c.fail(err)
		return verdict.New(verdict.CutOff, "upstream connection is unusable: %v", err)
	}
	return nil
}

// watch interrupts I/O when ctx ends. The returned function stops that and
// leaves the connection without a deadline.
func (c *Conn) watch(ctx context.Context) (release func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		_ = c.net.SetDeadline(time.Unix(1, 0))
	})
	return func() {
		if stop() {
			return
		}
		<-done
		_ = c.net.SetDeadline(time.Time{})
	}
}

// asyncWriteBytes is the request size from which writing and reading run at
// the same time. Below it the kernel's socket buffers take the whole request,
// so that neither side can wait for the other to read first.
const asyncWriteBytes = 16 << 10

// send writes the request and reads the answer. It reports whether bytes of
// the request may have reached the upstream.
func (c *Conn) send(out []byte, r *reader) (sent bool, err error) {
	if len(out) < asyncWriteBytes {
		n, err := c.net.Write(out)
		if err != nil {
			return n > 0, err
		}
		return true, r.run()
	}
	type written struct {
		n   int
		err error
	}
	result := make(chan written, 1)
	go func() {
		n, err := c.net.Write(out)
		result <- written{n, err}
	}()
	readErr := r.run()
	if readErr != nil {
		_ = c.net.Close() // ends the write
	}
	w := <-result
	if readErr == nil && w.err != nil {
		return true, w.err
	}
	return w.n > 0, readErr
}

// failure turns an I/O or protocol error into a verdict.
func (c *Conn) failure(ctx context.Context, sent bool, err error) error {
	cause := err
	if ctx.Err() != nil {
		cause = context.Cause(ctx)
	}
	if sent {
		return verdict.New(verdict.OutcomeUnknown, "upstream gave no complete answer: %v", cause)
	}
	return verdict.New(verdict.CutOff, "request was not sent to the upstream: %v", cause)
}

// Query runs a simple query and returns the rows of all its results as text;
// NULL becomes "". An ErrorResponse is returned as *pgconn.PgError.
func (c *Conn) Query(ctx context.Context, sql string) ([][]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, verdict.New(verdict.ProtocolViolation, "%v", err)
	}
	p := &plan{out: out, simple: true}
	r := &reader{conn: c, plan: p, collect: true}
	if err := c.roundTrip(ctx, p, r); err != nil {
		return nil, err
	}
	if r.pgError != nil {
		return nil, r.pgError
	}
	return r.rows, nil
}
