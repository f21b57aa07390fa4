package takeover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
)

// Guards against a departure that is covered by answers from before it or from another branch.
func TestDepartureIsCoveredByLaterAnswers(t *testing.T) {
	at := func(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }
	var d Departure
	d.ObservePrimary(at(2, 9), 5)
	d.ObserveReplica(at(2, 9))
	assert.Assert(t, !d.Covered(), "nobody departs")
	d.Begin(10)
	d.ObservePrimary(at(2, 9), 9)
	d.ObserveReplica(at(2, 9))
	assert.Assert(t, !d.Covered(), "the primary answered before")
	d.ObserveReplica(at(2, 20))
	assert.Assert(t, !d.Covered(), "the primary did not answer")
	d.ObservePrimary(at(2, 12), 11)
	d.ObserveReplica(at(2, 11))
	d.ObserveReplica(at(3, 1))
	assert.Assert(t, !d.Covered(), "no replica has the log of the primary")
	d.ObservePrimary(at(3, 13), 12)
	d.ObserveReplica(at(2, 12))
	assert.Assert(t, !d.Covered(), "the replica does not follow the primary of the later term")
	d.ObserveReplica(at(3, 13))
	assert.Assert(t, d.Covered())
}

// Guards against a covered departure that leaves an acknowledged commit on the primary alone.
func TestCoveredDepartureLeavesCommitsOnTwoMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Departure
		var now, uncountedAt time.Duration
		primary, leaving, acked := uint64(0), uint64(0), uint64(0)
		replicas := make([]uint64, rapid.IntRange(1, 2).Draw(t, "replicas"))
		ended := false
		type status struct {
			log uint64
			at  time.Duration
		}
		var primaryAnswers []status
		var replicaAnswers []uint64
		answered := func(log uint64) position.Position { return position.Position{Term: 1, Offset: log} }
		anyReplica := rapid.IntRange(0, len(replicas)-1)
		steps := map[string]func(){
			"time":    func() { now += time.Millisecond },
			"commit":  func() { primary++ },
			"receive": func() { replicas[anyReplica.Draw(t, "replica")] = primary },
			"leaving member receives": func() {
				if !ended {
					leaving = primary
				}
			},
			"acknowledge by the leaving member": func() {
				if uncountedAt == 0 {
					acked = max(acked, leaving)
				}
			},
			"nobody counts the member": func() {
				if uncountedAt == 0 {
					now += time.Millisecond
					uncountedAt = now
					d.Begin(now)
				}
			},
			"leaving member ends": func() { ended = true },
			"ask primary":         func() { primaryAnswers = append(primaryAnswers, status{primary, now}) },
			"ask replica":         func() { replicaAnswers = append(replicaAnswers, replicas[anyReplica.Draw(t, "replica")]) },
			"answer of primary": func() {
				if len(primaryAnswers) > 0 {
					s := rapid.SampledFrom(primaryAnswers).Draw(t, "answer")
					d.ObservePrimary(answered(s.log), s.at)
				}
			},
			"answer of replica": func() {
				if len(replicaAnswers) > 0 {
					d.ObserveReplica(answered(rapid.SampledFrom(replicaAnswers).Draw(t, "answer")))
				}
			},
		}
		names := slices.Sorted(maps.Keys(steps))
		names = append(names, slices.Repeat([]string{"commit", "leaving member receives", "acknowledge by the leaving member"}, 4)...)
		for range 100 {
			steps[rapid.SampledFrom(names).Draw(t, "step")]()
			onReplica := slices.ContainsFunc(replicas, func(log uint64) bool { return log >= acked })
			if d.Covered() && !onReplica {
				t.Fatalf("commit %d is on the primary alone", acked)
			}
		}
	})
}

// Guards against a change of primary that waits for departed members without saying so.
func TestBlockedChangeNamesDepartedMembers(t *testing.T) {
	required := position.Position{Term: 1, Offset: 9}
	replica := func(id string, offset uint64) Member {
		return Member{ID: id, Status: &Status{Term: 1, Received: position.Position{Term: 1, Offset: offset}}}
	}
	in := Input{OldPrimary: primacy.Primary{Member: "a", Term: 1}, GroupSize: 4, RequiredLog: required,
		Members: []Member{{ID: "a", Deregistered: true}, {ID: "b", Deregistered: true}, replica("c", 8), replica("d", 7)}}
	step := Decide(in)
	assert.Equal(t, step.Action, Wait)
	assert.DeepEqual(t, step.Departed, []string{"b"})
	assert.Assert(t, step.LogsTooShort)

	in.Members[3] = replica("d", 9)
	step = Decide(in)
	assert.Equal(t, step.Action, Wait)
	assert.DeepEqual(t, step.Departed, []string{"b"})
	assert.Assert(t, !step.LogsTooShort, "d has the log that is known to be required")

	in.Members[1].Deregistered = false
	assert.Equal(t, len(Decide(in).Departed), 0, "b may answer soon")
}
