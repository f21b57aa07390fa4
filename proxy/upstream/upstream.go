// Package upstream is the client of one database member: a bounded queue with
// admission control, scheduled by core/schedule, and a small connection pool.
package upstream

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/connpool"
	"github.com/papayarail/papayarail/core/lag"
	"github.com/papayarail/papayarail/core/pace"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// middleRankMinShare and lowestRankMinShare are the guaranteed shares of the two
	// lower ranks, as fractions of the execution slots.
	middleRankMinShare = 0.10
	lowestRankMinShare = 0.05
	// deadlineCheckInterval is how often waiting requests are checked for deadlines that
	// can no longer be met, and for callers that have disconnected.
	deadlineCheckInterval = 20 * time.Millisecond
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
	id          uint64
	workspace   string // in whose name it was opened
	values      map[string]string
	prepared    map[string]bool // prepared statements, by upstream name
	transaction bool            // it is counted in Upstream.transactions
	openedAt    time.Duration   // no earlier than when it was opened
	answeredAt  time.Duration   // when the last answered request was sent, or openedAt
	clock       boottime.Clock
	broken      bool
}

// Upstream is the client of one member. It is safe for concurrent use.
type Upstream struct {
	dialer statement.Dialer
	clock  boottime.Clock

	mu         sync.Mutex
	member     catalog.Member
	sched      *schedule.Scheduler
	metrics    QueueMetrics
	lastTicket uint64             // returned by the last Acquire
	waiting    map[uint64]*waiter // by ticket
	ticking    bool               // a call of checkWaiting is scheduled
	closed     bool

	pool            *connpool.Pool
	transactions    connpool.Transactions
	limits          quota.Limits     // quota of this instance at the member
	conns           map[uint64]*Conn // idle and in use, by ID
	run             processRun       // of the member, as far as its answers show it
	keepsOpen       bool             // one idle connection stays open until keepOpenUntil
	keepOpenUntil   time.Duration
	refusals        int                      // consecutive refused connections
	connWaiters     map[uint64]chan grant    // by request
	txWaiters       map[uint64]chan struct{} // by request; closed when the transaction may begin
	lastConn        uint64                   // ID of the last connection
	lastConnRequest uint64                   // ID of the last request for a connection or transaction
	counters        PoolCounters             // nil if nothing counts
	countedStats    connpool.Stats           // passed to counters so far

	pace          pace.Limiter
	paceCause     PaceCause
	knownPosition position.Position // highest position known of the member's log
	lag           lag.Estimator
}

// New returns an Upstream without connections.
func New(m catalog.Member, limits quota.Limits, dialer statement.Dialer, clock boottime.Clock) *Upstream {
	u := &Upstream{
		dialer: dialer, clock: clock, member: m, limits: limits,
		waiting: make(map[uint64]*waiter), metrics: noQueueMetrics{},
		pool: connpool.New(limits), conns: make(map[uint64]*Conn), connWaiters: make(map[uint64]chan grant), txWaiters: make(map[uint64]chan struct{}),
		sched: schedule.New(schedule.Config{
			Slots: limits.MaxRunning, SlotLimit: limits.SlotLimit, QueueLimit: queueLimit, InitialServiceTime: defaultServiceTime,
			Floor: [schedule.NumRanks]float64{0, middleRankMinShare, lowestRankMinShare},
			Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
	}
	u.transactions.SetLimit(transactionLimit(limits))
	return u
}

// SetPoolCounters sets what counts the events of the connection pool.
func (u *Upstream) SetPoolCounters(c PoolCounters) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counters = c
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
		drop = u.takeConns(u.pool.CloseAllIdle())
		u.knownPosition, u.lag, u.run = position.Position{}, lag.Estimator{}, processRun{}
	}
	changed := limits.MaxRunning != u.limits.MaxRunning || limits.SlotLimit != u.limits.SlotLimit
	u.member, u.limits = m, limits
	if changed {
		u.applyLimits()
	}
	drop = append(drop, u.applyPoolLimits()...)
	u.mu.Unlock()
	closeAll(drop)
}

// Close closes idle connections and refuses new statements. Running statements continue.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	idle := u.takeConns(u.pool.CloseAllIdle())
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
	service, wait = u.sched.ServiceTime(r), u.waitLocked(r)
	cold = u.pool.Idle() == 0
	if cold {
		wait += max(u.pool.NoOpenBefore()-u.clock(), 0)
	}
	return wait, service, cold
}

// ObservePosition records a position that the member's log has reached.
func (u *Upstream) ObservePosition(p position.Position) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.knownPosition = position.Max(u.knownPosition, p)
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
