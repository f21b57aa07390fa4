// Package logsink writes log lines asynchronously through a bounded queue with a rate
// limit, so that logging never blocks. Lines that exceed the queue or the rate are
// dropped and counted by event. Debug lines are dropped first, which leaves room for the
// lines that explain failed requests; warnings and errors are exempt from the rate limit.
package logsink

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLines bounds the queue of lines while the output is slow. At 500 bytes a line,
	// a full queue takes 0.5 MB.
	queueLines = 1024
	// linesPerSecond is the rate limit. A line costs about 50 µs of processor time, so a
	// flood of failures costs 1.2% of 0.4 cores.
	linesPerSecond = 100
	// burstLines is the burst that the rate limit allows, as during a failover.
	burstLines = 300
	// debugReserve is the part of the burst that debug lines cannot use.
	debugReserve = burstLines / 2
	// dropReportInterval is the minimum interval between reports of dropped lines.
	dropReportInterval = time.Second
	// maxDropEvents bounds the events whose dropped lines are counted separately.
	maxDropEvents = 32
)

// Sink is the io.Writer of a logger. It is safe for concurrent use.
type Sink struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}

	mu              sync.Mutex
	tokens          float64 // of the rate limit
	refilledAt      time.Time
	dropped         map[string]uint64 // count of dropped lines by event
	dropsReportedAt time.Time         // when drops were last reported
	closed          bool
}

// New returns a Sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{}), dropped: make(map[string]uint64), tokens: burstLines, refilledAt: time.Now()}
	go s.writeQueued()
	return s
}

// NewLogger returns a logger of JSON lines on a Sink.
func NewLogger(out io.Writer) (*logrus.Logger, *Sink) {
	sink := New(out)
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetLevel(logrus.DebugLevel)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logger, sink
}

// Write queues one line, or drops it. It never blocks on the output and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tokens = min(s.tokens+now.Sub(s.refilledAt).Seconds()*linesPerSecond, burstLines)
	s.refilledAt = now
	if s.closed || s.tokens < requiredTokens(line) {
		s.countDrop(line)
		return len(line), nil
	}
	select {
	case s.queue <- s.withDropReport(line):
		s.tokens = max(s.tokens-1, 0)
	default:
		s.countDrop(line)
	}
	return len(line), nil
}

// requiredTokens returns the number of tokens that must be left for a line to be written.
func requiredTokens(line []byte) float64 {
	switch {
	case bytes.Contains(line, []byte(`"level":"warning"`)), bytes.Contains(line, []byte(`"level":"error"`)):
		return 0
	case bytes.Contains(line, []byte(`"level":"debug"`)):
		return debugReserve
	default:
		return 1
	}
}

// countDrop counts a dropped line. s.mu is held.
func (s *Sink) countDrop(line []byte) {
	event := "other"
	if _, rest, found := bytes.Cut(line, []byte(`"event":"`)); found {
		if name, _, ends := bytes.Cut(rest, []byte(`"`)); ends {
			event = string(name)
		}
	}
	if _, known := s.dropped[event]; !known && len(s.dropped) >= maxDropEvents {
		event = "other"
	}
	s.dropped[event]++
}

// withDropReport returns a copy of the line, preceded by a report of dropped lines if one
// is due. s.mu is held.
func (s *Sink) withDropReport(line []byte) []byte {
	var out []byte
	if len(s.dropped) > 0 && s.refilledAt.Sub(s.dropsReportedAt) >= dropReportInterval {
		s.dropsReportedAt = s.refilledAt
		counts, err := json.Marshal(s.dropped)
		if err != nil {
			counts = []byte("{}") // cannot happen: a map of numbers can always be encoded
		}
		out = fmt.Appendf(out, `{"event":"log_lines_dropped","level":"warning","count":%s,"time":%q}`+"\n", counts, s.refilledAt.Format(time.RFC3339Nano))
		clear(s.dropped)
	}
	return append(out, line...)
}

func (s *Sink) writeQueued() {
	defer close(s.done)
	for line := range s.queue {
		// A failed write of the log cannot be reported anywhere else.
		_, _ = s.out.Write(line)
	}
}

// closeTimeout bounds the wait until the queue is written.
const closeTimeout = 200 * time.Millisecond

// Close drops further lines and writes the queued ones, for at most closeTimeout.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
