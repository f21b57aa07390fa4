package load

import (
	"slices"
	"sync"
	"time"

	"github.com/papayarail/papayarail/measure/figures"
)

// phase collects the figures of one Run.
type phase struct {
	name     string
	began    time.Time
	duration time.Duration

	mu      sync.Mutex
	ranks   map[string]*rank
	demands []float64 // of urgent callers
	shares  []float64
}

type rank struct {
	figures.Rank
	latencies *figures.Latencies
}

func newPhase(name string, d time.Duration) *phase {
	return &phase{name: name, began: time.Now(), duration: d, ranks: make(map[string]*rank)}
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

func (p *phase) offered(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rank(name).Offered++
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

func (p *phase) addCallers(callers []*caller) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range callers {
		if n := c.offered.Load(); n > 0 {
			p.demands = append(p.demands, float64(n))
			p.shares = append(p.shares, float64(c.answered.Load()))
		}
	}
}

// jain returns the index over what each urgent caller received in proportion to
// its max-min fair share of what all received. Unlike plain counts, this does
// not take different demands for unfairness.
func (p *phase) jain() *float64 {
	if len(p.demands) == 0 {
		return nil
	}
	total := 0.0
	for _, x := range p.shares {
		total += x
	}
	ratios := make([]float64, len(p.shares))
	for i, fair := range figures.MaxMin(p.demands, total) {
		if fair > 0 {
			ratios[i] = p.shares[i] / fair
		}
	}
	j := figures.Jain(ratios)
	return &j
}

func (p *phase) figures(pauses map[string]figures.Millis) figures.Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := figures.Phase{Name: p.name, Seconds: p.duration.Seconds(), Ranks: make(map[string]figures.Rank), Jain: p.jain(), LongestPause: pauses}
	for name, r := range p.ranks {
		r.P50, r.P90, r.P99, r.Max = r.latencies.At(50), r.latencies.At(90), r.latencies.At(99), r.latencies.At(100)
		out.Ranks[name] = r.Rank
	}
	return out
}

// longestPauses returns, per service, the longest time between acknowledged
// writes within an interval.
func (l *Load) longestPauses(from, to time.Time) map[string]figures.Millis {
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
func (l *Load) WriteGap(service string, fault time.Time) (time.Duration, bool) {
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
