package schedule

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// item is a request that waits or runs.
type item struct {
	req      Request
	flow     *flow // nil if the request started without waiting
	next     *item
	prev     *item
	sequence uint64
	running  bool
	beyond   bool          // beyond the fair part of its workspace when it was queued
	order    time.Duration // due time, or the arrival of a request without one
	started  time.Duration
	reserved time.Duration // expected service time, charged to the flow and the floor at the start
}

// flowKey identifies a flow: a workspace, or a caller without one.
type flowKey struct {
	workspace bool
	name      string
}

func (r *Request) flowKey() flowKey {
	if r.Workspace != "" {
		return flowKey{workspace: true, name: r.Workspace}
	}
	return flowKey{name: r.Caller}
}

// flow is the queue of one workspace or caller in one rank, in the order of due times.
type flow struct {
	key        flowKey
	weight     float64 // of the latest request
	head, tail *item
	waiting    int
	beyond     int // of these, beyond the fair part of the workspace
	// tag is the virtual start time of the head, or of the next request if none waits.
	// It advances by the service time that the flow receives, divided by its weight.
	tag time.Duration
	// correction is the actual minus the charged service time, as far as the tag does
	// not include it yet.
	correction  time.Duration
	tagIndex    int // position in byTag, -1 if no request waits
	lengthIndex int // position in byLength
}

// correctionSpread is the number of requests over which a correction is roughly spread.
// If it were charged at once, one slow request would delay the waiting requests of its
// flow by several rounds, beyond the wait that was estimated when they were accepted.
const correctionSpread = 8

// fairQueue implements start-time fair queuing (SFQ) among flows. Flows with waiting
// requests receive service time in proportion to their weights, however many requests
// each of them has waiting.
//
// Invariants: byTag and byLength hold exactly the flows with waiting requests, and weight
// is the sum of their weights; no tag of a flow in byTag is below virtualTime.
type fairQueue struct {
	flows       map[flowKey]*flow
	byTag       tagHeap
	byLength    lengthHeap
	waiting     int
	weight      float64
	byClass     map[ServiceClass]int // waiting requests by class, without class 0
	virtualTime time.Duration
	// overtakingWork and queuedWork are the moving means of the expected service time of
	// the queued requests that were due before others of their flow, and of all, in ns.
	overtakingWork, queuedWork float64
	freeFlows                  []*flow // kept for reuse
	sorted                     []*flow // used by forEachWaiting only
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[flowKey]*flow), byClass: make(map[ServiceClass]int)}
}

const (
	// overtakingWeight is the weight of one request in the moving means of the queued
	// work.
	overtakingWeight = 1.0 / 64
	// maxOvertaking keeps the estimates of overtaken requests finite.
	maxOvertaking = 0.75
)

// requestsAhead returns bounds of the number of requests that are served before a new
// one, if each takes the given service time. The lower bound holds if no further requests
// arrive, the upper bound if all other flows always have requests waiting.
func (q *fairQueue) requestsAhead(it *item, serviceTime time.Duration) (lower, upper int) {
	own, tag, others, othersWeight := 0, q.virtualTime, len(q.byTag), q.weight
	if f := q.flows[it.req.flowKey()]; f != nil {
		tag = max(f.tag, q.virtualTime)
		if f.waiting > 0 {
			own = f.dueBefore(it)
			others--
			othersWeight -= f.weight
		}
	}
	own = q.afterOvertaking(own)
	// The tags of the other flows lie within one round; half of them are expected to be
	// served first.
	upper = own + int(othersWeight*q.rounds(tag, own, it.req.Weight, serviceTime)+0.5*float64(others))
	return min(q.waiting, upper), upper
}

// dueBefore returns the number of waiting requests of the flow that are due before it.
func (f *flow) dueBefore(it *item) int {
	n := f.waiting
	for other := f.tail; other != nil && other.order > it.order; other = other.prev {
		n--
	}
	return n
}

// afterOvertaking returns the number of requests of its own flow that are served before
// a request with n ahead of it, including those that arrive later but are due earlier.
func (q *fairQueue) afterOvertaking(n int) int {
	if q.overtakingWork == 0 {
		return n
	}
	return int(float64(n) / (1 - min(q.overtakingWork/q.queuedWork, maxOvertaking)))
}

// rounds returns how many requests are served for each unit of the other flows' weight
// before the request at this index of a flow with this tag and weight.
func (q *fairQueue) rounds(tag time.Duration, index int, weight float64, serviceTime time.Duration) float64 {
	return float64(tag-q.virtualTime)/float64(serviceTime) + float64(index)/weight
}

// push queues a request with this expected service time.
func (q *fairQueue) push(it *item, cost time.Duration) {
	f := q.flows[it.req.flowKey()]
	if f == nil {
		f = q.newFlow(it.req.flowKey())
	}
	q.waiting++
	if it.req.Class != 0 {
		q.byClass[it.req.Class]++
	}
	f.insert(it)
	overtaking := 0.0
	if it.next != nil {
		overtaking = float64(cost)
	}
	q.overtakingWork += overtakingWeight * (overtaking - q.overtakingWork)
	q.queuedWork += overtakingWeight * (float64(cost) - q.queuedWork)
	if f.waiting > 1 {
		q.weight += it.req.Weight - f.weight
		f.weight = it.req.Weight
		heap.Fix(&q.byLength, f.lengthIndex)
		if f.head == it {
			heap.Fix(&q.byTag, f.tagIndex)
		}
		return
	}
	f.weight = it.req.Weight
	q.weight += f.weight
	f.tag = max(f.tag, q.virtualTime)
	heap.Push(&q.byTag, f)
	heap.Push(&q.byLength, f)
}

// insert adds a request behind those of the flow that are not due later.
func (f *flow) insert(it *item) {
	after := f.tail
	for after != nil && after.order > it.order {
		after = after.prev
	}
	it.flow, it.prev = f, after
	if after != nil {
		it.next, after.next = after.next, it
	} else {
		it.next, f.head = f.head, it
	}
	if it.next != nil {
		it.next.prev = it
	} else {
		f.tail = it
	}
	f.waiting++
	if it.beyond {
		f.beyond++
	}
}

func (q *fairQueue) newFlow(key flowKey) *flow {
	f := &flow{}
	if n := len(q.freeFlows); n > 0 {
		f, q.freeFlows = q.freeFlows[n-1], q.freeFlows[:n-1]
	}
	*f = flow{key: key, weight: 1, tag: q.virtualTime, tagIndex: -1, lengthIndex: -1}
	q.flows[key] = f
	return f
}

// next returns the request to serve next.
func (q *fairQueue) next() *item { return q.byTag[0].head }

// pop removes the request to serve next and charges cost, the expected service time, to
// its flow.
func (q *fairQueue) pop(cost time.Duration) *item {
	f := q.byTag[0]
	it := f.head
	q.virtualTime = f.tag
	part := max(f.correction/correctionSpread, -cost)
	f.correction -= part
	f.tag += time.Duration(float64(cost+part) / f.weight)
	q.remove(it)
	if f.tagIndex >= 0 {
		heap.Fix(&q.byTag, f.tagIndex)
	}
	q.reclaimFlows()
	return it
}

// remove removes a waiting request without charging its flow.
func (q *fairQueue) remove(it *item) {
	f := it.flow
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	it.next, it.prev = nil, nil
	f.waiting--
	q.waiting--
	if it.beyond {
		f.beyond--
	}
	if it.req.Class != 0 {
		if q.byClass[it.req.Class]--; q.byClass[it.req.Class] == 0 {
			delete(q.byClass, it.req.Class)
		}
	}
	if f.waiting > 0 {
		heap.Fix(&q.byLength, f.lengthIndex)
		return
	}
	if q.weight -= f.weight; q.waiting == 0 {
		q.weight = 0 // without rounding errors
	}
	heap.Remove(&q.byTag, f.tagIndex)
	heap.Remove(&q.byLength, f.lengthIndex)
}

// addCorrection charges a flow with the difference between the actual and the expected
// service time of a request, spread over the flow's next requests.
func (q *fairQueue) addCorrection(key flowKey, difference time.Duration) {
	if f := q.flows[key]; f != nil {
		f.correction += difference
	}
}

// maxFreeFlows bounds the number of flows kept for reuse, and the number of flows
// without waiting requests, beyond that of flows with some, before reclaimFlows sweeps.
const maxFreeFlows = 64

// reclaimFlows removes flows whose past service no longer affects the order: all flows
// if no request waits, and otherwise those whose tag the virtual time has reached.
func (q *fairQueue) reclaimFlows() {
	idle := len(q.flows) - len(q.byTag)
	if q.waiting > 0 && idle <= len(q.byTag)+maxFreeFlows {
		return
	}
	for key, f := range q.flows {
		if f.waiting > 0 || (q.waiting > 0 && f.tag > q.virtualTime) {
			continue
		}
		delete(q.flows, key)
		if len(q.freeFlows) < maxFreeFlows {
			q.freeFlows = append(q.freeFlows, f)
		}
	}
}

// lastOfLongestFlow returns the request that is due last, the newest one without due
// times, of the flow with the most waiting requests for its weight. Flows with requests
// beyond the fair part of their workspace come first.
func (q *fairQueue) lastOfLongestFlow() *item { return q.byLength[0].tail }

// forEachWaiting calls visit for every waiting request with bounds of the number of
// requests that are served before it, as in requestsAhead. visit must not change the
// queue.
func (q *fairQueue) forEachWaiting(serviceTime time.Duration, visit func(it *item, lower, upper int)) {
	q.sorted = append(q.sorted[:0], q.byTag...)
	slices.SortFunc(q.sorted, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.head.sequence, b.head.sequence))
	})
	for i, f := range q.sorted {
		k, others := 0, q.weight-f.weight
		for it := f.head; it != nil; it = it.next {
			own := q.afterOvertaking(k)
			upper := own + max(i, int(others*q.rounds(f.tag, own, f.weight, serviceTime)))
			visit(it, min(upper, q.waiting-1), upper)
			k++
		}
	}
	clear(q.sorted)
}

// tagHeap is a heap of flows ordered by the virtual start time of their head, earliest
// first, and then by arrival.
type tagHeap []*flow

func (h tagHeap) Len() int { return len(h) }

func (h tagHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].head.sequence < h[j].head.sequence
}

func (h tagHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].tagIndex, h[j].tagIndex = i, j
}

func (h *tagHeap) Push(x any) {
	f := x.(*flow)
	f.tagIndex = len(*h)
	*h = append(*h, f)
}

func (h *tagHeap) Pop() any {
	n := len(*h) - 1
	f := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	f.tagIndex = -1
	return f
}

// lengthHeap is a heap of flows: those with requests beyond the fair part of their
// workspace first, then ordered by the number of waiting requests for their weight, most
// first, and then by their last request, latest first.
type lengthHeap []*flow

// excess is the number of waiting requests for each unit of weight.
func (f *flow) excess() float64 { return float64(f.waiting) / f.weight }

func (h lengthHeap) Len() int { return len(h) }

func (h lengthHeap) Less(i, j int) bool {
	if a, b := h[i].beyond > 0, h[j].beyond > 0; a != b {
		return a
	}
	if a, b := h[i].excess(), h[j].excess(); a != b {
		return a > b
	}
	return h[i].tail.sequence > h[j].tail.sequence
}

func (h lengthHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].lengthIndex, h[j].lengthIndex = i, j
}

func (h *lengthHeap) Push(x any) {
	f := x.(*flow)
	f.lengthIndex = len(*h)
	*h = append(*h, f)
}

func (h *lengthHeap) Pop() any {
	n := len(*h) - 1
	f := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	f.lengthIndex = -1
	return f
}
