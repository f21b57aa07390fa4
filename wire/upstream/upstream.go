// Package upstream implements a client connection to one database server over
// the PostgreSQL wire protocol. It runs whole exchanges, prepares missing
// statements and evicts the least recently used ones. After the first I/O error
// or protocol violation the connection refuses further requests, so that a late
// answer never reaches a later request.
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
	// DefaultMaxAnswerBytes limits an answer if Config.MaxAnswerBytes is not set.
	DefaultMaxAnswerBytes = 16 << 20
	// MaxPreparedStatements limits the prepared statements of one connection.
	// Each takes memory on the server for its plan; 200 is enough for the
	// statements of one application.
	MaxPreparedStatements = 200
	// defaultConnectTimeout limits the wait for a server that accepts the
	// connection but does not answer.
	defaultConnectTimeout = 5 * time.Second
	// closeTimeout limits the time to send Terminate.
	closeTimeout = 100 * time.Millisecond
	// positionParameter is the ParameterStatus that carries log positions.
	positionParameter = "group.position"
)

// Config holds the settings of a connection to an upstream.
type Config struct {
	Address         string // host:port
	User            string
	Password        string
	Database        string
	ApplicationName string
	ConnectTimeout  time.Duration // 0: 5 s
	MaxAnswerBytes  int           // 0: DefaultMaxAnswerBytes
	// SourceAddress is the local IP address of the connection; with the zero
	// value the operating system chooses one.
	SourceAddress netip.Addr
}

// Answer is the response of the upstream to one exchange.
type Answer struct {
	// Messages are the backend messages for the caller, without ReadyForQuery
	// and without the ParameterStatus group.position.
	Messages []byte
	// TxStatus is 'I' (idle), 'T' (in a transaction) or 'E' (failed transaction).
	TxStatus byte
	// Position is the log position in the last group.position; zero if there was none.
	Position position.Position
	// SQLState is the SQLSTATE of the first ErrorResponse, or "".
	SQLState string
	// Committed reports, judging by the command tags, that the exchange
	// committed a write or ended a transaction with COMMIT. A SELECT of a
	// function that writes is not detected.
	Committed bool
}

// Conn is a connection to an upstream. It runs one exchange at a time and is
// safe for concurrent use: Cancel and Close do not wait for a running exchange.
type Conn struct {
	pg             *pgconn.PgConn // hijacked; used for Cancel only
	net            net.Conn
	frontend       *pgproto3.Frontend
	pid            uint32
	maxAnswerBytes int

	mu                 sync.Mutex                       // held during an exchange
	preparedStatements *simplelru.LRU[string, struct{}] // names on the server

	stateMu sync.Mutex
	broken  error // why the connection is unusable, or nil
}

// Dial connects to the upstream and starts a session. If the server refuses the
// start-up, the error has a *pgconn.PgError in its chain.
func Dial(ctx context.Context, c Config) (*Conn, error) {
	pc, err := pgConfig(c)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	pg, err := pgconn.ConnectConfig(ctx, pc)
	if err != nil {
		return nil, Class.Wrap(fmt.Errorf("connect to %s: %w", c.Address, err))
	}
	hijacked, err := pg.Hijack()
	if err != nil {
		return nil, Class.Wrap(err)
	}
	// The LRU list needs a size; newPlan enforces MaxPreparedStatements.
	prepared, err := simplelru.NewLRU[string, struct{}](1<<20, nil)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	limit := answerLimit(c)
	hijacked.Frontend.SetMaxBodyLen(limit)
	return &Conn{pg: pg, net: hijacked.Conn, frontend: hijacked.Frontend, pid: hijacked.PID, maxAnswerBytes: limit, preparedStatements: prepared}, nil
}

func answerLimit(c Config) int {
	if c.MaxAnswerBytes > 0 {
		return c.MaxAnswerBytes
	}
	return DefaultMaxAnswerBytes
}

// pgConfig sets each connection setting explicitly, so that PG* environment
// variables have no effect.
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

// LocalAddr returns the TCP address to bind an outgoing connection to, or nil if
// source is the zero value.
func LocalAddr(source netip.Addr) net.Addr {
	if !source.IsValid() {
		return nil
	}
	return &net.TCPAddr{IP: source.AsSlice()}
}

// PID returns the process ID of this session on the server.
func (c *Conn) PID() uint32 { return c.pid }

// Cancel sends a CancelRequest for the running exchange over a new connection.
func (c *Conn) Cancel(ctx context.Context) error {
	return Class.Wrap(c.pg.CancelRequest(ctx))
}

// Close ends the session. A running exchange fails. Closing a connection that
// has failed or is closed does nothing.
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

// terminate sends Terminate. Errors are ignored, because the connection is
// closed next.
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

// fail makes the connection unusable and closes it. The first error is kept.
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
// or one Query) and reads the answer up to ReadyForQuery. Required statements
// that are not prepared on the connection are parsed first. An error is a
// *verdict.Error: NotRun if nothing was sent, else MayHaveRun. An ErrorResponse
// of the server is part of the Answer and not an error.
func (c *Conn) Exchange(ctx context.Context, required []statement.Prepared, messages []byte) (Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := newPlan(c.preparedStatements, MaxPreparedStatements, required, messages)
	if err != nil {
		return Answer{}, verdict.New(verdict.ProtocolViolation, "%v", err)
	}
	r := &reader{conn: c, plan: p}
	if err := c.roundTrip(ctx, p, r); err != nil {
		return Answer{}, err
	}
	for _, name := range p.referenced {
		c.preparedStatements.Get(name) // marks the statement as recently used
	}
	return r.answer, nil
}

// roundTrip sends the request of the plan and reads the answer with r.
func (c *Conn) roundTrip(ctx context.Context, p *plan, r *reader) error {
	if err := c.checkUsable(ctx); err != nil {
		return err
	}
	release := c.watch(ctx)
	sent, err := c.send(p.request, r)
	release()
	if err == nil {
		return nil
	}
	c.fail(err)
	return c.failureVerdict(ctx, sent, err)
}

// checkUsable returns an error if ctx has ended or the connection is unusable.
func (c *Conn) checkUsable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return verdict.New(verdict.DeadlineUnreachable, "request ended before it was sent: %v", err)
	}
	if err := c.Err(); err != nil {
		return verdict.New(verdict.CutOff, "upstream connection is unusable: %v", err)
	}
	if err := c.checkIdle(); err != nil {
		c.fail(err)
		return verdict.New(verdict.CutOff, "upstream connection is unusable: %v", err)
	}
	return nil
}

// watch interrupts I/O when ctx ends. release stops the watch and clears the
// deadline of the connection.
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

// asyncWriteBytes is the request size from which writing and reading run
// concurrently. Smaller requests fit into the kernel's socket buffers, so that
// the two sides cannot deadlock, each waiting for the other to read first.
const asyncWriteBytes = 16 << 10

// send writes the request and reads the answer. sent reports whether bytes of
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

// failureVerdict converts an I/O or protocol error to a *verdict.Error.
func (c *Conn) failureVerdict(ctx context.Context, sent bool, err error) error {
	cause := err
	if ctx.Err() != nil {
		cause = context.Cause(ctx)
	}
	if sent {
		return verdict.New(verdict.OutcomeUnknown, "upstream gave no complete answer: %v", cause)
	}
	return verdict.New(verdict.CutOff, "request was not sent to the upstream: %v", cause)
}

// Query runs a simple query and returns the rows of all its results as text, NULL
// as "". An ErrorResponse is returned as *pgconn.PgError, other errors as
// *verdict.Error like those of Exchange.
func (c *Conn) Query(ctx context.Context, sql string) ([][]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, verdict.New(verdict.ProtocolViolation, "%v", err)
	}
	p := &plan{request: out, simple: true}
	r := &reader{conn: c, plan: p, collectRows: true}
	if err := c.roundTrip(ctx, p, r); err != nil {
		return nil, err
	}
	if r.pgError != nil {
		return nil, r.pgError
	}
	return r.rows, nil
}
