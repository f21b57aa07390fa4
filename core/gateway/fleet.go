package gateway

import (
	"slices"

	"github.com/papayarail/papayarail/core/source"
)

// Fleet is the announced instances as one of them sees them.
type Fleet struct {
	self string
	all  []source.Candidate
	// alone means that this instance is not announced, and others need not be.
	alone bool
}

// NewFleet returns the fleet that an instance sees.
func NewFleet(self string, all []source.Candidate) *Fleet { return &Fleet{self: self, all: all} }

// NewStandalone returns the fleet of an instance that is not announced to others.
func NewStandalone(self string) *Fleet { return &Fleet{self: self, alone: true} }

// Size returns the number of announced instances.
func (f *Fleet) Size() int { return len(f.all) }

// LoadShare returns the part of all callers that this instance is expected to serve:
// callers reach the instances of their own failure domain, and failure domains
// are taken to have equally many callers.
func (f *Fleet) LoadShare() float64 {
	domains := make(map[string]int)
	own := ""
	for _, c := range f.all {
		domains[c.FailureDomain]++
		if c.Name == f.self {
			own = c.FailureDomain
		}
	}
	if domains[own] == 0 {
		return 1 / float64(max(len(f.all), 1))
	}
	return 1 / float64(len(domains)*domains[own])
}

// Precedence returns the place of this instance among all in acting on what one of them
// should do for a subject, from 0. ok is false while it is not announced: others
// do not count on it, and it does not know them.
func (f *Fleet) Precedence(subject string) (turn int, ok bool) {
	if f.alone {
		return 0, true
	}
	self := slices.IndexFunc(f.all, func(c source.Candidate) bool { return c.Name == f.self })
	if self < 0 {
		return len(f.all), false
	}
	own := cost(subject, f.all[self])
	for _, c := range f.all {
		if cost(subject, c) < own {
			turn++
		}
	}
	return turn, true
}
