package node

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/relay"
)

// stale reports whether the newest reading is too old to be passed on.
func (r *reader) stale() bool {
	age, ok := r.state.Age()
	return !ok || age > staleAfter
}

// Cache implements relay.Source.
func (r *reader) Cache() *relay.Cache { return r.state }

// Unavailable implements relay.Source. The asker may be this instance's own source, when
// the store turns away the one that comes first.
func (r *reader) Unavailable(asker string) bool {
	r.mu.Lock()
	from := r.from
	r.mu.Unlock()
	if from == asker {
		return true
	}
	_, any := r.state.Age()
	return any && r.stale()
}

// Announce implements relay.Source.
func (r *reader) Announce(all []source.Candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range all {
		if c.Name != "" && c.Address != "" && len(r.announce) < maxAnnounced {
			r.announce[c.Name] = c
		}
	}
}

// maxAnnounced bounds the instances that wait for their announcement.
const maxAnnounced = 4096

// PollFaster implements relay.Source: a primary is being replaced.
func (r *reader) PollFaster() {
	r.mu.Lock()
	now := r.n.cfg.Clock()
	r.urgent = now + urgentFor
	again := now-r.hurried >= readInterval
	if again {
		r.hurried = now
	}
	relayed := r.from != ""
	r.mu.Unlock()
	if !again {
		return
	}
	r.poke()
	if !relayed {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		if err := r.client.PollFaster(ctx); err != nil {
			r.n.cfg.Log.WithFields(logrus.Fields{"event": "hurry_failed", "error": err.Error()}).Debug("source was not told of a change of primary")
		}
	}()
}

func (r *reader) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

var _ relay.Source = (*reader)(nil)
