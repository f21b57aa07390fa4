package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/relay"
)

// stale reports whether the newest snapshot is too old to be passed on.
func (r *reader) stale() bool {
	age, ok := r.cache.Age()
	return !ok || age > staleAfter
}

// Cache implements relay.Source.
func (r *reader) Cache() *relay.Cache { return r.cache }

// Unavailable implements relay.Source. It is true for the instance that this one polls,
// so that the two do not poll each other; that instance may ask if the store refuses
// the one that is first in the order of sources. Before this instance has a snapshot,
// polls wait for one, unless its reads of the store fail.
func (r *reader) Unavailable(requester string) bool {
	r.mu.Lock()
	from, readFailed := r.sourceName, r.picker.ReadFailed()
	r.mu.Unlock()
	if from == requester {
		return true
	}
	if _, known := r.cache.Age(); !known {
		return readFailed
	}
	return r.stale()
}

// Announce implements relay.Source.
func (r *reader) Announce(all []source.Candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range all {
		if c.Name != "" && c.Address != "" && len(r.pendingAnnouncements) < maxPendingAnnouncements {
			r.pendingAnnouncements[c.Name] = c
		}
	}
}

// maxPendingAnnouncements bounds the instances that wait to be announced.
const maxPendingAnnouncements = 4096

// PollFaster implements relay.Source. It also passes the request on to this
// instance's own source, at most once per readInterval.
func (r *reader) PollFaster() {
	r.mu.Lock()
	now := r.node.cfg.Clock()
	r.urgentUntil = now + urgentPeriod
	due := now-r.urgentSentAt >= readInterval
	if due {
		r.urgentSentAt = now
	}
	pollsPeer := r.sourceName != ""
	r.mu.Unlock()
	if !due {
		return
	}
	r.wakeReader()
	if !pollsPeer {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		if err := r.client.PollFaster(ctx); err != nil {
			r.node.cfg.Log.WithFields(logrus.Fields{"event": "hurry_failed", "error": err.Error()}).Debug("source could not be told of a failover")
		}
	}()
}

// wakeReader makes awaitNextRead recompute its wait.
func (r *reader) wakeReader() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

var _ relay.Source = (*reader)(nil)
