// Package limits admits the operations of workspaces within their limits: it does the
// calls between instances, the waiting and the reporting for the state machines of
// core/ratelimit. Without limited workspaces or without a window it sends nothing.
package limits

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/ratelimit"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/peer"
)

const (
	methodPermits = "permits"
	// codeNotAnswered is the JSON-RPC error code for a request that was overtaken.
	codeNotAnswered = -32003
	// callTimeout bounds a call. Later, the permits in its answer have expired.
	callTimeout = 600 * time.Millisecond
	// labelledWorkspaces is the number of workspaces, those with the highest limits, that
	// have series and states of their own.
	labelledWorkspaces = 20
	// otherWorkspaces is the label of all others.
	otherWorkspaces = "other"
)

// Causes of refusals, in metrics.
const (
	causeLimit      = "limit"      // the workspace has used up its limit
	causeUnanswered = "unanswered" // no allocator answered
	causeTimeout    = "timeout"    // the wait for a permit took too long
)

// Metrics receives counts. The workspace is one of a bounded set.
type Metrics interface {
	CountLimitRefusal(workspace, cause string)
	CountPermits(workspace, what string, n int)
	RegisterAllocatorChanges(count func() float64)
}

// Config holds the settings and dependencies of a Limiter.
type Config struct {
	Instance      string
	FailureDomain string
	// Standalone means that the instance neither calls nor serves others.
	Standalone bool
	Params     ratelimit.Params
	// Dial connects to another instance; nil means TCP.
	Dial    peer.DialFunc
	Clock   boottime.Clock
	Log     *logrus.Entry
	Metrics Metrics
}

// Limiter admits operations on one instance and issues permits to others. It is safe for
// concurrent use.
type Limiter struct {
	cfg    Config
	limits atomic.Pointer[map[string]ratelimit.Limit] // nil: no limits
	wake   chan struct{}
	// calls ends when Run does.
	calls  context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	holder  *ratelimit.Holder
	waiters map[string][]*waiter // by workspace, in order of arrival
	clients map[string]*peer.Client
	labels  map[string]string // of the labelled workspaces
	changes int               // logged changes of allocators

	// allocatorMu is locked after mu, if both are.
	allocatorMu sync.Mutex
	allocator   *ratelimit.Allocator
}

// waiter is an operation that waits for a permit.
type waiter struct{ decided chan decision }

type decision struct {
	ticket     *ratelimit.Ticket // nil if refused
	retryAfter time.Duration
	cause      string
}

// New returns a Limiter that admits everything until SetWorkspaces.
func New(cfg Config) *Limiter {
	incarnation := rand.Uint64() | 1 // 0 means none
	now := cfg.Clock()
	l := &Limiter{cfg: cfg, wake: make(chan struct{}, 1), waiters: make(map[string][]*waiter), clients: make(map[string]*peer.Client),
		holder:    ratelimit.NewHolder(now, cfg.Instance, incarnation, cfg.Params, cfg.Standalone, rand.New(rand.NewPCG(incarnation, 0))),
		allocator: ratelimit.NewAllocator(incarnation, cfg.Params)}
	l.calls, l.cancel = context.WithCancel(context.Background())
	cfg.Metrics.RegisterAllocatorChanges(func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.holder.AllocatorChanges())
	})
	return l
}

// Register adds the method of this package to server, so that other instances can ask
// this one for permits.
func (l *Limiter) Register(server *peer.Server) {
	server.Handle(methodPermits, func(_ context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
		var request ratelimit.Request
		if err := peer.Decode(params, &request); err != nil {
			return nil, err
		}
		answer, ok := l.handle(request)
		if !ok {
			return nil, peer.NewError(codeNotAnswered, "request was overtaken or is not valid")
		}
		return answer, nil
	})
}

func (l *Limiter) handle(request ratelimit.Request) (ratelimit.Answer, bool) {
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	return l.allocator.Handle(l.cfg.Clock(), request)
}

// SetInstances sets the announced instances and closes the connections to those that are
// gone or have another address.
func (l *Limiter) SetInstances(all []source.Candidate) {
	if l.cfg.Standalone {
		return
	}
	addresses := make(map[string]string, len(all))
	for _, c := range all {
		addresses[c.Name] = c.Address
	}
	var gone []*peer.Client
	l.mu.Lock()
	l.holder.SetInstances(l.cfg.Clock(), all)
	for name, client := range l.clients {
		if addresses[name] != client.Address() {
			gone = append(gone, client)
			delete(l.clients, name)
		}
	}
	l.mu.Unlock()
	for _, client := range gone {
		client.Close()
	}
	l.notify()
}

// SetWorkspaces sets the workspaces of the configuration in force.
func (l *Limiter) SetWorkspaces(all map[string]catalog.Workspace) {
	limits := make(map[string]ratelimit.Limit)
	if l.cfg.Params.Window > 0 {
		for name, w := range all {
			if w.Rate > 0 {
				limits[name] = ratelimit.Limit{Rate: w.Rate, Burst: max(w.Burst, 0)}
			}
		}
	}
	if previous := l.limits.Load(); previous != nil && maps.Equal(*previous, limits) || previous == nil && len(limits) == 0 {
		return
	}
	names := slices.SortedFunc(maps.Keys(limits), func(a, b string) int {
		return cmp.Or(cmp.Compare(limits[b].Rate, limits[a].Rate), cmp.Compare(a, b))
	})
	l.mu.Lock()
	l.allocatorMu.Lock()
	now := l.cfg.Clock()
	l.allocator.SetLimits(now, limits)
	l.allocatorMu.Unlock()
	l.holder.SetLimits(now, limits)
	l.labels = make(map[string]string)
	for _, name := range names[:min(labelledWorkspaces, len(names))] {
		l.labels[name] = name
	}
	l.limits.Store(&limits)
	l.mu.Unlock()
	l.notify()
}

// notify makes Run look for due requests.
func (l *Limiter) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run exchanges permits with other instances until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	defer l.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.mu.Lock()
		l.exchange()
		next, ok := l.holder.NextWake(l.cfg.Clock())
		l.mu.Unlock()
		var due <-chan time.Time
		if ok {
			timer.Reset(max(next-l.cfg.Clock(), time.Millisecond))
			due = timer.C
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
		case <-l.wake:
		}
	}
}

func (l *Limiter) close() {
	l.cancel()
	l.mu.Lock()
	clients := slices.Collect(maps.Values(l.clients))
	l.mu.Unlock()
	for _, client := range clients {
		client.Close()
	}
}

// exchange sends the requests that are due and applies the answers of this instance's own
// allocator. l.mu is held.
func (l *Limiter) exchange() {
	for {
		out, decisions := l.holder.Requests(l.cfg.Clock())
		l.decide(decisions)
		local := false
		for _, o := range out {
			l.countReturned(o.Request)
			if o.To.Name != l.cfg.Instance {
				l.send(o)
				continue
			}
			local = true
			if answer, ok := l.handle(o.Request); ok {
				l.receive(o, answer)
			}
		}
		if !local {
			break
		}
	}
	if changes := l.holder.AllocatorChanges(); changes != l.changes {
		l.changes = changes
		for _, loan := range l.holder.Loans(l.cfg.Clock()) {
			l.cfg.Log.WithFields(logrus.Fields{"event": "allocator", "shard": loan.Shard.Index, "shards": loan.Shard.Count, "allocator": loan.Allocator,
				"lent_to": loan.LentTo, "lent_for_ms": loan.LentFor.Milliseconds()}).Info("permits are asked of this allocator after a change")
		}
	}
}

// receive applies an answer. l.mu is held.
func (l *Limiter) receive(o ratelimit.Outgoing, answer ratelimit.Answer) {
	for _, g := range answer.Grants {
		if n := g.Waiting + g.Advance; n > 0 {
			l.cfg.Metrics.CountPermits(l.label(g.Workspace), "granted", n)
		}
	}
	l.decide(l.holder.Receive(l.cfg.Clock(), o.To.Name, o.Request.Shard, answer))
}

func (l *Limiter) countReturned(r ratelimit.Request) {
	for _, ask := range r.Asks {
		for _, settled := range ask.Settled {
			if settled.Returned > 0 {
				l.cfg.Metrics.CountPermits(l.label(ask.Workspace), "returned", settled.Returned)
			}
		}
	}
}

// label returns the metric label of a workspace. l.mu is held.
func (l *Limiter) label(workspace string) string { return cmp.Or(l.labels[workspace], otherWorkspaces) }

// send calls another instance. l.mu is held.
func (l *Limiter) send(o ratelimit.Outgoing) {
	client := l.clients[o.To.Name]
	if client == nil {
		client = peer.NewClient(o.To.Address, peer.Between(l.cfg.FailureDomain, o.To.FailureDomain), l.cfg.Dial, l.cfg.Log)
		l.clients[o.To.Name] = client
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.calls, callTimeout)
		defer cancel()
		var answer ratelimit.Answer
		err := client.Call(ctx, methodPermits, o.Request, &answer)
		l.mu.Lock()
		if err == nil {
			l.receive(o, answer)
		} else {
			l.holder.Failed(l.cfg.Clock(), o.To.Name, o.Request.Shard, o.Request.Seq)
		}
		l.exchange()
		l.mu.Unlock()
		if err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"event": "permits_unanswered", "allocator": o.To.Name, "error": err.Error()}).Debug("allocator did not answer")
		}
		l.notify()
	}()
}

// decide ends the wait of operations. l.mu is held.
func (l *Limiter) decide(decisions []ratelimit.Decision) {
	for _, d := range decisions {
		for _, ticket := range d.Admitted {
			if w := l.take(d.Workspace, 0); w != nil {
				w.decided <- decision{ticket: ticket}
			} else {
				l.holder.Refund(l.cfg.Clock(), ticket)
			}
		}
		cause := causeLimit
		if d.Unanswered {
			cause = causeUnanswered
		}
		for range d.Refused {
			if w := l.take(d.Workspace, d.Kept); w != nil {
				w.decided <- decision{retryAfter: d.RetryAfter, cause: cause}
			}
		}
	}
}

// take removes and returns a waiting operation of a workspace, by its place in the queue;
// nil if there is none. l.mu is held.
func (l *Limiter) take(workspace string, place int) *waiter {
	waiting := l.waiters[workspace]
	if place >= len(waiting) {
		return nil
	}
	w := waiting[place]
	l.setWaiters(workspace, slices.Delete(waiting, place, place+1))
	return w
}

func (l *Limiter) setWaiters(workspace string, waiting []*waiter) {
	if len(waiting) == 0 {
		delete(l.waiters, workspace)
		return
	}
	l.waiters[workspace] = waiting
}

// noRefund is the refund of operations without a limit.
func noRefund() {}

// Admit waits up to about 100 ms, and not beyond deadline, for a permit for one operation
// of a workspace. While there are none because no share is lent yet, it waits up to deadline
// if a permit can be expected in three quarters of the time until then. It returns an error with the verdict rate_limited, and the time after
// which the caller may expect room, if the operation must not run. refund gives the permit
// back; it is to be called if the operation has not run on a database and will not.
func (l *Limiter) Admit(workspace string, deadline time.Duration) (refund func(), err error) {
	limits := l.limits.Load()
	if limits == nil {
		return noRefund, nil
	}
	limit, limited := (*limits)[workspace]
	if !limited {
		return noRefund, nil
	}
	l.mu.Lock()
	now := l.cfg.Clock()
	if !l.holder.Limited(workspace) {
		l.mu.Unlock()
		return noRefund, nil // a new configuration has removed the limit
	}
	var d decision
	result, ticket, retryAfter := l.holder.Admit(now, workspace, deadline)
	switch result {
	case ratelimit.Admitted:
		d.ticket = ticket
	case ratelimit.Refused:
		d.retryAfter, d.cause = retryAfter, causeLimit
	case ratelimit.Waits:
		w := &waiter{make(chan decision, 1)}
		l.waiters[workspace] = append(l.waiters[workspace], w)
		l.exchange()
		l.mu.Unlock()
		l.notify() // a request that was sent has a time limit
		d = l.await(workspace, w, deadline)
		l.mu.Lock()
	}
	label := l.label(workspace)
	l.mu.Unlock()
	if d.ticket != nil {
		return func() { l.refund(d.ticket) }, nil
	}
	l.cfg.Metrics.CountLimitRefusal(label, d.cause)
	if d.cause == causeLimit {
		return noRefund, verdict.New(verdict.RateLimited, "workspace %s has used up its limit of %g operations per second", workspace, limit.Rate).WithRetryAfter(d.retryAfter)
	}
	return noRefund, verdict.New(verdict.RateLimited, "no permit for workspace %s: allocator does not answer", workspace).WithRetryAfter(d.retryAfter)
}

// await waits for the decision about an operation. After each WaitLimit, the holder says
// whether the operation waits on.
func (l *Limiter) await(workspace string, w *waiter, deadline time.Duration) decision {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(min(ratelimit.WaitLimit, deadline-l.cfg.Clock()), 0))
		select {
		case d := <-w.decided:
			return d
		case <-timer.C:
		}
		if d, ended := l.giveUp(workspace, w); ended {
			return d
		}
	}
}

// giveUp ends the wait of an operation unless it waits for the end of a pause.
func (l *Limiter) giveUp(workspace string, w *waiter) (d decision, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	place := slices.Index(l.waiters[workspace], w)
	if place < 0 {
		return <-w.decided, true // decided meanwhile
	}
	if l.holder.KeepsWaiting(l.cfg.Clock(), workspace, place) {
		return decision{}, false
	}
	l.take(workspace, place)
	return decision{retryAfter: l.holder.GiveUp(workspace, place), cause: causeTimeout}, true
}

func (l *Limiter) refund(ticket *ratelimit.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.Refund(l.cfg.Clock(), ticket)
}

// Leave takes back the share of this instance and makes others use another allocator.
// Operations are admitted as before while the instance runs.
func (l *Limiter) Leave() {
	l.allocatorMu.Lock()
	l.allocator.SetLeaving()
	l.allocatorMu.Unlock()
	l.mu.Lock()
	l.holder.Leave(l.cfg.Clock())
	l.exchange()
	l.mu.Unlock()
	l.notify()
}

// State is a diagnostic dump of a Limiter.
type State struct {
	// Instances is the number of instances by which limits are shared, AllocatorFor the
	// number of shards for which shares are lent to this one.
	Instances    int                             `json:"instances"`
	AllocatorFor int                             `json:"allocator_for"`
	Loans        []ratelimit.LoanState           `json:"loans"`
	Workspaces   map[string]ratelimit.StockState `json:"workspaces"` // those with the highest limits
}

// State returns a diagnostic dump; nil without limits.
func (l *Limiter) State() *State {
	if l.limits.Load() == nil {
		return nil
	}
	l.allocatorMu.Lock()
	shards := l.allocator.Shards()
	l.allocatorMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock()
	state := &State{Instances: l.holder.Instances(now), AllocatorFor: shards, Loans: l.holder.Loans(now), Workspaces: make(map[string]ratelimit.StockState)}
	for name := range l.labels {
		state.Workspaces[name] = l.holder.Stock(now, name)
	}
	return state
}
