package confirm

import "time"

// StallDetector detects that a primary can get no position confirmed, for example
// because it is cut off from its replicas. Requests that need a confirmation are
// then rejected before they run, instead of ending with an unknown outcome. The
// zero value with Timeout set is ready for use.
//
// Invariant: a stall ends only with a confirmation or a new term.
type StallDetector struct {
	// Timeout is the time without a confirmation, while a request waits for one,
	// after which the primary has stalled.
	Timeout time.Duration
	// ProbeInterval is the time between two barriers that test whether confirmations
	// arrive again.
	ProbeInterval time.Duration

	waitingSince time.Duration
	waiting      bool
	stalled      bool
	nextProbe    time.Duration
}

// Confirmed reports that a position has been confirmed or that a new term began.
func (s *StallDetector) Confirmed(now time.Duration) {
	s.stalled = false
	s.waitingSince = now
}

// Tick updates the state with the number of requests that wait for a confirmation.
// It reports whether a barrier is to be written to test whether confirmations
// arrive again.
func (s *StallDetector) Tick(pending int, now time.Duration) (probe bool) {
	if pending == 0 {
		s.waiting = false
	} else if !s.waiting {
		s.waiting = true
		s.waitingSince = now
	}
	if s.waiting && now-s.waitingSince >= s.Timeout {
		s.stalled = true
	}
	if !s.stalled || pending > 0 || now < s.nextProbe {
		return false
	}
	s.nextProbe = now + s.ProbeInterval
	return true
}

// Stalled reports whether requests that need a confirmation are to be rejected.
func (s *StallDetector) Stalled() bool { return s.stalled }
