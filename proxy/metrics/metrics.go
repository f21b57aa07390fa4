// Package metrics holds the counters, gauges and latency histograms of an instance and
// writes them in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayarail/papayarail/proxy/catalog"
)

// Metrics implements session.Metrics and limits.Metrics. The values of labels come from fixed sets only
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

// CountLimitRefusal counts an operation refused because of the limit of its workspace.
func (m *Metrics) CountLimitRefusal(workspace, cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_limit_refusals_total{workspace=%q,cause=%q}`, workspace, cause)).Inc()
}

// CountPermits counts permits that were granted to, or returned by, this instance.
func (m *Metrics) CountPermits(workspace, what string, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_permits_total{workspace=%q,what=%q}`, workspace, what)).Add(n)
}

// RegisterAllocatorChanges registers the gauge of changes to another allocator.
func (m *Metrics) RegisterAllocatorChanges(count func() float64) {
	m.set.GetOrCreateGauge("papayarail_allocator_changes", count)
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
