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

// remote is a peer on in-memory connections.
type remote struct {
	Handler
	server  *Server
	dials   atomic.Int32
	pings   atomic.Int32
	closed  atomic.Int32
	holds   atomic.Bool
	silent  atomic.Bool // new data is not read, while the connection stays open
	work    time.Duration
	served  atomic.Int32
	refuses atomic.Bool
}

func newRemote() *remote {
	r := &remote{}
	r.server = &Server{Log: quietLog(), NewHandler: func(string) Handler { return r }, Self: func() Hello {
		r.pings.Add(1)
		return Hello{Name: "messina-1"}
	}}
	return r
}

func (r *remote) HasOpenTransactions() bool { return r.holds.Load() }
func (r *remote) Close()                    { r.closed.Add(1) }
func (r *remote) Exchange(context.Context, *ExchangeRequest) (*ExchangeAnswer, error) {
	time.Sleep(r.work)
	r.served.Add(1)
	return &ExchangeAnswer{}, nil
}

// muted swallows what is written once its remote is silent.
type muted struct {
	net.Conn
	remote *remote
}

func (m muted) Write(b []byte) (int, error) {
	if m.remote.silent.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

func (r *remote) dial(context.Context, string) (net.Conn, error) {
	if r.refuses.Load() {
		return nil, errors.New("connection refused")
	}
	r.dials.Add(1)
	near, far := net.Pipe()
	r.server.accept(context.Background(), far)
	return muted{near, r}, nil
}

func (r *remote) open() int {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	return len(r.server.conns)
}

func (r *remote) link(control bool, failed func(string)) *Link {
	return &Link{address: "messina-1", control: control, dial: r.dial, failed: failed, log: quietLog()}
}

func exchange(l *Link) error {
	return l.Call(context.Background(), MethodExchange, &ExchangeRequest{}, &ExchangeAnswer{})
}

// Guards against links that stay open and send heartbeats without being used,
// on either side, and against a closed idle link that counts as failed.
func TestIdleLinkIsClosedOnBothSides(t *testing.T) {
	for _, control := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRemote()
			failures := 0
			l := r.link(control, func(string) { failures++ })
			assert.NilError(t, exchange(l))
			time.Sleep(controlIdle - 100*time.Millisecond)
			synctest.Wait()
			assert.Equal(t, r.open(), 1)
			time.Sleep(dataIdle)
			synctest.Wait()
			assert.Equal(t, r.open(), 0)
			assert.Equal(t, r.closed.Load(), int32(1))
			assert.Equal(t, failures, 0)
			sent := r.pings.Load()
			assert.Equal(t, sent > 0, !control, "%d heartbeats without a call", sent)
			time.Sleep(time.Minute)
			assert.Equal(t, r.pings.Load(), sent)
			assert.NilError(t, exchange(l))
			assert.Equal(t, r.dials.Load(), int32(2))
			l.Close()
		})
	}
}

// Guards against the rollback of a transaction whose session pauses for longer
// than the idle time between two statements.
func TestLinkWithOpenTransactionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRemote()
		r.holds.Store(true)
		l := r.link(false, nil)
		assert.NilError(t, exchange(l))
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, r.open(), 1)
		r.holds.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, r.open(), 0)
	})
}

// Guards against a call that is longer than the idle time and loses its link.
func TestLinkWithCallInProgressIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRemote()
		r.work = 3 * dataIdle
		l := r.link(true, nil)
		assert.NilError(t, exchange(l))
		assert.Equal(t, r.dials.Load(), int32(1))
		l.Close()
	})
}

// Guards against a call that is sent on a link while the idle time closes it:
// its outcome would be unknown. The calls fall on, before and after that moment.
func TestCallWhileIdleLinkClosesIsAnswered(t *testing.T) {
	for _, control := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRemote()
			l := r.link(control, nil)
			calls := int32(0)
			for range 50 {
				for _, pause := range []time.Duration{controlIdle, dataIdle, dataIdle - 1, dataIdle + 1, controlIdle + heartbeatInterval, dataIdle + heartbeatInterval} {
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
			assert.Equal(t, r.served.Load(), calls)
			assert.Assert(t, r.dials.Load() > 1)
			l.Close()
		})
	}
}

// Guards against a call that waits on a silent connection: it fails within 2 s
// with an unknown outcome, and the next one takes a fresh connection.
func TestSilentLinkFailsItsCalls(t *testing.T) {
	for _, control := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRemote()
			failures := 0
			l := r.link(control, func(string) { failures++ })
			assert.NilError(t, exchange(l))
			time.Sleep(300 * time.Millisecond)
			r.silent.Store(true)
			began := time.Now()
			err := exchange(l)
			assert.Assert(t, time.Since(began) <= heartbeatInterval+heartbeatTimeout)
			assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
			synctest.Wait()
			assert.Equal(t, failures, 1)
			r.silent.Store(false)
			assert.NilError(t, exchange(l))
			assert.Equal(t, r.dials.Load(), int32(2))
			r.refuses.Store(true)
			l.Close()
			assert.Equal(t, verdict.Of(exchange(l)), verdict.NotRun)
		})
	}
}
