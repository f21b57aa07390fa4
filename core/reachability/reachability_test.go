package reachability_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/reachability"
)

const ms = time.Millisecond

// Guards the callers of a cut failure domain: their instances were ready for a
// second after the cut, until the leases had run out.
func TestCutUnderLoad(t *testing.T) {
	var w reachability.Detector
	for now := time.Duration(0); now < time.Second; now += 5 * ms {
		w.RecordRequest([]string{"a", "b", "c"}[now/(5*ms)%3], now)
		w.RecordAnswer()
		assert.Assert(t, !w.Isolated(now))
	}
	cut := time.Second
	for now := cut; now < cut+300*ms; now += 5 * ms {
		w.RecordRequest([]string{"a", "b", "c"}[now/(5*ms)%3], now)
		assert.Assert(t, !w.Isolated(now))
	}
	assert.Assert(t, w.Isolated(cut+450*ms))
	w.RecordAnswer()
	assert.Assert(t, !w.Isolated(cut+450*ms), "an answer ends it")
	w.RecordRequest("a", cut+500*ms)
	w.RecordRequest("b", cut+500*ms)
	assert.Assert(t, !w.Isolated(cut+600*ms), "earlier silence does not count")
}

// Guards an instance without load, and one whose only member in use has died: they
// are not out of touch.
func TestSilenceOfFew(t *testing.T) {
	var w reachability.Detector
	assert.Assert(t, !w.Isolated(time.Hour))
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		w.RecordRequest("dead", now)
		assert.Assert(t, !w.Isolated(now))
	}
	w.RecordRequest("other", 10*time.Second)
	w.RecordAnswer()
	w.RecordRequest("dead", 10*time.Second)
	assert.Assert(t, !w.Isolated(11*time.Second))
}
