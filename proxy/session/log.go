package session

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
)

// triedMember is an attempt that gave no final answer.
type triedMember struct {
	choice  group.Choice
	gateway string
	err     error
}

// String says where the attempt was made, on what evidence, and how it ended.
func (t triedMember) String() string {
	where := t.choice.Member().ID
	if t.gateway != "" {
		where += " by " + t.gateway
	}
	if t.choice.Primary {
		return fmt.Sprintf("primary %s: %v", where, t.err)
	}
	return fmt.Sprintf("replica %s, position %s of %d ms before: %v", where, t.choice.MinPosition, t.choice.EvidenceAge.Milliseconds(), t.err)
}

func (s *Session) noteAttempt(c group.Choice, err error) {
	s.env.Metrics.Retried(outcomeName(err))
	s.tried = append(s.tried, triedMember{c, s.gateway, err})
}

// attemptsText returns the attempts of the present statement, for its line in the log.
func (s *Session) attemptsText() []string {
	all := make([]string, len(s.tried))
	for i, t := range s.tried {
		all[i] = t.String()
	}
	return all
}

// logRetried logs a statement that was answered after further attempts. Under load
// there are many of these, and they tell least.
func (s *Session) logRetried(w work, c group.Choice) {
	if s.env.Log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		s.env.Log.WithFields(logrus.Fields{"event": "retried", "request": w.ID, "session": s.name, "upstream": c.Member().ID, "attempts": s.attemptsText()}).Debug("statement was answered after further attempts")
	}
}

// logFailure logs a statement that was not served, with all its attempts.
func (s *Session) logFailure(g *group.Group, w work, r catalog.Route, need group.Requirements, err error) {
	e := g.PrimaryState()
	took := s.env.Clock() - need.Arrival
	s.env.FailureLog.Note(Failure{Request: w.ID, Service: r.Service, Outcome: outcomeName(err), Error: err.Error(), Took: took}, func() logrus.Fields {
		return logrus.Fields{"event": "failed", "request": w.ID, "session": s.name, "database": s.database, "service": r.Service,
			"consistency": r.Consistency.String(), "rank": need.Rank.String(), "writes": w.writes, "outcome": outcomeName(err), "gateway": s.gateway,
			"took_ms": took.Milliseconds(), "timeout_ms": r.Timeout.Milliseconds(), "attempts": s.attemptsText(),
			"lead": e.Primary.Member, "term": e.Primary.Term, "record_version": e.RecordVersion, "proven_for_ms": e.ConfirmedFor.Milliseconds(),
			"claim_holder": e.ClaimHolder, "lead_doubted": e.Down, "error": err.Error()}
	})
}

// Failure is what the log of an instance keeps of a statement that was not served,
// however many there are.
type Failure struct {
	Request string
	Service string
	Outcome string
	Error   string
	Took    time.Duration
}

// FailureLog logs statements that were not served. fields is called for a line of
// the statement's own; when there are too many of these, statements of the same
// cause share one.
type FailureLog interface {
	Note(f Failure, fields func() logrus.Fields)
}
