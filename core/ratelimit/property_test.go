package ratelimit

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/source"
)

// scenario is a world with limits that change and lists of instances that differ.
type scenario struct {
	*world
	limits  map[string]Limit
	history []change
	listed  []string
	next    int
}

// change is a set of limits and when some instance may use it.
type change struct {
	limits      map[string]Limit
	from, until time.Duration
}

var workspaceNames = []string{"small", "large"}

// spreadTime is the longest time until a configuration has reached all instances; lists
// are faster than joinDelay.
const spreadTime = 2 * time.Second

func drawLimits(t *rapid.T) map[string]Limit {
	return map[string]Limit{
		"small": {rapid.SampledFrom([]float64{0.5, 2, 5}).Draw(t, "small rate"), rapid.SampledFrom([]float64{0, 1, 4}).Draw(t, "small burst")},
		"large": {rapid.SampledFrom([]float64{10, 30, 80}).Draw(t, "rate"), rapid.SampledFrom([]float64{5, 40, 120}).Draw(t, "burst")},
	}
}

func newScenario(t *rapid.T, p plant) *scenario {
	params := Params{Window: 5 * time.Second, Overrun: 0.1, Slack: rapid.SampledFrom([]float64{0, 2, 20}).Draw(t, "slack")}
	s := &scenario{world: newWorld(rapid.Uint64().Draw(t, "seed"), params)}
	s.plant = p
	s.refundShare = rapid.SampledFrom([]float64{0, 0.25, 0.6}).Draw(t, "refunds")
	s.refundDelay = rapid.SampledFrom([]time.Duration{5 * time.Millisecond, 100 * time.Millisecond, time.Second}).Draw(t, "refund delay")
	s.patience = rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 2 * time.Second, 10 * time.Second}).Draw(t, "patience")
	s.limits = drawLimits(t)
	s.history = []change{{s.limits, 0, 0}}
	for range rapid.IntRange(2, 9).Draw(t, "instances") {
		i := s.add(fmt.Sprint("i", s.next), fmt.Sprint("d", s.next%3))
		s.next++
		i.limits = s.limits
		s.listed = append(s.listed, i.name)
	}
	for _, name := range s.names {
		s.instances[name].list = s.list()
		s.start(s.instances[name])
	}
	return s
}

func (s *scenario) list() []source.Candidate {
	return candidates(s.listed, func(n string) string { return s.instances[n].domain })
}

func (s *scenario) draw(t *rapid.T, what string) *simInstance {
	return s.instances[rapid.SampledFrom(s.names).Draw(t, what)]
}

// relist delivers the list to all instances, to one at once.
func (s *scenario) relist(first *simInstance) {
	list := s.list()
	for _, name := range s.names {
		i := s.instances[name]
		d := time.Duration(s.random.Int64N(int64(joinDelay - 50*time.Millisecond)))
		if i == first {
			d = 0
		}
		s.after(d, func() {
			if len(list) == len(s.listed) { // otherwise a newer one follows
				s.setList(i, list)
			}
		})
	}
}

// fault injects one fault or change.
func (s *scenario) fault(t *rapid.T) {
	switch rapid.SampledFrom([]string{"partition", "calm", "calm", "calm", "network", "kill half", "kill", "restart", "restart", "freeze", "limits", "join", "leave", "nothing"}).Draw(t, "fault") {
	case "partition":
		parts := rapid.IntRange(2, 3).Draw(t, "parts")
		for _, name := range s.names {
			s.instances[name].part = s.random.IntN(parts)
		}
	case "calm":
		s.loss, s.repeat, s.maxDelay = 0, 0, 0
		for _, name := range s.names {
			i := s.instances[name]
			i.part = 0
			if i.process == 0 {
				s.start(i)
			}
		}
	case "network":
		s.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "loss")
		s.repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
		s.maxDelay = rapid.SampledFrom([]time.Duration{0, 0, 50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
	case "kill half":
		for n, name := range s.names {
			if n%2 == 0 {
				s.kill(s.instances[name])
			}
		}
	case "kill":
		s.kill(s.draw(t, "killed"))
	case "restart":
		for _, name := range s.names {
			if i := s.instances[name]; i.process == 0 {
				s.start(i)
			}
		}
	case "freeze":
		for range rapid.IntRange(1, 3).Draw(t, "frozen") {
			s.draw(t, "frozen instance").frozen = s.now + time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms"))*time.Millisecond
		}
	case "limits":
		limits := drawLimits(t)
		s.history[len(s.history)-1].until = s.now + spreadTime
		s.history = append(s.history, change{limits, s.now, 0})
		s.limits = limits
		for _, name := range s.names {
			i := s.instances[name]
			s.after(time.Duration(s.random.Int64N(int64(spreadTime))), func() { s.setLimits(i, maps.Clone(s.limits)) })
		}
	case "join":
		if len(s.names) > 14 {
			return
		}
		i := s.add(fmt.Sprint("i", s.next), fmt.Sprint("d", s.next%3))
		s.next++
		i.limits = s.limits
		i.list = s.list() // an instance reads a list before it announces itself
		s.listed = append(s.listed, i.name)
		s.start(i)
		s.relist(i)
	case "leave":
		i := s.draw(t, "leaving")
		if i.process == 0 || len(s.listed) < 2 {
			return
		}
		i.holder.Leave(s.clock(i))
		i.allocator.SetLeaving()
		s.pump(i)
		s.after(2500*time.Millisecond, func() { s.kill(i) })
	}
}

// load makes operations arrive for a time: far above the limits, at one instance, at all,
// or at hardly any.
func (s *scenario) load(t *rapid.T, d time.Duration) {
	for _, workspace := range workspaceNames {
		factor := rapid.SampledFrom([]float64{0.1, 1, 4, 4}).Draw(t, "load of "+workspace)
		perS := factor * (s.limits[workspace].Rate + s.limits[workspace].Burst/3)
		hot := s.draw(t, "hot instance")
		concentrated := rapid.Bool().Draw(t, "concentrated")
		for range int(perS * d.Seconds()) {
			i := hot
			if !concentrated {
				i = s.instances[s.names[s.random.IntN(len(s.names))]]
			}
			s.after(time.Duration(s.random.Int64N(int64(d))), func() { s.arrive(i, workspace) })
		}
	}
}

// allowed returns the greatest bound of the limits that were in force on some instance in
// a window or within one window before it.
func (s *scenario) allowed(workspace string, from, to time.Duration) float64 {
	most := 0.0
	for _, c := range s.history {
		if c.from <= to && (c.until == 0 || c.until >= from-s.params.Window) {
			most = max(most, s.params.Allowed(c.limits[workspace]))
		}
	}
	return most
}

// play runs random faults under load and returns the first window that exceeds its bound.
func play(t *rapid.T, p plant) string {
	s := newScenario(t, p)
	s.runUntil(s.now + 3*time.Second) // buckets fill
	for range rapid.SampledFrom([]int{4, 10, 20}).Draw(t, "steps") {
		d := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}).Draw(t, "duration")
		s.load(t, d)
		s.runUntil(s.now + d)
		s.fault(t)
	}
	s.runUntil(s.now + s.params.Window)
	return s.exceeded(s.allowed)
}

// Guards the bound A of requirement 5: partitions, loss, repetition and delay of messages,
// kills of half of the instances, restarts, freezes, changed limits and lists must not
// admit more operations in any window of 5 s.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if found := play(t, noPlant); found != "" {
			t.Fatal(found)
		}
	})
}

// Guards the check itself: it must find each of these faults.
func TestCheckFindsPlantedFaults(t *testing.T) {
	for name, p := range map[string]plant{"share counts after its lease": leaseWithoutEnd, "share lent twice": shareLentTwice,
		"permit used after its return": usedAfterReturn, "refund counted twice": refundedTwice} {
		t.Run(name, func(t *testing.T) {
			const tries = 400
			generator := rapid.Custom(func(t *rapid.T) string { return play(t, p) })
			for seed := range tries {
				if generator.Example(seed) != "" {
					t.Logf("found in scenario %d", seed)
					return
				}
			}
			t.Fatalf("not found in %d scenarios", tries)
		})
	}
}
