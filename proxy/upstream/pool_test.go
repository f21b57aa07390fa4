package upstream_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// fakeMember is a dialer to a member with a connection limit.
type fakeMember struct {
	mu     sync.Mutex
	limit  int
	open   map[*fakeConn]bool
	dialed []string // workspaces
}

type fakeConn struct {
	statement.Conn
	member    *fakeMember
	workspace string
	dead      bool
}

func (m *fakeMember) Dial(t statement.Target, _ time.Duration) (statement.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.open) >= m.limit {
		return nil, &statement.UpstreamError{Reason: statement.TooManyConnections}
	}
	c := &fakeConn{member: m, workspace: t.Workspace}
	m.open[c] = true
	m.dialed = append(m.dialed, t.Workspace)
	return c, nil
}

func (c *fakeConn) Alive() bool { return !c.dead }

func (c *fakeConn) Close() {
	c.member.mu.Lock()
	defer c.member.mu.Unlock()
	delete(c.member.open, c)
}

func (c *fakeConn) Control(statement.Control, time.Duration) (takeover.Status, error) {
	return takeover.Status{Term: 1}, nil
}

func newUpstream(maxOpen, memberLimit int) (*upstream.Upstream, *fakeMember) {
	m := &fakeMember{limit: memberLimit, open: make(map[*fakeConn]bool)}
	start := time.Now()
	limits := quota.Limits{MaxOpen: maxOpen, MaxIdle: maxOpen, IdleTimeout: time.Minute, MaxRunning: 8, ByWorkspace: true}
	return upstream.New(catalog.Member{ID: "m", Service: "s", Slots: 6}, limits, m, func() time.Duration { return time.Since(start) + time.Hour }), m
}

func checkout(t *testing.T, u *upstream.Upstream, workspace string) *upstream.Conn {
	t.Helper()
	c, err := u.Checkout(workspace, nil, time.Second, nil)
	assert.NilError(t, err)
	assert.Equal(t, c.Conn.(*fakeConn).workspace, workspace, "connection of another workspace")
	return c
}

// Guards against a statement on a connection of another workspace, and against control
// commands that open connections although any idle one serves them.
func TestConnectionsByWorkspace(t *testing.T) {
	u, m := newUpstream(2, 9)
	for range 3 {
		for _, name := range []string{"a", "b", "", "c", "a"} {
			u.Return(checkout(t, u, name))
		}
	}
	dialed := len(m.dialed)
	_, err := u.Control(false, statement.Control{}, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(m.dialed), dialed)
	assert.Equal(t, len(m.open), 2)
	s := u.PoolState()
	assert.Equal(t, s.Open, 2)
	assert.Equal(t, s.Workspaces["a"], 1)
}

// Guards against many goroutines that get connections of other workspaces, exceed the
// limit, or wait forever; run it with the race detector.
func TestConcurrentWorkspaces(t *testing.T) {
	u, m := newUpstream(4, 4)
	var work sync.WaitGroup
	for i := range 16 {
		work.Go(func() {
			for range 50 {
				c, err := u.Checkout(fmt.Sprint("w", i%6), nil, 5*time.Second, nil)
				if !assert.Check(t, err) {
					return
				}
				assert.Check(t, c.Conn.(*fakeConn).workspace == fmt.Sprint("w", i%6))
				time.Sleep(50 * time.Microsecond)
				u.Return(c)
			}
		})
	}
	work.Wait()
	assert.Assert(t, len(m.open) <= 4)
	assert.Equal(t, u.PoolState().Waiting, 0)
}

// Guards against a workspace that is not served at a member that has reached its connection
// limit because of other instances: an idle connection of another workspace must be
// replaced.
func TestMemberAtConnectionLimit(t *testing.T) {
	u, m := newUpstream(4, 1)
	u.Return(checkout(t, u, "a"))
	u.Return(checkout(t, u, "b"))
	assert.DeepEqual(t, m.dialed, []string{"a", "b"})
}

// Guards against a connection that the member has closed while it was idle.
func TestDeadConnectionIsNotUsed(t *testing.T) {
	u, m := newUpstream(2, 9)
	c := checkout(t, u, "a")
	c.Conn.(*fakeConn).dead = true
	u.Return(c)
	c = checkout(t, u, "a")
	assert.Equal(t, len(m.dialed), 2)
	u.Return(c)
	assert.Equal(t, u.PoolState().Open, 1)
}

// Guards against open transactions of one workspace that take all connections: another one
// must begin, those of the first are refused as not run, and they begin again when
// earlier ones end.
func TestOpenTransactionsOfOneWorkspace(t *testing.T) {
	u, _ := newUpstream(8, 8)
	deadline := time.Since(time.Now()) + 2*time.Hour
	var open []*upstream.Conn
	var refusal error
	for refusal == nil {
		if refusal = u.BeginTransaction("idle", deadline, nil); refusal == nil {
			c := checkout(t, u, "idle")
			c.KeepsTransaction()
			open = append(open, c)
		}
	}
	assert.Assert(t, len(open) >= 2 && len(open) <= 4, "%d transactions", len(open))
	v := verdict.FromError(refusal)
	assert.Assert(t, v.IsOverload() && v.RetryAfter > 0)
	assert.NilError(t, u.BeginTransaction("other", deadline, nil))
	u.Return(checkout(t, u, "other"))
	u.EndTransaction("other")
	u.Discard(open[0])
	assert.NilError(t, u.BeginTransaction("idle", deadline, nil))
}

// Guards against connections that stay open after a gateway has lost its role.
func TestLowerLimitClosesConnections(t *testing.T) {
	u, m := newUpstream(6, 9)
	var used []*upstream.Conn
	for i := range 6 {
		used = append(used, checkout(t, u, fmt.Sprint(i)))
	}
	for _, c := range used[:3] {
		u.Return(c)
	}
	u.Update(u.Member(), quota.Limits{MaxOpen: 2, MaxIdle: 2, MaxRunning: 8, ByWorkspace: true})
	assert.Equal(t, len(m.open), 3)
	for _, c := range used[3:] {
		u.Return(c)
	}
	assert.Equal(t, len(m.open), 2)
}
