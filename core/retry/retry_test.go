package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/verdict"
)

// Guards against retry storms, a second execution of a request that may have run and is
// not repeatable, and retries that start after the deadline.
func TestBudgetAndVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New(Config{Burst: 5})
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest()
				requests++
				continue
			}
			v := verdict.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict"))
			repeatable := rapid.Bool().Draw(t, "repeatable")
			attempt := rapid.IntRange(1, 6).Draw(t, "attempt")
			retryAfter := time.Duration(rapid.IntRange(0, 100).Draw(t, "after")) * time.Millisecond
			retry, delay := budget.Decide(v, repeatable, attempt, retryAfter, 90*time.Millisecond, 0)
			if !retry {
				continue
			}
			retries++
			assert.Assert(t, v == verdict.NotRun || (v == verdict.MayHaveRun && repeatable))
			assert.Assert(t, attempt < DefaultMaxAttempts)
			assert.Assert(t, delay >= retryAfter && delay > 0 && delay < 90*time.Millisecond)
		}
		assert.Assert(t, float64(retries) <= 5+DefaultRatio*float64(requests)+1e-9)
	})
}

// Guards against callers that retry at the same time after a common failure.
func TestBackoffGrowsWithJitter(t *testing.T) {
	budget := New(Config{Burst: 1000})
	for attempt, limit := 1, DefaultBaseDelay; attempt < DefaultMaxAttempts; attempt, limit = attempt+1, limit*2 {
		seen := map[time.Duration]bool{}
		for range 50 {
			retry, delay := budget.Decide(verdict.NotRun, false, attempt, 0, 0, 0)
			assert.Assert(t, retry && delay >= limit/2 && delay <= limit, "attempt %d: %s", attempt, delay)
			seen[delay] = true
		}
		assert.Assert(t, len(seen) > 40)
	}
}

func BenchmarkDecide(b *testing.B) {
	budget := New(Config{Ratio: 1})
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordRequest()
		budget.Decide(verdict.NotRun, false, 1, 0, 0, 0)
	}
}
