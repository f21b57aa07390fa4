package storetime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/storetime"
)

// clock is a clock with an offset and a rate of its own.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(t time.Duration) time.Duration {
	return c.offset + time.Duration(float64(t)*c.rate)
}

// Guards the read lease: whatever the delays of calls, the time for which an
// instance keeps a relayed reading held back by others, and the drift of clocks,
// a reading is never taken for a later one than it is.
func TestBoundsHoldTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.Float64Range(0.99995, 1.00005)
		offsets := rapid.Int64Range(0, int64(time.Hour))
		delay := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, name))
		}
		store := clock{time.Duration(offsets.Draw(t, "store")), 1}
		chain := make([]clock, 3)
		bounds := make([]storetime.ClockOffset, len(chain))
		for i := range chain {
			chain[i] = clock{time.Duration(offsets.Draw(t, "offset")), rates.Draw(t, "rate")}
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += delay("pause")
			sent, handled := now, now+delay("way")
			answered := handled + delay("hold")
			received := answered + delay("back")
			if i := rapid.IntRange(0, len(chain)-1).Draw(t, "asker"); i == 0 {
				bounds[0].AddExchange(store.at(handled), store.at(handled), chain[0].at(sent), chain[0].at(received))
			} else if bounds[i-1].Known() {
				_, latest := bounds[i-1].StoreTime(chain[i-1].at(handled))
				earliest, _ := bounds[i-1].StoreTime(chain[i-1].at(answered))
				bounds[i].AddExchange(earliest, latest, chain[i].at(sent), chain[i].at(received))
			}
			now = received
			for i := range chain {
				if !bounds[i].Known() {
					continue
				}
				moment := now - delay("age")
				s := bounds[i].LocalTime(store.at(moment), chain[i].at(now))
				truth := chain[i].at(moment)
				const rounding = time.Microsecond
				if s.Earliest > truth+rounding || s.Latest < truth-rounding {
					t.Fatalf("instance %d: %s is outside of %s to %s", i, truth, s.Earliest, s.Latest)
				}
			}
		}
	})
}

// Guards the age of relayed evidence: with calls of 2 ms at each step, three steps
// cost 6 ms of the read lease, however long a reading is held back.
func TestBoundsAreTight(t *testing.T) {
	const way = time.Millisecond
	var root, leaf storetime.ClockOffset
	root.AddExchange(time.Hour+way, time.Hour+way, 0, 2*way)
	_, latest := root.StoreTime(10 * way)
	earliest, _ := root.StoreTime(300 * way)
	leaf.AddExchange(earliest, latest, 9*way, 301*way)
	s := leaf.LocalTime(time.Hour+290*way, 301*way)
	assert.Assert(t, 290*way-s.Earliest <= 3*way, "%s", s.Earliest)
	assert.Assert(t, s.Latest-290*way <= 3*way, "%s", s.Latest)
}

// Guards against bounds of a clock that is trusted for too long.
func TestBoundsWiden(t *testing.T) {
	var b storetime.ClockOffset
	assert.Assert(t, !b.Known())
	b.AddExchange(time.Hour, time.Hour, 0, 0)
	s := b.LocalTime(time.Hour+time.Minute, time.Minute)
	assert.Assert(t, s.Earliest < time.Minute && s.Earliest > time.Minute-20*time.Millisecond, "%s", s.Earliest)
}
