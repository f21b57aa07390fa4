package confirm

import "time"

// StallDetector decides when a primary counts as unable to get anything confirmed, as
// when it is cut off from its replicas. Work that needs a confirmation is then
// refused before it runs, instead of ending with an unknown outcome. The zero
// value with Timeout set is ready for use.
//
// Invariant: a stall ends only with a confirmation or a new term.
type StallDetector struct {
	// Timeout is the time without a confirmation, while something waits for one,
	// after which the primary has stalled.
	Timeout time.Duration
	// ProbeInterval is the time between two barriers that find out whether
	// confirmations arrive again.
	ProbeInterval time.Duration

	waitingSince time.Duration
	waiting      bool
	stalled      bool
	nextProbe    time.Duration
}

// Confirmed notes that something has been confirmed, or that a new term began.
func (s *StallDetector) Confirmed(now time.Duration) {
	s.stalled = false
	s.waitingSince = now
}

// Tick notes how many requests wait. It reports whether a barrier is to be
// written to find out whether confirmations arrive again.
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

// Stalled reports whether work that needs a confirmation is to be refused.
func (s *StallDetector) Stalled() bool { return s.stalled }
