package ratelimit

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/papayarail/papayarail/core/rendezvous"
	"github.com/papayarail/papayarail/core/source"
)

const (
	// failuresBeforeChange is the number of requests in a row, each unanswered for
	// WaitLimit, after which an instance asks another allocator. One lost or slow answer
	// is no reason to divide the shares.
	failuresBeforeChange = 2
	// allocatorCandidates is the number of instances that may become the allocator of a
	// shard before an instance serves itself. Dead instances stay in the list: when half of
	// 88 had died, the first three of a shard were among them, and 30% were refused.
	allocatorCandidates = 8
	// probeInterval is the time between two attempts to reach the allocators that precede
	// the present one, and leavingExclusion how long one that is leaving is left out.
	probeInterval    = time.Second
	leavingExclusion = 10 * time.Second
	// maxPending bounds the unanswered requests to one allocator whose late answers count.
	maxPending = 8
	// demandWeight is the weight of the last batch interval in the estimated demand.
	demandWeight = 0.3
	// advanceCover is the number of batch intervals for which permits are kept in advance.
	advanceCover = 1.5
	// idleIntervals is the number of estimates of the demand, one for each batch interval or
	// half of it, without an operation after which an instance forgets a workspace.
	idleIntervals = 40
	// waitFraction is the part of the time until its deadline that an operation waits for a
	// permit at the most; the rest is left for its execution.
	waitFraction = 0.75
	// drainTerm is how long after a pause without permits operations may still queue behind
	// those that the pause has left. With 2 s, 1.56% were refused from 3 s after the loss of
	// a failure domain, with 5 s 0.71%.
	drainTerm = 5 * time.Second
)

// Outgoing is a request to be sent to an allocator, which may be the instance itself.
type Outgoing struct {
	To      source.Candidate
	Request Request
}

// Verdict is the answer of Holder.Admit.
type Verdict uint8

const (
	// Admitted means that the operation has a permit and may run.
	Admitted Verdict = iota
	// Refused means that it may not run.
	Refused
	// Waits means that a Decision about it follows, or that KeepsWaiting is to be asked
	// after WaitLimit.
	Waits
)

// Ticket is the permit on which one operation was admitted.
type Ticket struct {
	permit   *permit
	refunded bool
}

// Decision ends the wait of operations of a workspace: the first ones may run, with a
// Ticket each, the next Kept ones wait on, the next Refused ones may not run.
type Decision struct {
	Workspace string
	Admitted  []*Ticket
	Kept      int
	Refused   int
	// RetryAfter is when the refused callers may expect room.
	RetryAfter time.Duration
	// Unanswered means that they are refused because no allocator answered.
	Unanswered bool
}

// Holder keeps the permits of one instance and lends its share. It is not safe for
// concurrent use.
type Holder struct {
	self        string
	incarnation uint64
	params      Params
	limits      map[string]Limit
	started     time.Duration
	random      *rand.Rand

	candidates []source.Candidate
	joinedAt   time.Duration // from when the others count this instance
	listed     bool
	standalone bool // there are no other instances
	sizes      []listSize
	leaving    bool

	seq        uint64
	count      int               // number of shards
	shards     map[int]*loan     // shards of the present count with limited workspaces
	formerEnd  time.Duration     // end of the leases under other counts of shards
	workspaces map[string]*stock // with recent operations
	// AllocatorChanges counts changes to another allocator.
	allocatorChanges int
}

// listSize is the number of announced instances from some time on.
type listSize struct {
	n     int
	until time.Duration // when the next list replaced it
}

// loan is the share of this instance in one shard, and its exchange with allocators.
type loan struct {
	shard     Shard
	order     []source.Candidate // allocators in order of preference
	current   int
	exchanges map[string]*exchange // by allocator
	excluded  map[string]time.Duration
	failures  map[string]int
	// lentTo is the process to which the share is lent, until lentUntil at the latest.
	lentTo    borrower
	lentUntil time.Duration
	batchAt   time.Duration
	probeAt   time.Duration
	releaseAt time.Duration // no request to release the share is sent before
	observed  time.Duration // when the demand was last estimated
	// Permits are expected from openAt on after a pause. Until drainUntil, operations may
	// queue. All workspaces share the pause, as it is one of the shares of the shard.
	openAt, drainUntil time.Duration
	silent             bool // the pause is expected because the present allocator did not answer
	urgent             bool // an operation waits for a permit that has not been asked for
}

// borrower is one process of an allocator.
type borrower struct {
	name        string
	incarnation uint64
}

// exchange is what an instance knows of one allocator.
type exchange struct {
	to         source.Candidate
	stamp      Stamp
	receivedAt time.Duration
	pending    []pendingRequest
}

// pendingRequest is a request whose answer has not arrived.
type pendingRequest struct {
	seq      uint64
	sentAt   time.Duration
	timedOut bool
	releases bool
	probe    bool
	waiting  map[string]int // operations that it asks for, by workspace
}

// stock is what an instance holds and knows of one workspace.
type stock struct {
	permits []*permit
	queue   []waiting
	asked   int     // those of them that a pending request asks for
	arrived int     // operations since the last batch
	refused int     // refused ones that are not reported yet
	demand  float64 // operations in a batch interval
	idle    int     // estimates of the demand without an operation
	// Until emptyUntil, the allocator has no permits; callers may return at retryAfter.
	emptyUntil time.Duration
	retryAfter time.Duration
	// othersQueued operations waited at other instances.
	othersQueued int
}

// waiting is an operation that waits for a permit.
type waiting struct {
	deadline time.Duration
	kept     bool // it waits for the end of a pause, until its deadline
}

// permit is the permits of one grant.
type permit struct {
	from    borrower
	seq     uint64 // of the request that was answered with them
	n       int    // unused
	used    int    // used and not reported yet
	expires time.Duration
	advance bool
}

// NewHolder returns a Holder without permits. incarnation differs from that of every
// other process that has had the same name. A standalone instance has no other ones.
func NewHolder(now time.Duration, self string, incarnation uint64, p Params, standalone bool, random *rand.Rand) *Holder {
	h := &Holder{self: self, incarnation: incarnation, params: p, started: now, random: random, standalone: standalone,
		shards: make(map[int]*loan), workspaces: make(map[string]*stock), count: 1}
	if standalone {
		h.SetInstances(now, []source.Candidate{{Name: self}})
	}
	return h
}

// SetLimits replaces the limits of all workspaces. They must not be changed afterwards.
func (h *Holder) SetLimits(now time.Duration, limits map[string]Limit) {
	h.limits = limits
	for name, s := range h.workspaces {
		if _, limited := limits[name]; !limited && len(s.queue) == 0 {
			delete(h.workspaces, name)
		}
	}
	h.arrange(now)
}

// SetInstances replaces the list of announced instances.
func (h *Holder) SetInstances(now time.Duration, all []source.Candidate) {
	if len(h.sizes) > 0 {
		h.sizes[len(h.sizes)-1].until = now
	}
	h.sizes = append(h.sizes, listSize{n: len(all)})
	h.candidates = all
	listed := slices.ContainsFunc(all, func(c source.Candidate) bool { return c.Name == h.self })
	switch {
	case listed && len(h.sizes) == 1:
		// An instance announces itself only after its first list, so this entry is of a
		// former process, and the others count it already.
		h.joinedAt = now
	case listed && !h.listed:
		h.joinedAt = now + joinDelay
	}
	h.listed = listed
	h.arrange(now)
}

// instances returns the greatest number of announced instances within listMemory.
func (h *Holder) instances(now time.Duration) int {
	n := 1
	for len(h.sizes) > 1 && h.sizes[0].until+listMemory < now {
		h.sizes = h.sizes[1:]
	}
	for _, s := range h.sizes {
		n = max(n, s.n)
	}
	return n
}

// arrange computes the shards and the order of their allocators.
func (h *Holder) arrange(now time.Duration) {
	if count := shardCount(h.instances(now)); count != h.count {
		for _, l := range h.shards {
			h.formerEnd = max(h.formerEnd, l.lentUntil)
		}
		h.count = count
		h.shards = make(map[int]*loan)
		for _, s := range h.workspaces {
			s.asked = 0
		}
	}
	needed := make(map[int]bool)
	for name := range h.limits {
		needed[shardOf(name, h.count).Index] = true
	}
	for _, index := range slices.Sorted(maps.Keys(needed)) {
		l := h.shards[index]
		if l == nil {
			// The phase is random, so that the requests of all instances are spread.
			l = &loan{shard: Shard{index, h.count}, exchanges: make(map[string]*exchange), excluded: make(map[string]time.Duration), failures: make(map[string]int),
				observed: now, urgent: true, batchAt: now + time.Duration(h.random.Int64N(int64(BatchInterval)))}
			h.shards[index] = l
		}
		h.order(l)
	}
	for index, l := range h.shards {
		if !needed[index] {
			h.formerEnd = max(h.formerEnd, l.lentUntil)
			delete(h.shards, index)
		}
	}
}

// order computes the order in which the instances may be the allocator of a shard.
func (h *Holder) order(l *loan) {
	var present string
	if l.current < len(l.order) {
		present = l.order[l.current].Name
	}
	order := slices.Clone(h.candidates)
	for i := range order {
		// Squared, because all the work of a shard falls to one instance: an allocator of
		// deployment A answers several hundred requests per second, which the common
		// instance with 0.192 of a core should not.
		order[i].Weight *= order[i].Weight
	}
	order = rendezvous.First("quota/"+strconv.Itoa(l.shard.Count)+"/"+strconv.Itoa(l.shard.Index), order, allocatorCandidates)
	if !slices.ContainsFunc(order, func(c source.Candidate) bool { return c.Name == h.self }) {
		order = append(order, source.Candidate{Name: h.self})
	}
	if h.leaving {
		order = slices.DeleteFunc(order, func(c source.Candidate) bool { return c.Name == h.self && len(order) > 1 })
	}
	l.order = order
	l.current = max(slices.IndexFunc(order, func(c source.Candidate) bool { return c.Name == present }), 0)
	for name := range l.exchanges {
		if !slices.ContainsFunc(order, func(c source.Candidate) bool { return c.Name == name }) && l.lentTo.name != name {
			delete(l.exchanges, name)
		}
	}
}

// Leave makes the instance take its share back and lend it no more. Other instances are
// to be told by Allocator.SetLeaving.
func (h *Holder) Leave(now time.Duration) {
	h.leaving = true
	h.arrange(now)
	for _, l := range h.shards {
		l.batchAt = now
	}
}

// Limited reports whether a workspace has a limit.
func (h *Holder) Limited(workspace string) bool {
	_, ok := h.limits[workspace]
	return ok
}

// Admit decides about an operation of a limited workspace that has arrived. An admitted one
// has a Ticket; if it is refused, retryAfter is when its caller may expect room. If the
// operation waits, Requests is to be called next. An operation waits for the end of a pause
// without permits if that leaves a quarter of the time until its deadline.
func (h *Holder) Admit(now time.Duration, workspace string, deadline time.Duration) (v Verdict, t *Ticket, retryAfter time.Duration) {
	s := h.workspaces[workspace]
	if s == nil {
		s = &stock{}
		h.workspaces[workspace] = s
	}
	s.arrived++
	s.idle = 0
	if len(s.queue) == 0 {
		if t := s.use(now); t != nil {
			return Admitted, t, 0
		}
	}
	kept := h.fits(s, workspace, len(s.queue), deadline, now)
	if now < s.emptyUntil && !kept {
		s.refused++
		return Refused, nil, h.spread(s.retryAfter)
	}
	s.queue = append(s.queue, waiting{deadline, kept})
	if now < s.emptyUntil {
		return Waits, nil, 0
	}
	if l := h.shards[shardOf(workspace, h.count).Index]; l != nil {
		l.urgent = true
	}
	return Waits, nil, 0
}

// fits reports whether an operation with a number of others before it can be expected to
// have a permit, after a pause, within waitFraction of the time until its deadline.
func (h *Holder) fits(s *stock, workspace string, ahead int, deadline, now time.Duration) bool {
	limit, limited := h.limits[workspace]
	l := h.shards[shardOf(workspace, h.count).Index]
	if !limited || l == nil || now >= l.drainUntil {
		return false
	}
	serve := float64(ahead+s.othersQueued) / h.params.sizeFor(limit, 1).rate
	return max(l.openAt-now, 0).Seconds()+serve <= waitFraction*(deadline-now).Seconds()
}

// paused records that there are no permits of a shard until about end.
func (l *loan) paused(end time.Duration) {
	l.openAt, l.drainUntil = end, end+drainTerm
}

// pauseEnd returns when the share of this instance can be lent to the allocator that it
// asks. Those of the others can be at about the same time, because the loss of an allocator
// or a restart of all instances concerns all of them.
func (h *Holder) pauseEnd(l *loan, now time.Duration) time.Duration {
	to := borrower{name: l.order[l.current].Name}
	if x := l.exchanges[to.name]; x != nil {
		to.incarnation = x.stamp.Incarnation
	}
	at, ok := h.lendableAt(l, to)
	if !ok {
		at = max(h.started+leaseTerm, l.lentUntil)
	}
	return max(at, now) + BatchInterval/4
}

// leave ends the wait of the first n operations of a workspace that cannot be kept waiting.
func (h *Holder) leave(s *stock, workspace string, n int, now time.Duration) (kept, refused int) {
	n = min(n, len(s.queue))
	for kept < n && (s.queue[kept].kept || h.fits(s, workspace, kept, s.queue[kept].deadline, now)) {
		s.queue[kept].kept = true
		kept++
	}
	for kept+refused < n && !s.queue[kept+refused].kept {
		refused++
	}
	s.queue = slices.Delete(s.queue, kept, kept+refused)
	return kept, refused
}

// KeepsWaiting reports whether an operation, by its place in the queue of its workspace,
// waits on after WaitLimit. Otherwise, GiveUp is to be called for it.
func (h *Holder) KeepsWaiting(now time.Duration, workspace string, place int) bool {
	s := h.workspaces[workspace]
	if s == nil || place >= len(s.queue) || now >= s.queue[place].deadline || !h.Limited(workspace) {
		return false
	}
	q := &s.queue[place]
	q.kept = q.kept || h.fits(s, workspace, place, q.deadline, now)
	return q.kept
}

// spread returns a time of 0.5 to 1.5 of d, so that refused callers do not return together.
func (h *Holder) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + h.random.Float64()))
}

// use takes a valid permit, the one that expires first; nil if there is none.
func (s *stock) use(now time.Duration) *Ticket {
	var best *permit
	for _, p := range s.permits {
		if p.n > 0 && p.expires > now && (best == nil || p.expires < best.expires) {
			best = p
		}
	}
	if best == nil {
		return nil
	}
	best.n--
	best.used++
	return &Ticket{permit: best}
}

// Refund gives the permit of an operation back that did not run, once. Only a permit that
// is valid and not reported as used can be used again: any other one has left the
// allocator's account, and a second use would exceed the limit. For the same reason, the
// permit of another operation must not be given back instead.
func (h *Holder) Refund(now time.Duration, t *Ticket) bool {
	p := t.permit
	if t.refunded || p.expires <= now || p.used == 0 {
		return false
	}
	t.refunded = true
	p.used--
	p.n++
	return true
}

// GiveUp ends the wait of an operation, by its place in the queue of its workspace.
func (h *Holder) GiveUp(workspace string, place int) (retryAfter time.Duration) {
	s := h.workspaces[workspace]
	if s == nil || place >= len(s.queue) {
		return h.spread(BatchInterval)
	}
	s.queue = slices.Delete(s.queue, place, place+1)
	if place < s.asked {
		s.asked--
	}
	s.refused++
	return h.spread(max(s.retryAfter, BatchInterval))
}

// NextWake returns when Requests is to be called next at the latest; ok is false if there
// is nothing to do.
func (h *Holder) NextWake(now time.Duration) (at time.Duration, ok bool) {
	at = math.MaxInt64
	for _, l := range h.shards {
		at = min(at, l.batchAt)
		for _, x := range l.exchanges {
			for _, p := range x.pending {
				if !p.timedOut {
					at = min(at, p.sentAt+WaitLimit)
				}
			}
		}
	}
	for _, s := range h.workspaces {
		if len(s.queue) > s.asked && s.emptyUntil > now {
			at = min(at, s.emptyUntil)
		}
	}
	return max(at, now), len(h.shards) > 0
}

// Requests returns the requests that are due, and the decisions about operations whose
// request was not answered in time.
func (h *Holder) Requests(now time.Duration) (out []Outgoing, decisions []Decision) {
	if n := shardCount(h.instances(now)); n != h.count {
		h.arrange(now) // a former number of instances no longer counts
	}
	for name, s := range h.workspaces {
		if l := h.shards[shardOf(name, h.count).Index]; l != nil && h.Limited(name) && len(s.queue) > s.asked && now >= s.emptyUntil {
			l.urgent = true
		}
	}
	for _, index := range slices.Sorted(maps.Keys(h.shards)) {
		l := h.shards[index]
		decisions = append(decisions, h.checkTimeouts(l, now)...)
		h.choose(l, now)
		out = append(out, h.release(l, now)...)
		batch := now >= l.batchAt
		if !batch && !l.urgent {
			continue
		}
		to := l.order[l.current]
		x := l.exchange(to)
		if !batch && x.busy() {
			continue // the next request follows the answer
		}
		// Each request carries everything, so it also replaces the next regular one.
		l.batchAt = now + BatchInterval
		h.observe(l, now)
		out = append(out, h.probes(l, now)...)
		out = append(out, h.request(l, to, x, now))
	}
	return out, decisions
}

func (l *loan) exchange(to source.Candidate) *exchange {
	x := l.exchanges[to.Name]
	if x == nil {
		x = &exchange{}
		l.exchanges[to.Name] = x
	}
	x.to = to
	return x
}

// add adds a request whose answer is awaited.
func (x *exchange) add(p pendingRequest) {
	x.pending = append(x.pending, p)
	if len(x.pending) > maxPending {
		x.pending = slices.Delete(x.pending, 0, len(x.pending)-maxPending)
	}
}

// busy reports whether a request is under way that asks for permits.
func (x *exchange) busy() bool {
	return slices.ContainsFunc(x.pending, func(p pendingRequest) bool { return !p.timedOut && !p.probe })
}

// observe updates the estimated demand of the workspaces of a shard.
func (h *Holder) observe(l *loan, now time.Duration) {
	elapsed := now - l.observed
	if elapsed < BatchInterval/2 {
		return // too short for an estimate
	}
	l.observed = now
	intervals := float64(elapsed) / float64(BatchInterval)
	for name, s := range h.workspaces {
		if shardOf(name, l.shard.Count) != l.shard {
			continue
		}
		s.demand += demandWeight * (float64(s.arrived)/intervals - s.demand)
		s.arrived = 0
		if s.idle++; s.idle > idleIntervals && len(s.queue) == 0 {
			delete(h.workspaces, name)
		}
	}
}

// lendableAt returns when the share may be lent to a process; ok is false if it may not be
// lent at all.
func (h *Holder) lendableAt(l *loan, to borrower) (at time.Duration, ok bool) {
	if h.leaving || !h.listed {
		return 0, false
	}
	// A former process of this instance may have lent the share until it ended.
	at = max(h.started+leaseTerm+clockMargin, h.formerEnd)
	if !h.standalone {
		at = max(at, h.joinedAt)
	}
	if l.lentTo != to {
		at = max(at, l.lentUntil)
	}
	return at, true
}

// lend makes a request lend the share if that is possible, and plans the next request for
// the time when it becomes possible otherwise.
func (h *Holder) lend(l *loan, to borrower, x *exchange, r *Request, now time.Duration) {
	at, ok := h.lendableAt(l, to)
	if !ok {
		return
	}
	if at > now {
		l.batchAt = min(l.batchAt, at)
		return
	}
	r.Lends = true
	l.lentTo, l.lentUntil = to, now+leaseTerm+clockMargin
	for i := range x.pending {
		x.pending[i].releases = false // the answer would no longer free the share
	}
}

// release returns the request that takes the share back from an allocator which this
// instance no longer uses and which answers.
func (h *Holder) release(l *loan, now time.Duration) (out []Outgoing) {
	used := !h.leaving && l.order[l.current].Name == l.lentTo.name
	x := l.exchanges[l.lentTo.name]
	if used || l.lentUntil <= now || now < l.releaseAt || x == nil || x.stamp.Incarnation != l.lentTo.incarnation || l.failures[l.lentTo.name] > 0 {
		return nil
	}
	l.releaseAt = now + BatchInterval
	h.seq++
	x.add(pendingRequest{seq: h.seq, sentAt: now, releases: true, probe: true})
	return []Outgoing{{x.to, Request{From: h.self, Incarnation: h.incarnation, Seq: h.seq, Shard: l.shard, Instances: h.instances(now), Releases: true}}}
}

// request returns the next request to an allocator.
func (h *Holder) request(l *loan, to source.Candidate, x *exchange, now time.Duration) Outgoing {
	h.seq++
	r := Request{From: h.self, Incarnation: h.incarnation, Seq: h.seq, Shard: l.shard, Instances: h.instances(now)}
	target := borrower{to.Name, x.stamp.Incarnation}
	if x.stamp.Incarnation != 0 {
		r.Stamp, r.Held = x.stamp, now-x.receivedAt
		h.lend(l, target, x, &r, now)
	}
	p := pendingRequest{seq: h.seq, sentAt: now, waiting: make(map[string]int)}
	for name, s := range h.workspaces {
		if shardOf(name, l.shard.Count) != l.shard {
			continue
		}
		if _, limited := h.limits[name]; !limited {
			continue
		}
		ask := Ask{Workspace: name, Waiting: len(s.queue) - s.asked, Refused: s.refused}
		ask.Settled = s.settle(target, now)
		held := 0
		for _, have := range s.permits {
			held += have.n
		}
		ask.Advance = max(int(advanceCover*s.demand)-held, 0)
		if ask.Waiting == 0 && ask.Advance == 0 && ask.Refused == 0 && len(ask.Settled) == 0 {
			continue
		}
		if ask.Waiting > 0 {
			s.asked += ask.Waiting
			p.waiting[name] = ask.Waiting
		}
		s.refused = 0
		r.Asks = append(r.Asks, ask)
	}
	slices.SortFunc(r.Asks, func(a, b Ask) int { return cmp.Compare(a.Workspace, b.Workspace) })
	l.urgent = false
	x.add(p)
	return Outgoing{to, r}
}

// settle drops permits that have expired and those of an allocator that expire before the
// next batch, and returns what is to be reported to it. Permits for waiting operations are
// not reported, as they expire soon.
func (s *stock) settle(from borrower, now time.Duration) (all []Settled) {
	kept := s.permits[:0]
	for _, p := range s.permits {
		report := Settled{Seq: p.seq}
		ends := p.expires <= now
		if p.advance && p.from == from {
			report.Used, p.used = p.used, 0
			if p.expires <= now+BatchInterval+clockMargin {
				report.Returned, p.n, ends = p.n, 0, true
			}
			if report.Used+report.Returned > 0 {
				all = append(all, report)
			}
		}
		if !ends && p.n+p.used > 0 {
			kept = append(kept, p)
		}
	}
	s.permits = kept
	return all
}

// probes returns requests without asks to the allocators that precede the present one, so
// that the instance returns to them once they answer.
func (h *Holder) probes(l *loan, now time.Duration) (out []Outgoing) {
	if l.current == 0 || now < l.probeAt {
		return nil
	}
	l.probeAt = now + probeInterval
	for _, c := range l.order[:l.current] {
		if l.excluded[c.Name] > now && l.failures[c.Name] == 0 {
			continue // it is leaving
		}
		h.seq++
		l.exchange(c).add(pendingRequest{seq: h.seq, sentAt: now, probe: true})
		out = append(out, Outgoing{c, Request{From: h.self, Incarnation: h.incarnation, Seq: h.seq, Shard: l.shard, Instances: h.instances(now)}})
	}
	return out
}

// choose selects the first allocator that is not excluded; the last one, the instance
// itself unless it precedes others, always answers.
func (h *Holder) choose(l *loan, now time.Duration) {
	next := len(l.order) - 1
	for i, c := range l.order {
		if l.excluded[c.Name] <= now {
			next = i
			break
		}
	}
	if next == l.current {
		return
	}
	l.current = next
	l.silent = false
	h.allocatorChanges++
	l.urgent = true
	for name, s := range h.workspaces {
		if shardOf(name, l.shard.Count) == l.shard {
			s.asked = 0
			s.emptyUntil = 0
		}
	}
}

// checkTimeouts ends the wait of operations whose request was not answered, and excludes
// an allocator that does not answer.
func (h *Holder) checkTimeouts(l *loan, now time.Duration) (decisions []Decision) {
	for _, name := range slices.Sorted(maps.Keys(l.exchanges)) {
		x := l.exchanges[name]
		for i := range x.pending {
			p := &x.pending[i]
			if p.timedOut || now-p.sentAt < WaitLimit {
				continue
			}
			p.timedOut = true
			if !p.probe && name == l.order[l.current].Name {
				l.silent = l.silent || now >= l.drainUntil
				l.paused(max(h.pauseEnd(l, now), l.lentUntil))
			}
			for _, workspace := range slices.Sorted(maps.Keys(p.waiting)) {
				n := p.waiting[workspace]
				if s := h.workspaces[workspace]; s != nil {
					s.asked = max(s.asked-n, 0)
					kept, refused := h.leave(s, workspace, n, now)
					decisions = append(decisions, Decision{Workspace: workspace, Kept: kept, Refused: refused, RetryAfter: h.spread(leaseTerm), Unanswered: true})
				}
			}
			l.failures[name]++
			if l.failures[name] >= failuresBeforeChange || x.stamp.Incarnation == 0 {
				l.excluded[name] = math.MaxInt64 // until a probe is answered
			}
		}
		x.pending = slices.DeleteFunc(x.pending, func(p pendingRequest) bool { return now-p.sentAt > permitTerm })
	}
	return decisions
}

// Receive processes an answer of an allocator. It returns decisions about operations that
// waited, and a request if one is due at once.
func (h *Holder) Receive(now time.Duration, from string, shard Shard, a Answer) (decisions []Decision) {
	l := h.shards[shard.Index]
	if l == nil || l.shard != shard || l.exchanges[from] == nil {
		return nil
	}
	x := l.exchanges[from]
	i := slices.IndexFunc(x.pending, func(p pendingRequest) bool { return p.seq == a.Seq })
	if i < 0 {
		return nil // a repetition, or too late
	}
	p := x.pending[i]
	x.pending = slices.Delete(x.pending, i, i+1)
	known := x.stamp.Incarnation == a.Stamp.Incarnation
	if !known || a.Stamp.At > x.stamp.At {
		// Received is the time of arrival: the time on the way only shortens the lease.
		x.stamp, x.receivedAt = a.Stamp, now
	}
	l.failures[from] = 0
	if l.silent && from == l.order[l.current].Name {
		// A message was lost, not the allocator: there is no pause.
		l.silent, l.drainUntil = false, now
	}
	if a.Leaving {
		l.excluded[from] = now + leavingExclusion
	} else if l.excluded[from] > now {
		delete(l.excluded, from)
	}
	if p.releases && l.lentTo.name == from {
		l.lentUntil = min(l.lentUntil, now+a.FreeIn+clockMargin)
	}
	if !known && !a.Leaving {
		l.batchAt = min(l.batchAt, now) // lend at once to a new process
	}
	answered := make(map[string]bool, len(a.Grants))
	for _, g := range a.Grants {
		answered[g.Workspace] = true
		decisions = append(decisions, h.grant(p, borrower{from, a.Stamp.Incarnation}, g, now))
	}
	for _, workspace := range slices.Sorted(maps.Keys(p.waiting)) {
		if !answered[workspace] {
			// The allocator does not know the workspace yet, or no longer.
			decisions = append(decisions, h.grant(p, borrower{}, Grant{Workspace: workspace, EmptyFor: WaitLimit, RetryAfter: BatchInterval}, now))
		}
	}
	return slices.DeleteFunc(decisions, func(d Decision) bool { return len(d.Admitted)+d.Refused == 0 })
}

// grant adds granted permits and decides about the operations that waited for them.
func (h *Holder) grant(p pendingRequest, from borrower, g Grant, now time.Duration) Decision {
	s := h.workspaces[g.Workspace]
	if s == nil {
		return Decision{}
	}
	// The allocator issued them after the request was sent, so they end here earlier.
	if g.Waiting > 0 {
		s.permits = append(s.permits, &permit{from: from, seq: p.seq, n: g.Waiting, expires: p.sentAt + WaitLimit - clockMargin})
	}
	if g.Advance > 0 {
		s.permits = append(s.permits, &permit{from: from, seq: p.seq, n: g.Advance, expires: p.sentAt + permitTerm - clockMargin, advance: true})
	}
	if g.RetryAfter > 0 {
		s.retryAfter = g.RetryAfter
	}
	if g.EmptyFor > 0 {
		s.emptyUntil = now + g.EmptyFor
	}
	d := Decision{Workspace: g.Workspace}
	asked := p.waiting[g.Workspace]
	if p.timedOut {
		asked = 0 // they have been refused
	}
	s.asked = max(s.asked-asked, 0)
	for len(s.queue) > 0 {
		t := s.use(now)
		if t == nil {
			break
		}
		s.queue = s.queue[1:]
		d.Admitted = append(d.Admitted, t)
	}
	if rest := asked - len(d.Admitted); rest > 0 {
		if g.Uncovered {
			l := h.shards[shardOf(g.Workspace, h.count).Index]
			l.paused(h.pauseEnd(l, now))
		}
		s.othersQueued = g.Queued
		d.Kept, d.Refused = h.leave(s, g.Workspace, rest, now)
		d.RetryAfter = h.spread(max(s.retryAfter, BatchInterval/4))
		// Reported with the request that asked for them, so not counted in s.refused.
	}
	return d
}

// AllocatorChanges returns how often the instance has changed to another allocator.
func (h *Holder) AllocatorChanges() int { return h.allocatorChanges }

// Failed reports that a request was not answered and will not be. Its operations need not
// wait for the rest of WaitLimit.
func (h *Holder) Failed(now time.Duration, from string, shard Shard, seq uint64) {
	l := h.shards[shard.Index]
	if l == nil || l.shard != shard || l.exchanges[from] == nil {
		return
	}
	pending := l.exchanges[from].pending
	for i := range pending {
		if pending[i].seq == seq {
			pending[i].sentAt = min(pending[i].sentAt, now-WaitLimit)
		}
	}
}

// LoanState describes the share of an instance in one shard.
type LoanState struct {
	Shard     Shard         `json:"shard"`
	Allocator string        `json:"allocator"` // that permits are asked of
	LentTo    string        `json:"lent_to,omitempty"`
	LentFor   time.Duration `json:"lent_for_ns"` // until the share is free; negative: since when
}

// Loans returns the state of all shares, by shard.
func (h *Holder) Loans(now time.Duration) (all []LoanState) {
	for _, index := range slices.Sorted(maps.Keys(h.shards)) {
		l := h.shards[index]
		s := LoanState{Shard: l.shard, Allocator: l.order[l.current].Name, LentTo: l.lentTo.name}
		if l.lentTo.name != "" {
			s.LentFor = l.lentUntil - now
		}
		all = append(all, s)
	}
	return all
}

// StockState describes what an instance holds of one workspace.
type StockState struct {
	Held    int `json:"held"` // valid unused permits
	Waiting int `json:"waiting"`
	// Demand is in operations per second. While EmptyFor is positive, operations are
	// refused without asking the allocator.
	Demand   float64       `json:"demand_per_s"`
	EmptyFor time.Duration `json:"empty_for_ns,omitempty"`
}

// Stock returns the state of one workspace.
func (h *Holder) Stock(now time.Duration, workspace string) (state StockState) {
	s := h.workspaces[workspace]
	if s == nil {
		return state
	}
	for _, p := range s.permits {
		if p.expires > now {
			state.Held += p.n
		}
	}
	state.Waiting, state.Demand, state.EmptyFor = len(s.queue), s.demand/BatchInterval.Seconds(), max(s.emptyUntil-now, 0)
	return state
}

// Instances returns the number of instances that the share of this one is computed from.
func (h *Holder) Instances(now time.Duration) int { return h.instances(now) }
