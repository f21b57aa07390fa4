// Package backoff keeps what has failed out of use for a while, and longer with each
// further failure, so that what is gone for good is hardly tried any more. It is
// pure: times are passed in.
package backoff

import "time"

const (
	// first is how long something is passed over after a failure. It doubles with
	// each further one up to longest.
	first   = 1500 * time.Millisecond
	longest = 24 * time.Second
	// maxDoublings keeps the shift from overflowing; longest is reached before.
	maxDoublings = 8
)

type mark struct {
	until time.Duration
	times int
}

// Tracker are the marks of named things. The zero value has none.
type Tracker struct{ byName map[string]mark }

// Usable reports whether something is not passed over at a time.
func (m *Tracker) Usable(name string, now time.Duration) bool { return now >= m.byName[name].until }

// RecordFailure takes in a failure.
func (m *Tracker) RecordFailure(name string, now time.Duration) {
	old := m.byName[name]
	m.set(name, mark{until: now + min(first<<min(old.times, maxDoublings), longest), times: old.times + 1})
}

// SuspendUntil keeps something out of use until a time, whatever has failed before.
func (m *Tracker) SuspendUntil(name string, until time.Duration) { m.set(name, mark{until: until}) }

// RecordSuccess takes in that something works.
func (m *Tracker) RecordSuccess(name string) { delete(m.byName, name) }

func (m *Tracker) set(name string, to mark) {
	if m.byName == nil {
		m.byName = make(map[string]mark)
	}
	m.byName[name] = to
}
