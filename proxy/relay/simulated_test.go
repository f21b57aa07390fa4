//go:build !race

// These tests do not build under the race detector; see proxy/node/simulated_test.go.

package relay_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/peer"
	"github.com/papayarail/papayarail/proxy/relay"
)

// pipeListener accepts in-memory connections, which testing/synctest can wait for.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a configuration that reaches each level of the distribution tree one
// interval of reads later: a poll that waits for a newer read of the records must be
// answered at once when there is a newer configuration, and only once for a version that
// the polling instance is already fetching.
func TestPollIsAnsweredForNewConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newSource()
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := peer.NewServer(silentLog())
		relay.Register(server, src)
		go func() { _ = server.Serve(l) }() // ends with the listener
		f := &follower{t, relay.NewCache(boottime.Now), relay.NewClient("asker", "", l.dial, silentLog()), source.Candidate{Name: "reader", Address: "reader"}}
		src.read(12, record(12))
		f.poll()
		time.AfterFunc(20*time.Millisecond, func() { src.cache.SetConfig(config(7, 1400)) })
		started := time.Now()
		answer, _ := f.poll()
		assert.Equal(t, answer.Delta.ConfigVersion, uint64(7))
		assert.Equal(t, time.Since(started), 20*time.Millisecond)
		started = time.Now()
		_, err := f.client.Poll(t.Context(), f.from, f.cache.Known(), relay.News{ConfigSeen: 7}, nil)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) > 250*time.Millisecond, "answered after %s", time.Since(started))
		f.client.Close()
		assert.NilError(t, l.Close())
		time.Sleep(time.Second) // until the connections have ended
	})
}
