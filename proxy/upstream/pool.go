package upstream

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/connpool"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// maxTransactionWait bounds the wait of a transaction for one of the connections that
	// transactions may use: callers that are idle inside transactions may hold them for
	// seconds, and a refused caller can go on with other work.
	maxTransactionWait = 400 * time.Millisecond
	// maxListedWorkspaces bounds the diagnostic dump of a pool.
	maxListedWorkspaces = 20
)

// PoolCounters counts the events of the connection pools of an instance. It is safe for
// concurrent use.
type PoolCounters interface {
	// CountConnections adds connections that were opened, and those of them for which an
	// idle connection of another workspace was closed.
	CountConnections(opened, replaced uint64)
	// CountConnectionWaits adds requests that had to wait for a connection.
	CountConnectionWaits(n uint64)
}

// connRequest is a request for a connection of the pool.
type connRequest struct {
	id        uint64
	workspace string
	any       bool // a connection of any workspace serves
	values    map[string]string
	since     time.Duration
	gone      func() bool // whether the caller has disconnected; nil means that it never does
}

// grant lets a request use a connection: conn, or one that it opens after it has closed
// replaced, if that is not nil.
type grant struct {
	conn     *Conn
	replaced *Conn
}

// Checkout returns an idle connection of the workspace, or opens one. It prefers a
// connection on which the session's values are already set. The error is a *verdict.Error,
// or the error of the dialer. A wait ends if gone reports that the caller has disconnected;
// nil means that it never does.
func (u *Upstream) Checkout(workspace string, values map[string]string, timeout time.Duration, gone func() bool) (*Conn, error) {
	return u.checkout(connRequest{workspace: workspace, values: values, gone: gone}, timeout)
}

func (u *Upstream) checkout(r connRequest, timeout time.Duration) (*Conn, error) {
	r.since = u.clock()
	deadline := r.since + timeout
	for {
		g, wait, pause, err := u.request(&r)
		if err != nil {
			return nil, err
		}
		if wait != nil {
			g = u.awaitGrant(r.id, wait, min(pause, deadline-u.clock()), r.gone)
		}
		switch {
		case g == nil:
			if r.gone != nil && r.gone() {
				u.metrics.CountCancelled(StagePool)
				return nil, ErrCancelled()
			}
			if u.clock() >= deadline {
				return nil, verdict.New(verdict.Overloaded, "no connection to upstream %s came free", u.Member().ID).WithRetryAfter(maxDialBackoff)
			}
		case g.conn != nil:
			return g.conn, nil
		default:
			if g.replaced != nil {
				g.replaced.Close()
			}
			c, err := u.dial(r, min(deadline-u.clock(), DialTimeout))
			if !connLimitReached(err) {
				return c, err
			}
		}
	}
}

// connLimitReached reports whether the member's connection limit is reached.
func connLimitReached(err error) bool {
	reason, ok := statement.ReasonOf(err)
	return ok && reason == statement.TooManyConnections
}

// request passes a request to the pool. It returns what the request may use, or a channel
// that receives it, on which to wait for at most pause before asking again.
func (u *Upstream) request(r *connRequest) (g *grant, wait chan grant, pause time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return nil, nil, 0, verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	for {
		now := u.clock()
		u.lastConnRequest++
		r.id = u.lastConnRequest
		wait = make(chan grant, 1)
		u.connWaiters[r.id] = wait
		grants, retryAt := u.pool.Request(connpool.Request{ID: r.id, Workspace: r.workspace, AnyWorkspace: r.any, Since: r.since,
			Match: func(id uint64) int { return u.match(u.conns[id], r) }}, now)
		u.deliver(grants)
		u.countPoolEvents()
		select {
		case granted := <-wait:
			if granted.conn != nil && !granted.conn.Alive() {
				u.discard(granted.conn)
				granted.conn.Close()
				continue
			}
			return &granted, nil, 0, nil
		default:
		}
		pause = DialTimeout
		if retryAt > now {
			pause = min(pause, retryAt-now)
		}
		return nil, wait, pause, nil
	}
}

// match returns how well a connection suits a request. Control commands are sent on those
// that show for how long the process has run. u.mu is held.
func (u *Upstream) match(c *Conn, r *connRequest) int {
	switch {
	case !r.any:
		return c.match(r.values)
	case c.openedAt <= u.run.until:
		return 1
	default:
		return 0
	}
}

// match returns how little setup a session with the values needs on the connection.
func (c *Conn) match(values map[string]string) int {
	switch {
	case sameValues(c.values, values):
		return 2
	case isSubset(c.values, values):
		return 1
	default:
		return 0
	}
}

// awaitGrant waits for a connection that another request returns to the pool. It returns
// nil after the limit, or when gone reports that the caller has disconnected; the request
// is then no longer waiting.
func (u *Upstream) awaitGrant(id uint64, wait chan grant, limit time.Duration, gone func() bool) *grant {
	if g, ok := receive(wait, limit, gone); ok {
		return &g
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case g := <-wait: // granted meanwhile
		return &g
	default:
	}
	u.pool.Cancel(id)
	delete(u.connWaiters, id)
	return nil
}

// deliver passes grants to the requests. u.mu is held.
func (u *Upstream) deliver(grants []connpool.Grant) {
	for _, g := range grants {
		wait := u.connWaiters[g.Request]
		delete(u.connWaiters, g.Request)
		replaced := u.conns[g.Replaced]
		delete(u.conns, g.Replaced)
		wait <- grant{conn: u.conns[g.Conn], replaced: replaced}
	}
}

// countPoolEvents passes what the pool has counted since the last call to the counters.
// u.mu is held.
func (u *Upstream) countPoolEvents() {
	now, last := u.pool.Stats(), u.countedStats
	if u.counters == nil || now == last {
		return
	}
	u.counters.CountConnections(now.Opened-last.Opened, now.Replaced-last.Replaced)
	u.counters.CountConnectionWaits(now.Waited - last.Waited)
	u.countedStats = now
}

// dial opens the connection that the pool has granted to a request.
func (u *Upstream) dial(r connRequest, timeout time.Duration) (*Conn, error) {
	m := u.Member()
	conn, err := u.dialer.Dial(statement.Target{Service: m.Service, ID: m.ID, Address: m.Address, Workspace: r.workspace}, timeout)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil {
		u.refusals = 0
		u.lastConn++
		c := &Conn{Conn: conn, id: u.lastConn, workspace: r.workspace, prepared: make(map[string]bool), openedAt: u.clock(), clock: u.clock}
		c.answeredAt = c.openedAt
		u.conns[c.id] = c
		u.pool.Opened(r.id, c.id)
		return c, nil
	}
	if connLimitReached(err) {
		pause := min(dialBackoff<<min(u.refusals, 8), maxDialBackoff)
		u.refusals++
		u.pool.OpenRefused(r.id, u.clock()+pause/2+rand.N(pause), u.clock())
		return nil, err
	}
	u.deliver(u.pool.OpenFailed(r.id, u.clock()))
	u.countPoolEvents()
	return nil, err
}

// Return puts a connection that is in a known state back into the pool.
func (u *Upstream) Return(c *Conn) {
	u.mu.Lock()
	u.endTransaction(c)
	u.observeAnswer(c)
	surplus := false
	if c.broken || u.closed {
		u.discard(c)
		surplus = true
	} else {
		var grants []connpool.Grant
		if grants, surplus = u.pool.Return(c.id, u.clock()); surplus {
			delete(u.conns, c.id)
		}
		u.deliver(grants)
		if u.pool.Idle() > u.limits.MaxIdle {
			time.AfterFunc(u.limits.IdleTimeout+time.Millisecond, u.CloseIdle)
		}
	}
	u.countPoolEvents()
	u.mu.Unlock()
	if surplus {
		c.Close()
	}
}

// Discard closes a connection whose state is unknown.
func (u *Upstream) Discard(c *Conn) {
	c.broken = true
	u.Return(c)
}

// discard removes a connection in use from the pool. u.mu is held.
func (u *Upstream) discard(c *Conn) {
	delete(u.conns, c.id)
	u.deliver(u.pool.Discard(c.id, u.clock()))
}

// CloseIdle closes the idle connections above MaxIdle that were not used for IdleTimeout.
func (u *Upstream) CloseIdle() {
	u.mu.Lock()
	closed := u.takeConns(u.pool.CloseIdle(u.clock()))
	u.mu.Unlock()
	closeAll(closed)
}

// takeConns removes connections that the pool no longer has. u.mu is held.
func (u *Upstream) takeConns(ids []uint64) (all []*Conn) {
	for _, id := range ids {
		all = append(all, u.conns[id])
		delete(u.conns, id)
	}
	return all
}

// BeginTransaction waits until a transaction of the workspace may use a connection. After
// success, either EndTransaction must be called, or KeepsTransaction with the connection
// of the transaction. The error is a *verdict.Error. The wait ends if gone reports that the
// caller has disconnected; nil means that it never does.
func (u *Upstream) BeginTransaction(workspace string, deadline time.Duration, gone func() bool) error {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	u.lastConnRequest++
	id := u.lastConnRequest
	if u.transactions.Begin(id, workspace, u.clock()) {
		u.mu.Unlock()
		return nil
	}
	begin := make(chan struct{})
	u.txWaiters[id] = begin
	left := min(deadline-u.clock(), maxTransactionWait)
	if u.counters != nil {
		u.counters.CountConnectionWaits(1)
	}
	u.mu.Unlock()
	if _, ok := receive(begin, left, gone); ok {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.txWaiters[id] == nil {
		return nil // admitted meanwhile
	}
	delete(u.txWaiters, id)
	u.transactions.Cancel(id)
	if gone != nil && gone() {
		u.metrics.CountCancelled(StagePool)
		return ErrCancelled()
	}
	return verdict.New(verdict.Overloaded, "too many open transactions on upstream %s", u.member.ID).WithRetryAfter(maxTransactionWait/2 + rand.N(maxTransactionWait))
}

// EndTransaction ends a transaction that has no connection.
func (u *Upstream) EndTransaction(workspace string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.admit(u.transactions.End(workspace))
}

// KeepsTransaction marks a connection as that of a transaction, which ends with the
// connection's return to the pool.
func (c *Conn) KeepsTransaction() { c.transaction = true }

// endTransaction ends the transaction of a connection, if any. u.mu is held.
func (u *Upstream) endTransaction(c *Conn) {
	if c.transaction {
		c.transaction = false
		u.admit(u.transactions.End(c.workspace))
	}
}

// admit wakes the requests whose transactions may begin. u.mu is held.
func (u *Upstream) admit(ids []uint64) {
	for _, id := range ids {
		if begin := u.txWaiters[id]; begin != nil {
			delete(u.txWaiters, id)
			close(begin)
		}
	}
}

// applyPoolLimits passes the quota to the pool and returns the connections to close. u.mu
// is held.
func (u *Upstream) applyPoolLimits() []*Conn {
	limits := u.limits
	if u.keepsOpen {
		limits.MaxIdle = max(limits.MaxIdle, 1)
	}
	grants, closed := u.pool.SetLimits(limits, u.clock())
	u.deliver(grants)
	u.admit(u.transactions.SetLimit(transactionLimit(u.limits)))
	u.countPoolEvents()
	return u.takeConns(closed)
}

// transactionLimit returns the number of connections that limits transactions, or 0 where
// callers have no workspaces.
func transactionLimit(l quota.Limits) int {
	if !l.ByWorkspace {
		return 0
	}
	return l.MaxOpen
}

// PoolState describes the connections to one member, for the diagnostic dump.
type PoolState struct {
	Open         int `json:"open"`
	Idle         int `json:"idle"`
	Waiting      int `json:"waiting"`
	Transactions int `json:"transactions"`
	MaxOpen      int `json:"max_open"`
	// Workspaces holds the open connections of the workspaces that have most, at most
	// maxListedWorkspaces; OtherWorkspaces is the sum of the rest.
	Workspaces      map[string]int `json:"workspaces,omitempty"`
	OtherWorkspaces int            `json:"other_workspaces,omitempty"`
}

// PoolState returns the state of the connections.
func (u *Upstream) PoolState() PoolState {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := PoolState{Open: u.pool.Open(), Idle: u.pool.Idle(), Waiting: u.pool.Waiting(), Transactions: u.transactions.Open(), MaxOpen: u.limits.MaxOpenAt(u.clock())}
	s.Workspaces, s.OtherWorkspaces = mostConnections(u.pool.OpenByWorkspace())
	return s
}

// mostConnections returns the named workspaces with most connections, and the number of
// connections of the others.
func mostConnections(open map[string]int) (most map[string]int, others int) {
	delete(open, "")
	names := slices.SortedFunc(maps.Keys(open), func(a, b string) int { return cmp.Or(cmp.Compare(open[b], open[a]), cmp.Compare(a, b)) })
	if len(names) == 0 {
		return nil, 0
	}
	for _, name := range names[min(len(names), maxListedWorkspaces):] {
		others += open[name]
		delete(open, name)
	}
	return open, others
}
