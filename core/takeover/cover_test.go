package takeover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/takeover"
)

// Guards reads without a primary: a commit may be on the silent member and on any
// one of the others, so one silent member is the most that is allowed.
func TestCover(t *testing.T) {
	at := func(offset uint64) *takeover.Status {
		return &takeover.Status{Term: 1, Received: position.Position{Term: 1, Offset: offset}}
	}
	for name, c := range map[string]struct {
		members []takeover.Member
		want    uint64
		ok      bool
	}{
		"lead is silent":        {[]takeover.Member{{ID: "a"}, {ID: "b", Status: at(7)}, {ID: "c", Status: at(9)}}, 9, true},
		"all answer":            {[]takeover.Member{{ID: "a", Status: at(12)}, {ID: "b", Status: at(7)}, {ID: "c", Status: at(9)}}, 12, true},
		"two are silent":        {[]takeover.Member{{ID: "a"}, {ID: "b"}, {ID: "c", Status: at(9)}}, 0, false},
		"a departed one counts": {[]takeover.Member{{ID: "a"}, {ID: "d", Deregistered: true}, {ID: "b", Status: at(7)}, {ID: "c", Status: at(9)}}, 0, false},
		"one lost its log":      {[]takeover.Member{{ID: "a"}, {ID: "b", Status: at(7), LogLost: true}, {ID: "c", Status: at(9)}}, 0, false},
		"one has got shorter":   {[]takeover.Member{{ID: "a"}, {ID: "b", Status: at(7), LogShrunk: true}, {ID: "c", Status: at(9)}}, 0, false},
		"one is not registered": {[]takeover.Member{{ID: "b", Status: at(7)}, {ID: "c", Status: at(9)}}, 0, false},
	} {
		p, ok := takeover.ReadPosition(c.members, 3)
		assert.Equal(t, ok, c.ok, name)
		if ok {
			assert.Equal(t, p.Offset, c.want, name)
		}
	}
}
