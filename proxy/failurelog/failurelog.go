// Package failurelog logs failed statements with bounded volume. Within a rate limit,
// each has its own line. Beyond it, when hundreds are refused a second for a few causes,
// the statements of one cause are batched into a line with their request IDs, so that
// each failure can still be explained. Unusual decisions of a group are logged in the same
// way.
package failurelog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/session"
)

const (
	// linesPerSecond is the rate limit of lines for single statements, half of that of
	// logsink, and burstLines the burst that it allows.
	linesPerSecond = 50
	burstLines     = 100
	// decisionsPerSecond and burstDecisions are the same for decisions.
	decisionsPerSecond = 20
	burstDecisions     = 40
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
	positions   []string // of the commits or reads, if they are decisions
	longestTook time.Duration
}

// wording is how the lines of a Log read.
type wording struct {
	single, together, togetherEvent, omitted, omittedEvent string
}

// Log implements session.FailureLog. It is safe for concurrent use.
type Log struct {
	log                        *logrus.Entry
	linesPerSecond, burstLines float64
	words                      wording

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time // when tokens was last refilled
	batches    map[cause]*batch
	omitted    int // statements of causes beyond maxBatches
}

// New returns a Log that writes to log.
func New(log *logrus.Entry) *Log {
	return newLog(log, linesPerSecond, burstLines, wording{
		single: "statement was not served", together: "statements were not served", togetherEvent: "failed_together",
		omitted: "statements of further causes failed and are not listed", omittedEvent: "failures_omitted"})
}

func newLog(log *logrus.Entry, perSecond, burst float64, words wording) *Log {
	return &Log{log: log, linesPerSecond: perSecond, burstLines: burst, words: words, tokens: burst, refilledAt: time.Now(), batches: make(map[cause]*batch)}
}

// Decisions implements group.DecisionLog with a rate limit of its own. It is safe for
// concurrent use.
type Decisions struct{ log *Log }

// NewDecisions returns a Decisions that writes to log.
func NewDecisions(log *logrus.Entry) *Decisions {
	return &Decisions{newLog(log, decisionsPerSecond, burstDecisions, wording{
		single: "unusual decision", together: "unusual decisions", togetherEvent: "decided_together",
		omitted: "unusual decisions of further causes are not listed", omittedEvent: "decisions_omitted"})}
}

// Note implements group.DecisionLog.
func (d *Decisions) Note(n group.Decision, fields func() logrus.Fields) {
	d.log.note(cause{n.Service, n.Event, n.Cause}, n.Request, n.Position.String(), n.Took, fields)
}

// Note implements session.FailureLog.
func (l *Log) Note(f session.Failure, fields func() logrus.Fields) {
	l.note(cause{f.Service, f.Outcome, f.Error}, f.Request, "", f.Took, fields)
}

func (l *Log) note(key cause, request, at string, took time.Duration, fields func() logrus.Fields) {
	if l.takeToken() {
		l.log.WithFields(fields()).Info(l.words.single)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
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
	b.requestIDs = append(b.requestIDs, request)
	if at != "" {
		b.positions = append(b.positions, at)
	}
	b.longestTook = max(b.longestTook, took)
	if len(b.requestIDs) == maxBatchIDs {
		l.writeBatch(key, b)
		b.requestIDs, b.positions = nil, nil
	}
}

// takeToken reports whether the rate limit allows a line for a single statement.
func (l *Log) takeToken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*l.linesPerSecond, l.burstLines)
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
		l.log.WithFields(logrus.Fields{"event": l.words.omittedEvent, "count": l.omitted}).Warn(l.words.omitted)
		l.omitted = 0
	}
}

// writeBatch logs the statements of one cause. l.mu is held.
func (l *Log) writeBatch(key cause, b *batch) {
	if len(b.requestIDs) == 0 {
		return
	}
	fields := logrus.Fields{"event": l.words.togetherEvent, "service": key.service,
		"count": len(b.requestIDs), "longest_ms": b.longestTook.Milliseconds(), "requests": b.requestIDs}
	if b.positions == nil {
		fields["outcome"], fields["error"] = key.outcome, key.errorText
	} else {
		fields["decision"], fields["cause"], fields["positions"] = key.outcome, key.errorText, b.positions
	}
	l.log.WithFields(fields).Warn(l.words.together)
}
