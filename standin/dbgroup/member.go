// Package dbgroup is a stand-in for one member of a database group. It speaks
// the PostgreSQL protocol, keeps all data in memory and replicates its log to
// the other members.
package dbgroup

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
	"github.com/papayarail/papayarail/standin/dbgroup/fault"
	"github.com/papayarail/papayarail/standin/dbgroup/replication"
)

// Member is one member of a database group.
type Member struct {
	config   Config
	listener net.Listener
	faultsAt net.Listener // nil without a fault address
	faults   *fault.State
	node     *replication.Node
	links    *replication.Links
	slots    chan struct{}
	executed atomic.Int64 // statements that took a slot
	ctx      context.Context
	cancel   context.CancelFunc

	mu       sync.Mutex
	lastPID  uint32
	sessions map[uint32]*session
}

// New validates the configuration and opens the listeners.
func New(c Config) (*Member, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	m := &Member{config: c, listener: c.Listener, sessions: map[uint32]*session{}}
	if err := m.listen(); err != nil {
		return nil, err
	}
	m.faults = fault.NewState(time.Duration(c.ReplicationDelayMS)*time.Millisecond, time.Duration(c.StatementDelayUS)*time.Microsecond)
	m.node = replication.NewNode(c.Name, c.peers(), c.InitialPrimary, c.Rejoin)
	m.links = &replication.Links{Node: m.node, Faults: m.faults}
	m.slots = make(chan struct{}, c.Slots)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

func (m *Member) listen() error {
	var err error
	if m.listener == nil {
		if m.listener, err = net.Listen("tcp", m.config.Address); err != nil {
			return Class.Wrap(err)
		}
	}
	if m.config.FaultAddress == "" {
		return nil
	}
	if m.faultsAt, err = net.Listen("tcp", m.config.FaultAddress); err != nil {
		m.listener.Close()
		return Class.Wrap(err)
	}
	return nil
}

// Addr returns the address on which the member listens.
func (m *Member) Addr() string { return m.listener.Addr().String() }

// FaultAddr returns the address of the HTTP fault interface, or "".
func (m *Member) FaultAddr() string {
	if m.faultsAt == nil {
		return ""
	}
	return m.faultsAt.Addr().String()
}

// ApplyFaults changes the active faults.
func (m *Member) ApplyFaults(c fault.Change) { m.faults.Apply(c) }

// Status returns the term, log position and role of the member.
func (m *Member) Status() replication.Status {
	s, _ := m.node.Status()
	return s
}

// Close makes Serve return.
func (m *Member) Close() error {
	m.cancel()
	if m.faultsAt != nil {
		m.faultsAt.Close()
	}
	return m.listener.Close()
}

// Serve runs the member until ctx ends or Close is called. It returns when all
// connections are closed.
func (m *Member) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, m.cancel)
	defer stop()
	defer m.cancel()
	var wg sync.WaitGroup
	wg.Go(func() { m.links.Replicate(m.ctx) })
	wg.Go(func() {
		<-m.ctx.Done()
		m.listener.Close()
	})
	if m.faultsAt != nil {
		wg.Go(m.serveFaults)
	}
	err := m.accept(&wg)
	m.cancel()
	wg.Wait()
	return err
}

func (m *Member) accept(wg *sync.WaitGroup) error {
	for {
		conn, err := m.listener.Accept()
		if m.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return Class.Wrap(err)
		}
		if m.faults.RefusesConnections() {
			refuse(conn)
			continue
		}
		wg.Go(func() { m.handle(conn) })
	}
}

// refuse closes a connection with a reset.
func refuse(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// handle serves one accepted connection: a cancel request, a replication link
// or a session.
func (m *Member) handle(conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(m.ctx, func() { conn.Close() })
	defer stop()
	if m.faults.AwaitUnfrozen(m.ctx) != nil {
		return
	}
	backend := pgproto3.NewBackend(conn, conn)
	for {
		msg, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			m.cancelStatement(msg)
			return
		case *pgproto3.StartupMessage:
			m.start(conn, backend, msg)
			return
		}
	}
}

func (m *Member) start(conn net.Conn, backend *pgproto3.Backend, msg *pgproto3.StartupMessage) {
	if replica := msg.Parameters[replication.StartupParameter]; replica != "" {
		backend.Send(&pgproto3.AuthenticationOk{})
		if backend.Flush() == nil {
			_ = m.links.Serve(m.ctx, conn, replica) // a broken link is dialed again by the replica
		}
		return
	}
	s, err := m.register(conn, backend, msg)
	if err != nil {
		backend.Send(errorResponse(err, "FATAL"))
		_ = backend.Flush() // the connection ends anyway
		return
	}
	s.serve()
}

// register creates a session if the connection limit allows it.
func (m *Member) register(conn net.Conn, backend *pgproto3.Backend, msg *pgproto3.StartupMessage) (*session, error) {
	if db := msg.Parameters["database"]; db != m.config.Service {
		return nil, engine.Errorf("3D000", "database %q does not exist", db)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sessions) >= m.config.MaxConnections {
		return nil, engine.Errorf(engine.TooManyConnections, "sorry, too many clients already")
	}
	m.lastPID++
	s := newSession(m, m.lastPID, conn, backend, msg.Parameters)
	m.sessions[s.pid] = s
	return s, nil
}

func (m *Member) unregister(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s.pid)
}

func (m *Member) session(pid uint32) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[pid]
}

func (m *Member) cancelStatement(r *pgproto3.CancelRequest) {
	s := m.session(r.ProcessID)
	if s != nil && string(s.secret) == string(r.SecretKey) {
		s.cancelStatement(errCanceled)
	}
}

func newSecret() []byte {
	secret := make([]byte, 4)
	for i := range secret {
		secret[i] = byte(rand.N(256))
	}
	return secret
}

// Executed returns the number of statements that have taken a slot.
func (m *Member) Executed() int64 { return m.executed.Load() }

// acquireSlot waits until a statement may be executed.
func (m *Member) acquireSlot(ctx context.Context) error {
	select {
	case m.slots <- struct{}{}:
		m.executed.Add(1)
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (m *Member) releaseSlot() { <-m.slots }

// serveFaults runs the HTTP fault interface.
func (m *Member) serveFaults() {
	server := &http.Server{Handler: m.faultHandler(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(m.ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(m.faultsAt); !errors.Is(err, http.ErrServerClosed) {
		m.cancel()
	}
}
