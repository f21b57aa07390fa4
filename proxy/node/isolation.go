package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/reachability"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/group"
)

const (
	// isolationCheck is how often an instance judges whether it is cut off.
	isolationCheck = 100 * time.Millisecond
	// isolationAfter is how long the evidence of all primaries may have run out
	// until the instance is cut off: three rounds of questions to the members
	// and one reading of the store have failed then.
	isolationAfter = 400 * time.Millisecond
	// isolatedSpread is the time over which an instance that is cut off closes its
	// idle sessions. It refuses nearly all of their requests meanwhile.
	isolatedSpread = 300 * time.Millisecond
	// missedProbes is the number of probes in a row after whose failure the load
	// balancer sends an instance no new connections, and probeSettle the time that
	// the answer to the last one takes.
	missedProbes = 2
	probeSettle  = 50 * time.Millisecond
)

// isolation is what an instance does that is cut off from the store and from
// the members: it can serve next to nothing, but callers may still reach other
// instances. It is not ready, so that new callers go elsewhere, and once the
// load balancer has noticed, it closes sessions between requests.
type isolation struct {
	isolated atomic.Bool
	closing  atomic.Bool

	mu           sync.Mutex
	reachability reachability.Detector
	missed       int           // probes in a row that were told that it is not ready
	last         time.Duration // the last of them
}

// outside is the group.Reachability of a node.
type outside struct{ n *Node }

// Asked implements group.Reachability.
func (o outside) Asked(member string) {
	i := &o.n.isolation
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.RecordRequest(member, o.n.cfg.Clock())
}

// Answered implements group.Reachability.
func (o outside) Answered() { o.n.isolation.answered() }

// answered takes in an answer of anything outside of the failure domain.
func (i *isolation) answered() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reachability.RecordAnswer()
}

// lost reports whether nothing outside of the failure domain answers.
func (i *isolation) lost(now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.reachability.Isolated(now)
}

// probed takes in what a probe of the load balancer was told.
func (i *isolation) probed(ready bool, now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if ready {
		i.missed = 0
		return
	}
	i.missed++
	i.last = now
}

// unlisted reports whether the load balancer has missed enough probes.
func (i *isolation) unlisted(now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.missed > missedProbes || i.missed == missedProbes && now-i.last >= probeSettle
}

// AnswerProbe is Ready for a probe of the load balancer, which sends new connections
// elsewhere after two in a row were told that the instance is not ready.
func (n *Node) AnswerProbe() bool {
	ready := n.Ready()
	n.isolation.probed(ready, n.cfg.Clock())
	return ready
}

const (
	// maxWitnesses is the number of groups by which an instance judges whether it is
	// cut off: without the store, each of them costs a question five times a second.
	maxWitnesses = 6
	// usedWithin is how long ago a request makes a group a preferred one.
	usedWithin = 5 * time.Second
)

// witnesses returns the groups by which this instance judges whether it is cut
// off: those that its callers use, or others if these are too few.
func (n *Node) witnesses(now time.Duration) []*group.Group {
	var used, others []*group.Group
	for _, g := range n.allGroups() {
		if g.UsedSince(now - usedWithin) {
			used = append(used, g)
		} else {
			others = append(others, g)
		}
	}
	all := append(used, others...)
	return all[:min(len(all), maxWitnesses)]
}

// cutOff reports whether this instance is cut off: nothing outside answers, or
// nothing has proven any primary for a while.
func (n *Node) cutOff(now time.Duration) (cut bool, provenAge time.Duration) {
	proven, any := time.Duration(0), false
	for _, g := range n.witnesses(now) {
		any = true
		proven = max(proven, g.ConfirmedUntil())
	}
	return any && proven > 0 && now-proven > isolationAfter || n.isolation.lost(now), now - proven
}

func (n *Node) watchIsolation(ctx context.Context) {
	var since time.Duration
	for ctx.Err() == nil {
		boottime.Sleep(ctx, isolationCheck)
		now := n.cfg.Clock()
		cut, provenAge := n.cutOff(now)
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
		case cut && (now-since >= unlistTime || n.isolation.unlisted(now)) && !n.isolation.closing.Load():
			n.isolation.closing.Store(true)
			go n.wakeSpread(isolatedSpread)
		}
	}
}
