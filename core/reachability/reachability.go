// Package reachability decides whether an instance is out of touch with everything
// outside of its failure domain. It answers a cut of a failure domain or of a single
// instance: leases on a primary run out a second later, and the load balancer needs
// two probes more, while callers of the instance are served next to nothing. An
// instance under load can tell much earlier, because members that answered some
// hundred requests a second all fall silent together. It is a pure state machine.
package reachability

import "time"

const (
	// silenceLimit is how long nothing outside may answer. The store is read every
	// 0.3 s, so that one lost reading is no silence; members under load answer
	// within that time, and an instance that has answers again is ready at once.
	silenceLimit = 400 * time.Millisecond
	// minSilent is the number of members that leave requests unanswered: one alone
	// may have died.
	minSilent = 2
)

// Detector sees what an instance asks of members outside of its failure domain, and
// what answers from there. The zero value is ready.
type Detector struct {
	silent map[string]bool // members asked since the last answer
	since  time.Duration   // first of these requests
}

// RecordRequest takes in that a request was sent to a member outside.
func (w *Detector) RecordRequest(member string, now time.Duration) {
	if len(w.silent) == 0 {
		w.since = now
		w.silent = make(map[string]bool)
	}
	w.silent[member] = true
}

// RecordAnswer takes in any answer from outside: of a member, the store, or another
// instance.
func (w *Detector) RecordAnswer() { clear(w.silent) }

// Isolated reports whether the instance is out of touch.
func (w *Detector) Isolated(now time.Duration) bool {
	return len(w.silent) >= minSilent && now-w.since >= silenceLimit
}
