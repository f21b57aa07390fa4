package owner

import (
	"context"
	"time"

	"github.com/papayarail/papayarail/core/verdict"
)

const quiescePollInterval = 5 * time.Millisecond

// Quiesce refuses new writes and transactions with verdict not_run and returns
// when those in progress have ended. Writes are accepted again in a new term or
// after limit, so that a coordinator that crashes in between does not block
// them forever. The error is DeadlineUnreachable if ctx ends first.
func (u *Upstream) Quiesce(ctx context.Context, limit time.Duration) error {
	u.mu.Lock()
	u.quiescedUntil = max(u.quiescedUntil, u.now()+limit)
	u.mu.Unlock()
	ticker := time.NewTicker(quiescePollInterval)
	defer ticker.Stop()
	for !u.writesEnded() {
		select {
		case <-ctx.Done():
			return verdict.New(verdict.DeadlineUnreachable, "writes on upstream %q have not ended in time", u.cfg.Name)
		case <-ticker.C:
		}
	}
	return nil
}

func (u *Upstream) writesEnded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runningWrites == 0 && len(u.transactions) == 0
}

// refusesWrites reports whether new writes are refused. u.mu must be held.
func (u *Upstream) refusesWrites() bool { return u.now() < u.quiescedUntil }
