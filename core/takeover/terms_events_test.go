package takeover_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
)

// advance lets time pass: replicas catch up, former primaries step down, and promotions take
// effect.
func (s *termsSite) advance(d time.Duration) {
	for end := s.now + d; s.now < end && s.violation == ""; {
		next := min(end, s.now+50*time.Millisecond)
		for _, c := range s.calls {
			next = min(next, max(c.at, s.now))
		}
		s.now = next
		s.follow()
		s.calls = slices.DeleteFunc(s.calls, func(c termsCall) bool {
			if c.at > s.now || s.violation != "" {
				return false
			}
			s.promote(c)
			return true
		})
	}
}

// follow lets the replicas keep up with their primaries, as far as they must.
func (s *termsSite) follow() {
	for _, r := range s.members {
		p := s.source(r)
		if p == nil {
			r.behindSince, r.reachedSince = 0, 0
			continue
		}
		switch {
		case r.primary && r.reachedSince == 0:
			r.reachedSince = s.now
		case r.primary && s.now-r.reachedSince < termsDemoteTime:
		case r.primary:
			r.primary, r.reachedSince = false, 0
		case r.behindSince == 0:
			r.behindSince = s.now
		case s.now-r.behindSince > termsMaxLag:
			s.receive(r, p, len(p.log))
		}
		if !r.primary && r.term < p.term {
			s.receive(r, p, 0)
		}
		if !r.primary && len(r.log) == len(p.log) {
			r.behindSince = 0
		}
	}
}

// source returns the primary whose entries a member receives, or that a former primary follows:
// that of the latest term which it reaches. nil if there is none.
func (s *termsSite) source(r *termsMember) (source *termsMember) {
	for _, p := range s.members {
		if p != r && p.primary && p.up && r.up && !r.paused && p.term >= r.term && s.reach(p.id, r.id) && (source == nil || p.term > source.term) {
			source = p
		}
	}
	if source != nil && r.primary && source.term <= r.term {
		return nil
	}
	return source
}

// receive makes a replica's log that of the primary up to n entries, or what they share.
func (s *termsSite) receive(r, p *termsMember, n int) {
	shared := 0
	for shared < min(len(r.log), len(p.log)) && r.log[shared] == p.log[shared] {
		shared++
	}
	r.term, r.log = p.term, slices.Clone(p.log[:max(n, shared)])
}

// promote lets a promotion take effect. It ends all pauses; a replica that does not reach the new
// primary goes on with the old one.
func (s *termsSite) promote(c termsCall) {
	m := c.member
	if !m.up || m.process != c.process || m == s.leader && m.primary {
		return
	}
	s.counts.promotions++
	m.primary, m.term, m.paused, m.reachedSince, s.leader = true, s.leader.term+1, false, 0, m
	s.logf("%s is promoted to term %d with %v", m.id, m.term, m.last())
	s.check(m, "lost by a promotion", "")
	for _, r := range s.members {
		aware := s.reach(m.id, r.id) && r.up
		r.paused = false
		if r != m && aware && !r.primary {
			s.receive(r, m, 0)
		}
	}
}

// check notes a violation if a log lacks a commit that was passed on.
func (s *termsSite) check(m *termsMember, what, by string) {
	for _, p := range s.passed {
		if s.violation == "" && !slices.Contains(m.log, p) {
			s.violation = what
			s.logf("VIOLATION %s: %v was passed on; %s has %v %s", what, p, m.id, m.last(), by)
		}
	}
}

// routine lets time pass in which each instance that is not frozen does its work.
func (s *termsSite) routine(t *rapid.T) { s.work(t, 250) }

// work is routine for up to a number of milliseconds.
func (s *termsSite) work(t *rapid.T, longest int) {
	s.advance(time.Duration(rapid.IntRange(10, longest).Draw(t, "ms")) * time.Millisecond)
	for _, r := range s.members {
		if p := s.source(r); p != nil && !r.primary && rapid.IntRange(0, 3).Draw(t, "receives") > 0 {
			s.receive(r, p, len(p.log))
		}
	}
	first := rapid.IntRange(0, len(s.instances)-1).Draw(t, "first")
	for k := range s.instances {
		i := s.instances[(first+k)%len(s.instances)]
		if s.violation != "" || s.now < i.frozenUntil {
			continue
		}
		s.now += time.Microsecond
		listInterval := time.Second
		if i.suspects || i.tracker.ReplacementClaimed() {
			listInterval = 300 * time.Millisecond
		}
		if s.now-i.recordReadAt >= 250*time.Millisecond && s.now >= i.recordAfter {
			s.readRecord(i)
		}
		if s.now-i.membersAsOf >= listInterval && s.now >= i.listAfter {
			s.readList(i)
		}
		s.act(t, i, k == 0)
	}
}

// act lets an instance go on with a change, look for a reason for one, or ask the members for its
// primary.
func (s *termsSite) act(t *rapid.T, i *termsInstance, probes bool) {
	if i.holder != nil {
		s.round(t, i)
		return
	}
	if v := i.views[i.tracker.Primary().Member]; probes && v != nil {
		status := s.ask(i, v)
		i.suspects = status == nil || !status.Primary || status.Term != i.tracker.Primary().Term
	}
	if i.suspects || i.tracker.Record().Claim != nil {
		s.startChange(i, false, false)
	}
	if i.holder == nil && !i.tracker.Proven(s.now) {
		s.confirm(i)
	}
}

// confirm is a round of an instance; see Group.confirmByMembers. It returns the bound of
// acknowledged commits, and whether the primary is confirmed by a part of the members only.
func (s *termsSite) confirm(i *termsInstance) (bound position.Position, bounded, partly bool) {
	primary, members := i.tracker.Primary(), s.askAll(i)
	record, leaders := i.tracker.Record(), i.tracker.Leaders(s.now)
	for _, m := range members {
		partly = partly || m.Status == nil
	}
	recentCommit := i.ackSentAt > 0 && s.now-i.ackSentAt < termsCommitEvidence
	partial := partly && (s.now-i.membersAsOf <= termsCountedAge || recentCommit) && !i.tracker.ReplacementClaimed()
	replicas, status, ok := 0, takeover.Status{}, true
	var later primacy.Primary
	for _, m := range members {
		switch {
		case m.Status == nil:
			ok = ok && partial
		case m.Status.Term != primary.Term && !(s.rules[trustsAnyPrimary] && m.ID != primary.Member), m.Status.PausedTerm != 0, m.Status.Primary != (m.ID == primary.Member):
			ok = false
		case !m.Watched && partial:
		case m.ID == primary.Member:
			status = *m.Status
		default:
			replicas++
		}
		if m.Status != nil && m.Status.Primary && m.Status.Term > primary.Term && slices.ContainsFunc(members, func(f takeover.Member) bool {
			return f.Status != nil && !f.Status.Primary && f.Status.Term == m.Status.Term
		}) {
			later = primacy.Primary{Member: m.ID, Term: m.Status.Term}
		}
	}
	if ok && status.Primary && replicas > 0 {
		i.tracker.ObserveQuorum(primary, status.Received, s.now)
	}
	if s.now-i.membersAsOf < termsReadListAge && (s.now-i.recordReadAt < termsReadListAge || s.rules[boundsAny]) {
		bound, bounded = takeover.ReadPosition(members, max(len(members), 3))
		bounded = bounded && (takeover.Lists(members, leaders...) && bound.AtLeast(record.PromotedAt) || s.rules[boundsAny])
		bounded = bounded && bound.AtLeast(i.acked)
	}
	if takeover.Abandoned(primary, members) || s.rules[adoptsAny] {
		s.observeLater(i, later)
	}
	return bound, bounded, partly
}

// observeLater handles a later primary that the members report; see Group.observeLaterPrimary.
func (s *termsSite) observeLater(i *termsInstance, later primacy.Primary) {
	switch {
	case later.Member == "":
	case i.later != later:
		i.later, i.laterSince = later, s.now
	case s.now-i.laterSince >= primacy.ReadLease && (i.tracker.MayAdopt(later.Member, s.now) || s.rules[adoptsAny]):
		s.adopt(i, later)
	}
}

// commit lets an instance write on its primary, which it has confirmed within a second.
func (s *termsSite) commit(i *termsInstance) {
	v := i.views[i.tracker.Primary().Member]
	if v == nil || !v.m.primary || !v.m.up || !s.reach(i.id, v.m.id) || !i.tracker.Proven(s.now-time.Second) {
		return
	}
	p := position.Position{Term: v.m.term, Offset: v.m.last().Offset + 1}
	v.m.log = append(v.m.log, p)
	s.writes = append(s.writes, &termsWrite{by: i, on: v.m, p: p, sentAt: s.now})
}

// pass lets acknowledgements arrive, and an instance pass them on once it has proof.
func (s *termsSite) pass(t *rapid.T, i *termsInstance) {
	if s.now < i.frozenUntil {
		return
	}
	for _, id := range i.order {
		if rapid.IntRange(0, 3).Draw(t, "asked") > 0 {
			s.ask(i, i.views[id])
		}
	}
	s.writes = slices.DeleteFunc(s.writes, func(w *termsWrite) bool {
		acknowledged := func(r *termsMember) bool {
			return r != w.on && !r.primary && r.up && r.term == w.on.term && slices.Contains(r.log, w.p)
		}
		w.answered = w.answered || w.by == i && w.on.primary && w.on.up && w.on.term == w.p.Term && s.reach(i.id, w.on.id) && slices.ContainsFunc(s.members, acknowledged)
		if w.by != i || !w.answered || s.violation != "" || s.containment(i, w.on.id, w.p) != takeover.Contained {
			return s.now-w.sentAt > writeTimeout
		}
		if s.rules[noLatePass] && s.leader.term > w.p.Term && !slices.Contains(s.leader.log, w.p) {
			return true
		}
		s.logf("%s passes on %v of %s", i.id, w.p, w.on.id)
		s.counts.passed++
		s.passed = append(s.passed, w.p)
		i.acked = position.Max(i.acked, w.p)
		if i.tracker.Primary().Member == w.on.id {
			i.ackSentAt = max(i.ackSentAt, w.sentAt)
		}
		i.tracker.ObservePosition(w.on.id, w.p, w.sentAt)
		if s.leader.term > w.p.Term {
			s.check(s.leader, "passed on after a promotion", "")
		}
		return true
	})
}

// strictRead lets an instance read with strict consistency; see Group.choose.
func (s *termsSite) strictRead(i *termsInstance) {
	if s.now < i.frozenUntil {
		return
	}
	what, bounded, partly, bound := "read under a lease", false, false, position.Position{}
	if !i.tracker.Proven(s.now) {
		what = "read with a quorum"
		if bound, bounded, partly = s.confirm(i); partly {
			what = "read with a partial quorum"
		}
	}
	primary := i.tracker.Primary()
	after := i.tracker.LastPosition()
	if after.Term != primary.Term {
		after = position.Position{}
	}
	for _, id := range i.order {
		m := i.views[id].m
		switch {
		case !m.up || !s.reach(i.id, id):
		case id == primary.Member && i.tracker.Proven(s.now) && m.last().AtLeast(after):
			if s.counts.leased++; what != "read under a lease" {
				s.counts.confirmed++
			}
			s.check(m, what, fmt.Sprintf("%s takes %v for the primary", i.id, primary))
		case id != primary.Member && bounded && m.last().AtLeast(bound):
			s.counts.bounded++
			s.check(m, "read with a bound", fmt.Sprintf("%s requires %v", i.id, bound))
		}
	}
}
