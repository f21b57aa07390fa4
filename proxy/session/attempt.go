package session

import (
	"errors"
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// maxAttempts limits the attempts of one statement. Three members and a second
	// attempt on the primary need four.
	maxAttempts = 5
	// firstReadTimeout limits the first attempt of a read, unless the response time
	// objective of its route is longer, so that another member can still answer. It
	// includes the time in queues, so that a read that has timed out is not executed;
	// for a strict read it limits the execution only.
	firstReadTimeout = 300 * time.Millisecond
)

// departureCheckAge is the age of a statement from which the caller's connection is checked
// before its first attempt. A younger one is attempted without a system call.
const departureCheckAge = 20 * time.Millisecond

// outcome is the outcome of one attempt.
type outcome uint8

const (
	answered   outcome = iota // the answer is final
	notRun                    // the statement had no effect
	unanswered                // the statement was sent and may have run
)

// runSingle runs an operation outside of a transaction.
func (s *Session) runSingle(op operation, arrival time.Duration) statement.Reply {
	r, g, err := s.authorize()
	if err != nil {
		return refused(err)
	}
	reqs := s.requirements(r, arrival, op.writes, !op.writes)
	reply := s.runLimited(s.workspace.Name, reqs.Deadline, func() statement.Reply { return s.runOnMembers(g, op, reqs) })
	s.countStatement(r, reply.Err, s.env.Clock()-arrival)
	if reply.Err != nil {
		if !cancelled(reply.Err) {
			s.logFailure(g, op, r, reqs, reply.Err)
		}
	} else if op.writes {
		s.rememberWrite(r.Service, reply.Position)
	}
	return reply
}

// runOnMembers runs an operation on one member after the other until one gives a final
// answer. A write without an answer is not tried again.
func (s *Session) runOnMembers(g *group.Group, op operation, reqs group.Requirements) statement.Reply {
	return s.tryMembers(g, op, reqs, func(c group.Choice, tried int) (statement.Reply, outcome) {
		reply, result := s.attempt(g, c, op, reqs, tried)
		if result == unanswered && op.writes {
			return refused(verdict.New(verdict.OutcomeUnknown, "upstream %s did not answer the write: %v", c.Member().ID, reply.Err)), answered
		}
		return reply, result
	})
}

// tryMembers runs an attempt on one member after the other until one gives a final
// answer. tried is the number of members excluded after a failed attempt.
func (s *Session) tryMembers(g *group.Group, op operation, reqs group.Requirements, attempt func(c group.Choice, tried int) (statement.Reply, outcome)) statement.Reply {
	s.failedAttempts = s.failedAttempts[:0]
	excluded := make(map[*upstream.Upstream]bool)
	var last error
	for n := 1; n <= maxAttempts; n++ {
		choice, err := g.Choose(reqs, excluded)
		if err != nil {
			return refused(preferAttemptError(last, err))
		}
		// The first attempt begins at once, unless Choose has waited for a primary.
		if n > 1 || s.env.Clock()-reqs.Arrival > departureCheckAge {
			if err := s.checkCaller(); err != nil {
				return refused(err)
			}
		}
		reply, result := attempt(choice, len(excluded))
		s.reachedMember = s.reachedMember || result != notRun
		if cancelled(reply.Err) {
			return reply
		}
		if result == answered {
			if reply.Err == nil && len(s.failedAttempts) > 0 {
				s.logRetried(op, choice)
			}
			return reply
		}
		last = reply.Err
		if result == notRun {
			last = notRunError(last)
		}
		if s.env.Clock() >= reqs.Deadline {
			break
		}
		s.recordAttempt(choice, reply.Err)
		reason, failed := statement.ReasonOf(reply.Err)
		switch {
		case failed && reason == statement.ReadOnly && choice.Primary:
			// The member is not excluded: the group learns the new primary during the pause.
			g.PrimaryDemoted(choice.Upstream)
			s.pause(reqs, demotedRetryDelay)
		case !choice.Primary || !reqs.Writes:
			excluded[choice.Upstream] = true
			if choice.Primary && choice.OnlyCandidate && overloaded(reply.Err) {
				return reply // all other members are behind
			}
		case overloaded(reply.Err) || withoutPrimary(reply.Err):
			return reply
		default:
			s.pause(reqs, busyRetryDelay)
		}
	}
	return refused(s.finalRefusal(last))
}

// notRunError returns the error of an attempt that had no effect. An error of the
// connection becomes a verdict that says so, because nothing was sent on it.
func notRunError(err error) error {
	var connErr *statement.ConnError
	if errors.As(err, &connErr) {
		return verdict.New(verdict.CutOff, "upstream cannot be reached: %v", err).WithRetryAfter(retryAfterFailure)
	}
	return err
}

// overloaded reports whether the queue for an upstream refused a request.
func overloaded(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.IsOverload()
}

// withoutPrimary reports whether a gateway answered that the primary does not serve.
// Such an error carries the suggested retry delay.
func withoutPrimary(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Code == verdict.NoPrimary
}

const (
	// demotedRetryDelay is the delay of a retry after a primary has refused a write
	// because it is a replica; its group learns the new primary within one poll.
	demotedRetryDelay = 30 * time.Millisecond
	// busyRetryDelay is the delay of a retry on a primary that did not run a write; the
	// primary executes about two statements in that time.
	busyRetryDelay = 10 * time.Millisecond
)

// pause waits for d, or until the deadline.
func (s *Session) pause(reqs group.Requirements, d time.Duration) {
	time.Sleep(max(min(d, reqs.Deadline-s.env.Clock()), 0))
}

// preferAttemptError returns the error of the last attempt if the choice of the next
// member failed only because no member is left.
func preferAttemptError(attemptErr, chooseErr error) error {
	var v *verdict.Error
	if attemptErr == nil || !errors.As(chooseErr, &v) || v.Code != verdict.ReplicaBehind {
		return chooseErr
	}
	return asRefusal(attemptErr, v.RetryAfter)
}

// finalRefusal returns the error for the caller of a statement that had no effect on
// any member.
func (s *Session) finalRefusal(last error) error { return asRefusal(last, retryAfterFailure) }

// retryAfterFailure is the suggested retry delay after all members failed to run a
// statement.
const retryAfterFailure = 200 * time.Millisecond

// asRefusal converts the error of an attempt into the verdict for the caller.
func asRefusal(err error, retryAfter time.Duration) error {
	var v *verdict.Error
	if errors.As(err, &v) {
		return v
	}
	if reason, ok := statement.ReasonOf(err); ok {
		if reason == statement.Behind {
			return verdict.New(verdict.ReplicaBehind, "%v", err).WithRetryAfter(retryAfter)
		}
		return verdict.New(verdict.Overloaded, "%v", err).WithRetryAfter(retryAfter)
	}
	return verdict.New(verdict.ReadUnanswered, "no upstream answered the read: %v", err).WithRetryAfter(retryAfter)
}

// job returns the job that runs an operation on a member.
func (s *Session) job(op operation, rank schedule.Rank, deadline time.Duration) upstream.Job {
	return upstream.Job{Statement: op.Statement, Caller: s.name, Workspace: s.workspace.Name, Weight: s.workspace.Rate, Rank: rank, Values: s.values, Prepared: op.prepared, Deadline: deadline, Gone: s.caller.Gone}
}

// maxClassObjective is the longest objective that serviceClass distinguishes.
const maxClassObjective = 24 * time.Hour

// serviceClass returns the class of operations with similar service times: those of routes
// with the same objective and rank, separately for reads, writes and commits. It is the
// same on all instances.
func serviceClass(objective time.Duration, routeRank schedule.Rank, op operation) schedule.ServiceClass {
	kind := schedule.ServiceClass(1)
	switch {
	case op.Kind == statement.Commit:
		kind = 3
	case op.writes:
		kind = 2
	}
	ms := min(max(objective, 0), maxClassObjective) / time.Millisecond
	return schedule.ServiceClass(ms)<<4 | schedule.ServiceClass(routeRank)<<2 | kind
}

// due returns when the caller should have the answer to a statement that arrived at
// arrival; 0 means that its route has no objective.
func due(arrival, objective time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	return arrival + objective
}

// checkCaller returns an error if the caller has disconnected.
func (s *Session) checkCaller() error {
	if !s.caller.Gone() {
		return nil
	}
	s.env.Metrics.CountCancelled(upstream.StageEntry)
	return upstream.ErrCancelled()
}

// cancelled reports whether a statement was not executed because its caller had
// disconnected.
func cancelled(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Code == verdict.Cancelled
}

// attempt runs an operation once on a member.
func (s *Session) attempt(g *group.Group, c group.Choice, op operation, reqs group.Requirements, tried int) (statement.Reply, outcome) {
	j := s.job(op, reqs.Rank, reqs.Deadline)
	j.Statement.After = c.MinPosition
	j.CommitsWrites, j.OnlyCandidate = op.writes, c.OnlyCandidate
	j.Due, j.Class = due(reqs.Arrival, reqs.Objective), serviceClass(reqs.Objective, reqs.Rank, op)
	if !op.writes && tried == 0 {
		limit := max(firstReadTimeout, reqs.Objective)
		j.Limit = limit
		if reqs.Consistency != catalog.Strict {
			j.Deadline = min(j.Deadline, s.env.Clock()+limit)
		}
	}
	r := g.Execute(c, j)
	s.lastGateway = r.Gateway
	switch {
	case r.Err == nil:
		return s.classify(c, op, r.Reply)
	case r.Sent:
		return refused(r.Err), unanswered
	default:
		return refused(r.Err), notRun
	}
}

// classify determines the outcome from a member's answer.
func (s *Session) classify(c group.Choice, op operation, reply statement.Reply) (statement.Reply, outcome) {
	reason, failed := statement.ReasonOf(reply.Err)
	if !failed {
		if !op.writes && !c.Primary {
			c.ObserveLag(c.MinPositionAt, true)
		}
		return reply, answered
	}
	switch {
	case reason == statement.Behind:
		c.ObserveLag(c.MinPositionAt, false)
		return reply, notRun
	case reason.HasNoEffect(), reason == statement.NoSuchStatement:
		return reply, notRun
	case !op.writes && (reason == statement.Failed || reason == statement.TimedOut):
		return reply, unanswered // a read that ran without result may run again
	default:
		return reply, answered
	}
}

// outcomeName returns the name of a statement's outcome in logs and metrics.
func outcomeName(err error) string {
	if err == nil {
		return "ok"
	}
	if reason, ok := statement.ReasonOf(err); ok {
		return "upstream_" + reason.String()
	}
	var connErr *statement.ConnError
	if errors.As(err, &connErr) {
		return "connection_lost"
	}
	return verdict.FromError(err).Code.String()
}
