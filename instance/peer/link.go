package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/papayarail/papayarail/core/verdict"
)

const (
	connectTimeout    = 500 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1500 * time.Millisecond
	// dataIdleTimeout and controlIdleTimeout are the times without a call after
	// which a link is closed. At 1,800 instances, heartbeats on links that were never
	// closed took nearly a whole core.
	dataIdleTimeout    = 5 * time.Second
	controlIdleTimeout = 2 * time.Second
)

// Link is a connection to another instance that is opened on demand and closed
// after a time without calls. While a call is in progress it sends heartbeats. If
// one gets no answer the connection is closed, so that calls on a broken connection
// fail instead of waiting. A Link is safe for concurrent use.
type Link struct {
	address string
	// control marks a control link. It sends no heartbeats between calls, because
	// the membership probes show whether it works and it carries no transactions.
	control bool
	// onFailure is called when an open connection has failed; it may be nil.
	onFailure func(address string)
	dial      func(ctx context.Context, address string) (net.Conn, error)
	log       *logrus.Entry

	mu   sync.Mutex
	conn *connection
}

// connection is the open connection of a link. The mutex of the link guards calls
// and lastUsed.
type connection struct {
	*jsonrpc2.Conn
	calls    int       // in progress
	lastUsed time.Time // end of the last call
}

// NewLink returns a data link to the peer at address, which is not connected yet.
// Its connections are bound to source unless that is nil; onFailure, if not nil, is
// called when an open connection has failed.
func NewLink(address string, source net.Addr, onFailure func(address string), log *logrus.Entry) *Link {
	return &Link{address: address, dial: dialer(source), onFailure: onFailure, log: log}
}

// NewControlLink returns a control link to the peer at address, which is not
// connected yet.
func NewControlLink(address string, source net.Addr, log *logrus.Entry) *Link {
	return &Link{address: address, control: true, dial: dialer(source), log: log}
}

func dialer(source net.Addr) func(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, LocalAddr: source}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// Call sends a request and waits for its answer. The error is a *verdict.Error,
// with verdict NotRun if nothing was sent.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	conn, err := l.acquire(ctx)
	if err != nil {
		return verdict.New(verdict.CutOff, "%s: peer %s is not reachable: %v", method, l.address, err)
	}
	defer l.release(conn)
	waiter, err := conn.DispatchCall(ctx, method, params)
	if err == jsonrpc2.ErrClosed {
		return verdict.New(verdict.CutOff, "%s: link to %s is closed", method, l.address)
	}
	if err != nil {
		return fromRPC(method, err)
	}
	if err := waiter.Wait(ctx, result); err != nil {
		return fromRPC(method, err)
	}
	return nil
}

// Close closes the connection; calls in progress fail. The next call opens a new one.
func (l *Link) Close() {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// acquire returns the connection for one call, and opens it if there is none.
func (l *Link) acquire(ctx context.Context) (*connection, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		c, err := l.dial(ctx, l.address)
		if err != nil {
			return nil, Class.Wrap(err)
		}
		rpc := jsonrpc2.NewConn(context.Background(), newStream(c), rejectRequests(), jsonrpc2.SetLogger(debugLogger{l.log}))
		l.conn = &connection{Conn: rpc}
		go l.monitor(l.conn)
	}
	l.conn.calls++
	return l.conn, nil
}

func (l *Link) release(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.calls--
	conn.lastUsed = time.Now()
}

// monitor sends heartbeats, and closes the connection when one fails or after the
// idle timeout.
func (l *Link) monitor(conn *connection) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			l.reportFailure(conn)
			return
		case <-ticker.C:
		}
		var heartbeat Hello
		if !l.control || l.hasCalls(conn) {
			if err := ping(conn, &heartbeat); err != nil {
				conn.Close()
				l.reportFailure(conn)
				return
			}
		}
		if !heartbeat.HasOpenTransactions && l.closeIdle(conn) {
			return
		}
	}
}

func ping(conn *connection, answer *Hello) error {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	return conn.Call(ctx, MethodPing, &Empty{}, answer)
}

func (l *Link) hasCalls(conn *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return conn.calls > 0
}

// closeIdle closes the connection after the idle timeout and reports whether it did.
// It first removes the connection from the link, under the lock, so that no call is
// sent on a connection that is being closed.
func (l *Link) closeIdle(conn *connection) bool {
	timeout := dataIdleTimeout
	if l.control {
		timeout = controlIdleTimeout
	}
	l.mu.Lock()
	if conn.calls > 0 || time.Since(conn.lastUsed) < timeout {
		l.mu.Unlock()
		return false
	}
	if l.conn == conn {
		l.conn = nil
	}
	l.mu.Unlock()
	conn.Close()
	return true
}

// reportFailure removes a connection that has ended from the link and calls
// onFailure, unless Close has ended it.
func (l *Link) reportFailure(conn *connection) {
	l.mu.Lock()
	current := l.conn == conn
	if current {
		l.conn = nil
	}
	l.mu.Unlock()
	if current && l.onFailure != nil {
		l.onFailure(l.address)
	}
}

func rejectRequests() jsonrpc2.Handler {
	return jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, toRPC(verdict.New(verdict.Unsupported, "requests are accepted only on links that the peer opened"))
	})
}

// Links holds the links to all peers. Each peer has a data link and a control link,
// so that a large answer never delays a control message. Links is safe for
// concurrent use.
type Links struct {
	onFailure func(address string)
	source    net.Addr
	log       *logrus.Entry

	mu    sync.Mutex
	links map[string]*linkPair // by address
}

type linkPair struct{ data, control *Link }

// NewLinks returns an empty set of links. Their connections are bound to source
// unless it is nil; onFailure is called when the connection of a data link has failed.
func NewLinks(source net.Addr, onFailure func(address string), log *logrus.Entry) *Links {
	return &Links{source: source, onFailure: onFailure, log: log, links: make(map[string]*linkPair)}
}

// Data returns the data link to the peer at address, for exchanges and transactions.
func (s *Links) Data(address string) *Link { return s.pair(address).data }

// Control returns the control link to the peer at address, for all other messages.
func (s *Links) Control(address string) *Link { return s.pair(address).control }

func (s *Links) pair(address string) *linkPair {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.links[address]
	if p == nil {
		p = &linkPair{data: NewLink(address, s.source, s.onFailure, s.log), control: NewControlLink(address, s.source, s.log)}
		s.links[address] = p
	}
	return p
}

// Close closes the connections of all links.
func (s *Links) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.links {
		p.data.Close()
		p.control.Close()
	}
}
