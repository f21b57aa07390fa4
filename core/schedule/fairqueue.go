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
	started  time.Duration
	reserved time.Duration // expected service time, charged to the flow and the floor at the start
}

// flow is the queue of one caller in one rank.
type flow struct {
	caller     string
	head, tail *item
	waiting    int
	// tag is the virtual start time of the head, or of the next request if none waits.
	// It advances by the service time that the caller receives.
	tag time.Duration
	// correction is the actual minus the charged service time, as far as the tag does
	// not include it yet.
	correction  time.Duration
	tagIndex    int // position in byTag, -1 if no request waits
	lengthIndex int // position in byLength
}

// correctionSpread is the number of requests over which a correction is roughly spread.
// If it were charged at once, one slow request would delay the waiting requests of its
// caller by several rounds, beyond the wait that was estimated when they were accepted.
const correctionSpread = 8

// fairQueue implements start-time fair queuing (SFQ) among callers. Callers with waiting
// requests receive equal service time, however many requests each of them has waiting.
//
// Invariants: byTag and byLength hold exactly the flows with waiting requests;
// no tag of a flow in byTag is below virtualTime.
type fairQueue struct {
	flows       map[string]*flow
	byTag       tagHeap
	byLength    lengthHeap
	waiting     int
	virtualTime time.Duration
	freeFlows   []*flow // kept for reuse
	sorted      []*flow // used by forEachWaiting only
}

func newFairQueue() *fairQueue { return &fairQueue{flows: make(map[string]*flow)} }

// requestsAhead returns bounds of the number of requests that are served before a new one
// of the caller, if each takes the given service time. The lower bound holds if no
// further requests arrive, the upper bound if all other callers always have requests
// waiting.
func (q *fairQueue) requestsAhead(caller string, serviceTime time.Duration) (lower, upper int) {
	own, tag, others := 0, q.virtualTime, len(q.byTag)
	if f := q.flows[caller]; f != nil {
		own, tag = f.waiting, max(f.tag, q.virtualTime)
	}
	if own > 0 {
		others--
	}
	// The tags of the other callers lie within one round; half of them are expected to
	// be served first.
	upper = own + int(float64(others)*(q.rounds(tag, own, serviceTime)+0.5))
	return min(q.waiting, upper), upper
}

// rounds returns how many requests of each other caller are served before the request
// at this index of a flow with this tag.
func (q *fairQueue) rounds(tag time.Duration, index int, serviceTime time.Duration) float64 {
	return float64(tag-q.virtualTime)/float64(serviceTime) + float64(index)
}

func (q *fairQueue) push(it *item) {
	f := q.flows[it.req.Caller]
	if f == nil {
		f = q.newFlow(it.req.Caller)
	}
	it.flow, it.prev, it.next = f, f.tail, nil
	if f.tail != nil {
		f.tail.next = it
	} else {
		f.head = it
	}
	f.tail = it
	f.waiting++
	q.waiting++
	if f.waiting > 1 {
		heap.Fix(&q.byLength, f.lengthIndex)
		return
	}
	f.tag = max(f.tag, q.virtualTime)
	heap.Push(&q.byTag, f)
	heap.Push(&q.byLength, f)
}

func (q *fairQueue) newFlow(caller string) *flow {
	f := &flow{}
	if n := len(q.freeFlows); n > 0 {
		f, q.freeFlows = q.freeFlows[n-1], q.freeFlows[:n-1]
	}
	*f = flow{caller: caller, tag: q.virtualTime, tagIndex: -1, lengthIndex: -1}
	q.flows[caller] = f
	return f
}

// pop removes the request to serve next and charges cost, the expected service time, to
// its flow.
func (q *fairQueue) pop(cost time.Duration) *item {
	f := q.byTag[0]
	it := f.head
	q.virtualTime = f.tag
	part := max(f.correction/correctionSpread, -cost)
	f.correction -= part
	f.tag += cost + part
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
	if f.waiting > 0 {
		heap.Fix(&q.byLength, f.lengthIndex)
		return
	}
	heap.Remove(&q.byTag, f.tagIndex)
	heap.Remove(&q.byLength, f.lengthIndex)
}

// addCorrection charges the caller with the difference between the actual and the
// expected service time of a request, spread over the caller's next requests.
func (q *fairQueue) addCorrection(caller string, difference time.Duration) {
	if f := q.flows[caller]; f != nil {
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
	for caller, f := range q.flows {
		if f.waiting > 0 || (q.waiting > 0 && f.tag > q.virtualTime) {
			continue
		}
		delete(q.flows, caller)
		if len(q.freeFlows) < maxFreeFlows {
			q.freeFlows = append(q.freeFlows, f)
		}
	}
}

// newestOfLongestFlow returns the newest request of the caller with the most waiting
// requests.
func (q *fairQueue) newestOfLongestFlow() *item { return q.byLength[0].tail }

// forEachWaiting calls visit for every waiting request with bounds of the number of
// requests that are served before it, as in requestsAhead. visit must not change the
// queue.
func (q *fairQueue) forEachWaiting(serviceTime time.Duration, visit func(it *item, lower, upper int)) {
	q.sorted = append(q.sorted[:0], q.byTag...)
	slices.SortFunc(q.sorted, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.head.sequence, b.head.sequence))
	})
	others := float64(len(q.sorted) - 1)
	for i, f := range q.sorted {
		k := 0
		for it := f.head; it != nil; it = it.next {
			upper := k + max(i, int(others*q.rounds(f.tag, k, serviceTime)))
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

// lengthHeap is a heap of flows ordered by the number of waiting requests, most first,
// and then by their newest request, latest first.
type lengthHeap []*flow

func (h lengthHeap) Len() int { return len(h) }

func (h lengthHeap) Less(i, j int) bool {
	if h[i].waiting != h[j].waiting {
		return h[i].waiting > h[j].waiting
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
