package dbgroup

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
	"github.com/papayarail/papayarail/standin/dbgroup/replication"
)

// positionParameter is the ParameterStatus that carries the position of a
// commit or of a statement's snapshot.
const positionParameter = "group.position"

// terminateWriteTimeout bounds the last write to a terminated session whose
// client does not read.
const terminateWriteTimeout = time.Second

var (
	errCanceled   = engine.Errorf(engine.QueryCanceled, "canceling statement due to user request")
	errTerminated = engine.Errorf(engine.AdminShutdown, "terminating connection due to administrator command")
	errClientGone = errors.New("the client has closed the connection")
)

// session is one client connection.
type session struct {
	member      *Member
	pid         uint32
	application string
	secret      []byte
	conn        net.Conn
	backend     *pgproto3.Backend
	epoch       uint64 // silence epoch in which the connection was established
	functions   map[string]*engine.Function

	ctx    context.Context // ends when the session is terminated
	cancel context.CancelCauseFunc
	gone   context.Context // also ends when the client closes the connection
	leave  context.CancelFunc
	done   chan struct{} // closed when the session has ended and rolled back

	mu            sync.Mutex
	cancelRunning context.CancelCauseFunc // nil while no statement runs

	// The fields below belong to the goroutine that runs serve.
	settings   map[string]string
	statements map[string]*engine.Statement // nil value: empty query
	portals    map[string]*portal
	tx         *replication.Tx // nil between transactions and in a failed one
	block      bool            // in a BEGIN block
	failed     bool            // in a failed BEGIN block
	skip       bool            // discard messages until Sync
	position   position.Position
	answered   bool // position is to be reported before ReadyForQuery
}

func newSession(m *Member, pid uint32, conn net.Conn, backend *pgproto3.Backend, parameters map[string]string) *session {
	s := &session{
		member: m, pid: pid, application: parameters["application_name"], secret: newSecret(), conn: conn, backend: backend,
		epoch:      m.faults.SilenceEpoch(),
		done:       make(chan struct{}),
		settings:   map[string]string{"application_name": parameters["application_name"]},
		statements: map[string]*engine.Statement{},
		portals:    map[string]*portal{},
	}
	s.ctx, s.cancel = context.WithCancelCause(m.ctx)
	s.gone, s.leave = context.WithCancel(s.ctx)
	s.functions = functions(m, s)
	return s
}

func (s *session) serve() {
	defer close(s.done)
	defer s.member.unregister(s)
	defer s.cancel(nil)
	if err := s.greet(); err != nil {
		return
	}
	batches := make(chan []pgproto3.FrontendMessage)
	var reader sync.WaitGroup
	reader.Go(func() { s.read(batches) })
	defer reader.Wait()
	defer s.conn.Close()
	defer s.cancel(nil)
	s.sayGoodbye(s.loop(batches))
}

func (s *session) greet() error {
	if err := sleep(s.ctx, s.member.config.connectDelay()); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "17.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "TimeZone", Value: "UTC"},
	} {
		s.backend.Send(&p)
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	return s.ready()
}

func (s *session) loop(batches <-chan []pgproto3.FrontendMessage) error {
	for {
		select {
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		case batch, ok := <-batches:
			if !ok {
				return errClientGone
			}
			if err := s.process(batch); err != nil {
				return err
			}
		}
	}
}

// sayGoodbye sends the error that ends a terminated session.
func (s *session) sayGoodbye(err error) {
	if !errors.Is(err, errTerminated) || s.member.faults.SilenceEpoch() != s.epoch {
		return
	}
	s.backend.Send(errorResponse(err, "FATAL"))
	_ = s.backend.Flush() // the connection ends anyway
}

// terminate ends the session and waits until its transaction is rolled back.
func (s *session) terminate(ctx context.Context) {
	_ = s.conn.SetWriteDeadline(time.Now().Add(terminateWriteTimeout))
	s.cancel(errTerminated)
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}

// process handles the messages up to a Sync, Flush, Query or Terminate. An
// error ends the session.
func (s *session) process(batch []pgproto3.FrontendMessage) error {
	if s.member.faults.AwaitResponsive(s.gone, s.epoch) != nil {
		return s.ended()
	}
	for i, msg := range batch {
		switch msg := msg.(type) {
		case *pgproto3.Query:
			s.simple(msg.String)
			if err := s.ready(); err != nil {
				return err
			}
		case *pgproto3.Sync:
			s.sync()
			if err := s.ready(); err != nil {
				return err
			}
		case *pgproto3.Flush:
			if err := s.flush(); err != nil {
				return err
			}
		case *pgproto3.Terminate:
			return errClientGone
		default:
			s.extended(msg, batch[i+1:])
		}
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
	}
	return nil
}

// ended returns the reason for which the session cannot go on.
func (s *session) ended() error {
	if err := context.Cause(s.ctx); err != nil {
		return err
	}
	return errClientGone
}

func (s *session) flush() error {
	if s.member.faults.AwaitResponsive(s.gone, s.epoch) != nil {
		return s.ended()
	}
	return s.backend.Flush()
}

// ready ends an answer.
func (s *session) ready() error {
	if s.answered {
		s.backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: s.position.String()})
		s.answered = false
	}
	if !s.block {
		clear(s.portals)
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	return s.flush()
}

func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.block:
		return 'T'
	}
	return 'I'
}

// fail reports an error and rolls back, or marks the BEGIN block as failed.
func (s *session) fail(err error) {
	s.tx = nil
	s.failed = s.block
	s.backend.Send(errorResponse(err, "ERROR"))
}

func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	response := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: "XX000", Message: err.Error(),
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		response.Code, response.Message = pgErr.Code, pgErr.Message
	}
	return response
}

// cancelStatement cancels the running statement, if there is one.
func (s *session) cancelStatement(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRunning != nil {
		s.cancelRunning(cause)
	}
}

// running returns a context that a cancel request ends. The function that is
// returned must be called when the statement is over.
func (s *session) running(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	s.mu.Lock()
	s.cancelRunning = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancelRunning = nil
		s.mu.Unlock()
		cancel(nil)
	}
}

// sleep waits for d or returns the cause for which ctx ended.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
