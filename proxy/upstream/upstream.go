// Package upstream runs statements on one database member: it decides with
// core/schedule which request goes next, and keeps a small pool of connections.
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
	// QueueLimit bounds the requests that wait at one instance for a member.
	// At 9 ms a statement and 3 at a time, a full queue takes 100 ms.
	QueueLimit = 32
	// initialServiceTime is the mean work of a statement in the site files.
	initialServiceTime = 9 * time.Millisecond
	// floorMiddle and floorLeast are the guaranteed shares of the lower ranks.
	floorMiddle = 0.10
	floorLeast  = 0.05
	// tickInterval is how often waiting requests are checked for deadlines that
	// can no longer be met.
	tickInterval = 20 * time.Millisecond
	// suspectFor is how long a member is the last choice after a failure.
	suspectFor = 500 * time.Millisecond
	// refusedPause is how long an instance opens no connection after it was
	// refused one; it doubles with each further refusal up to maxRefusedPause.
	refusedPause    = 20 * time.Millisecond
	maxRefusedPause = 320 * time.Millisecond
	// DialTimeout bounds the opening of a connection: 12 ms at a calm member,
	// and 18 queued statements of 9 ms on two slots before it.
	DialTimeout = 400 * time.Millisecond
)

// Conn is a connection of the pool with what is set on it.
type Conn struct {
	statement.Conn
	values   map[string]string
	prepared map[string]bool // by upstream name
	used     time.Duration
	broken   bool
}

// Upstream is one member. It is safe for concurrent use.
type Upstream struct {
	dialer statement.Dialer
	clock  boottime.Clock

	mu      sync.Mutex
	member  catalog.Member
	sched   *schedule.Scheduler
	nextID  uint64
	waiting map[uint64]chan error
	ticking bool
	closed  bool

	idle    []*Conn
	open    int
	dialing int
	policy  quota.Limits
	capped  time.Duration // no connection is opened before
	refused int           // refused connections in a row
	handoff []chan *Conn

	suspect time.Duration // last choice until then
	known   position.Position
	lag     lag.Estimator
}

// New returns an Upstream without connections.
func New(m catalog.Member, policy quota.Limits, dialer statement.Dialer, clock boottime.Clock) *Upstream {
	return &Upstream{
		dialer: dialer, clock: clock, member: m, policy: policy,
		waiting: make(map[uint64]chan error),
		sched: schedule.New(schedule.Config{
			Slots: policy.MaxRunning, SlotLimit: policy.SlotLimit, QueueLimit: QueueLimit, InitialServiceTime: initialServiceTime,
			Floor: [schedule.NumRanks]float64{0, floorMiddle, floorLeast},
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

// Update takes in a newer registration of the same member. Another life of the
// member ends all idle connections.
func (u *Upstream) Update(m catalog.Member, policy quota.Limits) {
	u.mu.Lock()
	var drop []*Conn
	if m.Started != u.member.Started || m.Address != u.member.Address {
		drop, u.idle = u.idle, nil
		u.open -= len(drop)
		u.known, u.lag = position.Position{}, lag.Estimator{}
	}
	if policy.MaxRunning != u.policy.MaxRunning || policy.SlotLimit != u.policy.SlotLimit {
		u.dispatch(u.sched.SetLimits(policy.MaxRunning, policy.SlotLimit, u.clock()))
	}
	u.member, u.policy = m, policy
	u.mu.Unlock()
	closeAll(drop)
}

// Close ends idle connections and refuses new work. Running work continues.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	idle := u.idle
	u.idle = nil
	u.open -= len(idle)
	u.dispatch(u.sched.Drain(u.clock()))
	u.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.Close()
	}
}

// Load is the expected wait of a new request and its expected service time.
// cold means that it needs a new connection.
func (u *Upstream) Load(r schedule.Rank) (wait, service time.Duration, cold bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	service = u.sched.ServiceTime(r)
	ahead := u.sched.Running()
	for i := range int(r) + 1 {
		ahead += u.sched.Waiting(schedule.Rank(i))
	}
	// The member executes in parallel what its slots allow.
	wait = time.Duration(ahead) * service / time.Duration(max(u.member.Slots, 1))
	cold = len(u.idle) == 0
	if cold {
		wait += max(u.capped-u.clock(), 0)
	}
	return wait, service, cold
}

// Suspect reports whether the last request to the member failed.
func (u *Upstream) Suspect() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clock() < u.suspect
}

// Probing reports whether the last request to the member failed and a connection
// to it is being opened. Until that has ended, others would wait in vain.
func (u *Upstream) Probing() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dialing > 0 && u.clock() < u.suspect
}

// RecordFailure makes the member the last choice for a while.
func (u *Upstream) RecordFailure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.suspect = u.clock() + suspectFor
}

// ObservePosition takes in a position of the member's log.
func (u *Upstream) ObservePosition(p position.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.known = position.Max(u.known, p)
	u.suspect = 0
}

// LikelyBehind reports whether the member has probably not reached p, which some
// primary reached at the time at. due says that a read may ask it all the same.
func (u *Upstream) LikelyBehind(p position.Position, at time.Duration) (behind, due bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.known.AtLeast(p) {
		return false, true
	}
	now := u.clock()
	return u.lag.Behind(now - at), u.lag.ProbeDue(now)
}

// RecordLagProbe takes in that a read asks the member although it is probably behind.
func (u *Upstream) RecordLagProbe() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lag.RecordProbe(u.clock())
}

// ObserveLag takes in that the member had not reached a position of the time
// at; reached says that it had, although it was not known to.
func (u *Upstream) ObserveLag(at time.Duration, reached bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if age := u.clock() - at; reached {
		u.lag.RecordApplied(age)
	} else {
		u.lag.RecordMissing(age)
	}
}

// Acquire waits for the right to run one statement. The result of a later
// Release is measured as service time.
func (u *Upstream) Acquire(caller string, rank schedule.Rank, deadline time.Duration) (uint64, error) {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return 0, verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	u.nextID++
	id := u.nextID
	ready := make(chan error, 1)
	u.waiting[id] = ready
	u.dispatch(u.sched.Submit(schedule.Request{ID: id, Caller: caller, Rank: rank, Deadline: deadline}, u.clock()))
	if !u.ticking && len(u.waiting) > 0 {
		u.ticking = true
		time.AfterFunc(tickInterval, u.tick)
	}
	u.mu.Unlock()
	return id, <-ready
}

// Release ends the right to run a statement. measured is false if the time it
// took says nothing about the member.
func (u *Upstream) Release(id uint64, measured bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if measured {
		u.dispatch(u.sched.Done(id, u.clock()))
	} else {
		u.dispatch(u.sched.Cancel(id, u.clock()))
	}
}

func (u *Upstream) tick() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dispatch(u.sched.Tick(u.clock()))
	u.ticking = len(u.waiting) > 0
	if u.ticking {
		time.AfterFunc(tickInterval, u.tick)
	}
}

// dispatch wakes the requests that the scheduler has decided on.
func (u *Upstream) dispatch(r schedule.Result) {
	for _, id := range r.Started {
		u.wake(id, nil)
	}
	for _, rejected := range r.Rejected {
		u.wake(rejected.ID, rejected.Err)
	}
}

func (u *Upstream) wake(id uint64, err error) {
	if ready := u.waiting[id]; ready != nil {
		delete(u.waiting, id)
		ready <- err
	}
}

// Checkout returns an idle connection, or opens one. It prefers a connection
// on which the session's values are already set.
func (u *Upstream) Checkout(values map[string]string, timeout time.Duration) (*Conn, error) {
	deadline := u.clock() + timeout
	for {
		c, wait, pause, err := u.take(values)
		if err != nil || c != nil {
			return c, err
		}
		if wait == nil {
			c, err = u.dial(min(deadline-u.clock(), DialTimeout))
			if !refusedConnection(err) {
				return c, err
			}
			continue
		}
		if c := u.await(wait, min(pause, deadline-u.clock())); c != nil {
			return c, nil
		}
		if u.clock() >= deadline {
			return nil, verdict.New(verdict.Overloaded, "no connection to upstream %s came free", u.Member().ID).WithRetryAfter(maxRefusedPause)
		}
	}
}

// refusedConnection reports whether the member's connection limit is reached.
func refusedConnection(err error) bool {
	reason, ok := statement.ReasonOf(err)
	return ok && reason == statement.TooManyConnections
}

// await waits for a connection that another request gives back. It returns nil
// after the limit, or if the request may try again.
func (u *Upstream) await(wait chan *Conn, limit time.Duration) *Conn {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case c := <-wait:
		return c
	case <-timer.C:
		return u.stopWaiting(wait)
	}
}

// take returns an idle connection; or a channel to wait on, for at most pause;
// or neither: then the caller opens a connection, which is already counted.
func (u *Upstream) take(values map[string]string) (c *Conn, wait chan *Conn, pause time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return nil, nil, 0, verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	for len(u.idle) > 0 {
		i := u.match(values)
		c := u.idle[i]
		u.idle = append(u.idle[:i], u.idle[i+1:]...)
		if c.Alive() {
			return c, nil, 0, nil
		}
		u.open--
		c.Close()
	}
	pause = u.capped - u.clock()
	if u.open < u.policy.MaxOpen && pause <= 0 {
		u.open++
		return nil, nil, 0, nil
	}
	if u.open >= u.policy.MaxOpen {
		pause = DialTimeout
	}
	wait = make(chan *Conn, 1)
	u.handoff = append(u.handoff, wait)
	return nil, wait, pause, nil
}

// match returns the index of the idle connection that needs least preparation,
// among equals the one used last.
func (u *Upstream) match(values map[string]string) int {
	best, score := len(u.idle)-1, -1
	for i := len(u.idle) - 1; i >= 0; i-- {
		c := u.idle[i]
		s := 0
		switch {
		case sameValues(c.values, values):
			s = 2
		case within(c.values, values):
			s = 1
		}
		if s > score {
			best, score = i, s
		}
	}
	return best
}

func (u *Upstream) stopWaiting(wait chan *Conn) *Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, w := range u.handoff {
		if w == wait {
			u.handoff = append(u.handoff[:i], u.handoff[i+1:]...)
			return nil
		}
	}
	return <-wait // handed over meanwhile
}

func (u *Upstream) dial(timeout time.Duration) (*Conn, error) {
	u.mu.Lock()
	m := u.member
	u.dialing++
	u.mu.Unlock()
	link, err := u.dialer.Dial(statement.Target{Service: m.Service, ID: m.ID, Address: m.Address}, timeout)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialing--
	if err == nil {
		u.refused = 0
		return &Conn{Conn: link, prepared: make(map[string]bool)}, nil
	}
	u.open--
	if refusedConnection(err) {
		pause := min(refusedPause<<min(u.refused, 8), maxRefusedPause)
		u.refused++
		u.capped = u.clock() + pause/2 + rand.N(pause)
		return nil, err
	}
	u.passOn(nil)
	return nil, err
}

// Return puts a connection back that is idle and in a known state.
func (u *Upstream) Return(c *Conn) {
	u.mu.Lock()
	c.used = u.clock()
	if c.broken || u.closed {
		u.open--
		u.passOn(nil)
		u.mu.Unlock()
		c.Close()
		return
	}
	if !u.passOn(c) {
		u.idle = append(u.idle, c)
		if len(u.idle) > u.policy.MaxIdle {
			time.AfterFunc(u.policy.IdleTimeout+time.Millisecond, u.CloseIdle)
		}
	}
	u.mu.Unlock()
}

// Discard closes a connection whose state is not known.
func (u *Upstream) Discard(c *Conn) {
	c.broken = true
	u.Return(c)
}

// passOn gives a connection, or nil for the right to try again, to the first
// request that waits for one.
func (u *Upstream) passOn(c *Conn) bool {
	if len(u.handoff) == 0 {
		return false
	}
	wait := u.handoff[0]
	u.handoff = u.handoff[1:]
	wait <- c
	return true
}

// CloseIdle closes connections that were not used for a while.
func (u *Upstream) CloseIdle() {
	u.mu.Lock()
	now := u.clock()
	var drop []*Conn
	for len(u.idle) > u.policy.MaxIdle && now-u.idle[0].used > u.policy.IdleTimeout {
		drop = append(drop, u.idle[0])
		u.idle = u.idle[1:]
		u.open--
	}
	u.mu.Unlock()
	closeAll(drop)
}

// Control sends an order on a connection of its own, so that neither the queue
// nor a silent connection of the pool delays it.
func (u *Upstream) Control(fresh bool, c statement.Control, timeout time.Duration) (StatusReply, error) {
	conn, err := u.controlConn(fresh, timeout)
	if err != nil {
		return StatusReply{}, err
	}
	sentAt := u.clock()
	status, err := conn.Control(c, timeout)
	if err != nil {
		var link *statement.ConnError
		if errors.As(err, &link) {
			u.Discard(conn)
			return StatusReply{}, err
		}
		u.Return(conn)
		return StatusReply{}, err
	}
	u.Return(conn)
	return StatusReply{Status: status, SentAt: sentAt}, nil
}

func (u *Upstream) controlConn(fresh bool, timeout time.Duration) (*Conn, error) {
	if !fresh {
		return u.Checkout(nil, timeout)
	}
	u.mu.Lock()
	u.open++
	u.mu.Unlock()
	return u.dial(timeout)
}
