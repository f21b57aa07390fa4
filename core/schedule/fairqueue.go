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
	reserved time.Duration // service time charged to the flow and the floor at the start
}

// flow holds the waiting requests of one caller in one rank.
type flow struct {
	caller     string
	head, tail *item
	waiting    int
	// tag is the virtual start time of the head, or of the next request if
	// nothing waits. It grows by the service time that the caller has received.
	tag time.Duration
	// carry is service time received or saved but not yet in the tag.
	correction  time.Duration
	tagIndex    int // position in byTag, -1 if nothing waits
	lengthIndex int // position in byLength
}

// correctionSpread spreads a correction over about this many requests. Charged at
// once, one slow request would delay what its caller has waiting by several
// rounds, past the wait that was estimated when it was accepted.
const correctionSpread = 8

// fairQueue is a start-time fair queue among callers. Callers with waiting
// requests receive equal service time, whatever number each has waiting.
//
// Invariants: byTag and byLength hold exactly the flows with waiting requests;
// no tag of a flow in byTag is below virtual.
type fairQueue struct {
	flows       map[string]*flow
	byTag       tagHeap
	byLength    lengthHeap
	waiting     int
	virtualTime time.Duration
	freeFlows   []*flow
	sorted      []*flow
}

func newFairQueue() *fairQueue { return &fairQueue{flows: make(map[string]*flow)} }

// ahead returns how many requests are served before a new one of the caller, if
// each takes the given service time: at least, if no further requests arrive,
// and at most, if all other callers keep requests waiting.
func (q *fairQueue) requestsAhead(caller string, service time.Duration) (least, most int) {
	own, tag, others := 0, q.virtualTime, len(q.byTag)
	if f := q.flows[caller]; f != nil {
		own, tag = f.waiting, max(f.tag, q.virtualTime)
	}
	if own > 0 {
		others--
	}
	// The heads of the other callers lie within one round; half of them are
	// expected to come first.
	most = own + int(float64(others)*(q.rounds(tag, own, service)+0.5))
	return min(q.waiting, most), most
}

// rounds returns how often each other caller is served before the request at
// this index of a flow with this tag.
func (q *fairQueue) rounds(tag time.Duration, index int, service time.Duration) float64 {
	return float64(tag-q.virtualTime)/float64(service) + float64(index)
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

// pop removes the request to serve next and charges its flow with cost.
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

// remove takes a waiting request out without serving it.
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

// correct charges the caller with the difference between the measured and the
// estimated cost of a request, spread over its next requests.
func (q *fairQueue) addCorrection(caller string, difference time.Duration) {
	if f := q.flows[caller]; f != nil {
		f.correction += difference
	}
}

// maxFreeFlows bounds the flows kept for reuse and the flows without waiting
// requests that are tolerated before a sweep.
const maxFreeFlows = 64

// reclaim drops flows whose past service no longer affects the order: all of
// them once nothing waits, and otherwise those behind the virtual time.
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

// newestOfLongestFlow returns the newest request of the caller with most waiting.
func (q *fairQueue) newestOfLongestFlow() *item { return q.byLength[0].tail }

// each calls visit for every waiting request with the number of requests that
// are served before it, with the bounds of ahead. visit must not change the queue.
func (q *fairQueue) forEachWaiting(service time.Duration, visit func(it *item, least, most int)) {
	q.sorted = append(q.sorted[:0], q.byTag...)
	slices.SortFunc(q.sorted, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.head.sequence, b.head.sequence))
	})
	others := float64(len(q.sorted) - 1)
	for i, f := range q.sorted {
		k := 0
		for it := f.head; it != nil; it = it.next {
			most := k + max(i, int(others*q.rounds(f.tag, k, service)))
			visit(it, min(most, q.waiting-1), most)
			k++
		}
	}
	clear(q.sorted)
}

// tagHeap orders flows by the virtual start time of their head.
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

// lengthHeap orders flows by the number of waiting requests, most first, and
// then by their newest request.
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
