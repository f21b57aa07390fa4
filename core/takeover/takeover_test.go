package takeover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/takeover"
)

var old = leadership.Leader{Member: "a", Term: 3}

func replica(offset, held uint64) *takeover.Status {
	return &takeover.Status{Term: 3, Received: position.Position{Term: 3, Offset: offset}, PausedTerm: held}
}

func primary(term, offset uint64) *takeover.Status {
	return &takeover.Status{Primary: true, Term: term, Received: position.Position{Term: term, Offset: offset}}
}

// Each case guards one way in which a change of primary could lose an
// acknowledged commit or stop for good.
func TestDecide(t *testing.T) {
	type members = []takeover.Member
	for _, test := range []struct {
		name     string
		in       members
		stepDown bool
		want     takeover.Action
		target   string
	}{
		{"dead primary: hold the replicas first", members{{ID: "a"}, {ID: "b", Status: replica(5, 0)}, {ID: "c", Status: replica(7, 0)}}, false, takeover.Pause, "b"},
		{"dead primary: the longest log leads", members{{ID: "a"}, {ID: "b", Status: replica(5, 4)}, {ID: "c", Status: replica(7, 4)}}, false, takeover.Promote, "c"},
		{"dead primary: a silent replica may be ahead", members{{ID: "a"}, {ID: "b", Status: replica(5, 4)}, {ID: "c"}}, false, takeover.Wait, ""},
		{"dead primary: so may one that left the register", members{{ID: "a"}, {ID: "b", Status: replica(5, 4)}, {ID: "c", Status: replica(5, 4)}, {ID: "d", Deregistered: true}}, false, takeover.Wait, ""},
		{"dead primary: a replica without its log proves nothing", members{{ID: "a"}, {ID: "b", Status: replica(5, 4)}, {ID: "c", LogLost: true, Status: replica(0, 4)}}, false, takeover.Wait, ""},
		{"primary without its log counts as dead", members{{ID: "a", LogLost: true, Status: replica(0, 0)}, {ID: "b", Status: replica(5, 4)}, {ID: "c", Status: replica(4, 4)}}, false, takeover.Promote, "b"},
		{"primary back: let the replicas go on", members{{ID: "a", Status: primary(3, 8)}, {ID: "b", Status: replica(5, 4)}, {ID: "c", Status: replica(7, 0)}}, false, takeover.Abort, "b"},
		{"leaving primary: hold all but the candidate", members{{ID: "a", Draining: true, Status: primary(3, 8)}, {ID: "b", Status: replica(8, 0)}, {ID: "c", Status: replica(7, 0)}}, false, takeover.Pause, "c"},
		{"leaving primary: the candidate must reach the held", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Wait, ""},
		{"leaving primary: promote", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Promote, "b"},
		{"leaving primary, replica silent: give up the lead", members{{ID: "a", Draining: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c"}}, false, takeover.StepDown, "a"},
		{"primary that left the register but serves", members{{ID: "a", Deregistered: true, Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Promote, "b"},
		{"former primary: its whole log is needed", members{{ID: "a", Draining: true, Status: replica(9, 0)}, {ID: "b", Status: replica(8, 0)}, {ID: "c"}}, false, takeover.Wait, ""},
		{"former primary: a silent member may lead already, so hold the others", members{{ID: "a", Status: replica(9, 0)}, {ID: "b"}, {ID: "c", Status: replica(9, 0)}}, false, takeover.Pause, "c"},
		{"former primary: hold it too", members{{ID: "a", Status: replica(9, 0)}, {ID: "b"}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Pause, "a"},
		{"former primary: a held replica with its log leads", members{{ID: "a", Draining: true, Status: replica(9, 4)}, {ID: "b", Status: replica(9, 4)}, {ID: "c"}}, false, takeover.Promote, "b"},
		{"former primary: one of its log may have got more from a silent one", members{{ID: "a", Status: replica(12, 4)}, {ID: "b"}, {ID: "c", Status: replica(9, 4)}}, false, takeover.Promote, "a"},
		{"former primary: two silent members prove nothing", members{{ID: "a", Status: replica(9, 4)}, {ID: "b"}, {ID: "c"}}, false, takeover.Wait, ""},
		{"deposed primary: it does not serve again", members{{ID: "a", Status: primary(3, 8)}, {ID: "b"}, {ID: "c", Status: &takeover.Status{Term: 4, Received: position.Position{Term: 3, Offset: 7}}}}, false, takeover.StepDown, "a"},
		{"commits not acknowledged: hold the replicas", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c", Status: replica(8, 0)}}, true, takeover.Pause, "b"},
		{"commits not acknowledged: give up the lead", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 4)}, {ID: "c", Status: replica(8, 4)}}, true, takeover.StepDown, "a"},
		{"commits not acknowledged: a replica leads", members{{ID: "a", Status: replica(9, 0)}, {ID: "b", Status: replica(8, 4)}, {ID: "c", Status: replica(7, 4)}}, true, takeover.Promote, "b"},
		{"commits not acknowledged, a replica silent", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c"}}, true, takeover.StepDown, "a"},
		{"leaving primary: the candidate is in another failure domain", members{{ID: "a", FailureDomain: "x", Draining: true, Status: primary(3, 9)}, {ID: "b", FailureDomain: "x", Status: replica(9, 0)}, {ID: "c", FailureDomain: "y", Status: replica(8, 0)}}, false, takeover.Pause, "b"},
		{"leaving primary: a replica that is far behind is no candidate", members{{ID: "a", FailureDomain: "x", Draining: true, Status: primary(3, 900)}, {ID: "b", FailureDomain: "x", Status: replica(900, 0)}, {ID: "c", FailureDomain: "y", Status: replica(8, 0)}}, false, takeover.Pause, "c"},
		{"primary back under another name: it gives up its lead", members{{ID: "a"}, {ID: "b", Status: replica(8, 4)}, {ID: "c", Status: replica(8, 4)}, {ID: "a2", Status: primary(3, 9)}}, false, takeover.StepDown, "a2"},
		{"already promoted", members{{ID: "a"}, {ID: "b", Status: primary(4, 9)}, {ID: "c", Status: replica(9, 0)}}, false, takeover.Done, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := takeover.Decide(takeover.Input{OldLeader: old, Members: test.in, GroupSize: max(len(test.in), 3), StepDown: test.stepDown})
			assert.Equal(t, step.Action, test.want, step.Reason)
			if test.target != "" {
				assert.Equal(t, step.Targets[0], test.target)
			}
			if step.Action == takeover.Pause || step.Action == takeover.Promote {
				assert.Assert(t, step.Term > old.Term)
			}
		})
	}
}

// Guards a primary that serves and stays: it is replaced only where nothing has to be
// given up for it.
func TestHandOver(t *testing.T) {
	type members = []takeover.Member
	for _, test := range []struct {
		name   string
		in     members
		want   takeover.Action
		target string
	}{
		{"hold all but the candidate", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(8, 0)}}, takeover.Pause, "c"},
		{"promote", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 4)}}, takeover.Promote, "b"},
		{"the candidate must reach the held", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c", Status: replica(9, 4)}}, takeover.Wait, ""},
		{"a silent replica: the primary keeps its lead", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c"}}, takeover.Abort, ""},
		{"a missing replica", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}}, takeover.Abort, ""},
		{"replicas that receive nothing", members{{ID: "a", Status: primary(3, 900)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 0)}}, takeover.Abort, ""},
		{"the only replica that is close lost its log", members{{ID: "a", Status: primary(3, 900)}, {ID: "b", LogLost: true, Status: replica(900, 0)}, {ID: "c", Status: replica(9, 0)}}, takeover.Abort, ""},
		{"both replicas held by an earlier holder", members{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 4)}, {ID: "c", Status: replica(9, 4)}}, takeover.Abort, "b"},
		{"a primary that does not answer is replaced as ever", members{{ID: "a"}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(9, 0)}}, takeover.Pause, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := takeover.Decide(takeover.Input{OldLeader: old, Members: test.in, GroupSize: 3, HandOver: true})
			assert.Equal(t, step.Action, test.want, step.Reason)
			if test.target != "" {
				assert.Equal(t, step.Targets[0], test.target)
			}
		})
	}
}
