package router

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
)

// counters are the entry's metrics. Names and labels follow the Prometheus
// conventions; durations are in seconds.
type counters struct {
	duration [schedule.NumRanks]*metrics.Histogram
	replica  *metrics.Counter
	primary  *metrics.Counter
}

func newCounters() *counters {
	c := &counters{
		replica: metrics.GetOrCreateCounter(`papayarail_reads_total{served_by="replica"}`),
		primary: metrics.GetOrCreateCounter(`papayarail_reads_total{served_by="primary"}`),
	}
	for r := range c.duration {
		name := fmt.Sprintf(`papayarail_request_duration_seconds{rank=%q}`, schedule.Rank(r))
		c.duration[r] = metrics.GetOrCreateHistogram(name)
	}
	return c
}

// request counts a finished request by rank and outcome.
func (c *counters) request(r schedule.Rank, w work, err error, took time.Duration) {
	outcome := "answered"
	var v *verdict.Error
	if errors.As(err, &v) {
		outcome = v.Code.String()
	}
	name := fmt.Sprintf(`papayarail_requests_total{rank=%q,class=%q,outcome=%q}`, r, classNames[w.class], outcome)
	metrics.GetOrCreateCounter(name).Inc()
	c.duration[r].Update(took.Seconds())
}

// served counts a read by the kind of member that served it.
func (c *counters) served(w work, replica bool) {
	switch {
	case w.class != route.Read:
	case replica:
		c.replica.Inc()
	default:
		c.primary.Inc()
	}
}

var classNames = map[route.Class]string{
	route.Read:        "read",
	route.Write:       "write",
	route.Transaction: "transaction",
}
