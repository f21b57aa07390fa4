package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/verdict"
)

// fakePeer is a peer that is reached over in-memory connections.
type fakePeer struct {
	Handler
	server           *Server
	dials            atomic.Int32
	pings            atomic.Int32
	closed           atomic.Int32
	openTransactions atomic.Bool
	silent           atomic.Bool // new data is not read, while the connection stays open
	exchangeTime     time.Duration
	exchanges        atomic.Int32
	refusing         atomic.Bool
}

func newFakePeer() *fakePeer {
	p := &fakePeer{}
	p.server = &Server{Log: discardLog(), NewHandler: func(string) Handler { return p }, Self: func() Hello {
		p.pings.Add(1)
		return Hello{Name: "messina-1"}
	}}
	return p
}

func (p *fakePeer) HasOpenTransactions() bool { return p.openTransactions.Load() }
func (p *fakePeer) Close()                    { p.closed.Add(1) }
func (p *fakePeer) Exchange(context.Context, *ExchangeRequest) (*ExchangeAnswer, error) {
	time.Sleep(p.exchangeTime)
	p.exchanges.Add(1)
	return &ExchangeAnswer{}, nil
}

// silencedConn discards what is written while its peer is silent.
type silencedConn struct {
	net.Conn
	peer *fakePeer
}

func (c silencedConn) Write(b []byte) (int, error) {
	if c.peer.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (p *fakePeer) dial(context.Context, string) (net.Conn, error) {
	if p.refusing.Load() {
		return nil, errors.New("connection refused")
	}
	p.dials.Add(1)
	near, far := net.Pipe()
	p.server.serveLink(context.Background(), far)
	return silencedConn{near, p}, nil
}

func (p *fakePeer) openConns() int {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return len(p.server.conns)
}

func (p *fakePeer) link(control bool, failed func(string)) *Link {
	return &Link{address: "messina-1", control: control, dial: p.dial, onFailure: failed, log: discardLog()}
}

func exchange(l *Link) error {
	return l.Call(context.Background(), MethodExchange, &ExchangeRequest{}, &ExchangeAnswer{})
}

// Guards against an unused link that stays open and sends heartbeats, on either
// side, and against an idle link that is reported as failed when it is closed.
func TestIdleLinkIsClosedOnBothSides(t *testing.T) {
	for _, control := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newFakePeer()
			failures := 0
			l := p.link(control, func(string) { failures++ })
			assert.NilError(t, exchange(l))
			time.Sleep(controlIdleTimeout - 100*time.Millisecond)
			synctest.Wait()
			assert.Equal(t, p.openConns(), 1)
			time.Sleep(dataIdleTimeout)
			synctest.Wait()
			assert.Equal(t, p.openConns(), 0)
			assert.Equal(t, p.closed.Load(), int32(1))
			assert.Equal(t, failures, 0)
			sent := p.pings.Load()
			assert.Equal(t, sent > 0, !control, "%d heartbeats without a call", sent)
			time.Sleep(time.Minute)
			assert.Equal(t, p.pings.Load(), sent)
			assert.NilError(t, exchange(l))
			assert.Equal(t, p.dials.Load(), int32(2))
			l.Close()
		})
	}
}

// Guards against a link that is closed because its session pauses for longer than
// the idle timeout within a transaction: the transaction would be rolled back.
func TestLinkWithOpenTransactionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePeer()
		p.openTransactions.Store(true)
		l := p.link(false, nil)
		assert.NilError(t, exchange(l))
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, p.openConns(), 1)
		p.openTransactions.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, p.openConns(), 0)
	})
}

// Guards against a link that is closed during a call longer than the idle timeout.
func TestLinkWithCallInProgressIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePeer()
		p.exchangeTime = 3 * dataIdleTimeout
		l := p.link(true, nil)
		assert.NilError(t, exchange(l))
		assert.Equal(t, p.dials.Load(), int32(1))
		l.Close()
	})
}

// Guards against a call that is sent on a link while the idle timeout closes it: its
// outcome would be unknown. The test makes calls just before, at and just after the
// timeout.
func TestCallWhileIdleLinkClosesIsAnswered(t *testing.T) {
	for _, control := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newFakePeer()
			l := p.link(control, nil)
			calls := int32(0)
			for range 50 {
				for _, pause := range []time.Duration{controlIdleTimeout, dataIdleTimeout, dataIdleTimeout - 1, dataIdleTimeout + 1, controlIdleTimeout + heartbeatInterval, dataIdleTimeout + heartbeatInterval} {
					done := make(chan error, 4)
					for range cap(done) {
						go func() { done <- exchange(l) }()
					}
					for range cap(done) {
						calls++
						assert.NilError(t, <-done)
					}
					time.Sleep(pause)
				}
			}
			assert.Equal(t, p.exchanges.Load(), calls)
			assert.Assert(t, p.dials.Load() > 1)
			l.Close()
		})
	}
}

// Guards against a call that waits forever on a broken connection: it has to fail
// within 2 s with an unknown outcome, and the next call has to open a new connection.
func TestSilentLinkFailsItsCalls(t *testing.T) {
	for _, control := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newFakePeer()
			failures := 0
			l := p.link(control, func(string) { failures++ })
			assert.NilError(t, exchange(l))
			time.Sleep(300 * time.Millisecond)
			p.silent.Store(true)
			startedAt := time.Now()
			err := exchange(l)
			assert.Assert(t, time.Since(startedAt) <= heartbeatInterval+heartbeatTimeout)
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
			synctest.Wait()
			assert.Equal(t, failures, 1)
			p.silent.Store(false)
			assert.NilError(t, exchange(l))
			assert.Equal(t, p.dials.Load(), int32(2))
			p.refusing.Store(true)
			l.Close()
			assert.Equal(t, verdict.Of(exchange(l)), verdict.NotRun)
		})
	}
}
