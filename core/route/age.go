package route

import (
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// maxPendingBarriers limits the barriers that a replica has not applied yet. At
// one barrier per second, a minute of lag is covered before barriers are dropped.
const maxPendingBarriers = 64

// barrier is a position after every write acknowledged before requestedAt, a time
// on the clock of this instance.
type barrier struct {
	requestedAt time.Duration
	position    position.Position
}

// AgeTracker proves an upper bound of the staleness of a replica's data with a
// single clock: a barrier requested at T0 returns a position after every write
// acknowledged before T0, so once the replica has applied that position, its data
// is no older than now - T0. The zero value is ready for use.
type AgeTracker struct {
	applied position.Position
	proven  barrier
	known   bool
	// pending holds the barriers not yet applied, in order of time and position.
	pending []barrier
}

// AddBarrier records that a barrier requested at requestedAt returned p.
func (a *AgeTracker) AddBarrier(requestedAt time.Duration, p position.Position) {
	b := barrier{requestedAt, p}
	if a.applied.AtLeast(p) {
		a.setProven(b)
		return
	}
	if n := len(a.pending); n > 0 && !(requestedAt > a.pending[n-1].requestedAt && p.AtLeast(a.pending[n-1].position)) {
		// A response out of order proves less than one already recorded.
		return
	}
	if len(a.pending) == maxPendingBarriers {
		a.thinOut()
	}
	a.pending = append(a.pending, b)
}

// SetApplied records the applied position of the replica. A position before the
// one that proved the age means that the replica lost data, and invalidates the
// proof.
func (a *AgeTracker) SetApplied(p position.Position) {
	a.applied = p
	if a.known && !p.AtLeast(a.proven.position) {
		a.known = false
	}
	n := 0
	for n < len(a.pending) && p.AtLeast(a.pending[n].position) {
		a.setProven(a.pending[n])
		n++
	}
	a.pending = append(a.pending[:0], a.pending[n:]...)
}

// Age returns the proven upper bound of the age of the data at now, and false if
// none is proven.
func (a *AgeTracker) Age(now time.Duration) (time.Duration, bool) {
	return now - a.proven.requestedAt, a.known
}

func (a *AgeTracker) setProven(b barrier) {
	if !a.known || b.requestedAt > a.proven.requestedAt {
		a.proven = b
		a.known = true
	}
}

// thinOut drops every second pending barrier, so that both old and new ones remain.
func (a *AgeTracker) thinOut() {
	n := 0
	for i := 0; i < len(a.pending); i += 2 {
		a.pending[n] = a.pending[i]
		n++
	}
	a.pending = a.pending[:n]
}
