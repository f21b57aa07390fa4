package group

import (
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/primacy"
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
	// quorumSize is the lead and a replica.
	quorumSize = 2
	// stragglerTimeout is the wait for a member that is known not to serve, after
	// the others have answered; a live one answers in 5 ms.
	stragglerTimeout = 20 * time.Millisecond
)

// rounds coalesces the readings of the members' own status.
type rounds struct {
	running bool
	started time.Duration
	failed  int // rounds without a quorum so far
}

// startRound asks all members, unless a round is running. g.mu is held.
func (g *Group) startRound() {
	if g.rounds.running {
		return
	}
	g.rounds.running = true
	delay := max(g.rounds.started+roundSpacing-g.cfg.Clock(), 0)
	go func() {
		time.Sleep(delay)
		g.round()
	}()
}

func (g *Group) round() {
	g.mu.Lock()
	lead := g.tracker.Lead()
	g.rounds.started = g.cfg.Clock()
	sentAt := g.rounds.started
	g.mu.Unlock()
	members := g.askSome(statement.Control{Kind: statement.AskStatus}, nil, false, true)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds.running = false
	// A commit that was acknowledged of late shows that a replica takes the
	// lead's entries, which none does after a promotion of another member.
	partial := g.committed > 0 && sentAt-g.committed < commitEvidence
	primary, quorum := confirms(lead, members, partial)
	if quorum {
		g.tracker.ObserveQuorum(lead, primary.Received, sentAt)
	} else {
		g.rounds.failed++
		g.cfg.Log.WithFields(logrus.Fields{"event": "no_quorum", "lead": lead.Member, "term": lead.Term, "members": describe(members)}).Warn("members do not confirm the primary")
	}
	g.noteLater(lead, members)
	g.broadcast()
}

// confirms reports whether the members confirm the lead: it calls itself
// primary of its term, and replicas of that term receive. If partial is set, one
// such replica is enough, and the others may be silent; an answer that speaks
// against the lead counts in any case.
func confirms(lead primacy.Lead, members []takeover.Member, partial bool) (primary takeover.Status, ok bool) {
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

// leadsLater returns a member that leads a later term with at least one follower.
func leadsLater(lead primacy.Lead, members []takeover.Member) (primacy.Lead, bool) {
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

// noteLater adopts a lead that the members established while the store is away.
// g.mu is held.
func (g *Group) noteLater(lead primacy.Lead, members []takeover.Member) {
	later, ok := leadsLater(lead, members)
	if !ok {
		return
	}
	now := g.cfg.Clock()
	if g.suspicion.later != later {
		g.suspicion.later, g.suspicion.laterSince = later, now
		return
	}
	if now-g.suspicion.laterSince < primacy.ReadLease {
		return
	}
	before := g.tracker.Lead()
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
	lead := g.tracker.Lead().Member
	members := make([]takeover.Member, 0, len(g.members))
	upstreams := make([]*member, 0, len(g.members))
	asked, awaited := 0, 0
	for id, m := range g.members {
		members = append(members, takeover.Member{ID: id, Draining: m.Member().Draining, Departed: m.departed})
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
		if s := members[i].Status; !m.rebornFloor.IsZero() && s != nil {
			members[i].Reborn = !s.Received.AtLeast(m.rebornFloor)
		}
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
			u.NotePosition(reply.Received)
			return &reply.Status, false
		}
		gone = notThere(err)
		g.cfg.Log.WithFields(logrus.Fields{"event": "control_failed", "member": u.Member().ID, "order": order.Kind, "fresh": fresh, "error": err.Error()}).Info("member did not execute an order")
	}
	return nil, gone
}

// notThere reports whether an error proves that the member's process is not
// running at its address.
func notThere(err error) bool {
	var link *statement.LinkError
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
