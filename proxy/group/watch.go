package group

import "time"

const (
	// watchInterval separates two status queries to a replica while the record is not read.
	watchInterval = 50 * time.Millisecond
	// watchAfter is the age of the last reading of the record from which replicas are watched.
	watchAfter = 350 * time.Millisecond
	// maxWatchGap is the time between two answers of a watched replica within which it may have
	// been paused and resumed unseen. A holder pauses it for longer than callNoticeTime before
	// the old primary, if that may serve, is replaced.
	maxWatchGap = 300 * time.Millisecond
	// watchedUse is the time since its last commit for which an instance watches replicas.
	watchedUse = 10 * time.Second
)

// pauseWatch is the time for which a replica is known not to have been paused for longer than
// maxWatchGap. While the record is not read, a promotion may end a pause unseen.
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

// watchReplicas asks the replicas for their status while the record is not read, until no commit
// has needed proof for watchedUse or Run has returned.
func (g *Group) watchReplicas() {
	for {
		g.mu.Lock()
		now := g.cfg.Clock()
		if now-g.lastCommitAt > watchedUse {
			g.watching = false
			g.mu.Unlock()
			return
		}
		wait := g.noCallAt + watchAfter - now
		if wait <= 0 {
			wait = watchInterval
			for id, m := range g.members {
				if id != g.tracker.Primary().Member && !m.asking && !m.unanswered {
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

// observeCommit notes a commit that needs proof. g.mu is held.
func (g *Group) observeCommit() {
	g.lastCommitAt = g.cfg.Clock()
	if !g.watching && g.service.AcknowledgedBy > 0 {
		g.watching = true
		go g.watchReplicas()
	}
}
