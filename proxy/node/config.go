package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
)

const (
	// configRetryInterval is the least interval between attempts to get a newer
	// configuration elsewhere than from the instance that this one polls. Two attempts
	// fit into the 5 s in which a new version must be in force.
	configRetryInterval = 2 * time.Second
	// configCheckPeers is how many instances a starting one asks for a newer configuration
	// than that of a restored store. Each running instance has the newest version within
	// 5 s of its storage, so that one answer is enough.
	configCheckPeers = 4
	// configCheckTimeout bounds these questions. A caller that arrives meanwhile waits up
	// to 1 s for a configuration.
	configCheckTimeout = 500 * time.Millisecond
	// restoredListWait is how long a starting instance waits for the others to be announced
	// again in a restored store that lists none. They notice the restore at their next
	// read, within 0.3 s, and write their entries at the one after it.
	restoredListWait = time.Second
)

// fetchNewerConfig gets, in the background, the newer version of the configuration that the
// polled instance has. received is what its answer had of it: nil if it is too large for
// the answer. An incomplete change comes from an instance of an earlier release; the
// configuration is then read from the store. If that fails, it is tried again after a later
// poll, or read from the store once shouldReadConfig allows it.
func (r *reader) fetchNewerConfig(ctx context.Context, received *relay.ConfigDelta, version uint64) {
	if received != nil && !received.Complete() {
		r.inBackground(configRetryInterval, func() { r.replaceIncompleteConfig(ctx) })
		return
	}
	r.mu.Lock()
	r.configSeen = max(r.configSeen, version)
	r.mu.Unlock()
	r.inBackground(0, func() {
		started := r.node.cfg.Clock()
		d, err := r.client.FetchConfig(ctx, r.cache.Known().Config)
		r.node.cfg.Metrics.StoreCall("relayed_config", err, r.node.cfg.Clock()-started)
		switch {
		case err != nil:
			r.node.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Info("configuration could not be fetched from a peer")
			if r.shouldReadConfig(r.node.cfg.Clock()) {
				r.readConfig(ctx)
			}
			boottime.Sleep(ctx, retryInterval) // the next poll may be answered at once
		case !d.Complete():
			r.replaceIncompleteConfig(ctx)
		default:
			r.applyChanges(r.cache.ApplyConfig(d))
		}
	})
}

// replaceIncompleteConfig reads from the store the configuration of which an instance of an
// earlier release has sent a part.
func (r *reader) replaceIncompleteConfig(ctx context.Context) {
	r.node.cfg.Log.WithFields(logrus.Fields{"event": "config_incomplete"}).Info("a peer of an earlier release relays no workspaces; configuration is read from the store")
	r.readConfig(ctx)
}

// inBackground calls fetch, unless a call is running or the last one with an interval
// began less than the interval ago.
func (r *reader) inBackground(interval time.Duration, fetch func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.node.cfg.Clock()
	if r.fetchingConfig || interval > 0 && r.fetchTriedAt > 0 && now-r.fetchTriedAt < interval {
		return
	}
	if interval > 0 {
		r.fetchTriedAt = now
	}
	r.fetchingConfig = true
	go func() {
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.fetchingConfig = false
			// The next poll is answered at once if the source has a newer version than that
			// in the cache, also if it has been reported before.
			r.configSeen = 0
		}()
		fetch()
	}()
}

// ConfigOutdated implements relay.Source. An instance that reads the store, and polls
// nobody, has an older configuration than others if it started after the store was
// restored from an older copy; keys that a later version revoked would stay valid on it.
func (r *reader) ConfigOutdated(requester string) {
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	if ctx == nil {
		return
	}
	for _, c := range r.cache.Instances() {
		if c.Name != requester {
			continue
		}
		r.inBackground(configRetryInterval, func() {
			if err := r.fetchConfigFrom(ctx, c, r.cache.Known().Config); err != nil {
				r.node.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "from": c.Name, "error": err.Error()}).Info("newer configuration could not be fetched from the instance that has it")
			}
		})
	}
}

// fetchConfigFrom applies the change of the configuration from a version to the newest one
// of an instance.
func (r *reader) fetchConfigFrom(ctx context.Context, from source.Candidate, version uint64) error {
	started := r.node.cfg.Clock()
	d, err := r.client.FetchConfigFrom(ctx, from, version)
	r.node.cfg.Metrics.StoreCall("relayed_config", err, r.node.cfg.Clock()-started)
	if err == nil {
		r.applyChanges(r.cache.ApplyConfig(d))
	}
	return err
}

// checkConfigAge asks the store for a newer configuration, in the background, if that of this
// instance was last known to be the newest one too long ago. Reads of the records that go on do
// not show that the instance which follows the configuration for the others still can.
func (r *reader) checkConfigAge(ctx context.Context) {
	age, known := r.cache.ConfigAge()
	if !known || r.stale() {
		return // there is no source whose configuration could be behind its records
	}
	now := r.node.cfg.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	due := r.picker.ConfigCheckDue(age)
	if due != r.configUnconfirmed {
		r.configUnconfirmed = due
		r.logConfigAge(age)
	}
	if !due || r.checkingConfig || r.configCheckedAt > 0 && now-r.configCheckedAt < r.picker.RetryInterval() {
		return
	}
	r.checkingConfig, r.configCheckedAt = true, now
	go func() {
		defer func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.checkingConfig = false
		}()
		r.checkConfig(ctx)
	}()
}

// checkConfig asks the store for a configuration that is newer than that of this instance.
func (r *reader) checkConfig(ctx context.Context) {
	n := r.node
	callCtx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	started := n.cfg.Clock()
	c, cursor, err := n.cfg.Store.Config(callCtx, r.cache.ConfigCursor(), 0)
	n.cfg.Metrics.StoreCall("config_check", err, n.cfg.Clock()-started)
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Info("the store could not be asked for a newer configuration")
		return
	}
	r.setStoreConfig(ctx, c, cursor)
}

// logConfigAge logs that the configuration is no longer known to be the newest one, or is again.
// r.mu is held.
func (r *reader) logConfigAge(age time.Duration) {
	log := r.node.cfg.Log.WithFields(logrus.Fields{"age_ms": age.Milliseconds(), "version": r.node.configVersion(), "source": r.sourceName})
	if r.configUnconfirmed {
		log.WithField("event", "config_unconfirmed").Warn("configuration was last known to be the newest one too long ago; asking the store")
		return
	}
	log.WithField("event", "config_confirmed").Info("configuration is known to be the newest one again")
}

// setStoreConfig applies a configuration that this instance read from the store at a
// cursor; nil means that the store has none that is newer than at an earlier cursor.
func (r *reader) setStoreConfig(ctx context.Context, c *catalog.Config, at catalog.ConfigCursor) {
	if c != nil {
		if at.Version.Era() > 0 && r.cache.Known().Config == 0 {
			r.checkRestoredConfig(ctx, uint64(c.Version))
		}
		r.applyChanges(r.cache.SetConfig(c))
	}
	r.cache.ConfirmConfig(at)
}

// checkRestoredConfig asks some instances for a newer configuration than the version that
// a restored store has, and applies it. This instance has just started: it does not know
// the versions after the copy from which the store was restored.
func (r *reader) checkRestoredConfig(ctx context.Context, version uint64) {
	others := r.awaitOthers(ctx)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	checkCtx, cancel := context.WithTimeout(ctx, configCheckTimeout)
	defer cancel()
	var mu sync.Mutex
	var newer []source.Candidate
	var questions sync.WaitGroup
	for _, c := range others[:min(len(others), configCheckPeers)] {
		questions.Go(func() {
			if r.client.HasNewerConfig(checkCtx, c, version) {
				mu.Lock()
				newer = append(newer, c)
				mu.Unlock()
			}
		})
	}
	questions.Wait()
	for _, c := range newer {
		r.node.cfg.Log.WithFields(logrus.Fields{"event": "config_restored", "from": c.Name, "version": version}).Warn("the store was restored with an older configuration than that of other instances; theirs is used")
		if err := r.fetchConfigFrom(ctx, c, 0); err == nil && r.cache.Known().Config > version {
			return
		}
	}
}

// awaitOthers returns the other announced instances. If there are none, it waits for them
// up to restoredListWait.
func (r *reader) awaitOthers(ctx context.Context) []source.Candidate {
	until := r.node.cfg.Clock() + restoredListWait
	for {
		others := slices.DeleteFunc(r.cache.Instances(), func(c source.Candidate) bool { return c.Name == r.self.Name })
		if len(others) > 0 || !r.servesPeers() || r.node.cfg.Clock() >= until || ctx.Err() != nil {
			return others
		}
		boottime.Sleep(ctx, retryInterval)
		r.readInstances(ctx)
	}
}
