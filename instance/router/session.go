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

// Transaction status as in ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// session is one caller's session. Its methods are called by one goroutine.
type session struct {
	entry   *Router
	service string
	name    string // for fair queuing, if the caller gives no name
	id      string
	count   uint64
	at      position.Position
	tx      *openTransaction
	// lost is set while the caller has not yet ended a transaction that
	// papayarail had to roll back.
	lost bool
}

// openTransaction is pinned to one upstream at one owner.
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
	case s.lost:
		return statusFailed
	case s.tx != nil:
		return s.tx.status
	default:
		return statusIdle
	}
}

// Close implements caller.Session: an open transaction is rolled back.
func (s *session) Close() {
	s.entry.sessions.Add(-1)
	if s.tx != nil {
		go s.entry.gateway.EndTransaction(s.tx.owner, s.tx.upstream, s.tx.name)
	}
}

// Exchange implements caller.Session.
func (s *session) Exchange(ctx context.Context, x *caller.Exchange) (*caller.Reply, error) {
	_, doc := s.entry.view.Document()
	service, found := s.entry.view.Service(s.service)
	if !found {
		return nil, verdict.New(verdict.UnknownService, "service %q is no longer configured", s.service)
	}
	o, err := parseOptions(x.Settings, doc, service)
	if err != nil {
		return nil, err
	}
	if o.caller == "" {
		o.caller = s.name
	}
	w := workOf(x.Statements)
	if s.lost {
		return s.endLost(x, w)
	}
	ctx, cancel := context.WithTimeout(ctx, o.deadline)
	defer cancel()
	began := s.entry.now()
	reply, err := s.serve(ctx, service, x, o, w, began+o.deadline)
	s.entry.metrics.request(o.rank, w, err, s.entry.now()-began)
	return reply, err
}

func (s *session) serve(ctx context.Context, service *fleet.Service, x *caller.Exchange, o options, w work, deadline time.Duration) (*caller.Reply, error) {
	if s.tx != nil {
		return s.continueTransaction(ctx, x, o, w, deadline)
	}
	s.entry.countRequest(s.service)
	for attempt := 1; ; attempt++ {
		reply, err := s.attempt(ctx, service, x, o, w, deadline)
		if err == nil {
			return reply, nil
		}
		if err.IsOverload() {
			return nil, err
		}
		again, delay := s.entry.retry(s.service, err, w.repeatable(), attempt, deadline)
		if !again || !pause(ctx, delay) {
			return nil, err
		}
	}
}

// attempt tries the upstreams that routing offers, one after the other.
func (s *session) attempt(ctx context.Context, service *fleet.Service, x *caller.Exchange, o options, w work, deadline time.Duration) (*caller.Reply, *verdict.Error) {
	v := s.entry.routeView(service, o.rank)
	d := route.Choose(s.routeRequest(o, w), v)
	for d.Reject == nil {
		reply, err := s.send(ctx, service, x, o, w, d, deadline)
		if err == nil {
			return reply, nil
		}
		s.entry.observeFailure(string(d.Upstream), o, err, ctx.Err() == nil)
		d = route.Next(d, err)
	}
	return nil, d.Reject
}

func (s *session) routeRequest(o options, w work) route.Request {
	r := route.Request{
		Class:      w.class,
		Rank:       route.Rank(o.rank),
		Token:      position.Max(s.at, o.token),
		MaxAge:     o.maxStaleness,
		TieBreaker: s.entry.spread(),
	}
	switch {
	case o.maxStaleness > 0:
		r.Mode = route.Stale
	case o.session:
		r.Mode = route.Session
	}
	return r
}

// send runs the exchange on the chosen upstream.
func (s *session) send(ctx context.Context, service *fleet.Service, x *caller.Exchange, o options, w work, d route.Decision, deadline time.Duration) (*caller.Reply, *verdict.Error) {
	upstream := string(d.Upstream)
	db, _ := service.Database(upstream)
	owner, found := s.entry.view.Owner(db)
	if !found {
		return nil, verdict.New(verdict.CutOff, "no live instance owns upstream %q", upstream).WithRetryAfter(unreachableFor)
	}
	if err := s.entry.admit(upstream, o.caller, o.rank); err != nil {
		return nil, asVerdict(err)
	}
	r := s.request(x, o, w, upstream, deadline)
	r.Term = d.Term
	r.Proof = proofs[d.Proof]
	r.MinPosition = d.MinPosition
	r.MaxAge = d.MaxAge
	if w.begins {
		r.Tx = s.id + "/" + strconv.FormatUint(s.count, 10)
		r.Begins = true
		r.ReadOnly = w.class == route.Read
	}
	answer, err := s.entry.gateway.Exchange(ctx, owner, r)
	if err != nil {
		return nil, asVerdict(err)
	}
	s.entry.observe(upstream, answer)
	if answer.Refused != nil {
		return nil, answer.Refused
	}
	s.entry.metrics.served(w, d.Proof != route.PrimaryConfirmed)
	if answer.TxStatus != statusIdle {
		s.tx = &openTransaction{
			name:     r.Tx,
			owner:    owner,
			upstream: upstream,
			replica:  d.Proof != route.PrimaryConfirmed,
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

func (s *session) request(x *caller.Exchange, o options, w work, upstream string, deadline time.Duration) *peer.ExchangeRequest {
	s.count++
	r := &peer.ExchangeRequest{
		ID:       s.id + "#" + strconv.FormatUint(s.count, 10),
		Service:  s.service,
		Upstream: upstream,
		Rank:     o.rank,
		Caller:   o.caller,
		Deadline: deadline - s.entry.now(),
		Executes: len(x.Statements) > 0,
		Writes:   w.class != route.Read,
		Commits:  w.commits,
		Prepared: x.RequiredStatements,
		Messages: x.Messages,
	}
	if w.keyed() {
		r.RequestKey = o.key
	}
	return r
}

func (s *session) reply(a *peer.ExchangeAnswer) *caller.Reply {
	out := &caller.Reply{Messages: a.Messages, TxStatus: a.TxStatus}
	if moved := position.Max(s.at, a.Position); moved != s.at {
		s.at = moved
		token := position.Token{Service: s.service, Position: moved}
		out.Parameters = map[string]string{ParamPosition: token.String()}
	}
	return out
}

// continueTransaction sends the exchange to the pinned connection.
func (s *session) continueTransaction(ctx context.Context, x *caller.Exchange, o options, w work, deadline time.Duration) (*caller.Reply, error) {
	r := s.request(x, o, w, s.tx.upstream, deadline)
	r.Tx = s.tx.name
	r.ReadOnly = s.tx.readOnly
	r.Proof = peer.ProofNone
	if !s.tx.replica && (w.commits || w.reads && !o.session) {
		r.Proof = peer.ProofConfirm
	}
	answer, err := s.entry.gateway.Exchange(ctx, s.tx.owner, r)
	if err != nil {
		return nil, s.transactionFailed(w, asVerdict(err))
	}
	s.entry.observe(s.tx.upstream, answer)
	if answer.Refused != nil {
		return nil, answer.Refused
	}
	s.entry.metrics.served(w, s.tx.replica)
	s.tx.status = answer.TxStatus
	if answer.TxStatus == statusIdle {
		s.tx = nil
	}
	return s.reply(answer), nil
}

// transactionFailed ends the transaction unless the exchange was refused before
// it ran. After a commit of unknown outcome the session is idle again; otherwise
// the caller has to end the failed transaction, as PostgreSQL demands.
func (s *session) transactionFailed(w work, err *verdict.Error) *verdict.Error {
	if err.Verdict == verdict.NotRun && err.Code != verdict.TransactionRolledBack && err.Code != verdict.CutOff {
		return err
	}
	tx := s.tx
	s.tx = nil
	s.lost = !w.commits
	go s.entry.gateway.EndTransaction(tx.owner, tx.upstream, tx.name)
	return err
}

func (e *Router) spread() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Uint32()
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
