// Package storetime relates the steady clock of the platform's store to the
// clock of an instance. A reading of the store is passed on from instance to
// instance; its age is judged by the store's time at which it began, so that it
// does not matter how long it was held, or whether an instance on the way froze.
// It is pure: times are passed in.
package storetime

import "time"

// maxDrift is the greatest difference in rate between two steady clocks, as a
// part: crystals keep to 0.01%.
const maxDrift = 1.0 / 5000

// Stamp is one moment: its time in the store, and bounds of its time on the
// clock of this instance.
type Timestamp struct {
	Store    time.Duration
	Earliest time.Duration
	Latest   time.Duration
}

// ClockOffset are the bounds of the difference between the two clocks. The zero value
// knows nothing.
type ClockOffset struct {
	// least and most bound the own time less the store's, as of at.
	minOffset, maxOffset time.Duration
	asOf                 time.Duration
	hasMin               bool
	hasMax               bool
}

// AddExchange takes in a call. When it was handled, the store's time was at most
// latest; when it was answered, at least earliest. A call to another instance that
// knows these bounds serves as well as one to the store.
func (b *ClockOffset) AddExchange(earliest, latest, sentAt, answeredAt time.Duration) {
	b.widen(answeredAt)
	slack := maxDriftOver(answeredAt - sentAt)
	if least := sentAt - latest - slack; !b.hasMin || least > b.minOffset {
		b.minOffset, b.hasMin = least, true
	}
	if most := answeredAt - earliest + slack; !b.hasMax || most < b.maxOffset {
		b.maxOffset, b.hasMax = most, true
	}
}

// age widens the bounds by what the clocks may have drifted apart.
func (b *ClockOffset) widen(now time.Duration) {
	if now <= b.asOf {
		return
	}
	b.minOffset -= maxDriftOver(now - b.asOf)
	b.maxOffset += maxDriftOver(now - b.asOf)
	b.asOf = now
}

// drift is what two clocks may drift apart in d.
func maxDriftOver(d time.Duration) time.Duration { return time.Duration(float64(d.Abs()) * maxDrift) }

// Known reports whether there was an exchange.
func (b *ClockOffset) Known() bool { return b.hasMin && b.hasMax }

// StoreTime returns the bounds of the store's time at the own time now, which may have
// passed. They mean nothing unless Known.
func (b *ClockOffset) StoreTime(now time.Duration) (earliest, latest time.Duration) {
	b.widen(now)
	slack := maxDriftOver(b.asOf - now)
	return now - b.maxOffset - slack, now - b.minOffset + slack
}

// Stamp returns the bounds of the own time at which the store's was s, as known
// at the own time now.
func (b *ClockOffset) LocalTime(s, now time.Duration) Timestamp {
	b.widen(now)
	slack := maxDriftOver(now - s - b.minOffset)
	return Timestamp{Store: s, Earliest: s + b.minOffset - slack, Latest: min(s+b.maxOffset+slack, now)}
}
