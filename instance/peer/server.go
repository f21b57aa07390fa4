package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/papayarail/papayarail/core/configgossip"
	"github.com/papayarail/papayarail/core/verdict"
)

// Handler serves the requests of one link from another instance. Its methods are
// called concurrently.
type Handler interface {
	Exchange(ctx context.Context, r *ExchangeRequest) (*ExchangeAnswer, error)
	EndTransaction(ctx context.Context, r *EndTransactionRequest) error
	Cancel(ctx context.Context, r *CancelRequest) error
	Barrier(ctx context.Context, r *BarrierRequest) (*BarrierAnswer, error)
	Quiesce(ctx context.Context, r *QuiesceRequest) error
	Probe(ctx context.Context, p *Probe) (*Probe, error)
	ProbeThrough(ctx context.Context, p *ProbeThrough) (*Probe, error)
	Members(ctx context.Context, e *Empty) (*Members, error)
	Routes(ctx context.Context, r *Routes) (*Routes, error)
	Revision(ctx context.Context, r *Revision) error
	FetchConfig(ctx context.Context, r *FetchConfig) (*configgossip.FetchResponse, error)
	// AdviseLeaving tells this instance that the platform lists it as leaving.
	AdviseLeaving(ctx context.Context, e *Empty) error
	// HasOpenTransactions reports whether any transaction that was started over the
	// link is open.
	HasOpenTransactions() bool
	// Close is called when the link has ended. It rolls back the open transactions
	// that were started over the link.
	Close()
}

// Server accepts links from other instances.
type Server struct {
	Self    func() Hello   // answer to hello and ping
	Allowed []netip.Prefix // as for AddressAllowed
	Log     *logrus.Entry
	// NewHandler is called once per accepted link.
	NewHandler func(remote string) Handler

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// acceptRetryDelay is the pause after a failed accept, as for want of descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts links on l until ctx ends or l is closed, and then closes l and all links. The
// error is nil after the end of ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		s.closeAll()
	})
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return Class.Wrap(err)
		}
		if err != nil {
			s.Log.WithError(err).Warn("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !AddressAllowed(s.Allowed, c.RemoteAddr()) {
			s.Log.WithField("remote", c.RemoteAddr().String()).Warn("refused a peer outside the allowed networks")
			c.Close()
			continue
		}
		s.serveLink(ctx, c)
	}
}

// serveLink serves an accepted connection in the background.
func (s *Server) serveLink(ctx context.Context, c net.Conn) {
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[net.Conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()

	h := s.NewHandler(c.RemoteAddr().String())
	linkCtx, cancel := context.WithCancel(ctx)
	rpc := jsonrpc2.NewConn(linkCtx, newStream(c), jsonrpc2.AsyncHandler(s.rpcHandler(h)), jsonrpc2.SetLogger(debugLogger{s.Log}))
	go func() {
		<-rpc.DisconnectNotify()
		cancel()
		h.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) rpcHandler(h Handler) jsonrpc2.Handler {
	return jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		result, err := s.dispatch(ctx, h, r)
		if err != nil {
			return nil, toRPC(err)
		}
		return result, nil
	}).SuppressErrClosed()
}

func (s *Server) dispatch(ctx context.Context, h Handler, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case MethodHello, MethodPing:
		hello := s.Self()
		hello.HasOpenTransactions = h.HasOpenTransactions()
		return hello, nil
	case MethodExchange:
		return callWithResult(ctx, r, h.Exchange)
	case MethodEndTransaction:
		return callWithoutResult(ctx, r, h.EndTransaction)
	case MethodCancel:
		return callWithoutResult(ctx, r, h.Cancel)
	case MethodBarrier:
		return callWithResult(ctx, r, h.Barrier)
	case MethodQuiesce:
		return callWithoutResult(ctx, r, h.Quiesce)
	case MethodProbe:
		return callWithResult(ctx, r, h.Probe)
	case MethodProbeThrough:
		return callWithResult(ctx, r, h.ProbeThrough)
	case MethodMembers:
		return callWithResult(ctx, r, h.Members)
	case MethodRoutes:
		return callWithResult(ctx, r, h.Routes)
	case MethodRevision:
		return callWithoutResult(ctx, r, h.Revision)
	case MethodFetchConfig:
		return callWithResult(ctx, r, h.FetchConfig)
	case MethodAdviseLeaving:
		return callWithoutResult(ctx, r, h.AdviseLeaving)
	default:
		return nil, verdict.New(verdict.Unsupported, "method %q does not exist", r.Method)
	}
}

// callWithResult decodes the parameters of the request and returns the result of f.
func callWithResult[P, R any](ctx context.Context, r *jsonrpc2.Request, f func(context.Context, *P) (*R, error)) (any, error) {
	p := new(P)
	if err := decode(r, p); err != nil {
		return nil, err
	}
	return f(ctx, p)
}

// callWithoutResult is callWithResult for a method that returns only an error.
func callWithoutResult[P any](ctx context.Context, r *jsonrpc2.Request, f func(context.Context, *P) error) (any, error) {
	p := new(P)
	if err := decode(r, p); err != nil {
		return nil, err
	}
	return Empty{}, f(ctx, p)
}

func decode(r *jsonrpc2.Request, p any) error {
	if r.Params == nil {
		return verdict.New(verdict.ProtocolViolation, "%s without parameters", r.Method)
	}
	if err := json.Unmarshal(*r.Params, p); err != nil {
		return verdict.New(verdict.ProtocolViolation, "%s: %v", r.Method, err)
	}
	return nil
}

// AddressAllowed reports whether addr is in one of the allowed networks. An empty
// list allows loopback addresses only.
func AddressAllowed(allowed []netip.Prefix, addr net.Addr) bool {
	ap, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return false
	}
	ip := ap.Addr().Unmap()
	if len(allowed) == 0 {
		return ip.IsLoopback()
	}
	for _, p := range allowed {
		if p.Contains(ip) {
			return true
		}
	}
	return false
}
