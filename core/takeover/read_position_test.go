package takeover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/takeover"
)

// Guards against a read without a primary that misses an acknowledged commit: a
// commit may be on a member that does not answer and on any one of the others, so
// at most one member may be missing.
func TestReadPositionCoversAcknowledgedCommits(t *testing.T) {
	at := func(offset uint64) *takeover.Status {
		return &takeover.Status{Term: 1, Received: position.Position{Term: 1, Offset: offset}}
	}
	for name, c := range map[string]struct {
		members []takeover.Member
		want    uint64
		ok      bool
	}{
		"primary does not answer":           {[]takeover.Member{{ID: "a"}, {ID: "b", Status: at(7)}, {ID: "c", Status: at(9)}}, 9, true},
		"all answer":                        {[]takeover.Member{{ID: "a", Status: at(12)}, {ID: "b", Status: at(7)}, {ID: "c", Status: at(9)}}, 12, true},
		"two do not answer":                 {[]takeover.Member{{ID: "a"}, {ID: "b"}, {ID: "c", Status: at(9)}}, 0, false},
		"a deregistered member counts":      {[]takeover.Member{{ID: "a"}, {ID: "d", Deregistered: true}, {ID: "b", Status: at(7)}, {ID: "c", Status: at(9)}}, 0, false},
		"one lost its log":                  {[]takeover.Member{{ID: "a"}, {ID: "b", Status: at(7), LogLost: true}, {ID: "c", Status: at(9)}}, 0, false},
		"one has a shorter log than before": {[]takeover.Member{{ID: "a"}, {ID: "b", Status: at(7), LogShrunk: true}, {ID: "c", Status: at(9)}}, 0, false},
		"one may have started since":        {[]takeover.Member{{ID: "a"}, {ID: "b", Status: at(7), StartUnknown: true}, {ID: "c", Status: at(9)}}, 0, false},
		"one has, and all others answer":    {[]takeover.Member{{ID: "a", Status: at(8)}, {ID: "b", Status: at(99), StartUnknown: true}, {ID: "c", Status: at(9)}}, 9, true},
		"one is not registered":             {[]takeover.Member{{ID: "b", Status: at(7)}, {ID: "c", Status: at(9)}}, 0, false},
	} {
		p, ok := takeover.ReadPosition(c.members, 3)
		assert.Equal(t, ok, c.ok, name)
		if ok {
			assert.Equal(t, p.Offset, c.want, name)
		}
	}
}
