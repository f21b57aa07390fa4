// Package router serves the sessions of callers: it routes each exchange to an
// upstream's owner, retries what may be retried, and keeps the session's
// position. Decisions are those of core/route, core/retry and core/schedule.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/retry"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/view"
	"github.com/papayarail/papayarail/wire/caller"
)

// Gateway carries exchanges to the owners of upstreams.
type Gateway interface {
	Exchange(ctx context.Context, owner view.Peer, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error)
	EndTransaction(owner view.Peer, upstream, tx string)
}

// Router opens the sessions of one instance.
type Router struct {
	domain  string
	view    *view.View
	gateway Gateway
	now     func() time.Duration
	log     *logrus.Entry

	sessions atomic.Int64
	metrics  *counters

	mu      sync.Mutex
	random  *rand.Rand
	door    *schedule.AdmissionController
	retries map[string]*retry.Budget
	members map[string]*memberState
}

// New returns the entry of the instance in the given failure domain.
func New(domain string, v *view.View, g Gateway, now func() time.Duration, log *logrus.Entry) *Router {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Router{
		domain:  domain,
		view:    v,
		gateway: g,
		now:     now,
		log:     log,
		metrics: newCounters(),
		random:  random,
		door:    schedule.NewAdmissionController(random),
		retries: make(map[string]*retry.Budget),
		members: make(map[string]*memberState),
	}
}

// Open implements caller.SessionOpener. The caller names the service as its database.
func (e *Router) Open(_ context.Context, s caller.Startup) (caller.Session, error) {
	if _, doc := e.view.Document(); doc == nil {
		return nil, verdict.New(verdict.NoPrimary, "this instance has no configuration yet").WithRetryAfter(time.Second)
	}
	if _, found := e.view.Service(s.Database); !found {
		return nil, verdict.New(verdict.UnknownService, "service %q does not exist", s.Database)
	}
	e.sessions.Add(1)
	return &session{
		entry:   e,
		service: s.Database,
		name:    s.User + "@" + s.RemoteHost,
		id:      uuid.NewString(),
	}, nil
}

// State is the entry's part of the state dump.
type State struct {
	Callers int64                  `json:"callers"`
	Members map[string]MemberStats `json:"members"`
}

// MemberStats is what the entry has observed of an upstream.
type MemberStats struct {
	LagUS       int64  `json:"lag_us"`
	ConfirmUS   int64  `json:"confirm_us"`
	Applied     string `json:"applied"`
	Unreachable bool   `json:"unreachable"`
}

// State returns a snapshot for the state dump.
func (e *Router) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{Callers: e.sessions.Load(), Members: make(map[string]MemberStats, len(e.members))}
	now := e.now()
	for name, m := range e.members {
		s.Members[name] = MemberStats{
			LagUS:       m.lag.Microseconds(),
			ConfirmUS:   m.confirm.Microseconds(),
			Applied:     m.applied.String(),
			Unreachable: now < m.unreachableUntil,
		}
	}
	return s
}

// admit asks the door whether the owner of the upstream takes work of the rank
// from this caller.
func (e *Router) admit(upstream, caller string, r schedule.Rank) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ok, after := e.door.AdmitCaller(upstream, caller, r, e.now())
	if ok {
		return nil
	}
	return verdict.New(verdict.Overloaded, "upstream %q takes no %s work at the moment", upstream, r).WithRetryAfter(after)
}

// countRequest fills the retry budget of the service.
func (e *Router) countRequest(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(service).RecordRequest()
}

func (e *Router) budget(service string) *retry.Budget {
	b := e.retries[service]
	if b == nil {
		b = retry.New(retry.Config{Rand: e.random})
		e.retries[service] = b
	}
	return b
}

func (e *Router) retry(service string, err *verdict.Error, repeatable bool, attempt int, deadline time.Duration) (bool, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(service).Decide(err.Verdict, repeatable, attempt, err.RetryAfter, deadline, e.now())
}
