// Package pace limits the statements in flight at a database member that has started,
// was replaced or promoted, or has recovered. A member with empty caches that is given
// its full load at once takes several times as long for each statement, and callers that
// return together after its absence fill its queue. A ramp of a fixed time leaves a warm
// member idle and floods one that is cold for longer. Here the limit follows from the
// member's answers: it grows with each good one, is bounded by the service time relative
// to the other members, and is halved after failures. It is a pure state machine.
package pace

import "time"

const (
	// startDivisor divides the full limit; the quotient is the limit at the start. With
	// one more statement for each good answer, the limit doubles with each service time,
	// so that a warm member is at full use after two to three of them.
	startDivisor = 4
	// normalRatio is the ratio of service times up to which the limit may reach the full
	// one. The moving mean of a warm member's ratios is above it for few answers.
	normalRatio = 1.5
	// maxRatio bounds the weight of one answer.
	maxRatio = 10.0
	// ratioWeight is the weight of one answer in the moving mean of the ratios.
	ratioWeight = 1.0 / 8
	// failureDivisor divides the limit after a failure. Failures of statements that were
	// sent before the last reduction have the same cause and reduce it no further.
	failureDivisor = 2
)

// Limiter limits the statements in flight at one member. The zero value does not limit.
type Limiter struct {
	active    bool
	startedAt time.Duration
	reducedAt time.Duration
	limit     float64
	ratio     float64
	compared  int
}

// Start begins a pace at a member with this full limit. cold means that the member
// reports that it is slow after its start; it begins with a single statement then, as its
// answers alone show when it no longer is.
func (l *Limiter) Start(full int, cold bool, now time.Duration) {
	*l = Limiter{active: true, startedAt: now, limit: max(float64(full/startDivisor), 1), ratio: 1}
	if cold {
		l.limit = 1
	}
}

// Active reports whether the member is below full use.
func (l *Limiter) Active() bool { return l.active }

// StartedAt returns when the pace began.
func (l *Limiter) StartedAt() time.Duration { return l.startedAt }

// Limit returns the number of statements that may be in flight, of at most full.
func (l *Limiter) Limit(full int) int {
	if !l.active {
		return full
	}
	return min(max(int(l.limit), 1), full)
}

// RecordGood records that a statement was executed. ratio is its service time relative to
// that of the other members, or 0 if it cannot be compared. finished means that the
// member has reached full use.
func (l *Limiter) RecordGood(full int, ratio float64, sentAt time.Duration) (finished bool) {
	if !l.active || sentAt < l.startedAt {
		return false
	}
	if ratio > 0 {
		l.compared++
		l.ratio += max(ratioWeight, 1/float64(l.compared+1)) * (min(ratio, maxRatio) - l.ratio)
	}
	ceiling := max(float64(full)/max(l.ratio/normalRatio, 1), 1)
	switch {
	case l.limit < ceiling:
		l.limit = min(l.limit+1, ceiling)
	case l.limit > ceiling:
		l.limit = max(l.limit-1, ceiling)
	}
	if l.limit >= float64(full) {
		l.active = false
	}
	return !l.active
}

// RecordBad records that a statement failed or was refused by the member.
func (l *Limiter) RecordBad(sentAt, now time.Duration) {
	if !l.active || sentAt < l.startedAt || sentAt < l.reducedAt {
		return
	}
	l.reducedAt = now
	l.limit = max(l.limit/failureDivisor, 1)
}
