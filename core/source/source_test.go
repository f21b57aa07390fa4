package source_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/source"
)

func candidates(n int) []source.Candidate {
	var all []source.Candidate
	for i := range n {
		all = append(all, source.Candidate{Name: fmt.Sprint("i", i), Weight: 1})
	}
	all[n-1].Weight = 2
	return all
}

// Guards the number of readers: without failures all instances agree on one,
// the one with most capacity.
func TestAllAgreeOnOneReader(t *testing.T) {
	const n = 85
	for i := range n {
		p := source.New(fmt.Sprint("i", i))
		assert.Assert(t, p.Next(0).Own, "without candidates it reads for itself")
		p.SetCandidates(candidates(n))
		c := p.Next(0)
		if i == n-1 {
			assert.Assert(t, c.Own)
			continue
		}
		assert.Equal(t, c.From.Name, fmt.Sprint("i", n-1))
	}
}

// Guards the read lease: after one silent source an instance reads at once, and
// then prefers another source.
func TestSilentSource(t *testing.T) {
	p := source.New("i0")
	p.SetCandidates(candidates(4))
	first := p.Next(0).From.Name
	p.Failed(first, source.Silent, time.Second)
	c := p.Next(time.Second)
	assert.Assert(t, c.Own && c.Wait == 0)
	p.Read(true, time.Second)
	next := p.Next(time.Second)
	assert.Assert(t, next.Own || next.From.Name != first)
	assert.Equal(t, p.Next(4*time.Second).From.Name, first, "it is asked again later")
}

// With a slow store, every other candidate in turn was asked and was silent for
// 0.45 s, so that the evidence ran out between own readings (incident inc-5af3).
func TestSlowStore(t *testing.T) {
	p := source.New("i0")
	p.SetCandidates(candidates(6))
	now, asked := time.Duration(0), 0
	for now < 6*time.Second {
		c := p.Next(now)
		if c.Own {
			now += 400 * time.Millisecond
			p.Read(true, now)
			continue
		}
		asked++
		now += 450 * time.Millisecond
		p.Failed(c.From.Name, source.Silent, now)
	}
	assert.Assert(t, asked <= 4, "%d candidates asked in 6 s", asked)
}

// Guards the price of an outage: while others say that the store is away, an
// instance asks the store itself once a second at most.
func TestStoreAway(t *testing.T) {
	p := source.New("i0")
	p.SetCandidates(candidates(85))
	own := 0
	now := time.Duration(0)
	for now < 10*time.Second {
		c := p.Next(now)
		now += max(c.Wait, 10*time.Millisecond)
		if c.Own {
			own++
			p.Read(false, now)
		} else {
			p.Failed(c.From.Name, source.StoreAway, now)
		}
	}
	assert.Assert(t, own <= 11, "%d own readings in 10 s", own)
}
