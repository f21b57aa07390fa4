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
	tx     upstream.Tx // nil before the first statement and after the end
	wrote  bool
	lost   error // why it was rolled back before its caller ended it
}

// abandon rolls back and gives the connection back.
func (t *transaction) abandon() {
	if t.tx != nil {
		t.tx.Abandon()
		t.tx = nil
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
		if reason.HasNoEffect() {
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
	if t.tx == nil {
		return s.firstStatement(w, arrival)
	}
	t.wrote = t.wrote || w.writes
	deadline := arrival + t.route.Timeout
	for {
		r := t.tx.Run(s.job(w, schedule.Urgent, deadline))
		s.gateway = r.Gateway
		if r.Err != nil {
			return refused(r.Err)
		}
		// The upstream's queue was full and the transaction is still open.
		reason, failed := statement.ReasonOf(r.Reply.Err)
		if !failed || reason != statement.Busy || r.Reply.State != statement.InTransaction || s.env.Clock()+busyPause >= deadline {
			return r.Reply
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
		reply, result := s.open(w, need)
		if result != answered {
			t.abandon()
		}
		return reply, result
	})
}

// open begins the transaction on the chosen upstream and runs its first
// statement.
func (s *Session) open(w work, need group.Requirements) (statement.Reply, outcome) {
	t := s.tx
	begin := statement.Statement{Kind: statement.Begin, After: t.choice.MinPosition}
	if t.readOnly {
		begin.Kind = statement.BeginReadOnly
	}
	t.wrote = t.wrote || w.writes
	j := s.job(w, need.Rank, need.Deadline)
	j.OnlyCandidate = t.choice.OnlyCandidate
	tx, o := t.group.Open(t.choice, begin, j)
	s.gateway = cmp.Or(o.First.Gateway, o.Begin.Gateway)
	if !o.Begun() {
		if reason, ok := statement.ReasonOf(o.Begin.Reply.Err); ok && reason == statement.Behind {
			t.choice.ObserveLag(t.choice.MinPositionAt, false)
		}
		return refused(cmp.Or(o.Begin.Err, o.Begin.Reply.Err)), notRun
	}
	t.tx = tx
	// Without its COMMIT nothing of the transaction can be kept, and its caller
	// has seen nothing of it: it may begin elsewhere. An empty transaction has
	// sent its COMMIT already.
	if first := o.First; first.Err != nil {
		if w.Kind == statement.Commit && first.Sent {
			return refused(first.Err), answered
		}
		return refused(first.Err), notRun
	}
	if reason, failed := statement.ReasonOf(o.First.Reply.Err); failed && reason.HasNoEffect() && w.Kind != statement.Commit {
		return o.First.Reply, notRun
	}
	return o.First.Reply, answered
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
	if t.tx == nil {
		return s.commitEmpty(t, st, arrival)
	}
	j := s.job(work{Statement: st}, schedule.Urgent, arrival+t.route.Timeout)
	j.CommitsWrites = t.wrote
	r := t.tx.Run(j)
	s.gateway = r.Gateway
	t.abandon() // unless the commit has ended it
	switch {
	case r.Err != nil && !r.Sent:
		return refused(r.Err)
	case r.Err != nil && !t.wrote:
		return refused(verdict.New(verdict.TransactionRolledBack, "the commit of a transaction without writes was not answered: %v", r.Err))
	case r.Err != nil:
		return refused(verdict.New(verdict.CommitUnknown, "upstream %s did not answer the commit: %v", t.choice.Member().ID, r.Err))
	case r.Reply.Err == nil && t.wrote:
		s.wrote(t.route.Service, r.Reply.Position)
	}
	return r.Reply
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
	reply, result := s.open(work{Statement: st}, need)
	s.tx = nil
	t.abandon() // unless the commit has ended it
	if result != answered {
		return refused(asRefusal(notRunError(reply.Err), retryAfterFailure))
	}
	return reply
}
