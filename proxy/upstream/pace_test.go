package upstream_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// granted returns how many of 20 urgent statements an upstream lets run at once.
func granted(t *testing.T, u *upstream.Upstream, now func() time.Duration) int {
	t.Helper()
	var running atomic.Int32
	for range 20 {
		go func() {
			if ticket, err := u.Acquire(upstream.Job{Caller: "s", Rank: schedule.Urgent, Deadline: now() + time.Second}, false); err == nil {
				running.Add(1)
				time.Sleep(500 * time.Millisecond)
				running.Add(-1)
				u.Release(ticket, false)
			}
		}()
		synctest.Wait()
	}
	count := int(running.Load())
	time.Sleep(5 * time.Second)
	return count
}

// Guards against a pace that is not applied to the scheduler, that lasts after the
// member has reached full use, or that a change of the quota ends.
func TestPaceLimitsStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		clock := func() time.Duration { return time.Since(began) + time.Hour }
		limits := quota.ForGateway(24, 6, 1)
		u := upstream.New(catalog.Member{ID: "m", Slots: 6}, limits, nil, clock)
		assert.Equal(t, granted(t, u, clock), limits.MaxRunning)
		u.StartPace(upstream.Recovered, true)
		assert.Equal(t, granted(t, u, clock), 1)
		for range 2 {
			assert.Assert(t, !u.RecordPace(true, 1, clock()))
		}
		assert.Equal(t, granted(t, u, clock), 3)
		smaller := quota.ForGateway(24, 4, 1)
		u.Update(catalog.Member{ID: "m", Slots: 4}, smaller)
		assert.Equal(t, granted(t, u, clock), 3)
		u.RecordPace(false, 0, clock())
		assert.Equal(t, granted(t, u, clock), 1)
		for !u.RecordPace(true, 1, clock()) {
		}
		assert.Equal(t, granted(t, u, clock), smaller.MaxRunning)
	})
}
