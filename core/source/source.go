// Package source selects the instance from which an instance obtains snapshots of the
// platform's store. A read of the store costs the store as much for one instance as for
// a thousand, so the instances form a distribution tree. Its root reads the store and
// serves one instance of each other region and of each other failure domain of its own
// region. The first instance of a region serves one of each other failure domain there, so
// that a snapshot crosses to each other region once. Within a failure domain, an instance
// serves at most Fanout others, whatever the size of the deployment.
//
// The tree needs no agreement: all instances order the candidates alike, and each
// obtains its snapshots from a candidate that precedes it. An instance skips candidates
// that did not serve it, which changes its own place in the tree and no other.
//
// The package does no I/O and reads no clock: times are passed in, as durations since a
// common start.
package source

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/backoff"
)

// Class groups the errors of this package.
var Class = errs.Class("source")

const (
	// Fanout is the number of instances of its failure domain that an instance serves.
	// For 360 instances per domain, two levels below the first instance are enough; 24
	// answers every 0.3 s take 0.5% of a core.
	Fanout = 24
	// unavailableBeforeRead is the number of candidates in a row that must report the
	// store as unavailable before an instance reads the store itself. After a single
	// unresponsive candidate it does so immediately, as the snapshot that its read lease
	// depends on is about to expire.
	unavailableBeforeRead = 2
	// unavailableAfterFailedRead replaces unavailableBeforeRead after a recent failed read
	// by this instance: the store may refuse a third of the instances and serve the
	// others.
	unavailableAfterFailedRead = 4
	// unresponsiveBeforeDirectReads is the number of unresponsive candidates in a row after
	// which an instance reads the store itself for directReadPeriod. They show that this
	// instance is partitioned from them rather than that they have failed, and its read
	// lease would expire while it asked further ones.
	unresponsiveBeforeDirectReads = 2
	directReadPeriod              = 2 * time.Second
	// readRetryInterval is the minimum time between the reads of the store by an instance
	// after one has failed. readRetryPerInstance, per candidate, replaces it in large
	// deployments: calls to an unavailable store are billed too, and all instances make
	// them.
	readRetryInterval    = time.Second
	readRetryPerInstance = 5 * time.Millisecond
	// smallDeployment is the number of candidates up to which each instance may read the
	// store on its own without a noticeable load: the limits on a start apply above it.
	smallDeployment = 12
	// startPeriod is the time after the first request to a candidate during which, in
	// larger deployments, an instance that has never had a snapshot asks other candidates
	// instead of reading the store. All instances may be starting, and none of those above
	// it in the tree has a snapshot before the root has read the store.
	startPeriod = 1500 * time.Millisecond
	// startRetryInterval is the suspension of a candidate that does not answer in that
	// time: its process may not have opened its port yet.
	startRetryInterval = 150 * time.Millisecond
	// startConfigWait is the time after the first request during which only the first
	// candidate of all reads the configuration: the others may find those above them not
	// yet listening.
	startConfigWait = 500 * time.Millisecond
	// unservedBeforeConfig is the time without a snapshot from a candidate after which an
	// instance that has a configuration follows that of the store on its own. A new version
	// must be in force on a partitioned instance as well.
	unservedBeforeConfig = time.Second
	// configCheckAfter is the time since the configuration was last known to be the newest
	// one after which the first candidate asks the store for a newer one, and
	// configCheckStep what each candidate waits longer than the one before it. The answer to
	// one of them reaches the others in one or two steps, so that the rest do not ask.
	// Usually, the long poll of the instance that follows the configuration confirms it
	// every 2 s, which reaches the next candidates 0.35 s later.
	configCheckAfter = 2500 * time.Millisecond
	configCheckStep  = 500 * time.Millisecond
	// A starting instance reads the configuration from the store if no candidate has
	// provided it after smallConfigWait, or after largeConfigWait in a larger deployment.
	// The configuration of 300 instances has 7 MB, which takes a small machine 2 s to read.
	smallConfigWait = time.Second
	largeConfigWait = 4 * time.Second
)

// Candidate is an instance that can serve snapshots to others.
type Candidate struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// Region is the region of the failure domain. It is empty if all failure domains are in
	// one region.
	Region string `json:"region,omitempty"`
	// Weight is the processor and link capacity of the instance, in any unit. Candidates
	// of greater weight come first.
	Weight float64 `json:"weight"`
}

// maxWeight bounds the weight of a candidate: sums of weights stay finite with it.
const maxWeight = 1e12

// Check returns an error if the candidate cannot be an instance that announced itself.
func (c Candidate) Check() error {
	address, err := netip.ParseAddrPort(c.Address)
	switch {
	case c.Name == "" || strings.ContainsFunc(c.Name, unicode.IsControl):
		return Class.New("%q is not the name of an instance", c.Name)
	case c.Address == "" || err == nil && (address.Port() == 0 || address.Addr().IsUnspecified()):
		return Class.New("address %q names no host and port", c.Address)
	case !(c.Weight >= 0 && c.Weight <= maxWeight):
		return Class.New("weight %g", c.Weight)
	}
	return nil
}

// Failure is the reason why a candidate served no snapshot.
type Failure uint8

const (
	// Unresponsive means that the candidate did not answer.
	Unresponsive Failure = iota
	// StoreUnavailable means that the candidate answered that it has no fresh snapshot.
	StoreUnavailable
	// Starting means that the candidate answered that it has had no snapshot since its
	// start.
	Starting
)

// Picker selects the source of snapshots for one instance. It is not safe for concurrent
// use.
type Picker struct {
	self              string
	domain            string
	region            string
	candidates        []Candidate // in the common order
	backoff           backoff.Tracker
	failuresInRow     int           // failed candidates since the last snapshot or read of the store
	unresponsive      bool          // one of failuresInRow did not answer
	unresponsiveInRow int           // unresponsive candidates since the last snapshot from one
	directReadUntil   time.Duration // until then no candidate is asked
	readFailedAt      time.Duration // time of the last failed read of the store by this instance
	readFailed        bool          // the last read of the store by this instance failed
	started           bool          // startedAt is set
	startedAt         time.Duration // time of the first choice of a candidate
	served            bool          // this instance has had a snapshot
	servedAt          time.Duration // time of the last snapshot from a candidate, or startedAt
}

// New returns a Picker without candidates: the instance reads the store itself.
func New(self, domain, region string) *Picker {
	return &Picker{self: self, domain: domain, region: region}
}

// SetCandidates replaces the candidates, which include the instance itself.
func (p *Picker) SetCandidates(cs []Candidate) {
	p.candidates = slices.Clone(cs)
	slices.SortFunc(p.candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// Choice is the source of the next snapshot.
type Choice struct {
	ReadStore bool          // the instance reads the store itself
	Source    Candidate     // the instance to ask, unless ReadStore is set
	Delay     time.Duration // time to wait before the read or request
}

// Next returns the source of the next snapshot.
func (p *Picker) Next(now time.Duration) Choice {
	if !p.started && len(p.candidates) > 0 {
		p.started, p.startedAt, p.servedAt = true, now, now
	}
	before, after := p.split()
	readFailedRecently := p.readFailed && now < p.readFailedAt+p.RetryInterval()
	maxFailures := unavailableBeforeRead
	if readFailedRecently {
		maxFailures = unavailableAfterFailedRead
	}
	if p.failuresInRow < maxFailures && !p.unresponsive && now >= p.directReadUntil {
		if c, ok := p.parent(before, now); ok {
			return Choice{Source: c}
		}
		// The store may refuse this instance only.
		if readFailedRecently {
			if c, ok := p.firstUsable(after, now); ok {
				return Choice{Source: c}
			}
		}
	}
	c := Choice{ReadStore: true}
	if p.readFailed {
		c.Delay = max(p.readFailedAt+p.RetryInterval()-now, 0)
	}
	return c
}

// IsRoot reports whether other instances depend on the reads of this instance because no
// usable candidate precedes it.
func (p *Picker) IsRoot(now time.Duration) bool {
	before, _ := p.split()
	_, found := p.firstUsable(before, now)
	return !found
}

// ReadsConfig reports whether this instance may read the configuration from the store,
// which is large: if it is the root, or if no candidate has served it for so long that it
// must be partitioned from them. Failed requests alone do not matter: when all instances
// start, many requests fail, and all of them would read it at the same time. configured
// means that the instance has a configuration.
func (p *Picker) ReadsConfig(now time.Duration, configured bool) bool {
	wait := unservedBeforeConfig
	if !configured {
		wait = p.ConfigWait()
	}
	if p.started && now-p.servedAt >= wait {
		return true
	}
	if p.starting(now) && now-p.startedAt < startConfigWait {
		before, _ := p.split()
		return len(before) == 0
	}
	return p.IsRoot(now)
}

// ConfigWait returns how long a starting instance waits for the configuration of a
// candidate.
func (p *Picker) ConfigWait() time.Duration {
	if len(p.candidates) <= smallDeployment {
		return smallConfigWait
	}
	return largeConfigWait
}

// ConfigCheckDue reports whether this instance should ask the store for a newer configuration,
// age after its own was last known to be the newest one: those before it have not, or not
// with success.
func (p *Picker) ConfigCheckDue(age time.Duration) bool {
	before, _ := p.split()
	return age > configCheckAfter+time.Duration(len(before))*configCheckStep
}

// ReadFailed reports whether the last read of the store by this instance failed.
func (p *Picker) ReadFailed() bool { return p.readFailed }

// starting reports whether requests of this instance may fail because all instances are
// starting.
func (p *Picker) starting(now time.Duration) bool {
	return !p.served && p.started && len(p.candidates) > smallDeployment && now-p.startedAt < startPeriod
}

// split returns the candidates before and after this instance, which comes last if it is
// not a candidate itself.
func (p *Picker) split() (before, after []Candidate) {
	i := slices.IndexFunc(p.candidates, func(c Candidate) bool { return c.Name == p.self })
	if i < 0 {
		return p.candidates, nil
	}
	return p.candidates[:i], p.candidates[i+1:]
}

// parent returns the candidate that serves this instance. The instances of a failure
// domain form a tree in the common order. The first one of each domain is served by the
// first one of its region, and the first one of each region by the first one of all. ok is
// false if this instance is the first one of all.
func (p *Picker) parent(before []Candidate, now time.Duration) (c Candidate, ok bool) {
	var inDomain, inRegion []Candidate
	for _, c := range before {
		if !p.backoff.Usable(c.Name, now) {
			continue
		}
		if c.FailureDomain == p.domain {
			inDomain = append(inDomain, c)
		}
		if c.Region == p.region {
			inRegion = append(inRegion, c)
		}
	}
	switch {
	case len(inDomain) > 0:
		return inDomain[(len(inDomain)-1)/Fanout], true
	case len(inRegion) > 0:
		return inRegion[0], true
	}
	return p.firstUsable(before, now)
}

// firstUsable returns the first candidate that is not suspended after a failure.
func (p *Picker) firstUsable(cs []Candidate, now time.Duration) (c Candidate, ok bool) {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return p.backoff.Usable(c.Name, now) })
	if i < 0 {
		return Candidate{}, false
	}
	return cs[i], true
}

// RetryInterval returns the minimum time between reads of the store after a failed one.
func (p *Picker) RetryInterval() time.Duration {
	return max(readRetryInterval, time.Duration(len(p.candidates))*readRetryPerInstance)
}

// RecordSuccess records that a candidate served a snapshot.
func (p *Picker) RecordSuccess(name string, now time.Duration) {
	p.backoff.RecordSuccess(name)
	p.failuresInRow, p.unresponsive, p.unresponsiveInRow = 0, false, 0
	p.served, p.servedAt = true, now
}

// RecordFailure records that a candidate served no snapshot. While all instances may be
// starting, an unresponsive candidate is skipped for a short time, and one that is starting
// is asked again at once, because it answers as soon as it has a snapshot.
func (p *Picker) RecordFailure(name string, reason Failure, now time.Duration) {
	if p.starting(now) {
		if reason == Unresponsive {
			p.backoff.SuspendUntil(name, now+startRetryInterval)
		}
		if reason != StoreUnavailable {
			return
		}
	}
	p.backoff.RecordFailure(name, now)
	p.failuresInRow++
	if reason != Unresponsive {
		return
	}
	p.unresponsive = true
	p.unresponsiveInRow++
	if p.unresponsiveInRow >= unresponsiveBeforeDirectReads {
		p.directReadUntil = now + directReadPeriod
	}
}

// RecordStoreRead records the result of a read of the store by this instance.
func (p *Picker) RecordStoreRead(ok bool, now time.Duration) {
	p.failuresInRow, p.unresponsive = 0, false
	p.readFailed = !ok
	if ok {
		p.served = true
	} else {
		p.readFailedAt = now
	}
}
