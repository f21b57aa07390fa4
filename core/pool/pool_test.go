package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/verdict"
)

const ms = time.Millisecond

// model is an adapter that derives the state of all connections from the actions only,
// and checks each action against it.
type model struct {
	t       *rapid.T
	limit   int
	opening map[ConnID]bool
	idle    map[ConnID]bool
	busy    map[ConnID]uint64
	closed  map[ConnID]bool
	waiting map[uint64]bool
	drained bool
}

func (m *model) total() int { return len(m.opening) + len(m.idle) + len(m.busy) }

func (m *model) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Open:
			assert.Assert(m.t, !m.drained && !m.opening[a.Conn] && !m.closed[a.Conn])
			m.opening[a.Conn] = true
			assert.Assert(m.t, m.total() <= m.limit, "opened beyond the budget")
		case Close:
			_, isBusy := m.busy[a.Conn]
			assert.Assert(m.t, m.idle[a.Conn] && !isBusy, "closed a connection that is in use")
			delete(m.idle, a.Conn)
			m.closed[a.Conn] = true
		case Assign:
			assert.Assert(m.t, m.idle[a.Conn] && m.waiting[a.Request])
			delete(m.idle, a.Conn)
			delete(m.waiting, a.Request)
			m.busy[a.Conn] = a.Request
		case Refuse:
			assert.Assert(m.t, m.waiting[a.Request])
			assert.Assert(m.t, a.Err.Verdict == verdict.NotRun && a.Err.RetryAfter > 0)
			delete(m.waiting, a.Request)
		}
	}
}

// oldestOrNewest returns the least or the greatest ID in m, drawn at random, and false if m is empty.
func oldestOrNewest[V any](m map[ConnID]V, t *rapid.T) (ConnID, bool) {
	if len(m) == 0 {
		return 0, false
	}
	low, high := ConnID(1<<62), ConnID(0)
	for id := range m {
		low, high = min(low, id), max(high, id)
	}
	if rapid.Bool().Draw(t, "oldest") {
		return low, true
	}
	return high, true
}

// Guards against connections beyond the budget, a connection assigned to two requests, the
// reuse of a dirty connection, and a reduced budget that closes a connection in use.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Budget: 7, Reserved: 2, MinIdle: 1, MaxIdle: 50 * ms, MaxWaiting: 6}
		p, now, lastRequest := New(cfg), time.Duration(0), uint64(0)
		m := &model{t: t, limit: 5, opening: map[ConnID]bool{}, idle: map[ConnID]bool{},
			busy: map[ConnID]uint64{}, closed: map[ConnID]bool{}, waiting: map[uint64]bool{}}
		release := func(clean bool) func(*rapid.T) {
			return func(t *rapid.T) {
				id, ok := oldestOrNewest(m.busy, t)
				if !ok {
					return
				}
				delete(m.busy, id)
				m.idle[id] = true
				actions := p.Release(id, clean, now)
				m.apply(actions)
				assert.Assert(t, clean || m.closed[id], "dirty connection stays open")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(*rapid.T) {
				lastRequest++
				m.waiting[lastRequest] = true
				m.apply(p.Acquire(lastRequest, now))
			},
			"abandon": func(t *rapid.T) {
				id := rapid.Uint64Range(0, lastRequest).Draw(t, "request")
				delete(m.waiting, id)
				m.apply(p.Cancel(id, now))
			},
			"release clean": release(true),
			"release dirty": release(false),
			"opened": func(t *rapid.T) {
				if id, ok := oldestOrNewest(m.opening, t); ok {
					delete(m.opening, id)
					m.idle[id] = true
					m.apply(p.Opened(id, now))
				}
			},
			"open failed": func(t *rapid.T) {
				if id, ok := oldestOrNewest(m.opening, t); ok {
					delete(m.opening, id)
					m.closed[id] = true
					m.apply(p.OpenFailed(id, rapid.Bool().Draw(t, "limit"), now))
				}
			},
			"lost": func(t *rapid.T) {
				id, ok := oldestOrNewest(m.busy, t)
				if !ok {
					id, ok = oldestOrNewest(m.idle, t)
				}
				if ok {
					delete(m.busy, id)
					delete(m.idle, id)
					m.closed[id] = true
					m.apply(p.Lost(id, now))
				}
			},
			// An event for a connection that no longer exists has no effect.
			"stale": func(t *rapid.T) {
				if id, ok := oldestOrNewest(m.closed, t); ok {
					m.apply(p.Release(id, true, now))
					m.apply(p.Opened(id, now))
					m.apply(p.Lost(id, now))
				}
			},
			"budget": func(t *rapid.T) {
				budget := rapid.IntRange(0, 9).Draw(t, "budget")
				m.limit = max(budget-2, 0)
				m.apply(p.SetBudget(budget, now))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 19).Draw(t, "chance") == 0 {
					m.drained = true
					m.apply(p.Drain(now))
				}
			},
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
				m.apply(p.Tick(now))
			},
			"": func(t *rapid.T) {
				stats := p.Stats()
				assert.Equal(t, stats, Stats{m.limit, len(m.opening), len(m.idle), len(m.busy), len(m.waiting)})
				assert.Assert(t, stats.Waiting <= 6 && (stats.Waiting == 0 || stats.Idle == 0), "request waits beside an idle connection")
				assert.Assert(t, !m.drained || stats.Idle+stats.Waiting == 0)
				assert.Assert(t, m.total() <= m.limit || stats.Idle == 0, "idle connection beyond the budget")
			},
		})
	})
}

// Guards against opening connections at a high rate to a failing upstream, and against
// requests that wait while it accepts no connections.
func TestBackoffAfterFailures(t *testing.T) {
	p := New(Config{Budget: 15, Reserved: 2, MinIdle: 2})
	assert.Equal(t, len(p.Acquire(1, 0)), 3)
	for id := ConnID(1); id <= 2; id++ {
		assert.Equal(t, len(p.OpenFailed(id, false, 0)), 0)
	}
	refused := p.OpenFailed(3, false, 0)[0].(Refuse)
	assert.Equal(t, refused.Err.Code, verdict.CutOff)
	assert.Equal(t, p.Acquire(2, ms)[0].(Refuse).Err.Code, verdict.CutOff)
	opens := 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * ms {
		for _, a := range p.Tick(now) {
			opens++
			p.OpenFailed(a.(Open).Conn, false, now)
		}
	}
	assert.Assert(t, opens >= 8 && opens <= 30, "%d opens in 20 s", opens)
	// One success ends the backoff.
	a := p.Tick(30 * time.Second)
	assert.DeepEqual(t, p.Opened(a[0].(Open).Conn, 30*time.Second), []Action{Open{Conn: a[0].(Open).Conn + 1}})
}

// Guards against refusing requests while the previous owner still holds connections.
func TestLimitDuringHandOverKeepsRequestsWaiting(t *testing.T) {
	p := New(Config{Budget: 3, Reserved: 2})
	p.Acquire(1, 0)
	assert.Equal(t, len(p.OpenFailed(1, true, 0)), 0)
	assert.DeepEqual(t, p.Tick(time.Second), []Action{Open{Conn: 2}})
	assert.DeepEqual(t, p.Opened(2, time.Second), []Action{Assign{Request: 1, Conn: 2}})
}

func BenchmarkAcquireRelease(b *testing.B) {
	p := New(Config{Budget: 15, Reserved: 2, MinIdle: 2})
	for _, a := range p.Tick(0) {
		p.Opened(a.(Open).Conn, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		a := p.Acquire(1, 0)[0].(Assign)
		for _, next := range p.Release(a.Conn, true, 0) {
			_ = next
		}
	}
}
