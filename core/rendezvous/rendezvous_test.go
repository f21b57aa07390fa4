package rendezvous_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/rendezvous"
	"github.com/papayarail/papayarail/core/source"
)

// Guards the agreement between instances: the order must not depend on the order of the
// list, and the first few must be those of the whole order.
func TestFirst(t *testing.T) {
	var all, reversed []source.Candidate
	for i := range 50 {
		all = append(all, source.Candidate{Name: fmt.Sprint("i", i), Weight: float64(i % 3)})
	}
	for i := range all {
		reversed = append(reversed, all[len(all)-1-i])
	}
	whole := rendezvous.First("s", all, len(all))
	assert.Equal(t, len(whole), len(all))
	for i := 1; i < len(whole); i++ {
		assert.Assert(t, rendezvous.Score("s", whole[i-1]) <= rendezvous.Score("s", whole[i]))
	}
	for n := range 6 {
		assert.DeepEqual(t, rendezvous.First("s", reversed, n), whole[:n])
	}
	assert.Equal(t, len(rendezvous.First("s", all[:2], 5)), 2)
}
