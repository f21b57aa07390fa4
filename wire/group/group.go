// Package group calls the group functions of a database group member: status,
// waiting for a position, barriers, changes of term, and its connections.
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

// Class groups the errors of this package. Errors of the member keep their
// *pgconn.PgError in the chain, errors of the connection their *verdict.Error.
var Class = errs.Class("group")

// SQLStateReadOnly is the SQLSTATE of a write or barrier on a member that is not primary.
const SQLStateReadOnly = "25006"

// Querier runs SQL and returns rows as text; *upstream.Conn is one.
type Querier interface {
	Query(ctx context.Context, sql string) ([][]string, error)
}

// Role is the part that a member plays in its group.
type Role string

// The roles of members.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is what a member reports about itself.
type Status struct {
	Member string
	Role   Role
	Term   uint64
	// LastPosition is the position of the last log entry; on a replica, of the last applied one.
	LastPosition  position.Position
	PrimaryMember string
	// ConfirmedOffsets maps members to the offset that they confirmed under the
	// current term. Only a primary reports it.
	ConfirmedOffsets map[string]uint64
}

// AdoptResult is the answer to a request to move to a term.
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
type Client struct{ q Querier }

// New returns a client that uses q.
func New(q Querier) *Client { return &Client{q: q} }

// SQLState returns the SQLSTATE with which the member refused, or "".
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
// member has applied p (on a replica), or after wait, which is rounded down to
// milliseconds. The caller compares the status with p.
func (c *Client) Wait(ctx context.Context, p position.Position, wait time.Duration) (Status, error) {
	return c.status(ctx, fmt.Sprintf("SELECT * FROM group_wait(%d, %d, %d)", p.Term, p.Offset, wait.Milliseconds()))
}

// Barrier writes a no-op log entry and returns its position. A member that is
// not primary refuses with SQLStateReadOnly.
func (c *Client) Barrier(ctx context.Context) (position.Position, error) {
	row, err := c.row(ctx, "SELECT * FROM group_barrier()", 2)
	if err != nil {
		return position.Position{}, err
	}
	f := fields{row: row}
	p := position.Position{Term: f.number(0, 64), Offset: f.number(1, 64)}
	return p, Class.Wrap(f.err)
}

// Adopt asks the member to move to term for the given attempt. quorum lists
// the members that the coordinator counts on, sent as a comma-separated text.
func (c *Client) Adopt(ctx context.Context, term uint64, attempt string, quorum []string) (AdoptResult, error) {
	sql := fmt.Sprintf("SELECT * FROM group_adopt(%d, %s, %s)", term, literal(attempt), literal(strings.Join(quorum, ",")))
	row, err := c.row(ctx, sql, 4)
	if err != nil {
		return AdoptResult{}, err
	}
	f := fields{row: row}
	a := AdoptResult{
		Granted:      f.boolean(0),
		Term:         f.number(1, 64),
		LastPosition: position.Position{Term: f.number(2, 64), Offset: f.number(3, 64)},
	}
	return a, Class.Wrap(f.err)
}

// Promote makes the member primary of term, which it granted to attempt. Rows
// in the answer are ignored; a refusal is an error with SQLSTATE.
func (c *Client) Promote(ctx context.Context, term uint64, attempt string) error {
	return c.run(ctx, fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, literal(attempt)))
}

// Follow makes the member follow a primary at address (host:port) in term.
func (c *Client) Follow(ctx context.Context, term uint64, primary, address string) error {
	return c.run(ctx, fmt.Sprintf("SELECT * FROM group_follow(%d, %s, %s)", term, literal(primary), literal(address)))
}

// Connections lists the sessions on the member.
func (c *Client) Connections(ctx context.Context) ([]Connection, error) {
	rows, err := c.q.Query(ctx, "SELECT * FROM group_connections()")
	if err != nil {
		return nil, Class.Wrap(err)
	}
	list := make([]Connection, 0, len(rows))
	for _, row := range rows {
		if len(row) < 2 {
			return nil, Class.New("group_connections returned %d columns, want 2", len(row))
		}
		f := fields{row: row}
		pid := f.number(0, 32)
		if f.err != nil {
			return nil, Class.Wrap(f.err)
		}
		list = append(list, Connection{PID: uint32(pid), ApplicationName: row[1]})
	}
	return list, nil
}

// Terminate ends a session and reports whether the member found it.
func (c *Client) Terminate(ctx context.Context, pid uint32) (bool, error) {
	row, err := c.row(ctx, fmt.Sprintf("SELECT pg_terminate_backend(%d)", pid), 1)
	if err != nil {
		return false, err
	}
	f := fields{row: row}
	found := f.boolean(0)
	return found, Class.Wrap(f.err)
}

func (c *Client) status(ctx context.Context, sql string) (Status, error) {
	row, err := c.row(ctx, sql, 7)
	if err != nil {
		return Status{}, err
	}
	f := fields{row: row}
	s := Status{
		Member:           row[0],
		Role:             f.role(1),
		Term:             f.number(2, 64),
		LastPosition:     position.Position{Term: f.number(3, 64), Offset: f.number(4, 64)},
		PrimaryMember:    row[5],
		ConfirmedOffsets: f.offsets(6),
	}
	return s, Class.Wrap(f.err)
}

// row runs sql, which must return one row of at least the given columns.
func (c *Client) row(ctx context.Context, sql string, columns int) ([]string, error) {
	rows, err := c.q.Query(ctx, sql)
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
	_, err := c.q.Query(ctx, sql)
	return Class.Wrap(err)
}

// literal quotes text for SQL with standard_conforming_strings on.
func literal(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// fields reads the columns of a row and keeps the first error.
type fields struct {
	row []string
	err error
}

func (f *fields) fail(i int, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("column %d is %q, want %s", i+1, f.row[i], want)
	}
}

func (f *fields) number(i, bits int) uint64 {
	n, err := strconv.ParseUint(f.row[i], 10, bits)
	if err != nil {
		f.fail(i, "an unsigned number")
	}
	return n
}

func (f *fields) boolean(i int) bool {
	switch f.row[i] {
	case "t", "true":
		return true
	case "f", "false":
		return false
	}
	f.fail(i, "a boolean")
	return false
}

func (f *fields) role(i int) Role {
	r := Role(f.row[i])
	if r != Primary && r != Replica {
		f.fail(i, "primary or replica")
	}
	return r
}

func (f *fields) offsets(i int) map[string]uint64 {
	if f.row[i] == "" {
		return nil
	}
	var m map[string]uint64
	if err := json.Unmarshal([]byte(f.row[i]), &m); err != nil {
		f.fail(i, "a JSON object of offsets")
	}
	return m
}
