package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
	"github.com/papayarail/papayarail/proxy/steady"
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
	state  *relay.State
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

func newReader(n *Node) *reader {
	s := n.cfg.Settings
	return &reader{n: n, state: relay.NewState(n.cfg.Clock), client: relay.NewClient(s.Instance, n.cfg.DialPeer, n.cfg.Log),
		link: n.dependency("store"), wake: make(chan struct{}, 1), picker: source.New(s.Instance, s.FailureDomain),
		self:     source.Candidate{Name: s.Instance, Address: s.RelayAddress, FailureDomain: s.FailureDomain, Weight: s.Weight},
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
			r.Hurry()
		}
		r.mu.Lock()
		choice := r.picker.Next(r.n.cfg.Clock())
		r.mu.Unlock()
		if choice.Own {
			r.readOwn(ctx, choice.Wait)
		} else {
			r.ask(ctx, choice.From)
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
		steady.Sleep(ctx, rand.N(startSpread))
	}
	for ctx.Err() == nil && !r.readInstances(ctx) {
		steady.Sleep(ctx, retryInterval)
	}
}

// announces reports whether this instance reads for others.
func (r *reader) announces() bool { return r.self.Address != "" }

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
	r.picker.Read(err == nil, answeredAt)
	if err == nil {
		r.ended = answeredAt
	}
	r.mu.Unlock()
	r.link.note(err)
	if err != nil {
		steady.Sleep(ctx, retryInterval)
		return
	}
	r.takeIn(r.state.ReadRecords(records, sentAt, answeredAt))
	r.poke()
}

// await waits for the next own reading: for the interval, or until somebody is in
// a hurry, but at least for a time.
func (r *reader) await(ctx context.Context, least time.Duration) {
	steady.Sleep(ctx, least)
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
		r.takeIn(r.state.ReadMembers(members, sentAt, r.n.cfg.Clock()))
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
	r.takeIn(r.state.ReadInstances(instances))
	return true
}

// mayReadConfig reports whether this instance should read the configuration from
// the store: others rely on it, or it has waited for them long enough.
func (r *reader) mayReadConfig(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.picker.First(now) || now >= r.patientUntil
}

// readConfig reads the configuration as it is.
func (r *reader) readConfig(ctx context.Context) {
	n := r.n
	call, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	started := n.cfg.Clock()
	c, _, err := n.cfg.Store.Config(call, 0, 0)
	n.cfg.Figures.StoreCall("config", err, n.cfg.Clock()-started)
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Warn("configuration could not be read")
		return
	}
	if c != nil {
		r.takeIn(r.state.ReadConfig(c))
	}
}

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

// write announces instances in the store.
func (r *reader) write(ctx context.Context, all []source.Candidate) {
	n := r.n
	call, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	started := n.cfg.Clock()
	err := n.cfg.Store.Announce(call, all)
	n.cfg.Figures.StoreCall("announce", err, n.cfg.Clock()-started)
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

// ask gets a reading from another instance.
func (r *reader) ask(ctx context.Context, from source.Candidate) {
	n := r.n
	announce := r.unannounced()
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sentAt := n.cfg.Clock()
	answer, err := r.client.Ask(call, from, r.state.Known(), announce)
	answeredAt := n.cfg.Clock()
	n.cfg.Figures.StoreCall("relayed", err, answeredAt-sentAt)
	var changes relay.Changes
	if err == nil {
		changes = r.state.Apply(answer, sentAt, answeredAt)
		if !changes.Records && r.stale() {
			err = relay.ErrStoreAway
		}
	}
	r.mu.Lock()
	switch {
	case err == nil:
		r.picker.Answered(from.Name)
	case errors.Is(err, relay.ErrStoreAway):
		r.picker.Failed(from.Name, source.StoreAway, answeredAt)
	default:
		r.picker.Failed(from.Name, source.Silent, answeredAt)
	}
	r.mu.Unlock()
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "source_failed", "from": from.Name, "error": err.Error()}).Info("instance gave no reading of the store")
	} else {
		r.link.note(nil)
		r.noteSource(from.Name)
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
		d, err := r.client.Config(ctx, r.state.Known().Config)
		r.n.cfg.Figures.StoreCall("relayed_config", err, r.n.cfg.Clock()-started)
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

// stale reports whether the newest reading is too old to be passed on.
func (r *reader) stale() bool {
	age, ok := r.state.Age()
	return !ok || age > staleAfter
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

// State implements relay.Source.
func (r *reader) State() *relay.State { return r.state }

// Away implements relay.Source. The asker may be this instance's own source, when
// the store turns away the one that comes first.
func (r *reader) Away(asker string) bool {
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

// Hurry implements relay.Source: a primary is being replaced.
func (r *reader) Hurry() {
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
		if err := r.client.Hurry(ctx); err != nil {
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

// takeIn applies what a reading has changed.
func (r *reader) takeIn(c relay.Changes) {
	if c == (relay.Changes{}) {
		return
	}
	r.taking.Lock()
	defer r.taking.Unlock()
	if c.InstancesChanged {
		all := r.state.Instances()
		r.mu.Lock()
		r.moved = r.n.cfg.Clock()
		r.picker.SetCandidates(all)
		r.mu.Unlock()
		r.n.setInstances(all)
	}
	if c.Config {
		r.n.apply(r.state.Config())
	}
	if c.Members || c.Config || c.InstancesChanged {
		if members, at := r.state.Members(); r.state.HasMembers() {
			r.n.setMembers(members, at.Earliest, c.Config || c.InstancesChanged)
		}
	}
	if c.Records || c.Config {
		records, at := r.state.Records()
		for _, g := range r.n.allGroups() {
			record := records[g.Service()]
			record.Service = g.Service()
			g.UpdateRecord(record, at)
		}
	}
}

// followConfig takes in each new configuration from the store while this
// instance reads for itself or others.
func (r *reader) followConfig(ctx context.Context) {
	n := r.n
	var cursor uint64
	for ctx.Err() == nil {
		if !r.active() {
			cursor = 0
			steady.Sleep(ctx, readInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, configWait+configSlack)
		started := n.cfg.Clock()
		c, next, err := n.cfg.Store.Config(call, cursor, configWait)
		cancel()
		n.cfg.Figures.StoreCall("config", err, n.cfg.Clock()-started)
		if err != nil {
			n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "cursor": cursor, "error": err.Error()}).Info("configuration could not be followed")
			steady.Sleep(ctx, retryInterval)
			continue
		}
		cursor = next
		if c != nil {
			r.takeIn(r.state.ReadConfig(c))
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
	n.cfg.Figures.StoreCall(name, err, n.cfg.Clock()-sentAt)
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

// setInstances takes in the announced instances.
func (n *Node) setInstances(all []source.Candidate) {
	n.router.SetInstances(all)
	fleet := n.fleetOf(all)
	n.mu.Lock()
	n.fleet = fleet
	n.mu.Unlock()
	for _, g := range n.allGroups() {
		g.SetFleet(fleet)
	}
}

// setMembers gives each group its members as they were read at readAt. Groups
// whose members are the same and complete need no news, unless all is set.
func (n *Node) setMembers(members catalog.Members, readAt time.Duration, all bool) {
	byService := members.ByService()
	groups := n.allGroups()
	for _, g := range groups {
		own := byService[g.Service()]
		if all || g.Incomplete() || !own.Same(n.lastMembers[g.Service()]) {
			g.UpdateMembers(own, readAt)
		}
	}
	n.lastMembers = byService
	n.mu.Lock()
	n.membersOK = n.membersOK || len(groups) > 0
	n.mu.Unlock()
}

func (n *Node) changing() bool {
	for _, g := range n.allGroups() {
		if g.Changing() {
			return true
		}
	}
	return false
}

func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

var _ relay.Source = (*reader)(nil)
