// Package upstream is the client of one database member: a bounded queue with
// admission control, scheduled by core/schedule, and a small connection pool.
package upstream

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/lag"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// QueueLimit is the largest number of requests that wait for a member at one
	// instance. At 9 ms a statement and 3 at a time, a full queue takes 100 ms.
	QueueLimit = 32
	// initialServiceTime is the expected service time until there are measurements: the
	// mean of a statement in the users' site files (see deploy/compare).
	initialServiceTime = 9 * time.Millisecond
	// middleRankMinShare and lowestRankMinShare are the guaranteed shares of the two
	// lower ranks, as fractions of the execution slots.
	middleRankMinShare = 0.10
	lowestRankMinShare = 0.05
	// deadlineCheckInterval is how often waiting requests are checked for deadlines that
	// can no longer be met.
	deadlineCheckInterval = 20 * time.Millisecond
	// suspectDuration is how long a member stays suspect after a failure; other members
	// are preferred to a suspect one.
	suspectDuration = 500 * time.Millisecond
	// dialBackoff is the backoff after the member has refused a connection because of
	// its connection limit. It doubles with each further refusal up to maxDialBackoff.
	dialBackoff    = 20 * time.Millisecond
	maxDialBackoff = 320 * time.Millisecond
	// DialTimeout limits the opening of a connection: it takes 12 ms at an idle member,
	// and waits for up to 18 queued statements of 9 ms on two slots.
	DialTimeout = 400 * time.Millisecond
)

// Conn is a connection of the pool with the session state that is set on it.
type Conn struct {
	statement.Conn
	values   map[string]string
	prepared map[string]bool // prepared statements, by upstream name
	lastUsed time.Duration
	broken   bool
}

// Upstream is the client of one member. It is safe for concurrent use.
type Upstream struct {
	dialer statement.Dialer
	clock  boottime.Clock

	mu         sync.Mutex
	member     catalog.Member
	sched      *schedule.Scheduler
	lastTicket uint64                // returned by the last Acquire
	waiting    map[uint64]chan error // by ticket; receives nil once the statement may run
	ticking    bool                  // a call of checkDeadlines is scheduled
	closed     bool

	idleConns    []*Conn
	openConns    int           // idle, in use and being opened
	dialing      int           // of these, being opened
	limits       quota.Limits  // quota of this instance at the member
	noDialBefore time.Duration // end of the present dial backoff
	refusals     int           // consecutive refused connections
	connWaiters  []chan *Conn

	suspectUntil  time.Duration
	knownPosition position.Position // highest position known of the member's log
	lag           lag.Estimator
}

// New returns an Upstream without connections.
func New(m catalog.Member, limits quota.Limits, dialer statement.Dialer, clock boottime.Clock) *Upstream {
	return &Upstream{
		dialer: dialer, clock: clock, member: m, limits: limits,
		waiting: make(map[uint64]chan error),
		sched: schedule.New(schedule.Config{
			Slots: limits.MaxRunning, SlotLimit: limits.SlotLimit, QueueLimit: QueueLimit, InitialServiceTime: initialServiceTime,
			Floor: [schedule.NumRanks]float64{0, middleRankMinShare, lowestRankMinShare},
			Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
	}
}

// Member returns the member as last registered.
func (u *Upstream) Member() catalog.Member {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.member
}

// Update applies a newer registration of the same member. A new incarnation or address
// of the member closes all idle connections.
func (u *Upstream) Update(m catalog.Member, limits quota.Limits) {
	u.mu.Lock()
	var drop []*Conn
	if m.Started != u.member.Started || m.Address != u.member.Address {
		drop, u.idleConns = u.idleConns, nil
		u.openConns -= len(drop)
		u.knownPosition, u.lag = position.Position{}, lag.Estimator{}
	}
	if limits.MaxRunning != u.limits.MaxRunning || limits.SlotLimit != u.limits.SlotLimit {
		u.dispatch(u.sched.SetLimits(limits.MaxRunning, limits.SlotLimit, u.clock()))
	}
	u.member, u.limits = m, limits
	u.mu.Unlock()
	closeAll(drop)
}

// Close closes idle connections and refuses new statements. Running statements continue.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	idle := u.idleConns
	u.idleConns = nil
	u.openConns -= len(idle)
	u.dispatch(u.sched.Drain(u.clock()))
	u.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.Close()
	}
}

// Load returns the expected queueing time and service time of a new request. cold means
// that no idle connection is available.
func (u *Upstream) Load(r schedule.Rank) (wait, service time.Duration, cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	service = u.sched.ServiceTime(r)
	ahead := u.sched.Running()
	for i := range int(r) + 1 {
		ahead += u.sched.Waiting(schedule.Rank(i))
	}
	// The member executes as many statements in parallel as it has slots.
	wait = time.Duration(ahead) * service / time.Duration(max(u.member.Slots, 1))
	cold = len(u.idleConns) == 0
	if cold {
		wait += max(u.noDialBefore-u.clock(), 0)
	}
	return wait, service, cold
}

// Suspect reports whether the last request to the member failed, less than
// suspectDuration ago.
func (u *Upstream) Suspect() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clock() < u.suspectUntil
}

// Probing reports whether the member is suspect and a connection to it is being opened.
// Further requests should go to other members until the attempt has succeeded or failed.
func (u *Upstream) Probing() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dialing > 0 && u.clock() < u.suspectUntil
}

// RecordFailure marks the member as suspect for suspectDuration.
func (u *Upstream) RecordFailure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.suspectUntil = u.clock() + suspectDuration
}

// ObservePosition records a position that the member's log has reached. The member is
// no longer suspect.
func (u *Upstream) ObservePosition(p position.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.knownPosition = position.Max(u.knownPosition, p)
	u.suspectUntil = 0
}

// LikelyBehind reports whether the member has probably not reached position p, which
// the primary reached at the local time at. due means that a read may try the member
// nevertheless, to measure its lag again.
func (u *Upstream) LikelyBehind(p position.Position, at time.Duration) (behind, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.knownPosition.AtLeast(p) {
		return false, true
	}
	now := u.clock()
	return u.lag.Behind(now - at), u.lag.ProbeDue(now)
}

// RecordLagProbe records that a read tries the member although it is probably behind.
func (u *Upstream) RecordLagProbe() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lag.RecordProbe(u.clock())
}

// ObserveLag records whether the member had reached a position that the primary reached
// at the local time at.
func (u *Upstream) ObserveLag(at time.Duration, reached bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if age := u.clock() - at; reached {
		u.lag.RecordApplied(age)
	} else {
		u.lag.RecordMissing(age)
	}
}

// Acquire waits for an execution slot for one statement and returns its ticket, which
// must be passed to Release. The service time is measured from the grant of the slot to
// Release. The error is a *verdict.Error.
func (u *Upstream) Acquire(caller string, rank schedule.Rank, deadline time.Duration) (uint64, error) {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return 0, verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	u.lastTicket++
	ticket := u.lastTicket
	ready := make(chan error, 1)
	u.waiting[ticket] = ready
	u.dispatch(u.sched.Submit(schedule.Request{ID: ticket, Caller: caller, Rank: rank, Deadline: deadline}, u.clock()))
	if !u.ticking && len(u.waiting) > 0 {
		u.ticking = true
		time.AfterFunc(deadlineCheckInterval, u.checkDeadlines)
	}
	u.mu.Unlock()
	return ticket, <-ready
}

// Release frees an execution slot. measured is false if the time since Acquire is not a
// service time of the member.
func (u *Upstream) Release(ticket uint64, measured bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if measured {
		u.dispatch(u.sched.Done(ticket, u.clock()))
	} else {
		u.dispatch(u.sched.Cancel(ticket, u.clock()))
	}
}

// checkDeadlines rejects waiting requests whose deadlines can no longer be met, and runs
// again while any wait.
func (u *Upstream) checkDeadlines() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dispatch(u.sched.Tick(u.clock()))
	u.ticking = len(u.waiting) > 0
	if u.ticking {
		time.AfterFunc(deadlineCheckInterval, u.checkDeadlines)
	}
}

// dispatch wakes the requests that the scheduler has started or rejected. u.mu is held.
func (u *Upstream) dispatch(r schedule.Result) {
	for _, id := range r.Started {
		u.wake(id, nil)
	}
	for _, rejected := range r.Rejected {
		u.wake(rejected.ID, rejected.Err)
	}
}

func (u *Upstream) wake(ticket uint64, err error) {
	if ready := u.waiting[ticket]; ready != nil {
		delete(u.waiting, ticket)
		ready <- err
	}
}

// Checkout returns an idle connection, or opens one. It prefers a connection on which
// the session's values are already set. The error is a *verdict.Error, or the error of
// the dialer.
func (u *Upstream) Checkout(values map[string]string, timeout time.Duration) (*Conn, error) {
	deadline := u.clock() + timeout
	for {
		c, wait, pause, err := u.takeConn(values)
		if err != nil || c != nil {
			return c, err
		}
		if wait == nil {
			c, err = u.dial(min(deadline-u.clock(), DialTimeout))
			if !connLimitReached(err) {
				return c, err
			}
			continue
		}
		if c := u.awaitConn(wait, min(pause, deadline-u.clock())); c != nil {
			return c, nil
		}
		if u.clock() >= deadline {
			return nil, verdict.New(verdict.Overloaded, "no connection to upstream %s came free", u.Member().ID).WithRetryAfter(maxDialBackoff)
		}
	}
}

// connLimitReached reports whether the member's connection limit is reached.
func connLimitReached(err error) bool {
	reason, ok := statement.ReasonOf(err)
	return ok && reason == statement.TooManyConnections
}

// awaitConn waits for a connection that another request returns to the pool. It returns
// nil after the limit, or when the request should try again.
func (u *Upstream) awaitConn(wait chan *Conn, limit time.Duration) *Conn {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case c := <-wait:
		return c
	case <-timer.C:
		return u.stopWaiting(wait)
	}
}

// takeConn returns an idle connection; or a channel to wait on, for at most pause; or
// neither, in which case Checkout must open a connection, which openConns already counts.
func (u *Upstream) takeConn(values map[string]string) (c *Conn, wait chan *Conn, pause time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return nil, nil, 0, verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	for len(u.idleConns) > 0 {
		i := u.bestMatch(values)
		c := u.idleConns[i]
		u.idleConns = append(u.idleConns[:i], u.idleConns[i+1:]...)
		if c.Alive() {
			return c, nil, 0, nil
		}
		u.openConns--
		c.Close()
	}
	pause = u.noDialBefore - u.clock()
	if u.openConns < u.limits.MaxOpen && pause <= 0 {
		u.openConns++
		return nil, nil, 0, nil
	}
	if u.openConns >= u.limits.MaxOpen {
		pause = DialTimeout
	}
	wait = make(chan *Conn, 1)
	u.connWaiters = append(u.connWaiters, wait)
	return nil, wait, pause, nil
}

// bestMatch returns the index of the idle connection that needs the least setup for the
// session's values; among equals, the most recently used one.
func (u *Upstream) bestMatch(values map[string]string) int {
	best, score := len(u.idleConns)-1, -1
	for i := len(u.idleConns) - 1; i >= 0; i-- {
		c := u.idleConns[i]
		s := 0
		switch {
		case sameValues(c.values, values):
			s = 2
		case isSubset(c.values, values):
			s = 1
		}
		if s > score {
			best, score = i, s
		}
	}
	return best
}

// stopWaiting removes a waiter, and returns a connection that was already handed to it.
func (u *Upstream) stopWaiting(wait chan *Conn) *Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, w := range u.connWaiters {
		if w == wait {
			u.connWaiters = append(u.connWaiters[:i], u.connWaiters[i+1:]...)
			return nil
		}
	}
	return <-wait // a connection was handed off meanwhile
}

// dial opens a connection that is already counted in openConns.
func (u *Upstream) dial(timeout time.Duration) (*Conn, error) {
	u.mu.Lock()
	m := u.member
	u.dialing++
	u.mu.Unlock()
	conn, err := u.dialer.Dial(statement.Target{Service: m.Service, ID: m.ID, Address: m.Address}, timeout)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialing--
	if err == nil {
		u.refusals = 0
		return &Conn{Conn: conn, prepared: make(map[string]bool)}, nil
	}
	u.openConns--
	if connLimitReached(err) {
		pause := min(dialBackoff<<min(u.refusals, 8), maxDialBackoff)
		u.refusals++
		u.noDialBefore = u.clock() + pause/2 + rand.N(pause)
		return nil, err
	}
	u.handOff(nil)
	return nil, err
}

// Return puts a connection that is in a known state back into the pool.
func (u *Upstream) Return(c *Conn) {
	u.mu.Lock()
	c.lastUsed = u.clock()
	if c.broken || u.closed {
		u.openConns--
		u.handOff(nil)
		u.mu.Unlock()
		c.Close()
		return
	}
	if !u.handOff(c) {
		u.idleConns = append(u.idleConns, c)
		if len(u.idleConns) > u.limits.MaxIdle {
			time.AfterFunc(u.limits.IdleTimeout+time.Millisecond, u.CloseIdle)
		}
	}
	u.mu.Unlock()
}

// Discard closes a connection whose state is unknown.
func (u *Upstream) Discard(c *Conn) {
	c.broken = true
	u.Return(c)
}

// handOff gives a connection to the first waiting request and reports whether there is
// one. A nil connection makes that request try again. u.mu is held.
func (u *Upstream) handOff(c *Conn) bool {
	if len(u.connWaiters) == 0 {
		return false
	}
	wait := u.connWaiters[0]
	u.connWaiters = u.connWaiters[1:]
	wait <- c
	return true
}

// CloseIdle closes the idle connections above MaxIdle that were not used for IdleTimeout.
func (u *Upstream) CloseIdle() {
	u.mu.Lock()
	now := u.clock()
	var drop []*Conn
	for len(u.idleConns) > u.limits.MaxIdle && now-u.idleConns[0].lastUsed > u.limits.IdleTimeout {
		drop = append(drop, u.idleConns[0])
		u.idleConns = u.idleConns[1:]
		u.openConns--
	}
	u.mu.Unlock()
	closeAll(drop)
}

// Control sends a control command, bypassing the queue. fresh opens a new connection
// for it, in case the pooled ones are broken without a sign. The error is a
// *verdict.Error, or the error of the dialer or the connection.
func (u *Upstream) Control(fresh bool, c statement.Control, timeout time.Duration) (StatusReply, error) {
	conn, err := u.controlConn(fresh, timeout)
	if err != nil {
		return StatusReply{}, err
	}
	sentAt := u.clock()
	status, err := conn.Control(c, timeout)
	if err != nil {
		var connErr *statement.ConnError
		if errors.As(err, &connErr) {
			u.Discard(conn)
			return StatusReply{}, err
		}
		u.Return(conn)
		return StatusReply{}, err
	}
	u.Return(conn)
	return StatusReply{Status: status, SentAt: sentAt}, nil
}

// controlConn returns the connection for a control command. A new one may exceed the
// limit of open connections.
func (u *Upstream) controlConn(fresh bool, timeout time.Duration) (*Conn, error) {
	if !fresh {
		return u.Checkout(nil, timeout)
	}
	u.mu.Lock()
	u.openConns++
	u.mu.Unlock()
	return u.dial(timeout)
}
