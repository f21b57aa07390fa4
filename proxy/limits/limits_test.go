//go:build !race

// The race detector of Go 1.26.8 ends tests in synctest bubbles with a segmentation
// violation in the runtime; see proxy/node/simulated_test.go.

package limits

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/ratelimit"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/metrics"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/simulator"
)

var params = ratelimit.Params{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

const (
	rate  = 40.0
	burst = 20.0
)

// fleet is a number of instances on a simulated network.
type fleet struct {
	t        *testing.T
	sim      *simulator.Cluster
	limiters map[string]*Limiter
	ctx      context.Context
	wait     sync.WaitGroup
	dials    int

	mu  sync.Mutex
	ran []time.Duration
	bad []error // refusals of another kind
}

func newFleet(t *testing.T, workspaces map[string]catalog.Workspace, names ...string) *fleet {
	f := &fleet{t: t, sim: simulator.NewCluster("m"), limiters: make(map[string]*Limiter)}
	ctx, cancel := context.WithCancel(t.Context())
	f.ctx = ctx
	network := f.sim.NewNetwork()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var all []source.Candidate
	var listeners []net.Listener
	for _, name := range names {
		all = append(all, source.Candidate{Name: name, Address: name, Weight: 1})
		l := New(Config{Instance: name, Params: params, Clock: f.sim.Clock, Log: logrus.NewEntry(log), Metrics: metrics.New(),
			Dial: func(ctx context.Context, to string) (net.Conn, error) {
				f.mu.Lock()
				f.dials++
				f.mu.Unlock()
				return network.Dial(ctx, name, to)
			}})
		f.limiters[name] = l
		server := peer.NewServer(logrus.NewEntry(log))
		l.Register(server)
		listener := network.Listen(name)
		listeners = append(listeners, listener)
		f.wait.Go(func() { _ = server.Serve(listener) }) // ends with the listener
		f.wait.Go(func() { l.Run(ctx) })
	}
	for _, l := range f.limiters {
		l.SetWorkspaces(workspaces)
		l.SetInstances(all)
	}
	t.Cleanup(func() {
		f.sim.Close()
		cancel()
		for _, l := range listeners {
			_ = l.Close()
		}
		f.wait.Wait()
		time.Sleep(5 * time.Second)
		synctest.Wait()
	})
	return f
}

// flood sends perS operations per second at each of the instances and returns the number
// that were admitted.
func (f *fleet) flood(d time.Duration, perS int, names ...string) int {
	f.mu.Lock()
	before := len(f.ran)
	f.mu.Unlock()
	var work sync.WaitGroup
	for _, name := range names {
		for range int(d.Seconds()*float64(perS)) / len(names) {
			work.Go(func() {
				_, err := f.limiters[name].Admit("w", f.sim.Clock()+time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				var v *verdict.Error
				switch {
				case err == nil:
					f.ran = append(f.ran, f.sim.Clock())
				case !errors.As(err, &v) || v.Code != verdict.RateLimited || v.Verdict != verdict.NotRun || v.RetryAfter <= 0:
					f.bad = append(f.bad, err)
				}
			})
			time.Sleep(time.Second * time.Duration(len(names)) / time.Duration(perS) / time.Duration(len(names)))
		}
	}
	work.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran) - before
}

func (f *fleet) check() {
	f.t.Helper()
	assert.Equal(f.t, len(f.bad), 0, "%v", f.bad)
	first := 0
	for i, at := range f.ran {
		for f.ran[first] <= at-params.Window {
			first++
		}
		assert.Assert(f.t, float64(i-first+1) <= params.Allowed(ratelimit.Limit{Rate: rate, Burst: burst}), "at %s", at)
	}
}

func limited() map[string]catalog.Workspace {
	return map[string]catalog.Workspace{"w": {Name: "w", Rate: rate, Burst: burst}, "free": {Name: "free"}}
}

// allocator returns the instance that another one asks.
func (f *fleet) allocator(name string) string { return f.limiters[name].State().Loans[0].Allocator }

// Guards the exchange over the network: the limit holds over all instances and is used,
// also after the allocator is cut off, and after the next one leaves.
func TestLimitOverInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c", "d", "e"}
		f := newFleet(t, limited(), names...)
		time.Sleep(3 * time.Second)
		ran := f.flood(10*time.Second, 200, names...)
		assert.Assert(t, ran >= int(0.95*rate*10), "%d", ran)
		f.check()

		lost := f.allocator("a")
		var rest []string
		for _, name := range names {
			if name != lost {
				rest = append(rest, name)
				f.sim.Partition(name, lost)
			}
		}
		time.Sleep(2500 * time.Millisecond)
		next := f.allocator(rest[0])
		assert.Assert(t, next != lost)
		// Four of five shares fill a bucket of this limit completely.
		ran = f.flood(5*time.Second, 200, rest...)
		assert.Assert(t, ran >= int(0.9*rate*5), "%d", ran)

		f.limiters[next].Leave()
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, f.allocator(rest[0]) != next)
		ran = f.flood(5*time.Second, 200, rest...)
		assert.Assert(t, ran >= int(0.6*rate*5), "%d", ran)
		f.check()
	})
}

// Guards against a cost of limits that are not configured, and of workspaces without one.
func TestWithoutLimitsNothingIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, map[string]catalog.Workspace{"free": {Name: "free"}}, "a", "b")
		time.Sleep(3 * time.Second)
		refund, err := f.limiters["a"].Admit("free", 0)
		assert.NilError(t, err)
		refund()
		_, err = f.limiters["a"].Admit("", 0)
		assert.NilError(t, err)
		assert.Equal(t, f.dials, 0)
	})
}

// Guards against operations that hang or run when no allocator can be reached: they are
// refused within the wait limit, and the instance's own share serves after its lease.
func TestIsolatedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c"}
		f := newFleet(t, limited(), names...)
		time.Sleep(3 * time.Second)
		alone := "a"
		if f.allocator("a") == "a" {
			alone = "b"
		}
		for _, name := range names {
			f.sim.Partition(alone, name)
		}
		started := f.sim.Clock()
		// The lease ends after 0.6 s, which is more than this deadline allows to wait.
		_, err := f.limiters[alone].Admit("w", started+700*time.Millisecond)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, f.sim.Clock()-started <= ratelimit.WaitLimit)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.allocator(alone), alone)
		assert.Assert(t, f.flood(2*time.Second, 50, alone) > 0)
		f.check()
	})
}

// Guards against refusals after a start of all instances, when no share is lent yet:
// operations wait if their deadline allows it, and are refused at once otherwise.
func TestOperationsWaitAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, limited(), "a", "b", "c")
		started := f.sim.Clock()
		// A start delays the first permits by 0.6 s, which is more than this deadline allows.
		_, err := f.limiters["a"].Admit("w", started+700*time.Millisecond)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Assert(t, f.sim.Clock()-started < 2*ratelimit.WaitLimit, "refused after %s", f.sim.Clock()-started)
		_, err = f.limiters["a"].Admit("w", started+4*time.Second)
		assert.NilError(t, err)
		assert.Assert(t, f.sim.Clock()-started < 2*time.Second, "admitted after %s", f.sim.Clock()-started)
	})
}
