package leadership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/position"
)

const ms = time.Millisecond

var leadA, leadB = leadership.Leader{Member: "a", Term: 1}, leadership.Leader{Member: "b", Term: 2}

func at(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

// led returns a tracker whose lead a was read at 10 s.
func led() *leadership.Tracker {
	t := &leadership.Tracker{}
	t.ObserveRecord(leadership.Record{Leader: leadA, Version: 5}, 100*time.Second, 10*time.Second)
	return t
}

// Guards the end of the read lease: a reading proves the lead for arrivals up
// to one lease after it was sent, and a claim ends all leases together.
func TestLeaseEndsWithTheClaim(t *testing.T) {
	tr := led()
	assert.Assert(t, tr.Proven(10*time.Second+900*ms))
	assert.Assert(t, !tr.Proven(11*time.Second))
	claim := &leadership.Claim{Holder: "x", FirstClaimedAt: 100*time.Second + 500*ms, OldLeader: leadA}
	tr.ObserveRecord(leadership.Record{Leader: leadA, Claim: claim, Version: 6}, 101*time.Second, 11*time.Second)
	// The claim is 0.5 s old in the reading sent at 11 s: 0.5 s of lease is left.
	assert.Assert(t, tr.Proven(11*time.Second+450*ms))
	assert.Assert(t, !tr.Proven(11*time.Second+500*ms))
	assert.Assert(t, tr.Changing())
	tr.ObserveRecord(leadership.Record{Leader: leadA, Claim: claim, Version: 6}, 103*time.Second, 13*time.Second)
	assert.Assert(t, !tr.Proven(12*time.Second))
}

// Guards against a late answer of the store: an older record never replaces a
// newer one.
func TestOlderRecordIsIgnored(t *testing.T) {
	tr := led()
	assert.Assert(t, tr.ObserveRecord(leadership.Record{Leader: leadB, Version: 8}, 102*time.Second, 12*time.Second))
	assert.Assert(t, !tr.ObserveRecord(leadership.Record{Leader: leadA, Version: 5}, 101*time.Second, 13*time.Second))
	assert.Equal(t, tr.Leader(), leadB)
	assert.Assert(t, !tr.Proven(13*time.Second+500*ms))
}

// Guards marks: only answers of the proven lead say what a replica must have.
func TestMarks(t *testing.T) {
	tr := led()
	tr.ObservePosition("c", at(1, 99), 10*time.Second)
	_, ok := tr.OldestWatermark(0)
	assert.Assert(t, !ok, "a replica's position is no mark")
	tr.ObservePosition("a", at(1, 4), 10*time.Second+100*ms)
	tr.ObservePosition("a", at(1, 7), 10*time.Second+300*ms)
	tr.ObservePosition("a", at(1, 9), 11*time.Second+500*ms) // after the lease
	m, ok := tr.OldestWatermark(10*time.Second + 50*ms)
	assert.Assert(t, ok)
	assert.Equal(t, m.Position, at(1, 4))
	m, ok = tr.OldestWatermark(10*time.Second + 200*ms)
	assert.Assert(t, ok)
	assert.Equal(t, m.Position, at(1, 7))
	_, ok = tr.OldestWatermark(10*time.Second + 301*ms)
	assert.Assert(t, !ok)
}

// A new primary that has committed nothing yet answers with a position of the
// term before; ignoring it left replicas without reads by age after each change.
func TestMarkOfAnEarlierTermAfterPromotion(t *testing.T) {
	tr := led()
	tr.ObserveRecord(leadership.Record{Leader: leadB, Version: 8}, 102*time.Second, 12*time.Second)
	tr.ObservePosition("b", at(1, 40), 12*time.Second+100*ms)
	m, ok := tr.OldestWatermark(12 * time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, m.Position, at(1, 40))
	// A write acknowledged in term 1 is covered by the first position seen.
	covered, ok := tr.Translate(at(1, 44))
	assert.Assert(t, ok)
	assert.Equal(t, covered, at(1, 40))
}

// Guards the first lead, known from the members' own word only: a claim that
// could be under way must not be overlooked.
func TestRoleIsOverruledByRecords(t *testing.T) {
	tr := &leadership.Tracker{}
	assert.Assert(t, tr.ObserveRole(leadA))
	assert.Assert(t, !tr.ObserveRole(leadB))
	assert.Assert(t, tr.ObserveRecord(leadership.Record{Leader: leadB, Version: 1}, 1, 1))
	assert.Assert(t, !tr.ObserveRole(leadership.Leader{Member: "c", Term: 9}))
}

// Guards reads that accept old data: marks reached back for half of the greatest bound
// of one deployment at times, so that replicas which had what callers accept were
// passed over, and never further than 2.5 s.
func TestMarksReachBack(t *testing.T) {
	for _, staleness := range []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, 10 * time.Second, time.Minute} {
		var tr leadership.Tracker
		tr.SetMaxStaleness(staleness)
		l := leadership.Leader{Member: "a", Term: 1}
		tr.ObserveRole(l)
		spacing := max(20*time.Millisecond, staleness/100)
		for now := time.Second; now < 3*staleness+time.Second; now += 5 * time.Millisecond {
			tr.ObserveQuorum(l, position.Position{Term: 1, Offset: uint64(now)}, now)
			if now < time.Second+staleness {
				continue
			}
			m, ok := tr.OldestWatermark(now - staleness)
			assert.Assert(t, ok && m.At <= now-staleness+spacing, "%s: the oldest mark at %s is of %s", staleness, now, m.At)
		}
	}
}
