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
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
)

const (
	// readInterval is the interval between reads of the primacy records in the store,
	// by the instance that reads them for all others. Two intervals and a failed
	// attempt fit into the read lease of 1 s.
	readInterval = 300 * time.Millisecond
	// urgentInterval replaces readInterval during a failover, until urgentPeriod
	// after the last report that the failover is in progress.
	urgentInterval = 100 * time.Millisecond
	urgentPeriod   = time.Second
	// readTimeout bounds a read of the records. A slower store counts as unavailable.
	readTimeout = 450 * time.Millisecond
	// pollTimeout bounds a poll of another instance, which answers within 0.35 s
	// if it is alive.
	pollTimeout = 450 * time.Millisecond
	// staleAfter is the age of an instance's newest snapshot above which it reports
	// itself unavailable as a source, and above which its own poll that brings
	// nothing newer counts as a failure of the polled instance.
	staleAfter = 600 * time.Millisecond
	// membersInterval is the interval between reads of the members. A member must
	// be out of use within 7 s after it announces that it leaves.
	membersInterval = time.Second
	// urgentMembersInterval replaces membersInterval during a failover: a member is promoted
	// only with a recent list.
	urgentMembersInterval = 300 * time.Millisecond
	// membersWait limits how long a read of the records that has been answered waits for
	// that of the members.
	membersWait = 30 * time.Millisecond
	// instancesInterval is the interval between reads of the announced instances;
	// the loss of one is noticed when it does not answer. Until settlePeriod after
	// a change of the list, it is read as often as the members.
	instancesInterval = 5 * time.Second
	settlePeriod      = 5 * time.Second
	// configWait is the long-poll time of a call for a new configuration; the call
	// times out configWaitMargin later, which detects a silent connection. Both and
	// one more attempt fit into the 3 s in which a new configuration must be in force.
	configWait       = 2 * time.Second
	configWaitMargin = 400 * time.Millisecond
	// activePeriod is how long an instance keeps following the configuration in the
	// store after its last successful read of the records.
	activePeriod = time.Second
	// retryInterval is the delay before a failed call to the store is repeated.
	retryInterval = 100 * time.Millisecond
	// backgroundTimeout bounds store calls that are not urgent: a slow store takes
	// 0.4 s for an answer.
	backgroundTimeout = 1500 * time.Millisecond
	// peerConfigJitter is the range of a random time that is added to the wait of a starting
	// instance for a peer's configuration (source.Picker.ConfigWait) in a deployment
	// of more than peerConfigJitterAbove instances, so that they do not all read it from the
	// store at the same time.
	peerConfigJitter      = 2 * time.Second
	peerConfigJitterAbove = 12
	// startJitter is the range of the random delay before an instance first reads the
	// store when the whole deployment starts, so that the first instances are
	// announced before the others read the list and can be polled by them.
	startJitter = time.Second
)

// reader keeps the cached snapshot of the store fresh, from the store itself or
// from a peer, and implements relay.Source for other peers.
type reader struct {
	node            *Node
	cache           *relay.Cache
	client          *relay.Client
	storeDependency *dependencyMonitor
	self            source.Candidate
	wake            chan struct{} // of capacity 1; makes awaitNextRead recompute its wait

	mu                 sync.Mutex
	ctx                context.Context // of run; nil before it
	picker             *source.Picker
	sourceName         string        // instance that was last polled with success; empty: the store
	readStartedAt      time.Duration // start of the last store read of this instance
	readSucceededAt    time.Duration // end of its last successful store read
	urgentUntil        time.Duration // urgentInterval applies until then
	urgentSentAt       time.Duration // when PollFaster last passed a request on
	membersSchedule    readSchedule
	instancesSchedule  readSchedule
	instancesChangedAt time.Duration // last change of the announced instances
	fetchingConfig     bool          // a configuration is being fetched from a peer
	fetchTriedAt       time.Duration // last attempt that ConfigOutdated or an incomplete change caused
	readingConfig      bool          // readConfig is running
	// configCursor is the cursor of the store after readConfig; zero if it has not succeeded.
	configCursor catalog.ConfigCursor
	// confirmedBySource is the cursor up to which the polled instance knows the configuration
	// to be the newest one, as it has answered.
	confirmedBySource catalog.ConfigCursor
	// leavingAtSource states since when members leave, as the polled instance has answered.
	leavingAtSource catalog.Leaving
	// configSeen is the newest version of the configuration that a polled instance has
	// reported, and that is being fetched from it.
	configSeen uint64
	// configUnconfirmed means that the configuration was last known to be the newest one too
	// long ago. configCheckedAt is when this instance last asked the store for a newer one
	// for that reason, and checkingConfig means that it is waiting for the answer.
	configUnconfirmed, checkingConfig bool
	configCheckedAt                   time.Duration
	// startedAt is the time of the start, and configJitter a random addition to the wait for
	// a peer's configuration.
	startedAt, configJitter time.Duration
	// pendingAnnouncements holds instances to be announced in the store, by name.
	pendingAnnouncements map[string]source.Candidate
	applyMu              sync.Mutex // held while changes are applied to the node
}

func newReader(n *Node) *reader {
	s := n.cfg.Settings
	return &reader{node: n, cache: relay.NewCache(n.cfg.Clock), client: relay.NewClient(s.Instance, s.FailureDomain, n.cfg.DialPeer, n.cfg.Log),
		storeDependency: n.newDependencyMonitor("store"), wake: make(chan struct{}, 1), picker: source.New(s.Instance, s.FailureDomain, s.Region),
		self:                 source.Candidate{Name: s.Instance, Address: s.PeerAddress, FailureDomain: s.FailureDomain, Region: s.Region, Weight: s.Weight},
		pendingAnnouncements: make(map[string]source.Candidate)}
}

// run keeps the node up to date from the store or a peer until ctx ends.
func (r *reader) run(ctx context.Context) {
	defer r.client.Close()
	r.mu.Lock()
	r.ctx = ctx
	r.startedAt, r.configJitter = r.node.cfg.Clock(), rand.N(peerConfigJitter)
	r.mu.Unlock()
	r.discoverInstances(ctx)
	for ctx.Err() == nil {
		r.checkConfigAge(ctx)
		if r.node.primaryUncertain() {
			r.PollFaster()
		}
		r.mu.Lock()
		choice := r.picker.Next(r.node.cfg.Clock())
		r.mu.Unlock()
		if choice.ReadStore {
			r.readStore(ctx, choice.Delay)
		} else {
			r.pollSource(ctx, choice.Source)
		}
	}
}

// discoverInstances reads the announced instances, so that everything else can be
// polled from one of them.
func (r *reader) discoverInstances(ctx context.Context) {
	if !r.servesPeers() {
		return
	}
	if r.node.cfg.Settings.FirstStart {
		boottime.Sleep(ctx, rand.N(startJitter))
	}
	for ctx.Err() == nil && !r.readInstances(ctx) {
		boottime.Sleep(ctx, retryInterval)
	}
}

// servesPeers reports whether other instances can call this one.
func (r *reader) servesPeers() bool { return r.self.Address != "" }

// unannounced returns the instances whose announcement is not yet in the store.
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

// errStarting means that the polled instance has not had a snapshot since its start.
var errStarting = errors.New("the polled instance is starting and has no snapshot of the store yet")

// errUnbounded means that the polled instance got its first snapshot while the poll waited
// there, so that its answer does not bound the age of the snapshot. The next poll is answered
// at once, with a bound.
var errUnbounded = errors.New("the polled instance has just got its first snapshot of the store")

// pollSource polls another instance for a newer snapshot and applies the answer.
func (r *reader) pollSource(ctx context.Context, from source.Candidate) {
	n := r.node
	announce := r.unannounced()
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := n.cfg.Clock()
	r.mu.Lock()
	seen, confirmedBySource, leavingAtSource := r.configSeen, r.confirmedBySource, r.leavingAtSource
	r.mu.Unlock()
	news := relay.News{ConfigSeen: seen, ConfigConfirmed: r.cache.ConfirmedBeyond(confirmedBySource), Leaving: r.cache.LeavingBeyond(leavingAtSource)}
	answer, err := r.client.Poll(callCtx, from, r.cache.Known(), news, announce)
	answeredAt := n.cfg.Clock()
	n.cfg.Metrics.StoreCall("relayed", err, answeredAt-sentAt)
	var changes relay.Changes
	if err == nil {
		changes = r.cache.Apply(answer, sentAt, answeredAt)
		if !changes.RecordsRead && r.stale() {
			err = relay.ErrStale
			switch {
			case answer.Delta.RecordsAsOf == 0:
				err = errStarting
			case answer.Latest == 0:
				err = errUnbounded
			}
		}
	}
	r.mu.Lock()
	if err == nil {
		r.confirmedBySource, r.leavingAtSource = answer.Delta.ConfigConfirmed(), answer.Delta.Leaving
	}
	switch {
	case err == nil:
		r.picker.RecordSuccess(from.Name, answeredAt)
	case errors.Is(err, errUnbounded): // no failure
	case errors.Is(err, errStarting):
		r.picker.RecordFailure(from.Name, source.Starting, answeredAt)
	case errors.Is(err, relay.ErrStale):
		r.picker.RecordFailure(from.Name, source.StoreUnavailable, answeredAt)
	default:
		r.picker.RecordFailure(from.Name, source.Unresponsive, answeredAt)
	}
	r.mu.Unlock()
	switch {
	case errors.Is(err, errUnbounded):
	case err != nil:
		n.cfg.Log.WithFields(logrus.Fields{"event": "source_failed", "from": from.Name, "error": err.Error()}).Info("peer did not provide a fresh snapshot of the store")
	default:
		r.storeDependency.observe(nil)
		r.setSource(from.Name)
		if from.FailureDomain != n.cfg.Settings.FailureDomain {
			n.isolation.recordAnswer()
		}
	}
	r.applyChanges(changes)
	if answer.Delta.ConfigVersion > r.cache.Known().Config {
		r.fetchNewerConfig(ctx, answer.Delta.Config, answer.Delta.ConfigVersion)
	}
}

// setSource records where the newest snapshot came from: an instance, or the store if
// name is empty.
func (r *reader) setSource(name string) {
	r.mu.Lock()
	before := r.sourceName
	r.sourceName = name
	r.mu.Unlock()
	if name != before {
		r.node.cfg.Log.WithFields(logrus.Fields{"event": "source", "from": name, "before": before}).Info("source of store snapshots changed")
	}
}
