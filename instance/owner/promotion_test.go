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
	"github.com/papayarail/papayarail/standin/dbgroup"
	"github.com/papayarail/papayarail/wire/group"
	"github.com/papayarail/papayarail/wire/upstream"
)

// hangLimit ends a hanging test; no verdict depends on it.
const hangLimit = time.Minute

// Guards against an owner that reads the status of its upstream between the
// move to a new term and the promotion in that term, and takes it for a replica
// of that term for good: nothing would be confirmed there any more.
func TestStatusBetweenAdoptionAndPromotion(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), hangLimit)
	defer cancel()
	members := startGroup(ctx, t)
	began := time.Now()
	log := logrus.New()
	log.SetOutput(io.Discard)
	u := Start(ctx, Config{
		Instance: "i", Service: "s", Name: "s-b", Address: members[1].Addr(), GroupSize: 3, Connections: 15, Slots: 2,
		Now:        func() time.Duration { return time.Since(began) + time.Millisecond },
		Barrier:    func(context.Context, string) (position.Position, error) { return position.Position{}, io.EOF },
		MayBeAlive: func(string, uint64) bool { return true },
		Log:        logrus.NewEntry(log),
	})
	defer u.Stop()
	b, c := control(ctx, t, members[1]), control(ctx, t, members[2])
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
	}, poll.WithTimeout(hangLimit))
	assert.NilError(t, b.Promote(ctx, 2, "attempt"))
	assert.NilError(t, c.Follow(ctx, 2, "s-b", members[1].Addr()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p, err := u.Barrier(ctx)
		if err != nil {
			return poll.Continue("barrier: %v", err)
		}
		assert.Equal(t, p.Term, uint64(2))
		return poll.Success()
	}, poll.WithTimeout(hangLimit))
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

func control(ctx context.Context, t *testing.T, m *dbgroup.Member) *group.Client {
	c, err := upstream.Dial(ctx, upstream.Config{Address: m.Addr(), User: "papayarail", Database: "s"})
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return group.New(c)
}
