// Package caller is the server side of the PostgreSQL protocol. It accepts
// callers, keeps what belongs to a session (parameters, names of prepared
// statements), answers what needs no database, and hands everything else as
// whole exchanges to a Session.
package caller

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/wire/classify"
	"github.com/papayarail/papayarail/wire/statement"
)

// Class groups the errors of this package.
var Class = errs.Class("caller")

// Causes of a cancelled exchange, found with context.Cause.
var (
	// ErrCanceled means that the caller sent a CancelRequest.
	ErrCanceled = errors.New("canceled by the caller")
	// ErrDisconnected means that the caller's connection ended.
	ErrDisconnected = errors.New("caller hung up")
)

// Settings limits what callers may use.
type Settings struct {
	// MaxMessageBytes limits each message, and the messages of one exchange
	// together. 0: 4 MiB.
	MaxMessageBytes int
	// MaxConnections limits callers. 0: 10000.
	MaxConnections int
	// StartupTimeout limits the time to the first ReadyForQuery. 0: 10 s.
	StartupTimeout time.Duration
	// IdleTimeout closes callers that send nothing, also inside a transaction. 0: no limit.
	IdleTimeout time.Duration
	// WriteTimeout closes callers that do not take their answer. 0: 30 s.
	WriteTimeout time.Duration
	// Log takes one line per refused caller or protocol error. nil: no log.
	Log *logrus.Entry
	// AllowedNetworks lists the networks from which callers may connect. Empty: all.
	AllowedNetworks []netip.Prefix
}

const (
	defaultMaxMessageBytes = 4 << 20
	defaultMaxConnections  = 10000
	defaultStartupTimeout  = 10 * time.Second
	defaultWriteTimeout    = 30 * time.Second
)

// Startup is what a caller stated when it connected.
type Startup struct {
	User       string
	Database   string
	RemoteHost string // address without port
	// Parameters holds application_name and the papayarail parameters.
	Parameters  map[string]string
	PID, Secret uint32
}

// SessionOpener starts sessions. A *verdict.Error becomes the ErrorResponse of the start-up.
type SessionOpener interface {
	Open(ctx context.Context, s Startup) (Session, error)
}

// Exchange is one request of a caller: the messages up to Sync, or one Query.
type Exchange struct {
	// RequiredStatements lists the prepared statements that Messages refers to and that
	// Messages does not parse itself.
	RequiredStatements []statement.Prepared
	// Messages are encoded frontend messages with content-addressed statement names.
	Messages []byte
	// Statements describes the statements executed, in order. It is empty if the
	// exchange only parses and describes.
	Statements []classify.Info
	// SQL is the text executed first, for logs at debug level only.
	SQL string
	// Settings holds the papayarail parameters that have a value, by full name.
	// It is shared between exchanges: do not change it.
	Settings map[string]string
}

// Reply is the answer to an Exchange.
type Reply struct {
	Messages []byte // without ReadyForQuery
	TxStatus byte   // 'I', 'T' or 'E'
	// Parameters are sent as ParameterStatus; those of papayarail also become
	// the session's current values.
	Parameters map[string]string
}

// Session executes the exchanges of one caller, one at a time.
type Session interface {
	// Exchange runs a request. ctx ends when the caller cancels or hangs up,
	// with ErrCanceled or ErrDisconnected as its cause. An error becomes an
	// ErrorResponse, followed by ReadyForQuery with the status of TxStatus.
	Exchange(ctx context.Context, x *Exchange) (*Reply, error)
	// TxStatus returns 'I', 'T' or 'E'.
	TxStatus() byte
	// Close releases what the session holds.
	Close()
}

// Stats counts what a Server has done since its start.
type Stats struct {
	OpenSessions   int    // sessions open now
	Accepted       uint64 // sessions opened
	Refused        uint64 // start-ups refused or malformed
	Exchanges      uint64 // exchanges handed to sessions
	LocalAnswers   uint64 // requests answered without a session
	CancelRequests uint64 // cancel requests that matched a session
}
