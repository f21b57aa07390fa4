// Package hop runs statements on members through other instances, their
// gateways, and runs those of other instances. core/gateway decides which
// instances are gateways of a member.
package hop

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Class groups the errors of this package.
var Class = errs.Class("hop")

const (
	// transit is the part of a statement's time for the way to the gateway and
	// back, inside a failure domain.
	transit = 4 * time.Millisecond
	// silentAfter is how long a gateway may leave all calls unanswered until it is
	// asked for a sign of life; most statements take less.
	silentAfter = 100 * time.Millisecond
	// pingTimeout is how long that may take: a round trip of 0.4 ms, on a machine
	// that shares its processor.
	pingTimeout = 100 * time.Millisecond
	// loadFresh is the age up to which a gateway's word on its queue counts.
	loadFresh = 300 * time.Millisecond
	// abandonTimeout bounds the message that ends a transaction.
	abandonTimeout = 500 * time.Millisecond
)

// Router implements group.Gateways for one instance. It is safe for concurrent use.
type Router struct {
	clock  boottime.Clock
	log    *logrus.Entry
	dial   peer.DialFunc
	lastTx atomic.Uint64

	mu      sync.Mutex
	picker  *gateway.Picker
	clients map[string]*peer.Client // by instance
	waits   map[target]wait
}

// wait is what a gateway said of its queue.
type wait struct {
	expected time.Duration
	at       time.Duration
}

// NewRouter returns a Router that connects to all members itself until it is
// told of other instances. A nil dial connects over TCP.
func NewRouter(self, domain string, dial peer.DialFunc, clock boottime.Clock, log *logrus.Entry) *Router {
	return &Router{clock: clock, log: log, dial: dial, picker: gateway.New(self, domain),
		clients: make(map[string]*peer.Client), waits: make(map[target]wait)}
}

// SetInstances takes in the announced instances.
func (r *Router) SetInstances(all []source.Candidate) {
	r.mu.Lock()
	r.picker.SetCandidates(all)
	addresses := make(map[string]string, len(all))
	for _, c := range all {
		addresses[c.Name] = c.Address
	}
	var gone []*peer.Client
	for name, client := range r.clients {
		if addresses[name] != client.Address() {
			gone = append(gone, client)
			delete(r.clients, name)
		}
	}
	r.mu.Unlock()
	for _, client := range gone {
		client.Close()
	}
}

// ConnectingInstances implements group.Gateways.
func (r *Router) ConnectingInstances(member string, limit int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.picker.ConnectDirectly(limit) || !r.picker.IsGateway(member) {
		return 0
	}
	return r.picker.Domains()
}

// Gateway implements group.Gateways.
func (r *Router) Gateway(service, member string, primary bool, limit int) group.Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.picker.ConnectDirectly(limit) {
		return nil
	}
	c, ok := r.picker.Pick(member, r.clock())
	if !ok {
		return nil
	}
	client := r.clients[c.Name]
	if client == nil {
		client = peer.NewClient(c.Address, r.dial, r.log)
		r.clients[c.Name] = client
	}
	return &way{router: r, gateway: c.Name, client: client, target: target{service, member, primary}}
}

// Close ends the connections to gateways.
func (r *Router) Close() {
	r.mu.Lock()
	clients := slices.Collect(maps.Values(r.clients))
	r.mu.Unlock()
	for _, client := range clients {
		client.Close()
	}
}

func (r *Router) failed(name string, err error) {
	r.mu.Lock()
	isNew := r.picker.RecordFailure(name, r.clock())
	r.mu.Unlock()
	if isNew {
		r.log.WithFields(logrus.Fields{"event": "gateway_failed", "gateway": name, "error": err.Error()}).Info("gateway does not answer")
	}
}

func (r *Router) answered(name string, t target, l load) {
	r.mu.Lock()
	now := r.clock()
	r.picker.RecordAnswer(name, now)
	r.waits[target{Service: t.Service, Member: t.Member}] = wait{l.Wait, now}
	isNew := l.Leaving && r.picker.RecordLeaving(name, now)
	r.mu.Unlock()
	if isNew {
		r.log.WithFields(logrus.Fields{"event": "gateway_leaving", "gateway": name}).Info("gateway is leaving")
	}
}

// way is one gateway of a member.
type way struct {
	router  *Router
	gateway string
	client  *peer.Client
	target
}

// Load implements group.Gateway.
func (w *way) Load() time.Duration {
	w.router.mu.Lock()
	defer w.router.mu.Unlock()
	known := w.router.waits[target{Service: w.Service, Member: w.Member}]
	if w.router.clock()-known.at > loadFresh {
		return 0
	}
	return known.expected
}

// Execute implements group.Gateway.
func (w *way) Execute(j upstream.Job) (upstream.Result, bool) {
	var answer executeAnswer
	err := w.call(methodExecute, executeRequest{w.target, w.wire(j)}, &answer, j)
	if err != nil {
		return w.lost(err)
	}
	w.router.answered(w.gateway, w.target, answer.Load)
	return w.named(answer.Result), true
}

// Open implements group.Gateway.
func (w *way) Open(begin statement.Statement, j upstream.Job) (upstream.Tx, upstream.OpenResult, bool) {
	tx := &gatewayTx{way: w, id: w.router.lastTx.Add(1)}
	var answer openAnswer
	err := w.call(methodOpen, openRequest{w.target, tx.id, begin, w.wire(j)}, &answer, j)
	if err != nil {
		tx.Abandon() // the gateway may have begun it
		r, reached := w.lost(err)
		return nil, upstream.OpenResult{Begin: r}, reached
	}
	w.router.answered(w.gateway, w.target, answer.Load)
	o := upstream.OpenResult{Begin: w.named(answer.Begin), First: w.named(answer.First)}
	if !o.Begun() {
		return nil, o, true
	}
	return tx, o, true
}

// Confirm implements group.Gateway.
func (w *way) Confirm(service string) (group.Confirmation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmLimit)
	defer cancel()
	var c group.Confirmation
	err := w.client.Call(ctx, methodConfirm, confirmRequest{service}, &c)
	if err != nil {
		w.router.failed(w.gateway, err)
		return c, Class.Wrap(err)
	}
	return c, nil
}

// named returns a result with the name of the gateway.
func (w *way) named(answer wireResult) upstream.Result {
	r := answer.result()
	r.Gateway = w.gateway
	return r
}

func (w *way) wire(j upstream.Job) wireJob { return toWire(j, w.router.clock()+transit) }

// errSilent means that a gateway gave no sign of life.
var errSilent = errors.New("gateway is silent")

// call makes a call for a job. It gives a read up when the gateway is silent;
// the outcome of a write is worth the wait. After an error, answer must not be
// read.
func (w *way) call(method string, params, answer any, j upstream.Job) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := time.Now()
	done := make(chan error, 1)
	go func() { done <- w.client.Call(ctx, method, params, answer) }()
	deadline := time.NewTimer(j.Deadline - w.router.clock())
	defer deadline.Stop()
	watch := time.NewTimer(silentAfter)
	defer watch.Stop()
	var pinged time.Time // zero unless a sign of life is awaited
	for {
		select {
		case err := <-done:
			return err
		case <-deadline.C:
			return context.DeadlineExceeded
		case <-watch.C:
		}
		heard := w.heardSince(sent)
		switch silent := time.Since(heard); {
		case silent < silentAfter || !pinged.IsZero() && !heard.Before(pinged):
			pinged = time.Time{}
			watch.Reset(max(silentAfter-silent, silentAfter/2))
		case pinged.IsZero():
			pinged = time.Now()
			go w.ping(ctx)
			watch.Reset(pingTimeout)
		default:
			w.router.failed(w.gateway, errSilent)
			if !j.CommitsWrites {
				return errSilent
			}
		}
	}
}

// ping asks the gateway for a sign of life: a job that takes long, as on a member
// that does not answer, does not show whether the gateway works.
func (w *way) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	// Without an answer, the client has heard nothing, which is all that counts.
	_ = w.client.Call(ctx, methodPing, struct{}{}, nil)
}

// heardSince returns when the gateway last answered, or the given time if that
// is later.
func (w *way) heardSince(sent time.Time) time.Time {
	if heard := w.client.LastAnswer(); heard.After(sent) {
		return heard
	}
	return sent
}

// lost returns what is known after a call without an answer. reached is false if
// the gateway has not taken it.
func (w *way) lost(err error) (r upstream.Result, reached bool) {
	var notSent *peer.NotSentError
	var answered *peer.Error
	if errors.As(err, &notSent) || errors.As(err, &answered) {
		w.router.failed(w.gateway, err)
		return upstream.NotSent(err), false
	}
	// A slow job does not speak against the gateway, and its silence was noted.
	if !errors.Is(err, errSilent) && !errors.Is(err, context.DeadlineExceeded) {
		w.router.failed(w.gateway, err)
	}
	return upstream.Result{Err: &statement.ConnError{Sent: true, Timeout: errors.Is(err, context.DeadlineExceeded), Err: Class.New("gateway %s: %v", w.gateway, err)}, Sent: true, Gateway: w.gateway}, true
}

// gatewayTx is an open transaction on a gateway's connection.
type gatewayTx struct {
	way   *way
	id    uint64
	ended bool
}

// Run implements upstream.Tx.
func (t *gatewayTx) Run(j upstream.Job) upstream.Result {
	if t.ended {
		return upstream.NotSent(verdict.New(verdict.TransactionRolledBack, "the transaction has ended"))
	}
	var answer executeAnswer
	err := t.way.call(methodNext, txRequest{t.id, t.way.wire(j)}, &answer, j)
	if err == nil {
		t.way.router.answered(t.way.gateway, t.way.target, answer.Load)
		r := t.way.named(answer.Result)
		t.ended = j.Statement.Kind == statement.Commit && r.Err == nil && r.Reply.State == statement.Idle
		return r
	}
	t.Abandon()
	r, reached := t.way.lost(err)
	rolledBack := verdict.New(verdict.TransactionRolledBack, "the gateway of the transaction was lost: %v", r.Err)
	return upstream.Result{Err: rolledBack, Sent: reached, Gateway: t.way.gateway}
}

// Abandon implements upstream.Tx.
func (t *gatewayTx) Abandon() {
	if t.ended {
		return
	}
	t.ended = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		// Without an answer, the gateway rolls back when the connection ends.
		if err := t.way.client.Call(ctx, methodAbandon, txRequest{Tx: t.id}, nil); err != nil {
			t.way.client.Close()
		}
	}()
}

var _ group.Gateways = (*Router)(nil)
