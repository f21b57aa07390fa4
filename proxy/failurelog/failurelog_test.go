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

	"github.com/papayarail/papayarail/proxy/failurelog"
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
