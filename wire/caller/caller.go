// Package caller implements the server side of the PostgreSQL wire protocol for
// client connections (callers). It keeps the parameters and the names of the
// prepared statements of each session, answers requests that need no database,
// and passes all others to a Session as whole exchanges: the messages up to
// Sync, or one simple query.
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

// Causes of a canceled exchange, as returned by context.Cause.
var (
	// ErrCanceled means that the caller sent a CancelRequest.
	ErrCanceled = errors.New("canceled by the caller")
	// ErrDisconnected means that the connection to the caller was closed or failed.
	ErrDisconnected = errors.New("caller hung up")
)

// Settings holds the access rules, limits and timeouts for callers.
type Settings struct {
	// MaxMessageBytes limits each message, and the total of the messages of one
	// exchange, in bytes. 0: 4 MiB.
	MaxMessageBytes int
	// MaxConnections limits the sessions open at the same time. 0: 10000.
	MaxConnections int
	// StartupTimeout limits the time from accept to the end of the StartupMessage,
	// and separately the time to open the session. 0: 10 s.
	StartupTimeout time.Duration
	// IdleTimeout closes connections on which no message arrives for this long,
	// also inside a transaction. 0: no limit.
	IdleTimeout time.Duration
	// WriteTimeout closes connections to callers that do not read their answer. 0: 30 s.
	WriteTimeout time.Duration
	// Log receives one line per refused caller or protocol error. nil: no log.
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

// Startup holds the parameters of a caller's StartupMessage and the identity
// that the server gives to its session.
type Startup struct {
	User       string
	Database   string
	RemoteHost string // IP address of the caller, without port
	// Parameters holds application_name and the papayarail parameters.
	Parameters  map[string]string
	PID, Secret uint32 // sent as BackendKeyData; a CancelRequest must match both
}

// SessionOpener starts sessions. An error of Open becomes the ErrorResponse to
// the StartupMessage.
type SessionOpener interface {
	Open(ctx context.Context, s Startup) (Session, error)
}

// Exchange is one request of a caller: the messages up to Sync, or one Query.
type Exchange struct {
	// RequiredStatements lists the prepared statements that Messages uses
	// without a Parse of its own.
	RequiredStatements []statement.Prepared
	// Messages are encoded frontend messages with content-addressed statement names.
	Messages []byte
	// Statements describes the executed statements in order. It is empty if the
	// exchange executes none, as when it only parses and describes.
	Statements []classify.Info
	// SQL is the text of the first executed statement, for logs at debug level only.
	SQL string
	// Parameters maps the full names of the papayarail parameters that are set to
	// their values. Exchanges share the map: it must not be modified.
	Parameters map[string]string
}

// Reply is the answer to an Exchange.
type Reply struct {
	Messages []byte // encoded backend messages without ReadyForQuery
	TxStatus byte   // 'I' (idle), 'T' (in a transaction) or 'E' (failed transaction)
	// Parameters are sent to the caller as ParameterStatus. The papayarail
	// parameters among them also become the current values of the session.
	Parameters map[string]string
}

// Session executes the exchanges of one caller, one at a time.
type Session interface {
	// Exchange runs a request. ctx is canceled with the cause ErrCanceled or
	// ErrDisconnected when the caller cancels the request or its connection
	// ends. A returned error is sent as an ErrorResponse, and the next
	// ReadyForQuery reports TxStatus.
	Exchange(ctx context.Context, x *Exchange) (*Reply, error)
	// TxStatus returns the transaction status, 'I', 'T' or 'E' as in Reply.
	TxStatus() byte
	// Close releases the resources of the session.
	Close()
}

// Stats counts what a Server has done since its start.
type Stats struct {
	OpenSessions   int    // current sessions, including those being opened
	Accepted       uint64 // sessions that completed the start-up
	Refused        uint64 // connections refused before their session was ready
	Exchanges      uint64 // exchanges passed to a Session
	LocalAnswers   uint64 // requests answered without a Session
	CancelRequests uint64 // CancelRequests that matched PID and secret of a session
}
