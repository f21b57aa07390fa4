package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/relay"
)

const (
	// readInterval separates two readings of the records by the instance that
	// reads for all. Two intervals and a failed try fit into the read lease of 1 s.
	readInterval = 300 * time.Millisecond
	// urgentInterval is the interval while a primary is being replaced, until
	// urgentFor after the last word of it.
	urgentInterval = 100 * time.Millisecond
	urgentFor      = time.Second
	// readTimeout bounds a reading of the records. A store that is slower than
	// this is taken as away.
	readTimeout = 450 * time.Millisecond
	// askTimeout bounds a reading by another instance, which answers within 0.35 s
	// if it is alive.
	askTimeout = 450 * time.Millisecond
	// staleAfter is the age of the newest reading from which an instance that has
	// nothing newer is passed over, and does not count as a source itself.
	staleAfter = 600 * time.Millisecond
	// membersInterval is how often the members are read. They must be out of
	// use within 7 s after they announce that they leave.
	membersInterval = time.Second
	// instancesInterval is how often the announced instances are read; their
	// loss is noticed when they do not answer. While instances come and go, they
	// are read as often as the members, until settledAfter the last change.
	instancesInterval = 5 * time.Second
	settledAfter      = 5 * time.Second
	// configWait is how long one call waits for a new configuration; a silent
	// connection is noticed configSlack later. Both fit into the 3 s in which
	// a configuration must be in force, with one more try.
	configWait  = 2 * time.Second
	configSlack = 400 * time.Millisecond
	// readingFor is how long an instance follows the configuration in the store
	// after its last reading of the records.
	readingFor = time.Second
	// retryInterval separates failed calls to the store.
	retryInterval = 100 * time.Millisecond
	// slowTimeout is given to calls that are not urgent: a slow store takes
	// 0.4 s for an answer.
	slowTimeout = 1500 * time.Millisecond
	// configPatience is how long an instance that starts waits for the configuration
	// of another one before it reads it from the store, and configSpread the range of
	// a random time beside it. One of 300 instances has 7 MB, which takes a small
	// machine 2 s to read: when all did so, none answered the others in time.
	configPatience = 4 * time.Second
	configSpread   = 2 * time.Second
	// startSpread is the time over which instances that start for the first time
	// begin to read. The first ones are announced by then, and the others ask them.
	startSpread = time.Second
)

// reader keeps the readings of the store up to date, from the store or another
// instance, and passes them on to others.
type reader struct {
	n      *Node
	state  *relay.Cache
	client *relay.Client
	link   *dependency
	self   source.Candidate
	wake   chan struct{} // a reading is wanted sooner, or the configuration is to be followed

	mu        sync.Mutex
	picker    *source.Picker
	from      string        // the last source; empty: the store
	started   time.Duration // of the last own reading
	ended     time.Duration // of the last own reading that succeeded
	urgent    time.Duration // readings are urgent until then
	hurried   time.Duration // when others were last told
	members   readSchedule
	instances readSchedule
	moved     time.Duration // last change of the instances
	fetching  bool          // a large configuration is being fetched
	// patientUntil is when the configuration is read from the store at the latest.
	patientUntil time.Duration
	// announce are instances that want to be announced.
	announce map[string]source.Candidate
	taking   sync.Mutex // held while a reading is applied
}

func newReader(n *Node) *reader {
	s := n.cfg.Settings
	return &reader{n: n, state: relay.NewCache(n.cfg.Clock), client: relay.NewClient(s.Instance, n.cfg.DialPeer, n.cfg.Log),
		link: n.dependency("store"), wake: make(chan struct{}, 1), picker: source.New(s.Instance, s.FailureDomain),
		self:     source.Candidate{Name: s.Instance, Address: s.PeerAddress, FailureDomain: s.FailureDomain, Weight: s.Weight},
		announce: make(map[string]source.Candidate)}
}

// follow keeps the node up to date with readings of this or another instance.
func (r *reader) follow(ctx context.Context) {
	defer r.client.Close()
	r.mu.Lock()
	r.patientUntil = r.n.cfg.Clock() + configPatience + rand.N(configSpread)
	r.mu.Unlock()
	r.findOthers(ctx)
	for ctx.Err() == nil {
		if r.n.changing() {
			r.PollFaster()
		}
		r.mu.Lock()
		choice := r.picker.Next(r.n.cfg.Clock())
		r.mu.Unlock()
		if choice.ReadStore {
			r.readOwn(ctx, choice.Delay)
		} else {
			r.ask(ctx, choice.Source)
		}
	}
}

// findOthers reads the announced instances, so that one of them can be asked for
// everything else.
func (r *reader) findOthers(ctx context.Context) {
	if !r.announces() {
		return
	}
	if r.n.cfg.Settings.FirstStart {
		boottime.Sleep(ctx, rand.N(startSpread))
	}
	for ctx.Err() == nil && !r.readInstances(ctx) {
		boottime.Sleep(ctx, retryInterval)
	}
}

// announces reports whether this instance reads for others.
func (r *reader) announces() bool { return r.self.Address != "" }

// unannounced returns the instances that want to be announced and are not.
func (r *reader) unannounced() []source.Candidate {
	if r.announces() && !r.n.stop.ordered() && !r.state.Announced(r.self) {
		r.Announce([]source.Candidate{r.self})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []source.Candidate
	for name, c := range r.announce {
		if r.state.Announced(c) {
			delete(r.announce, name)
			continue
		}
		all = append(all, c)
	}
	return all
}

// ask gets a reading from another instance.
func (r *reader) ask(ctx context.Context, from source.Candidate) {
	n := r.n
	announce := r.unannounced()
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sentAt := n.cfg.Clock()
	answer, err := r.client.Poll(call, from, r.state.Known(), announce)
	answeredAt := n.cfg.Clock()
	n.cfg.Metrics.StoreCall("relayed", err, answeredAt-sentAt)
	var changes relay.Changes
	if err == nil {
		changes = r.state.Apply(answer, sentAt, answeredAt)
		if !changes.RecordsRead && r.stale() {
			err = relay.ErrStale
		}
	}
	r.mu.Lock()
	switch {
	case err == nil:
		r.picker.RecordSuccess(from.Name)
	case errors.Is(err, relay.ErrStale):
		r.picker.RecordFailure(from.Name, source.StoreUnavailable, answeredAt)
	default:
		r.picker.RecordFailure(from.Name, source.Unresponsive, answeredAt)
	}
	r.mu.Unlock()
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "source_failed", "from": from.Name, "error": err.Error()}).Info("instance gave no reading of the store")
	} else {
		r.link.note(nil)
		r.noteSource(from.Name)
		if from.FailureDomain != n.cfg.Settings.FailureDomain {
			n.isolation.answered()
		}
	}
	r.takeIn(changes)
	if err == nil && answer.Delta.ConfigVersion > r.state.Known().Config {
		r.fetchConfig(ctx)
	}
}

// fetchConfig fetches a configuration that is too large for an answer, beside the
// readings. If that fails, it is fetched again at the next answer, or read from the
// store.
func (r *reader) fetchConfig(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetching {
		return
	}
	r.fetching = true
	go func() {
		defer func() {
			r.mu.Lock()
			r.fetching = false
			r.mu.Unlock()
		}()
		started := r.n.cfg.Clock()
		d, err := r.client.FetchConfig(ctx, r.state.Known().Config)
		r.n.cfg.Metrics.StoreCall("relayed_config", err, r.n.cfg.Clock()-started)
		if err == nil {
			r.takeIn(r.state.ApplyConfig(d))
			return
		}
		r.n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Info("configuration was not fetched from another instance")
		if r.mayReadConfig(r.n.cfg.Clock()) {
			r.readConfig(ctx)
		}
	}()
}

func (r *reader) noteSource(name string) {
	r.mu.Lock()
	before := r.from
	r.from = name
	r.mu.Unlock()
	if name != before {
		r.n.cfg.Log.WithFields(logrus.Fields{"event": "source", "from": name, "before": before}).Info("readings of the store have another source")
	}
}
