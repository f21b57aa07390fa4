package upstream

import (
	"errors"
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/proxy/statement"
)

// Job is one statement of a session, with the session state that it needs and its limits.
type Job struct {
	Statement statement.Statement
	// Caller is the name of the session, for fair queuing.
	Caller string
	// Workspace is the caller's workspace, empty if it has none. The statement runs on a
	// connection that was opened in this name.
	Workspace string
	// Weight is the share of the workspace relative to others in fair queuing; 0 counts as 1.
	Weight float64
	Rank   schedule.Rank
	// Class distinguishes statements with different service times; see schedule.Request.
	Class schedule.ServiceClass
	// Gone reports whether the caller has disconnected; nil means that it never does. It is
	// called at intervals while the job waits, also by other goroutines, and does not block.
	// A job that was sent to a member is not cut off.
	Gone func() bool
	// Values are the session's values. The map must not be changed.
	Values map[string]string
	// Prepared is the prepared statement that Statement executes, or nil.
	Prepared *Prepared
	// Deadline is the end of the statement's time, on the local clock. Nothing is sent
	// to the member after it.
	Deadline time.Duration
	// Due is when the caller should have the answer: the arrival plus the objective of its
	// route, on the local clock. 0 means that only Deadline applies.
	Due time.Duration
	// Limit is the time limit of the execution; 0 means that only Deadline applies.
	Limit time.Duration
	// CommitsWrites means that the statement commits writes if it is executed: it is a
	// write outside of a transaction, or the COMMIT of a transaction that wrote.
	CommitsWrites bool
	// OnlyCandidate means that all other members are probably behind the position that
	// the statement requires.
	OnlyCandidate bool
}

// Result is the result of a Job.
type Result struct {
	// Reply is the member's answer, if Err is nil.
	Reply statement.Reply
	// Err is why there is no answer: a *verdict.Error, or the error of the dialer or
	// the connection.
	Err error
	// Sent means, if Err is set, that the member may have received the statement.
	Sent bool
	// Gateway is the instance that ran the job; empty if this one did.
	Gateway string
}

// NotSent returns the Result of a job of which nothing was sent.
func NotSent(err error) Result { return Result{Err: err} }

// Unanswered returns the Result of a job whose connection failed.
func Unanswered(err error) Result {
	var connErr *statement.ConnError
	return Result{Err: err, Sent: !errors.As(err, &connErr) || connErr.Sent}
}

// Tx is an open transaction on one connection. It is used by one goroutine.
type Tx interface {
	// Run runs a statement in the transaction. If the result has an Err and is Sent,
	// the connection is lost. An answered commit ends the transaction.
	Run(j Job) Result
	// Abandon rolls back the transaction if it is still open.
	Abandon()
}

// OpenResult is the result of opening a transaction: that of the BEGIN and, if it
// succeeded, that of the first statement.
type OpenResult struct {
	Begin Result
	First Result
}

// Begun reports whether the transaction was opened.
func (o OpenResult) Begun() bool { return o.Begin.Err == nil && o.Begin.Reply.Err == nil }
