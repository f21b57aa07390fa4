// Package owner runs the upstreams whose connection budget belongs to this
// instance: it queues requests by rank, assigns connections, and answers when
// the required proof (confirmation, position or age) is there. Decisions are
// made by the packages of core; this package performs their actions.
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
	// reservedConnections of each budget serve the monitor and promotions.
	reservedConnections = 2
	warmIdle            = 2
	maxIdleTime         = 60 * time.Second
	tickInterval        = 20 * time.Millisecond
	// confirmTimeout ends the wait for a quorum. A primary that gets nothing
	// confirmed is replaced within 3 s, after which its writes cannot be.
	confirmTimeout = 3 * time.Second
	// stallAfter and stallProbe bound how long a cut-off primary takes work.
	stallAfter         = time.Second
	stallProbe         = 250 * time.Millisecond
	connectTimeout     = 2 * time.Second
	initialServiceTime = 2 * time.Millisecond
	// retireLimit bounds how long open transactions may go on after the
	// upstream has moved to another owner or is leaving.
	retireLimit = 30 * time.Second
)

// Config describes one owned upstream.
type Config struct {
	Instance    string
	Incarnation uint64
	Service     string
	Name        string
	Address     string
	Source      netip.Addr // local address of connections; may be unset
	GroupSize   int
	Connections int
	Slots       int
	Floor       [schedule.NumRanks]float64
	MaxWait     [schedule.NumRanks]time.Duration // longest wait at which a rank is accepted
	// Now is the instance's monotonic clock.
	Now func() time.Duration
	// Barrier asks the owner of the service's primary for a confirmed position.
	Barrier func(ctx context.Context, service string) (position.Position, error)
	// MayBeAlive reports whether the process of an instance may still be running.
	MayBeAlive func(instance string, incarnation uint64) bool
	Log        *logrus.Entry
}

// Upstream is one owned upstream.
type Upstream struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	ctx    context.Context

	// wake tells the monitor that there is something to wait for.
	wake chan struct{}

	barriers *barrierGroup

	mu          sync.Mutex
	scheduler   *schedule.Scheduler
	pool        *pool.Pool
	stall       confirm.StallDetector
	tracker     *confirm.Tracker
	age         route.AgeTracker
	nextID      uint64
	slots       waiters[error]
	assigned    waiters[assignment]
	confirmed   waiters[confirmation]
	applied     map[uint64]appliedWaiter
	conns       map[pool.ConnID]*upstream.Conn
	busy        map[pool.ConnID]bool
	lastUse     map[pool.ConnID]time.Duration
	txs         map[string]*transaction
	running     map[string]running
	status      group.Status
	statusAt    time.Duration
	healthy     bool
	pending     position.Position // highest position that waits for confirmation
	barrier     bool              // the tracker wants a barrier to be written
	armed       time.Duration     // time of the next call of the tracker; 0 if none
	writes      int               // running exchanges that may change data
	quietUntil  time.Duration     // until then new writes are refused
	wantReclaim bool              // sessions of dead instances may fill the upstream
	retiring    bool
	lag         time.Duration // usual wait of a replica for a barrier
	confirmTime time.Duration // usual wait for a confirmation
	lastSample  time.Duration // of the age
	ageDemand   time.Duration // when a read with a stated age last arrived
}

// Start begins to serve the upstream.
func Start(ctx context.Context, cfg Config) *Upstream {
	ctx, cancel := context.WithCancel(ctx)
	u := &Upstream{
		cfg:         cfg,
		ctx:         ctx,
		cancel:      cancel,
		wantReclaim: true,
		wake:        make(chan struct{}, 1),
		scheduler: schedule.New(schedule.Config{
			Slots:              cfg.Slots,
			Floor:              cfg.Floor,
			MaxWait:            cfg.MaxWait,
			InitialServiceTime: initialServiceTime,
		}),
		pool: pool.New(pool.Config{
			Budget:   cfg.Connections,
			Reserved: reservedConnections,
			MinIdle:  warmIdle,
			MaxIdle:  maxIdleTime,
		}),

		stall:     confirm.StallDetector{Timeout: stallAfter, ProbeInterval: stallProbe},
		slots:     newWaiters[error](),
		assigned:  newWaiters[assignment](),
		confirmed: newWaiters[confirmation](),
		applied:   make(map[uint64]appliedWaiter),
		conns:     make(map[pool.ConnID]*upstream.Conn),
		busy:      make(map[pool.ConnID]bool),
		lastUse:   make(map[pool.ConnID]time.Duration),
		txs:       make(map[string]*transaction),
		running:   make(map[string]running),
	}
	u.statusAt = cfg.Now()
	u.barriers = newBarrierGroup(u.cfg.Barrier)
	u.done.Go(func() { u.every(tickInterval, u.tick) })
	u.done.Go(u.monitor)
	u.done.Go(func() { u.every(ageSampleInterval, u.sampleAge) })
	return u
}

// Stop closes all connections at once. Retire first to cut nothing.
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

// Retire refuses new work, lets requests and open transactions end, and then
// closes the connections. It returns when all are closed or ctx ends.
func (u *Upstream) Retire(ctx context.Context) {
	u.mu.Lock()
	u.retiring = true
	u.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, retireLimit)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !u.idle() {
		select {
		case <-ctx.Done():
			u.Stop()
			return
		case <-ticker.C:
		}
	}
	u.Stop()
}

// idle reports whether all work has ended. Until then it keeps as many
// connections as that work can use, so that the next owner gets the others.
func (u *Upstream) idle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.performPool(u.pool.SetBudget(reservedConnections+u.cfg.Slots+len(u.txs), u.now()))
	return len(u.running) == 0 && len(u.txs) == 0
}

// SetBudget changes the connection budget and the slots.
func (u *Upstream) SetBudget(connections, slots int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cfg.Connections, u.cfg.Slots = connections, slots
	u.performPool(u.pool.SetBudget(connections, u.now()))
	u.performScheduler(u.scheduler.SetSlots(slots, u.now()))
}

func (u *Upstream) now() time.Duration { return u.cfg.Now() }

// every calls f at the interval until the upstream is stopped.
func (u *Upstream) every(interval time.Duration, f func()) {
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

// tick drives the time-dependent decisions.
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

func (u *Upstream) performScheduler(r schedule.Result) {
	for _, id := range r.Started {
		u.slots.deliver(id, nil)
	}
	for _, x := range r.Rejected {
		u.slots.deliver(x.ID, x.Err)
	}
}

func (u *Upstream) performTracker(actions []confirm.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case confirm.Acknowledge:
			u.stall.Confirmed(u.now())
			u.confirmed.deliver(a.ID, confirmation{position: a.Position})
		case confirm.Fail:
			u.confirmed.deliver(a.ID, confirmation{err: a.Error})
		case confirm.WriteBarrier:
			u.barrier = true
			u.signal()
		}
	}
	u.armTracker()
}

// checkStall finds out whether the primary still gets anything confirmed; the
// caller holds mu.
func (u *Upstream) checkStall(now time.Duration) {
	if u.tracker != nil && u.stall.Tick(u.tracker.Pending(), now) {
		u.performTracker(u.tracker.Barrier(u.id(), now))
	}
}

// armTracker calls the tracker at its next expiry; the caller holds mu. Barriers
// are due half a millisecond after the read that needs them, long before a tick.
func (u *Upstream) armTracker() {
	next, pending := u.tracker.NextExpiry()
	if !pending || (u.armed > 0 && u.armed <= next) {
		return
	}
	u.armed = next
	time.AfterFunc(max(next-u.now(), 0), u.trackerDue)
}

func (u *Upstream) trackerDue() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.armed = 0
	if u.ctx.Err() == nil {
		u.performTracker(u.tracker.Expire(u.now()))
	}
}

func (u *Upstream) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

func (u *Upstream) id() uint64 {
	u.nextID++
	return u.nextID
}

// errNotOwned is returned for work that must go to another instance.
func errNotOwned(name string) error {
	return verdict.New(verdict.Draining, "this instance takes no new work for upstream %q", name).WithRetryAfter(tickInterval)
}
