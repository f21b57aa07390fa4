// Package coordinator runs the failover coordinators. It probes the members of a
// database group and, when the primary has failed, performs the steps of the election
// of a new one. The decisions are made by the state machine in core/failover.
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

// databaseClient is the coordinator's connection to one member of the group. It is
// safe for concurrent use, with one request at a time.
type databaseClient struct {
	id              failover.MemberID
	address         string
	service         string // name of the database on the member
	applicationName string
	source          netip.Addr

	mu   sync.Mutex
	conn *upstream.Conn
}

// withClient runs f on the connection. With fresh set it first opens a new one,
// because an existing connection can be broken while the database works.
func (d *databaseClient) withClient(ctx context.Context, fresh bool, f func(*group.Client) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fresh {
		d.closeConn()
	}
	if d.conn == nil {
		c, err := upstream.Dial(ctx, d.dialConfig(ctx))
		if err != nil {
			return err
		}
		d.conn = c
	}
	err := f(group.New(d.conn))
	if err != nil && group.SQLState(err) == "" {
		d.closeConn()
	}
	return err
}

func (d *databaseClient) dialConfig(ctx context.Context) upstream.Config {
	c := upstream.Config{
		Address:         d.address,
		User:            "papayarail",
		Database:        d.service,
		ApplicationName: d.applicationName,
		SourceAddress:   d.source,
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.ConnectTimeout = time.Until(deadline)
	}
	return c
}

func (d *databaseClient) closeConn() {
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

func (d *databaseClient) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeConn()
}

func (d *databaseClient) status(ctx context.Context, fresh bool) (failover.Status, error) {
	var out failover.Status
	err := d.withClient(ctx, fresh, func(c *group.Client) error {
		s, err := c.Status(ctx)
		out = toStatus(s)
		return err
	})
	return out, err
}

// toStatus converts the status of a member to the form that core/failover takes.
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

var errUnknownPrimary = errors.New("the primary to follow is not a member of the service")

func (d *databaseClient) adopt(ctx context.Context, term uint64, attempt string, quorum []string) (group.AdoptResult, error) {
	var out group.AdoptResult
	err := d.withClient(ctx, false, func(c *group.Client) error {
		a, err := c.Adopt(ctx, term, attempt, quorum)
		out = a
		return err
	})
	return out, err
}

func (d *databaseClient) promote(ctx context.Context, term uint64, attempt string) error {
	return d.withClient(ctx, false, func(c *group.Client) error { return c.Promote(ctx, term, attempt) })
}

func (d *databaseClient) follow(ctx context.Context, term uint64, primary *databaseClient) error {
	if primary == nil {
		return errUnknownPrimary
	}
	return d.withClient(ctx, false, func(c *group.Client) error {
		return c.Follow(ctx, term, string(primary.id), primary.address)
	})
}
