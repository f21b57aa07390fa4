// Package verdict defines the errors that papayarail returns to callers. Each error states
// whether the request may have been executed, and thus whether it is safe to retry.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class is the class of the errors of papayarail.
var Class = errs.Class("papayarail")

// Verdict says whether a failed request may have been executed.
type Verdict uint8

const (
	// MayHaveRun means that the outcome is unknown. It is the zero value, so that an
	// error without a verdict is never treated as safe to retry.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not executed and will not be.
	NotRun
	// Ran means that the database executed the request and responded.
	Ran
)

// String returns the verdict as it appears in error details and in JSON.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Code is the reason of an Error.
type Code uint8

const (
	// Internal is an unexpected error inside papayarail.
	Internal Code = iota
	// Overloaded means that a queue is full or that the request was shed.
	Overloaded
	// DeadlineUnreachable means that the request could not start before its deadline.
	DeadlineUnreachable
	// NoPrimary means that no primary is known, for example during a failover.
	NoPrimary
	// ReplicaBehind means that no reachable replica has applied the required position.
	ReplicaBehind
	// CutOff means that the upstream, instance or quorum that the request needs cannot be
	// reached from this failure domain.
	CutOff
	// Draining means that the instance is shutting down, or that the upstream accepts no new
	// requests because it is shutting down or handed over to another owner.
	Draining
	// OutcomeUnknown means that a write was sent and its outcome is unknown.
	OutcomeUnknown
	// UnknownService means that the configuration has no such service.
	UnknownService
	// Unsupported means that papayarail does not implement the request.
	Unsupported
	// ProtocolViolation means that the caller broke the PostgreSQL protocol.
	ProtocolViolation
	// TransactionRolledBack means that an open transaction was lost before its commit was
	// sent.
	TransactionRolledBack
	// CommitUnknown means that a commit was sent and its outcome is unknown.
	CommitUnknown
	// ConnectionLimit means that the instance accepts no further caller, or the owner of an
	// upstream has no connection for the request.
	ConnectionLimit
	// InvalidParameter means that a parameter of papayarail has an invalid value.
	InvalidParameter
	// ReadUnanswered means that a read was sent and no upstream responded.
	ReadUnanswered
	// Denied means that the caller's key belongs to no workspace.
	Denied
	// RateLimited means that the caller's workspace has used up its limit of operations.
	RateLimited
	// Cancelled means that the caller disconnected before the request was executed.
	Cancelled
)

// codeProperties holds the external name, the SQLSTATE and the usual verdict of a Code.
type codeProperties struct {
	name     string
	sqlState string
	verdict  Verdict
}

// codes uses the SQLSTATEs of Appendix A of the PostgreSQL documentation.
var codes = map[Code]codeProperties{
	Internal:              {"internal", "XX000", MayHaveRun},
	Overloaded:            {"overloaded", "53300", NotRun},
	DeadlineUnreachable:   {"deadline_unreachable", "57014", NotRun},
	NoPrimary:             {"no_primary", "57P03", NotRun},
	ReplicaBehind:         {"replica_behind", "57P03", NotRun},
	CutOff:                {"cut_off", "57P03", NotRun},
	Draining:              {"draining", "57P01", NotRun},
	OutcomeUnknown:        {"outcome_unknown", "08007", MayHaveRun},
	UnknownService:        {"unknown_service", "3D000", NotRun},
	Unsupported:           {"unsupported", "0A000", NotRun},
	ProtocolViolation:     {"protocol_violation", "08P01", NotRun},
	TransactionRolledBack: {"transaction_rolled_back", "40001", NotRun},
	CommitUnknown:         {"commit_unknown", "40003", MayHaveRun},
	ConnectionLimit:       {"connection_limit", "53300", NotRun},
	InvalidParameter:      {"invalid_parameter", "22023", NotRun},
	ReadUnanswered:        {"read_unanswered", "57014", MayHaveRun},
	Denied:                {"denied", "28000", NotRun},
	RateLimited:           {"rate_limited", "53400", NotRun},
	Cancelled:             {"cancelled", "57014", NotRun},
}

// String returns the name of the code as it appears in logs and metrics.
func (c Code) String() string { return codes[c].name }

// Error is an error with a verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	Message string
	// RetryAfter is the time after which the caller should retry; zero means unspecified.
	RetryAfter time.Duration
}

// New returns an Error with the usual verdict of its code. The message is formatted as by
// fmt.Sprintf.
func New(code Code, format string, args ...any) *Error {
	return &Error{Verdict: codes[code].verdict, Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// IsOverload reports whether the request was rejected because of overload. An immediate
// retry would add to the load; the caller is to wait for RetryAfter.
func (e *Error) IsOverload() bool {
	return e.Code == Overloaded || e.Code == DeadlineUnreachable
}

// Error returns the code, the verdict and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// SQLState returns the five-character SQLSTATE sent to callers.
func (e *Error) SQLState() string { return codes[e.Code].sqlState }

// Detail returns the machine-readable details of the error, for the detail field of the
// PostgreSQL ErrorResponse. retry_after_ms is in milliseconds.
func (e *Error) Detail() string {
	return fmt.Sprintf("verdict=%s code=%s retry_after_ms=%d", e.Verdict, e.Code, e.RetryAfter.Milliseconds())
}

// Hint returns advice for the user, for the hint field of the PostgreSQL ErrorResponse.
func (e *Error) Hint() string {
	switch {
	case e.Verdict == MayHaveRun:
		return "The request may have run. Ask again with the same papayarail.request_key to learn its outcome."
	case e.RetryAfter > 0:
		return fmt.Sprintf("The request was not run. Try again in %s.", e.RetryAfter.Round(time.Millisecond))
	default:
		return "The request was not run."
	}
}

// Of returns the verdict of err, or MayHaveRun if err has none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// FromError returns the Error that err wraps, or a new Error with the code Internal and the
// text of err.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
