package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
)

// readSchedule tracks when a table of the store was last read.
type readSchedule struct {
	startedAt time.Duration
	succeeded bool
	running   bool
}

// begin reports whether the table is due, and if so marks it as being read. The next chance to
// read it is in the time next; it is due if that is later than the interval.
func (s *readSchedule) begin(now, interval, next time.Duration) bool {
	if s.running || s.succeeded && now+next <= s.startedAt+interval {
		return false
	}
	s.running, s.startedAt = true, now
	return true
}

func (s *readSchedule) end(ok bool) {
	s.running = false
	s.succeeded = ok
}

// readStore waits until the next read is due, at least for wait, then reads the primacy
// records from the store and, concurrently, the tables that are due.
func (r *reader) readStore(ctx context.Context, wait time.Duration) {
	n := r.node
	r.awaitNextRead(ctx, wait)
	if ctx.Err() != nil {
		return
	}
	r.setSource("")
	now := n.cfg.Clock()
	r.mu.Lock()
	r.readStartedAt = now
	next, interval := r.recordsInterval(now), membersInterval
	if now < r.urgentUntil {
		interval = urgentMembersInterval
	}
	membersDue := r.membersSchedule.begin(now, interval, next)
	interval = instancesInterval
	if now-r.instancesChangedAt < settlePeriod {
		interval = membersInterval
	}
	instancesDue := r.servesPeers() && r.instancesSchedule.begin(now, interval, next)
	r.mu.Unlock()
	var tables sync.WaitGroup
	// The configuration may take longer to read than the snapshots of other instances may
	// be old, so the reads of the records do not wait for it.
	if !n.Configured() && r.shouldReadConfig(now) {
		go r.readConfig(ctx)
	}
	membersRead := make(chan struct{})
	if membersDue {
		tables.Go(func() {
			defer close(membersRead)
			r.readMembers(ctx)
		})
	} else {
		close(membersRead)
	}
	if instancesDue {
		tables.Go(func() { r.readInstances(ctx) })
	}
	if unannounced := r.unannounced(); len(unannounced) > 0 {
		tables.Go(func() { r.writeAnnouncements(ctx, unannounced) })
	}
	// On a ready instance a slow table does not delay the next read of the records;
	// the table is read again when it is due.
	if !n.Ready() {
		defer tables.Wait()
	}
	records, sentAt, err := timedCall(ctx, n, "records", n.cfg.Store.Records)
	answeredAt := n.cfg.Clock()
	r.mu.Lock()
	r.picker.RecordStoreRead(err == nil, answeredAt)
	if err == nil {
		r.readSucceededAt = answeredAt
	}
	r.mu.Unlock()
	r.storeDependency.observe(err)
	if err != nil {
		boottime.Sleep(ctx, retryInterval)
		return
	}
	n.isolation.recordAnswer()
	// Instances that poll this one get both with one answer, which the records trigger.
	select {
	case <-membersRead:
	case <-time.After(membersWait):
	}
	changes := r.cache.SetRecords(records, sentAt, answeredAt)
	if !changes.RecordsRead {
		n.cfg.Metrics.CountIgnoredSnapshot("records")
	}
	if changes.Restored {
		r.readTablesAgain()
	}
	r.applyChanges(changes)
	r.wakeReader()
}

// readTablesAgain makes the members and the announced instances due at once. In a new era
// of the store, the list of instances may lack running ones.
func (r *reader) readTablesAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membersSchedule.succeeded, r.instancesSchedule.succeeded = false, false
	r.instancesChangedAt = r.node.cfg.Clock()
}

// recordsInterval returns the interval between two reads of the records. r.mu is held.
func (r *reader) recordsInterval(now time.Duration) time.Duration {
	if now < r.urgentUntil {
		return urgentInterval
	}
	return readInterval
}

// awaitNextRead waits for the next store read of this instance: at least for atLeast,
// and then until the interval has passed, which a failover shortens.
func (r *reader) awaitNextRead(ctx context.Context, atLeast time.Duration) {
	boottime.Sleep(ctx, atLeast)
	for ctx.Err() == nil {
		r.mu.Lock()
		now := r.node.cfg.Clock()
		wait := r.readStartedAt + r.recordsInterval(now) - now
		r.mu.Unlock()
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (r *reader) readMembers(ctx context.Context) {
	members, sentAt, err := timedCall(ctx, r.node, "members", r.node.cfg.Store.Members)
	r.mu.Lock()
	r.membersSchedule.end(err == nil)
	r.mu.Unlock()
	if err == nil {
		changes := r.cache.SetMembers(members, sentAt, r.node.cfg.Clock())
		if !changes.MembersRead {
			r.node.cfg.Metrics.CountIgnoredSnapshot("members")
		}
		r.applyChanges(changes)
	}
}

// readInstances reads the announced instances and reports whether the read succeeded.
func (r *reader) readInstances(ctx context.Context) bool {
	instances, _, err := timedCall(ctx, r.node, "instances", r.node.cfg.Store.Instances)
	r.mu.Lock()
	r.instancesSchedule.end(err == nil)
	r.mu.Unlock()
	if err != nil {
		return false
	}
	r.applyChanges(r.cache.SetInstances(instances))
	return true
}

// shouldReadConfig reports whether this instance should read the configuration from
// the store: it is the first source of the others, or its wait for theirs is over.
func (r *reader) shouldReadConfig(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	configured := r.node.Configured()
	if r.picker.IsRoot(now) || configured {
		return r.picker.ReadsConfig(now, configured)
	}
	wait := r.picker.ConfigWait()
	if len(r.cache.Instances()) > peerConfigJitterAbove {
		wait += r.configJitter
	}
	return now-r.startedAt >= wait
}

// readConfig reads the current configuration from the store, unless that is already being
// done.
func (r *reader) readConfig(ctx context.Context) {
	n := r.node
	r.mu.Lock()
	if r.readingConfig {
		r.mu.Unlock()
		return
	}
	r.readingConfig = true
	r.mu.Unlock()
	// It counts as being read until it is applied: asking other instances for a newer one
	// after a restore of the store takes up to 1.5 s.
	defer func() {
		r.mu.Lock()
		r.readingConfig = false
		r.mu.Unlock()
	}()
	callCtx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	started := n.cfg.Clock()
	c, cursor, err := n.cfg.Store.Config(callCtx, catalog.ConfigCursor{}, 0)
	n.cfg.Metrics.StoreCall("config", err, n.cfg.Clock()-started)
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Warn("configuration could not be read from the store")
		return
	}
	if c != nil {
		r.mu.Lock()
		r.configCursor = cursor
		r.mu.Unlock()
		r.setStoreConfig(ctx, c, cursor)
	}
}

// writeAnnouncements announces the pending instances in the store.
func (r *reader) writeAnnouncements(ctx context.Context, pending []source.Candidate) {
	n := r.node
	callCtx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	started := n.cfg.Clock()
	err := n.cfg.Store.Announce(callCtx, pending)
	n.cfg.Metrics.StoreCall("announce", err, n.cfg.Clock()-started)
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "announce_failed", "instances": len(pending), "error": err.Error()}).Info("instances could not be announced in the store")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range pending {
		if r.pendingAnnouncements[c.Name] == c {
			delete(r.pendingAnnouncements, c.Name)
		}
	}
	r.instancesSchedule.succeeded = false // due at once
	r.instancesChangedAt = n.cfg.Clock()
}

// followConfig long-polls the store for new configurations while this instance
// reads the store itself.
func (r *reader) followConfig(ctx context.Context) {
	n := r.node
	var cursor catalog.ConfigCursor
	for ctx.Err() == nil {
		if !n.Configured() {
			boottime.Sleep(ctx, retryInterval) // readStore and fetchConfig obtain the first one
			continue
		}
		if !r.readsStoreItself() || !r.shouldReadConfig(n.cfg.Clock()) {
			cursor = catalog.ConfigCursor{}
			boottime.Sleep(ctx, readInterval)
			continue
		}
		if cursor.Version == 0 {
			cursor = r.takeConfigCursor()
		}
		callCtx, cancel := context.WithTimeout(ctx, configWait+configWaitMargin)
		started := n.cfg.Clock()
		c, next, err := n.cfg.Store.Config(callCtx, cursor, configWait)
		cancel()
		n.cfg.Metrics.StoreCall("config", err, n.cfg.Clock()-started)
		cursor = next
		if err != nil {
			n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "cursor": cursor.Version, "error": err.Error()}).Info("long poll of the store for a new configuration failed")
			boottime.Sleep(ctx, retryInterval)
			continue
		}
		r.setStoreConfig(ctx, c, next)
	}
}

// takeConfigCursor returns the cursor of the last call of readConfig, once.
func (r *reader) takeConfigCursor() catalog.ConfigCursor {
	r.mu.Lock()
	defer r.mu.Unlock()
	cursor := r.configCursor
	r.configCursor = catalog.ConfigCursor{}
	return cursor
}

// readsStoreItself reports whether this instance currently reads the store itself,
// instead of polling a peer.
func (r *reader) readsStoreItself() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sourceName == "" && r.readSucceededAt > 0 && r.node.cfg.Clock()-r.readSucceededAt < activePeriod
}

// timedCall makes one call to the store, bounded by readTimeout and counted in the
// metrics, and returns when it was sent.
func timedCall[T any](ctx context.Context, n *Node, name string, call func(context.Context) (T, error)) (value T, sentAt time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt = n.cfg.Clock()
	value, err = call(ctx)
	n.cfg.Metrics.StoreCall(name, err, n.cfg.Clock()-sentAt)
	return value, sentAt, err
}

// withdraw removes the announcement of this instance from the store.
func (n *Node) withdraw() {
	if !n.reader.servesPeers() {
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	if err := n.cfg.Store.Withdraw(callCtx, n.cfg.Settings.Instance); err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "withdraw_failed", "error": err.Error()}).Info("announcement of this instance could not be withdrawn")
	}
}
