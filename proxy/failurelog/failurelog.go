// Package failurelog logs failed statements with bounded volume. Within a rate limit,
// each has its own line. Beyond it, when hundreds are refused a second for a few causes,
// the statements of one cause are batched into a line with their request IDs, so that
// each failure can still be explained.
package failurelog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/proxy/session"
)

const (
	// linesPerSecond is the rate limit of lines for single statements, half of that of
	// logsink, and burstLines the burst that it allows.
	linesPerSecond = 50
	burstLines     = 100
	// batchInterval is how long statements of one cause are collected.
	batchInterval = 250 * time.Millisecond
	// maxBatchIDs bounds the request IDs in a line, which take about 10 kB.
	maxBatchIDs = 500
	// maxBatches bounds the causes that are collected in one batchInterval.
	maxBatches = 16
)

// cause is the batch key: what the statements of one line have in common.
type cause struct {
	service, outcome, errorText string
}

type batch struct {
	requestIDs  []string
	longestTook time.Duration
}

// Log implements session.FailureLog. It is safe for concurrent use.
type Log struct {
	log *logrus.Entry

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time // when tokens was last refilled
	batches    map[cause]*batch
	omitted    int // statements of causes beyond maxBatches
}

// New returns a Log that writes to log.
func New(log *logrus.Entry) *Log {
	return &Log{log: log, tokens: burstLines, refilledAt: time.Now(), batches: make(map[cause]*batch)}
}

// Note implements session.FailureLog.
func (l *Log) Note(f session.Failure, fields func() logrus.Fields) {
	if l.takeToken() {
		l.log.WithFields(fields()).Info("statement was not served")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := cause{f.Service, f.Outcome, f.Error}
	b := l.batches[key]
	switch {
	case b == nil && len(l.batches) == maxBatches:
		l.omitted++
		return
	case b == nil:
		if len(l.batches) == 0 {
			time.AfterFunc(batchInterval, l.flush)
		}
		b = &batch{}
		l.batches[key] = b
	}
	b.requestIDs = append(b.requestIDs, f.Request)
	b.longestTook = max(b.longestTook, f.Took)
	if len(b.requestIDs) == maxBatchIDs {
		l.writeBatch(key, b)
		b.requestIDs = nil
	}
}

// takeToken reports whether the rate limit allows a line for a single statement.
func (l *Log) takeToken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*linesPerSecond, burstLines)
	l.refilledAt = now
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
		l.writeBatch(key, b)
	}
	clear(l.batches)
	if l.omitted > 0 {
		l.log.WithFields(logrus.Fields{"event": "failures_omitted", "count": l.omitted}).Warn("statements of further causes failed and are not listed")
		l.omitted = 0
	}
}

// writeBatch logs the statements of one cause. l.mu is held.
func (l *Log) writeBatch(key cause, b *batch) {
	if len(b.requestIDs) == 0 {
		return
	}
	l.log.WithFields(logrus.Fields{"event": "failed_together", "service": key.service, "outcome": key.outcome, "error": key.errorText,
		"count": len(b.requestIDs), "longest_ms": b.longestTook.Milliseconds(), "requests": b.requestIDs}).Warn("statements were not served")
}
