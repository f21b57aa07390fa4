package takeover

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
)

// Containment is whether a commit of a primary is in the log of whichever member is
// promoted next.
type Containment uint8

const (
	// Unproven means that a later answer may still prove it.
	Unproven Containment = iota
	// Contained means that each member that may be promoted has the commit.
	Contained
	// Superseded means that a member is in a later term, so that no later answer can
	// prove it.
	Superseded
	// Unestablished means that the instance does not know of the term of the commit, so that
	// others may read from another primary until the record names this one.
	Unestablished
)

// String returns the name of the result as it appears in logs and metrics.
func (c Containment) String() string {
	return [...]string{"unproven", "contained", "superseded", "unestablished"}[c]
}

// Evidence is what the answers of one replica prove of its log. The zero value proves
// nothing.
//
// A pause ends unseen if the replica restarts. So an answer proves that no pause by the
// holder of a claim precedes it if it shows that the replica is not paused, and if its
// process has run since before a reading of the record without that claim. Whoever holds
// the claim then looks at the replica's log after this answer. A RESUME ends a pause as
// well; nobody is promoted while one may arrive late (Input.PausesUncertain).
type Evidence struct {
	Member string
	// Counted means that each holder of a later claim knows the replica. It waits for the
	// replica's answer, or has that of the old primary, which has the commit as well.
	Counted bool
	// MayBeLeftOut means that another instance may compute bounds and changes of primary
	// without the replica, or without its last entries: the record names others only, it may have
	// departed, or it may have been paused before and have restarted since.
	MayBeLeftOut bool
	// Unsettled means that an instance that reads without a primary may not know the replica.
	Unsettled bool
	// Gone means that the replica's process does not run.
	Gone bool

	term     uint64
	received position.Position // last position of its log
	// unpaused is the last position that an answer has shown without a pause, of a process
	// that has run since runsSince.
	unpaused  position.Position
	runsSince time.Duration
	// anchored is the last position that every holder of a claim finds in its log.
	anchored position.Position
}

// Observe handles an answer of a process that has run, of a member that has been
// registered, since the local time since.
func (e *Evidence) Observe(s Status, since time.Duration) {
	e.term, e.received, e.Gone = s.Term, s.Received, false
	// A promotion ends the pauses of the replicas that follow it, before they drop the entries
	// that the new primary lacks.
	if s.PausedTerm == 0 && !s.Primary && s.Term == s.Received.Term {
		e.unpaused, e.runsSince = s.Received, since
	}
}

// ObserveNoClaim handles a reading of the record that was sent at the local time sentAt and
// showed no claim.
func (e *Evidence) ObserveNoClaim(sentAt time.Duration) {
	if !e.unpaused.IsZero() && e.runsSince <= sentAt {
		e.anchored = position.Max(e.anchored, e.unpaused)
	}
}

// String formats the evidence for the log.
func (e Evidence) String() string {
	text := fmt.Sprintf("%s %s anchored %s", e.Member, e.received, e.anchored)
	if e.Counted {
		text += " counted"
	}
	if e.Gone {
		text += " gone"
	}
	return text
}

// Log returns the last position of the member's log in its last answer; zero if there was none.
func (e Evidence) Log() position.Position { return e.received }

// Holds reports whether the replica has the commit at p.
func (e Evidence) Holds(p position.Position) bool { return holds(e.received, p) }

// Anchored reports whether every holder of a later claim finds the commit at p in the replica's log.
func (e Evidence) Anchored(p position.Position) bool { return holds(e.anchored, p) }

// holds reports whether a log that ends at last has the commit at p. A log that ends in
// a later term may have begun that term without the commit.
func holds(last, p position.Position) bool { return last.Term == p.Term && last.AtLeast(p) }

// MayLack reports whether the log of a member that may be promoted at any time is not known
// to have the commit at p.
func MayLack(member string, p position.Position, replicas []Evidence) bool {
	return slices.ContainsFunc(replicas, func(e Evidence) bool { return e.Member == member && !e.Gone && !e.Holds(p) })
}

// Held reports whether a member is known to have the commit at p, whether or not it runs.
func Held(member string, p position.Position, replicas []Evidence) bool {
	return slices.ContainsFunc(replicas, func(e Evidence) bool { return e.Member == member && e.Holds(p) })
}

// Contains reports whether the commit at p, which the primary has acknowledged, is in the
// log of whichever member is promoted next. claim is the claim against the primary, nil if
// this instance knows of none, and replicas is what it knows of all other members.
//
// The database acknowledges a commit through any replica: one that joins behind a
// partition, and that no holder of a claim knows, or one that is leaving with its log. So
// its word is no evidence. One of these is:
//
//   - A counted replica has the commit, any holder looks at its log after that, and no other one has
//     moved to a later term without it. Once a member is announced or called for, the replica may
//     have been paused before its answer: a promotion ends pauses.
//   - All replicas whose processes may run have it, and no instance has left out one of them. So has the member that
//     the claim names, which may come back with its log and be promoted.
//   - The claim announces a candidate or names a called-for member, which has it and is known to all readers.
func Contains(claim *primacy.Claim, p position.Position, replicas []Evidence) Containment {
	c, _ := Prove(claim, p, replicas)
	return c
}

// ProofKind is which evidence proves that a commit is contained.
type ProofKind uint8

const (
	// NoProof means that there is none, or that none is needed.
	NoProof ProofKind = iota
	// ByCounted means that a counted replica has the commit.
	ByCounted
	// ByAll means that all replicas whose processes may run have it.
	ByAll
	// ByAnnounced means that the member has it that the claim announces or names as called.
	ByAnnounced
)

// String returns the name of the kind as it appears in logs and metrics.
func (k ProofKind) String() string { return [...]string{"none", "counted", "all", "announced"}[k] }

// Proof is what proves that a commit is contained.
type Proof struct {
	Kind   ProofKind
	Member string // that has the commit; empty for ByAll
}

// Prove is Contains that also returns what proves a contained commit.
func Prove(claim *primacy.Claim, p position.Position, replicas []Evidence) (Containment, Proof) {
	// A holder of a later claim prefers the log of a member that has moved to a later term.
	later := slices.ContainsFunc(replicas, func(e Evidence) bool { return !e.Gone && e.term > p.Term && !e.Holds(p) })
	successor := ""
	if claim != nil {
		successor = claim.Successor()
	}
	known, all := false, successor == "" || Held(successor, p, replicas)
	for _, e := range replicas {
		if e.Counted && !later && e.Anchored(p) && successor == "" {
			return Contained, Proof{ByCounted, e.Member}
		}
		if e.Member == successor {
			switch {
			case e.Holds(p) && !e.Unsettled:
				return Contained, Proof{ByAnnounced, e.Member}
			case e.term > p.Term && !e.Holds(p):
				return Superseded, Proof{}
			}
		}
		if e.Gone {
			continue
		}
		known = known || !e.MayBeLeftOut
		all = all && e.Holds(p)
	}
	switch {
	case known && all:
		return Contained, Proof{Kind: ByAll}
	case later && successor == "":
		return Superseded, Proof{}
	default:
		return Unproven, Proof{}
	}
}
