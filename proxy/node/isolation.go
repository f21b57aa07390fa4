package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/steady"
)

const (
	// isolationCheck is how often an instance judges whether it is cut off.
	isolationCheck = 200 * time.Millisecond
	// isolationAfter is how long the evidence of all primaries may have run out
	// until the instance is cut off: three rounds of questions to the members
	// and one reading of the store have failed then.
	isolationAfter = 400 * time.Millisecond
)

// isolation is what an instance does that is cut off from the store and from
// the members: it can serve next to nothing, but callers may still reach other
// instances. It is not ready, so that new callers go elsewhere, and once the
// load balancer has noticed, it closes sessions between requests.
type isolation struct {
	isolated atomic.Bool
	closing  atomic.Bool
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

func (n *Node) watchIsolation(ctx context.Context) {
	var since time.Duration
	for ctx.Err() == nil {
		steady.Sleep(ctx, isolationCheck)
		now := n.cfg.Clock()
		proven, any := time.Duration(0), false
		for _, g := range n.witnesses(now) {
			any = true
			proven = max(proven, g.ProvenUntil())
		}
		cut := any && proven > 0 && now-proven > isolationAfter
		switch {
		case cut && since == 0:
			since = now
			n.isolation.isolated.Store(true)
			n.cfg.Log.WithFields(logrus.Fields{"event": "cut_off", "proven_age_ms": (now - proven).Milliseconds()}).Warn("instance is cut off and not ready")
		case !cut && since != 0:
			n.cfg.Log.WithFields(logrus.Fields{"event": "cut_off_ended", "lasted_ms": (now - since).Milliseconds()}).Info("instance is ready again")
			since = 0
			n.isolation.isolated.Store(false)
			n.isolation.closing.Store(false)
		case cut && now-since >= unlistTime && !n.isolation.closing.Load():
			n.isolation.closing.Store(true)
			go n.wakeSpread(closeSpread)
		}
	}
}
