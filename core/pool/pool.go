// Package pool is the connection pool of one upstream that this instance owns: it assigns
// connections to requests, keeps a minimum of idle ones, stays within the granted budget,
// and drains when the upstream is handed over to another owner. It is a state machine
// without I/O: time is passed in, as a duration since a common start, and each event
// returns the resulting actions, which an adapter (the code that does the I/O) executes.
package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/verdict"
)

const (
	// DefaultMaxWaiting is the default limit of requests that wait for a connection.
	// The scheduler admits few at a time; more wait only while transactions pin the
	// connections.
	DefaultMaxWaiting = 64
	// minBackoff and maxBackoff limit the delay after a connection could not be opened.
	// Opening takes about 10 ms, and a hand-over frees connections within a second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// limitRetryAfter is the retry delay sent to callers while the pool has no connection
	// for their request.
	limitRetryAfter = time.Second
	// drainRetryAfter is the retry delay sent to callers while the pool drains; after it,
	// another owner has taken over.
	drainRetryAfter = time.Second
)

// Config holds the settings of a Pool.
type Config struct {
	Budget   int           // connections granted to this owner, including the reserved ones
	Reserved int           // connections kept for monitoring and promotion, which the pool never opens
	MinIdle  int           // idle connections to keep open ahead of demand
	MaxIdle  time.Duration // idle time after which a connection beyond MinIdle is closed; 0 means never
	// MaxWaiting limits the waiting requests; 0 means DefaultMaxWaiting.
	MaxWaiting int
	// Rand is the source of the jitter of the backoff; nil means a fixed seed.
	Rand *rand.Rand
}

// ConnID identifies a connection. The pool assigns IDs and never reuses them.
type ConnID uint64

// Action is an Open, Close, Assign or Refuse. The adapter executes actions in the given
// order and completes a Close before the next Open, so that the upstream never has more
// connections than the pool counts.
type Action interface{}

// Open requests a new connection. Its result is reported by Opened or OpenFailed.
type Open struct{ Conn ConnID }

// Close requests that a connection is closed. The pool no longer counts it.
type Close struct {
	Conn   ConnID
	Reason Reason
}

// Assign assigns a connection to a request until Release or Lost.
type Assign struct {
	Request uint64
	Conn    ConnID
}

// Refuse rejects a request that was not assigned a connection and has not been executed.
type Refuse struct {
	Request uint64
	Err     *verdict.Error
}

// Reason is the reason for which a connection is closed.
type Reason uint8

const (
	// Dirty means that the connection was released while in a transaction, with outstanding
	// responses, or in an unknown state.
	Dirty Reason = iota
	// Shrink means that the budget was reduced.
	Shrink
	// Idle means that the connection was idle for Config.MaxIdle.
	Idle
	// Drained means that this owner hands the upstream over.
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
//     Budget - Reserved. They exceed it only after SetBudget has reduced it; then idle
//     connections are closed immediately, and others when they are released.
//   - A connection is assigned to at most one request at a time.
//   - A connection released dirty is closed and never assigned again.
//   - A request waits only while no connection is idle.
type Pool struct {
	cfg          Config
	lastID       ConnID
	conns        map[ConnID]*conn
	idle         []ConnID // longest idle first
	opening      int      // connections being opened
	waiting      []uint64 // request numbers, first in first out
	draining     bool
	openFailures int           // failed attempts to open since the last success
	unreachable  bool          // the last attempt failed for a reason other than the connection limit
	backoffUntil time.Duration // no connection is opened before
	actions      []Action
}

// New returns a Pool without connections. The first event opens MinIdle connections.
func New(cfg Config) *Pool {
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 2))
	}
	return &Pool{cfg: cfg, conns: make(map[ConnID]*conn)}
}

// Stats holds the current numbers of connections and of waiting requests.
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

// Acquire requests a connection for a request, which the actions identify by the same
// number. The result is an Assign or a Refuse, returned now or by a later event.
func (p *Pool) Acquire(request uint64, now time.Duration) []Action {
	switch {
	case p.draining:
		p.refuse(request, drainError())
	case p.limit() == 0:
		p.refuse(request, limitError())
	case len(p.idle) > 0:
		p.assign(p.popMostRecent(), request)
	case p.unreachable && len(p.conns) == 0 && now < p.backoffUntil:
		p.refuse(request, p.unreachableError(now))
	case len(p.waiting) >= p.cfg.MaxWaiting:
		err := verdict.New(verdict.Overloaded, "%d requests wait for a connection", len(p.waiting))
		p.refuse(request, err.WithRetryAfter(limitRetryAfter))
	default:
		p.waiting = append(p.waiting, request)
	}
	return p.takeActions(now)
}

// Cancel removes a waiting request. It does not affect a request that has been assigned a
// connection, which is returned by Release.
func (p *Pool) Cancel(request uint64, now time.Duration) []Action {
	if i := slices.Index(p.waiting, request); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	return p.takeActions(now)
}

// Release returns an assigned connection. clean means that the database server is idle
// outside a transaction and has no outstanding response.
func (p *Pool) Release(id ConnID, clean bool, now time.Duration) []Action {
	c := p.conns[id]
	if c == nil || c.state != busy {
		return p.takeActions(now)
	}
	if clean {
		p.reuse(id, c, now)
	} else {
		p.close(id, Dirty)
	}
	return p.takeActions(now)
}

// Opened reports that a connection is ready.
func (p *Pool) Opened(id ConnID, now time.Duration) []Action {
	c := p.conns[id]
	if c == nil || c.state != opening {
		return p.takeActions(now)
	}
	p.opening--
	p.openFailures, p.unreachable, p.backoffUntil = 0, false, 0
	p.reuse(id, c, now)
	return p.takeActions(now)
}

// OpenFailed reports that a connection could not be opened. limitReached means that the
// upstream's own connection limit was reached, as during a hand-over; requests then keep
// waiting. Otherwise they are refused if there is no other connection.
func (p *Pool) OpenFailed(id ConnID, limitReached bool, now time.Duration) []Action {
	c := p.conns[id]
	if c == nil || c.state != opening {
		return p.takeActions(now)
	}
	p.opening--
	delete(p.conns, id)
	p.openFailures++
	p.unreachable = !limitReached
	p.backoffUntil = now + p.backoff()
	if p.unreachable && len(p.conns) == 0 {
		p.refuseAll(func() *verdict.Error { return p.unreachableError(now) })
	}
	return p.takeActions(now)
}

// Lost reports that an open connection has failed. The adapter ends the request to which it
// was assigned, if any.
func (p *Pool) Lost(id ConnID, now time.Duration) []Action {
	c := p.conns[id]
	if c == nil || c.state == opening {
		return p.takeActions(now)
	}
	p.remove(id, c)
	return p.takeActions(now)
}

// SetBudget sets the number of granted connections. If it is reduced, the longest idle
// connections are closed now and others when they are released.
func (p *Pool) SetBudget(n int, now time.Duration) []Action {
	p.cfg.Budget = n
	for len(p.idle) > 0 && p.overLimit() {
		p.close(p.idle[0], Shrink)
	}
	if p.limit() == 0 {
		p.refuseAll(limitError)
	}
	return p.takeActions(now)
}

// Drain closes idle connections now and others when they are released, and refuses all
// waiting and later requests.
func (p *Pool) Drain(now time.Duration) []Action {
	p.draining = true
	for len(p.idle) > 0 {
		p.close(p.idle[0], Drained)
	}
	p.refuseAll(drainError)
	return p.takeActions(now)
}

// Tick closes connections that have been idle for MaxIdle and opens those that are due
// after a backoff. Adapters call it several times per second.
func (p *Pool) Tick(now time.Duration) []Action {
	for p.cfg.MaxIdle > 0 && len(p.idle) > p.cfg.MinIdle {
		if now-p.conns[p.idle[0]].idleSince < p.cfg.MaxIdle {
			break
		}
		p.close(p.idle[0], Idle)
	}
	return p.takeActions(now)
}

func (p *Pool) limit() int { return max(p.cfg.Budget-p.cfg.Reserved, 0) }

func (p *Pool) overLimit() bool { return len(p.conns) > p.limit() }

// reuse assigns a clean connection to the next request, keeps it idle, or closes it.
func (p *Pool) reuse(id ConnID, c *conn, now time.Duration) {
	switch {
	case p.draining:
		p.close(id, Drained)
	case p.overLimit():
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

// popMostRecent removes the most recently used connection from the idle ones, so that the
// others reach MaxIdle when demand falls.
func (p *Pool) popMostRecent() ConnID {
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
	p.remove(id, p.conns[id])
	p.actions = append(p.actions, Close{Conn: id, Reason: reason})
}

func (p *Pool) remove(id ConnID, c *conn) {
	if c.state == idle {
		i := slices.Index(p.idle, id)
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	delete(p.conns, id)
}

// takeActions opens the connections that are needed and returns the pending actions.
func (p *Pool) takeActions(now time.Duration) []Action {
	if !p.draining && now >= p.backoffUntil {
		p.openWanted()
	}
	actions := p.actions
	p.actions = nil
	return actions
}

// openWanted opens connections for the waiting requests and MinIdle. After a failure it
// opens one at a time until one succeeds.
func (p *Pool) openWanted() {
	wanted := len(p.waiting) + p.cfg.MinIdle - len(p.idle) - p.opening
	if p.openFailures > 0 {
		wanted = min(wanted, 1-p.opening)
	}
	for ; wanted > 0 && len(p.conns) < p.limit(); wanted-- {
		p.lastID++
		p.conns[p.lastID] = &conn{state: opening}
		p.opening++
		p.actions = append(p.actions, Open{Conn: p.lastID})
	}
}

// backoff returns a delay that doubles with each failure. Half of it is random, so that
// owners do not retry at the same time.
func (p *Pool) backoff() time.Duration {
	d := minBackoff << min(p.openFailures-1, 10)
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

func (p *Pool) unreachableError(now time.Duration) *verdict.Error {
	err := verdict.New(verdict.CutOff, "upstream accepts no connection after %d attempts", p.openFailures)
	return err.WithRetryAfter(max(p.backoffUntil-now, time.Millisecond))
}
