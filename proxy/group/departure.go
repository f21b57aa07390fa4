package group

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// countedRetention is the time after which no instance counts a member for acknowledgements
	// that this one has first seen to leave or to be missing; see maxCountedAge. It is shorter than
	// members serve after their reports, so that the others can be asked before one ends.
	countedRetention = 6100 * time.Millisecond
	// departedRetention is the time after which no instance finds a quorum with such a member; see
	// maxQuorumListAge.
	departedRetention = 7 * time.Second
	// departureAskers is the number of instances that ask the remaining members at a time
	// whether they have the commits of a departed one.
	departureAskers = 3
	// departureTurn is how long these instances ask before others do. A departed member is looked
	// at after each reading of the members, 1 s apart at most.
	departureTurn = time.Second
	// maxGoneGap is the time between two refused connections within which a process of the member
	// is taken not to have run. A departed member is asked every second.
	maxGoneGap = 1500 * time.Millisecond
	// followInterval separates two attempts to find out whether the remaining members have the
	// commits of one that leaves or has restarted. The record, which has to be read first, is read
	// every 0.4 s.
	followInterval = 200 * time.Millisecond
	// drainMargin covers the queue for a member and the way to it.
	drainMargin = 300 * time.Millisecond
)

// SetLeaving sets since when the members that leave do, with times of this instance. It must be called
// before UpdateMembers with the list that shows it. The map is not modified any more.
func (g *Group) SetLeaving(all catalog.Leaving) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = all
}

// SetDrainTime replaces Config.DrainTime.
func (g *Group) SetDrainTime(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.DrainTime = d
}

// takesStatements reports whether a member that leaves may still be sent statements: it may end at any
// time after its drain time. If it is not known since when it leaves, it may end at once. g.mu is held.
func (g *Group) takesStatements(m *member) bool {
	entry := m.Member()
	if g.cfg.DrainTime == 0 || !entry.Draining {
		return true
	}
	report, known := g.leaving[entry.ID]
	return known && report.Started == entry.Started && g.cfg.Clock() < report.Since+g.cfg.DrainTime-drainMargin
}

// probeDeparted checks whether a departed member still runs and, if it does not answer, whether
// the remaining ones have its commits. It is called repeatedly from the departure on.
func (g *Group) probeDeparted(m *member) {
	entry := m.Member()
	status, gone := g.control(m, statement.Control{Kind: statement.GetStatus}, true)
	g.recordAnswer(m, entry, status != nil, gone)
	g.askRemaining(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.statusPending = false
}

// askRemaining asks the primary and then the replicas for their logs, if that may show that they have
// the commits of a member which has departed or restarted, and it is this instance's turn.
func (g *Group) askRemaining(m *member) {
	g.mu.Lock()
	primaryID, readAt := g.tracker.Primary().Member, g.lastRecordsRead.Earliest
	primary := g.members[primaryID]
	awaited := m.departure.AwaitsAnswers(readAt) || m.restart.AwaitsAnswers(readAt)
	due := awaited && g.members[m.Member().ID] == m && primary != nil && primary != m && !primary.departed && g.asksRemaining()
	g.mu.Unlock()
	if !due {
		return
	}
	if status, _ := g.control(primary, statement.Control{Kind: statement.GetStatus}, false); status == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.departure.AwaitsAnswers(readAt) && !m.restart.AwaitsAnswers(readAt) {
		return
	}
	for id, r := range g.members {
		if id != primaryID && !r.departed && !r.asking {
			r.asking = true
			go g.askReplica(r)
		}
	}
}

// asksRemaining reports whether it is this instance's turn to ask the remaining members. The others
// learn from the record that the member is no longer named. All have turns, because some may be cut off
// from the primary. g.mu is held.
func (g *Group) asksRemaining() bool {
	size := g.fleet.Size()
	if size <= claimTurnsAbove {
		return true
	}
	turn, announced := g.fleet.Precedence(g.cfg.Service)
	turns := (size + departureAskers - 1) / departureAskers
	return announced && int(g.storeTime()/departureTurn)%turns == turn/departureAskers
}

// observeRemaining handles what a status shows of the departures and restarts of other members. g.mu is
// held.
func (g *Group) observeRemaining(m *member, s takeover.Status, sentAt time.Duration) {
	primary := g.tracker.Primary()
	leads := m.Member().ID == primary.Member && s.Primary && s.Term == primary.Term && g.tracker.Undisputed()
	for id, other := range g.members {
		if other == m || !other.departure.Begun() && !other.restart.Begun() {
			continue
		}
		if at := min(sentAt, g.lastRecordsRead.Earliest); leads {
			other.departure.ObservePrimary(s.Received, at)
			other.restart.ObservePrimary(s.Received, at)
		}
		g.observeStatements(&other.departure)
		for replicaID, r := range g.members {
			if r != other && replicaID != primary.Member && g.stays(r) {
				other.departure.ObserveReplica(r.evidence.Log())
			}
		}
		g.forgetDeparted(id, other)
	}
}

// stays reports whether the log of a replica may replace that of a departed member: every instance knows
// it, and it does not depart itself. g.mu is held.
func (g *Group) stays(m *member) bool {
	return m.leavingSince == 0 && g.named(m.Member().ID) && g.settled(m)
}

// observeStatements handles what the answers of the proven primary to statements show of a departure or
// restart: under load, they tell its position without a query. g.mu is held.
func (g *Group) observeStatements(d *takeover.Departure) {
	if w, ok := g.tracker.OldestWatermark(d.Since()); ok {
		d.ObservePrimary(w.Position, w.At)
	}
}

// observeRestarted handles the status of a member that has restarted without its log. That counts again
// once it has reached what the primary has reported since, or if the member was promoted since. g.mu is held.
func (g *Group) observeRestarted(m *member, s takeover.Status) {
	if !m.logLost() || !s.Received.AtLeast(m.catchUpFloor) {
		return
	}
	g.observeStatements(&m.restart)
	m.restart.ObserveReplica(s.Received)
	primary, record := g.tracker.Primary(), g.tracker.Record()
	promoted := m.Member().ID == primary.Member && primary.Term > m.restartTerm && s.Primary && s.Term == primary.Term
	if promoted && (record.Primary != primary || s.Received.AtLeast(record.PromotedAt)) || m.restart.Covered() {
		m.restart = takeover.Departure{}
	}
}

// logLost reports whether the log of a member says nothing about commits from before its restart.
// g.mu is held.
func (m *member) logLost() bool { return m.restart.Begun() }

// leavingFor returns for how long a member has left or been missing, 0 if it has not. While no list is
// read, one that was missing may be registered again, and counted at once by those who have not noticed.
// One that leaves does so for good; another process of it is counted after memberSettleTime. g.mu is held.
func (g *Group) leavingFor(m *member) time.Duration {
	now, until := g.cfg.Clock(), g.membersAsOf
	if m.Member().Draining && now-until < memberSettleTime {
		until = now
	}
	if m.leavingSince == 0 || until < m.leavingSince {
		return 0
	}
	return until - m.leavingSince
}

// uncounted reports whether no instance counts a member for acknowledgements, because it has left or
// been missing for longer than any list is used. g.mu is held.
func (g *Group) uncounted(m *member) bool { return g.leavingFor(m) >= countedRetention }

// confirmsNoQuorum reports whether no instance finds a quorum by the answer of a member: it has ended, or
// each list that is used for quorums lacks it or shows that it leaves. g.mu is held.
func (g *Group) confirmsNoQuorum(m *member) bool {
	return m.evidence.Gone || m.left || g.leavingFor(m) >= departedRetention
}

// observeGone notes that a member's process does not run. Unless it is asked often, another one may
// have run since the last time, and others may have counted it. g.mu is held.
func (g *Group) observeGone(m *member) {
	now := g.cfg.Clock()
	if now-m.goneAt > maxGoneGap && !g.uncounted(m) {
		m.departure = takeover.Departure{}
	}
	m.goneAt = now
}

// trackDeparture begins the departure of a member once nothing rests on it any more, or on its process,
// which has ended; it ends that of one whose process may run again. g.mu is held.
func (g *Group) trackDeparture(m *member) {
	now := g.cfg.Clock()
	gone := m.evidence.Gone && now-m.goneAt <= maxGoneGap
	switch uncounted := g.uncounted(m); {
	case !uncounted && !gone || g.mayBePromoted(m):
		m.departure = takeover.Departure{}
	case uncounted && !gone && m.departure.Since() < m.leavingSince+countedRetention:
		m.departure = takeover.Departure{}
		m.departure.Begin(now)
	default:
		m.departure.Begin(now)
	}
}

// mayBePromoted reports whether the record names a member as one that may lead next, so that commits may be
// passed on because it has them, whoever counts it. g.mu is held.
func (g *Group) mayBePromoted(m *member) bool {
	id, record := m.Member().ID, g.tracker.Record()
	return record.Claim != nil && (id == record.Claim.Candidate || id == record.Claim.Called) || slices.Contains(g.mayLead(), id)
}

// followMember finds out whether the remaining members have the commits of one that leaves before it
// has ended, as the primary may fail right after that, and whether one that has restarted has them.
func (g *Group) followMember(m *member) {
	g.mu.Lock()
	known, leaves := g.running && g.members[m.Member().ID] == m, m.Member().Draining
	if known && leaves {
		g.trackDeparture(m)
	}
	g.mu.Unlock()
	if !known {
		return
	}
	g.askRemaining(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case leaves && m.departure.Covered() && !m.logLost() && g.confirmsNoQuorum(m):
		g.signalRun()
	case leaves || m.logLost():
		time.AfterFunc(followInterval, func() { g.followMember(m) })
	}
}

// forgetDeparted removes a departed member that does not answer once the remaining ones are known
// to have each acknowledged commit that may rest on it, and reports whether it did: this instance has
// seen their logs, the record, read since, names it no longer because another one has, or a member has
// its log. g.mu is held.
func (g *Group) forgetDeparted(id string, m *member) bool {
	if !m.left && !m.departed || !m.unanswered || !g.confirmsNoQuorum(m) || id == g.tracker.Primary().Member {
		return false
	}
	g.trackDeparture(m)
	dropped := !g.named(id) && g.lastRecordsRead.Earliest >= m.leavingSince
	onPrimaryOnly := g.service.AcknowledgedBy == 0 && m.departure.Begun()
	switch {
	case !m.departure.Covered() && !dropped && !onPrimaryOnly:
		return false
	case dropped:
		g.removeMember(id, m, "no_longer_named")
	case m.left:
		g.removeMember(id, m, "left")
	case m.evidence.Gone:
		g.removeMember(id, m, "not_running")
	default:
		g.removeMember(id, m, "silent")
	}
	return true
}

// removeMember removes a member from the group. g.mu is held.
func (g *Group) removeMember(id string, m *member, reason string) {
	now, primary := g.cfg.Clock(), g.tracker.Primary()
	fields := logrus.Fields{"event": "member_gone", "member": id, "reason": reason, "lead": primary.Member, "term": primary.Term, "leaving_ms": (now - m.leavingSince).Milliseconds(),
		"last_log": m.evidence.Log().String(), "remaining": g.remainingLogs(id), "suspected": g.suspicion.firstFailureAt != 0, "claimed": g.tracker.ReplacementClaimed()}
	if floor, ok := m.departure.Floor(); ok {
		fields["required"] = floor.String()
	}
	if other := g.runsAtAddressOf(m); other != "" {
		fields["address_taken_by"] = other
	}
	if g.roster.servedAt != 0 {
		fields["lead_served_ms"] = (now - g.roster.servedAt).Milliseconds()
	}
	g.cfg.Log.WithFields(fields).Info("member removed")
	g.cfg.Metrics.CountForgottenMember(reason)
	delete(g.members, id)
	g.roster.forget(id)
	g.health.remove(id)
	m.Close()
	g.signalRun()
}

// runsAtAddressOf returns the registered member that has the address of another one; empty if there is none. g.mu is held.
func (g *Group) runsAtAddressOf(m *member) string {
	for id, other := range g.members {
		if other != m && other.missingSince == 0 && other.Member().Address == m.Member().Address {
			return id
		}
	}
	return ""
}

// remainingLogs formats where the logs of the members but one ended in their last answers, for the log.
// g.mu is held.
func (g *Group) remainingLogs(without string) (all []string) {
	for id, m := range g.members {
		if id == without {
			continue
		}
		text := id + " " + m.evidence.Log().String()
		if m.unanswered {
			text += " no answer"
		}
		all = append(all, text)
	}
	slices.Sort(all)
	return all
}
