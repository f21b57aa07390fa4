package connpool_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/connpool"
	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/source"
)

// The played member is one of 24 of deployment A of docs/design/workspaces-and-load.md.
const (
	playedLimit   = 72
	playedSlots   = 6
	playedDial    = 12 * time.Millisecond // of a slot
	playedDead    = 3 * time.Second       // connections of an instance without power count on
	playedMembers = 24
	playedTime    = 120 * time.Second
	playedWarmUp  = 20 * time.Second
	playedLoss    = 70 * time.Second // the most loaded gateway loses power
)

var playedDomains = []string{"a", "b", "c"}

type playedEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type playedEvents []playedEvent

func (e playedEvents) Len() int { return len(e) }
func (e playedEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e playedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *playedEvents) Push(x any)   { *e = append(*e, x.(playedEvent)) }
func (e *playedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playedStatement is a statement or a transaction of several.
type playedStatement struct {
	workspace  int
	statements int
	work       time.Duration
	arrived    time.Duration
	first      bool // nothing has run yet
}

// playedPool is one gateway with its tickets and its connections.
type playedPool struct {
	pool     *connpool.Pool
	running  int
	queue    []func()
	limits   quota.Limits
	requests map[uint64]func(connpool.Grant)
	lost     bool
}

// playedMember plays the load of one member on some gateways, without a network.
type playedMember struct {
	now    time.Duration
	events playedEvents
	seq    int
	random *rand.Rand
	pools  []*playedPool
	route  func(domain, workspace int) int
	backup func(pool int) int // the pool that serves after the loss of a pool

	busy    int
	waiting []func()
	dead    int
	lastID  uint64

	opened, refused, statements int
	over, maxTotal              int
	waits                       [][]float64 // in ms, by workspace
	cumulative                  []float64   // of the workspace sizes
}

func (m *playedMember) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, playedEvent{m.now + d, m.seq, do})
}

// execute takes a slot of the member for a time, in order of arrival.
func (m *playedMember) execute(work time.Duration, started, done func()) {
	run := func() {
		if started != nil {
			started()
		}
		m.after(work, func() {
			m.busy--
			if len(m.waiting) > 0 {
				next := m.waiting[0]
				m.waiting = m.waiting[1:]
				m.busy++
				next()
			}
			done()
		})
	}
	if m.busy < playedSlots {
		m.busy++
		run()
		return
	}
	m.waiting = append(m.waiting, run)
}

func (m *playedMember) total() int {
	n := m.dead
	for _, p := range m.pools {
		if !p.lost {
			n += p.pool.Open()
		}
	}
	return n
}

func (p *playedPool) deliver(grants []connpool.Grant) {
	for _, g := range grants {
		f := p.requests[g.Request]
		delete(p.requests, g.Request)
		f(g)
	}
}

// withTicket runs f once fewer than MaxRunning statements run; f must call the function
// that it is given when it ends.
func (p *playedPool) withTicket(f func(release func())) {
	release := func() {
		p.running--
		if len(p.queue) > 0 {
			next := p.queue[0]
			p.queue = p.queue[1:]
			next()
		}
	}
	start := func() { p.running++; f(release) }
	if p.running < p.limits.MaxRunning {
		start()
	} else {
		p.queue = append(p.queue, start)
	}
}

// checkout gets a connection and passes its ID on.
func (m *playedMember) checkout(p *playedPool, workspace string, since time.Duration, use func(conn uint64)) {
	m.lastID++
	id := m.lastID
	p.requests[id] = func(g connpool.Grant) {
		if g.Conn != 0 {
			use(g.Conn)
			return
		}
		if m.total() > playedLimit {
			m.refused++
			p.pool.OpenRefused(id, m.now+20*time.Millisecond, m.now)
			m.after(20*time.Millisecond, func() { m.checkout(p, workspace, since, use) })
			return
		}
		m.opened++
		m.execute(playedDial, nil, func() {
			if p.lost {
				return
			}
			m.lastID++
			p.pool.Opened(id, m.lastID)
			use(m.lastID)
		})
	}
	grants, retryAt := p.pool.Request(connpool.Request{ID: id, Workspace: workspace, Since: since}, m.now)
	p.deliver(grants)
	m.maxTotal = max(m.maxTotal, m.total())
	m.over = max(m.over, m.total()-playedLimit)
	if retryAt > m.now {
		m.after(retryAt-m.now, func() {
			if p.requests[id] != nil && !p.lost {
				p.pool.Cancel(id)
				delete(p.requests, id)
				m.checkout(p, workspace, since, use)
			}
		})
	}
}

func (m *playedMember) release(p *playedPool, conn uint64) {
	if p.lost {
		return
	}
	grants, _ := p.pool.Return(conn, m.now)
	p.deliver(grants)
	if p.pool.Idle() > p.limits.MaxIdle {
		m.after(p.limits.IdleTimeout+time.Millisecond, func() { p.pool.CloseIdle(m.now) })
	}
}

// serve runs a statement or transaction on a gateway.
func (m *playedMember) serve(domain int, s playedStatement) {
	p := m.pools[m.route(domain, s.workspace)]
	if p.lost {
		p = m.pools[m.backup(m.route(domain, s.workspace))]
	}
	p.withTicket(func(release func()) {
		m.checkout(p, fmt.Sprint(s.workspace), m.now, func(conn uint64) { m.run(p, conn, s, release) })
	})
}

// run runs the statements of s on its connection.
func (m *playedMember) run(p *playedPool, conn uint64, s playedStatement, release func()) {
	m.execute(s.work, func() {
		if s.first && m.now > playedWarmUp {
			m.waits[s.workspace] = append(m.waits[s.workspace], float64(m.now-s.arrived)/float64(time.Millisecond))
		}
	}, func() {
		m.statements++
		s.statements--
		s.first = false
		release()
		if s.statements == 0 {
			m.release(p, conn)
			return
		}
		// The caller sends the next statement after a round trip of 8 ms.
		m.after(8*time.Millisecond, func() {
			p.withTicket(func(release func()) { m.run(p, conn, s, release) })
		})
	})
}

// arrive sends operations at the given rate until the end.
func (m *playedMember) arrive(rate float64) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		m.arrive(rate)
		at, _ := slices.BinarySearch(m.cumulative, m.random.Float64())
		s := playedStatement{workspace: min(at, len(m.cumulative)-1), statements: 1, arrived: m.now, first: true}
		// The kinds of deployment A: upload, browse, edit.
		work, transactions := 33*time.Millisecond, 0.12
		switch kind := m.random.Float64() * 1078; {
		case kind < 145:
			work, transactions = 11*time.Millisecond, 0.25
		case kind < 145+253:
			work, transactions = 55*time.Millisecond, 0.10
		}
		s.work = work
		if m.random.Float64() < transactions {
			s.statements, s.work = 3, work/3
		}
		m.serve(m.random.IntN(len(playedDomains)), s)
	})
}

func (m *playedMember) play() {
	for m.now < playedTime && len(m.events) > 0 {
		e := heap.Pop(&m.events).(playedEvent)
		m.now = e.at
		e.do()
	}
}

// lose ends a gateway without a sign to the member.
func (m *playedMember) lose(pool int) {
	p := m.pools[pool]
	m.dead += p.pool.Open()
	lost := p.pool.Open()
	p.lost = true
	m.after(playedDead, func() { m.dead -= lost })
}

// sizes returns the cumulative shares of n workspaces whose sizes fall with rank^-1.2.
func sizes(n int) []float64 {
	all := make([]float64, n)
	sum := 0.0
	for i := range all {
		sum += math.Pow(float64(i+1), -1.2)
		all[i] = sum
	}
	for i := range all {
		all[i] /= sum
	}
	return all
}

// arrangement is one way to place the gateways of a member.
type arrangement struct {
	name   string
	pools  int
	limits func(instances int) quota.Limits
	route  func(domain, workspace int) int
	backup func(pool int) int
}

var arrangements = []arrangement{
	{"caller's domain, idle as today", 6, func(n int) quota.Limits { return callerDomainLimits(n, false) }, func(d, _ int) int { return d }, func(p int) int { return p + 3 }},
	{"caller's domain, idle kept", 6, func(n int) quota.Limits { return callerDomainLimits(n, true) }, func(d, _ int) int { return d }, func(p int) int { return p + 3 }},
	{"one in the member's domain", 2, func(int) quota.Limits { return quota.ForWorkspaceGateway(playedLimit, playedSlots, 0) }, func(int, int) int { return 0 }, func(p int) int { return 1 - p }},
	{"both in the member's domain, by hash", 2, func(int) quota.Limits { return quota.ForWorkspaceGateway(playedLimit, playedSlots, 0) }, func(_, w int) int { return w % 2 }, func(p int) int { return 1 - p }},
}

// callerDomainLimits returns the quota of a gateway in each of three failure domains, or of
// each of three instances.
func callerDomainLimits(instances int, keep bool) quota.Limits {
	l := quota.ForGateway(playedLimit, playedSlots, len(playedDomains))
	if instances <= len(playedDomains) {
		l = quota.ForInstance(playedLimit, playedSlots, 1/float64(len(playedDomains)))
	}
	l.ByWorkspace = true
	switch {
	case keep && instances <= len(playedDomains):
		return l.WithWorkspaces()
	case keep:
		l.MaxIdle = l.MaxOpen
	}
	return l
}

// connectionsBetween returns the mean number of gateways that an instance calls, from a
// sample of 30 instances.
func connectionsBetween(a arrangement, n int) float64 {
	var all []source.Candidate
	for i := range n {
		all = append(all, source.Candidate{Name: fmt.Sprint("i", i), FailureDomain: playedDomains[i%3], Weight: 0.2})
	}
	sample := min(n, 30)
	sum := 0
	for _, self := range all[:sample] {
		called := make(map[string]bool)
		p := gateway.New(self.Name, self.FailureDomain)
		p.SetWorkspaces(a.pools == 2)
		p.SetCandidates(all)
		if p.ConnectDirectly(playedLimit) && a.pools != 2 {
			continue
		}
		for m := range playedMembers {
			c, path := p.Pick(fmt.Sprint("m", m), playedDomains[m%3], 0)
			if path != gateway.ViaGateway {
				continue
			}
			called[c.Name] = true
			if strings.Contains(a.name, "both") {
				p.RecordFailure(c.Name, 0)
				if c, path = p.Pick(fmt.Sprint("m", m), playedDomains[m%3], 0); path == gateway.ViaGateway {
					called[c.Name] = true
				}
				p.RecordAnswer(c.Name, time.Hour)
			}
		}
		sum += len(called)
	}
	return float64(sum) / float64(sample)
}

func playArrangement(a arrangement, instances, workspaces int, rate float64, seed uint64) *playedMember {
	m := &playedMember{random: rand.New(rand.NewPCG(seed, 1)), route: a.route, backup: a.backup, waits: make([][]float64, workspaces), cumulative: sizes(workspaces)}
	if a.pools > 2 && instances <= len(playedDomains) {
		// Each instance connects by itself; callers of a lost one go to the next one.
		a.pools, m.backup = 3, func(p int) int { return (p + 1) % 3 }
	}
	for range a.pools {
		l := a.limits(instances)
		m.pools = append(m.pools, &playedPool{pool: connpool.New(l), limits: l, requests: make(map[uint64]func(connpool.Grant))})
	}
	m.after(playedLoss, func() { m.lose(0) })
	m.arrive(rate)
	m.play()
	return m
}

// waitOf returns the mean and the 99th percentile of the waits of some workspaces.
func (m *playedMember) waitOf(from, to int) (mean, p99 float64) {
	all := slices.Concat(m.waits[from:to]...)
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	for _, w := range all {
		mean += w
	}
	return mean / float64(len(all)), all[len(all)*99/100]
}

// Compares the arrangements of gateways under the load of one member in deployment A, at
// its usual rate and at 2.5 times that rate, with a loss of power. The table is in
// docs/design/connections.md. Guards the figures of that note: gateways in the member's
// domain open fewer connections than those in the callers' domains, and the limit holds.
func TestPlayedLoad(t *testing.T) {
	t.Log("| arrangement | instances | workspaces | operations/s | new connections per 1,000 statements | wait of largest tenth, mean / p99 ms | wait of smallest half, mean / p99 ms | most connections (limit 72) | refused | gateways that an instance calls |")
	played := make(map[string]*playedMember) // with more than 3 instances, all is the same
	for _, instances := range []int{3, 88, 1800} {
		between := make(map[string]float64)
		for _, a := range arrangements {
			between[a.name] = connectionsBetween(a, instances)
		}
		for _, workspaces := range []int{86, 2000} {
			for _, rate := range []float64{45, 112} {
				opened := make(map[string]float64)
				for _, a := range arrangements {
					key := fmt.Sprint(a.name, min(instances, 4), workspaces, rate)
					if played[key] == nil {
						played[key] = playArrangement(a, instances, workspaces, rate, 7)
					}
					m := played[key]
					opened[a.name] = 1000 * float64(m.opened) / float64(m.statements)
					mean, p99 := m.waitOf(0, workspaces/10)
					smallMean, smallP99 := m.waitOf(workspaces/2, workspaces)
					t.Logf("| %s | %d | %d | %.0f | %.0f | %.1f / %.0f | %.1f / %.0f | %d | %d | %.1f |", a.name, instances, workspaces, rate, opened[a.name], mean, p99, smallMean, smallP99, m.maxTotal, m.refused, between[a.name])
					if a.pools == 2 {
						assert.Assert(t, m.over <= 0, "%s: %d connections over the limit", a.name, m.over)
					}
				}
				if instances > 3 {
					assert.Assert(t, opened[arrangements[2].name] < opened[arrangements[1].name])
					assert.Assert(t, opened[arrangements[2].name] < opened[arrangements[0].name])
				}
			}
		}
	}
}
