// Package naive implements a minimal PostgreSQL proxy, the baseline that papayarail is
// compared with. It sends all statements of a service to one primary through one FIFO
// queue, without replicas, failover or retries, and acknowledges a write when the
// primary has committed it.
package naive

import (
	"context"
	"net"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/wire/caller"
	"github.com/papayarail/papayarail/wire/upstream"
)

// Proxy serves the services of a configuration document.
type Proxy struct {
	server *caller.Server
	pools  map[string]*pool
}

// New returns a proxy that uses the first database of each service as its primary.
func New(doc *fleet.Document) *Proxy {
	p := &Proxy{pools: make(map[string]*pool)}
	for _, s := range doc.Services {
		p.pools[s.Name] = newPool(s.Name, s.Databases[0])
	}
	p.server = caller.NewServer(caller.Settings{}, p)
	return p
}

// Serve accepts callers until ctx ends.
func (p *Proxy) Serve(ctx context.Context, l net.Listener) error { return p.server.Serve(ctx, l) }

// Close closes the connections to the databases. It must not be called before Serve has
// returned.
func (p *Proxy) Close() {
	for _, pool := range p.pools {
		pool.close()
	}
}

// Open implements caller.SessionOpener.
func (p *Proxy) Open(_ context.Context, s caller.Startup) (caller.Session, error) {
	pool := p.pools[s.Database]
	if pool == nil {
		return nil, verdict.New(verdict.UnknownService, "service %q does not exist", s.Database)
	}
	return &session{pool: pool}, nil
}

// pool is the connection pool of one primary. Callers wait for a connection in FIFO
// order, because a channel serves its receivers in the order of their arrival.
type pool struct {
	config upstream.Config
	idle   chan *upstream.Conn // nil: a connection that is yet to be opened
}

func newPool(service string, db fleet.Database) *pool {
	p := &pool{
		config: upstream.Config{Address: db.Address, User: "naive", Database: service, ApplicationName: "naive"},
		idle:   make(chan *upstream.Conn, db.Slots),
	}
	for range db.Slots {
		p.idle <- nil
	}
	return p
}

func (p *pool) acquire(ctx context.Context) (*upstream.Conn, error) {
	var c *upstream.Conn
	select {
	case c = <-p.idle:
	case <-ctx.Done():
		return nil, verdict.New(verdict.DeadlineUnreachable, "caller left the queue: %v", context.Cause(ctx))
	}
	if c != nil && c.Err() == nil {
		return c, nil
	}
	c, err := upstream.Dial(ctx, p.config)
	if err != nil {
		p.idle <- nil
		return nil, verdict.New(verdict.CutOff, "%v", err)
	}
	return c, nil
}

func (p *pool) release(c *upstream.Conn) {
	if c.Err() != nil {
		c = nil
	}
	p.idle <- c
}

func (p *pool) close() {
	for range cap(p.idle) {
		if c := <-p.idle; c != nil {
			_ = c.Close()
		}
	}
}

type session struct {
	pool   *pool
	pinned *upstream.Conn // connection of the open exchange or transaction, or nil
	status byte
}

// TxStatus implements caller.Session.
func (s *session) TxStatus() byte {
	if s.pinned == nil {
		return 'I'
	}
	return s.status
}

// Close implements caller.Session. Closing the upstream connection rolls back an open
// transaction.
func (s *session) Close() {
	if s.pinned != nil {
		_ = s.pinned.Close()
		s.unpin()
	}
}

func (s *session) unpin() {
	s.pool.release(s.pinned)
	s.pinned = nil
}

// Exchange implements caller.Session.
func (s *session) Exchange(ctx context.Context, x *caller.Exchange) (*caller.Reply, error) {
	if s.pinned == nil {
		c, err := s.pool.acquire(ctx)
		if err != nil {
			return nil, err
		}
		s.pinned = c
	}
	reply, err := s.pinned.Exchange(ctx, x.RequiredStatements, x.Messages)
	if err != nil {
		_ = s.pinned.Close()
		s.unpin()
		return nil, err
	}
	s.status = reply.TxStatus
	if reply.TxStatus == 'I' {
		s.unpin()
	}
	return &caller.Reply{Messages: reply.Messages, TxStatus: reply.TxStatus}, nil
}
