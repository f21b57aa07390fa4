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
	// maxAttempts bounds the attempts of one statement. Three members and a
	// second choice of the primary need four.
	maxAttempts = 5
	// readAttempt bounds the first attempt of a read, or the objective of its route
	// if that is longer: another member may answer. It covers the wait in queues, so
	// that nothing is executed that has been given up.
	readAttempt = 300 * time.Millisecond
)

// outcome is what is known after one attempt.
type outcome uint8

const (
	answered   outcome = iota // the answer is final
	notRun                    // nothing of it ran or is kept
	unanswered                // it was sent and may have run
)

// single runs a statement outside of a transaction.
func (s *Session) single(w work, arrival time.Duration) statement.Reply {
	r, g, err := s.route()
	if err != nil {
		return refused(err)
	}
	need := s.need(r, arrival, w.writes, !w.writes)
	reply := s.attempts(g, w, need)
	s.env.Metrics.Statement(r.Consistency, outcomeName(reply.Err), s.env.Clock()-arrival)
	if reply.Err != nil {
		s.logFailure(g, w, r, need, reply.Err)
	} else if w.writes {
		s.wrote(r.Service, reply.Position)
	}
	return reply
}

func (s *Session) attempts(g *group.Group, w work, need group.Requirements) statement.Reply {
	return s.tryMembers(g, w, need, func(c group.Choice, tried int) (statement.Reply, outcome) {
		reply, result := s.attempt(g, c, w, need, tried)
		if result == unanswered && w.writes {
			return refused(verdict.New(verdict.OutcomeUnknown, "upstream %s did not answer the write: %v", c.Member().ID, reply.Err)), answered
		}
		return reply, result
	})
}

// tryMembers runs an attempt on one member after the other until it has a final
// answer. tried is the number of members that are not tried again.
func (s *Session) tryMembers(g *group.Group, w work, need group.Requirements, attempt func(c group.Choice, tried int) (statement.Reply, outcome)) statement.Reply {
	s.tried = s.tried[:0]
	excluded := make(map[*upstream.Upstream]bool)
	var last error
	for n := 1; n <= maxAttempts; n++ {
		choice, err := g.Choose(need, excluded)
		if err != nil {
			return refused(preferFirst(last, err))
		}
		reply, result := attempt(choice, len(excluded))
		if result == answered {
			if reply.Err == nil && len(s.tried) > 0 {
				s.logRetried(w, choice)
			}
			return reply
		}
		last = reply.Err
		if result == notRun {
			last = notRunError(last)
		}
		if s.env.Clock() >= need.Deadline {
			break
		}
		s.noteAttempt(choice, reply.Err)
		reason, failed := statement.ReasonOf(reply.Err)
		switch {
		case failed && reason == statement.ReadOnly && choice.Primary:
			// It is chosen again once it is known which member leads.
			g.PrimaryDemoted(choice.Upstream)
			s.pause(need, demotedPause)
		case !choice.Primary || !need.Writes:
			excluded[choice.Upstream] = true
			if choice.Primary && choice.OnlyCandidate && overloaded(reply.Err) {
				return reply // the others would be asked in vain
			}
		case overloaded(reply.Err) || withoutPrimary(reply.Err):
			return reply
		default:
			s.pause(need, busyPause)
		}
	}
	return refused(s.giveUp(last))
}

// notRunError keeps the verdict of an attempt that did not run: a connection
// that could not be opened or used carried nothing.
func notRunError(err error) error {
	var link *statement.ConnError
	if errors.As(err, &link) {
		return verdict.New(verdict.CutOff, "upstream cannot be reached: %v", err).WithRetryAfter(retryAfterFailure)
	}
	return err
}

// overloaded reports whether the queue for an upstream refused a request.
func overloaded(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.IsOverload()
}

// withoutPrimary reports whether a gateway knows that the primary does not serve,
// and when one can be expected.
func withoutPrimary(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Code == verdict.NoPrimary
}

const (
	// demotedPause is the time to the next look after a primary has refused a
	// write as a replica; its group learns the new one within a poll.
	demotedPause = 30 * time.Millisecond
	// busyPause is the time to the next try at a primary that did not run a
	// write; it executes about two statements in that time.
	busyPause = 10 * time.Millisecond
)

func (s *Session) pause(need group.Requirements, d time.Duration) {
	time.Sleep(max(min(d, need.Deadline-s.env.Clock()), 0))
}

// preferFirst returns the refusal that says why the first attempt failed, if
// the later one says only that no member is left.
func preferFirst(first, later error) error {
	var v *verdict.Error
	if first == nil || !errors.As(later, &v) || v.Code != verdict.ReplicaBehind {
		return later
	}
	return asRefusal(first, v.RetryAfter)
}

// giveUp returns the final error of a statement of which nothing ran.
func (s *Session) giveUp(last error) error { return asRefusal(last, retryAfterFailure) }

// retryAfterFailure is the time to come back after all members failed to run a
// statement: they are suspect for that long.
const retryAfterFailure = 200 * time.Millisecond

// asRefusal turns the failure of an attempt into the answer for the caller.
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

// job describes a statement for the member that executes it.
func (s *Session) job(w work, rank schedule.Rank, deadline time.Duration) upstream.Job {
	return upstream.Job{Statement: w.Statement, Caller: s.name, Rank: rank, Values: s.values, Prepared: w.prepared, Deadline: deadline}
}

// attempt runs a statement once.
func (s *Session) attempt(g *group.Group, c group.Choice, w work, need group.Requirements, tried int) (statement.Reply, outcome) {
	j := s.job(w, need.Rank, need.Deadline)
	j.Statement.After = c.MinPosition
	j.CommitsWrites, j.OnlyCandidate = w.writes, c.OnlyCandidate
	if !w.writes && tried == 0 {
		limit := max(readAttempt, need.Objective)
		j.Limit = limit
		if need.Consistency != catalog.Strict {
			j.Deadline = min(j.Deadline, s.env.Clock()+limit)
		}
	}
	r := g.Execute(c, j)
	s.gateway = r.Gateway
	switch {
	case r.Err == nil:
		return s.judge(c, w, r.Reply)
	case r.Sent:
		return refused(r.Err), unanswered
	default:
		return refused(r.Err), notRun
	}
}

// judge classifies the answer of a member.
func (s *Session) judge(c group.Choice, w work, reply statement.Reply) (statement.Reply, outcome) {
	reason, failed := statement.ReasonOf(reply.Err)
	if !failed {
		if !w.writes && !c.Primary {
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
	case !w.writes && (reason == statement.Failed || reason == statement.TimedOut):
		return reply, unanswered // a read that ran without result may run again
	default:
		return reply, answered
	}
}

// outcomeName names the outcome of a statement in logs and metrics.
func outcomeName(err error) string {
	if err == nil {
		return "ok"
	}
	if reason, ok := statement.ReasonOf(err); ok {
		return "upstream_" + reason.String()
	}
	var link *statement.ConnError
	if errors.As(err, &link) {
		return "connection_lost"
	}
	return verdict.As(err).Code.String()
}
