// Package storetime converts between the monotonic clock of the platform's store and
// that of an instance, with bounds of the error. Instances forward snapshots of the
// store to each other; the age of a snapshot is computed from the store's time at which
// its read began, so that neither the time for which an instance holds it nor a pause of
// an instance on the way makes it appear younger. The package reads no clock: times are
// passed in.
package storetime

import "time"

// maxDrift is the maximum difference in rate between two monotonic clocks, as a
// fraction: the error of a crystal is at most 0.01%.
const maxDrift = 1.0 / 5000

// Timestamp is a point in time on the store's clock, with its bounds on the clock of
// this instance.
type Timestamp struct {
	Store    time.Duration // on the store's clock
	Earliest time.Duration // lower bound on the clock of this instance
	Latest   time.Duration // upper bound on the clock of this instance
}

// ClockOffset holds the bounds of the difference between the two clocks, which widen with
// their possible drift. The zero value has no bounds. It is not safe for concurrent use.
type ClockOffset struct {
	// minOffset and maxOffset bound the time of this instance minus the store's time, as
	// of asOf on the clock of this instance.
	minOffset, maxOffset time.Duration
	asOf                 time.Duration
	hasMin               bool
	hasMax               bool
}

// AddExchange tightens the bounds by a request and its response. This instance sent the
// request at sentAt and received the response at receivedAt, on its own clock. The other
// side is the store, or an instance that has bounds of the store's time: that time was at
// most latest when the other side received the request, and at least earliest when it sent
// the response.
func (o *ClockOffset) AddExchange(earliest, latest, sentAt, receivedAt time.Duration) {
	o.widen(receivedAt)
	slack := maxDriftOver(receivedAt - sentAt)
	if minimum := sentAt - latest - slack; !o.hasMin || minimum > o.minOffset {
		o.minOffset, o.hasMin = minimum, true
	}
	if maximum := receivedAt - earliest + slack; !o.hasMax || maximum < o.maxOffset {
		o.maxOffset, o.hasMax = maximum, true
	}
}

// widen widens the bounds by the possible drift since asOf.
func (o *ClockOffset) widen(now time.Duration) {
	if now <= o.asOf {
		return
	}
	o.minOffset -= maxDriftOver(now - o.asOf)
	o.maxOffset += maxDriftOver(now - o.asOf)
	o.asOf = now
}

// maxDriftOver returns the maximum drift between two clocks during d.
func maxDriftOver(d time.Duration) time.Duration { return time.Duration(float64(d.Abs()) * maxDrift) }

// Known reports whether AddExchange has been called, before which there are no bounds.
func (o *ClockOffset) Known() bool { return o.hasMin && o.hasMax }

// StoreTime returns the bounds of the store's time at now on the clock of this instance,
// which may be in the past. They are valid only if Known returns true.
func (o *ClockOffset) StoreTime(now time.Duration) (earliest, latest time.Duration) {
	o.widen(now)
	slack := maxDriftOver(o.asOf - now)
	return now - o.maxOffset - slack, now - o.minOffset + slack
}

// LocalTime returns storeTime, a past time on the store's clock, with its bounds on the
// clock of this instance as known at now. They are valid only if Known returns true.
func (o *ClockOffset) LocalTime(storeTime, now time.Duration) Timestamp {
	o.widen(now)
	slack := maxDriftOver(now - storeTime - o.minOffset)
	return Timestamp{Store: storeTime, Earliest: storeTime + o.minOffset - slack, Latest: min(storeTime+o.maxOffset+slack, now)}
}
