package load

import (
	"slices"
	"sync"
	"time"

	"github.com/papayarail/papayarail/measure/figures"
)

// phase collects the figures of one call of Run.
type phase struct {
	name        string
	began       time.Time
	maxDuration time.Duration

	mu                sync.Mutex
	duration          time.Duration // time for which requests were offered
	interrupted       int
	ranks             map[string]*rankFigures
	urgentAllocations map[string]*allocation // by service
}

// allocation holds the requests offered and answered of each urgent caller of a service.
type allocation struct{ demands, received []float64 }

type rankFigures struct {
	figures.RankFigures
	latencies *figures.Latencies
}

func newPhase(name string, d time.Duration) *phase {
	return &phase{name: name, began: time.Now(), maxDuration: d, ranks: make(map[string]*rankFigures), urgentAllocations: make(map[string]*allocation)}
}

func (p *phase) figuresOf(name string) *rankFigures {
	r := p.ranks[name]
	if r == nil {
		r = &rankFigures{latencies: figures.NewLatencies()}
		r.Codes = make(map[string]int)
		p.ranks[name] = r
	}
	return r
}

func (p *phase) extendTo(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duration = max(p.duration, d)
}

func (p *phase) countOffered(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figuresOf(name).Offered++
}

func (p *phase) countInterrupted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interrupted++
}

func (p *phase) countCode(name string, o outcome) {
	if o.kind == answered {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figuresOf(name).Codes[o.code]++
}

func (p *phase) recordOutcome(name string, o outcome, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.figuresOf(name)
	switch o.kind {
	case answered:
		r.Answered++
		r.latencies.Add(took)
	case notRun:
		r.Refused++
	default:
		r.Failed++
	}
}

func (p *phase) addCallers(service string, callers []*caller) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.urgentAllocations[service]
	if d == nil {
		d = &allocation{}
		p.urgentAllocations[service] = d
	}
	for _, c := range callers {
		if n := c.offered.Load(); n > 0 {
			d.demands = append(d.demands, float64(n))
			d.received = append(d.received, float64(c.answered.Load()))
		}
	}
}

// jain returns Jain's fairness index over the urgent callers, or nil without any. The
// share of a caller is the ratio of its answered requests to its max-min fair share of
// those of all urgent callers of its service. Unlike an index over plain counts, it does
// not count different demands as unfairness.
func (p *phase) jain() *float64 {
	var ratios []float64
	for _, d := range p.urgentAllocations {
		ratios = append(ratios, d.ratios()...)
	}
	if len(ratios) == 0 {
		return nil
	}
	j := figures.Jain(ratios)
	return &j
}

func (d *allocation) ratios() (out []float64) {
	total := 0.0
	for _, x := range d.received {
		total += x
	}
	for i, fair := range figures.MaxMinShares(d.demands, total) {
		if fair > 0 {
			out = append(out, d.received[i]/fair)
		}
	}
	return out
}

func (p *phase) figures(pauses map[string]figures.Millis) figures.Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := figures.Phase{Name: p.name, Seconds: p.duration.Seconds(), Ranks: make(map[string]figures.RankFigures), Jain: p.jain(), LongestWritePause: pauses, InterruptedRequests: p.interrupted}
	for name, r := range p.ranks {
		r.P50, r.P90, r.P99, r.Max = r.latencies.Percentile(50), r.latencies.Percentile(90), r.latencies.Percentile(99), r.latencies.Percentile(100)
		out.Ranks[name] = r.RankFigures
	}
	return out
}

// longestPauses returns, per service, the longest time without an acknowledged
// write between two times.
func (g *Generator) longestPauses(from, to time.Time) map[string]figures.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]figures.Millis)
	for service, acks := range g.acks {
		times := []time.Time{from}
		for _, a := range acks {
			if a.received.After(from) && a.received.Before(to) {
				times = append(times, a.received)
			}
		}
		times = append(times, to)
		slices.SortFunc(times, time.Time.Compare)
		longest := time.Duration(0)
		for i := 1; i < len(times); i++ {
			longest = max(longest, times[i].Sub(times[i-1]))
		}
		out[service] = figures.InMillis(longest)
	}
	return out
}

// WriteGap returns the time from a fault to the first acknowledgement of a write
// that was sent after it, and false if no such write has been acknowledged.
func (g *Generator) WriteGap(service string, fault time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var first time.Time
	for _, a := range g.acks[service] {
		if a.sent.After(fault) && (first.IsZero() || a.received.Before(first)) {
			first = a.received
		}
	}
	if first.IsZero() {
		return 0, false
	}
	return first.Sub(fault), true
}
