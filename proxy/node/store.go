package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
)

// readSchedule is when a part of the store was last read.
type readSchedule struct {
	at      time.Duration
	read    bool
	running bool
}

// begin reports whether the part is due, and then takes it as being read.
func (s *readSchedule) begin(now, interval time.Duration) bool {
	if s.running || s.read && now-s.at < interval {
		return false
	}
	s.running, s.at = true, now
	return true
}

func (s *readSchedule) end(ok bool) {
	s.running = false
	s.read = ok
}

// readOwn reads the records, and the parts that are due beside them.
func (r *reader) readOwn(ctx context.Context, wait time.Duration) {
	n := r.n
	r.await(ctx, wait)
	if ctx.Err() != nil {
		return
	}
	r.noteSource("")
	now := n.cfg.Clock()
	r.mu.Lock()
	r.started = now
	members := r.members.begin(now, membersInterval)
	interval := instancesInterval
	if now-r.moved < settledAfter {
		interval = membersInterval
	}
	instances := r.announces() && r.instances.begin(now, interval)
	r.mu.Unlock()
	var parts sync.WaitGroup
	if !n.Configured() && r.mayReadConfig(now) {
		parts.Go(func() { r.readConfig(ctx) })
	}
	if members {
		parts.Go(func() { r.readMembers(ctx) })
	}
	if instances {
		parts.Go(func() { r.readInstances(ctx) })
	}
	if waiting := r.unannounced(); len(waiting) > 0 {
		parts.Go(func() { r.write(ctx, waiting) })
	}
	// A slow part does not delay the evidence; it is read again when it is due.
	if !n.Ready() {
		defer parts.Wait()
	}
	records, sentAt, err := timed(ctx, n, "records", n.cfg.Store.Records)
	answeredAt := n.cfg.Clock()
	r.mu.Lock()
	r.picker.RecordStoreRead(err == nil, answeredAt)
	if err == nil {
		r.ended = answeredAt
	}
	r.mu.Unlock()
	r.link.note(err)
	if err != nil {
		boottime.Sleep(ctx, retryInterval)
		return
	}
	n.isolation.answered()
	r.takeIn(r.state.SetRecords(records, sentAt, answeredAt))
	r.poke()
}

// await waits for the next own reading: for the interval, or until somebody is in
// a hurry, but at least for a time.
func (r *reader) await(ctx context.Context, least time.Duration) {
	boottime.Sleep(ctx, least)
	for ctx.Err() == nil {
		r.mu.Lock()
		now := r.n.cfg.Clock()
		interval := readInterval
		if now < r.urgent {
			interval = urgentInterval
		}
		wait := r.started + interval - now
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
	members, sentAt, err := timed(ctx, r.n, "members", r.n.cfg.Store.Members)
	r.mu.Lock()
	r.members.end(err == nil)
	r.mu.Unlock()
	if err == nil {
		r.takeIn(r.state.SetMembers(members, sentAt, r.n.cfg.Clock()))
	}
}

// readInstances reads the announced instances and reports whether it could.
func (r *reader) readInstances(ctx context.Context) bool {
	instances, _, err := timed(ctx, r.n, "instances", r.n.cfg.Store.Instances)
	r.mu.Lock()
	r.instances.end(err == nil)
	r.mu.Unlock()
	if err != nil {
		return false
	}
	r.takeIn(r.state.SetInstances(instances))
	return true
}

// mayReadConfig reports whether this instance should read the configuration from
// the store: others rely on it, or it has waited for them long enough.
func (r *reader) mayReadConfig(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.picker.IsRoot(now) || now >= r.patientUntil
}

// readConfig reads the configuration as it is.
func (r *reader) readConfig(ctx context.Context) {
	n := r.n
	call, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	started := n.cfg.Clock()
	c, _, err := n.cfg.Store.Config(call, 0, 0)
	n.cfg.Metrics.StoreCall("config", err, n.cfg.Clock()-started)
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Warn("configuration could not be read")
		return
	}
	if c != nil {
		r.takeIn(r.state.SetConfig(c))
	}
}

// write announces instances in the store.
func (r *reader) write(ctx context.Context, all []source.Candidate) {
	n := r.n
	call, cancel := context.WithTimeout(ctx, slowTimeout)
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
		if r.announce[c.Name] == c {
			delete(r.announce, c.Name)
		}
	}
	r.instances.read = false // read them again at once
	r.moved = n.cfg.Clock()
}

// followConfig takes in each new configuration from the store while this
// instance reads for itself or others.
func (r *reader) followConfig(ctx context.Context) {
	n := r.n
	var cursor uint64
	for ctx.Err() == nil {
		if !r.active() {
			cursor = 0
			boottime.Sleep(ctx, readInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, configWait+configSlack)
		started := n.cfg.Clock()
		c, next, err := n.cfg.Store.Config(call, cursor, configWait)
		cancel()
		n.cfg.Metrics.StoreCall("config", err, n.cfg.Clock()-started)
		if err != nil {
			n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "cursor": cursor, "error": err.Error()}).Info("configuration could not be followed")
			boottime.Sleep(ctx, retryInterval)
			continue
		}
		cursor = next
		if c != nil {
			r.takeIn(r.state.SetConfig(c))
		}
	}
}

// active reports whether this instance reads the store itself at present.
func (r *reader) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from == "" && r.ended > 0 && r.n.cfg.Clock()-r.ended < readingFor
}

// timed makes one call to the store, bounded and counted, and returns when it was
// sent.
func timed[T any](ctx context.Context, n *Node, name string, call func(context.Context) (T, error)) (value T, sentAt time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt = n.cfg.Clock()
	value, err = call(ctx)
	n.cfg.Metrics.StoreCall(name, err, n.cfg.Clock()-sentAt)
	return value, sentAt, err
}

func (n *Node) withdraw() {
	if !n.reader.announces() {
		return
	}
	call, cancel := context.WithTimeout(context.Background(), slowTimeout)
	defer cancel()
	if err := n.cfg.Store.Withdraw(call, n.cfg.Settings.Instance); err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "withdraw_failed", "error": err.Error()}).Info("instance could not withdraw its announcement")
	}
}
