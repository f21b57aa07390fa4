package source_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/source"
)

// candidates returns n instances in five failure domains, one of them greater.
func candidates(n int) []source.Candidate {
	var all []source.Candidate
	for i := range n {
		all = append(all, source.Candidate{Name: fmt.Sprint("i", i), FailureDomain: fmt.Sprint("d", i%5), Weight: 1})
	}
	all[n-1].Weight = 2
	return all
}

// pickers returns the pickers of all instances by name.
func pickers(all []source.Candidate) map[string]*source.Picker {
	ps := make(map[string]*source.Picker)
	for _, c := range all {
		ps[c.Name] = source.New(c.Name, c.FailureDomain)
		ps[c.Name].SetCandidates(all)
	}
	return ps
}

// tree is who asks whom, as all instances but the dead ones decide.
type tree struct {
	asks     map[string]string // by asker
	children map[string]int
	readers  int // instances that read the store
	depth    int
	across   int // asks to another failure domain
}

func grow(t *testing.T, all []source.Candidate, ps map[string]*source.Picker, now time.Duration, dead map[string]bool) tree {
	tr := tree{asks: make(map[string]string), children: make(map[string]int)}
	domain := make(map[string]string)
	for _, c := range all {
		domain[c.Name] = c.FailureDomain
	}
	for name, p := range ps {
		if dead[name] {
			continue
		}
		c := p.Next(now)
		for !c.ReadStore && dead[c.Source.Name] {
			p.RecordFailure(c.Source.Name, source.Unresponsive, now)
			p.RecordStoreRead(true, now)
			c = p.Next(now)
		}
		if c.ReadStore {
			tr.readers++
			continue
		}
		tr.asks[name] = c.Source.Name
		tr.children[c.Source.Name]++
		if domain[name] != domain[c.Source.Name] {
			tr.across++
		}
	}
	for name := range ps {
		depth := 0
		for at, ok := tr.asks[name]; ok; at, ok = tr.asks[at] {
			depth++
			assert.Assert(t, depth <= len(all), "%s is its own source", name)
		}
		tr.depth = max(tr.depth, depth)
	}
	return tr
}

// Guards the cost of a reading at any size: one instance reads the store, one in
// each failure domain asks it, none serves more than its fanout, and a reading
// passes few steps. One instance that served 195 others would serve 6,000 calls a
// second at 1,796.
func TestReadingsFormATree(t *testing.T) {
	for _, size := range []struct{ n, depth int }{{6, 2}, {30, 2}, {195, 3}, {1796, 4}} {
		t.Run(fmt.Sprint(size.n), func(t *testing.T) {
			all := candidates(size.n)
			tr := grow(t, all, pickers(all), 0, nil)
			assert.Equal(t, tr.readers, 1)
			assert.Equal(t, tr.across, 4)
			assert.Assert(t, tr.depth <= size.depth, "depth %d", tr.depth)
			for name, n := range tr.children {
				assert.Assert(t, n <= source.Fanout+4, "%s serves %d", name, n)
			}
		})
	}
}

// Guards the death of any instance: those that asked it find another source at
// once, nobody else changes, and the store gets no storm.
func TestTreeWithoutOne(t *testing.T) {
	all := candidates(195)
	before := grow(t, all, pickers(all), 0, nil)
	for _, c := range all {
		if before.children[c.Name] == 0 {
			continue
		}
		ps := pickers(all)
		now := 10 * time.Second
		dead := map[string]bool{c.Name: true}
		tr := grow(t, all, ps, now, dead)
		assert.Assert(t, tr.readers >= 1 && tr.readers <= 5, "%d readers without %s", tr.readers, c.Name)
		moved := 0
		for name, from := range before.asks {
			if name != c.Name && tr.asks[name] != from {
				moved++
			}
		}
		assert.Equal(t, moved, before.children[c.Name], "without %s", c.Name)
	}
}

// Guards instances that learn of others at different times, as at a start of all:
// while some know only a part of the others, nobody asks in a circle.
func TestPartialKnowledgeHasNoCircle(t *testing.T) {
	all := candidates(60)
	ps := pickers(all)
	for i, c := range all {
		ps[c.Name].SetCandidates(all[:i+1])
	}
	grow(t, all, ps, 0, nil)
}

// Guards the read lease: after one silent source an instance reads at once, and
// then prefers another source.
func TestSilentSource(t *testing.T) {
	p := source.New("i0", "d0")
	assert.Assert(t, p.Next(0).ReadStore, "without candidates it reads for itself")
	p.SetCandidates(candidates(40))
	first := p.Next(0).Source.Name
	p.RecordFailure(first, source.Unresponsive, time.Second)
	c := p.Next(time.Second)
	assert.Assert(t, c.ReadStore && c.Delay == 0)
	p.RecordStoreRead(true, time.Second)
	next := p.Next(time.Second)
	assert.Assert(t, next.ReadStore || next.Source.Name != first)
	assert.Equal(t, p.Next(4*time.Second).Source.Name, first, "it is asked again later")
}

// An instance that reaches none of the others asked every one of them in turn and
// was without evidence in between (incident inc-5af3).
func TestCutOffFromOthers(t *testing.T) {
	p := source.New("i0", "d0")
	p.SetCandidates(candidates(60))
	now, asked := time.Duration(0), 0
	for now < 6*time.Second {
		c := p.Next(now)
		if c.ReadStore {
			now += 400 * time.Millisecond
			p.RecordStoreRead(true, now)
			continue
		}
		asked++
		now += 450 * time.Millisecond
		p.RecordFailure(c.Source.Name, source.Unresponsive, now)
	}
	assert.Assert(t, asked <= 4, "%d candidates asked in 6 s", asked)
	assert.Assert(t, p.IsRoot(now), "it does not wait for the configuration of others")
}

// Guards the price of an outage: while others say that the store is away, an
// instance asks the store itself once a second at most, and more rarely where
// there are many.
func TestStoreAway(t *testing.T) {
	for _, test := range []struct{ n, most int }{{85, 11}, {1796, 3}} {
		for _, self := range []string{"i0", fmt.Sprint("i", test.n-1)} {
			p := source.New(self, "d0")
			p.SetCandidates(candidates(test.n))
			own, asked := 0, 0
			now := time.Duration(0)
			for now < 10*time.Second {
				c := p.Next(now)
				now += max(c.Delay, 10*time.Millisecond)
				if c.ReadStore {
					own++
					p.RecordStoreRead(false, now)
				} else {
					asked++
					p.RecordFailure(c.Source.Name, source.StoreUnavailable, now)
				}
			}
			assert.Assert(t, own <= test.most, "%s: %d own readings in 10 s", self, own)
			assert.Assert(t, asked <= 4*test.most, "%s: %d candidates asked in 10 s", self, asked)
		}
	}
}

// Guards the first instance where the store turns only it away: it gets readings
// from one that comes after it.
func TestFirstIsTurnedAway(t *testing.T) {
	all := candidates(30)
	p := source.New("i29", "d4")
	p.SetCandidates(all)
	assert.Assert(t, p.Next(0).ReadStore, "it comes first")
	assert.Assert(t, p.IsRoot(0))
	p.RecordStoreRead(false, 0)
	c := p.Next(0)
	assert.Assert(t, !c.ReadStore)
	p.RecordSuccess(c.Source.Name)
	assert.Assert(t, !p.Next(500*time.Millisecond).ReadStore)
	assert.Assert(t, p.Next(2*time.Second).ReadStore, "it tries the store again")
}

// Guards instances that the store turns away while it serves others, whichever
// these are: after two that are turned away too, an instance waited for its next
// own try, and its evidence ran out again and again.
func TestStoreTurnsSomeAway(t *testing.T) {
	all := candidates(6)
	for i := range all {
		for j := range i {
			served := map[string]bool{all[i].Name: true, all[j].Name: true}
			for _, self := range all {
				if without := longestWithout(self, all, served); !served[self.Name] {
					assert.Assert(t, without <= time.Second, "%s was %s without a reading, served are %v", self.Name, without, served)
				}
			}
		}
	}
}

// longestWithout plays 30 s of an instance that the store turns away, and returns
// its longest time without a reading after the first 8 s.
func longestWithout(self source.Candidate, all []source.Candidate, served map[string]bool) (longest time.Duration) {
	p := source.New(self.Name, self.FailureDomain)
	p.SetCandidates(all)
	const failedRead, settled, nextReading = 550 * time.Millisecond, 8 * time.Second, 100 * time.Millisecond
	now, last := time.Duration(0), time.Duration(0)
	for now < 30*time.Second {
		c := p.Next(now)
		now += c.Delay
		switch {
		case c.ReadStore:
			now += failedRead
			p.RecordStoreRead(false, now)
		case served[c.Source.Name]:
			now += nextReading
			if now > settled {
				longest = max(longest, now-max(last, settled))
			}
			last = now
			p.RecordSuccess(c.Source.Name)
		default:
			now += 5 * time.Millisecond
			p.RecordFailure(c.Source.Name, source.StoreUnavailable, now)
		}
	}
	return longest
}
