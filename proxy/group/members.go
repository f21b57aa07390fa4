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
	// departedRetention is how long a member that is no longer registered and does not
	// answer is kept, while the primary serves, after it was first seen to leave or to be
	// missing. Until then an instance may count it for acknowledgements; see maxCountedAge.
	departedRetention = 7 * time.Second
	// minMissingTime is how long its entry must be missing in any case. The other replicas then
	// have every commit that it acknowledged, unless they lag by more. In the users' site
	// files (see deploy/compare), a replica that receives anything lags by 2 s at most.
	minMissingTime = 4 * time.Second
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
	// departed means that it is no longer registered. It is kept until it is known
	// to have stopped, because it may acknowledge commits until then.
	departed bool
	// unread means that this instance knows it from the record only.
	unread bool
	// left means that it has ended its registration itself, so that its log does not come
	// back. leftUnanswered means that it has not answered since on a new connection either.
	left, leftUnanswered bool
	unanswered           bool // it did not answer the last control command
	statusPending        bool // a status query to the departed member is running
	// resumeLostAt is when a RESUME that was sent to it last got no answer.
	resumeLostAt time.Duration
	// catchUpFloor is the position that it must reach after a restart without its log
	// before its log counts again; zero if none.
	catchUpFloor position.Position
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
	// The suspicion keeps members that were cut off together with the primary.
	if !m.left && (!m.departed || g.suspicion.firstFailureAt != 0) || id == g.tracker.Primary().Member {
		return
	}
	switch {
	case g.forgetLeft(id, m):
	case m.unanswered && readAt-m.missingSince >= minMissingTime && readAt-m.leavingSince >= departedRetention && g.servesWithout(m):
		g.removeMember(id, m, "primary_serves_without_it")
	case !m.statusPending:
		m.statusPending = true
		go g.probeDeparted(m)
	}
}

// probeDeparted checks whether a departed member still runs. It is called repeatedly
// from the departure on, so that a member is not removed because of an unanswered
// query that is older than two timeouts.
func (g *Group) probeDeparted(m *member) {
	g.mu.Lock()
	left := m.left
	g.mu.Unlock()
	g.askServing(m)
	entry := m.Member()
	status, gone := g.control(m, statement.Control{Kind: statement.GetStatus}, true)
	g.recordAnswer(m, entry, status != nil, gone)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.statusPending = false
	m.leftUnanswered = left && m.left && status == nil
	if id := m.Member().ID; g.members[id] == m {
		g.forgetLeft(id, m)
	}
}

// forgetLeft removes a member that has left and does not answer, and reports whether it did:
// its process has ended. Until departedRetention is over, an instance may have counted it for
// an acknowledgement, which the other replicas then need time to receive. g.mu is held.
func (g *Group) forgetLeft(id string, m *member) bool {
	if !m.leftUnanswered || id == g.tracker.Primary().Member || g.cfg.Clock()-m.leavingSince < departedRetention {
		return false
	}
	g.removeMember(id, m, "left")
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
	known.missingSince, known.departed, known.left, known.leftUnanswered = 0, false, false, false
	// A restored store shows registrations that have been replaced since. A member does
	// not become an earlier incarnation again, nor does it stop leaving.
	if slices.Contains(known.formerStarts, m.Started) {
		return
	}
	m.Draining = m.Draining || old.Draining && old.Started == m.Started
	if old.Started != m.Started && old.Started != 0 {
		known.formerStarts = append(known.formerStarts, old.Started)
		known.catchUpFloor = g.primaryPosition()
		known.knownSince, known.evidence = g.cfg.Clock(), takeover.Evidence{}
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_restarted", "member": id, "floor": known.catchUpFloor.String()}).Warn("member restarted without its log")
		g.signalRun()
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
