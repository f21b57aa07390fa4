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

// Guards against questions in vain: a replica that was just found behind is not asked
// again while another member takes the read, but before one that does not answer.
func TestRecentlyBehind(t *testing.T) {
	behind := choose.Candidate{Service: 9 * ms, Behind: true, RecentlyBehind: true}
	busy := choose.Candidate{Service: 9 * ms, Primary: true, Wait: time.Second}
	dead := choose.Candidate{Suspect: true}
	assert.Equal(t, choose.Best([]choose.Candidate{behind, busy}), 1)
	assert.Equal(t, choose.Best([]choose.Candidate{dead, behind}), 1)
	behind.RecentlyBehind = false
	assert.Equal(t, choose.Best([]choose.Candidate{behind, busy}), 0, "it may have caught up")
}

// Guards the refusal at once of a read for which the other members lag: they were each
// asked in vain first.
func TestAlone(t *testing.T) {
	primary, behind := choose.Candidate{Primary: true}, choose.Candidate{Behind: true}
	assert.Assert(t, choose.Alone([]choose.Candidate{behind, primary, behind}, 1))
	assert.Assert(t, !choose.Alone([]choose.Candidate{behind, primary, {}}, 1))
	assert.Assert(t, !choose.Alone([]choose.Candidate{{}, {}}, 0), "equal candidates are two")
	assert.Assert(t, choose.Alone([]choose.Candidate{primary}, 0))
}
