package caller

import (
	"context"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/wire/classify"
)

const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
	// maxRetainedBufferBytes is the largest output buffer that a session keeps
	// for later answers.
	maxRetainedBufferBytes = 16 << 10
	// abortSQL is a syntax error on every server and so turns an open
	// transaction into a failed one, as PostgreSQL does after each error.
	abortSQL = "papayarail_refused_statement"
)

// session serves one caller. Its goroutine owns all fields except those guarded
// by mu.
type session struct {
	server  *Server
	conn    *callerConn
	backend *pgproto3.Backend
	log     *logrus.Entry
	ctx     context.Context // ends with Server.Serve
	startup Startup
	handler Session // executes the exchanges

	parameters parameters
	statements map[string]sessionStatement
	portals    map[string]portal // of the open transaction, by the caller's name
	pipeline   *pipeline         // messages since the last Sync, Flush or Query
	skipping   bool              // an error was sent: discard messages up to Sync
	status     byte              // transaction status: statusIdle, statusOpen or statusFailed
	out        []byte            // messages to the caller that are not flushed yet

	mu      sync.Mutex
	waiting bool                    // for a request, outside a transaction
	cancel  context.CancelCauseFunc // of the running exchange, or nil
}

func newSession(s *Server, conn *callerConn, backend *pgproto3.Backend, ctx context.Context, startup Startup, handler Session) *session {
	return &session{server: s, conn: conn, backend: backend, ctx: ctx, startup: startup, handler: handler,
		log:        s.settings.Log.WithFields(logrus.Fields{"remote": startup.RemoteHost, "user": startup.User, "database": startup.Database}),
		parameters: newParameters(startup), statements: make(map[string]sessionStatement), portals: make(map[string]portal), status: statusIdle}
}

// completeStartup sends the answer to the StartupMessage up to the first
// ReadyForQuery.
func (s *session) completeStartup() error {
	secret := binary.BigEndian.AppendUint32(nil, s.startup.Secret)
	s.send(&pgproto3.AuthenticationOk{})
	s.sendParameters(map[string]string{"application_name": s.startup.Parameters["application_name"]})
	s.sendParameters(reportedParameters)
	s.send(&pgproto3.BackendKeyData{ProcessID: s.startup.PID, SecretKey: secret})
	s.sendReadyForQuery()
	return s.flush()
}

// reportedParameters are the ParameterStatus messages that drivers require.
// Upstream sessions run with the defaults of the server, which have these values.
var reportedParameters = map[string]string{
	"server_version": "16.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "DateStyle": "ISO, MDY",
	"integer_datetimes": "on", "standard_conforming_strings": "on",
}

// errClosed marks a failed write: the session ends without a message to the caller.
var errClosed = errors.New("connection is closed")

// handle processes one message. An error ends the session.
func (s *session) handle(m pgproto3.FrontendMessage) error {
	switch m.(type) {
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Flush:
		return s.handleFlush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // PostgreSQL ignores them outside COPY as well
	}
	if s.skipping {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.handleQuery(m)
	case *pgproto3.FunctionCall:
		return s.refuseQuery(newRefusal(sqlStateUnsupported, "FunctionCall is not supported"))
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.handleExtended(m)
	default:
		return newRefusal(sqlStateProtocolViolation, fmt.Sprintf("unexpected message %T", m))
	}
}

func (s *session) newPipeline() *pipeline {
	return newPipeline(s.statements, s.portals, s.status != statusIdle, s.server.settings.MaxMessageBytes)
}

// handleExtended adds a message of the extended protocol to the pipeline. If it
// is refused, so is the whole pipeline, none of which has run.
func (s *session) handleExtended(m pgproto3.FrontendMessage) error {
	if s.pipeline == nil {
		s.pipeline = s.newPipeline()
	}
	if err := s.pipeline.add(m); err != nil {
		return s.refusePipeline(err)
	}
	return nil
}

// refusePipeline answers with an error and discards messages up to Sync.
func (s *session) refusePipeline(err error) error {
	s.pipeline = nil
	s.skipping = true
	s.failTransaction()
	s.send(errorResponse(severityError, err))
	return s.flush()
}

// refuseQuery answers a simple query or function call with an error.
func (s *session) refuseQuery(err error) error {
	s.pipeline = nil
	s.failTransaction()
	s.send(errorResponse(severityError, err))
	s.sendReadyForQuery()
	return s.flush()
}

// failTransaction makes the database fail the open transaction, so that a later
// COMMIT cannot commit the statements that preceded a refused one.
func (s *session) failTransaction() {
	if s.status != statusOpen {
		return
	}
	messages, err := (&pgproto3.Query{String: abortSQL}).Encode(nil)
	if err != nil {
		return
	}
	_, _ = s.exchange(&Exchange{Messages: messages, Statements: []classify.Info{{Class: classify.Unknown, StatementCount: 1}}, SQL: abortSQL})
}

// handleSync executes the pipeline and answers with ReadyForQuery.
func (s *session) handleSync() error {
	p := s.pipeline
	s.pipeline = nil
	if s.skipping {
		s.skipping = false
	} else if p != nil {
		if _, err := s.execute(p, &pgproto3.Sync{}); err != nil {
			return err
		}
	}
	s.sendReadyForQuery()
	return s.flush()
}

// handleFlush executes the pipeline as an exchange of its own if it only parses
// and describes statements or belongs to an open transaction. Otherwise it is
// refused: the Sync that ends each exchange would commit too early.
func (s *session) handleFlush() error {
	p := s.pipeline
	if s.skipping || p == nil || p.empty() {
		return s.flush()
	}
	if p.executes && s.status == statusIdle {
		return s.refusePipeline(newRefusal(sqlStateUnsupported, "Flush after Bind or Execute outside a transaction is not supported, use Sync"))
	}
	s.pipeline = nil
	failed, err := s.execute(p, &pgproto3.Sync{})
	if err != nil {
		return err
	}
	s.skipping = failed
	return s.flush()
}

// handleQuery runs a simple query.
func (s *session) handleQuery(m *pgproto3.Query) error {
	if s.pipeline != nil && !s.pipeline.empty() {
		return s.refuseQuery(newRefusal(sqlStateUnsupported, "Query before the Sync of an extended query is not supported"))
	}
	info, _ := classify.Classify(m.String) // the database reports a syntax error
	p := s.newPipeline()
	s.pipeline = nil
	if answeredLocally(info) {
		return s.localQuery(info)
	}
	if err := p.query(m, info); err != nil {
		return s.refuseQuery(err)
	}
	if _, err := s.execute(p, nil); err != nil {
		return err
	}
	delete(s.statements, "") // as in PostgreSQL, a simple query drops the unnamed statement
	s.sendReadyForQuery()
	return s.flush()
}

func (s *session) localQuery(info classify.Info) error {
	if s.status == statusFailed && info.Class != classify.Empty {
		return s.refuseQuery(failedTransaction())
	}
	messages, err := s.parameters.executeLocal(info)
	if err != nil {
		return s.refuseQuery(err)
	}
	if info.Class == classify.Show {
		s.send(showRow(info.Name))
	}
	for _, m := range messages {
		s.send(m)
	}
	s.server.localAnswers.Add(1)
	s.sendReadyForQuery()
	return s.flush()
}

func failedTransaction() error {
	return newRefusal(sqlStateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

// execute runs an assembled exchange and buffers its answer. The message end, if
// not nil, is appended to those for the database. failed reports an ErrorResponse
// in the answer. An error ends the session.
func (s *session) execute(p *pipeline, end pgproto3.FrontendMessage) (failed bool, err error) {
	if err := s.answerLocalMessages(p.localMessages); err != nil {
		s.failTransaction()
		s.send(errorResponse(severityError, err))
		return true, nil
	}
	if !p.hasUpstreamMessages() {
		s.server.localAnswers.Add(1)
		s.storePortals(p)
		return false, nil
	}
	if end != nil {
		if err := p.send(end); err != nil {
			return true, err
		}
	}
	if s.status == statusIdle && s.server.draining.Load() {
		return true, drainingError()
	}
	return s.forward(p), nil
}

// forward passes the exchange to the handler, buffers its answer and applies its
// effects on the session. It reports whether the answer has an ErrorResponse.
func (s *session) forward(p *pipeline) (failed bool) {
	p.exchange.Parameters = s.parameters.current
	reply, err := s.exchange(&p.exchange)
	if len(p.exchange.Statements) > 0 && s.status == statusIdle {
		s.parameters.replace(ParameterRequestKey, "", false)
	}
	var summary answerSummary
	if err == nil {
		summary, err = summarizeAnswer(reply.Messages)
	}
	if err != nil {
		s.clearPortalsIfIdle()
		s.send(errorResponse(severityError, err))
		return true
	}
	s.applyNameChanges(p, summary.completions)
	s.out = append(s.out, reply.Messages...)
	s.sendParameters(reply.Parameters)
	for name, value := range reply.Parameters {
		if _, own := parameterChecks[name]; own {
			s.parameters.replace(name, value, true)
		}
	}
	return summary.failed
}

// exchange calls the handler, with a context that ends when the caller cancels
// the request or disconnects.
func (s *session) exchange(x *Exchange) (*Reply, error) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.setCancel(cancel)
	stop := s.conn.watch(func() { cancel(ErrDisconnected) })
	s.server.exchanges.Add(1)
	s.log.WithField("sql", x.SQL).Debug("exchange")
	reply, err := s.handler.Exchange(ctx, x)
	stop()
	s.setCancel(nil)
	if err == nil && reply == nil {
		err = Class.New("session returned no reply")
	}
	s.status = s.handler.TxStatus()
	if err == nil && validStatus(reply.TxStatus) {
		s.status = reply.TxStatus
	}
	if s.status == statusIdle {
		s.clearPortalsIfIdle()
	}
	return reply, err
}

func validStatus(b byte) bool { return b == statusIdle || b == statusOpen || b == statusFailed }

func (s *session) setCancel(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
}

// cancelExchange cancels the running exchange, if any. It returns false if the
// secret is wrong.
func (s *session) cancelExchange(secret []byte) bool {
	want := binary.BigEndian.AppendUint32(nil, s.startup.Secret)
	if subtle.ConstantTimeCompare(want, secret) != 1 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(ErrCanceled)
	}
	return true
}

// answerLocalMessages answers the local messages of a pipeline up to the first error.
func (s *session) answerLocalMessages(messages []localMessage) error {
	for _, message := range messages {
		if err := s.answerLocalMessage(message); err != nil {
			return err
		}
		if message.nameChange != nil {
			s.applyNameChange(*message.nameChange)
		}
	}
	return nil
}

func (s *session) answerLocalMessage(m localMessage) error {
	switch m.kind {
	case localParse:
		s.send(&pgproto3.ParseComplete{})
	case localBind:
		s.send(&pgproto3.BindComplete{})
	case localClose:
		s.send(&pgproto3.CloseComplete{})
	case localDescribeStatement:
		s.send(&pgproto3.ParameterDescription{})
		s.send(describeLocal(m.info))
	case localDescribePortal:
		s.send(describeLocal(m.info))
	case localExecute:
		return s.executeLocalMessage(m.info)
	}
	return nil
}

func (s *session) executeLocalMessage(info classify.Info) error {
	if s.status == statusFailed && info.Class != classify.Empty {
		return failedTransaction()
	}
	messages, err := s.parameters.executeLocal(info)
	if err != nil {
		return err
	}
	for _, m := range messages {
		s.send(m)
	}
	return nil
}

// applyNameChanges applies the statement name changes whose completions arrived.
func (s *session) applyNameChanges(p *pipeline, completions int) {
	for _, change := range p.nameChanges[:min(completions, len(p.nameChanges))] {
		s.applyNameChange(change)
	}
	s.storePortals(p)
}

func (s *session) applyNameChange(change nameChange) {
	switch {
	case change.closesPortal:
	case change.closesStatement:
		delete(s.statements, change.name)
	default:
		s.statements[change.name] = change.statement
	}
}

// storePortals stores the portals of the exchange until the transaction ends.
func (s *session) storePortals(p *pipeline) {
	if s.status == statusIdle {
		return
	}
	for name, change := range p.portalChanges {
		if change == nil {
			delete(s.portals, name)
		} else {
			s.portals[name] = *change
		}
	}
}

func (s *session) clearPortalsIfIdle() {
	if s.status == statusIdle {
		clear(s.portals)
	}
}

func (s *session) sendParameters(values map[string]string) {
	for name, value := range values {
		s.send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
}

func (s *session) sendReadyForQuery() { s.send(&pgproto3.ReadyForQuery{TxStatus: s.status}) }

// send buffers a message. The messages that this package builds can always be
// encoded.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.out)
	if err != nil {
		s.log.WithError(err).Errorf("cannot encode message %T", m)
		return
	}
	s.out = out
}

// flush writes the buffered messages within WriteTimeout.
func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.server.settings.WriteTimeout))
	_, err := s.conn.Write(s.out)
	s.out = s.out[:0]
	if cap(s.out) > maxRetainedBufferBytes {
		s.out = nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errClosed, err)
	}
	return nil
}
