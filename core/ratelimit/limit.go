// Package ratelimit enforces the limits of workspaces over all instances. An operation
// runs on a permit. Permits of a workspace are issued by its allocator, one of the
// instances, from a bucket that fills with time. All types are pure state machines: times
// are arguments, on the local clock of the instance, and messages are values.
//
// # Bound
//
// In every window of Params.Window, at most Params.Allowed(limit) = A operations of a
// workspace are admitted on all instances together. The bound needs no agreement on which
// instance is the allocator:
//
//   - Each instance has a share 1/n of every limit and lends it to one allocator at a time,
//     under a lease. n is the greatest number of announced instances that it has seen for
//     listMemory; an allocator counts the shares lent to it by the greatest n of its lenders.
//   - An allocator with the fraction s of all shares fills the bucket of a limit of R and B
//     at F(s) = s x F and keeps level plus unused permits within C(s) = s x C, where
//     C = min(max(R x 1 s, B) / 2 + Slack, A) and Window x F + C = A.
//   - A share counts only while its lease outlasts every permit that is issued now. A
//     permit is therefore void before the share behind it can be lent to another allocator.
//   - A bucket starts empty, and an allocator that restarts counts as another one.
//
// With the potential p = level + unused permits, summed over all allocators, p is at most
// the sum of C(s), an admission lowers p by one, and only filling raises it. So at most
// p + Window x (sum of F(s)) operations are admitted in a window, which is at most A while
// the fractions add up to 1 at most.
//
// # Assumptions
//
//   - Clocks of instances may have any offset and include suspends; their rates differ by
//     less than 1%, which clockMargin covers.
//   - Messages may be lost, repeated, reordered and delayed without limit; they are not
//     altered. Processes may freeze at any instruction. An operation counts when
//     Holder.Admit, or the answer that admits it, reads the clock.
//   - An instance that lends a share is in the list of instances of every other one that
//     lends, or was in it less than listMemory ago. A joining instance waits joinDelay for
//     the others to learn of it; one that its very first list names need not, as that entry
//     is of its former process. If an instance with an older list is cut off for longer
//     than that while the number of instances grows by a factor g, or loses its row while
//     it runs, its share exceeds its due by a factor of g, or is in excess.
//   - During a change of a limit, the greater of the two limits applies until one window
//     after every instance has the new one.
package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leaseTerm is the time from the sending of a request until the share that it lends is
	// free again. It is also the time without new permits after the loss of an allocator.
	leaseTerm = 600 * time.Millisecond
	// permitTerm is how long a permit is valid: two batch intervals, so that it can be
	// given back with the second batch, and less than leaseTerm by more than one batch
	// interval, so that the shares of all instances are behind it at all times.
	permitTerm = 320 * time.Millisecond
	// WaitLimit is how long an operation waits for a permit, and how long a permit for a
	// waiting operation is valid. It is short because such permits count as unused until
	// they expire.
	WaitLimit = 100 * time.Millisecond
	// BatchInterval is the time between the regular requests to an allocator.
	BatchInterval = 150 * time.Millisecond
	// clockMargin is the allowance for clocks that differ in rate: 1% of leaseTerm. It
	// ends permits earlier, and leases later, at the instance than at the allocator.
	clockMargin = 10 * time.Millisecond
	// listMemory is how long the greatest number of announced instances counts after it
	// has fallen.
	listMemory = 30 * time.Second
	// joinDelay is the time from the first list that names an instance until it lends its
	// share. Lists take up to 0.7 s to reach all instances.
	joinDelay = time.Second
	// instancesPerAllocator is the number of instances for each allocator.
	instancesPerAllocator = 64
)

// Params are the parameters of all limits.
type Params struct {
	// Window is the length of the sliding window; 0 means that there are no limits.
	Window time.Duration
	// Overrun and Slack are how far the operations in a window may exceed a limit, as a
	// fraction of it and as a number of operations.
	Overrun, Slack float64
}

// Limit is the limit of one workspace.
type Limit struct {
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
}

// Allowed returns the greatest number of operations that may run in a window.
func (p Params) Allowed(l Limit) float64 {
	return (l.Rate*p.Window.Seconds()+l.Burst)*(1+p.Overrun) + p.Slack
}

// bucketSize is the size of a bucket at an allocator.
type bucketSize struct {
	rate     float64 // permits per second
	burst    float64 // bounds the level alone
	capacity float64 // bounds the level and the unused permits together
}

// sizeFor returns the size of a bucket at an allocator to which the given fraction of
// all shares is lent: Window x rate + capacity is the fraction of Allowed. The capacity,
// half of the burst or of a second of the rate and the slack, covers the permits that are
// out and a short burst; the overrun and the rest of the burst go into the rate, since a
// workspace that exceeds its limit does so for seconds and not for a moment.
func (p Params) sizeFor(l Limit, fraction float64) (size bucketSize) {
	allowed := p.Allowed(l)
	capacity := min(max(l.Burst, l.Rate)/2+p.Slack, allowed)
	size.capacity = fraction * capacity
	size.rate = fraction * (allowed - capacity) / p.Window.Seconds()
	if size.capacity < 1 {
		// Without room for a whole permit, nothing would ever be issued.
		share := fraction * allowed
		size.capacity = min(1, share)
		size.rate = (share - size.capacity) / p.Window.Seconds()
	}
	size.burst = size.capacity
	return size
}

// Shard is one of the parts into which the workspaces are divided. Each part has its own
// allocator. Shards of different counts have no allocator in common: an instance lends its
// share for one count at a time.
type Shard struct {
	Index int `json:"index"`
	Count int `json:"count"`
}

// shardOf returns the shard of a workspace if there are count of them.
func shardOf(workspace string, count int) Shard {
	return Shard{int(xxhash.Sum64String(workspace) % uint64(count)), count}
}

// shardCount returns the number of allocators for n instances.
func shardCount(n int) int { return max((n+instancesPerAllocator-1)/instancesPerAllocator, 1) }

// Stamp is a time on an allocator's clock, which a later request of an instance returns
// with the time that has passed since. The allocator thus knows a time before which the
// request was not sent, however long it was under way.
type Stamp struct {
	// Incarnation is that of the allocator's process.
	Incarnation uint64        `json:"incarnation"`
	At          time.Duration `json:"at"`
}

// Request is a message of an instance to an allocator.
type Request struct {
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"` // of the process of the instance
	Seq         uint64 `json:"seq"`         // grows with each request to this allocator
	Shard       Shard  `json:"shard"`
	// Lends means that the instance lends its share for leaseTerm from the sending;
	// Releases that it takes it back.
	Lends    bool `json:"lends,omitempty"`
	Releases bool `json:"releases,omitempty"`
	// Stamp is the allocator's last one that the instance has received, and Held the time
	// since then. Without it, nothing is lent.
	Stamp Stamp         `json:"stamp"`
	Held  time.Duration `json:"held,omitempty"`
	// Instances is the number n of instances; the instance's share is 1/n.
	Instances int   `json:"instances"`
	Asks      []Ask `json:"asks,omitempty"`
}

// Ask is the part of a Request that concerns one workspace.
type Ask struct {
	Workspace string `json:"workspace"`
	// Waiting is the number of operations that wait for a permit, Advance the number of
	// permits wanted for expected operations.
	Waiting int `json:"waiting,omitempty"`
	Advance int `json:"advance,omitempty"`
	// Refused is the number of operations refused since the last request.
	Refused int       `json:"refused,omitempty"`
	Settled []Settled `json:"settled,omitempty"`
}

// Settled reports what became of permits that were granted in advance.
type Settled struct {
	Seq      uint64 `json:"seq"` // of the request that was answered with them
	Used     int    `json:"used,omitempty"`
	Returned int    `json:"returned,omitempty"`
}

// Answer is the answer of an allocator to a Request.
type Answer struct {
	Seq    uint64  `json:"seq"`
	Stamp  Stamp   `json:"stamp"`
	Grants []Grant `json:"grants,omitempty"`
	// FreeIn is the time until a released share may be lent again.
	FreeIn time.Duration `json:"free_in,omitempty"`
	// Leaving means that the allocator is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// Grant is the part of an Answer that concerns one workspace.
type Grant struct {
	Workspace string `json:"workspace"`
	Waiting   int    `json:"waiting,omitempty"`
	Advance   int    `json:"advance,omitempty"`
	// EmptyFor is the time in which a further request would be in vain.
	EmptyFor time.Duration `json:"empty_for,omitempty"`
	// RetryAfter is when refused callers may expect room.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Uncovered means that no permits were issued because no share covers the bucket.
	Uncovered bool `json:"uncovered,omitempty"`
	// Queued is the number of operations that wait for permits at other instances.
	Queued int `json:"queued,omitempty"`
}
