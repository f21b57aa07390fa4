package group

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// rosterDelay is how long the record waits for the members that join or leave soon after
	// the first one, which are then named by the same write. A member that joins counts after
	// memberSettleTime only.
	rosterDelay = 500 * time.Millisecond
	// rosterTurnInterval is the time between the turns of two instances to write the names.
	// The record stored by one instance is read by the next within 0.4 s.
	rosterTurnInterval = 500 * time.Millisecond
	// maxForgotten bounds the number of members that have left and are remembered, because a
	// record may still name them.
	maxForgotten = 4 * primacy.MaxNamedMembers
)

// roster is what the group knows of the members that its record names.
type roster struct {
	// names are those of the latest record that was proven in its era of the store.
	names     []primacy.NamedMember
	era       uint64        // era of that record
	forgotten []string      // members that were removed from the group, the latest last
	dueSince  time.Duration // when the record was first seen to need other names; 0 if it does not
	writing   bool
	// servedAt is when a member last reported that it is the primary of the present term.
	servedAt time.Duration
}

// forget remembers that a member was removed from the group.
func (r *roster) forget(id string) {
	r.remember(id)
	r.forgotten = append(r.forgotten, id)
	if len(r.forgotten) > maxForgotten {
		r.forgotten = slices.Delete(r.forgotten, 0, 1)
	}
}

// remember ends forget: the member is registered again.
func (r *roster) remember(id string) {
	r.forgotten = slices.DeleteFunc(r.forgotten, func(other string) bool { return other == id })
}

// observe handles the newest record, which was proven in its era. A member that it names anew
// has been seen by another instance since it was forgotten here, unless the store was restored.
func (r *roster) observe(record primacy.Record) {
	if era := record.Version.Era(); era == r.era && len(r.names) > 0 {
		for _, m := range record.Members {
			if !primacy.Names(r.names, m.ID) {
				r.remember(m.ID)
			}
		}
	}
	r.names, r.era = record.Members, record.Version.Era()
}

func (r *roster) isForgotten(id string) bool { return slices.Contains(r.forgotten, id) }

// named reports whether acknowledgements may rest on a member. g.mu is held.
func (g *Group) named(id string) bool { return primacy.Names(g.roster.names, id) }

// observeNames handles the members that the newest record names. g.mu is held.
func (g *Group) observeNames() {
	if r := g.tracker.Record(); r.Confirmed() {
		g.roster.observe(r)
	}
	for id, m := range g.members {
		switch {
		case len(g.roster.names) == 0 || !g.named(id):
			m.namedSince = 0
		case m.namedSince == 0:
			m.namedSince = g.cfg.Clock()
		}
	}
	g.addUnread()
}

// addUnread adds the members that the record names and that this instance has never read of:
// they may run behind a cut. Like those that it has read of and that have departed since, they
// are waited for until they are known to have stopped. g.mu is held.
func (g *Group) addUnread() {
	if g.lastMembersRead == 0 {
		return
	}
	named := g.tracker.Record().Members
	for id, m := range g.members {
		if m.unread && !primacy.Names(named, id) {
			g.removeMember(id, m, "no_longer_named")
			g.roster.remember(id) // it may be named again
		}
	}
	known := func(id string) bool { return g.members[id] != nil }
	for _, n := range takeover.UnreadMembers(named, known, g.roster.isForgotten) {
		now := g.cfg.Clock()
		// The number of its slots is not known.
		m := g.addMember(catalog.Member{ID: n.ID, Service: g.cfg.Service, Address: n.Address, FailureDomain: n.FailureDomain, Slots: 1})
		m.unread, m.departed, m.missingSince, m.leavingSince = true, true, now, now
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_unread", "member": n.ID, "address": n.Address}).Info("the record names a member that is not registered")
	}
}

// observeServing handles the status of a member. g.mu is held.
func (g *Group) observeServing(m *member, s takeover.Status) {
	if primary := g.tracker.Primary(); s.Primary && m.Member().ID == primary.Member && s.Term == primary.Term {
		g.roster.servedAt = g.cfg.Clock()
	}
}

// knownMembers returns the members for takeover.NextRoster. g.mu is held.
func (g *Group) knownMembers() []takeover.KnownMember {
	all := make([]takeover.KnownMember, 0, len(g.members))
	for _, m := range g.members {
		entry := m.Member()
		all = append(all, takeover.KnownMember{NamedMember: nameOf(entry), Registered: m.missingSince == 0, Draining: entry.Draining, Covered: m.departure.Covered() && g.confirmsNoQuorum(m)})
	}
	return all
}

func nameOf(m catalog.Member) primacy.NamedMember {
	return primacy.NamedMember{ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain}
}

// namesForClaim returns the members that the record r is to name with this holder's claim:
// also those that have joined, so that neither they nor a candidate need a write of their own.
// None is removed under a claim, and a record that names none stays so.
func (f *failover) namesForClaim(r primacy.Record) []primacy.NamedMember {
	g := f.g
	g.mu.Lock()
	defer g.mu.Unlock()
	names := r.Members
	if !r.Confirmed() {
		names = takeover.AddNames(names, g.keptNames())
	}
	if len(names) == 0 {
		return nil
	}
	var joined []primacy.NamedMember
	for id, m := range g.members {
		if m.missingSince == 0 && !m.Member().Draining || id == f.announced || id == f.called {
			joined = append(joined, nameOf(m.Member()))
		}
	}
	return takeover.AddNames(names, joined)
}

// namesOfConfirmed returns the members that the record is to name when it is written again
// because the members have confirmed its primary.
func (g *Group) namesOfConfirmed(r primacy.Record) []primacy.NamedMember {
	g.mu.Lock()
	defer g.mu.Unlock()
	next, _ := takeover.NextRoster(takeover.AddNames(r.Members, g.keptNames()), g.knownMembers(), g.roster.isForgotten)
	return next
}

// keptNames returns the named members of the last record that was proven, without those that
// have left since: a restored store may not name them. g.mu is held.
func (g *Group) keptNames() []primacy.NamedMember {
	return slices.DeleteFunc(slices.Clone(g.roster.names), func(m primacy.NamedMember) bool { return g.roster.isForgotten(m.ID) })
}

// updateRoster lets the record name the members that have joined, and no longer those that
// have left for good, if this instance's turn has come. It reports whether the names differ.
func (g *Group) updateRoster(ctx context.Context, primary primacy.Primary) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	record := g.tracker.Record()
	if g.service.AcknowledgedBy == 0 || record.Primary != primary || record.Claim != nil || !record.Confirmed() {
		g.roster.dueSince = 0
		return false
	}
	next, changed := takeover.NextRoster(record.Members, g.knownMembers(), g.roster.isForgotten)
	now := g.cfg.Clock()
	switch {
	case !changed:
		g.roster.dueSince = 0
		return false
	case g.roster.dueSince == 0:
		g.roster.dueSince = now
	}
	// Instances that serve alone all have the first turn.
	wait := rosterDelay + rand.N(claimJitter)
	if turn, announced := g.fleet.Precedence(g.cfg.Service); announced {
		wait += time.Duration(turn) * rosterTurnInterval
	} else {
		wait += unannouncedWait
	}
	m := g.members[primary.Member]
	blocked := g.roster.writing || m == nil || m.departed || m.Member().Draining || g.suspicion.firstFailureAt != 0 || now-g.membersAsOf > maxHolderListAge || g.failoverBlockedLocked() != ""
	if now >= g.roster.dueSince+wait && !blocked {
		g.roster.writing = true
		record.Members = next
		go g.writeRoster(ctx, record, m)
	}
	return true
}

// writeRoster stores the record with other names if its primary serves.
func (g *Group) writeRoster(ctx context.Context, r primacy.Record, primary *member) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.roster.writing, g.roster.dueSince = false, 0
		g.signalRun()
	}()
	status, _ := g.control(primary, statement.Control{Kind: statement.GetStatus}, false)
	if status == nil || !status.Primary || status.Term != r.Primary.Term {
		return
	}
	sentAt := g.cfg.Clock()
	fields := logrus.Fields{"event": "members_named", "members": len(r.Members)}
	version, storeNow, err := g.putRecord(ctx, r)
	if err != nil {
		fields["error"] = err.Error()
		g.cfg.Log.WithFields(fields).Info("names of the members were not recorded")
		return
	}
	r.Version = version
	g.UpdateRecord(r, g.timestamp(storeNow, sentAt))
	g.cfg.Log.WithFields(fields).Info("members that acknowledgements rest on recorded")
}
