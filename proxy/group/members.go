package group

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// goneAfter is how long an entry must be missing from consecutive readings
	// before its member is gone: entries that lapsed during an outage of the
	// store return within about 2 s of its end.
	goneAfter = 2500 * time.Millisecond
	// readingGap is the time without a reading of the members after which missing
	// entries may have lapsed while the store was away: their time starts anew.
	readingGap = 2200 * time.Millisecond
	// departedFor is how long a member that has left the register and does not
	// answer is kept while the primary serves: the other replicas then have every
	// commit that it acknowledged, unless they lag by more. A replica of the site
	// files lags by 2 s at most, if it hears anything.
	departedFor = 4 * time.Second
)

type member struct {
	*upstream.Upstream
	missing time.Duration // since when its entry is missing; 0 if present
	// departed means that it has left the register. It is kept until it is known
	// to have ended, because it may acknowledge commits until then.
	departed bool
	silent   bool // it did not answer the last order
	asking   bool // a departed member is being asked whether it still runs
	// rebornFloor is the position that it must reach after a restart without
	// its log before its log counts again; zero if it does not matter.
	rebornFloor position.Position
	// longest is its greatest position under the present lead.
	longest position.Position
}

// policy returns the policy for connections to a member.
func (g *Group) policy(m catalog.Member) quota.Limits {
	limit := g.service.Connections
	if sharers := g.cfg.Gateways.ConnectingInstances(m.ID, limit); sharers > 0 {
		return quota.ForGateway(limit, m.Slots, sharers)
	}
	return quota.ForInstance(limit, m.Slots, g.fleet.LoadShare())
}

// MembersMissing reports whether the lead or a member that is known is missing from
// the register; the group then needs each reading of the members, also one without
// changes.
func (g *Group) MembersMissing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lead := g.tracker.Leader().Member; lead != "" && g.members[lead] == nil {
		return true
	}
	for _, m := range g.members {
		if m.missing != 0 {
			return true
		}
	}
	return false
}

// UpdateMembers takes in a reading of the registered members, made at readAt.
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
	g.noteLeadEntry(all, readAt)
	g.membersRead = readAt
	g.broadcast()
}

// noteLeadEntry takes in whether a reading has an entry of the lead. g.mu is held.
func (g *Group) noteLeadEntry(all catalog.Members, readAt time.Duration) {
	lead := g.tracker.Leader().Member
	switch _, present := all[lead]; {
	case lead == "" || present:
		g.leadMissing = 0
	case g.leadMissing == 0 || readAt-g.membersRead > readingGap:
		g.leadMissing = readAt
	case readAt-g.leadMissing >= goneAfter:
		g.poke()
	}
}

// leadGone reports whether the lead has been missing in readings of the members
// for so long that it is gone. An instance that has just started knows the record
// before it has read the members, and entries may have lapsed.
func (g *Group) leadGone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leadMissing != 0 && g.membersRead-g.leadMissing >= goneAfter
}

// updateMissing judges a member whose entry is missing in a reading. g.mu is held.
func (g *Group) updateMissing(id string, m *member, sentAt time.Duration) {
	if m.missing == 0 || !m.departed && sentAt-g.membersRead > readingGap {
		m.missing = sentAt
	}
	if sentAt-m.missing >= goneAfter && !m.departed {
		m.departed = true
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_departed", "member": id, "missing_ms": (sentAt - m.missing).Milliseconds()}).Info("member left the register")
		g.poke()
	}
	if !m.departed || g.suspicion.since != 0 || id == g.tracker.Leader().Member {
		return
	}
	switch {
	case m.silent && sentAt-m.missing >= departedFor:
		g.drop(id, m, "primary_serves_without_it")
	case !m.asking:
		m.asking = true
		go g.askDeparted(m)
	}
}

// askDeparted finds out whether a member that has left the register still runs.
// It is asked again from its departure on, so that what is known of its silence
// when it is forgotten is no older than two time-outs.
func (g *Group) askDeparted(m *member) {
	status, gone := g.ask(m.Upstream, statement.Control{Kind: statement.GetStatus}, true)
	g.noteAnswer(m, status != nil, gone)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.asking = false
}

// drop forgets a member. g.mu is held.
func (g *Group) drop(id string, m *member, why string) {
	g.cfg.Log.WithFields(logrus.Fields{"event": "member_gone", "member": id, "reason": why}).Info("member is gone")
	delete(g.members, id)
	m.Close()
	g.poke()
}

func (g *Group) updateMember(id string, m catalog.Member, sentAt time.Duration) {
	known := g.members[id]
	if known == nil {
		known = &member{Upstream: upstream.New(m, g.policy(m), g.cfg.Dialer, g.cfg.Clock)}
		g.members[id] = known
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_joined", "member": id, "address": m.Address, "failure_domain": m.FailureDomain, "primary": m.Primary}).Info("member joined")
		g.poke()
	}
	old := known.Member()
	known.missing, known.departed = 0, false
	if old.Started != m.Started && old.Started != 0 {
		known.rebornFloor = g.tracker.LastPosition()
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_restarted", "member": id, "floor": known.rebornFloor.String()}).Warn("member restarted without its log")
		g.poke()
	}
	if m.Draining && !old.Draining {
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_draining", "member": id}).Info("member is leaving")
		g.poke()
	}
	known.Update(m, g.policy(m))
	if m.Primary && !m.Draining && g.tracker.Leader().Member == "" {
		if g.roleHint.Member != id {
			g.roleHint, g.roleSeen = leadership.Leader{Member: id}, sentAt
		}
		g.poke()
	}
}
