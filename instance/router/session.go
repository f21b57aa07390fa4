package router

import (
	"context"
	"strconv"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/view"
	"github.com/papayarail/papayarail/wire/caller"
)

// Transaction status codes of PostgreSQL's ReadyForQuery message.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// session serves one caller connection. Its methods must not be called concurrently.
type session struct {
	router    *Router
	service   string
	name      string // for fair queuing if the caller sets no papayarail.caller
	id        string
	exchanges uint64            // sent so far; makes IDs of exchanges unique
	position  position.Position // latest position that an answer reported
	tx        *openTransaction
	// rolledBack is set after the proxy has rolled back a transaction, until the
	// caller ends that transaction.
	rolledBack bool
}

// openTransaction is a transaction that is pinned to one upstream and its owner.
type openTransaction struct {
	name     string
	owner    view.Peer
	upstream string
	replica  bool
	readOnly bool // declared so by the caller
	status   byte
}

// TxStatus implements caller.Session.
func (s *session) TxStatus() byte {
	switch {
	case s.rolledBack:
		return statusFailed
	case s.tx != nil:
		return s.tx.status
	default:
		return statusIdle
	}
}

// Close implements caller.Session: an open transaction is rolled back.
func (s *session) Close() {
	s.router.sessions.Add(-1)
	if s.tx != nil {
		go s.router.gateway.EndTransaction(s.tx.owner, s.tx.upstream, s.tx.name)
	}
}

// Exchange implements caller.Session. Errors are *verdict.Error.
func (s *session) Exchange(ctx context.Context, x *caller.Exchange) (*caller.Reply, error) {
	_, doc := s.router.view.Document()
	service, found := s.router.view.Service(s.service)
	if !found {
		return nil, verdict.New(verdict.UnknownService, "service %q is no longer configured", s.service)
	}
	o, err := parseOptions(x.Parameters, doc, service)
	if err != nil {
		return nil, err
	}
	if o.caller == "" {
		o.caller = s.name
	}
	summary := summarize(x.Statements)
	if s.rolledBack {
		return s.answerRolledBack(x, summary)
	}
	ctx, cancel := context.WithTimeout(ctx, o.deadline)
	defer cancel()
	startedAt := s.router.now()
	reply, err := s.serve(ctx, service, x, o, summary, startedAt+o.deadline)
	s.router.metrics.request(o.rank, summary, err, s.router.now()-startedAt)
	return reply, err
}

// serve runs the exchange in the open transaction or, if there is none, on a
// suitable upstream, with retries until the deadline. deadline is a time of the
// router's clock, here and below.
func (s *session) serve(ctx context.Context, service *fleet.Service, x *caller.Exchange, o options, summary statementSummary, deadline time.Duration) (*caller.Reply, error) {
	if s.tx != nil {
		return s.continueTransaction(ctx, x, o, summary, deadline)
	}
	s.router.countRequest(s.service)
	for attempt := 1; ; attempt++ {
		reply, err := s.attempt(ctx, service, x, o, summary, deadline)
		if err == nil {
			return reply, nil
		}
		if err.IsOverload() {
			return nil, err
		}
		again, delay := s.router.decideRetry(s.service, err, summary.repeatable(), attempt, deadline)
		if !again || !sleep(ctx, delay) {
			return nil, err
		}
	}
}

// attempt tries the upstreams that routing offers, in order, until one answers.
func (s *session) attempt(ctx context.Context, service *fleet.Service, x *caller.Exchange, o options, summary statementSummary, deadline time.Duration) (*caller.Reply, *verdict.Error) {
	v := s.router.routeView(service, o.rank)
	decision := route.Choose(s.routeRequest(o, summary), v)
	for decision.Reject == nil {
		reply, err := s.send(ctx, service, x, o, summary, decision, deadline)
		if err == nil {
			return reply, nil
		}
		s.router.observeFailure(string(decision.Upstream), o, err, ctx.Err() == nil)
		decision = route.Next(decision, err)
	}
	return nil, decision.Reject
}

func (s *session) routeRequest(o options, summary statementSummary) route.Request {
	r := route.Request{
		Class:      summary.class,
		Rank:       route.Rank(o.rank),
		Token:      position.Max(s.position, o.minPosition),
		MaxAge:     o.maxStaleness,
		TieBreaker: s.router.tieBreaker(),
	}
	switch {
	case o.maxStaleness > 0:
		r.Consistency = route.Stale
	case o.sessionConsistency:
		r.Consistency = route.Session
	}
	return r
}

// send runs the exchange on the upstream of the routing decision.
func (s *session) send(ctx context.Context, service *fleet.Service, x *caller.Exchange, o options, summary statementSummary, decision route.Decision, deadline time.Duration) (*caller.Reply, *verdict.Error) {
	upstream := string(decision.Upstream)
	db, _ := service.Database(upstream)
	owner, found := s.router.view.Owner(db)
	if !found {
		return nil, verdict.New(verdict.CutOff, "no live instance owns upstream %q", upstream).WithRetryAfter(unreachableFor)
	}
	if err := s.router.admit(upstream, o.caller, o.rank); err != nil {
		return nil, asVerdict(err)
	}
	r := s.request(x, o, summary, upstream, deadline)
	r.Term = decision.Term
	r.Proof = proofs[decision.Proof]
	r.MinPosition = decision.MinPosition
	r.MaxAge = decision.MaxAge
	if summary.begins {
		r.Tx = s.id + "/" + strconv.FormatUint(s.exchanges, 10)
		r.Begins = true
		r.ReadOnly = summary.class == route.Read
	}
	answer, err := s.router.gateway.Exchange(ctx, owner, r)
	if err != nil {
		return nil, asVerdict(err)
	}
	s.router.observe(upstream, answer)
	if answer.Refused != nil {
		return nil, answer.Refused
	}
	s.router.metrics.served(summary, decision.Proof != route.PrimaryConfirmed)
	if answer.TxStatus != statusIdle {
		s.tx = &openTransaction{
			name:     r.Tx,
			owner:    owner,
			upstream: upstream,
			replica:  decision.Proof != route.PrimaryConfirmed,
			readOnly: r.ReadOnly,
			status:   answer.TxStatus,
		}
	}
	return s.reply(answer), nil
}

var proofs = map[route.FreshnessProof]peer.FreshnessProof{
	route.PrimaryConfirmed:    peer.ProofConfirm,
	route.ReplicaAtPosition:   peer.ProofPosition,
	route.ReplicaAfterBarrier: peer.ProofBarrier,
	route.ReplicaByAge:        peer.ProofAge,
}

func (s *session) request(x *caller.Exchange, o options, summary statementSummary, upstream string, deadline time.Duration) *peer.ExchangeRequest {
	s.exchanges++
	r := &peer.ExchangeRequest{
		ID:       s.id + "#" + strconv.FormatUint(s.exchanges, 10),
		Service:  s.service,
		Upstream: upstream,
		Rank:     o.rank,
		Caller:   o.caller,
		Deadline: deadline - s.router.now(),
		Executes: len(x.Statements) > 0,
		Writes:   summary.class != route.Read,
		Commits:  summary.commits,
		Prepared: x.RequiredStatements,
		Messages: x.Messages,
	}
	if summary.keyed() {
		r.RequestKey = o.requestKey
	}
	return r
}

func (s *session) reply(a *peer.ExchangeAnswer) *caller.Reply {
	out := &caller.Reply{Messages: a.Messages, TxStatus: a.TxStatus}
	if latest := position.Max(s.position, a.Position); latest != s.position {
		s.position = latest
		token := position.Token{Service: s.service, Position: latest}
		out.Parameters = map[string]string{ParamPosition: token.String()}
	}
	return out
}

// continueTransaction runs the exchange in the open transaction.
func (s *session) continueTransaction(ctx context.Context, x *caller.Exchange, o options, summary statementSummary, deadline time.Duration) (*caller.Reply, error) {
	r := s.request(x, o, summary, s.tx.upstream, deadline)
	r.Tx = s.tx.name
	r.ReadOnly = s.tx.readOnly
	r.Proof = peer.ProofNone
	if !s.tx.replica && (summary.commits || summary.reads && !o.sessionConsistency) {
		r.Proof = peer.ProofConfirm
	}
	answer, err := s.router.gateway.Exchange(ctx, s.tx.owner, r)
	if err != nil {
		return nil, s.transactionFailed(summary, asVerdict(err))
	}
	s.router.observe(s.tx.upstream, answer)
	if answer.Refused != nil {
		return nil, answer.Refused
	}
	s.router.metrics.served(summary, s.tx.replica)
	s.tx.status = answer.TxStatus
	if answer.TxStatus == statusIdle {
		s.tx = nil
	}
	return s.reply(answer), nil
}

// transactionFailed ends the transaction after err, unless the exchange was refused
// before it ran and the transaction is still open. After a failed commit the
// session is idle; otherwise the caller has to end the failed transaction, as with
// PostgreSQL.
func (s *session) transactionFailed(summary statementSummary, err *verdict.Error) *verdict.Error {
	if err.Verdict == verdict.NotRun && err.Code != verdict.TransactionRolledBack && err.Code != verdict.CutOff {
		return err
	}
	tx := s.tx
	s.tx = nil
	s.rolledBack = !summary.commits
	go s.router.gateway.EndTransaction(tx.owner, tx.upstream, tx.name)
	return err
}

func (rt *Router) tieBreaker() uint32 {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.random.Uint32()
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
