package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/statement"
)

// fakeLimiter counts admissions and refunds.
type fakeLimiter struct {
	err               error
	admitted, refunds int
}

func (f *fakeLimiter) Admit(string, time.Duration) (func(), error) {
	if f.err == nil {
		f.admitted++
	}
	return func() { f.refunds++ }, f.err
}

// Guards the count of operations: a refusal must run nothing, a permit must be given back
// only if no member may have run the operation, and callers without a workspace must not
// be counted.
func TestOperationsCountOnce(t *testing.T) {
	notRun := verdict.New(verdict.Overloaded, "full")
	for name, c := range map[string]struct {
		workspace               string
		refusal, err            error
		reached                 bool
		ran, admitted, refunded int
	}{
		"success":             {"w", nil, nil, true, 1, 1, 0},
		"not run":             {"w", nil, notRun, false, 1, 1, 1},
		"an attempt was sent": {"w", nil, notRun, true, 1, 1, 0},
		"outcome unknown":     {"w", nil, verdict.New(verdict.OutcomeUnknown, "no answer"), true, 1, 1, 0},
		"refused by a member": {"w", nil, &statement.UpstreamError{Reason: statement.Failed}, true, 1, 1, 0},
		"over the limit":      {"w", verdict.New(verdict.RateLimited, "limit"), nil, false, 0, 0, 0},
		"without a workspace": {"", verdict.New(verdict.RateLimited, "limit"), nil, true, 1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := &fakeLimiter{err: c.refusal}
			s := New(Env{Limiter: limiter}, nil, Client{Address: "s"}, "d")
			ran := 0
			reply := s.runLimited(c.workspace, time.Second, func() statement.Reply {
				ran++
				s.reachedMember = s.reachedMember || c.reached
				return statement.Reply{Err: c.err}
			})
			assert.Equal(t, ran, c.ran)
			assert.Equal(t, limiter.admitted, c.admitted)
			assert.Equal(t, limiter.refunds, c.refunded)
			if c.ran == 0 {
				assert.Equal(t, verdict.Of(reply.Err), verdict.NotRun)
			}
		})
	}
}
