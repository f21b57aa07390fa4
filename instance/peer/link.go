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
)

// Link is one connection to another instance. It dials on demand, sends
// heartbeats while it is open, and closes when one goes unanswered, so that
// calls on a silent connection fail instead of waiting.
type Link struct {
	address string
	// failed is called when an open link has failed; it may be nil.
	failed func(address string)
	source net.Addr
	log    *logrus.Entry

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewLink returns a link to the peer at address; nothing is dialled yet.
func NewLink(address string, source net.Addr, failed func(address string), log *logrus.Entry) *Link {
	return &Link{address: address, source: source, failed: failed, log: log}
}

// Call sends a request and waits for its answer. The error is a
// *verdict.Error: NotRun where nothing was sent.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	conn, err := l.open(ctx)
	if err != nil {
		return verdict.New(verdict.CutOff, "%s: peer %s is not reachable: %v", method, l.address, err)
	}
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

func (l *Link) open(ctx context.Context) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: l.source}
	c, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	conn := jsonrpc2.NewConn(context.Background(), newStream(c), refuseRequests(), jsonrpc2.SetLogger(debugLogger{l.log}))
	l.conn = conn
	go l.watch(conn)
	return conn, nil
}

// watch sends heartbeats and forgets the connection once it has ended.
func (l *Link) watch(conn *jsonrpc2.Conn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	defer l.forget(conn)
	for {
		select {
		case <-conn.DisconnectNotify():
			l.report()
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
		var answer Hello
		err := conn.Call(ctx, MethodPing, &Empty{}, &answer)
		cancel()
		if err != nil {
			conn.Close()
			l.report()
			return
		}
	}
}

func (l *Link) report() {
	if l.failed != nil {
		l.failed(l.address)
	}
}

func (l *Link) forget(conn *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
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
		p = &pair{data: NewLink(address, s.source, s.failed, s.log), control: NewLink(address, s.source, nil, s.log)}
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
