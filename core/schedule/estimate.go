package schedule

import (
	"math"
	"time"

	"github.com/papayarail/papayarail/core/verdict"
)

const (
	// utilizationWindow is the time constant of the moving mean of each rank's
	// utilization, and the time over which an unused floor accumulates.
	utilizationWindow = time.Second
	// serviceTimeWeight is the weight of one measurement in the moving mean of the
	// service time.
	serviceTimeWeight = 1.0 / 16
	// refusalWeight is the weight of one request in the refused fraction of a rank.
	refusalWeight = 1.0 / 64
	// minAcceptedFraction is the lowest accepted fraction that a retry delay assumes.
	minAcceptedFraction = 1.0 / 4
	// deadlineHeadroom is the fraction of the time to the deadline that the estimated
	// wait of a new request may take. Estimates are means: at a fraction of 1, half of
	// the requests at the limit would be rejected after a long wait.
	deadlineHeadroom = 0.6
	// slowRatio is the ratio of mean service times above which requests of a less
	// urgent rank are slow. With both of two slots open to a tenfold load of the least urgent
	// rank, the 99th percentile of urgent requests rose 1.28-fold if those requests took
	// twice the urgent service time, and 1.76-fold if they took four times as long.
	slowRatio = 2
	// activeUtilization is the fraction of the slots' time above which a rank counts as
	// active.
	activeUtilization = 0.01
	// minShare keeps estimates finite when more urgent ranks take all slots.
	minShare = 0.01
	// minRetryDelay and maxRetryDelay bound the retry delays before jitter.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// drainRetryDelay is the retry delay of requests rejected while draining. Entry
	// instances stop routing to a leaving upstream within 3 s.
	drainRetryDelay = time.Second
)

// rankState is the queue and the accounting of one rank.
type rankState struct {
	measured           bool // a request has completed
	queue              *fairQueue
	running            int
	assumedServiceTime time.Duration                  // service time until one is measured
	serviceTime        time.Duration                  // moving mean of the measured service time
	classes            map[ServiceClass]time.Duration // moving means by class, shared by all ranks
	utilization        float64                        // moving mean of the occupied fraction of the slots' time
	refusedFraction    float64                        // moving mean of the refused fraction of the requests that found no free slot
	credit             time.Duration                  // slot time that the floor still owes to the rank
}

// recordAdmission adds a request to the refused fraction; value is 1 if it was refused
// and 0 if it was queued.
func (st *rankState) recordAdmission(value float64) {
	st.refusedFraction += refusalWeight * (value - st.refusedFraction)
}

// expectedAhead interpolates between the bounds of fairQueue.requestsAhead. While
// requests are refused, callers replace each served request by another one, and the
// number of requests ahead is close to the upper bound.
func (st *rankState) expectedAhead(lower, upper int) int {
	return lower + int(st.refusedFraction*float64(upper-lower))
}

// advance updates the utilization and the floor credit of each rank for the time since
// the last event.
func (s *Scheduler) advance(now time.Duration) {
	elapsed := now - s.lastEvent
	if elapsed <= 0 {
		return
	}
	s.lastEvent = now
	decay := math.Exp(-elapsed.Seconds() / utilizationWindow.Seconds())
	for r := range s.ranks {
		st := &s.ranks[r]
		share := 0.0
		if s.slots > 0 {
			share = min(float64(st.running)/float64(s.slots), 1)
		}
		st.utilization = share + (st.utilization-share)*decay
		earned := time.Duration(s.cfg.Floor[r] * float64(s.slots) * float64(elapsed))
		st.credit = s.clampCredit(Rank(r), st.credit+earned)
		// A rank without waiting requests repays debt but accumulates no credit.
		if st.queue.waiting == 0 {
			st.credit = min(st.credit, 0)
		}
	}
}

// clampCredit bounds the floor credit to one utilizationWindow of the floor. The bound
// is at least one service time, so that a small floor can start a request at all.
func (s *Scheduler) clampCredit(r Rank, credit time.Duration) time.Duration {
	limit := time.Duration(s.cfg.Floor[r] * float64(s.slots) * float64(utilizationWindow))
	if limit > 0 {
		limit = max(limit, s.ranks[r].serviceTime)
	}
	return min(max(credit, -limit), limit)
}

// recordServiceTime charges a completed request and adds it to the mean service time.
func (s *Scheduler) recordServiceTime(it *item, took time.Duration) {
	s.charge(it, took)
	st := &s.ranks[it.req.Rank]
	if class := it.req.Class; class != 0 {
		if mean, known := st.classes[class]; known {
			st.classes[class] = max(movingMean(mean, took), 1)
		} else if len(st.classes) < maxClasses {
			st.classes[class] = max(took, 1)
		}
	}
	st.serviceTime = max(movingMean(st.serviceTime, took), 1)
	st.measured = true
}

// maxClasses bounds the number of classes; further ones have the mean of their rank.
const maxClasses = 256

func movingMean(mean, measured time.Duration) time.Duration {
	return mean + time.Duration(serviceTimeWeight*float64(measured-mean))
}

// expectedServiceTime returns the expected service time of a request of this class.
func (st *rankState) expectedServiceTime(class ServiceClass) time.Duration {
	if mean, known := st.classes[class]; known {
		return mean
	}
	return st.serviceTime
}

// waitingServiceTime returns the mean expected service time of the waiting requests, or
// that of the rank if none waits.
func (st *rankState) waitingServiceTime() time.Duration {
	if len(st.queue.byClass) == 0 {
		return st.serviceTime
	}
	sum, rest := 0.0, st.queue.waiting
	for class, n := range st.queue.byClass {
		sum += float64(n) * float64(st.expectedServiceTime(class))
		rest -= n
	}
	sum += float64(rest) * float64(st.serviceTime)
	return max(time.Duration(sum/float64(st.queue.waiting)), 1)
}

// expectedShare returns the fraction of the slots' time that a rank can expect: the time
// not used by more urgent ranks nor owed to the floors of less urgent ranks with waiting
// requests, and at least its own floor.
func (s *Scheduler) expectedShare(r Rank) float64 {
	left := 1.0
	for i := range s.ranks {
		switch {
		case i < int(r):
			left -= s.ranks[i].utilization
		case i > int(r) && s.ranks[i].queue.waiting > 0:
			left -= s.cfg.Floor[i]
		}
	}
	if s.slow(r) {
		left = min(left, float64(s.slots-1)/float64(s.slots))
	}
	if limit := s.cfg.SlotLimit[r]; limit > 0 && s.slots > 0 {
		left = min(left, float64(limit)/float64(s.slots))
	}
	return max(left, s.cfg.Floor[r], minShare)
}

// estimateWait returns the expected wait of a request of rank r with this many requests
// of its own rank ahead of it, given that all slots are busy.
func (s *Scheduler) estimateWait(r Rank, ahead int) time.Duration {
	if s.slots == 0 {
		return maxRetryDelay
	}
	own := float64(ahead)*float64(s.ranks[r].waitingServiceTime()) + float64(s.timeToFreeSlot(r))
	moreUrgent := 0.0
	for i := range int(r) {
		moreUrgent += float64(s.ranks[i].queue.waiting) * float64(s.ranks[i].waitingServiceTime())
	}
	wait := (own + moreUrgent) / s.expectedShare(r)
	// Requests of more urgent ranks don't delay requests that the floor covers.
	if f := s.cfg.Floor[r]; f > 0 {
		wait = min(wait, own/f)
	}
	return time.Duration(wait / float64(s.slots))
}

// timeToFreeSlot returns the expected service time of the running requests, of which one
// frees its slot on average after this time divided by the number of slots.
func (s *Scheduler) timeToFreeSlot(r Rank) time.Duration {
	if s.classed.running > 0 {
		return s.classed.expected / time.Duration(s.classed.running)
	}
	return s.ranks[r].serviceTime
}

// newCallerWait estimates the wait of a request of a caller without waiting requests.
func (s *Scheduler) newCallerWait(r Rank) time.Duration {
	if s.mayStart(r) {
		return 0
	}
	q := s.ranks[r].queue
	return s.estimateWait(r, min(q.waiting, len(q.byTag)/2))
}

// admissionError returns the reason not to queue a request, or nil.
func (s *Scheduler) admissionError(r Request, now time.Duration) *verdict.Error {
	st := &s.ranks[r.Rank]
	it := item{req: r, order: r.order(now)}
	wait := s.estimateWait(r.Rank, st.expectedAhead(st.queue.requestsAhead(&it, st.waitingServiceTime())))
	if left := r.Deadline - now - st.expectedServiceTime(r.Class); r.Deadline > 0 && wait > time.Duration(deadlineHeadroom*float64(left)) {
		return s.deadlineError(r.Rank)
	}
	if limit := s.cfg.MaxWait[r.Rank]; limit > 0 && wait > limit {
		err := verdict.New(verdict.Overloaded, "estimated wait %s exceeds the limit of %s for rank %s",
			wait.Round(time.Millisecond), limit, r.Rank)
		return err.WithRetryAfter(s.retryDelay(r.Rank))
	}
	return nil
}

func (s *Scheduler) deadlineError(r Rank) *verdict.Error {
	err := verdict.New(verdict.DeadlineUnreachable, "estimated queueing time exceeds the deadline")
	return err.WithRetryAfter(s.retryDelay(r))
}

func (s *Scheduler) drainError() *verdict.Error {
	return verdict.New(verdict.Draining, "upstream is leaving").WithRetryAfter(s.jitter(drainRetryDelay))
}

// timeToAcceptance estimates the time until a retry of a refused request is accepted:
// the time to serve the queue, divided by the accepted fraction, since retries compete
// with new requests. With a shorter time, callers would use up their attempts while a
// burst lasts.
func (s *Scheduler) timeToAcceptance(r Rank) time.Duration {
	st := &s.ranks[r]
	wait := float64(s.estimateWait(r, st.queue.waiting)) / max(1-st.refusedFraction, minAcceptedFraction)
	return min(max(time.Duration(wait), minRetryDelay), maxRetryDelay)
}

func (s *Scheduler) retryDelay(r Rank) time.Duration { return s.jitter(s.timeToAcceptance(r)) }

// jitter returns 1 to 1.5 times d, so that callers that were refused at the same time
// don't retry at the same time.
func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.cfg.Rand.Int64N(int64(d)/2+1))
}

// Load returns the load that the owner advertises to entry instances. A rank counts as
// refused only if the request of a caller without waiting requests would be refused, so
// that the load of one caller doesn't get the requests of others refused.
func (s *Scheduler) Load(now time.Duration) Load {
	s.advance(now)
	var l Load
	for i := range s.ranks {
		r := Rank(i)
		l.Wait[i] = s.newCallerWait(r)
		switch {
		case s.draining:
			l.RefuseFor[i] = drainRetryDelay
		case s.refusesNewCaller(r, l.Wait[i]):
			l.RefuseFor[i] = s.timeToAcceptance(r)
		}
	}
	return l
}

// refusesNewCaller reports whether a request of a caller without waiting requests would
// be refused at this estimated wait.
func (s *Scheduler) refusesNewCaller(r Rank, wait time.Duration) bool {
	if limit := s.cfg.MaxWait[r]; limit > 0 && wait > limit {
		return true
	}
	q := s.ranks[r].queue
	switch {
	case s.mayStart(r):
		return false
	case s.exceedsQueueTime(r, 1):
		return q.byLength[0].waiting <= 1 && q.byLength[0].beyond == 0
	case s.waiting < s.cfg.QueueLimit:
		return false
	}
	for i := int(r) + 1; i < NumRanks; i++ {
		if s.ranks[i].queue.waiting > 0 {
			return false
		}
	}
	return q.waiting == 0 || q.byLength[0].waiting <= 1
}

// exceedsQueueTime reports whether the requests of a rank and of more urgent ranks, with
// this number of further ones of the rank, wait longer than the limit allows. It reports
// false if not more of the rank wait than there are slots.
func (s *Scheduler) exceedsQueueTime(r Rank, further int) bool {
	limit, q := s.cfg.QueueTime[r], s.ranks[r].queue
	waiting := q.waiting + further
	return limit > 0 && waiting > max(s.slots, 1) && s.estimateWait(r, q.afterOvertaking(waiting-1)) > limit
}
