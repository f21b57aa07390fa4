// Package simulation is a discrete-event simulation of the request scheduler of one
// upstream: it runs a load scenario with open-loop Poisson arrivals against a scheduling
// policy in virtual time, without network delays.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/papayarail/papayarail/core/schedule"
)

// Policy is the scheduling policy of a run.
type Policy string

const (
	// Papayarail uses schedule.Scheduler.
	Papayarail Policy = "papayarail"
	// FIFO serves one unbounded queue first in, first out. A request whose deadline has
	// passed when it reaches the head of the queue is dropped, as its caller no longer
	// waits.
	FIFO Policy = "fifo"
)

// TrafficClass is a group of callers whose requests have the same rank, deadline and
// distribution of service times.
type TrafficClass struct {
	Rank            schedule.Rank
	Callers         int
	BaseRate        float64       // rate of all callers together at ordinary load, in requests per second
	MeanServiceTime time.Duration // mean of the exponentially distributed service time
	// Deadline is the time that a caller allows from sending a request to its answer; 0
	// means none.
	Deadline time.Duration
	// RateFactor multiplies BaseRate; 0 and 1 leave it unchanged.
	RateFactor float64
	// RateSkew distributes the rate over the callers: it increases linearly from
	// 1-RateSkew times the mean for the first caller to 1+RateSkew times the mean for
	// the last one. 0 means equal rates.
	RateSkew float64
	// MaxRetries is the maximum number of retries of a refused request. Each follows
	// after the delay that the refusal states, and not later than RetryWindow after the
	// first attempt.
	MaxRetries  int
	RetryWindow time.Duration
}

// Scenario is the load on one upstream.
type Scenario struct {
	Name       string
	Policy     Policy
	Slots      int
	Floor      [schedule.NumRanks]float64
	QueueLimit int
	MaxWait    [schedule.NumRanks]time.Duration
	// Instances is the number of instances that share one member. Each has its own queue
	// with Slots slots; the member executes MemberSlots requests at a time in order of
	// arrival. 0 means one queue whose slots are those of the member.
	Instances   int
	MemberSlots int
	SlotLimit   [schedule.NumRanks]int
	// AdmissionControl places a schedule.AdmissionController before the scheduler, which
	// gets the load and the refusals with each answer. FIFO ignores it.
	AdmissionControl bool
	Warmup           time.Duration // time before requests are counted
	Duration         time.Duration // time after the warm-up in which requests are counted
	Classes          []TrafficClass
}

// RankResult is the result of one rank.
type RankResult struct {
	Offered        int     `json:"offered"`
	Answered       int     `json:"answered"` // within the deadline
	Late           int     `json:"late"`     // completed after the deadline
	Refused        int     `json:"refused"`  // rejected and not retried, or dropped by FIFO after the deadline
	Rate           float64 `json:"rate"`     // answered per second
	Share          float64 `json:"share"`    // fraction of the slots' time
	RefusedLate    int     `json:"held"`     // part of Refused with less than a fifth of the time to the deadline left
	RefusedAtEntry int     `json:"at_door"`  // attempts refused by the AdmissionController, retried ones included

	WaitP50     time.Duration `json:"wait_p50"` // from the last attempt to the start, of started requests
	WaitP99     time.Duration `json:"wait_p99"`
	ResponseP50 time.Duration `json:"response_p50"` // from the first attempt to completion
	ResponseP99 time.Duration `json:"response_p99"`
}

// Result is the result of a run.
type Result struct {
	Scenario string                        `json:"scenario"`
	Policy   Policy                        `json:"policy"`
	Seed     uint64                        `json:"seed"`
	Ranks    [schedule.NumRanks]RankResult `json:"ranks"`
	// Jain is Jain's fairness index of the urgent callers' answered requests, each
	// number divided by the caller's max-min fair share of all of them. A caller that
	// requests less than an equal share and receives it counts as 1.
	Jain float64 `json:"jain"`
	// RawJain is Jain's fairness index of the numbers of answered requests themselves.
	RawJain float64 `json:"raw_jain"`
}

type eventKind uint8

const (
	arrival eventKind = iota
	completion
	retry
	tick
)

type event struct {
	at       time.Duration
	sequence uint64
	kind     eventKind
	caller   *caller
	id       uint64
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	*h = (*h)[:n]
	return e
}

// caller is one caller. It has its own random number generator, so that both policies
// get the same arrivals and service times with the same seed.
type caller struct {
	class    *TrafficClass
	name     string
	rate     float64
	rand     *rand.Rand
	offered  int
	answered int
}

type request struct {
	caller      *caller
	arrived     time.Duration // time of the first attempt
	sent        time.Duration // time of the last attempt
	attempt     int           // number of attempts so far
	queue       queue
	started     time.Duration
	serviceTime time.Duration
	counted     bool // arrived after the warm-up
}

// queue is a queue under the simulated scheduling policy.
type queue interface {
	Submit(schedule.Request, time.Duration) schedule.Result
	Done(uint64, time.Duration) schedule.Result
	Tick(time.Duration) schedule.Result
}

// tickPeriod is the interval between Tick events.
const tickPeriod = 5 * time.Millisecond

type run struct {
	scenario  Scenario
	queues    []queue
	member    member
	admission *schedule.AdmissionController // nil without AdmissionControl
	scheduler *schedule.Scheduler           // the first queue, nil without AdmissionControl
	events    eventHeap
	sequence  uint64
	nextID    uint64
	callers   []*caller
	requests  map[uint64]*request
	result    Result
	wait      [schedule.NumRanks]*hdrhistogram.Histogram
	response  [schedule.NumRanks]*hdrhistogram.Histogram
	slotTime  [schedule.NumRanks]time.Duration // service time of the requests completed during Duration
}

// Run simulates the scenario with the given seed. Runs with equal arguments have equal
// results.
func Run(sc Scenario, seed uint64) Result {
	r := newRun(sc, seed)
	end := sc.Warmup + sc.Duration
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		switch e.kind {
		case arrival:
			if e.at < end {
				r.arrive(e.caller, e.at)
			}
		case completion:
			r.complete(e.id, e.at)
		case retry:
			r.attempt(e.id, e.at)
		case tick:
			for _, q := range r.queues {
				r.apply(q.Tick(e.at), e.at)
			}
			if e.at < end || len(r.requests) > 0 {
				r.addEvent(event{at: e.at + tickPeriod, kind: tick})
			}
		}
	}
	r.summarize()
	return r.result
}

func newRun(sc Scenario, seed uint64) *run {
	r := &run{scenario: sc, requests: make(map[uint64]*request)}
	r.result = Result{Scenario: sc.Name, Policy: sc.Policy, Seed: seed}
	for i := range max(sc.Instances, 1) {
		r.queues = append(r.queues, newQueue(sc, seed+uint64(i)))
	}
	if s, ok := r.queues[0].(*schedule.Scheduler); ok && sc.AdmissionControl {
		r.scheduler, r.admission = s, schedule.NewAdmissionController(rand.New(rand.NewPCG(seed, 1)))
	}
	for i := range schedule.NumRanks {
		r.wait[i] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		r.response[i] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	for i := range sc.Classes {
		r.addClass(&sc.Classes[i], i, seed)
	}
	r.addEvent(event{at: tickPeriod, kind: tick})
	return r
}

func newQueue(sc Scenario, seed uint64) queue {
	if sc.Policy == FIFO {
		return &fifo{slots: sc.Slots}
	}
	return schedule.New(schedule.Config{
		Slots: sc.Slots, Floor: sc.Floor, QueueLimit: sc.QueueLimit, MaxWait: sc.MaxWait, SlotLimit: sc.SlotLimit,
		Rand: rand.New(rand.NewPCG(seed, 0)),
	})
}

func (r *run) addClass(class *TrafficClass, index int, seed uint64) {
	for i := range class.Callers {
		c := &caller{class: class, name: fmt.Sprintf("%s-%d-%d", class.Rank, index, i), rate: class.BaseRate / float64(class.Callers)}
		c.rand = rand.New(rand.NewPCG(seed, uint64(index)<<32|uint64(i)+1))
		if class.RateFactor > 0 {
			c.rate *= class.RateFactor
		}
		if class.Callers > 1 {
			c.rate *= 1 - class.RateSkew + 2*class.RateSkew*float64(i)/float64(class.Callers-1)
		}
		r.callers = append(r.callers, c)
		r.scheduleArrival(c, 0)
	}
}

func (r *run) scheduleArrival(c *caller, now time.Duration) {
	if c.rate <= 0 {
		return
	}
	gap := time.Duration(c.rand.ExpFloat64() / c.rate * float64(time.Second))
	r.addEvent(event{at: now + gap, kind: arrival, caller: c})
}

func (r *run) addEvent(e event) {
	r.sequence++
	e.sequence = r.sequence
	heap.Push(&r.events, e)
}

func (r *run) arrive(c *caller, now time.Duration) {
	r.nextID++
	req := &request{caller: c, arrived: now, counted: now >= r.scenario.Warmup, queue: r.queues[0]}
	if n := len(r.queues); n > 1 {
		req.queue = r.queues[c.rand.IntN(n)]
	}
	req.serviceTime = max(time.Duration(c.rand.ExpFloat64()*float64(c.class.MeanServiceTime)), time.Microsecond)
	r.requests[r.nextID] = req
	if req.counted {
		c.offered++
		r.result.Ranks[c.class.Rank].Offered++
	}
	r.scheduleArrival(c, now)
	r.attempt(r.nextID, now)
}

// attempt submits a request, at its arrival or as a retry.
func (r *run) attempt(id uint64, now time.Duration) {
	req := r.requests[id]
	req.sent = now
	req.attempt++
	class := req.caller.class
	if ok, after := r.admit(req.caller, now); !ok {
		if req.counted {
			r.result.Ranks[class.Rank].RefusedAtEntry++
		}
		r.refuse(id, after, now)
		return
	}
	sr := schedule.Request{ID: id, Caller: req.caller.name, Rank: class.Rank}
	if class.Deadline > 0 {
		sr.Deadline = now + class.Deadline
	}
	r.apply(req.queue.Submit(sr, now), now)
}

// upstream is the name of the only upstream.
const upstream = "upstream"

func (r *run) admit(c *caller, now time.Duration) (ok bool, retryAfter time.Duration) {
	if r.admission == nil {
		return true, 0
	}
	return r.admission.AdmitCaller(upstream, c.name, c.class.Rank, now)
}

// updateAdmission passes the load and the refusals that an answer carries to the
// AdmissionController.
func (r *run) updateAdmission(rejected []schedule.Rejection, now time.Duration) {
	if r.admission == nil {
		return
	}
	r.admission.RecordLoad(upstream, r.scheduler.Load(now), now)
	for _, rej := range rejected {
		c := r.requests[rej.ID].caller
		r.admission.RecordRefusal(upstream, c.name, c.class.Rank, rej.Err.RetryAfter, now)
	}
}

// apply handles the requests that an event of a queue has started or rejected.
func (r *run) apply(res schedule.Result, now time.Duration) {
	for _, id := range res.Started {
		req := r.requests[id]
		req.started = now
		r.execute(id, now)
	}
	r.updateAdmission(res.Rejected, now)
	for _, rej := range res.Rejected {
		r.refuse(rej.ID, rej.Err.RetryAfter, now)
	}
}

// member is the member that the instances share. It executes the requests that they have
// started, in order of arrival.
type member struct {
	running int
	waiting []uint64
}

func (r *run) execute(id uint64, now time.Duration) {
	r.member.waiting = append(r.member.waiting, id)
	r.startAtMember(now)
}

// startAtMember starts requests that wait at the member while it has a free slot. The
// slots of a single queue are those of the member, so that no request waits there.
func (r *run) startAtMember(now time.Duration) {
	for m := &r.member; len(m.waiting) > 0 && (r.scenario.Instances == 0 || m.running < r.scenario.MemberSlots); {
		id := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.running++
		r.addEvent(event{at: now + r.requests[id].serviceTime, kind: completion, id: id})
	}
}

// defaultRetryDelay is the retry delay of a caller if the refusal states a shorter one
// or none.
const defaultRetryDelay = 50 * time.Millisecond

// refuse ends an attempt. The caller schedules a retry or gives up.
func (r *run) refuse(id uint64, after, now time.Duration) {
	req := r.requests[id]
	retryAt := now + max(after, defaultRetryDelay)
	if class := req.caller.class; req.attempt <= class.MaxRetries && retryAt <= req.arrived+class.RetryWindow {
		r.addEvent(event{at: retryAt, kind: retry, id: id})
		return
	}
	delete(r.requests, id)
	if !req.counted {
		return
	}
	result := &r.result.Ranks[req.caller.class.Rank]
	result.Refused++
	if d := req.caller.class.Deadline; d > 0 && now-req.sent > d*4/5 {
		result.RefusedLate++
	}
}

func (r *run) complete(id uint64, now time.Duration) {
	req := r.requests[id]
	delete(r.requests, id)
	r.apply(req.queue.Done(id, now), now)
	r.member.running--
	r.startAtMember(now)
	class := req.caller.class
	if now >= r.scenario.Warmup && now < r.scenario.Warmup+r.scenario.Duration {
		r.slotTime[class.Rank] += req.serviceTime
	}
	if !req.counted {
		return
	}
	record(r.wait[class.Rank], req.started-req.sent)
	record(r.response[class.Rank], now-req.arrived)
	result := &r.result.Ranks[class.Rank]
	if class.Deadline > 0 && now-req.sent > class.Deadline {
		result.Late++
		return
	}
	result.Answered++
	req.caller.answered++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values above the highest trackable one, one hour.
	_ = h.RecordValue(min(int64(d/time.Microsecond), h.HighestTrackableValue()))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (r *run) summarize() {
	seconds := r.scenario.Duration.Seconds()
	for i := range r.result.Ranks {
		result := &r.result.Ranks[i]
		result.Rate = float64(result.Answered) / seconds
		result.Share = r.slotTime[i].Seconds() / seconds / float64(max(r.scenario.Slots, 1))
		result.WaitP50, result.WaitP99 = quantile(r.wait[i], 50), quantile(r.wait[i], 99)
		result.ResponseP50, result.ResponseP99 = quantile(r.response[i], 50), quantile(r.response[i], 99)
	}
	var offered, answered []float64
	for _, c := range r.callers {
		if c.class.Rank == schedule.Urgent {
			offered = append(offered, float64(c.offered))
			answered = append(answered, float64(c.answered))
		}
	}
	r.result.RawJain = Jain(answered)
	r.result.Jain = Jain(normalize(answered, offered))
}

// Jain returns Jain's fairness index of n values: 1 if all are equal, also if all are
// zero, and 1/n if all but one are zero.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

// normalize divides the allocation of each caller by its max-min fair share of the total.
// Callers with a share of 0 are left out.
func normalize(allocated, demand []float64) []float64 {
	total := 0.0
	for _, v := range allocated {
		total += v
	}
	var ratios []float64
	for i, share := range maxMin(total, demand) {
		if share > 0 {
			ratios = append(ratios, allocated[i]/share)
		}
	}
	return ratios
}

// maxMin returns the max-min fair allocation of total: no share exceeds its demand, and
// no share can grow without reducing one that is not larger.
func maxMin(total float64, demand []float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if demand[a] < demand[b] {
			return -1
		}
		return 1
	})
	shares := make([]float64, len(demand))
	for n, i := range order {
		shares[i] = min(demand[i], total/float64(len(order)-n))
		total -= shares[i]
	}
	return shares
}
