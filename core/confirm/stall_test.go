package confirm

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cut-off primary that lets every request wait for its
// deadline, and against one that stays refused after the cut.
func TestStall(t *testing.T) {
	s := StallDetector{Timeout: time.Second, ProbeInterval: 250 * time.Millisecond}
	at := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	assert.Assert(t, !s.Tick(1, at(100)))
	s.Confirmed(at(900))
	s.Tick(1, at(1800))
	assert.Assert(t, !s.Stalled(), "a confirmation 900 ms ago")
	s.Tick(1, at(1900))
	assert.Assert(t, s.Stalled())
	assert.Assert(t, !s.Tick(1, at(2000)), "what waits is evidence enough")
	assert.Assert(t, s.Tick(0, at(2100)))
	assert.Assert(t, !s.Tick(0, at(2200)), "one probe in 250 ms")
	assert.Assert(t, s.Tick(0, at(2350)))
	s.Confirmed(at(2400))
	assert.Assert(t, !s.Stalled())
	s.Tick(0, at(9000))
	s.Tick(1, at(9100))
	assert.Assert(t, !s.Stalled(), "an idle time is no stall")
}
