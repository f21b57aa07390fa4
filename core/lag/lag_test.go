package lag_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/lag"
)

const ms = time.Millisecond

// lagProfile is the lag of a replica as a function of time.
type lagProfile func(now time.Duration) time.Duration

// probeAlways is the estimator that this package replaced. Its lag stays below 2 s, and
// every read is sent to the replica.
type probeAlways struct{ lag time.Duration }

func (p *probeAlways) Behind(age time.Duration) bool   { return age < p.lag }
func (p *probeAlways) ProbeDue(time.Duration) bool     { return true }
func (p *probeAlways) RecordProbe(time.Duration)       {}
func (p *probeAlways) RecordMissing(age time.Duration) { p.lag = min(max(p.lag, age)*2, 2*time.Second) }
func (p *probeAlways) RecordApplied(age time.Duration) {
	if age < p.lag {
		p.lag -= (p.lag - age) / 8
	}
}

type estimator interface {
	Behind(age time.Duration) bool
	ProbeDue(now time.Duration) bool
	RecordProbe(now time.Duration)
	RecordMissing(age time.Duration)
	RecordApplied(age time.Duration)
}

// simulate sends perSecond reads a second for positions of these ages in turn. It counts
// the reads that the replica rejected, those that it executed, and those that it could
// have executed.
func simulate(e estimator, profile lagProfile, perSecond int, ages []time.Duration, duration time.Duration) (rejected, executed, possible int) {
	step := time.Second / time.Duration(perSecond)
	for i := 0; time.Duration(i)*step < duration; i++ {
		now, age := time.Duration(i+1)*step, ages[i%len(ages)]
		able := age >= profile(now)
		if able {
			possible++
		}
		if e.Behind(age) {
			if !e.ProbeDue(now) {
				continue
			}
			e.RecordProbe(now)
		}
		if able {
			e.RecordApplied(age)
			executed++
		} else {
			e.RecordMissing(age)
			rejected++
		}
	}
	return rejected, executed, possible
}

// lagging returns a lag of high from 5 s to 35 s, and of low before and after.
func lagging(low, high time.Duration) lagProfile {
	return func(now time.Duration) time.Duration {
		if now > 5*time.Second && now < 35*time.Second {
			return high
		}
		return low
	}
}

// Guards against reads sent without success to replicas that lag by more than callers
// accept for half a minute (derwent-press: 5,877 of 26,138 reads that arrived at members),
// and against a replica that is not used after it has caught up. At other rates, lags and
// staleness bounds too, at most ten reads a second probe a lagging replica.
func TestLaggingReplica(t *testing.T) {
	for _, test := range []struct {
		perSecond int
		ages      []time.Duration
		low, high time.Duration
	}{
		{100, []time.Duration{2500 * ms, 2500 * ms, 2500 * ms, 1500 * ms}, 60 * ms, 7 * time.Second},
		{500, []time.Duration{2500 * ms, 1500 * ms}, 60 * ms, 30 * time.Second},
		{50, []time.Duration{10 * time.Second}, 8 * ms, 20 * time.Second},
		{1000, []time.Duration{200 * ms}, 2 * ms, 700 * ms},
	} {
		baseline, _, _ := simulate(&probeAlways{lag: 30 * ms}, lagging(test.low, test.high), test.perSecond, test.ages, 60*time.Second)
		rejected, executed, possible := simulate(&lag.Estimator{}, lagging(test.low, test.high), test.perSecond, test.ages, 60*time.Second)
		total := test.perSecond * 60
		t.Logf("%d reads: %d rejected, %d by the baseline; %d of %d executed", total, rejected, baseline, executed, possible)
		assert.Assert(t, rejected <= 30*10+5 && rejected <= baseline, "%d reads rejected", rejected)
		assert.Assert(t, executed >= possible*97/100, "%d of %d executed", executed, possible)
	}
}

// Guards against reads that need a recent position, as after a write of the same session,
// and keep reads that accept old data off a replica that can execute them.
func TestMixedAges(t *testing.T) {
	var e lag.Estimator
	_, executed, possible := simulate(&e, lagging(60*ms, 60*ms), 100, []time.Duration{20 * ms, 2500 * ms, 2500 * ms}, 20*time.Second)
	assert.Assert(t, executed >= possible*95/100, "%d of %d executed", executed, possible)
}
