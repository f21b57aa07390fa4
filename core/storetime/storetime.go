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
	least, most time.Duration
	at          time.Duration
	hasLeast    bool
	hasMost     bool
}

// AddExchange takes in a call. When it was handled, the store's time was at most
// latest; when it was answered, at least earliest. A call to another instance that
// knows these bounds serves as well as one to the store.
func (b *ClockOffset) AddExchange(earliest, latest, sentAt, answeredAt time.Duration) {
	b.age(answeredAt)
	slack := drift(answeredAt - sentAt)
	if least := sentAt - latest - slack; !b.hasLeast || least > b.least {
		b.least, b.hasLeast = least, true
	}
	if most := answeredAt - earliest + slack; !b.hasMost || most < b.most {
		b.most, b.hasMost = most, true
	}
}

// age widens the bounds by what the clocks may have drifted apart.
func (b *ClockOffset) age(now time.Duration) {
	if now <= b.at {
		return
	}
	b.least -= drift(now - b.at)
	b.most += drift(now - b.at)
	b.at = now
}

// drift is what two clocks may drift apart in d.
func drift(d time.Duration) time.Duration { return time.Duration(float64(d.Abs()) * maxDrift) }

// Known reports whether there was an exchange.
func (b *ClockOffset) Known() bool { return b.hasLeast && b.hasMost }

// StoreTime returns the bounds of the store's time at the own time now, which may have
// passed. They mean nothing unless Known.
func (b *ClockOffset) StoreTime(now time.Duration) (earliest, latest time.Duration) {
	b.age(now)
	slack := drift(b.at - now)
	return now - b.most - slack, now - b.least + slack
}

// Stamp returns the bounds of the own time at which the store's was s, as known
// at the own time now.
func (b *ClockOffset) LocalTime(s, now time.Duration) Timestamp {
	b.age(now)
	slack := drift(now - s - b.least)
	return Timestamp{Store: s, Earliest: s + b.least - slack, Latest: min(s+b.most+slack, now)}
}
