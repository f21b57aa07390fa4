package modelcheck

import (
	"maps"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
)

// entry is a log entry; id is 0 for a no-op. key is the request key recorded
// with the write, 0 for none.
type entry struct {
	term uint64
	id   uint64
	key  uint64
}

// member is one database as section 7 of the design page defines it. Its term,
// grant, role and log survive a restart.
type member struct {
	id      failover.MemberID
	up      bool
	term    uint64
	attempt string
	role    failover.Role
	follows failover.MemberID
	log     []entry
	// match holds, on a primary, what each follower has confirmed in term.
	match map[failover.MemberID]uint64
}

func (m *member) last() position.Position { return positionOf(m.log) }

func positionOf(log []entry) position.Position {
	if len(log) == 0 {
		return position.Position{}
	}
	return position.Position{Term: log[len(log)-1].term, Offset: uint64(len(log))}
}

func (m *member) status() failover.Status {
	s := failover.Status{Role: m.role, Term: m.term, Last: m.last(), Primary: m.follows}
	if m.role == failover.Primary {
		s.Primary = m.id
		s.Confirmed = maps.Clone(m.match)
	}
	return s
}

func (m *member) append(id uint64) position.Position {
	m.log = append(m.log, entry{term: m.term, id: id})
	return m.last()
}

func (m *member) adopt(term uint64, attempt string) bool {
	if term < m.term || term == m.term && attempt != m.attempt {
		return false
	}
	if term > m.term {
		m.term, m.attempt = term, attempt
		m.role, m.follows, m.match = failover.Replica, "", nil
	}
	return true
}

// promote reports whether the member is primary and whether it was made so now.
func (m *member) promote(term uint64, attempt string) (ok, now bool) {
	if term != m.term || attempt != m.attempt || attempt == "" {
		return false, false
	}
	if m.role == failover.Primary {
		return true, false
	}
	m.role, m.follows, m.match = failover.Primary, "", map[failover.MemberID]uint64{}
	return true, true
}

func (m *member) follow(term uint64, primary failover.MemberID) bool {
	if term < m.term || term == m.term && m.role == failover.Primary || primary == m.id {
		return false
	}
	if term > m.term {
		m.term, m.attempt = term, ""
	}
	m.role, m.follows, m.match = failover.Replica, primary, nil
	return true
}

// replicate copies up to n entries to a follower, which first discards what
// differs from the log of its primary.
func (m *member) replicate(f *member, n int) {
	if m.role != failover.Primary || f.term != m.term || f.follows != m.id {
		return
	}
	same := 0
	for same < len(f.log) && same < len(m.log) && f.log[same] == m.log[same] {
		same++
	}
	end := min(same+n, len(m.log))
	// A new slice keeps the snapshots of running reads intact.
	f.log = append(append([]entry(nil), f.log[:same]...), m.log[same:end]...)
	if end > same || end == len(m.log) {
		m.match[f.id] = uint64(end)
	}
}
