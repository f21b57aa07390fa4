// Package router serves the sessions of callers. It applies admission control to
// each exchange, routes it to the owner of a suitable upstream, retries it within
// a retry budget if that is safe, and keeps the log position of the session. The
// decisions are made by core/route, core/retry and core/schedule.
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

// Gateway sends exchanges to the instances that own the upstreams.
type Gateway interface {
	// Exchange has the owner run r on its upstream. The error is a *verdict.Error.
	Exchange(ctx context.Context, owner view.Peer, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error)
	// EndTransaction rolls back the transaction tx and releases its connection.
	EndTransaction(owner view.Peer, upstream, tx string)
}

// Router opens the sessions of one instance and keeps what they have in common.
// It is safe for concurrent use.
type Router struct {
	failureDomain string
	view          *view.View
	gateway       Gateway
	now           func() time.Duration
	log           *logrus.Entry

	sessions atomic.Int64
	metrics  *metricSet

	mu           sync.Mutex
	random       *rand.Rand
	admission    *schedule.AdmissionController
	retryBudgets map[string]*retry.Budget // by service
	observations map[string]*memberObservation
}

// New returns the router of an instance in the given failure domain; now is the
// instance's monotonic clock.
func New(failureDomain string, v *view.View, g Gateway, now func() time.Duration, log *logrus.Entry) *Router {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Router{
		failureDomain: failureDomain,
		view:          v,
		gateway:       g,
		now:           now,
		log:           log,
		metrics:       newMetricSet(),
		random:        random,
		admission:     schedule.NewAdmissionController(random),
		retryBudgets:  make(map[string]*retry.Budget),
		observations:  make(map[string]*memberObservation),
	}
}

// Open implements caller.SessionOpener. The database that the caller names is the service.
// The error is NoPrimary before the first configuration, and UnknownService if the
// configuration does not contain the service.
func (rt *Router) Open(_ context.Context, s caller.Startup) (caller.Session, error) {
	if _, doc := rt.view.Document(); doc == nil {
		return nil, verdict.New(verdict.NoPrimary, "this instance has no configuration yet").WithRetryAfter(time.Second)
	}
	if _, found := rt.view.Service(s.Database); !found {
		return nil, verdict.New(verdict.UnknownService, "service %q does not exist", s.Database)
	}
	rt.sessions.Add(1)
	return &session{
		router:  rt,
		service: s.Database,
		name:    s.User + "@" + s.RemoteHost,
		id:      uuid.NewString(),
	}, nil
}

// State describes the router in the state dump.
type State struct {
	Callers int64                  `json:"callers"` // open sessions
	Members map[string]MemberStats `json:"members"` // by upstream
}

// MemberStats is what the router has learned of an upstream from its answers.
// ApplyLagUS is the moving average of the wait until a replica has applied a required
// position, and ConfirmUS that of the wait until a quorum has confirmed a commit, or
// that the upstream is still the primary, both in microseconds.
type MemberStats struct {
	ApplyLagUS  int64  `json:"lag_us"`
	ConfirmUS   int64  `json:"confirm_us"`
	Applied     string `json:"applied"`
	Unreachable bool   `json:"unreachable"`
}

// State returns the current state for the state dump.
func (rt *Router) State() State {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	s := State{Callers: rt.sessions.Load(), Members: make(map[string]MemberStats, len(rt.observations))}
	now := rt.now()
	for name, observed := range rt.observations {
		s.Members[name] = MemberStats{
			ApplyLagUS:  observed.applyLag.Microseconds(),
			ConfirmUS:   observed.confirmTime.Microseconds(),
			Applied:     observed.applied.String(),
			Unreachable: now < observed.unreachableUntil,
		}
	}
	return s
}

// admit refuses a request that the owner of the upstream would refuse because of
// its load, going by the load that the owner last reported for the rank and by its
// refusals of this caller.
func (rt *Router) admit(upstream, caller string, r schedule.Rank) error {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	ok, retryAfter := rt.admission.AdmitCaller(upstream, caller, r, rt.now())
	if ok {
		return nil
	}
	return verdict.New(verdict.Overloaded, "upstream %q takes no %s work at the moment", upstream, r).WithRetryAfter(retryAfter)
}

// countRequest adds a request to the retry budget of the service.
func (rt *Router) countRequest(service string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.retryBudget(service).RecordRequest()
}

// retryBudget returns the retry budget of the service. rt.mu must be held.
func (rt *Router) retryBudget(service string) *retry.Budget {
	b := rt.retryBudgets[service]
	if b == nil {
		b = retry.New(retry.Config{Rand: rt.random})
		rt.retryBudgets[service] = b
	}
	return b
}

// decideRetry reports whether a failed request is to be sent again, and after what
// delay.
func (rt *Router) decideRetry(service string, err *verdict.Error, repeatable bool, attempt int, deadline time.Duration) (bool, time.Duration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.retryBudget(service).Decide(err.Verdict, repeatable, attempt, err.RetryAfter, deadline, rt.now())
}
