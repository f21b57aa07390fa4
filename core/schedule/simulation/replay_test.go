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

func logFigures(t *testing.T, f Result) {
	t.Helper()
	for i, r := range f.Ranks {
		t.Logf("%s/%s seed %d %-6s offered %d answered %d late %d refused %d at door %d share %.3f held %d "+
			"wait p50 %s p99 %s response p50 %s p99 %s", f.Scenario, f.Policy, f.Seed, schedule.Rank(i), r.Offered, r.Answered,
			r.Late, r.Refused, r.RefusedAtEntry, r.Share, r.RefusedLate, r.WaitP50, r.WaitP99, r.ResponseP50, r.ResponseP99)
	}
	t.Logf("%s/%s seed %d jain %.4f raw %.4f", f.Scenario, f.Policy, f.Seed, f.Jain, f.RawJain)
}

// play runs one minute of a scenario.
func play(sc Scenario, seed uint64) Result {
	sc.Duration = time.Minute
	return Run(sc, seed)
}

// Guards the targets of section 3 under a tenfold flood of lookups, also if
// lookups are slow.
func TestFloodLookups(t *testing.T) {
	t.Parallel()
	for _, scenario := range [][2]func(Policy) Scenario{{Quiet, FloodLookups}, {QuietSlow, FloodSlowLookups}} {
		for _, seed := range seeds {
			quiet, flood := play(scenario[0](Papayarail), seed), play(scenario[1](Papayarail), seed)
			naive := play(scenario[1](FIFO), seed)
			logFigures(t, quiet)
			logFigures(t, flood)
			logFigures(t, naive)
			kept := func(f Result, r schedule.Rank) float64 { return f.Ranks[r].Rate / quiet.Ranks[r].Rate }
			assert.Assert(t, kept(flood, schedule.Urgent) >= 0.99)
			assert.Assert(t, kept(flood, schedule.Middle) >= 0.95)
			assert.Assert(t, kept(flood, schedule.Least) >= 1)
			ratio := float64(flood.Ranks[schedule.Urgent].ResponseP99) / float64(quiet.Ranks[schedule.Urgent].ResponseP99)
			t.Logf("urgent response p99 is %.3f times quiet", ratio)
			assert.Assert(t, ratio <= 1.5, "ratio %.3f", ratio)
			assert.Assert(t, kept(naive, schedule.Urgent) < 0.9, "the load must be a flood for the naive baseline")
			for r, f := range flood.Ranks {
				assert.Assert(t, float64(f.Late) <= 0.001*float64(f.Offered), "rank %d: %d late", r, f.Late)
				assert.Assert(t, float64(f.RefusedLate) <= 0.01*float64(f.Offered), "rank %d: %d held", r, f.RefusedLate)
			}
		}
	}
}

// Guards the targets of section 3 under a tenfold flood of urgent orders.
func TestFloodUrgent(t *testing.T) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			flood, naive := play(FloodUrgent(Papayarail), seed), play(FloodUrgent(FIFO), seed)
			logFigures(t, flood)
			logFigures(t, naive)
			assert.Assert(t, flood.RawJain >= 0.95 && flood.Jain >= 0.95)
			assert.Assert(t, naive.RawJain < 0.9, "the load must be unfair for the naive baseline")
			floor := FloodUrgent(Papayarail).Floor
			for _, r := range []schedule.Rank{schedule.Middle, schedule.Least} {
				assert.Assert(t, flood.Ranks[r].Share >= 0.95*floor[r], "%s has %.4f", r, flood.Ranks[r].Share)
			}
			for r, f := range flood.Ranks {
				assert.Assert(t, float64(f.Late) <= 0.01*float64(f.Offered), "rank %d: %d late", r, f.Late)
				assert.Assert(t, float64(f.RefusedLate) <= 0.01*float64(f.Offered), "rank %d: %d held", r, f.RefusedLate)
			}
		})
	}
}

// Guards against a few noisy urgent callers that take the service of modest ones.
func TestFloodCallers(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		flood, naive := play(FloodCallers(Papayarail), seed), play(FloodCallers(FIFO), seed)
		logFigures(t, flood)
		logFigures(t, naive)
		assert.Assert(t, flood.Jain >= 0.95, "jain %.4f", flood.Jain)
		assert.Assert(t, naive.Jain < 0.9, "the load must be unfair for the naive baseline")
	}
}

// Guards against a door that costs throughput or fairness, or that lets most of
// a flood through to the owner.
func TestDoorKeepsTargets(t *testing.T) {
	t.Parallel()
	for _, sc := range []Scenario{FloodLookups(Papayarail), FloodUrgent(Papayarail), FloodCallers(Papayarail)} {
		for _, seed := range seeds {
			guarded := sc
			guarded.AdmissionControl = true
			open, shut := play(sc, seed), play(guarded, seed)
			logFigures(t, shut)
			assert.Assert(t, shut.Jain >= 0.95 && (sc.Name == "flood-callers" || shut.RawJain >= 0.95))
			for r, f := range shut.Ranks {
				// A floor is a share of the slots' time; the few requests of the
				// least rank vary by more than 2% in number.
				assert.Assert(t, f.Share >= 0.98*open.Ranks[r].Share, "%s rank %d: share %.4f of %.4f", sc.Name, r, f.Share, open.Ranks[r].Share)
				assert.Assert(t, f.Refused < f.Offered/2 || f.RefusedAtEntry > f.Refused/2, "%s rank %d: %d of %d refused at the door",
					sc.Name, r, f.RefusedAtEntry, f.Refused)
			}
		}
	}
}

// Guards against figures that cannot be reproduced from their seed.
func TestRunIsDeterministic(t *testing.T) {
	sc := FloodUrgent(Papayarail)
	sc.Duration /= 20
	assert.DeepEqual(t, Run(sc, 9), Run(sc, 9))
}

// Guards against come-back times so short that callers use up their attempts
// while the burst lasts, and against a door that sends them away in vain.
func TestBurstOfUrgentRequestsIsAnswered(t *testing.T) {
	t.Parallel()
	for _, door := range []bool{false, true} {
		for seed := uint64(1); seed <= 5; seed++ {
			sc := BurstUrgent(Papayarail)
			sc.AdmissionControl = door
			flood, naive := Run(sc, seed), Run(BurstUrgent(FIFO), seed)
			logFigures(t, flood)
			logFigures(t, naive)
			urgent, baseline := flood.Ranks[schedule.Urgent], naive.Ranks[schedule.Urgent]
			assert.Assert(t, urgent.Answered >= baseline.Answered, "door %t seed %d: %d answered, %d by the baseline", door, seed, urgent.Answered, baseline.Answered)
		}
	}
}

// Guards urgent and middle requests against lookups that other instances have
// sent to the same member, which executes in order of arrival; and the rate of
// lookups that it executes.
func TestLimitsKeepTheMembersQueueShort(t *testing.T) {
	t.Parallel()
	limit := quota.ForInstance(16, 2, 1.0/6).SlotLimit
	for _, seed := range seeds {
		limited, before := play(SharedMember(Papayarail, limit), seed), play(SharedMember(Papayarail, [schedule.NumRanks]int{}), seed)
		logFigures(t, before)
		logFigures(t, limited)
		for _, r := range []schedule.Rank{schedule.Urgent, schedule.Middle} {
			now, was := limited.Ranks[r], before.Ranks[r]
			assert.Assert(t, now.Answered >= was.Answered, "%s: %d answered, %d before", r, now.Answered, was.Answered)
			assert.Assert(t, now.ResponseP50 < was.ResponseP50*7/10, "%s: p50 %s, %s before", r, now.ResponseP50, was.ResponseP50)
		}
		total := func(f Result) (n int) {
			for _, r := range f.Ranks {
				n += r.Answered
			}
			return n
		}
		assert.Assert(t, float64(total(limited)) >= 0.97*float64(total(before)), "%d answered, %d before", total(limited), total(before))
	}
}
