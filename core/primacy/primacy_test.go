package primacy_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/storeversion"
)

const ms = time.Millisecond

var primaryA, primaryB = primacy.Primary{Member: "a", Term: 1}, primacy.Primary{Member: "b", Term: 2}

func at(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

// newTrackerWithPrimary returns a tracker that read a record with primary a at 10 s.
func newTrackerWithPrimary() *primacy.Tracker {
	t := &primacy.Tracker{}
	t.ObserveRecord(primacy.Record{Primary: primaryA, Version: 5}, 100*time.Second, 10*time.Second)
	return t
}

// Guards against reads under an expired lease: a read of the record proves the
// primary for requests that arrive within ReadLease of its sending, and a claim ends
// the leases of all instances at the same time.
func TestClaimEndsReadLease(t *testing.T) {
	tr := newTrackerWithPrimary()
	assert.Assert(t, tr.Proven(10*time.Second+900*ms))
	assert.Assert(t, !tr.Proven(11*time.Second))
	claim := &primacy.Claim{Holder: "x", FirstClaimedAt: 100*time.Second + 500*ms, OldPrimary: primaryA}
	tr.ObserveRecord(primacy.Record{Primary: primaryA, Claim: claim, Version: 6}, 101*time.Second, 11*time.Second)
	// The claim is 0.5 s old according to the read sent at 11 s: 0.5 s of the lease is
	// left.
	assert.Assert(t, tr.Proven(11*time.Second+450*ms))
	assert.Assert(t, !tr.Proven(11*time.Second+500*ms))
	assert.Assert(t, tr.ReplacementClaimed())
	tr.ObserveRecord(primacy.Record{Primary: primaryA, Claim: claim, Version: 6}, 103*time.Second, 13*time.Second)
	assert.Assert(t, !tr.Proven(12*time.Second))
}

// Guards against reads without a lease while a planned change has yet to begin: until
// PromoteAfter the old primary serves, and its leases go on.
func TestAnnouncementExtendsReadLease(t *testing.T) {
	tr := newTrackerWithPrimary()
	claim := &primacy.Claim{FirstClaimedAt: 100 * time.Second, PromoteAfter: 101 * time.Second, OldPrimary: primaryA, Candidate: "b"}
	assert.Equal(t, claim.LeasesEnd(), 102*time.Second)
	tr.ObserveRecord(primacy.Record{Primary: primaryA, Claim: claim, Version: 6}, 100*time.Second+500*ms, 10*time.Second+500*ms)
	assert.Assert(t, tr.Proven(11*time.Second+950*ms))
	assert.Assert(t, !tr.Proven(12*time.Second))
}

// Guards against an acknowledgement without evidence: a claim concerns the commits of the
// primary that it replaces, in the term that it names or before, and a commit of a replaced
// primary is known as such.
func TestClaimAgainst(t *testing.T) {
	tr := newTrackerWithPrimary()
	assert.Assert(t, tr.ClaimAgainst("a", at(1, 9)) == nil)
	claim := &primacy.Claim{OldPrimary: primaryA, Candidate: "b"}
	tr.ObserveRecord(primacy.Record{Primary: primaryA, Claim: claim, Version: 6}, 101*time.Second, 11*time.Second)
	assert.Equal(t, tr.ClaimAgainst("a", at(1, 9)), claim)
	assert.Assert(t, tr.ClaimAgainst("b", at(1, 9)) == nil)
	assert.Assert(t, tr.ClaimAgainst("a", at(3, 9)) == nil, "it was promoted again")
	assert.Assert(t, !tr.Replaced("a", at(1, 9)))
	tr.ObserveRecord(primacy.Record{Primary: primaryB, Version: 7}, 102*time.Second, 12*time.Second)
	assert.Assert(t, tr.Replaced("a", at(1, 9)) && !tr.Replaced("b", at(1, 9)) && !tr.Replaced("a", at(3, 9)))
}

// Guards against a late answer of the store: an older record must not replace a
// newer one.
func TestOlderRecordIsIgnored(t *testing.T) {
	tr := newTrackerWithPrimary()
	assert.Assert(t, tr.ObserveRecord(primacy.Record{Primary: primaryB, Version: 8}, 102*time.Second, 12*time.Second))
	assert.Assert(t, !tr.ObserveRecord(primacy.Record{Primary: primaryA, Version: 5}, 101*time.Second, 13*time.Second))
	assert.Equal(t, tr.Primary(), primaryB)
	assert.Assert(t, !tr.Proven(13*time.Second+500*ms))
}

// Guards against reads on a former primary that a restored record names: a record of an
// earlier era grants no lease and does not replace a primary of a later term.
func TestRecordOfEarlierEraIsNoEvidence(t *testing.T) {
	restored, err := storeversion.New(1, 3)
	assert.NilError(t, err)
	started := &primacy.Tracker{}
	started.ObserveRecord(primacy.Record{Primary: primaryA, Version: restored}, 100*time.Second, 10*time.Second)
	assert.Assert(t, !started.Proven(10*time.Second))
	assert.Assert(t, started.RecordOutdated())

	running := &primacy.Tracker{}
	running.ObserveRecord(primacy.Record{Primary: primaryB, Version: 900}, 100*time.Second, 10*time.Second)
	running.ObserveRecord(primacy.Record{Primary: primaryA, Version: restored}, 101*time.Second, 11*time.Second)
	assert.Equal(t, running.Primary(), primaryB)
	assert.Assert(t, !running.Proven(11*time.Second+500*ms))
	assert.Assert(t, running.RecordOutdated())

	confirmed := primacy.Record{Primary: primaryB, Era: 1, Version: restored + 1}
	for _, tr := range []*primacy.Tracker{started, running} {
		tr.ObserveRecord(confirmed, 102*time.Second, 12*time.Second)
		assert.Equal(t, tr.Primary(), primaryB)
		assert.Assert(t, tr.Proven(12*time.Second+500*ms))
		assert.Assert(t, !tr.RecordOutdated())
	}
}

// Guards against watermarks from other answers than those of the proven primary: a
// replica that has reached them could lack acknowledged writes.
func TestWatermarksOnlyFromProvenPrimary(t *testing.T) {
	tr := newTrackerWithPrimary()
	tr.ObservePosition("c", at(1, 99), 10*time.Second)
	_, ok := tr.OldestWatermark(0)
	assert.Assert(t, !ok, "a replica's position is not a watermark")
	tr.ObservePosition("a", at(1, 4), 10*time.Second+100*ms)
	tr.ObservePosition("a", at(1, 7), 10*time.Second+300*ms)
	tr.ObservePosition("a", at(1, 9), 11*time.Second+500*ms) // after the lease
	w, ok := tr.OldestWatermark(10*time.Second + 50*ms)
	assert.Assert(t, ok)
	assert.Equal(t, w.Position, at(1, 4))
	w, ok = tr.OldestWatermark(10*time.Second + 200*ms)
	assert.Assert(t, ok)
	assert.Equal(t, w.Position, at(1, 7))
	_, ok = tr.OldestWatermark(10*time.Second + 301*ms)
	assert.Assert(t, !ok)
}

// Guards against replicas that get no reads with a staleness bound after each change
// of primary: a new primary that has committed nothing yet answers with a position of
// the previous term, which must count as a watermark.
func TestWatermarkOfEarlierTermAfterPromotion(t *testing.T) {
	tr := newTrackerWithPrimary()
	tr.ObserveRecord(primacy.Record{Primary: primaryB, Version: 8}, 102*time.Second, 12*time.Second)
	tr.ObservePosition("b", at(1, 40), 12*time.Second+100*ms)
	w, ok := tr.OldestWatermark(12 * time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, w.Position, at(1, 40))
	// A write acknowledged in term 1 is covered by the first position seen.
	covered, ok := tr.CoveringPosition(at(1, 44))
	assert.Assert(t, ok)
	assert.Equal(t, covered, at(1, 40))
}

// Guards against a missed claim while the first primary is known only from the
// members' own reports: a record overrides these, and later reports are ignored.
func TestRecordOverridesReportedRole(t *testing.T) {
	tr := &primacy.Tracker{}
	assert.Assert(t, tr.ObserveRole(primaryA))
	assert.Assert(t, !tr.ObserveRole(primaryB))
	assert.Assert(t, tr.ObserveRecord(primacy.Record{Primary: primaryB, Version: 1}, 1, 1))
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
		primary := primacy.Primary{Member: "a", Term: 1}
		tr.ObserveRole(primary)
		spacing := max(20*time.Millisecond, staleness/100)
		for now := time.Second; now < 3*staleness+time.Second; now += 5 * time.Millisecond {
			tr.ObserveQuorum(primary, position.Position{Term: 1, Offset: uint64(now)}, now)
			if now < time.Second+staleness {
				continue
			}
			w, ok := tr.OldestWatermark(now - staleness)
			assert.Assert(t, ok && w.At <= now-staleness+spacing, "staleness %s: the oldest watermark at %s is of %s", staleness, now, w.At)
		}
	}
}

// Guards against a promotion that loses acknowledged commits and leaves no trace.
func TestRecordShowsMissingCommits(t *testing.T) {
	acked := position.Position{Term: 1, Offset: 63}
	r := primacy.Record{Primary: primacy.Primary{Member: "b", Term: 2}}
	assert.Assert(t, !r.Lacks(acked), "the position of the promotion is not known")
	r.PromotedAt = position.Position{Term: 1, Offset: 61}
	assert.Assert(t, r.Lacks(acked))
	assert.Assert(t, !r.Lacks(position.Position{Term: 1, Offset: 61}))
	assert.Assert(t, !r.Lacks(position.Position{Term: 2, Offset: 64}), "a commit of the new primary")
	assert.Equal(t, r.WithPrimary(r.Primary).PromotedAt, r.PromotedAt)
	assert.Assert(t, r.WithPrimary(primacy.Primary{Member: "c", Term: 3}).PromotedAt.IsZero())
}

// Guards against a bound that lets a log without acknowledged commits be promoted, and against
// one that no log can reach, because the commits were lost in an earlier change.
func TestRequiredLog(t *testing.T) {
	at := func(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }
	old := primacy.Primary{Member: "a", Term: 3}
	known := primacy.Record{Primary: old, PromotedAt: at(2, 60)}
	for _, test := range []struct {
		name   string
		record primacy.Record
		acked  position.Position
		want   position.Position
	}{
		{"acknowledged in the term of the old primary", known, at(3, 70), at(3, 70)},
		{"the holder knows of none", known, position.Position{}, at(2, 60)},
		{"the old primary began with it", known, at(2, 50), at(2, 60)},
		{"lost when the old primary was promoted", known, at(2, 61), at(2, 60)},
		{"of a later primary", known, at(4, 80), at(2, 60)},
		{"the position of the promotion is not known", primacy.Record{Primary: old}, at(2, 50), at(2, 50)},
		{"the record is of another primary", primacy.Record{Primary: primacy.Primary{Member: "b", Term: 2}, PromotedAt: at(1, 40)}, at(2, 50), at(2, 50)},
		{"nothing is known", primacy.Record{}, position.Position{}, position.Position{}},
	} {
		assert.Equal(t, test.record.RequiredLog(old, test.acked), test.want, test.name)
	}
}

// Guards against an acknowledgement by a member of a term that no record names.
func TestUnknownTermIsNotEstablished(t *testing.T) {
	var tr primacy.Tracker
	tr.ObserveRecord(primacy.Record{Primary: primacy.Primary{Member: "b", Term: 2}, Version: 1}, 0, 0)
	for _, test := range []struct {
		member string
		term   uint64
		want   bool
	}{{"b", 2, true}, {"b", 1, false}, {"b", 4, false}, {"a", 3, false}, {"a", 2, false}, {"a", 1, false}} {
		assert.Equal(t, tr.Establishes(test.member, position.Position{Term: test.term, Offset: 7}), test.want, "%s in term %d", test.member, test.term)
	}
}

// Guards against a primary that is adopted from the members' answers while others hold leases.
func TestAdoptionNeedsClaimWithCall(t *testing.T) {
	claim := primacy.Claim{OldPrimary: primaryA, FirstClaimedAt: 10 * time.Second, PromoteAfter: 11 * time.Second, Called: "b"}
	for _, test := range []struct {
		name  string
		claim *primacy.Claim
		now   time.Duration
		want  bool
	}{
		{"leases of the announcement have ended", &claim, 12 * time.Second, true},
		{"they have not", &claim, 12*time.Second - ms, false},
		{"another member was called for", &primacy.Claim{OldPrimary: primaryA, Called: "c"}, time.Minute, false},
		{"none was called for", &primacy.Claim{OldPrimary: primaryA, Candidate: "b"}, time.Minute, false},
		{"no claim", nil, time.Minute, false},
	} {
		var tr primacy.Tracker
		tr.ObserveRecord(primacy.Record{Primary: primaryA, Claim: test.claim, Version: 1}, 0, 0)
		assert.Equal(t, tr.MayAdopt("b", test.now), test.want, test.name)
	}
	var tr primacy.Tracker
	tr.ObserveRecord(primacy.Record{Primary: primaryA, Era: 1, Version: 1}, 0, 0)
	assert.Assert(t, tr.MayAdopt("b", 0), "a record of an earlier era")
}

// Guards against a bound of acknowledged commits that waits for a member which can lead no more.
func TestLeadersOmitExpiredCall(t *testing.T) {
	var tr primacy.Tracker
	tr.ObserveRecord(primacy.Record{Primary: primaryA, MayLead: "x", MayLeadUntil: 5 * time.Second, Version: 7}, 0, 0)
	assert.Assert(t, slices.Contains(tr.Leaders(5*time.Second-1), "x"))
	assert.Assert(t, !slices.Contains(tr.Leaders(5*time.Second), "x"))
}

// Guards against an answer of the primary that counts although the record shows that another member may lead.
func TestPrimaryIsDisputed(t *testing.T) {
	a, b := primacy.Primary{Member: "a", Term: 1}, primacy.Primary{Member: "b", Term: 2}
	of := func(p primacy.Primary, c *primacy.Claim) primacy.Record {
		return primacy.Record{Primary: p, Claim: c, Version: 7}
	}
	earlierEra := of(a, nil)
	earlierEra.Era = 3
	for name, test := range map[string]struct {
		record primacy.Record
		want   bool
	}{
		"no claim":                 {of(a, nil), true},
		"claim without a call":     {of(a, &primacy.Claim{OldPrimary: a, Candidate: "b"}), true},
		"claim with a call":        {of(a, &primacy.Claim{OldPrimary: a, Called: "b"}), false},
		"claim against a later":    {of(a, &primacy.Claim{OldPrimary: b}), false},
		"of an earlier era":        {earlierEra, false},
		"no primary is recorded":   {primacy.Record{Version: 7}, true},
		"record of an earlier one": {of(a, nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker primacy.Tracker
			tracker.ObserveRecord(of(a, nil), 0, 0)
			if name == "no primary is recorded" {
				tracker = primacy.Tracker{}
				tracker.ObserveRole(a)
			}
			tracker.ObserveRecord(test.record, 0, 0)
			if name == "record of an earlier one" {
				tracker.AdoptPromoted(b)
			}
			assert.Equal(t, tracker.Undisputed(), test.want)
		})
	}
}

// Guards against a call without an answer that a later one replaces in the record.
func TestLateCallsAreKept(t *testing.T) {
	r := primacy.Record{}.WithLateCall(primacy.LateCall{Member: "a", Until: 10}, 0).WithLateCall(primacy.LateCall{Member: "b", Until: 20}, 5)
	assert.Equal(t, r.MayLead, "b")
	assert.DeepEqual(t, r.MayLeadAt(9), []string{"b", "a"})
	assert.DeepEqual(t, r.MayLeadAt(10), []string{"b"})
	again := r.WithLateCall(primacy.LateCall{Member: "a", Until: 8}, 6)
	assert.DeepEqual(t, again.MayLeadAt(9), []string{"a", "b"})
	assert.DeepEqual(t, r.MayLeadAt(9), []string{"b", "a"}) // the former record is as it was
	assert.DeepEqual(t, r.WithLateCall(primacy.LateCall{Member: "c", Until: 30}, 15).MayLeadAt(0), []string{"c", "b"})
	r.AlsoMayLead = []primacy.LateCall{{Member: "a", Until: time.Hour}}
	assert.Assert(t, r.Check(0) != nil, "no instance has noted such a call")
}

// Guards against reads that rest on the log of a member which has restarted without it.
func TestRestartDropsReadPosition(t *testing.T) {
	tr := newTrackerWithPrimary()
	assert.Assert(t, !tr.ObserveRestart(9*time.Second), "none is known")
	tr.ObserveReadPosition(at(1, 5), 10*time.Second)
	assert.Assert(t, tr.ObserveRestart(11*time.Second))
	_, ok := tr.ReadPosition(0)
	assert.Assert(t, !ok)
	tr.ObserveReadPosition(at(1, 5), 10900*ms) // of a round that began before
	_, ok = tr.ReadPosition(0)
	assert.Assert(t, !ok)
	tr.ObserveReadPosition(at(1, 6), 11*time.Second)
	w, ok := tr.ReadPosition(11 * time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, w.Position, at(1, 6))
}

// Guards against a read on a primary that has restarted without its log.
func TestReadNeedsPositionOfPrimary(t *testing.T) {
	tr := newTrackerWithPrimary() // proven until 10.98 s
	assert.Assert(t, !tr.ProvenForRead(9*time.Second, 10500*ms), "no position is known")
	assert.Assert(t, !tr.ProvenForRead(10*time.Second, 12*time.Second))
	tr.ObservePosition("a", at(1, 5), 9900*ms)
	assert.Assert(t, tr.ProvenForRead(9*time.Second, 10500*ms))
	assert.Assert(t, tr.ProvenForRead(9900*ms, 12*time.Second))
	assert.Assert(t, !tr.ProvenForRead(10*time.Second, 12*time.Second))
	tr.ObservePosition("a", at(1, 6), 10900*ms)
	assert.Assert(t, tr.ProvenForRead(10900*ms, 12*time.Second))
	assert.Assert(t, !tr.ProvenForRead(11*time.Second, 12*time.Second), "not proven then")
}
