// Package simulation runs a load scenario against a scheduling policy in virtual
// time: open-loop Poisson arrivals at one upstream, without network delays. It
// is used by tests and by `papayarail measure`.
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

// Policy selects the scheduling of a run.
type Policy string

const (
	// Papayarail uses schedule.Scheduler.
	Papayarail Policy = "papayarail"
	// FIFO serves one unbounded queue first in, first out. Requests whose
	// deadline has passed when their turn comes are dropped, as if their
	// caller had gone.
	FIFO Policy = "fifo"
)

// TrafficClass is a group of callers with equal requests.
type TrafficClass struct {
	Rank            schedule.Rank
	Callers         int
	BaseRate        float64       // quiet rate of the class, in requests per second
	MeanServiceTime time.Duration // mean of the exponentially distributed service time
	// Deadline is the time that a caller allows from sending to the answer; 0: none.
	Deadline time.Duration
	// RateFactor multiplies the rate; 0 and 1 leave it unchanged.
	RateFactor float64
	// RateSkew spreads the flood over the callers: the rate of the last is 1+RateSkew
	// and of the first 1-RateSkew times the mean, linearly between. 0: equal.
	RateSkew float64
	// MaxRetries is how often a caller comes back after a refusal, at the time
	// that the refusal states, while RetryWindow from the first attempt lasts.
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
	// Instances is the number of instances, each with a queue of its own and Slots
	// slots, that send what they start to one member. It executes MemberSlots
	// requests at a time in order of arrival. 0: one owner with the member's slots.
	Instances   int
	MemberSlots int
	SlotLimit   [schedule.NumRanks]int
	// AdmissionControl puts a schedule.AdmissionController before the scheduler. It hears of the load and
	// of refusals with each answer. Ignored by FIFO.
	AdmissionControl bool
	Warmup           time.Duration // not counted in the figures
	Duration         time.Duration // counted time after the warm-up
	Classes          []TrafficClass
}

// RankResult are the results of one rank.
type RankResult struct {
	Offered        int     `json:"offered"`
	Answered       int     `json:"answered"` // within the deadline
	Late           int     `json:"late"`     // completed after the deadline
	Refused        int     `json:"refused"`  // rejected for good, or dropped after the deadline in FIFO
	Rate           float64 `json:"rate"`     // answered per second
	Share          float64 `json:"share"`    // of the slots' time
	RefusedLate    int     `json:"held"`     // refused with less than a fifth of the time to the deadline left
	RefusedAtEntry int     `json:"at_door"`  // part of Refused that the AdmissionControl refused

	WaitP50     time.Duration `json:"wait_p50"` // from sending to the slot, of started requests
	WaitP99     time.Duration `json:"wait_p99"`
	ResponseP50 time.Duration `json:"response_p50"` // from arrival to completion
	ResponseP99 time.Duration `json:"response_p99"`
}

// Result are the results of a run.
type Result struct {
	Scenario string                        `json:"scenario"`
	Policy   Policy                        `json:"policy"`
	Seed     uint64                        `json:"seed"`
	Ranks    [schedule.NumRanks]RankResult `json:"ranks"`
	// Jain is the fairness index of the answered requests of urgent callers,
	// each divided by the caller's max-min fair part of all answered ones. A
	// caller that asks for less than an equal part and receives it counts as 1.
	Jain float64 `json:"jain"`
	// RawJain is the index of the answered requests themselves.
	RawJain float64 `json:"raw_jain"`
}

type eventKind uint8

const (
	arrival eventKind = iota
	completion
	comeBack
	tick
)

type event struct {
	at     time.Duration
	order  uint64
	kind   eventKind
	source *source
	id     uint64
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	*h = (*h)[:n]
	return e
}

// source is one caller with its own random numbers, so that both policies see
// the same arrivals and service times under one seed.
type source struct {
	class    *TrafficClass
	name     string
	rate     float64
	rand     *rand.Rand
	offered  int
	answered int
}

type request struct {
	source  *source
	arrived time.Duration // first attempt
	sent    time.Duration // this attempt
	attempt int
	queue   queue
	started time.Duration
	service time.Duration
	counted bool
}

// queue is the policy under test.
type queue interface {
	Submit(schedule.Request, time.Duration) schedule.Result
	Done(uint64, time.Duration) schedule.Result
	Tick(time.Duration) schedule.Result
}

// tickPeriod is the interval between Tick events.
const tickPeriod = 5 * time.Millisecond

type run struct {
	scenario Scenario
	queues   []queue
	member   member
	door     *schedule.AdmissionController // nil without AdmissionControl
	owner    *schedule.Scheduler           // the queue, if there is a AdmissionControl
	events   eventHeap
	order    uint64
	nextID   uint64
	sources  []*source
	requests map[uint64]*request
	figures  Result
	wait     [schedule.NumRanks]*hdrhistogram.Histogram
	response [schedule.NumRanks]*hdrhistogram.Histogram
	busy     [schedule.NumRanks]time.Duration
}

// Run plays the scenario with the given seed. Runs with equal arguments have
// equal figures.
func Run(sc Scenario, seed uint64) Result {
	r := newRun(sc, seed)
	end := sc.Warmup + sc.Duration
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		switch e.kind {
		case arrival:
			if e.at < end {
				r.arrive(e.source, e.at)
			}
		case completion:
			r.complete(e.id, e.at)
		case comeBack:
			r.attempt(e.id, e.at)
		case tick:
			for _, q := range r.queues {
				r.apply(q.Tick(e.at), e.at)
			}
			if e.at < end || len(r.requests) > 0 {
				r.at(event{at: e.at + tickPeriod, kind: tick})
			}
		}
	}
	r.summarize()
	return r.figures
}

func newRun(sc Scenario, seed uint64) *run {
	r := &run{scenario: sc, requests: make(map[uint64]*request)}
	r.figures = Result{Scenario: sc.Name, Policy: sc.Policy, Seed: seed}
	for i := range max(sc.Instances, 1) {
		r.queues = append(r.queues, newQueue(sc, seed+uint64(i)))
	}
	if s, ok := r.queues[0].(*schedule.Scheduler); ok && sc.AdmissionControl {
		r.owner, r.door = s, schedule.NewAdmissionController(rand.New(rand.NewPCG(seed, 1)))
	}
	for i := range schedule.NumRanks {
		r.wait[i] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		r.response[i] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	}
	for i := range sc.Classes {
		r.addClass(&sc.Classes[i], i, seed)
	}
	r.at(event{at: tickPeriod, kind: tick})
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

func (r *run) addClass(c *TrafficClass, index int, seed uint64) {
	for i := range c.Callers {
		s := &source{class: c, name: fmt.Sprintf("%s-%d-%d", c.Rank, index, i), rate: c.BaseRate / float64(c.Callers)}
		s.rand = rand.New(rand.NewPCG(seed, uint64(index)<<32|uint64(i)+1))
		if c.RateFactor > 0 {
			s.rate *= c.RateFactor
		}
		if c.Callers > 1 {
			s.rate *= 1 - c.RateSkew + 2*c.RateSkew*float64(i)/float64(c.Callers-1)
		}
		r.sources = append(r.sources, s)
		r.scheduleArrival(s, 0)
	}
}

func (r *run) scheduleArrival(s *source, now time.Duration) {
	if s.rate <= 0 {
		return
	}
	gap := time.Duration(s.rand.ExpFloat64() / s.rate * float64(time.Second))
	r.at(event{at: now + gap, kind: arrival, source: s})
}

func (r *run) at(e event) {
	r.order++
	e.order = r.order
	heap.Push(&r.events, e)
}

func (r *run) arrive(s *source, now time.Duration) {
	r.nextID++
	req := &request{source: s, arrived: now, counted: now >= r.scenario.Warmup, queue: r.queues[0]}
	if n := len(r.queues); n > 1 {
		req.queue = r.queues[s.rand.IntN(n)]
	}
	req.service = max(time.Duration(s.rand.ExpFloat64()*float64(s.class.MeanServiceTime)), time.Microsecond)
	r.requests[r.nextID] = req
	if req.counted {
		s.offered++
		r.figures.Ranks[s.class.Rank].Offered++
	}
	r.scheduleArrival(s, now)
	r.attempt(r.nextID, now)
}

// attempt submits a request, at its arrival and after each refusal.
func (r *run) attempt(id uint64, now time.Duration) {
	req := r.requests[id]
	req.sent = now
	req.attempt++
	class := req.source.class
	if ok, after := r.admit(req.source, now); !ok {
		if req.counted {
			r.figures.Ranks[class.Rank].RefusedAtEntry++
		}
		r.refuse(id, after, now)
		return
	}
	sr := schedule.Request{ID: id, Caller: req.source.name, Rank: class.Rank}
	if class.Deadline > 0 {
		sr.Deadline = now + class.Deadline
	}
	r.apply(req.queue.Submit(sr, now), now)
}

// upstream is the name under which the AdmissionControl knows the only upstream.
const upstream = "upstream"

func (r *run) admit(s *source, now time.Duration) (ok bool, retryAfter time.Duration) {
	if r.door == nil {
		return true, 0
	}
	return r.door.AdmitCaller(upstream, s.name, s.class.Rank, now)
}

// advertise passes what an answer carries to the AdmissionControl.
func (r *run) advertise(rejected []schedule.Rejection, now time.Duration) {
	if r.door == nil {
		return
	}
	r.door.RecordLoad(upstream, r.owner.Load(now), now)
	for _, rej := range rejected {
		s := r.requests[rej.ID].source
		r.door.RecordRefusal(upstream, s.name, s.class.Rank, rej.Err.RetryAfter, now)
	}
}

func (r *run) apply(res schedule.Result, now time.Duration) {
	for _, id := range res.Started {
		req := r.requests[id]
		req.started = now
		r.execute(id, now)
	}
	r.advertise(res.Rejected, now)
	for _, rej := range res.Rejected {
		r.refuse(rej.ID, rej.Err.RetryAfter, now)
	}
}

// member executes what instances have started.
type member struct {
	running int
	waiting []uint64
}

func (r *run) execute(id uint64, now time.Duration) {
	r.member.waiting = append(r.member.waiting, id)
	r.next(now)
}

// next starts what waits at the member. A single owner has exactly its slots.
func (r *run) next(now time.Duration) {
	for m := &r.member; len(m.waiting) > 0 && (r.scenario.Instances == 0 || m.running < r.scenario.MemberSlots); {
		id := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.running++
		r.at(event{at: now + r.requests[id].service, kind: completion, id: id})
	}
}

// defaultComeBack is the pause of a caller after a refusal without advice.
const defaultComeBack = 50 * time.Millisecond

// refuse ends an attempt; its caller comes back or gives up.
func (r *run) refuse(id uint64, after, now time.Duration) {
	req := r.requests[id]
	again := now + max(after, defaultComeBack)
	if class := req.source.class; req.attempt <= class.MaxRetries && again <= req.arrived+class.RetryWindow {
		r.at(event{at: again, kind: comeBack, id: id})
		return
	}
	delete(r.requests, id)
	if !req.counted {
		return
	}
	f := &r.figures.Ranks[req.source.class.Rank]
	f.Refused++
	if d := req.source.class.Deadline; d > 0 && now-req.sent > d*4/5 {
		f.RefusedLate++
	}
}

func (r *run) complete(id uint64, now time.Duration) {
	req := r.requests[id]
	delete(r.requests, id)
	r.apply(req.queue.Done(id, now), now)
	r.member.running--
	r.next(now)
	class := req.source.class
	if now >= r.scenario.Warmup && now < r.scenario.Warmup+r.scenario.Duration {
		r.busy[class.Rank] += req.service
	}
	if !req.counted {
		return
	}
	record(r.wait[class.Rank], req.started-req.sent)
	record(r.response[class.Rank], now-req.arrived)
	f := &r.figures.Ranks[class.Rank]
	if class.Deadline > 0 && now-req.sent > class.Deadline {
		f.Late++
		return
	}
	f.Answered++
	req.source.answered++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only above the highest trackable value of one hour.
	_ = h.RecordValue(min(int64(d/time.Microsecond), h.HighestTrackableValue()))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (r *run) summarize() {
	seconds := r.scenario.Duration.Seconds()
	for i := range r.figures.Ranks {
		f := &r.figures.Ranks[i]
		f.Rate = float64(f.Answered) / seconds
		f.Share = r.busy[i].Seconds() / seconds / float64(max(r.scenario.Slots, 1))
		f.WaitP50, f.WaitP99 = quantile(r.wait[i], 50), quantile(r.wait[i], 99)
		f.ResponseP50, f.ResponseP99 = quantile(r.response[i], 50), quantile(r.response[i], 99)
	}
	var offered, answered []float64
	for _, s := range r.sources {
		if s.class.Rank == schedule.Urgent {
			offered = append(offered, float64(s.offered))
			answered = append(answered, float64(s.answered))
		}
	}
	r.figures.RawJain = Jain(answered)
	r.figures.Jain = Jain(normalize(answered, offered))
}

// Jain returns Jain's fairness index: 1 if all values are equal, 1/n if one
// has everything.
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

// normalize divides what each caller got by its max-min fair part of the total.
func normalize(got, demand []float64) []float64 {
	total := 0.0
	for _, v := range got {
		total += v
	}
	var ratios []float64
	for i, part := range maxMin(total, demand) {
		if part > 0 {
			ratios = append(ratios, got[i]/part)
		}
	}
	return ratios
}

// maxMin divides total so that nobody gets more than its demand and nobody's
// part can grow except at the cost of one who has no more.
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
	parts := make([]float64, len(demand))
	for n, i := range order {
		parts[i] = min(demand[i], total/float64(len(order)-n))
		total -= parts[i]
	}
	return parts
}
