// Package rendezvous orders instances by weighted rendezvous hashing, so that all
// instances with the same list choose the same one for a subject without communication.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayarail/papayarail/core/source"
)

// minWeight is the least weight of a candidate, used if it states none.
const minWeight = 0.01

// Score returns the score of a candidate for a subject; the lowest score comes first.
// Each candidate comes first for a fraction of the subjects in proportion to its weight,
// and a change of the candidates moves few subjects.
func Score(subject string, c source.Candidate) float64 {
	hash := xxhash.Sum64String(subject + "\x00" + c.Name)
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(unit) / max(c.Weight, minWeight)
}

// First returns the n candidates with the lowest scores for a subject, in order. It
// computes each score once: there are thousands of candidates.
func First(subject string, all []source.Candidate, n int) []source.Candidate {
	type scored struct {
		source.Candidate
		score float64
	}
	compare := func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
	}
	best := make([]scored, 0, n+1)
	for _, c := range all {
		s := scored{c, Score(subject, c)}
		if len(best) == n && (n == 0 || compare(s, best[n-1]) > 0) {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, s, compare)
		best = slices.Insert(best, i, s)
		best = best[:min(n, len(best))]
	}
	first := make([]source.Candidate, len(best))
	for i, s := range best {
		first[i] = s.Candidate
	}
	return first
}
