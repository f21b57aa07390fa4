package takeover_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
)

var oldPrimary = primacy.Primary{Member: "a", Term: 3}

// replica returns the status of a replica. pausedTerm is the term for which it stopped
// receiving log entries, 0 if it receives.
func replica(offset, pausedTerm uint64) *takeover.Status {
	return &takeover.Status{Term: 3, Received: position.Position{Term: 3, Offset: offset}, PausedTerm: pausedTerm}
}

func primary(term, offset uint64) *takeover.Status {
	return &takeover.Status{Primary: true, Term: term, Received: position.Position{Term: term, Offset: offset}}
}

// decideAnnounced returns the first step that follows the announcement of a candidate, or
// the first step if none is announced. Until all instances know the candidate, the
// members must be left as they are.
func decideAnnounced(t *testing.T, in takeover.Input) takeover.Step {
	t.Helper()
	step := takeover.Decide(in)
	if step.Action != takeover.Announce {
		return step
	}
	in.Candidate = step.Targets[0]
	assert.Equal(t, takeover.Decide(in).Action, takeover.Wait, "instances may not know the candidate")
	in.CandidateKnown = true
	return takeover.Decide(in)
}

// Guards against a promotion of a member that the instances do not know as the candidate,
// and against a new announcement, which takes a second, each time that another replica is
// a few entries ahead.
func TestCandidateIsAnnounced(t *testing.T) {
	type members = []takeover.Member
	for _, test := range []struct {
		name   string
		in     members
		want   takeover.Action
		target string
	}{
		{"the announced replica is a little behind", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(8, 0)}}, takeover.Pause, "b"},
		{"another replica was announced and does not receive", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 4)}}, takeover.Announce, "b"},
		{"another replica was announced and is far behind", members{{ID: "a", Draining: true, Status: primary(3, 900)}, {ID: "b", Status: replica(900, 0)}, {ID: "c", Status: replica(9, 0)}}, takeover.Announce, "b"},
		{"another replica was announced and leaves", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Draining: true, Status: replica(9, 0)}}, takeover.Announce, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := takeover.Decide(takeover.Input{OldPrimary: oldPrimary, Members: test.in, GroupSize: 3, Candidate: "c", CandidateKnown: true})
			assert.Equal(t, step.Action, test.want, step.Reason)
			assert.Equal(t, step.Targets[0], test.target)
		})
	}
}

// Guards against a pause that is restored on a member for which it would be harmful: the
// candidate, a primary, and the replicas of a primary that has been promoted.
func TestRestorePauses(t *testing.T) {
	members := []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 0)}, {ID: "d", Status: replica(9, 4)}, {ID: "e"}}
	in := takeover.Input{OldPrimary: oldPrimary, Members: members}
	step := takeover.RestorePauses(in, "b")
	assert.Equal(t, step.Action, takeover.Pause)
	assert.DeepEqual(t, step.Targets, []string{"c"})
	assert.Equal(t, step.Term, uint64(4))
	members[3].Status = &takeover.Status{Term: 4, Received: position.Position{Term: 3, Offset: 9}}
	assert.Equal(t, takeover.RestorePauses(in, "b").Action, takeover.Wait)
}

// evidence returns that of a replica that has given one answer, on a connection that has
// been open since 10 s. The record was last read without a claim at noClaimAt.
func evidence(id string, counted bool, s takeover.Status, noClaimAt time.Duration) takeover.Evidence {
	e := takeover.Evidence{Member: id, Counted: counted}
	e.Observe(s, 10*time.Second)
	e.ObserveNoClaim(noClaimAt)
	return e
}

// Guards against an acknowledgement that is passed on although the next primary may lack
// the commit, and against one that is held back for good without a fault.
func TestContains(t *testing.T) {
	const before, after = 9 * time.Second, 11 * time.Second // before and after the connections were opened
	const counted = true
	has, lacks, paused := *replica(8, 0), *replica(7, 0), *replica(8, 4)
	later := takeover.Status{Primary: true, Term: 4, Received: position.Position{Term: 4, Offset: 9}}
	promotedWith := takeover.Status{Primary: true, Term: 4, Received: position.Position{Term: 3, Offset: 8}}
	promotedWithout := takeover.Status{Primary: true, Term: 4, Received: position.Position{Term: 3, Offset: 7}}
	follows := takeover.Status{Term: 4, Received: position.Position{Term: 3, Offset: 9}}
	ahead := takeover.Status{Term: 4, Received: position.Position{Term: 4, Offset: 9}}
	silent := takeover.Evidence{Member: "c"}
	gone := takeover.Evidence{Member: "c", Gone: true}
	toB, none := &primacy.Claim{OldPrimary: oldPrimary, Candidate: "b"}, &primacy.Claim{OldPrimary: oldPrimary}
	for _, test := range []struct {
		name  string
		claim *primacy.Claim
		in    []takeover.Evidence
		want  takeover.Containment
	}{
		{"the candidate has it", toB, []takeover.Evidence{evidence("b", false, has, before), evidence("c", false, lacks, before)}, takeover.Contained},
		{"the candidate lacks it", toB, []takeover.Evidence{evidence("b", counted, lacks, after), evidence("c", false, has, after)}, takeover.Unproven},
		{"the candidate does not answer", toB, []takeover.Evidence{{Member: "b"}, evidence("c", false, has, after)}, takeover.Unproven},
		{"the candidate is not known here", toB, []takeover.Evidence{evidence("c", counted, paused, after), silent}, takeover.Unproven},
		{"all others have it, and the candidate is not known here", toB, []takeover.Evidence{evidence("c", counted, has, after)}, takeover.Unproven},
		{"all others have it, and the candidate does not run", toB, []takeover.Evidence{evidence("c", counted, has, after), {Member: "b", Gone: true}}, takeover.Unproven},
		{"the candidate was promoted with it", toB, []takeover.Evidence{evidence("b", counted, promotedWith, after)}, takeover.Contained},
		{"the candidate was promoted without it", toB, []takeover.Evidence{evidence("b", counted, promotedWithout, after)}, takeover.Superseded},
		{"the candidate was promoted and has committed since", toB, []takeover.Evidence{evidence("b", counted, later, after)}, takeover.Superseded},
		{"a holder will find it on a counted replica", none, []takeover.Evidence{evidence("b", counted, has, after), silent}, takeover.Contained},
		{"the same without a claim", nil, []takeover.Evidence{evidence("b", counted, has, after), silent}, takeover.Contained},
		{"a replica that is not counted has it", nil, []takeover.Evidence{evidence("b", false, has, after), evidence("c", counted, lacks, after)}, takeover.Unproven},
		{"a pause of the replica may have ended", nil, []takeover.Evidence{evidence("b", counted, has, before), silent}, takeover.Unproven},
		{"the replica is paused", none, []takeover.Evidence{evidence("b", counted, paused, after), silent}, takeover.Unproven},
		{"a promotion has ended the pause of the replica", nil, []takeover.Evidence{evidence("b", counted, follows, after), silent}, takeover.Unproven},
		{"no replica is paused, and none has it", none, []takeover.Evidence{evidence("b", counted, lacks, after), evidence("c", counted, lacks, after)}, takeover.Unproven},
		{"all have it", none, []takeover.Evidence{evidence("b", false, paused, before), evidence("c", false, paused, before)}, takeover.Contained},
		{"all whose processes run have it", none, []takeover.Evidence{evidence("b", false, paused, before), gone}, takeover.Contained},
		{"one was promoted", none, []takeover.Evidence{evidence("b", false, later, before), evidence("c", false, has, before)}, takeover.Superseded},
		{"one was promoted, and no claim is known", nil, []takeover.Evidence{evidence("b", false, later, before), evidence("c", false, has, before)}, takeover.Superseded},
		{"a counted replica has it, and another one follows a later primary", nil, []takeover.Evidence{evidence("b", counted, has, after), evidence("c", counted, ahead, after)}, takeover.Superseded},
		{"a counted replica has it, and another one was promoted with it", nil, []takeover.Evidence{evidence("b", counted, has, after), evidence("c", counted, promotedWith, after)}, takeover.Contained},
		{"no replica is known", nil, nil, takeover.Unproven},
		{"no process of a replica runs", nil, []takeover.Evidence{gone}, takeover.Unproven},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, takeover.Contains(test.claim, position.Position{Term: 3, Offset: 8}, test.in), test.want)
		})
	}
}

// Guards against an acknowledgement whose log names the wrong proof.
func TestProve(t *testing.T) {
	const since, anchor = 11 * time.Second, true
	has, lacks := *replica(8, 0), *replica(7, 0)
	toB := &primacy.Claim{OldPrimary: oldPrimary, Candidate: "b"}
	for _, test := range []struct {
		name  string
		claim *primacy.Claim
		in    []takeover.Evidence
		want  takeover.Proof
	}{
		{"counted", nil, []takeover.Evidence{evidence("c", anchor, has, since), evidence("b", false, lacks, since)}, takeover.Proof{Kind: takeover.ByCounted, Member: "c"}},
		{"all", nil, []takeover.Evidence{evidence("c", false, has, since), evidence("b", false, has, since)}, takeover.Proof{Kind: takeover.ByAll}},
		{"announced", toB, []takeover.Evidence{evidence("b", false, has, since), evidence("c", false, lacks, since)}, takeover.Proof{Kind: takeover.ByAnnounced, Member: "b"}},
		{"none", toB, []takeover.Evidence{evidence("b", false, lacks, since)}, takeover.Proof{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, proof := takeover.Prove(test.claim, position.Position{Term: 3, Offset: 8}, test.in)
			assert.Equal(t, proof, test.want)
			assert.Equal(t, c == takeover.Contained, proof.Kind != takeover.NoProof)
		})
	}
}

// Each case guards against one way in which a failover or planned switchover could
// lose an acknowledged commit or never end.
func TestDecide(t *testing.T) {
	type members = []takeover.Member
	for _, test := range []struct {
		name     string
		in       members
		stepDown bool
		want     takeover.Action
		target   string
	}{
		{"dead primary: pause the replicas first", members{{ID: "a"}, {ID: "b", Status: replica(5, 0)}, {ID: "c", Status: replica(7, 0)}}, false, takeover.Pause, "b"},
		{"dead primary: promote the longest log", members{{ID: "a"}, {ID: "b", Status: replica(5, 4)}, {ID: "c", Status: replica(7, 4)}}, false, takeover.Promote, "c"},
		{"dead primary: a replica that does not answer may be ahead", members{{ID: "a"}, {ID: "b", Status: replica(5, 4)}, {ID: "c"}}, false, takeover.Wait, ""},
		{"dead primary: a deregistered replica may be ahead", members{{ID: "a"}, {ID: "b", Status: replica(5, 4)}, {ID: "c", Status: replica(5, 4)}, {ID: "d", Deregistered: true}}, false, takeover.Wait, ""},
		{"dead primary: a replica that lost its log is no evidence", members{{ID: "a"}, {ID: "b", Status: replica(5, 4)}, {ID: "c", LogLost: true, Status: replica(0, 4)}}, false, takeover.Wait, ""},
		{"primary that lost its log counts as dead", members{{ID: "a", LogLost: true, Status: replica(0, 0)}, {ID: "b", Status: replica(5, 4)}, {ID: "c", Status: replica(4, 4)}}, false, takeover.Promote, "b"},
		{"primary back: let the replicas receive again", members{{ID: "a", Status: primary(3, 8)}, {ID: "b", Status: replica(5, 4)}, {ID: "c", Status: replica(7, 0)}}, false, takeover.Abort, "b"},
		{"leaving primary: pause all but the candidate", members{{ID: "a", Draining: true, Status: primary(3, 8)}, {ID: "b", Status: replica(8, 0)}, {ID: "c", Status: replica(7, 0)}}, false, takeover.Pause, "c"},
		{"leaving primary: the candidate must reach the paused replicas", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Wait, ""},
		{"leaving primary: promote", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Promote, "b"},
		{"leaving primary, a replica does not answer: step down", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c"}}, false, takeover.StepDown, "a"},
		{"leaving primary, two replicas do not answer: it serves on", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c"}, {ID: "d", Deregistered: true}}, false, takeover.Wait, ""},
		{"leaving primary, a replica does not answer and the other is far behind: it serves on", members{{ID: "a", Draining: true, Status: primary(3, 900)}, {ID: "b", Status: replica(9, 0)}, {ID: "c"}}, false, takeover.Wait, ""},
		{"leaving primary, a replica does not answer and only a leaving one is close: it serves on", members{{ID: "a", Draining: true, Status: primary(3, 900)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Draining: true, Status: replica(900, 0)}, {ID: "d"}}, false, takeover.Wait, ""},
		{"commits not acknowledged, two replicas do not answer", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c"}, {ID: "d"}}, true, takeover.Wait, ""},
		{"deregistered primary that still serves", members{{ID: "a", Deregistered: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Promote, "b"},
		{"former primary: the candidate needs its whole log", members{{ID: "a", Draining: true, Status: replica(9, 0)}, {ID: "b", Status: replica(8, 0)}, {ID: "c"}}, false, takeover.Pause, "b"},
		{"former primary: nobody else has its whole log", members{{ID: "a", Draining: true, Status: replica(9, 4)}, {ID: "b", Status: replica(8, 4)}, {ID: "c"}}, false, takeover.Promote, "a"},
		{"former primary: a member that does not answer may be the primary already, so pause the others", members{{ID: "a", Status: replica(9, 0)}, {ID: "b"}, {ID: "c", Status: replica(9, 0)}}, false, takeover.Pause, "c"},
		{"former primary: pause it too", members{{ID: "a", Status: replica(9, 0)}, {ID: "b"}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Pause, "a"},
		{"former primary: promote a paused replica with its log", members{{ID: "a", Draining: true, Status: replica(9, 4)}, {ID: "b", Status: replica(9, 4)}, {ID: "c"}}, false, takeover.Promote, "b"},
		{"former primary: it may have received more from the member that does not answer", members{{ID: "a", Status: replica(12, 4)}, {ID: "b"}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Promote, "a"},
		{"former primary: wait if two members do not answer", members{{ID: "a", Status: replica(9, 4)}, {ID: "b"}, {ID: "c"}}, false, takeover.Wait, ""},
		{"deposed primary: it must not serve again", members{{ID: "a", Status: primary(3, 8)}, {ID: "b"}, {ID: "c", Status: &takeover.Status{Term: 4, Received: position.Position{Term: 3, Offset: 7}}}}, false, takeover.StepDown, "a"},
		{"commits not acknowledged: pause the replicas", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c", Status: replica(8, 0)}}, true, takeover.Pause, "b"},
		{"commits not acknowledged: step down", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 4)}, {ID: "c", Status: replica(8, 4)}}, true, takeover.StepDown, "a"},
		{"commits not acknowledged: promote a replica", members{{ID: "a", Status: replica(9, 0)}, {ID: "b", Status: replica(8, 4)}, {ID: "c", Status: replica(7, 4)}}, true, takeover.Promote, "b"},
		{"commits not acknowledged, a replica does not answer", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c"}}, true, takeover.StepDown, "a"},
		{"leaving primary: the candidate is in another failure domain", members{{ID: "a", FailureDomain: "x", Draining: true, Status: primary(3, 9)}, {ID: "b", FailureDomain: "x", Status: replica(9, 0)}, {ID: "c", FailureDomain: "y", Status: replica(8, 0)}}, false, takeover.Pause, "b"},
		{"leaving primary: a replica that is far behind is no candidate", members{{ID: "a", FailureDomain: "x", Draining: true, Status: primary(3, 900)}, {ID: "b", FailureDomain: "x", Status: replica(900, 0)}, {ID: "c", FailureDomain: "y", Status: replica(8, 0)}}, false, takeover.Pause, "c"},
		{"primary back with another ID: it steps down", members{{ID: "a"}, {ID: "b", Status: replica(8, 4)}, {ID: "c", Status: replica(8, 4)}, {ID: "a2", Status: primary(3, 9)}}, false, takeover.StepDown, "a2"},
		{"already promoted", members{{ID: "a"}, {ID: "b", Status: primary(4, 9)}, {ID: "c", Status: replica(9, 0)}}, false, takeover.Done, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := decideAnnounced(t, takeover.Input{OldPrimary: oldPrimary, Members: test.in, GroupSize: max(len(test.in), 3), StepDown: test.stepDown})
			assert.Equal(t, step.Action, test.want, step.Reason)
			if test.target != "" {
				assert.Equal(t, step.Targets[0], test.target)
			}
			if step.Action == takeover.Pause || step.Action == takeover.Promote {
				assert.Assert(t, step.Term > oldPrimary.Term)
			}
		})
	}
}

// Guards against the replacement of a primary that serves and is not leaving in a
// case where the switchover could interrupt writes or not end.
func TestHandOver(t *testing.T) {
	type members = []takeover.Member
	for _, test := range []struct {
		name   string
		in     members
		want   takeover.Action
		target string
	}{
		{"pause all but the candidate", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(8, 0)}}, takeover.Pause, "c"},
		{"promote", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 4)}}, takeover.Promote, "b"},
		{"the candidate must reach the paused replicas", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c", Status: replica(9, 4)}}, takeover.Wait, ""},
		{"a replica does not answer: the primary stays", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c"}}, takeover.Abort, ""},
		{"a replica is not registered", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}}, takeover.Abort, ""},
		{"both replicas are far behind", members{{ID: "a", Status: primary(3, 900)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 0)}}, takeover.Abort, ""},
		{"the only replica with a close log has lost it", members{{ID: "a", Status: primary(3, 900)}, {ID: "b", LogLost: true, Status: replica(900, 0)}, {ID: "c", Status: replica(9, 0)}}, takeover.Abort, ""},
		{"both replicas paused by an earlier holder of the claim", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 4)}, {ID: "c", Status: replica(9, 4)}}, takeover.Abort, "b"},
		{"a primary that does not answer is replaced as in a failover", members{{ID: "a"}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 0)}}, takeover.Pause, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := decideAnnounced(t, takeover.Input{OldPrimary: oldPrimary, Members: test.in, GroupSize: 3, HandOver: true})
			assert.Equal(t, step.Action, test.want, step.Reason)
			if test.target != "" {
				assert.Equal(t, step.Targets[0], test.target)
			}
		})
	}
}

// Guards against the promotion of a log that lacks acknowledged commits after the members that
// had them are gone (review/1, an empty log was promoted), and against a pause or a step down
// that keeps the members from receiving them.
func TestShortLogIsNotPromoted(t *testing.T) {
	type members = []takeover.Member
	for _, test := range []struct {
		name     string
		in       members
		stepDown bool
		want     takeover.Action
		tooShort bool
	}{
		{"dead primary", members{{ID: "a"}, {ID: "b", Status: replica(7, 4)}, {ID: "c", Status: replica(6, 4)}}, false, takeover.Wait, true},
		{"dead primary, the replicas receive", members{{ID: "a"}, {ID: "b", Status: replica(7, 0)}, {ID: "c", Status: replica(6, 0)}}, false, takeover.Wait, true},
		{"dead primary, a replica has the commit", members{{ID: "a"}, {ID: "b", Status: replica(8, 4)}, {ID: "c", Status: replica(6, 4)}}, false, takeover.Promote, false},
		{"primary that lost its log", members{{ID: "a", LogLost: true, Status: replica(0, 0)}, {ID: "b", Status: replica(7, 4)}, {ID: "c", Status: replica(7, 4)}}, false, takeover.Wait, true},
		{"former primary", members{{ID: "a", Status: replica(7, 4)}, {ID: "b", Status: replica(7, 4)}, {ID: "c", Status: replica(7, 4)}}, false, takeover.Wait, true},
		{"commits not acknowledged: the primary serves on", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(7, 4)}, {ID: "c", Status: replica(7, 4)}}, true, takeover.Wait, false},
		{"leaving primary: the candidate receives the commit soon", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(7, 0)}, {ID: "c", Status: replica(7, 4)}}, false, takeover.Wait, false},
		{"an operator has promoted a member", members{{ID: "a"}, {ID: "b", Status: primary(4, 1)}, {ID: "c", Status: replica(6, 0)}}, false, takeover.Done, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := decideAnnounced(t, takeover.Input{OldPrimary: oldPrimary, Members: test.in, GroupSize: 3, StepDown: test.stepDown, RequiredLog: position.Position{Term: 3, Offset: 8}})
			assert.Equal(t, step.Action, test.want, step.Reason)
			assert.Equal(t, step.LogsTooShort, test.tooShort)
		})
	}
}

// Guards against a former primary that is kept although a restored store no longer knows
// that another member was promoted: both members that would know do not answer.
func TestUnconfirmedPrimaryNeedsAnotherMember(t *testing.T) {
	members := []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b"}, {ID: "c"}}
	in := takeover.Input{OldPrimary: oldPrimary, Members: members, GroupSize: 3, Unconfirmed: true}
	assert.Equal(t, takeover.Decide(in).Action, takeover.Wait)
	members[1].Status = replica(9, 0)
	assert.Equal(t, takeover.Decide(in).Action, takeover.Abort)
	members[1].Status.Term = 4
	assert.Equal(t, takeover.Decide(in).Action, takeover.StepDown)
}

// Guards against a change that goes another way while a promotion that was called for may
// take effect: the member leads with the log that it had, and the rest is lost.
func TestCalledMemberIsKept(t *testing.T) {
	old := primacy.Primary{Member: "a", Term: 1}
	at := func(n uint64, paused uint64) *takeover.Status {
		return &takeover.Status{Term: 1, Received: position.Position{Term: 1, Offset: n}, PausedTerm: paused}
	}
	serving := &takeover.Status{Primary: true, Term: 1, Received: position.Position{Term: 1, Offset: 9}}
	for name, in := range map[string]takeover.Input{
		"longer log of another one": {Members: []takeover.Member{{ID: "a"}, {ID: "b", Status: at(9, 2)}, {ID: "c", Status: at(8, 2)}}},
		"primary serves again":      {Members: []takeover.Member{{ID: "a", Status: serving}, {ID: "b", Status: at(9, 2)}, {ID: "c", Status: at(8, 2)}}},
		"announces another one":     {Members: []takeover.Member{{ID: "a", Status: serving, Draining: true}, {ID: "b", Status: at(9, 0)}, {ID: "c", Status: at(8, 2)}}},
	} {
		t.Run(name, func(t *testing.T) {
			in.OldPrimary, in.GroupSize = old, 3
			without := takeover.Decide(in)
			assert.Assert(t, without.Action == takeover.Abort || without.Targets[0] == "b", "%v", without)
			in.Called = "c"
			kept := takeover.Decide(in)
			assert.Equal(t, kept.Action, takeover.Promote)
			assert.DeepEqual(t, kept.Targets, []string{"c"})
			in.Called = "d"
			assert.Equal(t, takeover.Decide(in).Action, takeover.Wait)
			in.Called, in.PausesUncertain = "", true
			assert.Assert(t, takeover.Decide(in).Action != takeover.Promote, "a member may receive again")
			in.Members[2].LogLost, in.Called, in.PausesUncertain = true, "c", false
			assert.Assert(t, takeover.Decide(in).Action != takeover.Promote)
		})
	}
}

// Guards against an acknowledgement that rests on the announced candidate, or on the absence
// of one, while another member was called for.
func TestAcknowledgementNeedsCalledMember(t *testing.T) {
	p := position.Position{Term: 1, Offset: 9}
	with := func(id string, n uint64) takeover.Evidence {
		return evidence(id, false, takeover.Status{Term: 1, Received: position.Position{Term: 1, Offset: n}}, 0)
	}
	claim := &primacy.Claim{Candidate: "b", Called: "c"}
	assert.Equal(t, takeover.Contains(claim, p, []takeover.Evidence{with("b", 9), with("c", 8)}), takeover.Unproven)
	assert.Equal(t, takeover.Contains(claim, p, []takeover.Evidence{with("b", 8), with("c", 9)}), takeover.Contained)
}

// Guards against an acknowledgement without the log of a member that may lead at any time.
func TestMayLack(t *testing.T) {
	p := position.Position{Term: 3, Offset: 9}
	at := func(term, n uint64) takeover.Evidence {
		return evidence("b", true, takeover.Status{Term: term, Received: position.Position{Term: term, Offset: n}}, 0)
	}
	assert.Assert(t, takeover.MayLack("b", p, []takeover.Evidence{at(3, 8)}))
	assert.Assert(t, takeover.MayLack("b", p, []takeover.Evidence{at(4, 12)}), "it may have begun the term without the commit")
	assert.Assert(t, takeover.MayLack("b", p, []takeover.Evidence{{Member: "b"}}))
	assert.Assert(t, !takeover.MayLack("b", p, []takeover.Evidence{at(3, 9)}))
	assert.Assert(t, !takeover.MayLack("b", p, []takeover.Evidence{{Member: "b", Gone: true}, {Member: "c"}}))
	assert.Assert(t, !takeover.MayLack("", p, []takeover.Evidence{at(3, 8)}))
}

// Guards against the promotion of a member that may have started again without its log.
func TestUnknownStartIsNotPromoted(t *testing.T) {
	for name, unknown := range map[string][2]bool{"the longest log": {true, false}, "another one": {false, true}} {
		members := []takeover.Member{{ID: "a"}, {ID: "b", Status: replica(9, 4), StartUnknown: unknown[0]}, {ID: "c", Status: replica(8, 4), StartUnknown: unknown[1]}}
		step := takeover.Decide(takeover.Input{OldPrimary: oldPrimary, Members: members, GroupSize: 3})
		assert.Equal(t, step.Action, takeover.Wait, name)
		members[1].StartUnknown, members[2].StartUnknown = false, false
		step = takeover.Decide(takeover.Input{OldPrimary: oldPrimary, Members: members, GroupSize: 3})
		assert.Equal(t, step.Action, takeover.Promote, name)
	}
}
