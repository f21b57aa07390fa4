// Package pool manages the connections of one owned upstream: the budget, idle
// connections, warm-up and hand-over. It is a pure state machine: time is passed
// in, and each event returns the resulting actions.
package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/verdict"
)

const (
	// DefaultMaxWaiting bounds the requests that wait for a connection. The
	// scheduler admits few at a time; more wait only while transactions pin
	// the connections.
	DefaultMaxWaiting = 64
	// minBackoff and maxBackoff bound the delay after failed opens. Opening
	// takes about 10 ms, and a hand-over frees connections within a second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// limitRetryAfter is sent while the pool has no connections to give.
	limitRetryAfter = time.Second
	// drainRetryAfter is sent while draining; by then another owner has taken over.
	drainRetryAfter = time.Second
)

// Config holds the settings of a Pool.
type Config struct {
	Budget   int           // connections granted to this owner, the reserved ones included
	Reserved int           // connections kept for monitoring and promotion, which the pool never opens
	MinIdle  int           // idle connections opened ahead of demand
	MaxIdle  time.Duration // idle time after which connections beyond MinIdle are closed; 0: never
	// MaxWaiting bounds the waiting requests; 0 selects DefaultMaxWaiting.
	MaxWaiting int
	// Rand supplies the jitter of the back-off; nil selects a fixed seed.
	Rand *rand.Rand
}

// ConnID identifies a connection. The pool assigns IDs and never reuses them.
type ConnID uint64

// Action is Open, Close, Assign or Refuse. The adapter executes actions in the
// given order and closes a connection before it opens the next one, so that the
// upstream never sees more connections than the pool counts.
type Action interface{}

// Open asks for a new connection; the answer is Opened or OpenFailed.
type Open struct{ Conn ConnID }

// Close asks to close a connection. The pool has already forgotten it.
type Close struct {
	Conn   ConnID
	Reason Reason
}

// Assign gives a connection to a request until Release or Lost.
type Assign struct {
	Request uint64
	Conn    ConnID
}

// Refuse ends the wait of a request without a connection. The request was not run.
type Refuse struct {
	Request uint64
	Err     *verdict.Error
}

// Reason says why a connection is closed.
type Reason uint8

const (
	// Dirty means that the state of the connection is not known to be clean.
	Dirty Reason = iota
	// Shrink means that the budget has been lowered.
	Shrink
	// Idle means that the connection has been idle for too long.
	Idle
	// Drained means that this owner gives up the upstream.
	Drained
)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	return [...]string{"dirty", "shrink", "idle", "drained"}[min(r, Drained)]
}

type connState uint8

const (
	opening connState = iota
	idle
	busy
)

type conn struct {
	state     connState
	idleSince time.Duration
}

// Pool is the connection pool of one upstream. It is not safe for concurrent use.
//
// Invariants:
//   - A connection is opened only while open plus opening connections are below
//     Budget - Reserved. Only SetBudget can make them exceed it; then only idle
//     connections are closed at once, and others as they come back.
//   - A connection is assigned to at most one request at a time.
//   - A connection released dirty is closed and never assigned again.
//   - A request waits only while no connection is idle.
type Pool struct {
	cfg      Config
	lastID   ConnID
	conns    map[ConnID]*conn
	idle     []ConnID // longest idle first
	opening  int
	waiting  []uint64 // first come, first served
	draining bool
	failures int           // failed opens since the last success
	cutOff   bool          // the last open failed for another reason than the connection limit
	openAt   time.Duration // end of the back-off
	actions  []Action
}

// New returns a Pool without connections. The first event opens the warm ones.
func New(cfg Config) *Pool {
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 2))
	}
	return &Pool{cfg: cfg, conns: make(map[ConnID]*conn)}
}

// Stats are the current numbers of connections and waiting requests.
type Stats struct {
	Limit   int `json:"limit"` // Budget - Reserved
	Opening int `json:"opening"`
	Idle    int `json:"idle"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
}

// Stats returns the current numbers.
func (p *Pool) Stats() Stats {
	return Stats{
		Limit: p.limit(), Opening: p.opening, Idle: len(p.idle),
		Busy: len(p.conns) - p.opening - len(p.idle), Waiting: len(p.waiting),
	}
}

// Acquire asks for a connection for a request. The answer is an Assign or a
// Refuse, now or from a later event.
func (p *Pool) Acquire(request uint64, now time.Duration) []Action {
	switch {
	case p.draining:
		p.refuse(request, drainError())
	case p.limit() == 0:
		p.refuse(request, limitError())
	case len(p.idle) > 0:
		p.assign(p.takeNewest(), request)
	case p.cutOff && len(p.conns) == 0 && now < p.openAt:
		p.refuse(request, p.cutOffError(now))
	case len(p.waiting) >= p.cfg.MaxWaiting:
		err := verdict.New(verdict.Overloaded, "%d requests wait for a connection", len(p.waiting))
		p.refuse(request, err.WithRetryAfter(limitRetryAfter))
	default:
		p.waiting = append(p.waiting, request)
	}
	return p.finish(now)
}

// Cancel ends the wait of a request. A request that has been assigned a
// connection is not affected: its connection comes back through Release.
func (p *Pool) Cancel(request uint64, now time.Duration) []Action {
	if i := slices.Index(p.waiting, request); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	return p.finish(now)
}

// Release returns an assigned connection. clean means that the server is idle
// outside a transaction and owes no response.
func (p *Pool) Release(id ConnID, clean bool, now time.Duration) []Action {
	c := p.conns[id]
	if c == nil || c.state != busy {
		return p.finish(now)
	}
	if clean {
		p.place(id, c, now)
	} else {
		p.close(id, Dirty)
	}
	return p.finish(now)
}

// Opened reports that a connection is ready.
func (p *Pool) Opened(id ConnID, now time.Duration) []Action {
	c := p.conns[id]
	if c == nil || c.state != opening {
		return p.finish(now)
	}
	p.opening--
	p.failures, p.cutOff, p.openAt = 0, false, 0
	p.place(id, c, now)
	return p.finish(now)
}

// OpenFailed reports that a connection could not be opened. limit means that
// the upstream's own connection limit was reached, as during a hand-over:
// requests then keep waiting. Otherwise they are refused if no other
// connection exists.
func (p *Pool) OpenFailed(id ConnID, limit bool, now time.Duration) []Action {
	c := p.conns[id]
	if c == nil || c.state != opening {
		return p.finish(now)
	}
	p.opening--
	delete(p.conns, id)
	p.failures++
	p.cutOff = !limit
	p.openAt = now + p.backoff()
	if p.cutOff && len(p.conns) == 0 {
		p.refuseAll(func() *verdict.Error { return p.cutOffError(now) })
	}
	return p.finish(now)
}

// Lost reports that an open connection has failed. Its request, if any, is
// concluded by the adapter.
func (p *Pool) Lost(id ConnID, now time.Duration) []Action {
	c := p.conns[id]
	if c == nil || c.state == opening {
		return p.finish(now)
	}
	p.forget(id, c)
	return p.finish(now)
}

// SetBudget changes the granted connections. A shrink closes the longest idle
// connections now and others when they come back.
func (p *Pool) SetBudget(n int, now time.Duration) []Action {
	p.cfg.Budget = n
	for len(p.idle) > 0 && p.over() {
		p.close(p.idle[0], Shrink)
	}
	if p.limit() == 0 {
		p.refuseAll(limitError)
	}
	return p.finish(now)
}

// Drain closes idle connections, and others when they come back, and refuses
// all waiting and later requests.
func (p *Pool) Drain(now time.Duration) []Action {
	p.draining = true
	for len(p.idle) > 0 {
		p.close(p.idle[0], Drained)
	}
	p.refuseAll(drainError)
	return p.finish(now)
}

// Tick closes connections that have been idle for too long and opens those
// that are due after a back-off. Adapters call it several times a second.
func (p *Pool) Tick(now time.Duration) []Action {
	for p.cfg.MaxIdle > 0 && len(p.idle) > p.cfg.MinIdle {
		if now-p.conns[p.idle[0]].idleSince < p.cfg.MaxIdle {
			break
		}
		p.close(p.idle[0], Idle)
	}
	return p.finish(now)
}

func (p *Pool) limit() int { return max(p.cfg.Budget-p.cfg.Reserved, 0) }

func (p *Pool) over() bool { return len(p.conns) > p.limit() }

// place gives a clean connection to the next request, keeps it idle, or closes it.
func (p *Pool) place(id ConnID, c *conn, now time.Duration) {
	switch {
	case p.draining:
		p.close(id, Drained)
	case p.over():
		p.close(id, Shrink)
	case len(p.waiting) > 0:
		request := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		p.assign(id, request)
	default:
		c.state = idle
		c.idleSince = now
		p.idle = append(p.idle, id)
	}
}

// takeNewest removes the connection that was used last, so that the others
// reach MaxIdle when demand falls.
func (p *Pool) takeNewest() ConnID {
	n := len(p.idle) - 1
	id := p.idle[n]
	p.idle = p.idle[:n]
	return id
}

func (p *Pool) assign(id ConnID, request uint64) {
	p.conns[id].state = busy
	p.actions = append(p.actions, Assign{Request: request, Conn: id})
}

func (p *Pool) close(id ConnID, reason Reason) {
	p.forget(id, p.conns[id])
	p.actions = append(p.actions, Close{Conn: id, Reason: reason})
}

func (p *Pool) forget(id ConnID, c *conn) {
	if c.state == idle {
		i := slices.Index(p.idle, id)
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	delete(p.conns, id)
}

// finish opens the connections that are wanted and returns all actions.
func (p *Pool) finish(now time.Duration) []Action {
	if !p.draining && now >= p.openAt {
		p.open()
	}
	actions := p.actions
	p.actions = nil
	return actions
}

// open opens connections for the waiting requests and the warm reserve. After
// a failure it opens one at a time until one succeeds.
func (p *Pool) open() {
	wanted := len(p.waiting) + p.cfg.MinIdle - len(p.idle) - p.opening
	if p.failures > 0 {
		wanted = min(wanted, 1-p.opening)
	}
	for ; wanted > 0 && len(p.conns) < p.limit(); wanted-- {
		p.lastID++
		p.conns[p.lastID] = &conn{state: opening}
		p.opening++
		p.actions = append(p.actions, Open{Conn: p.lastID})
	}
}

// backoff returns a delay that doubles with each failure, of which a random
// half is kept so that owners don't retry together.
func (p *Pool) backoff() time.Duration {
	d := minBackoff << min(p.failures-1, 10)
	d = min(d, maxBackoff)
	return d/2 + time.Duration(p.cfg.Rand.Int64N(int64(d/2)+1))
}

func (p *Pool) refuse(request uint64, err *verdict.Error) {
	p.actions = append(p.actions, Refuse{Request: request, Err: err})
}

func (p *Pool) refuseAll(reason func() *verdict.Error) {
	for _, request := range p.waiting {
		p.refuse(request, reason())
	}
	p.waiting = p.waiting[:0]
}

func drainError() *verdict.Error {
	return verdict.New(verdict.Draining, "upstream is handed over to another owner").WithRetryAfter(drainRetryAfter)
}

func limitError() *verdict.Error {
	return verdict.New(verdict.ConnectionLimit, "no connections are granted to this owner").WithRetryAfter(limitRetryAfter)
}

func (p *Pool) cutOffError(now time.Duration) *verdict.Error {
	err := verdict.New(verdict.CutOff, "upstream accepts no connection after %d attempts", p.failures)
	return err.WithRetryAfter(max(p.openAt-now, time.Millisecond))
}
