// Package naive is the baseline of the measurements: a proxy with one primary
// and one queue, first in first out, without replicas and without retries. It
// acknowledges a write when the primary has committed it.
package naive

import (
	"context"
	"net"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/wire/caller"
	"github.com/papayarail/papayarail/wire/upstream"
)

// Proxy serves the services of a document.
type Proxy struct {
	server *caller.Server
	pools  map[string]*pool
}

// New returns a proxy that uses the first database of each service.
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

// Close ends the connections to the databases. It is called after Serve.
func (p *Proxy) Close() {
	for _, pool := range p.pools {
		pool.close()
	}
}

// Open implements caller.Opener.
func (p *Proxy) Open(_ context.Context, s caller.Startup) (caller.Session, error) {
	pool := p.pools[s.Database]
	if pool == nil {
		return nil, verdict.New(verdict.UnknownService, "service %q does not exist", s.Database)
	}
	return &session{pool: pool}, nil
}

// pool is the queue in front of one primary. Receivers of a channel are served
// in the order of their arrival, which makes the queue first in, first out.
type pool struct {
	config upstream.Config
	idle   chan *upstream.Conn // nil stands for a connection to be opened
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
	pinned *upstream.Conn // while a transaction is open
	status byte
}

// TxStatus implements caller.Session.
func (s *session) TxStatus() byte {
	if s.pinned == nil {
		return 'I'
	}
	return s.status
}

// Close implements caller.Session: the end of the connection rolls back.
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
	a, err := s.pinned.Exchange(ctx, x.Need, x.Messages)
	if err != nil {
		_ = s.pinned.Close()
		s.unpin()
		return nil, err
	}
	s.status = a.TxStatus
	if a.TxStatus == 'I' {
		s.unpin()
	}
	return &caller.Reply{Messages: a.Messages, TxStatus: a.TxStatus}, nil
}
