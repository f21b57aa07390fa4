package group

import (
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Guards against many instances that ask a primary for its log at a time, and against one that never does.
func TestFewInstancesAskRemainingMembers(t *testing.T) {
	const instances = 61
	var all []source.Candidate
	for i := range instances {
		all = append(all, source.Candidate{Name: fmt.Sprintf("i%02d", i), Address: "x"})
	}
	now := 10 * time.Second
	asked := make(map[string]int)
	for range instances {
		asking := 0
		for _, c := range all {
			g := newTestGroup(&fakeRecordStore{now: &now}, func() time.Duration { return now })
			g.fleet = gateway.NewFleet(c.Name, all)
			if g.asksRemaining() {
				asking++
				asked[c.Name]++
			}
		}
		assert.Assert(t, asking >= 1 && asking <= departureAskers, "%d ask", asking)
		now += departureTurn
	}
	assert.Equal(t, len(asked), instances)
}

// replacedDialer is a statusDialer that counts the connections to b, and refuses them because another
// member listens at its address.
type replacedDialer struct {
	statusDialer
	dials *atomic.Int32
}

// Dial implements statement.Dialer.
func (d replacedDialer) Dial(t statement.Target, timeout time.Duration) (statement.Conn, error) {
	if t.ID == "b" {
		d.dials.Add(1)
		return nil, &statement.UpstreamError{Reason: statement.WrongMember}
	}
	return d.statusDialer.Dial(t, timeout)
}

// Guards against a member that is left out because another one runs at its address, and against queries that burden that one.
func TestMemberWhoseAddressIsTaken(t *testing.T) {
	log := position.Position{Term: 1, Offset: 20}
	primary, replica := takeover.Status{Primary: true, Term: 1, Received: log}, takeover.Status{Term: 1, Received: log}
	behind := takeover.Status{Term: 1, Received: position.Position{Term: 1, Offset: 19}}
	for name, test := range map[string]struct {
		answers statusDialer
		joined  bool // its successor has just joined
		leftOut bool
	}{
		"the primary is silent":                          {answers: statusDialer{"c": replica, "d": replica, "e": replica}},
		"nobody else has the log of the primary":         {answers: statusDialer{"a": primary, "c": behind, "d": behind, "e": behind}},
		"its successor has the log of the primary":       {answers: statusDialer{"a": primary, "c": behind, "d": behind, "e": replica}, leftOut: true},
		"its successor has that log and has just joined": {answers: statusDialer{"a": primary, "c": behind, "d": behind, "e": replica}, joined: true},
		"another replica has the log of the primary":     {answers: statusDialer{"a": primary, "c": replica, "d": behind, "e": behind}, joined: true, leftOut: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := 10 * time.Second
				d := replacedDialer{test.answers, new(atomic.Int32)}
				g, record, all := newDepartureGroup(&now, d)
				b, successor := g.members["b"], all["b"]
				successor.ID = "e"
				all["e"] = successor
				record.Members, record.Version = append(record.Members[:4:4], nameOf(successor)), record.Version+1
				b.statusPending = true // so that only the test asks it
				delete(all, "b")
				g.UpdateMembers(all, now)
				g.UpdateRecord(record, exactTimestamp(now))
				for range 8 {
					g.UpdateMembers(all, now)
					now += 500 * time.Millisecond
				}
				if e := g.members["e"]; test.joined {
					e.knownSince, e.namedSince = now, now
				}
				for range 50 {
					record.Version++
					g.UpdateRecord(record, exactTimestamp(now))
					if g.members["b"] == b {
						g.probeDeparted(b)
					}
					synctest.Wait() // until all that were asked have answered
					for _, id := range []string{"c", "d", "e"} {
						g.askReplica(g.members[id])
					}
					synctest.Wait()
					now += 10 * time.Millisecond
				}
				assert.Equal(t, g.members["b"] == nil, test.leftOut)
				assert.Assert(t, d.dials.Load() <= 2, "%d connections", d.dials.Load())
			})
		})
	}
}

// newDepartureGroup returns a group whose members a, the primary, b, c and d have been known for 10 s and
// named for as long.
func newDepartureGroup(now *time.Duration, d statement.Dialer) (*Group, primacy.Record, catalog.Members) {
	g := newEvidenceGroup(now, d)
	all := make(catalog.Members)
	record := primacy.Record{Service: "s", Primary: primacy.Primary{Member: "a", Term: 1}, Version: 8}
	for _, id := range []string{"a", "b", "c", "d"} {
		all[id] = catalog.Member{ID: id, Service: "s", Address: id, FailureDomain: "z", Slots: 2, Started: 7}
		record.Members = append(record.Members, nameOf(all[id]))
	}
	g.UpdateMembers(all, *now)
	g.UpdateRecord(record, exactTimestamp(*now))
	*now += 10 * time.Second
	g.UpdateRecord(record, exactTimestamp(*now))
	return g, record, all
}

// Guards against a member that is left out without evidence of the remaining logs.
func TestDepartedMemberIsForgottenByEvidenceOnly(t *testing.T) {
	log := position.Position{Term: 1, Offset: 20}
	primary := takeover.Status{Primary: true, Term: 1, Received: log}
	replica, behind := takeover.Status{Term: 1, Received: log}, takeover.Status{Term: 1, Received: position.Position{Term: 1, Offset: 19}}
	for name, test := range map[string]struct {
		answers   statusDialer
		change    func(r *primacy.Record, g *Group)
		oldRecord bool
		forgotten bool
	}{
		"all remaining members answer":      {answers: statusDialer{"a": primary, "c": replica, "d": behind}, forgotten: true},
		"the primary is silent":             {answers: statusDialer{"c": replica, "d": replica}},
		"no replica has the primary's log":  {answers: statusDialer{"a": primary, "c": behind, "d": behind}},
		"the record is from before":         {answers: statusDialer{"a": primary, "c": replica, "d": replica}, oldRecord: true},
		"a member was called for":           {answers: statusDialer{"a": primary, "c": replica, "d": replica}, change: func(r *primacy.Record, _ *Group) { r.Claim = &primacy.Claim{OldPrimary: r.Primary, Called: "c"} }},
		"a change has begun without a call": {answers: statusDialer{"a": primary, "c": replica, "d": behind}, change: func(r *primacy.Record, _ *Group) { r.Claim = &primacy.Claim{OldPrimary: r.Primary} }, forgotten: true},
		"another instance has removed it":   {answers: statusDialer{}, change: func(r *primacy.Record, _ *Group) { r.Members = append(r.Members[:1:1], r.Members[2:]...) }, forgotten: true},
		"only one with the log is known to few": {answers: statusDialer{"a": primary, "c": replica, "d": behind}, change: func(_ *primacy.Record, g *Group) {
			c := g.members["c"]
			c.namedSince, c.knownSince = g.cfg.Clock(), g.cfg.Clock()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			g, record, all := newDepartureGroup(&now, test.answers)
			delete(all, "b")
			g.members["b"].statusPending = true // so that only the test asks it
			for range 11 {
				g.UpdateMembers(all, now)
				now += time.Second
			}
			record.Version++
			if test.change != nil {
				test.change(&record, g)
			}
			readAt := now
			if test.oldRecord {
				readAt = now - 5*time.Second
			}
			g.UpdateRecord(record, exactTimestamp(readAt))
			for range 2 {
				g.probeDeparted(g.members["b"])
				for _, id := range []string{"c", "d"} {
					g.askReplica(g.members[id])
				}
				if g.members["b"] == nil {
					break
				}
			}
			assert.Equal(t, g.members["b"] == nil, test.forgotten)
		})
	}
}

// Guards against statements that reach a leaving primary later than its drain time.
func TestLeavingPrimaryTakesStatementsForItsDrainTime(t *testing.T) {
	now := 10 * time.Second
	g, record, all := newDepartureGroup(&now, statusDialer{})
	g.cfg.DrainTime = 7 * time.Second
	g.UpdateMembers(all, now)
	reportedAfter := now
	leaving := all["a"]
	leaving.Draining = true
	all["a"] = leaving
	now += 600 * time.Millisecond
	g.SetLeaving(catalog.Leaving{"a": {Started: leaving.Started, Since: reportedAfter}})
	g.UpdateMembers(all, now)
	g.UpdateRecord(record, exactTimestamp(now))
	g.ObservePosition(g.members["a"].Upstream, at(1, 1), now)
	replicas := make(map[*upstream.Upstream]bool)
	for _, id := range []string{"b", "c", "d"} {
		replicas[g.members[id].Upstream] = true
	}
	for ; now < reportedAfter+9*time.Second; now += 100 * time.Millisecond {
		record.Version++
		g.UpdateRecord(record, exactTimestamp(now))
		for _, req := range []Requirements{
			{Writes: true, Consistency: catalog.Strict, Arrival: now, Deadline: now + time.Second},
			{Reads: true, Consistency: catalog.BoundedStaleness, Staleness: time.Second, Arrival: now, Deadline: now + time.Second},
		} {
			g.mu.Lock()
			c, ok := g.choose(req, replicas)
			err := g.refusal(req, nil, 0)
			g.mu.Unlock()
			takes := ok && c.Primary
			assert.Assert(t, takes || now > reportedAfter+6*time.Second, "refused %s after the report", now-reportedAfter)
			assert.Assert(t, !takes || now < reportedAfter+g.cfg.DrainTime, "sent %s after the report", now-reportedAfter)
			assert.Assert(t, takes || !req.Writes || err != nil, "a write waits for a primary that leaves")
		}
	}
}

// refusingDialer is a statusDialer that refuses connections to b while refuses is set.
type refusingDialer struct {
	statusDialer
	refuses *bool
}

// Dial implements statement.Dialer.
func (d refusingDialer) Dial(t statement.Target, timeout time.Duration) (statement.Conn, error) {
	if t.ID == "b" && *d.refuses {
		return nil, &statement.ConnError{Refused: true, Err: errors.New("refused")}
	}
	c, err := d.statusDialer.Dial(t, timeout)
	return endingConn{c, d.statusDialer, t.ID}, err
}

// endingConn is a connection that is silent once the dialer does not know its member any more.
type endingConn struct {
	statement.Conn
	known  statusDialer
	member string
}

// Control implements statement.Conn.
func (c endingConn) Control(command statement.Control, timeout time.Duration) (takeover.Status, error) {
	if _, ok := c.known[c.member]; !ok {
		return takeover.Status{}, &statement.ConnError{Timeout: true, Sent: true, Err: errors.New("silent")}
	}
	return c.Conn.Control(command, timeout)
}

// Guards against evidence from the end of a member's process that counts although another one has run since.
func TestEvidenceOfEndedProcessIsNotOfTheNext(t *testing.T) {
	log := position.Position{Term: 1, Offset: 20}
	for name, refusedAgain := range map[string]bool{"silent then": false, "refused again": true} {
		t.Run(name, func(t *testing.T) {
			now, refuses := 10*time.Second, true
			d := refusingDialer{statusDialer{"a": {Primary: true, Term: 1, Received: log}, "c": {Term: 1, Received: log}}, &refuses}
			g, record, all := newDepartureGroup(&now, d)
			b := g.members["b"]
			b.statusPending = true // so that only the test asks it
			ask := func() {
				record.Version++
				g.UpdateRecord(record, exactTimestamp(now))
				for _, m := range []*member{b, g.members["a"], g.members["c"]} {
					g.askReplica(m)
				}
			}
			ask()
			now += 100 * time.Millisecond
			ask()
			assert.Assert(t, b.departure.Covered())
			// It runs for a while, counted by others only, and the primary fails.
			now += 5 * time.Second
			refuses = refusedAgain
			delete(d.statusDialer, "a")
			delete(all, "b")
			for range 7 {
				g.UpdateMembers(all, now)
				now += 500 * time.Millisecond
			}
			assert.Assert(t, b.departed)
			ask()
			assert.Assert(t, g.members["b"] == b, "it was forgotten on the evidence of a former process")
		})
	}
}

// Guards against a quorum by a replica that others have left out since its report that it leaves.
func TestLeavingReplicaAloneConfirmsNoPrimary(t *testing.T) {
	primary := primacy.Primary{Member: "a", Term: 1}
	for name, test := range map[string]struct {
		draining, othersAnswer, confirmed bool
	}{
		"a replica that stays":      {confirmed: true},
		"a replica that leaves":     {draining: true},
		"all, one of which leaves":  {draining: true, othersAnswer: true, confirmed: true},
		"all, none of which leaves": {othersAnswer: true, confirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			members := []takeover.Member{
				{ID: "a", Watched: true, Status: &takeover.Status{Primary: true, Term: 1}},
				{ID: "b", Watched: true, Draining: test.draining, Status: &takeover.Status{Term: 1}},
				{ID: "c"},
			}
			if test.othersAnswer {
				members[2].Status = &takeover.Status{Term: 1}
			}
			_, confirmed := quorumConfirms(primary, members, true)
			assert.Equal(t, confirmed, test.confirmed)
		})
	}
}
