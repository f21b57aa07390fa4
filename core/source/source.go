// Package source decides from which instance the readings of the store come. At
// any time one instance should read for all: a reading costs the store as much
// for one instance as for a hundred. All instances order the candidates alike,
// so that without failures they agree. It is a pure state machine.
package source

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// markTime is how long a candidate is passed over after a failure; it
	// doubles with each further one up to maxMarkTime, so that an instance that
	// is gone for good is hardly asked any more.
	markTime    = 1500 * time.Millisecond
	maxMarkTime = 24 * time.Second
	// awayBeforeOwn is the number of candidates in a row to which the store must
	// be away before an instance reads for itself. After one that is silent it
	// reads at once: its evidence is about to run out.
	awayBeforeOwn = 2
	// silentBeforeHold candidates that are silent in a row mean that the store is
	// slow rather than that an instance is gone; asking further ones would use
	// up the evidence. The instance then reads for itself during ownHold.
	silentBeforeHold = 2
	ownHold          = 2 * time.Second
	// ownSpacing separates an instance's own readings while others have told it
	// that the store is away: calls to a store that is away are priced too.
	ownSpacing = time.Second
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
	// Silent means that the candidate did not answer.
	Silent Failure = iota
	// StoreAway means that it answered that the store does not answer it.
	StoreAway
)

type mark struct {
	until time.Duration
	times int
}

// Picker chooses the source for one instance.
type Picker struct {
	self       string
	candidates []Candidate
	marks      map[string]mark
	failed     int // candidates that failed in a row
	silent     bool
	silentRow  int           // silent candidates since the last that answered
	ownUntil   time.Duration // no candidate is asked before
	away       bool
	ownAt      time.Duration // last own reading
	owned      bool
}

// New returns a Picker without candidates: the instance reads for itself.
func New(self string) *Picker { return &Picker{self: self, marks: make(map[string]mark)} }

// SetCandidates replaces the candidates, the instance itself included.
func (p *Picker) SetCandidates(cs []Candidate) {
	p.candidates = slices.Clone(cs)
	slices.SortFunc(p.candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
}

// Choice is what to do next. If Own is set the instance reads for itself; else
// it asks From. Wait is how long to wait before.
type Choice struct {
	Own  bool
	From Candidate
	Wait time.Duration
}

// Next returns the source of the next reading.
func (p *Picker) Next(now time.Duration) Choice {
	if p.failed < awayBeforeOwn && !p.silent && now >= p.ownUntil {
		for _, c := range p.candidates {
			if c.Name == p.self {
				return p.own(now)
			}
			if now >= p.marks[c.Name].until {
				return Choice{From: c}
			}
		}
	}
	return p.own(now)
}

func (p *Picker) own(now time.Duration) Choice {
	c := Choice{Own: true}
	if p.away && p.owned {
		c.Wait = max(p.ownAt+ownSpacing-now, 0)
	}
	return c
}

// Answered takes in a reading from a candidate.
func (p *Picker) Answered(name string) {
	delete(p.marks, name)
	p.failed, p.silent, p.silentRow, p.away = 0, false, 0, false
}

// Failed takes in that a candidate gave no reading.
func (p *Picker) Failed(name string, why Failure, now time.Duration) {
	m := p.marks[name]
	m.times++
	m.until = now + min(markTime<<min(m.times-1, 8), maxMarkTime)
	p.marks[name] = m
	p.failed++
	p.away = p.away || why == StoreAway
	if why != Silent {
		return
	}
	p.silent = true
	p.silentRow++
	if p.silentRow >= silentBeforeHold {
		p.ownUntil = now + ownHold
	}
}

// Read takes in the result of an own reading.
func (p *Picker) Read(ok bool, now time.Duration) {
	p.ownAt, p.owned = now, true
	p.failed, p.silent = 0, false
	if ok {
		p.away = false
	}
}
