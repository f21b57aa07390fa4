package replicaselect_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/replicaselect"
)

const ms = time.Millisecond

// Guards against reads that use slots of the primary or cross failure domains needlessly:
// the replica in the same failure domain is selected until its queue costs more than the
// round trip to another member. A member to avoid is the last choice.
func TestLowestCostIsSelected(t *testing.T) {
	local := replicaselect.Candidate{ServiceTime: 9 * ms}
	remote := replicaselect.Candidate{ServiceTime: 9 * ms, Remote: true}
	primary := replicaselect.Candidate{ServiceTime: 9 * ms, Primary: true}
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, remote, local}), 2)
	local.Wait = 5 * ms
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, remote, local}), 1)
	local.Wait, remote.Wait = 30*ms, 30*ms
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, remote, local}), 0)
	primary.Avoid = true
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, remote, local}), 2)
	primary.Avoid, primary.Probe = false, true
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, remote, local}), 0)
	primary.Behind, primary.Wait = true, 30*ms
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{primary, remote, local}), 2, "a read that the member cannot execute is no probe")
	assert.Equal(t, replicaselect.Best(nil), -1)
}

// Guards against repeated reads on a replica that lags: after such a replica has rejected
// a read, it is selected only if no member accepts reads, but rather than a member
// that does not answer.
func TestRecentlyBehindIsAvoided(t *testing.T) {
	behind := replicaselect.Candidate{ServiceTime: 9 * ms, Behind: true, RecentlyBehind: true}
	busy := replicaselect.Candidate{ServiceTime: 9 * ms, Primary: true, Wait: time.Second}
	dead := replicaselect.Candidate{Avoid: true}
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{behind, busy}), 1)
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{dead, behind}), 1)
	behind.RecentlyBehind = false
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{behind, busy}), 0, "it may have caught up")
}

// Guards the immediate refusal of a read that only a member without capacity could
// execute: without it, each of the other members, which lag, was sent the read first.
func TestOthersBehind(t *testing.T) {
	primary, behind := replicaselect.Candidate{Primary: true}, replicaselect.Candidate{Behind: true}
	assert.Assert(t, replicaselect.OthersBehind([]replicaselect.Candidate{behind, primary, behind}, 1))
	assert.Assert(t, !replicaselect.OthersBehind([]replicaselect.Candidate{behind, primary, {}}, 1))
	assert.Assert(t, !replicaselect.OthersBehind([]replicaselect.Candidate{{}, {}}, 0), "an equal candidate is another one")
	assert.Assert(t, replicaselect.OthersBehind([]replicaselect.Candidate{primary}, 0))
}

// Guards against reads that cross between regions although a replica in the region can
// execute them: with one cost for all failure domains, a queue of 2 ms sent a read over a
// round trip of 16 ms.
func TestReadsStayInTheRegion(t *testing.T) {
	near := replicaselect.Candidate{ServiceTime: 9 * ms, Remote: true, RoundTrip: 3 * ms}
	far := replicaselect.Candidate{ServiceTime: 9 * ms, Remote: true, RoundTrip: 16 * ms}
	unknown := replicaselect.Candidate{ServiceTime: 9 * ms, Remote: true}
	near.Wait = 12 * ms
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{far, near}), 1)
	near.Wait = 14 * ms
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{far, near}), 0, "the queue costs more than the round trip")
	assert.Equal(t, replicaselect.Best([]replicaselect.Candidate{far, unknown}), 1)
	local := replicaselect.Candidate{ServiceTime: 9 * ms, RoundTrip: 16 * ms}
	assert.Equal(t, replicaselect.Cost(local), 9*ms, "only a remote member has a round trip")
}
