// Package peer is the RPC between instances: JSON-RPC 2.0 over one persistent
// connection from each instance to each that it calls. Messages on connections between
// failure domains are compressed.
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

// Error is an error that the called instance answered; any other error of a Call means
// that there was no answer.
type Error = jsonrpc2.Error

// NewError returns an Error with an application code, which is -32000 or below.
func NewError(code int64, message string) *Error { return &Error{Code: code, Message: message} }

// Handler answers the calls of one method. closed is closed when the connection of the
// calling instance has ended; it is the same channel for all calls of one connection.
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

// Handle registers the handler of a method.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// acceptRetryDelay is the pause after a failed accept, as for want of descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve answers calls on l until l is closed, and returns the error of that. It then closes
// all connections.
func (s *Server) Serve(l net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return Class.Wrap(err)
		}
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "accept_failed", "listener": "peers", "error": err.Error()}).Warn("accept of a connection of another instance failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		stream := newStream(c)
		conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(dispatcher{s, stream}), jsonrpc2.SetLogger(connectionLogger{s.log}))
		go func() {
			select {
			case <-ctx.Done():
				_ = conn.Close() // the connection may have ended already
			case <-conn.DisconnectNotify():
			}
		}()
	}
}

// writeTimeout bounds each write; it ends connections whose other side does not read.
const writeTimeout = 500 * time.Millisecond

// writeTimeoutConn sets writeTimeout for each write.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// connectionLogger passes the library's messages about broken connections on to the log.
type connectionLogger struct{ log *logrus.Entry }

// Printf implements jsonrpc2.Logger.
func (l connectionLogger) Printf(format string, args ...any) {
	l.log.WithField("event", "peer_connection").Debugf(format, args...)
}

// dispatcher answers the calls of one connection.
type dispatcher struct {
	server *Server
	stream *stream
}

// Handle implements jsonrpc2.Handler. It ignores errors of replies: they mean that the
// calling instance has disconnected.
func (d dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodCompress {
		_ = conn.Reply(ctx, req.ID, d.stream.acceptCompression(req.Params))
		return
	}
	answer, err := d.server.answerOrRecover(ctx, conn, req)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, err)
		return
	}
	_ = conn.Reply(ctx, req.ID, answer)
}

// answerOrRecover answers a call. A panic ends only that call.
func (s *Server) answerOrRecover(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) (answer any, err *Error) {
	defer func() {
		if fault := recover(); fault != nil {
			s.log.WithFields(logrus.Fields{"event": "call_fault", "method": req.Method, "error": fmt.Sprint(fault), "stack": string(debug.Stack())}).Error("panic in a call of a peer; call ended")
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

// Decode decodes the parameters of a call. Its error is to be returned by the Handler.
func Decode(params json.RawMessage, into any) *Error {
	if err := json.Unmarshal(params, into); err != nil {
		return &Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// DialFunc opens a connection to an address of the form host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client calls one other instance. It is safe for concurrent use.
type Client struct {
	address  string
	dial     DialFunc
	log      *logrus.Entry
	compress bool

	mu         sync.Mutex
	conn       *jsonrpc2.Conn
	dialing    *dialAttempt // nil if none is under way
	lastAnswer time.Time    // arrival of the last answer
}

// Compression states whether a Client compresses messages, if the other instance can.
type Compression bool

// Between returns the Compression for calls between two failure domains: traffic within
// one costs nothing, and compression takes processor time.
func Between(domain, other string) Compression { return domain != other }

// NewClient returns a Client that connects at the first call. A nil dial connects over
// TCP.
func NewClient(address string, compression Compression, dial DialFunc, log *logrus.Entry) *Client {
	if dial == nil {
		dial = DialFrom(nil)
	}
	return &Client{address: address, dial: dial, log: log, compress: bool(compression)}
}

// DialFrom returns a DialFunc that connects over TCP from a local address; nil means that the
// system chooses.
func DialFrom(source net.Addr) DialFunc {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: source, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1}}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// Address returns the address of the called instance.
func (c *Client) Address() string { return c.address }

// NotSentError means that a call was not sent, so the other instance has not executed it.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "call was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Call makes one call and decodes its answer into result. A *NotSentError means that the
// call was not sent, an *Error that it was answered with an error; after any other
// error, the call may have been executed.
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
	var answerErr *Error
	switch {
	case err == nil, errors.As(err, &answerErr):
		c.mu.Lock()
		c.lastAnswer = time.Now()
		c.mu.Unlock()
	case ctx.Err() == nil:
		c.drop(conn)
	}
	return err
}

// LastAnswer returns when the last answer arrived; the zero time if there was none.
func (c *Client) LastAnswer() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAnswer
}

const (
	// dialTimeout bounds the establishment of a connection; a round trip between failure
	// domains takes 2 ms.
	dialTimeout = 150 * time.Millisecond
	// keepAliveInterval is the idle time and the interval of TCP keep-alive probes, which
	// detect dead connections while no call runs.
	keepAliveInterval = 2 * time.Second
)

// dialAttempt is one attempt to connect, shared by all calls that wait for it.
type dialAttempt struct {
	done chan struct{} // closed when conn and err are set
	conn *jsonrpc2.Conn
	err  error
}

// connection returns the open connection, or waits for an attempt to open one, which all
// concurrent calls share.
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
	if c.dialing == nil {
		c.dialing = &dialAttempt{done: make(chan struct{})}
		go c.connect(c.dialing)
	}
	attempt := c.dialing
	c.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect opens a connection and ends the attempt.
func (c *Client) connect(attempt *dialAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	netConn, err := c.dial(ctx, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt.err = err; err == nil {
		stream := newStream(netConn)
		attempt.conn = jsonrpc2.NewConn(context.Background(), stream, rejectRequests{}, jsonrpc2.SetLogger(connectionLogger{c.log}))
		c.conn = attempt.conn
		if c.compress {
			go stream.requestCompression(attempt.conn)
		}
	}
	c.dialing = nil
	close(attempt.done)
}

// drop closes a connection, so that the next call opens a new one.
func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close() // the connection is not used again in any case
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

// rejectRequests rejects requests of the called instance, which must not send any.
type rejectRequests struct{}

// Handle implements jsonrpc2.Handler.
func (rejectRequests) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	_ = conn.ReplyWithError(ctx, req.ID, &Error{Code: jsonrpc2.CodeMethodNotFound, Message: "not served"})
}
