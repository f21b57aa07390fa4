package upstream

import (
	"time"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
)

// PaceCause is why a member is below full use.
type PaceCause string

// Causes of a pace.
const (
	Joined    PaceCause = "joined"
	Restarted PaceCause = "restarted"
	Promoted  PaceCause = "promoted"
	Recovered PaceCause = "recovered"
)

// PaceState is how far a member is below full use.
type PaceState struct {
	Cause PaceCause
	// Limit is the number of statements in flight that this instance allows at present,
	// and Full the number at full use.
	Limit, Full int
	// Since is when the pace began.
	Since time.Duration
}

// StartPace begins to raise the number of statements in flight from a small one,
// according to the member's answers; see core/pace. cold means that the member reports
// that it is slow.
func (u *Upstream) StartPace(cause PaceCause, cold bool) PaceState {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.paceCause = cause
	u.pace.Start(u.limits.MaxRunning, cold, u.clock())
	u.applyLimits()
	return u.paceState()
}

// Pace returns how far the member is below full use, and false if it is not.
func (u *Upstream) Pace() (PaceState, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.paceState(), u.pace.Active()
}

func (u *Upstream) paceState() PaceState {
	return PaceState{Cause: u.paceCause, Limit: u.pace.Limit(u.limits.MaxRunning), Full: u.limits.MaxRunning, Since: u.pace.StartedAt()}
}

// RecordPace applies the answer to a statement that was sent at sentAt to the pace. ratio
// is its service time relative to other members, or 0. finished means that the member has
// reached full use.
func (u *Upstream) RecordPace(good bool, ratio float64, sentAt time.Duration) (finished bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.pace.Active() {
		return false
	}
	before := u.pace.Limit(u.limits.MaxRunning)
	if good {
		finished = u.pace.RecordGood(u.limits.MaxRunning, ratio, sentAt)
	} else {
		u.pace.RecordBad(sentAt, u.clock())
	}
	if finished || u.pace.Limit(u.limits.MaxRunning) != before {
		u.applyLimits()
	}
	return finished
}

// ForgetServiceTimes discards the measured service times, which keep reads away from a
// member that was slow and no longer is.
func (u *Upstream) ForgetServiceTimes() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sched.ResetServiceTimes()
}

// LoadPerSlot returns the number of statements that this instance has in flight for each
// slot of the member.
func (u *Upstream) LoadPerSlot() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return float64(u.sched.Running()) / float64(max(u.member.Slots, 1))
}

// applyLimits passes the quota, reduced to the pace, to the scheduler. u.mu is held.
func (u *Upstream) applyLimits() {
	running, slots := pacedLimits(u.limits, u.pace.Limit(u.limits.MaxRunning))
	u.dispatch(u.sched.SetLimits(running, slots, u.clock()))
}

// pacedLimits reduces the limits of a quota to n statements in flight. A less urgent rank
// leaves one to more urgent ones where its quota does.
func pacedLimits(l quota.Limits, n int) (running int, slots [schedule.NumRanks]int) {
	if n >= l.MaxRunning {
		return l.MaxRunning, l.SlotLimit
	}
	for r, limit := range l.SlotLimit {
		slots[r] = min(limit, n)
		if limit > 0 && limit < l.MaxRunning {
			slots[r] = max(min(limit, n-1), 1)
		}
	}
	return n, slots
}
