package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against unpaired differences, in which the variation between days would hide
// the effect of a change.
func TestDifference(t *testing.T) {
	var s sample
	for i := range 4 {
		s.add(float64(10*i), float64(10*i)+1+float64(i%2))
	}
	mean, standardError := s.difference()
	assert.Equal(t, mean, 1.5)
	assert.Assert(t, math.Abs(standardError-math.Sqrt(1.0/12)) < 1e-9, "%g", standardError)
	var one sample
	one.add(1, 3)
	mean, standardError = one.difference()
	assert.Assert(t, mean == 2 && standardError == 0)
}

// Guards against seeds that are parsed wrongly, so that the journal would name others.
func TestParseSeeds(t *testing.T) {
	seeds, err := parseSeeds("3,5-7")
	assert.NilError(t, err)
	assert.DeepEqual(t, seeds, []uint64{3, 5, 6, 7})
	for _, text := range []string{"", "a", "3-", "7-5", "-4"} {
		_, err = parseSeeds(text)
		assert.ErrorContains(t, err, "seed", "%q", text)
	}
}

// Guards against a wrong share, and a division by zero in trials without refusals.
func TestMaxRefusedShare(t *testing.T) {
	r := report{Zones: []requestCounts{{Refused: 3}, {Refused: 1}}}
	assert.Equal(t, r.maxRefusedShare(), 0.75)
	assert.Equal(t, report{}.maxRefusedShare(), 0.0)
}
