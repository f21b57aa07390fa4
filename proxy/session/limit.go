package session

import (
	"time"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/statement"
)

// Limiter admits the operations of workspaces within their limits.
type Limiter interface {
	// Admit waits for a permit for one operation: briefly, or up to deadline while a pause
	// without permits is known to end soon. The
	// error has the verdict not_run and the time after which the caller should retry.
	// refund gives the permit back if the operation has not run on a member and will not.
	Admit(workspace string, deadline time.Duration) (refund func(), err error)
}

// runLimited runs one operation, a single statement or the first statement of a
// transaction, if the limit of its workspace allows it. All attempts of the operation
// count once; it does not count if no member may have run it.
func (s *Session) runLimited(workspace string, deadline time.Duration, run func() statement.Reply) statement.Reply {
	if s.env.Limiter == nil || workspace == "" {
		return run()
	}
	s.failedAttempts, s.lastGateway = s.failedAttempts[:0], "" // of an earlier operation
	refund, err := s.env.Limiter.Admit(workspace, deadline)
	if err != nil {
		return refused(err)
	}
	s.reachedMember = false
	reply := run()
	if reply.Err != nil && !s.reachedMember && verdict.Of(reply.Err) == verdict.NotRun {
		refund()
	}
	return reply
}
