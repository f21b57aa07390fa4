package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
)

// Guards against instances that together exceed the connection limit of an upstream: 85
// instances that kept one idle connection each exceeded a limit of 46.
func TestConnectionsStayWithinLimit(t *testing.T) {
	for _, test := range []struct{ limit, instances, maxIdle int }{{16, 6, 1}, {34, 9, 1}, {120, 84, 1}, {46, 85, 0}, {16, 0, 1}} {
		l := quota.ForInstance(test.limit, 2, 1/float64(max(test.instances, 1)))
		assert.Equal(t, l.MaxIdle, test.maxIdle)
		assert.Assert(t, l.MaxIdle*test.instances <= test.limit)
		assert.Assert(t, l.MaxOpen >= 1 && l.MaxOpen <= test.limit)
		assert.Assert(t, l.IdleTimeout < time.Second, "connections opened in a burst must close before their instance is replaced")
	}
}

// Guards against slot limits that leave slots of a member free although its least urgent
// rank could use them, or that let this rank build a long queue ahead of urgent
// statements: 18 lookups of six instances occupied both slots for 135 ms.
func TestSlotLimits(t *testing.T) {
	for _, test := range []struct{ slots, instances, gateways int }{{2, 1, 0}, {2, 6, 0}, {2, 9, 0}, {4, 0, 3}, {4, 0, 4}, {4, 0, 1}} {
		l, n := quota.ForInstance(34, test.slots, 1/float64(max(test.instances, 1))), test.instances
		if test.gateways > 0 {
			l, n = quota.ForGateway(46, test.slots, test.gateways), test.gateways
		}
		least, middle := l.SlotLimit[schedule.Least]*n, l.SlotLimit[schedule.Middle]*n
		assert.Assert(t, least >= test.slots, "%+v: %d lookups leave slots free", test, least)
		assert.Assert(t, least < middle || l.SlotLimit[schedule.Least] < l.SlotLimit[schedule.Middle], "%+v", test)
		assert.Assert(t, l.SlotLimit[schedule.Least] == 1 || least <= 3*test.slots, "%+v: %d lookups", test, least)
		assert.Equal(t, l.SlotLimit[schedule.Urgent], l.MaxRunning)
	}
}

// Guards against quotas that don't follow the demand on an instance. With equal shares,
// the single instance of a failure domain, which served a third of all callers, ran a
// sixth of the statements on a member that was short of slots, and refused ten times as
// many requests as the others.
func TestLimitsFollowDemand(t *testing.T) {
	few, many := quota.ForInstance(32, 5, 1.0/9), quota.ForInstance(32, 5, 1.0/3)
	assert.Assert(t, many.SlotLimit[schedule.Least] >= 3*few.SlotLimit[schedule.Least], "%+v %+v", few, many)
	assert.Assert(t, many.MaxOpen >= 3*few.MaxOpen, "%+v %+v", few, many)
	assert.Assert(t, many.MaxRunning > many.SlotLimit[schedule.Least], "the least urgent rank must leave room for others")
	assert.Assert(t, 3*few.MaxOpen+2*quota.ForInstance(32, 5, 1.0/6).MaxOpen+many.MaxOpen <= 32, "all instances together must stay within the limit")
}

// Guards against more connections than the member accepts where connections belong to
// workspaces: both gateways, a new gateway during its handover, and one spare gateway in
// each failure domain must stay within the limit together. A gateway that lost power counts
// for 3 s more, which the handover outlasts.
func TestWorkspaceQuotasStayWithinLimit(t *testing.T) {
	for _, test := range []struct{ limit, slots, domains int }{{72, 6, 3}, {46, 4, 3}, {46, 4, 6}, {120, 8, 3}, {1000, 30, 6}} {
		gateway := quota.ForWorkspaceGateway(test.limit, test.slots, time.Hour)
		spare := quota.ForSpareGateway(test.limit, test.slots, test.domains)
		domain := quota.ForDomainGateway(test.limit, test.slots, test.domains, time.Hour)
		assert.Assert(t, 2*gateway.MaxOpen+gateway.InitialMaxOpen+test.domains*spare.MaxOpen <= test.limit, "%+v", test)
		assert.Assert(t, 2*test.domains*domain.MaxOpen+gateway.InitialMaxOpen <= test.limit, "%+v", test)
		assert.Equal(t, gateway.MaxOpenAt(time.Hour-1), gateway.InitialMaxOpen)
		assert.Equal(t, gateway.MaxOpenAt(time.Hour), gateway.MaxOpen)
		assert.Equal(t, gateway.MaxIdle, gateway.MaxOpen, "the connection of a small workspace must stay open")
		assert.Assert(t, gateway.SlotLimit[schedule.Least] >= test.slots && gateway.MaxRunning > test.slots, "one gateway must fill all slots")
		assert.Assert(t, gateway.MaxRunning <= test.slots+1, "the queue is here and not at the member")
		assert.Assert(t, gateway.SlotLimit[schedule.Middle] <= gateway.MaxRunning && gateway.SlotLimit[schedule.Least] < gateway.SlotLimit[schedule.Middle])
	}
	assert.Assert(t, quota.HandoverTime > 3*time.Second)
}
