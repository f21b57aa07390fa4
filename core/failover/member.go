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
	failing // a fresh connection failed and none has succeeded since
)

type member struct {
	Member
	reachability reachability
	failingSince time.Duration
	hasStatus    bool
	statusAt     time.Duration
	status       Status
	// before is the last position of the status before this one.
	previousLast position.Position
	// older is set while the last answer had a lower term than status.
	lowerTermSeen bool

	probing       bool
	probeFresh    bool
	probeDeadline time.Duration
	nextProbe     time.Duration

	// nextFollow holds back a repeated Follow while one is under way.
	nextFollow time.Duration

	// stallTarget is an offset that a quorum had not confirmed at stallSince.
	stallTerm       uint64
	stallTarget     uint64
	stallSince      time.Duration
	confirmedOffset uint64
}

// observe takes over a status. An answer of a lower term is usually late, so it
// counts only when the next one has a lower term as well, as after the loss of a
// member's state.
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

func (m *member) observeStall(s Status, quorum int, now time.Duration) {
	m.confirmedOffset = m.quorumOffset(s, quorum)
	if s.Role == Primary && s.Term == m.stallTerm && m.confirmedOffset < m.stallTarget {
		return
	}
	m.stallTerm = s.Term
	m.stallTarget = s.Last.Offset
	m.stallSince = now
}

// quorumOffset returns the offset that a quorum has confirmed. The primary
// counts with its own last entry.
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

func (m *member) stalledFor(now time.Duration) time.Duration {
	if m.confirmedOffset >= m.stallTarget {
		return 0
	}
	return now - m.stallSince
}

func (m *member) isPrimaryIn(term uint64) bool {
	return m.hasStatus && m.status.Role == Primary && m.status.Term == term
}
