package node

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// unlistTime is how long new connections may still arrive after the
	// instance says that it is not ready: two missed probes, one a second.
	unlistTime = 2200 * time.Millisecond
	// closeSpread is the time over which idle sessions are closed, so that
	// callers do not reconnect all at once.
	closeSpread = 800 * time.Millisecond
	// exitReserve is the part of the grace time left for the exit.
	exitReserve = 700 * time.Millisecond
	// stopPoll is how often a stopping instance looks for remaining sessions.
	stopPoll = 50 * time.Millisecond
)

// stopState says how far an ordered stop has come.
type stopState struct {
	stage atomic.Int32
}

const (
	stageServing int32 = iota
	stageUnlisted
	stageClosing
	stageEnding
)

func (s *stopState) ordered() bool { return s.stage.Load() >= stageUnlisted }

func (s *stopState) closing() bool { return s.stage.Load() >= stageClosing }

func (s *stopState) ending() bool { return s.stage.Load() >= stageEnding }

// Stop leaves without cutting a request: the instance is not ready at once, new
// connections and requests are served until the load balancer has noticed, then
// sessions are closed between two requests, and transactions end within half of
// the grace time.
func (n *Node) Stop() {
	ordered := n.cfg.Clock()
	grace := n.cfg.Settings.GracePeriod
	n.stop.stage.Store(stageUnlisted)
	n.cfg.Log.WithFields(logrus.Fields{"event": "stop_ordered", "grace_ms": grace.Milliseconds(), "sessions": n.openSessions()}).Info("stopping")
	go n.withdraw()
	half := grace / 2
	time.Sleep(min(unlistTime, max(half-closeSpread, 0)))
	n.stop.stage.Store(stageClosing)
	n.wakeSpread(closeSpread)
	time.Sleep(max(ordered+half-n.cfg.Clock(), 0))
	n.stop.stage.Store(stageEnding)
	for n.openSessions() > 0 && n.cfg.Clock() < ordered+grace-exitReserve {
		n.wakeSpread(0)
		time.Sleep(stopPoll)
	}
	n.cfg.Log.WithFields(logrus.Fields{"event": "stopped", "sessions": n.openSessions(), "took_ms": (n.cfg.Clock() - ordered).Milliseconds()}).Info("stopped")
	for _, g := range n.allGroups() {
		g.Close()
	}
	n.mu.Lock()
	stop := n.stopGroups
	n.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (n *Node) openSessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions)
}

// wakeSpread wakes all sessions, evenly over a time.
func (n *Node) wakeSpread(over time.Duration) {
	n.mu.Lock()
	sessions := make([]*served, 0, len(n.sessions))
	for s := range n.sessions {
		sessions = append(sessions, s)
	}
	n.mu.Unlock()
	for _, s := range sessions {
		s.caller.Wake()
		time.Sleep(over / time.Duration(len(sessions)))
	}
}
