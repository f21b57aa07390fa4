// Package takeover decides the steps by which the holder of a claim replaces
// the primary of a database group without losing an acknowledged write. It has
// no I/O and no clock: Decide maps what the members report to the next step.
//
// A commit is acknowledged once the primary and at least one replica have it.
// So a candidate has every acknowledged commit if one of these holds:
//
//  1. All replicas were held (they receive nothing more), and the candidate has
//     the longest log among them.
//  2. All replicas but the candidate were held, and the candidate has reached
//     the longest of their logs: every later commit is acknowledged through the
//     candidate. The old primary keeps serving until the candidate leads.
//  3. The old primary gave up its lead, all members but one answer and are held,
//     and the candidate has the longest of their logs. The silent one may have
//     been promoted by an earlier holder: then one of the others has each of its
//     acknowledged commits too.
package takeover

import (
	"slices"
	"strings"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/position"
)

// Status is what a member reports of itself.
type Status struct {
	Primary bool
	Term    uint64
	// Received is the last position of the member's log, applied or not.
	Received position.Position
	// PausedTerm is the term for which the member stopped receiving; 0 if it receives.
	PausedTerm uint64
}

// Member is a member of the group as seen in the present round.
type Member struct {
	ID            string
	FailureDomain string
	Draining      bool
	// Deregistered means that the member has left the register but is not known to
	// have ended. Cut off together with the primary, it may still acknowledge
	// the primary's commits.
	Deregistered bool
	// LogLost means that the member restarted without its log and has not been
	// seen to catch up; its log says nothing about earlier commits.
	LogLost bool
	// LogShrunk means that its log ended later when it was asked before under the
	// same lead: it may have lost commits that it had confirmed.
	LogShrunk bool
	// Status is nil if the member did not answer in this round.
	Status *Status
}

// Input is one round of answers.
type Input struct {
	OldLeader leadership.Leader
	Members   []Member
	// GroupSize is the number of members that the group has when it is whole.
	GroupSize int
	// StepDown asks the old primary to give up its lead although it answers,
	// because its commits are not acknowledged.
	StepDown bool
	// HandOver replaces an old primary that serves and stays, if all members answer
	// and a replica has nearly its log; else the old primary is to keep its lead.
	HandOver bool
}

// Action is the kind of a step.
type Action uint8

const (
	// Wait asks the members again.
	Wait Action = iota
	// Pause stops the members in Targets from receiving, at term Term.
	Pause
	// StepDown asks the old primary to give up its lead, at term Term.
	StepDown
	// Promote makes Targets[0] the primary.
	Promote
	// Done means that Targets[0] leads in term Term.
	Done
	// Abort lets the members in Targets receive again: the old primary serves.
	Abort
)

// String returns the name of the action as it appears in logs.
func (a Action) String() string {
	return [...]string{"wait", "hold", "give_up", "promote", "done", "abort"}[a]
}

// Step is what the holder does next.
type Step struct {
	Action  Action
	Targets []string
	Term    uint64
	Reason  string
}

// Decide returns the next step.
func Decide(in Input) Step {
	r := newRound(in)
	if lead := r.promoted(); lead != nil {
		return Step{Action: Done, Targets: []string{lead.ID}, Term: lead.Status.Term, Reason: "a member leads a later term"}
	}
	switch {
	case r.old == nil || r.old.Status == nil || r.old.LogLost:
		return r.withoutOld()
	case in.StepDown && len(r.answered) == len(r.replicas):
		return r.stuck()
	case !r.old.Status.Primary:
		return r.afterGivingUp()
	case r.deposed():
		return Step{Action: StepDown, Targets: []string{r.old.ID}, Term: r.nextTerm, Reason: "a member that does not answer leads a later term"}
	case in.StepDown:
		return Step{Action: StepDown, Targets: []string{r.old.ID}, Term: r.nextTerm, Reason: "the primary's commits are not acknowledged and a replica does not answer"}
	case !r.old.Draining && !r.old.Deregistered && !r.mayHandOver():
		return Step{Action: Abort, Targets: r.heldIDs(), Reason: "the primary serves again"}
	default:
		return r.planned()
	}
}

type round struct {
	in       Input
	old      *Member
	replicas []*Member // all members but the old primary
	answered []*Member // replicas that answered
	nextTerm uint64    // greater than every term seen
}

func newRound(in Input) *round {
	r := &round{in: in, nextTerm: in.OldLeader.Term + 1}
	for i := range in.Members {
		m := &in.Members[i]
		if m.Status != nil {
			r.nextTerm = max(r.nextTerm, m.Status.Term+1)
		}
		if m.ID == in.OldLeader.Member {
			r.old = m
			continue
		}
		r.replicas = append(r.replicas, m)
		if m.Status != nil {
			r.answered = append(r.answered, m)
		}
	}
	return r
}

// mayHandOver reports whether a primary that serves and stays can be replaced
// without giving anything up: every replica answers, and one is close behind it.
func (r *round) mayHandOver() bool {
	if !r.in.HandOver || len(r.in.Members) < r.in.GroupSize || len(r.answered) < len(r.replicas) {
		return false
	}
	log := r.old.Status.Received
	return slices.ContainsFunc(r.answered, func(m *Member) bool {
		p := m.Status.Received
		return m.Status.PausedTerm == 0 && !m.Draining && !m.LogLost && p.Term == log.Term && p.Offset+closeLog >= log.Offset
	})
}

// promoted returns a member that leads a later term than the old primary's.
func (r *round) promoted() *Member {
	for i := range r.in.Members {
		m := &r.in.Members[i]
		if m.Status != nil && m.Status.Primary && m.Status.Term > r.in.OldLeader.Term {
			return m
		}
	}
	return nil
}

// withoutOld handles an old primary that does not answer: rule 1.
func (r *round) withoutOld() Step {
	if s := r.successor(); s != nil {
		return Step{Action: StepDown, Targets: []string{s.ID}, Term: r.nextTerm, Reason: "a member leads the old primary's term under another name"}
	}
	known := 0
	for _, m := range r.answered {
		if !m.LogLost {
			known++
		}
	}
	if known < r.in.GroupSize-1 || known < len(r.replicas) {
		return Step{Action: Wait, Reason: "a replica that may have the longest log does not answer"}
	}
	if ids := r.unheld(nil); len(ids) > 0 {
		return Step{Action: Pause, Targets: ids, Term: r.nextTerm, Reason: "the primary does not serve"}
	}
	best := r.best(r.answered)
	return Step{Action: Promote, Targets: []string{best.ID}, Term: r.nextTerm, Reason: "longest log of all replicas"}
}

// successor returns a member that leads the old primary's term: one that was
// started in its place, with its log. It cannot be held while it leads.
func (r *round) successor() *Member {
	for _, m := range r.answered {
		if m.Status.Primary {
			return m
		}
	}
	return nil
}

// stuck handles a primary that answers but whose commits reach no replica: rule
// 1. Its own log is longer by what nobody acknowledged, so it is no candidate.
func (r *round) stuck() Step {
	step := r.withoutOld()
	if step.Action == Promote && r.old.Status.Primary {
		return Step{Action: StepDown, Targets: []string{r.old.ID}, Term: r.nextTerm, Reason: "the primary's commits are not acknowledged"}
	}
	return step
}

// deposed reports whether a replica is in a later term than the old primary's:
// another member was promoted, and does not answer.
func (r *round) deposed() bool {
	return slices.ContainsFunc(r.answered, func(m *Member) bool { return m.Status.Term > r.in.OldLeader.Term })
}

// afterGivingUp handles an old primary that is a replica now: rule 3.
func (r *round) afterGivingUp() Step {
	if len(r.answered) < len(r.replicas)-1 {
		return Step{Action: Wait, Reason: "two members do not answer"}
	}
	log := r.old.Status.Received
	for _, m := range r.answered {
		log = position.Max(log, m.Status.Received)
	}
	var complete []*Member
	for _, m := range r.answered {
		if m.Status.Received.AtLeast(log) {
			complete = append(complete, m)
		}
	}
	if len(complete) == 0 && r.old.Status.Received.AtLeast(log) && !r.old.Draining {
		complete = append(complete, r.old)
	}
	if len(complete) == 0 {
		return Step{Action: Wait, Reason: "no replica has the log of the former primary"}
	}
	ids := r.unheld(nil)
	if r.old.Status.PausedTerm == 0 {
		ids = append(ids, r.old.ID)
	}
	if len(ids) > 0 {
		return Step{Action: Pause, Targets: ids, Term: r.nextTerm, Reason: "the former primary is a replica"}
	}
	best := r.best(complete)
	return Step{Action: Promote, Targets: []string{best.ID}, Term: r.nextTerm, Reason: "has the log of the former primary"}
}

// planned handles a primary that serves and is to leave: rule 2, or rule 3 if a
// replica does not answer.
func (r *round) planned() Step {
	var fit []*Member
	for _, m := range r.answered {
		if !m.Draining && !m.LogLost && m.Status.PausedTerm == 0 {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		if held := r.heldIDs(); len(held) > 0 {
			return Step{Action: Abort, Targets: held, Reason: "no replica receives"}
		}
		return Step{Action: Wait, Reason: "no replica can take over"}
	}
	candidate := r.best(r.outsideOfLeaving(fit))
	if len(r.answered) < len(r.replicas) {
		return Step{Action: StepDown, Targets: []string{r.old.ID}, Term: r.nextTerm, Reason: "a replica does not answer"}
	}
	if ids := r.unheld(candidate); len(ids) > 0 {
		return Step{Action: Pause, Targets: ids, Term: r.nextTerm, Reason: "the primary hands its lead over"}
	}
	for _, m := range r.answered {
		if m != candidate && !candidate.Status.Received.AtLeast(m.Status.Received) {
			return Step{Action: Wait, Reason: "the candidate has not reached the held replicas"}
		}
	}
	return Step{Action: Promote, Targets: []string{candidate.ID}, Term: r.nextTerm, Reason: "acknowledges every commit of the primary until it leads"}
}

// outsideOfLeaving returns the candidates whose failure domain has no member that is
// leaving, if their logs are close to the longest; else all. A database that is
// replaced and its successor share a domain. If the successor led, a cut of that
// domain would take the primary and a member that may have its latest commits, and
// nobody could be promoted until it ends.
func (r *round) outsideOfLeaving(fit []*Member) []*Member {
	longest := r.best(fit).Status.Received
	leaving := make(map[string]bool)
	for _, m := range r.in.Members {
		if m.Draining || m.Deregistered {
			leaving[m.FailureDomain] = true
		}
	}
	var out []*Member
	for _, m := range fit {
		p := m.Status.Received
		if !leaving[m.FailureDomain] && p.Term == longest.Term && p.Offset+closeLog >= longest.Offset {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return fit
	}
	return out
}

// closeLog is the number of entries that a candidate may lack at the beginning of
// a planned change; it receives them before it is promoted. A service of the site
// files commits 30 to 80 a second.
const closeLog = 100

// unheld returns the answering replicas that still receive, except one.
func (r *round) unheld(except *Member) []string {
	var ids []string
	for _, m := range r.answered {
		if m != except && m.Status.PausedTerm == 0 {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (r *round) heldIDs() []string {
	var ids []string
	for _, m := range r.answered {
		if m.Status.PausedTerm > 0 {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// best returns the member with the longest log; among equals one that stays,
// then the smallest id.
func (r *round) best(members []*Member) *Member {
	return slices.MinFunc(members, func(a, b *Member) int {
		if c := b.Status.Received.Compare(a.Status.Received); c != 0 {
			return c
		}
		if a.Draining != b.Draining {
			if a.Draining {
				return 1
			}
			return -1
		}
		return strings.Compare(a.ID, b.ID)
	})
}
