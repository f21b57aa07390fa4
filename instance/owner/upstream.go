// Package owner executes requests on the upstreams that are assigned to this
// instance. For each upstream it runs the priority queue with admission control,
// the connection pool and a monitor of the replication state, and it holds back
// an answer until the freshness that the request requires (quorum confirmation,
// position or age) is proven. The state machines are in core (schedule, pool, confirm,
// route); this package does their I/O.
package owner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/confirm"
	"github.com/papayarail/papayarail/core/pool"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/group"
	"github.com/papayarail/papayarail/wire/upstream"
)

const (
	// reservedConnections is the part of each budget kept for the monitor and for
	// promotions.
	reservedConnections = 2
	minIdleConnections  = 2
	maxIdleTime         = 60 * time.Second
	tickInterval        = 20 * time.Millisecond // between ticks of the state machines
	// confirmTimeout ends the wait for a quorum. A primary whose log no quorum
	// confirms is replaced within 3 s; after that its writes can't be confirmed.
	confirmTimeout = 3 * time.Second
	// stallAfter is the time that requests wait without any confirmation before the
	// primary counts as cut off from its quorum and gets no more work.
	// stallProbeInterval is the time between the barriers that then test the quorum.
	// Both bound how long a primary that is cut off takes work.
	stallAfter         = time.Second
	stallProbeInterval = 250 * time.Millisecond
	connectTimeout     = 2 * time.Second
	initialServiceTime = 2 * time.Millisecond // assumed before the first request has ended
	// retireTimeout bounds how long open transactions may continue after the
	// upstream has moved to another owner or is leaving.
	retireTimeout = 30 * time.Second
)

// Config describes one owned upstream.
type Config struct {
	Instance    string
	Incarnation uint64 // of the instance's process
	Service     string
	Name        string                           // of the upstream
	Address     string                           // of the upstream, IP:port
	Source      netip.Addr                       // local address of connections; may be unset
	GroupSize   int                              // members of the database group
	Connections int                              // connection budget
	Slots       int                              // requests that run at once
	Floor       [schedule.NumRanks]float64       // guaranteed share of the time of the slots, 0 to 0.5
	MaxWait     [schedule.NumRanks]time.Duration // longest expected wait at which a request is admitted
	// Now is the instance's monotonic clock.
	Now func() time.Duration
	// Barrier asks the owner of the service's primary for a position that is
	// confirmed after the call.
	Barrier func(ctx context.Context, service string) (position.Position, error)
	// MayBeAlive reports whether that process of an instance may still be running.
	MayBeAlive func(instance string, incarnation uint64) bool
	Log        *logrus.Entry
}

// Upstream serves one upstream that this instance owns. It is safe for
// concurrent use.
type Upstream struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	ctx    context.Context

	// wakeMonitor interrupts the monitor's pause when a request waits for a
	// confirmation, a barrier or a position.
	wakeMonitor chan struct{}

	barrierBatcher *barrierBatcher

	mu             sync.Mutex
	scheduler      *schedule.Scheduler
	pool           *pool.Pool
	stall          confirm.StallDetector
	tracker        *confirm.Tracker
	age            route.AgeTracker
	nextID         uint64
	slots          waiters[error]           // requests that wait for a slot
	assigned       waiters[assignment]      // requests that wait for a connection
	confirmed      waiters[confirmation]    // requests that wait for a quorum
	applied        map[uint64]appliedWaiter // reads that wait for a position, by request ID
	conns          map[pool.ConnID]*upstream.Conn
	busy           map[pool.ConnID]bool          // assigned to a request or a transaction
	lastUsed       map[pool.ConnID]time.Duration // time of the last use or check
	transactions   map[string]*transaction       // open transactions by name
	running        map[string]runningExchange    // by exchange ID
	status         group.Status                  // last one that the monitor read
	statusAt       time.Duration                 // when it was read
	healthy        bool                          // the last attempt to read a status succeeded
	unconfirmed    position.Position             // highest position that waits for confirmation
	barrierWanted  bool                          // the tracker wants a barrier to be written
	trackerTimerAt time.Duration                 // when the tracker's timer expires; 0 if none is set
	runningWrites  int                           // running exchanges that may change data
	quiescedUntil  time.Duration                 // new writes are refused until then
	reclaimWanted  bool                          // sessions of dead instances may use up the connections
	retiring       bool
	applyLag       time.Duration // moving average of the wait until a replica has applied a required position
	confirmTime    time.Duration // moving average of the wait until a quorum has confirmed a commit or the primary
	lastAgeSample  time.Duration // time of the last age sample
	lastAgeRequest time.Duration // arrival of the last read with a maximum age; 0 if none
}

// Start connects to the upstream in the background and serves it until ctx ends
// or Stop or Retire is called.
func Start(ctx context.Context, cfg Config) *Upstream {
	ctx, cancel := context.WithCancel(ctx)
	u := &Upstream{
		cfg:           cfg,
		ctx:           ctx,
		cancel:        cancel,
		reclaimWanted: true,
		wakeMonitor:   make(chan struct{}, 1),
		scheduler: schedule.New(schedule.Config{
			Slots:              cfg.Slots,
			Floor:              cfg.Floor,
			MaxWait:            cfg.MaxWait,
			InitialServiceTime: initialServiceTime,
		}),
		pool: pool.New(pool.Config{
			Budget:   cfg.Connections,
			Reserved: reservedConnections,
			MinIdle:  minIdleConnections,
			MaxIdle:  maxIdleTime,
		}),

		stall:        confirm.StallDetector{Timeout: stallAfter, ProbeInterval: stallProbeInterval},
		slots:        newWaiters[error](),
		assigned:     newWaiters[assignment](),
		confirmed:    newWaiters[confirmation](),
		applied:      make(map[uint64]appliedWaiter),
		conns:        make(map[pool.ConnID]*upstream.Conn),
		busy:         make(map[pool.ConnID]bool),
		lastUsed:     make(map[pool.ConnID]time.Duration),
		transactions: make(map[string]*transaction),
		running:      make(map[string]runningExchange),
	}
	u.statusAt = cfg.Now()
	u.barrierBatcher = newBarrierBatcher(u.cfg.Barrier)
	u.done.Go(func() { u.runEvery(tickInterval, u.tick) })
	u.done.Go(u.monitor)
	u.done.Go(func() { u.runEvery(ageSampleInterval, u.sampleAge) })
	return u
}

// Stop closes all connections at once and fails the requests on them. Retire
// lets them finish first.
func (u *Upstream) Stop() {
	u.cancel()
	u.done.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, c := range u.conns {
		c.Close()
		delete(u.conns, id)
	}
}

// Retire refuses new work, lets running requests and open transactions end, and
// then closes the connections. It stops waiting when ctx ends or after
// retireTimeout.
func (u *Upstream) Retire(ctx context.Context) {
	u.mu.Lock()
	u.retiring = true
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !u.drained() {
		select {
		case <-ctx.Done():
			u.Stop()
			return
		case <-ticker.C:
		}
	}
	u.Stop()
}

// drained reports whether all work has ended. It also shrinks the connection
// budget to what the remaining work can use, so that the next owner can open
// the other connections.
func (u *Upstream) drained() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.performPool(u.pool.SetBudget(reservedConnections+u.cfg.Slots+len(u.transactions), u.now()))
	return len(u.running) == 0 && len(u.transactions) == 0
}

// SetBudget changes the connection budget and the number of slots.
func (u *Upstream) SetBudget(connections, slots int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cfg.Connections, u.cfg.Slots = connections, slots
	u.performPool(u.pool.SetBudget(connections, u.now()))
	u.performScheduler(u.scheduler.SetSlots(slots, u.now()))
}

func (u *Upstream) now() time.Duration { return u.cfg.Now() }

// runEvery calls f at the interval until the upstream is stopped.
func (u *Upstream) runEvery(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-u.ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// tick advances the state machines that depend on time.
func (u *Upstream) tick() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.performScheduler(u.scheduler.Tick(now))
	u.performPool(u.pool.Tick(now))
	u.checkStall(now)
	u.expireTransactions(now)
	u.checkIdle(now)
}

// performScheduler passes the scheduler's decisions to the waiting requests. u.mu must
// be held.
func (u *Upstream) performScheduler(r schedule.Result) {
	for _, id := range r.Started {
		u.slots.deliver(id, nil)
	}
	for _, x := range r.Rejected {
		u.slots.deliver(x.ID, x.Err)
	}
}

// performTracker performs the actions that the confirmation tracker decided on. u.mu
// must be held.
func (u *Upstream) performTracker(actions []confirm.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case confirm.Acknowledge:
			u.stall.Confirmed(u.now())
			u.confirmed.deliver(a.ID, confirmation{position: a.Position})
		case confirm.Fail:
			u.confirmed.deliver(a.ID, confirmation{err: a.Error})
		case confirm.WriteBarrier:
			u.barrierWanted = true
			u.notifyMonitor()
		}
	}
	u.scheduleTracker()
}

// checkStall updates the stall detection and, while the primary is stalled,
// requests barriers to test whether a quorum confirms again. u.mu must be held.
func (u *Upstream) checkStall(now time.Duration) {
	if u.tracker != nil && u.stall.Tick(u.tracker.Pending(), now) {
		u.performTracker(u.tracker.Barrier(u.newID(), now))
	}
}

// scheduleTracker sets a timer for the tracker's next expiry. It doesn't wait for the
// next tick, because a barrier is due barrierDelay (0.5 ms) after the read that
// needs it.
// u.mu must be held.
func (u *Upstream) scheduleTracker() {
	next, pending := u.tracker.NextExpiry()
	if !pending || (u.trackerTimerAt > 0 && u.trackerTimerAt <= next) {
		return
	}
	u.trackerTimerAt = next
	time.AfterFunc(max(next-u.now(), 0), u.expireTracker)
}

func (u *Upstream) expireTracker() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trackerTimerAt = 0
	if u.ctx.Err() == nil {
		u.performTracker(u.tracker.Expire(u.now()))
	}
}

func (u *Upstream) notifyMonitor() {
	select {
	case u.wakeMonitor <- struct{}{}:
	default:
	}
}

func (u *Upstream) newID() uint64 {
	u.nextID++
	return u.nextID
}

// errNotOwned is returned for work that another instance has to do.
func errNotOwned(name string) error {
	return verdict.New(verdict.Draining, "this instance takes no new work for upstream %q", name).WithRetryAfter(tickInterval)
}
