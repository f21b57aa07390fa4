package engine

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"
)

// SQLSTATEs raised by the engine and by the members of a group.
const (
	InvalidTextRepresentation    = "22P02"
	InvalidBinaryRepresentation  = "22P03"
	NumericValueOutOfRange       = "22003"
	DivisionByZero               = "22012"
	NotNullViolation             = "23502"
	UniqueViolation              = "23505"
	ReadOnlySQLTransaction       = "25006"
	InFailedSQLTransaction       = "25P02"
	InvalidSQLStatementName      = "26000"
	InvalidCursorName            = "34000"
	SerializationFailure         = "40001"
	SyntaxError                  = "42601"
	UndefinedColumn              = "42703"
	UndefinedFunction            = "42883"
	UndefinedTable               = "42P01"
	UndefinedParameter           = "42P02"
	DuplicateColumn              = "42701"
	DuplicateTable               = "42P07"
	DuplicateStatement           = "42P05"
	DatatypeMismatch             = "42804"
	IndeterminateDatatype        = "42P18"
	TooManyConnections           = "53300"
	ObjectNotInPrerequisiteState = "55000"
	QueryCanceled                = "57014"
	AdminShutdown                = "57P01"
	ProtocolViolation            = "08P01"
	FeatureNotSupported          = "0A000"
)

// Errorf returns an error with a SQLSTATE.
func Errorf(code, format string, args ...any) error {
	return &pgconn.PgError{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: fmt.Sprintf(format, args...)}
}

func unsupported(what string) error {
	return Errorf(FeatureNotSupported, "%s is not supported", what)
}
