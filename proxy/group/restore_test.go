package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
)

// restoredRecord returns the record of member a as read from a restored store.
func restoredRecord(t *testing.T, counter uint64) primacy.Record {
	version, err := storeversion.New(1, counter)
	assert.NilError(t, err)
	return primacy.Record{Service: "s", Primary: primacy.Primary{Member: "a", Term: 1}, Version: version}
}

// Guards against a claim while the holder of a claim that a restore has taken back may
// still promote: two holders would act at the same time.
func TestNoClaimBeforeLostClaimsHaveEnded(t *testing.T) {
	now := 10 * time.Second
	store := &fakeRecordStore{now: &now}
	f := newTestFailover(store, &now)
	now += time.Second
	restoredAt := now
	f.g.ObserveEra(1, restoredAt)
	for ; now < restoredAt+promotionSendWindow+promoteTimeout+promotionTime; now += 100 * time.Millisecond {
		f.g.UpdateRecord(restoredRecord(t, 3), exactTimestamp(now))
		f.g.mu.Lock()
		assert.Equal(t, f.g.failoverBlockedLocked(), "store_restored")
		f.g.mu.Unlock()
	}
	f.g.UpdateRecord(restoredRecord(t, 3), exactTimestamp(now))
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	assert.Equal(t, f.g.failoverBlockedLocked(), "")
}

// Guards against a holder that goes on after a restore has taken back its claim, and
// against a claim that makes a record of an earlier era evidence.
func TestClaimEndsWithItsEra(t *testing.T) {
	now := 10 * time.Second
	store := &fakeRecordStore{now: &now}
	f := newTestFailover(store, &now)
	assert.Assert(t, f.claim(t.Context()))
	f.g.UpdateRecord(restoredRecord(t, 3), exactTimestamp(now+time.Second))
	assert.Assert(t, f.superseded())
	f.record = restoredRecord(t, 3)
	assert.Assert(t, f.claim(t.Context()))
	assert.Assert(t, !f.g.tracker.Record().Confirmed())
	assert.Assert(t, !f.g.tracker.Proven(now+2*time.Second))
}

// Guards against a change of primary for a claim that a restored store still shows: strict
// reads were refused until its promotion could have ended.
func TestClaimOfEarlierEraIsNotTakenOver(t *testing.T) {
	now := 10 * time.Second
	store := &fakeRecordStore{now: &now}
	f := newTestFailover(store, &now)
	record := restoredRecord(t, 3)
	record.Claim = &primacy.Claim{Holder: "lost", RenewedAt: now, OldPrimary: record.Primary}
	now += time.Second
	f.g.ObserveEra(1, now)
	now += restoreSettleTime
	f.g.UpdateRecord(record, exactTimestamp(now))
	primary, u := f.g.Primary()
	_, due := f.g.failoverReason(primary, u)
	assert.Assert(t, !due)
	record.Claim.RenewedAt = now
	f.g.UpdateRecord(record, exactTimestamp(now))
	reason, due := f.g.failoverReason(primary, u)
	assert.Assert(t, due && reason.text == "unfinished_change", "the claim is of the present era")
}

// Guards against a member that is used again although it is leaving, because a restored
// store shows its registration from before.
func TestLeavingMemberStaysLeavingAfterRestore(t *testing.T) {
	now := 10 * time.Second
	g := newTestGroup(&fakeRecordStore{now: &now}, func() time.Duration { return now })
	ready := catalog.Member{ID: "a", Service: "s", Address: "127.0.0.1:1", Started: 7}
	leaving, restarted := ready, ready
	leaving.Draining, restarted.Started = true, 8
	for _, m := range []catalog.Member{ready, leaving, ready} {
		g.UpdateMembers(catalog.Members{"a": m}, now)
	}
	assert.Assert(t, g.members["a"].Member().Draining)
	g.UpdateMembers(catalog.Members{"a": restarted}, now)
	assert.Assert(t, !g.members["a"].Member().Draining, "it was started again")
}

// Guards against a second restart of a member that is inferred from the registration of
// its former incarnation in a restored store: a primary would be replaced for it.
func TestRegistrationOfFormerIncarnationIsIgnored(t *testing.T) {
	now := 10 * time.Second
	g := newTestGroup(&fakeRecordStore{now: &now}, func() time.Duration { return now })
	for _, started := range []int64{7, 8} {
		g.UpdateMembers(catalog.Members{"a": {ID: "a", Service: "s", Address: "127.0.0.1:1", Started: started}}, now)
	}
	present := g.members["a"].Member()
	g.members["a"].restart = takeover.Departure{} // it has caught up since
	g.tracker.ObserveRecord(primacy.Record{Primary: primacy.Primary{Member: "a", Term: 1}, Version: 1}, now, now)
	g.tracker.ObservePosition("a", position.Position{Term: 1, Offset: 5}, now)
	g.UpdateMembers(catalog.Members{"a": {ID: "a", Service: "s", Address: "127.0.0.1:2", Started: 7}}, now)
	assert.Equal(t, g.members["a"].Member(), present)
	assert.Assert(t, !g.members["a"].logLost())
}
