package group

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// missingEntryTimeout is how long an entry must be missing from consecutive reads
	// of the registered members before its member counts as departed: entries that
	// expired during an outage of the store return within about 2 s of its end.
	missingEntryTimeout = 2500 * time.Millisecond
	// maxMembersReadGap is the time between two reads of the members above which a
	// missing entry may have expired during an outage of the store. Its
	// missingEntryTimeout then starts again.
	maxMembersReadGap = 2200 * time.Millisecond
	// departedRetention is the time after which no instance counts a member for acknowledgements
	// that this one has first seen to leave or to be missing; see maxCountedAge.
	departedRetention = 7 * time.Second
	// departureAskers is the number of instances that ask the remaining members at a time
	// whether they have the commits of a departed one.
	departureAskers = 3
	// departureTurn is how long these instances ask before others do. A departed member is looked
	// at after each reading of the members, 1 s apart at most.
	departureTurn = time.Second
	// followInterval separates two attempts to find out whether the remaining members have the
	// commits of one that leaves or has restarted. The record, which has to be read first, is read
	// every 0.4 s.
	followInterval = 200 * time.Millisecond
)

// startQuotaPeriod is the time after the start of a group during which this instance uses
// the smaller quota of a gateway that has just started: members count the connections of
// instances that lost power for 3 s more.
const startQuotaPeriod = 3500 * time.Millisecond

// endStartQuota raises the quotas of all members once startQuotaPeriod is over.
func (g *Group) endStartQuota() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		entry := m.Member()
		m.Update(entry, g.connLimits(entry))
	}
}

// member is a registered or departed member of the group.
type member struct {
	*upstream.Upstream
	missingSince time.Duration // first read without its entry; 0 if it is registered
	leavingSince time.Duration // when it was first seen to be leaving or missing; 0 if it is neither
	reportedAt   time.Duration // no later than its report that it leaves, unless the store could not be read; 0 if it does not leave
	// departed means that it is no longer registered. It is kept until it is known
	// to have stopped, because it may acknowledge commits until then.
	departed bool
	// unread means that this instance knows it from the record only.
	unread bool
	// left means that it has ended its registration itself, so that its log does not come
	// back.
	left          bool
	unanswered    bool // it did not answer the last control command
	statusPending bool // a status query to the departed member is running
	// replacedAt is when another member or service last answered at its address; 0 if none has.
	replacedAt time.Duration
	departure  takeover.Departure
	// resumeLostAt is when a RESUME that was sent to it last got no answer.
	resumeLostAt time.Duration
	// restart tracks whether it has the commits that rested on its log before it has restarted
	// without it. catchUpFloor is a position that the primary of restartTerm had reached then; zero if
	// none was known.
	restart      takeover.Departure
	catchUpFloor position.Position
	restartTerm  uint64
	// formerStarts are the values of catalog.Member.Started of its former incarnations.
	formerStarts []int64
	// maxPosition is its highest position under the present primary.
	maxPosition position.Position
	// knownSince is the local time since which it has been registered, in this incarnation.
	knownSince time.Duration
	namedSince time.Duration // since when the record has named it; 0 if it does not
	evidence   takeover.Evidence
	watch      pauseWatch
	runsSince  time.Duration // since when the process of its last answer is known to run
	asking     bool          // a status query for an acknowledgement is due or running
	askedAt    time.Duration // start of the last one
}

// drainMargin covers the queue for a member and the way to it.
const drainMargin = 300 * time.Millisecond

// takesStatements reports whether a member that leaves may still be sent statements: it may end at any
// time after its drain time. g.mu is held.
func (g *Group) takesStatements(m *member) bool {
	return g.cfg.DrainTime == 0 || m.reportedAt == 0 || g.cfg.Clock() < m.reportedAt+g.cfg.DrainTime-drainMargin
}

// connLimits returns this instance's quota of a member's connections and slots. g.mu is
// held.
func (g *Group) connLimits(m catalog.Member) quota.Limits {
	limits := g.cfg.Gateways.Limits(m, g.service.Connections, g.fleet.LoadShare())
	if g.cfg.Clock()-g.startedAt < startQuotaPeriod && g.cfg.Gateways.ConnectingInstances(m, g.service.Connections) > 0 {
		return limits.AtStart()
	}
	return limits
}

// MembersMissing reports whether the primary or a known member is not registered. The
// group then needs every read of the members, even if it shows no change.
func (g *Group) MembersMissing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if primary := g.tracker.Primary().Member; primary != "" && g.members[primary] == nil {
		return true
	}
	for _, m := range g.members {
		if m.missingSince != 0 {
			return true
		}
	}
	return false
}

// UpdateMembers handles a read of the registered members, made at readAt.
func (g *Group) UpdateMembers(all catalog.Members, readAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, m := range all {
		if m.Service == g.cfg.Service {
			g.updateMember(id, m, readAt)
		}
	}
	for id, m := range g.members {
		if entry, ok := all[id]; ok && entry.Service == g.cfg.Service {
			continue
		}
		g.updateMissing(id, m, readAt)
	}
	g.observePrimaryEntry(all, readAt)
	g.lastMembersRead, g.membersAsOf = readAt, max(g.membersAsOf, readAt)
	g.addUnread()
	g.broadcast()
}

// ObserveDepartures handles the latest departures of members. It must be called before
// UpdateMembers with the read that lacks them.
func (g *Group) ObserveDepartures(left catalog.Departures) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, m := range g.members {
		started, ok := left[id]
		m.left = m.left || ok && started == m.Member().Started
	}
}

// ObserveMembersRead handles a read of the members at readAt, of which UpdateMembers need
// not be told if it shows no change.
func (g *Group) ObserveMembersRead(readAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.membersAsOf = max(g.membersAsOf, readAt)
}

// observePrimaryEntry records whether the primary is registered, and wakes Run if it
// has been missing for missingEntryTimeout. g.mu is held.
func (g *Group) observePrimaryEntry(all catalog.Members, readAt time.Duration) {
	primary := g.tracker.Primary().Member
	switch _, present := all[primary]; {
	case primary == "" || present:
		g.primaryMissingSince = 0
	case g.primaryMissingSince == 0 || readAt-g.lastMembersRead > maxMembersReadGap:
		g.primaryMissingSince = readAt
	case readAt-g.primaryMissingSince >= missingEntryTimeout:
		g.signalRun()
	}
}

// primaryGone reports whether the primary has been missing from reads of the members
// for missingEntryTimeout. A single read without it proves nothing: an instance that
// has just started knows the record before it has read the members, and entries
// expire during an outage of the store.
func (g *Group) primaryGone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryMissingSince != 0 && g.lastMembersRead-g.primaryMissingSince >= missingEntryTimeout
}

// updateMissing handles a member whose entry is missing from a read. g.mu is held.
func (g *Group) updateMissing(id string, m *member, readAt time.Duration) {
	if m.missingSince == 0 || !m.departed && readAt-g.lastMembersRead > maxMembersReadGap {
		m.missingSince = readAt
	}
	if m.leavingSince == 0 {
		m.leavingSince = g.cfg.Clock()
	}
	if readAt-m.missingSince >= missingEntryTimeout && !m.departed {
		m.departed = true
		g.health.remove(id)
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_departed", "member": id, "missing_ms": (readAt - m.missingSince).Milliseconds()}).Info("member is no longer registered")
		g.signalRun()
	}
	if !m.left && !m.departed || id == g.tracker.Primary().Member {
		return
	}
	if !g.forgetDeparted(id, m) && !m.statusPending {
		m.statusPending = true
		go g.probeDeparted(m)
	}
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
	turn, announced := g.fleet.Precedence(g.cfg.Service)
	if turns := (g.fleet.Size() + departureAskers - 1) / departureAskers; g.fleet.Size() > claimTurnsAbove {
		return announced && int(g.storeTime()/departureTurn)%turns == turn/departureAskers
	}
	return true
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
			if r != other && replicaID != primary.Member && g.named(replicaID) && g.settled(r) {
				other.departure.ObserveReplica(r.evidence.Log())
			}
		}
		g.forgetDeparted(id, other)
	}
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

// uncounted reports whether no instance counts a member for acknowledgements, because it has left or
// been missing for longer than any list is used. g.mu is held.
func (g *Group) uncounted(m *member) bool {
	return m.leavingSince != 0 && g.cfg.Clock()-m.leavingSince >= departedRetention
}

// beginDeparture notes that nothing rests on a member any more, or on its process, which has ended.
// g.mu is held.
func (g *Group) beginDeparture(m *member) {
	if m.evidence.Gone || g.uncounted(m) {
		m.departure.Begin(g.cfg.Clock())
	}
}

// followMember finds out whether the remaining members have the commits of one that leaves before it
// has ended, as the primary may fail right after that, and whether one that has restarted has them.
func (g *Group) followMember(m *member) {
	g.mu.Lock()
	known, leaves := g.running && g.members[m.Member().ID] == m, m.Member().Draining
	if known && leaves {
		g.beginDeparture(m)
	}
	g.mu.Unlock()
	if !known {
		return
	}
	g.askRemaining(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case leaves && m.departure.Covered() && !m.logLost():
		g.signalRun()
	case leaves || m.logLost():
		time.AfterFunc(followInterval, func() { g.followMember(m) })
	}
}

// replaced reports whether a member has ended and another one, which every instance knows, runs at its
// address: the platform hands the log of a database to the one that it starts there. g.mu is held.
func (g *Group) replaced(m *member) bool {
	if m.replacedAt == 0 || !m.evidence.Gone {
		return false
	}
	for id, other := range g.members {
		if other != m && other.missingSince == 0 && other.Member().Address == m.Member().Address && !other.logLost() && g.named(id) && g.settled(other) {
			return true
		}
	}
	return false
}

// forgetDeparted removes a departed member that does not answer once the remaining ones are known
// to have each acknowledged commit that may rest on it, and reports whether it did: this instance has
// seen their logs, the record, read since, names it no longer because another one has, or a member has
// its log. g.mu is held.
func (g *Group) forgetDeparted(id string, m *member) bool {
	if !m.left && !m.departed || !m.unanswered || id == g.tracker.Primary().Member {
		return false
	}
	g.beginDeparture(m)
	dropped := !g.named(id) && g.lastRecordsRead.Earliest >= m.leavingSince
	onPrimaryOnly := g.service.AcknowledgedBy == 0 && m.departure.Begun()
	replaced := g.replaced(m)
	switch {
	case !m.departure.Covered() && !dropped && !onPrimaryOnly && !replaced:
		return false
	case replaced:
		g.removeMember(id, m, "replaced")
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

// addMember adds a member that is not known yet. g.mu is held.
func (g *Group) addMember(m catalog.Member) *member {
	added := &member{Upstream: upstream.New(m, g.connLimits(m), g.cfg.Dialer, g.cfg.Clock)}
	added.SetPoolCounters(g.cfg.PoolCounters)
	added.SetQueueMetrics(g.cfg.QueueMetrics)
	added.SetProfile(g.expectedProfile())
	added.knownSince = g.cfg.Clock()
	g.members[m.ID] = added
	return added
}

// updateMember handles the entry of a registered member. g.mu is held.
func (g *Group) updateMember(id string, m catalog.Member, readAt time.Duration) {
	known := g.members[id]
	joined := known == nil || known.departed
	g.roster.remember(id)
	if known == nil || known.unread {
		if known == nil {
			known = g.addMember(m)
		}
		known.unread = false
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_joined", "member": id, "address": m.Address, "failure_domain": m.FailureDomain, "primary": m.Primary}).Info("member joined")
		g.signalRun()
	}
	old := known.Member()
	if known.missingSince != 0 {
		// Others may have forgotten it meanwhile.
		known.knownSince, known.evidence = g.cfg.Clock(), takeover.Evidence{}
	}
	if known.missingSince != 0 || !g.uncounted(known) {
		known.departure = takeover.Departure{}
	}
	known.missingSince, known.departed, known.left = 0, false, false
	// A restored store shows registrations that have been replaced since. A member does
	// not become an earlier incarnation again, nor does it stop leaving.
	if slices.Contains(known.formerStarts, m.Started) {
		return
	}
	m.Draining = m.Draining || old.Draining && old.Started == m.Started
	if old.Started != m.Started && old.Started != 0 {
		known.formerStarts = append(known.formerStarts, old.Started)
		known.restart, known.catchUpFloor, known.restartTerm = takeover.Departure{}, g.primaryPosition(), g.tracker.Primary().Term
		known.restart.Begin(g.cfg.Clock())
		time.AfterFunc(followInterval, func() { g.followMember(known) })
		known.knownSince, known.evidence, known.departure = g.cfg.Clock(), takeover.Evidence{}, takeover.Departure{}
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_restarted", "member": id, "floor": known.catchUpFloor.String()}).Warn("member restarted without its log")
		g.signalRun()
	}
	if old.Started != m.Started || old.Address != m.Address {
		known.replacedAt = 0
	}
	switch {
	case !m.Draining:
		known.reportedAt = 0
	case old.Draining:
	case joined:
		known.reportedAt = readAt
	default:
		known.reportedAt = max(g.membersAsOf, readAt-maxHolderListAge)
	}
	if m.Draining && !old.Draining {
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_draining", "member": id}).Info("member is draining")
		g.signalRun()
	}
	switch {
	case !m.Draining:
		known.leavingSince = 0
	case known.leavingSince == 0:
		known.leavingSince = g.cfg.Clock()
		if g.service.AcknowledgedBy > 0 {
			time.AfterFunc(departedRetention, func() { g.followMember(known) })
		}
	}
	known.Update(m, g.connLimits(m))
	g.observeMemberStart(known, old, m, joined)
	if m.Primary && !m.Draining && g.tracker.Primary().Member == "" {
		if g.selfReported.Member != id {
			g.selfReported, g.selfReportedAt = primacy.Primary{Member: id}, readAt
		}
		g.signalRun()
	}
}
