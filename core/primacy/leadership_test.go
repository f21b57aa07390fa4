package primacy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
)

const ms = time.Millisecond

var leaderA, leaderB = primacy.Primary{Member: "a", Term: 1}, primacy.Primary{Member: "b", Term: 2}

func at(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

// newTrackerWithLeader returns a tracker that read a record with leader a at 10 s.
func newTrackerWithLeader() *primacy.Tracker {
	t := &primacy.Tracker{}
	t.ObserveRecord(primacy.Record{Primary: leaderA, Version: 5}, 100*time.Second, 10*time.Second)
	return t
}

// Guards against reads under an expired lease: a read of the record proves the
// leader for requests that arrive within ReadLease of its sending, and a claim ends
// the leases of all instances at the same time.
func TestClaimEndsReadLease(t *testing.T) {
	tr := newTrackerWithLeader()
	assert.Assert(t, tr.Proven(10*time.Second+900*ms))
	assert.Assert(t, !tr.Proven(11*time.Second))
	claim := &primacy.Claim{Holder: "x", FirstClaimedAt: 100*time.Second + 500*ms, OldPrimary: leaderA}
	tr.ObserveRecord(primacy.Record{Primary: leaderA, Claim: claim, Version: 6}, 101*time.Second, 11*time.Second)
	// The claim is 0.5 s old in the read sent at 11 s: 0.5 s of the lease is left.
	assert.Assert(t, tr.Proven(11*time.Second+450*ms))
	assert.Assert(t, !tr.Proven(11*time.Second+500*ms))
	assert.Assert(t, tr.ReplacementClaimed())
	tr.ObserveRecord(primacy.Record{Primary: leaderA, Claim: claim, Version: 6}, 103*time.Second, 13*time.Second)
	assert.Assert(t, !tr.Proven(12*time.Second))
}

// Guards against a late answer of the store: an older record must not replace a
// newer one.
func TestOlderRecordIsIgnored(t *testing.T) {
	tr := newTrackerWithLeader()
	assert.Assert(t, tr.ObserveRecord(primacy.Record{Primary: leaderB, Version: 8}, 102*time.Second, 12*time.Second))
	assert.Assert(t, !tr.ObserveRecord(primacy.Record{Primary: leaderA, Version: 5}, 101*time.Second, 13*time.Second))
	assert.Equal(t, tr.Primary(), leaderB)
	assert.Assert(t, !tr.Proven(13*time.Second+500*ms))
}

// Guards against watermarks from other answers than those of the proven leader: a
// replica that has reached them could lack acknowledged writes.
func TestWatermarksOnlyFromProvenLeader(t *testing.T) {
	tr := newTrackerWithLeader()
	tr.ObservePosition("c", at(1, 99), 10*time.Second)
	_, ok := tr.OldestWatermark(0)
	assert.Assert(t, !ok, "a replica's position is not a watermark")
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

// Guards against replicas that get no reads with a staleness bound after each change
// of primary: a new primary that has committed nothing yet answers with a position of
// the previous term, which must count as a watermark.
func TestWatermarkOfEarlierTermAfterPromotion(t *testing.T) {
	tr := newTrackerWithLeader()
	tr.ObserveRecord(primacy.Record{Primary: leaderB, Version: 8}, 102*time.Second, 12*time.Second)
	tr.ObservePosition("b", at(1, 40), 12*time.Second+100*ms)
	m, ok := tr.OldestWatermark(12 * time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, m.Position, at(1, 40))
	// A write acknowledged in term 1 is covered by the first position seen.
	covered, ok := tr.CoveringPosition(at(1, 44))
	assert.Assert(t, ok)
	assert.Equal(t, covered, at(1, 40))
}

// Guards against a missed claim while the first leader is known only from the
// members' own reports: a record overrides it, and later reports are ignored.
func TestRecordOverridesReportedRole(t *testing.T) {
	tr := &primacy.Tracker{}
	assert.Assert(t, tr.ObserveRole(leaderA))
	assert.Assert(t, !tr.ObserveRole(leaderB))
	assert.Assert(t, tr.ObserveRecord(primacy.Record{Primary: leaderB, Version: 1}, 1, 1))
	assert.Assert(t, !tr.ObserveRole(primacy.Primary{Member: "c", Term: 9}))
}

// Guards against watermarks that do not reach back as far as the largest staleness
// bound: replicas that were recent enough for their callers got no reads. In one
// deployment watermarks reached back for half of the bound at times, and never
// further than 2.5 s.
func TestWatermarksReachBackToMaxStaleness(t *testing.T) {
	for _, staleness := range []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, 10 * time.Second, time.Minute} {
		var tr primacy.Tracker
		tr.SetMaxStaleness(staleness)
		l := primacy.Primary{Member: "a", Term: 1}
		tr.ObserveRole(l)
		spacing := max(20*time.Millisecond, staleness/100)
		for now := time.Second; now < 3*staleness+time.Second; now += 5 * time.Millisecond {
			tr.ObserveQuorum(l, position.Position{Term: 1, Offset: uint64(now)}, now)
			if now < time.Second+staleness {
				continue
			}
			m, ok := tr.OldestWatermark(now - staleness)
			assert.Assert(t, ok && m.At <= now-staleness+spacing, "staleness %s: the oldest watermark at %s is of %s", staleness, now, m.At)
		}
	}
}
