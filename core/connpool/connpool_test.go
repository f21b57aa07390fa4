package connpool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/connpool"
	"github.com/papayarail/papayarail/core/quota"
)

// model drives a Pool as an instance does and checks the invariants after each event.
type model struct {
	t       *rapid.T
	pool    *connpool.Pool
	limits  quota.Limits
	now     time.Duration
	lastID  uint64
	waiting map[uint64]connpool.Request
	opening map[uint64]connpool.Request // forced openings included
	used    map[uint64]string           // workspaces, by connection
	idle    map[uint64]string
	forced  int  // forced openings that are open or being opened
	lowered bool // the limit was lowered below the connections in use
	served  map[uint64]bool
}

func (m *model) id() uint64 { m.lastID++; return m.lastID }

// apply carries out grants and checks that no request gets a connection of another
// workspace.
func (m *model) apply(grants []connpool.Grant) {
	for _, g := range grants {
		r, ok := m.waiting[g.Request]
		if !ok {
			m.t.Fatalf("grant for request %d, which does not wait", g.Request)
		}
		delete(m.waiting, g.Request)
		m.served[g.Request] = true
		if g.Replaced != 0 {
			name, ok := m.idle[g.Replaced]
			if !ok || name == r.Workspace {
				m.t.Fatalf("connection %d of %q closed for %q", g.Replaced, name, r.Workspace)
			}
			delete(m.idle, g.Replaced)
		}
		if g.Conn == 0 {
			m.opening[g.Request] = r
			continue
		}
		name, ok := m.idle[g.Conn]
		if !ok || name != r.Workspace && !r.AnyWorkspace {
			m.t.Fatalf("connection %d of %q granted to %q", g.Conn, name, r.Workspace)
		}
		delete(m.idle, g.Conn)
		m.used[g.Conn] = name
	}
}

func (m *model) open() int { return len(m.opening) + len(m.used) + len(m.idle) }

func (m *model) close(ids []uint64) {
	for _, id := range ids {
		if _, ok := m.idle[id]; !ok {
			m.t.Fatalf("connection %d closed, which is not idle", id)
		}
		delete(m.idle, id)
	}
}

func (m *model) request(any bool) {
	name := rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(m.t, "workspace")
	if any {
		name = ""
	}
	r := connpool.Request{ID: m.id(), Workspace: name, AnyWorkspace: any, Since: m.now}
	m.waiting[r.ID] = r
	grants, _ := m.pool.Request(r, m.now)
	m.apply(grants)
}

func pickOne[V any](t *rapid.T, all map[uint64]V) uint64 {
	if len(all) == 0 {
		t.Skip("none")
	}
	ids := make([]uint64, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (m *model) release(id uint64) {
	m.idle[id] = m.used[id]
	delete(m.used, id)
	grants, surplus := m.pool.Return(id, m.now)
	if surplus {
		delete(m.idle, id)
	}
	m.apply(grants)
}

// check checks the invariants that hold after each event.
func (m *model) check() {
	if m.pool.Open() != m.open() || m.pool.Idle() != len(m.idle) || m.pool.Waiting() != len(m.waiting) {
		m.t.Fatalf("pool has %d open, %d idle, %d waiting; model %d, %d, %d", m.pool.Open(), m.pool.Idle(), m.pool.Waiting(), m.open(), len(m.idle), len(m.waiting))
	}
	limit := m.limits.MaxOpenAt(m.now)
	if !m.lowered && m.open() > limit+m.forced {
		m.t.Fatalf("%d connections open, limit %d, %d forced", m.open(), limit, m.forced)
	}
	if m.open() <= limit {
		m.lowered = false
	}
	if m.open() > limit && len(m.idle) > 0 && m.forced == 0 {
		m.t.Fatalf("%d connections open, limit %d, and %d of them idle", m.open(), limit, len(m.idle))
	}
	for _, r := range m.waiting {
		for _, name := range m.idle {
			if name == r.Workspace || r.AnyWorkspace {
				m.t.Fatalf("%q waits while one of its connections is idle", r.Workspace)
			}
			if m.open() <= limit && m.now >= m.pool.NoOpenBefore() && m.forced == 0 {
				m.t.Fatalf("%q waits while a connection of %q could be replaced", r.Workspace, name)
			}
		}
	}
}

// Checks that a request never gets a connection of another workspace, that the limit holds,
// that nobody waits while an idle connection could serve or be replaced, and that every
// request is served once connections are returned.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := quota.Limits{MaxOpen: rapid.IntRange(1, 6).Draw(t, "limit"), IdleTimeout: 300 * time.Millisecond, ByWorkspace: true}
		limits.MaxIdle = limits.MaxOpen
		m := &model{t: t, pool: connpool.New(limits), limits: limits, now: time.Hour, waiting: make(map[uint64]connpool.Request),
			opening: make(map[uint64]connpool.Request), used: make(map[uint64]string), idle: make(map[uint64]string), served: make(map[uint64]bool)}
		forcedRequests := make(map[uint64]bool)
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { m.check() },
			"request": func(*rapid.T) { m.request(false) },
			"control": func(*rapid.T) { m.request(true) },
			"forced": func(*rapid.T) {
				r := connpool.Request{ID: m.id()}
				m.opening[r.ID], forcedRequests[r.ID] = r, true
				m.forced++
				m.pool.ForceOpen(r.ID)
			},
			"opened": func(t *rapid.T) {
				request := pickOne(t, m.opening)
				c := m.id()
				m.used[c] = m.opening[request].Workspace
				delete(m.opening, request)
				m.pool.Opened(request, c)
			},
			"failed": func(t *rapid.T) {
				request := pickOne(t, m.opening)
				delete(m.opening, request)
				m.apply(m.pool.OpenFailed(request, m.now))
			},
			"refused": func(t *rapid.T) {
				request := pickOne(t, m.opening)
				delete(m.opening, request)
				m.pool.OpenRefused(request, m.now+20*time.Millisecond, m.now)
			},
			"return": func(t *rapid.T) { m.release(pickOne(t, m.used)) },
			"discard": func(t *rapid.T) {
				id := pickOne(t, m.used)
				delete(m.used, id)
				m.apply(m.pool.Discard(id, m.now))
			},
			"cancel": func(t *rapid.T) {
				id := pickOne(t, m.waiting)
				delete(m.waiting, id)
				m.pool.Cancel(id)
			},
			"close idle": func(*rapid.T) { m.close(m.pool.CloseIdle(m.now)) },
			"limits": func(t *rapid.T) {
				m.limits.MaxOpen = rapid.IntRange(1, 6).Draw(t, "limit")
				m.limits.MaxIdle = m.limits.MaxOpen
				grants, closed := m.pool.SetLimits(m.limits, m.now)
				m.close(closed)
				m.apply(grants)
				m.lowered = true
			},
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
				// Waiting requests ask again when time alone may let them proceed.
				ids := make([]uint64, 0, len(m.waiting))
				for id := range m.waiting {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				for _, id := range ids {
					r, ok := m.waiting[id]
					if !ok {
						continue
					}
					m.pool.Cancel(id)
					grants, _ := m.pool.Request(r, m.now)
					m.apply(grants)
				}
			},
		})
		m.drain()
	})
}

// drain returns connections until nobody waits: every request must be served, whatever
// its workspace.
func (m *model) drain() {
	for range 1000 {
		if len(m.waiting) == 0 {
			return
		}
		m.now += 30 * time.Millisecond
		for request, r := range m.opening {
			c := m.id()
			m.used[c] = r.Workspace
			delete(m.opening, request)
			m.pool.Opened(request, c)
		}
		for id := range m.used {
			m.release(id)
			break
		}
		for id, r := range m.waiting {
			m.pool.Cancel(id)
			grants, _ := m.pool.Request(r, m.now)
			m.apply(grants)
			break
		}
	}
	m.t.Fatalf("%d requests are never served", len(m.waiting))
}

// Guards against a workspace that starves although others return connections all the time:
// the reuse of a returned connection must not pass over an older request for longer than
// the cost of two new connections.
func TestOldRequestIsNotPassedOver(t *testing.T) {
	p := connpool.New(quota.Limits{MaxOpen: 1, MaxIdle: 1, ByWorkspace: true})
	ms := time.Millisecond
	ask := func(id uint64, name string, at time.Duration) []connpool.Grant {
		grants, _ := p.Request(connpool.Request{ID: id, Workspace: name, Since: at}, at)
		return grants
	}
	assert.Equal(t, len(ask(1, "large", ms)), 1)
	p.Opened(1, 100)
	assert.Equal(t, len(ask(2, "small", ms)), 0)
	conn := uint64(100)
	for i := range uint64(100) {
		now := ms * time.Duration(2+10*i)
		assert.Equal(t, len(ask(10+i, "large", now)), 0)
		grants, _ := p.Return(conn, now)
		assert.Equal(t, len(grants), 1)
		if grants[0].Request == 2 {
			assert.Equal(t, grants[0].Replaced, uint64(100))
			assert.Assert(t, i >= 1 && now <= 40*ms, "served after %s", now)
			return
		}
		assert.Equal(t, grants[0].Conn, conn, "the connection must be used again at first")
	}
	t.Fatal("the request of the small workspace was never served")
}

// Guards against the loss of all idle connections at a member that refuses connections
// because of its limit, and against a workspace without a connection that waits there
// although connections of others are idle.
func TestRefusalsReplaceInsteadOfGrow(t *testing.T) {
	p := connpool.New(quota.Limits{MaxOpen: 4, MaxIdle: 4, ByWorkspace: true})
	now := time.Hour
	for i := range uint64(2) {
		p.Request(connpool.Request{ID: i + 1, Workspace: "a", Since: now}, now)
		p.Opened(i+1, 100+i)
	}
	for i := range uint64(2) {
		p.Return(100+i, now)
	}
	r := connpool.Request{ID: 3, Workspace: "b", Since: now}
	grants, _ := p.Request(r, now)
	assert.Assert(t, len(grants) == 1 && grants[0].Replaced == 0, "the limit allows another connection")
	p.OpenRefused(3, now+20*time.Millisecond, now)
	grants, retryAt := p.Request(r, now)
	assert.Assert(t, len(grants) == 0 && retryAt == now+20*time.Millisecond)
	p.Cancel(3)
	grants, _ = p.Request(r, retryAt)
	assert.Assert(t, len(grants) == 1 && grants[0].Replaced != 0, "a connection must be replaced: %+v", grants)
	assert.Equal(t, p.Open(), 2)
}

// Guards the behaviour without workspaces: session values decide, connections are never
// replaced, and idle ones are closed by MaxIdle and IdleTimeout only.
func TestWithoutWorkspaces(t *testing.T) {
	p := connpool.New(quota.Limits{MaxOpen: 2, MaxIdle: 1, IdleTimeout: 300 * time.Millisecond})
	for i := range uint64(2) {
		p.Request(connpool.Request{ID: i + 1, Since: 1}, 1)
		p.Opened(i+1, 100+i)
	}
	p.Return(100, 1)
	p.Return(101, 2)
	grants, _ := p.Request(connpool.Request{ID: 3, Since: 3, Match: func(c uint64) int { return int(101 - c) }}, 3)
	assert.Equal(t, grants[0].Conn, uint64(100), "the best match is preferred")
	p.Return(100, 4)
	_, closed := p.SetLimits(quota.Limits{MaxOpen: 1, MaxIdle: 1, IdleTimeout: 300 * time.Millisecond}, 5)
	assert.Equal(t, len(closed), 0)
	assert.Equal(t, len(p.CloseIdle(6)), 0)
	assert.DeepEqual(t, p.CloseIdle(time.Second), []uint64{101})
}

// Checks that transactions never use all connections, that one workspace leaves
// transactions to others, and that each waiting one begins when others have ended.
func TestTransactionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tx connpool.Transactions
		limit := rapid.IntRange(2, 30).Draw(t, "limit")
		tx.SetLimit(limit)
		names := make(map[uint64]string)
		open, waiting := make(map[uint64]bool), make(map[uint64]bool)
		admit := func(ids []uint64) {
			for _, id := range ids {
				assert.Assert(t, waiting[id])
				delete(waiting, id)
				open[id] = true
			}
		}
		held := func() map[string]int {
			n := make(map[string]int)
			for id := range open {
				n[names[id]]++
			}
			return n
		}
		var last uint64
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				assert.Assert(t, len(open) < limit, "no connection is left for single statements")
				for name, n := range held() {
					assert.Assert(t, n <= (limit+1)/2, "%q has %d of %d", name, n, limit)
				}
				for id := range waiting {
					assert.Assert(t, len(open) > 0, "%q waits although nothing is open", names[id])
				}
			},
			"begin": func(t *rapid.T) {
				last++
				names[last] = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
				waiting[last] = true
				if tx.Begin(last, names[last], 0) {
					admit([]uint64{last})
				}
			},
			"end": func(t *rapid.T) {
				id := pickOne(t, open)
				delete(open, id)
				admit(tx.End(names[id]))
			},
			"cancel": func(t *rapid.T) {
				id := pickOne(t, waiting)
				delete(waiting, id)
				tx.Cancel(id)
			},
		})
	})
}

// Guards against a workspace whose callers open transactions and stay idle: others must
// still begin transactions.
func TestIdleTransactionsLeaveRoom(t *testing.T) {
	var tx connpool.Transactions
	tx.SetLimit(27)
	n := uint64(0)
	for tx.Begin(n+1, "idle", 0) {
		n++
	}
	assert.Equal(t, n, uint64(11))
	for i := range 5 {
		assert.Assert(t, tx.Begin(uint64(1000+i), fmt.Sprint("other", i), 0))
	}
	assert.Equal(t, len(tx.End("idle")), 0)
}
