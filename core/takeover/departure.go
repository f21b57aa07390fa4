package takeover

import (
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// Departure tracks whether a member that departs may be left out of bounds of acknowledged
// commits and of changes of primary. The zero value is that of a member that answers.
//
// An acknowledged commit is on the primary and on one other member at least, so that all members
// but one have each of them. A member that ends takes its log with it. What it had is on two
// remaining members once the primary was seen at a position that one of the others has reached
// since, both after the last acknowledgement that may rest on the member. Neither its silence nor
// the time since shows that: the others may be cut off from the primary.
type Departure struct {
	begun, seen, covered bool
	since                time.Duration
	floor                position.Position // that the primary had reached after since, if seen is set
}

// Begin notes that no acknowledgement has rested on the member since the local time now.
func (d *Departure) Begin(now time.Duration) {
	if !d.begun {
		d.begun, d.since = true, now
	}
}

// Begun reports whether Begin was called, and Covered whether all commits that rested on the member
// are on two remaining ones.
func (d *Departure) Begun() bool   { return d.begun }
func (d *Departure) Covered() bool { return d.covered }

// Floor returns the position that one of the others has to reach; ok is false until the primary was seen.
func (d *Departure) Floor() (p position.Position, ok bool) { return d.floor, d.seen }

// Since returns the local time at which Begin was called first.
func (d *Departure) Since() time.Duration { return d.since }

// AwaitsAnswers reports whether answers of the remaining members may change Covered, if the record was
// last read at the local time readAt.
func (d *Departure) AwaitsAnswers(readAt time.Duration) bool {
	return d.begun && !d.covered && readAt >= d.since
}

// ObservePrimary handles the last position of the primary's log. At the local time at or later it
// was the primary of the latest term in which commits were acknowledged.
func (d *Departure) ObservePrimary(log position.Position, at time.Duration) {
	if d.begun && at >= d.since && (!d.seen || log.Term > d.floor.Term) {
		d.seen, d.floor = true, log
	}
}

// ObserveReplica handles the last position of the log of a replica that every instance knows.
func (d *Departure) ObserveReplica(log position.Position) {
	d.covered = d.covered || d.seen && (d.floor.IsZero() || holds(log, d.floor))
}
