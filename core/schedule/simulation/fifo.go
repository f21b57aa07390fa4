package simulation

import (
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
)

// fifo is the baseline policy: one unbounded queue without ranks, which rejects a request
// only if its deadline has passed when it is to start.
type fifo struct {
	slots   int
	running int
	waiting []schedule.Request
}

func (f *fifo) Submit(r schedule.Request, now time.Duration) schedule.Result {
	f.waiting = append(f.waiting, r)
	return f.startWaiting(now)
}

func (f *fifo) Done(_ uint64, now time.Duration) schedule.Result {
	f.running--
	return f.startWaiting(now)
}

func (f *fifo) Tick(time.Duration) schedule.Result { return schedule.Result{} }

func (f *fifo) startWaiting(now time.Duration) schedule.Result {
	var res schedule.Result
	for f.running < f.slots && len(f.waiting) > 0 {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		if r.Deadline > 0 && now > r.Deadline {
			err := verdict.New(verdict.DeadlineUnreachable, "deadline has passed in the queue")
			res.Rejected = append(res.Rejected, schedule.Rejection{ID: r.ID, Err: err})
			continue
		}
		f.running++
		res.Started = append(res.Started, r.ID)
	}
	return res
}
