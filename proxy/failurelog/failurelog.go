// Package failurelog logs the statements that an instance did not serve. Each has a
// line of its own while there are few. In the seconds in which hundreds are refused,
// for a handful of causes, statements of one cause share a line that lists their
// ids, so that each can still be explained and the volume stays bounded.
package failurelog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/proxy/session"
)

const (
	// linesPerSecond bounds the lines of single statements, which take half of what
	// the log takes in all; burstLines may come at once.
	linesPerSecond = 50
	burstLines     = 100
	// batchTime is how long statements of one cause are collected.
	batchTime = 250 * time.Millisecond
	// maxBatch is the number of ids in a line: 10 kB.
	maxBatch = 500
	// maxCauses bounds the lines of one batch time.
	maxCauses = 16
)

// cause is what the statements of a line have in common.
type cause struct {
	service, outcome, text string
}

type batch struct {
	requests []string
	longest  time.Duration
}

// Log implements session.FailureLog. It is safe for concurrent use.
type Log struct {
	log *logrus.Entry

	mu      sync.Mutex
	tokens  float64
	last    time.Time
	batches map[cause]*batch
	omitted int // statements of causes beyond maxCauses
}

// New returns a Log that writes to log.
func New(log *logrus.Entry) *Log {
	return &Log{log: log, tokens: burstLines, last: time.Now(), batches: make(map[cause]*batch)}
}

// Note implements session.FailureLog.
func (l *Log) Note(f session.Failure, fields func() logrus.Fields) {
	if l.single() {
		l.log.WithFields(fields()).Info("statement was not served")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := cause{f.Service, f.Outcome, f.Error}
	b := l.batches[key]
	switch {
	case b == nil && len(l.batches) == maxCauses:
		l.omitted++
		return
	case b == nil:
		if len(l.batches) == 0 {
			time.AfterFunc(batchTime, l.flush)
		}
		b = &batch{}
		l.batches[key] = b
	}
	b.requests = append(b.requests, f.Request)
	b.longest = max(b.longest, f.Took)
	if len(b.requests) == maxBatch {
		l.write(key, b)
		b.requests = nil
	}
}

// single reports whether a statement gets a line of its own.
func (l *Log) single() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.last).Seconds()*linesPerSecond, burstLines)
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *Log) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, b := range l.batches {
		l.write(key, b)
	}
	clear(l.batches)
	if l.omitted > 0 {
		l.log.WithFields(logrus.Fields{"event": "failures_omitted", "count": l.omitted}).Warn("statements of further causes were not served")
		l.omitted = 0
	}
}

// write logs the statements of a cause. l.mu is held.
func (l *Log) write(key cause, b *batch) {
	if len(b.requests) == 0 {
		return
	}
	l.log.WithFields(logrus.Fields{"event": "failed_together", "service": key.service, "outcome": key.outcome, "error": key.text,
		"count": len(b.requests), "longest_ms": b.longest.Milliseconds(), "requests": b.requests}).Warn("statements were not served")
}
