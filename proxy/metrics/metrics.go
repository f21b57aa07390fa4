// Package metrics holds the counters, gauges and latency histograms of an instance and
// writes them in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Metrics implements session.Metrics. The values of labels come from fixed sets only
// (consistencies, outcomes, causes and store calls), which bounds the number of series.
type Metrics struct{ set *metrics.Set }

// New returns Metrics without any series.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Statement counts a statement by consistency and outcome, and records its latency if
// it succeeded.
func (m *Metrics) Statement(c catalog.Consistency, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_statements_total{consistency=%q,outcome=%q}`, c, outcome)).Inc()
	if outcome == "ok" {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`papayarail_statement_seconds{consistency=%q}`, c)).Update(took.Seconds())
	}
}

// CountRetry counts a retry of a statement by its cause.
func (m *Metrics) CountRetry(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_retries_total{cause=%q}`, cause)).Inc()
}

// QueueWait implements upstream.QueueMetrics.
func (m *Metrics) QueueWait(r schedule.Rank, waited time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`papayarail_queue_wait_seconds{rank=%q}`, r)).Update(waited.Seconds())
}

// CountRefusal implements upstream.QueueMetrics.
func (m *Metrics) CountRefusal(r schedule.Rank, cause verdict.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_queue_refusals_total{rank=%q,cause=%q}`, r, cause)).Inc()
}

// CountCancelled implements upstream.QueueMetrics.
func (m *Metrics) CountCancelled(s upstream.Stage) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_statements_cancelled_total{stage=%q}`, s)).Inc()
}

// CountEntryRefusal counts a statement that was refused here because a gateway refuses
// such statements.
func (m *Metrics) CountEntryRefusal(r schedule.Rank) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_entry_refusals_total{rank=%q}`, r)).Inc()
}

// StoreCall counts a call to the store by its outcome and records its latency.
func (m *Metrics) StoreCall(call string, err error, took time.Duration) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`papayarail_store_call_seconds{call=%q}`, call)).Update(took.Seconds())
}

// CountIgnoredSnapshot counts a snapshot of a table of the store that was not used
// because a newer one is known.
func (m *Metrics) CountIgnoredSnapshot(table string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_store_snapshots_ignored_total{table=%q}`, table)).Inc()
}

// RegisterEraGauge registers the gauge of the store's era, which grows when the store is
// restored from an older copy.
func (m *Metrics) RegisterEraGauge(era func() float64) {
	m.set.GetOrCreateGauge("papayarail_store_era", era)
}

// RegisterSessionGauge registers the gauge of open sessions.
func (m *Metrics) RegisterSessionGauge(open func() float64) {
	m.set.GetOrCreateGauge("papayarail_sessions_open", open)
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
