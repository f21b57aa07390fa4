// Package verdict defines the errors that papayarail returns to callers and
// states for each of them whether the request may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class groups all errors that carry a verdict.
var Class = errs.Class("papayarail")

// Verdict says whether a failed request may have been executed.
type Verdict uint8

const (
	// MayHaveRun means that the outcome is unknown. It is the zero value, so
	// that an error without a verdict is never taken as safe to retry.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not executed and will not be.
	NotRun
	// Ran means that the database executed the request and answered it.
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

// Code is the typed reason of an Error.
type Code uint8

const (
	// Internal is an unexpected fault inside papayarail.
	Internal Code = iota
	// Overloaded means that a queue is full or that the load was shed.
	Overloaded
	// DeadlineUnreachable means that the request could not start in time.
	DeadlineUnreachable
	// NoPrimary means that no primary is known, as during a failover.
	NoPrimary
	// ReplicaBehind means that no reachable replica has the required position.
	ReplicaBehind
	// CutOff means that this failure domain cannot reach what the request needs.
	CutOff
	// Draining means that the instance or the upstream is leaving.
	Draining
	// OutcomeUnknown means that a write was sent and its fate is not known.
	OutcomeUnknown
	// UnknownService means that the configuration has no such service.
	UnknownService
	// Unsupported means that papayarail does not implement the request.
	Unsupported
	// ProtocolViolation means that the caller broke the PostgreSQL protocol.
	ProtocolViolation
	// TransactionRolledBack means that an open transaction was lost before its commit was sent.
	TransactionRolledBack
	// CommitUnknown means that a commit was sent and its fate is not known.
	CommitUnknown
	// ConnectionLimit means that the instance accepts no more callers.
	ConnectionLimit
	// InvalidParameter means that a papayarail parameter has a bad value.
	InvalidParameter
	// ReadUnanswered means that a read was sent and no upstream answered it.
	ReadUnanswered
)

type codeInfo struct {
	name     string
	sqlState string
	verdict  Verdict
}

// SQLSTATEs are those of Appendix A of the PostgreSQL documentation.
var codes = map[Code]codeInfo{
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
}

// String returns the name of the code as it appears in logs and metrics.
func (c Code) String() string { return codes[c].name }

// Error is a failure with a verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	Message string
	// RetryAfter is the earliest time to come back; zero gives no advice.
	RetryAfter time.Duration
}

// New returns an Error whose verdict is the usual one of its code.
func New(code Code, format string, args ...any) *Error {
	return &Error{Verdict: codes[code].verdict, Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time to come back and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// IsOverload reports that the request was refused because of the load. To try it
// again at once would add to that load; the caller is told when to come back.
func (e *Error) IsOverload() bool {
	return e.Code == Overloaded || e.Code == DeadlineUnreachable
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
}

// SQLState returns the five-character SQLSTATE sent to callers.
func (e *Error) SQLState() string { return codes[e.Code].sqlState }

// Detail returns the machine-readable part of the ErrorResponse.
func (e *Error) Detail() string {
	return fmt.Sprintf("verdict=%s code=%s retry_after_ms=%d", e.Verdict, e.Code, e.RetryAfter.Milliseconds())
}

// Hint returns the advice for a person.
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

// Of returns the verdict of err, and MayHaveRun for an error without one.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns the Error inside err, or wraps err as an Internal one.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
