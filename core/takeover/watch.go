package takeover

import "time"

// PauseWatch is the time for which a replica is known not to have been paused for longer than some gap: a
// promotion ends pauses. The zero value is that of a replica that has not answered.
type PauseWatch struct {
	since time.Duration // of the first answer
	until time.Duration // when the query was sent that the last answer belongs to
}

// Observe handles the answer at the time now to a query that was sent at sentAt.
func (w *PauseWatch) Observe(paused bool, sentAt, now, maxGap time.Duration) {
	switch {
	case paused:
		*w = PauseWatch{}
	case w.since == 0 || now-w.until > maxGap:
		*w = PauseWatch{now, sentAt}
	default:
		w.until = max(w.until, sentAt)
	}
}

// Covers reports whether the replica has been watched from the given time, or earlier, until now.
func (w PauseWatch) Covers(from, now, maxGap time.Duration) bool {
	return w.since != 0 && w.since <= from && now-w.until <= maxGap
}
