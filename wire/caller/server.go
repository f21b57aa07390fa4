package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/defaults"
	"github.com/papayarail/papayarail/core/verdict"
)

const (
	// extraStartupSockets is the number of sockets allowed beyond MaxConnections
	// for connections in their start-up and for CancelRequests.
	extraStartupSockets = 1024
	// acceptRetryDelay is the wait after a failed accept, for example when the
	// process has no file descriptors left.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server accepts connections of callers and serves their sessions.
type Server struct {
	settings Settings
	opener   SessionOpener

	draining       atomic.Bool
	openSockets    atomic.Int64
	accepted       atomic.Uint64
	refused        atomic.Uint64
	exchanges      atomic.Uint64
	localAnswers   atomic.Uint64
	cancelRequests atomic.Uint64

	mu        sync.Mutex
	sessions  map[uint32]*session // by PID; nil while the session is being opened
	listeners map[net.Listener]struct{}
	drained   chan struct{} // closed by finishDrainIfEmpty
	closed    bool          // drained is closed
}

// NewServer returns a Server that opens sessions with o.
func NewServer(settings Settings, o SessionOpener) *Server {
	return &Server{settings: withDefaults(settings), opener: o, sessions: make(map[uint32]*session),
		listeners: make(map[net.Listener]struct{}), drained: make(chan struct{})}
}

func withDefaults(s Settings) Settings {
	s.MaxMessageBytes = defaults.Positive(s.MaxMessageBytes, defaultMaxMessageBytes)
	s.MaxConnections = defaults.Positive(s.MaxConnections, defaultMaxConnections)
	s.StartupTimeout = defaults.Positive(s.StartupTimeout, defaultStartupTimeout)
	s.WriteTimeout = defaults.Positive(s.WriteTimeout, defaultWriteTimeout)
	if s.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		s.Log = logrus.NewEntry(silent)
	}
	return s
}

// Serve accepts callers from l until ctx ends, which closes all their connections,
// or until a Drain is complete. It returns when all connections of l are closed:
// nil after either, an error if l is closed or the server was drained before.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return Class.New("server is drained")
	}
	defer s.removeListener(l)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var callers sync.WaitGroup
	defer callers.Wait()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			callers.Go(func() { s.serveConn(ctx, conn) })
		case ctx.Err() != nil:
			return nil
		case s.isDrained():
			cancel() // closes connections still in their start-up
			return nil
		case errors.Is(err, net.ErrClosed):
			return Class.Wrap(err)
		default:
			s.settings.Log.WithError(err).Warn("accept failed")
			sleep(ctx, acceptRetryDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) removeListener(l net.Listener) {
	_ = l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

func (s *Server) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Drain refuses new callers with SQLSTATE 57P01, closes sessions that are idle
// outside a transaction, and lets running requests and open transactions end.
// CancelRequests are still served. When no session is left, Drain closes the
// listeners and returns nil. If ctx ends first, it returns the error of ctx and
// the drain goes on.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.mu.Lock()
	for _, c := range s.sessions {
		if c != nil {
			c.interrupt()
		}
	}
	s.finishDrainIfEmpty()
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return Class.Wrap(ctx.Err())
	}
}

// finishDrainIfEmpty completes a drain if no session is left. s.mu must be held.
func (s *Server) finishDrainIfEmpty() {
	if !s.draining.Load() || len(s.sessions) > 0 || s.closed {
		return
	}
	s.closed = true
	close(s.drained)
	for l := range s.listeners {
		_ = l.Close()
	}
}

// Stats returns the counters of the server.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	callers := len(s.sessions)
	s.mu.Unlock()
	return Stats{OpenSessions: callers, Accepted: s.accepted.Load(), Refused: s.refused.Load(), Exchanges: s.exchanges.Load(),
		LocalAnswers: s.localAnswers.Load(), CancelRequests: s.cancelRequests.Load()}
}

// serveConn serves one connection until it is closed. It recovers from a panic,
// so that other callers are not affected.
func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	conn := &callerConn{Conn: raw}
	defer conn.Close()
	defer func() {
		if p := recover(); p != nil {
			s.settings.Log.WithField("panic", p).WithField("stack", string(debug.Stack())).Error("caller connection closed after a panic")
		}
	}()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if s.openSockets.Add(1) > int64(s.settings.MaxConnections+extraStartupSockets) {
		s.openSockets.Add(-1)
		s.refused.Add(1)
		s.settings.Log.WithField("remote", raw.RemoteAddr().String()).Warn("caller refused: too many sockets")
		return
	}
	defer s.openSockets.Add(-1)
	_ = conn.SetDeadline(time.Now().Add(s.settings.StartupTimeout))
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(s.settings.MaxMessageBytes)
	m, err := receiveStartup(backend, conn)
	if err != nil {
		s.refuseStartup(conn, startupError(err))
		return
	}
	if c, ok := m.(*pgproto3.CancelRequest); ok {
		s.cancel(c)
		return
	}
	s.serveCaller(ctx, conn, backend, m.(*pgproto3.StartupMessage))
}

// receiveStartup returns the StartupMessage or CancelRequest. It declines up to
// two preceding requests for encryption, as a driver may try TLS and GSSAPI.
func receiveStartup(backend *pgproto3.Backend, w io.Writer) (pgproto3.FrontendMessage, error) {
	for range 3 {
		m, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := w.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		default:
			return m, nil
		}
	}
	return nil, fmt.Errorf("too many requests for encryption")
}

// startupError returns connection errors unchanged and converts all others to
// protocol violations.
func startupError(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	return newRefusal(sqlStateProtocolViolation, err.Error())
}

// refuseStartup logs the error and, unless the connection itself failed, sends it
// to the caller.
func (s *Server) refuseStartup(conn *callerConn, err error) {
	log := s.settings.Log.WithError(err).WithField("remote", conn.RemoteAddr().String())
	if errors.Is(err, io.EOF) {
		log.Debug("connection closed before start-up") // usual for TCP health checks
		return
	}
	s.refused.Add(1)
	log.Warn("caller refused")
	var r *refusal
	var v *verdict.Error
	if !errors.As(err, &r) && !errors.As(err, &v) {
		return
	}
	out, encodeErr := errorResponse(severityFatal, err).Encode(nil)
	if encodeErr != nil {
		return
	}
	if _, err := conn.Write(out); err == nil {
		conn.linger()
	}
}

// cancel serves a CancelRequest. As in PostgreSQL, it is not answered.
func (s *Server) cancel(c *pgproto3.CancelRequest) {
	s.mu.Lock()
	target := s.sessions[c.ProcessID]
	s.mu.Unlock()
	if target != nil && target.cancelExchange(c.SecretKey) {
		s.cancelRequests.Add(1)
	}
}

func (s *Server) serveCaller(ctx context.Context, conn *callerConn, backend *pgproto3.Backend, m *pgproto3.StartupMessage) {
	startup, err := s.admitCaller(conn, m)
	if err != nil {
		s.refuseStartup(conn, err)
		return
	}
	if err := s.register(&startup); err != nil {
		s.refuseStartup(conn, err)
		return
	}
	defer s.unregister(startup.PID)
	handler, err := s.open(ctx, startup)
	if err != nil {
		s.refuseStartup(conn, verdict.FromError(err))
		return
	}
	defer handler.Close()
	c := newSession(s, conn, backend, ctx, startup, handler)
	if err := c.completeStartup(); err != nil {
		s.refuseStartup(conn, err)
		return
	}
	s.accepted.Add(1)
	s.activate(c)
	c.run()
}

// open opens a session within StartupTimeout.
func (s *Server) open(ctx context.Context, startup Startup) (Session, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StartupTimeout)
	defer cancel()
	return s.opener.Open(ctx, startup)
}

func (s *Server) admitCaller(conn net.Conn, m *pgproto3.StartupMessage) (Startup, error) {
	remote := hostWithoutPort(conn.RemoteAddr().String())
	if !s.allows(remote) {
		return Startup{}, newRefusal(sqlStateNotAllowed, "connections from "+remote+" are not allowed")
	}
	startup, err := parseStartup(m.Parameters)
	startup.RemoteHost = remote
	return startup, err
}

func (s *Server) allows(remote string) bool {
	if len(s.settings.AllowedNetworks) == 0 {
		return true
	}
	addr, err := netip.ParseAddr(remote)
	if err != nil {
		return false
	}
	for _, p := range s.settings.AllowedNetworks {
		if p.Contains(addr.Unmap()) {
			return true
		}
	}
	return false
}

// register counts the session towards MaxConnections and assigns its PID and
// secret. It returns an error if the server drains or is at its limit.
func (s *Server) register(startup *Startup) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return drainingError()
	}
	if len(s.sessions) >= s.settings.MaxConnections {
		return verdict.New(verdict.ConnectionLimit, "instance has its maximum of %d callers", s.settings.MaxConnections)
	}
	startup.Secret = randomUint32()
	for {
		startup.PID = randomUint32() >> 1 // drivers read it as a signed number
		if _, taken := s.sessions[startup.PID]; !taken && startup.PID != 0 {
			s.sessions[startup.PID] = nil
			return nil
		}
	}
}

func randomUint32() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return binary.BigEndian.Uint32(b[:])
}

// activate makes the session visible to CancelRequests and to Drain. If a drain
// began earlier, the session detects it before it waits for a request.
func (s *Server) activate(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[c.startup.PID] = c
}

func (s *Server) unregister(pid uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, pid)
	s.finishDrainIfEmpty()
}
