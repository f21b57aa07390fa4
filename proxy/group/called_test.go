package group

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/takeover"
)

// fakePromoter fails each call with err, and calls before first.
type fakePromoter struct {
	err    error
	before func(Promotion)
}

func (f fakePromoter) Promote(p Promotion, _ func() bool, _ time.Duration) error {
	f.before(p)
	return f.err
}

// Guards against a call for a promotion that later holders do not know: they promoted
// another member, and the first one later took the lead with an older log.
func TestCallIsStoredUntilItIsSettled(t *testing.T) {
	for _, c := range []struct {
		name         string
		err          error
		again, known bool // called again after a call without an answer; the call is unsettled
	}{
		{"unanswered", errors.New("silent"), false, true}, {"not sent", ErrNotCalled, false, false}, {"not running", ErrNotRunning, false, false},
		{"unanswered, then not sent", ErrNotCalled, true, true}, {"unanswered, then not running", ErrNotRunning, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := 10 * time.Second
			store := &fakeRecordStore{now: &now}
			f := newTestFailover(store, &now)
			promoter := fakePromoter{err: c.err, before: func(p Promotion) {
				stored := store.puts[len(store.puts)-1].Claim
				assert.Equal(t, stored.Called, p.Member)
				assert.Assert(t, now-stored.CalledAt <= claimRenewalAge)
			}}
			if c.again {
				f.called, f.calledAt, f.callMade = "b", now-2*time.Second, true
			}
			f.g.cfg.Promoter = promoter
			assert.Assert(t, f.claim(t.Context()))
			assert.Assert(t, f.promote(t.Context(), takeover.Step{Action: takeover.Promote, Targets: []string{"b"}}, steppedDown(f)))
			assert.Equal(t, f.unsettledCall(nil) == "b", c.known)
			assert.Assert(t, f.claim(t.Context()))
			assert.Equal(t, store.puts[len(store.puts)-1].Claim.Called != "", c.known)
			now += callSettleTime
			assert.Equal(t, f.unsettledCall(nil), "")
		})
	}
}

// steppedDown is a round in which the old primary has stepped down.
func steppedDown(f *failover) takeover.Input {
	old := takeover.Member{ID: f.oldPrimary.Member, Status: &takeover.Status{Term: f.oldPrimary.Term}}
	return takeover.Input{OldPrimary: f.oldPrimary, Members: []takeover.Member{old}}
}

// Guards against a noted call that was never made but keeps other members from being promoted.
func TestCallThatWasNotMadeIsForgottenAfterItsNotice(t *testing.T) {
	now := 10 * time.Second
	store := &fakeRecordStore{now: &now}
	f := newTestFailover(store, &now)
	calls := 0
	f.g.cfg.Promoter = fakePromoter{err: ErrNotCalled, before: func(Promotion) { calls++ }}
	old := takeover.Member{ID: f.oldPrimary.Member}
	b := takeover.Member{ID: "b", Status: &takeover.Status{Term: f.oldPrimary.Term, Received: position.Position{Term: f.oldPrimary.Term, Offset: 5}, PausedTerm: f.oldPrimary.Term + 1}}
	in := takeover.Input{OldPrimary: f.oldPrimary, Members: []takeover.Member{old, b}}
	step := takeover.Step{Action: takeover.Promote, Targets: []string{"b"}}
	assert.Assert(t, f.claim(t.Context()))
	assert.Assert(t, f.promote(t.Context(), step, in))
	assert.Equal(t, calls, 0, "instances may not know of the claim yet")
	now += claimNoticeTime
	assert.Assert(t, f.promote(t.Context(), step, in))
	assert.Equal(t, calls, 1)
	assert.Equal(t, f.unsettledCall(nil), "")
}

// Guards against a call for a member while an instance may rely on the log of another one.
func TestNobodyReliesOnAnotherMemberWhenOneIsCalledFor(t *testing.T) {
	for name, c := range map[string]struct{ announced, called string }{"announced": {"c", ""}, "called for": {"", "c"}} {
		t.Run(name, inBubble(func(t *testing.T) {
			now := 10 * time.Second
			store := &fakeRecordStore{now: &now}
			f := newTestFailover(store, &now)
			called := time.Duration(0)
			f.g.cfg.Promoter = fakePromoter{before: func(Promotion) { called = f.roundAt }}
			f.announced, f.called = c.announced, c.called
			assert.Assert(t, f.claim(t.Context()))
			step := takeover.Step{Action: takeover.Promote, Targets: []string{"b"}}
			now += callSettleTime
			endedAt := now
			for called == 0 && now < endedAt+2*claimNoticeTime {
				f.roundAt = now
				now += claimNoticeTime / 2 // the answers take long
				assert.Assert(t, f.promote(t.Context(), step, steppedDown(f)))
				successor := store.puts[len(store.puts)-1].Claim.Successor()
				assert.Assert(t, successor == "" || successor == "b" && f.roundAt >= endedAt+claimNoticeTime, "%q is named", successor)
			}
			assert.Assert(t, called >= endedAt+claimNoticeTime, "called for by logs of %s", called-endedAt)
		}))
	}
}

// inBubble returns a test in simulated time.
func inBubble(f func(t *testing.T)) func(t *testing.T) {
	return func(t *testing.T) { synctest.Test(t, f) }
}
