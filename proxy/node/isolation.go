package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/reachability"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/steady"
)

const (
	// isolationCheckInterval is how often an instance judges whether it is cut off.
	isolationCheckInterval = 100 * time.Millisecond
	// isolationAfter is how long the evidence of all primaries may have run out
	// until the instance is cut off: three rounds of questions to the members
	// and one reading of the store have failed then.
	isolationAfter = 400 * time.Millisecond
	// isolatedCloseSpread is the time over which an instance that is cut off closes its
	// idle sessions. It refuses nearly all of their requests meanwhile.
	isolatedCloseSpread = 300 * time.Millisecond
	// removalProbes is the number of probes in a row after whose failure the load
	// balancer sends an instance no new connections, and probeAnswerTime the time that
	// the answer to the last one takes.
	removalProbes   = 2
	probeAnswerTime = 50 * time.Millisecond
)

// isolation is what an instance does that is cut off from the store and from
// the members: it can serve next to nothing, but callers may still reach other
// instances. It is not ready, so that new callers go elsewhere, and once the
// load balancer has noticed, it closes sessions between requests.
type isolation struct {
	isolated atomic.Bool
	closing  atomic.Bool

	mu              sync.Mutex
	reachability    reachability.Watch
	failedProbes    int           // probes in a row that were told that it is not ready
	lastFailedProbe time.Duration // the last of them
}

// outside is the group.Reachability of a node.
type reachabilityObserver struct{ n *Node }

// Asked implements group.Reachability.
func (o reachabilityObserver) Asked(member string) {
	i := &o.n.isolation
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.Asked(member, o.n.cfg.Clock())
}

// Answered implements group.Reachability.
func (o reachabilityObserver) Answered() { o.n.isolation.recordAnswer() }

// answered takes in an answer of anything outside of the failure domain.
func (i *isolation) recordAnswer() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.Answered()
}

// lost reports whether nothing outside of the failure domain answers.
func (i *isolation) unreachable(now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reachability.Lost(now)
}

// probed takes in what a probe of the load balancer was told.
func (i *isolation) recordProbe(ready bool, now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if ready {
		i.failedProbes = 0
		return
	}
	i.failedProbes++
	i.lastFailedProbe = now
}

// unlisted reports whether the load balancer has missed enough probes.
func (i *isolation) removedFromBalancer(now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failedProbes > removalProbes || i.failedProbes == removalProbes && now-i.lastFailedProbe >= probeAnswerTime
}

// AnswerProbe is Ready for a probe of the load balancer, which sends new connections
// elsewhere after two in a row were told that the instance is not ready.
func (n *Node) AnswerProbe() bool {
	ready := n.Ready()
	n.isolation.recordProbe(ready, n.cfg.Clock())
	return ready
}

const (
	// maxSampledGroups is the number of groups by which an instance judges whether it is
	// cut off: without the store, each of them costs a question five times a second.
	maxSampledGroups = 6
	// recentUse is how long ago a request makes a group a preferred one.
	recentUse = 5 * time.Second
)

// witnesses returns the groups by which this instance judges whether it is cut
// off: those that its callers use, or others if these are too few.
func (n *Node) sampledGroups(now time.Duration) []*group.Group {
	var used, others []*group.Group
	for _, g := range n.allGroups() {
		if g.UsedSince(now - recentUse) {
			used = append(used, g)
		} else {
			others = append(others, g)
		}
	}
	all := append(used, others...)
	return all[:min(len(all), maxSampledGroups)]
}

// checkIsolated reports whether this instance is cut off: nothing outside answers, or
// nothing has proven any primary for a while.
func (n *Node) checkIsolated(now time.Duration) (cut bool, provenAge time.Duration) {
	proven, any := time.Duration(0), false
	for _, g := range n.sampledGroups(now) {
		any = true
		proven = max(proven, g.ProvenUntil())
	}
	return any && proven > 0 && now-proven > isolationAfter || n.isolation.unreachable(now), now - proven
}

func (n *Node) watchIsolation(ctx context.Context) {
	var since time.Duration
	for ctx.Err() == nil {
		steady.Sleep(ctx, isolationCheckInterval)
		now := n.cfg.Clock()
		cut, provenAge := n.checkIsolated(now)
		switch {
		case cut && since == 0:
			since = now
			n.isolation.isolated.Store(true)
			n.cfg.Log.WithFields(logrus.Fields{"event": "cut_off", "proven_age_ms": provenAge.Milliseconds()}).Warn("instance is cut off and not ready")
		case !cut && since != 0:
			n.cfg.Log.WithFields(logrus.Fields{"event": "cut_off_ended", "lasted_ms": (now - since).Milliseconds()}).Info("instance is ready again")
			since = 0
			n.isolation.isolated.Store(false)
			n.isolation.closing.Store(false)
		case cut && (now-since >= balancerDelay || n.isolation.removedFromBalancer(now)) && !n.isolation.closing.Load():
			n.isolation.closing.Store(true)
			go n.wakeSessions(isolatedCloseSpread)
		}
	}
}
