package ratelimit

import (
	"math"
	"time"
)

const (
	// advanceInterval is the least time between two computations of the shares and levels
	// of a shard; each costs one step for each instance and each workspace.
	advanceInterval = 10 * time.Millisecond
	// senderMemory is how long the sequence numbers of a silent process are kept. Whatever
	// a later repetition could settle has expired by then.
	senderMemory = 2 * time.Second
	// refusalDecay is the time constant of the rate of refused operations.
	refusalDecay = time.Second
	// refusalsPerPermit is the rate of refusals, per second, up to which instances may ask
	// for the next permit as soon as there is one; beyond it they ask less often, so that
	// a flood does not become a flood of requests.
	refusalsPerPermit = 20
	// maxRetryAfter bounds what refused callers are told.
	maxRetryAfter = 5 * time.Second
)

// Allocator issues the permits of the workspaces for which other instances use it as
// allocator. It is not safe for concurrent use.
type Allocator struct {
	incarnation uint64
	params      Params
	limits      map[string]Limit
	shards      map[Shard]*shardState
	leaving     bool
}

// shardState is what an allocator knows of one shard.
type shardState struct {
	leases  map[string]*lease // by instance
	senders map[sender]*senderState
	buckets map[string]*bucket
	// advancedAt is when levels were last computed. Until the next computation, the
	// fraction of the shares whose leases cover new permits is at least covered.
	advancedAt time.Duration
	covered    float64
	instances  int // the greatest n of the lenders
}

// lease is the share of one instance.
type lease struct {
	// covers is when permits issued then would outlast the lease, and since when it has
	// counted without interruption.
	covers, since time.Duration
	instances     int
}

// sender is one process of an instance.
type sender struct {
	name        string
	incarnation uint64
}

type senderState struct {
	seq uint64        // of the last request
	at  time.Duration // of the last request
}

// bucket holds the permits of one workspace at one allocator.
type bucket struct {
	level       float64
	outstanding []outstanding
	unused      int     // sum of outstanding
	refusals    float64 // operations per second that were refused lately
	queues      map[string]queue
}

// queue is the number of operations that waited in vain at an instance.
type queue struct {
	n  int
	at time.Duration // of the request
}

// outstanding are permits that were issued and may be unused.
type outstanding struct {
	to      sender
	seq     uint64
	n       int
	advance bool
	expires time.Duration
}

// NewAllocator returns an Allocator that issues nothing until shares are lent to it.
// incarnation differs from that of every other process that has had the same name.
func NewAllocator(incarnation uint64, p Params) *Allocator {
	return &Allocator{incarnation: incarnation, params: p, shards: make(map[Shard]*shardState)}
}

// SetLimits replaces the limits of all workspaces. They must not be changed afterwards.
func (a *Allocator) SetLimits(now time.Duration, limits map[string]Limit) {
	for _, s := range a.shards {
		a.advance(s, now) // with the former limits
	}
	a.limits = limits
	for shard, s := range a.shards {
		a.addBuckets(shard, s)
		a.trim(s)
	}
}

// SetLeaving tells all instances to use another allocator.
func (a *Allocator) SetLeaving() { a.leaving = true }

// Shards returns the number of shards for which shares are lent to the allocator.
func (a *Allocator) Shards() int {
	n := 0
	for _, s := range a.shards {
		if s.covered > 0 {
			n++
		}
	}
	return n
}

// Handle answers a request. It returns false for one that must not be answered, because
// it is a repetition or was overtaken.
func (a *Allocator) Handle(now time.Duration, r Request) (Answer, bool) {
	if r.Shard.Count < 1 || r.Shard.Index < 0 || r.Shard.Index >= r.Shard.Count || r.Instances < 1 {
		return Answer{}, false
	}
	s := a.shards[r.Shard]
	if s == nil {
		s = &shardState{leases: make(map[string]*lease), senders: make(map[sender]*senderState), buckets: make(map[string]*bucket), advancedAt: now}
		a.shards[r.Shard] = s
		a.addBuckets(r.Shard, s)
	}
	from := sender{r.From, r.Incarnation}
	state := s.senders[from]
	if state == nil {
		state = &senderState{}
		s.senders[from] = state
	}
	if r.Seq <= state.seq {
		return Answer{}, false
	}
	state.seq, state.at = r.Seq, now
	if now-s.advancedAt >= advanceInterval {
		a.advance(s, now)
		a.forget(r.Shard, s, now)
	}
	answer := Answer{Seq: r.Seq, Stamp: Stamp{a.incarnation, now}, Leaving: a.leaving}
	switch {
	case r.Releases:
		answer.FreeIn = a.release(s, r.From, now)
	case r.Lends && r.Stamp.Incarnation == a.incarnation && r.Held >= 0:
		a.extend(s, r, now)
	}
	for _, ask := range r.Asks {
		if b := s.buckets[ask.Workspace]; b != nil {
			answer.Grants = append(answer.Grants, a.serve(s, b, from, r.Seq, ask, now))
		}
	}
	return answer, true
}

// extend records that an instance lends its share for leaseTerm from the earliest time at
// which it can have sent the request.
func (a *Allocator) extend(s *shardState, r Request, now time.Duration) {
	covers := r.Stamp.At + r.Held + leaseTerm - permitTerm
	l := s.leases[r.From]
	if l == nil {
		l = &lease{since: now}
		s.leases[r.From] = l
	}
	if l.covers <= now {
		l.since = now
	}
	l.covers = max(l.covers, min(covers, now+leaseTerm-permitTerm))
	l.instances = r.Instances
	if r.Instances > s.instances {
		a.advance(s, now)
	}
}

// release ends the lease of an instance and returns when all permits that may rest on it
// have expired.
func (a *Allocator) release(s *shardState, name string, now time.Duration) time.Duration {
	l := s.leases[name]
	if l == nil || l.covers <= now {
		return permitTerm
	}
	delete(s.leases, name)
	a.advance(s, now)
	return permitTerm
}

// advance fills all buckets of a shard up to now and computes which shares cover permits
// that are issued until the next computation. Only shares that counted for the whole time
// since the last computation fill buckets.
func (a *Allocator) advance(s *shardState, now time.Duration) {
	before, filling, covering := s.advancedAt, 0, 0
	s.instances = 1
	for _, l := range s.leases {
		if l.covers <= now {
			continue
		}
		s.instances = max(s.instances, l.instances)
		if l.since <= before {
			filling++
		}
		if l.covers > now+advanceInterval {
			covering++
		}
	}
	elapsed := (now - before).Seconds()
	fraction := min(float64(filling)/float64(s.instances), 1)
	s.covered = min(float64(covering)/float64(s.instances), 1)
	s.advancedAt = now
	decay := math.Exp(-elapsed / refusalDecay.Seconds())
	for name, b := range s.buckets {
		b.level += a.params.sizeFor(a.limits[name], fraction).rate * elapsed
		b.refusals *= decay
		b.expire(now)
	}
	a.trim(s)
}

// trim lowers the levels of a shard to what its shares allow.
func (a *Allocator) trim(s *shardState) {
	for name, b := range s.buckets {
		b.trim(a.params.sizeFor(a.limits[name], s.covered))
	}
}

func (b *bucket) trim(size bucketSize) {
	b.level = max(min(b.level, size.burst, size.capacity-float64(b.unused)), 0)
}

func (b *bucket) expire(now time.Duration) {
	kept := b.outstanding[:0]
	for _, o := range b.outstanding {
		if o.expires <= now || o.n == 0 {
			b.unused -= o.n
			continue
		}
		kept = append(kept, o)
	}
	b.outstanding = kept
}

// addBuckets adds empty buckets for the workspaces of a shard that have none, and removes
// those of workspaces without a limit.
func (a *Allocator) addBuckets(shard Shard, s *shardState) {
	for name := range a.limits {
		if s.buckets[name] == nil && shardOf(name, shard.Count) == shard {
			s.buckets[name] = &bucket{}
		}
	}
	for name := range s.buckets {
		if _, ok := a.limits[name]; !ok {
			delete(s.buckets, name)
		}
	}
}

// forget drops leases that have ended, silent senders and, if none are left, the shard.
func (a *Allocator) forget(shard Shard, s *shardState, now time.Duration) {
	for name, l := range s.leases {
		if l.covers+permitTerm <= now {
			delete(s.leases, name)
		}
	}
	for from, state := range s.senders {
		if now-state.at > senderMemory {
			delete(s.senders, from)
		}
	}
	for other, o := range a.shards {
		if other != shard && now-o.advancedAt > senderMemory+leaseTerm {
			delete(a.shards, other)
		}
	}
}

// serve settles earlier permits of an instance and grants new ones.
func (a *Allocator) serve(s *shardState, b *bucket, to sender, seq uint64, ask Ask, now time.Duration) Grant {
	l := a.limits[ask.Workspace]
	size := a.params.sizeFor(l, s.covered)
	b.expire(now)
	for _, settled := range ask.Settled {
		b.settle(to, settled)
	}
	b.trim(size)
	g := Grant{Workspace: ask.Workspace}
	g.Waiting = b.issue(to, seq, ask.Waiting, false, now+WaitLimit)
	// Half of the capacity is kept for operations that wait: permits in advance lie unused
	// on instances that may not need them.
	spare := min(b.level, size.capacity/2-float64(b.unused))
	others := b.queue(to.name, max(ask.Waiting-g.Waiting, 0), now)
	if others > 0 {
		spare = 0
	}
	g.Advance = b.issue(to, seq, min(ask.Advance, max(int(spare), 0)), true, now+permitTerm)
	missing := ask.Waiting - g.Waiting
	b.refusals += float64(ask.Refused+max(missing, 0)) / refusalDecay.Seconds()
	if missing > 0 || ask.Refused > 0 {
		g.EmptyFor, g.RetryAfter = b.outlook(size.rate)
		g.Uncovered, g.Queued = size.rate <= 0, others
	}
	if missing <= 0 {
		g.EmptyFor = 0
	}
	return g
}

// queue records how many operations wait at an instance and returns how many do at others.
func (b *bucket) queue(name string, n int, now time.Duration) (others int) {
	if n > 0 {
		if b.queues == nil {
			b.queues = make(map[string]queue)
		}
		b.queues[name] = queue{n, now}
	} else {
		delete(b.queues, name)
	}
	for other, q := range b.queues {
		switch {
		case now-q.at > 2*BatchInterval: // they have been served elsewhere, or refused
			delete(b.queues, other)
		case other != name:
			others += q.n
		}
	}
	return others
}

// settle removes used permits from those that are outstanding and puts returned ones back
// into the bucket. Permits that have expired are out of both already.
func (b *bucket) settle(to sender, settled Settled) {
	for i := range b.outstanding {
		o := &b.outstanding[i]
		if o.to != to || o.seq != settled.Seq || !o.advance {
			continue
		}
		used := min(max(settled.Used, 0), o.n)
		returned := min(max(settled.Returned, 0), o.n-used)
		o.n -= used + returned
		b.unused -= used + returned
		b.level += float64(returned)
		return
	}
}

// issue issues up to n permits and returns how many.
func (b *bucket) issue(to sender, seq uint64, n int, advance bool, expires time.Duration) int {
	n = min(n, int(b.level))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	b.unused += n
	b.outstanding = append(b.outstanding, outstanding{to, seq, n, advance, expires})
	return n
}

// outlook returns how long an empty bucket should not be asked, and when refused callers
// may expect room, at a fill rate.
func (b *bucket) outlook(rate float64) (emptyFor, retryAfter time.Duration) {
	if rate <= 0 {
		return BatchInterval / 4, leaseTerm
	}
	// At least 1 ms, because operations that wait on ask again after emptyFor.
	next := max(time.Duration(max(1-b.level, 0)/rate*float64(time.Second)), time.Millisecond)
	// The more operations are refused, the more instances ask for the next permit.
	emptyFor = min(time.Duration(float64(next)*max(1, b.refusals/refusalsPerPermit)), BatchInterval)
	// The time until an equal part of the waiting callers has had its turn.
	excess := 1 + b.refusals/rate
	retryAfter = min(max(next, time.Duration(excess*float64(BatchInterval))), maxRetryAfter)
	return emptyFor, retryAfter
}
