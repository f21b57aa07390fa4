package gateway

import (
	"cmp"
	"maps"
	"slices"

	"github.com/papayarail/papayarail/core/rendezvous"
	"github.com/papayarail/papayarail/core/source"
)

// Fleet is the set of announced instances as one of them knows it. It is immutable.
type Fleet struct {
	self      string
	instances []source.Candidate
	// standalone means that this instance is not announced and does not take others into
	// account.
	standalone bool
}

// NewFleet returns the fleet that the instance named self knows.
func NewFleet(self string, all []source.Candidate) *Fleet { return &Fleet{self: self, instances: all} }

// NewStandalone returns the fleet of an instance that is not announced to others and
// serves alone.
func NewStandalone(self string) *Fleet { return &Fleet{self: self, standalone: true} }

// Size returns the number of announced instances.
func (f *Fleet) Size() int { return len(f.instances) }

// Outside returns one instance of each other failure domain, up to n, that all instances
// of a failure domain choose differently, so that no instance is asked by all of them.
func (f *Fleet) Outside(domain string, n int) []source.Candidate {
	first := make(map[string]source.Candidate)
	for _, c := range f.instances {
		if c.FailureDomain == domain {
			continue
		}
		if best, known := first[c.FailureDomain]; !known || rendezvous.Score(f.self, c) < rendezvous.Score(f.self, best) {
			first[c.FailureDomain] = c
		}
	}
	all := slices.SortedFunc(maps.Values(first), func(a, b source.Candidate) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return all[:min(n, len(all))]
}

// LoadShare returns the fraction of all callers that this instance is expected to serve:
// callers connect to instances of their own failure domain, and failure domains are
// assumed to have the same number of callers.
func (f *Fleet) LoadShare() float64 {
	domains := make(map[string]int)
	own := ""
	for _, c := range f.instances {
		domains[c.FailureDomain]++
		if c.Name == f.self {
			own = c.FailureDomain
		}
	}
	if domains[own] == 0 {
		return 1 / float64(max(len(f.instances), 1))
	}
	return 1 / float64(len(domains)*domains[own])
}

// Precedence returns the position, from 0, of this instance in the order in which the
// instances attempt a task that one of them must do for the subject. All instances
// compute the same order, by rendezvous hashing. ok is false while this instance is not
// announced, as it has no place in the order of others; position then follows all others.
func (f *Fleet) Precedence(subject string) (position int, ok bool) {
	if f.standalone {
		return 0, true
	}
	self := slices.IndexFunc(f.instances, func(c source.Candidate) bool { return c.Name == f.self })
	if self < 0 {
		return len(f.instances), false
	}
	own := rendezvous.Score(subject, f.instances[self])
	for _, c := range f.instances {
		if rendezvous.Score(subject, c) < own {
			position++
		}
	}
	return position, true
}
