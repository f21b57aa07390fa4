package hop

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Executor runs jobs on members to which this instance connects; *group.Group
// implements it. known is false if this instance does not know the member; nothing was
// executed then.
type Executor interface {
	ExecuteFor(member string, primary bool, j upstream.Job) (r upstream.Result, known bool)
	OpenFor(member string, primary bool, begin statement.Statement, j upstream.Job) (tx upstream.Tx, o upstream.OpenResult, known bool)
	Confirm(ctx context.Context) (group.Confirmation, error)
	// Load returns the load of the queue for a member.
	Load(member string) schedule.Load
}

// Instance is what the gateway server needs of the instance that it runs in.
type Instance interface {
	// Executor returns the executor of a service, and false if the service is unknown.
	Executor(service string) (Executor, bool)
	// Leaving reports whether the instance is shutting down.
	Leaving() bool
	// AwaitStart waits until the instance has a configuration and the members, or until
	// the timeout, and reports whether it has them.
	AwaitStart(timeout time.Duration) bool
}

// maxStartWait bounds the time for which a call waits here because this instance has just
// started. A call waits for half of its time at most, so that another gateway can execute it
// after that.
const maxStartWait = time.Second

// executor returns the executor of a service for a call with this time left. If the instance
// has just started, it waits until the instance knows its services and members.
func (s *server) executor(service string, left time.Duration) (Executor, *peer.Error) {
	started := s.instance.AwaitStart(min(left/2, maxStartWait))
	executor, found := s.instance.Executor(service)
	switch {
	case found && started:
		return executor, nil
	case !started:
		return nil, peer.NewError(codeStarting, "the gateway is starting and has no configuration or no members yet")
	}
	return nil, notAccepted("service " + service + " is not known here")
}

// server runs statements for other instances.
type server struct {
	instance Instance
	clock    boottime.Clock

	mu sync.Mutex
	// txs holds the open transactions of each connection, by the channel that is closed
	// when the connection ends, which rolls them back.
	txs map[<-chan struct{}]map[uint64]*remoteTx
	// calls holds, for each job that may be cancelled, whether it was.
	calls map[callKey]*atomic.Bool
}

// remoteTx is a transaction that runs here for another instance.
type remoteTx struct {
	// running holds a token while a statement runs. It is a channel instead of a mutex
	// because testing/synctest advances its clock while goroutines wait for a channel.
	running chan struct{}
	tx      upstream.Tx // nil if it could not be begun
}

func (t *remoteTx) lock()   { t.running <- struct{}{} }
func (t *remoteTx) unlock() { <-t.running }

func (t *remoteTx) abandon() {
	t.lock()
	defer t.unlock()
	if t.tx != nil {
		t.tx.Abandon()
	}
}

// Register adds the methods of this package to p, so that other instances can use this
// one as a gateway.
func Register(p *peer.Server, instance Instance, clock boottime.Clock) {
	s := &server{instance: instance, clock: clock, txs: make(map[<-chan struct{}]map[uint64]*remoteTx), calls: make(map[callKey]*atomic.Bool)}
	for _, suffix := range []string{"", bytesSuffix} {
		p.Handle(methodExecute+suffix, s.execute)
		p.Handle(methodOpen+suffix, s.open)
		p.Handle(methodNext+suffix, s.runInTx)
	}
	p.Handle(methodAbandon, s.abandon)
	p.Handle(methodConfirm, s.confirm)
	p.Handle(methodCancel, s.cancel)
	p.Handle(methodPing, func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) { return struct{}{}, nil })
}

func notAccepted(text string) *peer.Error { return peer.NewError(codeNotAccepted, text) }

func (s *server) load(executor Executor, member string) load {
	return loadToWire(executor.Load(member), s.instance.Leaving())
}

// callKey identifies a call by its connection and its number there.
type callKey struct {
	closed <-chan struct{}
	call   uint64
}

// begin returns the job of a call, which the caller's instance can cancel until end is
// called. The end of the connection cancels it, too.
func (s *server) begin(w wireJob, closed <-chan struct{}) (j upstream.Job, end func(), malformed *peer.Error) {
	j, err := w.toJob(s.clock)
	if err != nil {
		return j, nil, notAccepted(err.Error())
	}
	if w.Call == 0 {
		return j, func() {}, nil
	}
	key, cancelled := callKey{closed, w.Call}, new(atomic.Bool)
	j.Gone = func() bool {
		select {
		case <-closed:
			return true
		default:
			return cancelled.Load()
		}
	}
	s.mu.Lock()
	s.calls[key] = cancelled
	s.mu.Unlock()
	return j, func() {
		s.mu.Lock()
		delete(s.calls, key)
		s.mu.Unlock()
	}, nil
}

func (s *server) cancel(_ context.Context, params json.RawMessage, closed <-chan struct{}) (any, *peer.Error) {
	var req cancelRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	s.mu.Lock()
	cancelled := s.calls[callKey{closed, req.Call}]
	s.mu.Unlock()
	if cancelled != nil {
		cancelled.Store(true)
	}
	return struct{}{}, nil
}

func (s *server) execute(_ context.Context, params json.RawMessage, closed <-chan struct{}) (any, *peer.Error) {
	var req executeRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	job, end, err := s.begin(req.Job, closed)
	if err != nil {
		return nil, err
	}
	defer end()
	executor, err := s.executor(req.Service, req.Job.TimeLeft)
	if err != nil {
		return nil, err
	}
	r, known := executor.ExecuteFor(req.Member, req.Primary, job)
	if !known {
		return nil, notAccepted(r.Err.Error())
	}
	return executeAnswer{resultToWire(r), s.load(executor, req.Member)}, nil
}

func (s *server) open(_ context.Context, params json.RawMessage, closed <-chan struct{}) (any, *peer.Error) {
	var req openRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	if req.BeginBytes != nil {
		if err := req.BeginBytes.restore(statementTexts(&req.Begin)); err != nil {
			return nil, notAccepted(err.Error())
		}
	}
	job, end, err := s.begin(req.Job, closed)
	if err != nil {
		return nil, err
	}
	defer end()
	// The transaction is added first: it may be abandoned while executor waits.
	tx := s.addTx(closed, req.Tx)
	defer tx.unlock()
	executor, err := s.executor(req.Service, req.Job.TimeLeft)
	if err != nil {
		s.removeTx(closed, req.Tx)
		return nil, err
	}
	begun, o, known := executor.OpenFor(req.Member, req.Primary, req.Begin, job)
	if begun == nil {
		s.removeTx(closed, req.Tx)
	}
	tx.tx = begun
	if !known {
		return nil, notAccepted(o.Begin.Err.Error())
	}
	return openAnswer{resultToWire(o.Begin), resultToWire(o.First), s.load(executor, req.Member)}, nil
}

// addTx adds a transaction of a connection and returns it locked, so that a request to
// abandon it waits until it has begun.
func (s *server) addTx(closed <-chan struct{}, id uint64) *remoteTx {
	tx := &remoteTx{running: make(chan struct{}, 1)}
	tx.lock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txs[closed] == nil {
		s.txs[closed] = make(map[uint64]*remoteTx)
		go s.abandonAll(closed)
	}
	s.txs[closed][id] = tx
	return tx
}

func (s *server) removeTx(closed <-chan struct{}, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.txs[closed], id)
}

// abandonAll rolls back the open transactions of a connection once it has ended.
func (s *server) abandonAll(closed <-chan struct{}) {
	<-closed
	s.mu.Lock()
	open := s.txs[closed]
	delete(s.txs, closed)
	s.mu.Unlock()
	for _, tx := range open {
		tx.abandon()
	}
}

func (s *server) findTx(closed <-chan struct{}, id uint64) *remoteTx {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.txs[closed][id]
}

func (s *server) runInTx(_ context.Context, params json.RawMessage, closed <-chan struct{}) (any, *peer.Error) {
	var req txRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	tx := s.findTx(closed, req.Tx)
	if tx == nil {
		return nil, notAccepted("the transaction has ended")
	}
	tx.lock()
	defer tx.unlock()
	if tx.tx == nil {
		return nil, notAccepted("the transaction was not begun")
	}
	job, end, err := s.begin(req.Job, closed)
	if err != nil {
		return nil, err
	}
	defer end()
	r := tx.tx.Run(job)
	if req.Job.Statement.Kind == statement.Commit && r.Err == nil && r.Reply.State == statement.Idle {
		s.removeTx(closed, req.Tx)
	}
	return executeAnswer{resultToWire(r), load{Leaving: s.instance.Leaving()}}, nil
}

func (s *server) abandon(_ context.Context, params json.RawMessage, closed <-chan struct{}) (any, *peer.Error) {
	var req txRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	tx := s.findTx(closed, req.Tx)
	if tx != nil {
		tx.abandon()
		s.removeTx(closed, req.Tx)
	}
	return struct{}{}, nil
}

// confirmTimeout bounds a quorum round that another instance requests, on both
// sides.
const confirmTimeout = 400 * time.Millisecond

func (s *server) confirm(ctx context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
	var req confirmRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	executor, notReady := s.executor(req.Service, confirmTimeout)
	if notReady != nil {
		return nil, notReady
	}
	c, err := executor.Confirm(ctx)
	if err != nil {
		return nil, peer.NewError(codeNoRound, err.Error())
	}
	return c, nil
}
