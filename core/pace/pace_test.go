package pace_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/pace"
)

const ms = time.Millisecond

// limiter is pace.Limiter or one of the rules that it is compared with.
type limiter interface {
	Limit(full int) int
	RecordGood(full int, ratio float64, sentAt time.Duration) bool
	RecordBad(sentAt, now time.Duration)
}

type unlimited struct{}

func (unlimited) Limit(full int) int                          { return full }
func (unlimited) RecordGood(int, float64, time.Duration) bool { return false }
func (unlimited) RecordBad(time.Duration, time.Duration)      {}

// ramp raises the limit over 10 s, whatever the member answers.
type ramp struct {
	unlimited
	now *time.Duration
}

func (r ramp) Limit(full int) int {
	return min(1+int(float64(full-1)*r.now.Seconds()/10), full)
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

// start describes the start of a member with 6 slots and a queue of 16, of which a
// statement of 33 ms takes slowdown times as long.
type start struct {
	slowdown func(now time.Duration) float64
	burst    int           // callers that return at once
	failsAt  time.Duration // the member refuses everything for 0.5 s from then on
}

type figures struct {
	fullUse  time.Duration // until no limit is below the full one
	excess   time.Duration // mean time of a read beyond its work on a warm member
	rejected int           // refused by the member, or 500 ms there
	served   int           // in the first 10 s
}

// play offers the member 120 reads a second from instances that may have full statements
// in flight each and let 60 wait together. A read goes to a peer if the expected wait
// exceeds 100 ms.
func play(s start, instances, full int, newLimiter func(now *time.Duration) limiter, seed uint64) figures {
	const slots, memberQueue, workTime = 6, 16, 33 * ms
	random := rand.New(rand.NewPCG(seed, seed))
	var f figures
	queue, now := &events{}, time.Duration(0)
	at := func(t time.Duration, do func()) { heap.Push(queue, event{t, do}) }
	limiters, running, waiting := make([]limiter, instances), make([]int, instances), make([][]time.Duration, instances)
	for i := range limiters {
		limiters[i] = newLimiter(&now)
	}
	executing := 0
	var atMember []func()
	var excess time.Duration
	execute := func() {
		for executing < slots && len(atMember) > 0 {
			next := atMember[0]
			atMember = atMember[1:]
			executing++
			next()
		}
	}
	var dispatch func(i int)
	send := func(i int, arrived time.Duration) {
		l, sentAt := limiters[i], now
		running[i]++
		load := max(float64(running[i]*instances)/slots, 1)
		if s.failsAt > 0 && now >= s.failsAt && now < s.failsAt+500*ms || len(atMember) >= memberQueue {
			at(now+ms, func() {
				running[i]--
				f.rejected++
				l.RecordBad(sentAt, now)
				dispatch(i)
			})
			return
		}
		atMember = append(atMember, func() {
			work := time.Duration((0.2 + 0.8*random.ExpFloat64()) * float64(workTime))
			at(now+time.Duration(float64(work)*s.slowdown(now)), func() {
				running[i]--
				executing--
				f.served++
				l.RecordGood(full, float64(now-sentAt)/float64(workTime)/load, sentAt)
				excess += now - arrived - work
				if now-sentAt > 500*ms {
					f.rejected++
				}
				execute()
				dispatch(i)
			})
		})
		execute()
	}
	dispatch = func(i int) {
		if limiters[i].Limit(full) < full {
			f.fullUse = now
		}
		for running[i] < limiters[i].Limit(full) && len(waiting[i]) > 0 {
			arrived := waiting[i][0]
			waiting[i] = waiting[i][1:]
			send(i, arrived)
		}
	}
	arrive := func(burst bool) {
		i := random.IntN(instances)
		slotsHere := float64(min(limiters[i].Limit(full)*instances, slots)) / float64(instances)
		expected := time.Duration(float64(running[i]+len(waiting[i])) / slotsHere * float64(workTime))
		if len(waiting[i]) < 60/instances && (burst || expected < 100*ms) {
			waiting[i] = append(waiting[i], now)
		}
		dispatch(i)
	}
	for range s.burst {
		at(0, func() { arrive(true) })
	}
	for next := time.Duration(0); next < 10*time.Second; next += time.Duration(random.ExpFloat64() * float64(time.Second) / 120) {
		at(next, func() { arrive(false) })
	}
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		now = e.at
		e.do()
	}
	f.excess = (excess / time.Duration(max(f.served, 1))).Round(ms)
	return f
}

func warm(time.Duration) float64 { return 1 }

// cooling falls from 5 to 1 within 5 s.
func cooling(now time.Duration) float64 { return max(5-4*now.Seconds()/5, 1) }

func slightlyCold(now time.Duration) float64 {
	if now < 5*time.Second {
		return 1.6
	}
	return 1
}

// Guards against a starting member that is flooded, as without a limit, and one that is
// left idle, as with a ramp of 10 s: nine instances with 3 statements each, and a single
// gateway with 12.
func TestStart(t *testing.T) {
	for _, test := range []struct {
		name    string
		start   start
		fullUse time.Duration // within
	}{
		{"warm", start{slowdown: warm}, 1500 * ms},
		{"cold", start{slowdown: cooling}, 7 * time.Second},
		{"1.6 times as slow", start{slowdown: slightlyCold}, 7 * time.Second},
		{"400 callers, warm", start{slowdown: warm, burst: 400}, 1500 * ms},
		{"400 callers, cold", start{slowdown: cooling, burst: 400}, 7 * time.Second},
		{"fails while it starts", start{slowdown: cooling, failsAt: 2 * time.Second}, 8 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, size := range []struct{ instances, full int }{{9, 3}, {1, 12}} {
				var none, fixed, paced figures
				const seeds = 3
				for seed := range uint64(seeds) {
					play := func(sum *figures, newLimiter func(now *time.Duration) limiter) {
						f := play(test.start, size.instances, size.full, newLimiter, seed+1)
						sum.fullUse, sum.excess = max(sum.fullUse, f.fullUse), sum.excess+f.excess/seeds
						sum.rejected, sum.served = sum.rejected+f.rejected, sum.served+f.served
					}
					play(&none, func(*time.Duration) limiter { return unlimited{} })
					play(&fixed, func(now *time.Duration) limiter { return ramp{now: now} })
					play(&paced, func(*time.Duration) limiter {
						l := &pace.Limiter{}
						l.Start(size.full, false, 0)
						return l
					})
				}
				t.Logf("%d instances: no pace %+v, ramp %+v, pace %+v", size.instances, none, fixed, paced)
				assert.Check(t, paced.fullUse <= test.fullUse && paced.fullUse < fixed.fullUse, "full use after %v", paced.fullUse)
				// Apart from single ones, which differ with the random work.
				assert.Check(t, paced.rejected <= max(none.rejected, paced.served/1000), "%d rejected, %d without a pace", paced.rejected, none.rejected)
				assert.Check(t, paced.served >= fixed.served, "%d served, %d with a ramp", paced.served, fixed.served)
			}
		})
	}
}
