// Package handover decides when a primary that serves should hand its lead over to
// a replica. It answers one load: all replicas of a group apply entries so late
// that reads cannot use them, and the primary alone has fewer slots than callers
// ask for. A replica that leads has whatever it received, applied or not, and the
// former primary, which keeps up, becomes a replica that reads can use: two
// members then share the work of one. It is a pure state machine.
package handover

import "time"

const (
	// sustained is how long reads must have been refused. A change of primary costs
	// the group some refused writes; a second of refusals costs more.
	sustained = 500 * time.Millisecond
	// gap ends a run of refusals.
	gap = 500 * time.Millisecond
	// minRefused keeps a few callers that come back from counting as overload.
	minRefused = 5
	// settle separates two attempts, and an attempt from any change of primary:
	// replicas that still lag after a change are not helped by a second one.
	settle = 15 * time.Second
	// again is the time after an attempt that could not begin, because the store did
	// not take the claim.
	again = time.Second
)

// Detector sees the refusals of one group at one instance. The zero value is ready.
type Detector struct {
	since, last time.Duration // of the present run of refusals
	refused     int
	tried       time.Duration // last attempt to hand over; 0 if none
}

// RecordRefusal takes in a read that no member could execute: each replica said that it
// is behind, and the primary has no room.
func (w *Detector) RecordRefusal(now time.Duration) {
	if w.refused == 0 || now-w.last > gap {
		w.since, w.refused = now, 0
	}
	w.last = now
	w.refused++
}

// Due reports whether the lead should be handed over. changed is the time of the
// last change of primary, 0 if none is known.
func (w *Detector) Due(now, changed time.Duration) bool {
	if w.refused < minRefused || now-w.last > gap || w.last-w.since < sustained {
		return false
	}
	return (changed == 0 || now-changed >= settle) && (w.tried == 0 || now-w.tried >= settle)
}

// RecordAttempt takes in that the lead is being handed over, or cannot be.
func (w *Detector) RecordAttempt(now time.Duration) { w.tried = now }

// RecordFailedStart takes in that the attempt could not begin.
func (w *Detector) RecordFailedStart(now time.Duration) { w.tried = now - settle + again }

// Reset forgets the refusals, as after a change of primary.
func (w *Detector) Reset() { w.refused = 0 }
