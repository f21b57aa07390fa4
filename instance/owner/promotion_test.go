package owner

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/standin/dbgroup"
	"github.com/papayarail/papayarail/wire/group"
	"github.com/papayarail/papayarail/wire/upstream"
)

// testTimeout ends a test that hangs. No result depends on it.
const testTimeout = time.Minute

// Guards against an owner that reads the status of its upstream after the member
// has adopted a new term and before its promotion in that term, and then treats it
// as a replica for the whole term: nothing would be confirmed there any more.
func TestStatusBetweenAdoptionAndPromotion(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	members := startGroup(ctx, t)
	u := startUpstream(ctx, t, members[1], "s-b")
	b, c := controlClient(ctx, t, members[1]), controlClient(ctx, t, members[2])
	for _, m := range []*group.Client{b, c} {
		grant, err := m.Adopt(ctx, 2, "attempt", nil)
		assert.NilError(t, err)
		assert.Assert(t, grant.Granted)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u.Health().Term != 2 {
			return poll.Continue("the owner has not seen the new term")
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	assert.NilError(t, b.Promote(ctx, 2, "attempt"))
	assert.NilError(t, c.Follow(ctx, 2, "s-b", members[1].Addr()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p, err := u.Barrier(ctx)
		if err != nil {
			return poll.Continue("barrier: %v", err)
		}
		assert.Equal(t, p.Term, uint64(2))
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}

// Guards against a committed write that its caller is told has not run: its position was confirmed
// before its answer was handled, so that it waited like a read, and then the primary was replaced.
func TestReplacedPrimaryLeavesCommittedWriteUnknown(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	members := startGroup(ctx, t)
	u := startUpstream(ctx, t, members[0], "s-a")
	var committed position.Position
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		if committed, err = u.Barrier(ctx); err != nil {
			return poll.Continue("barrier: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	u.mu.Lock()
	u.quiescedUntil = u.now() + testTimeout // no barrier confirms the primary
	u.mu.Unlock()
	failure := make(chan error, 1)
	go func() {
		_, err := u.confirm(ctx, u.trackStarted(), true, committed)
		failure <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		u.mu.Lock()
		defer u.mu.Unlock()
		if len(u.confirmed) == 0 {
			return poll.Continue("the write does not wait yet")
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	u.LearnTerm(committed.Term+1, "s-b")
	assert.Equal(t, verdict.FromError(<-failure).Verdict, verdict.MayHaveRun)
	_, err := u.confirm(ctx, u.trackStarted(), true, committed)
	assert.Equal(t, verdict.FromError(err).Verdict, verdict.MayHaveRun, "answered after the change: %v", err)
	_, err = u.confirm(ctx, u.trackStarted(), false, committed)
	assert.Equal(t, verdict.FromError(err).Verdict, verdict.NotRun, "a read: %v", err)
}

// startUpstream starts the owner of a member.
func startUpstream(ctx context.Context, t *testing.T, m *dbgroup.Member, name string) *Upstream {
	startedAt := time.Now()
	log := logrus.New()
	log.SetOutput(io.Discard)
	u := Start(ctx, Config{
		Instance: "i", Service: "s", Name: name, Address: m.Addr(), GroupSize: 3, Connections: 15, Slots: 2,
		Now:        func() time.Duration { return time.Since(startedAt) + time.Millisecond },
		Barrier:    func(context.Context, string) (position.Position, error) { return position.Position{}, io.EOF },
		MayBeAlive: func(string, uint64) bool { return true },
		Log:        logrus.NewEntry(log),
	})
	t.Cleanup(u.Stop)
	return u
}

func startGroup(ctx context.Context, t *testing.T) []*dbgroup.Member {
	var addresses []string
	var listeners []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	var members []*dbgroup.Member
	for i, c := range dbgroup.GroupConfigs("s", []string{"a", "b", "c"}, addresses) {
		c.Listener = listeners[i]
		m, err := dbgroup.New(c)
		assert.NilError(t, err)
		go func() { _ = m.Serve(ctx) }()
		members = append(members, m)
	}
	return members
}

func controlClient(ctx context.Context, t *testing.T, m *dbgroup.Member) *group.Client {
	c, err := upstream.Dial(ctx, upstream.Config{Address: m.Addr(), User: "papayarail", Database: "s"})
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return group.New(c)
}
