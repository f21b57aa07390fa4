// Package session serves one caller: it holds the session's values, prepared
// statements and open transaction, routes each statement to a member, retries failed
// statements where that is safe, and decides which answer or error the caller gets.
// It is independent of the caller's protocol.
package session

import (
	"errors"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Directory resolves names of the configuration in force.
type Directory interface {
	// Access decides whether the caller with a key may use a database, and returns the
	// group that serves it, or nil if that is not known.
	Access(database string, key catalog.KeyDigest) (catalog.Access, *group.Group)
	// TransactionIdle returns how long an open transaction may wait for its caller; 0
	// means without limit.
	TransactionIdle() time.Duration
}

// Metrics receives the counts and latencies of a session.
type Metrics interface {
	// Statement counts a statement by the route's consistency, its outcome and its
	// latency.
	Statement(c catalog.Consistency, outcome string, took time.Duration)
	// WorkspaceStatement counts a statement by the workspace of its caller and whether it
	// was answered without an error.
	WorkspaceStatement(workspace string, ok bool)
	// CountRetry counts a retry of a statement by its cause.
	CountRetry(cause string)
	// CountRefusal counts a caller, or an operation of an open session, that was refused
	// because of what the caller presented, by its cause.
	CountRefusal(cause string)
	// CountCancelled counts a statement whose caller disconnected before it was executed.
	CountCancelled(s upstream.Stage)
}

// Env holds the dependencies of a session.
type Env struct {
	Directory  Directory
	Clock      boottime.Clock
	Log        *logrus.Entry
	FailureLog FailureLog
	Metrics    Metrics
	Limiter    Limiter // nil: no limits
}

// Session is one caller's session. Serve is called once.
type Session struct {
	env      Env
	caller   statement.Caller
	client   Client
	database string // as named by the caller
	// name identifies the session in logs and in the queues of upstreams. It follows the
	// workspace.
	name string
	// workspace is that of the present or last operation: a single statement or a
	// transaction.
	workspace catalog.Workspace
	refused   bool // the last operation was refused because of the caller's key

	values      map[string]string            // set by the caller, by name
	prepared    map[string]upstream.Prepared // by the caller's name
	ownWrites   map[string]ownWrite          // by service
	tx          *transaction
	state       statement.State
	lastGateway string // instance that ran the last attempt; empty if this one did
	// reachedMember means that the present operation may have run on a member.
	reachedMember bool
	// failedAttempts are the attempts of the present statement without a final answer.
	failedAttempts []failedAttempt
}

// ownWrite is the position of a session's last write to a service, and the time of its
// answer.
type ownWrite struct {
	position position.Position
	at       time.Duration
}

// New returns the session of a caller that is connected to a database.
func New(env Env, caller statement.Caller, client Client, database string) *Session {
	return &Session{env: env, caller: caller, client: client, name: client.Address, database: database,
		prepared: make(map[string]upstream.Prepared), ownWrites: make(map[string]ownWrite)}
}

// ShutdownState tells a session what to end while its instance shuts down.
type ShutdownState interface {
	// CloseIdle reports whether sessions without an open transaction or a pending
	// statement should end.
	CloseIdle() bool
	// EndTransactions reports whether open transactions must be rolled back.
	EndTransactions() bool
}

// Serve answers statements until the instance shuts down, when it returns nil, or the
// caller's connection ends or fails, when it returns the error of the connection.
func (s *Session) Serve(shutdown ShutdownState) error {
	defer s.rollBack()
	for {
		if s.state == statement.Idle && shutdown.CloseIdle() && !s.caller.Pending() {
			return nil
		}
		st, err := s.caller.Next(s.nextTimeout())
		var syntax *statement.SyntaxError
		switch {
		case errors.Is(err, statement.ErrIdle):
			s.handleIdle(shutdown)
			continue
		case errors.As(err, &syntax):
			err = s.answer(statement.Reply{Err: &statement.UpstreamError{Reason: statement.Malformed, Text: syntax.Text}})
		case err != nil:
			return err
		default:
			err = s.answer(s.handle(st))
		}
		if err != nil {
			return err
		}
	}
}

// idlePollInterval is the longest interval at which a session in a transaction without
// input checks its time limit and whether its instance shuts down. An instance
// also wakes its sessions when they should end.
const idlePollInterval = 500 * time.Millisecond

// nextTimeout returns how long to wait for the next statement; 0 means without limit.
func (s *Session) nextTimeout() time.Duration {
	if s.state == statement.Idle {
		return 0
	}
	return idlePollInterval
}

// handleIdle rolls back an open transaction whose caller has sent nothing for too long.
func (s *Session) handleIdle(shutdown ShutdownState) {
	if s.state != statement.InTransaction || s.tx == nil {
		return
	}
	limit := s.env.Directory.TransactionIdle()
	if shutdown.EndTransactions() || limit > 0 && s.env.Clock()-s.tx.lastUsed > limit {
		s.env.Log.WithFields(logrus.Fields{"event": "transaction_ended", "session": s.name, "idle_ms": (s.env.Clock() - s.tx.lastUsed).Milliseconds()}).Info("idle transaction rolled back")
		s.tx.rollBack()
		s.tx.rollbackErr = verdict.New(verdict.TransactionRolledBack, "the transaction was idle for too long")
	}
}

func (s *Session) answer(r statement.Reply) error {
	r.State = s.state
	return s.caller.Answer(r)
}

// rollBack rolls back the open transaction, if there is one.
func (s *Session) rollBack() {
	if s.tx != nil {
		s.tx.rollBack()
		s.tx = nil
	}
}

// handle executes one statement.
func (s *Session) handle(st statement.Statement) statement.Reply {
	arrival := s.env.Clock()
	if s.state == statement.FailedTransaction && st.Kind != statement.Commit && st.Kind != statement.Rollback {
		return refused(&statement.UpstreamError{Reason: statement.Malformed, Text: "the transaction has failed; end it first"})
	}
	switch st.Kind {
	case statement.SetValue:
		return s.setValue(st)
	case statement.Prepare:
		return s.prepare(st)
	case statement.Deallocate:
		delete(s.prepared, st.Name)
		return statement.Reply{}
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(st, arrival)
	case statement.Commit, statement.Rollback:
		return s.endTransaction(st)
	}
	op, err := s.operation(st)
	if err != nil {
		return refused(err)
	}
	if s.state == statement.InTransaction {
		return s.runInTransaction(op)
	}
	return s.runSingle(op, arrival)
}

func refused(err error) statement.Reply { return statement.Reply{Err: err} }

func (s *Session) setValue(st statement.Statement) statement.Reply {
	// Jobs keep a reference to the map, so it is replaced and never changed in place.
	values := make(map[string]string, len(s.values)+1)
	for name, value := range s.values {
		values[name] = value
	}
	values[st.Name] = st.Operands
	s.values = values
	return statement.Reply{}
}

func (s *Session) prepare(st statement.Statement) statement.Reply {
	p := upstream.Prepared{Writes: st.Writes, Shape: st.Operands}
	h := fnv.New64a()
	h.Write([]byte(strconv.FormatBool(p.Writes) + " " + p.Shape))
	p.UpstreamName = "p" + strconv.FormatUint(h.Sum64(), 36)
	s.prepared[st.Name] = p
	return statement.Reply{}
}

// operation is a read, a write or a COMMIT that an upstream executes.
type operation struct {
	statement.Statement
	prepared *upstream.Prepared
	writes   bool
}

func (s *Session) operation(st statement.Statement) (operation, error) {
	op := operation{Statement: st, writes: st.Kind == statement.Write}
	if st.Kind == statement.Execute {
		p, ok := s.prepared[st.Name]
		if !ok {
			return op, &statement.UpstreamError{Reason: statement.NoSuchStatement, Text: "prepared statement " + strconv.Quote(st.Name) + " does not exist"}
		}
		op.prepared, op.writes = &p, p.Writes
		op.Name = p.UpstreamName
	}
	return op, nil
}

// requirements returns what an operation on a route requires of a member. reads is
// false only for a single write.
func (s *Session) requirements(r catalog.Route, arrival time.Duration, writes, reads bool) group.Requirements {
	own := s.ownWrites[r.Service]
	return group.Requirements{Writes: writes, Reads: reads, Consistency: r.Consistency, Staleness: r.Staleness, Arrival: arrival,
		OwnWrite: own.position, OwnWriteAt: own.at, Rank: upstream.Rank(r), Objective: r.Objective, Deadline: arrival + r.Timeout}
}

// rememberWrite keeps the position of the session's own write for read-your-writes.
func (s *Session) rememberWrite(service string, p position.Position) {
	if p.IsZero() {
		return
	}
	old := s.ownWrites[service]
	s.ownWrites[service] = ownWrite{position: position.Max(old.position, p), at: s.env.Clock()}
}
