package lag_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/lag"
)

const ms = time.Millisecond

// replica is a member whose lag changes with time.
type replica func(now time.Duration) time.Duration

// before is the estimate that this package replaced: it knew no lag above 2 s, and
// every read asked.
type before struct{ lag time.Duration }

func (b *before) Behind(age time.Duration) bool   { return age < b.lag }
func (b *before) ProbeDue(time.Duration) bool     { return true }
func (b *before) RecordProbe(time.Duration)       {}
func (b *before) RecordMissing(age time.Duration) { b.lag = min(max(b.lag, age)*2, 2*time.Second) }
func (b *before) RecordApplied(age time.Duration) {
	if age < b.lag {
		b.lag -= (b.lag - age) / 8
	}
}

type estimate interface {
	Behind(age time.Duration) bool
	ProbeDue(now time.Duration) bool
	RecordProbe(now time.Duration)
	RecordMissing(age time.Duration)
	RecordApplied(age time.Duration)
}

// play sends reads of mixed ages, perSecond of them, and counts those that asked in
// vain, those that the replica executed, and those that it could have executed.
func play(e estimate, r replica, perSecond int, ages []time.Duration, duration time.Duration) (vain, executed, possible int) {
	step := time.Second / time.Duration(perSecond)
	for i := 0; time.Duration(i)*step < duration; i++ {
		now, age := time.Duration(i+1)*step, ages[i%len(ages)]
		able := age >= r(now)
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
			vain++
		}
	}
	return vain, executed, possible
}

// lagging falls behind by high from 5 s to 35 s.
func lagging(low, high time.Duration) replica {
	return func(now time.Duration) time.Duration {
		if now > 5*time.Second && now < 35*time.Second {
			return high
		}
		return low
	}
}

// Guards the reads of a group whose replicas lag by more than callers accept for half
// a minute (derwent-press: 5,877 of 26,138 arrivals asked in vain), at other rates,
// lags and bounds too: ten a second ask in vain while the lag lasts, and a replica that
// has caught up is used.
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
		asked, _, _ := play(&before{lag: 30 * ms}, lagging(test.low, test.high), test.perSecond, test.ages, 60*time.Second)
		vain, executed, possible := play(&lag.Estimator{}, lagging(test.low, test.high), test.perSecond, test.ages, 60*time.Second)
		total := test.perSecond * 60
		t.Logf("%d reads: %d in vain, %d before; %d of %d executed", total, vain, asked, executed, possible)
		assert.Assert(t, vain <= 30*10+5 && vain <= asked, "%d reads in vain", vain)
		assert.Assert(t, executed >= possible*97/100, "%d of %d executed", executed, possible)
	}
}

// Guards reads that follow a write of their own session closely, beside reads that
// accept old data: the replica lacks what the former need and has what the latter do.
func TestMixedAges(t *testing.T) {
	var e lag.Estimator
	_, executed, possible := play(&e, lagging(60*ms, 60*ms), 100, []time.Duration{20 * ms, 2500 * ms, 2500 * ms}, 20*time.Second)
	assert.Assert(t, executed >= possible*95/100, "%d of %d executed", executed, possible)
}
