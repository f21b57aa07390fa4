// Package peer carries calls between instances: JSON-RPC over one connection
// from each instance to each that it calls.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
)

// Class groups the errors of this package.
var Class = errs.Class("peer")

// Error is an answer that says why a call failed; any other error of a Call
// means that there was no answer.
type Error = jsonrpc2.Error

// NewError returns an Error with a code of the application, -32000 or below.
func NewError(code int64, message string) *Error { return &Error{Code: code, Message: message} }

// Handler answers one method. closed is closed when the caller's connection has
// ended; it is the same channel for all calls of one connection.
type Handler func(ctx context.Context, params json.RawMessage, closed <-chan struct{}) (any, *Error)

// Server answers the calls of other instances. Handle is called before Serve.
type Server struct {
	handlers map[string]Handler
	log      *logrus.Entry
}

// NewServer returns a Server without methods.
func NewServer(log *logrus.Entry) *Server {
	return &Server{handlers: make(map[string]Handler), log: log}
}

// Handle adds a method.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// Serve answers on l until it is closed, and then closes the connections.
func (s *Server) Serve(l net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		c, err := l.Accept()
		if err != nil {
			return Class.Wrap(err)
		}
		stream := jsonrpc2.NewPlainObjectStream(timedConn{c})
		conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(dispatcher{s}), jsonrpc2.SetLogger(connectionLog{s.log}))
		go func() {
			select {
			case <-ctx.Done():
				_ = conn.Close() // it may have ended meanwhile
			case <-conn.DisconnectNotify():
			}
		}()
	}
}

// writeTimeout ends a connection whose other side does not read.
const writeTimeout = 500 * time.Millisecond

// timedConn bounds each write.
type timedConn struct{ net.Conn }

// Write implements net.Conn.
func (c timedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// connectionLog turns the library's messages about broken connections into
// lines of the log.
type connectionLog struct{ log *logrus.Entry }

// Printf implements jsonrpc2.Logger.
func (l connectionLog) Printf(format string, args ...any) {
	l.log.WithField("event", "peer_connection").Debugf(format, args...)
}

type dispatcher struct{ server *Server }

// Handle implements jsonrpc2.Handler. An answer that cannot be sent means that
// the caller has gone.
func (d dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	answer, err := d.server.guarded(ctx, conn, req)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, err)
		return
	}
	_ = conn.Reply(ctx, req.ID, answer)
}

// guarded answers a call. A fault of the program ends that call alone.
func (s *Server) guarded(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (answer any, err *Error) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.WithFields(logrus.Fields{"event": "call_fault", "method": req.Method, "error": fmt.Sprint(fault), "stack": string(debug.Stack())}).Error("call was ended by a fault of the program")
			answer, err = nil, &Error{Code: jsonrpc2.CodeInternalError, Message: "fault of the called instance"}
		}
	}()
	return s.answer(ctx, conn, req)
}

func (s *Server) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (any, *Error) {
	h := s.handlers[req.Method]
	if h == nil || req.Params == nil {
		return nil, &Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + req.Method + " is not served"}
	}
	return h(ctx, json.RawMessage(*req.Params), conn.DisconnectNotify())
}

// Decode reads the parameters of a call.
func Decode(params json.RawMessage, into any) *Error {
	if err := json.Unmarshal(params, into); err != nil {
		return &Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client calls one other instance. It is safe for concurrent use.
type Client struct {
	address string
	dial    DialFunc
	log     *logrus.Entry

	mu      sync.Mutex
	conn    *jsonrpc2.Conn
	opening *attempt  // nil if none is under way
	heard   time.Time // last answer on the connection
}

// NewClient returns a Client that connects at the first call. A nil dial
// connects over TCP.
func NewClient(address string, dial DialFunc, log *logrus.Entry) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{address: address, dial: dial, log: log}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 1}}
	return dialer.DialContext(ctx, "tcp", address)
}

// Address returns the address of the other instance.
func (c *Client) Address() string { return c.address }

// NotSentError means that a call did not leave this instance.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "call was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Call makes one call. A *NotSentError means that it was not sent, an *Error
// that it was answered with an error.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return &NotSentError{err}
	}
	waiter, err := conn.DispatchCall(ctx, method, params)
	if err != nil {
		c.drop(conn)
		return &NotSentError{err}
	}
	err = waiter.Wait(ctx, result)
	var answered *Error
	switch {
	case err == nil, errors.As(err, &answered):
		c.mu.Lock()
		c.heard = time.Now()
		c.mu.Unlock()
	case ctx.Err() == nil:
		c.drop(conn)
	}
	return err
}

// LastAnswer returns when the last answer came.
func (c *Client) LastAnswer() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

const (
	// dialTimeout bounds the opening of a connection; a round trip between
	// failure domains takes 2 ms.
	dialTimeout = 150 * time.Millisecond
	// keepAlive finds connections that have gone silent while no call runs.
	keepAlive = 2 * time.Second
)

// attempt is the opening of a connection, for all calls that wait for it.
type attempt struct {
	done chan struct{} // closed when conn and err are set
	conn *jsonrpc2.Conn
	err  error
}

func (c *Client) connection(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
			c.conn = nil
		default:
			defer c.mu.Unlock()
			return c.conn, nil
		}
	}
	if c.opening == nil {
		c.opening = &attempt{done: make(chan struct{})}
		go c.open(c.opening)
	}
	a := c.opening
	c.mu.Unlock()
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) open(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.err = err; err == nil {
		a.conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(timedConn{raw}), refuse{}, jsonrpc2.SetLogger(connectionLog{c.log}))
		c.conn = a.conn
	}
	c.opening = nil
	close(a.done)
}

func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close() // it is given up either way
}

// Close ends the connection; the next Call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

// refuse answers requests of the called instance, which sends none.
type refuse struct{}

// Handle implements jsonrpc2.Handler.
func (refuse) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	_ = conn.ReplyWithError(ctx, req.ID, &Error{Code: jsonrpc2.CodeMethodNotFound, Message: "not served"})
}
