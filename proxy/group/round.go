package group

import (
	"errors"
	"sync"
	"sync/atomic"
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
	// laggardPatience is the wait for a member that is known not to serve, after
	// the others have answered; a live one answers in 5 ms.
	laggardPatience = 40 * time.Millisecond
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
	members := g.askAll(statement.Control{Kind: statement.AskStatus}, nil, false)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds.running = false
	primary, quorum := confirms(lead, members)
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
// primary of its term, and all replicas of the group receive in that term.
func confirms(lead primacy.Lead, members []takeover.Member) (primary takeover.Status, ok bool) {
	followers := 0
	for _, m := range members {
		switch {
		case m.Departed:
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
	if g.trouble.later != later {
		g.trouble.later, g.trouble.laterSince = later, now
		return
	}
	if now-g.trouble.laterSince < primacy.ReadLease {
		return
	}
	before := g.tracker.Lead()
	if g.tracker.AdoptPromoted(later) {
		g.trouble.clear()
		g.logLead(before, "members")
	}
}

// askAll sends an order to the members with these ids, or to all, and returns
// all members with the answers that came in time. Once the others have answered,
// it waits only laggardPatience longer for a lead that is known not to serve.
func (g *Group) askAll(order statement.Control, ids []string, fresh bool) []takeover.Member {
	g.mu.Lock()
	lead := g.tracker.Lead().Member
	doubted := g.trouble.confirmed
	members := make([]takeover.Member, 0, len(g.members))
	upstreams := make([]*member, 0, len(g.members))
	for id, m := range g.members {
		members = append(members, takeover.Member{ID: id, Draining: m.Member().Draining, Departed: m.departed})
		upstreams = append(upstreams, m)
	}
	g.mu.Unlock()
	answers := make([]atomic.Pointer[takeover.Status], len(members))
	var others, all sync.WaitGroup
	for i, m := range upstreams {
		if ids != nil && !contains(ids, members[i].ID) {
			continue
		}
		work := &others
		if doubted && (members[i].ID == lead || members[i].Departed) {
			work = &all
		}
		work.Go(func() {
			status, gone := g.ask(m.Upstream, order, fresh)
			answers[i].Store(status)
			if gone {
				g.noteGone(m)
			}
		})
	}
	others.Wait()
	waitAtMost(&all, laggardPatience)
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range members {
		s := answers[i].Load()
		members[i].Status = s
		if floor := upstreams[i].rebornFloor; !floor.IsZero() && s != nil {
			members[i].Reborn = !s.Received.AtLeast(floor)
		}
	}
	return members
}

// waitAtMost waits for the work to end, but no longer than a limit.
func waitAtMost(work *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() {
		work.Wait()
		close(done)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
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
