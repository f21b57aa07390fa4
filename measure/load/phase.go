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

// allocation holds, for each urgent caller of a service, the number of requests that it
// offered and the number that was answered.
type allocation struct{ offered, answered []float64 }

type rankFigures struct {
	figures.RankFigures
	latencies *figures.Latencies
}

func newPhase(name string, d time.Duration) *phase {
	return &phase{name: name, began: time.Now(), maxDuration: d, ranks: make(map[string]*rankFigures), urgentAllocations: make(map[string]*allocation)}
}

func (p *phase) figuresOf(rank string) *rankFigures {
	r := p.ranks[rank]
	if r == nil {
		r = &rankFigures{latencies: figures.NewLatencies()}
		r.Codes = make(map[string]int)
		p.ranks[rank] = r
	}
	return r
}

// extendDuration makes the duration of the phase at least d.
func (p *phase) extendDuration(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duration = max(p.duration, d)
}

func (p *phase) countOffered(rank string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figuresOf(rank).Offered++
}

func (p *phase) countInterrupted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interrupted++
}

func (p *phase) countCode(rank string, o outcome) {
	if o.kind == answered {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figuresOf(rank).Codes[o.code]++
}

func (p *phase) recordOutcome(rank string, o outcome, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.figuresOf(rank)
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
	requests := p.urgentAllocations[service]
	if requests == nil {
		requests = &allocation{}
		p.urgentAllocations[service] = requests
	}
	for _, c := range callers {
		if n := c.offered.Load(); n > 0 {
			requests.offered = append(requests.offered, float64(n))
			requests.answered = append(requests.answered, float64(c.answered.Load()))
		}
	}
}

// jain returns Jain's fairness index over the urgent callers, or nil without any. The
// share of a caller is the ratio of its answered requests to its max-min fair share of
// those of all urgent callers of its service. Unlike an index over plain counts, it does
// not count different demands as unfairness.
func (p *phase) jain() *float64 {
	var ratios []float64
	for _, requests := range p.urgentAllocations {
		ratios = append(ratios, requests.ratios()...)
	}
	if len(ratios) == 0 {
		return nil
	}
	j := figures.Jain(ratios)
	return &j
}

// ratios returns, for each caller with a positive max-min fair share, the ratio of its
// answered requests to that share.
func (a *allocation) ratios() (out []float64) {
	total := 0.0
	for _, x := range a.answered {
		total += x
	}
	for i, fair := range figures.MaxMinShares(a.offered, total) {
		if fair > 0 {
			out = append(out, a.answered[i]/fair)
		}
	}
	return out
}

func (p *phase) figures(pauses map[string]figures.Millis) figures.Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := figures.Phase{Name: p.name, Seconds: p.duration.Seconds(), Ranks: make(map[string]figures.RankFigures), Jain: p.jain(), LongestWritePause: pauses, InterruptedRequests: p.interrupted}
	for rank, r := range p.ranks {
		r.P50, r.P90, r.P99, r.Max = r.latencies.Percentile(50), r.latencies.Percentile(90), r.latencies.Percentile(99), r.latencies.Percentile(100)
		out.Ranks[rank] = r.RankFigures
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
