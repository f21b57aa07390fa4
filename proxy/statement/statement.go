// Package statement defines the statements of callers, the replies of upstreams and
// the connections that carry both, independent of any wire protocol. The codec of a
// caller protocol implements Caller, that of an upstream protocol implements Dialer
// and Conn.
package statement

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/takeover"
)

// Class groups the errors of this package.
var Class = errs.Class("statement")

// Kind is the kind of a statement.
type Kind uint8

const (
	// Begin opens a transaction that may write.
	Begin Kind = iota
	// BeginReadOnly opens a read-only transaction.
	BeginReadOnly
	// Commit commits the open transaction.
	Commit
	// Rollback rolls back the open transaction.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// SetValue sets a session value.
	SetValue
	// Prepare creates a prepared statement that lasts until the end of the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
	// Reset drops all session values and prepared statements of an upstream
	// connection. Callers do not send it.
	Reset
)

var kindNames = [...]string{"begin", "begin_read_only", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "reset"}

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one request of a caller, or one that papayarail sends itself.
type Statement struct {
	// ID is the caller's request ID; empty for papayarail's own statements.
	ID   string
	Kind Kind
	// Name is the name of the session value or of the prepared statement.
	Name string
	// Writes means, in a Prepare, that the prepared statement writes.
	Writes bool
	// Operands is the rest of the statement, forwarded byte for byte.
	Operands string
	// After is the position that the upstream's log must have reached; zero means any.
	After position.Position
}

// State is the transaction state of a session after a reply.
type State uint8

const (
	// Idle means that no transaction is open.
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// FailedTransaction means that the open transaction has failed and can only be
	// ended.
	FailedTransaction
)

// Reply is the complete reply to one statement.
type Reply struct {
	Rows []string
	// Signature is the upstream's proof that it executed the statement; empty if
	// papayarail answered the statement itself.
	Signature string
	// Err is an *UpstreamError, a *verdict.Error, or nil for success.
	Err   error
	State State
	// Position is the upstream's log position after the statement, or zero.
	Position position.Position
}

// Reason is why an upstream refused a statement, or why the statement failed.
type Reason uint8

const (
	// Failed means that the statement ran and failed.
	Failed Reason = iota
	// Busy means that the upstream's queue is full; the statement did not run.
	Busy
	// Behind means that the member's log has not reached the required position; the
	// statement did not run.
	Behind
	// ReadOnly means that the member is not the primary; the statement did not run.
	ReadOnly
	// WrongMember means that another member or service listens at the address.
	WrongMember
	// TooManyConnections means that the upstream's connection limit is reached.
	TooManyConnections
	// NoSuchStatement means that the prepared statement does not exist; nothing ran.
	NoSuchStatement
	// TimedOut means that the upstream cancelled the statement while it ran.
	TimedOut
	// Aborted means that the transaction was rolled back.
	Aborted
	// Unknown means that the upstream does not know the outcome of the statement.
	Unknown
	// Denied means that the upstream rejects the caller.
	Denied
	// NoDatabase means that the database does not exist.
	NoDatabase
	// TooLarge means that the statement exceeds a size limit.
	TooLarge
	// Malformed means that the statement cannot be parsed or is not allowed in the
	// present state of the session.
	Malformed
)

var reasonNames = [...]string{"failed", "busy", "behind", "read_only", "wrong_member", "too_many_connections", "no_such_statement",
	"timed_out", "aborted", "unknown", "denied", "no_database", "too_large", "malformed"}

// String returns the name of the reason as it appears in logs.
func (r Reason) String() string { return reasonNames[r] }

// HasNoEffect reports whether the reason implies that the statement had no lasting
// effect.
func (r Reason) HasNoEffect() bool {
	switch r {
	case Busy, Behind, ReadOnly, WrongMember, TooManyConnections, Aborted:
		return true
	default:
		return false
	}
}

// UpstreamError is an error reply of an upstream.
type UpstreamError struct {
	Reason Reason
	Text   string
}

// Error implements error.
func (e *UpstreamError) Error() string {
	return fmt.Sprintf("upstream answered %s: %s", e.Reason, e.Text)
}

// ReasonOf returns the reason of an UpstreamError; ok is false if err is not one.
func ReasonOf(err error) (r Reason, ok bool) {
	var u *UpstreamError
	if errors.As(err, &u) {
		return u.Reason, true
	}
	return 0, false
}

// ConnError means that an upstream connection could not be opened, broke or timed out.
// An open connection must be closed after it.
type ConnError struct {
	// Sent is false only if no byte of the statement left this instance.
	Sent bool
	// Timeout means that no answer arrived in time, as opposed to a broken connection.
	Timeout bool
	// Refused means that no process listens at the address.
	Refused bool
	Err     error
}

// Error implements error.
func (e *ConnError) Error() string { return fmt.Sprintf("upstream connection: %v", e.Err) }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Err }

// ControlKind is the kind of a control command.
type ControlKind uint8

const (
	// GetStatus returns the member's status and changes nothing.
	GetStatus ControlKind = iota
	// PauseReplication stops a replica from receiving log entries.
	PauseReplication
	// ResumeReplication lets a paused replica receive again.
	ResumeReplication
	// StepDown turns a primary of a lower term into a replica.
	StepDown
)

// Control is a command to a member that belongs to no caller's session. Term applies to
// PauseReplication and StepDown only.
type Control struct {
	Kind ControlKind
	Term uint64
}

// Conn is one connection to an upstream. It is used by one goroutine at a time.
type Conn interface {
	// Exec sends a statement and returns its reply. The error is a *ConnError.
	Exec(s Statement, timeout time.Duration) (Reply, error)
	// ExecAll sends several statements at once and returns their replies in order. The
	// error is a *ConnError.
	ExecAll(s []Statement, timeout time.Duration) ([]Reply, error)
	// Control sends a control command and returns the member's status after it. The
	// error is a *ConnError, or an *UpstreamError if the member refused the command.
	Control(c Control, timeout time.Duration) (takeover.Status, error)
	// Alive reports whether the connection is open and has no unread input.
	Alive() bool
	Close()
}

// Target is the member to connect to.
type Target struct {
	Service string
	ID      string
	Address string
	// Workspace is the workspace in whose name the connection is opened; empty for open
	// routes and for papayarail's own commands.
	Workspace string
}

// Dialer opens connections to members.
type Dialer interface {
	// Dial connects to a member. The error is an *UpstreamError if the member refused
	// the connection with a reply, otherwise a *ConnError.
	Dial(t Target, timeout time.Duration) (Conn, error)
}

// ErrIdle means that a caller sent nothing within the time passed to Caller.Next.
var ErrIdle = errors.New("caller sent nothing in time")

// Caller is the connection of one caller after its start-up phase.
type Caller interface {
	// Next waits for the next statement, without limit if idle is 0. It returns
	// ErrIdle after idle, a *SyntaxError for a statement that cannot be parsed, and
	// any other error when the connection has ended or failed.
	Next(idle time.Duration) (Statement, error)
	// Answer sends a complete reply.
	Answer(r Reply) error
	// Pending reports whether the caller has sent input that Next has not returned
	// yet.
	Pending() bool
	// Gone reports, without blocking, whether the caller has closed its connection. It may
	// be called by any goroutine, also while a statement is handled.
	Gone() bool
}

// SyntaxError means that a statement cannot be parsed. The session continues.
type SyntaxError struct{ Text string }

// Error implements error.
func (e *SyntaxError) Error() string { return "malformed statement: " + e.Text }
