package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/relay"
)

// stale reports whether the newest reading is too old to be passed on.
func (r *reader) stale() bool {
	age, ok := r.cache.Age()
	return !ok || age > staleAfter
}

// Cache implements relay.Source.
func (r *reader) Cache() *relay.Cache { return r.cache }

// Unavailable implements relay.Source. The asker may be this instance's own source, when
// the store turns away the one that comes first.
func (r *reader) Unavailable(asker string) bool {
	r.mu.Lock()
	from := r.sourceName
	r.mu.Unlock()
	if from == asker {
		return true
	}
	_, any := r.cache.Age()
	return any && r.stale()
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

// maxPendingAnnouncements bounds the instances that wait for their announcement.
const maxPendingAnnouncements = 4096

// PollFaster implements relay.Source: a primary is being replaced.
func (r *reader) PollFaster() {
	r.mu.Lock()
	now := r.node.cfg.Clock()
	r.urgentUntil = now + urgentPeriod
	again := now-r.urgentSentAt >= readInterval
	if again {
		r.urgentSentAt = now
	}
	relayed := r.sourceName != ""
	r.mu.Unlock()
	if !again {
		return
	}
	r.signal()
	if !relayed {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		defer cancel()
		if err := r.client.PollFaster(ctx); err != nil {
			r.node.cfg.Log.WithFields(logrus.Fields{"event": "hurry_failed", "error": err.Error()}).Debug("source was not told of a change of primary")
		}
	}()
}

func (r *reader) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

var _ relay.Source = (*reader)(nil)
