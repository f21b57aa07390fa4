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

// blockedOutput is an output that blocks until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.got.Write(p)
}

// Guards requests against a standard output that nobody reads: logging must not block,
// and lines dropped meanwhile must be reported.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
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
		assert.Assert(t, strings.Contains(text, `"event":"log_lines_dropped"`), "dropped lines are not reported")
		assert.Assert(t, strings.Count(text, "\n") < 500, "%d lines written", strings.Count(text, "\n"))
	})
}

// Guards the log volume under a flood of failures: 100 lines a second after a burst of
// 300, while warnings are always written.
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

// Guards the exit of the process against an output that blocks forever.
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
