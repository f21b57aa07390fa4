// Package metrics holds the counters and latency histograms of an instance.
package metrics

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayarail/papayarail/proxy/catalog"
)

// Metrics implements session.Metrics. Labels come from fixed sets only:
// consistencies, outcomes and causes.
type Metrics struct{ set *metrics.Set }

// New returns figures at zero.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Statement counts a statement and its time until the answer.
func (f *Metrics) Statement(c catalog.Consistency, outcome string, took time.Duration) {
	f.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_statements_total{consistency=%q,outcome=%q}`, c, outcome)).Inc()
	if outcome == "ok" {
		f.set.GetOrCreateHistogram(fmt.Sprintf(`papayarail_statement_seconds{consistency=%q}`, c)).Update(took.Seconds())
	}
}

// Retried counts another attempt of a statement.
func (f *Metrics) Retried(cause string) {
	f.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_retries_total{cause=%q}`, cause)).Inc()
}

// StoreCall counts a call to the store and its time.
func (f *Metrics) StoreCall(call string, err error, took time.Duration) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	f.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	f.set.GetOrCreateHistogram(fmt.Sprintf(`papayarail_store_call_seconds{call=%q}`, call)).Update(took.Seconds())
}

// Sessions registers the gauge of open sessions.
func (f *Metrics) Sessions(open func() float64) {
	f.set.GetOrCreateGauge("papayarail_sessions_open", open)
}

// Write writes all figures in the Prometheus text format.
func (f *Metrics) Write(w io.Writer) { f.set.WritePrometheus(w) }
