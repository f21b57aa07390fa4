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
	// answerMargin is the part of the time until a statement's deadline that is reserved
	// for the answer to reach the caller (3 ms one way).
	answerMargin = 5 * time.Millisecond
	// rollbackTimeout limits the rollback of an abandoned transaction. When it expires
	// the connection is closed, which also rolls back.
	rollbackTimeout = 200 * time.Millisecond
	// retryAfterUnanswered is the suggested retry delay for a member that a gateway does
	// not use: other members are preferred to it for that long.
	retryAfterUnanswered = 500 * time.Millisecond
)

// Execute runs a job on the chosen member, outside of a transaction.
func (g *Group) Execute(c Choice, j upstream.Job) upstream.Result {
	sentAt := g.cfg.Clock()
	r := g.executeRouted(c, j)
	g.noteAnswer(c.Basis, c.Upstream, j, r)
	g.observeResult(c.Upstream, j, r, sentAt)
	return r
}

// executeRouted runs a job at the member's gateway, or here if it has none.
func (g *Group) executeRouted(c Choice, j upstream.Job) upstream.Result {
	for {
		gw, err := g.gatewayFor(c)
		if err != nil {
			return upstream.NotSent(err)
		}
		g.reportRequest(c.Upstream, gw)
		if gw == nil {
			return g.executeLocal(c.Upstream, c.Primary, j)
		}
		if r, reached := gw.Execute(j); reached {
			return r
		}
	}
}

// Open opens a transaction on the chosen member and runs its first statement.
// The transaction is nil if it was not opened.
func (g *Group) Open(c Choice, begin statement.Statement, j upstream.Job) (upstream.Tx, upstream.OpenResult) {
	sentAt := g.cfg.Clock()
	tx, gw, o := g.openRouted(c, begin, j)
	if o.Begin.Err == nil {
		g.reportAnswer(c.Upstream)
	} else if o.Begin.Gateway != "" {
		g.health.recordGatewayResult(c.Upstream, j, o.Begin, sentAt)
	}
	if tx == nil {
		return nil, o
	}
	g.noteAnswer(c.Basis, c.Upstream, j, o.First)
	g.observeResult(c.Upstream, j, o.First, sentAt)
	return &observedTx{g, c.Upstream, gw, tx, c.Basis}, o
}

// openRouted opens a transaction at the member's gateway, which it returns, or here if it
// has none.
func (g *Group) openRouted(c Choice, begin statement.Statement, j upstream.Job) (upstream.Tx, Gateway, upstream.OpenResult) {
	for {
		gw, err := g.gatewayFor(c)
		if err != nil {
			return nil, nil, upstream.OpenResult{Begin: upstream.NotSent(err)}
		}
		g.reportRequest(c.Upstream, gw)
		if gw == nil {
			tx, o := g.openLocal(c.Upstream, c.Primary, begin, j)
			return tx, nil, o
		}
		if tx, o, reached := gw.Open(begin, j); reached {
			return tx, gw, o
		}
	}
}

// reportRequest reports a request to Reachability if the member is in another failure
// domain, unless a gateway outside answers it, which does so itself: the silence of one
// gateway must not count as that of all its members.
func (g *Group) reportRequest(u *upstream.Upstream, gw Gateway) {
	if gw != nil && gw.Outside() {
		return
	}
	if m := u.Member(); m.FailureDomain != g.cfg.FailureDomain {
		g.cfg.Reachability.RecordRequest(m.ID)
	}
}

// reportAnswer reports an answer to Reachability if the member is in another failure
// domain.
func (g *Group) reportAnswer(u *upstream.Upstream) {
	if u.Member().FailureDomain != g.cfg.FailureDomain {
		g.cfg.Reachability.RecordAnswer()
	}
}

// observeResult updates what the group knows of a member, such as its log position, from
// the result of a job.
func (g *Group) observeResult(u *upstream.Upstream, j upstream.Job, r upstream.Result, sentAt time.Duration) {
	if r.Gateway != "" {
		g.health.recordGatewayResult(u, j, r, sentAt)
	}
	if r.Err != nil {
		g.observeFailure(r.Err)
		return
	}
	g.reportAnswer(u)
	if _, failed := statement.ReasonOf(r.Reply.Err); failed {
		return
	}
	g.ObservePosition(u, r.Reply.Position, sentAt)
	if j.CommitsWrites {
		g.WriteAcknowledged(u, r.Reply.Position, sentAt)
	}
}

// observeFailure makes the record be read more often for failoverTime if a gateway
// reports that the primary does not serve.
func (g *Group) observeFailure(err error) {
	var v *verdict.Error
	if errors.As(err, &v) && v.Code == verdict.NoPrimary {
		g.mu.Lock()
		g.gatewayDoubtUntil = g.cfg.Clock() + failoverTime
		g.mu.Unlock()
	}
}

// executeLocal runs a job on a connection of this instance.
func (g *Group) executeLocal(u *upstream.Upstream, primary bool, j upstream.Job) upstream.Result {
	ticket, conn, err := g.connect(u, j)
	if err != nil {
		return upstream.NotSent(err)
	}
	left := j.Deadline - g.cfg.Clock() - answerMargin
	if j.Limit > 0 {
		left = min(left, j.Limit)
	}
	reply, err := g.exec(u, primary, conn, j, left)
	u.Release(ticket, err == nil)
	if err != nil {
		u.Discard(conn)
		g.RequestFailed(u, j.CommitsWrites)
		return upstream.Unanswered(err)
	}
	u.Return(conn)
	return g.guardCommit(u, j, reply)
}

// guardCommit returns the result of an answered job. If the job has committed writes, it
// first waits for proof that whichever member is promoted next has them.
func (g *Group) guardCommit(u *upstream.Upstream, j upstream.Job, reply statement.Reply) upstream.Result {
	if j.CommitsWrites && reply.Err == nil {
		if err := g.confirmCommit(u, j.Statement.ID, reply.Position, j.Deadline-answerMargin); err != nil {
			return upstream.Result{Err: err, Sent: true}
		}
	}
	return upstream.Result{Reply: reply}
}

// connect waits for an execution slot of a member and for a connection with the
// session's values and the prepared statement. After an error, neither is held and
// the job has not run.
func (g *Group) connect(u *upstream.Upstream, j upstream.Job) (ticket uint64, conn *upstream.Conn, err error) {
	if ticket, err = u.Acquire(j, false); err != nil {
		if j.OnlyCandidate && verdict.FromError(err).IsOverload() {
			g.observeReadOverload(u)
		}
		return 0, nil, err
	}
	left := j.Deadline - g.cfg.Clock() - answerMargin
	if conn, err = u.Checkout(j.Workspace, j.Values, left, j.Gone); err != nil {
		u.Release(ticket, false)
		var connErr *statement.ConnError
		if errors.As(err, &connErr) {
			g.health.recordConnFailure(u)
			g.RequestFailed(u, false)
		}
		return 0, nil, err
	}
	if err = u.CheckCaller(j, upstream.StagePool); err != nil {
		u.Return(conn)
		u.Release(ticket, false)
		return 0, nil, err
	}
	if err = conn.SyncSession(j.Values, j.Prepared, false, left); err != nil {
		u.Discard(conn)
		u.Release(ticket, false)
		g.health.recordConnFailure(u)
		g.RequestFailed(u, false)
		return 0, nil, err
	}
	return ticket, conn, nil
}

// observeReadOverload records that the queue for a member refused a read for which all
// other members are behind; if it is the primary, a switchover may become due.
func (g *Group) observeReadOverload(u *upstream.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, primary := g.primaryLocked(); primary != u {
		return
	}
	now := g.cfg.Clock()
	g.switchover.RecordRefusal(now)
	if g.switchover.Due(now, g.suspicion.primaryChangedAt) {
		g.signalRun()
	}
}

// exec runs a job's statement on a connection, and records how the member answers.
func (g *Group) exec(u *upstream.Upstream, primary bool, conn *upstream.Conn, j upstream.Job, timeout time.Duration) (statement.Reply, error) {
	done := g.health.sent(u, j, timeout)
	if primary {
		g.StatementStarted()
	}
	reply, err := conn.Exec(j.Statement, timeout)
	if primary {
		g.StatementFinished(err == nil)
	}
	done(reply, err)
	return reply, err
}

// openLocal opens a transaction on a connection of this instance.
func (g *Group) openLocal(u *upstream.Upstream, primary bool, begin statement.Statement, j upstream.Job) (upstream.Tx, upstream.OpenResult) {
	first := j
	first.Prepared = nil // prepared after BEGIN, with the session's values of that time
	if err := u.BeginTransaction(j.Workspace, j.Deadline, j.Gone); err != nil {
		return nil, upstream.OpenResult{Begin: upstream.NotSent(err)}
	}
	ticket, conn, err := g.connect(u, first)
	if err != nil {
		u.EndTransaction(j.Workspace)
		return nil, upstream.OpenResult{Begin: upstream.NotSent(err)}
	}
	conn.KeepsTransaction()
	reply, err := g.exec(u, primary, conn, upstream.Job{Statement: begin, Rank: j.Rank}, j.Deadline-g.cfg.Clock()-answerMargin)
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
	conn     *upstream.Conn // nil after the transaction has ended
}

// Run implements upstream.Tx.
func (t *localTx) Run(j upstream.Job) upstream.Result {
	if t.conn == nil {
		return upstream.NotSent(verdict.New(verdict.TransactionRolledBack, "the transaction has ended"))
	}
	ticket, err := t.upstream.Acquire(j, true)
	if err != nil {
		return upstream.NotSent(err)
	}
	return t.run(j, ticket)
}

// run runs a statement in the transaction, using an acquired slot.
func (t *localTx) run(j upstream.Job, ticket uint64) upstream.Result {
	left := j.Deadline - t.g.cfg.Clock() - answerMargin
	if j.Statement.Kind != statement.Commit {
		if err := t.conn.SyncSession(j.Values, j.Prepared, true, left); err != nil {
			t.upstream.Release(ticket, false)
			t.discard()
			t.g.health.recordConnFailure(t.upstream)
			return upstream.NotSent(connectionLost(err))
		}
	}
	reply, err := t.g.exec(t.upstream, t.primary, t.conn, j, left)
	t.upstream.Release(ticket, err == nil)
	if err != nil {
		t.discard()
		t.g.RequestFailed(t.upstream, j.CommitsWrites)
		return upstream.Result{Err: connectionLost(err), Sent: true}
	}
	if j.Statement.Kind == statement.Commit && reply.State == statement.Idle {
		t.upstream.Return(t.conn)
		t.conn = nil
	}
	return t.g.guardCommit(t.upstream, j, reply)
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

// discard closes the connection, whose state is unknown.
func (t *localTx) discard() {
	t.upstream.Discard(t.conn)
	t.conn = nil
}

// observedTx passes the results of a transaction's statements to observeResult.
type observedTx struct {
	g        *Group
	upstream *upstream.Upstream
	gateway  Gateway // nil if the connection is here
	upstream.Tx
	basis Basis // of the choice; zero for another instance's transaction
}

// Run implements upstream.Tx.
func (t *observedTx) Run(j upstream.Job) upstream.Result {
	sentAt := t.g.cfg.Clock()
	t.g.reportRequest(t.upstream, t.gateway)
	r := t.Tx.Run(j)
	if j.CommitsWrites {
		t.g.noteAnswer(t.basis, t.upstream, j, r)
	}
	t.g.observeResult(t.upstream, j, r, sentAt)
	return r
}

// unknownMemberError returns the error for a member that this instance does not know.
func unknownMemberError(member string) error {
	return verdict.New(verdict.CutOff, "member %s is not known here", member)
}

// ExecuteFor runs a job of another instance, for which this one is the gateway, on a
// member. It never passes the job on to a gateway, even if another instance is the
// gateway in the view of this one: jobs cannot circulate between instances whose lists
// differ. known is false if this instance does not know the member.
func (g *Group) ExecuteFor(member string, primary bool, j upstream.Job) (r upstream.Result, known bool) {
	u, known, err := g.upstreamForPeer(member, primary, j.OnlyCandidate)
	if err != nil {
		return upstream.NotSent(err), known
	}
	sentAt := g.cfg.Clock()
	r = g.executeLocal(u, primary, j)
	g.observeResult(u, j, r, sentAt)
	g.logForPeer(member, j, r)
	return r, true
}

// OpenFor opens a transaction of another instance on a member; see ExecuteFor.
func (g *Group) OpenFor(member string, primary bool, begin statement.Statement, j upstream.Job) (tx upstream.Tx, o upstream.OpenResult, known bool) {
	u, known, err := g.upstreamForPeer(member, primary, j.OnlyCandidate)
	if err != nil {
		return nil, upstream.OpenResult{Begin: upstream.NotSent(err)}, known
	}
	sentAt := g.cfg.Clock()
	tx, o = g.openLocal(u, primary, begin, j)
	if tx == nil {
		g.logForPeer(member, j, o.Begin)
		return nil, o, true
	}
	g.observeResult(u, j, o.First, sentAt)
	g.logForPeer(member, j, o.First)
	return &observedTx{g, u, nil, tx, Basis{}}, o, true
}

// logForPeer logs a job of another instance that was not answered.
func (g *Group) logForPeer(member string, j upstream.Job, r upstream.Result) {
	if r.Err == nil {
		return
	}
	g.cfg.Log.WithFields(logrus.Fields{"event": "gateway_job_failed", "request": j.Statement.ID, "session": j.Caller, "upstream": member,
		"rank": j.Rank.String(), "sent": r.Sent, "error": r.Err.Error()}).Debug("statement of another instance was not answered")
}

// upstreamForPeer returns the upstream for a job of another instance, or an error if the
// member is unknown, does not answer, or is ejected.
func (g *Group) upstreamForPeer(member string, primary, onlyCandidate bool) (u *upstream.Upstream, known bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[member]
	if m == nil {
		return nil, false, unknownMemberError(member)
	}
	if primary && g.suspicion.confirmed && member == g.tracker.Primary().Member {
		return nil, true, verdict.New(verdict.NoPrimary, "the primary of service %s does not answer", g.cfg.Service).WithRetryAfter(g.retryAfterLocked())
	}
	if !primary && !g.health.admit(member, onlyCandidate) {
		return nil, true, verdict.New(verdict.CutOff, "member %s fails or is slow", member).WithRetryAfter(retryAfterUnanswered)
	}
	return m.Upstream, true, nil
}

// Load returns the load of the queue for a member, which a gateway reports.
func (g *Group) Load(member string) schedule.Load {
	g.mu.Lock()
	m := g.members[member]
	g.mu.Unlock()
	if m == nil {
		return schedule.Load{}
	}
	return m.QueueLoad()
}
