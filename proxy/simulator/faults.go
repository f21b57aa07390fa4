package simulator

import (
	"time"

	"github.com/papayarail/papayarail/proxy/statement"
)

// Partition drops all traffic between two nodes, named by instance, member or "store".
func (c *Cluster) Partition(a, b string) { c.setPartition(a, b, true) }

// Heal ends a partition.
func (c *Cluster) Heal(a, b string) { c.setPartition(a, b, false) }

func (c *Cluster) setPartition(a, b string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{a, b}], c.partitions[[2]string{b, a}] = partitioned, partitioned
}

// partitioned reports whether two nodes are partitioned. c.mu is held.
func (c *Cluster) partitioned(a, b string) bool { return c.partitions[[2]string{a, b}] }

// DropReplies loses the replies to the next n writes of callers. The writes take effect.
func (c *Cluster) DropReplies(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repliesToDrop = n
}

// Crash ends a member's process. If silent is set, connections to its address time out
// instead of being refused.
func (c *Cluster) Crash(id string, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.member(id)
	m.down, m.silent, m.pausedTerm = true, silent, 0
	m.conns = make(map[*conn]bool)
	m.incarnation++
}

// Leave ends a member's process and its registration, as one does that leaves on its own;
// silent is as in Crash. The registration of a member that is deregistered otherwise has expired.
func (c *Cluster) Leave(id string, silent bool) {
	c.Crash(id, silent)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.member(id)
	m.registered, m.left = false, true
}

// Restart starts a member again, with its log, or without it if empty is set.
func (c *Cluster) Restart(id string, empty bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.member(id)
	m.down, m.silent, m.left = false, false, false
	if c.primaryMember().term > m.term {
		m.stepDown() // another member was promoted, and may have stepped down since
	}
	if empty {
		m.log, m.primary, m.generation = nil, false, m.generation+1
	}
}

// Replace starts a member that is down under another name, with its log and its role.
func (c *Cluster) Replace(id, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.member(id)
	m.ID, m.down, m.silent, m.generation = name, false, false, m.generation+1
}

// Drain makes a member report itself as draining.
func (c *Cluster) Drain(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.member(id)
	m.draining, m.drainingAt = true, c.Clock()
}

// Deregister removes a member's registration.
func (c *Cluster) Deregister(id string) { c.setRegistered(id, false) }

// Register registers a member again.
func (c *Cluster) Register(id string) { c.setRegistered(id, true) }

func (c *Cluster) setRegistered(id string, registered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member(id).registered, c.member(id).left = registered, false
}

// IgnorePositions injects a fault: members execute reads even if they have not reached
// the required position. It is for tests of the checks themselves.
func (c *Cluster) IgnorePositions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ignorePositions = true
}

// SetApplyLag sets the delay with which a member applies entries while it is a replica.
func (c *Cluster) SetApplyLag(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member(id).applyLag = d
}

// SetReceiveLag sets the delay with which a member receives entries while it is a replica.
func (c *Cluster) SetReceiveLag(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member(id).receiveLag = d
}

// SetReadTime sets the execution time of a read on all members.
func (c *Cluster) SetReadTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readTime = d
}

// SetPromoteTime sets the time from a call for a promotion until it takes effect.
func (c *Cluster) SetPromoteTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promoteTime = d
}

// EndPausesBehindCuts makes promotions end the pauses of replicas that are cut off from the new
// primary without moving them to its term: they receive from the old primary again until they
// reach the new one. Otherwise a promotion moves all replicas that run to its term.
func (c *Cluster) EndPausesBehindCuts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unawareReplicas = true
}

// ReadFault is a fault of the reads of a member whose control commands and registration
// report that it is well.
type ReadFault struct {
	// Time is added to the execution time of a read.
	Time time.Duration
	// FailEvery makes every n-th read fail with Reason, or without a reply if Silent is
	// set; 0 means none.
	FailEvery int
	Reason    statement.Reason
	Silent    bool
	// Instance limits the fault to the reads of one instance; empty means all.
	Instance string
}

// SetReadFault sets the fault of a member's reads; the zero value ends it.
func (c *Cluster) SetReadFault(id string, f ReadFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member(id).fault = f
}
