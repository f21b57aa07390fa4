// Package lag learns how far a replica is behind its primary from the reads that it
// could and could not execute, and decides when to ask it again. It answers replicas
// that fall behind by many seconds: every read asked each of them in vain before it
// went to the primary, a fifth to a quarter of what arrived at the members. It is a
// pure state machine.
package lag

import "time"

const (
	// initial is assumed until answers show the lag.
	initial = 30 * time.Millisecond
	// limit bounds what is assumed.
	limit = time.Minute
	// askInterval separates two reads that ask a replica which is probably behind:
	// one that has caught up is used again after that time. A round trip is lost
	// each time it has not.
	askInterval = 100 * time.Millisecond
)

// Estimator is what is known of one replica. The zero value is ready.
type Estimator struct {
	lag   time.Duration // 0: nothing is known
	asked time.Duration // when a read last asked although the replica was probably behind
}

func (e *Estimator) assumed() time.Duration {
	if e.lag == 0 {
		return initial
	}
	return e.lag
}

// Behind reports whether the replica probably lacks a position that its primary
// reached this long ago.
func (e *Estimator) Behind(age time.Duration) bool { return age < e.assumed() }

// ProbeDue reports whether a read may ask the replica although it is probably behind.
func (e *Estimator) ProbeDue(now time.Duration) bool {
	return e.asked == 0 || now-e.asked >= askInterval
}

// RecordProbe takes in that such a read is sent.
func (e *Estimator) RecordProbe(now time.Duration) { e.asked = now }

// RecordMissing takes in that the replica lacked a position of this age. A young position
// says nothing about older ones.
func (e *Estimator) RecordMissing(age time.Duration) {
	e.lag = max(e.assumed(), min(2*age, limit))
}

// RecordApplied takes in that the replica had a position of this age.
func (e *Estimator) RecordApplied(age time.Duration) {
	e.lag = min(e.assumed(), max(age, 1))
}
