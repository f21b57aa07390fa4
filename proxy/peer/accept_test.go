package peer_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/peer"
)

// busyListener fails to accept for want of descriptors some times.
type busyListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *busyListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against an instance that serves no other instance until its process is started again,
// while it reports ready: the first failed accept ended the listener.
func TestServerOutlastsFailedAccepts(t *testing.T) {
	server := peer.NewServer(silentLog())
	server.Handle("ping", func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) { return "pong", nil })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &busyListener{Listener: inner}
	l.failures.Store(3)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	client := peer.NewClient(l.Addr().String(), peer.Between("a", "a"), nil, silentLog())
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var text string
	assert.NilError(t, client.Call(ctx, "ping", 1, &text))
	assert.Equal(t, text, "pong")
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
}
