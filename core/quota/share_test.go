package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
)

// Guards the connection limit of an upstream over all instances: 85 instances
// that kept one idle connection each exceeded a limit of 46.
func TestPolicy(t *testing.T) {
	for _, test := range []struct{ limit, instances, keep int }{{16, 6, 1}, {34, 9, 1}, {120, 84, 1}, {46, 85, 0}, {16, 0, 1}} {
		p := quota.ForInstance(test.limit, 2, 1/float64(max(test.instances, 1)))
		assert.Equal(t, p.MaxIdle, test.keep)
		assert.Assert(t, p.MaxIdle*test.instances <= test.limit)
		assert.Assert(t, p.MaxOpen >= 1 && p.MaxOpen <= test.limit)
		assert.Assert(t, p.IdleTimeout < time.Second, "connections of bursts close before their instances are replaced")
	}
}

// Guards the use of a member by lookups alone, and the queue that they leave to
// urgent statements: before, 18 lookups of six instances took two slots for 135 ms.
func TestLimits(t *testing.T) {
	for _, test := range []struct{ slots, instances, gateways int }{{2, 1, 0}, {2, 6, 0}, {2, 9, 0}, {4, 0, 3}, {4, 0, 4}, {4, 0, 1}} {
		p, n := quota.ForInstance(34, test.slots, 1/float64(max(test.instances, 1))), test.instances
		if test.gateways > 0 {
			p, n = quota.ForGateway(46, test.slots, test.gateways), test.gateways
		}
		least, middle := p.SlotLimit[schedule.Least]*n, p.SlotLimit[schedule.Middle]*n
		assert.Assert(t, least >= test.slots, "%+v: %d lookups leave slots free", test, least)
		assert.Assert(t, least < middle || p.SlotLimit[schedule.Least] < p.SlotLimit[schedule.Middle], "%+v", test)
		assert.Assert(t, p.SlotLimit[schedule.Least] == 1 || least <= 3*test.slots, "%+v: %d lookups", test, least)
		assert.Equal(t, p.SlotLimit[schedule.Urgent], p.MaxRunning)
	}
}

// Guards the callers of a failure domain with a single instance: with equal parts,
// the instance that served a third of all callers ran a sixth of the statements on
// a member that was short of slots, and refused ten times as many as the others.
func TestPartFollowsDemand(t *testing.T) {
	few, many := quota.ForInstance(32, 5, 1.0/9), quota.ForInstance(32, 5, 1.0/3)
	assert.Assert(t, many.SlotLimit[schedule.Least] >= 3*few.SlotLimit[schedule.Least], "%+v %+v", few, many)
	assert.Assert(t, many.MaxOpen >= 3*few.MaxOpen, "%+v %+v", few, many)
	assert.Assert(t, many.MaxRunning > many.SlotLimit[schedule.Least], "less urgent requests leave room")
	assert.Assert(t, 3*few.MaxOpen+2*quota.ForInstance(32, 5, 1.0/6).MaxOpen+many.MaxOpen <= 32, "the limit holds for all together")
}
