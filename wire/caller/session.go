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
	// maxKeptBuffer is the largest output buffer that a session keeps.
	maxKeptBuffer = 16 << 10
	// abortSQL fails on every server and so turns an open transaction into a
	// failed one, as PostgreSQL does after each error.
	abortSQL = "papayarail_refused_statement"
)

// session serves one caller. Its goroutine owns everything but the fields
// under mu.
type session struct {
	server  *Server
	conn    *callerConn
	backend *pgproto3.Backend
	log     *logrus.Entry
	ctx     context.Context // ends with the server
	startup Startup
	inner   Session

	parameters parameters
	statements map[string]entry
	portals    map[string]portal // of the open transaction
	pipeline   *pipeline         // messages since the last boundary
	skipping   bool              // an error was sent: ignore messages up to Sync
	status     byte
	out        []byte

	mu      sync.Mutex
	waiting bool // for a request, outside a transaction
	cancel  context.CancelCauseFunc
}

func newSession(s *Server, conn *callerConn, backend *pgproto3.Backend, ctx context.Context, st Startup, inner Session) *session {
	return &session{server: s, conn: conn, backend: backend, ctx: ctx, startup: st, inner: inner,
		log:        s.settings.Log.WithFields(logrus.Fields{"remote": st.RemoteHost, "user": st.User, "database": st.Database}),
		parameters: newParameters(st), statements: make(map[string]entry), portals: make(map[string]portal), status: statusIdle}
}

// greet ends the start-up.
func (s *session) greet() error {
	secret := binary.BigEndian.AppendUint32(nil, s.startup.Secret)
	s.send(&pgproto3.AuthenticationOk{})
	s.sendParameters(map[string]string{"application_name": s.startup.Parameters["application_name"]})
	s.sendParameters(reportedParameters)
	s.send(&pgproto3.BackendKeyData{ProcessID: s.startup.PID, SecretKey: secret})
	s.ready()
	return s.flush()
}

// reportedParameters are those that drivers require. Upstream sessions run
// with the server's defaults, which these are.
var reportedParameters = map[string]string{
	"server_version": "16.0", "server_encoding": "UTF8", "client_encoding": "UTF8", "DateStyle": "ISO, MDY",
	"integer_datetimes": "on", "standard_conforming_strings": "on",
}

// errClosed ends a session without a message to the caller.
var errClosed = errors.New("connection is closed")

// handle processes one message. An error ends the session.
func (s *session) handle(m pgproto3.FrontendMessage) error {
	switch m.(type) {
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.boundary()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // PostgreSQL ignores them outside COPY as well
	}
	if s.skipping {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.query(m)
	case *pgproto3.FunctionCall:
		return s.refuseQuery(refuse(stateUnsupported, "FunctionCall is not supported"))
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		return s.extended(m)
	default:
		return refuse(stateProtocolViolation, fmt.Sprintf("unexpected message %T", m))
	}
}

func (s *session) newPipeline() *pipeline {
	return newPipeline(s.statements, s.portals, s.status != statusIdle, s.server.settings.MaxMessageBytes)
}

// extended adds a message to the pipeline. A refused message refuses the whole
// pipeline, none of which has run.
func (s *session) extended(m pgproto3.FrontendMessage) error {
	if s.pipeline == nil {
		s.pipeline = s.newPipeline()
	}
	if err := s.pipeline.add(m); err != nil {
		return s.refusePipeline(err)
	}
	return nil
}

// refusePipeline answers with an error and skips up to Sync.
func (s *session) refusePipeline(err error) error {
	s.pipeline = nil
	s.skipping = true
	s.failTransaction()
	s.send(errorResponse(severityError, err))
	return s.flush()
}

// refuseQuery answers a simple query with an error.
func (s *session) refuseQuery(err error) error {
	s.pipeline = nil
	s.failTransaction()
	s.send(errorResponse(severityError, err))
	s.ready()
	return s.flush()
}

// failTransaction makes the database fail the open transaction, so that a
// later COMMIT cannot keep what preceded a refused statement.
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

// sync ends an extended exchange.
func (s *session) sync() error {
	p := s.pipeline
	s.pipeline = nil
	if s.skipping {
		s.skipping = false
	} else if p != nil {
		if _, err := s.execute(p, &pgproto3.Sync{}); err != nil {
			return err
		}
	}
	s.ready()
	return s.flush()
}

// boundary handles Flush. Messages that only parse and describe, or that
// belong to an open transaction, can run as an exchange of their own. Outside
// a transaction the Sync that this needs would commit too early.
func (s *session) boundary() error {
	p := s.pipeline
	if s.skipping || p == nil || p.empty() {
		return s.flush()
	}
	if p.executes && s.status == statusIdle {
		return s.refusePipeline(refuse(stateUnsupported, "Flush after Bind or Execute outside a transaction is not supported, use Sync"))
	}
	s.pipeline = nil
	failed, err := s.execute(p, &pgproto3.Sync{})
	if err != nil {
		return err
	}
	s.skipping = failed
	return s.flush()
}

// query runs a simple query.
func (s *session) query(m *pgproto3.Query) error {
	if s.pipeline != nil && !s.pipeline.empty() {
		return s.refuseQuery(refuse(stateUnsupported, "Query before the Sync of an extended query is not supported"))
	}
	info, _ := classify.Classify(m.String) // the database reports a syntax error
	p := s.newPipeline()
	s.pipeline = nil
	if local(info) {
		return s.localQuery(info)
	}
	if err := p.query(m, info); err != nil {
		return s.refuseQuery(err)
	}
	if _, err := s.execute(p, nil); err != nil {
		return err
	}
	delete(s.statements, "") // as PostgreSQL does
	s.ready()
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
	s.ready()
	return s.flush()
}

func failedTransaction() error {
	return refuse(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

// execute runs an assembled exchange and buffers its answer. end is appended
// to the messages. An error ends the session.
func (s *session) execute(p *pipeline, end pgproto3.FrontendMessage) (failed bool, err error) {
	if err := s.runSteps(p.steps); err != nil {
		s.failTransaction()
		s.send(errorResponse(severityError, err))
		return true, nil
	}
	if !p.sent() {
		s.server.localAnswers.Add(1)
		s.keepPortals(p)
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

// forward hands the exchange to the session and settles its effects.
func (s *session) forward(p *pipeline) (failed bool) {
	p.exchange.Settings = s.parameters.current
	reply, err := s.exchange(&p.exchange)
	if len(p.exchange.Statements) > 0 && s.status == statusIdle {
		s.parameters.replace(ParameterRequestKey, "", false)
	}
	var done progress
	if err == nil {
		done, err = scan(reply.Messages)
	}
	if err != nil {
		s.clearPortals()
		s.send(errorResponse(severityError, err))
		return true
	}
	s.applyNames(p, done.completions)
	s.out = append(s.out, reply.Messages...)
	s.sendParameters(reply.Parameters)
	for name, value := range reply.Parameters {
		if _, own := parameterChecks[name]; own {
			s.parameters.replace(name, value, true)
		}
	}
	return done.failed
}

// exchange calls the session while watching for cancellation and hang-up.
func (s *session) exchange(x *Exchange) (*Reply, error) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	s.setCancel(cancel)
	stop := s.conn.watch(func() { cancel(ErrDisconnected) })
	s.server.exchanges.Add(1)
	s.log.WithField("sql", x.SQL).Debug("exchange")
	reply, err := s.inner.Exchange(ctx, x)
	stop()
	s.setCancel(nil)
	if err == nil && reply == nil {
		err = Class.New("session returned no reply")
	}
	s.status = s.inner.TxStatus()
	if err == nil && validStatus(reply.TxStatus) {
		s.status = reply.TxStatus
	}
	if s.status == statusIdle {
		s.clearPortals()
	}
	return reply, err
}

func validStatus(b byte) bool { return b == statusIdle || b == statusOpen || b == statusFailed }

func (s *session) setCancel(cancel context.CancelCauseFunc) {
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
}

// cancelExchange cancels what runs, if the secret is right.
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

// runSteps answers the local messages of a pipeline.
func (s *session) runSteps(steps []step) error {
	for _, step := range steps {
		if err := s.runStep(step); err != nil {
			return err
		}
		if step.op != nil {
			s.applyName(*step.op)
		}
	}
	return nil
}

func (s *session) runStep(st step) error {
	switch st.kind {
	case stepParse:
		s.send(&pgproto3.ParseComplete{})
	case stepBind:
		s.send(&pgproto3.BindComplete{})
	case stepClose:
		s.send(&pgproto3.CloseComplete{})
	case stepDescribeStatement:
		s.send(&pgproto3.ParameterDescription{})
		s.send(describeLocal(st.info))
	case stepDescribePortal:
		s.send(describeLocal(st.info))
	case stepExecute:
		return s.executeStep(st.info)
	}
	return nil
}

func (s *session) executeStep(info classify.Info) error {
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

// applyNames keeps the changes of statement names whose completions arrived.
func (s *session) applyNames(p *pipeline, completions int) {
	for _, o := range p.ops[:min(completions, len(p.ops))] {
		s.applyName(o)
	}
	s.keepPortals(p)
}

func (s *session) applyName(o op) {
	switch {
	case o.portal:
	case o.close:
		delete(s.statements, o.name)
	default:
		s.statements[o.name] = o.entry
	}
}

// keepPortals remembers portals until the transaction ends.
func (s *session) keepPortals(p *pipeline) {
	if s.status == statusIdle {
		return
	}
	for name, o := range p.newPortals {
		if o == nil {
			delete(s.portals, name)
		} else {
			s.portals[name] = *o
		}
	}
}

func (s *session) clearPortals() {
	if s.status == statusIdle {
		clear(s.portals)
	}
}

func (s *session) sendParameters(values map[string]string) {
	for name, value := range values {
		s.send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
}

func (s *session) ready() { s.send(&pgproto3.ReadyForQuery{TxStatus: s.status}) }

// send buffers a message. Messages of this package always have an encoding.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.out)
	if err != nil {
		s.log.WithError(err).Errorf("encode %T", m)
		return
	}
	s.out = out
}

// flush writes the buffered messages within the write time-out.
func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.server.settings.WriteTimeout))
	_, err := s.conn.Write(s.out)
	s.out = s.out[:0]
	if cap(s.out) > maxKeptBuffer {
		s.out = nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errClosed, err)
	}
	return nil
}
