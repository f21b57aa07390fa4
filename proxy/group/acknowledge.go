package group

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

const (
	// proofInterval separates two status queries to a replica for acknowledgements that
	// wait for proof.
	proofInterval = 10 * time.Millisecond
	// proofHedge is the wait for the answer of one replica after which the others are asked
	// too. A replica receives a commit and answers within 5 ms, or after the two statements
	// of 9 ms that occupy its slots.
	proofHedge = 20 * time.Millisecond
	// keepOpenTime is how long a connection to a replica is kept after the last query.
	keepOpenTime = 10 * time.Second
	// memberSettleTime is the time after which an instance counts a member that it has read
	// of. Reads without the primary use younger lists (maxMembersAge), so that they know it.
	memberSettleTime = 3200 * time.Millisecond
	// claimSettleTime is the time from then until a reading without a claim after which every
	// holder of a later claim knows the member: its list is no older than maxHolderListAge.
	claimSettleTime = maxHolderListAge + 100*time.Millisecond
	// maxCountedAge is the age of the list of members up to which an instance counts a member in
	// it for acknowledgements. Others rely on that from countedRetention after it was missing from
	// theirs, or said there that it leaves.
	maxCountedAge = countedRetention - 100*time.Millisecond
	// claimNoticeTime is the age of the last reading of the record without a claim up to which an
	// instance passes on acknowledgements as if there were none. While the old primary may serve,
	// a holder calls for a promotion no earlier than that after its claim was stored.
	claimNoticeTime = 400 * time.Millisecond
	// goneInterval replaces proofInterval for a replica that did not answer the last query.
	goneInterval = 250 * time.Millisecond
)

// AcknowledgementMetrics counts the acknowledgements of commits around changes of primary.
type AcknowledgementMetrics interface {
	// CountGuardedCommit counts one that arrived while the primary was being replaced, by its result: "contained", "released" if the primary
	// stays, or "unproven" if its caller was told that the outcome is unknown.
	CountGuardedCommit(result string)
	// CountMissingCommits counts a promoted member whose log lacks a commit that this
	// instance has acknowledged to a caller.
	CountMissingCommits()
	// CountBlockedChanges counts an attempt to replace the primary that found no member with
	// all acknowledged commits.
	CountBlockedChanges()
	// CountForgottenMember counts a member that this instance waits for no longer, by the reason.
	CountForgottenMember(reason string)
	// ObserveCommitProof records how long the acknowledgement of a commit waited for proof
	// that the commit survives a change of primary.
	ObserveCommitProof(waited time.Duration)
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

// confirmCommit returns nil once it is proved that a commit at p, which the member has
// acknowledged, survives each change of primary, so that the acknowledgement may be passed
// on. The error is a *verdict.Error that says that the outcome is unknown. It does not wait
// longer than until the deadline. request is the caller's request ID, for the log.
func (g *Group) confirmCommit(u *upstream.Upstream, request string, p position.Position, deadline time.Duration) error {
	id, ackedAt, guarded := u.Member().ID, g.cfg.Clock(), false
	for {
		g.mu.Lock()
		containment, claimed, proof := g.commitContainment(id, p)
		var basis commitBasis
		switch containment {
		case takeover.Unproven:
			g.askReplicas(id, p, ackedAt)
		case takeover.Contained:
			basis = g.commitBasis(id, p, proof)
		}
		changed := g.changed
		g.mu.Unlock()
		now := g.cfg.Clock()
		switch {
		case containment == takeover.Contained:
			g.cfg.Metrics.ObserveCommitProof(now - ackedAt)
			g.noteCommit(basis, request, id, p, now-ackedAt)
			switch {
			case claimed:
				g.cfg.Metrics.CountGuardedCommit(containment.String())
			case guarded:
				g.cfg.Metrics.CountGuardedCommit("released")
			}
			return nil
		case containment == takeover.Superseded || now >= deadline:
			if containment == takeover.Superseded {
				g.commitSuperseded(u, p)
			}
			g.cfg.Metrics.CountGuardedCommit(takeover.Unproven.String())
			g.cfg.Log.WithFields(logrus.Fields{"event": "commit_unproven", "member": id, "position": p.String(), "containment": containment.String(), "claimed": claimed, "replicas": g.describeEvidence(id), "waited_ms": (now - ackedAt).Milliseconds()}).Warn("a commit was acknowledged that the next primary may lack")
			return verdict.New(verdict.OutcomeUnknown, "the next primary may lack the commit at %s", p)
		}
		guarded = guarded || claimed
		wait := deadline - now
		if now < ackedAt+proofHedge {
			wait = min(wait, ackedAt+proofHedge-now)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// commitContainment returns what is known of a commit at p that a member has acknowledged,
// whether an instance is replacing the member, and the proof of a contained commit. g.mu is held.
func (g *Group) commitContainment(id string, p position.Position) (c takeover.Containment, claimed bool, proof takeover.Proof) {
	claim, now := g.tracker.ClaimAgainst(id, p), g.cfg.Clock()
	switch {
	case p.Term < g.tracker.Primary().Term:
		return takeover.Superseded, false, proof
	case !g.tracker.Establishes(id, p):
		return takeover.Unestablished, claim != nil, proof
	case g.service.AcknowledgedBy == 0:
		return takeover.Contained, false, proof // an acknowledged commit may be on the primary alone
	}
	var replicas []takeover.Evidence
	primary, outdated := g.members[id], now-g.lastRecordsRead.Earliest > claimNoticeTime
	for other, m := range g.members {
		if other != id {
			e := g.evidenceOf(m)
			// A read without the primary may miss the only replica that has the commit.
			e.Counted = e.Counted && primary != nil && g.settled(primary) && primary.runsSince <= g.noClaimAt
			// A member that this instance does not know may have been called for, by logs from before
			// a restart of this replica.
			e.MayBeLeftOut = e.MayBeLeftOut || outdated && !e.Anchored(p)
			replicas = append(replicas, e)
		}
	}
	known := claim
	if claim != nil && claim.Successor() != "" && outdated {
		// Another member may have been called for since, and replicas that were paused for the
		// one that is known may receive again.
		known = nil
		for i := range replicas {
			replicas[i].Counted = false
		}
	}
	c, proof = takeover.Prove(known, p, replicas)
	if c == takeover.Contained && claim != nil && known == nil && !takeover.Held(claim.Successor(), p, replicas) {
		c = takeover.Unproven
	}
	for _, late := range g.mayLead() {
		if c == takeover.Contained && late != id && takeover.MayLack(late, p, replicas) {
			c = takeover.Unproven
		}
	}
	return c, claim != nil, proof
}

// settled reports whether each instance that bounds the position of acknowledged commits by
// the members' answers knows the member: its lists and its reading of the record are younger than
// maxMembersAge. g.mu is held.
func (g *Group) settled(m *member) bool {
	now := g.cfg.Clock()
	return m.namedSince != 0 && now-m.namedSince >= memberSettleTime || m.missingSince == 0 && now-m.knownSince >= memberSettleTime
}

// mayLead returns the members that calls without an answer may still promote. g.mu is held.
func (g *Group) mayLead() []string { return g.tracker.Record().MayLeadAt(g.storeTime()) }

// describeEvidence formats what is known of the other members' logs for the log.
func (g *Group) describeEvidence(primary string) (all []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, m := range g.members {
		if id != primary {
			all = append(all, g.evidenceOf(m).String())
		}
	}
	return all
}

// evidenceOf returns what is known of a replica's log. g.mu is held.
func (g *Group) evidenceOf(m *member) takeover.Evidence {
	m.evidence.ObserveNoClaim(g.noClaimAt)
	e, now := m.evidence, g.cfg.Clock()
	e.Member = m.Member().ID
	e.Counted = m.missingSince == 0 && !m.Member().Draining && now-m.knownSince >= memberSettleTime && g.noClaimAt-m.knownSince >= claimSettleTime && now-g.membersAsOf <= maxCountedAge && g.named(e.Member) &&
		g.watched(m)
	e.MayBeLeftOut = g.mayBeLeftOut(m)
	e.Unsettled = !g.settled(m)
	return e
}

// mayBeLeftOut reports whether another instance may have left a member out of bounds and changes of
// primary. One that runs may have been left out if it is not known to have run since before the list that
// shows it: it crashed, others forgot it, and it has come back with its log. g.mu is held.
func (g *Group) mayBeLeftOut(m *member) bool {
	recent := g.cfg.Clock()-g.membersAsOf <= maxCountedAge || m.runsSince <= g.membersAsOf
	return m.missingSince != 0 || m.Member().Draining || !g.named(m.Member().ID) || !recent
}

// askReplicas asks the replicas that may prove the commit at p, which was acknowledged at
// ackedAt, for their status: one of them first, and all after proofHedge. g.mu is held.
func (g *Group) askReplicas(primary string, p position.Position, ackedAt time.Duration) {
	candidate := ""
	if claim := g.tracker.ClaimAgainst(primary, p); claim != nil {
		candidate = claim.Successor()
	}
	var replicas []*member
	late := g.mayLead()
	for id, m := range g.members {
		if id != primary && (candidate == "" || id == candidate || slices.Contains(late, id)) {
			replicas = append(replicas, m)
		}
	}
	if candidate == "" && len(late) == 0 && len(replicas) > 1 && g.cfg.Clock() < ackedAt+proofHedge {
		first := slices.MinFunc(replicas, g.compareWitnesses)
		if g.evidenceOf(first).Counted && !first.unanswered {
			replicas = []*member{first}
		}
	}
	for _, m := range replicas {
		if !m.asking && !m.evidence.Holds(p) {
			m.asking = true
			m.KeepOpen(keepOpenTime)
			interval := proofInterval
			if m.unanswered {
				interval = goneInterval
			}
			delay := max(m.askedAt+interval-g.cfg.Clock(), 0)
			go func() {
				time.Sleep(delay)
				g.askReplica(m)
			}()
		}
	}
}

// compareWitnesses orders replicas by how soon one is likely to prove a commit. g.mu is held.
func (g *Group) compareWitnesses(a, b *member) int {
	return cmp.Or(
		compareBool(g.evidenceOf(b).Counted, g.evidenceOf(a).Counted),
		compareBool(a.unanswered, b.unanswered),
		compareBool(b.Member().FailureDomain == g.cfg.FailureDomain, a.Member().FailureDomain == g.cfg.FailureDomain),
		strings.Compare(a.Member().ID, b.Member().ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// askReplica asks a replica for its status; control keeps what the answer proves.
func (g *Group) askReplica(m *member) {
	g.mu.Lock()
	m.askedAt = g.cfg.Clock()
	g.mu.Unlock()
	g.reportRequest(m.Upstream, nil)
	entry := m.Member()
	reply, gone := g.control(m, statement.Control{Kind: statement.GetStatus}, false)
	g.recordAnswer(m, entry, reply != nil, gone)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.asking = false
	g.broadcast()
}

// observeStatus keeps what a status proves of a member's log. knownSince is that of the
// member before it was asked, at sentAt: the answer may be that of an earlier incarnation.
func (g *Group) observeStatus(m *member, reply upstream.StatusReply, knownSince, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.maxPosition = position.Max(m.maxPosition, reply.Received)
	m.runsSince = max(reply.RunsSince, knownSince)
	m.watch.Observe(reply.PausedTerm != 0 || m.knownSince != knownSince, sentAt, g.cfg.Clock(), maxWatchGap)
	g.observeServing(m, reply.Status)
	if m.knownSince != knownSince {
		return
	}
	if g.observeRestarted(m, reply.Status); m.logLost() {
		return
	}
	m.evidence.Observe(reply.Status, max(reply.RunsSince, knownSince))
	g.observeRemaining(m, reply.Status, sentAt)
}
