package load

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
)

// connectTimeout bounds a connection attempt to an instance that accepts
// connections and does not answer.
const connectTimeout = 2 * time.Second

// Addresses returns the addresses (host:port) of the instances that callers may
// connect to. It is called before each connection attempt.
type Addresses func() []string

// caller is a named caller with a pool of connections.
type caller struct {
	name        string
	service     string
	rank        string
	addresses   Addresses
	nextAddress atomic.Int64
	idle        chan *session // nil: a connection that is yet to be opened

	offered, answered atomic.Int64 // in the current phase
}

// session is one connection of a caller.
type session struct {
	*pgx.Conn
	lastSeen map[string]int // quantity that bounded-stale reads last returned, by id of the row of lots
}

func newCaller(name, service, rank string, connections int, firstAddress int, a Addresses) *caller {
	c := &caller{name: name, service: service, rank: rank, addresses: a, idle: make(chan *session, connections)}
	c.nextAddress.Store(int64(firstAddress))
	for range connections {
		c.idle <- nil
	}
	return c
}

// acquire waits for a free connection and opens it if needed.
func (c *caller) acquire(ctx context.Context) (*session, error) {
	select {
	case conn := <-c.idle:
		if conn != nil && !conn.IsClosed() {
			return conn, nil
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn, err := c.dial(ctx)
	if err != nil {
		c.idle <- nil
	}
	return conn, err
}

func (c *caller) release(conn *session) { c.idle <- conn }

// dial tries the instances round robin, as a load balancer would.
func (c *caller) dial(ctx context.Context) (*session, error) {
	var lastErr error
	for range max(len(c.addresses()), 1) {
		addresses := c.addresses()
		if len(addresses) == 0 {
			return nil, fmt.Errorf("no instance accepts callers")
		}
		address := addresses[int(c.nextAddress.Add(1))%len(addresses)]
		conn, err := connect(ctx, address, c.service, c.parameters())
		if err == nil {
			return &session{Conn: conn, lastSeen: make(map[string]int)}, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

func (c *caller) parameters() map[string]string {
	p := map[string]string{
		"papayarail.caller":      c.name,
		"papayarail.rank":        c.rank,
		"papayarail.deadline_ms": fmt.Sprint(Deadline.Milliseconds()),
	}
	if c.rank == Least {
		p["papayarail.max_staleness"] = MaxStaleness.String()
	}
	return p
}

func connect(ctx context.Context, address, service string, parameters map[string]string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://clerk@%s/%s?sslmode=disable", address, service))
	if err != nil {
		return nil, err
	}
	// One round trip per statement, so that a latency is that of one request.
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	config.ConnectTimeout = connectTimeout
	for name, value := range parameters {
		config.RuntimeParams[name] = value
	}
	return pgx.ConnectConfig(ctx, config)
}

// close closes the connections. It blocks until all of them have been released.
func (c *caller) close() {
	for range cap(c.idle) {
		if conn := <-c.idle; conn != nil {
			ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
			_ = conn.Close(ctx)
			cancel()
		}
	}
}
