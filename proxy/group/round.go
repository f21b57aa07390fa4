package group

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// roundSpacing bounds the rounds per second while the store is away: a
	// status takes a slot of the member for about 0.5 ms.
	roundSpacing = 40 * time.Millisecond
	// statusTimeout bounds one answer of a member. A status waits for a slot
	// behind up to 18 statements of 9 ms on two slots.
	statusTimeout = 250 * time.Millisecond
	// commitEvidence is the age up to which an acknowledged commit makes up for
	// members that do not answer a round. Leases run out 1 s after the store is
	// lost; commits of that second let service go on.
	commitEvidence = 1200 * time.Millisecond
	// coverLimit is the age of the last reading of the members up to which they
	// are all known: a database takes longer to start and to catch up.
	coverLimit = 10 * time.Second
	// quorumSize is the lead and a replica.
	quorumSize = 2
	// stragglerTimeout is the wait for a member that is known not to serve, after
	// the others have answered; a live one answers in 5 ms.
	stragglerTimeout = 20 * time.Millisecond
)

// Confirmation is the result of a round of questions to the members.
type Confirmation struct {
	// Primary is the lead that was asked for, and Received its position.
	Primary  leadership.Leader `json:"lead"`
	Received position.Position `json:"received"`
	// Confirmed means that the members confirm the lead.
	Confirmed bool `json:"confirmed"`
	// AckBound is a position that covers every write acknowledged before the
	// round, if HasAckBound is set.
	AckBound    position.Position `json:"covered"`
	HasAckBound bool              `json:"covers,omitempty"`
	// LaterPrimary is a lead of a later term that the members established, if any.
	LaterPrimary leadership.Leader `json:"later"`
}

// rounds coalesces the readings of the members' own status.
type rounds struct {
	running  bool
	started  time.Duration
	failed   int // rounds without a quorum so far
	unproven int // rounds without anything that a read can rest on
	// last is the result of the last round of this instance, begun at lastStarted.
	last        Confirmation
	lastStarted time.Duration
}

// startRound asks all members, or a gateway to do so, unless a round is running.
// g.mu is held.
func (g *Group) startRound() { g.beginRound(g.askGateway) }

// beginRound runs a round after the spacing, unless one is running. g.mu is held.
func (g *Group) beginRound(ask func(lead leadership.Leader, sentAt time.Duration)) {
	if g.rounds.running {
		return
	}
	g.rounds.running = true
	delay := max(g.rounds.started+roundSpacing-g.cfg.Clock(), 0)
	go func() {
		time.Sleep(delay)
		g.mu.Lock()
		lead := g.tracker.Leader()
		g.rounds.started = g.cfg.Clock()
		sentAt := g.rounds.started
		g.mu.Unlock()
		ask(lead, sentAt)
	}()
}

// askGateway asks the lead's gateway for a round, and the members themselves if
// there is none or it does not answer.
func (g *Group) askGateway(lead leadership.Leader, sentAt time.Duration) {
	g.mu.Lock()
	limit := g.service.Connections
	g.mu.Unlock()
	if way := g.cfg.Gateways.Gateway(g.cfg.Service, lead.Member, true, limit); way != nil {
		if c, err := way.Confirm(g.cfg.Service); err == nil {
			g.endRound(c, sentAt)
			return
		}
	}
	g.askQuorum(lead, sentAt)
}

// Confirm returns the result of a round of this instance that begins after the
// call.
func (g *Group) Confirm(ctx context.Context) (Confirmation, error) {
	arrival := g.cfg.Clock()
	for {
		g.mu.Lock()
		if g.rounds.lastStarted >= arrival {
			defer g.mu.Unlock()
			return g.rounds.last, nil
		}
		g.beginRound(g.askQuorum)
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return Confirmation{}, ctx.Err()
		case <-changed:
		}
	}
}

// askQuorum asks the members whether they confirm the lead.
func (g *Group) askQuorum(lead leadership.Leader, sentAt time.Duration) {
	members := g.askSome(statement.Control{Kind: statement.GetStatus}, nil, false, true)
	g.mu.Lock()
	// A commit that was acknowledged of late shows that a replica takes the
	// lead's entries, which none does after a promotion of another member.
	synchronous := g.service.AcknowledgedBy > 0
	partial := synchronous && g.committed > 0 && sentAt-g.committed < commitEvidence
	primary, quorum := confirms(lead, members, partial)
	c := Confirmation{Primary: lead, Received: primary.Received, Confirmed: quorum}
	c.LaterPrimary, _ = leadsLater(lead, members)
	if synchronous && sentAt-g.recordsRead.Earliest < coverLimit {
		c.AckBound, c.HasAckBound = takeover.ReadPosition(members, groupSize(len(members)))
		// A member that restarted without its log behind a cut has not said so.
		c.HasAckBound = c.HasAckBound && c.AckBound.AtLeast(g.acknowledged)
	}
	g.rounds.last, g.rounds.lastStarted = c, sentAt
	if !quorum {
		g.cfg.Log.WithFields(logrus.Fields{"event": "no_quorum", "lead": lead.Member, "term": lead.Term, "members": describe(members)}).Warn("members do not confirm the primary")
	}
	g.mu.Unlock()
	g.endRound(c, sentAt)
}

// endRound takes in the result of a round that began at sentAt or later.
func (g *Group) endRound(c Confirmation, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds.running = false
	if c.Confirmed {
		g.tracker.ObserveQuorum(c.Primary, c.Received, sentAt)
	} else {
		g.rounds.failed++
	}
	if c.HasAckBound {
		g.tracker.ObserveReadPosition(c.AckBound, sentAt)
	}
	if !c.Confirmed && !c.HasAckBound {
		g.rounds.unproven++
	}
	g.noteLater(c.LaterPrimary)
	g.broadcast()
}

// confirms reports whether the members confirm the lead: it calls itself
// primary of its term, and replicas of that term receive. If partial is set, one
// such replica is enough, and the others may be silent; an answer that speaks
// against the lead counts in any case.
func confirms(lead leadership.Leader, members []takeover.Member, partial bool) (primary takeover.Status, ok bool) {
	followers := 0
	for _, m := range members {
		switch {
		case m.Deregistered || m.Status == nil && partial:
		case m.Status == nil || m.Status.Term != lead.Term || m.LogLost || m.Status.PausedTerm != 0:
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

// leadsLater returns a member that leads a later term with at least one follower.
func leadsLater(lead leadership.Leader, members []takeover.Member) (leadership.Leader, bool) {
	for _, m := range members {
		if m.Status == nil || !m.Status.Primary || m.Status.Term <= lead.Term {
			continue
		}
		for _, f := range members {
			if f.Status != nil && !f.Status.Primary && f.Status.Term == m.Status.Term {
				return leadership.Leader{Member: m.ID, Term: m.Status.Term}, true
			}
		}
	}
	return leadership.Leader{}, false
}

// noteLater adopts a lead that the members established while the store is away.
// g.mu is held.
func (g *Group) noteLater(later leadership.Leader) {
	if later.Member == "" {
		return
	}
	now := g.cfg.Clock()
	if g.suspicion.later != later {
		g.suspicion.later, g.suspicion.laterSince = later, now
		return
	}
	if now-g.suspicion.laterSince < leadership.ReadLease {
		return
	}
	before := g.tracker.Leader()
	if g.tracker.AdoptPromoted(later) {
		g.suspicion.clear()
		g.noteLead(before, "members")
	}
}

// askAll sends an order to the members with these ids, or to all, and returns
// all members with the answers that came in time. It waits for a member that is
// known not to serve only stragglerTimeout longer than for the others.
func (g *Group) askAll(order statement.Control, ids []string, fresh bool) []takeover.Member {
	return g.askSome(order, ids, fresh, false)
}

// askSome is askAll; with quorum set, it waits stragglerTimeout after two answers
// for all others.
func (g *Group) askSome(order statement.Control, ids []string, fresh, quorum bool) []takeover.Member {
	g.mu.Lock()
	lead := g.tracker.Leader().Member
	members := make([]takeover.Member, 0, len(g.members))
	upstreams := make([]*member, 0, len(g.members))
	asked, awaited := 0, 0
	for id, m := range g.members {
		members = append(members, takeover.Member{ID: id, FailureDomain: m.Member().FailureDomain, Draining: m.Member().Draining, Deregistered: m.departed})
		upstreams = append(upstreams, m)
		if ids != nil && !slices.Contains(ids, id) {
			continue
		}
		asked++
		if !(id == lead && g.suspicion.confirmed || m.departed || m.silent) {
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
				status, gone := g.ask(m.Upstream, order, fresh)
				g.noteAnswer(m, status != nil, gone)
				answers <- answer{i, status}
			}()
		}
	}
	for _, a := range collect(answers, asked, awaited) {
		members[a.member].Status = a.status
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, m := range upstreams {
		s := members[i].Status
		if s == nil {
			continue
		}
		if !m.rebornFloor.IsZero() {
			members[i].LogLost = !s.Received.AtLeast(m.rebornFloor)
		}
		members[i].LogShrunk = !s.Received.AtLeast(m.longest)
		m.longest = position.Max(m.longest, s.Received)
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
func collect(answers <-chan answer, asked, awaited int) []answer {
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

// noteAnswer takes in whether a member answered; gone says that it is not running.
func (g *Group) noteAnswer(m *member, answered, gone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.silent = !answered
	if id := m.Member().ID; gone && m.departed && g.members[id] == m {
		g.drop(id, m, "not_running")
	}
}

// ask sends an order on a pooled connection and, if that is silent or broken,
// on a fresh one. The status is nil if the member did not answer; gone says
// that nothing, or another member, listens at its address.
func (g *Group) ask(u *upstream.Upstream, order statement.Control, fresh bool) (status *takeover.Status, gone bool) {
	for _, fresh := range []bool{fresh, true} {
		reply, err := u.Control(fresh, order, statusTimeout)
		if err == nil {
			g.answered(u)
			u.ObservePosition(reply.Received)
			return &reply.Status, false
		}
		gone = notThere(err)
		reason, refused := statement.ReasonOf(err)
		g.cfg.Log.WithFields(logrus.Fields{"event": "control_failed", "member": u.Member().ID, "order": order.Kind, "fresh": fresh, "error": err.Error()}).Info("member did not execute an order")
		if refused && reason != statement.WrongMember {
			break // it would refuse another connection as well
		}
	}
	return nil, gone
}

// notThere reports whether an error proves that the member's process is not
// running at its address.
func notThere(err error) bool {
	var link *statement.ConnError
	if errors.As(err, &link) {
		return link.Refused
	}
	reason, ok := statement.ReasonOf(err)
	return ok && reason == statement.WrongMember
}

func describe(members []takeover.Member) []string {
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
		out = append(out, text)
	}
	return out
}
