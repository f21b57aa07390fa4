package session

import (
	"cmp"
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// transaction is an open transaction. It acquires an upstream connection for its
// first statement, not for its BEGIN, so that no connection is held in the time
// between the two.
type transaction struct {
	route    catalog.Route
	group    *group.Group
	readOnly bool
	arrival  time.Duration // of its BEGIN
	lastUsed time.Duration // arrival of its last statement

	choice      group.Choice
	tx          upstream.Tx // nil before the first statement and after the end
	wrote       bool        // a write was attempted in it
	rollbackErr error       // why it was rolled back before its caller ended it; nil if it was not
}

// rollBack rolls the transaction back and returns the connection, if it has one.
func (t *transaction) rollBack() {
	if t.tx != nil {
		t.tx.Abandon()
		t.tx = nil
	}
}

// begin opens a transaction, without a connection yet.
func (s *Session) begin(st statement.Statement, arrival time.Duration) statement.Reply {
	if s.state != statement.Idle {
		return refused(&statement.UpstreamError{Reason: statement.Malformed, Text: "a transaction is open"})
	}
	r, g, err := s.authorize()
	if err != nil {
		return refused(err)
	}
	s.tx = &transaction{route: r, group: g, readOnly: st.Kind == statement.BeginReadOnly, arrival: arrival, lastUsed: arrival}
	s.state = statement.InTransaction
	return statement.Reply{}
}

// runInTransaction runs an operation in the open transaction, counts its outcome and
// rolls the transaction back if the operation failed.
func (s *Session) runInTransaction(op operation) statement.Reply {
	t := s.tx
	arrival := s.env.Clock()
	t.lastUsed = arrival
	if t.rollbackErr != nil {
		return s.failTransaction(op, t.rollbackErr)
	}
	reply := s.runOnUpstream(op, arrival)
	s.countStatement(t.route, reply.Err, s.env.Clock()-arrival)
	if reply.Err != nil {
		return s.failTransaction(op, reply.Err)
	}
	return reply
}

// failTransaction rolls back the transaction and returns the error for the caller. No
// effect of the transaction remains, whatever the statement did.
func (s *Session) failTransaction(op operation, err error) statement.Reply {
	t := s.tx
	t.rollBack()
	s.state = statement.FailedTransaction
	s.logFailure(t.group, op, t.route, s.requirements(t.route, t.lastUsed, op.writes, true), err)
	return refused(asRollback(err))
}

// asRollback converts the error of a statement in a transaction into one that says
// that the transaction had no effect. Errors that already imply this, and errors that
// the statement itself caused, are returned as they are.
func asRollback(err error) error {
	if reason, ok := statement.ReasonOf(err); ok {
		switch reason {
		case statement.Malformed, statement.TooLarge, statement.NoSuchStatement, statement.Failed:
			return err
		}
		if reason.HasNoEffect() {
			return err
		}
	}
	if v := verdict.FromError(err); v.Verdict == verdict.NotRun {
		return v
	}
	return verdict.New(verdict.TransactionRolledBack, "the transaction was rolled back: %v", err)
}

// runOnUpstream runs an operation on the upstream of the open transaction, which is
// chosen for the first operation. It retries while the upstream's queue is full.
func (s *Session) runOnUpstream(op operation, arrival time.Duration) statement.Reply {
	t := s.tx
	if t.tx == nil {
		return s.runLimited(s.workspace.Name, arrival+t.route.Timeout, func() statement.Reply { return s.firstStatement(op, arrival) })
	}
	t.wrote = t.wrote || op.writes
	deadline := arrival + t.route.Timeout
	j := s.job(op, schedule.Urgent, deadline)
	j.Class = serviceClass(t.route.Objective, upstream.Rank(t.route), op)
	for {
		r := t.tx.Run(j)
		s.lastGateway = r.Gateway
		if r.Err != nil {
			return refused(r.Err)
		}
		// Retry only if the upstream's queue was full and the transaction is still open.
		reason, failed := statement.ReasonOf(r.Reply.Err)
		if !failed || reason != statement.Busy || r.Reply.State != statement.InTransaction || s.env.Clock()+busyRetryDelay >= deadline {
			return r.Reply
		}
		time.Sleep(busyRetryDelay)
		if err := s.checkCaller(); err != nil {
			return refused(err)
		}
	}
}

// firstStatement opens the transaction on an upstream and runs its first statement
// there. Other upstreams are tried until the statement has an answer.
func (s *Session) firstStatement(op operation, arrival time.Duration) statement.Reply {
	t := s.tx
	reqs := s.requirements(t.route, t.arrival, !t.readOnly, true)
	reqs.Deadline = arrival + t.route.Timeout
	return s.tryMembers(t.group, op, reqs, func(c group.Choice, _ int) (statement.Reply, outcome) {
		t.choice = c
		reply, result := s.openTransaction(op, reqs, arrival)
		if result != answered {
			t.rollBack()
		}
		return reply, result
	})
}

// openTransaction opens the transaction on the chosen upstream and runs its first
// statement there.
func (s *Session) openTransaction(op operation, reqs group.Requirements, arrival time.Duration) (statement.Reply, outcome) {
	t := s.tx
	begin := statement.Statement{Kind: statement.Begin, After: t.choice.MinPosition}
	if t.readOnly {
		begin.Kind = statement.BeginReadOnly
	}
	t.wrote = t.wrote || op.writes
	j := s.job(op, reqs.Rank, reqs.Deadline)
	j.OnlyCandidate = t.choice.OnlyCandidate
	j.Due, j.Class = due(arrival, reqs.Objective), serviceClass(reqs.Objective, reqs.Rank, op)
	tx, opened := t.group.Open(t.choice, begin, j)
	s.lastGateway = cmp.Or(opened.First.Gateway, opened.Begin.Gateway)
	if !opened.Begun() {
		if reason, ok := statement.ReasonOf(opened.Begin.Reply.Err); ok && reason == statement.Behind {
			t.choice.ObserveLag(t.choice.MinPositionAt, false)
		}
		return refused(cmp.Or(opened.Begin.Err, opened.Begin.Reply.Err)), notRun
	}
	t.tx = tx
	s.reachedMember = true
	// Without its COMMIT the transaction has no effect, and its caller has seen no
	// result of it, so it may be opened on another upstream. In an empty transaction
	// the first statement is the COMMIT itself, which may have taken effect once sent.
	if first := opened.First; first.Err != nil {
		if op.Kind == statement.Commit && first.Sent {
			return refused(first.Err), answered
		}
		return refused(first.Err), notRun
	}
	if reason, failed := statement.ReasonOf(opened.First.Reply.Err); failed && reason.HasNoEffect() && op.Kind != statement.Commit {
		return opened.First.Reply, notRun
	}
	return opened.First.Reply, answered
}

// endTransaction commits or rolls back the open transaction.
func (s *Session) endTransaction(st statement.Statement) statement.Reply {
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
		t.rollBack()
		return statement.Reply{}
	}
	if t.rollbackErr != nil || failed {
		t.rollBack()
		return refused(verdict.New(verdict.TransactionRolledBack, "the transaction has failed and was rolled back"))
	}
	arrival := s.env.Clock()
	reply := s.commit(t, st, arrival)
	s.countStatement(t.route, reply.Err, s.env.Clock()-arrival)
	if reply.Err != nil {
		s.logFailure(t.group, operation{Statement: st, writes: t.wrote}, t.route, s.requirements(t.route, arrival, t.wrote, true), reply.Err)
	}
	return reply
}

// commit sends the COMMIT. Without an answer, the outcome is unknown if the
// transaction wrote; otherwise it counts as rolled back.
func (s *Session) commit(t *transaction, st statement.Statement, arrival time.Duration) statement.Reply {
	if t.tx == nil {
		return s.runLimited(s.workspace.Name, arrival+t.route.Timeout, func() statement.Reply { return s.commitEmpty(t, st, arrival) })
	}
	j := s.job(operation{Statement: st}, schedule.Urgent, arrival+t.route.Timeout)
	j.CommitsWrites, j.Class = t.wrote, serviceClass(t.route.Objective, upstream.Rank(t.route), operation{Statement: st})
	r := t.tx.Run(j)
	s.lastGateway = r.Gateway
	t.rollBack() // no effect if the commit has ended the transaction
	switch {
	case r.Err != nil && !r.Sent:
		return refused(r.Err)
	case r.Err != nil && !t.wrote:
		return refused(verdict.New(verdict.TransactionRolledBack, "the commit of a transaction without writes was not answered: %v", r.Err))
	case r.Err != nil:
		return refused(verdict.New(verdict.CommitUnknown, "upstream %s did not answer the commit: %v", t.choice.Member().ID, r.Err))
	case r.Reply.Err == nil && t.wrote:
		s.rememberWrite(t.route.Service, r.Reply.Position)
	}
	return r.Reply
}

// commitEmpty commits a transaction that has sent no statement yet.
func (s *Session) commitEmpty(t *transaction, st statement.Statement, arrival time.Duration) statement.Reply {
	reqs := s.requirements(t.route, t.arrival, !t.readOnly, true)
	reqs.Deadline = arrival + t.route.Timeout
	choice, err := t.group.Choose(reqs, nil)
	if err != nil {
		return refused(err)
	}
	t.choice = choice
	s.tx = t
	reply, result := s.openTransaction(operation{Statement: st}, reqs, arrival)
	s.tx = nil
	t.rollBack() // no effect if the commit has ended the transaction
	if result != answered {
		return refused(asRefusal(notRunError(reply.Err), retryAfterFailure))
	}
	return reply
}
