// Package session serves one caller: it keeps the session's values, prepared
// statements and transaction, chooses where each statement runs, and decides
// what is tried again and what the caller is told. It knows no protocol.
package session

import (
	"errors"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Directory resolves names of the configuration in force.
type Directory interface {
	// Route returns the route of a database name and the group that serves it.
	Route(database string) (catalog.Route, *group.Group, bool)
	// TransactionIdle is how long an open transaction may wait for its caller.
	TransactionIdle() time.Duration
}

// Metrics counts what the session does.
type Metrics interface {
	// Statement counts a statement by route consistency, outcome and time.
	Statement(c catalog.Consistency, outcome string, took time.Duration)
	// Retried counts another attempt of a statement by its cause.
	Retried(cause string)
}

// Env is what a session needs.
type Env struct {
	Directory  Directory
	Clock      boottime.Clock
	Log        *logrus.Entry
	FailureLog FailureLog
	Metrics    Metrics
}

// Session is one caller's session. Serve is called once.
type Session struct {
	env      Env
	caller   statement.Caller
	name     string
	database string

	values   map[string]string
	prepared map[string]upstream.Prepared
	own      map[string]ownWrite // by service
	tx       *transaction
	state    statement.State
	gateway  string // that ran the last attempt, if it was another instance
	// tried are the attempts of the present statement without a final answer.
	tried []triedMember
}

// ownWrite is the position and the time of a session's last write to a service.
type ownWrite struct {
	position position.Position
	at       time.Duration
}

// New returns the session of a caller that asked for a database.
func New(env Env, caller statement.Caller, name, database string) *Session {
	return &Session{env: env, caller: caller, name: name, database: database,
		prepared: make(map[string]upstream.Prepared), own: make(map[string]ownWrite)}
}

// ShutdownState tells a session that its instance is leaving.
type ShutdownState interface {
	// CloseIdle reports whether a session without work should end now.
	CloseIdle() bool
	// EndTransactions reports whether open transactions must end now.
	EndTransactions() bool
}

// Serve answers statements until the caller leaves or the instance stops.
func (s *Session) Serve(stop ShutdownState) error {
	defer s.abandon()
	for {
		if s.state == statement.Idle && stop.CloseIdle() && !s.caller.Pending() {
			return nil
		}
		st, err := s.caller.Next(s.idleLimit())
		var syntax *statement.SyntaxError
		switch {
		case errors.Is(err, statement.ErrIdle):
			s.idle(stop)
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

// idlePoll is how often a session without input looks whether its instance is
// leaving. Instances wake sleeping sessions themselves; this is the bound.
const idlePoll = 500 * time.Millisecond

// idleLimit is how long to wait for the next statement.
func (s *Session) idleLimit() time.Duration {
	if s.state == statement.Idle {
		return 0
	}
	return idlePoll
}

// idle ends a transaction whose caller has sent nothing for too long.
func (s *Session) idle(stop ShutdownState) {
	if s.state != statement.InTransaction || s.tx == nil {
		return
	}
	limit := s.env.Directory.TransactionIdle()
	if stop.EndTransactions() || limit > 0 && s.env.Clock()-s.tx.used > limit {
		s.env.Log.WithFields(logrus.Fields{"event": "transaction_ended", "session": s.name, "idle_ms": (s.env.Clock() - s.tx.used).Milliseconds()}).Info("idle transaction rolled back")
		s.tx.abandon()
		s.tx.lost = verdict.New(verdict.TransactionRolledBack, "the transaction was idle for too long")
	}
}

func (s *Session) answer(r statement.Reply) error {
	r.State = s.state
	return s.caller.Answer(r)
}

// abandon rolls back what the session leaves open.
func (s *Session) abandon() {
	if s.tx != nil {
		s.tx.abandon()
		s.tx = nil
	}
}

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
		return s.end(st)
	}
	w, err := s.work(st)
	if err != nil {
		return refused(err)
	}
	if s.state == statement.InTransaction {
		return s.inTransaction(w)
	}
	return s.single(w, arrival)
}

func refused(err error) statement.Reply { return statement.Reply{Err: err} }

func (s *Session) setValue(st statement.Statement) statement.Reply {
	// Connections keep the map they were set from, so it is never changed in place.
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

// work is a read or a write that an upstream executes.
type work struct {
	statement.Statement
	prepared *upstream.Prepared
	writes   bool
}

func (s *Session) work(st statement.Statement) (work, error) {
	w := work{Statement: st, writes: st.Kind == statement.Write}
	if st.Kind == statement.Execute {
		p, ok := s.prepared[st.Name]
		if !ok {
			return w, &statement.UpstreamError{Reason: statement.NoSuchStatement, Text: "prepared statement " + strconv.Quote(st.Name) + " does not exist"}
		}
		w.prepared, w.writes = &p, p.Writes
		w.Name = p.UpstreamName
	}
	return w, nil
}

// route returns the route of the session's database, or the error for the caller.
func (s *Session) route() (catalog.Route, *group.Group, error) {
	r, g, ok := s.env.Directory.Route(s.database)
	if !ok {
		return r, nil, verdict.New(verdict.UnknownService, "database %q does not exist", s.database)
	}
	if g == nil {
		return r, nil, verdict.New(verdict.CutOff, "service %q of database %q is not known", r.Service, s.database).WithRetryAfter(time.Second)
	}
	return r, g, nil
}

func (s *Session) need(r catalog.Route, arrival time.Duration, writes, reads bool) group.Requirements {
	own := s.own[r.Service]
	return group.Requirements{Writes: writes, Reads: reads, Consistency: r.Consistency, Staleness: r.Staleness, Arrival: arrival,
		OwnWrite: own.position, OwnWriteAt: own.at, Rank: rank(r), Objective: r.Objective, Deadline: arrival + r.Timeout}
}

func rank(r catalog.Route) schedule.Rank {
	return schedule.Rank(min(max(r.Priority, 0), schedule.NumRanks-1))
}

// wrote remembers a position that covers the session's own write.
func (s *Session) wrote(service string, p position.Position) {
	if p.IsZero() {
		return
	}
	old := s.own[service]
	s.own[service] = ownWrite{position: position.Max(old.position, p), at: s.env.Clock()}
}
