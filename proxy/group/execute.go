package group

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// answerSlack is the part of a statement's time that is kept for the answer
	// to reach the caller (3 ms one way).
	answerSlack = 5 * time.Millisecond
	// rollbackTimeout bounds the rollback of an abandoned transaction; a
	// connection that takes longer is closed, which also rolls back.
	rollbackTimeout = 200 * time.Millisecond
	// retryUnanswered is the time to come back to a member that does not answer: it
	// is the last choice for that long.
	retryUnanswered = 500 * time.Millisecond
)

// Execute runs a job on the chosen member, outside of a transaction.
func (g *Group) Execute(c Choice, j upstream.Job) upstream.Result {
	sentAt := g.cfg.Clock()
	g.asked(c.Upstream)
	r := g.executeSomewhere(c, j)
	g.learn(c.Upstream, j, r, sentAt)
	return r
}

func (g *Group) executeSomewhere(c Choice, j upstream.Job) upstream.Result {
	for {
		way := g.way(c)
		if way == nil {
			return g.executeHere(c.Upstream, c.Primary, j)
		}
		if r, reached := way.Execute(j); reached {
			return r
		}
	}
}

// Open opens a transaction on the chosen member and runs its first statement.
// The transaction is nil unless it was begun.
func (g *Group) Open(c Choice, begin statement.Statement, j upstream.Job) (upstream.Tx, upstream.OpenResult) {
	sentAt := g.cfg.Clock()
	g.asked(c.Upstream)
	tx, o := g.openSomewhere(c, begin, j)
	if o.Begin.Err == nil {
		g.answered(c.Upstream)
	}
	if tx == nil {
		return nil, o
	}
	g.learn(c.Upstream, j, o.First, sentAt)
	return &observedTx{g, c.Upstream, tx}, o
}

func (g *Group) openSomewhere(c Choice, begin statement.Statement, j upstream.Job) (upstream.Tx, upstream.OpenResult) {
	for {
		way := g.way(c)
		if way == nil {
			return g.openHere(c.Upstream, c.Primary, begin, j)
		}
		if tx, o, reached := way.Open(begin, j); reached {
			return tx, o
		}
	}
}

// asked takes in that a request to a member begins.
func (g *Group) asked(u *upstream.Upstream) {
	if m := u.Member(); m.FailureDomain != g.cfg.FailureDomain {
		g.cfg.Reachability.Asked(m.ID)
	}
}

// answered takes in that a member has answered.
func (g *Group) answered(u *upstream.Upstream) {
	if u.Member().FailureDomain != g.cfg.FailureDomain {
		g.cfg.Reachability.Answered()
	}
}

// learn takes in what an answer shows of the member and its log.
func (g *Group) learn(u *upstream.Upstream, j upstream.Job, r upstream.Result, sentAt time.Duration) {
	if r.Err != nil {
		g.learnFailure(u, r.Err)
		return
	}
	g.answered(u)
	if _, failed := statement.ReasonOf(r.Reply.Err); failed {
		return
	}
	g.ObservePosition(u, r.Reply.Position, sentAt)
	if j.CommitsWrites {
		g.WriteAcknowledged(u, r.Reply.Position, sentAt)
	}
}

// learnFailure takes in that a member did not answer, here or at its gateway, or
// that a gateway doubts the primary: the record is then read more often until it
// is known who leads.
func (g *Group) learnFailure(u *upstream.Upstream, err error) {
	var link *statement.ConnError
	var v *verdict.Error
	isVerdict := errors.As(err, &v)
	if errors.As(err, &link) || isVerdict && v.Code == verdict.CutOff {
		u.RecordFailure()
	}
	if isVerdict && v.Code == verdict.NoPrimary {
		g.mu.Lock()
		g.doubtedUntil = g.cfg.Clock() + takeoverTime
		g.mu.Unlock()
	}
}

// executeHere runs a job on a connection of this instance.
func (g *Group) executeHere(u *upstream.Upstream, primary bool, j upstream.Job) upstream.Result {
	ticket, conn, err := g.connect(u, j)
	if err != nil {
		return upstream.NotSent(err)
	}
	left := j.Deadline - g.cfg.Clock() - answerSlack
	if j.Limit > 0 {
		left = min(left, j.Limit)
	}
	reply, err := g.exec(primary, conn, j.Statement, left)
	u.Release(ticket, err == nil)
	if err != nil {
		u.Discard(conn)
		g.RequestFailed(u, j.CommitsWrites)
		return upstream.Unanswered(err)
	}
	u.Return(conn)
	return upstream.Result{Reply: reply}
}

// connect waits for the right to run a statement on a member, and for a
// connection that has the session's values and the prepared statement. MinPosition an
// error nothing is held and nothing has run.
func (g *Group) connect(u *upstream.Upstream, j upstream.Job) (ticket uint64, conn *upstream.Conn, err error) {
	if ticket, err = u.Acquire(j.Caller, j.Rank, j.Deadline); err != nil {
		if j.OnlyCandidate && verdict.As(err).IsOverload() {
			g.noRoom(u)
		}
		return 0, nil, err
	}
	left := j.Deadline - g.cfg.Clock() - answerSlack
	if conn, err = u.Checkout(j.Values, left); err != nil {
		u.Release(ticket, false)
		var link *statement.ConnError
		if errors.As(err, &link) {
			g.RequestFailed(u, false)
		}
		return 0, nil, err
	}
	if err = conn.SyncSession(j.Values, j.Prepared, false, left); err != nil {
		u.Discard(conn)
		u.Release(ticket, false)
		g.RequestFailed(u, false)
		return 0, nil, err
	}
	return ticket, conn, nil
}

// noRoom takes in that a member refused a read for which all others are behind.
func (g *Group) noRoom(u *upstream.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, lead := g.leadLocked(); lead != u {
		return
	}
	now := g.cfg.Clock()
	g.handover.RecordRefusal(now)
	if g.handover.Due(now, g.suspicion.changedAt) {
		g.poke()
	}
}

// exec runs a statement on a connection, watching the silence of a primary.
func (g *Group) exec(primary bool, conn *upstream.Conn, st statement.Statement, timeout time.Duration) (statement.Reply, error) {
	if !primary {
		return conn.Exec(st, timeout)
	}
	g.StatementStarted()
	reply, err := conn.Exec(st, timeout)
	g.StatementFinished(err == nil)
	return reply, err
}

// openHere opens a transaction on a connection of this instance.
func (g *Group) openHere(u *upstream.Upstream, primary bool, begin statement.Statement, j upstream.Job) (upstream.Tx, upstream.OpenResult) {
	first := j
	first.Prepared = nil // prepared after BEGIN, with the values of that time
	ticket, conn, err := g.connect(u, first)
	if err != nil {
		return nil, upstream.OpenResult{Begin: upstream.NotSent(err)}
	}
	reply, err := g.exec(primary, conn, begin, j.Deadline-g.cfg.Clock()-answerSlack)
	if err != nil {
		u.Release(ticket, false)
		u.Discard(conn)
		g.RequestFailed(u, false)
		return nil, upstream.OpenResult{Begin: upstream.Unanswered(err)}
	}
	if reply.Err != nil {
		u.Release(ticket, false)
		if reply.State == statement.Idle {
			u.Return(conn)
		} else {
			u.Discard(conn)
		}
		return nil, upstream.OpenResult{Begin: upstream.Result{Reply: reply}}
	}
	tx := &localTx{g: g, upstream: u, primary: primary, conn: conn}
	return tx, upstream.OpenResult{Begin: upstream.Result{Reply: reply}, First: tx.run(j, ticket)}
}

// localTx is a transaction on a connection of this instance.
type localTx struct {
	g        *Group
	upstream *upstream.Upstream
	primary  bool
	conn     *upstream.Conn // nil: the transaction has ended
}

// Run implements upstream.Tx.
func (t *localTx) Run(j upstream.Job) upstream.Result {
	if t.conn == nil {
		return upstream.NotSent(verdict.New(verdict.TransactionRolledBack, "the transaction has ended"))
	}
	ticket, err := t.upstream.Acquire(j.Caller, j.Rank, j.Deadline)
	if err != nil {
		return upstream.NotSent(err)
	}
	return t.run(j, ticket)
}

func (t *localTx) run(j upstream.Job, ticket uint64) upstream.Result {
	left := j.Deadline - t.g.cfg.Clock() - answerSlack
	if j.Statement.Kind != statement.Commit {
		if err := t.conn.SyncSession(j.Values, j.Prepared, true, left); err != nil {
			t.upstream.Release(ticket, false)
			t.drop()
			return upstream.NotSent(connectionLost(err))
		}
	}
	reply, err := t.g.exec(t.primary, t.conn, j.Statement, left)
	t.upstream.Release(ticket, err == nil)
	if err != nil {
		t.drop()
		t.g.RequestFailed(t.upstream, j.CommitsWrites)
		return upstream.Result{Err: connectionLost(err), Sent: true}
	}
	if j.Statement.Kind == statement.Commit && reply.State == statement.Idle {
		t.upstream.Return(t.conn)
		t.conn = nil
	}
	return upstream.Result{Reply: reply}
}

func connectionLost(err error) error {
	return verdict.New(verdict.TransactionRolledBack, "the connection of the transaction was lost: %v", err)
}

// Abandon implements upstream.Tx.
func (t *localTx) Abandon() {
	conn := t.conn
	t.conn = nil
	if conn == nil {
		return
	}
	reply, err := conn.Exec(statement.Statement{Kind: statement.Rollback}, rollbackTimeout)
	if err != nil || reply.Err != nil || reply.State != statement.Idle {
		t.upstream.Discard(conn)
		return
	}
	t.upstream.Return(conn)
}

// drop closes the connection, whose state is not known.
func (t *localTx) drop() {
	t.upstream.Discard(t.conn)
	t.conn = nil
}

// observedTx lets a group learn from the answers to a transaction's statements.
type observedTx struct {
	g        *Group
	upstream *upstream.Upstream
	upstream.Tx
}

// Run implements upstream.Tx.
func (t *observedTx) Run(j upstream.Job) upstream.Result {
	sentAt := t.g.cfg.Clock()
	t.g.asked(t.upstream)
	r := t.Tx.Run(j)
	t.g.learn(t.upstream, j, r, sentAt)
	return r
}

// errNotHere says that this instance does not know a member.
func errNotHere(member string) error {
	return verdict.New(verdict.CutOff, "member %s is not known here", member)
}

// ExecuteFor runs a job of another instance on a member. known is false if the
// member is not known here.
func (g *Group) ExecuteFor(member string, primary bool, j upstream.Job) (r upstream.Result, known bool) {
	u, known, err := g.forPeer(member, primary)
	if err != nil {
		return upstream.NotSent(err), known
	}
	sentAt := g.cfg.Clock()
	r = g.executeHere(u, primary, j)
	g.learn(u, j, r, sentAt)
	g.logForPeer(member, j, r)
	return r, true
}

// OpenFor opens a transaction of another instance on a member.
func (g *Group) OpenFor(member string, primary bool, begin statement.Statement, j upstream.Job) (tx upstream.Tx, o upstream.OpenResult, known bool) {
	u, known, err := g.forPeer(member, primary)
	if err != nil {
		return nil, upstream.OpenResult{Begin: upstream.NotSent(err)}, known
	}
	sentAt := g.cfg.Clock()
	tx, o = g.openHere(u, primary, begin, j)
	if tx == nil {
		g.logForPeer(member, j, o.Begin)
		return nil, o, true
	}
	g.learn(u, j, o.First, sentAt)
	g.logForPeer(member, j, o.First)
	return &observedTx{g, u, tx}, o, true
}

// logForPeer logs a job of another instance that has no answer.
func (g *Group) logForPeer(member string, j upstream.Job, r upstream.Result) {
	if r.Err == nil {
		return
	}
	g.cfg.Log.WithFields(logrus.Fields{"event": "gateway_job_failed", "request": j.Statement.ID, "session": j.Caller, "upstream": member,
		"rank": j.Rank.String(), "sent": r.Sent, "error": r.Err.Error()}).Debug("statement of another instance was not answered")
}

// forPeer returns the upstream for work of another instance, or why there is none.
func (g *Group) forPeer(member string, primary bool) (u *upstream.Upstream, known bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[member]
	if m == nil {
		return nil, false, errNotHere(member)
	}
	if primary && g.suspicion.confirmed && member == g.tracker.Leader().Member {
		return nil, true, verdict.New(verdict.NoPrimary, "the primary of service %s does not answer", g.cfg.Service).WithRetryAfter(g.comeBackLocked())
	}
	if !primary && m.Probing() {
		return nil, true, verdict.New(verdict.CutOff, "member %s does not answer", member).WithRetryAfter(retryUnanswered)
	}
	return m.Upstream, true, nil
}

// LoadOf returns the expected wait of a statement of the rank on a member.
func (g *Group) LoadOf(member string, r schedule.Rank) time.Duration {
	g.mu.Lock()
	m := g.members[member]
	g.mu.Unlock()
	if m == nil {
		return 0
	}
	wait, _, _ := m.Load(r)
	return wait
}
