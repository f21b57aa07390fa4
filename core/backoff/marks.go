// Package backoff keeps what has failed out of use for a while, and longer with each
// further failure, so that what is gone for good is hardly tried any more. It is
// pure: times are passed in.
package backoff

import "time"

const (
	// first is how long something is passed over after a failure. It doubles with
	// each further one up to longest.
	initialDelay = 1500 * time.Millisecond
	maxDelay     = 24 * time.Second
	// maxDoublings keeps the shift from overflowing; longest is reached before.
	maxDoublings = 8
)

type entry struct {
	until    time.Duration
	failures int
}

// Tracker are the marks of named things. The zero value has none.
type Tracker struct{ entries map[string]entry }

// Usable reports whether something is not passed over at a time.
func (m *Tracker) Usable(name string, now time.Duration) bool { return now >= m.entries[name].until }

// RecordFailure takes in a failure.
func (m *Tracker) RecordFailure(name string, now time.Duration) {
	old := m.entries[name]
	m.set(name, entry{until: now + min(initialDelay<<min(old.failures, maxDoublings), maxDelay), failures: old.failures + 1})
}

// SuspendUntil keeps something out of use until a time, whatever has failed before.
func (m *Tracker) SuspendUntil(name string, until time.Duration) { m.set(name, entry{until: until}) }

// RecordSuccess takes in that something works.
func (m *Tracker) RecordSuccess(name string) { delete(m.entries, name) }

func (m *Tracker) set(name string, to entry) {
	if m.entries == nil {
		m.entries = make(map[string]entry)
	}
	m.entries[name] = to
}
