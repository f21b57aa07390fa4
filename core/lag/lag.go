// Package lag estimates the replication lag of a replica from the reads that the replica
// could or could not execute, and paces reads that probe whether a lagging replica has
// caught up. Without the pacing, while replicas lagged by many seconds, every read was
// sent to each of them before it went to the primary; these reads were a fifth to a
// quarter of all reads that arrived at the members. It is a pure state machine.
package lag

import "time"

const (
	// initialLag is the estimate until the first read is recorded.
	initialLag = 30 * time.Millisecond
	// maxLag is the upper bound of the estimate.
	maxLag = time.Minute
	// probeInterval is the least time between two reads sent to a replica that is probably
	// behind. A replica that has caught up is used again within this time; a probe of one
	// that has not costs a round trip.
	probeInterval = 100 * time.Millisecond
)

// Estimator estimates the lag of one replica. The zero value is ready to use.
type Estimator struct {
	lag       time.Duration // 0: nothing is recorded
	lastProbe time.Duration // time of the last probe; 0: none
}

func (e *Estimator) assumedLag() time.Duration {
	if e.lag == 0 {
		return initialLag
	}
	return e.lag
}

// Behind reports whether the replica has probably not applied a position of this age, one
// that its primary reached the duration age ago.
func (e *Estimator) Behind(age time.Duration) bool { return age < e.assumedLag() }

// ProbeDue reports whether a read may be sent to the replica although it is probably
// behind.
func (e *Estimator) ProbeDue(now time.Duration) bool {
	return e.lastProbe == 0 || now-e.lastProbe >= probeInterval
}

// RecordProbe records that a read is sent to the replica as a probe.
func (e *Estimator) RecordProbe(now time.Duration) { e.lastProbe = now }

// RecordMissing records that the replica had not applied a position of this age. The
// estimate rises to at most twice the age, because a recent position says nothing about
// older ones.
func (e *Estimator) RecordMissing(age time.Duration) {
	e.lag = max(e.assumedLag(), min(2*age, maxLag))
}

// RecordApplied records that the replica had applied a position of this age.
func (e *Estimator) RecordApplied(age time.Duration) {
	e.lag = min(e.assumedLag(), max(age, 1))
}
