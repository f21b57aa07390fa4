package takeover

import (
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
)

// Containment is whether a commit of a primary that is being replaced is in the log of
// the next primary.
type Containment uint8

const (
	// Unproven means that a later answer may still prove it.
	Unproven Containment = iota
	// Contained means that each member that may be promoted has the commit.
	Contained
	// Superseded means that a member is in a later term, so that no later answer can
	// prove it.
	Superseded
)

// String returns the name of the result as it appears in logs and metrics.
func (c Containment) String() string { return [...]string{"unproven", "contained", "superseded"}[c] }

// Contains reports whether the commit at p, which the old primary of the claim has
// acknowledged, is in the log of whichever member is promoted under the claim. replicas
// are the members without the old primary, asked after the acknowledgement arrived.
//
// With an announced candidate, the candidate's own log is the evidence. Without one, any
// replica may be promoted: all of them need the commit, unless none is paused, because
// nothing is promoted before all replicas were paused.
func Contains(claim primacy.Claim, p position.Position, replicas []Member) Containment {
	all, anyPaused, allAnswered, found := true, false, true, false
	for _, m := range replicas {
		if claim.Candidate != "" && m.ID != claim.Candidate {
			continue
		}
		found = true
		if m.Status == nil || m.LogLost {
			all, allAnswered = false, false
			continue
		}
		has := m.Status.Received.Term == p.Term && m.Status.Received.AtLeast(p)
		if m.Status.Term > p.Term && !has {
			return Superseded
		}
		all = all && has
		anyPaused = anyPaused || m.Status.PausedTerm != 0
	}
	switch {
	case found && all:
		return Contained
	case claim.Candidate == "" && found && allAnswered && !anyPaused:
		return Contained
	default:
		return Unproven
	}
}
