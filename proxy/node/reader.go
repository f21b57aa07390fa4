package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/relay"
	"github.com/papayarail/papayarail/proxy/steady"
)

const (
	// readInterval separates two readings of the records by the instance that
	// reads for all. Two intervals and a failed try fit into the read lease of 1 s.
	readInterval = 300 * time.Millisecond
	// urgentInterval is the interval while a primary is being replaced, until
	// urgentPeriod after the last word of it.
	urgentInterval = 100 * time.Millisecond
	urgentPeriod   = time.Second
	// readTimeout bounds a reading of the records. A store that is slower than
	// this is taken as away.
	readTimeout = 450 * time.Millisecond
	// pollTimeout bounds a reading by another instance, which answers within 0.35 s
	// if it is alive.
	pollTimeout = 450 * time.Millisecond
	// staleAfter is the age of the newest reading from which an instance that has
	// nothing newer is passed over, and does not count as a source itself.
	staleAfter = 600 * time.Millisecond
	// membersInterval is how often the members are read. They must be out of
	// use within 7 s after they announce that they leave.
	membersInterval = time.Second
	// instancesInterval is how often the announced instances are read; their
	// loss is noticed when they do not answer. While instances come and go, they
	// are read as often as the members, until settlePeriod the last change.
	instancesInterval = 5 * time.Second
	settlePeriod      = 5 * time.Second
	// configWait is how long one call waits for a new configuration; a silent
	// connection is noticed configWaitMargin later. Both fit into the 3 s in which
	// a configuration must be in force, with one more try.
	configWait       = 2 * time.Second
	configWaitMargin = 400 * time.Millisecond
	// activePeriod is how long an instance follows the configuration in the store
	// after its last reading of the records.
	activePeriod = time.Second
	// retryInterval separates failed calls to the store.
	retryInterval = 100 * time.Millisecond
	// backgroundTimeout is given to calls that are not urgent: a slow store takes
	// 0.4 s for an answer.
	backgroundTimeout = 1500 * time.Millisecond
	// peerConfigWait is how long an instance that starts waits for the configuration
	// of another one before it reads it from the store, and peerConfigJitter the range of
	// a random time beside it. One of 300 instances has 7 MB, which takes a small
	// machine 2 s to read: when all did so, none answered the others in time.
	peerConfigWait   = 4 * time.Second
	peerConfigJitter = 2 * time.Second
	// startJitter is the time over which instances that start for the first time
	// begin to read. The first ones are announced by then, and the others ask them.
	startJitter = time.Second
)

// reader keeps the readings of the store up to date, from the store or another
// instance, and passes them on to others.
type reader struct {
	node            *Node
	cache           *relay.Cache
	client          *relay.Client
	storeDependency *dependencyMonitor
	self            source.Candidate
	wake            chan struct{} // a reading is wanted sooner, or the configuration is to be followed

	mu                 sync.Mutex
	picker             *source.Picker
	sourceName         string        // the last source; empty: the store
	readStartedAt      time.Duration // of the last own reading
	readSucceededAt    time.Duration // of the last own reading that succeeded
	urgentUntil        time.Duration // readings are urgent until then
	urgentSentAt       time.Duration // when others were last told
	members            readSchedule
	instances          readSchedule
	instancesChangedAt time.Duration // last change of the instances
	fetchingConfig     bool          // a large configuration is being fetched
	// peerConfigUntil is when the configuration is read from the store at the latest.
	peerConfigUntil time.Duration
	// announce are instances that want to be announced.
	pendingAnnouncements map[string]source.Candidate
	applyMu              sync.Mutex // held while a reading is applied
}

func newReader(n *Node) *reader {
	s := n.cfg.Settings
	return &reader{node: n, cache: relay.NewCache(n.cfg.Clock), client: relay.NewClient(s.Instance, n.cfg.DialPeer, n.cfg.Log),
		storeDependency: n.newDependencyMonitor("store"), wake: make(chan struct{}, 1), picker: source.New(s.Instance, s.FailureDomain),
		self:                 source.Candidate{Name: s.Instance, Address: s.PeerAddress, FailureDomain: s.FailureDomain, Weight: s.Weight},
		pendingAnnouncements: make(map[string]source.Candidate)}
}

// follow keeps the node up to date with readings of this or another instance.
func (r *reader) run(ctx context.Context) {
	defer r.client.Close()
	r.mu.Lock()
	r.peerConfigUntil = r.node.cfg.Clock() + peerConfigWait + rand.N(peerConfigJitter)
	r.mu.Unlock()
	r.discoverInstances(ctx)
	for ctx.Err() == nil {
		if r.node.replacingPrimary() {
			r.PollFaster()
		}
		r.mu.Lock()
		choice := r.picker.Next(r.node.cfg.Clock())
		r.mu.Unlock()
		if choice.Own {
			r.readOwn(ctx, choice.Wait)
		} else {
			r.pollSource(ctx, choice.From)
		}
	}
}

// discoverInstances reads the announced instances, so that one of them can be asked for
// everything else.
func (r *reader) discoverInstances(ctx context.Context) {
	if !r.servesPeers() {
		return
	}
	if r.node.cfg.Settings.FirstStart {
		steady.Sleep(ctx, rand.N(startJitter))
	}
	for ctx.Err() == nil && !r.readInstances(ctx) {
		steady.Sleep(ctx, retryInterval)
	}
}

// announces reports whether this instance reads for others.
func (r *reader) servesPeers() bool { return r.self.Address != "" }

// unannounced returns the instances that want to be announced and are not.
func (r *reader) unannounced() []source.Candidate {
	if r.servesPeers() && !r.node.stop.ordered() && !r.cache.Announced(r.self) {
		r.Announce([]source.Candidate{r.self})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []source.Candidate
	for name, c := range r.pendingAnnouncements {
		if r.cache.Announced(c) {
			delete(r.pendingAnnouncements, name)
			continue
		}
		all = append(all, c)
	}
	return all
}

// ask gets a reading from another instance.
func (r *reader) pollSource(ctx context.Context, from source.Candidate) {
	n := r.node
	announce := r.unannounced()
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := n.cfg.Clock()
	answer, err := r.client.Poll(call, from, r.cache.Known(), announce)
	answeredAt := n.cfg.Clock()
	n.cfg.Metrics.StoreCall("relayed", err, answeredAt-sentAt)
	var changes relay.Changes
	if err == nil {
		changes = r.cache.Apply(answer, sentAt, answeredAt)
		if !changes.RecordsRead && r.stale() {
			err = relay.ErrStale
		}
	}
	r.mu.Lock()
	switch {
	case err == nil:
		r.picker.Answered(from.Name)
	case errors.Is(err, relay.ErrStale):
		r.picker.Failed(from.Name, source.StoreAway, answeredAt)
	default:
		r.picker.Failed(from.Name, source.Silent, answeredAt)
	}
	r.mu.Unlock()
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "source_failed", "from": from.Name, "error": err.Error()}).Info("instance gave no reading of the store")
	} else {
		r.storeDependency.observe(nil)
		r.setSource(from.Name)
		if from.FailureDomain != n.cfg.Settings.FailureDomain {
			n.isolation.recordAnswer()
		}
	}
	r.applyChanges(changes)
	if err == nil && answer.Delta.ConfigVersion > r.cache.Known().Config {
		r.fetchConfig(ctx)
	}
}

// fetchConfig fetches a configuration that is too large for an answer, beside the
// readings. If that fails, it is fetched again at the next answer, or read from the
// store.
func (r *reader) fetchConfig(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetchingConfig {
		return
	}
	r.fetchingConfig = true
	go func() {
		defer func() {
			r.mu.Lock()
			r.fetchingConfig = false
			r.mu.Unlock()
		}()
		started := r.node.cfg.Clock()
		d, err := r.client.FetchConfig(ctx, r.cache.Known().Config)
		r.node.cfg.Metrics.StoreCall("relayed_config", err, r.node.cfg.Clock()-started)
		if err == nil {
			r.applyChanges(r.cache.ApplyConfig(d))
			return
		}
		r.node.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Info("configuration was not fetched from another instance")
		if r.shouldReadConfig(r.node.cfg.Clock()) {
			r.readConfig(ctx)
		}
	}()
}

func (r *reader) setSource(name string) {
	r.mu.Lock()
	before := r.sourceName
	r.sourceName = name
	r.mu.Unlock()
	if name != before {
		r.node.cfg.Log.WithFields(logrus.Fields{"event": "source", "from": name, "before": before}).Info("readings of the store have another source")
	}
}
