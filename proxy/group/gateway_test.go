package group

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// fakeGateways is the Gateways of an instance for which another one, outside of its failure
// domain, is the gateway of all members, or for which none is available.
type fakeGateways struct {
	asked int
	err   error
}

func (f *fakeGateways) Gateway(string, catalog.Member, bool, int) (Gateway, error) {
	f.asked++
	return outsideGateway{}, f.err
}

func (f *fakeGateways) Limits(m catalog.Member, _ int, _ float64) quota.Limits {
	return quota.ForWorkspaceGateway(72, m.Slots, 0)
}

func (f *fakeGateways) ConnectingInstances(catalog.Member, int) int { return 0 }

// outsideGateway is a gateway in another failure domain that answers every job.
type outsideGateway struct{ Gateway }

func (outsideGateway) Outside() bool { return true }
func (outsideGateway) Execute(upstream.Job) (upstream.Result, bool) {
	return upstream.NotSent(verdict.New(verdict.CutOff, "member does not answer")), true
}

// countingDialer refuses all connections.
type countingDialer struct{ workspaces []string }

func (d *countingDialer) Dial(t statement.Target, _ time.Duration) (statement.Conn, error) {
	d.workspaces = append(d.workspaces, t.Workspace)
	return nil, &statement.ConnError{Refused: true, Err: errors.New("refused")}
}

// countingReachability counts the requests reported.
type countingReachability struct {
	noReachability
	requests int
}

func (r *countingReachability) RecordRequest(string) { r.requests++ }

func newGatewayGroup(gateways *fakeGateways) (*Group, *countingDialer, *countingReachability, Choice) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	start := time.Now()
	dialer, reach := &countingDialer{}, &countingReachability{}
	g := New(Config{Service: "s", FailureDomain: "a", Dialer: dialer, Gateways: gateways, Reachability: reach, Log: logrus.NewEntry(log),
		Clock: func() time.Duration { return time.Since(start) + time.Hour }}, catalog.Service{Name: "s", Connections: 72})
	g.UpdateMembers(catalog.Members{"m": {ID: "m", Service: "s", FailureDomain: "b", Slots: 6}}, time.Hour)
	return g, dialer, reach, Choice{Upstream: g.members["m"].Upstream}
}

// Guards against jobs that circulate between instances whose lists of instances differ: a
// job of another instance must run here, whoever this instance takes for the gateway, and
// in the name of its workspace.
func TestForwardedJobIsNotForwarded(t *testing.T) {
	gateways := &fakeGateways{}
	g, dialer, _, _ := newGatewayGroup(gateways)
	j := upstream.Job{Workspace: "w", Statement: statement.Statement{Kind: statement.Read}, Deadline: 2 * time.Hour}
	_, known := g.ExecuteFor("m", false, j)
	assert.Assert(t, known)
	_, _, known = g.OpenFor("m", false, statement.Statement{Kind: statement.Begin}, j)
	assert.Assert(t, known)
	assert.Equal(t, gateways.asked, 0)
	assert.DeepEqual(t, dialer.workspaces, []string{"w", "w"})
}

// Guards against an instance that connects to a member by itself while no gateway is
// available, and against one dead gateway outside that counts as several silent members
// in the check for isolation.
func TestGatewayOutside(t *testing.T) {
	gateways := &fakeGateways{}
	g, dialer, reach, c := newGatewayGroup(gateways)
	j := upstream.Job{Workspace: "w", Deadline: 2 * time.Hour}
	g.Execute(c, j)
	assert.Equal(t, reach.requests, 0)
	gateways.err = verdict.New(verdict.CutOff, "no gateway").WithRetryAfter(time.Second)
	r := g.Execute(c, j)
	assert.Assert(t, !r.Sent)
	assert.Equal(t, verdict.FromError(r.Err).RetryAfter, time.Second)
	_, o := g.Open(c, statement.Statement{Kind: statement.Begin}, j)
	assert.Assert(t, !o.Begun() && !o.Begin.Sent)
	assert.Equal(t, len(dialer.workspaces), 0)
}

// silentGateway is a gateway that answers no request for a quorum round.
type silentGateway struct {
	Gateway
	outside bool
	asked   *int
}

func (g silentGateway) Outside() bool { return g.outside }
func (g silentGateway) Confirm(string) (Confirmation, error) {
	*g.asked++
	return Confirmation{}, errors.New("silent")
}

// confirmGateways offers gateways in order, the last one again and again; nil means that
// none is available.
type confirmGateways struct {
	fakeGateways
	order []Gateway
}

func (c *confirmGateways) Gateway(string, catalog.Member, bool, int) (Gateway, error) {
	gw := c.order[0]
	if len(c.order) > 1 {
		c.order = c.order[1:]
	}
	if gw == nil {
		return nil, verdict.New(verdict.CutOff, "no gateway")
	}
	return gw, nil
}

// Guards against control commands from instances that are no gateways while no gateway
// answers or is available, which exceeded the connection limits of the members, and against a
// round that asks gateways in another failure domain again and again.
func TestRoundWithoutGateway(t *testing.T) {
	asked := 0
	outside, inside := silentGateway{outside: true, asked: &asked}, silentGateway{asked: &asked}
	for name, test := range map[string]struct {
		order []Gateway
		asked int
	}{
		"none available": {[]Gateway{nil}, 0},
		"inside":         {[]Gateway{inside}, 2},
		"outside":        {[]Gateway{outside}, 2},
		"both":           {[]Gateway{outside, inside}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			g, dialer, _, c := newGatewayGroup(&fakeGateways{})
			g.cfg.Gateways = &confirmGateways{order: test.order}
			asked = 0
			g.rounds.running = true
			g.confirmByGateway(primacy.Primary{Member: c.Member().ID, Term: 1}, time.Hour)
			assert.Equal(t, asked, test.asked)
			assert.Equal(t, len(dialer.workspaces), 0)
			assert.Assert(t, !g.rounds.running && g.rounds.failed == 1)
		})
	}
}
