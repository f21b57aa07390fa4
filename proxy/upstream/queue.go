package upstream

import (
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
)

const (
	// timedQueueLimit bounds the memory of waiting requests: each takes about 10 KB with its
	// goroutine, so that the queue of a member takes at most 10 MB of an instance with
	// 184 MB. The time that the queue takes is bounded by Profile.QueueTime.
	timedQueueLimit = 1024
	// queueLimit is the number of requests that may wait if QueueTime sets no limit.
	queueLimit = 32
	// defaultServiceTime is the expected service time of a rank without routes until there
	// are measurements.
	defaultServiceTime = 10 * time.Millisecond
	// objectiveFraction is the fraction of an objective that the queue may take. The waits
	// of requests of unequal workspaces and callers spread up to three times around it: with
	// 0.6, 70% to 84% of an overloaded kind were answered within the objective, with 0.3,
	// 83% to 89%, and as many were refused (docs/design/order.md).
	objectiveFraction = 0.3
	// serviceFraction is the assumed fraction of an objective that the service takes before
	// there are measurements: 1/25 to 1/120 on the deployments of
	// docs/design/workspaces-and-load.md.
	serviceFraction = 1.0 / 40
)

// Profile holds what the routes of a service tell about its queues.
type Profile struct {
	// QueueTime is the longest time that the queue of a rank may take; 0 sets no limit. It
	// is used where callers have workspaces: the queue is shared by all of them, and
	// the one that exceeds its part is refused first.
	QueueTime [schedule.NumRanks]time.Duration
	// ServiceTime is the expected service time of a rank until one is measured; 0 means
	// that it is unknown.
	ServiceTime [schedule.NumRanks]time.Duration
}

// Add includes a route in the profile of its service. timed bounds the queue by the time
// that it takes instead of by a number of requests.
func (p *Profile) Add(r catalog.Route, timed bool) {
	objective := r.Objective
	if objective <= 0 {
		objective = r.Timeout
	}
	rank := Rank(r)
	if timed {
		p.QueueTime[rank] = max(p.QueueTime[rank], time.Duration(objectiveFraction*float64(objective)))
	}
	if expected := time.Duration(serviceFraction * float64(objective)); p.ServiceTime[rank] == 0 || expected < p.ServiceTime[rank] {
		p.ServiceTime[rank] = expected
	}
}

// Rank returns the scheduling rank of a route's operations.
func Rank(r catalog.Route) schedule.Rank {
	return schedule.Rank(min(max(r.Priority, 0), schedule.NumRanks-1))
}

// SetProfile applies the profile of the service's routes.
func (u *Upstream) SetProfile(p Profile) {
	u.mu.Lock()
	defer u.mu.Unlock()
	limit := timedQueueLimit
	if p.QueueTime == [schedule.NumRanks]time.Duration{} {
		limit = queueLimit
	}
	u.sched.SetQueueLimits(limit, p.QueueTime)
	for r, expected := range p.ServiceTime {
		if expected > 0 {
			u.sched.ExpectServiceTime(schedule.Rank(r), expected)
		}
	}
}

// MeasuredServiceTime returns the mean service time of a rank, or 0 if none was measured.
func (u *Upstream) MeasuredServiceTime(r schedule.Rank) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sched.MeasuredServiceTime(r)
}

// QueueMetrics receives what happens to requests in the queue of a member. All labels come
// from fixed sets.
type QueueMetrics interface {
	// QueueWait records the wait of a request that was started.
	QueueWait(r schedule.Rank, waited time.Duration)
	// CountQueueRefusal counts a request that the queue refused, by the code of the refusal.
	CountQueueRefusal(r schedule.Rank, cause verdict.Code)
	// CountCancelled counts a request whose caller disconnected, by the stage that it had
	// reached. It was not executed.
	CountCancelled(s Stage)
}

// Stage is where a request was when its caller had disconnected.
type Stage string

// The stages of a request.
const (
	StageEntry Stage = "entry" // before an attempt, at the instance of the caller
	StageQueue Stage = "queue" // in the queue of a member
	StagePool  Stage = "pool"  // with a slot, waiting for a connection
)

// noQueueMetrics is a QueueMetrics that ignores all calls.
type noQueueMetrics struct{}

// QueueWait implements QueueMetrics.
func (noQueueMetrics) QueueWait(schedule.Rank, time.Duration) {}

// CountQueueRefusal implements QueueMetrics.
func (noQueueMetrics) CountQueueRefusal(schedule.Rank, verdict.Code) {}

// CountCancelled implements QueueMetrics.
func (noQueueMetrics) CountCancelled(Stage) {}

// SetQueueMetrics sets what receives the metrics of the queue. It must be called before
// the Upstream is used; nil selects none.
func (u *Upstream) SetQueueMetrics(m QueueMetrics) {
	if m != nil {
		u.metrics = m
	}
}

// waiter is a request that waits for an execution slot.
type waiter struct {
	ready chan error // receives nil once the statement may run
	gone  func() bool
	rank  schedule.Rank
	since time.Duration
}

// ErrCancelled returns the error of a request whose caller disconnected before it was
// sent.
func ErrCancelled() error {
	return verdict.New(verdict.Cancelled, "the caller has disconnected")
}

// CheckCaller returns ErrCancelled, and counts the request, if its caller has
// disconnected.
func (u *Upstream) CheckCaller(j Job, s Stage) error {
	if j.Gone == nil || !j.Gone() {
		return nil
	}
	u.metrics.CountCancelled(s)
	return ErrCancelled()
}

// Acquire waits for an execution slot for one statement and returns its ticket, which
// must be passed to Release. inTransaction means that the statement belongs to an open
// transaction. The service time is measured from the grant of the slot to Release. The
// error is a *verdict.Error; the request leaves the queue within deadlineCheckInterval
// after its caller has disconnected.
func (u *Upstream) Acquire(j Job, inTransaction bool) (uint64, error) {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return 0, verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	u.lastTicket++
	ticket := u.lastTicket
	w := &waiter{ready: make(chan error, 1), gone: j.Gone, rank: j.Rank, since: u.clock()}
	u.waiting[ticket] = w
	u.dispatch(u.sched.Submit(schedule.Request{ID: ticket, Caller: j.Caller, Workspace: j.Workspace, Weight: j.Weight, Rank: j.Rank,
		Class: j.Class, Due: j.Due, InTransaction: inTransaction, Deadline: j.Deadline}, w.since))
	if !u.ticking && len(u.waiting) > 0 {
		u.ticking = true
		time.AfterFunc(deadlineCheckInterval, u.checkWaiting)
	}
	u.mu.Unlock()
	return ticket, <-w.ready
}

// Release frees an execution slot. measured is false if the time since Acquire is not a
// service time of the member.
func (u *Upstream) Release(ticket uint64, measured bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if measured {
		u.dispatch(u.sched.Done(ticket, u.clock()))
	} else {
		u.dispatch(u.sched.Cancel(ticket, u.clock()))
	}
}

// checkWaiting removes the waiting requests of callers that have disconnected, rejects
// those whose deadlines can no longer be met, and runs again while any wait.
func (u *Upstream) checkWaiting() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for ticket, w := range u.waiting {
		if w.gone == nil || !w.gone() {
			continue
		}
		u.metrics.CountCancelled(StageQueue)
		delete(u.waiting, ticket)
		w.ready <- ErrCancelled()
		u.dispatch(u.sched.Cancel(ticket, u.clock()))
	}
	u.dispatch(u.sched.Tick(u.clock()))
	u.ticking = len(u.waiting) > 0
	if u.ticking {
		time.AfterFunc(deadlineCheckInterval, u.checkWaiting)
	}
}

// dispatch wakes the requests that the scheduler has started or rejected. u.mu is held.
func (u *Upstream) dispatch(r schedule.Result) {
	for _, id := range r.Started {
		if w := u.waiting[id]; w != nil {
			delete(u.waiting, id)
			u.metrics.QueueWait(w.rank, u.clock()-w.since)
			w.ready <- nil
		}
	}
	for _, rejected := range r.Rejected {
		if w := u.waiting[rejected.ID]; w != nil {
			delete(u.waiting, rejected.ID)
			u.metrics.CountQueueRefusal(w.rank, rejected.Err.Code)
			w.ready <- rejected.Err
		}
	}
}

// receive waits for a value until the limit, or until gone, if it is not nil, reports that
// the caller has disconnected.
func receive[T any](from <-chan T, limit time.Duration, gone func() bool) (v T, ok bool) {
	timer := time.NewTimer(max(limit, 0))
	defer timer.Stop()
	var check <-chan time.Time
	if gone != nil {
		ticker := time.NewTicker(deadlineCheckInterval)
		defer ticker.Stop()
		check = ticker.C
	}
	for {
		select {
		case v = <-from:
			return v, true
		case <-timer.C:
			return v, false
		case <-check:
			if gone() {
				return v, false
			}
		}
	}
}

// QueueLoad returns the expected queueing time of another request of each rank, and for
// how long the queue refuses requests of callers or workspaces that have none waiting.
func (u *Upstream) QueueLoad() schedule.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.sched.Load(u.clock())
	for r := range l.Wait {
		l.Wait[r] = u.waitLocked(schedule.Rank(r))
	}
	return l
}

// waitLocked returns the expected queueing time of another request. u.mu is held.
func (u *Upstream) waitLocked(r schedule.Rank) time.Duration {
	ahead := time.Duration(u.sched.Running()) * u.sched.ServiceTime(r)
	for i := range r + 1 {
		ahead += time.Duration(u.sched.Waiting(i)) * u.sched.ServiceTime(i)
	}
	// The member executes as many statements in parallel as it has slots, or as its pace
	// allows.
	parallel := max(u.member.Slots, 1)
	if u.pace.Active() {
		parallel = min(parallel, u.pace.Limit(u.limits.MaxRunning))
	}
	return ahead / time.Duration(parallel)
}
