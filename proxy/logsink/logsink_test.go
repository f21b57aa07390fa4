package logsink_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/logsink"
)

// stoppedReader accepts nothing until it is released.
type stoppedReader struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (r *stoppedReader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

// A reader of standard output that stops must not block a request, and what is
// dropped meanwhile must be said.
func TestStoppedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stoppedReader{release: make(chan struct{})}
		logger, sink := logsink.NewLogger(out)
		started := time.Now()
		for range 20000 {
			logger.WithField("event", "failed").Info("statement was not served")
		}
		assert.Equal(t, time.Since(started), time.Duration(0), "logging waited for the reader")
		close(out.release)
		time.Sleep(time.Second)
		logger.WithField("event", "failed").Info("after the flood")
		sink.Close()
		text := out.got.String()
		assert.Assert(t, strings.Contains(text, `"event":"log_lines_dropped"`), "drops are not said")
		assert.Assert(t, strings.Count(text, "\n") < 500, "%d lines written", strings.Count(text, "\n"))
	})
}

// Guards the volume under a flood of failures: 100 lines a second after a burst
// of 300, and warnings always.
func TestBoundedVolume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, sink := logsink.NewLogger(&out)
		for range 1000 {
			logger.Info("statement was not served")
			time.Sleep(time.Millisecond)
		}
		logger.Warn("primary does not serve")
		sink.Close()
		lines := strings.Count(out.String(), "statement was not served")
		assert.Assert(t, lines >= 390 && lines <= 410, "%d lines", lines)
		assert.Assert(t, strings.Contains(out.String(), "primary does not serve"))
	})
}

// Guards the end of a process whose reader never reads again.
func TestCloseDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		logger, sink := logsink.NewLogger(w)
		logger.Info("line")
		started := time.Now()
		sink.Close()
		assert.Assert(t, time.Since(started) < time.Second)
		assert.NilError(t, r.Close())
	})
}
