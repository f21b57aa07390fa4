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

// positionParameter is the name of the ParameterStatus message that reports the
// log position of a commit or of a statement's snapshot.
const positionParameter = "group.position"

// terminateWriteTimeout bounds the final write to a terminated session, whose
// client may not be reading.
const terminateWriteTimeout = time.Second

var (
	errCanceled     = engine.Errorf(engine.QueryCanceled, "canceling statement due to user request")
	errTerminated   = engine.Errorf(engine.AdminShutdown, "terminating connection due to administrator command")
	errClientClosed = errors.New("the client has closed the connection")
)

// session serves one client connection.
type session struct {
	member          *Member
	pid             uint32
	applicationName string
	secret          []byte
	conn            net.Conn
	backend         *pgproto3.Backend
	silenceEpoch    uint64 // fault.State.SilenceEpoch when the connection was established
	functions       map[string]*engine.Function

	ctx             context.Context // ends when the session is terminated
	cancel          context.CancelCauseFunc
	clientCtx       context.Context // ends with ctx or when the client closes the connection
	cancelClientCtx context.CancelFunc
	done            chan struct{} // closed when the session has ended and its transaction is rolled back

	mu            sync.Mutex
	cancelRunning context.CancelCauseFunc // nil while no statement runs

	// The fields below are accessed only by the goroutine that runs serve.
	settings        map[string]string
	statements      map[string]*engine.Statement // by name; a nil value is an empty query
	portals         map[string]*portal
	tx              *replication.Tx // nil outside of a transaction and in a failed one
	inBlock         bool            // in a BEGIN block, failed or not
	failed          bool            // in a failed BEGIN block
	skipToSync      bool            // discard messages until Sync, after an error
	position        position.Position
	positionPending bool // position must be reported before ReadyForQuery
}

func newSession(m *Member, pid uint32, conn net.Conn, backend *pgproto3.Backend, parameters map[string]string) *session {
	s := &session{
		member: m, pid: pid, applicationName: parameters["application_name"], secret: newSecret(), conn: conn, backend: backend,
		silenceEpoch: m.faults.SilenceEpoch(),
		done:         make(chan struct{}),
		settings:     map[string]string{"application_name": parameters["application_name"]},
		statements:   map[string]*engine.Statement{},
		portals:      map[string]*portal{},
	}
	s.ctx, s.cancel = context.WithCancelCause(m.ctx)
	s.clientCtx, s.cancelClientCtx = context.WithCancel(s.ctx)
	s.functions = functions(m, s)
	return s
}

// serve runs the session until the client leaves or the session is terminated.
func (s *session) serve() {
	defer close(s.done)
	defer s.member.unregister(s)
	defer s.cancel(nil)
	if err := s.completeStartup(); err != nil {
		return
	}
	batches := make(chan []pgproto3.FrontendMessage)
	var reader sync.WaitGroup
	reader.Go(func() { s.readBatches(batches) })
	defer reader.Wait()
	defer s.conn.Close()
	defer s.cancel(nil)
	s.sendTerminationError(s.processBatches(batches))
}

// completeStartup waits for the configured connect delay and sends the messages
// that end the startup phase.
func (s *session) completeStartup() error {
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
	return s.sendReadyForQuery()
}

func (s *session) processBatches(batches <-chan []pgproto3.FrontendMessage) error {
	for {
		select {
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		case batch, ok := <-batches:
			if !ok {
				return errClientClosed
			}
			if err := s.process(batch); err != nil {
				return err
			}
		}
	}
}

// sendTerminationError tells the client that its session was terminated. A
// silenced connection gets no message.
func (s *session) sendTerminationError(err error) {
	if !errors.Is(err, errTerminated) || s.member.faults.SilenceEpoch() != s.silenceEpoch {
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

// process handles one batch of messages, which ends with Sync, Flush, Query or
// Terminate. An error ends the session.
func (s *session) process(batch []pgproto3.FrontendMessage) error {
	if s.member.faults.AwaitResponsive(s.clientCtx, s.silenceEpoch) != nil {
		return s.endReason()
	}
	for i, msg := range batch {
		switch msg := msg.(type) {
		case *pgproto3.Query:
			s.simpleQuery(msg.String)
			if err := s.sendReadyForQuery(); err != nil {
				return err
			}
		case *pgproto3.Sync:
			s.endPipeline()
			if err := s.sendReadyForQuery(); err != nil {
				return err
			}
		case *pgproto3.Flush:
			if err := s.flush(); err != nil {
				return err
			}
		case *pgproto3.Terminate:
			return errClientClosed
		default:
			s.extendedMessage(msg, batch[i+1:])
		}
		if s.ctx.Err() != nil {
			return context.Cause(s.ctx)
		}
	}
	return nil
}

// endReason returns the error with which the session ends.
func (s *session) endReason() error {
	if err := context.Cause(s.ctx); err != nil {
		return err
	}
	return errClientClosed
}

// flush sends the buffered messages. It blocks while the member is frozen, and
// until the session ends if the connection is silenced.
func (s *session) flush() error {
	if s.member.faults.AwaitResponsive(s.clientCtx, s.silenceEpoch) != nil {
		return s.endReason()
	}
	return s.backend.Flush()
}

// sendReadyForQuery ends a response, with the position if one was recorded.
func (s *session) sendReadyForQuery() error {
	if s.positionPending {
		s.backend.Send(&pgproto3.ParameterStatus{Name: positionParameter, Value: s.position.String()})
		s.positionPending = false
	}
	if !s.inBlock {
		clear(s.portals)
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	return s.flush()
}

// status returns the transaction status of ReadyForQuery.
func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.inBlock:
		return 'T'
	}
	return 'I'
}

// fail sends an error to the client and rolls back the transaction. A BEGIN
// block stays open and is marked as failed.
func (s *session) fail(err error) {
	s.tx = nil
	s.failed = s.inBlock
	s.backend.Send(errorResponse(err, "ERROR"))
}

// errorResponse reports err with its SQLSTATE, or with XX000 (internal error) if
// it has none.
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

// statementContext returns a context that is canceled by a cancel request. The
// returned function must be called when the statement is done.
func (s *session) statementContext(parent context.Context) (context.Context, func()) {
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

// sleep waits for d. It returns the cause of ctx if that ends first.
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
