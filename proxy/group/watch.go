package group

import "time"

const (
	// watchInterval separates two status queries to a replica while there is no recent reading without a
	// claim.
	watchInterval = 50 * time.Millisecond
	// watchAfter is the age of the last reading of the record without a claim from which replicas
	// are watched.
	watchAfter = claimNoticeTime - watchInterval
	// maxWatchGap is the time between two answers of a watched replica within which it may have
	// been paused and resumed unseen. While the old primary may serve, a holder keeps the
	// replicas paused for that long before it calls for a promotion.
	maxWatchGap = 300 * time.Millisecond
	// watchedUse is the time since its last statement on the primary for which an instance
	// watches the members.
	watchedUse = time.Minute
)

// watched reports whether no promotion can have taken effect since a holder of a claim paused
// the replica: there was no claim when the record was last read, a short time ago, or the
// replica has been watched since, in one process. g.mu is held.
func (g *Group) watched(m *member) bool {
	now := g.cfg.Clock()
	return m.runsSince <= g.noClaimAt && (now-g.noClaimAt <= claimNoticeTime || m.watch.Covers(g.noClaimAt+claimNoticeTime, now, maxWatchGap))
}

// watchMembers asks the members for their status while there is no recent reading of the record
// without a claim, until no commit has needed proof for watchedUse or Run has returned.
func (g *Group) watchMembers() {
	for {
		g.mu.Lock()
		now := g.cfg.Clock()
		if now-g.primaryUsedAt > watchedUse {
			g.watching = false
			g.mu.Unlock()
			return
		}
		wait := g.noClaimAt + watchAfter - now
		if wait <= 0 {
			wait = watchInterval
			for _, m := range g.members {
				if !m.asking && !m.unanswered {
					m.asking = true
					go g.askReplica(m)
				}
			}
		}
		g.mu.Unlock()
		select {
		case <-g.finished:
			return
		case <-time.After(wait):
		}
	}
}

// observePrimaryUse notes a statement that this instance runs on the primary. g.mu is held.
func (g *Group) observePrimaryUse() {
	g.primaryUsedAt = g.cfg.Clock()
	if !g.watching && g.service.AcknowledgedBy > 0 {
		g.watching = true
		go g.watchMembers()
	}
}
