// Package statement defines what callers ask and upstreams answer, independent
// of the protocol that carries it. A codec for callers implements Caller, a
// codec for upstreams implements Dialer and Conn.
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

// Kind is what a statement does.
type Kind uint8

const (
	// Begin opens a transaction that may write.
	Begin Kind = iota
	// BeginReadOnly opens a transaction that only reads.
	BeginReadOnly
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// SetValue sets a session value.
	SetValue
	// Prepare gives a statement a name for the rest of the session.
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
	// ID is the caller's request id; empty for papayarail's own statements.
	ID   string
	Kind Kind
	// Name is the name of the value or of the prepared statement.
	Name string
	// Writes says of a Prepare that the prepared statement writes.
	Writes bool
	// Operands is the rest of the statement, forwarded byte for byte.
	Operands string
	// After is the position that the upstream's log must have; zero: any.
	After position.Position
}

// State is the state of a session after an answer.
type State uint8

const (
	// Idle means that no transaction is open.
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// FailedTransaction means that the transaction can only be ended.
	FailedTransaction
)

// Reply is the complete answer to one statement.
type Reply struct {
	Rows []string
	// Signature is the upstream's proof of execution; empty if papayarail
	// answered the statement itself.
	Signature string
	// Err is an *UpstreamError, a *verdict.Error, or nil for success.
	Err   error
	State State
	// Position is the upstream's log position after the statement, or zero.
	Position position.Position
}

// Reason is why an upstream refused or failed a statement.
type Reason uint8

const (
	// Failed means that the statement ran and failed.
	Failed Reason = iota
	// Busy means that the upstream's queue is full; the statement did not run.
	Busy
	// Behind means that the log lacks the asked position; it did not run.
	Behind
	// ReadOnly means that the member is not the primary; it did not run.
	ReadOnly
	// WrongMember means that another member or service has the address.
	WrongMember
	// TooManyConnections means that the upstream's connection limit is reached.
	TooManyConnections
	// NoSuchStatement means that the prepared name is unknown; it did not run.
	NoSuchStatement
	// TimedOut means that the upstream gave up on the statement while it ran.
	TimedOut
	// Aborted means that the transaction was rolled back.
	Aborted
	// Unknown means that the upstream does not know the outcome.
	Unknown
	// Denied means that the upstream does not admit the caller.
	Denied
	// NoDatabase means that the database name is unknown.
	NoDatabase
	// TooLarge means that the statement exceeds a limit.
	TooLarge
	// Malformed means that the statement was not understood or out of place.
	Malformed
)

var reasonNames = [...]string{"failed", "busy", "behind", "read_only", "wrong_member", "too_many_connections", "no_such_statement",
	"timed_out", "aborted", "unknown", "denied", "no_database", "too_large", "malformed"}

// String returns the name of the reason as it appears in logs.
func (r Reason) String() string { return reasonNames[r] }

// HasNoEffect reports whether the reason promises that nothing of the statement
// is kept.
func (r Reason) HasNoEffect() bool {
	switch r {
	case Busy, Behind, ReadOnly, WrongMember, TooManyConnections, Aborted:
		return true
	default:
		return false
	}
}

// UpstreamError is an error answer of an upstream.
type UpstreamError struct {
	Reason Reason
	Text   string
}

// Error implements error.
func (e *UpstreamError) Error() string {
	return fmt.Sprintf("upstream answered %s: %s", e.Reason, e.Text)
}

// ReasonOf returns the reason of an upstream's error answer; ok is false if err
// is none.
func ReasonOf(err error) (r Reason, ok bool) {
	var u *UpstreamError
	if errors.As(err, &u) {
		return u.Reason, true
	}
	return 0, false
}

// ConnError means that an upstream connection broke or went silent. The
// connection must be closed.
type ConnError struct {
	// Sent is false only if no byte of the statement left this instance.
	Sent bool
	// Timeout means that no answer came in time, as opposed to a broken connection.
	Timeout bool
	// Refused means that no process listens at the address.
	Refused bool
	Err     error
}

// Error implements error.
func (e *ConnError) Error() string { return fmt.Sprintf("upstream connection: %v", e.Err) }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Err }

// ControlKind is an order to a member, outside of any caller's session.
type ControlKind uint8

const (
	// GetStatus changes nothing.
	GetStatus ControlKind = iota
	// PauseReplication stops a replica from receiving.
	PauseReplication
	// ResumeReplication ends a hold.
	ResumeReplication
	// StepDown makes a primary of a lower term a replica.
	StepDown
)

// Control is an order to a member. Term applies to PauseReplication and StepDown.
type Control struct {
	Kind ControlKind
	Term uint64
}

// Conn is one connection to an upstream. It is used by one goroutine at a time.
type Conn interface {
	// Exec sends a statement and returns its answer. An error is a *ConnError.
	Exec(s Statement, timeout time.Duration) (Reply, error)
	// ExecAll sends several statements at once and returns their answers in order.
	ExecAll(s []Statement, timeout time.Duration) ([]Reply, error)
	// Control sends an order and returns the member's status after it.
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
}

// Dialer opens links. The error is an *UpstreamError if the member refused the
// connection with an answer, else a *ConnError.
type Dialer interface {
	Dial(t Target, timeout time.Duration) (Conn, error)
}

// ErrIdle means that a caller sent nothing within the time given to Next.
var ErrIdle = errors.New("caller sent nothing in time")

// Caller is the connection of one caller after its start-up.
type Caller interface {
	// Next waits for the next statement; idle of 0 waits without limit. It
	// returns ErrIdle after idle, a *SyntaxError for a statement that could not
	// be read, and any other error when the connection is gone.
	Next(idle time.Duration) (Statement, error)
	// Answer sends a complete answer.
	Answer(r Reply) error
	// Pending reports whether the caller has sent something that Next has not
	// returned.
	Pending() bool
}

// SyntaxError means that a statement could not be read. The session goes on.
type SyntaxError struct{ Text string }

// Error implements error.
func (e *SyntaxError) Error() string { return "malformed statement: " + e.Text }
