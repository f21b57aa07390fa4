package group

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// containmentInterval separates two rounds of status queries for acknowledgements that wait
// for evidence.
const containmentInterval = 10 * time.Millisecond

// AcknowledgementMetrics counts the acknowledgements of commits around changes of primary.
type AcknowledgementMetrics interface {
	// CountGuardedCommit counts one that arrived while the primary was being replaced, by its result: "contained", "released" if the primary
	// stays, or "unproven" if its caller was told that the outcome is unknown.
	CountGuardedCommit(result string)
	// CountMissingCommits counts a promoted member whose log lacks a commit that this
	// instance has acknowledged to a caller.
	CountMissingCommits()
}

// containmentRounds coalesces the status queries of concurrent acknowledgements.
type containmentRounds struct {
	running bool
	// startedAt is when the last finished round began; claim and replicas are what it was
	// for and its answers.
	startedAt time.Duration
	claim     primacy.Claim
	replicas  []takeover.Member
}

// announcement is the candidate that the claim against a primary announces, and a local
// time at which the claim was stored; zero if none is announced.
type announcement struct {
	oldPrimary primacy.Primary
	candidate  string
	storedAt   time.Duration
}

// observe handles the newest record, which was stored by the local time at.
func (a *announcement) observe(r primacy.Record, at time.Duration) {
	switch {
	case r.Claim == nil || r.Claim.Candidate == "":
		*a = announcement{}
	case a.candidate != r.Claim.Candidate || a.oldPrimary != r.Claim.OldPrimary:
		*a = announcement{r.Claim.OldPrimary, r.Claim.Candidate, at}
	}
}

// known reports whether each instance has read the announcement of a candidate, or holds
// no lease on the old primary any more.
func (a announcement) known(candidate string, now time.Duration) bool {
	return a.candidate == candidate && now >= a.storedAt+announcementTime
}

// confirmCommit returns nil once the acknowledgement of a commit at p may be passed on:
// at once if no instance is replacing the member that committed it, otherwise when its
// next primary has the commit. The error is a *verdict.Error that says that the outcome is
// unknown. It does not wait longer than until the deadline.
func (g *Group) confirmCommit(u *upstream.Upstream, p position.Position, deadline time.Duration) error {
	id, ackedAt, guarded := u.Member().ID, g.cfg.Clock(), false
	for {
		g.mu.Lock()
		containment, claimed := g.commitContainment(id, p, ackedAt)
		if claimed && containment == takeover.Unproven {
			g.startContainmentRound()
		}
		changed := g.changed
		g.mu.Unlock()
		now := g.cfg.Clock()
		switch {
		case !claimed && containment == takeover.Contained:
			if guarded {
				g.cfg.Metrics.CountGuardedCommit("released")
			}
			return nil
		case containment == takeover.Contained:
			g.cfg.Metrics.CountGuardedCommit(containment.String())
			return nil
		case containment == takeover.Superseded || now >= deadline:
			g.cfg.Metrics.CountGuardedCommit(takeover.Unproven.String())
			g.cfg.Log.WithFields(logrus.Fields{"event": "commit_unproven", "member": id, "position": p.String(), "containment": containment.String(), "waited_ms": (now - ackedAt).Milliseconds()}).Warn("a commit was acknowledged that the next primary may lack")
			return verdict.New(verdict.OutcomeUnknown, "the primary is being replaced, and its successor may lack the commit at %s", p)
		}
		guarded = true
		timer := time.NewTimer(deadline - now)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// commitContainment returns what is known of a commit at p that a member acknowledged at
// ackedAt. claimed is false if no instance is replacing the member; the commit counts as
// contained then, unless another member has already replaced it. g.mu is held.
func (g *Group) commitContainment(id string, p position.Position, ackedAt time.Duration) (c takeover.Containment, claimed bool) {
	claim := g.tracker.ClaimAgainst(id, p)
	switch {
	case g.service.AcknowledgedBy == 0:
		return takeover.Contained, false // an acknowledged commit may be on the primary alone
	case g.tracker.Replaced(id, p):
		return takeover.Superseded, false
	case claim == nil:
		return takeover.Contained, false
	case g.containment.startedAt < ackedAt || g.containment.claim.Candidate != claim.Candidate:
		return takeover.Unproven, true
	default:
		return takeover.Contains(*claim, p, g.containment.replicas), true
	}
}

// startContainmentRound asks the members that may be promoted for their status, unless a
// round is running. g.mu is held.
func (g *Group) startContainmentRound() {
	if g.containment.running {
		return
	}
	g.containment.running = true
	delay := max(g.containment.startedAt+containmentInterval-g.cfg.Clock(), 0)
	go func() {
		time.Sleep(delay)
		g.runContainmentRound()
	}()
}

// runContainmentRound asks the announced candidate, or all replicas if there is none.
func (g *Group) runContainmentRound() {
	g.mu.Lock()
	startedAt := g.cfg.Clock()
	claim := g.tracker.Record().Claim
	var ids []string
	if claim != nil {
		for id := range g.members {
			if id != claim.OldPrimary.Member && (claim.Candidate == "" || id == claim.Candidate) {
				ids = append(ids, id)
			}
		}
	}
	g.mu.Unlock()
	var replicas []takeover.Member
	if len(ids) > 0 {
		replicas = slices.DeleteFunc(g.controlAll(statement.Control{Kind: statement.GetStatus}, ids, false), func(m takeover.Member) bool { return !slices.Contains(ids, m.ID) })
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.containment = containmentRounds{startedAt: startedAt, replicas: replicas}
	if claim != nil {
		g.containment.claim = *claim
	}
	g.broadcast()
}
