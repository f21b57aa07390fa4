package simulation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
)

const ms = time.Millisecond

// The kinds of a database group with 6 slots for each of 3 members: urgent strict work of
// 11 ms, read-your-writes work of 33 ms, and bounded reads of 55 ms. Their usual rates use
// 70% of the slots.
var (
	urgentKind = Kind{Name: "urgent", Rank: schedule.Urgent, Rate: 45, Work: 11 * ms, PrimaryOnly: 1, Transactions: 0.25, Objective: 250 * ms, Timeout: time.Second}
	middleKind = Kind{Name: "middle", Rank: schedule.Middle, Rate: 200, Work: 33 * ms, PrimaryOnly: 0.24, Transactions: 0.12, Objective: 500 * ms, Timeout: time.Second}
	leastKind  = Kind{Name: "least", Rank: schedule.Least, Rate: 80, Work: 55 * ms, Transactions: 0.1, Objective: 1500 * ms, Timeout: 3 * time.Second}
)

func (k Kind) times(factor float64) Kind { k.Rate *= factor; return k }

func (k Kind) leaving(fraction float64) Kind { k.Leave = fraction; return k }

// unordered is the group with one scheduler for each failure domain, which has a third of
// the slots, a queue of 32 requests by caller, and estimates by rank.
func unordered(kinds ...Kind) GroupScenario {
	limits := quota.ForGateway(72, 6, 3)
	return GroupScenario{Members: 3, Slots: 6, MemberQueue: 48, Gateways: 3, Warmup: 2 * time.Second, Duration: 15 * time.Second, Kinds: kinds,
		Scheduler: schedule.Config{Slots: limits.MaxRunning, SlotLimit: limits.SlotLimit, QueueLimit: 32, InitialServiceTime: 9 * ms, Floor: [schedule.NumRanks]float64{0, 0.1, 0.05}}}
}

// direct is unordered with this number of instances that connect to the members
// themselves.
func direct(instances int, kinds ...Kind) GroupScenario {
	sc, limits := unordered(kinds...), quota.ForInstance(72, 6, 1/float64(instances))
	sc.Gateways, sc.Scheduler.Slots, sc.Scheduler.SlotLimit = instances, limits.MaxRunning, limits.SlotLimit
	return sc
}

// ordered is the group with one queue for each member, bounded by time.
func ordered(kinds ...Kind) GroupScenario {
	sc := unordered(kinds...)
	sc.Gateways, sc.WaitByRank, sc.ByDue, sc.ByKind, sc.CancelDeparted = 1, true, true, true, true
	sc.Scheduler.Slots, sc.Scheduler.SlotLimit = 7, [schedule.NumRanks]int{7, 7, 6}
	sc.Scheduler.QueueLimit = 2048
	sc.Scheduler.QueueTime = [schedule.NumRanks]time.Duration{75 * ms, 150 * ms, 450 * ms}
	return sc
}

// workspaces are eight workspaces of unequal size with limits of 1.6 times their demand;
// the second one sends factor times its usual demand.
func workspaces(factor float64) []WorkspaceLoad {
	var all []WorkspaceLoad
	for i, rate := range []float64{0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.05} {
		all = append(all, WorkspaceLoad{Name: fmt.Sprint("workspace-", i), Rate: rate, Weight: rate * 1.6 * 325})
	}
	all[1].Factor = factor
	return all
}

func (r GroupResult) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: refused attempts %v", name, r.Refusals)
	for _, results := range []map[string]*KindResult{r.Kinds, r.Workspaces} {
		for _, kind := range []string{"urgent", "middle", "least", "orders", "history", "workspace-0", "workspace-1", "workspace-2", "workspace-5"} {
			if k := results[kind]; k != nil {
				t.Logf("  %-11s %s", kind, k)
			}
		}
	}
}

func play(t *testing.T, name string, sc GroupScenario, seed uint64) GroupResult {
	t.Helper()
	r := RunGroup(sc, seed)
	r.log(t, fmt.Sprintf("%s, seed %d", name, seed))
	return r
}

// work is the slot time that the members spent.
func (r GroupResult) work() (sum time.Duration) {
	for _, k := range r.Kinds {
		sum += k.Work
	}
	return sum
}

func refused(k *KindResult) float64 { return float64(k.Refused) / float64(k.Offered) }

// Load: least-rank reads at twice their usual rate, and 98% of the slots' time in all.
// Guards against urgent work that is refused most because only the primary can execute it,
// as by the queue of a member to which many instances connect.
func TestLeastRankBurstDoesNotRefuseUrgentWork(t *testing.T) {
	t.Parallel()
	burst := []Kind{urgentKind.times(1.3), middleKind.times(1.1), leastKind.times(2)}
	for _, seed := range seeds {
		many := play(t, "44 instances", direct(44, burst...), seed)
		three := play(t, "3 gateways", unordered(burst...), seed)
		one := play(t, "1 queue", ordered(burst...), seed)
		assert.Assert(t, refused(many.Kinds["urgent"]) > refused(many.Kinds["least"]), "the load must refuse urgent work without gateways")
		assert.Equal(t, one.Kinds["urgent"].Refused, 0)
		assert.Assert(t, refused(one.Kinds["middle"]) < 0.01, "%d refused", one.Kinds["middle"].Refused)
		assert.Assert(t, one.Kinds["urgent"].P99() < three.Kinds["urgent"].P99())
	}
}

// Load: ten times the usual rate of least-rank work of 55 ms. Guards against urgent work of
// 11 ms that waits for it, and against a kind that starves.
func TestTenfoldLeastRankFlood(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		calm := play(t, "calm", ordered(urgentKind, middleKind, leastKind), seed)
		flood := play(t, "flood", ordered(urgentKind, middleKind, leastKind.times(10)), seed)
		play(t, "flood, 3 gateways", unordered(urgentKind, middleKind, leastKind.times(10)), seed)
		ratio := float64(flood.Kinds["urgent"].P99()) / float64(calm.Kinds["urgent"].P99())
		assert.Assert(t, ratio <= 1.5, "urgent p99 is %.2f times the calm one", ratio)
		assert.Equal(t, flood.Kinds["middle"].Refused, 0)
		assert.Assert(t, flood.Kinds["least"].Answered >= calm.Kinds["least"].Answered)
	}
}

// Load: one workspace at seven times its usual demand, in all kinds. Guards against others
// within their part that lose requests, in any rank.
func TestWorkspaceAtSevenTimesItsDemand(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		sc := unordered(urgentKind, middleKind, leastKind)
		sc.Workspaces = workspaces(7)
		play(t, "by caller", sc, seed)
		sc = ordered(urgentKind, middleKind, leastKind)
		sc.Workspaces, sc.ByWorkspace = workspaces(7), true
		r := play(t, "by workspace", sc, seed)
		offered, lost := 0, 0
		for name, w := range r.Workspaces {
			if name != "workspace-1" {
				offered, lost = offered+w.Offered, lost+w.Refused
			}
		}
		assert.Assert(t, float64(lost) < 0.01*float64(offered), "%d of %d", lost, offered)
	}
}

// Load: the same workspace, and ten times the usual rate of the least rank, with 88 entry
// instances. Guards against entry instances that refuse others along with the flood or
// leave slots unused.
func TestEntryRefusesTheFlood(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		sc := ordered(urgentKind, middleKind, leastKind)
		sc.Workspaces, sc.ByWorkspace, sc.Entries = workspaces(7), true, 88
		r := play(t, "workspace, 88 entries", sc, seed)
		offered, lost := 0, 0
		for name, w := range r.Workspaces {
			if name != "workspace-1" {
				offered, lost = offered+w.Offered, lost+w.Refused
			}
		}
		t.Logf("attempts refused at the entry %d", r.RefusedAtEntry)
		assert.Assert(t, float64(lost) < 0.01*float64(offered), "%d of %d", lost, offered)
		without := play(t, "least rank", ordered(urgentKind, middleKind, leastKind.times(10)), seed)
		sc = ordered(urgentKind, middleKind, leastKind.times(10))
		sc.Entries = 88
		with := play(t, "least rank, 88 entries", sc, seed)
		t.Logf("attempts refused at the entry %d", with.RefusedAtEntry)
		assert.Equal(t, with.Kinds["urgent"].Refused+with.Kinds["middle"].Refused, 0)
		assert.Assert(t, with.work() > without.work()*97/100)
	}
}

// Load: 2.5 times the usual rate of one kind, of which a third of the callers leave after
// half of the objective. Guards against slot time that is spent on callers who have left.
func TestDepartedCallersUseNoSlots(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		kinds := []Kind{urgentKind, middleKind.times(2.5).leaving(0.33), leastKind}
		before := play(t, "before", unordered(kinds...), seed)
		kept := ordered(kinds...)
		kept.CancelDeparted = false
		play(t, "work of departed callers kept", kept, seed)
		after := play(t, "after", ordered(kinds...), seed)
		assert.Assert(t, after.Kinds["middle"].Departed < before.Kinds["middle"].Departed/20)
		assert.Assert(t, after.Kinds["middle"].InObjective > before.Kinds["middle"].InObjective)
	}
}

// Load: orders with an objective of 250 ms and history reads with 1,500 ms in one rank and
// workspace, where the history reads are at three times their usual rate. Guards against
// history reads that delay orders, and against history reads that starve.
func TestDueTimeWithinWorkspace(t *testing.T) {
	t.Parallel()
	orders := Kind{Name: "orders", Rank: schedule.Middle, Rate: 200, Work: 11 * ms, Objective: 250 * ms, Timeout: time.Second}
	history := Kind{Name: "history", Rank: schedule.Middle, Rate: 360, Work: 55 * ms, Objective: 1500 * ms, Timeout: 3 * time.Second}
	for _, seed := range seeds {
		sc := ordered(orders, history)
		sc.Workspaces, sc.ByWorkspace = []WorkspaceLoad{{Name: "workspace-0", Weight: 1, Rate: 1}}, true
		sc.Scheduler.QueueTime[schedule.Middle] = 450 * ms
		byArrival := sc
		byArrival.ByDue = false
		before, after := play(t, "by arrival", byArrival, seed), play(t, "by due time", sc, seed)
		in := func(k *KindResult) float64 { return float64(k.InObjective) / float64(k.Offered) }
		assert.Assert(t, in(before.Kinds["orders"]) < 0.9, "the load must delay orders in order of arrival")
		assert.Assert(t, in(after.Kinds["orders"]) > 0.95 && refused(after.Kinds["orders"]) < 0.01, "%.3f", in(after.Kinds["orders"]))
		// History reads use the rest of the slots' time.
		assert.Assert(t, after.Workspaces["workspace-0"].Work > before.Workspaces["workspace-0"].Work*98/100)
		assert.Assert(t, float64(after.Kinds["history"].InObjective) > 0.95*float64(after.Kinds["history"].Answered))
	}
}
