package reachability_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/reachability"
)

const ms = time.Millisecond

// Guards against instances of an isolated failure domain that stay ready for a second,
// until the leases have expired, and against an instance that stays isolated after an
// answer.
func TestPartitionUnderLoad(t *testing.T) {
	var d reachability.Detector
	for now := time.Duration(0); now < time.Second; now += 5 * ms {
		d.RecordRequest([]string{"a", "b", "c"}[now/(5*ms)%3], now)
		d.RecordAnswer()
		assert.Assert(t, !d.Isolated(now))
	}
	cut := time.Second
	for now := cut; now < cut+300*ms; now += 5 * ms {
		d.RecordRequest([]string{"a", "b", "c"}[now/(5*ms)%3], now)
		assert.Assert(t, !d.Isolated(now))
	}
	assert.Assert(t, d.Isolated(cut+450*ms))
	d.RecordAnswer()
	assert.Assert(t, !d.Isolated(cut+450*ms), "an answer must end the isolation")
	d.RecordRequest("a", cut+500*ms)
	d.RecordRequest("b", cut+500*ms)
	assert.Assert(t, !d.Isolated(cut+600*ms), "silence before the last answer must not count")
}

// Guards against isolation of an instance without load, or of one whose only member in
// use has crashed.
func TestOneSilentMemberIsNoPartition(t *testing.T) {
	var d reachability.Detector
	assert.Assert(t, !d.Isolated(time.Hour))
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		d.RecordRequest("dead", now)
		assert.Assert(t, !d.Isolated(now))
	}
	d.RecordRequest("other", 10*time.Second)
	d.RecordAnswer()
	d.RecordRequest("dead", 10*time.Second)
	assert.Assert(t, !d.Isolated(11*time.Second))
}

// Guards against an instance that concludes from the silence of saturated members that it
// is isolated: other instances must be asked before that, and their answers count.
func TestSilentMembersOfReachableDomain(t *testing.T) {
	var d reachability.Detector
	for now := time.Duration(0); now < 2*time.Second; now += 10 * ms {
		d.RecordRequest("a", now)
		d.RecordRequest("b", now)
		if d.Doubtful(now) {
			assert.Assert(t, !d.Isolated(now))
			d.RecordAnswer()
		}
	}
	d.RecordAnswer()
	d.RecordRequest("a", 3*time.Second)
	assert.Assert(t, !d.Doubtful(10*time.Second), "a single member may have crashed")
}
