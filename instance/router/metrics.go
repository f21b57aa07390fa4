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

// metricSet holds the router's metrics. Names and labels follow the Prometheus
// conventions; durations are in seconds.
type metricSet struct {
	duration [schedule.NumRanks]*metrics.Histogram
	replica  *metrics.Counter
	primary  *metrics.Counter
}

func newMetricSet() *metricSet {
	m := &metricSet{
		replica: metrics.GetOrCreateCounter(`papayarail_reads_total{served_by="replica"}`),
		primary: metrics.GetOrCreateCounter(`papayarail_reads_total{served_by="primary"}`),
	}
	for r := range m.duration {
		name := fmt.Sprintf(`papayarail_request_duration_seconds{rank=%q}`, schedule.Rank(r))
		m.duration[r] = metrics.GetOrCreateHistogram(name)
	}
	return m
}

// request counts a finished request by rank, class and outcome.
func (m *metricSet) request(r schedule.Rank, summary statementSummary, err error, took time.Duration) {
	outcome := "answered"
	var v *verdict.Error
	if errors.As(err, &v) {
		outcome = v.Code.String()
	}
	name := fmt.Sprintf(`papayarail_requests_total{rank=%q,class=%q,outcome=%q}`, r, classLabels[summary.class], outcome)
	metrics.GetOrCreateCounter(name).Inc()
	m.duration[r].Update(took.Seconds())
}

// served counts a read by the role of the member that served it.
func (m *metricSet) served(summary statementSummary, replica bool) {
	switch {
	case summary.class != route.Read:
	case replica:
		m.replica.Inc()
	default:
		m.primary.Inc()
	}
}

var classLabels = map[route.Class]string{
	route.Read:        "read",
	route.Write:       "write",
	route.Transaction: "transaction",
}
