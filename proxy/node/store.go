package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/steady"
)

// readSchedule is when a part of the store was last read.
type readSchedule struct {
	startedAt time.Duration
	succeeded bool
	running   bool
}

// begin reports whether the part is due, and then takes it as being read.
func (s *readSchedule) begin(now, interval time.Duration) bool {
	if s.running || s.succeeded && now-s.startedAt < interval {
		return false
	}
	s.running, s.startedAt = true, now
	return true
}

func (s *readSchedule) end(ok bool) {
	s.running = false
	s.succeeded = ok
}

// readOwn reads the records, and the parts that are due beside them.
func (r *reader) readOwn(ctx context.Context, wait time.Duration) {
	n := r.node
	r.awaitNextRead(ctx, wait)
	if ctx.Err() != nil {
		return
	}
	r.setSource("")
	now := n.cfg.Clock()
	r.mu.Lock()
	r.readStartedAt = now
	members := r.members.begin(now, membersInterval)
	interval := instancesInterval
	if now-r.instancesChangedAt < settlePeriod {
		interval = membersInterval
	}
	instances := r.servesPeers() && r.instances.begin(now, interval)
	r.mu.Unlock()
	var parts sync.WaitGroup
	if !n.Configured() && r.shouldReadConfig(now) {
		parts.Go(func() { r.readConfig(ctx) })
	}
	if members {
		parts.Go(func() { r.readMembers(ctx) })
	}
	if instances {
		parts.Go(func() { r.readInstances(ctx) })
	}
	if waiting := r.unannounced(); len(waiting) > 0 {
		parts.Go(func() { r.writeAnnouncements(ctx, waiting) })
	}
	// A slow part does not delay the evidence; it is read again when it is due.
	if !n.Ready() {
		defer parts.Wait()
	}
	records, sentAt, err := timedCall(ctx, n, "records", n.cfg.Store.Records)
	answeredAt := n.cfg.Clock()
	r.mu.Lock()
	r.picker.Read(err == nil, answeredAt)
	if err == nil {
		r.readSucceededAt = answeredAt
	}
	r.mu.Unlock()
	r.storeDependency.observe(err)
	if err != nil {
		steady.Sleep(ctx, retryInterval)
		return
	}
	n.isolation.recordAnswer()
	r.applyChanges(r.cache.SetRecords(records, sentAt, answeredAt))
	r.signal()
}

// await waits for the next own reading: for the interval, or until somebody is in
// a hurry, but at least for a time.
func (r *reader) awaitNextRead(ctx context.Context, least time.Duration) {
	steady.Sleep(ctx, least)
	for ctx.Err() == nil {
		r.mu.Lock()
		now := r.node.cfg.Clock()
		interval := readInterval
		if now < r.urgentUntil {
			interval = urgentInterval
		}
		wait := r.readStartedAt + interval - now
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

// readMembers reads the members.
func (r *reader) readMembers(ctx context.Context) {
	members, sentAt, err := timedCall(ctx, r.node, "members", r.node.cfg.Store.Members)
	r.mu.Lock()
	r.members.end(err == nil)
	r.mu.Unlock()
	if err == nil {
		r.applyChanges(r.cache.SetMembers(members, sentAt, r.node.cfg.Clock()))
	}
}

// readInstances reads the announced instances and reports whether it could.
func (r *reader) readInstances(ctx context.Context) bool {
	instances, _, err := timedCall(ctx, r.node, "instances", r.node.cfg.Store.Instances)
	r.mu.Lock()
	r.instances.end(err == nil)
	r.mu.Unlock()
	if err != nil {
		return false
	}
	r.applyChanges(r.cache.SetInstances(instances))
	return true
}

// shouldReadConfig reports whether this instance should read the configuration from
// the store: others rely on it, or it has waited for them long enough.
func (r *reader) shouldReadConfig(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.picker.First(now) || now >= r.peerConfigUntil
}

// readConfig reads the configuration as it is.
func (r *reader) readConfig(ctx context.Context) {
	n := r.node
	call, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	started := n.cfg.Clock()
	c, _, err := n.cfg.Store.Config(call, 0, 0)
	n.cfg.Metrics.StoreCall("config", err, n.cfg.Clock()-started)
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Warn("configuration could not be read")
		return
	}
	if c != nil {
		r.applyChanges(r.cache.SetConfig(c))
	}
}

// write announces instances in the store.
func (r *reader) writeAnnouncements(ctx context.Context, all []source.Candidate) {
	n := r.node
	call, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	started := n.cfg.Clock()
	err := n.cfg.Store.Announce(call, all)
	n.cfg.Metrics.StoreCall("announce", err, n.cfg.Clock()-started)
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "announce_failed", "instances": len(all), "error": err.Error()}).Info("instances could not be announced")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range all {
		if r.pendingAnnouncements[c.Name] == c {
			delete(r.pendingAnnouncements, c.Name)
		}
	}
	r.instances.succeeded = false // read them again at once
	r.instancesChangedAt = n.cfg.Clock()
}

// followConfig takes in each new configuration from the store while this
// instance reads for itself or others.
func (r *reader) followConfig(ctx context.Context) {
	n := r.node
	var cursor uint64
	for ctx.Err() == nil {
		if !r.active() {
			cursor = 0
			steady.Sleep(ctx, readInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, configWait+configWaitMargin)
		started := n.cfg.Clock()
		c, next, err := n.cfg.Store.Config(call, cursor, configWait)
		cancel()
		n.cfg.Metrics.StoreCall("config", err, n.cfg.Clock()-started)
		if err != nil {
			n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "cursor": cursor, "error": err.Error()}).Info("configuration could not be followed")
			steady.Sleep(ctx, retryInterval)
			continue
		}
		cursor = next
		if c != nil {
			r.applyChanges(r.cache.SetConfig(c))
		}
	}
}

// active reports whether this instance reads the store itself at present.
func (r *reader) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sourceName == "" && r.readSucceededAt > 0 && r.node.cfg.Clock()-r.readSucceededAt < activePeriod
}

// timed makes one call to the store, bounded and counted, and returns when it was
// sent.
func timedCall[T any](ctx context.Context, n *Node, name string, call func(context.Context) (T, error)) (value T, sentAt time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt = n.cfg.Clock()
	value, err = call(ctx)
	n.cfg.Metrics.StoreCall(name, err, n.cfg.Clock()-sentAt)
	return value, sentAt, err
}

func (n *Node) withdraw() {
	if !n.reader.servesPeers() {
		return
	}
	call, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
	defer cancel()
	if err := n.cfg.Store.Withdraw(call, n.cfg.Settings.Instance); err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "withdraw_failed", "error": err.Error()}).Info("instance could not withdraw its announcement")
	}
}
