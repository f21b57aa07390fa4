package owner

import (
	"context"
	"time"

	"github.com/papayarail/papayarail/core/verdict"
)

const quiescePoll = 5 * time.Millisecond

// Quiesce refuses new writes and transactions as not run, and returns when those
// in progress have ended. The refusal ends with a new term or after limit, so
// that a coordinator that dies in between does not stop writes for good.
func (u *Upstream) Quiesce(ctx context.Context, limit time.Duration) error {
	u.mu.Lock()
	u.quietUntil = max(u.quietUntil, u.now()+limit)
	u.mu.Unlock()
	ticker := time.NewTicker(quiescePoll)
	defer ticker.Stop()
	for !u.quiet() {
		select {
		case <-ctx.Done():
			return verdict.New(verdict.DeadlineUnreachable, "writes on upstream %q have not ended in time", u.cfg.Name)
		case <-ticker.C:
		}
	}
	return nil
}

func (u *Upstream) quiet() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.writes == 0 && len(u.txs) == 0
}

// refusesWrites reports whether new writes are refused; the caller holds mu.
func (u *Upstream) refusesWrites() bool { return u.now() < u.quietUntil }
