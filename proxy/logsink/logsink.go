// Package logsink writes log lines without ever blocking the code that logs:
// lines wait in a bounded queue for a goroutine that writes them. What does not
// fit, or exceeds the rate, is dropped and counted.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLines bounds the lines that wait for a slow reader. At 500 bytes a
	// line, a full queue takes 0.5 MB.
	queueLines = 1024
	// linesPerSecond bounds the volume; a line costs about 50 µs of processor
	// time, so that a flood of failures costs 1.2% of 0.4 cores.
	linesPerSecond = 100
	// burstLines may be written at once, as at a change of primary.
	burstLines = 300
)

// Sink is an io.Writer for one logger.
type Sink struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	dropped uint64
	closed  bool
}

// New returns a Sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), tokens: burstLines, last: time.Now()}
	go s.run()
	return s
}

// NewLogger returns a logger of JSON lines on a Sink.
func NewLogger(out io.Writer) (*logrus.Logger, *Sink) {
	sink := New(out)
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logger, sink
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.tokens+now.Sub(s.last).Seconds()*linesPerSecond, burstLines)
	s.last = now
	if s.closed || s.tokens < 1 && !bytes.Contains(line, []byte(`"level":"warning"`)) {
		s.dropped++
		return len(line), nil
	}
	select {
	case s.lines <- s.withDrops(line):
		s.tokens = max(s.tokens-1, 0)
	default:
		s.dropped++
	}
	return len(line), nil
}

// withDrops returns a copy of the line, after a line that counts the drops.
func (s *Sink) withDrops(line []byte) []byte {
	var out []byte
	if s.dropped > 0 {
		out = fmt.Appendf(out, `{"event":"log_lines_dropped","level":"warning","count":%d,"time":%q}`+"\n", s.dropped, s.last.Format(time.RFC3339Nano))
		s.dropped = 0
	}
	return append(out, line...)
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		// There is no other place to report a failed write to.
		_, _ = s.out.Write(line)
	}
}

// closeLimit bounds the wait for a reader of the last lines.
const closeLimit = 200 * time.Millisecond

// Close writes what waits, unless the reader does not read.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeLimit):
	}
}
