package health_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/health"
)

const (
	ms         = time.Millisecond
	faultStart = 5 * time.Second
	faultEnd   = 20 * time.Second
	playEnd    = 30 * time.Second
)

// rule decides which members reads use: health.Tracker or the rule that it replaced.
type rule interface {
	Use(id string, now time.Duration) health.Use
	RecordProbe(id string, now time.Duration)
	RecordSent(id string, now time.Duration)
	RecordDone(id string, answered bool, now time.Duration)
	CheckSilence(now time.Duration) []health.Change
	Record(id string, a health.Answer, now time.Duration) (float64, []health.Change)
}

// suspectFor500ms is the rule that this package replaced: a member is the last choice for
// 500 ms after a failure, or until it answers. An error reply is an answer.
type suspectFor500ms struct{ until map[string]time.Duration }

func (s suspectFor500ms) Use(id string, now time.Duration) health.Use {
	if now < s.until[id] {
		return health.Avoid
	}
	return health.Normal
}
func (suspectFor500ms) RecordProbe(string, time.Duration)          {}
func (suspectFor500ms) RecordSent(string, time.Duration)           {}
func (suspectFor500ms) RecordDone(string, bool, time.Duration)     {}
func (suspectFor500ms) CheckSilence(time.Duration) []health.Change { return nil }
func (s suspectFor500ms) Record(id string, a health.Answer, now time.Duration) (float64, []health.Change) {
	switch {
	case a.Outcome == health.Good:
		s.until[id] = 0
	case a.Outcome == health.Failed && a.Took == 0:
		s.until[id] = now + 500*ms
	}
	return 0, nil
}

// fault is what happens to a read at member m-0 that arrives at the time now.
type fault func(r *rand.Rand, now time.Duration) effect

type effect struct {
	slowdown float64 // 0: none
	outcome  health.Outcome
	after    time.Duration // of a failure; timeout: the answer is lost
	noReply  bool
}

const timeout = 500 * ms

func slow(factor float64) fault {
	return func(*rand.Rand, time.Duration) effect { return effect{slowdown: factor} }
}

func failing(part float64, e effect) fault {
	return func(r *rand.Rand, _ time.Duration) effect {
		if r.Float64() < part {
			return e
		}
		return effect{}
	}
}

var (
	errorReply = effect{outcome: health.Failed, after: 3 * ms}
	busy       = effect{outcome: health.Refused, after: ms}
	reset      = effect{outcome: health.Failed, after: 5 * ms, noReply: true}
	hang       = effect{outcome: health.Failed, after: timeout, noReply: true}
	refused    = effect{outcome: health.Failed, after: ms, noReply: true}
)

func flapping(r *rand.Rand, now time.Duration) effect {
	if (now-faultStart)%(1400*ms) < 700*ms {
		return refused
	}
	return effect{}
}

type event struct {
	at time.Duration
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, k int) bool { return e[i].at < e[k].at }
func (e events) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// figures of a play. An attempt is in vain if it failed, or took a slow member's time.
type figures struct {
	noticed              time.Duration // from the fault to the first ejection; -1: none
	vainBefore, vainLate int           // attempts in vain until then, and after it
	recovered            time.Duration // from the end of the fault until the member has executed 20 reads
	ejections            map[string]int
	maxOut               int
	slowest              time.Duration // of all reads
}

func (f figures) String() string {
	return fmt.Sprintf("noticed after %v, %d in vain before and %d after, full use %v after the end, ejections %v",
		f.noticed.Round(ms), f.vainBefore, f.vainLate, f.recovered.Round(ms), f.ejections)
}

// play sends reads of three classes (work of 11, 33 and 55 ms on average) to members with
// six slots each, of which m-0 has the fault from 5 s to 20 s. distance is the one-way
// latency to m-0.
func play(r rule, members, perSecond int, faulty fault, distance time.Duration, seed uint64) figures {
	random := rand.New(rand.NewPCG(seed, seed))
	f := figures{noticed: -1, recovered: -1, ejections: make(map[string]int)}
	queue := &events{}
	now := time.Duration(0)
	at := func(t time.Duration, do func()) { heap.Push(queue, event{t, do}) }
	const slots = 6
	inFlight, service, free := make([]int, members), make([]float64, members), make([][]time.Duration, members)
	ids := make([]string, members)
	// After a return, the expected service time starts anew.
	reset := func(id string) { service[slices.Index(ids, id)] = 0.033 }
	out := make(map[string]bool)
	apply := func(changes []health.Change) {
		for _, c := range changes {
			if c.Kind == health.Ejection {
				f.ejections[c.Member+" "+string(c.Cause)]++
				if c.Member == "m-0" && f.noticed < 0 && now >= faultStart {
					f.noticed = now - faultStart
				}
			}
			out[c.Member] = c.Kind == health.Ejection
			if c.Kind != health.Ejection {
				reset(c.Member)
			}
		}
		n := 0
		for _, o := range out {
			if o {
				n++
			}
		}
		f.maxOut = max(f.maxOut, n)
	}
	for i := range members {
		ids[i], service[i], free[i] = fmt.Sprint("m-", i), 0.033, make([]time.Duration, slots)
	}
	afterEnd := 0
	var attempt func(arrived time.Duration, class int, excluded map[int]bool)
	attempt = func(arrived time.Duration, class int, excluded map[int]bool) {
		apply(r.CheckSilence(now))
		best, bestCost, probe := -1, 0.0, false
		for i := range members {
			if excluded[i] {
				continue
			}
			cost := float64(inFlight[i])*service[i]/slots + service[i] + 0.002*random.Float64()
			use := r.Use(ids[i], now)
			switch use {
			case health.Avoid:
				cost += 10
			case health.Probe:
				cost -= 10
			}
			if best < 0 || cost < bestCost {
				best, bestCost, probe = i, cost, use == health.Retry || use == health.Probe
			}
		}
		if best < 0 {
			return
		}
		i, id, sentAt := best, ids[best], now
		if probe {
			r.RecordProbe(id, now)
		}
		r.RecordSent(id, now)
		inFlight[i]++
		load := float64(inFlight[i]) / slots
		var e effect
		if i == 0 && now >= faultStart && now < faultEnd {
			e = faulty(random, now)
		}
		took := e.after
		if e.outcome == health.Good {
			work := time.Duration((random.ExpFloat64()*0.8 + 0.2) * float64([]time.Duration{11 * ms, 33 * ms, 55 * ms}[class]) * max(e.slowdown, 1))
			slot := 0
			for k := range free[i] {
				if free[i][k] < free[i][slot] {
					slot = k
				}
			}
			free[i][slot] = max(free[i][slot], now) + work
			took = free[i][slot] - now
			if i == 0 {
				took += 2 * distance
			}
			if took > 3*time.Second { // the statement timeout
				took, e.outcome, e.noReply = 3*time.Second, health.Failed, true
			}
		}
		at(now+took, func() {
			inFlight[i]--
			r.RecordDone(id, !e.noReply, now)
			a := health.Answer{Outcome: e.outcome, Class: class, Took: took, Load: load, SentAt: sentAt}
			if e.noReply {
				a.Took = 0
			}
			if i == 0 && (e.outcome != health.Good || e.slowdown > 1) {
				if f.noticed < 0 || sentAt < faultStart+f.noticed {
					f.vainBefore++
				} else {
					f.vainLate++
				}
			}
			if i == 0 && sentAt >= faultEnd && e.outcome == health.Good {
				if afterEnd++; afterEnd == 20 {
					f.recovered = now - faultEnd
				}
			}
			if e.outcome == health.Good {
				service[i] += (took.Seconds() - service[i]) / 16
				f.slowest = max(f.slowest, now-arrived)
			}
			_, changes := r.Record(id, a, now)
			apply(changes)
			if e.outcome != health.Good {
				next := map[int]bool{i: true}
				for k := range excluded {
					next[k] = true
				}
				attempt(arrived, class, next)
			}
		})
	}
	var arrive func()
	arrive = func() {
		attempt(now, random.IntN(3), nil)
		if next := now + time.Duration(random.ExpFloat64()*float64(time.Second)/float64(perSecond)); next < playEnd {
			at(next, arrive)
		}
	}
	at(0, arrive)
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		now = e.at
		e.do()
	}
	return f
}

func newTracker(members int) *health.Tracker {
	t := health.New()
	for i := range members {
		t.Add(fmt.Sprint("m-", i))
	}
	return t
}

// Guards against members that fail or are slow while they report that they are well. The
// rule of 500 ms did not notice a slow member or one that answers with errors, and sent
// reads to a silent one each time that the 500 ms had passed.
func TestFaultyMember(t *testing.T) {
	for _, test := range []struct {
		name         string
		fault        fault
		before, late int // bounds of the attempts in vain, before the ejection and after it
		slow         bool
	}{
		{"slow 3 times", slow(3), 150, 120, true},
		{"slow 8 times", slow(8), 40, 80, true},
		{"30% errors", failing(0.3, errorReply), 20, 60, false},
		{"30% busy", failing(0.3, busy), 20, 60, false},
		{"30% hang", failing(0.3, hang), 20, 60, false},
		{"30% reset", failing(0.3, reset), 20, 60, false},
		{"all reset", failing(1, reset), 10, 40, false},
		{"silent", failing(1, hang), 20, 40, false},
		{"down and up", flapping, 30, 40, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, size := range []struct{ members, perSecond int }{{3, 240}, {3, 60}, {6, 480}} {
				former, vain := 0, 0
				for seed := range uint64(2) {
					before := play(suspectFor500ms{make(map[string]time.Duration)}, size.members, size.perSecond, test.fault, 0, seed+1)
					f := play(newTracker(size.members), size.members, size.perSecond, test.fault, 0, seed+1)
					t.Logf("%d members, %d/s: before: %d in vain, full use %v after the end; now: %v", size.members, size.perSecond, before.vainBefore, before.recovered.Round(ms), f)
					assert.Check(t, f.vainBefore <= test.before, "%d in vain until then", f.vainBefore)
					assert.Check(t, f.vainLate <= test.late, "%d in vain after that", f.vainLate)
					assert.Check(t, f.maxOut <= size.members/3, "%d members out at once", f.maxOut)
					if size.perSecond < 240 {
						continue // two members can execute all reads
					}
					assert.Check(t, test.slow || f.noticed >= 0, "not noticed")
					assert.Check(t, f.recovered >= 0 && f.recovered <= 7*time.Second, "full use %v after the end", f.recovered)
					former, vain = former+before.vainBefore, vain+f.vainBefore+f.vainLate
				}
				assert.Check(t, test.slow || vain <= former, "%d in vain, %d by the former rule", vain, former)
			}
		})
	}
}

// answer records an answer of a member after 30 ms of work.
func answer(tr *health.Tracker, id string, o health.Outcome, took, now time.Duration) []health.Change {
	_, changes := tr.Record(id, health.Answer{Outcome: o, Took: took, SentAt: now - took}, now)
	return changes
}

// Guards against members that are taken out of use although nothing is wrong with them:
// 2% of its answers are lost, it is 16 ms further away, or its hardware takes 1.5 times as
// long.
func TestWellMembersStay(t *testing.T) {
	lost := failing(0.02, hang)
	for _, size := range []struct{ members, perSecond int }{{3, 240}, {6, 480}, {3, 5}} {
		for seed := range uint64(4) {
			f := play(newTracker(size.members), size.members, size.perSecond, lost, 8*ms, seed+1)
			assert.Equal(t, len(f.ejections), 0, "%v", f)
			f = play(newTracker(size.members), size.members, size.perSecond, slow(1.5), 0, seed+1)
			assert.Equal(t, len(f.ejections), 0, "%v", f)
			f = play(newTracker(size.members), size.members, size.perSecond, slow(2), 0, seed+1)
			assert.Equal(t, f.ejections["m-0 silence"], 0, "a slow member answers")
		}
	}
	tr := newTracker(3)
	random := rand.New(rand.NewPCG(7, 7))
	for i := range 300_000 {
		o := health.Good
		if random.Float64() < 0.02 {
			o = health.Failed
		}
		took := 2*ms + time.Duration(random.ExpFloat64()*float64(30*ms))
		for _, c := range answer(tr, fmt.Sprint("m-", i%3), o, took, time.Duration(i)*ms) {
			assert.Assert(t, c.Kind != health.Ejection, "%v", c)
		}
	}
}

// Guards the rule that nothing changes while all members are well: each may be used
// without restriction, and no read is sent as a probe.
func TestWellMembersAreUnrestricted(t *testing.T) {
	tr := newTracker(3)
	for i := range 3000 {
		id, now := fmt.Sprint("m-", i%3), time.Duration(i)*ms
		assert.Equal(t, len(answer(tr, id, []health.Outcome{health.Good, health.Neutral}[i%2], 10*ms, now)), 0)
		assert.Equal(t, tr.Use(id, now), health.Normal)
		assert.Equal(t, len(tr.CheckSilence(now)), 0)
	}
}

// BenchmarkStatement measures what one statement costs while all members are well.
func BenchmarkStatement(b *testing.B) {
	tr := newTracker(3)
	ids := []string{"m-0", "m-1", "m-2"}
	b.ReportAllocs()
	for i := range b.N {
		now, id := time.Duration(i)*ms, ids[i%3]
		tr.CheckSilence(now)
		for _, id := range ids {
			tr.Use(id, now)
		}
		tr.RecordSent(id, now)
		tr.RecordDone(id, true, now)
		tr.Record(id, health.Answer{Class: i / 3 % 3, Took: 10 * ms, SentAt: now}, now)
	}
}

// Guards against more than one member in three out of use: while all fail, and after
// members have left the group. A member that fails takes the place of a slow one.
func TestBound(t *testing.T) {
	for _, members := range []int{1, 2, 3, 4, 6, 7} {
		tr := newTracker(members)
		out := make(map[string]bool)
		count := func(changes []health.Change) {
			for _, c := range changes {
				delete(out, c.Member)
				if c.Kind == health.Ejection {
					out[c.Member] = true
				}
			}
		}
		for i := range 200 * members {
			count(answer(tr, fmt.Sprint("m-", i%members), health.Failed, 0, time.Duration(i)*ms))
			assert.Assert(t, len(out) <= members/3, "%d of %d out", len(out), members)
		}
		for i := range members {
			id := fmt.Sprint("m-", i)
			delete(out, id)
			count(tr.Remove(id, time.Minute))
			assert.Assert(t, len(out) <= (members-1-i)/3, "%d of %d out", len(out), members-1-i)
		}
	}
	tr := newTracker(3)
	var changes []health.Change
	for i := range 100 {
		now := time.Duration(i) * 10 * ms
		changes = append(changes, answer(tr, "m-0", health.Good, 300*ms, now)...)
		answer(tr, "m-1", health.Good, 30*ms, now)
		answer(tr, "m-2", health.Good, 30*ms, now)
	}
	assert.Equal(t, len(changes), 1, "%v", changes)
	for range 10 {
		changes = append(changes, answer(tr, "m-1", health.Failed, 0, time.Second)...)
	}
	cause, ejected := tr.Ejected("m-1")
	assert.Assert(t, ejected && cause == health.Failures)
	_, ejected = tr.Ejected("m-0")
	assert.Assert(t, !ejected, "%v", changes)
}

// Guards against a return by what does not prove anything: statements that were sent
// before the ejection, refusals because of lag, and a few good answers between failures.
func TestReturnNeedsGoodAnswers(t *testing.T) {
	tr := newTracker(3)
	now := time.Second
	for range 6 {
		answer(tr, "m-0", health.Failed, 0, now)
	}
	for i := range 100 {
		now += 10 * ms
		outcome, sentAt := health.Neutral, now
		if i%2 == 0 {
			outcome, sentAt = health.Good, 900*ms
		}
		_, changes := tr.Record("m-0", health.Answer{Outcome: outcome, Took: 10 * ms, SentAt: sentAt}, now)
		assert.Equal(t, len(changes), 0)
	}
	for i := range 100 {
		now += 100 * ms
		o := health.Good
		if i%5 == 4 {
			o = health.Failed
		}
		assert.Equal(t, len(answer(tr, "m-0", o, 10*ms, now)), 0)
	}
	returned := 0
	for range 10 {
		now += 100 * ms
		returned += len(answer(tr, "m-0", health.Good, 10*ms, now))
	}
	assert.Equal(t, returned, 1)
}

// Guards against ejections by an instance that was itself stopped for a second, and
// against a member that is avoided everywhere because it fails for one failure domain.
func TestOtherInstances(t *testing.T) {
	stopped, affected, other := newTracker(3), newTracker(3), newTracker(3)
	for i := range 3 {
		id := fmt.Sprint("m-", i)
		for range 4 {
			stopped.RecordSent(id, time.Second)
		}
	}
	assert.Equal(t, len(stopped.CheckSilence(2*time.Second)), 0)
	for i := range 300 {
		id, now := fmt.Sprint("m-", i%3), time.Duration(i)*10*ms
		o := health.Good
		if i%3 == 0 {
			o = health.Failed
		}
		answer(affected, id, o, 10*ms, now)
		answer(other, id, health.Good, 10*ms, now)
	}
	_, ejected := affected.Ejected("m-0")
	assert.Assert(t, ejected)
	assert.Assert(t, !other.Suspect("m-0"))
}
