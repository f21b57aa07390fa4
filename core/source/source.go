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
	// awayBeforeOwn is the number of candidates in a row to which the store must
	// be away before an instance reads for itself. After one that is silent it
	// reads at once: its evidence is about to run out.
	awayBeforeOwn = 2
	// awayWhileRefused is the same number while the store has just refused this
	// instance: it may turn away a third of all instances and serve the others.
	awayWhileRefused = 4
	// silentBeforeHold candidates that are silent in a row mean that this instance
	// is cut off from them rather than that they are gone; asking further ones
	// would use up the evidence. It then reads for itself during ownHold.
	silentBeforeHold = 2
	ownHold          = 2 * time.Second
	// ownSpacing separates an instance's own readings after one has failed, and
	// perInstance makes it longer with the number of instances: calls to a store
	// that is away are priced too, and all instances make them.
	ownSpacing  = time.Second
	perInstance = 5 * time.Millisecond
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
	self      string
	domain    string
	order     []Candidate // best first
	marks     backoff.Tracker
	failed    int // candidates that failed in a row
	silent    bool
	silentRow int           // silent candidates since the last that answered
	ownUntil  time.Duration // no candidate is asked before
	refusedAt time.Duration // last own reading that failed
	refused   bool          // the last own reading failed
}

// New returns a Picker without candidates: the instance reads for itself.
func New(self, domain string) *Picker {
	return &Picker{self: self, domain: domain}
}

// SetCandidates replaces the candidates, the instance itself included.
func (p *Picker) SetCandidates(cs []Candidate) {
	p.order = slices.Clone(cs)
	slices.SortFunc(p.order, func(a, b Candidate) int {
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
	refused := p.refused && now < p.refusedAt+p.spacing()
	limit := awayBeforeOwn
	if refused {
		limit = awayWhileRefused
	}
	if p.failed < limit && !p.silent && now >= p.ownUntil {
		if c, ok := p.parent(before, now); ok {
			return Choice{Source: c}
		}
		// The store may turn only this instance away.
		if refused {
			if c, ok := p.first(after, now); ok {
				return Choice{Source: c}
			}
		}
	}
	c := Choice{ReadStore: true}
	if p.refused {
		c.Delay = max(p.refusedAt+p.spacing()-now, 0)
	}
	return c
}

// IsRoot reports whether no usable candidate comes before this instance, so that
// others rely on what it reads, or whether it is cut off from them.
func (p *Picker) IsRoot(now time.Duration) bool {
	if now < p.ownUntil {
		return true
	}
	before, _ := p.split()
	_, found := p.first(before, now)
	return !found
}

// split returns the candidates before and after this instance. One that is not
// announced comes last.
func (p *Picker) split() (before, after []Candidate) {
	i := slices.IndexFunc(p.order, func(c Candidate) bool { return c.Name == p.self })
	if i < 0 {
		return p.order, nil
	}
	return p.order[:i], p.order[i+1:]
}

// parent returns the candidate that passes readings to this instance: the
// instances of a failure domain form a tree in their order, and the first of each
// domain asks the first of all. ok is false if this instance is the first of all.
func (p *Picker) parent(before []Candidate, now time.Duration) (c Candidate, ok bool) {
	own := 0
	for _, c := range before {
		if c.FailureDomain == p.domain && p.marks.Usable(c.Name, now) {
			own++
		}
	}
	if own == 0 {
		return p.first(before, now)
	}
	place := (own - 1) / Fanout
	for _, c := range before {
		if c.FailureDomain != p.domain || !p.marks.Usable(c.Name, now) {
			continue
		}
		if place == 0 {
			return c, true
		}
		place--
	}
	return Candidate{}, false
}

func (p *Picker) first(cs []Candidate, now time.Duration) (c Candidate, ok bool) {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return p.marks.Usable(c.Name, now) })
	if i < 0 {
		return Candidate{}, false
	}
	return cs[i], true
}

func (p *Picker) spacing() time.Duration {
	return max(ownSpacing, time.Duration(len(p.order))*perInstance)
}

// RecordSuccess takes in a reading from a candidate.
func (p *Picker) RecordSuccess(name string) {
	p.marks.RecordSuccess(name)
	p.failed, p.silent, p.silentRow = 0, false, 0
}

// RecordFailure takes in that a candidate gave no reading.
func (p *Picker) RecordFailure(name string, why Failure, now time.Duration) {
	p.marks.RecordFailure(name, now)
	p.failed++
	if why != Unresponsive {
		return
	}
	p.silent = true
	p.silentRow++
	if p.silentRow >= silentBeforeHold {
		p.ownUntil = now + ownHold
	}
}

// RecordStoreRead takes in the result of an own reading.
func (p *Picker) RecordStoreRead(ok bool, now time.Duration) {
	p.failed, p.silent = 0, false
	p.refused = !ok
	if !ok {
		p.refusedAt = now
	}
}
