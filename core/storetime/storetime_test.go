package storetime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/storetime"
)

// clock is a simulated clock with an offset and a rate.
type clock struct {
	offset time.Duration
	rate   float64
}

// at returns the time on the clock at the true time t.
func (c clock) at(t time.Duration) time.Duration {
	return c.offset + time.Duration(float64(t)*c.rate)
}

// Guards against a read lease that is extended because a forwarded snapshot appears younger
// than it is: the bounds contain the true time for any delays of calls, any time for which
// instances on the way hold a snapshot, and any drift of the clocks.
func TestBoundsContainTrueTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.Float64Range(0.99995, 1.00005)
		offsets := rapid.Int64Range(0, int64(time.Hour))
		delay := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, name))
		}
		store := clock{time.Duration(offsets.Draw(t, "store")), 1}
		// Instance 0 asks the store, and each other one asks the one before it.
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
				at := now - delay("age")
				timestamp := bounds[i].LocalTime(store.at(at), chain[i].at(now))
				trueTime := chain[i].at(at)
				const rounding = time.Microsecond
				if timestamp.Earliest > trueTime+rounding || timestamp.Latest < trueTime-rounding {
					t.Fatalf("instance %d: %s is outside of %s to %s", i, trueTime, timestamp.Earliest, timestamp.Latest)
				}
			}
		}
	})
}

// Guards against bounds that grow with the time for which an instance holds a forwarded
// snapshot and shorten the read lease: three calls of 2 ms cost 6 ms of it.
func TestBoundsAreTight(t *testing.T) {
	const oneWay = time.Millisecond
	var root, leaf storetime.ClockOffset
	root.AddExchange(time.Hour+oneWay, time.Hour+oneWay, 0, 2*oneWay)
	_, latest := root.StoreTime(10 * oneWay)
	earliest, _ := root.StoreTime(300 * oneWay)
	leaf.AddExchange(earliest, latest, 9*oneWay, 301*oneWay)
	timestamp := leaf.LocalTime(time.Hour+290*oneWay, 301*oneWay)
	assert.Assert(t, 290*oneWay-timestamp.Earliest <= 3*oneWay, "%s", timestamp.Earliest)
	assert.Assert(t, timestamp.Latest-290*oneWay <= 3*oneWay, "%s", timestamp.Latest)
}

// Guards against bounds that ignore the drift of the clocks since the last exchange.
func TestBoundsWiden(t *testing.T) {
	var offset storetime.ClockOffset
	assert.Assert(t, !offset.Known())
	offset.AddExchange(time.Hour, time.Hour, 0, 0)
	timestamp := offset.LocalTime(time.Hour+time.Minute, time.Minute)
	assert.Assert(t, timestamp.Earliest < time.Minute && timestamp.Earliest > time.Minute-20*time.Millisecond, "%s", timestamp.Earliest)
}
