package takeover_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/primacy"
)

var termsEvents = []string{"claim", "step down", "restart", "crash", "crash", "start", "start", "start", "join", "cut", "cut", "cut primary", "cut store", "heal", "heal", "freeze", "stale record", "stale list", "late record"}

// disturb is one of the rarer events.
func (s *termsSite) disturb(t *rapid.T) {
	kind := rapid.SampledFrom(termsEvents).Draw(t, "event")
	m, i := rapid.SampledFrom(s.members).Draw(t, "member"), rapid.SampledFrom(s.instances).Draw(t, "instance")
	switch kind {
	case "claim", "step down":
		s.startChange(i, kind == "step down", kind == "claim")
	case "restart":
		if m.up && !m.primary {
			m.process, m.paused = m.process+1, false
		}
	case "crash":
		m.up, m.paused = false, false
	case "start":
		if !m.up {
			m.up, m.process = true, m.process+1
			m.primary = m.primary && m == s.leader // a replica if another one was promoted
		}
	case "join":
		if p := s.leader; len(s.members) < 5 && p.primary {
			m = &termsMember{id: fmt.Sprint("n", len(s.members)), up: true, log: slices.Clone(p.log), term: p.term}
			s.members = append(s.members, m)
			for _, n := range s.nodes() {
				s.blocked[link(m.id, n)] = s.blocked[link(p.id, n)]
			}
		}
	case "cut", "cut primary", "cut store":
		for _, n := range s.nodes() {
			inside := kind == "cut" && rapid.Bool().Draw(t, "inside") || kind == "cut primary" && (n == s.leader.id || n == m.id) || n == i.id
			for _, o := range s.nodes() {
				if inside && n != o && (kind == "cut store") == (o == "store") && (kind != "cut primary" || o != s.leader.id && o != m.id && o != i.id) && (kind != "cut" || rapid.Bool().Draw(t, "blocked")) {
					s.blocked[link(n, o)] = true
				}
			}
		}
	case "heal":
		clear(s.blocked)
	case "freeze":
		i.frozenUntil = s.now + time.Duration(rapid.IntRange(100, 4000).Draw(t, "frozen_ms"))*time.Millisecond
	case "stale record":
		i.recordAfter = s.now + time.Second
	case "stale list":
		i.listAfter = s.now + time.Duration(rapid.IntRange(1000, 7000).Draw(t, "stale_ms"))*time.Millisecond
	case "late record":
		if r, sentAt := s.record, s.now; s.reach(i.id, "store") && s.now >= i.frozenUntil {
			s.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "late_ms")) * time.Millisecond)
			s.observeRecord(i, r, sentAt)
		}
	}
	s.logf("%s: member %s, instance %s", kind, m.id, i.id)
}

// nodes returns the names of all members and instances and of the store.
func (s *termsSite) nodes() []string {
	all := []string{"store"}
	for _, m := range s.members {
		all = append(all, m.id)
	}
	for _, i := range s.instances {
		all = append(all, i.id)
	}
	return all
}

// open brings about one of the situations that random events reach rarely.
func (s *termsSite) open(t *rapid.T) {
	opening := rapid.SampledFrom([]string{"none", "newcomer", "new primary", "cut", "again", "partial cut"}).Draw(t, "opening")
	i, other := s.instances[0], s.instances[1]
	for range 2 {
		s.commit(other)
		s.commit(i)
	}
	s.logf("opening: %s", opening)
	switch opening {
	case "newcomer", "new primary":
		// An instance does not read that a replica has joined, and does not reach the primary.
		i.listAfter, i.recordAfter = s.now+4*time.Second, s.now+4*time.Second
		s.members = append(s.members, &termsMember{id: "Z", up: true, log: slices.Clone(s.leader.log), term: 1})
		s.readList(other)
		s.readList(s.instances[2])
		if opening == "newcomer" {
			s.blocked[link(i.id, "a")], s.blocked[link(i.id, "store")] = true, true
			s.startChange(other, false, true)
			return
		}
		for _, n := range []string{"y", "z", "b", "c", "Z"} {
			s.blocked[link("a", n)] = true
		}
		s.blocked[link(i.id, "b")], s.blocked[link(i.id, "store")] = true, true
		other.suspects = true
		s.startChange(other, false, false)
	case "again":
		// A call without an answer promotes a former primary once more, in a second or later.
		b := s.members[1]
		s.advance(50 * time.Millisecond)
		s.promote(termsCall{member: b})
		s.members[0].primary = false
		s.follow()
		s.record.Version++
		s.record = s.record.WithPrimary(primacy.Primary{Member: "b", Term: 2})
		s.record.MayLead, s.record.MayLeadUntil = "b", s.now+termsCallSettle
		for _, i := range s.instances {
			s.readRecord(i)
		}
		s.calls = append(s.calls, termsCall{b, 0, s.now + time.Duration(rapid.IntRange(1000, 4000).Draw(t, "again_ms"))*time.Millisecond})
		i.recordAfter = s.now + 4*time.Second
		s.startChange(other, rapid.Bool().Draw(t, "step_down"), true)
		s.busy(t, 60)
	case "partial cut":
		// The holder loses the primary that others reach, which do not read the record for some time.
		s.startChange(other, false, rapid.Bool().Draw(t, "hand_over"))
		s.busy(t, rapid.SampledFrom([]int{0, 5, 10, 20, 40}).Draw(t, "until_cut"))
		s.blocked[link("a", other.id)], other.suspects = true, true
		for _, i := range s.instances {
			if i != other {
				i.recordAfter = s.now + time.Duration(rapid.IntRange(0, 1500).Draw(t, "stale_ms"))*time.Millisecond
			}
		}
		s.busy(t, 100)
	case "cut":
		// The primary keeps a replica and an instance that does not reach the store.
		s.members = append(s.members, &termsMember{id: "Z", up: true, log: slices.Clone(s.leader.log), term: 1})
		for _, in := range []string{"a", "Z", i.id} {
			for _, out := range []string{"store", "b", "c", other.id, "z"} {
				s.blocked[link(in, out)] = in != "Z" || out == "b" || out == "c"
			}
		}
		for _, i := range s.instances {
			i.views["Z"] = &termsView{m: s.members[3], knownSince: time.Minute}
			i.order = append(i.order, "Z")
		}
		other.suspects = true
		s.startChange(other, false, false)
	}
}

// busy lets a short time pass in which callers write and read, and paused replicas restart.
func (s *termsSite) busy(t *rapid.T, steps int) {
	for range steps {
		if s.violation != "" {
			return
		}
		i := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "by")]
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0, 1, 2, 3:
			s.work(t, 60)
		case 4, 5:
			s.commit(i)
		case 6, 7:
			s.pass(t, i)
		case 8:
			s.strictRead(i)
		default:
			for _, m := range s.members {
				if m.paused && m.up && rapid.Bool().Draw(t, "restarts") {
					m.process, m.paused = m.process+1, false
					s.logf("%s restarts", m.id)
				}
			}
		}
	}
}

// step performs one event.
func (s *termsSite) step(t *rapid.T) {
	s.now += time.Microsecond
	i := rapid.SampledFrom(s.instances).Draw(t, "by")
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0, 1, 2, 3, 4:
		s.routine(t)
	case 5, 6:
		s.commit(i)
	case 7, 8:
		s.pass(t, i)
	case 9, 10:
		s.strictRead(i)
	default:
		s.disturb(t)
	}
}

const termsSteps = 500

// runTerms runs one sequence of events.
func runTerms(t *rapid.T, rules ...termsRule) *termsSite {
	s := newTermsSite(rules...)
	s.open(t)
	for range termsSteps {
		if s.step(t); s.violation != "" {
			break
		}
	}
	return s
}

// termsViolations runs sequences of events, and returns the first sequence with each violation.
func termsViolations(sequences int, rules ...termsRule) (first map[string]int, total termsCounts) {
	first = make(map[string]int)
	runs := rapid.Custom(func(t *rapid.T) *termsSite { return runTerms(t, rules...) })
	for n := range sequences {
		s := runs.Example(n)
		total.add(s.counts)
		if _, found := first[s.violation]; s.violation != "" && !found {
			first[s.violation] = n
		}
	}
	return first, total
}

// expectNoTermsViolation fails for each guarantee that a sequence violates, with the end of its
// trace.
func expectNoTermsViolation(t *testing.T, sequences int, rules ...termsRule) {
	t.Helper()
	first, total := termsViolations(sequences, rules...)
	t.Logf("%d sequences: %+v", sequences, total)
	runs := rapid.Custom(func(t *rapid.T) *termsSite { return runTerms(t, rules...) })
	for _, what := range slices.Sorted(maps.Keys(first)) {
		trace := runs.Example(first[what]).trace
		t.Errorf("%s in sequence %d:\n%s", what, first[what], strings.Join(trace[max(len(trace)-30, 0):], "\n"))
	}
}

// Guards against strict reads that miss commits whose acknowledgement was passed on, and against
// promotions that lose them, in any number of changes of primary.
func TestTermsKeepAcknowledgedCommits(t *testing.T) { expectNoTermsViolation(t, 1000) }

// corrections are conditions with which the model finds no violation.
var corrections = []termsRule{noLatePass}

// Guards the model against violations that it brings about itself.
func TestCorrectedTermsKeepAcknowledgedCommits(t *testing.T) {
	expectNoTermsViolation(t, 1000, corrections...)
}

// Each condition that is left out, and each fault that is planted, is found. The rare ones are
// looked for from a later sequence on.
func TestTermsFaultsAreFound(t *testing.T) {
	without := func(r termsRule) []termsRule {
		return slices.DeleteFunc(slices.Clone(corrections), func(o termsRule) bool { return o == r })
	}
	for name, test := range map[string]struct {
		rules []termsRule
		from  int
	}{
		"without: " + string(noLatePass): {without(noLatePass), 1000},
		string(passesAnyTerm):            {append(without(""), passesAnyTerm), 1000},
		string(adoptsAny):                {append(without(""), adoptsAny), 7500},
		string(boundsAny):                {append(without(""), boundsAny), 5500},
		string(countsUnwatched):          {append(without(""), countsUnwatched), 2500},
		string(publishesAtOnce):          {append(without(""), publishesAtOnce), 3000},
		string(countsRestarts):           {append(without(""), countsRestarts), 1000},
		string(trustsAnyPrimary):         {append(without(""), trustsAnyPrimary), 0},
		string(ignoresMayLead):           {append(without(""), ignoresMayLead), 3000},
		string(keepsOneCall):             {append(without(""), keepsOneCall), 15500},
	} {
		t.Run(name, func(t *testing.T) {
			const limit = 4000
			runs := rapid.Custom(func(t *rapid.T) *termsSite { return runTerms(t, test.rules...) })
			for n := test.from; n < test.from+limit; n++ {
				if s := runs.Example(n); s.violation != "" {
					t.Logf("found in sequence %d: %s", n, s.violation)
					return
				}
			}
			t.Fatalf("not found in %d sequences", limit)
		})
	}
}
