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
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// roundInterval bounds the rounds per second while the store is away: a
	// status takes a slot of the member for about 0.5 ms.
	roundInterval = 40 * time.Millisecond
	// statusTimeout bounds one answer of a member. A status waits for a slot
	// behind up to 18 statements of 9 ms on two slots.
	statusTimeout = 250 * time.Millisecond
	// maxCommitEvidenceAge is the age up to which an acknowledged commit makes up for
	// members that do not answer a round. Leases run out 1 s after the store is
	// lost; commits of that second let service go on.
	maxCommitEvidenceAge = 1200 * time.Millisecond
	// maxMembersAge is the age of the last reading of the members up to which they
	// are all known: a database takes longer to start and to catch up.
	maxMembersAge = 10 * time.Second
	// quorumSize is the lead and a replica.
	quorumSize = 2
	// stragglerTimeout is the wait for a member that is known not to serve, after
	// the others have answered; a live one answers in 5 ms.
	stragglerTimeout = 20 * time.Millisecond
)

// Confirmation is the result of a round of questions to the members.
type Confirmation struct {
	// Primary is the lead that was asked for, and Received its position.
	Primary  primacy.Lead      `json:"lead"`
	Received position.Position `json:"received"`
	// Confirmed means that the members confirm the lead.
	Confirmed bool `json:"confirmed"`
	// AckBound is a position that covers every write acknowledged before the
	// round, if HasAckBound is set.
	AckBound    position.Position `json:"covered"`
	HasAckBound bool              `json:"covers,omitempty"`
	// LaterPrimary is a lead of a later term that the members established, if any.
	LaterPrimary primacy.Lead `json:"later"`
}

// rounds coalesces the readings of the members' own status.
type quorumRounds struct {
	running      bool
	startedAt    time.Duration
	failed       int // rounds without a quorum so far
	inconclusive int // rounds without anything that a read can rest on
	// last is the result of the last round of this instance, begun at lastStartedAt.
	last          Confirmation
	lastStartedAt time.Duration
}

// startRound asks all members, or a gateway to do so, unless a round is running.
// g.mu is held.
func (g *Group) startRound() { g.runRound(g.confirmByGateway) }

// runRound runs a round after the spacing, unless one is running. g.mu is held.
func (g *Group) runRound(ask func(lead primacy.Lead, sentAt time.Duration)) {
	if g.rounds.running {
		return
	}
	g.rounds.running = true
	delay := max(g.rounds.startedAt+roundInterval-g.cfg.Clock(), 0)
	go func() {
		time.Sleep(delay)
		g.mu.Lock()
		lead := g.tracker.Lead()
		g.rounds.startedAt = g.cfg.Clock()
		sentAt := g.rounds.startedAt
		g.mu.Unlock()
		ask(lead, sentAt)
	}()
}

// confirmByGateway asks the lead's gateway for a round, and the members themselves if
// there is none or it does not answer.
func (g *Group) confirmByGateway(lead primacy.Lead, sentAt time.Duration) {
	g.mu.Lock()
	limit := g.service.Connections
	g.mu.Unlock()
	if way := g.cfg.Gateways.Gateway(g.cfg.Service, lead.Member, true, limit); way != nil {
		if c, err := way.Confirm(g.cfg.Service); err == nil {
			g.finishRound(c, sentAt)
			return
		}
	}
	g.confirmByMembers(lead, sentAt)
}

// Confirm returns the result of a round of this instance that begins after the
// call.
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

// confirmByMembers asks the members whether they confirm the lead.
func (g *Group) confirmByMembers(lead primacy.Lead, sentAt time.Duration) {
	members := g.controlMembers(statement.Control{Kind: statement.GetStatus}, nil, false, true)
	g.mu.Lock()
	// A commit that was acknowledged of late shows that a replica takes the
	// lead's entries, which none does after a promotion of another member.
	synchronous := g.service.AcknowledgedBy > 0
	partial := synchronous && g.lastAckSentAt > 0 && sentAt-g.lastAckSentAt < maxCommitEvidenceAge
	primary, quorum := quorumConfirms(lead, members, partial)
	c := Confirmation{Primary: lead, Received: primary.Received, Confirmed: quorum}
	c.LaterPrimary, _ = laterPrimary(lead, members)
	if synchronous && sentAt-g.lastRecordsRead.Earliest < maxMembersAge {
		c.AckBound, c.HasAckBound = takeover.Cover(members, groupSize(len(members)))
		// A member that restarted without its log behind a cut has not said so.
		c.HasAckBound = c.HasAckBound && c.AckBound.AtLeast(g.ackedPosition)
	}
	g.rounds.last, g.rounds.lastStartedAt = c, sentAt
	if !quorum {
		g.cfg.Log.WithFields(logrus.Fields{"event": "no_quorum", "lead": lead.Member, "term": lead.Term, "members": describeMembers(members)}).Warn("members do not confirm the primary")
	}
	g.mu.Unlock()
	g.finishRound(c, sentAt)
}

// finishRound takes in the result of a round that began at sentAt or later.
func (g *Group) finishRound(c Confirmation, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds.running = false
	if c.Confirmed {
		g.tracker.ObserveQuorum(c.Primary, c.Received, sentAt)
	} else {
		g.rounds.failed++
	}
	if c.HasAckBound {
		g.tracker.ObserveCover(c.AckBound, sentAt)
	}
	if !c.Confirmed && !c.HasAckBound {
		g.rounds.inconclusive++
	}
	g.observeLaterPrimary(c.LaterPrimary)
	g.broadcast()
}

// confirms reports whether the members confirm the lead: it calls itself
// primary of its term, and replicas of that term receive. If partial is set, one
// such replica is enough, and the others may be silent; an answer that speaks
// against the lead counts in any case.
func quorumConfirms(lead primacy.Lead, members []takeover.Member, partial bool) (primary takeover.Status, ok bool) {
	followers := 0
	for _, m := range members {
		switch {
		case m.Departed || m.Status == nil && partial:
		case m.Status == nil || m.Status.Term != lead.Term || m.Reborn || m.Status.Held != 0:
			return primary, false
		case m.ID == lead.Member:
			primary, ok = *m.Status, m.Status.Primary
		case m.Status.Primary:
			return primary, false
		default:
			followers++
		}
	}
	return primary, ok && followers > 0
}

// laterPrimary returns a member that leads a later term with at least one follower.
func laterPrimary(lead primacy.Lead, members []takeover.Member) (primacy.Lead, bool) {
	for _, m := range members {
		if m.Status == nil || !m.Status.Primary || m.Status.Term <= lead.Term {
			continue
		}
		for _, f := range members {
			if f.Status != nil && !f.Status.Primary && f.Status.Term == m.Status.Term {
				return primacy.Lead{Member: m.ID, Term: m.Status.Term}, true
			}
		}
	}
	return primacy.Lead{}, false
}

// observeLaterPrimary adopts a lead that the members established while the store is away.
// g.mu is held.
func (g *Group) observeLaterPrimary(later primacy.Lead) {
	if later.Member == "" {
		return
	}
	now := g.cfg.Clock()
	if g.suspicion.laterPrimary != later {
		g.suspicion.laterPrimary, g.suspicion.laterPrimarySince = later, now
		return
	}
	if now-g.suspicion.laterPrimarySince < primacy.ReadLease {
		return
	}
	before := g.tracker.Lead()
	if g.tracker.AdoptPromoted(later) {
		g.suspicion.clear()
		g.observePrimaryChange(before, "members")
	}
}

// controlAll sends an order to the members with these ids, or to all, and returns
// all members with the answers that came in time. It waits for a member that is
// known not to serve only stragglerTimeout longer than for the others.
func (g *Group) controlAll(order statement.Control, ids []string, fresh bool) []takeover.Member {
	return g.controlMembers(order, ids, fresh, false)
}

// controlMembers is controlAll; with quorum set, it waits stragglerTimeout after two answers
// for all others.
func (g *Group) controlMembers(order statement.Control, ids []string, fresh, quorum bool) []takeover.Member {
	g.mu.Lock()
	lead := g.tracker.Lead().Member
	members := make([]takeover.Member, 0, len(g.members))
	upstreams := make([]*member, 0, len(g.members))
	asked, awaited := 0, 0
	for id, m := range g.members {
		members = append(members, takeover.Member{ID: id, FailureDomain: m.Member().FailureDomain, Draining: m.Member().Draining, Departed: m.departed})
		upstreams = append(upstreams, m)
		if ids != nil && !slices.Contains(ids, id) {
			continue
		}
		asked++
		if !(id == lead && g.suspicion.confirmed || m.departed || m.unanswered) {
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
				status, gone := g.control(m.Upstream, order, fresh)
				g.recordAnswer(m, status != nil, gone)
				answers <- answer{i, status}
			}()
		}
	}
	for _, a := range collectAnswers(answers, asked, awaited) {
		members[a.member].Status = a.status
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, m := range upstreams {
		s := members[i].Status
		if s == nil {
			continue
		}
		if !m.catchUpFloor.IsZero() {
			members[i].Reborn = !s.Received.AtLeast(m.catchUpFloor)
		}
		members[i].Shorter = !s.Received.AtLeast(m.maxPosition)
		m.maxPosition = position.Max(m.maxPosition, s.Received)
	}
	return members
}

// answer is a member's status, nil if it did not answer.
type answer struct {
	member int
	status *takeover.Status
}

// collect returns the answers of all that were asked, without those that come
// stragglerTimeout after as many as are awaited have answered.
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

// recordAnswer takes in whether a member answered; gone says that it is not running.
func (g *Group) recordAnswer(m *member, answered, gone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.unanswered = !answered
	if id := m.Member().ID; gone && m.departed && g.members[id] == m {
		g.removeMember(id, m, "not_running")
	}
}

// ask sends an order on a pooled connection and, if that is silent or broken,
// on a fresh one. The status is nil if the member did not answer; gone says
// that nothing, or another member, listens at its address.
func (g *Group) control(u *upstream.Upstream, order statement.Control, fresh bool) (status *takeover.Status, gone bool) {
	for _, fresh := range []bool{fresh, true} {
		reply, err := u.Control(fresh, order, statusTimeout)
		if err == nil {
			g.reportAnswer(u)
			u.ObservePosition(reply.Received)
			return &reply.Status, false
		}
		gone = processGone(err)
		reason, refused := statement.ReasonOf(err)
		g.cfg.Log.WithFields(logrus.Fields{"event": "control_failed", "member": u.Member().ID, "order": order.Kind, "fresh": fresh, "error": err.Error()}).Info("member did not execute an order")
		if refused && reason != statement.WrongMember {
			break // it would refuse another connection as well
		}
	}
	return nil, gone
}

// processGone reports whether an error proves that the member's process is not
// running at its address.
func processGone(err error) bool {
	var link *statement.ConnError
	if errors.As(err, &link) {
		return link.Refused
	}
	reason, ok := statement.ReasonOf(err)
	return ok && reason == statement.WrongMember
}

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
			if s.Held > 0 {
				text += " held"
			}
		}
		if m.Draining {
			text += " draining"
		}
		if m.Departed {
			text += " departed"
		}
		if m.Reborn {
			text += " restarted"
		}
		out = append(out, text)
	}
	return out
}
