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

// pauseWatch is the time for which a replica is known not to have been paused for longer than
// maxWatchGap: a promotion ends pauses.
type pauseWatch struct {
	since time.Duration // of the first answer
	until time.Duration // when the query was sent that the last answer belongs to
}

// observe handles the answer at the time now to a query that was sent at sentAt.
func (w *pauseWatch) observe(paused bool, sentAt, now time.Duration) {
	switch {
	case paused:
		*w = pauseWatch{}
	case w.since == 0 || now-w.until > maxWatchGap:
		*w = pauseWatch{now, sentAt}
	default:
		w.until = max(w.until, sentAt)
	}
}

// covers reports whether the replica has been watched from the given time, or earlier, until now.
func (w pauseWatch) covers(from, now time.Duration) bool {
	return w.since != 0 && w.since <= from && now-w.until <= maxWatchGap
}

// watched reports whether no promotion can have taken effect since a holder of a claim paused
// the replica: there was no claim when the record was last read, a short time ago, or the
// replica has been watched since, in one process. g.mu is held.
func (g *Group) watched(m *member) bool {
	now := g.cfg.Clock()
	return m.runsSince <= g.noClaimAt && (now-g.noClaimAt <= claimNoticeTime || m.watch.covers(g.noClaimAt+claimNoticeTime, now))
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
