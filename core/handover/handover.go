// Package handover decides when a working primary should hand its role over to a replica
// because all replicas of the group lag: they apply log entries so late that reads cannot
// use them, and the primary alone has fewer slots than the load needs. Such a hand-over
// is a planned switchover from a primary that is not leaving. The promoted replica has all
// entries that it received, applied or not, and the former primary becomes a replica
// without lag, so that two members serve the load. The package is a pure state machine.
package handover

import "time"

const (
	// minRefusalTime is the time for which reads must have been refused. A change of
	// primary costs the group some refused writes; a second of refused reads costs more.
	minRefusalTime = 500 * time.Millisecond
	// maxRefusalGap is the longest time between two refusals of one run of refusals.
	maxRefusalGap = 500 * time.Millisecond
	// minRefusals is the least number of refusals in a run, so that the retries of a few
	// callers don't count as overload.
	minRefusals = 5
	// minChangeInterval is the least time between two attempts, and between any change of
	// primary and an attempt: a second change does not help if replicas still lag after
	// the first one.
	minChangeInterval = 15 * time.Second
	// failedStartDelay is the time after an attempt that could not begin because the store
	// did not accept the claim.
	failedStartDelay = time.Second
)

// Detector detects sustained refusals of the reads of one group at one instance. The zero
// value is ready to use.
type Detector struct {
	firstRefusal, lastRefusal time.Duration // of the current run of refusals
	refusals                  int
	lastAttempt               time.Duration // start of the last hand-over; 0 if none
}

// RecordRefusal records a read that no member could execute: all replicas answered that
// they lag, and the queue of the primary refused it.
func (d *Detector) RecordRefusal(now time.Duration) {
	if d.refusals == 0 || now-d.lastRefusal > maxRefusalGap {
		d.firstRefusal, d.refusals = now, 0
	}
	d.lastRefusal = now
	d.refusals++
}

// Due reports whether the primary should hand over now. changedAt is the time of the last
// change of primary, 0 if none is known.
func (d *Detector) Due(now, changedAt time.Duration) bool {
	if d.refusals < minRefusals || now-d.lastRefusal > maxRefusalGap || d.lastRefusal-d.firstRefusal < minRefusalTime {
		return false
	}
	return (changedAt == 0 || now-changedAt >= minChangeInterval) && (d.lastAttempt == 0 || now-d.lastAttempt >= minChangeInterval)
}

// RecordAttempt records a hand-over that begins or was found impossible.
func (d *Detector) RecordAttempt(now time.Duration) { d.lastAttempt = now }

// RecordFailedStart records that the last attempt could not begin. The next one is due
// after failedStartDelay.
func (d *Detector) RecordFailedStart(now time.Duration) {
	d.lastAttempt = now - minChangeInterval + failedStartDelay
}

// Reset discards the refusals, as after a change of primary.
func (d *Detector) Reset() { d.refusals = 0 }
