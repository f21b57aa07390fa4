package takeover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/takeover"
)

// Guards against a primary without replicas that stays because they have longer logs of a later term.
func TestReplicated(t *testing.T) {
	at := func(offset uint64) position.Position { return position.Position{Term: 3, Offset: offset} }
	later := &takeover.Status{Term: 4, Received: position.Position{Term: 4, Offset: 12}}
	follows := &takeover.Status{Term: 4, Received: at(9)}
	for _, test := range []struct {
		name    string
		members []takeover.Member
		highest position.Position
		behind  bool
	}{
		{"a replica has all commits", []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: replica(7, 0)}}, at(9), false},
		{"all are behind", []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(8, 0)}, {ID: "c"}}, at(8), true},
		{"the others have a later log", []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: later}, {ID: "c", Status: later}}, position.Position{}, true},
		{"the others are in a later term", []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: follows}}, position.Position{}, true},
		{"one still follows it", []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: later}, {ID: "c", Status: replica(9, 0)}}, at(9), false},
		{"the primary does not answer", []takeover.Member{{ID: "a"}, {ID: "b", Status: replica(8, 0)}}, at(8), false},
	} {
		highest, behind := takeover.Replicated(oldPrimary, test.members)
		assert.Equal(t, highest, test.highest, test.name)
		assert.Equal(t, behind, test.behind, test.name)
	}
}

// Guards against a primary that stays beside a member of a later term.
func TestOutrun(t *testing.T) {
	later, earlier := &takeover.Status{Term: 4}, &takeover.Status{Term: 2}
	for _, test := range []struct {
		name string
		in   []takeover.Member
		want bool
	}{
		{"all follow it", []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c"}}, false},
		{"one is in a later term", []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: replica(9, 0)}, {ID: "c", Status: later}}, true},
		{"one is in an earlier term", []takeover.Member{{ID: "a", Status: primary(3, 9)}, {ID: "b", Status: earlier}}, false},
		{"it leads a later term itself", []takeover.Member{{ID: "a", Status: primary(4, 9)}, {ID: "b", Status: replica(9, 0)}}, false},
	} {
		assert.Equal(t, takeover.Outrun(oldPrimary, test.in), test.want, test.name)
	}
}
