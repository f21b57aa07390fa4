package configgossip

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	linkLatency     = time.Millisecond
	platformLatency = 5 * time.Millisecond
	limit           = 4 * time.Second // guarantee 9
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any     { e := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return e }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

type member struct {
	*Node
	domain string
	tick   time.Duration // of the scheduled tick
	hops   int           // links between the platform and the current revision
	sent   int           // bytes
}

// fleet runs nodes on a virtual clock.
type fleet struct {
	now      time.Duration
	events   queue
	seq      int
	members  map[string]*member
	names    []string
	platform Document
	down     func(domain string) bool
	reads    int
	current  int            // members that have the platform's revision
	digests  map[Digest]int // size of each digest in bytes
}

func newFleet(domains, perDomain int, seed uint64) *fleet {
	f := &fleet{members: map[string]*member{}, digests: map[Digest]int{}, down: func(string) bool { return false }}
	var all []Peer
	for d := range domains {
		for i := range perDomain {
			all = append(all, Peer{fmt.Sprintf("zone%d-%d", d, i), fmt.Sprint("zone", d)})
		}
	}
	for i, p := range all {
		m := &member{domain: p.FailureDomain, tick: never}
		m.Node = New(DefaultConfig(p.Name, p.FailureDomain), rand.New(rand.NewPCG(seed, uint64(i))), 0)
		f.members[p.Name], f.names = m, append(f.names, p.Name)
		peers := append(append([]Peer(nil), all[:i]...), all[i+1:]...)
		f.after(0, func() { f.perform(p.Name, m.PeersChanged(f.now, peers), 0) })
	}
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + d, f.seq, run})
}

func (f *fleet) run(until time.Duration, stop func() bool) {
	for len(f.events) > 0 && f.events[0].at <= until && !stop() {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
}

func (f *fleet) accept(raw string) {
	f.platform = Document{Digest{f.platform.Revision + 1, Hash([]byte(raw))}, []byte(raw)}
	f.current = 0
}

func (f *fleet) digest(d Digest) int {
	if f.digests[d] == 0 {
		f.digests[d] = size(d)
	}
	return f.digests[d]
}

// size returns the length of a message as JSON, without a frame.
func size(message any) int {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// perform carries out the actions of a member. hops is the distance from the
// platform that an installed revision has.
func (f *fleet) perform(name string, actions []Action, hops int) {
	m := f.members[name]
	for _, a := range actions {
		switch a := a.(type) {
		case Install:
			m.hops = hops
			if a.Document.Revision == f.platform.Revision {
				f.current++
			}
		case SendDigest:
			m.sent += f.digest(a.Digest)
			f.after(linkLatency, func() {
				f.perform(a.Peer, f.members[a.Peer].DigestReceived(f.now, name, a.Digest), 0)
			})
		case Fetch:
			m.sent += f.digest(a.Want) + f.digest(a.Have)
			f.after(linkLatency, func() { f.answer(name, a) })
		case ReadPlatform:
			f.reads++
			f.after(platformLatency, func() { f.read(name) })
		}
	}
	if next := m.NextTick(); next < m.tick {
		m.tick = next
		f.after(next-f.now, func() {
			if m.tick == f.now {
				m.tick = never
				f.perform(name, m.Tick(f.now), 0)
			}
		})
	}
}

func (f *fleet) answer(to string, a Fetch) {
	from := f.members[a.Peer]
	b, ok := from.AnswerFetch(a.Want, a.Have)
	from.sent += size(b)
	hops := from.hops + 1
	f.after(linkLatency, func() {
		m := f.members[to]
		if ok {
			f.perform(to, m.FetchDone(f.now, a.Peer, b), hops)
		} else {
			f.perform(to, m.FetchFailed(f.now, a.Peer), 0)
		}
	})
}

func (f *fleet) read(name string) {
	m := f.members[name]
	if f.down(m.domain) {
		f.perform(name, m.PlatformReadFailed(f.now), 0)
	} else {
		f.perform(name, m.PlatformReadDone(f.now, f.platform), 0)
	}
}

// sent returns the bytes sent since the last call, of all and of the busiest member.
func (f *fleet) sent() (sum, most int) {
	for _, m := range f.members {
		sum, most = sum+m.sent, max(most, m.sent)
		m.sent = 0
	}
	return sum, most
}

// converge returns the time and the hops until all members have the platform's revision.
func (f *fleet) converge(t *testing.T) (took time.Duration, hops int) {
	start := f.now
	f.run(start+time.Minute, func() bool { return f.current == len(f.members) })
	assert.Equal(t, f.current, len(f.members))
	for _, m := range f.members {
		hops = max(hops, m.hops)
	}
	return f.now - start, hops
}

func forever() bool { return false }

// Reports the cost of spreading and guards against exceeding guarantee 9 at the
// sizes of today and of the projection.
func TestFigures(t *testing.T) {
	const revisions, spacing, quietTime = 5, 5 * time.Second, 5 * time.Second
	filler := strings.Repeat("0123456789abcdef", 128)
	for _, c := range []struct{ domains, perDomain int }{{3, 3}, {3, 30}, {1, 360}, {5, 360}} {
		nodes := c.domains * c.perDomain
		f := newFleet(c.domains, c.perDomain, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		f.accept(filler)
		cold, _ := f.converge(t)
		f.run(5*time.Second, forever)

		f.sent()
		reads0, start := f.reads, f.now
		f.run(start+quietTime, forever)
		sum1, most1 := f.sent()
		quiet := float64(sum1) / quietTime.Seconds() / float64(nodes)
		reads := float64(f.reads-reads0) / quietTime.Seconds()

		var worst time.Duration
		hops := 0
		for i := range revisions {
			f.run(start+quietTime+time.Duration(i)*spacing+time.Duration(rng.Float64()*float64(time.Second)), forever)
			f.accept(filler[:800] + fmt.Sprintf(`"connections": %d`, i) + filler[800:])
			took, h := f.converge(t)
			worst, hops = max(worst, took), max(hops, h)
		}
		f.run(start+quietTime+revisions*spacing, forever)
		sum2, most2 := f.sent()
		perRevision := (float64(sum2)/float64(nodes) - quiet*(revisions*spacing).Seconds()) / revisions
		t.Logf("%4d nodes in %d domains: cold start %v, slowest of %d revisions %v, hops %d; bytes sent per node: quiet %.0f/s, per revision %.0f (busiest node %.0f/s quiet, %.0f/s with a revision each %v); platform reads %.1f/s",
			nodes, c.domains, cold.Round(time.Millisecond), revisions, worst.Round(time.Millisecond), hops, quiet, perRevision, float64(most1)/quietTime.Seconds(), float64(most2)/(revisions*spacing).Seconds(), spacing, reads)
		assert.Assert(t, worst <= limit && cold <= limit)
		assert.Assert(t, reads <= 5*float64(c.domains))

		if c.domains == 1 {
			continue
		}
		f.down = func(domain string) bool { return domain != "zone0" }
		f.run(f.now+30*time.Second, forever)
		f.accept(filler[:900] + "one zone" + filler[900:])
		took, h := f.converge(t)
		f.down = func(string) bool { return true }
		f.run(f.now+time.Minute, forever)
		f.accept(filler[:900] + "after outage" + filler[900:])
		f.down = func(string) bool { return false }
		after, _ := f.converge(t)
		t.Logf("%4d nodes: platform reachable from one domain only: %v, hops %d; accepted as a one-minute outage ends: %v",
			nodes, took.Round(time.Millisecond), h, after.Round(time.Millisecond))
		assert.Assert(t, took <= limit)
		assert.Assert(t, after <= 15*time.Second+limit)
	}
}
