package load

import (
	"slices"
	"sync"
	"time"

	"github.com/papayarail/papayarail/measure/figures"
)

// phase collects the figures of one Run.
type phase struct {
	name  string
	began time.Time
	limit time.Duration

	mu       sync.Mutex
	duration time.Duration // for which requests were offered
	cut      int
	ranks    map[string]*rank
	urgent   map[string]*division // by service
}

// division is how the answers of a service were divided among urgent callers.
type division struct{ demands, shares []float64 }

type rank struct {
	figures.RankFigures
	latencies *figures.Latencies
}

func newPhase(name string, d time.Duration) *phase {
	return &phase{name: name, began: time.Now(), limit: d, ranks: make(map[string]*rank), urgent: make(map[string]*division)}
}

func (p *phase) rank(name string) *rank {
	r := p.ranks[name]
	if r == nil {
		r = &rank{latencies: figures.NewLatencies()}
		r.Codes = make(map[string]int)
		p.ranks[name] = r
	}
	return r
}

func (p *phase) lasted(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duration = max(p.duration, d)
}

func (p *phase) offered(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rank(name).Offered++
}

func (p *phase) cutOne() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut++
}

func (p *phase) code(name string, o outcome) {
	if o.kind == answered {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rank(name).Codes[o.code]++
}

func (p *phase) ended(name string, o outcome, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.rank(name)
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
	d := p.urgent[service]
	if d == nil {
		d = &division{}
		p.urgent[service] = d
	}
	for _, c := range callers {
		if n := c.offered.Load(); n > 0 {
			d.demands = append(d.demands, float64(n))
			d.shares = append(d.shares, float64(c.answered.Load()))
		}
	}
}

// jain returns the index over what each urgent caller received in proportion to
// its max-min fair share of what all callers of its service received. Unlike
// plain counts, this does not take different demands for unfairness.
func (p *phase) jain() *float64 {
	var ratios []float64
	for _, d := range p.urgent {
		ratios = append(ratios, d.ratios()...)
	}
	if len(ratios) == 0 {
		return nil
	}
	j := figures.Jain(ratios)
	return &j
}

func (d *division) ratios() (out []float64) {
	total := 0.0
	for _, x := range d.shares {
		total += x
	}
	for i, fair := range figures.MaxMinShares(d.demands, total) {
		if fair > 0 {
			out = append(out, d.shares[i]/fair)
		}
	}
	return out
}

func (p *phase) figures(pauses map[string]figures.Millis) figures.Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := figures.Phase{Name: p.name, Seconds: p.duration.Seconds(), Ranks: make(map[string]figures.RankFigures), Jain: p.jain(), LongestWritePause: pauses, InterruptedRequests: p.cut}
	for name, r := range p.ranks {
		r.P50, r.P90, r.P99, r.Max = r.latencies.Percentile(50), r.latencies.Percentile(90), r.latencies.Percentile(99), r.latencies.Percentile(100)
		out.Ranks[name] = r.RankFigures
	}
	return out
}

// longestPauses returns, per service, the longest time between acknowledged
// writes within an interval.
func (l *Generator) longestPauses(from, to time.Time) map[string]figures.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]figures.Millis)
	for service, acks := range l.acks {
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

// WriteGap returns the time from a fault to the first acknowledgement of a
// write that was sent after it, and false if there is none.
func (l *Generator) WriteGap(service string, fault time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, a := range l.acks[service] {
		if a.sent.After(fault) && (first.IsZero() || a.received.Before(first)) {
			first = a.received
		}
	}
	if first.IsZero() {
		return 0, false
	}
	return first.Sub(fault), true
}
