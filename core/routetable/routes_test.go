package routetable

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/failover"
)

// Guards against a route that goes back to an older term, and against tables of
// equal content with different sums, which would exchange everything for ever.
func TestTermsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		news := rapid.SliceOf(rapid.Custom(func(t *rapid.T) failover.Route {
			term := rapid.Uint64Range(1, 5).Draw(t, "term")
			return failover.Route{
				Service: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "service"),
				Term:    term,
				Primary: failover.MemberID([]string{"m0", "m1", "m2"}[term%3]), // one primary a term
			}
		})).Draw(t, "routes")
		highest := make(map[string]uint64)
		for i, r := range news {
			assert.Equal(t, a.Update(r), r.Term > highest[r.Service])
			highest[r.Service] = max(highest[r.Service], r.Term)
			b.Update(news[len(news)-1-i])
		}
		for service, term := range highest {
			r, _ := a.Get(service)
			assert.Equal(t, r.Term, term)
		}
		assert.Equal(t, a.Checksum(), b.Checksum())
		assert.DeepEqual(t, a.All(), b.All())
	})
}

// Guards against changes that ride on messages for ever.
func TestChangesEnd(t *testing.T) {
	table := New()
	table.Update(failover.Route{Service: "x", Term: 1, Primary: "m0"})
	carried := 0
	for len(table.NextChanges(8)) > 0 {
		carried++
	}
	assert.Equal(t, carried, 8) // 2 * bits.Len(9)
}
