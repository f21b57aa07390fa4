package schedule

import (
	"time"

	"github.com/papayarail/papayarail/core/verdict"
)

// Scheduler distributes the slots of one upstream. It is not safe for
// concurrent use.
//
// Invariants: at most slots requests run, except after SetSlots has lowered the
// number; a request waits only while no slot is free that its rank may take; at
// most QueueLimit requests wait; every submitted request is started or rejected exactly once,
// unless it is cancelled first.
type Scheduler struct {
	cfg      Config
	slots    int
	running  int
	waiting  int
	draining bool
	order    uint64
	items    map[uint64]*item
	spare    []*item
	ranks    [NumRanks]rankState
	last     time.Duration
}

// New returns a Scheduler without work.
func New(cfg Config) *Scheduler {
	cfg = cfg.withDefaults()
	s := &Scheduler{cfg: cfg, slots: cfg.Slots, items: make(map[uint64]*item)}
	for r := range s.ranks {
		s.ranks[r].queue = newFairQueue()
		s.ranks[r].service = cfg.InitialServiceTime
	}
	return s
}

// Submit adds a request. The request is started, rejected or kept waiting; a
// request that waits appears in the result of a later event. A full queue may
// reject another, less urgent request in place of this one. A second request
// with an ID in use is ignored.
func (s *Scheduler) Submit(r Request, now time.Duration) Result {
	var res Result
	s.advance(now)
	if s.items[r.ID] != nil {
		return res
	}
	r.Rank = min(r.Rank, NumRanks-1)
	if s.draining {
		res.reject(r.ID, s.drainError())
		return res
	}
	s.fill(now, &res)
	if s.mayStart(r.Rank) {
		s.startNow(r, now, &res)
		return res
	}
	if err := s.refusal(r, now); err != nil {
		s.ranks[r.Rank].countRefused(1)
		res.reject(r.ID, err)
		return res
	}
	s.ranks[r.Rank].countRefused(0)
	s.enqueue(r)
	if s.waiting > s.cfg.QueueLimit {
		s.shed(&res)
	}
	return res
}

// Done reports that a request has left its slot and measures its service time.
func (s *Scheduler) Done(id uint64, now time.Duration) Result {
	var res Result
	s.advance(now)
	it := s.items[id]
	if it != nil && it.running {
		s.measure(it, now-it.started)
		s.leave(it)
	}
	s.fill(now, &res)
	return res
}

// Cancel removes a request that waits or runs. The time that a cancelled
// request ran is charged but not taken as a measurement of the service time.
func (s *Scheduler) Cancel(id uint64, now time.Duration) Result {
	var res Result
	s.advance(now)
	it := s.items[id]
	switch {
	case it == nil:
	case it.running:
		s.charge(it, now-it.started)
		s.leave(it)
	default:
		s.drop(it)
	}
	s.fill(now, &res)
	return res
}

// Tick rejects waiting requests whose deadline can no longer be met. Adapters
// call it every few milliseconds while requests wait.
func (s *Scheduler) Tick(now time.Duration) Result {
	var res Result
	s.advance(now)
	var late []*item
	for r := range s.ranks {
		rank, st := Rank(r), &s.ranks[r]
		st.queue.each(st.service, func(it *item, least, most int) {
			wait := s.estimate(rank, st.expectedAhead(least, most))
			if d := it.req.Deadline; d > 0 && now+wait+st.service > d {
				late = append(late, it)
			}
		})
	}
	for _, it := range late {
		err := s.unreachable(it.req.Rank)
		res.reject(it.req.ID, err)
		s.drop(it)
	}
	s.fill(now, &res)
	return res
}

// SetSlots changes the number of slots. Running requests are not interrupted.
func (s *Scheduler) SetSlots(n int, now time.Duration) Result {
	return s.SetLimits(n, s.cfg.SlotLimit, now)
}

// SetLimits changes the number of slots and the limits of the ranks.
func (s *Scheduler) SetLimits(n int, limit [NumRanks]int, now time.Duration) Result {
	var res Result
	s.advance(now)
	s.slots, s.cfg.SlotLimit = max(n, 0), limit
	s.fill(now, &res)
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
			s.drop(it)
		}
	}
	return res
}

// Running returns the number of requests in slots.
func (s *Scheduler) Running() int { return s.running }

// Waiting returns the number of waiting requests of a rank.
func (s *Scheduler) Waiting(r Rank) int { return s.ranks[r].queue.waiting }

// ServiceTime returns the measured mean service time of a rank.
func (s *Scheduler) ServiceTime(r Rank) time.Duration { return s.ranks[r].service }

// fill starts waiting requests while slots are free.
func (s *Scheduler) fill(now time.Duration, res *Result) {
	for s.running < s.slots && s.waiting > 0 {
		r, owed, ok := s.nextRank()
		if !ok {
			return
		}
		st := &s.ranks[r]
		it := st.queue.pop(st.service)
		s.waiting--
		s.run(it, owed, now)
		res.Started = append(res.Started, it.req.ID)
	}
}

// nextRank returns the rank to serve: a lower rank that is owed a whole request
// of its floor, or else the most urgent rank with waiting requests. ok is false
// if none of the waiting requests may take a slot.
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
		if st.credit > 0 && st.credit >= st.service {
			return Rank(i), true, true
		}
	}
	return r, false, ok
}

// mayStart reports whether a request of the rank may take a slot now. Slow
// requests leave one slot to the others.
func (s *Scheduler) mayStart(r Rank) bool {
	return s.running < s.slots && s.belowLimits(r) && (s.slowRunning() < s.slots-1 || !s.slow(r))
}

// belowLimits reports whether another request of the rank keeps its limit and
// those of more urgent ranks.
func (s *Scheduler) belowLimits(r Rank) bool {
	running := 0
	for i := NumRanks - 1; i >= 0; i-- {
		running += s.ranks[i].running
		if limit := s.cfg.SlotLimit[i]; i <= int(r) && limit > 0 && running >= limit {
			return false
		}
	}
	return true
}

// slow reports whether requests of the rank occupy a slot so much longer than
// those of an active higher rank that these would wait past their usual time if
// all slots were taken.
func (s *Scheduler) slow(r Rank) bool {
	if s.slots < 2 {
		return false
	}
	for i := range int(r) {
		higher := &s.ranks[i]
		if higher.usage > activeUsage && s.ranks[r].service > slowRatio*higher.service {
			return true
		}
	}
	return false
}

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
	s.run(it, false, now)
	res.Started = append(res.Started, r.ID)
}

func (s *Scheduler) run(it *item, owed bool, now time.Duration) {
	st := &s.ranks[it.req.Rank]
	it.running = true
	it.started = now
	it.reserved = st.service
	st.credit -= st.service
	// Service by strict priority counts towards the floor but leaves no debt:
	// otherwise a rank that has used idle slots would wait for its floor later.
	if !owed {
		st.credit = max(st.credit, 0)
	}
	st.running++
	s.running++
}

// leave frees the slot of a running request.
func (s *Scheduler) leave(it *item) {
	s.ranks[it.req.Rank].running--
	s.running--
	s.release(it)
}

// charge replaces the reserved by the real service time.
func (s *Scheduler) charge(it *item, took time.Duration) {
	st := &s.ranks[it.req.Rank]
	st.credit = s.clampCredit(it.req.Rank, st.credit+it.reserved-took)
	if it.flow != nil {
		st.queue.correct(it.req.Caller, took-it.reserved)
	}
}

func (s *Scheduler) enqueue(r Request) {
	s.ranks[r.Rank].queue.push(s.newItem(r))
	s.waiting++
}

// drop removes a waiting request.
func (s *Scheduler) drop(it *item) {
	q := s.ranks[it.req.Rank].queue
	q.remove(it)
	q.reclaim()
	s.waiting--
	s.release(it)
}

// shed rejects the newest request of the least urgent waiting rank and, inside
// that rank, of the caller with most waiting.
func (s *Scheduler) shed(res *Result) {
	for r := NumRanks - 1; r >= 0; r-- {
		q := s.ranks[r].queue
		if q.waiting == 0 {
			continue
		}
		it := q.newestOfLongest()
		s.ranks[r].countRefused(1)
		err := verdict.New(verdict.Overloaded, "queue of %d requests is full", s.cfg.QueueLimit)
		res.reject(it.req.ID, err.WithRetryAfter(s.retryDelay(Rank(r))))
		s.drop(it)
		return
	}
}

func (s *Scheduler) newItem(r Request) *item {
	it := &item{}
	if n := len(s.spare); n > 0 {
		it, s.spare = s.spare[n-1], s.spare[:n-1]
	}
	s.order++
	*it = item{req: r, order: s.order}
	s.items[r.ID] = it
	return it
}

func (s *Scheduler) release(it *item) {
	delete(s.items, it.req.ID)
	*it = item{}
	if len(s.spare) < s.cfg.QueueLimit {
		s.spare = append(s.spare, it)
	}
}

func (r *Result) reject(id uint64, err *verdict.Error) {
	r.Rejected = append(r.Rejected, Rejection{ID: id, Err: err})
}
