package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
	"github.com/papayarail/papayarail/proxy/steady"
)

const (
	// readInterval separates two readings of the records. A reading proves the
	// lead from the moment it was asked for, which may be an interval before it
	// begins; two intervals and a failed try fit into the read lease of 1 s.
	readInterval = 300 * time.Millisecond
	// urgentInterval is the interval while a primary is being replaced.
	urgentInterval = 100 * time.Millisecond
	// readTimeout bounds a reading of the records. A store that is slower than
	// this is taken as away.
	readTimeout = 450 * time.Millisecond
	// askTimeout bounds a reading by another instance: an interval and a call.
	askTimeout = 450 * time.Millisecond
	// membersInterval is how often the members are read. They must be out of
	// use within 7 s after they announce that they leave.
	membersInterval = time.Second
	// instancesInterval is how often the announced instances are read; their
	// loss is noticed when they do not answer.
	instancesInterval = 5 * time.Second
	// configWait is how long one call waits for a new configuration; a silent
	// connection is noticed configSlack later. Both fit into the 3 s in which
	// a configuration must be in force, with one more try.
	configWait  = 2 * time.Second
	configSlack = 400 * time.Millisecond
	// readingFor is how long an instance follows the configuration in the store
	// after its last reading of the records for itself or others.
	readingFor = time.Second
	// retryInterval separates failed calls to the store.
	retryInterval = 100 * time.Millisecond
	// slowTimeout is given to calls that are not urgent: a slow store takes
	// 0.4 s for an answer.
	slowTimeout = 1500 * time.Millisecond
)

// follow keeps the groups up to date with readings of this or another instance.
func (n *Node) follow(ctx context.Context) {
	picker := source.New(n.cfg.Settings.Instance)
	client := relay.NewClient(n.cfg.DialPeer, n.cfg.Log)
	var known relay.Known
	latest := relay.Reading{}
	link := n.dependency("store")
	from := ""
	defer client.Close()
	for ctx.Err() == nil {
		choice := picker.Next(n.cfg.Clock())
		steady.Sleep(ctx, choice.Wait)
		known.Urgent = n.changing()
		known.Config = n.configVersion()
		sentAt := n.cfg.Clock()
		reading, err := n.obtain(ctx, choice, client, known, picker)
		if choice.Own || err == nil {
			link.note(err)
		}
		if err != nil {
			known = relay.Known{}
			if choice.Own {
				steady.Sleep(ctx, retryInterval)
			}
			continue
		}
		if name := choice.From.Name; name != from {
			n.cfg.Log.WithFields(logrus.Fields{"event": "source", "from": name, "before": from}).Info("store readings come from another instance")
			from = name
		}
		known = reading.Digests
		if reading.Instances != nil {
			picker.SetCandidates(reading.Instances)
			n.router.SetInstances(reading.Instances)
		}
		latest = latest.Updated(reading)
		n.takeIn(ctx, latest, sentAt)
	}
}

// obtain makes a reading or asks for one.
func (n *Node) obtain(ctx context.Context, choice source.Choice, client *relay.Client, known relay.Known, picker *source.Picker) (relay.Reading, error) {
	if choice.Own {
		reading, err := n.reader.ReadFor(ctx, known.Urgent)
		picker.Read(err == nil, n.cfg.Clock())
		return reading, err
	}
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	started := n.cfg.Clock()
	reading, err := client.Ask(call, choice.From, known)
	n.cfg.Figures.StoreCall("relayed", err, n.cfg.Clock()-started)
	if err == nil {
		picker.Answered(choice.From.Name)
		return reading, nil
	}
	why := source.Silent
	if errors.Is(err, relay.ErrStoreAway) {
		why = source.StoreAway
	}
	picker.Failed(choice.From.Name, why, n.cfg.Clock())
	n.cfg.Log.WithFields(logrus.Fields{"event": "source_failed", "from": choice.From.Name, "error": err.Error()}).Info("instance gave no reading of the store")
	return reading, err
}

// takeIn applies a reading that was asked for at sentAt.
func (n *Node) takeIn(ctx context.Context, r relay.Reading, sentAt time.Duration) {
	switch {
	case r.Config != nil:
		n.apply(r.Config)
	case r.Digests.Config > n.configVersion():
		n.fetchConfig(ctx)
	}
	groups := n.allGroups()
	for _, g := range groups {
		g.SetInstances(len(r.Instances), gateway.Turn(n.cfg.Settings.Instance, g.Service(), r.Instances))
		g.UpdateMembers(r.Members, sentAt)
		record := r.Records[g.Service()]
		record.Service = g.Service()
		g.UpdateRecord(record, r.StoreNow, sentAt)
	}
	n.mu.Lock()
	n.membersOK = n.membersOK || len(groups) > 0
	n.mu.Unlock()
}

// fetchConfig reads a configuration that is too large to be relayed.
func (n *Node) fetchConfig(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	started := n.cfg.Clock()
	c, _, err := n.cfg.Store.Config(call, 0, 0)
	n.cfg.Figures.StoreCall("config", err, n.cfg.Clock()-started)
	if err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "config_failed", "error": err.Error()}).Warn("new configuration could not be read")
		return
	}
	if c != nil {
		n.apply(c)
	}
}

func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

func (n *Node) changing() bool {
	for _, g := range n.allGroups() {
		if g.Changing() {
			return true
		}
	}
	return false
}

// announce stores how other instances reach this one.
func (n *Node) announce(ctx context.Context) {
	s := n.cfg.Settings
	if s.RelayAddress == "" {
		return
	}
	self := source.Candidate{Name: s.Instance, Address: s.RelayAddress, FailureDomain: s.FailureDomain, Weight: s.Weight}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, slowTimeout)
		started := n.cfg.Clock()
		err := n.cfg.Store.Announce(call, self)
		cancel()
		n.cfg.Figures.StoreCall("announce", err, n.cfg.Clock()-started)
		if err == nil {
			return
		}
		n.cfg.Log.WithFields(logrus.Fields{"event": "announce_failed", "error": err.Error()}).Info("instance could not announce itself")
		steady.Sleep(ctx, membersInterval)
	}
}

func (n *Node) withdraw() {
	if n.cfg.Settings.RelayAddress == "" {
		return
	}
	call, cancel := context.WithTimeout(context.Background(), slowTimeout)
	defer cancel()
	if err := n.cfg.Store.Withdraw(call, n.cfg.Settings.Instance); err != nil {
		n.cfg.Log.WithFields(logrus.Fields{"event": "withdraw_failed", "error": err.Error()}).Info("instance could not withdraw its announcement")
	}
}

// reader reads the store for this instance and for those that ask it. Requests
// that arrive while a reading runs wait for the next one.
type reader struct {
	n *Node

	mu       sync.Mutex
	waiting  []chan struct{} // closed when the next reading has ended
	running  bool
	last     relay.Reading
	err      error
	started  time.Duration // of the last reading
	ended    time.Duration
	urgent   bool
	members  part[catalog.Members]
	others   part[[]source.Candidate]
	wakeConf chan struct{}
}

// part is a part of the store that is read less often than the records.
type part[T any] struct {
	value T
	at    time.Duration
	read  bool
}

func (p *part[T]) due(now, interval time.Duration) bool { return !p.read || now-p.at >= interval }

func newReader(n *Node) *reader { return &reader{n: n, wakeConf: make(chan struct{}, 1)} }

// ReadFor implements relay.Reader.
func (r *reader) ReadFor(ctx context.Context, urgent bool) (relay.Reading, error) {
	done := make(chan struct{})
	r.mu.Lock()
	r.waiting = append(r.waiting, done)
	r.urgent = r.urgent || urgent
	if !r.running {
		r.running = true
		go r.run()
	}
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return relay.Reading{}, ctx.Err()
	case <-done:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.err
}

// run makes readings as long as somebody waits for one.
func (r *reader) run() {
	for {
		r.mu.Lock()
		interval := readInterval
		if r.urgent {
			interval = urgentInterval
		}
		wait := max(r.started+interval-r.n.cfg.Clock(), 0)
		r.mu.Unlock()
		time.Sleep(wait)
		r.mu.Lock()
		waiting := r.waiting
		r.waiting, r.urgent = nil, false
		r.started = r.n.cfg.Clock()
		if len(waiting) == 0 {
			r.running = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		reading, err := r.read()
		r.mu.Lock()
		r.last, r.err, r.ended = reading, err, r.n.cfg.Clock()
		r.mu.Unlock()
		for _, done := range waiting {
			close(done)
		}
		select {
		case r.wakeConf <- struct{}{}:
		default:
		}
	}
}

// read reads the records and the parts that are due.
func (r *reader) read() (relay.Reading, error) {
	n := r.n
	ctx := context.Background()
	now := n.cfg.Clock()
	if n.config.Load() == nil {
		// Without it there are no groups that could take in the rest.
		n.fetchConfig(ctx)
	}
	var storeNow time.Duration
	records, err := timed(n, ctx, "records", func(ctx context.Context) (map[string]primacy.Record, error) {
		records, at, err := n.cfg.Store.Records(ctx)
		storeNow = at
		return records, err
	})
	if err != nil {
		return relay.Reading{}, err
	}
	if r.members.due(now, membersInterval) {
		value, err := timed(n, ctx, "members", n.cfg.Store.Members)
		if err == nil {
			r.members = part[catalog.Members]{value, now, true}
		} else if !r.members.read {
			return relay.Reading{}, err
		}
	}
	if r.others.due(now, instancesInterval) {
		if value, err := timed(n, ctx, "instances", n.cfg.Store.Instances); err == nil {
			r.others = part[[]source.Candidate]{value, now, true}
		}
	}
	reading := relay.Reading{StoreNow: storeNow, Records: records, Members: r.members.value, Instances: r.others.value, Config: n.config.Load()}
	reading.Complete()
	return reading, nil
}

// timed makes one call to the store, bounded and counted.
func timed[T any](n *Node, ctx context.Context, name string, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := n.cfg.Clock()
	value, err := call(ctx)
	n.cfg.Figures.StoreCall(name, err, n.cfg.Clock()-started)
	return value, err
}

// followConfig applies each new configuration from the store while this
// instance reads for itself or others. A version below the one in force is
// never applied.
func (r *reader) followConfig(ctx context.Context) {
	n := r.n
	var cursor uint64
	for ctx.Err() == nil {
		if !r.active() {
			cursor = 0
			select {
			case <-ctx.Done():
			case <-r.wakeConf:
			}
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
			n.apply(c)
		}
	}
}

// active reports whether this instance made a successful reading of late.
func (r *reader) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err == nil && r.ended > 0 && r.n.cfg.Clock()-r.ended < readingFor
}
