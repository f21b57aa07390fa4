package replicaselect_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/replicaselect"
)

const ms = time.Millisecond

// Guards the primary's slots and the callers' time: the near, warm replica is
// used until its queue costs more than the way to another member.
func TestBest(t *testing.T) {
	near := replicaselect.Candidate{Service: 9 * ms}
	far := replicaselect.Candidate{Service: 9 * ms, Remote: true}
	primary := replicaselect.Candidate{Service: 9 * ms, Primary: true}
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, far, near}), 2)
	near.Wait = 5 * ms
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, far, near}), 1)
	near.Wait, far.Wait = 30*ms, 30*ms
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, far, near}), 0)
	primary.Suspect = true
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, far, near}), 2)
	assert.Equal(t, replicaselect.Best(nil), -1)
}

// Guards against questions in vain: a replica that was just found behind is not asked
// again while another member takes the read, but before one that does not answer.
func TestRecentlyBehind(t *testing.T) {
	behind := replicaselect.Candidate{Service: 9 * ms, Behind: true, RecentlyBehind: true}
	busy := replicaselect.Candidate{Service: 9 * ms, Primary: true, Wait: time.Second}
	dead := replicaselect.Candidate{Suspect: true}
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{behind, busy}), 1)
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{dead, behind}), 1)
	behind.RecentlyBehind = false
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{behind, busy}), 0, "it may have caught up")
}

// Guards the refusal at once of a read for which the other members lag: they were each
// asked in vain first.
func TestAlone(t *testing.T) {
	primary, behind := replicaselect.Candidate{Primary: true}, replicaselect.Candidate{Behind: true}
	assert.Assert(t, replicaselect.OthersBehind([]replicaselect.Candidate{behind, primary, behind}, 1))
	assert.Assert(t, !replicaselect.OthersBehind([]replicaselect.Candidate{behind, primary, {}}, 1))
	assert.Assert(t, !replicaselect.OthersBehind([]replicaselect.Candidate{{}, {}}, 0), "equal candidates are two")
	assert.Assert(t, replicaselect.OthersBehind([]replicaselect.Candidate{primary}, 0))
}
