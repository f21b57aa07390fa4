package choose_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/choose"
)

const ms = time.Millisecond

// Guards the primary's slots and the callers' time: the near, warm replica is
// used until its queue costs more than the way to another member.
func TestBest(t *testing.T) {
	near := choose.Candidate{Service: 9 * ms}
	far := choose.Candidate{Service: 9 * ms, Remote: true}
	primary := choose.Candidate{Service: 9 * ms, Primary: true}
	assert.Equal(t, choose.Best([]choose.Candidate{primary, far, near}), 2)
	near.Wait = 5 * ms
	assert.Equal(t, choose.Best([]choose.Candidate{primary, far, near}), 1)
	near.Wait, far.Wait = 30*ms, 30*ms
	assert.Equal(t, choose.Best([]choose.Candidate{primary, far, near}), 0)
	primary.Suspect = true
	assert.Equal(t, choose.Best([]choose.Candidate{primary, far, near}), 2)
	assert.Equal(t, choose.Best(nil), -1)
}
