package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/reachability"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/group"
)

const (
	// isolationCheckInterval is the interval between checks for isolation.
	isolationCheckInterval = 100 * time.Millisecond
	// isolationAfter is the time since the last confirmation of any primary expired
	// after which the instance counts as isolated: three quorum rounds and one read
	// of the store have failed by then.
	isolationAfter = 400 * time.Millisecond
	// isolatedCloseSpread is the time over which an isolated instance closes its idle
	// sessions; the instance refuses nearly all requests of those still open.
	isolatedCloseSpread = 300 * time.Millisecond
	// removalProbes is the number of consecutive failed probes after which the load
	// balancer sends an instance no new connections, and probeAnswerTime the time
	// that the answer to the last one may be under way.
	removalProbes = 2
	// outsideAsked is the number of other failure domains in which an instance asks another
	// instance when the members do not answer, and askOutsideAbove the number of instances
	// above which it does: fewer instances do not saturate the members.
	outsideAsked    = 2
	askOutsideAbove = 12
	probeAnswerTime = 50 * time.Millisecond
)

// isolation is the state of an instance's check for a network partition. An
// instance that reaches neither the store nor the members can serve next to
// nothing, but its callers may reach other instances. Such an instance fails the
// readiness probe, so that new callers go elsewhere, and closes its sessions between
// requests once the load balancer has taken it out.
type isolation struct {
	isolated atomic.Bool
	closing  atomic.Bool

	mu              sync.Mutex
	reachability    reachability.Detector
	failedProbes    int           // consecutive probes answered with not ready
	lastFailedProbe time.Duration // time of the last of them
}

// reachabilityObserver is the group.Reachability of a node.
type reachabilityObserver struct{ node *Node }

// RecordRequest implements group.Reachability.
func (o reachabilityObserver) RecordRequest(member string) {
	i := &o.node.isolation
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.RecordRequest(member, o.node.cfg.Clock())
}

// RecordAnswer implements group.Reachability.
func (o reachabilityObserver) RecordAnswer() { o.node.isolation.recordAnswer() }

// recordAnswer notes an answer from outside the instance's failure domain.
func (i *isolation) recordAnswer() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.RecordAnswer()
}

// unreachable reports whether nothing outside the failure domain answers.
func (i *isolation) unreachable(now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reachability.Isolated(now)
}

// recordProbe notes the answer to a probe of the load balancer.
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

// removedFromBalancer reports whether enough probes have failed for the load
// balancer to have taken the instance out.
func (i *isolation) removedFromBalancer(now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failedProbes > removalProbes || i.failedProbes == removalProbes && now-i.lastFailedProbe >= probeAnswerTime
}

// askOutside asks instances of other failure domains whether they answer, if the members
// outside have not answered for some time. An answer shows that the members are saturated and
// that this instance is not partitioned from them. If there is none, the instance counts as
// isolated as early as without the question.
func (n *Node) askOutside(ctx context.Context, now time.Duration) {
	n.isolation.mu.Lock()
	doubtful := n.isolation.reachability.Doubtful(now)
	n.isolation.mu.Unlock()
	n.mu.Lock()
	fleet := n.fleet
	n.mu.Unlock()
	if !doubtful || fleet.Size() <= askOutsideAbove {
		return
	}
	for _, c := range fleet.Outside(n.cfg.Settings.FailureDomain, outsideAsked) {
		go func() {
			if n.router.Ping(ctx, c) {
				n.isolation.recordAnswer()
			}
		}()
	}
}

// AnswerProbe returns Ready and counts the answer as one to a probe of the load
// balancer, which sends new connections elsewhere after two consecutive failures.
func (n *Node) AnswerProbe() bool {
	ready := n.Ready()
	n.isolation.recordProbe(ready, n.cfg.Clock())
	return ready
}

const (
	// maxSampledGroups bounds the groups that the check for isolation looks at: while
	// the store is unavailable, each costs a quorum round five times a second.
	maxSampledGroups = 6
	// recentUse is the time since its last request during which a group is preferred.
	recentUse = 5 * time.Second
)

// sampledGroups returns the groups that the check for isolation looks at: those
// that callers use, filled up with others.
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

// checkIsolated reports whether this instance is isolated: nothing outside its
// failure domain answers, or the last confirmation of any primary expired more
// than isolationAfter ago. expiredFor is the time since that confirmation expired. A
// fresh read of the records counts as a confirmation also if a restored store shows
// no primary in them.
func (n *Node) checkIsolated(now time.Duration) (isolated bool, expiredFor time.Duration) {
	confirmedUntil, sampled := time.Duration(0), false
	for _, g := range n.sampledGroups(now) {
		sampled = true
		confirmedUntil = max(confirmedUntil, g.ConfirmedUntil())
	}
	if age, ok := n.reader.cache.Age(); ok && confirmedUntil > 0 {
		confirmedUntil = max(confirmedUntil, now-age+primacy.ReadLease)
	}
	return sampled && confirmedUntil > 0 && now-confirmedUntil > isolationAfter || n.isolation.unreachable(now), now - confirmedUntil
}

// watchIsolation checks for isolation until ctx ends. An isolated instance reports not
// ready, and later closes its sessions.
func (n *Node) watchIsolation(ctx context.Context) {
	var isolatedSince time.Duration
	for ctx.Err() == nil {
		boottime.Sleep(ctx, isolationCheckInterval)
		now := n.cfg.Clock()
		n.askOutside(ctx, now)
		isolated, expiredFor := n.checkIsolated(now)
		switch {
		case isolated && isolatedSince == 0:
			isolatedSince = now
			n.isolation.isolated.Store(true)
			n.cfg.Log.WithFields(logrus.Fields{"event": "cut_off", "proven_age_ms": expiredFor.Milliseconds()}).Warn("instance is isolated; reporting not ready")
		case !isolated && isolatedSince != 0:
			n.cfg.Log.WithFields(logrus.Fields{"event": "cut_off_ended", "lasted_ms": (now - isolatedSince).Milliseconds()}).Info("instance is no longer isolated; reporting ready")
			isolatedSince = 0
			n.isolation.isolated.Store(false)
			n.isolation.closing.Store(false)
		case isolated && (now-isolatedSince >= balancerDelay || n.isolation.removedFromBalancer(now)) && !n.isolation.closing.Load():
			n.isolation.closing.Store(true)
			go n.wakeSessions(isolatedCloseSpread)
		}
	}
}
