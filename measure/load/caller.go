package load

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
)

// connectTimeout covers an instance that accepts and does not answer.
const connectTimeout = 2 * time.Second

// Addresses lists the instances that callers may connect to, as host:port. It
// is asked again before each connection.
type Addresses func() []string

// caller is a named caller with its connections.
type caller struct {
	name        string
	service     string
	rank        string
	addresses   Addresses
	nextAddress atomic.Int64
	idle        chan *session // nil stands for a connection to be opened

	offered, answered atomic.Int64 // in the current phase
}

// conn is one session of a caller.
type session struct {
	*pgx.Conn
	lastSeen map[string]int // quantity last seen of a lot by reads of stated age
}

func newCaller(name, service, rank string, connections int, first int, a Addresses) *caller {
	c := &caller{name: name, service: service, rank: rank, addresses: a, idle: make(chan *session, connections)}
	c.nextAddress.Store(int64(first))
	for range connections {
		c.idle <- nil
	}
	return c
}

// take waits for a connection, opening it if needed.
func (c *caller) acquire(ctx context.Context) (*session, error) {
	select {
	case k := <-c.idle:
		if k != nil && !k.IsClosed() {
			return k, nil
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	k, err := c.dial(ctx)
	if err != nil {
		c.idle <- nil
	}
	return k, err
}

func (c *caller) release(k *session) { c.idle <- k }

// dial tries the instances in turn, as behind a load balancer.
func (c *caller) dial(ctx context.Context) (*session, error) {
	var failure error
	for range max(len(c.addresses()), 1) {
		all := c.addresses()
		if len(all) == 0 {
			return nil, fmt.Errorf("no instance is left")
		}
		address := all[int(c.nextAddress.Add(1))%len(all)]
		k, err := connect(ctx, address, c.service, c.parameters())
		if err == nil {
			return &session{Conn: k, lastSeen: make(map[string]int)}, nil
		}
		failure = err
	}
	return nil, failure
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
	// One exchange per statement, so that a latency is that of one request.
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	config.ConnectTimeout = connectTimeout
	for name, value := range parameters {
		config.RuntimeParams[name] = value
	}
	return pgx.ConnectConfig(ctx, config)
}

// close ends the connections; it is called when no request runs.
func (c *caller) close() {
	for range cap(c.idle) {
		if k := <-c.idle; k != nil {
			ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
			_ = k.Close(ctx)
			cancel()
		}
	}
}
