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
	name      string
	owner     view.Peer
	upstream  string
	onReplica bool // begun on a replica
	readOnly  bool // declared so by the caller
	status    byte
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
func (s *session) Exchange(ctx context.Context, exchange *caller.Exchange) (*caller.Reply, error) {
	_, doc := s.router.view.Document()
	service, found := s.router.view.Service(s.service)
	if !found {
		return nil, verdict.New(verdict.UnknownService, "service %q is no longer configured", s.service)
	}
	opts, err := parseOptions(exchange.Parameters, doc, service)
	if err != nil {
		return nil, err
	}
	if opts.caller == "" {
		opts.caller = s.name
	}
	summary := summarize(exchange.Statements)
	if s.rolledBack {
		return s.answerRolledBack(exchange, summary)
	}
	ctx, cancel := context.WithTimeout(ctx, opts.timeout)
	defer cancel()
	startedAt := s.router.now()
	reply, err := s.serve(ctx, service, exchange, opts, summary, startedAt+opts.timeout)
	s.router.metrics.request(opts.rank, summary, err, s.router.now()-startedAt)
	return reply, err
}

// serve runs the exchange in the open transaction or, if there is none, on a
// suitable upstream, with retries until the deadline. deadline is a time of the
// router's clock, here and below.
func (s *session) serve(ctx context.Context, service *fleet.Service, exchange *caller.Exchange, opts options, summary statementSummary, deadline time.Duration) (*caller.Reply, error) {
	if s.tx != nil {
		return s.continueTransaction(ctx, exchange, opts, summary, deadline)
	}
	s.router.countRequest(s.service)
	for attempt := 1; ; attempt++ {
		reply, err := s.attempt(ctx, service, exchange, opts, summary, deadline)
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
func (s *session) attempt(ctx context.Context, service *fleet.Service, exchange *caller.Exchange, opts options, summary statementSummary, deadline time.Duration) (*caller.Reply, *verdict.Error) {
	v := s.router.routeView(service, opts.rank)
	decision := route.Choose(s.routeRequest(opts, summary), v)
	for decision.Reject == nil {
		reply, err := s.send(ctx, service, exchange, opts, summary, decision, deadline)
		if err == nil {
			return reply, nil
		}
		s.router.observeFailure(string(decision.Upstream), opts, err, ctx.Err() == nil)
		decision = route.Next(decision, err)
	}
	return nil, decision.Reject
}

// routeRequest returns what core/route needs to know about the exchange.
func (s *session) routeRequest(opts options, summary statementSummary) route.Request {
	r := route.Request{
		Class:      summary.class,
		Rank:       route.Rank(opts.rank),
		Token:      position.Max(s.position, opts.minPosition),
		MaxAge:     opts.maxStaleness,
		TieBreaker: s.router.tieBreaker(),
	}
	switch {
	case opts.maxStaleness > 0:
		r.Consistency = route.Stale
	case opts.sessionConsistency:
		r.Consistency = route.Session
	}
	return r
}

// send runs the exchange on the upstream of the routing decision.
func (s *session) send(ctx context.Context, service *fleet.Service, exchange *caller.Exchange, opts options, summary statementSummary, decision route.Decision, deadline time.Duration) (*caller.Reply, *verdict.Error) {
	upstream := string(decision.Upstream)
	db, _ := service.Database(upstream)
	owner, found := s.router.view.Owner(db)
	if !found {
		return nil, verdict.New(verdict.CutOff, "no live instance owns upstream %q", upstream).WithRetryAfter(unreachableFor)
	}
	if err := s.router.admit(upstream, opts.caller, opts.rank); err != nil {
		return nil, asVerdict(err)
	}
	r := s.request(exchange, opts, summary, upstream, deadline)
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
			name:      r.Tx,
			owner:     owner,
			upstream:  upstream,
			onReplica: decision.Proof != route.PrimaryConfirmed,
			readOnly:  r.ReadOnly,
			status:    answer.TxStatus,
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

// request returns the part of a request to an owner that does not depend on the
// routing decision. It has a new ID.
func (s *session) request(exchange *caller.Exchange, opts options, summary statementSummary, upstream string, deadline time.Duration) *peer.ExchangeRequest {
	s.exchanges++
	r := &peer.ExchangeRequest{
		ID:       s.id + "#" + strconv.FormatUint(s.exchanges, 10),
		Service:  s.service,
		Upstream: upstream,
		Rank:     opts.rank,
		Caller:   opts.caller,
		Deadline: deadline - s.router.now(),
		Executes: len(exchange.Statements) > 0,
		Writes:   summary.class != route.Read,
		Commits:  summary.commits,
		Prepared: exchange.RequiredStatements,
		Messages: exchange.Messages,
	}
	if summary.keyed() {
		r.RequestKey = opts.requestKey
	}
	return r
}

// reply converts the answer of an owner. It reports the log position to the caller if
// that has grown.
func (s *session) reply(answer *peer.ExchangeAnswer) *caller.Reply {
	out := &caller.Reply{Messages: answer.Messages, TxStatus: answer.TxStatus}
	if latest := position.Max(s.position, answer.Position); latest != s.position {
		s.position = latest
		token := position.Token{Service: s.service, Position: latest}
		out.Parameters = map[string]string{ParamPosition: token.String()}
	}
	return out
}

// continueTransaction runs the exchange in the open transaction.
func (s *session) continueTransaction(ctx context.Context, exchange *caller.Exchange, opts options, summary statementSummary, deadline time.Duration) (*caller.Reply, error) {
	r := s.request(exchange, opts, summary, s.tx.upstream, deadline)
	r.Tx = s.tx.name
	r.ReadOnly = s.tx.readOnly
	// On the primary, a commit needs a proof and, with strict consistency, a read. A
	// write needs none, because it is confirmed with its commit.
	r.Proof = peer.ProofNone
	if !s.tx.onReplica && (summary.commits || summary.reads && !opts.sessionConsistency) {
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
	s.router.metrics.served(summary, s.tx.onReplica)
	s.tx.status = answer.TxStatus
	if answer.TxStatus == statusIdle {
		s.tx = nil
	}
	return s.reply(answer), nil
}

// transactionFailed forgets the transaction after err and ends it at its owner,
// unless the exchange was refused before it ran and the transaction is still open.
// After a failed commit the session is idle; otherwise the caller has to end the
// failed transaction, as with PostgreSQL.
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

// tieBreaker returns a random number that decides between equally good upstreams.
func (rt *Router) tieBreaker() uint32 {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.random.Uint32()
}

// sleep waits for d and reports whether ctx has not ended before.
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
