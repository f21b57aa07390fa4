package schedule

import (
	"math"
	"time"

	"github.com/papayarail/papayarail/core/verdict"
)

const (
	// usageWindow is the time constant of the measured share of each rank, and
	// the time over which an unused floor accumulates.
	usageWindow = time.Second
	// serviceWeight is the weight of one measurement in the mean service time.
	serviceWeight = 1.0 / 16
	// refusedWeight is the weight of one request in the refused part of a rank.
	refusedWeight = 1.0 / 64
	// minAccepted bounds the accepted part that the time to come back assumes.
	minAccepted = 1.0 / 4
	// headroom is the part of the time to the deadline that the estimated wait
	// of a new request may take. Estimates are means: without headroom, half of
	// the requests at the limit would be refused again after a long wait.
	headroom = 0.6
	// slowRatio is the ratio of mean service times from which requests of a
	// lower rank are slow. With two slots both open to a flood of lookups, the
	// urgent 99th percentile was 1.28 times its quiet value if lookups took
	// twice the urgent service time, and 1.76 times if they took four times.
	slowRatio = 2
	// activeUsage is the share of the slots' time from which a rank counts as active.
	activeUsage = 0.01
	// minShare keeps estimates finite when higher ranks take all slots.
	minShare = 0.01
	// minRetryDelay and maxRetryDelay bound the retry delays before jitter.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// drainRetryDelay is sent while draining: after 3 s, entries no longer
	// route to an upstream that is leaving.
	drainRetryDelay = time.Second
)

// rankState is the accounting of one rank.
type rankState struct {
	queue   *fairQueue
	running int
	service time.Duration // moving mean of the measured service time
	usage   float64       // moving mean of the share of the slots' time in use
	refused float64       // moving mean of the refused part of the requests that found no free slot
	credit  time.Duration // floor time owed to the rank
}

// countRefused records the fate of a request: 1 if it was refused, 0 if it waits.
func (st *rankState) countRefused(value float64) {
	st.refused += refusedWeight * (value - st.refused)
}

// expectedAhead interpolates between the bounds of fairQueue.ahead. While
// requests are refused, callers replace what they have waiting, and the
// requests ahead are close to the upper bound.
func (st *rankState) expectedAhead(least, most int) int {
	return least + int(st.refused*float64(most-least))
}

// advance accounts for the time since the last event.
func (s *Scheduler) advance(now time.Duration) {
	elapsed := now - s.last
	if elapsed <= 0 {
		return
	}
	s.last = now
	keep := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	for r := range s.ranks {
		st := &s.ranks[r]
		share := 0.0
		if s.slots > 0 {
			share = min(float64(st.running)/float64(s.slots), 1)
		}
		st.usage = share + (st.usage-share)*keep
		earned := time.Duration(s.cfg.Floor[r] * float64(s.slots) * float64(elapsed))
		st.credit = s.clampCredit(Rank(r), st.credit+earned)
		// A rank without waiting requests repays debt but saves nothing up.
		if st.queue.waiting == 0 {
			st.credit = min(st.credit, 0)
		}
	}
}

// clampCredit bounds the floor credit to one window, and to no less than one
// request so that a small floor can start one at all.
func (s *Scheduler) clampCredit(r Rank, credit time.Duration) time.Duration {
	limit := time.Duration(s.cfg.Floor[r] * float64(s.slots) * float64(usageWindow))
	if limit > 0 {
		limit = max(limit, s.ranks[r].service)
	}
	return min(max(credit, -limit), limit)
}

// measure records the service time of a completed request.
func (s *Scheduler) measure(it *item, took time.Duration) {
	s.charge(it, took)
	st := &s.ranks[it.req.Rank]
	st.service += time.Duration(serviceWeight * float64(took-st.service))
	st.service = max(st.service, 1)
}

// share returns the part of the slots' time that a rank can expect: what higher
// ranks leave after the floors of lower ranks that wait, and at least its own floor.
func (s *Scheduler) share(r Rank) float64 {
	left := 1.0
	for i := range s.ranks {
		switch {
		case i < int(r):
			left -= s.ranks[i].usage
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

// estimate returns the wait of a request of rank r that has this many requests
// of its own rank ahead of it, given that all slots are busy.
func (s *Scheduler) estimate(r Rank, ahead int) time.Duration {
	if s.slots == 0 {
		return maxRetryDelay
	}
	own := float64(ahead+1) * float64(s.ranks[r].service)
	higher := 0.0
	for i := range int(r) {
		higher += float64(s.ranks[i].queue.waiting) * float64(s.ranks[i].service)
	}
	wait := (own + higher) / s.share(r)
	// Requests of higher ranks don't delay what the floor pays for.
	if f := s.cfg.Floor[r]; f > 0 {
		wait = min(wait, own/f)
	}
	return time.Duration(wait / float64(s.slots))
}

// newcomerWait estimates the wait of a request of a caller that has none waiting.
func (s *Scheduler) newcomerWait(r Rank) time.Duration {
	if s.mayStart(r) {
		return 0
	}
	q := s.ranks[r].queue
	return s.estimate(r, min(q.waiting, len(q.byTag)/2))
}

// refusal returns the reason not to queue a request, or nil.
func (s *Scheduler) refusal(r Request, now time.Duration) *verdict.Error {
	st := &s.ranks[r.Rank]
	wait := s.estimate(r.Rank, st.expectedAhead(st.queue.ahead(r.Caller, st.service)))
	if left := r.Deadline - now - st.service; r.Deadline > 0 && wait > time.Duration(headroom*float64(left)) {
		return s.unreachable(r.Rank)
	}
	if limit := s.cfg.MaxWait[r.Rank]; limit > 0 && wait > limit {
		err := verdict.New(verdict.Overloaded, "estimated wait %s exceeds the limit of %s for rank %s",
			wait.Round(time.Millisecond), limit, r.Rank)
		return err.WithRetryAfter(s.retryDelay(r.Rank))
	}
	return nil
}

func (s *Scheduler) unreachable(r Rank) *verdict.Error {
	err := verdict.New(verdict.DeadlineUnreachable, "estimated queueing time exceeds the deadline")
	return err.WithRetryAfter(s.retryDelay(r))
}

func (s *Scheduler) drainError() *verdict.Error {
	return verdict.New(verdict.Draining, "upstream is leaving").WithRetryAfter(s.jitter(drainRetryDelay))
}

// room estimates the time until a request that comes back is accepted. Until the
// queue has been served it is still full; and while a part of all requests is
// refused, callers come back to compete with new ones, so that the more are
// refused, the later they come back. A shorter time would use up the attempts of
// callers while a burst lasts.
func (s *Scheduler) room(r Rank) time.Duration {
	st := &s.ranks[r]
	wait := float64(s.estimate(r, st.queue.waiting)) / max(1-st.refused, minAccepted)
	return min(max(time.Duration(wait), minRetryDelay), maxRetryDelay)
}

func (s *Scheduler) retryDelay(r Rank) time.Duration { return s.jitter(s.room(r)) }

// jitter spreads d over 1 to 1.5 times its value, so that callers which were
// refused together don't come back together.
func (s *Scheduler) jitter(d time.Duration) time.Duration {
	return d + time.Duration(s.cfg.Rand.Int64N(int64(d)/2+1))
}

// Load returns what the owner advertises to entry instances. A rank is refused
// only when even a caller with nothing waiting would be refused, so that one
// caller's flood doesn't close the rank to the others.
func (s *Scheduler) Load(now time.Duration) Load {
	s.advance(now)
	var l Load
	for i := range s.ranks {
		r := Rank(i)
		l.Wait[i] = s.newcomerWait(r)
		switch {
		case s.draining:
			l.RefuseFor[i] = drainRetryDelay
		case s.refusesNewcomer(r, l.Wait[i]):
			l.RefuseFor[i] = s.room(r)
		}
	}
	return l
}

func (s *Scheduler) refusesNewcomer(r Rank, wait time.Duration) bool {
	if limit := s.cfg.MaxWait[r]; limit > 0 && wait > limit {
		return true
	}
	if s.waiting < s.cfg.QueueLimit || s.mayStart(r) {
		return false
	}
	for i := int(r) + 1; i < NumRanks; i++ {
		if s.ranks[i].queue.waiting > 0 {
			return false
		}
	}
	q := s.ranks[r].queue
	return q.waiting == 0 || q.byLength[0].waiting <= 1
}
