package failover

import (
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

type reachability uint8

const (
	unknown reachability = iota
	reachable
	failing // a probe on a fresh connection failed and none has succeeded since
)

type member struct {
	Member
	reachability reachability
	failingSince time.Duration
	hasStatus    bool
	statusAt     time.Duration
	status       Status
	// previousLast is the last position in the status before the current one.
	previousLast position.Position
	// lowerTermSeen means that the latest answer had a lower term than status.
	lowerTermSeen bool

	probing       bool
	probeFresh    bool // the outstanding probe uses a fresh connection
	probeDeadline time.Duration
	nextProbe     time.Duration

	// nextFollow is the earliest time for another Follow action.
	nextFollow time.Duration

	// stallTarget is the last log offset of the member at stallSince, when its term was
	// stallTerm; confirmedOffset is the log offset that a quorum had confirmed at the
	// latest status. A stall lasts while confirmedOffset is below stallTarget.
	stallTerm       uint64
	stallTarget     uint64
	stallSince      time.Duration
	confirmedOffset uint64
}

// observe records a status. An answer with a lower term is usually a late one, so
// it counts only if the next answer has a lower term as well, as after a member
// has lost its state.
func (m *member) observe(s Status, quorum int, now time.Duration) {
	m.reachability = reachable
	if m.hasStatus && s.Term < m.status.Term && !m.lowerTermSeen {
		m.lowerTermSeen = true
		return
	}
	m.lowerTermSeen = false
	m.hasStatus = true
	m.statusAt = now
	m.previousLast = m.status.Last
	m.status = s
	m.observeStall(s, quorum, now)
}

// observeStall keeps stallTarget while the member is the primary of the same term and no
// quorum has confirmed it, and otherwise replaces it by the last log offset of the status.
func (m *member) observeStall(s Status, quorum int, now time.Duration) {
	m.confirmedOffset = m.quorumOffset(s, quorum)
	if s.Role == Primary && s.Term == m.stallTerm && m.confirmedOffset < m.stallTarget {
		return
	}
	m.stallTerm = s.Term
	m.stallTarget = s.Last.Offset
	m.stallSince = now
}

// quorumOffset returns the log offset that a quorum has confirmed, 0 if there is
// none. The primary counts with its own last entry.
func (m *member) quorumOffset(s Status, quorum int) uint64 {
	offsets := []uint64{s.Last.Offset}
	for id, offset := range s.Confirmed {
		if id != m.ID {
			offsets = append(offsets, offset)
		}
	}
	if len(offsets) < quorum {
		return 0
	}
	slices.Sort(offsets)
	return offsets[len(offsets)-quorum]
}

// stalledFor returns the time for which a quorum has not confirmed stallTarget. It is
// meaningful only for a primary, as only a primary knows the confirmed offsets.
func (m *member) stalledFor(now time.Duration) time.Duration {
	if m.confirmedOffset >= m.stallTarget {
		return 0
	}
	return now - m.stallSince
}

func (m *member) isPrimaryIn(term uint64) bool {
	return m.hasStatus && m.status.Role == Primary && m.status.Term == term
}
