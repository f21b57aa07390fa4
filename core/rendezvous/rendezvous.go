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

// Sort sorts candidates by their scores for a subject.
func Sort(subject string, all []source.Candidate) {
	slices.SortFunc(all, func(a, b source.Candidate) int {
		return cmp.Or(cmp.Compare(Score(subject, a), Score(subject, b)), cmp.Compare(a.Name, b.Name))
	})
}
