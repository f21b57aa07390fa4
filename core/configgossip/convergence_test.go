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
	maxConvergence  = 4 * time.Second // guarantee 9 of docs/design.md
)

type event struct {
	at  time.Duration // virtual time
	seq int           // order of events at the same time
	run func()
}

// queue is a heap of events in order of time.
type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any     { e := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return e }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// simulatedInstance is the Node of an instance with its state in the simulation.
type simulatedInstance struct {
	*Node
	domain        string
	scheduledTick time.Duration // time of the scheduled tick
	hops          int           // nodes through which the current revision came from the platform
	sent          int           // bytes since the last call of simulation.sent
}

// simulation simulates the nodes of a deployment on a virtual clock.
type simulation struct {
	now          time.Duration
	events       queue
	lastSeq      int
	instances    map[string]*simulatedInstance
	names        []string
	platform     Document
	platformDown func(domain string) bool // whether the platform is unreachable from a failure domain
	reads        int
	upToDate     int            // number of instances that have the platform's revision
	digestSizes  map[Digest]int // size of each digest in bytes
}

func newSimulation(domains, perDomain int, seed uint64) *simulation {
	s := &simulation{instances: map[string]*simulatedInstance{}, digestSizes: map[Digest]int{}, platformDown: func(string) bool { return false }}
	var all []Peer
	for d := range domains {
		for i := range perDomain {
			all = append(all, Peer{fmt.Sprintf("zone%d-%d", d, i), fmt.Sprint("zone", d)})
		}
	}
	for i, p := range all {
		instance := &simulatedInstance{domain: p.FailureDomain, scheduledTick: never}
		instance.Node = New(DefaultConfig(p.Name, p.FailureDomain), rand.New(rand.NewPCG(seed, uint64(i))), 0)
		s.instances[p.Name], s.names = instance, append(s.names, p.Name)
		peers := append(append([]Peer(nil), all[:i]...), all[i+1:]...)
		s.after(0, func() { s.perform(p.Name, instance.PeersChanged(s.now, peers), 0) })
	}
	return s
}

// after schedules run for the time now + d.
func (s *simulation) after(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.events, event{s.now + d, s.lastSeq, run})
}

// run executes the events up to the given time, or until stop returns true.
func (s *simulation) run(until time.Duration, stop func() bool) {
	for len(s.events) > 0 && s.events[0].at <= until && !stop() {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// accept makes raw the platform's new revision.
func (s *simulation) accept(raw string) {
	s.platform = Document{Digest{s.platform.Revision + 1, Hash([]byte(raw))}, []byte(raw)}
	s.upToDate = 0
}

// digestSize returns the length of a digest as a message in bytes.
func (s *simulation) digestSize(d Digest) int {
	if s.digestSizes[d] == 0 {
		s.digestSizes[d] = size(d)
	}
	return s.digestSizes[d]
}

// size returns the length of a message as JSON, without a frame.
func size(message any) int {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// perform executes the actions of an instance. hops is the number of nodes through which
// an installed revision came from the platform.
func (s *simulation) perform(name string, actions []Action, hops int) {
	instance := s.instances[name]
	for _, a := range actions {
		switch a := a.(type) {
		case Install:
			instance.hops = hops
			if a.Document.Revision == s.platform.Revision {
				s.upToDate++
			}
		case SendDigest:
			instance.sent += s.digestSize(a.Digest)
			s.after(linkLatency, func() {
				s.perform(a.Peer, s.instances[a.Peer].DigestReceived(s.now, name, a.Digest), 0)
			})
		case Fetch:
			instance.sent += s.digestSize(a.Want) + s.digestSize(a.Have)
			s.after(linkLatency, func() { s.answer(name, a) })
		case ReadPlatform:
			s.reads++
			s.after(platformLatency, func() { s.read(name) })
		}
	}
	if next := instance.NextTick(); next < instance.scheduledTick {
		instance.scheduledTick = next
		s.after(next-s.now, func() {
			if instance.scheduledTick == s.now {
				instance.scheduledTick = never
				s.perform(name, instance.Tick(s.now), 0)
			}
		})
	}
}

// answer sends the response to a Fetch back to the instance that requested it.
func (s *simulation) answer(to string, a Fetch) {
	from := s.instances[a.Peer]
	response, ok := from.AnswerFetch(a.Want, a.Have)
	from.sent += size(response)
	hops := from.hops + 1
	s.after(linkLatency, func() {
		instance := s.instances[to]
		if ok {
			s.perform(to, instance.FetchDone(s.now, a.Peer, response), hops)
		} else {
			s.perform(to, instance.FetchFailed(s.now, a.Peer), 0)
		}
	})
}

// read reports the result of a platform read to an instance.
func (s *simulation) read(name string) {
	instance := s.instances[name]
	if s.platformDown(instance.domain) {
		s.perform(name, instance.PlatformReadFailed(s.now), 0)
	} else {
		s.perform(name, instance.PlatformReadDone(s.now, s.platform), 0)
	}
}

// sent returns the bytes sent since the last call by all instances and by the busiest one.
func (s *simulation) sent() (sum, most int) {
	for _, instance := range s.instances {
		sum, most = sum+instance.sent, max(most, instance.sent)
		instance.sent = 0
	}
	return sum, most
}

// converge runs the simulation until all instances have the platform's revision, and returns
// the time that it took and the maximum number of hops.
func (s *simulation) converge(t *testing.T) (took time.Duration, hops int) {
	start := s.now
	s.run(start+time.Minute, func() bool { return s.upToDate == len(s.instances) })
	assert.Equal(t, s.upToDate, len(s.instances))
	for _, instance := range s.instances {
		hops = max(hops, instance.hops)
	}
	return s.now - start, hops
}

func forever() bool { return false }

// Guards against exceeding guarantee 9 (the time until all instances have a new revision) at
// the present and the projected size of the deployment, and logs the cost of gossip.
func TestConvergence(t *testing.T) {
	const revisions, spacing, quietTime = 5, 5 * time.Second, 5 * time.Second
	filler := strings.Repeat("0123456789abcdef", 128)
	for _, c := range []struct{ domains, perDomain int }{{3, 3}, {3, 30}, {1, 360}, {5, 360}} {
		nodes := c.domains * c.perDomain
		s := newSimulation(c.domains, c.perDomain, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		s.accept(filler)
		coldStart, _ := s.converge(t)
		s.run(5*time.Second, forever)

		s.sent()
		readsBefore, start := s.reads, s.now
		s.run(start+quietTime, forever)
		quietSum, quietMost := s.sent()
		quietRate := float64(quietSum) / quietTime.Seconds() / float64(nodes)
		readRate := float64(s.reads-readsBefore) / quietTime.Seconds()

		var slowest time.Duration
		hops := 0
		for i := range revisions {
			s.run(start+quietTime+time.Duration(i)*spacing+time.Duration(rng.Float64()*float64(time.Second)), forever)
			s.accept(filler[:800] + fmt.Sprintf(`"connections": %d`, i) + filler[800:])
			took, h := s.converge(t)
			slowest, hops = max(slowest, took), max(hops, h)
		}
		s.run(start+quietTime+revisions*spacing, forever)
		revisionSum, revisionMost := s.sent()
		perRevision := (float64(revisionSum)/float64(nodes) - quietRate*(revisions*spacing).Seconds()) / revisions
		t.Logf("%4d nodes in %d domains: cold start %v, slowest of %d revisions %v, hops %d; bytes sent per node: quiet %.0f/s, per revision %.0f (busiest node %.0f/s quiet, %.0f/s with a revision each %v); platform reads %.1f/s",
			nodes, c.domains, coldStart.Round(time.Millisecond), revisions, slowest.Round(time.Millisecond), hops, quietRate, perRevision, float64(quietMost)/quietTime.Seconds(), float64(revisionMost)/(revisions*spacing).Seconds(), spacing, readRate)
		assert.Assert(t, slowest <= maxConvergence && coldStart <= maxConvergence)
		// Each failure domain has three pollers, which read once a second on average.
		assert.Assert(t, readRate <= 5*float64(c.domains))

		if c.domains == 1 {
			continue
		}
		s.platformDown = func(domain string) bool { return domain != "zone0" }
		s.run(s.now+30*time.Second, forever)
		s.accept(filler[:900] + "one zone" + filler[900:])
		took, h := s.converge(t)
		s.platformDown = func(string) bool { return true }
		s.run(s.now+time.Minute, forever)
		s.accept(filler[:900] + "after outage" + filler[900:])
		s.platformDown = func(string) bool { return false }
		afterOutage, _ := s.converge(t)
		t.Logf("%4d nodes: platform reachable from one domain only: %v, hops %d; accepted as a one-minute outage ends: %v",
			nodes, took.Round(time.Millisecond), h, afterOutage.Round(time.Millisecond))
		assert.Assert(t, took <= maxConvergence)
		// After an outage, a poller may still be waiting for MaxPollInterval, 15 s.
		assert.Assert(t, afterOutage <= 15*time.Second+maxConvergence)
	}
}
