package figures

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an index that calls a monopoly fair or equal shares unfair.
func TestJain(t *testing.T) {
	assert.Equal(t, Jain([]float64{5, 5, 5, 5}), 1.0)
	assert.Equal(t, Jain([]float64{8, 0, 0, 0}), 0.25)
	assert.Equal(t, Jain([]float64{0, 0}), 1.0)
}

// Guards against fair shares that exceed a demand or do not use up the total.
func TestMaxMin(t *testing.T) {
	got := MaxMinShares([]float64{1, 10, 10}, 12)
	for i, want := range []float64{1, 5.5, 5.5} {
		assert.Assert(t, math.Abs(got[i]-want) < 1e-6, "%v", got)
	}
	assert.DeepEqual(t, MaxMinShares([]float64{1, 2}, 100), []float64{1, 2})
}

// Guards against a violation or a worse figure that the output hides.
func TestTables(t *testing.T) {
	r := Report{Scenario: "steady", Rows: []Row{{Metric: "m", Papayarail: "1", Result: Met}}}
	r.Papayarail.Guarantees = []Guarantee{{Number: 1, Name: "n", Checks: 3, Violations: 1, Examples: []string{"lost row"}}}
	var out strings.Builder
	assert.NilError(t, r.Print(&out))
	assert.Assert(t, strings.Contains(out.String(), "1 of 3 checks"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "lost row"), out.String())

	later := r
	later.Rows = []Row{{Metric: "m", Papayarail: "2", Result: Missed}}
	out.Reset()
	assert.NilError(t, PrintComparison(&out, []Report{r}, []Report{later}))
	assert.Assert(t, strings.Contains(out.String(), "steady    m       1       2"), out.String())
}
