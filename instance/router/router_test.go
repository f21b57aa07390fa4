package router

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/view"
	"github.com/papayarail/papayarail/wire/caller"
	"github.com/papayarail/papayarail/wire/classify"
)

// stubGateway records exchanges and answers them with the function answer.
type stubGateway struct {
	requests []*peer.ExchangeRequest
	answer   func(*peer.ExchangeRequest) (*peer.ExchangeAnswer, error)
	ended    chan string // names passed to EndTransaction
}

func (g *stubGateway) Exchange(_ context.Context, _ view.Peer, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	g.requests = append(g.requests, r)
	return g.answer(r)
}

func (g *stubGateway) EndTransaction(_ view.Peer, _, tx string) { g.ended <- tx }

// document returns a configuration with one service, s, of the members a, b and c.
func document() *fleet.Document {
	s := fleet.Service{Name: "s", DefaultRank: "middle", MaxStalenessMS: 5000}
	for _, d := range []string{"a", "b", "c"} {
		s.Databases = append(s.Databases, fleet.Database{Name: d, Address: "127.0.0.1:1", FailureDomain: d, Connections: 15, Slots: 2, State: fleet.Active})
	}
	return &fleet.Document{FailureDomains: []string{"a", "b", "c"}, Services: []fleet.Service{s}, Ranks: map[fleet.Rank]fleet.RankGoal{
		"urgent": {TargetMS: 500}, "middle": {TargetMS: 1000}, "least": {TargetMS: 2000},
	}}
}

// open opens a session of service s, whose primary in term 3 is a.
func open(t *testing.T, g *stubGateway) *session {
	v := view.New(view.Peer{Name: "self", FailureDomain: "a"})
	assert.Assert(t, v.Install(1, document()))
	assert.Assert(t, v.LearnRoute(failover.Route{Service: "s", Term: 3, Primary: "a"}))
	log := logrus.New()
	log.SetOutput(io.Discard)
	startedAt := time.Now()
	router := New("a", v, g, func() time.Duration { return time.Since(startedAt) + time.Second }, logrus.NewEntry(log))
	s, err := router.Open(t.Context(), caller.Startup{User: "u", Database: "s"})
	assert.NilError(t, err)
	g.ended = make(chan string, 1)
	return s.(*session)
}

// exchange returns the exchange of a simple query.
func exchange(t *testing.T, sql string) *caller.Exchange {
	info, err := classify.Classify(sql)
	assert.NilError(t, err)
	messages, err := (&pgproto3.Query{String: sql}).Encode(nil)
	assert.NilError(t, err)
	return &caller.Exchange{Messages: messages, Statements: []classify.Info{info}, SQL: sql, Parameters: map[string]string{}}
}

// answered returns a function for stubGateway.answer that answers each exchange with
// the transaction status and the position.
func answered(status byte, p position.Position) func(*peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	return func(*peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
		return &peer.ExchangeAnswer{TxStatus: status, Position: p}, nil
	}
}

// Guards against a bad session parameter that is accepted, and a parameter that is
// not set and does not get the service's default.
func TestParseOptions(t *testing.T) {
	doc := document()
	service := &doc.Services[0]
	opts, err := parseOptions(nil, doc, service)
	assert.NilError(t, err)
	assert.Equal(t, opts.rank, schedule.Middle)
	assert.Equal(t, opts.timeout, 10*time.Second)
	opts, err = parseOptions(map[string]string{ParamRank: "urgent", ParamDeadline: "250", ParamMaxStaleness: "1h", ParamConsistency: "session"}, doc, service)
	assert.NilError(t, err)
	assert.Assert(t, opts.rank == schedule.Urgent && opts.sessionConsistency)
	assert.Equal(t, opts.timeout, 250*time.Millisecond)
	assert.Equal(t, opts.maxStaleness, 5*time.Second, "the service's max_staleness_ms bounds the value")
	for name, bad := range map[string]string{ParamRank: "vip", ParamDeadline: "-1", ParamMaxStaleness: "soon", ParamConsistency: "weak", ParamPosition: "other/1.2"} {
		_, err := parseOptions(map[string]string{name: bad}, doc, service)
		var v *verdict.Error
		assert.Assert(t, errors.As(err, &v) && v.Code == verdict.InvalidParameter && v.Verdict == verdict.NotRun, "%s=%s: %v", name, bad, err)
	}
}

// Guards against a summary of statements that permits a write to be executed
// twice, or attaches the request key to the wrong exchange.
func TestSummarize(t *testing.T) {
	for sql, want := range map[string]statementSummary{
		"SELECT 1":                        {class: route.Read, reads: true},
		"UPDATE lots SET q = 1":           {class: route.Write},
		"BEGIN":                           {class: route.Transaction, begins: true},
		"BEGIN READ ONLY":                 {class: route.Read, begins: true},
		"COMMIT":                          {class: route.Read, commits: true, ends: true},
		"BEGIN; DELETE FROM lots; COMMIT": {class: route.Transaction, begins: true, commits: true, ends: true},
	} {
		summary := summarize(exchange(t, sql).Statements)
		assert.Equal(t, summary, want, sql)
		assert.Equal(t, summary.repeatable(), sql == "SELECT 1", sql)
		assert.Equal(t, summary.keyed(), summary.commits || sql == "UPDATE lots SET q = 1", sql)
	}
}

// Guards against a write that is sent again after its outcome became unknown, and
// a read that is not retried on another member.
func TestRetryOnlyWhereSafe(t *testing.T) {
	g := &stubGateway{}
	s := open(t, g)
	g.answer = func(*peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
		return nil, verdict.New(verdict.OutcomeUnknown, "lost")
	}
	_, err := s.Exchange(t.Context(), exchange(t, "UPDATE lots SET q = 1"))
	assert.Equal(t, verdict.FromError(err).Code, verdict.OutcomeUnknown)
	assert.Equal(t, len(g.requests), 1)
	g.requests = nil
	lost := true
	g.answer = func(r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
		if lost {
			lost = false
			v := verdict.New(verdict.CutOff, "lost")
			v.Verdict = verdict.MayHaveRun
			return nil, v
		}
		return &peer.ExchangeAnswer{TxStatus: statusIdle}, nil
	}
	_, err = s.Exchange(t.Context(), exchange(t, "SELECT 1"))
	assert.NilError(t, err)
	assert.Equal(t, len(g.requests), 2)
}

// Guards against a session position that goes back, or a new one that is not
// reported to the caller.
func TestSessionPositionNeverGoesBack(t *testing.T) {
	g := &stubGateway{answer: answered(statusIdle, position.Position{Term: 3, Offset: 9})}
	s := open(t, g)
	reply, err := s.Exchange(t.Context(), exchange(t, "UPDATE lots SET q = 1"))
	assert.NilError(t, err)
	assert.Assert(t, reply.Parameters[ParamPosition] != "")
	g.answer = answered(statusIdle, position.Position{Term: 3, Offset: 4})
	reply, err = s.Exchange(t.Context(), exchange(t, "UPDATE lots SET q = 2"))
	assert.NilError(t, err)
	assert.Equal(t, reply.Parameters[ParamPosition], "")
	assert.Equal(t, s.position.Offset, uint64(9))
}

// Guards against a session that continues a transaction whose owner was lost: the
// caller may only end it. After a commit whose outcome is unknown the session has
// to be idle.
func TestTransactionWhoseOwnerIsLost(t *testing.T) {
	g := &stubGateway{answer: answered(statusOpen, position.Position{})}
	s := open(t, g)
	_, err := s.Exchange(t.Context(), exchange(t, "BEGIN"))
	assert.NilError(t, err)
	g.answer = func(*peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
		return nil, verdict.New(verdict.TransactionRolledBack, "owner was lost")
	}
	_, err = s.Exchange(t.Context(), exchange(t, "UPDATE lots SET q = 1"))
	assert.Equal(t, verdict.FromError(err).Code, verdict.TransactionRolledBack)
	<-g.ended
	assert.Equal(t, s.TxStatus(), byte(statusFailed))
	n := len(g.requests)
	_, err = s.Exchange(t.Context(), exchange(t, "SELECT 1"))
	assert.Equal(t, verdict.FromError(err).Code, verdict.TransactionRolledBack)
	_, err = s.Exchange(t.Context(), exchange(t, "COMMIT"))
	assert.NilError(t, err)
	assert.Equal(t, len(g.requests), n, "no exchange of a transaction that was rolled back reaches an owner")
	assert.Equal(t, s.TxStatus(), byte(statusIdle))
	g.answer = answered(statusOpen, position.Position{})
	_, err = s.Exchange(t.Context(), exchange(t, "BEGIN"))
	assert.NilError(t, err)
	g.answer = func(*peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
		return nil, verdict.New(verdict.CommitUnknown, "owner was lost")
	}
	_, err = s.Exchange(t.Context(), exchange(t, "COMMIT"))
	assert.Equal(t, verdict.FromError(err).Verdict, verdict.MayHaveRun)
	<-g.ended
	assert.Equal(t, s.TxStatus(), byte(statusIdle))
}
