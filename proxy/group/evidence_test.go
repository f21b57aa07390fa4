package group

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// statusDialer is a Dialer of members that answer with these statuses; others are silent.
type statusDialer map[string]takeover.Status

// statusConn answers control commands with a status.
type statusConn struct {
	healthyConn
	status takeover.Status
}

// Dial implements statement.Dialer.
func (d statusDialer) Dial(t statement.Target, _ time.Duration) (statement.Conn, error) {
	s, ok := d[t.ID]
	if !ok {
		return nil, &statement.ConnError{Timeout: true, Err: errors.New("silent")}
	}
	return statusConn{status: s}, nil
}

// Control implements statement.Conn.
func (c statusConn) Control(statement.Control, time.Duration) (takeover.Status, error) {
	return c.status, nil
}

// newEvidenceGroup returns a group with the members a, b and c, of which a leads term 1.
func newEvidenceGroup(now *time.Duration, d statement.Dialer) *Group {
	g := newTestGroup(&fakeRecordStore{now: now}, func() time.Duration { return *now })
	g.cfg.Dialer = d
	g.service.AcknowledgedBy = 1
	g.UpdateRecord(primacy.Record{Service: "s", Primary: primacy.Primary{Member: "a", Term: 1}, Version: 7}, exactTimestamp(*now))
	all := make(catalog.Members)
	for _, id := range []string{"a", "b", "c"} {
		all[id] = catalog.Member{ID: id, Service: "s", Address: id, Slots: 2, Started: 7}
	}
	g.UpdateMembers(all, *now)
	return g
}

// Guards against a read of own writes on a replica without them: the answer of a lagging
// replica counted as one of the primary, because it had been promoted since.
func TestAnswerFromBeforePromotionIsNoPositionOfPrimary(t *testing.T) {
	now := 10 * time.Second
	g := newEvidenceGroup(&now, statusDialer{})
	own := position.Position{Term: 1, Offset: 105}
	g.ObservePosition(g.members["a"].Upstream, own, now)
	sentAt := now + 10*time.Millisecond
	now += 500 * time.Millisecond
	g.UpdateRecord(primacy.Record{Service: "s", Primary: primacy.Primary{Member: "b", Term: 2}, Version: 8}, exactTimestamp(now))
	g.ObservePosition(g.members["b"].Upstream, position.Position{Term: 1, Offset: 100}, sentAt)
	req := Requirements{Reads: true, Consistency: catalog.ReadYourWrites, Staleness: 2 * time.Second, Arrival: now, OwnWrite: own, OwnWriteAt: sentAt}
	after, _, known := g.minReplicaPosition(req, now-req.Staleness)
	assert.Assert(t, !known || after.AtLeast(own), "a replica at %s serves the read", after)

	p := position.Position{Term: 1, Offset: 106}
	g.ObservePosition(g.members["b"].Upstream, p, now)
	after, _, known = g.minReplicaPosition(req, now-req.Staleness)
	assert.Assert(t, known)
	assert.Equal(t, after, p, "an answer of the primary in its term, before its first commit")
}

// Guards against a quorum by one replica on the word of an acknowledgement that the primary
// gave in an earlier term: another member may have been promoted between the two.
func TestAcknowledgementOfEarlierTermConfirmsNoPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := 10 * time.Second
		primary := primacy.Primary{Member: "b", Term: 4}
		g := newEvidenceGroup(&now, statusDialer{
			"b": {Primary: true, Term: 4, Received: position.Position{Term: 4, Offset: 9}},
			"c": {Term: 4, Received: position.Position{Term: 4, Offset: 9}},
		})
		g.UpdateRecord(primacy.Record{Service: "s", Primary: primary, Version: 8}, exactTimestamp(now))
		synctest.Wait()                       // until the former primary was asked to step down
		now += maxQuorumListAge + time.Second // so that the list alone does not do
		g.noClaimAt = now
		for _, c := range []struct {
			term uint64
			want bool
		}{{2, false}, {5, false}, {4, true}} {
			g.WriteAcknowledged(g.members["b"].Upstream, position.Position{Term: c.term, Offset: 5}, now)
			g.confirmByMembers(primary, now)
			assert.Equal(t, g.rounds.last.Confirmed, c.want, "acknowledged in term %d", c.term)
		}
	})
}

// listingDialer is a statusDialer that lets a list of members arrive before a member answers.
type listingDialer struct {
	statusDialer
	arrive func()
}

// listingConn is a connection of a listingDialer.
type listingConn struct {
	statement.Conn
	arrive *func()
}

// Dial implements statement.Dialer.
func (d *listingDialer) Dial(t statement.Target, timeout time.Duration) (statement.Conn, error) {
	c, err := d.statusDialer.Dial(t, timeout)
	return listingConn{c, &d.arrive}, err
}

// Control implements statement.Conn.
func (c listingConn) Control(command statement.Control, timeout time.Duration) (takeover.Status, error) {
	(*c.arrive)()
	return c.Conn.Control(command, timeout)
}

// Guards against a bound of acknowledged commits over fewer members than the list that it is
// judged by has.
func TestBoundIsJudgedByListOfItsMembers(t *testing.T) {
	now := 10 * time.Second
	replica := takeover.Status{Term: 1, Received: position.Position{Term: 1, Offset: 9}}
	d := &listingDialer{statusDialer{"b": replica, "c": replica}, func() {}}
	g := newEvidenceGroup(&now, d)
	g.confirmByMembers(g.tracker.Primary(), now)
	assert.Assert(t, g.rounds.last.HasAckBound, "a recent list")

	now += maxMembersAge + time.Second
	listed := make(catalog.Members)
	for _, id := range []string{"a", "b", "c", "d"} {
		listed[id] = catalog.Member{ID: id, Service: "s", Address: id, Slots: 2, Started: 7}
	}
	d.arrive = func() { g.UpdateMembers(listed, now) }
	g.confirmByMembers(g.tracker.Primary(), now)
	assert.Assert(t, !g.rounds.last.HasAckBound, "the members were taken from a list that is too old")
	g.confirmByMembers(g.tracker.Primary(), now)
	assert.Assert(t, !g.rounds.last.HasAckBound, "two of four members do not answer")
}

// heldDialer is a Dialer of a member that answers a control command once release is closed.
type heldDialer struct {
	statusDialer
	asked, release chan struct{}
}

// heldConn is a connection to such a member.
type heldConn struct {
	statusConn
	d *heldDialer
}

// Dial implements statement.Dialer.
func (d *heldDialer) Dial(t statement.Target, timeout time.Duration) (statement.Conn, error) {
	c, err := d.statusDialer.Dial(t, timeout)
	if t.ID != "b" {
		return c, err
	}
	if err != nil {
		d.asked <- struct{}{}
		<-d.release
		return nil, &statement.ConnError{Refused: true, Err: errors.New("refused")}
	}
	return heldConn{c.(statusConn), d}, nil
}

// Control implements statement.Conn.
func (c heldConn) Control(statement.Control, time.Duration) (takeover.Status, error) {
	c.d.asked <- struct{}{}
	<-c.d.release
	return c.status, nil
}

// restartB is a read of the members that shows another incarnation of b.
func restartB(g *Group, now time.Duration) {
	all := make(catalog.Members)
	for id, m := range g.members {
		all[id] = m.Member()
	}
	b := all["b"]
	b.Started, b.Address = 8, "moved"
	all["b"] = b
	g.UpdateMembers(all, now)
}

// Guards against a proof without a replica that runs: the refused connection of its former
// incarnation counted as the end of the present one.
func TestRefusalOfFormerIncarnationIsNoEndOfMember(t *testing.T) {
	now := 10 * time.Second
	d := &heldDialer{statusDialer{}, make(chan struct{}, 9), make(chan struct{})}
	g := newEvidenceGroup(&now, d)
	done := make(chan struct{})
	go func() { g.askReplica(g.members["b"]); close(done) }()
	<-d.asked
	restartB(g, now)
	close(d.release)
	<-done
	assert.Assert(t, !g.members["b"].evidence.Gone)
}

// Guards against a bound of acknowledged commits by the log of a former incarnation: its answer
// was compared with what the present one, which has no log, must reach.
func TestAnswerOfFormerIncarnationIsNoLogOfMember(t *testing.T) {
	now := 10 * time.Second
	p := position.Position{Term: 1, Offset: 90}
	d := &heldDialer{statusDialer{"b": {Term: 1, Received: p}, "c": {Term: 1, Received: p}}, make(chan struct{}, 9), make(chan struct{})}
	g := newEvidenceGroup(&now, d)
	g.ObservePosition(g.members["a"].Upstream, position.Position{Term: 1, Offset: 80}, now)
	done := make(chan []takeover.Member)
	go func() { done <- g.controlAll(statement.Control{Kind: statement.GetStatus}, nil, false) }()
	<-d.asked
	restartB(g, now)
	close(d.release)
	for _, m := range <-done {
		assert.Assert(t, m.ID != "b" || m.Status == nil || m.LogLost, "the log of b counts: %+v", m)
	}
}

// Guards against a strict read on a primary that restarts without its log before its first commit:
// no position of its term was known, and the read ran without one.
func TestReadOnNewPrimaryRequiresItsLog(t *testing.T) {
	now := 10 * time.Second
	g := newEvidenceGroup(&now, statusDialer{})
	promoted := position.Position{Term: 1, Offset: 90}
	g.UpdateRecord(primacy.Record{Service: "s", Primary: primacy.Primary{Member: "b", Term: 2}, PromotedAt: promoted, Version: 8}, exactTimestamp(now))
	for i, want := range []position.Position{promoted, {Term: 1, Offset: 95}, {Term: 2, Offset: 96}} {
		if i > 0 {
			g.ObservePosition(g.members["b"].Upstream, want, now)
		}
		for _, consistency := range []catalog.Consistency{catalog.Strict, catalog.BoundedStaleness} {
			req := Requirements{Reads: true, Consistency: consistency, Arrival: now, Deadline: now + time.Second}
			excluded := map[*upstream.Upstream]bool{g.members["a"].Upstream: true, g.members["c"].Upstream: true}
			c, err := g.Choose(req, excluded)
			assert.NilError(t, err)
			assert.Assert(t, c.Primary)
			assert.Equal(t, c.MinPosition, want, "%s", consistency)
		}
	}
}

// Guards against a log that counts although its member has lost it: right after a change of primary
// no position was known that it must reach.
func TestMemberRestartsBeforeFirstAnswerOfPrimary(t *testing.T) {
	now := 10 * time.Second
	behind := position.Position{Term: 1, Offset: 60}
	g := newEvidenceGroup(&now, statusDialer{"b": {Term: 1}, "c": {Term: 1, Received: behind}})
	g.ObservePosition(g.members["a"].Upstream, position.Position{Term: 1, Offset: 80}, now)
	g.UpdateRecord(primacy.Record{Service: "s", Primary: primacy.Primary{Member: "a", Term: 3}, PromotedAt: position.Position{Term: 1, Offset: 90}, Version: 8}, exactTimestamp(now))
	restartB(g, now)
	g.confirmByMembers(g.tracker.Primary(), now)
	assert.Assert(t, !g.rounds.last.HasAckBound, "bound %s", g.rounds.last.AckBound)
}

// Guards against a bound of a gateway that does not know a commit whose acknowledgement this
// instance has passed on.
func TestBoundOfGatewayIncludesOwnAcknowledgements(t *testing.T) {
	for offset, want := range map[uint64]bool{50: false, 90: true} {
		now := 10 * time.Second
		g := newEvidenceGroup(&now, statusDialer{})
		g.WriteAcknowledged(g.members["a"].Upstream, position.Position{Term: 1, Offset: 90}, now)
		done := make(chan struct{})
		g.mu.Lock()
		g.runRound(func(primary primacy.Primary, sentAt time.Duration) {
			defer close(done)
			// One that comes later is no part of the bound.
			g.WriteAcknowledged(g.members["a"].Upstream, position.Position{Term: 1, Offset: 91}, now)
			g.finishRound(Confirmation{Primary: primary, AckBound: position.Position{Term: 1, Offset: offset}, HasAckBound: true}, sentAt)
		})
		g.mu.Unlock()
		<-done
		_, known := g.tracker.ReadPosition(now)
		assert.Equal(t, known, want, "bound 1.%d", offset)
	}
}

// Guards against a bound of acknowledged commits that lacks those of a member which has lost its
// log, because this instance knew no position of the primary when it learned of that.
func TestRestartedMemberCountsOnceItHasPositionOfPrimary(t *testing.T) {
	for name, observed := range map[string]position.Position{"no position known": {}, "position from before": {Term: 1, Offset: 40}} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			dialer := statusDialer{"b": {Term: 1, Received: position.Position{Term: 1, Offset: 50}}, "c": {Term: 1, Received: position.Position{Term: 1, Offset: 60}}}
			g := newEvidenceGroup(&now, dialer)
			g.ObservePosition(g.members["a"].Upstream, observed, now)
			now += time.Second
			// Others have acknowledged commits up to 1.100, which a and b had.
			g.UpdateMembers(catalog.Members{
				"a": g.members["a"].Member(), "b": {ID: "b", Service: "s", Address: "b", Slots: 2, Started: 8}, "c": g.members["c"].Member(),
			}, now)
			g.confirmByMembers(g.tracker.Primary(), now)
			assert.Assert(t, !g.rounds.last.HasAckBound, "bound %s", g.rounds.last.AckBound)
		})
	}
}

// Guards against a member that never counts again after a restart without its log.
func TestRestartedMemberCountsAgain(t *testing.T) {
	log, later := position.Position{Term: 1, Offset: 90}, position.Position{Term: 2, Offset: 91}
	for name, test := range map[string]struct {
		answers statusDialer
		before  func(g *Group, now time.Duration)
	}{
		"the primary reports its log": {statusDialer{"a": {Primary: true, Term: 1, Received: log}, "b": {Term: 1, Received: log}}, func(*Group, time.Duration) {}},
		"the primary executes a statement": {statusDialer{"b": {Term: 1, Received: log}}, func(g *Group, now time.Duration) {
			g.ObservePosition(g.members["a"].Upstream, log, now)
		}},
		"it was promoted": {statusDialer{"b": {Primary: true, Term: 2, Received: later}}, func(g *Group, now time.Duration) {
			g.UpdateRecord(primacy.Record{Service: "s", Primary: primacy.Primary{Member: "b", Term: 2}, PromotedAt: log, Version: 9}, exactTimestamp(now))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			g := newEvidenceGroup(&now, test.answers)
			g.ObservePosition(g.members["a"].Upstream, position.Position{Term: 1, Offset: 80}, now)
			restartB(g, now)
			assert.Assert(t, g.members["b"].logLost())
			now += 100 * time.Millisecond
			g.UpdateRecord(primacy.Record{Service: "s", Primary: primacy.Primary{Member: "a", Term: 1}, Version: 8}, exactTimestamp(now))
			test.before(g, now)
			for range 2 {
				g.controlAll(statement.Control{Kind: statement.GetStatus}, nil, false)
			}
			assert.Assert(t, !g.members["b"].logLost())
		})
	}
}
