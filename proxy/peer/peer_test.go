package peer_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/peer"
)

func silentLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// Guards the process against a panic in the handler of one call: that call must be
// answered with an error, and later calls must succeed.
func TestFaultEndsOneCall(t *testing.T) {
	server := peer.NewServer(silentLog())
	server.Handle("fault", func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) {
		panic("fault")
	})
	server.Handle("ping", func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) { return "pong", nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = server.Serve(l) }() // ends with the listener
	client := peer.NewClient(l.Addr().String(), peer.Between("a", "a"), nil, silentLog())
	defer client.Close()
	err = client.Call(t.Context(), "fault", 1, nil)
	var answerErr *peer.Error
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, answerErr)
	var text string
	assert.NilError(t, client.Call(t.Context(), "ping", 1, &text))
	assert.Equal(t, text, "pong")
}

// Guards the server against input that is not a valid call, and calls of unknown methods:
// later calls must succeed.
func TestMalformedCalls(t *testing.T) {
	server := peer.NewServer(silentLog())
	server.Handle("ping", func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) { return "pong", nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = server.Serve(l) }() // ends with the listener
	for _, garbage := range []string{"{", "\x00\xff", "[]", `{"jsonrpc":"2.0","method":7}`, `{"method":"ping","params":{},"id":{}}`, "null\n"} {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = c.Write([]byte(garbage))
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	client := peer.NewClient(l.Addr().String(), peer.Between("a", "a"), nil, silentLog())
	defer client.Close()
	assert.Assert(t, client.Call(t.Context(), "unknown", 1, nil) != nil)
	var text string
	assert.NilError(t, client.Call(t.Context(), "ping", 1, &text))
	assert.Equal(t, text, "pong")
}
