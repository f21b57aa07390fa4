// Package takeover decides the steps of a failover or planned switchover of a
// database group: the holder of a claim replaces the primary without losing an
// acknowledged write. It has no I/O and no clock: Decide maps what the members
// report to the next step. proxy/group uses it; instance/coordinator uses package
// failover, for groups whose members grant terms themselves.
//
// A commit is acknowledged once the primary and at least one replica have it.
// So a candidate has every acknowledged commit if one of these holds:
//
//  1. All replicas were paused (they receive nothing more), the candidate has the
//     longest log among them, and the list of members shows which of them have
//     started again without their logs.
//  2. All replicas but the candidate were paused, the candidate has reached the
//     longest of their logs, and every instance knows the candidate. The old primary
//     keeps serving until the candidate is promoted.
//  3. The old primary stepped down, all members but one answer and are paused,
//     and the candidate has the longest of their logs. The member that does not
//     answer may have been promoted by an earlier holder of the claim; then one
//     of the others has each of its acknowledged commits too.
//
// Under each rule, a log that has not reached RequiredLog is not promoted: members with
// acknowledged commits are gone then, and what is missing may come back with one of them.
//
// A promotion takes effect up to a second after the call for it, and cannot be taken
// back. Until then a paused member may restart, which ends its pause, and a member that
// nobody has paused may join; either may acknowledge commits of a primary that serves.
// So from the call until the promotion has taken effect or failed, this invariant holds:
//
//	Every commit whose acknowledgement is passed on to a caller was in the log of the
//	candidate when it was passed on.
//
// Instances enforce it: they pass on an acknowledgement only if Contains proves it. Under
// rule 2 they know the candidate before the call (Announce); pauses keep it close and are
// restored when they end (RestorePauses). Without an announcement, a replica that each
// holder waits for proves the commit.
package takeover

import (
	"slices"
	"strings"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
)

// Status is what a member reports about itself.
type Status struct {
	Primary bool
	Term    uint64
	// Received is the last position of the member's log, applied or not.
	Received position.Position
	// PausedTerm is the term for which the member stopped receiving log entries;
	// 0 if it receives.
	PausedTerm uint64
}

// Member is a member of the group as seen in the current round.
type Member struct {
	ID            string
	FailureDomain string
	Draining      bool
	// Deregistered means that the member is no longer registered but is not known
	// to have stopped. If it is partitioned off together with the primary, it may
	// still acknowledge the primary's commits.
	Deregistered bool
	// LogLost means that the member restarted without its log and has not been
	// seen to catch up; its log says nothing about earlier commits.
	LogLost bool
	// LogShrunk means that the member's log is shorter than in an earlier answer
	// under the same primary: it may have lost commits that it had confirmed.
	LogShrunk bool
	// StartUnknown means that the process which answered may have started after the list of members was
	// read. The list does not show then whether it has the log of the member that is listed.
	StartUnknown bool
	// Gone means that it did not answer and that no instance finds a quorum with it any more.
	Gone bool
	// Watched means that it answered and that no promotion can have ended a pause of it unseen.
	Watched bool
	// Settled means that acknowledgements may rest on it; see Evidence.Unsettled.
	Settled bool
	// Status is nil if the member did not answer in this round.
	Status *Status
}

// Round is the answers to one round of status queries, with the age of the list of members
// that were asked: a list that is read later may have others.
type Round struct {
	Members []Member
	// ListReadAt and RecordReadAt are the local times at which the list and the record, which
	// names members too, were read.
	ListReadAt, RecordReadAt time.Duration
}

// Input is one round of answers.
type Input struct {
	OldPrimary primacy.Primary
	Members    []Member
	// GroupSize is the number of members of the complete group.
	GroupSize int
	// StepDown makes the old primary step down even though it answers, because
	// its commits are not acknowledged.
	StepDown bool
	// HandOver requests a planned switchover although the old primary serves and is
	// not leaving. It is done only if all members answer and the log of a replica is
	// close to the primary's; otherwise the old primary stays the primary.
	HandOver bool
	// Candidate is the member that the claim announces as the next primary; empty if it
	// announces none. CandidateKnown means that no instance without the announcement
	// passes on acknowledgements of the old primary any more.
	Candidate      string
	CandidateKnown bool
	// Unconfirmed means that the record naming OldPrimary is of an earlier era of the
	// store, so that another member may have been promoted without a trace there.
	Unconfirmed bool
	// MembersOutdated means that the list of members may lack one that instances count for
	// acknowledgements.
	MembersOutdated bool
	// PausesUncertain means that a RESUME that got no answer may end the pause of a member.
	PausesUncertain bool
	// Called is the member that was called for, as long as the call may take effect.
	Called string
	// RequiredLog is the position that the log of a member must have reached to be promoted;
	// see primacy.Record.RequiredLog.
	RequiredLog position.Position
}

// Action is the kind of a step.
type Action uint8

const (
	// Wait asks the members for their status again.
	Wait Action = iota
	// Pause fences the replicas in Targets: they stop receiving log entries, for
	// term Term.
	Pause
	// StepDown makes the primary Targets[0] step down, for term Term.
	StepDown
	// Announce names Targets[0] in the claim as the member to be promoted.
	Announce
	// Promote makes Targets[0] the primary.
	Promote
	// Done means that Targets[0] is the primary of term Term.
	Done
	// Abort lets the members in Targets receive log entries again: the old primary
	// stays the primary.
	Abort
)

// String returns the name of the action as it appears in logs: Pause is "hold" and
// StepDown is "give_up" there.
func (a Action) String() string {
	return [...]string{"wait", "hold", "give_up", "announce", "promote", "done", "abort"}[a]
}

// Step is what the holder of the claim does next.
type Step struct {
	Action  Action
	Targets []string
	Term    uint64
	// Log is the last position of the new primary's log as it was in this round, if the
	// action is Done.
	Log    position.Position
	Reason string
	// LogsTooShort means that the old primary does not serve and no member can be promoted,
	// because none that answers has reached RequiredLog.
	LogsTooShort bool
	// Departed are members that are no longer registered, do not answer, and may have the longest
	// log, if the action waits for them.
	Departed []string
}

// Decide returns the next step.
func Decide(in Input) Step {
	r := newRound(in)
	step := r.decide()
	switch {
	case step.Action != Promote:
	case in.MembersOutdated:
		step = Step{Action: Wait, Reason: "the list of members is too old"}
	case in.PausesUncertain:
		step = Step{Action: Wait, Reason: "a member may receive again because of an earlier command"}
	case !r.hasRequiredLog(step.Targets[0]):
		step = r.waitForLog()
	}
	return r.keepCalled(step)
}

// keepCalled replaces a step that conflicts with a promotion that may take effect: another
// member would be promoted or announced, or the old primary would go on. The called-for
// member has every commit whose acknowledgement is passed on (Contains), so that it can be
// called for again.
func (r *round) keepCalled(step Step) Step {
	in := r.in
	conflicts := step.Action == Abort || (step.Action == Promote || step.Action == Announce) && step.Targets[0] != in.Called
	if in.Called == "" || !conflicts {
		return step
	}
	for _, m := range in.Members {
		if m.ID == in.Called && m.Status != nil && !m.LogLost && r.hasRequiredLog(m.ID) {
			return Step{Action: Promote, Targets: []string{m.ID}, Term: r.nextTerm, Reason: "an earlier call for it may take effect"}
		}
	}
	return Step{Action: Wait, Reason: "a member that was called for may be promoted"}
}

// hasRequiredLog reports whether the log of an answering member has reached RequiredLog.
func (r *round) hasRequiredLog(id string) bool {
	return slices.ContainsFunc(r.in.Members, func(m Member) bool {
		return m.ID == id && m.Status != nil && m.Status.Received.AtLeast(r.in.RequiredLog)
	})
}

// waitForLog returns the step for a round in which the longest log that could be promoted has
// not reached RequiredLog.
func (r *round) waitForLog() Step {
	serves := r.old != nil && r.old.Status != nil && r.old.Status.Primary && !r.old.LogLost
	return Step{Action: Wait, Reason: "no log that could be promoted has all acknowledged commits", LogsTooShort: !serves}
}

func (r *round) decide() Step {
	in := r.in
	if primary := r.promoted(); primary != nil {
		return Step{Action: Done, Targets: []string{primary.ID}, Term: primary.Status.Term, Log: primary.Status.Received, Reason: "a member is the primary of a later term"}
	}
	switch {
	case r.old == nil || r.old.Status == nil || r.old.LogLost:
		return r.decideOldUnavailable()
	case in.StepDown && len(r.answered) == len(r.replicas):
		return r.decideStalled()
	case !r.old.Status.Primary:
		return r.decideSteppedDown()
	case r.laterTermSeen():
		return Step{Action: StepDown, Targets: []string{r.old.ID}, Term: r.nextTerm, Reason: "a member that does not answer is the primary of a later term"}
	case in.StepDown && !r.canStepDown():
		return Step{Action: Wait, Reason: "a change without the primary could not be finished"}
	case in.StepDown:
		return Step{Action: StepDown, Targets: []string{r.old.ID}, Term: r.nextTerm, Reason: "the primary's commits are not acknowledged and a replica does not answer"}
	case in.Unconfirmed && len(r.answered) < len(r.replicas)-1:
		// Each write acknowledged by a primary of a later term is on one of its replicas
		// too, so one of two members knows that term.
		return Step{Action: Wait, Reason: "two members that may follow a later primary do not answer"}
	case !r.old.Draining && !r.old.Deregistered && !r.canHandOver():
		return Step{Action: Abort, Targets: r.pausedIDs(), Reason: "the primary serves again"}
	default:
		return r.decidePlanned()
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
	r := &round{in: in, nextTerm: in.OldPrimary.Term + 1}
	for i := range in.Members {
		m := &in.Members[i]
		if m.Status != nil {
			r.nextTerm = max(r.nextTerm, m.Status.Term+1)
		}
		if m.ID == in.OldPrimary.Member {
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

// canHandOver reports whether a primary that serves and is not leaving can be
// replaced without a loss: every replica answers, and the log of one is close to
// that of the primary.
func (r *round) canHandOver() bool {
	if !r.in.HandOver || len(r.in.Members) < r.in.GroupSize || len(r.answered) < len(r.replicas) {
		return false
	}
	primaryLog := r.old.Status.Received
	return slices.ContainsFunc(r.answered, func(m *Member) bool {
		return m.Status.PausedTerm == 0 && !m.Draining && !m.LogLost && isClose(m.Status.Received, primaryLog)
	})
}

// promoted returns a member that is the primary of a later term than the old
// primary's; nil if there is none.
func (r *round) promoted() *Member {
	for i := range r.in.Members {
		m := &r.in.Members[i]
		if m.Status != nil && m.Status.Primary && m.Status.Term > r.in.OldPrimary.Term {
			return m
		}
	}
	return nil
}

// decideOldUnavailable applies rule 1 to an old primary that does not answer or
// has lost its log.
func (r *round) decideOldUnavailable() Step {
	if primary := r.sameTermPrimary(); primary != nil {
		return Step{Action: StepDown, Targets: []string{primary.ID}, Term: r.nextTerm, Reason: "a member with another ID is the primary of the old primary's term"}
	}
	withLog := 0
	for _, m := range r.answered {
		if !m.LogLost && !m.LogShrunk && !m.StartUnknown {
			withLog++
		}
	}
	if withLog < r.in.GroupSize-1 || withLog < len(r.replicas) {
		return r.waitForReplicas()
	}
	candidate := r.longestLog(r.answered)
	if !r.hasRequiredLog(candidate.ID) {
		return r.waitForLog() // without a pause, they may still receive what they lack
	}
	if ids := r.unpausedIDs(nil); len(ids) > 0 {
		return Step{Action: Pause, Targets: ids, Term: r.nextTerm, Reason: "the primary does not serve"}
	}
	return Step{Action: Promote, Targets: []string{candidate.ID}, Term: r.nextTerm, Reason: "longest log of all replicas"}
}

// waitForReplicas returns the step for a round in which a replica does not answer, or has lost its
// log, while the primary does not serve.
func (r *round) waitForReplicas() Step {
	step := Step{Action: Wait, Reason: "a replica that may have the longest log does not answer"}
	for _, m := range r.replicas {
		switch {
		case m.Status == nil && m.Deregistered:
			step.Departed = append(step.Departed, m.ID)
		case m.Status == nil || r.hasRequiredLog(m.ID):
			return Step{Action: Wait, Reason: step.Reason, Departed: step.Departed}
		}
	}
	step.LogsTooShort = len(step.Departed) > 0
	return step
}

// sameTermPrimary returns a member that is the primary in the old primary's term:
// one that was started in its place, with its log. It cannot be paused until it
// steps down.
func (r *round) sameTermPrimary() *Member {
	for _, m := range r.answered {
		if m.Status.Primary {
			return m
		}
	}
	return nil
}

// decideStalled applies rule 1 to a primary that answers but whose commits reach
// no replica. The additional entries of its own log are not acknowledged, so it is
// not a candidate.
func (r *round) decideStalled() Step {
	step := r.decideOldUnavailable()
	if step.Action == Promote && r.old.Status.Primary {
		return Step{Action: StepDown, Targets: []string{r.old.ID}, Term: r.nextTerm, Reason: "the primary's commits are not acknowledged"}
	}
	return step
}

// canStepDown reports whether rule 3 can be applied once a primary that serves has stepped
// down: at most one member does not answer, and a replica that receives log entries and stays
// is close to the primary's log. A primary whose commits reach no replica and that stays can
// be promoted again instead.
func (r *round) canStepDown() bool {
	if len(r.answered) < len(r.replicas)-1 {
		return false
	}
	stays := func(m *Member) bool { return !m.Draining && !m.LogLost }
	return r.in.StepDown && stays(r.old) || slices.ContainsFunc(r.answered, func(m *Member) bool {
		return stays(m) && m.Status.PausedTerm == 0 && isClose(m.Status.Received, r.old.Status.Received)
	})
}

// laterTermSeen reports whether a replica is in a later term than the old
// primary's: another member was promoted and does not answer.
func (r *round) laterTermSeen() bool {
	return slices.ContainsFunc(r.answered, func(m *Member) bool { return m.Status.Term > r.in.OldPrimary.Term })
}

// decideSteppedDown applies rule 3 to an old primary that is a replica now.
func (r *round) decideSteppedDown() Step {
	if len(r.answered) < len(r.replicas)-1 {
		return Step{Action: Wait, Reason: "two members do not answer"}
	}
	longest := r.old.Status.Received
	for _, m := range r.answered {
		longest = position.Max(longest, m.Status.Received)
	}
	var complete []*Member
	for _, m := range r.answered {
		if m.Status.Received.AtLeast(longest) {
			complete = append(complete, m)
		}
	}
	if len(complete) == 0 && r.old.Status.Received.AtLeast(longest) {
		complete = append(complete, r.old) // although it may leave: nobody receives its last commits otherwise
	}
	if len(complete) == 0 {
		return Step{Action: Wait, Reason: "no replica has the log of the former primary"}
	}
	ids := r.unpausedIDs(nil)
	if r.old.Status.PausedTerm == 0 {
		ids = append(ids, r.old.ID)
	}
	if len(ids) > 0 {
		return Step{Action: Pause, Targets: ids, Term: r.nextTerm, Reason: "the former primary is a replica"}
	}
	candidate := r.longestLog(complete)
	return Step{Action: Promote, Targets: []string{candidate.ID}, Term: r.nextTerm, Reason: "has the log of the former primary"}
}

// decidePlanned applies rule 2 to a primary that serves and is to be replaced, or
// rule 3 if a replica does not answer.
func (r *round) decidePlanned() Step {
	var eligible []*Member
	for _, m := range r.answered {
		if !m.Draining && !m.LogLost && m.Status.PausedTerm == 0 {
			eligible = append(eligible, m)
		}
	}
	if len(eligible) == 0 {
		if paused := r.pausedIDs(); len(paused) > 0 {
			return Step{Action: Abort, Targets: paused, Reason: "no replica receives log entries"}
		}
		return Step{Action: Wait, Reason: "no replica can take over"}
	}
	switch {
	case len(r.answered) == len(r.replicas):
	case r.canStepDown():
		return Step{Action: StepDown, Targets: []string{r.old.ID}, Term: r.nextTerm, Reason: "a replica does not answer"}
	default:
		return Step{Action: Wait, Reason: "a change without the primary could not be finished"}
	}
	candidate := r.plannedCandidate(settledFirst(eligible))
	switch {
	case candidate.ID != r.in.Candidate:
		return Step{Action: Announce, Targets: []string{candidate.ID}, Term: r.nextTerm, Reason: "planned switchover from a primary that serves"}
	case !r.in.CandidateKnown:
		return Step{Action: Wait, Reason: "an instance may not know the candidate yet"}
	}
	if ids := r.unpausedIDs(candidate); len(ids) > 0 {
		return Step{Action: Pause, Targets: ids, Term: r.nextTerm, Reason: "planned switchover from a primary that serves"}
	}
	for _, m := range r.answered {
		if m != candidate && !candidate.Status.Received.AtLeast(m.Status.Received) {
			return Step{Action: Wait, Reason: "the candidate has not reached the logs of the paused replicas"}
		}
	}
	return Step{Action: Promote, Targets: []string{candidate.ID}, Term: r.nextTerm, Reason: "every commit of the primary is acknowledged through the candidate"}
}

// settledFirst returns the settled ones of the eligible members whose logs are close to the
// longest; all of them if there is none. Commits wait for the candidate until it is settled.
func settledFirst(eligible []*Member) []*Member {
	var longest position.Position
	for _, m := range eligible {
		longest = position.Max(longest, m.Status.Received)
	}
	var out []*Member
	for _, m := range eligible {
		if m.Settled && isClose(m.Status.Received, longest) {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return eligible
	}
	return out
}

// plannedCandidate returns the announced candidate if it is eligible and its log is close
// to the longest, because another one has to be announced first. Otherwise it returns the
// eligible member with the longest log.
func (r *round) plannedCandidate(eligible []*Member) *Member {
	longest := r.longestLog(eligible).Status.Received
	for _, m := range eligible {
		if m.ID == r.in.Candidate && isClose(m.Status.Received, longest) {
			return m
		}
	}
	return r.longestLog(r.outsideLeavingDomains(eligible))
}

// isClose reports whether a log that ends at p needs only a short time to reach longest.
func isClose(p, longest position.Position) bool {
	return p.Term == longest.Term && p.Offset+maxCandidateLag >= longest.Offset
}

// RestorePauses returns the step for a round during which a promotion of candidate may
// take effect: it pauses the replicas that receive log entries again, because they have
// restarted, or still, because they have joined. It waits if there are none, or if a
// member is in a later term.
func RestorePauses(in Input, candidate string) Step {
	r := newRound(in)
	if r.nextTerm > in.OldPrimary.Term+1 {
		return Step{Action: Wait, Reason: "a member is in a later term"}
	}
	var ids []string
	for _, m := range r.answered {
		if m.ID != candidate && m.Status.PausedTerm == 0 && !m.Status.Primary {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return Step{Action: Wait, Reason: "the promotion has not taken effect yet"}
	}
	return Step{Action: Pause, Targets: ids, Term: r.nextTerm, Reason: "the replica receives log entries during the promotion"}
}

// outsideLeavingDomains returns those of the eligible members whose failure domain
// has no leaving member and whose logs are close to the longest; all of them if
// there is none. A database that is being replaced and its successor share a
// failure domain. If the successor were the primary, a partition of that domain
// would cut off the primary and a member that may have its latest commits, and no
// member could be promoted until the partition ends.
func (r *round) outsideLeavingDomains(eligible []*Member) []*Member {
	longest := r.longestLog(eligible).Status.Received
	leaving := make(map[string]bool)
	for _, m := range r.in.Members {
		if m.Draining || m.Deregistered {
			leaving[m.FailureDomain] = true
		}
	}
	var out []*Member
	for _, m := range eligible {
		if !leaving[m.FailureDomain] && isClose(m.Status.Received, longest) {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return eligible
	}
	return out
}

// maxCandidateLag is the number of log entries that a candidate may lack at the
// beginning of a planned switchover; it receives them before it is promoted. It is
// about one to three seconds of entries: the services in the site files commit 30 to 80 a second.
const maxCandidateLag = 100

// unpausedIDs returns the IDs of the answering replicas that still receive log
// entries, without that of except.
func (r *round) unpausedIDs(except *Member) []string {
	var ids []string
	for _, m := range r.answered {
		if m != except && m.Status.PausedTerm == 0 {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (r *round) pausedIDs() []string {
	var ids []string
	for _, m := range r.answered {
		if m.Status.PausedTerm > 0 {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// longestLog returns the member with the longest log. Among equals it prefers a
// member that is not draining, then the smallest ID.
func (r *round) longestLog(members []*Member) *Member {
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
