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
	// back.
	left          bool
	unanswered    bool          // it did not answer the last control command
	statusPending bool          // a status query to the departed member is running
	goneAt        time.Duration // when evidence.Gone was last found
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
	watch      takeover.PauseWatch
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
	switch {
	case m.leavingSince == 0:
		m.leavingSince = g.cfg.Clock()
	case readAt-g.membersAsOf > maxMembersReadGap:
		// It may have been registered in between, and counted by others.
		m.leavingSince, m.departure = g.cfg.Clock(), takeover.Departure{}
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
		if !old.Draining {
			known.leavingSince = 0
		}
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
		fields := logrus.Fields{"event": "member_restarted", "member": id, "floor": known.catchUpFloor.String()}
		bound, _ := g.tracker.ReadPosition(0)
		if g.tracker.ObserveRestart(g.cfg.Clock()) {
			fields["dropped_bound"], fields["bound_age_ms"] = bound.Position.String(), (g.cfg.Clock() - bound.At).Milliseconds()
		}
		g.cfg.Log.WithFields(fields).Warn("member restarted without its log")
		g.signalRun()
	}
	if old.Started != m.Started || old.Address != m.Address {
		known.replacedAt = 0
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
			time.AfterFunc(countedRetention, func() { g.followMember(known) })
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
