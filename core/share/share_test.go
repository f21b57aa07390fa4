package share_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/share"
)

// Guards the connection limit of an upstream over all instances: 85 instances
// that kept one idle connection each exceeded a limit of 46.
func TestPolicy(t *testing.T) {
	for _, test := range []struct{ limit, instances, keep int }{{16, 6, 1}, {34, 9, 1}, {120, 84, 1}, {46, 85, 0}, {16, 0, 1}} {
		p := share.For(test.limit, test.instances)
		assert.Equal(t, p.Keep, test.keep)
		assert.Assert(t, p.Keep*test.instances <= test.limit)
		assert.Assert(t, p.Open >= 1 && p.Open <= test.limit)
		assert.Assert(t, p.Idle < time.Second, "connections of bursts close before their instances are replaced")
	}
}
