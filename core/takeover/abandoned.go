package takeover

import "github.com/papayarail/papayarail/core/primacy"

// Abandoned reports whether no instance can find a quorum for the primary old any more: it
// does not lead any more, or each other member is in a later term. A replica that is cut off
// from a new primary may follow the old one again, because a promotion ends its pause. Members
// do not return to an earlier term.
func Abandoned(old primacy.Primary, members []Member) bool {
	left := true
	for _, m := range members {
		switch {
		case m.ID != old.Member:
			left = left && (m.Gone || m.Status != nil && m.Status.Term > old.Term)
		case m.Gone || m.Status != nil && (!m.Status.Primary || m.Status.Term > old.Term):
			return true
		}
	}
	return left
}
