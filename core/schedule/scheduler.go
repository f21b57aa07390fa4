package schedule

import (
	"time"

	"github.com/papayarail/papayarail/core/verdict"
)

// Scheduler assigns the slots of one upstream to requests. It is not safe for
// concurrent use.
//
// Invariants: at most slots requests run, except after SetSlots or SetLimits has lowered
// the number; a request waits only while no slot is free that its rank may occupy; at
// most QueueLimit requests wait, and of a rank not more than QueueTime allows; every submitted request is started or rejected exactly
// once, unless it is cancelled first.
type Scheduler struct {
	cfg       Config
	slots     int
	running   int
	waiting   int
	draining  bool
	sequence  uint64
	items     map[uint64]*item
	freeItems []*item
	ranks     [NumRanks]rankState
	shares    shares
	classed   struct { // running requests with a class
		running  int
		expected time.Duration // sum of their expected service times
	}
	lastEvent time.Duration
}

// New returns a Scheduler without requests.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{cfg: cfg, slots: cfg.Slots, items: make(map[uint64]*item)}
	s.shares.workspaces = make(map[string]*share)
	classes := make(map[ServiceClass]time.Duration)
	for r := range s.ranks {
		s.ranks[r].queue = newFairQueue()
		s.ranks[r].serviceTime, s.ranks[r].assumedServiceTime = cfg.InitialServiceTime, cfg.InitialServiceTime
		s.ranks[r].classes = classes
	}
	return s
}

// Submit starts, queues or rejects a request. A queued request appears in the result of
// a later event. If the queue is full, a less urgent request may be rejected in place of
// this one. A request with the ID of another one that waits or runs is ignored.
func (s *Scheduler) Submit(r Request, now time.Duration) Result {
	var res Result
	s.advance(now)
	if s.items[r.ID] != nil {
		return res
	}
	r.Rank = min(r.Rank, NumRanks-1)
	r.Weight = normalizeWeight(r.Weight)
	if s.draining {
		res.reject(r.ID, s.drainError())
		return res
	}
	s.startWaiting(now, &res)
	if s.mayStart(r.Rank) {
		s.startNow(r, now, &res)
		return res
	}
	beyond := s.exceedsShare(&r, now)
	if beyond {
		r.Rank = Least
	}
	if err := s.admissionError(r, now); err != nil {
		s.ranks[r.Rank].recordAdmission(1)
		res.reject(r.ID, err)
		return res
	}
	s.ranks[r.Rank].recordAdmission(0)
	s.enqueue(r, beyond, now)
	// Less urgent requests wait for this one, too.
	for rank := NumRanks - 1; rank >= int(r.Rank); rank-- {
		if s.exceedsQueueTime(Rank(rank), 0) && !s.ranks[rank].queue.lastOfLongestFlow().req.InTransaction {
			s.shedFrom(Rank(rank), &res)
		}
	}
	if s.waiting > s.cfg.QueueLimit {
		s.shed(&res)
	}
	return res
}

// Weights are limited to this range, so that the virtual time neither stops nor overflows.
const (
	minWeight = 1e-3
	maxWeight = 1e5
)

func normalizeWeight(w float64) float64 {
	if !(w > 0) {
		return 1
	}
	return min(max(w, minWeight), maxWeight)
}

// order returns the time by which the requests of a flow are ordered.
func (r *Request) order(now time.Duration) time.Duration {
	if r.Due > 0 {
		return r.Due
	}
	return now
}

// Done frees the slot of a completed request and records its service time.
func (s *Scheduler) Done(id uint64, now time.Duration) Result {
	var res Result
	s.advance(now)
	it := s.items[id]
	if it != nil && it.running {
		s.recordServiceTime(it, now-it.started)
		s.freeSlot(it)
	}
	s.startWaiting(now, &res)
	return res
}

// Cancel removes a request that waits or runs. The time for which a cancelled request
// ran is charged, but does not count as a measured service time.
func (s *Scheduler) Cancel(id uint64, now time.Duration) Result {
	var res Result
	s.advance(now)
	it := s.items[id]
	switch {
	case it == nil:
	case it.running:
		s.charge(it, now-it.started)
		s.freeSlot(it)
	default:
		s.removeWaiting(it)
	}
	s.startWaiting(now, &res)
	return res
}

// Tick rejects waiting requests that can no longer meet their deadline. It must be
// called every few milliseconds while requests wait.
func (s *Scheduler) Tick(now time.Duration) Result {
	var res Result
	s.advance(now)
	var late []*item
	for r := range s.ranks {
		rank, st := Rank(r), &s.ranks[r]
		if st.queue.waiting == 0 {
			continue
		}
		st.queue.forEachWaiting(st.waitingServiceTime(), func(it *item, lower, upper int) {
			wait := s.estimateWait(rank, st.expectedAhead(lower, upper))
			if d := it.req.Deadline; d > 0 && now+wait+st.expectedServiceTime(it.req.Class) > d {
				late = append(late, it)
			}
		})
	}
	for _, it := range late {
		err := s.deadlineError(it.req.Rank)
		res.reject(it.req.ID, err)
		s.removeWaiting(it)
	}
	s.startWaiting(now, &res)
	return res
}

// SetSlots changes the number of slots. Running requests are not interrupted.
func (s *Scheduler) SetSlots(n int, now time.Duration) Result {
	return s.SetLimits(n, s.cfg.SlotLimit, now)
}

// SetLimits changes the number of slots and the slot limits of the ranks. Running
// requests are not interrupted.
func (s *Scheduler) SetLimits(n int, limit [NumRanks]int, now time.Duration) Result {
	var res Result
	s.advance(now)
	s.slots, s.cfg.SlotLimit = max(n, 0), limit
	s.startWaiting(now, &res)
	return res
}

// Drain rejects all waiting and all later requests. Running requests continue.
func (s *Scheduler) Drain(now time.Duration) Result {
	var res Result
	s.advance(now)
	s.draining = true
	for r := range s.ranks {
		q := s.ranks[r].queue
		for q.waiting > 0 {
			it := q.byTag[0].head
			res.reject(it.req.ID, s.drainError())
			s.removeWaiting(it)
		}
	}
	return res
}

// ResetServiceTimes replaces the measured service times of all ranks and classes by the
// expected ones, for an upstream whose measurements no longer apply.
func (s *Scheduler) ResetServiceTimes() {
	for r := range s.ranks {
		st := &s.ranks[r]
		st.serviceTime, st.measured = st.assumedServiceTime, false
		clear(st.classes)
	}
}

// Running returns the number of running requests.
func (s *Scheduler) Running() int { return s.running }

// Waiting returns the number of waiting requests of a rank.
func (s *Scheduler) Waiting(r Rank) int { return s.ranks[r].queue.waiting }

// ServiceTime returns the moving mean of the service time of a rank.
func (s *Scheduler) ServiceTime(r Rank) time.Duration { return s.ranks[r].serviceTime }

// MeasuredServiceTime returns the moving mean of the service time of a rank, or 0 if no
// request of the rank has completed.
func (s *Scheduler) MeasuredServiceTime(r Rank) time.Duration {
	if !s.ranks[r].measured {
		return 0
	}
	return s.ranks[r].serviceTime
}

// ExpectServiceTime sets the service time that is assumed for a rank until one is measured,
// also after ResetServiceTimes.
func (s *Scheduler) ExpectServiceTime(r Rank, serviceTime time.Duration) {
	st := &s.ranks[r]
	st.assumedServiceTime = max(serviceTime, 1)
	if !st.measured {
		st.serviceTime = st.assumedServiceTime
	}
}

// SetQueueLimits changes Config.QueueLimit and Config.QueueTime. Requests that wait already
// are not rejected.
func (s *Scheduler) SetQueueLimits(requests int, limit [NumRanks]time.Duration) {
	s.cfg.QueueLimit, s.cfg.QueueTime = requests, limit
}

// startWaiting starts waiting requests while slots are free.
func (s *Scheduler) startWaiting(now time.Duration, res *Result) {
	for s.running < s.slots && s.waiting > 0 {
		r, owed, ok := s.nextRank()
		if !ok {
			return
		}
		st := &s.ranks[r]
		it := st.queue.pop(st.expectedServiceTime(st.queue.next().req.Class))
		s.shares.addWaiting(&it.req, -1)
		s.waiting--
		s.occupySlot(it, owed, now)
		res.Started = append(res.Started, it.req.ID)
	}
}

// nextRank returns the rank to serve: a less urgent rank whose floor credit covers a
// whole request, in which case owed is true, or else the most urgent rank with waiting
// requests that may occupy a slot. ok is false if no waiting request may occupy a slot.
func (s *Scheduler) nextRank() (r Rank, owed, ok bool) {
	for i := range s.ranks {
		st := &s.ranks[i]
		if st.queue.waiting == 0 || !s.mayStart(Rank(i)) {
			continue
		}
		if !ok {
			r, ok = Rank(i), true
			continue
		}
		if st.credit > 0 && st.credit >= st.serviceTime {
			return Rank(i), true, true
		}
	}
	return r, false, ok
}

// mayStart reports whether a request of the rank may occupy a slot now. Slow requests
// leave one slot to the others.
func (s *Scheduler) mayStart(r Rank) bool {
	return s.running < s.slots && s.belowSlotLimits(r) && (s.slowRunning() < s.slots-1 || !s.slow(r))
}

// belowSlotLimits reports whether another request of the rank stays within the slot
// limits of this rank and of more urgent ranks. A limit applies to the requests of its
// rank and of all less urgent ranks together.
func (s *Scheduler) belowSlotLimits(r Rank) bool {
	running := 0
	for i := NumRanks - 1; i >= 0; i-- {
		running += s.ranks[i].running
		if limit := s.cfg.SlotLimit[i]; i <= int(r) && limit > 0 && running >= limit {
			return false
		}
	}
	return true
}

// slow reports whether requests of the rank occupy a slot so much longer than those of
// an active, more urgent rank that they would delay that rank if they occupied all slots.
func (s *Scheduler) slow(r Rank) bool {
	if s.slots < 2 {
		return false
	}
	for i := range int(r) {
		moreUrgent := &s.ranks[i]
		if moreUrgent.utilization > activeUtilization && s.ranks[r].serviceTime > slowRatio*moreUrgent.serviceTime {
			return true
		}
	}
	return false
}

// slowRunning returns the number of running requests of slow ranks.
func (s *Scheduler) slowRunning() int {
	n := 0
	for i := range s.ranks {
		if s.ranks[i].running > 0 && s.slow(Rank(i)) {
			n += s.ranks[i].running
		}
	}
	return n
}

// startNow starts a request that has not waited.
func (s *Scheduler) startNow(r Request, now time.Duration, res *Result) {
	it := s.newItem(r)
	s.occupySlot(it, false, now)
	res.Started = append(res.Started, r.ID)
}

// occupySlot marks a request as running and charges its expected service time to the
// floor credit; owed means that this credit started it.
func (s *Scheduler) occupySlot(it *item, owed bool, now time.Duration) {
	st := &s.ranks[it.req.Rank]
	it.running = true
	it.started = now
	it.reserved = st.expectedServiceTime(it.req.Class)
	st.credit -= it.reserved
	s.useShare(&it.req, it.reserved, now)
	// Service by strict priority uses up floor credit but creates no debt: otherwise a
	// rank that has used idle slots would have to wait for its floor later.
	if !owed {
		st.credit = max(st.credit, 0)
	}
	st.running++
	s.running++
	if it.req.Class != 0 {
		s.classed.running++
		s.classed.expected += it.reserved
	}
}

// freeSlot ends a running request.
func (s *Scheduler) freeSlot(it *item) {
	s.ranks[it.req.Rank].running--
	s.running--
	if it.req.Class != 0 {
		s.classed.running--
		s.classed.expected -= it.reserved
	}
	s.recycle(it)
}

// charge replaces the service time that was charged at the start by the actual one.
func (s *Scheduler) charge(it *item, took time.Duration) {
	st := &s.ranks[it.req.Rank]
	st.credit = s.clampCredit(it.req.Rank, st.credit+it.reserved-took)
	if it.flow != nil {
		st.queue.addCorrection(it.req.flowKey(), took-it.reserved)
	}
}

func (s *Scheduler) enqueue(r Request, beyond bool, now time.Duration) {
	it := s.newItem(r)
	it.beyond = beyond
	it.order = r.order(now)
	st := &s.ranks[r.Rank]
	st.queue.push(it, st.expectedServiceTime(r.Class))
	s.shares.addWaiting(&r, 1)
	s.waiting++
}

// removeWaiting removes a waiting request from its queue.
func (s *Scheduler) removeWaiting(it *item) {
	q := s.ranks[it.req.Rank].queue
	q.remove(it)
	q.reclaimFlows()
	s.shares.addWaiting(&it.req, -1)
	s.waiting--
	s.recycle(it)
}

// shed rejects a request of the least urgent rank with waiting requests.
func (s *Scheduler) shed(res *Result) {
	for r := NumRanks - 1; r >= 0; r-- {
		if s.ranks[r].queue.waiting > 0 {
			s.shedFrom(Rank(r), res)
			return
		}
	}
}

// shedFrom rejects the request of a rank that is due last in the workspace, or the newest
// one of the caller, with the most waiting requests for its weight.
func (s *Scheduler) shedFrom(r Rank, res *Result) {
	it := s.ranks[r].queue.lastOfLongestFlow()
	s.ranks[r].recordAdmission(1)
	err := verdict.New(verdict.Overloaded, "queue is full with %d requests", s.waiting)
	res.reject(it.req.ID, err.WithRetryAfter(s.retryDelay(r)))
	s.removeWaiting(it)
}

func (s *Scheduler) newItem(r Request) *item {
	it := &item{}
	if n := len(s.freeItems); n > 0 {
		it, s.freeItems = s.freeItems[n-1], s.freeItems[:n-1]
	}
	s.sequence++
	*it = item{req: r, sequence: s.sequence}
	s.items[r.ID] = it
	return it
}

// maxFreeItems bounds the number of items kept for reuse.
const maxFreeItems = DefaultQueueLimit

// recycle removes a request and keeps its item for reuse.
func (s *Scheduler) recycle(it *item) {
	delete(s.items, it.req.ID)
	*it = item{}
	if len(s.freeItems) < maxFreeItems {
		s.freeItems = append(s.freeItems, it)
	}
}

func (r *Result) reject(id uint64, err *verdict.Error) {
	r.Rejected = append(r.Rejected, Rejection{ID: id, Err: err})
}
