package route

import (
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// maxSamples bounds the barriers that a replica has not applied yet. At one
// barrier per second it covers a minute of lag before samples are thinned out.
const maxSamples = 64

type sample struct {
	at  time.Duration
	pos position.Position
}

// AgeTracker proves the age of a replica's data with one clock: a barrier that
// was requested at T0 has a position after every write acknowledged before T0,
// so once the replica has applied that position, its data is not older than
// now - T0. The zero value is ready for use.
type AgeTracker struct {
	applied position.Position
	proven  sample
	known   bool
	// waiting is in order of time and position.
	waiting []sample
}

// AddBarrier notes that a barrier requested at requested has returned p.
func (a *AgeTracker) AddBarrier(requested time.Duration, p position.Position) {
	s := sample{requested, p}
	if a.applied.AtLeast(p) {
		a.prove(s)
		return
	}
	if n := len(a.waiting); n > 0 && !(requested > a.waiting[n-1].at && p.AtLeast(a.waiting[n-1].pos)) {
		// A response out of order proves less than one already kept.
		return
	}
	if len(a.waiting) == maxSamples {
		a.thin()
	}
	a.waiting = append(a.waiting, s)
}

// SetApplied notes the applied position of the replica. A position before the one
// that proved the age means that the replica lost data, and voids the proof.
func (a *AgeTracker) SetApplied(p position.Position) {
	a.applied = p
	if a.known && !p.AtLeast(a.proven.pos) {
		a.known = false
	}
	n := 0
	for n < len(a.waiting) && p.AtLeast(a.waiting[n].pos) {
		a.prove(a.waiting[n])
		n++
	}
	a.waiting = append(a.waiting[:0], a.waiting[n:]...)
}

// Age returns the proven age of the data, and false if none is proven.
func (a *AgeTracker) Age(now time.Duration) (time.Duration, bool) {
	return now - a.proven.at, a.known
}

func (a *AgeTracker) prove(s sample) {
	if !a.known || s.at > a.proven.at {
		a.proven = s
		a.known = true
	}
}

// thin drops every second sample, so that old and new ones are both kept.
func (a *AgeTracker) thin() {
	n := 0
	for i := 0; i < len(a.waiting); i += 2 {
		a.waiting[n] = a.waiting[i]
		n++
	}
	a.waiting = a.waiting[:n]
}
