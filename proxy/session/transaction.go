package session

import (
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// transaction is an open transaction. It takes a connection with its first
// statement, not with its BEGIN, so that the pause between the two costs the
// upstream nothing.
type transaction struct {
	route    catalog.Route
	group    *group.Group
	readOnly bool
	arrival  time.Duration // of its BEGIN
	used     time.Duration // last statement

	choice group.Choice
	conn   *upstream.Conn
	wrote  bool
	lost   error // why it was rolled back before its caller ended it
}

// rollbackTimeout bounds the rollback of an abandoned transaction; a connection
// that takes longer is closed, which also rolls back.
const rollbackTimeout = 200 * time.Millisecond

// abandon rolls back and gives the connection back.
func (t *transaction) abandon() {
	conn := t.conn
	t.conn = nil
	if conn == nil {
		return
	}
	reply, err := conn.Exec(statement.Statement{Kind: statement.Rollback}, rollbackTimeout)
	if err != nil || reply.Err != nil || reply.State != statement.Idle {
		t.choice.Discard(conn)
		return
	}
	t.choice.Return(conn)
}

// drop closes the connection, whose state is not known.
func (t *transaction) drop() {
	if t.conn != nil {
		t.choice.Discard(t.conn)
		t.conn = nil
	}
}

func (s *Session) begin(st statement.Statement, arrival time.Duration) statement.Reply {
	if s.state != statement.Idle {
		return refused(&statement.UpstreamError{Reason: statement.Malformed, Text: "a transaction is open"})
	}
	r, g, err := s.route()
	if err != nil {
		return refused(err)
	}
	s.tx = &transaction{route: r, group: g, readOnly: st.Kind == statement.BeginReadOnly, arrival: arrival, used: arrival}
	s.state = statement.InTransaction
	return statement.Reply{}
}

// inTransaction runs a read or write of the open transaction.
func (s *Session) inTransaction(w work) statement.Reply {
	t := s.tx
	arrival := s.env.Clock()
	t.used = arrival
	if t.lost != nil {
		return s.failTransaction(w, t.lost)
	}
	reply := s.txStatement(w, arrival)
	s.env.Metrics.Statement(t.route.Consistency, outcomeName(reply.Err), s.env.Clock()-arrival)
	if reply.Err != nil {
		return s.failTransaction(w, reply.Err)
	}
	return reply
}

// failTransaction rolls back and tells the caller. Nothing of the transaction
// is kept, whatever the statement did.
func (s *Session) failTransaction(w work, err error) statement.Reply {
	t := s.tx
	t.abandon()
	s.state = statement.FailedTransaction
	s.logFailure(t.group, w, t.route, s.need(t.route, t.used, w.writes, true), err)
	return refused(abortedBy(err))
}

// abortedBy turns an error inside a transaction into one that says that nothing
// was kept. Errors that already promise it, or that the statement caused
// itself, stay.
func abortedBy(err error) error {
	if reason, ok := statement.ReasonOf(err); ok {
		switch reason {
		case statement.Malformed, statement.TooLarge, statement.NoSuchStatement, statement.Failed:
			return err
		}
		if reason.NothingKept() {
			return err
		}
	}
	if v := verdict.As(err); v.Verdict == verdict.NotRun {
		return v
	}
	return verdict.New(verdict.TransactionRolledBack, "the transaction was rolled back: %v", err)
}

func (s *Session) txStatement(w work, arrival time.Duration) statement.Reply {
	t := s.tx
	if t.conn == nil {
		return s.firstStatement(w, arrival)
	}
	for {
		ticket, err := t.choice.Acquire(s.name, schedule.Urgent, arrival+t.route.Timeout)
		if err != nil {
			return refused(err)
		}
		reply, _ := s.onConnection(w, arrival, ticket)
		// The upstream's queue was full and the transaction is still open.
		reason, failed := statement.ReasonOf(reply.Err)
		if !failed || reason != statement.Busy || reply.State != statement.InTransaction || s.env.Clock()+busyPause >= arrival+t.route.Timeout {
			return reply
		}
		time.Sleep(busyPause)
	}
}

// firstStatement opens the transaction on an upstream and runs its first
// statement there. Until that has an answer, another upstream may be tried.
func (s *Session) firstStatement(w work, arrival time.Duration) statement.Reply {
	t := s.tx
	need := s.need(t.route, t.arrival, !t.readOnly, true)
	need.Deadline = arrival + t.route.Timeout
	return s.tryMembers(t.group, w, need, func(c group.Choice, _ int) (statement.Reply, outcome) {
		t.choice = c
		reply, result := s.open(w, need, arrival)
		if result != answered {
			t.drop()
		}
		return reply, result
	})
}

// open begins the transaction on the chosen upstream and runs its first
// statement.
func (s *Session) open(w work, need group.Need, arrival time.Duration) (statement.Reply, outcome) {
	t := s.tx
	c := t.choice
	ticket, conn, err := s.connect(t.group, c, need, nil)
	if err != nil {
		return refused(err), notRun
	}
	t.conn = conn
	begin := statement.Statement{Kind: statement.Begin, After: c.After}
	if t.readOnly {
		begin.Kind = statement.BeginReadOnly
	}
	reply, err := execute(t.group, c, conn, begin, need.Deadline-s.env.Clock()-answerSlack)
	if err != nil {
		c.Release(ticket, false)
		t.group.Failed(c.Upstream, false)
		return refused(err), notRun
	}
	if reply.Err != nil {
		c.Release(ticket, false)
		if reason, ok := statement.ReasonOf(reply.Err); ok && reason == statement.Behind {
			c.NoteBehind(c.At, false)
		}
		return reply, notRun
	}
	reply, sent := s.onConnection(w, arrival, ticket)
	// Without its COMMIT nothing of the transaction can be kept, and its caller
	// has seen nothing of it: it may begin elsewhere. An empty transaction has
	// sent its COMMIT already.
	reason, failed := statement.ReasonOf(reply.Err)
	lost := !failed && reply.Err != nil
	if w.Kind != statement.Commit && (lost || failed && reason.NothingKept()) || lost && !sent {
		return reply, notRun
	}
	return reply, answered
}

// onConnection runs a statement on the transaction's connection. sent is false
// if the statement itself never left this instance.
func (s *Session) onConnection(w work, arrival time.Duration, ticket uint64) (reply statement.Reply, sent bool) {
	t := s.tx
	c := t.choice
	left := arrival + t.route.Timeout - s.env.Clock() - answerSlack
	if err := t.conn.Adapt(s.values, w.prepared, true, left); err != nil {
		c.Release(ticket, false)
		t.drop()
		return refused(verdict.New(verdict.TransactionRolledBack, "the connection of the transaction was lost: %v", err)), false
	}
	sentAt := s.env.Clock()
	t.wrote = t.wrote || w.writes
	reply, err := execute(t.group, c, t.conn, w.Statement, left)
	c.Release(ticket, err == nil)
	if err != nil {
		t.drop()
		t.group.Failed(c.Upstream, false)
		return refused(verdict.New(verdict.TransactionRolledBack, "the connection of the transaction was lost: %v", err)), true
	}
	if reply.Err == nil {
		t.group.Observe(c.Upstream, reply.Position, sentAt)
	}
	return reply, true
}

// end commits or rolls back the open transaction.
func (s *Session) end(st statement.Statement) statement.Reply {
	t := s.tx
	if s.state == statement.Idle || t == nil {
		if st.Kind == statement.Rollback {
			return statement.Reply{}
		}
		return refused(&statement.UpstreamError{Reason: statement.Malformed, Text: "no transaction is open"})
	}
	failed := s.state == statement.FailedTransaction
	s.tx, s.state = nil, statement.Idle
	if st.Kind == statement.Rollback {
		t.abandon()
		return statement.Reply{}
	}
	if t.lost != nil || failed {
		t.abandon()
		return refused(verdict.New(verdict.TransactionRolledBack, "the transaction has failed and was rolled back"))
	}
	arrival := s.env.Clock()
	reply := s.commit(t, st, arrival)
	s.env.Metrics.Statement(t.route.Consistency, outcomeName(reply.Err), s.env.Clock()-arrival)
	if reply.Err != nil {
		s.logFailure(t.group, work{Statement: st, writes: t.wrote}, t.route, s.need(t.route, arrival, t.wrote, true), reply.Err)
	}
	return reply
}

// commit sends the COMMIT. A commit without an answer is unknown if the
// transaction wrote, and kept nothing otherwise.
func (s *Session) commit(t *transaction, st statement.Statement, arrival time.Duration) statement.Reply {
	if t.conn == nil {
		return s.commitEmpty(t, st, arrival)
	}
	c := t.choice
	ticket, err := c.Acquire(s.name, schedule.Urgent, arrival+t.route.Timeout)
	if err != nil {
		t.abandon()
		return refused(err)
	}
	sentAt := s.env.Clock()
	reply, err := execute(t.group, c, t.conn, st, arrival+t.route.Timeout-sentAt-answerSlack)
	c.Release(ticket, err == nil)
	if err != nil {
		t.drop()
		t.group.Failed(c.Upstream, t.wrote)
		if !t.wrote {
			return refused(verdict.New(verdict.TransactionRolledBack, "the commit of a transaction without writes was not answered: %v", err))
		}
		return refused(verdict.New(verdict.CommitUnknown, "upstream %s did not answer the commit: %v", c.Member().ID, err))
	}
	if reply.State != statement.Idle {
		t.abandon()
	} else {
		c.Return(t.conn)
		t.conn = nil
	}
	if reply.Err == nil {
		t.group.Observe(c.Upstream, reply.Position, sentAt)
		if t.wrote {
			t.group.Committed(c.Upstream, sentAt)
			s.wrote(t.route.Service, reply.Position)
		}
	}
	return reply
}

// commitEmpty commits a transaction that has sent no statement yet.
func (s *Session) commitEmpty(t *transaction, st statement.Statement, arrival time.Duration) statement.Reply {
	need := s.need(t.route, t.arrival, !t.readOnly, true)
	need.Deadline = arrival + t.route.Timeout
	choice, err := t.group.Choose(need, nil)
	if err != nil {
		return refused(err)
	}
	t.choice = choice
	s.tx = t
	reply, result := s.open(work{Statement: st}, need, arrival)
	s.tx = nil
	if result != answered {
		t.drop()
		return refused(asRefusal(notRunError(reply.Err), retryAfterFailure))
	}
	if t.conn != nil && reply.State != statement.Idle {
		t.drop()
	}
	if t.conn != nil {
		choice.Return(t.conn)
		t.conn = nil
	}
	return reply
}
