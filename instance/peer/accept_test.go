package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/instance/peer"
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

// Guards against an instance that ends because it once had no descriptor for a link.
func TestServerOutlastsFailedAccepts(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &busyListener{Listener: inner}
	l.failures.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- (&peer.Server{Log: logrus.NewEntry(log)}).Serve(ctx, l) }()
	select {
	case err := <-ended:
		t.Fatalf("ended: %v", err)
	case <-time.After(400 * time.Millisecond):
	}
	assert.Check(t, l.failures.Load() < 0, "no accept since the failed ones")
	cancel()
	assert.NilError(t, <-ended)
}
