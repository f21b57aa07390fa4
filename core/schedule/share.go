package schedule

import "time"

const (
	// shareWindow is the time for which a workspace without requests counts as active, and over which an unused part accumulates.
	shareWindow = 2 * time.Second
	// minShareBurst is the number of requests that a workspace may always send at once
	// within its part, so that a small part does not delay occasional requests.
	minShareBurst = 4
)

// shares tracks the part of the slots' time that each workspace has used. The fair part
// of a workspace is that of its weight among all workspaces that sent requests lately.
// Requests beyond it that find no free slot are queued as least urgent. Otherwise a
// workspace that floods a more urgent rank would take the slots from the less urgent work
// of all others: at seven times the usual demand of one workspace of eight, in a group with
// a load of 70%, the others lost 16% to 21% of their requests, in the least urgent rank.
type shares struct {
	workspaces map[string]*share
	weight     float64 // sum of the weights
	sweepAt    time.Duration
}

type share struct {
	weight  float64
	credit  time.Duration // slot time that the workspace may use within its part, as of lastUse
	lastUse time.Duration
	waiting int
}

// get returns the up-to-date share of the request's workspace.
func (s *shares) get(r *Request, slots int, serviceTime, now time.Duration) *share {
	s.sweep(now)
	w, known := s.workspaces[r.Workspace]
	if !known {
		w = &share{}
		s.workspaces[r.Workspace] = w
	}
	s.weight += r.Weight - w.weight
	part := float64(slots) * r.Weight / s.weight
	limit := max(time.Duration(part*float64(shareWindow)), minShareBurst*serviceTime)
	w.credit = min(w.credit+time.Duration(part*float64(now-w.lastUse)), limit)
	if !known {
		w.credit = limit
	}
	w.weight, w.lastUse = r.Weight, now
	return w
}

// sweep removes the workspaces that have no waiting request and sent none within
// shareWindow.
func (s *shares) sweep(now time.Duration) {
	if now < s.sweepAt {
		return
	}
	s.sweepAt = now + shareWindow/2
	s.weight = 0
	for name, w := range s.workspaces {
		if w.waiting == 0 && now-w.lastUse >= shareWindow {
			delete(s.workspaces, name)
			continue
		}
		s.weight += w.weight
	}
}

// exceedsShare reports whether a request is beyond the fair part of its workspace.
func (s *Scheduler) exceedsShare(r *Request, now time.Duration) bool {
	if r.Workspace == "" {
		return false
	}
	serviceTime := s.ranks[r.Rank].expectedServiceTime(r.Class)
	return s.shares.get(r, s.slots, serviceTime, now).credit < serviceTime && !r.InTransaction
}

// addWaiting adds n to the number of waiting requests of the request's workspace.
func (s *shares) addWaiting(r *Request, n int) {
	if w := s.workspaces[r.Workspace]; w != nil {
		w.waiting += n
	}
}

// useShare charges a request to the part of its workspace. The service of requests that
// were queued as least urgent or that found a free slot creates no debt.
func (s *Scheduler) useShare(r *Request, serviceTime, now time.Duration) {
	if r.Workspace == "" {
		return
	}
	w := s.shares.get(r, s.slots, serviceTime, now)
	w.credit = max(w.credit-serviceTime, 0)
}
