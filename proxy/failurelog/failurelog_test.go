package failurelog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/proxy/failurelog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/logsink"
	"github.com/papayarail/papayarail/proxy/session"
)

// Guards against failed statements without a log line under load: in the heaviest seconds
// of derwent-press scale-1, one instance refused 679 statements, while 2,601 others were
// answered after retries, and dropped most lines of the refused ones.
func TestEveryRefusalIsExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, sink := logsink.NewLogger(&out)
		log := logger.WithField("instance", "busy")
		failures := failurelog.New(log)
		causes := []string{"deadline_unreachable: queueing time exceeds the deadline", "no_primary: the primary is being replaced", "cut_off: no quorum"}
		const perSecond, seconds = 400, 4
		for i := range perSecond * seconds {
			for range 3 {
				log.WithField("event", "retried").Debug("statement was answered after further attempts")
			}
			id := fmt.Sprintf("request-%d", i)
			failures.Note(session.Failure{Request: id, Service: "pressdb", Outcome: "refused", Error: causes[i%len(causes)], Took: time.Second}, func() logrus.Fields {
				return logrus.Fields{"event": "failed", "request": id, "error": causes[i%len(causes)]}
			})
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(time.Second)
		sink.Close()
		lines := strings.Split(out.String(), "\n")
		for i := range perSecond * seconds {
			id := fmt.Sprintf("%q", fmt.Sprintf("request-%d", i))
			found := false
			for _, line := range lines {
				found = found || strings.Contains(line, id) && strings.Contains(line, causes[i%len(causes)])
			}
			assert.Assert(t, found, "%s is not explained", id)
		}
		assert.Assert(t, len(lines) < 300+100*(seconds+1), "%d lines", len(lines))
		assert.Assert(t, out.Len() < 200_000, "%d bytes", out.Len())
		assert.Assert(t, strings.Contains(out.String(), `"count":{"retried":`), "dropped lines are not counted by kind")
	})
}

// Guards the log volume when each failure has a different cause.
func TestManyCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, sink := logsink.NewLogger(&out)
		failures := failurelog.New(logger.WithField("instance", "busy"))
		for i := range 5000 {
			failures.Note(session.Failure{Request: "r", Error: fmt.Sprint("cause ", i)}, func() logrus.Fields { return logrus.Fields{"event": "failed"} })
		}
		time.Sleep(time.Second)
		sink.Close()
		assert.Assert(t, strings.Count(out.String(), "\n") < 150)
		assert.Assert(t, strings.Contains(out.String(), "failures_omitted"))
	})
}

// Guards against unusual decisions that have no line with their request ID, against a log
// volume that grows with the load while all are unusual, and against failures whose lines
// the decisions take.
func TestEveryUnusualDecisionIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, sink := logsink.NewLogger(&out)
		log := logger.WithField("instance", "busy")
		decisions, failures := failurelog.NewDecisions(log), failurelog.New(log)
		const perSecond, seconds = 500, 4
		for i := range perSecond * seconds {
			id := fmt.Sprintf("request-%d", i)
			at := position.Position{Term: 4, Offset: uint64(i)}
			decisions.Note(group.Decision{Event: "commit_decision", Service: "pressdb", Request: id, Cause: "term_above", Position: at}, func() logrus.Fields {
				return logrus.Fields{"event": "commit_decision", "request": id, "position": at.String()}
			})
			time.Sleep(time.Second / perSecond)
		}
		for i := range 50 {
			failures.Note(session.Failure{Request: "r", Error: fmt.Sprint("cause ", i)}, func() logrus.Fields {
				return logrus.Fields{"event": "failed", "error": fmt.Sprintf("cause %d.", i)}
			})
		}
		time.Sleep(time.Second)
		sink.Close()
		for i := range perSecond * seconds {
			assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"request-%d"`, i)), "request-%d is not listed", i)
			assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"4.%d"`, i)), "position 4.%d is not listed", i)
		}
		for i := range 50 {
			assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf("cause %d.", i)))
		}
		assert.Assert(t, strings.Contains(out.String(), `"event":"decided_together"`) && strings.Contains(out.String(), `"cause":"term_above"`))
		lines := strings.Count(out.String(), "\n")
		assert.Assert(t, lines < 40+(20+5)*(seconds+1)+50, "%d lines", lines)
	})
}

// Guards the log volume when decisions have more causes than are listed.
func TestManyCausesOfDecisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, sink := logsink.NewLogger(&out)
		decisions := failurelog.NewDecisions(logger.WithField("instance", "busy"))
		for i := range 5000 {
			decisions.Note(group.Decision{Service: fmt.Sprint("s", i), Request: "r"}, func() logrus.Fields { return logrus.Fields{"event": "read_decision"} })
		}
		time.Sleep(time.Second)
		sink.Close()
		assert.Assert(t, strings.Count(out.String(), "\n") < 80)
		assert.Assert(t, strings.Contains(out.String(), "decisions_omitted"))
	})
}
