// Package group is a client for the SQL functions with which the members of a
// database group are controlled: replication status, waiting for a log position,
// barriers, changes of term and primary (failover), and the member's sessions.
package group

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/position"
)

// Class groups the errors of this package. The chain of an error contains the
// *pgconn.PgError if the member refused, or the *verdict.Error if the connection
// failed.
var Class = errs.Class("group")

// SQLStateReadOnly is the SQLSTATE of a write or barrier on a member that is not primary.
const SQLStateReadOnly = "25006"

// Querier runs SQL and returns the rows as text. *upstream.Conn implements it.
type Querier interface {
	Query(ctx context.Context, sql string) ([][]string, error)
}

// Role is the replication role of a member.
type Role string

// The replication roles.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is the replication status that a member reports about itself.
type Status struct {
	Member string
	Role   Role
	Term   uint64
	// LastPosition is the position of the last log entry on a primary, and of the
	// last applied entry on a replica.
	LastPosition  position.Position
	PrimaryMember string // "" if the member knows none
	// ConfirmedOffsets maps members to the log offset that they confirmed in the
	// current term. Only a primary reports it.
	ConfirmedOffsets map[string]uint64
}

// AdoptResult is the answer of a member to a request to adopt a term.
type AdoptResult struct {
	Granted      bool
	Term         uint64
	LastPosition position.Position
}

// Connection is a session on a member.
type Connection struct {
	PID             uint32
	ApplicationName string
}

// Client calls the group functions over one connection.
type Client struct{ querier Querier }

// New returns a client that runs the functions with q.
func New(q Querier) *Client { return &Client{querier: q} }

// SQLState returns the SQLSTATE with which the member refused, or "" if err is not
// an error of the member.
func SQLState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

// Status returns the status of the member.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return c.status(ctx, "SELECT * FROM group_status()")
}

// Wait returns the status once a quorum has confirmed p (on a primary) or the
// member has applied p (on a replica), or after timeout, which is rounded down to
// milliseconds. Reaching the timeout is not an error: compare the status with p.
func (c *Client) Wait(ctx context.Context, p position.Position, timeout time.Duration) (Status, error) {
	return c.status(ctx, fmt.Sprintf("SELECT * FROM group_wait(%d, %d, %d)", p.Term, p.Offset, timeout.Milliseconds()))
}

// Barrier writes a no-op log entry and returns its position. A member that is
// not primary refuses with SQLStateReadOnly.
func (c *Client) Barrier(ctx context.Context) (position.Position, error) {
	row, err := c.row(ctx, "SELECT * FROM group_barrier()", 2)
	if err != nil {
		return position.Position{}, err
	}
	columns := rowReader{row: row}
	p := position.Position{Term: columns.number(0, 64), Offset: columns.number(1, 64)}
	return p, Class.Wrap(columns.err)
}

// Adopt asks the member to adopt term for the given failover attempt. quorum lists
// the members that may form the coordinator's quorum, sent as comma-separated text.
func (c *Client) Adopt(ctx context.Context, term uint64, attempt string, quorum []string) (AdoptResult, error) {
	sql := fmt.Sprintf("SELECT * FROM group_adopt(%d, %s, %s)", term, quoteLiteral(attempt), quoteLiteral(strings.Join(quorum, ",")))
	row, err := c.row(ctx, sql, 4)
	if err != nil {
		return AdoptResult{}, err
	}
	columns := rowReader{row: row}
	a := AdoptResult{
		Granted:      columns.boolean(0),
		Term:         columns.number(1, 64),
		LastPosition: position.Position{Term: columns.number(2, 64), Offset: columns.number(3, 64)},
	}
	return a, Class.Wrap(columns.err)
}

// Promote makes the member the primary of term, which it must have granted to
// attempt. Rows in the answer are ignored; a refusal is an error with SQLSTATE.
func (c *Client) Promote(ctx context.Context, term uint64, attempt string) error {
	return c.run(ctx, fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, quoteLiteral(attempt)))
}

// Follow makes the member follow a primary at address (host:port) in term.
func (c *Client) Follow(ctx context.Context, term uint64, primary, address string) error {
	return c.run(ctx, fmt.Sprintf("SELECT * FROM group_follow(%d, %s, %s)", term, quoteLiteral(primary), quoteLiteral(address)))
}

// Connections lists the sessions on the member.
func (c *Client) Connections(ctx context.Context) ([]Connection, error) {
	rows, err := c.querier.Query(ctx, "SELECT * FROM group_connections()")
	if err != nil {
		return nil, Class.Wrap(err)
	}
	list := make([]Connection, 0, len(rows))
	for _, row := range rows {
		if len(row) < 2 {
			return nil, Class.New("group_connections returned %d columns, want 2", len(row))
		}
		columns := rowReader{row: row}
		pid := columns.number(0, 32)
		if columns.err != nil {
			return nil, Class.Wrap(columns.err)
		}
		list = append(list, Connection{PID: uint32(pid), ApplicationName: row[1]})
	}
	return list, nil
}

// Terminate ends a session and returns whether the member found it.
func (c *Client) Terminate(ctx context.Context, pid uint32) (bool, error) {
	row, err := c.row(ctx, fmt.Sprintf("SELECT pg_terminate_backend(%d)", pid), 1)
	if err != nil {
		return false, err
	}
	columns := rowReader{row: row}
	found := columns.boolean(0)
	return found, Class.Wrap(columns.err)
}

func (c *Client) status(ctx context.Context, sql string) (Status, error) {
	row, err := c.row(ctx, sql, 7)
	if err != nil {
		return Status{}, err
	}
	columns := rowReader{row: row}
	s := Status{
		Member:           row[0],
		Role:             columns.role(1),
		Term:             columns.number(2, 64),
		LastPosition:     position.Position{Term: columns.number(3, 64), Offset: columns.number(4, 64)},
		PrimaryMember:    row[5],
		ConfirmedOffsets: columns.offsets(6),
	}
	return s, Class.Wrap(columns.err)
}

// row runs sql, which must return one row with at least the given number of columns.
func (c *Client) row(ctx context.Context, sql string, columns int) ([]string, error) {
	rows, err := c.querier.Query(ctx, sql)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(rows) != 1 {
		return nil, Class.New("%s returned %d rows, want 1", sql, len(rows))
	}
	if len(rows[0]) < columns {
		return nil, Class.New("%s returned %d columns, want %d", sql, len(rows[0]), columns)
	}
	return rows[0], nil
}

func (c *Client) run(ctx context.Context, sql string) error {
	_, err := c.querier.Query(ctx, sql)
	return Class.Wrap(err)
}

// quoteLiteral quotes text as a SQL literal for standard_conforming_strings = on.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// rowReader decodes the columns of a row and keeps the first error.
type rowReader struct {
	row []string
	err error
}

func (c *rowReader) fail(i int, want string) {
	if c.err == nil {
		c.err = fmt.Errorf("column %d is %q, want %s", i+1, c.row[i], want)
	}
}

func (c *rowReader) number(i, bits int) uint64 {
	n, err := strconv.ParseUint(c.row[i], 10, bits)
	if err != nil {
		c.fail(i, "an unsigned number")
	}
	return n
}

func (c *rowReader) boolean(i int) bool {
	switch c.row[i] {
	case "t", "true":
		return true
	case "f", "false":
		return false
	}
	c.fail(i, "a boolean")
	return false
}

func (c *rowReader) role(i int) Role {
	r := Role(c.row[i])
	if r != Primary && r != Replica {
		c.fail(i, "primary or replica")
	}
	return r
}

func (c *rowReader) offsets(i int) map[string]uint64 {
	if c.row[i] == "" {
		return nil
	}
	var m map[string]uint64
	if err := json.Unmarshal([]byte(c.row[i]), &m); err != nil {
		c.fail(i, "a JSON object of offsets")
	}
	return m
}
