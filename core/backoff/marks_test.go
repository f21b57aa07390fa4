package backoff_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/backoff"
)

// passedOver returns how long something is passed over from now on.
func passedOver(m *backoff.Tracker, name string, now time.Duration) time.Duration {
	at := now
	for !m.Usable(name, at) {
		at += time.Millisecond
	}
	return at - now
}

// Guards against asking again and again what is gone for good, and against passing
// over for long what works again.
func TestFailuresAreRememberedLonger(t *testing.T) {
	var m backoff.Tracker
	assert.Assert(t, m.Usable("a", 0))
	var waits []time.Duration
	for range 12 {
		m.RecordFailure("a", time.Minute)
		waits = append(waits, passedOver(&m, "a", time.Minute))
	}
	assert.DeepEqual(t, waits[:5], []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second, 24 * time.Second})
	assert.Equal(t, waits[11], 24*time.Second)
	assert.Assert(t, m.Usable("b", time.Minute), "others are not affected")
	m.RecordSuccess("a")
	m.RecordFailure("a", time.Minute)
	assert.Equal(t, passedOver(&m, "a", time.Minute), 1500*time.Millisecond)
	m.SuspendUntil("a", time.Minute+10*time.Second)
	assert.Equal(t, passedOver(&m, "a", time.Minute), 10*time.Second)
}
