// Package coordinator runs the failover coordinators: it performs the actions of
// core/failover on the members of the database groups.
package coordinator

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/wire/group"
	"github.com/papayarail/papayarail/wire/upstream"
)

// member is the coordinator's control connection to one database.
type member struct {
	id      failover.MemberID
	address string
	service string
	app     string
	source  netip.Addr

	mu   sync.Mutex
	conn *upstream.Conn
}

// do runs f on the control connection. With fresh set, a new connection is
// opened first, because an open one can be silent while the database works.
func (m *member) do(ctx context.Context, fresh bool, f func(*group.Client) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fresh {
		m.drop()
	}
	if m.conn == nil {
		c, err := upstream.Dial(ctx, m.dialConfig(ctx))
		if err != nil {
			return err
		}
		m.conn = c
	}
	err := f(group.New(m.conn))
	if err != nil && group.SQLState(err) == "" {
		m.drop()
	}
	return err
}

func (m *member) dialConfig(ctx context.Context) upstream.Config {
	c := upstream.Config{
		Address:         m.address,
		User:            "papayarail",
		Database:        m.service,
		ApplicationName: m.app,
		SourceAddress:   m.source,
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.ConnectTimeout = time.Until(deadline)
	}
	return c
}

func (m *member) drop() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

func (m *member) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop()
}

func (m *member) status(ctx context.Context, fresh bool) (failover.Status, error) {
	var out failover.Status
	err := m.do(ctx, fresh, func(c *group.Client) error {
		s, err := c.Status(ctx)
		out = toStatus(s)
		return err
	})
	return out, err
}

func toStatus(s group.Status) failover.Status {
	out := failover.Status{
		Role:    failover.Replica,
		Term:    s.Term,
		Last:    s.LastPosition,
		Primary: failover.MemberID(s.PrimaryMember),
	}
	if s.Role == group.Primary {
		out.Role = failover.Primary
		out.Confirmed = make(map[failover.MemberID]uint64, len(s.ConfirmedOffsets))
	}
	for name, offset := range s.ConfirmedOffsets {
		out.Confirmed[failover.MemberID(name)] = offset
	}
	return out
}

var errRefused = errors.New("the member refused")

func (m *member) adopt(ctx context.Context, term uint64, attempt string, quorum []string) (group.AdoptResult, error) {
	var out group.AdoptResult
	err := m.do(ctx, false, func(c *group.Client) error {
		a, err := c.Adopt(ctx, term, attempt, quorum)
		out = a
		return err
	})
	return out, err
}

func (m *member) promote(ctx context.Context, term uint64, attempt string) error {
	return m.do(ctx, false, func(c *group.Client) error { return c.Promote(ctx, term, attempt) })
}

func (m *member) follow(ctx context.Context, term uint64, primary *member) error {
	if primary == nil {
		return errRefused
	}
	return m.do(ctx, false, func(c *group.Client) error {
		return c.Follow(ctx, term, string(primary.id), primary.address)
	})
}
