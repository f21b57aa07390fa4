//go:build !race

// See proxy/node/simulated_test.go for why these tests do not build under the race detector.

package upstream

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
)

const ms = time.Millisecond

func newQueue(slots int) *Upstream {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) + time.Hour }
	return New(catalog.Member{ID: "m", Slots: slots}, quota.Limits{MaxRunning: slots}, nil, clock)
}

type countedMetrics struct {
	cancelled, started, refused atomic.Int64
}

func (m *countedMetrics) CountCancelled(Stage)                          { m.cancelled.Add(1) }
func (m *countedMetrics) QueueWait(schedule.Rank, time.Duration)        { m.started.Add(1) }
func (m *countedMetrics) CountQueueRefusal(schedule.Rank, verdict.Code) { m.refused.Add(1) }

// Guards against a waiting request that stays in the queue after its caller has
// disconnected, that is counted as started, or whose slot is lost; and against one that is
// cancelled although it holds a slot.
func TestRequestOfDepartedCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u, m := newQueue(1), &countedMetrics{}
		u.SetQueueMetrics(m)
		var gone atomic.Bool
		running, err := u.Acquire(Job{Gone: gone.Load}, false)
		assert.NilError(t, err)
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := u.Acquire(Job{Gone: gone.Load, Rank: schedule.Least}, false)
				errs <- err
			}()
		}
		time.Sleep(time.Second)
		left := time.Now()
		gone.Store(true)
		for range 2 {
			assert.Equal(t, verdict.FromError(<-errs).Code, verdict.Cancelled)
		}
		assert.Assert(t, time.Since(left) <= 50*ms)
		u.Release(running, true)
		assert.Equal(t, m.cancelled.Load(), int64(2))
		assert.Equal(t, m.started.Load(), int64(1))
		_, err = u.Acquire(Job{}, false)
		assert.NilError(t, err)
	})
}

// Guards against a queue whose length does not follow what its content takes, and against
// service times that are unknown at a new member although the routes tell them.
func TestQueueTimeFollowsRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p Profile
		p.Add(catalog.Route{Priority: 2, Objective: 1500 * ms, Timeout: 3 * time.Second}, true)
		p.Add(catalog.Route{Priority: 2, Objective: 400 * ms, Timeout: time.Second}, true)
		p.Add(catalog.Route{Priority: 0, Timeout: time.Second}, true)
		assert.Equal(t, p.QueueTime, [schedule.NumRanks]time.Duration{300 * ms, 0, 450 * ms})
		assert.Equal(t, p.ServiceTime, [schedule.NumRanks]time.Duration{25 * ms, 0, 10 * ms})
		for _, took := range []time.Duration{5 * ms, 50 * ms} {
			u, m := newQueue(2), &countedMetrics{}
			u.SetQueueMetrics(m)
			u.SetProfile(p)
			for range 100 {
				ticket, err := u.Acquire(Job{Rank: schedule.Least}, false)
				assert.NilError(t, err)
				time.Sleep(took)
				u.Release(ticket, true)
			}
			var wait sync.WaitGroup
			for range 600 {
				wait.Go(func() { _, _ = u.Acquire(Job{Rank: schedule.Least}, false) }) // closed below
			}
			synctest.Wait()
			waiting := int64(450 * ms / took * 2)
			assert.Assert(t, m.refused.Load() >= 598-waiting-2 && m.refused.Load() <= 598-waiting+2, "%d refused", m.refused.Load())
			u.Close()
			wait.Wait()
		}
	})
}

// Guards against statements of different kinds in one rank that share one estimate, and
// against due times or workspaces that do not reach the scheduler.
func TestAcquirePassesTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newQueue(1)
		running, err := u.Acquire(Job{}, false)
		assert.NilError(t, err)
		order := make(chan string, 4)
		for _, j := range []Job{
			{Caller: "late", Workspace: "w", Weight: 2, Due: u.clock() + 1500*ms, Class: 1},
			{Caller: "early", Workspace: "w", Weight: 2, Due: u.clock() + 250*ms, Class: 2},
		} {
			go func() {
				ticket, err := u.Acquire(j, false)
				if err == nil {
					order <- j.Caller
					time.Sleep(10 * ms)
					u.Release(ticket, true)
				}
			}()
			synctest.Wait()
		}
		u.Release(running, true)
		assert.Equal(t, <-order, "early")
		assert.Equal(t, <-order, "late")
		time.Sleep(time.Second)
	})
}

// oneConn is a Dialer whose connections stay open.
type oneConn struct{}

func (oneConn) Dial(statement.Target, time.Duration) (statement.Conn, error) { return aliveConn{}, nil }

type aliveConn struct{ statement.Conn }

func (aliveConn) Alive() bool { return true }

func (aliveConn) Close() {}

// Guards against a disconnected caller that keeps waiting for a connection of the pool, or
// that receives the connection instead of the next caller.
func TestDepartedCallerLeavesPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, m := time.Now(), &countedMetrics{}
		clock := func() time.Duration { return time.Since(start) + time.Hour }
		u := New(catalog.Member{ID: "m", Slots: 2}, quota.Limits{MaxRunning: 3, MaxOpen: 1, MaxIdle: 1}, oneConn{}, clock)
		u.SetQueueMetrics(m)
		conn, err := u.Checkout("", nil, time.Second, nil)
		assert.NilError(t, err)
		var gone atomic.Bool
		time.AfterFunc(100*ms, func() { gone.Store(true) })
		_, err = u.Checkout("", nil, time.Second, gone.Load)
		assert.Equal(t, verdict.FromError(err).Code, verdict.Cancelled)
		assert.Assert(t, time.Since(start) <= 150*ms, "%s", time.Since(start))
		assert.Equal(t, m.cancelled.Load(), int64(1))
		u.Return(conn)
		_, err = u.Checkout("", nil, time.Second, nil)
		assert.NilError(t, err)
	})
}

// Guards against a disconnected caller that keeps waiting to begin a transaction, or that
// takes the place of the next caller.
func TestDepartedCallerLeavesTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, m := time.Now(), &countedMetrics{}
		clock := func() time.Duration { return time.Since(start) + time.Hour }
		u := New(catalog.Member{ID: "m", Slots: 2}, quota.Limits{MaxRunning: 3, MaxOpen: 1, MaxIdle: 1, ByWorkspace: true}, oneConn{}, clock)
		u.SetQueueMetrics(m)
		assert.NilError(t, u.BeginTransaction("w", 2*time.Hour, nil))
		var gone atomic.Bool
		time.AfterFunc(100*ms, func() { gone.Store(true) })
		err := u.BeginTransaction("w", 2*time.Hour, gone.Load)
		assert.Equal(t, verdict.FromError(err).Code, verdict.Cancelled)
		assert.Assert(t, time.Since(start) <= 150*ms, "%s", time.Since(start))
		assert.Equal(t, m.cancelled.Load(), int64(1))
		u.EndTransaction("w")
		assert.NilError(t, u.BeginTransaction("w", 2*time.Hour, nil))
	})
}

// Guards against reads that are drawn to a member below full use: its expected wait must
// count the statements that the pace allows instead of the slots, also in the report of a
// gateway.
func TestExpectedWaitCountsThePace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newQueue(6)
		_, err := u.Acquire(Job{}, false)
		assert.NilError(t, err)
		full, _, _ := u.Load(schedule.Urgent)
		u.StartPace(Recovered, true)
		paced, _, _ := u.Load(schedule.Urgent)
		assert.Equal(t, paced/6, full)
		assert.Equal(t, u.QueueLoad().Wait[schedule.Urgent], paced)
	})
}

// Guards against a member that returns and stays unused: the service times of classes must
// be forgotten as well as those of ranks, and what the routes tell must apply again.
func TestForgottenServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newQueue(1)
		u.SetProfile(Profile{ServiceTime: [schedule.NumRanks]time.Duration{schedule.Least: 30 * ms}})
		j := Job{Rank: schedule.Least, Class: 7}
		for range 100 {
			ticket, err := u.Acquire(j, false)
			assert.NilError(t, err)
			time.Sleep(500 * ms)
			u.Release(ticket, true)
		}
		u.ForgetServiceTimes()
		_, service, _ := u.Load(schedule.Least)
		assert.Equal(t, service, 30*ms)
		assert.Equal(t, u.MeasuredServiceTime(schedule.Least), time.Duration(0))
		ticket, err := u.Acquire(j, false)
		assert.NilError(t, err)
		go func() {
			if second, err := u.Acquire(j, false); err == nil {
				u.Release(second, false)
			}
		}()
		synctest.Wait()
		wait, _, _ := u.Load(schedule.Least)
		assert.Equal(t, wait, 60*ms)
		// The deadline can be met unless the class still counts as slow.
		third := j
		third.Deadline = u.clock() + 300*ms
		done := make(chan error, 1)
		go func() {
			second, err := u.Acquire(third, false)
			if err == nil {
				u.Release(second, false)
			}
			done <- err
		}()
		time.Sleep(50 * ms)
		u.Release(ticket, false)
		assert.NilError(t, <-done)
	})
}

// Guards against a queue bounded by time where callers have no workspaces: 30 ms of queue
// refused reads of 60 callers that a queue of 32 requests serves in time.
func TestQueueOfRequestsWithoutWorkspaces(t *testing.T) {
	var p Profile
	p.Add(catalog.Route{Priority: 1, Objective: 100 * ms, Timeout: time.Second}, false)
	assert.Equal(t, p.QueueTime, [schedule.NumRanks]time.Duration{})
	synctest.Test(t, func(t *testing.T) {
		u, m := newQueue(2), &countedMetrics{}
		u.SetQueueMetrics(m)
		u.SetProfile(p)
		var wait sync.WaitGroup
		for range 40 {
			wait.Go(func() { _, _ = u.Acquire(Job{Rank: schedule.Middle}, false) }) // closed below
		}
		synctest.Wait()
		assert.Equal(t, m.refused.Load(), int64(40-2-queueLimit))
		u.Close()
		wait.Wait()
	})
}
