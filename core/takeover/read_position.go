package takeover

import (
	"slices"

	"github.com/papayarail/papayarail/core/position"
)

// ReadPosition returns a position that covers every commit acknowledged before the
// members were asked, whether or not a primary answers. A read on a member that
// has reached it sees all of these commits. A commit is acknowledged once the
// primary and a replica have it; so if all members but one answer, at least one
// of them has it, whichever members are or were the primary.
//
// A member whose process may have started since the list of members was read counts as one
// that did not answer.
//
// size is the number of members of the complete group. ok is false if more than
// one member did not answer, if one may have lost its log, or if fewer than size
// members are known.
func ReadPosition(members []Member, size int) (p position.Position, ok bool) {
	answered := 0
	for _, m := range members {
		switch {
		case m.LogLost || m.Status != nil && m.LogShrunk:
			return position.Position{}, false
		case m.Status != nil && !m.StartUnknown:
			answered++
			p = position.Max(p, m.Status.Received)
		}
	}
	return p, len(members) >= size && answered >= len(members)-1
}

// Lists reports whether members with all of these IDs are in the list; empty IDs are ignored. A
// bound of acknowledged commits has to consider the primary and those that may follow it.
func Lists(members []Member, ids ...string) bool {
	for _, id := range ids {
		if id != "" && !slices.ContainsFunc(members, func(m Member) bool { return m.ID == id }) {
			return false
		}
	}
	return true
}
