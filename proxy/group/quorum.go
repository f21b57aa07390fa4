package group

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// roundInterval limits the rate of quorum rounds while the store is unreachable:
	// a status takes one of the member's slots for about 0.5 ms.
	roundInterval = 40 * time.Millisecond
	// roundGateways is the number of gateways of a primary, one for each failure domain, up
	// to which each runs rounds at roundInterval; with more of them, each runs them half as
	// often. All gateways of six failure domains then take 4% of a slot.
	roundGateways = 3
	// statusTimeout limits the wait for a member's answer to a control command. A
	// status waits for a slot behind up to 18 statements of 9 ms on two slots.
	statusTimeout = 250 * time.Millisecond
	// maxCommitEvidenceAge is the age up to which an acknowledged commit replaces the
	// answers of members that do not answer a round. Leases expire 1 s after the
	// store is lost; commits within that second keep the service available.
	maxCommitEvidenceAge = 1200 * time.Millisecond
	// maxMembersAge is the age of the last read of the members up to which all are known
	// that an instance counts for acknowledgements, which it does memberSettleTime after
	// it has read of them.
	maxMembersAge = memberSettleTime - 300*time.Millisecond
	// maxQuorumListAge is the age of the list of members up to which a quorum may do without the
	// answers of some. Others rely on that from departedRetention after a member was missing from
	// theirs, or said there that it leaves.
	maxQuorumListAge = departedRetention - 500*time.Millisecond
	// quorumSize is the number of members in a quorum: the primary and one replica.
	quorumSize = 2
	// replacedInterval separates two commands to a member at whose address another one has
	// answered: each would take a connection and a slot of that one.
	replacedInterval = time.Second
	// stragglerTimeout is how long to wait for members that probably do not serve
	// after the others have answered; a live member answers in 5 ms.
	stragglerTimeout = 20 * time.Millisecond
)

// Confirmation is the result of a quorum round: status queries to all members.
type Confirmation struct {
	// Primary is the primary that the round was to confirm, and Received the last
	// position of its log; zero if it did not report itself primary.
	Primary  primacy.Primary   `json:"lead"`
	Received position.Position `json:"received"`
	// Confirmed means that a quorum of members confirms the primary.
	Confirmed bool `json:"confirmed"`
	// AckBound is a read position: an upper bound of the positions of all writes
	// acknowledged before the round. It is valid if HasAckBound is set.
	AckBound    position.Position `json:"covered"`
	HasAckBound bool              `json:"covers,omitempty"`
	// LaterPrimary is a primary of a later term that the members report, if any.
	LaterPrimary primacy.Primary `json:"later"`
	// Answers are those that the result relies on, for the log; nil if they are not known.
	Answers *RoundAnswers `json:"answers,omitempty"`
}

// quorumRounds coalesces concurrent requests for a quorum round.
type quorumRounds struct {
	running      bool
	startedAt    time.Duration
	failed       int // rounds without a quorum so far
	inconclusive int // rounds with neither a quorum nor an AckBound so far
	// acked is the position up to which this instance had passed on acknowledgements when the
	// present round began.
	acked position.Position
	// last is the result of the last round of this instance, which began at
	// lastStartedAt.
	last          Confirmation
	lastStartedAt time.Duration
	// confirmedBy and boundBy are those of the last round that confirmed the primary, and of
	// the one with the present bound.
	confirmedBy, boundBy *round
}

// startRound starts a quorum round, at the primary's gateway if it has one, unless a
// round is running. g.mu is held.
func (g *Group) startRound() { g.runRound(g.confirmByGateway) }

// runRound starts a round, no earlier than roundInterval after the last one, unless
// a round is running. g.mu is held.
func (g *Group) runRound(ask func(primary primacy.Primary, sentAt time.Duration)) {
	if g.rounds.running {
		return
	}
	g.rounds.running = true
	interval := roundInterval
	if g.cfg.Gateways.ConnectingInstances(g.memberEntry(g.tracker.Primary().Member), g.service.Connections) > roundGateways {
		interval *= 2
	}
	delay := max(g.rounds.startedAt+interval-g.cfg.Clock(), 0)
	go func() {
		time.Sleep(delay)
		g.mu.Lock()
		primary := g.tracker.Primary()
		g.rounds.startedAt, g.rounds.acked = g.cfg.Clock(), g.ackedPosition
		sentAt := g.rounds.startedAt
		g.mu.Unlock()
		ask(primary, sentAt)
	}()
}

// maxConfirmGateways is the number of gateways of each failure domain that are asked for one
// quorum round.
const maxConfirmGateways = 2

// confirmByGateway lets the primary's gateway run a round, or the next one if that does not
// answer. Only an instance that connects to the primary runs it here. If no gateway answers
// or is available, the round has confirmed nothing: rounds by 91 instances without gateways
// exceeded the connection limits of the members.
func (g *Group) confirmByGateway(primary primacy.Primary, sentAt time.Duration) {
	for outside, inside := 0, 0; outside < maxConfirmGateways && inside < maxConfirmGateways; {
		gw, err := g.primaryGateway(primary)
		if err != nil {
			break
		}
		if gw == nil {
			g.confirmByMembers(primary, sentAt)
			return
		}
		if c, err := gw.Confirm(g.cfg.Service); err == nil {
			g.finishRound(c, sentAt)
			return
		}
		// The gateways in the primary's failure domain are followed by those in this one.
		if gw.Outside() {
			outside++
		} else {
			inside++
		}
	}
	g.finishRound(Confirmation{Primary: primary}, sentAt)
}

// primaryGateway returns the gateway of the primary, or nil if this instance connects to the
// primary directly. The error is that of Gateways.
func (g *Group) primaryGateway(primary primacy.Primary) (Gateway, error) {
	g.mu.Lock()
	limit := g.service.Connections
	entry := g.memberEntry(primary.Member)
	g.mu.Unlock()
	return g.cfg.Gateways.Gateway(g.cfg.Service, entry, true, limit)
}

// memberEntry returns the entry of a member; that of an unknown one has only its ID. g.mu is
// held.
func (g *Group) memberEntry(id string) catalog.Member {
	if m := g.members[id]; m != nil {
		return m.Member()
	}
	return catalog.Member{ID: id}
}

// Confirm returns the result of a quorum round of this instance that begins after
// the call. The error is that of ctx.
func (g *Group) Confirm(ctx context.Context) (Confirmation, error) {
	arrival := g.cfg.Clock()
	for {
		g.mu.Lock()
		if g.rounds.lastStartedAt >= arrival {
			defer g.mu.Unlock()
			return g.rounds.last, nil
		}
		g.runRound(g.confirmByMembers)
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return Confirmation{}, ctx.Err()
		case <-changed:
		}
	}
}

// confirmByMembers asks all members for their status and evaluates the quorum.
func (g *Group) confirmByMembers(primary primacy.Primary, sentAt time.Duration) {
	round := g.controlMembers(statement.Control{Kind: statement.GetStatus}, nil, false, true)
	members := round.Members
	g.mu.Lock()
	leaders, record := g.tracker.Leaders(g.storeTime()), g.tracker.Record()
	// Whoever replaces the primary pauses each member that it may know, long enough for the watch
	// of a replica to see it. With an older list, a recently acknowledged commit shows that
	// all members receive the primary's entries.
	synchronous := g.service.AcknowledgedBy > 0
	recentCommit := g.lastAckSentAt > 0 && sentAt-g.lastAckSentAt < maxCommitEvidenceAge
	partial := synchronous && (sentAt-round.ListReadAt <= maxQuorumListAge || recentCommit)
	// Under a claim, a member that does not answer may have been promoted. That ends the
	// pauses of replicas that do not learn of it and still follow this primary.
	partial = partial && !g.tracker.ReplacementClaimed()
	primaryStatus, quorum := quorumConfirms(primary, members, partial)
	c := Confirmation{Primary: primary, Received: primaryStatus.Received, Confirmed: quorum}
	if !quorum {
		c.Received = reportedPosition(primary, members)
	}
	if takeover.Abandoned(primary, members) {
		c.LaterPrimary, _ = laterPrimary(primary, members)
	}
	if synchronous && sentAt-round.ListReadAt < maxMembersAge && sentAt-round.RecordReadAt < maxMembersAge {
		c.AckBound, c.HasAckBound = takeover.ReadPosition(members, groupSize(len(members)))
		// The former primary, which may have left with its log, and the present one may be the
		// only members with the last commits of the former term.
		c.HasAckBound = c.HasAckBound && takeover.Lists(members, leaders...) && c.AckBound.AtLeast(record.PromotedAt)
		// A member that lost its log during a partition may not have reported that yet,
		// and the bound is then too low.
		c.HasAckBound = c.HasAckBound && c.AckBound.AtLeast(g.ackedPosition)
	}
	c.Answers = describeAnswers(members, sentAt-round.ListReadAt, sentAt-g.membersAsOf)
	g.rounds.last, g.rounds.lastStartedAt = c, sentAt
	if !quorum {
		g.cfg.Log.WithFields(logrus.Fields{"event": "no_quorum", "lead": primary.Member, "term": primary.Term, "members": describeMembers(members)}).Warn("members do not confirm the primary")
	}
	g.mu.Unlock()
	g.finishRound(c, sentAt)
}

// finishRound handles the result of a round that began at sentAt or later.
func (g *Group) finishRound(c Confirmation, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds.running = false
	// A gateway does not know what others have acknowledged.
	c.HasAckBound = c.HasAckBound && c.AckBound.AtLeast(g.rounds.acked)
	g.keepAnswers(c, sentAt)
	if c.Confirmed {
		g.tracker.ObserveQuorum(c.Primary, c.Received, sentAt)
	} else {
		g.rounds.failed++
		if c.Primary == g.tracker.Primary() && !c.Received.IsZero() {
			g.tracker.ObservePosition(c.Primary.Member, c.Received, sentAt)
		}
	}
	if c.HasAckBound {
		g.tracker.ObserveReadPosition(c.AckBound, sentAt)
	}
	if !c.Confirmed && !c.HasAckBound {
		g.rounds.inconclusive++
	}
	g.observeLaterPrimary(c.LaterPrimary)
	g.broadcast()
}

// quorumConfirms reports whether the members confirm the primary: it reports itself
// primary of its term, and the replicas of that term receive its entries. If partial
// is set, the primary and one such replica that are watched are enough and the others need not
// answer; an answer that contradicts the primary counts in any case. The replica must not be one that
// leaves, which others may have left out.
func quorumConfirms(primary primacy.Primary, members []takeover.Member, partial bool) (primaryStatus takeover.Status, ok bool) {
	replicas, silent := 0, false
	for _, m := range members {
		silent = silent || m.Status == nil && !m.Deregistered
	}
	partial = partial && silent
	for _, m := range members {
		switch {
		case m.Deregistered || m.Status == nil && partial:
		case m.Status == nil || m.Status.Term != primary.Term || m.LogLost || m.Status.PausedTerm != 0:
			return primaryStatus, false
		case m.ID == primary.Member:
			primaryStatus, ok = *m.Status, m.Status.Primary && (m.Watched || !partial)
		case m.Status.Primary:
			return primaryStatus, false
		case m.Watched && !m.Draining || !partial:
			replicas++
		}
	}
	return primaryStatus, ok && replicas > 0
}

// reportedPosition returns the last position of the primary's log if it reports itself primary of its
// term, and zero otherwise.
func reportedPosition(primary primacy.Primary, members []takeover.Member) position.Position {
	for _, m := range members {
		if m.ID == primary.Member && m.Status != nil && m.Status.Primary && m.Status.Term == primary.Term {
			return m.Status.Received
		}
	}
	return position.Position{}
}

// laterPrimary returns a primary of a later term that at least one replica follows.
func laterPrimary(primary primacy.Primary, members []takeover.Member) (primacy.Primary, bool) {
	for _, m := range members {
		if m.Status == nil || !m.Status.Primary || m.Status.Term <= primary.Term {
			continue
		}
		for _, f := range members {
			if f.Status != nil && !f.Status.Primary && f.Status.Term == m.Status.Term {
				return primacy.Primary{Member: m.ID, Term: m.Status.Term}, true
			}
		}
	}
	return primacy.Primary{}, false
}

// observeLaterPrimary adopts a primary that the members report while the store is
// unreachable, once all read leases on the former one have ended. g.mu is held.
func (g *Group) observeLaterPrimary(later primacy.Primary) {
	if later.Member == "" {
		return
	}
	now := g.cfg.Clock()
	if g.suspicion.laterPrimary != later {
		g.suspicion.laterPrimary, g.suspicion.laterPrimarySince = later, now
		return
	}
	if now-g.suspicion.laterPrimarySince < primacy.ReadLease || !g.tracker.MayAdopt(later.Member, g.storeTime()) {
		return
	}
	before := g.tracker.Primary()
	if g.tracker.AdoptPromoted(later) {
		g.suspicion.clear()
		g.observePrimaryChange(before, "members")
	}
}

// controlAll sends a control command to the members with these ids, or to all members
// if ids is nil, and returns all members with the answers that came in time. It waits
// for members that probably do not serve only stragglerTimeout longer than for the
// others. fresh opens a new connection to each member.
func (g *Group) controlAll(command statement.Control, ids []string, fresh bool) []takeover.Member {
	return g.controlMembers(command, ids, fresh, false).Members
}

// controlMembers is controlAll with an option: if quorum is set, it waits only
// stragglerTimeout for the others after quorumSize answers.
func (g *Group) controlMembers(command statement.Control, ids []string, fresh, quorum bool) takeover.Round {
	g.mu.Lock()
	round := takeover.Round{ListReadAt: g.membersAsOf, RecordReadAt: g.lastRecordsRead.Earliest}
	primary := g.tracker.Primary().Member
	members := make([]takeover.Member, 0, len(g.members))
	upstreams := make([]*member, 0, len(g.members))
	entries := make([]catalog.Member, 0, len(g.members))
	asked, awaited := 0, 0
	for id, m := range g.members {
		entry := m.Member()
		members = append(members, takeover.Member{ID: id, FailureDomain: entry.FailureDomain, Draining: entry.Draining, Deregistered: m.departed})
		upstreams, entries = append(upstreams, m), append(entries, entry)
		if ids != nil && !slices.Contains(ids, id) {
			continue
		}
		asked++
		if !(id == primary && g.suspicion.confirmed || m.departed || m.unanswered) {
			awaited++
		}
	}
	g.mu.Unlock()
	if quorum {
		awaited = min(awaited, quorumSize)
	}
	answers := make(chan answer, asked)
	for i, m := range upstreams {
		if ids == nil || slices.Contains(ids, members[i].ID) {
			go func() {
				reply, gone := g.control(m, command, fresh)
				g.recordAnswer(m, entries[i], reply != nil, gone)
				a := answer{member: i}
				if reply != nil {
					a.status, a.runsSince = &reply.Status, reply.RunsSince
				}
				answers <- a
			}()
		}
	}
	runsSince := make([]time.Duration, len(members))
	for _, a := range collectAnswers(answers, asked, awaited) {
		members[a.member].Status, runsSince[a.member] = a.status, a.runsSince
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, m := range upstreams {
		s := members[i].Status
		members[i].Gone = s == nil && g.confirmsNobody(m)
		members[i].Settled = g.settled(m)
		members[i].Watched = s != nil && g.watched(m)
		if s == nil {
			continue
		}
		if !sameProcess(entries[i], m.Member()) {
			members[i].Status = nil
			continue
		}
		members[i].LogLost = m.logLost()
		members[i].LogShrunk = !s.Received.AtLeast(m.maxPosition)
		listedAt := round.ListReadAt
		if m.missingSince != 0 {
			listedAt = m.missingSince
		}
		members[i].StartUnknown = !m.unread && runsSince[i] > listedAt
	}
	round.Members = members
	return round
}

// confirmsNobody reports whether no instance finds a quorum with a member that does not answer: it
// does not run, or each list that has it is older than those that quorums rest on. g.mu is held.
func (g *Group) confirmsNobody(m *member) bool {
	return m.evidence.Gone || m.left || m.missingSince != 0 && g.lastMembersRead-m.missingSince > maxQuorumListAge
}

// answer is the status of the member at an index, nil if it did not answer.
type answer struct {
	member    int
	status    *takeover.Status
	runsSince time.Duration
}

// collectAnswers returns the answers of all members that were asked, except those that
// arrive more than stragglerTimeout after the awaited number of members has answered.
func collectAnswers(answers <-chan answer, asked, awaited int) []answer {
	var all []answer
	var timeout <-chan time.Time
	answered := 0
	for len(all) < asked {
		if answered >= awaited && timeout == nil {
			timeout = time.After(stragglerTimeout)
		}
		select {
		case a := <-answers:
			all = append(all, a)
			if a.status != nil {
				answered++
			}
		case <-timeout:
			return all
		}
	}
	return all
}

// sameProcess reports whether an answer to a command that was sent to the member as registered
// by asked says something of it as registered by now.
func sameProcess(asked, now catalog.Member) bool {
	return asked.Started == now.Started && asked.Address == now.Address
}

// recordAnswer records whether a member, asked as it was registered by entry, answered; gone means
// that its process is not running. It forgets a departed member if it may.
func (g *Group) recordAnswer(m *member, entry catalog.Member, answered, gone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !sameProcess(entry, m.Member()) {
		return
	}
	m.unanswered, m.evidence.Gone = !answered, gone
	if gone {
		g.observeGone(m)
	}
	g.trackDeparture(m)
	if id := m.Member().ID; g.members[id] == m {
		g.forgetDeparted(id, m)
	}
}

// sentUnanswered reports whether a command was sent that got no answer.
func sentUnanswered(err error) bool {
	var connErr *statement.ConnError
	return errors.As(err, &connErr) && connErr.Sent
}

// control sends a control command on a pooled connection and, if that is silent or
// broken, on a new one; if fresh is set, both attempts open a new one. The reply is nil
// if the member did not answer; gone means that no process, or another member, listens
// at its address.
func (g *Group) control(m *member, command statement.Control, fresh bool) (reply *upstream.StatusReply, gone bool) {
	u := m.Upstream
	g.mu.Lock()
	knownSince := m.knownSince
	replaced := m.replacedAt != 0 && g.cfg.Clock()-m.replacedAt < replacedInterval
	g.mu.Unlock()
	if replaced {
		return nil, true
	}
	for _, fresh := range []bool{fresh, true} {
		sentAt := g.cfg.Clock()
		reply, err := u.Control(fresh, command, statusTimeout)
		if err == nil {
			g.reportAnswer(u)
			u.ObservePosition(reply.Received)
			g.observeStatus(m, reply, knownSince, sentAt)
			return &reply, false
		}
		gone = processGone(err)
		if reason, _ := statement.ReasonOf(err); reason == statement.WrongMember {
			g.mu.Lock()
			m.replacedAt = g.cfg.Clock()
			g.mu.Unlock()
		}
		if command.Kind == statement.ResumeReplication && sentUnanswered(err) {
			g.mu.Lock()
			m.resumeLostAt = g.cfg.Clock()
			g.mu.Unlock()
		}
		reason, refused := statement.ReasonOf(err)
		g.cfg.Log.WithFields(logrus.Fields{"event": "control_failed", "member": u.Member().ID, "order": command.Kind, "fresh": fresh, "error": err.Error()}).Info("member did not execute a control command")
		if refused && reason != statement.WrongMember {
			break // the member would refuse a new connection as well
		}
		var connErr *statement.ConnError
		if errors.As(err, &connErr) && connErr.Timeout && !connErr.Sent {
			break // the first attempt has already failed to open a connection
		}
	}
	return nil, gone
}

// processGone reports whether an error proves that the member's process is not
// running at its address.
func processGone(err error) bool {
	var connErr *statement.ConnError
	if errors.As(err, &connErr) {
		return connErr.Refused
	}
	reason, ok := statement.ReasonOf(err)
	return ok && reason == statement.WrongMember
}

// describeMembers formats the members' answers for the log. There, "held" means that
// replication is paused, "restarted" that the member has lost its log, and "start unknown" that its
// process may have started since the list of members was read.
func describeMembers(members []takeover.Member) []string {
	var out []string
	for _, m := range members {
		text := m.ID + " no answer"
		if s := m.Status; s != nil {
			role := " replica "
			if s.Primary {
				role = " primary "
			}
			text = m.ID + role + s.Received.String()
			if s.PausedTerm > 0 {
				text += " held"
			}
		}
		if m.Draining {
			text += " draining"
		}
		if m.Deregistered {
			text += " departed"
		}
		if m.LogLost {
			text += " restarted"
		}
		if m.StartUnknown {
			text += " start unknown"
		}
		out = append(out, text)
	}
	return out
}
