package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cost of a member that follows a single delayed measurement, or one from
// long ago: the least of the latest measurements counts.
func TestRoundTripIsTheLeastOfTheLatest(t *testing.T) {
	var r roundTrips
	assert.Equal(t, r.get("a"), time.Duration(0))
	r.add("a", 2*time.Millisecond)
	r.add("a", 40*time.Millisecond)
	assert.Equal(t, r.get("a"), 2*time.Millisecond)
	for range roundTripSamples {
		r.add("a", 16*time.Millisecond)
	}
	assert.Equal(t, r.get("a"), 16*time.Millisecond)
	assert.Equal(t, r.get("b"), time.Duration(0))
}
