package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/verdict"
)

const ms = time.Millisecond

// States of a request as derived from the results alone.
const (
	stateWaiting = iota
	stateRunning
	stateGone
)

// Guards against requests that are lost or started twice, more running requests than
// slots, free slots while requests wait, and queues longer than their limit.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		queueTime := [NumRanks]time.Duration{0, 30 * ms, 20 * ms}
		s := New(Config{Slots: slots, QueueLimit: 8, QueueTime: queueTime, Floor: [NumRanks]float64{0, 0.1, 0.02}})
		now, lastID, drained := time.Duration(0), uint64(0), false
		states := map[uint64]int{}
		apply := func(res Result) {
			for _, id := range res.Started {
				assert.Equal(t, states[id], stateWaiting, "started request %d", id)
				states[id] = stateRunning
			}
			for _, rej := range res.Rejected {
				assert.Equal(t, states[rej.ID], stateWaiting, "rejected request %d", rej.ID)
				assert.Equal(t, rej.Err.Verdict, verdict.NotRun)
				assert.Assert(t, rej.Err.RetryAfter > 0)
				states[rej.ID] = stateGone
			}
		}
		drawID := func(t *rapid.T) uint64 {
			return rapid.Uint64Range(1, max(lastID, 1)).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				lastID++
				r := Request{ID: lastID, Rank: Rank(rapid.IntRange(0, 2).Draw(t, "rank"))}
				r.Caller = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
				r.Workspace = rapid.SampledFrom([]string{"", "a", "w"}).Draw(t, "workspace")
				r.Weight = rapid.SampledFrom([]float64{0, 1, 0.5, 200}).Draw(t, "weight")
				r.Class = ServiceClass(rapid.IntRange(0, 2).Draw(t, "class"))
				r.Due = now + time.Duration(rapid.IntRange(0, 50).Draw(t, "due"))*ms
				if d := rapid.IntRange(0, 50).Draw(t, "deadline"); d > 0 {
					r.Deadline = now + time.Duration(d)*ms
				}
				states[lastID] = stateWaiting
				apply(s.Submit(r, now))
			},
			"done": func(t *rapid.T) {
				id := drawID(t)
				if states[id] == stateRunning {
					states[id] = stateGone
				}
				apply(s.Done(id, now))
				// Done of a waiting request must have no effect.
			},
			"cancel": func(t *rapid.T) {
				id := drawID(t)
				states[id] = stateGone
				apply(s.Cancel(id, now))
			},
			"tick":  func(t *rapid.T) { apply(s.Tick(now)) },
			"sleep": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * ms },
			"slots": func(t *rapid.T) {
				slots = rapid.IntRange(0, 4).Draw(t, "n")
				apply(s.SetSlots(slots, now))
			},
			"drain": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					drained = true
					apply(s.Drain(now))
				}
			},
			"": func(t *rapid.T) {
				counts := [3]int{}
				for id := uint64(1); id <= lastID; id++ {
					counts[states[id]]++
				}
				assert.Equal(t, counts[stateRunning], s.Running())
				assert.Equal(t, counts[stateWaiting], s.waiting)
				assert.Assert(t, s.waiting <= 8)
				assert.Assert(t, s.waiting == 0 || !drained)
				// One slot may stay closed to slow requests, but never to urgent ones.
				reserved := slots >= 2 && s.running == slots-1 && s.Waiting(Urgent) == 0
				assert.Assert(t, s.waiting == 0 || s.running >= slots || reserved)
				assert.Equal(t, len(s.items), s.running+s.waiting)
				checkQueues(t, s)
			},
		})
	})
}

func checkQueues(t assert.TestingT, s *Scheduler) {
	total := 0
	for r := range s.ranks {
		q := s.ranks[r].queue
		sum, weight, classes := 0, 0.0, 0
		for i, f := range q.byTag {
			for it := f.head; it != nil; it = it.next {
				assert.Assert(t, it.next == nil || it.next.order >= it.order)
				if it.req.Class != 0 {
					classes++
				}
			}
			weight += f.weight
			assert.Equal(t, f.tagIndex, i)
			assert.Assert(t, f.waiting > 0 && f.head != nil && f.tail != nil)
			assert.Assert(t, f.tag >= q.virtualTime)
			sum += f.waiting
		}
		assert.Equal(t, len(q.byTag), len(q.byLength))
		assert.Equal(t, sum, q.waiting)
		assert.Assert(t, math.Abs(weight-q.weight) < 1e-6*(1+weight), "weights %f, sum %f", weight, q.weight)
		for _, n := range q.byClass {
			classes -= n
		}
		assert.Equal(t, classes, 0)
		total += sum
	}
	assert.Equal(t, total, s.waiting)
}

// Guards against less urgent requests that keep urgent ones out of a full queue, and
// against shedding requests of a caller with few before those of a caller with many.
func TestFullQueueShedsLeastUrgentOfLongestCaller(t *testing.T) {
	s := New(Config{Slots: 1, QueueLimit: 3})
	s.Submit(Request{ID: 1, Caller: "a", Rank: Least}, 0)
	s.Submit(Request{ID: 2, Caller: "greedy", Rank: Least}, 0)
	s.Submit(Request{ID: 3, Caller: "greedy", Rank: Least}, 0)
	s.Submit(Request{ID: 4, Caller: "modest", Rank: Least}, 0)
	res := s.Submit(Request{ID: 5, Caller: "clerk", Rank: Urgent}, 0)
	assert.Equal(t, len(res.Rejected), 1)
	assert.Equal(t, res.Rejected[0].ID, uint64(3))
	assert.Equal(t, res.Rejected[0].Err.Code, verdict.Overloaded)
	assert.DeepEqual(t, s.Done(1, 5*ms).Started, []uint64{5})
}

// Guards against queuing a request that cannot complete before its deadline.
func TestUnreachableDeadlineIsRejectedAtOnce(t *testing.T) {
	s := New(Config{Slots: 1, InitialServiceTime: 10 * ms})
	s.Submit(Request{ID: 1, Caller: "a"}, 0)
	s.Submit(Request{ID: 2, Caller: "a"}, 0)
	res := s.Submit(Request{ID: 3, Caller: "a", Deadline: 25 * ms}, 0)
	assert.Equal(t, len(res.Rejected), 1)
	assert.Equal(t, res.Rejected[0].Err.Code, verdict.DeadlineUnreachable)
	res = s.Submit(Request{ID: 4, Caller: "a", Deadline: 45 * ms}, 0)
	assert.Equal(t, len(res.Rejected), 0)
	// Request 1 takes longer than estimated: at 30 ms, request 4 can no longer meet its
	// deadline.
	assert.Equal(t, len(s.Tick(10*ms).Rejected), 0)
	assert.Equal(t, s.Tick(30 * ms).Rejected[0].ID, uint64(4))
}

// Guards against slow requests that occupy all slots while the urgent rank is active, and
// against a slot that stays reserved for urgent requests when that rank is not active.
func TestSlowRequestsLeaveOneSlot(t *testing.T) {
	s := New(Config{Slots: 2})
	for i := range uint64(40) {
		at := time.Duration(i) * 20 * ms
		s.Submit(Request{ID: 1000 + i, Rank: Urgent}, at)
		s.Submit(Request{ID: 2000 + i, Rank: Least}, at)
		s.Done(1000+i, at+2*ms)
		s.Done(2000+i, at+20*ms)
	}
	s.Submit(Request{ID: 1, Rank: Least}, 800*ms)
	assert.Equal(t, len(s.Submit(Request{ID: 2, Rank: Least}, 800*ms).Started), 0)
	assert.Equal(t, len(s.Submit(Request{ID: 3, Rank: Urgent}, 800*ms).Started), 1)
	s.Done(3, 802*ms)
	assert.DeepEqual(t, s.Tick(10*time.Second).Started, []uint64{2})
}

// Guards against starvation of the less urgent ranks under a permanent overload of Urgent.
func TestFloorUnderUrgentOverload(t *testing.T) {
	s := New(Config{Slots: 2, Floor: [NumRanks]float64{0, 0.1, 0.02}, QueueLimit: 300})
	id := uint64(0)
	ranks := map[uint64]Rank{}
	submit := func(r Rank, now time.Duration) []uint64 {
		id++
		ranks[id] = r
		return s.Submit(Request{ID: id, Caller: fmt.Sprint(id % 7), Rank: r}, now).Started
	}
	var running []uint64
	var count [NumRanks]int
	for step := range 20_000 {
		now := time.Duration(step) * 5 * ms
		var next []uint64
		for _, done := range running {
			count[ranks[done]]++
			next = append(next, s.Done(done, now).Started...)
		}
		for r := Rank(0); r < NumRanks; r++ {
			for s.Waiting(r) < 90 {
				next = append(next, submit(r, now)...)
			}
		}
		running = next
	}
	total := float64(count[0] + count[1] + count[2])
	assert.Assert(t, float64(count[Middle])/total > 0.095, "counts %v", count)
	assert.Assert(t, float64(count[Least])/total > 0.019, "counts %v", count)
	assert.Assert(t, float64(count[Urgent])/total > 0.87, "counts %v", count)
}

// Guards against an AdmissionController that still refuses after the owner has recovered,
// or that admits most requests of a refused rank.
func TestAdmissionProbesAndRecovers(t *testing.T) {
	c := NewAdmissionController(rand.New(rand.NewPCG(7, 7)))
	c.RecordLoad("u", Load{RefuseFor: [NumRanks]time.Duration{Least: 100 * ms}}, 0)
	admitted := 0
	for range 3200 {
		ok, after := c.Admit("u", Least, 50*ms)
		if ok {
			admitted++
			continue
		}
		assert.Assert(t, after >= 50*ms && after <= 75*ms)
	}
	assert.Assert(t, admitted > 50 && admitted < 200, "admitted %d", admitted)
	ok, _ := c.Admit("u", Urgent, 50*ms)
	assert.Assert(t, ok)
	ok, _ = c.Admit("u", Least, 100*ms)
	assert.Assert(t, ok)
	c.RecordLoad("u", Load{RefuseFor: [NumRanks]time.Duration{Least: time.Hour}}, 100*ms)
	c.Forget("u")
	ok, _ = c.Admit("u", Least, 101*ms)
	assert.Assert(t, ok)
}

// Guards against admitting a refused caller while the queue is full, a retry delay below
// the one that the owner stated, refusing other callers or ranks along with it, and
// keeping the entries of callers that never retry.
func TestAdmissionRefusesRefusedCaller(t *testing.T) {
	c := NewAdmissionController(rand.New(rand.NewPCG(7, 7)))
	c.RecordRefusal("u", "noisy", Urgent, 100*ms, 0)
	admitted := 0
	for range 320 {
		ok, after := c.AdmitCaller("u", "noisy", Urgent, 49*ms)
		if ok {
			admitted++
		} else {
			assert.Assert(t, after >= 100*ms && after <= 150*ms, "retry after %s", after)
		}
		ok, _ = c.AdmitCaller("u", "modest", Urgent, 49*ms)
		assert.Assert(t, ok)
		ok, _ = c.AdmitCaller("u", "noisy", Middle, 49*ms)
		assert.Assert(t, ok)
	}
	assert.Assert(t, admitted < 32, "admitted %d", admitted)
	ok, _ := c.AdmitCaller("u", "noisy", Urgent, 50*ms)
	assert.Assert(t, ok)
	for i := range 10 * minSweepSize {
		c.RecordRefusal("u", fmt.Sprint(i), Least, 10*ms, time.Duration(i)*ms)
	}
	assert.Assert(t, len(c.upstreams["u"].callers) <= minSweepSize)
}

// Guards against names of ranks that ParseRank rejects, and unknown names that it accepts.
func TestParseRank(t *testing.T) {
	for r := Rank(0); r < NumRanks; r++ {
		got, err := ParseRank(r.String())
		assert.NilError(t, err)
		assert.Equal(t, got, r)
	}
	_, err := ParseRank("vip")
	assert.ErrorContains(t, err, `"vip" is not a rank`)
}

func BenchmarkSubmitDone(b *testing.B) {
	for _, depth := range []int{0, 16, 250} {
		b.Run(fmt.Sprintf("waiting=%d", depth), func(b *testing.B) {
			s := New(Config{Slots: 2, Floor: [NumRanks]float64{0, 0.1, 0.02}})
			callers := [16]string{}
			for i := range callers {
				callers[i] = fmt.Sprint("caller-", i)
			}
			id, now := uint64(0), time.Duration(0)
			var running []uint64
			submit := func() {
				id++
				r := Request{ID: id, Caller: callers[id%16], Rank: Rank(id % NumRanks)}
				running = append(running, s.Submit(r, now).Started...)
			}
			for range depth + 2 {
				submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 2500 * time.Microsecond
				done := running[0]
				copy(running, running[1:])
				running = running[:len(running)-1]
				running = append(running, s.Done(done, now).Started...)
				submit()
			}
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	c := NewAdmissionController(rand.New(rand.NewPCG(7, 7)))
	c.RecordLoad("u", Load{RefuseFor: [NumRanks]time.Duration{Least: 100 * ms}}, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.Admit("u", Least, 50*ms)
	}
}

func BenchmarkTick(b *testing.B) {
	s := New(Config{Slots: 2, Floor: [NumRanks]float64{0, 0.1, 0.02}})
	for i := range uint64(DefaultQueueLimit + 2) {
		s.Submit(Request{ID: i, Caller: fmt.Sprint(i % 40), Rank: Rank(i % NumRanks), Deadline: time.Hour}, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Tick(0)
	}
}

// completed runs requests of two workspaces, which always have some waiting, on one slot
// and returns the number of requests of each that completed.
func completed(s *Scheduler, requests map[string]Request, n int) map[string]int {
	count, names, running := map[string]int{}, map[uint64]string{}, []uint64(nil)
	id, now := uint64(0), time.Duration(0)
	submit := func(name string) {
		id++
		r := requests[name]
		r.ID, names[id] = id, name
		running = append(running, s.Submit(r, now).Started...)
	}
	for range 20 {
		for name := range requests {
			submit(name)
		}
	}
	for range n {
		now += 10 * ms
		done := running[0]
		running = running[1:]
		count[names[done]]++
		running = append(running, s.Done(done, now).Started...)
		submit(names[done])
	}
	return count
}

// Guards against workspaces of one rank that don't share in proportion to their weights,
// whatever the number of their callers.
func TestWorkspacesShareByWeight(t *testing.T) {
	count := completed(New(Config{Slots: 1}), map[string]Request{
		"large": {Workspace: "large", Caller: "a", Weight: 30, Rank: Least},
		"small": {Workspace: "small", Caller: "b", Weight: 10, Rank: Least},
	}, 400)
	assert.Assert(t, count["large"] >= 295 && count["large"] <= 305, "%v", count)
}

// Guards against a workspace and a caller of the same name that share one flow.
func TestWorkspaceIsNotACaller(t *testing.T) {
	s := New(Config{Slots: 1})
	s.Submit(Request{ID: 1, Caller: "x"}, 0)
	s.Submit(Request{ID: 2, Caller: "x"}, 0)
	s.Submit(Request{ID: 3, Workspace: "x"}, 0)
	assert.Equal(t, len(s.ranks[Urgent].queue.byTag), 2)
}

// Guards against requests of a workspace that are not served in the order of their due
// times, against shedding another one than that due last, and against requests without due
// times that are not served in order of arrival.
func TestDueFirstWithinWorkspace(t *testing.T) {
	s := New(Config{Slots: 1, QueueLimit: 4})
	s.Submit(Request{ID: 1, Workspace: "w"}, 0)
	for id, due := range []time.Duration{0, 0, 1500 * ms, 250 * ms, 900 * ms, 300 * ms} {
		if due > 0 {
			assert.Equal(t, len(s.Submit(Request{ID: uint64(id), Workspace: "w", Due: due}, ms).Rejected), 0)
		}
	}
	res := s.Submit(Request{ID: 6, Workspace: "w", InTransaction: true}, 2*ms)
	assert.Equal(t, res.Rejected[0].ID, uint64(2))
	var order []uint64
	for id := uint64(1); len(order) < 4; id = order[len(order)-1] {
		order = append(order, s.Done(id, 10*ms).Started...)
	}
	assert.DeepEqual(t, order, []uint64{6, 3, 5, 4})
}

// Guards against a queue that is bounded by a number of requests whatever they take, and
// against shedding work of a workspace within its part.
func TestQueueIsBoundedByTime(t *testing.T) {
	for _, serviceTime := range []time.Duration{5 * ms, 50 * ms} {
		s := New(Config{Slots: 2, QueueLimit: 1000, InitialServiceTime: serviceTime, QueueTime: [NumRanks]time.Duration{0, 0, 500 * ms}})
		s.Submit(Request{ID: 1, Workspace: "modest", Rank: Least}, 0)
		s.Submit(Request{ID: 2, Workspace: "modest", Rank: Least}, 0)
		s.Submit(Request{ID: 3, Workspace: "modest", Rank: Least}, 0)
		for id := uint64(4); id < 500; id++ {
			for _, rejected := range s.Submit(Request{ID: id, Workspace: "greedy", Rank: Least}, 0).Rejected {
				assert.Assert(t, rejected.ID > 3)
				assert.Assert(t, rejected.Err.RetryAfter > 0)
			}
		}
		assert.Equal(t, s.Waiting(Least), int(2*500*ms/serviceTime))
		assert.Assert(t, s.Load(0).RefuseFor[Least] == 0, "another workspace is accepted")
	}
}

// Guards against estimates by the mean of all kinds in a rank: a long request that cannot
// meet its deadline must be refused, and a short one with the same deadline accepted.
func TestEstimateFollowsClass(t *testing.T) {
	s := New(Config{Slots: 1})
	now := time.Duration(0)
	for id := uint64(1); id <= 40; id++ {
		class, took := ServiceClass(1), 10*ms
		if id%2 == 0 {
			class, took = 2, 100*ms
		}
		s.Submit(Request{ID: id, Class: class}, now)
		now += took
		s.Done(id, now)
	}
	s.Submit(Request{ID: 100, Class: 1}, now)
	assert.Equal(t, len(s.Submit(Request{ID: 101, Class: 1, Deadline: now + 80*ms}, now).Rejected), 0)
	assert.Equal(t, len(s.Submit(Request{ID: 102, Class: 2, Deadline: now + 80*ms}, now).Rejected), 1)
	// A class that was measured in one rank is known in the others.
	assert.Equal(t, s.ranks[Least].expectedServiceTime(2), 100*ms)
}

// Guards against a workspace that takes the slots from the less urgent work of others with
// urgent work beyond its fair part, and against statements of an open transaction that
// lose their rank.
func TestWorkBeyondFairPartIsLeastUrgent(t *testing.T) {
	count := completed(New(Config{Slots: 1}), map[string]Request{
		"flood":  {Workspace: "flood", Weight: 1, Rank: Urgent},
		"within": {Workspace: "within", Weight: 1, Rank: Least},
	}, 1000)
	assert.Assert(t, count["within"] >= 240, "%v", count)
	count = completed(New(Config{Slots: 1}), map[string]Request{
		"flood":  {Workspace: "flood", Weight: 1, Rank: Urgent, InTransaction: true},
		"within": {Workspace: "within", Weight: 1, Rank: Least},
	}, 1000)
	assert.Assert(t, count["within"] <= 1, "%v", count)
}

// Guards against a load report that makes entry instances refuse workspaces within their
// part while the queue is full of work beyond the parts of others, which is shed first.
func TestLoadAcceptsWorkspacesWithinTheirPart(t *testing.T) {
	s := New(Config{Slots: 1, InitialServiceTime: 100 * ms, QueueTime: [NumRanks]time.Duration{0, 0, 150 * ms}})
	id := uint64(0)
	submit := func(workspace string) Result {
		id++
		return s.Submit(Request{ID: id, Workspace: workspace, Rank: Least}, 0)
	}
	for range shareWindow / (100 * ms) { // uses the part of the workspace
		submit("flood")
		s.Cancel(id, 0)
	}
	submit("running")
	submit("flood")
	assert.Equal(t, s.Load(0).RefuseFor[Least], time.Duration(0))
	res := submit("modest")
	assert.Equal(t, len(res.Rejected), 1)
	assert.Equal(t, res.Rejected[0].ID, id-1, "the request beyond the part of its workspace must be shed")
	assert.Assert(t, s.Load(0).RefuseFor[Least] > 0, "another workspace would be refused")
}
