package modelcheck

import (
	"maps"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
)

// logEntry is an entry in the log of a member. id is that of the write, 0 for a no-op; key
// is the request key recorded with the write, 0 for none.
type logEntry struct {
	term uint64
	id   uint64
	key  uint64
}

// member is the model of one database server as section 7 of docs/design.md defines it.
// Its term, granted attempt, role and log survive a restart.
type member struct {
	id      failover.MemberID
	up      bool
	term    uint64
	attempt string
	role    failover.Role
	follows failover.MemberID
	log     []logEntry
	// confirmed holds, on a primary, the offset that each follower has confirmed in term.
	confirmed map[failover.MemberID]uint64
}

func (m *member) last() position.Position { return positionOf(m.log) }

func positionOf(log []logEntry) position.Position {
	if len(log) == 0 {
		return position.Position{}
	}
	return position.Position{Term: log[len(log)-1].term, Offset: uint64(len(log))}
}

func (m *member) status() failover.Status {
	s := failover.Status{Role: m.role, Term: m.term, Last: m.last(), Primary: m.follows}
	if m.role == failover.Primary {
		s.Primary = m.id
		s.Confirmed = maps.Clone(m.confirmed)
	}
	return s
}

func (m *member) append(id uint64) position.Position {
	m.log = append(m.log, logEntry{term: m.term, id: id})
	return m.last()
}

func (m *member) adopt(term uint64, attempt string) bool {
	if term < m.term || term == m.term && attempt != m.attempt {
		return false
	}
	if term > m.term {
		m.term, m.attempt = term, attempt
		m.role, m.follows, m.confirmed = failover.Replica, "", nil
	}
	return true
}

// promote makes the member primary if attempt holds its grant in term. ok reports whether
// it is primary then, and now whether this call promoted it.
func (m *member) promote(term uint64, attempt string) (ok, now bool) {
	if term != m.term || attempt != m.attempt || attempt == "" {
		return false, false
	}
	if m.role == failover.Primary {
		return true, false
	}
	m.role, m.follows, m.confirmed = failover.Primary, "", map[failover.MemberID]uint64{}
	return true, true
}

func (m *member) follow(term uint64, primary failover.MemberID) bool {
	if term < m.term || term == m.term && m.role == failover.Primary || primary == m.id {
		return false
	}
	if term > m.term {
		m.term, m.attempt = term, ""
	}
	m.role, m.follows, m.confirmed = failover.Replica, primary, nil
	return true
}

// replicate copies up to n entries to a follower, which first discards the entries that
// differ from the log of its primary.
func (m *member) replicate(f *member, n int) {
	if m.role != failover.Primary || f.term != m.term || f.follows != m.id {
		return
	}
	same := 0
	for same < len(f.log) && same < len(m.log) && f.log[same] == m.log[same] {
		same++
	}
	end := min(same+n, len(m.log))
	// A new slice leaves the snapshots of running reads unchanged.
	f.log = append(append([]logEntry(nil), f.log[:same]...), m.log[same:end]...)
	if end > same || end == len(m.log) {
		m.confirmed[f.id] = uint64(end)
	}
}
