package takeover

import "github.com/papayarail/papayarail/core/position"

// ReadPosition returns a position that covers every commit acknowledged before the
// members were asked, without the word of a primary. A commit is acknowledged
// once the primary and a replica have it. So if all members but one answer, one
// that answers has it, whichever of them lead or led. A read on a member with
// this position sees all of them.
//
// ok is false if more than one member is missing, if one may have lost its log,
// or if fewer members are known than the group has when it is whole.
func ReadPosition(members []Member, size int) (p position.Position, ok bool) {
	answered := 0
	for _, m := range members {
		switch {
		case m.LogLost || m.Status != nil && m.LogShrunk:
			return position.Position{}, false
		case m.Status != nil:
			answered++
			p = position.Max(p, m.Status.Received)
		}
	}
	return p, len(members) >= size && answered >= len(members)-1
}
