// Package figures defines the results of a load test, such as request counts, latency
// percentiles, fairness indices and checks of the guarantees, and prints them as
// tables. Encoded as JSON, they can be compared with those of a later run.
package figures

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that the histogram distinguishes.
	maxLatency = 5 * time.Minute
	// significantDigits is the number of decimal digits that the histogram keeps of a
	// latency.
	significantDigits = 3
)

// RankFigures holds the request counts and latencies of one rank in one phase.
type RankFigures struct {
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	// Refused counts requests whose last attempt was reported as not run.
	Refused int `json:"refused"`
	// Failed counts requests that ended with any other error.
	Failed int `json:"failed"`
	// Codes counts failed attempts by error code. A request that is retried counts
	// once per failed attempt.
	Codes map[string]int `json:"codes,omitempty"`
	P50   Millis         `json:"p50_ms"`
	P90   Millis         `json:"p90_ms"`
	P99   Millis         `json:"p99_ms"`
	Max   Millis         `json:"max_ms"`
}

// Millis is a duration in milliseconds.
type Millis float64

// InMillis converts d to milliseconds, truncated to microseconds.
func InMillis(d time.Duration) Millis { return Millis(float64(d.Microseconds()) / 1000) }

// Phase holds the figures of one phase of a scenario.
type Phase struct {
	Name    string                 `json:"name"`
	Seconds float64                `json:"seconds"`
	Ranks   map[string]RankFigures `json:"ranks"`
	// InterruptedRequests counts attempts with an unknown outcome while no fault was
	// injected. Reports call them cut requests.
	InterruptedRequests int `json:"cut_requests"`
	// ReplicaShare is the share of reads that replicas served, from 0 to 1, or nil if
	// there were none.
	ReplicaShare *float64 `json:"replica_share,omitempty"`
	// Jain is Jain's fairness index among urgent callers, or nil if there were none.
	Jain *float64 `json:"jain_urgent,omitempty"`
	// LongestWritePause is the longest time without an acknowledged write, by service.
	LongestWritePause map[string]Millis `json:"longest_write_pause_ms,omitempty"`
}

// SystemFigures holds the figures of one system under test: papayarail or the baseline.
type SystemFigures struct {
	Phases []Phase `json:"phases"`
	// WriteGaps holds, by service, the time from each fault to the first acknowledgement
	// of a write sent after it.
	WriteGaps map[string][]Millis `json:"write_gaps_ms,omitempty"`
	// FaultsWithoutWrite counts faults after which no write was acknowledged in time.
	FaultsWithoutWrite int `json:"faults_without_a_later_write"`
	// InterruptedRequests counts attempts with an unknown outcome while no fault was
	// injected, in all phases.
	InterruptedRequests int         `json:"cut_requests"`
	InterruptedExamples []string    `json:"cut_examples,omitempty"`
	Guarantees          []Guarantee `json:"guarantees"`
	// ServicesNotReadBack counts services whose contents papayarail or the baseline did
	// not serve at the end of the scenario.
	ServicesNotReadBack int      `json:"services_not_read_back"`
	ReadBackErrors      []string `json:"read_back_errors,omitempty"`
	// ExtraRows holds rows that only this scenario has.
	ExtraRows []Row `json:"extra,omitempty"`
}

// Guarantee holds the checks of one guarantee of section 2 of docs/design.md.
type Guarantee struct {
	Number     int      `json:"number"`
	Name       string   `json:"name"`
	Checks     int      `json:"checks"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
}

// Violations returns the number of violations of all guarantees.
func (s *SystemFigures) Violations() (n int) {
	for _, g := range s.Guarantees {
		n += g.Violations
	}
	return n
}

// Phase returns the phase with that name, or nil.
func (s *SystemFigures) Phase(name string) *Phase {
	if s == nil {
		return nil
	}
	for i := range s.Phases {
		if s.Phases[i].Name == name {
			return &s.Phases[i]
		}
	}
	return nil
}

// Report holds the results of one scenario.
type Report struct {
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Papayarail SystemFigures  `json:"papayarail"`
	Baseline   *SystemFigures `json:"baseline,omitempty"`
	Rows       []Row          `json:"rows"`
}

// Row is one line of the table, with formatted values.
type Row struct {
	Metric     string `json:"metric"`
	Papayarail string `json:"papayarail"`
	Baseline   string `json:"baseline,omitempty"`
	Target     string `json:"target,omitempty"`
	Result     Result `json:"result"`
}

// Result is the result of comparing a figure with its target.
type Result string

// Results.
const (
	Met      Result = "met"
	Missed   Result = "missed"
	NoTarget Result = "no target"
	// NotMeasured means that the run produced no figure to compare with the target.
	NotMeasured Result = "not measured"
)

// TargetResult returns Met if met is true, else Missed.
func TargetResult(met bool) Result {
	if met {
		return Met
	}
	return Missed
}

// Latencies is a histogram of the latencies of answered requests. It is not safe for
// concurrent use.
type Latencies struct{ histogram *hdrhistogram.Histogram }

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// Add records a latency, limited to the range from 1 µs to 5 minutes.
func (l *Latencies) Add(d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	_ = l.histogram.RecordValue(us) // the value is in range
}

// Percentile returns the percentile q, from 0 to 100, in milliseconds; 100 is the maximum.
func (l *Latencies) Percentile(q float64) Millis {
	return InMillis(time.Duration(l.histogram.ValueAtQuantile(q)) * time.Microsecond)
}

// Jain returns Jain's fairness index of the shares: 1 if all n shares are equal, 1/n if
// all but one are 0.
func Jain(shares []float64) float64 {
	var sum, squares float64
	for _, x := range shares {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// MaxMinShares divides a total among demands by max-min fairness: no share exceeds its
// demand, and what remains is divided equally among the unsatisfied demands.
func MaxMinShares(demands []float64, total float64) []float64 {
	out := make([]float64, len(demands))
	unsatisfied := len(demands)
	for unsatisfied > 0 && total > 1e-9 { // a smaller remainder is a rounding error
		equalShare := total / float64(unsatisfied)
		total, unsatisfied = 0, 0
		for i, d := range demands {
			if out[i] >= d {
				continue
			}
			next := out[i] + equalShare
			if next >= d {
				total += next - d
				next = d
			} else {
				unsatisfied++
			}
			out[i] = next
		}
	}
	return out
}
