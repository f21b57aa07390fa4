package takeover_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// step performs one event.
func (s *site) step(t *rapid.T) {
	s.now += time.Microsecond
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1, 2:
		s.routine(t)
	case 3:
		s.commit(t)
		s.commit(t)
	case 4:
		s.receiveSome(t)
	case 5:
		s.pass(t)
	case 6:
		s.strictRead(t)
	default:
		s.disturb(t)
	}
}

// open brings about one of the situations that random events reach rarely.
func (s *site) open(t *rapid.T) {
	opening := rapid.SampledFrom([]string{"none", "none", "newcomer", "release", "partial cut", "partial cut"}).Draw(t, "opening")
	if opening == "none" {
		return
	}
	s.logf("opening: %s", opening)
	if opening == "partial cut" {
		s.openPartialCut(t)
		return
	}
	// One instance does not read for some seconds that a replica has joined.
	i := s.instance(t)
	i.listAfter, i.recordAfter = s.now+9*time.Second, s.now+time.Second
	n := &siteMember{id: "n3", log: s.primary().log, up: true, registered: true, heardAt: s.now}
	s.members = append(s.members, n)
	if opening == "release" {
		for _, m := range s.members[:3] {
			m.draining, m.drainingAt = true, s.now+9*time.Second
		}
		for _, other := range s.instances {
			if other != i {
				s.readList(other)
			}
		}
		s.busy(t, 60, s.receiveSome, s.pass, s.restartPaused)
		return
	}
	cutAt := s.now + rapid.SampledFrom([]time.Duration{0, 1, 2, 3, 4, 5, 6}).Draw(t, "cut_after_s")*time.Second
	for s.now < cutAt {
		if s.routine(t); s.counts.promotions > 0 || s.violation != "" {
			return
		}
	}
	s.failure = "cut"
	inside := []string{"a", "n3", s.instance(t).id}
	s.logf("cut %v", inside)
	s.cut(inside)
	s.busy(t, 40, s.receiveSome, s.pass)
}

// openPartialCut lets a holder lose the primary that others reach, at any time of a change, while paused
// replicas restart and callers go on. The others do not read the record for some time.
func (s *site) openPartialCut(t *rapid.T) {
	i := s.instance(t)
	s.startChange(i, false, rapid.Bool().Draw(t, "hand_over"))
	s.busy(t, rapid.SampledFrom([]int{0, 5, 10, 20, 40}).Draw(t, "until_cut"))
	s.failure = "cut"
	s.blocked[link("a", i.id)] = true
	s.logf("cut a from %s", i.id)
	for _, other := range s.instances {
		if other != i {
			other.recordAfter = s.now + time.Duration(rapid.IntRange(0, 1000).Draw(t, "stale_ms"))*time.Millisecond
		}
	}
	s.busy(t, 60, s.receiveSome, s.pass, s.pass, s.restartPaused)
}

// busy performs some of the events while callers write.
func (s *site) busy(t *rapid.T, steps int, events ...func(*rapid.T)) {
	work := func(t *rapid.T) { s.work(t, 60) }
	events = append(events, work, work, s.commit, s.receiveSome)
	promotions := s.counts.promotions
	for range steps {
		if s.counts.promotions == promotions && s.violation == "" {
			events[rapid.IntRange(0, len(events)-1).Draw(t, "event")](t)
		}
	}
}

// restartPaused ends the pauses of some replicas.
func (s *site) restartPaused(t *rapid.T) {
	for _, m := range s.members {
		if m.paused && m.up && rapid.Bool().Draw(t, "restarts") {
			m.paused = false
			m.process++
			s.logf("%s restarts", m.id)
		}
	}
}

// cut separates the members and instances inside from all others and the store.
func (s *site) cut(inside []string) {
	for _, n := range inside {
		for _, o := range s.nodes() {
			if !slices.Contains(inside, o) {
				s.blocked[link(n, o)] = true
			}
		}
	}
}

// siteRun is the result of one sequence.
type siteRun struct {
	counts    siteCounts
	steps     int
	violation string
	trace     []string
}

func runSite(t *rapid.T, fault siteFault, steps int) siteRun {
	s := newSite(fault)
	s.open(t)
	for n := range steps {
		if s.step(t); s.violation != "" {
			return siteRun{s.counts, n + 1, s.violation, s.trace}
		}
	}
	return siteRun{s.counts, steps, "", nil}
}

const siteSteps = 250

// findViolation runs sequences of events, and returns the number of the first one that
// violates the invariant and its result.
func findViolation(fault siteFault, from, sequences int) (n int, run siteRun, total siteCounts) {
	runs := rapid.Custom(func(t *rapid.T) siteRun { return runSite(t, fault, siteSteps) })
	for n = from; n < from+sequences; n++ {
		run = runs.Example(n)
		total.add(run.counts)
		if run.violation != "" {
			break
		}
	}
	return n, run, total
}

func (c *siteCounts) add(o siteCounts) {
	c.passed, c.promotions, c.planned, c.reads, c.aborted = c.passed+o.passed, c.promotions+o.promotions, c.planned+o.planned, c.reads+o.reads, c.aborted+o.aborted
}

// Each fault that is planted into the instances is found, so the model would find it in the
// product. The rare ones are looked for from a later sequence on.
func TestPlantedFaultsAreFound(t *testing.T) {
	for fault, from := range map[siteFault]int{
		faultWord: 0, faultUncounted: 1500, faultRestart: 0, faultNonePaused: 0, faultOldList: 3500, faultNoAnnounceWait: 500, faultNamesAtOnce: 21500,
	} {
		t.Run(string(fault), func(t *testing.T) {
			const limit = 4000
			n, run, _ := findViolation(fault, from, limit)
			if run.violation == "" {
				t.Fatalf("not found in %d sequences", limit)
			}
			t.Logf("found in sequence %d at step %d: %s", n, run.steps, run.violation)
		})
	}
}

// expectNoViolation fails if a sequence of the range violates the invariant.
func expectNoViolation(t *testing.T, fault siteFault, from, sequences int) {
	n, run, total := findViolation(fault, from, sequences)
	t.Logf("%+v", total)
	if run.violation != "" {
		t.Fatalf("sequence %d: %s\n%s", n, run.violation, strings.Join(run.trace, "\n"))
	}
}

// Guards against promotions that lose commits whose acknowledgement was passed on, and
// against strict reads that miss them, whatever happens to members, holders and instances.
func TestChangesKeepAcknowledgedCommits(t *testing.T) {
	expectNoViolation(t, faultNone, 0, 1000)
	var total siteCounts
	sequences := 0
	rapid.Check(t, func(t *rapid.T) {
		run := runSite(t, faultNone, siteSteps)
		sequences++
		total.add(run.counts)
		if run.violation != "" {
			t.Fatalf("%s\n%s", run.violation, strings.Join(run.trace, "\n"))
		}
	})
	t.Logf("%d sequences: %+v", sequences, total)
	if total.promotions == 0 || total.planned == 0 || total.passed == 0 || total.reads == 0 {
		t.Errorf("the sequences reach too little: %+v", total)
	}
}
