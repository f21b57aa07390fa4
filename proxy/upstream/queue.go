package upstream

import (
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
)

// Acquire waits for an execution slot for one statement and returns its ticket, which
// must be passed to Release. The service time is measured from the grant of the slot to
// Release. The error is a *verdict.Error.
func (u *Upstream) Acquire(caller string, rank schedule.Rank, deadline time.Duration) (uint64, error) {
	u.mu.Lock()
	if u.closed {
		u.mu.Unlock()
		return 0, verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	u.lastTicket++
	ticket := u.lastTicket
	ready := make(chan error, 1)
	u.waiting[ticket] = ready
	u.dispatch(u.sched.Submit(schedule.Request{ID: ticket, Caller: caller, Rank: rank, Deadline: deadline}, u.clock()))
	if !u.ticking && len(u.waiting) > 0 {
		u.ticking = true
		time.AfterFunc(deadlineCheckInterval, u.checkDeadlines)
	}
	u.mu.Unlock()
	return ticket, <-ready
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

// checkDeadlines rejects waiting requests whose deadlines can no longer be met, and runs
// again while any wait.
func (u *Upstream) checkDeadlines() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dispatch(u.sched.Tick(u.clock()))
	u.ticking = len(u.waiting) > 0
	if u.ticking {
		time.AfterFunc(deadlineCheckInterval, u.checkDeadlines)
	}
}

// dispatch wakes the requests that the scheduler has started or rejected. u.mu is held.
func (u *Upstream) dispatch(r schedule.Result) {
	for _, id := range r.Started {
		u.wake(id, nil)
	}
	for _, rejected := range r.Rejected {
		u.wake(rejected.ID, rejected.Err)
	}
}

func (u *Upstream) wake(ticket uint64, err error) {
	if ready := u.waiting[ticket]; ready != nil {
		delete(u.waiting, ticket)
		ready <- err
	}
}
