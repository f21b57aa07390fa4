package simulation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
)

var seeds = []uint64{1, 2, 3}

func logResult(t *testing.T, result Result) {
	t.Helper()
	for i, r := range result.Ranks {
		t.Logf("%s/%s seed %d %-6s offered %d answered %d late %d refused %d at entry %d share %.3f refused late %d "+
			"wait p50 %s p99 %s response p50 %s p99 %s", result.Scenario, result.Policy, result.Seed, schedule.Rank(i), r.Offered, r.Answered,
			r.Late, r.Refused, r.RefusedAtEntry, r.Share, r.RefusedLate, r.WaitP50, r.WaitP99, r.ResponseP50, r.ResponseP99)
	}
	t.Logf("%s/%s seed %d jain %.4f raw %.4f", result.Scenario, result.Policy, result.Seed, result.Jain, result.RawJain)
}

// runMinute runs one minute of a scenario.
func runMinute(sc Scenario, seed uint64) Result {
	sc.Duration = time.Minute
	return Run(sc, seed)
}

// Guards against a tenfold load of the least urgent rank, with ordinary or slow requests,
// that costs other ranks the targets of section 3 of docs/design.md.
func TestFloodLookups(t *testing.T) {
	t.Parallel()
	for _, scenario := range [][2]func(Policy) Scenario{{Quiet, FloodLookups}, {QuietSlow, FloodSlowLookups}} {
		for _, seed := range seeds {
			quiet, flood := runMinute(scenario[0](Papayarail), seed), runMinute(scenario[1](Papayarail), seed)
			fifo := runMinute(scenario[1](FIFO), seed)
			logResult(t, quiet)
			logResult(t, flood)
			logResult(t, fifo)
			kept := func(result Result, r schedule.Rank) float64 { return result.Ranks[r].Rate / quiet.Ranks[r].Rate }
			assert.Assert(t, kept(flood, schedule.Urgent) >= 0.99)
			assert.Assert(t, kept(flood, schedule.Middle) >= 0.95)
			assert.Assert(t, kept(flood, schedule.Least) >= 1)
			ratio := float64(flood.Ranks[schedule.Urgent].ResponseP99) / float64(quiet.Ranks[schedule.Urgent].ResponseP99)
			t.Logf("urgent response p99 is %.3f times quiet", ratio)
			assert.Assert(t, ratio <= 1.5, "ratio %.3f", ratio)
			assert.Assert(t, kept(fifo, schedule.Urgent) < 0.9, "the load must overload the FIFO baseline")
			for r, result := range flood.Ranks {
				assert.Assert(t, float64(result.Late) <= 0.001*float64(result.Offered), "rank %d: %d late", r, result.Late)
				assert.Assert(t, float64(result.RefusedLate) <= 0.01*float64(result.Offered), "rank %d: %d refused late", r, result.RefusedLate)
			}
		}
	}
}

// Guards against a tenfold load of urgent requests that costs fairness among their
// callers or the floors of other ranks, targets of section 3 of docs/design.md.
func TestFloodUrgent(t *testing.T) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			flood, fifo := runMinute(FloodUrgent(Papayarail), seed), runMinute(FloodUrgent(FIFO), seed)
			logResult(t, flood)
			logResult(t, fifo)
			assert.Assert(t, flood.RawJain >= 0.95 && flood.Jain >= 0.95)
			assert.Assert(t, fifo.RawJain < 0.9, "the load must be unfair for the FIFO baseline")
			floor := FloodUrgent(Papayarail).Floor
			for _, r := range []schedule.Rank{schedule.Middle, schedule.Least} {
				assert.Assert(t, flood.Ranks[r].Share >= 0.95*floor[r], "%s has %.4f", r, flood.Ranks[r].Share)
			}
			for r, result := range flood.Ranks {
				assert.Assert(t, float64(result.Late) <= 0.01*float64(result.Offered), "rank %d: %d late", r, result.Late)
				assert.Assert(t, float64(result.RefusedLate) <= 0.01*float64(result.Offered), "rank %d: %d refused late", r, result.RefusedLate)
			}
		})
	}
}

// Guards against a few urgent callers with a high rate that reduce the service of others
// with a low rate.
func TestFloodCallers(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		flood, fifo := runMinute(FloodCallers(Papayarail), seed), runMinute(FloodCallers(FIFO), seed)
		logResult(t, flood)
		logResult(t, fifo)
		assert.Assert(t, flood.Jain >= 0.95, "jain %.4f", flood.Jain)
		assert.Assert(t, fifo.Jain < 0.9, "the load must be unfair for the FIFO baseline")
	}
}

// Guards against an AdmissionController that reduces throughput or fairness, or that
// passes most of an overload on to the owner.
func TestAdmissionControlKeepsTargets(t *testing.T) {
	t.Parallel()
	for _, sc := range []Scenario{FloodLookups(Papayarail), FloodUrgent(Papayarail), FloodCallers(Papayarail)} {
		for _, seed := range seeds {
			controlled := sc
			controlled.AdmissionControl = true
			without, with := runMinute(sc, seed), runMinute(controlled, seed)
			logResult(t, with)
			assert.Assert(t, with.Jain >= 0.95 && (sc.Name == "flood-callers" || with.RawJain >= 0.95))
			for r, result := range with.Ranks {
				// A floor is a share of the slots' time. The number of requests is no measure:
				// that of the least urgent rank is so low that it varies by more than 2%.
				assert.Assert(t, result.Share >= 0.98*without.Ranks[r].Share, "%s rank %d: share %.4f of %.4f", sc.Name, r, result.Share, without.Ranks[r].Share)
				assert.Assert(t, result.Refused < result.Offered/2 || result.RefusedAtEntry > result.Refused/2, "%s rank %d: %d of %d refused at the entry",
					sc.Name, r, result.RefusedAtEntry, result.Refused)
			}
		}
	}
}

// Guards against results that cannot be reproduced from their seed.
func TestRunIsDeterministic(t *testing.T) {
	sc := FloodUrgent(Papayarail)
	sc.Duration /= 20
	assert.DeepEqual(t, Run(sc, 9), Run(sc, 9))
}

// Guards against retry delays so short that callers use up their attempts while a burst
// lasts, and against an AdmissionController that refuses requests needlessly.
func TestBurstOfUrgentRequestsIsAnswered(t *testing.T) {
	t.Parallel()
	for _, admission := range []bool{false, true} {
		for seed := uint64(1); seed <= 5; seed++ {
			sc := BurstUrgent(Papayarail)
			sc.AdmissionControl = admission
			flood, fifo := Run(sc, seed), Run(BurstUrgent(FIFO), seed)
			logResult(t, flood)
			logResult(t, fifo)
			urgent, baseline := flood.Ranks[schedule.Urgent], fifo.Ranks[schedule.Urgent]
			assert.Assert(t, urgent.Answered >= baseline.Answered, "admission control %t seed %d: %d answered, %d by the baseline", admission, seed, urgent.Answered, baseline.Answered)
		}
	}
}

// Guards against slot limits under which requests of other instances' least urgent rank
// delay urgent and middle requests at a member that executes in order of arrival, or
// under which the member executes fewer requests in all.
func TestSlotLimitsKeepMemberQueueShort(t *testing.T) {
	t.Parallel()
	limit := quota.ForInstance(16, 2, 1.0/6).SlotLimit
	for _, seed := range seeds {
		limited, unlimited := runMinute(SharedMember(Papayarail, limit), seed), runMinute(SharedMember(Papayarail, [schedule.NumRanks]int{}), seed)
		logResult(t, unlimited)
		logResult(t, limited)
		for _, r := range []schedule.Rank{schedule.Urgent, schedule.Middle} {
			got, want := limited.Ranks[r], unlimited.Ranks[r]
			assert.Assert(t, got.Answered >= want.Answered, "%s: %d answered, %d without limits", r, got.Answered, want.Answered)
			assert.Assert(t, got.ResponseP50 < want.ResponseP50*7/10, "%s: p50 %s, %s without limits", r, got.ResponseP50, want.ResponseP50)
		}
		total := func(result Result) (n int) {
			for _, r := range result.Ranks {
				n += r.Answered
			}
			return n
		}
		assert.Assert(t, float64(total(limited)) >= 0.97*float64(total(unlimited)), "%d answered, %d without limits", total(limited), total(unlimited))
	}
}
