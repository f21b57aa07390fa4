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
	dialTimeout       = 500 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1500 * time.Millisecond
	// dataIdle and controlIdle are the times without a call after which a link
	// is closed. At 1,800 instances, heartbeats on links that were never closed
	// took nearly a whole core.
	dataIdle    = 5 * time.Second
	controlIdle = 2 * time.Second
)

// Link is one connection to another instance. It dials on demand and closes
// after a time without calls. While a call is in progress it sends heartbeats,
// and it closes when one goes unanswered, so that calls on a silent connection
// fail instead of waiting.
type Link struct {
	address string
	// control links send no heartbeats between calls, because the probes of the
	// membership show whether they work, and they hold no transactions.
	control bool
	// failed is called when an open link has failed; it may be nil.
	failed func(address string)
	dial   func(ctx context.Context, address string) (net.Conn, error)
	log    *logrus.Entry

	mu   sync.Mutex
	conn *connection
}

// connection is the open connection of a link. The mutex of the link guards
// calls and used.
type connection struct {
	*jsonrpc2.Conn
	calls int       // in progress
	used  time.Time // end of the last call
}

// NewLink returns a data link to the peer at address; nothing is dialled yet.
func NewLink(address string, source net.Addr, failed func(address string), log *logrus.Entry) *Link {
	return &Link{address: address, dial: dialer(source), failed: failed, log: log}
}

// NewControlLink returns a control link to the peer at address; nothing is dialled yet.
func NewControlLink(address string, source net.Addr, log *logrus.Entry) *Link {
	return &Link{address: address, control: true, dial: dialer(source), log: log}
}

func dialer(source net.Addr) func(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: source}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// Call sends a request and waits for its answer. The error is a
// *verdict.Error: NotRun where nothing was sent.
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

// Close ends the connection; calls that wait on it fail.
func (l *Link) Close() {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// acquire returns the open connection for one call, and dials if there is none.
func (l *Link) acquire(ctx context.Context) (*connection, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		c, err := l.dial(ctx, l.address)
		if err != nil {
			return nil, Class.Wrap(err)
		}
		rpc := jsonrpc2.NewConn(context.Background(), newStream(c), refuseRequests(), jsonrpc2.SetLogger(debugLogger{l.log}))
		l.conn = &connection{Conn: rpc}
		go l.watch(l.conn)
	}
	l.conn.calls++
	return l.conn, nil
}

func (l *Link) release(conn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn.calls--
	conn.used = time.Now()
}

// watch sends heartbeats and closes the connection when one fails or after the
// idle time.
func (l *Link) watch(conn *connection) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			l.fail(conn)
			return
		case <-ticker.C:
		}
		var answer Hello
		if !l.control || l.busy(conn) {
			if err := ping(conn, &answer); err != nil {
				conn.Close()
				l.fail(conn)
				return
			}
		}
		if !answer.HasOpenTransactions && l.closeIdle(conn) {
			return
		}
	}
}

func ping(conn *connection, answer *Hello) error {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	return conn.Call(ctx, MethodPing, &Empty{}, answer)
}

func (l *Link) busy(conn *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return conn.calls > 0
}

// closeIdle closes the connection after the idle time. The link forgets it
// first and under the lock, so that no call is ever sent on a closing one.
func (l *Link) closeIdle(conn *connection) bool {
	idle := dataIdle
	if l.control {
		idle = controlIdle
	}
	l.mu.Lock()
	if conn.calls > 0 || time.Since(conn.used) < idle {
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

// fail forgets a connection that has ended, and reports it unless Close ended it.
func (l *Link) fail(conn *connection) {
	l.mu.Lock()
	current := l.conn == conn
	if current {
		l.conn = nil
	}
	l.mu.Unlock()
	if current && l.failed != nil {
		l.failed(l.address)
	}
}

func refuseRequests() jsonrpc2.Handler {
	return jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, toRPC(verdict.New(verdict.Unsupported, "requests are accepted only on links that the peer opened"))
	})
}

// Links holds the links to all peers: one for data and one for control each,
// so that a large answer never delays a control message.
type Links struct {
	failed func(address string)
	source net.Addr
	log    *logrus.Entry

	mu    sync.Mutex
	links map[string]*pair
}

type pair struct{ data, control *Link }

// NewLinks returns an empty set. Links are bound to source unless it is nil;
// failed is called when a data link has failed.
func NewLinks(source net.Addr, failed func(address string), log *logrus.Entry) *Links {
	return &Links{source: source, failed: failed, log: log, links: make(map[string]*pair)}
}

// Data returns the data link to the peer at address.
func (s *Links) Data(address string) *Link { return s.pair(address).data }

// Control returns the control link to the peer at address.
func (s *Links) Control(address string) *Link { return s.pair(address).control }

func (s *Links) pair(address string) *pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.links[address]
	if p == nil {
		p = &pair{data: NewLink(address, s.source, s.failed, s.log), control: NewControlLink(address, s.source, s.log)}
		s.links[address] = p
	}
	return p
}

// Close ends all links.
func (s *Links) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.links {
		p.data.Close()
		p.control.Close()
	}
}
