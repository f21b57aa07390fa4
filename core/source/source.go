// Package source decides from which instance the readings of the store come. One
// instance reads for all: a reading costs the store as much for one instance as
// for a thousand. It passes its readings to one instance of each other failure
// domain, and each passes them on to a bounded number of others, so that no
// instance serves more than these, whatever the size of the deployment.
//
// The structure needs no agreement: all instances order the candidates alike, and
// each gets its readings from one that comes before it. Without failures that is
// a tree; an instance passes over candidates that failed it, which moves it and
// nobody else. It is a pure state machine.
package source

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayarail/papayarail/core/backoff"
)

const (
	// Fanout is the number of instances of its failure domain to which an instance
	// passes readings. At 360 instances a domain, two levels below the first are
	// enough; 24 answers every 0.3 s take 0.5% of a core.
	Fanout = 24
	// unavailableBeforeRead is the number of candidates in a row to which the store must
	// be away before an instance reads for itself. After one that is silent it
	// reads at once: its evidence is about to run out.
	unavailableBeforeRead = 2
	// unavailableWhileRefused is the same number while the store has just refused this
	// instance: it may turn away a third of all instances and serve the others.
	unavailableWhileRefused = 4
	// unresponsiveBeforeHold candidates that are silent in a row mean that this instance
	// is cut off from them rather than that they are gone; asking further ones
	// would use up the evidence. It then reads for itself during directReadPeriod.
	unresponsiveBeforeHold = 2
	directReadPeriod       = 2 * time.Second
	// readRetryInterval separates an instance's own readings after one has failed, and
	// readRetryPerInstance makes it longer with the number of instances: calls to a store
	// that is away are priced too, and all instances make them.
	readRetryInterval    = time.Second
	readRetryPerInstance = 5 * time.Millisecond
)

// Candidate is an instance that can read for others.
type Candidate struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// Weight is its processor and link capacity; greater ones are preferred.
	Weight float64 `json:"weight"`
}

// Failure is why a candidate gave no reading.
type Failure uint8

const (
	// Unresponsive means that the candidate did not answer.
	Unresponsive Failure = iota
	// StoreUnavailable means that it answered and has no fresh reading of the store.
	StoreUnavailable
)

// Picker chooses the source for one instance.
type Picker struct {
	self              string
	domain            string
	candidates        []Candidate // best first
	backoff           backoff.Tracker
	failuresInRow     int // candidates that failed in a row
	unresponsive      bool
	unresponsiveInRow int           // silent candidates since the last that answered
	directReadUntil   time.Duration // no candidate is asked before
	readFailedAt      time.Duration // last own reading that failed
	readFailed        bool          // the last own reading failed
}

// New returns a Picker without candidates: the instance reads for itself.
func New(self, domain string) *Picker {
	return &Picker{self: self, domain: domain}
}

// SetCandidates replaces the candidates, the instance itself included.
func (p *Picker) SetCandidates(cs []Candidate) {
	p.candidates = slices.Clone(cs)
	slices.SortFunc(p.candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// Choice is what to do next. If ReadStore is set the instance reads for itself; else
// it asks Source. Delay is how long to wait before.
type Choice struct {
	ReadStore bool
	Source    Candidate
	Delay     time.Duration
}

// Next returns the source of the next reading.
func (p *Picker) Next(now time.Duration) Choice {
	before, after := p.split()
	refused := p.readFailed && now < p.readFailedAt+p.retryInterval()
	limit := unavailableBeforeRead
	if refused {
		limit = unavailableWhileRefused
	}
	if p.failuresInRow < limit && !p.unresponsive && now >= p.directReadUntil {
		if c, ok := p.parent(before, now); ok {
			return Choice{Source: c}
		}
		// The store may turn only this instance away.
		if refused {
			if c, ok := p.firstUsable(after, now); ok {
				return Choice{Source: c}
			}
		}
	}
	c := Choice{ReadStore: true}
	if p.readFailed {
		c.Delay = max(p.readFailedAt+p.retryInterval()-now, 0)
	}
	return c
}

// IsRoot reports whether no usable candidate comes before this instance, so that
// others rely on what it reads, or whether it is cut off from them.
func (p *Picker) IsRoot(now time.Duration) bool {
	if now < p.directReadUntil {
		return true
	}
	before, _ := p.split()
	_, found := p.firstUsable(before, now)
	return !found
}

// split returns the candidates before and after this instance. One that is not
// announced comes last.
func (p *Picker) split() (before, after []Candidate) {
	i := slices.IndexFunc(p.candidates, func(c Candidate) bool { return c.Name == p.self })
	if i < 0 {
		return p.candidates, nil
	}
	return p.candidates[:i], p.candidates[i+1:]
}

// parent returns the candidate that passes readings to this instance: the
// instances of a failure domain form a tree in their order, and the first of each
// domain asks the first of all. ok is false if this instance is the first of all.
func (p *Picker) parent(before []Candidate, now time.Duration) (c Candidate, ok bool) {
	own := 0
	for _, c := range before {
		if c.FailureDomain == p.domain && p.backoff.Usable(c.Name, now) {
			own++
		}
	}
	if own == 0 {
		return p.firstUsable(before, now)
	}
	place := (own - 1) / Fanout
	for _, c := range before {
		if c.FailureDomain != p.domain || !p.backoff.Usable(c.Name, now) {
			continue
		}
		if place == 0 {
			return c, true
		}
		place--
	}
	return Candidate{}, false
}

func (p *Picker) firstUsable(cs []Candidate, now time.Duration) (c Candidate, ok bool) {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return p.backoff.Usable(c.Name, now) })
	if i < 0 {
		return Candidate{}, false
	}
	return cs[i], true
}

func (p *Picker) retryInterval() time.Duration {
	return max(readRetryInterval, time.Duration(len(p.candidates))*readRetryPerInstance)
}

// RecordSuccess takes in a reading from a candidate.
func (p *Picker) RecordSuccess(name string) {
	p.backoff.RecordSuccess(name)
	p.failuresInRow, p.unresponsive, p.unresponsiveInRow = 0, false, 0
}

// RecordFailure takes in that a candidate gave no reading.
func (p *Picker) RecordFailure(name string, why Failure, now time.Duration) {
	p.backoff.RecordFailure(name, now)
	p.failuresInRow++
	if why != Unresponsive {
		return
	}
	p.unresponsive = true
	p.unresponsiveInRow++
	if p.unresponsiveInRow >= unresponsiveBeforeHold {
		p.directReadUntil = now + directReadPeriod
	}
}

// RecordStoreRead takes in the result of an own reading.
func (p *Picker) RecordStoreRead(ok bool, now time.Duration) {
	p.failuresInRow, p.unresponsive = 0, false
	p.readFailed = !ok
	if !ok {
		p.readFailedAt = now
	}
}
