package node

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// balancerDelay is how long the load balancer may still send new connections
	// after the instance reports not ready: until two probes, one a second, failed.
	balancerDelay = 2200 * time.Millisecond
	// closeSpread is the time over which the closing of idle sessions is spread, so
	// that callers do not all reconnect at once.
	closeSpread = 800 * time.Millisecond
	// exitReserve is the part of the grace period left for the exit of the process.
	exitReserve = 700 * time.Millisecond
	// stopPoll is the interval at which a stopping instance checks for open sessions.
	stopPoll = 50 * time.Millisecond
)

// stopState is the stage of a graceful shutdown.
type stopState struct {
	stage atomic.Int32
}

const (
	stageServing  int32 = iota
	stageNotReady       // reports not ready, but serves as before
	stageClosing        // closes sessions that have no open transaction
	stageEnding         // also ends open transactions
)

func (s *stopState) ordered() bool { return s.stage.Load() >= stageNotReady }

func (s *stopState) closing() bool { return s.stage.Load() >= stageClosing }

func (s *stopState) ending() bool { return s.stage.Load() >= stageEnding }

// Stop shuts the instance down gracefully within the grace period. The instance
// reports not ready at once but serves new connections and requests until the load
// balancer has taken it out. Then it closes sessions between requests; after half
// of the grace period it also ends transactions.
func (n *Node) Stop() {
	orderedAt := n.cfg.Clock()
	n.mu.Lock()
	grace := n.periods.GracePeriod
	n.mu.Unlock()
	n.stop.stage.Store(stageNotReady)
	n.cfg.Log.WithFields(logrus.Fields{"event": "stop_ordered", "grace_ms": grace.Milliseconds(), "sessions": n.openSessions()}).Info("stopping")
	n.limiter.Leave()
	go n.withdraw()
	half := grace / 2
	time.Sleep(min(balancerDelay, max(half-closeSpread, 0)))
	n.stop.stage.Store(stageClosing)
	n.wakeSessions(closeSpread)
	time.Sleep(max(orderedAt+half-n.cfg.Clock(), 0))
	n.stop.stage.Store(stageEnding)
	for n.openSessions() > 0 && n.cfg.Clock() < orderedAt+grace-exitReserve {
		n.wakeSessions(0)
		time.Sleep(stopPoll)
	}
	n.cfg.Log.WithFields(logrus.Fields{"event": "stopped", "sessions": n.openSessions(), "took_ms": (n.cfg.Clock() - orderedAt).Milliseconds()}).Info("stopped")
	for _, g := range n.allGroups() {
		g.Close()
	}
	n.mu.Lock()
	cancel := n.cancelRun
	n.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (n *Node) openSessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions)
}

// wakeSessions wakes all sessions, spread evenly over a time.
func (n *Node) wakeSessions(over time.Duration) {
	n.mu.Lock()
	sessions := make([]*openSession, 0, len(n.sessions))
	for s := range n.sessions {
		sessions = append(sessions, s)
	}
	n.mu.Unlock()
	for _, s := range sessions {
		s.caller.Wake()
		time.Sleep(over / time.Duration(len(sessions)))
	}
}
