package backoff_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/backoff"
)

// suspension returns how long a peer remains suspended after now.
func suspension(t *backoff.Tracker, name string, now time.Duration) time.Duration {
	at := now
	for !t.Usable(name, at) {
		at += time.Millisecond
	}
	return at - now
}

// Guards against trying a peer that is gone for good too often, and against a long
// suspension of a peer that works again.
func TestSuspensionDoublesUntilSuccess(t *testing.T) {
	var tracker backoff.Tracker
	assert.Assert(t, tracker.Usable("a", 0))
	var suspensions []time.Duration
	for range 12 {
		tracker.RecordFailure("a", time.Minute)
		suspensions = append(suspensions, suspension(&tracker, "a", time.Minute))
	}
	assert.DeepEqual(t, suspensions[:5], []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second, 24 * time.Second})
	assert.Equal(t, suspensions[11], 24*time.Second)
	assert.Assert(t, tracker.Usable("b", time.Minute), "others are not affected")
	tracker.RecordSuccess("a")
	tracker.RecordFailure("a", time.Minute)
	assert.Equal(t, suspension(&tracker, "a", time.Minute), 1500*time.Millisecond)
	tracker.SuspendUntil("a", time.Minute+10*time.Second)
	assert.Equal(t, suspension(&tracker, "a", time.Minute), 10*time.Second)
}
