package session

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
)

// failedAttempt is an attempt without a final answer.
type failedAttempt struct {
	choice  group.Choice
	gateway string
	err     error
}

// String returns the member, the position required of it and the error, for the log.
func (t failedAttempt) String() string {
	where := t.choice.Member().ID
	if t.gateway != "" {
		where += " by " + t.gateway
	}
	if t.choice.Primary {
		return fmt.Sprintf("primary %s: %v", where, t.err)
	}
	return fmt.Sprintf("replica %s, position %s of %d ms before: %v", where, t.choice.MinPosition, t.choice.EvidenceAge.Milliseconds(), t.err)
}

// recordAttempt counts a failed attempt and keeps it for the log.
func (s *Session) recordAttempt(c group.Choice, err error) {
	s.env.Metrics.CountRetry(outcomeName(err))
	s.failedAttempts = append(s.failedAttempts, failedAttempt{c, s.lastGateway, err})
}

// attemptsText returns the failed attempts of the present statement, for its log line.
func (s *Session) attemptsText() []string {
	all := make([]string, len(s.failedAttempts))
	for i, t := range s.failedAttempts {
		all[i] = t.String()
	}
	return all
}

// logRetried logs a statement that was answered after a retry, at debug level: under
// load there are many of these, and they are the least informative.
func (s *Session) logRetried(op operation, c group.Choice) {
	if s.env.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		s.env.Log.WithFields(logrus.Fields{"event": "retried", "request": op.ID, "session": s.name, "upstream": c.Member().ID, "attempts": s.attemptsText()}).Debug("statement was answered after further attempts")
	}
}

// logFailure logs a statement that failed, with all its attempts.
func (s *Session) logFailure(g *group.Group, op operation, r catalog.Route, reqs group.Requirements, err error) {
	state := g.PrimaryState()
	took := s.env.Clock() - reqs.Arrival
	s.env.FailureLog.Note(Failure{Request: op.ID, Service: r.Service, Outcome: outcomeName(err), Error: err.Error(), Took: took}, func() logrus.Fields {
		return logrus.Fields{"event": "failed", "request": op.ID, "session": s.name, "database": s.database, "service": r.Service,
			"consistency": r.Consistency.String(), "rank": reqs.Rank.String(), "writes": op.writes, "outcome": outcomeName(err), "gateway": s.lastGateway,
			"took_ms": took.Milliseconds(), "timeout_ms": r.Timeout.Milliseconds(), "attempts": s.attemptsText(),
			"lead": state.Primary.Member, "term": state.Primary.Term, "record_version": state.RecordVersion, "proven_for_ms": state.ConfirmedFor.Milliseconds(),
			"claim_holder": state.ClaimHolder, "lead_doubted": state.Down, "error": err.Error()}
	})
}

// Failure is the part of a failed statement that an instance logs even when there are
// too many failures for a line each.
type Failure struct {
	Request string
	Service string
	Outcome string
	Error   string
	// Took is the time from the arrival of the statement to its failure.
	Took time.Duration
}

// FailureLog logs failed statements.
type FailureLog interface {
	// Note logs a failure. It calls fields if the failure gets a line of its own; when
	// there are too many, failures of the same cause share one.
	Note(f Failure, fields func() logrus.Fields)
}
