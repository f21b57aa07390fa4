// Package figures holds what a measurement reports: counts, latencies,
// fairness and the guarantees, as JSON and as a table.
package figures

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency bounds what the histogram distinguishes.
	maxLatency        = 5 * time.Minute
	significantDigits = 3
)

// RankFigures holds the figures of one rank in one phase.
type RankFigures struct {
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	// Refused counts requests whose last outcome was "not run".
	Refused int `json:"refused"`
	// Failed counts requests that ended with any other error.
	Failed int `json:"failed"`
	// Codes counts answers with an error by code. A request that comes back
	// after a refusal counts once per answer.
	Codes map[string]int `json:"codes,omitempty"`
	P50   Millis         `json:"p50_ms"`
	P90   Millis         `json:"p90_ms"`
	P99   Millis         `json:"p99_ms"`
	Max   Millis         `json:"max_ms"`
}

// Millis is a time in milliseconds.
type Millis float64

// InMillis converts a duration.
func InMillis(d time.Duration) Millis { return Millis(float64(d.Microseconds()) / 1000) }

// Phase holds the figures of one part of a scenario.
type Phase struct {
	Name    string                 `json:"name"`
	Seconds float64                `json:"seconds"`
	Ranks   map[string]RankFigures `json:"ranks"`
	// InterruptedRequests counts the cut requests of the phase.
	InterruptedRequests int `json:"cut_requests"`
	// ReplicaShare is the share of reads that replicas served, or absent.
	ReplicaShare *float64 `json:"replica_share,omitempty"`
	// Jain is Jain's fairness index among urgent callers, or absent.
	Jain *float64 `json:"jain_urgent,omitempty"`
	// LongestWritePause is the longest time without an acknowledged write, per service.
	LongestWritePause map[string]Millis `json:"longest_write_pause_ms,omitempty"`
}

// SystemFigures holds the figures of papayarail or of the baseline.
type SystemFigures struct {
	Phases []Phase `json:"phases"`
	// WriteGaps are the times from a fault to the next acknowledged write.
	WriteGaps map[string][]Millis `json:"write_gaps_ms,omitempty"`
	// FaultsWithoutWrite counts faults after which no write was acknowledged any more.
	FaultsWithoutWrite int `json:"faults_without_a_later_write"`
	// InterruptedRequests counts requests that ended without "not run" while nothing had failed.
	InterruptedRequests int         `json:"cut_requests"`
	InterruptedExamples []string    `json:"cut_examples,omitempty"`
	Guarantees          []Guarantee `json:"guarantees"`
	// ServicesNotReadBack counts services that could not be read back at the end.
	ServicesNotReadBack int      `json:"services_not_read_back"`
	ReadBackErrors      []string `json:"read_back_errors,omitempty"`
	// ExtraRows holds figures of a single scenario.
	ExtraRows []Row `json:"extra,omitempty"`
}

// Guarantee is the observation of one guarantee of section 2 of the design.
type Guarantee struct {
	Number     int      `json:"number"`
	Name       string   `json:"name"`
	Checks     int      `json:"checks"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
}

// Violations sums up the violations of a side.
func (s *SystemFigures) Violations() (n int) {
	for _, g := range s.Guarantees {
		n += g.Violations
	}
	return n
}

// Phase returns the phase with a name, or nil.
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

// Report is the outcome of one scenario.
type Report struct {
	Scenario   string         `json:"scenario"`
	Seed       uint64         `json:"seed"`
	Papayarail SystemFigures  `json:"papayarail"`
	Baseline   *SystemFigures `json:"baseline,omitempty"`
	Rows       []Row          `json:"rows"`
}

// Row is one line of the table.
type Row struct {
	Metric     string `json:"metric"`
	Papayarail string `json:"papayarail"`
	Baseline   string `json:"baseline,omitempty"`
	Target     string `json:"target,omitempty"`
	Result     Result `json:"result"`
}

// Result compares a figure with the stated target.
type Result string

// Results.
const (
	Met      Result = "met"
	Missed   Result = "missed"
	NoTarget Result = "no target"
	// NotMeasured means that the run produced no figure to compare.
	NotMeasured Result = "not measured"
)

// TargetResult returns Met or Missed.
func TargetResult(met bool) Result {
	if met {
		return Met
	}
	return Missed
}

// Latencies collects the latencies of answered requests.
type Latencies struct{ h *hdrhistogram.Histogram }

// NewLatencies returns an empty collection.
func NewLatencies() *Latencies {
	return &Latencies{hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// Add records one latency.
func (l *Latencies) Add(d time.Duration) {
	us := min(max(d.Microseconds(), 1), maxLatency.Microseconds())
	_ = l.h.RecordValue(us) // the value is in range
}

// Percentile returns a quantile in milliseconds; 100 is the maximum.
func (l *Latencies) Percentile(q float64) Millis {
	return InMillis(time.Duration(l.h.ValueAtQuantile(q)) * time.Microsecond)
}

// Jain returns Jain's fairness index of the shares: 1 if all are equal, 1/n if
// one has everything.
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

// MaxMinShares divides a total among demands by max-min fairness: nobody receives
// more than demanded, and what remains is divided equally among the others.
func MaxMinShares(demands []float64, total float64) []float64 {
	out := make([]float64, len(demands))
	open := len(demands)
	for open > 0 && total > 1e-9 {
		level := total / float64(open)
		total, open = 0, 0
		for i, d := range demands {
			if out[i] >= d {
				continue
			}
			next := out[i] + level
			if next >= d {
				total += next - d
				next = d
			} else {
				open++
			}
			out[i] = next
		}
	}
	return out
}
