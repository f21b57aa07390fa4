// Package hop forwards statements between instances, so that many instances share the
// limited connections of a database group member: an instance runs a statement through
// another one, the member's gateway, or runs it as a gateway for others.
// core/gateway decides which instances are gateways of a member.
package hop

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Class groups the errors of this package.
var Class = errs.Class("hop")

const (
	// transitAllowance is subtracted from the time that a statement has left, for the
	// round trip to a gateway in the same failure domain.
	transitAllowance = 4 * time.Millisecond
	// silenceThreshold is how long a gateway may leave all calls unanswered before it is
	// pinged; most statements take less.
	silenceThreshold = 100 * time.Millisecond
	// pingTimeout bounds the wait for the answer to a ping: a round trip of 0.4 ms, plus
	// scheduling delays on a machine that shares its processor.
	pingTimeout = 100 * time.Millisecond
	// witnessTimeout bounds the wait for another instance of the failure domain of a silent
	// gateway, which is asked when the gateway is pinged. It ends first, so that the request
	// that finds the gateway silent knows whether the domain is.
	witnessTimeout = 90 * time.Millisecond
	// loadMaxAge is the age up to which a gateway's reported queueing time is used.
	loadMaxAge = 300 * time.Millisecond
	// abandonTimeout bounds the call that ends a transaction.
	abandonTimeout = 500 * time.Millisecond
	// domainCheckInterval is the time between two pings to a failure domain from which
	// nothing answers.
	domainCheckInterval = 500 * time.Millisecond
	// departureCheckInterval is how often a waiting call checks whether its caller has
	// disconnected. With the gateway's own check every 20 ms, the job leaves the queue
	// within 50 ms.
	departureCheckInterval = 25 * time.Millisecond
	// cancelTimeout bounds the call that cancels a job.
	cancelTimeout = 500 * time.Millisecond
)

// Router chooses the gateway of each member for one instance and implements
// group.Gateways. It is safe for concurrent use.
type Router struct {
	clock  boottime.Clock
	log    *logrus.Entry
	dial   peer.DialFunc
	lastTx atomic.Uint64
	// lastCall numbers the jobs that may be cancelled, for each connection.
	lastCall atomic.Uint64
	domain   string
	// reachability is told of the calls to gateways in other failure domains.
	reachability group.Reachability
	closed       chan struct{}
	closeOnce    sync.Once

	mu         sync.Mutex
	picker     *gateway.Picker
	clients    map[string]*peer.Client // by instance
	queueWaits map[target]queueWait
	probing    map[string]bool // failure domains whose witness is being asked
	// admission refuses here what gateways refuse, by gateway.
	admission map[string]*schedule.AdmissionController
	refusals  RefusalCounter
}

// queueWait is a gateway's last report of its queue for a member.
type queueWait struct {
	expected [schedule.NumRanks]time.Duration // expected queueing time of another statement
	at       time.Duration                    // when the report arrived
}

// RefusalCounter counts the statements that a Router refuses because the gateway would
// refuse them.
type RefusalCounter interface {
	CountEntryRefusal(r schedule.Rank)
}

// SetRefusalCounter sets what counts refused statements. It must be called before the
// Router is used.
func (r *Router) SetRefusalCounter(c RefusalCounter) { r.refusals = c }

// NewRouter returns a Router for the instance self in the failure domain domain. It uses
// no gateways before SetInstances. A nil dial connects over TCP.
func NewRouter(self, domain string, dial peer.DialFunc, clock boottime.Clock, log *logrus.Entry) *Router {
	return &Router{clock: clock, log: log, dial: dial, domain: domain, reachability: noReachability{}, closed: make(chan struct{}),
		picker: gateway.New(self, domain), clients: make(map[string]*peer.Client), queueWaits: make(map[target]queueWait), probing: make(map[string]bool),
		admission: make(map[string]*schedule.AdmissionController)}
}

// noReachability is a group.Reachability that ignores all calls.
type noReachability struct{}

// RecordRequest implements group.Reachability.
func (noReachability) RecordRequest(string) {}

// RecordAnswer implements group.Reachability.
func (noReachability) RecordAnswer() {}

// SetReachability sets what is told of the calls to gateways in other failure domains and
// of their answers. It must be called before the Router is used.
func (r *Router) SetReachability(to group.Reachability) { r.reachability = to }

// SetWorkspaces sets whether callers have workspaces; see gateway.Picker.
func (r *Router) SetWorkspaces(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.SetWorkspaces(on)
}

// SetInstances sets the announced instances and closes the connections to those that
// are gone or have another address.
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
			delete(r.admission, name)
		}
	}
	r.mu.Unlock()
	for _, client := range gone {
		client.Close()
	}
}

// Limits implements group.Gateways.
func (r *Router) Limits(m catalog.Member, connections int, share float64) quota.Limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.picker.ConnectDirectly(connections) {
		l := quota.ForInstance(connections, m.Slots, share)
		if r.picker.Workspaces() {
			return l.WithWorkspaces()
		}
		return l
	}
	role, since := r.picker.Role(m.ID, m.FailureDomain, r.clock())
	switch domains := r.picker.Domains(); {
	case role == gateway.MemberGateway:
		return quota.ForWorkspaceGateway(connections, m.Slots, since+quota.HandoverTime)
	case role == gateway.SpareGateway:
		return quota.ForSpareGateway(connections, m.Slots, domains)
	case role == gateway.DomainGateway && r.picker.Workspaces():
		return quota.ForDomainGateway(connections, m.Slots, domains, since+quota.HandoverTime)
	case role == gateway.DomainGateway:
		return quota.ForGateway(connections, m.Slots, domains)
	}
	l := quota.ForInstance(connections, m.Slots, share)
	l.ByWorkspace = r.picker.Workspaces()
	return l
}

// ConnectingInstances implements group.Gateways.
func (r *Router) ConnectingInstances(m catalog.Member, connections int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.picker.ConnectDirectly(connections) {
		return 0
	}
	switch role, _ := r.picker.Role(m.ID, m.FailureDomain, r.clock()); role {
	case gateway.MemberGateway:
		return 1 // the second one serves only while the first one does not
	case gateway.DomainGateway, gateway.SpareGateway:
		return r.picker.Domains()
	}
	return 0
}

// Gateway implements group.Gateways.
func (r *Router) Gateway(service string, m catalog.Member, primary bool, connections int) (group.Gateway, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.picker.ConnectDirectly(connections) {
		return nil, nil
	}
	now := r.clock()
	var excludedUntil time.Duration
	c, way := r.picker.Pick(m.ID, m.FailureDomain, now)
	switch way {
	case gateway.Direct:
		return nil, nil
	case gateway.Unavailable:
		var ok bool
		if c, excludedUntil, ok = r.picker.LastResort(m.ID, m.FailureDomain); !ok {
			return nil, verdict.New(verdict.CutOff, "no gateway of member %s answers", m.ID).WithRetryAfter(r.picker.RetryAfter(m.ID, m.FailureDomain, now))
		}
	}
	return &path{router: r, gateway: c.Name, domain: c.FailureDomain, client: r.client(c), target: target{service, m.ID, primary}, excludedUntil: excludedUntil}, nil
}

// client returns the client of an instance. r.mu is held.
func (r *Router) client(c source.Candidate) *peer.Client {
	client := r.clients[c.Name]
	if client == nil {
		client = r.connectTo(c)
		r.clients[c.Name] = client
	}
	return client
}

// connectTo returns an RPC client for an instance, which connects at its first call.
func (r *Router) connectTo(c source.Candidate) *peer.Client {
	return peer.NewClient(c.Address, peer.Between(r.domain, c.FailureDomain), r.dial, r.log)
}

// Ping reports whether an instance answers within pingTimeout.
func (r *Router) Ping(ctx context.Context, c source.Candidate) bool {
	r.mu.Lock()
	client := r.client(c)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if client.Call(ctx, methodPing, struct{}{}, nil) != nil {
		return false
	}
	r.domainAnswered(c.FailureDomain)
	return true
}

// Close ends the connections to gateways.
func (r *Router) Close() {
	r.closeOnce.Do(func() { close(r.closed) })
	r.mu.Lock()
	clients := slices.Collect(maps.Values(r.clients))
	r.mu.Unlock()
	for _, client := range clients {
		client.Close()
	}
}

func (r *Router) gatewayFailed(name string, err error) {
	r.mu.Lock()
	first := r.picker.RecordFailure(name, r.clock())
	r.mu.Unlock()
	if first {
		r.log.WithFields(logrus.Fields{"event": "gateway_failed", "gateway": name, "error": err.Error()}).Info("gateway does not answer")
	}
	if isSilence(err) {
		r.recordSilence(name)
	}
}

// isSilence reports whether an error of a call means that nothing answered, as opposed to
// an error that the other machine reported.
func isSilence(err error) bool {
	var notSent *peer.NotSentError
	var timeout net.Error
	return errors.Is(err, errGatewaySilent) || errors.As(err, &notSent) && errors.As(err, &timeout) && timeout.Timeout()
}

// recordSilence records that an instance is silent, and watches its failure domain if that
// appears to be cut off.
func (r *Router) recordSilence(name string) {
	r.mu.Lock()
	domain, suspended := r.picker.RecordSilence(name, r.clock())
	r.mu.Unlock()
	if suspended {
		r.log.WithFields(logrus.Fields{"event": "domain_silent", "failure_domain": domain}).Info("no instance of a failure domain answers; its gateways are not used")
		go r.watchDomain(domain)
	}
}

// watchDomain pings the instances of a suspended failure domain in turn until one answers
// or none is announced any more.
func (r *Router) watchDomain(domain string) {
	for attempt := 0; ; attempt++ {
		select {
		case <-r.closed:
			return
		case <-time.After(domainCheckInterval):
		}
		r.mu.Lock()
		suspended := r.picker.Suspended(domain)
		r.mu.Unlock()
		if !suspended {
			return
		}
		r.askWitness(domain, "", attempt)
	}
}

// probeDomain asks another instance of the failure domain of a gateway that is silent for
// an answer, unless one is being asked.
func (r *Router) probeDomain(domain, silent string) {
	r.mu.Lock()
	busy := r.probing[domain]
	r.probing[domain] = true
	r.mu.Unlock()
	if busy {
		return
	}
	if name, answered := r.askWitness(domain, silent, 0); name != "" && !answered {
		r.recordSilence(name)
	}
	r.mu.Lock()
	delete(r.probing, domain)
	r.mu.Unlock()
}

// askWitness pings an instance of a failure domain and records an answer; the name is
// empty if there is no such instance.
func (r *Router) askWitness(domain, except string, attempt int) (name string, answered bool) {
	r.mu.Lock()
	c, ok := r.picker.Witness(domain, except, attempt)
	if !ok {
		r.mu.Unlock()
		return "", false
	}
	client := r.client(c)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	var answerErr *peer.Error
	if err := client.Call(ctx, methodPing, struct{}{}, nil); err != nil && !errors.As(err, &answerErr) && isTimeout(err) {
		return c.Name, false
	}
	// A refused connection shows as well that the domain can be reached.
	r.domainAnswered(domain)
	return c.Name, true
}

// isTimeout reports whether a call ended without any sign of the other machine.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// domainAnswered records an answer from a failure domain.
func (r *Router) domainAnswered(domain string) {
	if domain == r.domain {
		return
	}
	r.reachability.RecordAnswer()
	r.mu.Lock()
	back := r.picker.RecordAlive(domain)
	r.mu.Unlock()
	if back {
		r.log.WithFields(logrus.Fields{"event": "domain_back", "failure_domain": domain}).Info("a failure domain answers again")
	}
}

func (r *Router) gatewayStarting(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.RecordStarting(name, r.clock())
}

// answered records that the gateway of the path has executed a job.
func (p *path) answered(l load) {
	if p.excludedUntil > 0 && !l.Leaving {
		p.router.mu.Lock()
		p.router.picker.RecordLastResortAnswer(p.gateway)
		p.router.mu.Unlock()
	}
	p.router.gatewayAnswered(p.gateway, p.target, l)
}

func (r *Router) gatewayAnswered(name string, t target, l load) {
	r.mu.Lock()
	now := r.clock()
	r.picker.RecordAnswer(name, now)
	if l.known() {
		reported := l.toSchedule()
		r.queueWaits[target{Service: t.Service, Member: t.Member}] = queueWait{reported.Wait, now}
		r.controller(name).RecordLoad(t.Member, reported, now)
	}
	first := l.Leaving && r.picker.RecordLeaving(name, now)
	r.mu.Unlock()
	if first {
		r.log.WithFields(logrus.Fields{"event": "gateway_leaving", "gateway": name}).Info("gateway is leaving")
	}
}

// path is the way to a member through one gateway; it implements group.Gateway.
type path struct {
	router  *Router
	gateway string
	domain  string // failure domain of the gateway
	client  *peer.Client
	target
	// excludedUntil is the end of the gateway's exclusion if it is used although it is
	// excluded, because no gateway of the member is available; otherwise 0.
	excludedUntil time.Duration
}

// minRetryAfter is the least suggested delay of a retry after no gateway was available.
const minRetryAfter = 50 * time.Millisecond

// notReached returns the result of a job that the gateway has not accepted. It is final if
// no other gateway is available.
func (p *path) notReached(err error) (r upstream.Result, final bool) {
	if p.excludedUntil == 0 {
		return upstream.NotSent(err), false
	}
	return upstream.NotSent(verdict.New(verdict.CutOff, "no gateway of member %s is available: %v", p.Member, err).WithRetryAfter(max(p.excludedUntil-p.router.clock(), minRetryAfter))), true
}

// controller returns the admission controller for the members of a gateway. r.mu is held.
func (r *Router) controller(gateway string) *schedule.AdmissionController {
	c := r.admission[gateway]
	if c == nil {
		c = schedule.NewAdmissionController(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		r.admission[gateway] = c
	}
	return c
}

// admit returns the error for a job that the gateway would refuse. Some of these jobs are
// admitted to detect a recovery, and all reads for which the other members are behind: the
// gateway counts those that it refuses, to decide about a switchover. flows are the names
// under which refusals of such jobs are recorded.
func (p *path) admit(j upstream.Job, flows ...string) error {
	if j.OnlyCandidate {
		return nil
	}
	ok, retryAfter := true, time.Duration(0)
	p.router.mu.Lock()
	for _, flow := range flows {
		if ok, retryAfter = p.router.controller(p.gateway).AdmitCaller(p.Member, flow, j.Rank, p.router.clock()); !ok {
			break
		}
	}
	p.router.mu.Unlock()
	if ok {
		return nil
	}
	if p.router.refusals != nil {
		p.router.refusals.CountEntryRefusal(j.Rank)
	}
	return verdict.New(verdict.Overloaded, "the queue for member %s at gateway %s is full", p.Member, p.gateway).WithRetryAfter(retryAfter)
}

// recordRefusal records that the gateway has refused a job of a flow.
func (p *path) recordRefusal(j upstream.Job, flow string, r upstream.Result) {
	var v *verdict.Error
	if r.Sent || !errors.As(r.Err, &v) || !v.IsOverload() || v.RetryAfter <= 0 {
		return
	}
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	p.router.controller(p.gateway).RecordRefusal(p.Member, flow, j.Rank, v.RetryAfter, p.router.clock())
}

// flowName identifies what a job shares a queue with: its workspace, or its caller.
func flowName(j upstream.Job) string {
	if j.Workspace != "" {
		return "workspace " + j.Workspace
	}
	return j.Caller
}

// transactionFlowName identifies the transactions of a flow that begin. A gateway that has no
// connection for another transaction of a workspace still runs its single statements.
func transactionFlowName(j upstream.Job) string { return "transactions of " + flowName(j) }

// ExpectedWait implements group.Gateway.
func (p *path) ExpectedWait(rank schedule.Rank) time.Duration {
	p.router.mu.Lock()
	defer p.router.mu.Unlock()
	known := p.router.queueWaits[target{Service: p.Service, Member: p.Member}]
	if p.router.clock()-known.at > loadMaxAge {
		return 0
	}
	return known.expected[rank]
}

// Outside implements group.Gateway.
func (p *path) Outside() bool { return p.domain != p.router.domain }

// Execute implements group.Gateway.
func (p *path) Execute(j upstream.Job) (upstream.Result, bool) {
	if err := p.admit(j, flowName(j)); err != nil {
		return upstream.NotSent(err), true
	}
	var answer executeAnswer
	encoded := p.encode(j)
	err := p.call(encoded.method(methodExecute), executeRequest{p.target, encoded}, &answer, j, encoded.Call)
	if err != nil {
		return p.unanswered(err)
	}
	p.answered(answer.Load)
	r := p.withGateway(answer.Result)
	p.recordRefusal(j, flowName(j), r)
	return r, true
}

// Open implements group.Gateway.
func (p *path) Open(begin statement.Statement, j upstream.Job) (upstream.Tx, upstream.OpenResult, bool) {
	if err := p.admit(j, flowName(j), transactionFlowName(j)); err != nil {
		return nil, upstream.OpenResult{Begin: upstream.NotSent(err)}, true
	}
	tx := &gatewayTx{path: p, id: p.router.lastTx.Add(1)}
	var answer openAnswer
	encoded := p.encode(j)
	request := openRequest{target: p.target, Tx: tx.id, Begin: begin, Job: encoded}
	request.BeginBytes = takeTexts(statementTexts(&request.Begin))
	method := encoded.method(methodOpen)
	if request.BeginBytes != nil {
		method = methodOpen + bytesSuffix
	}
	err := p.call(method, request, &answer, j, encoded.Call)
	if err != nil {
		tx.Abandon() // the gateway may have begun the transaction
		r, reached := p.unanswered(err)
		return nil, upstream.OpenResult{Begin: r}, reached
	}
	p.answered(answer.Load)
	o := upstream.OpenResult{Begin: p.withGateway(answer.Begin), First: p.withGateway(answer.First)}
	if !o.Begun() {
		p.recordRefusal(j, transactionFlowName(j), o.Begin)
		return nil, o, true
	}
	return tx, o, true
}

// Confirm implements group.Gateway.
func (p *path) Confirm(service string) (group.Confirmation, error) {
	var c group.Confirmation
	err := p.confirm(service, &c)
	var answerErr *peer.Error
	switch {
	case err == nil:
		return c, nil
	case errors.As(err, &answerErr) && answerErr.Code == codeStarting:
		p.router.gatewayStarting(p.gateway)
		return group.Confirmation{}, Class.Wrap(err)
	case p.Outside() && errors.As(err, &answerErr) && answerErr.Code == codeNoRound:
		// The gateway works, but the members do not answer. They would not answer this
		// instance either.
		return group.Confirmation{}, nil
	}
	p.router.gatewayFailed(p.gateway, err)
	return group.Confirmation{}, Class.Wrap(err)
}

func (p *path) confirm(service string, c *group.Confirmation) error {
	if p.Outside() {
		return p.call(methodConfirm, confirmRequest{service}, c, upstream.Job{Deadline: p.router.clock() + confirmTimeout}, 0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	return p.client.Call(ctx, methodConfirm, confirmRequest{service}, c)
}

// withGateway decodes a result and adds the name of the gateway.
func (p *path) withGateway(answer wireResult) upstream.Result {
	r := answer.toResult()
	r.Gateway = p.gateway
	return r
}

func (p *path) encode(j upstream.Job) wireJob {
	w := jobToWire(j, p.router.clock()+transitAllowance)
	if j.Gone != nil {
		w.Call = p.router.lastCall.Add(1)
	}
	return w
}

// errGatewaySilent means that a gateway neither answered a call nor a ping.
var errGatewaySilent = errors.New("gateway is silent")

// call makes a call for a job, until its deadline. If the gateway does not even answer
// a ping, call abandons a read, but keeps waiting for the outcome of a write. If the caller
// disconnects, call asks the gateway to cancel the job, whose number is id, and keeps
// waiting for the answer: the gateway answers at once if the job still waits in a queue.
// After an error, answer must not be read: the call may still write to it.
func (p *path) call(method string, params, answer any, j upstream.Job, id uint64) error {
	if p.Outside() {
		p.router.reachability.RecordRequest(p.gateway)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sent := time.Now()
	done := make(chan error, 1)
	go func() { done <- p.client.Call(ctx, method, params, answer) }()
	deadline := time.NewTimer(j.Deadline - p.router.clock())
	defer deadline.Stop()
	watch := time.NewTimer(silenceThreshold)
	defer watch.Stop()
	var pinged time.Time // zero unless the answer to a ping is awaited
	var departure <-chan time.Time
	if j.Gone != nil {
		ticker := time.NewTicker(departureCheckInterval)
		defer ticker.Stop()
		departure = ticker.C
	}
	for {
		select {
		case err := <-done:
			var answerErr *peer.Error
			if err == nil || errors.As(err, &answerErr) {
				p.router.domainAnswered(p.domain)
			}
			return err
		case <-deadline.C:
			return context.DeadlineExceeded
		case <-departure:
			if j.Gone() {
				departure = nil
				go p.cancel(ctx, id)
			}
			continue
		case <-watch.C:
		}
		answeredAt := p.lastAnswerSince(sent)
		switch silent := time.Since(answeredAt); {
		case silent < silenceThreshold || !pinged.IsZero() && !answeredAt.Before(pinged):
			pinged = time.Time{}
			watch.Reset(max(silenceThreshold-silent, silenceThreshold/2))
		case pinged.IsZero():
			pinged = time.Now()
			go p.ping(ctx)
			if p.Outside() {
				go p.router.probeDomain(p.domain, p.gateway)
			}
			watch.Reset(pingTimeout)
		default:
			p.router.gatewayFailed(p.gateway, errGatewaySilent)
			if !j.CommitsWrites {
				return errGatewaySilent
			}
		}
	}
}

// cancel asks the gateway to remove a job from its queue.
func (p *path) cancel(ctx context.Context, id uint64) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	// Without an answer, the job ends by its deadline.
	_ = p.client.Call(ctx, methodCancel, cancelRequest{id}, nil)
}

// ping makes a call that the gateway answers at once: a job that takes long, for example
// on a member that does not answer, does not show whether the gateway works.
func (p *path) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	// call checks the client's LastAnswer.
	if p.client.Call(ctx, methodPing, struct{}{}, nil) == nil {
		p.router.domainAnswered(p.domain)
	}
}

// lastAnswerSince returns when the gateway last answered, or sent if that is later.
func (p *path) lastAnswerSince(sent time.Time) time.Time {
	if answeredAt := p.client.LastAnswer(); answeredAt.After(sent) {
		return answeredAt
	}
	return sent
}

// unanswered returns the result of a call that failed with err. reached is false if the
// gateway did not accept the call and another one may; otherwise the result is final.
func (p *path) unanswered(err error) (r upstream.Result, reached bool) {
	var notSent *peer.NotSentError
	var answerErr *peer.Error
	switch {
	case errors.As(err, &answerErr) && answerErr.Code == codeStarting:
		p.router.gatewayStarting(p.gateway)
		return p.notReached(err)
	case errors.As(err, &notSent) || errors.As(err, &answerErr):
		p.router.gatewayFailed(p.gateway, err)
		return p.notReached(err)
	}
	// A slow job is no failure of the gateway, and call has already reported silence.
	if !errors.Is(err, errGatewaySilent) && !errors.Is(err, context.DeadlineExceeded) {
		p.router.gatewayFailed(p.gateway, err)
	}
	return upstream.Result{Err: &statement.ConnError{Sent: true, Timeout: errors.Is(err, context.DeadlineExceeded), Err: Class.New("gateway %s: %v", p.gateway, err)}, Sent: true, Gateway: p.gateway}, true
}

// gatewayTx is an open transaction on a gateway's connection.
type gatewayTx struct {
	path  *path
	id    uint64
	ended bool
}

// Run implements upstream.Tx.
func (t *gatewayTx) Run(j upstream.Job) upstream.Result {
	if t.ended {
		return upstream.NotSent(verdict.New(verdict.TransactionRolledBack, "the transaction has ended"))
	}
	var answer executeAnswer
	encoded := t.path.encode(j)
	err := t.path.call(encoded.method(methodNext), txRequest{t.id, encoded}, &answer, j, encoded.Call)
	if err == nil {
		t.path.answered(answer.Load)
		r := t.path.withGateway(answer.Result)
		t.ended = j.Statement.Kind == statement.Commit && r.Err == nil && r.Reply.State == statement.Idle
		return r
	}
	t.Abandon()
	r, reached := t.path.unanswered(err)
	rolledBack := verdict.New(verdict.TransactionRolledBack, "the gateway of the transaction was lost: %v", r.Err)
	return upstream.Result{Err: rolledBack, Sent: reached, Gateway: t.path.gateway}
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
		// If the call fails, closing the connection makes the gateway roll back.
		if err := t.path.client.Call(ctx, methodAbandon, txRequest{Tx: t.id}, nil); err != nil {
			t.path.client.Close()
		}
	}()
}

var _ group.Gateways = (*Router)(nil)
