package takeover

import (
	"slices"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
)

// Replicated returns the highest position of the primary's replicas, and whether it is behind the
// primary's; that is false if the primary does not answer. Members in a later term do not return to
// that of the primary: however long their logs are, they receive none of its commits.
func Replicated(primary primacy.Primary, members []Member) (highest position.Position, behind bool) {
	var own position.Position
	for _, m := range members {
		switch {
		case m.Status == nil:
		case m.ID == primary.Member:
			own = m.Status.Received
		case m.Status.Term <= primary.Term:
			highest = position.Max(highest, m.Status.Received)
		}
	}
	return highest, !own.IsZero() && !highest.AtLeast(own)
}

// Outrun reports whether a member is in a later term than the primary. It follows the primary no
// more, and commits that it lacks are not acknowledged any longer, although others may receive them.
func Outrun(primary primacy.Primary, members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		return m.ID != primary.Member && m.Status != nil && m.Status.Term > primary.Term
	})
}
