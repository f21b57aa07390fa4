// Package backoff suspends the use of failing peers by exponential backoff, so that a
// peer that is gone for good is rarely tried. It does no I/O and reads no clock: times
// are passed in, as durations since a common start.
package backoff

import "time"

const (
	// initialDelay is the suspension after the first failure. Each further failure in
	// a row doubles it, up to maxDelay.
	initialDelay = 1500 * time.Millisecond
	maxDelay     = 24 * time.Second
	// maxDoublings prevents an overflow of the shift; maxDelay is reached before.
	maxDoublings = 8
)

// entry is the state of a peer whose last use failed.
type entry struct {
	until    time.Duration // end of the suspension
	failures int           // failures in a row
}

// Tracker holds the suspensions of named peers. The zero value has none. It is not safe
// for concurrent use.
type Tracker struct{ entries map[string]entry }

// Usable reports whether a peer is not suspended at now.
func (t *Tracker) Usable(name string, now time.Duration) bool { return now >= t.entries[name].until }

// SuspendedUntil returns the end of the last suspension of a peer, which is in the past if it
// is not suspended; 0 if there was none.
func (t *Tracker) SuspendedUntil(name string) time.Duration { return t.entries[name].until }

// RecordFailure suspends a peer after a failed use, for longer with each failure in a row.
func (t *Tracker) RecordFailure(name string, now time.Duration) {
	previous := t.entries[name]
	t.set(name, entry{until: now + min(initialDelay<<min(previous.failures, maxDoublings), maxDelay), failures: previous.failures + 1})
}

// SuspendUntil suspends a peer until the given time and resets its failures.
func (t *Tracker) SuspendUntil(name string, until time.Duration) { t.set(name, entry{until: until}) }

// RecordSuccess ends the suspension of a peer and resets its failures.
func (t *Tracker) RecordSuccess(name string) { delete(t.entries, name) }

func (t *Tracker) set(name string, e entry) {
	if t.entries == nil {
		t.entries = make(map[string]entry)
	}
	t.entries[name] = e
}
