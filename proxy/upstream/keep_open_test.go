//go:build !race

// See proxy/node/simulated_test.go for why these tests do not build under the race detector.

package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
)

type idleDialer struct{}

type idleConn struct{ statement.Conn }

func (idleDialer) Dial(statement.Target, time.Duration) (statement.Conn, error) {
	return idleConn{}, nil
}
func (idleConn) Alive() bool { return true }
func (idleConn) Close()      {}
func (idleConn) Control(statement.Control, time.Duration) (takeover.Status, error) {
	return takeover.Status{}, nil
}

// Guards against a pool that closes its last idle connection while it is to keep one open,
// and against one that keeps it for good.
func TestPoolKeepsOneConnectionOpen(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type event struct {
			Kind int
			MS   int
		}
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event {
			return event{rapid.IntRange(0, 5).Draw(r, "kind"), rapid.IntRange(1, 3000).Draw(r, "ms")}
		}), 1, 60).Draw(r, "events")
		failure := ""
		synctest.Test(t, func(*testing.T) {
			start := time.Now()
			limits := quota.Limits{MaxOpen: 4, IdleTimeout: 200 * time.Millisecond, MaxRunning: 2}
			u := New(catalog.Member{ID: "m"}, limits, idleDialer{}, func() time.Duration { return time.Since(start) + time.Hour })
			const keepTime = 2 * time.Second
			keptUntil := time.Duration(0)
			for _, e := range events {
				d := time.Duration(e.MS) * time.Millisecond
				had := u.PoolState().Idle > 0
				switch e.Kind {
				case 0, 1:
					_, _ = u.Control(e.Kind == 1, statement.Control{Kind: statement.GetStatus}, time.Second) // the dialer never fails
					had = true
				case 2:
					time.Sleep(min(d, max(keptUntil-u.clock()-1, d/2)))
				case 3:
					u.KeepOpen(keepTime)
					keptUntil = u.clock() + keepTime
				case 4:
					u.CloseIdle()
				case 5:
					limits.MaxOpen = 1 + e.MS%4
					u.Update(catalog.Member{ID: "m"}, limits)
				}
				if s := u.PoolState(); had && u.clock() < keptUntil && s.Idle == 0 {
					failure = "the last idle connection was closed"
				}
			}
			time.Sleep(max(keptUntil-u.clock(), 0) + 2*limits.IdleTimeout)
			synctest.Wait()
			if u.PoolState().Idle > 0 {
				failure = "an idle connection was kept for good"
			}
		})
		if failure != "" {
			r.Fatal(failure)
		}
	})
}
