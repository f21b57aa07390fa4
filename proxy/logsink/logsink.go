// Package logsink writes log lines without ever blocking the code that logs:
// lines wait in a bounded queue for a goroutine that writes them. What does not
// fit, or exceeds the rate, is dropped and counted by its kind: debug lines first,
// so that they leave room to what says why a request failed, and warnings last.
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
	// queueLines bounds the lines that wait for a slow reader. At 500 bytes a
	// line, a full queue takes 0.5 MB.
	queueLines = 1024
	// linesPerSecond bounds the volume; a line costs about 50 µs of processor
	// time, so that a flood of failures costs 1.2% of 0.4 cores.
	linesPerSecond = 100
	// burstLines may be written at once, as at a change of primary.
	burstLines = 300
	// debugReserve is the part of the burst that debug lines leave to others.
	debugReserve = burstLines / 2
	// dropReportInterval separates two lines about dropped ones.
	dropReportInterval = time.Second
	// maxDropKinds bounds the kinds of dropped lines that are counted apart.
	maxDropKinds = 32
)

// Sink is an io.Writer for one logger.
type Sink struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}

	mu              sync.Mutex
	tokens          float64
	refilledAt      time.Time
	dropped         map[string]uint64 // by event
	dropsReportedAt time.Time         // last line about drops
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

// Write queues one line. It never blocks and never fails.
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

// needed returns the tokens that must be left for a line.
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

// drop counts a line that is not written. s.mu is held.
func (s *Sink) countDrop(line []byte) {
	event := "other"
	if _, rest, found := bytes.Cut(line, []byte(`"event":"`)); found {
		if name, _, ends := bytes.Cut(rest, []byte(`"`)); ends {
			event = string(name)
		}
	}
	if _, known := s.dropped[event]; !known && len(s.dropped) >= maxDropKinds {
		event = "other"
	}
	s.dropped[event]++
}

// withDropReport returns a copy of the line, after a line that counts the drops.
func (s *Sink) withDropReport(line []byte) []byte {
	var out []byte
	if len(s.dropped) > 0 && s.refilledAt.Sub(s.dropsReportedAt) >= dropReportInterval {
		s.dropsReportedAt = s.refilledAt
		kinds, err := json.Marshal(s.dropped)
		if err != nil {
			kinds = []byte("{}") // a map of numbers is always encoded
		}
		out = fmt.Appendf(out, `{"event":"log_lines_dropped","level":"warning","count":%s,"time":%q}`+"\n", kinds, s.refilledAt.Format(time.RFC3339Nano))
		clear(s.dropped)
	}
	return append(out, line...)
}

func (s *Sink) writeQueued() {
	defer close(s.done)
	for line := range s.queue {
		// There is no other place to report a failed write to.
		_, _ = s.out.Write(line)
	}
}

// closeTimeout bounds the wait for a reader of the last lines.
const closeTimeout = 200 * time.Millisecond

// Close writes what waits, unless the reader does not read.
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
