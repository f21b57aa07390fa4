package upstream

import (
	"errors"
	"time"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/proxy/statement"
)

// Job is one statement of a session with what its connection needs.
type Job struct {
	Statement statement.Statement
	// Caller names the session for fair queuing.
	Caller string
	Rank   schedule.Rank
	// Values are the session's values. They are not changed later.
	Values map[string]string
	// Prepared is the prepared statement that Statement executes, or nil.
	Prepared *Prepared
	// Deadline is the end of the statement's time, on the local clock. Whatever has
	// not been sent to the member by then is not sent.
	Deadline time.Duration
	// Limit bounds the execution; 0: only Deadline does.
	Limit time.Duration
	// CommitsWrites means that a member which executes the statement may keep a write:
	// it is a write on its own, or the commit of writes.
	CommitsWrites bool
	// OnlyCandidate means that no other member probably has what it reads.
	OnlyCandidate bool
}

// Result is what is known after a Job.
type Result struct {
	// Reply is the member's answer, if Err is nil.
	Reply statement.Reply
	// Err says why there is no answer: a *verdict.Error, or the error of the
	// connection.
	Err error
	// Sent says, with Err, that the member may have received the statement.
	Sent bool
	// Gateway is the instance that ran the job, if it was another one.
	Gateway string
}

// NotSent returns the Result of a job of which nothing was sent.
func NotSent(err error) Result { return Result{Err: err} }

// Unanswered returns the Result of a job whose connection failed.
func Unanswered(err error) Result {
	var link *statement.ConnError
	return Result{Err: err, Sent: !errors.As(err, &link) || link.Sent}
}

// Tx is an open transaction on one connection. It is used by one goroutine.
type Tx interface {
	// Run runs a statement in the transaction. If Err is set, the connection is
	// lost, unless nothing was sent; an answered commit ends the transaction.
	Run(j Job) Result
	// Abandon rolls back, if the transaction is still open.
	Abandon()
}

// OpenResult is what is known after a transaction was to be opened: the results of
// its beginning and, if that was answered without an error, of its first statement.
type OpenResult struct {
	Begin Result
	First Result
}

// Begun reports whether the transaction was opened.
func (o OpenResult) Begun() bool { return o.Begin.Err == nil && o.Begin.Reply.Err == nil }
