package hop

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Executor runs jobs on members that this instance connects to; *group.Group is one.
type Executor interface {
	ExecuteFor(member string, primary bool, j upstream.Job) (r upstream.Result, known bool)
	OpenFor(member string, primary bool, begin statement.Statement, j upstream.Job) (tx upstream.Tx, o upstream.OpenResult, known bool)
	Confirm(ctx context.Context) (group.Confirmation, error)
	// LoadOf is the expected wait of a statement of the rank on a member.
	LoadOf(member string, r schedule.Rank) time.Duration
}

// Groups finds what the gateway part of an instance needs.
type Groups interface {
	// Executor returns the group of a service.
	Executor(service string) (Executor, bool)
	// Leaving reports whether the instance is about to stop.
	Leaving() bool
}

// server runs the statements of other instances.
type server struct {
	groups Groups
	clock  boottime.Clock

	mu sync.Mutex
	// txs are the open transactions of each connection; a connection that ends
	// rolls its own back.
	txs map[<-chan struct{}]map[uint64]*remoteTx
}

// remoteTx is a transaction of another instance.
type remoteTx struct {
	mu sync.Mutex  // held while a statement runs
	tx upstream.Tx // nil if it was not begun
}

func (t *remoteTx) abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tx != nil {
		t.tx.Abandon()
	}
}

// Register lets other instances use this one as a gateway.
func Register(p *peer.Server, groups Groups, clock boottime.Clock) {
	s := &server{groups: groups, clock: clock, txs: make(map[<-chan struct{}]map[uint64]*remoteTx)}
	p.Handle(methodExecute, s.execute)
	p.Handle(methodOpen, s.open)
	p.Handle(methodNext, s.next)
	p.Handle(methodAbandon, s.abandon)
	p.Handle(methodConfirm, s.confirm)
	p.Handle(methodPing, func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) { return struct{}{}, nil })
}

func notTaken(text string) *peer.Error { return peer.NewError(codeNotTaken, text) }

func (s *server) load(e Executor, member string, r schedule.Rank) load {
	return load{Wait: e.LoadOf(member, r), Leaving: s.groups.Leaving()}
}

func (s *server) execute(_ context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
	var req executeRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	e, found := s.groups.Executor(req.Service)
	if !found {
		return nil, notTaken("service " + req.Service + " is not known here")
	}
	r, known := e.ExecuteFor(req.Member, req.Primary, req.Job.job(s.clock))
	if !known {
		return nil, notTaken(r.Err.Error())
	}
	return executeAnswer{resultToWire(r), s.load(e, req.Member, req.Job.Rank)}, nil
}

func (s *server) open(_ context.Context, params json.RawMessage, closed <-chan struct{}) (any, *peer.Error) {
	var req openRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	e, found := s.groups.Executor(req.Service)
	if !found {
		return nil, notTaken("service " + req.Service + " is not known here")
	}
	tx := s.register(closed, req.Tx)
	defer tx.mu.Unlock()
	begun, o, known := e.OpenFor(req.Member, req.Primary, req.Begin, req.Job.job(s.clock))
	if begun == nil {
		s.forget(closed, req.Tx)
	}
	tx.tx = begun
	if !known {
		return nil, notTaken(o.Begin.Err.Error())
	}
	return openAnswer{resultToWire(o.Begin), resultToWire(o.First), s.load(e, req.Member, req.Job.Rank)}, nil
}

// register returns a new transaction of a connection, locked. Until it is
// unlocked, an order to abandon it waits.
func (s *server) register(closed <-chan struct{}, id uint64) *remoteTx {
	tx := &remoteTx{}
	tx.mu.Lock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txs[closed] == nil {
		s.txs[closed] = make(map[uint64]*remoteTx)
		go s.abandonAll(closed)
	}
	s.txs[closed][id] = tx
	return tx
}

func (s *server) forget(closed <-chan struct{}, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.txs[closed], id)
}

// abandonAll rolls back what a connection leaves open.
func (s *server) abandonAll(closed <-chan struct{}) {
	<-closed
	s.mu.Lock()
	left := s.txs[closed]
	delete(s.txs, closed)
	s.mu.Unlock()
	for _, tx := range left {
		tx.abandon()
	}
}

func (s *server) find(closed <-chan struct{}, id uint64) *remoteTx {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.txs[closed][id]
}

func (s *server) next(_ context.Context, params json.RawMessage, closed <-chan struct{}) (any, *peer.Error) {
	var req txRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	tx := s.find(closed, req.Tx)
	if tx == nil {
		return nil, notTaken("the transaction has ended")
	}
	tx.mu.Lock()
	defer tx.mu.Unlock()
	if tx.tx == nil {
		return nil, notTaken("the transaction was not begun")
	}
	r := tx.tx.Run(req.Job.job(s.clock))
	if req.Job.Statement.Kind == statement.Commit && r.Err == nil && r.Reply.State == statement.Idle {
		s.forget(closed, req.Tx)
	}
	return executeAnswer{resultToWire(r), load{Leaving: s.groups.Leaving()}}, nil
}

func (s *server) abandon(_ context.Context, params json.RawMessage, closed <-chan struct{}) (any, *peer.Error) {
	var req txRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	tx := s.find(closed, req.Tx)
	if tx != nil {
		tx.abandon()
		s.forget(closed, req.Tx)
	}
	return struct{}{}, nil
}

// confirmLimit bounds a round of questions that another instance asks for.
const confirmLimit = 400 * time.Millisecond

func (s *server) confirm(ctx context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
	var req confirmRequest
	if err := peer.Decode(params, &req); err != nil {
		return nil, err
	}
	e, found := s.groups.Executor(req.Service)
	if !found {
		return nil, notTaken("service " + req.Service + " is not known here")
	}
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	c, err := e.Confirm(ctx)
	if err != nil {
		return nil, notTaken(err.Error())
	}
	return c, nil
}
