package coordinator

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/fleet"
)

// newInactive returns an inactive coordinator of a service whose only database
// closes each connection that it accepts and reports it on the channel.
func newInactive(t *testing.T, ctx context.Context) (*Coordinator, <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	probed := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Close()
			select {
			case probed <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	startedAt := time.Now()
	return New(ctx, Config{
		Instance: "messina-1",
		Service: &fleet.Service{Name: "registro-lotti-1",
			Databases: []fleet.Database{{Name: "registro-lotti-1-messina", Address: l.Addr().String(), FailureDomain: "messina"}}},
		Now:      func() time.Duration { return time.Since(startedAt) + time.Millisecond },
		Announce: func(failover.Route) {},
		Log:      logrus.NewEntry(log),
	}), probed
}

func route(term uint64, primary failover.MemberID) failover.Route {
	return failover.Route{Service: "registro-lotti-1", Term: term, Primary: primary}
}

// Guards against a coordinator that loses the route it learned while it was inactive:
// it would start with too low a term and the wrong primary.
func TestActivatedCoordinatorKnowsTheRoute(t *testing.T) {
	c, probed := newInactive(t, t.Context())
	c.LearnRoute(route(4, "registro-lotti-1-messina"))
	c.LearnRoute(route(3, "registro-lotti-1-messina"))
	c.LearnRoute(route(9, "tag-register-lairg")) // no member of the service
	c.SetLiveInstances(map[string]int{"messina": 2})
	c.SetActive(true)
	defer c.SetActive(false)
	<-probed
	c.mu.Lock()
	known, found := c.machine.Route()
	c.mu.Unlock()
	assert.Assert(t, found)
	assert.Equal(t, known, route(4, "registro-lotti-1-messina"))

	c.SetActive(false)
	c.LearnRoute(route(5, "registro-lotti-1-messina"))
	c.SetActive(true)
	c.mu.Lock()
	known, _ = c.machine.Route()
	c.mu.Unlock()
	assert.Equal(t, known, route(5, "registro-lotti-1-messina"))
}

// Guards against an inactive coordinator with a timer or a goroutine, which would
// cost CPU time on each instance for each service of the fleet.
func TestInactiveCoordinatorRunsNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c, probed := newInactive(t, ctx)
	before := runtime.NumGoroutine()
	c.LearnRoute(route(4, "registro-lotti-1-messina"))
	c.SetLiveInstances(map[string]int{"messina": 2})
	c.SetActive(false)
	assert.Assert(t, c.machine == nil && c.timer == nil)
	// Goroutines of earlier tests may end at any time, so there may be fewer.
	assert.Assert(t, runtime.NumGoroutine() <= before)

	c.SetActive(true)
	for range 3 { // probes after the first one need the timer
		<-probed
	}
	c.SetActive(false)
	assert.Assert(t, c.timer == nil)
}

// Guards against a coordinator that stays active after its service has been removed
// from the configuration, which ends the coordinator's context.
func TestEndOfContextDeactivates(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	c, probed := newInactive(t, ctx)
	c.SetActive(true)
	<-probed
	cancel()
	for c.Active() {
		runtime.Gosched()
	}
}
