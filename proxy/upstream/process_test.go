package upstream_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/fixedseed"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// processModel is a member whose process restarts, with a clock that moves only with
// events. during is called while a connection is opened and while a command is on its way.
type processModel struct {
	now       atomic.Int64  // a time.Duration; timers of the upstream read it too
	startedAt time.Duration // of the process; it identifies it
	during    func()
}

// processConn is a connection to the process that started at startedAt.
type processConn struct {
	statement.Conn
	m         *processModel
	startedAt time.Duration
}

var errEnded = &statement.ConnError{Sent: true, Err: errors.New("the process has ended")}

func (m *processModel) tick() time.Duration {
	return time.Duration(m.now.Add(int64(time.Millisecond)))
}

func (m *processModel) Dial(statement.Target, time.Duration) (statement.Conn, error) {
	m.during()
	c := &processConn{m: m, startedAt: m.startedAt}
	m.tick()
	m.during()
	return c, nil
}

// Alive does not notice the end of the process.
func (c *processConn) Alive() bool { return true }
func (c *processConn) Close()      {}

// Control returns the start of the process that answers as the term of its status.
func (c *processConn) Control(statement.Control, time.Duration) (takeover.Status, error) {
	return takeover.Status{Term: uint64(c.startedAt)}, c.answer()
}

func (c *processConn) Exec(statement.Statement, time.Duration) (statement.Reply, error) {
	return statement.Reply{}, c.answer()
}

func (c *processConn) answer() error {
	c.m.tick()
	c.m.during()
	ended := c.startedAt != c.m.startedAt
	c.m.tick()
	c.m.during()
	if ended {
		return errEnded
	}
	return nil
}

func newProcessModel(limits quota.Limits) (*upstream.Upstream, *processModel) {
	m := &processModel{startedAt: time.Hour, during: func() {}}
	m.now.Store(int64(time.Hour))
	limits.MaxOpen, limits.MaxRunning, limits.ByWorkspace = 99, 8, true
	return upstream.New(catalog.Member{ID: "m", Service: "s", Slots: 6}, limits, m, func() time.Duration { return m.tick() }), m
}

// Guards against an answer that counts as one of a process that has run since before a
// restart: pauses end with it. Commands and connections overlap in any way.
func TestRestartedProcessIsNotReportedAsRunning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u, m := newProcessModel(quota.Limits{MaxIdle: rapid.IntRange(0, 3).Draw(t, "max_idle"), IdleTimeout: 20 * time.Millisecond})
		var used []*upstream.Conn
		depth, joined := 0, 0
		event := func() {
			depth++
			defer func() { depth-- }()
			switch kind := rapid.IntRange(0, 8).Draw(t, "event"); kind {
			case 0:
				m.startedAt = m.tick()
			case 1, 2, 3:
				dialedAt := time.Duration(m.now.Load())
				reply, err := u.Control(kind == 1, statement.Control{Kind: statement.GetStatus}, time.Second)
				if err != nil {
					return
				}
				if started := time.Duration(reply.Term); reply.RunsSince < started {
					t.Fatalf("the process that answered started at %s, and counts as running since %s", started, reply.RunsSince)
				}
				if reply.RunsSince < dialedAt {
					joined++
				}
			case 4:
				if c, err := u.Checkout("w", nil, time.Second, nil); err == nil && len(used) < 4 {
					used = append(used, c)
				} else if err == nil {
					u.Return(c)
				}
			case 5, 6:
				if len(used) == 0 {
					return
				}
				k := rapid.IntRange(0, len(used)-1).Draw(t, "connection")
				c := used[k]
				used = append(used[:k:k], used[k+1:]...)
				_, err := c.Exec(statement.Statement{}, time.Second)
				switch {
				case err != nil:
					u.Discard(c)
				case rapid.Bool().Draw(t, "kept"):
					used = append(used, c)
				default:
					u.Return(c)
				}
			case 7:
				m.now.Add(int64(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond))
				u.CloseIdle()
			case 8:
				u.KeepOpen(time.Minute)
			}
		}
		m.during = func() {
			for depth < 4 && rapid.IntRange(0, 1).Draw(t, "overlaps") > 0 {
				event()
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			event()
		}
		t.Logf("%d answers of a process that was known before", joined)
	})
}

// Guards against a control command on a connection that was opened after the last answer,
// which would show less of how long the process has run.
func TestControlCommandsKeepShowingTheProcess(t *testing.T) {
	for _, newerLast := range []bool{false, true} {
		u, m := newProcessModel(quota.Limits{MaxIdle: 9, IdleTimeout: time.Minute})
		control := func() upstream.StatusReply {
			reply, err := u.Control(false, statement.Control{Kind: statement.GetStatus}, time.Second)
			assert.NilError(t, err)
			return reply
		}
		since := control().RunsSince
		m.now.Add(int64(time.Second))
		older, err := u.Checkout("", nil, time.Second, nil)
		assert.NilError(t, err)
		newer, err := u.Checkout("", nil, time.Second, nil)
		assert.NilError(t, err)
		if newerLast {
			u.Return(older)
			u.Return(newer)
		} else {
			u.Return(newer)
			u.Return(older)
		}
		for range 3 {
			m.now.Add(int64(time.Second))
			assert.Equal(t, control().RunsSince, since, "newer connection returned last: %v", newerLast)
		}
		m.startedAt = m.tick()
		_, err = u.Control(false, statement.Control{Kind: statement.GetStatus}, time.Second)
		assert.Assert(t, err != nil)
		reply, err := u.Control(true, statement.Control{Kind: statement.GetStatus}, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, reply.RunsSince >= m.startedAt)
	}
}
