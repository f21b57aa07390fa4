package group

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/proxy/catalog"
)

// fakeRegister stores what it is given, on condition of the version.
type fakeRegister struct {
	now  *time.Duration
	puts []leadership.Record
}

func (f *fakeRegister) Records(context.Context) (catalog.Snapshot[leadership.Record], error) {
	return catalog.Snapshot[leadership.Record]{}, nil
}

func (f *fakeRegister) Put(_ context.Context, r leadership.Record) (uint64, time.Duration, error) {
	f.puts = append(f.puts, r)
	return r.Version + 1, *f.now, nil
}

func newTestGroup(register RecordStore, clock func() time.Duration) *Group {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Service: "s", Instance: "self", RecordStore: register, Clock: clock, Log: log.WithField("test", true)}, catalog.Service{Name: "s", Connections: 16})
}

// exactly is a moment on clocks that agree.
func exactly(at time.Duration) storetime.Timestamp {
	return storetime.Timestamp{Store: at, Earliest: at, Latest: at}
}

// judgedChange returns an attempt to replace member a, judged on record 7.
func judgedChange(register RecordStore, now *time.Duration) *change {
	g := newTestGroup(register, func() time.Duration { return *now })
	old := leadership.Leader{Member: "a", Term: 1}
	judged := leadership.Record{Service: "s", Leader: old, Version: 7}
	g.UpdateRecord(judged, exactly(*now))
	return &change{g: g, old: old, record: judged, log: g.cfg.Log}
}

// A claim that had been written over another instance's newer claim let two
// holders promote, the second with the lower token (colle-avvisi, hunt-faf4-3).
func TestClaimIsConditionalOnTheJudgedRecord(t *testing.T) {
	now := 10 * time.Second
	register := &fakeRegister{now: &now}
	c := judgedChange(register, &now)
	theirs := leadership.Record{Service: "s", Leader: c.old, Version: 8, Claim: &leadership.Claim{Holder: "other", FirstClaimedAt: now, RenewedAt: now, OldLeader: c.old}}
	c.g.UpdateRecord(theirs, exactly(now))
	assert.Assert(t, !c.claim(t.Context()))
	assert.Equal(t, len(register.puts), 0)
}

// A renewed claim moved the end of all read leases on the old primary, while an
// instance that could not read it already used the new one.
func TestRenewedClaimKeepsItsBeginning(t *testing.T) {
	now := 10 * time.Second
	register := &fakeRegister{now: &now}
	c := judgedChange(register, &now)
	assert.Assert(t, c.claim(t.Context()))
	now += time.Second
	assert.Assert(t, c.claim(t.Context()))
	assert.Equal(t, len(register.puts), 2)
	first, second := register.puts[0].Claim, register.puts[1].Claim
	assert.Equal(t, first.FirstClaimedAt, second.FirstClaimedAt)
	assert.Assert(t, second.RenewedAt > first.RenewedAt)
}

// An instance that had the record of a group before it had read the members took
// the primary for gone and claimed the group: after a loss of power, 24 groups of
// 60. An entry may also have lapsed while the store was away.
func TestUnreadMembersAreNotGone(t *testing.T) {
	now := 10 * time.Second
	register := &fakeRegister{now: &now}
	g := newTestGroup(register, func() time.Duration { return now })
	g.UpdateRecord(leadership.Record{Service: "s", Leader: leadership.Leader{Member: "a", Term: 1}, Version: 7}, exactly(now))
	lead, u := g.Primary()
	assert.Assert(t, u == nil)
	_, gone := g.reason(lead, u)
	assert.Assert(t, !gone)
	replica := catalog.Members{"b": {ID: "b", Service: "s", Address: "127.0.0.1:1"}}
	for range 3 {
		now += 700 * time.Millisecond
		g.UpdateMembers(replica, now)
		g.look(t.Context())
	}
	assert.Equal(t, len(register.puts), 0)
	now += 3 * time.Second // without a reading
	g.UpdateMembers(replica, now)
	g.look(t.Context())
	assert.Equal(t, len(register.puts), 0, "entries that lapsed meanwhile are back within 2 s")
	for range 3 {
		now += time.Second
		g.UpdateMembers(replica, now)
	}
	why, gone := g.reason(lead, u)
	assert.Assert(t, gone && why.text == "gone", "after 2.5 s of readings it is")
}
