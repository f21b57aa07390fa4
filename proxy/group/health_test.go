package group

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/health"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Guards against an ejection because of what a caller sends: error replies to writes, and
// answers that depend on lag, role or connection limits.
func TestOutcomes(t *testing.T) {
	job := func(kind statement.Kind) upstream.Job {
		return upstream.Job{Statement: statement.Statement{Kind: kind}}
	}
	reply := func(r statement.Reason) statement.Reply {
		return statement.Reply{Err: &statement.UpstreamError{Reason: r}}
	}
	read, write := job(statement.Read), job(statement.Write)
	executeWrite := job(statement.Execute)
	executeWrite.Prepared = &upstream.Prepared{Writes: true}
	for _, test := range []struct {
		job   upstream.Job
		reply statement.Reply
		err   error
		want  health.Outcome
	}{
		{read, statement.Reply{}, nil, health.Good},
		{write, statement.Reply{}, nil, health.Good},
		{job(statement.Begin), statement.Reply{}, nil, health.Neutral},
		{job(statement.Commit), statement.Reply{}, nil, health.Neutral},
		{read, reply(statement.Failed), nil, health.Failed},
		{read, reply(statement.TimedOut), nil, health.Failed},
		{write, reply(statement.Failed), nil, health.Neutral},
		{executeWrite, reply(statement.Failed), nil, health.Neutral},
		{read, reply(statement.Behind), nil, health.Neutral},
		{write, reply(statement.ReadOnly), nil, health.Neutral},
		{read, reply(statement.TooLarge), nil, health.Neutral},
		{read, reply(statement.Busy), nil, health.Refused},
		{write, reply(statement.Busy), nil, health.Refused},
		{read, statement.Reply{Err: verdict.New(verdict.Overloaded, "full")}, nil, health.Neutral},
		{read, statement.Reply{}, &statement.ConnError{Err: errors.New("reset")}, health.Failed},
	} {
		assert.Equal(t, outcomeOf(test.job, test.reply, test.err), test.want, "%s %v %v", test.job.Statement.Kind, test.reply.Err, test.err)
	}
}

// healthyConn is a connection of a member that reports that it is well.
type healthyConn struct{ statement.Conn }

// Control implements statement.Conn.
func (healthyConn) Control(statement.Control, time.Duration) (takeover.Status, error) {
	return takeover.Status{}, nil
}

// Alive implements statement.Conn.
func (healthyConn) Alive() bool { return true }

// Close implements statement.Conn.
func (healthyConn) Close() {}

type healthyDialer struct{}

// Dial implements statement.Dialer.
func (healthyDialer) Dial(statement.Target, time.Duration) (statement.Conn, error) {
	return healthyConn{}, nil
}

// Guards against a member that is used again because it reports that it is well, against
// an ejection by statements that were given too little time or by the failure of a
// gateway, and against reads of other
// instances that no other member can execute being refused.
func TestHealthReportsDoNotCount(t *testing.T) {
	now := time.Hour
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Config{Service: "s", Clock: func() time.Duration { return now }, Log: log.WithField("test", true), Dialer: healthyDialer{}}, catalog.Service{Name: "s", Connections: 20})
	members := catalog.Members{}
	for _, id := range []string{"a", "b", "c"} {
		members[id] = catalog.Member{ID: id, Service: "s", Slots: 2, Started: 1}
	}
	g.UpdateMembers(members, now)
	u := g.members["b"].Upstream
	read := upstream.Job{Statement: statement.Statement{Kind: statement.Read}}
	timeout := &statement.ConnError{Sent: true, Timeout: true, Err: errors.New("timeout")}
	for range 20 {
		g.health.sent(u, read, 5*time.Millisecond)(statement.Reply{}, timeout)
	}
	assert.Assert(t, !g.health.suspect("b"))
	for range 20 {
		g.observeResult(u, read, upstream.Result{Err: timeout, Sent: true, Gateway: "i"}, now)
	}
	assert.Assert(t, g.health.suspect("b"))
	assert.Equal(t, g.MemberStates()["b"].Ejected, "", "the gateway may have failed")
	g.observeResult(u, read, upstream.Result{Gateway: "i"}, now)
	assert.Assert(t, !g.health.suspect("b"))
	for range 20 {
		g.health.sent(u, read, time.Second)(statement.Reply{}, timeout)
	}
	assert.Equal(t, g.MemberStates()["b"].Ejected, string(health.Failures))
	for range 20 {
		now += 10 * time.Millisecond
		_, err := u.Control(false, statement.Control{Kind: statement.GetStatus}, time.Second)
		assert.NilError(t, err)
		g.UpdateMembers(members, now)
	}
	assert.Equal(t, g.MemberStates()["b"].Ejected, string(health.Failures))
	now += time.Second
	assert.Assert(t, g.health.admit("b", false), "a probe is due")
	assert.Assert(t, !g.health.admit("b", false))
	assert.Assert(t, g.health.admit("b", true))
	assert.Assert(t, g.health.admit("a", false))
	// A new incarnation starts without the evidence against the former one, with a pace.
	restarted := members["b"]
	restarted.Started = 2
	members["b"] = restarted
	g.UpdateMembers(members, now)
	state := g.MemberStates()["b"]
	assert.Equal(t, state.Ejected, "")
	assert.Equal(t, state.PaceCause, string(upstream.Restarted))
	assert.Assert(t, state.Limit < state.Full && state.Full == quota.ForInstance(20, 2, 1).MaxRunning)
}
