// Package simulator is an in-memory simulation of the platform that instances run on:
// one replicated database group with terms, paused replication and promotions, the
// platform's store, and the network with partitions. It runs in the simulated time of a
// testing/synctest bubble. It records every acknowledged commit and what each read saw,
// and checks the consistency guarantees that callers rely on.
package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// Service and Database are the names of the only group.
	Service  = "register"
	Database = "orders"

	roundTrip     = 2 * time.Millisecond  // between an instance and a member, the store or the platform
	statementTime = 3 * time.Millisecond  // execution time of a write, and of a read unless SetReadTime is called
	replicaLag    = 10 * time.Millisecond // longest delay until a connected replica receives a commit
	promoteTime   = time.Second           // from the request until the promotion takes effect, unless SetPromoteTime is called
	demoteTime    = time.Second           // for which a replaced primary goes on after it can reach its successor
	followTime    = 20 * time.Millisecond // from a promotion until the replicas follow the new primary
)

// entry is a commit in a log.
type entry struct {
	position position.Position
	id       string
	at       time.Duration // when the primary appended it
}

// Member is one simulated database.
type Member struct {
	ID         string
	address    string // several members have had the same one; at most one of them runs
	primary    bool
	term       uint64
	pausedTerm uint64  // term of the command that paused replication; 0 if it is not paused
	log        []entry // append-only; truncation copies it
	down       bool
	silent     bool // if down: connections time out instead of being refused
	draining   bool
	drainingAt time.Duration // when it reported that
	registered bool
	left       bool  // it has ended its registration itself
	generation int64 // reported as catalog.Member.Started; grows with a start without the log or under another name
	// applyLag is the delay after its commit with which reads on this member see an
	// entry while the member is a replica.
	applyLag time.Duration
	// receiveLag is the delay after its commit with which the member receives an entry
	// while it is a replica.
	receiveLag time.Duration
	// appliedAsPrimary is the number of entries that the member had applied when it
	// last stepped down.
	appliedAsPrimary int
	fault            ReadFault
	reads            int // number of reads that arrived
	conns            map[*conn]bool
	incarnation      int           // grows when the process ends
	listenerBusy     time.Duration // until then the listener accepts earlier connections
}

// defaultConnectionLimit is the connection limit of a member unless LimitConnections is
// called.
const defaultConnectionLimit = 16

// LimitConnections sets the connection limit of all members and enforces it.
func (c *Cluster) LimitConnections(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectionLimit, c.limited = limit, true
}

// AddRoutes adds n routes to the configuration, which no caller uses.
func (c *Cluster) AddRoutes(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.otherRoutes += n
}

// SetDrainTime makes it a violation to send a statement to a member that has reported for
// longer than d that it leaves, unless it continues a transaction.
func (c *Cluster) SetDrainTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainTime = d
}

// checkDrained records a violation if a member takes statements no more. c.mu is held.
func (c *Cluster) checkDrained(m *Member, s statement.Statement, instance string) {
	if now := c.Clock(); c.drainTime > 0 && m.draining && now > m.drainingAt+c.drainTime {
		c.recordViolation("%s sent %s to %s, which had reported %s before that it leaves", instance, s.ID, m.ID, now-m.drainingAt)
	}
}

// Promotions returns the number of promotions that took effect.
func (c *Cluster) Promotions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.primaryMember().term) - 1
}

// HoldConnections opens n connections to a member that nobody uses, for d, as those of
// instances that lost power.
func (c *Cluster) HoldConnections(id string, n int, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.member(id)
	for range n {
		held := &conn{cluster: c, member: m}
		m.conns[held] = true
		time.AfterFunc(d, held.Close)
	}
}

// AckedWrite is a write that was acknowledged to a caller.
type AckedWrite struct {
	ID string
	At time.Duration
}

// Cluster is the simulated group, the store and the network between them and the
// instances. It is safe for concurrent use.
type Cluster struct {
	mu          sync.Mutex
	start       time.Time
	members     []*Member
	partitions  map[[2]string]bool
	acked       []AckedWrite
	readLogs    map[string][]entry // the log that each read saw, by the row that it returned
	violations  []string           // violated guarantees
	missedReads map[catalog.Consistency]int
	maxToken    storeversion.Version // highest fencing token of a promotion
	calledFor   string               // member of the last promotion that was called
	calls       int                  // promotions that were called
	late        lateEffects
	lastRow     int // number of reads executed
	store       store
	closed      bool // no more timers are set
	// repliesToDrop is the number of further writes whose replies are lost.
	repliesToDrop int
	// readTime is the execution time of a read.
	readTime time.Duration
	// promoteTime is the time from the call for a promotion until it takes effect.
	promoteTime time.Duration
	// unawareReplicas is a property of promotions; see EndPausesBehindCuts.
	unawareReplicas bool
	// ignorePositions is an injected fault; see IgnorePositions.
	ignorePositions bool
	// connectionLimit is the limit of connections of each member that the configuration
	// states. It is enforced if limited is set; connecting then takes connectTime of the
	// member's listener, which accepts one connection after the other.
	connectionLimit int
	limited         bool
	// otherRoutes is the number of further routes in the configuration.
	otherRoutes int
	// drainTime is the time for which members take statements after they have reported that
	// they leave; 0 means that there is no limit.
	drainTime time.Duration
	// branches is not nil after ModelBranches.
	branches *branches
}

// connectTime is the time that a member takes to accept a connection if its limit is
// enforced.
const connectTime = 6 * time.Millisecond

// NewCluster returns a cluster of members; the first one is the primary of term 1.
func NewCluster(ids ...string) *Cluster {
	c := &Cluster{start: time.Now(), readTime: statementTime, promoteTime: promoteTime, connectionLimit: defaultConnectionLimit, partitions: make(map[[2]string]bool), readLogs: make(map[string][]entry), missedReads: make(map[catalog.Consistency]int)}
	for i, id := range ids {
		c.members = append(c.members, &Member{ID: id, address: id, primary: i == 0, term: 1, registered: true, generation: 1, conns: make(map[*conn]bool)})
	}
	c.store.rows = make(map[string]storedRecord)
	c.store.instances = make(map[string]source.Candidate)
	c.store.configStalled = make(map[string]bool)
	return c
}

// Clock returns the simulated time of the clock that all instances share.
func (c *Cluster) Clock() time.Duration { return time.Since(c.start) + time.Hour }

// member returns the member with this ID, or nil. c.mu is held.
func (c *Cluster) member(id string) *Member {
	for _, m := range c.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// Close stops setting timers, so that the pending ones run out.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// Join adds a replica with the primary's log.
func (c *Cluster) Join(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addReplica(id, id, c.primaryMember())
}

// addReplica adds a replica at an address with the log of source. c.mu is held.
func (c *Cluster) addReplica(id, address string, source *Member) {
	c.members = append(c.members, &Member{ID: id, address: address, term: source.term, registered: true, generation: 1, conns: make(map[*conn]bool), log: slices.Clone(source.log)})
}

// listener returns the member that runs at an address, or nil. c.mu is held.
func (c *Cluster) listener(address string) *Member {
	for _, m := range c.members {
		if m.address == address && !m.down {
			return m
		}
	}
	return nil
}

// Primary returns the ID of the primary of the latest term; see primaryMember.
func (c *Cluster) Primary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.primaryMember().ID
}

// IsReplica reports whether a member is a replica.
func (c *Cluster) IsReplica(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.member(id).primary
}

// primaryMember returns the primary of the latest term or, if it has stepped down, the
// member with the longest log of that term. c.mu is held.
func (c *Cluster) primaryMember() *Member {
	return slices.MaxFunc(c.members, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(a.term, b.term), cmp.Compare(btoi(a.primary), btoi(b.primary)), a.position().Compare(b.position()))
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Violations returns the violated guarantees found so far.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// recordViolation records a violated guarantee with the simulated time. c.mu is held.
func (c *Cluster) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s: ", c.Clock()-time.Hour)+fmt.Sprintf(format, args...))
}

// Acknowledge records that a write was acknowledged to a caller.
func (c *Cluster) Acknowledge(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkAcknowledged(id)
	c.acked = append(c.acked, AckedWrite{id, c.Clock()})
}

// Read is an answered read, and what it had to see.
type Read struct {
	Row string // that it returned
	// Kind is the consistency that the caller was promised, for MissedReads.
	Kind catalog.Consistency
	// Since is the time before which all acknowledged commits must be seen.
	Since time.Duration
	// Own are the acknowledged commits of the same session, which must be seen too.
	Own []string
}

// CheckRead records a violation if a read did not see a commit that it had to see. It returns the ID of
// that commit, or an empty string.
func (c *Cluster) CheckRead(r Read) (missed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log := c.readLogs[r.Row]
	delete(c.readLogs, r.Row)
	missed = c.missedBy(r, log)
	if missed != "" {
		c.missedReads[r.Kind]++
	}
	return missed
}

// MissedReads returns the number of reads that missed a commit, by the consistency that their callers
// were promised.
func (c *Cluster) MissedReads() map[catalog.Consistency]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.missedReads)
}

// missedBy records a violation for the first commit that a read of a log had to see and missed, and
// returns its ID. c.mu is held.
func (c *Cluster) missedBy(r Read, log []entry) string {
	if c.branches != nil {
		return c.checkRead(r, log)
	}
	seen := make(map[string]bool)
	for _, e := range log {
		seen[e.id] = true
	}
	for _, a := range c.acked {
		if a.At < r.Since && !seen[a.ID] {
			c.recordViolation("a read (%s) did not see commit %s, acknowledged at %s, before its bound %s", r.Kind, a.ID, a.At, r.Since)
			return a.ID
		}
	}
	for _, id := range r.Own {
		if !seen[id] {
			c.recordViolation("a read (%s) did not see commit %s of its session", r.Kind, id)
			return id
		}
	}
	return ""
}

// replicate makes a replica's log a copy of the primary's log, unless the replica cannot
// receive. Entries that the primary does not have are lost. c.mu is held.
func (c *Cluster) replicate(p, r *Member) {
	if r == p || r.primary || r.down || p.down && c.branches != nil || r.pausedTerm > 0 || r.term > p.term || c.partitioned(p.ID, r.ID) {
		return
	}
	n := len(p.log)
	for n > 0 && p.log[n-1].at+r.receiveLag > c.Clock() {
		n--
	}
	// What it has received before its lag grew stays.
	n = max(n, commonPrefix(r.log, p.log))
	r.term = p.term
	r.log = p.log[:n:n] // an append to either log leaves the other as it is
}

// commonPrefix returns the number of entries with which both logs begin.
func commonPrefix(a, b []entry) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i].id != b[i].id {
			return i
		}
	}
	return n
}

// commit appends an entry to a primary's log and waits until a replica has received it;
// it returns false if none has before the deadline, or if the member crashes or steps
// down.
func (c *Cluster) commit(m *Member, id string, deadline time.Time) (position.Position, bool) {
	c.mu.Lock()
	reached := position.Position{Term: m.term, Offset: 1}
	if n := len(m.log); n > 0 {
		reached.Offset = m.log[n-1].position.Offset + 1
	}
	m.log = append(m.log, entry{reached, id, c.Clock()})
	c.noteCommit(m, id)
	c.mu.Unlock()
	for time.Now().Before(deadline) {
		time.Sleep(replicaLag)
		c.mu.Lock()
		done := false
		if !m.primary || m.down {
			c.mu.Unlock()
			return reached, false
		}
		for _, r := range c.members {
			c.replicate(m, r)
			if r != m && !r.primary && r.term == m.term && contains(r.log, reached) {
				done = true
			}
		}
		c.mu.Unlock()
		if done {
			return reached, true
		}
	}
	return reached, false
}

func contains(log []entry, p position.Position) bool {
	return slices.ContainsFunc(log, func(e entry) bool { return e.position == p })
}

// Promoter returns the Promoter of an instance.
func (c *Cluster) Promoter(instance string) group.Promoter { return promoter{c, instance} }

type promoter struct {
	cluster  *Cluster
	instance string
}

// Promote implements group.Promoter.
func (p promoter) Promote(promotion group.Promotion, maySend func() bool, timeout time.Duration) error {
	c := p.cluster
	if !maySend() {
		return group.ErrNotCalled
	}
	time.Sleep(roundTrip)
	c.mu.Lock()
	defer c.mu.Unlock()
	if promotion.FencingToken < c.maxToken {
		c.recordViolation("promotion with fencing token %d by %s after token %d", promotion.FencingToken, promotion.Holder, c.maxToken)
	}
	c.maxToken = max(c.maxToken, promotion.FencingToken)
	m := c.member(promotion.Member)
	if m == nil || m.down {
		return group.ErrNotRunning
	}
	if m.primary && m == c.primaryMember() {
		return nil
	}
	c.calledFor = m.ID
	c.calls++
	if c.late.promotions > 0 {
		c.late.promotions--
		c.late.hold(func() { c.completePromotion(m) })
		c.mu.Unlock()
		time.Sleep(timeout)
		c.mu.Lock()
		return errTimeout
	}
	time.AfterFunc(c.promoteTime, func() { c.completePromotion(m) })
	return nil
}

// CalledFor returns the member for which the last promotion was called; empty if there
// was none.
func (c *Cluster) CalledFor() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calledFor
}

// completePromotion makes a member the primary of the next term.
func (c *Cluster) completePromotion(m *Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.primaryMember()
	if m.down || m.primary && m == old {
		return
	}
	seen := make(map[string]bool)
	for _, e := range m.log {
		seen[e.id] = true
	}
	for _, a := range c.acked {
		if !seen[a.ID] && !c.isRolledBack(a.ID) {
			c.recordViolation("commit %s was acknowledged and is not in the log of promoted %s", a.ID, m.ID)
		}
	}
	if c.branches != nil {
		c.followBranches(m, old.term+1)
		return
	}
	term := old.term + 1
	m.primary, m.term, m.pausedTerm = true, term, 0
	// The promotion itself resumes replication and moves the replicas to the new term,
	// so that they receive no more entries of the old primary.
	for _, r := range c.members {
		r.pausedTerm = 0
		unaware := c.unawareReplicas && c.partitioned(m.ID, r.ID)
		if r != m && r != old && !r.primary && !r.down && !unaware {
			r.term = term

			time.AfterFunc(followTime, func() { c.followPrimary(m, r) })
		}
	}
	if old != m {
		time.AfterFunc(demoteTime, func() { c.demote(m, old) })
	}
}

// followPrimary lets a replica receive from its new primary.
func (c *Cluster) followPrimary(p, r *Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicate(p, r)
}

// demote turns the old primary into a replica once it can reach the new one.
func (c *Cluster) demote(p, old *Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !old.primary || old.term >= p.term {
		return
	}
	if c.partitioned(p.ID, old.ID) || old.down {
		time.AfterFunc(demoteTime, func() { c.demote(p, old) })
		return
	}
	old.stepDown()
	c.replicate(p, old)
}

func (m *Member) position() position.Position {
	if len(m.log) == 0 {
		return position.Position{Term: m.term}
	}
	return m.log[len(m.log)-1].position
}

// applied returns the part of the log that reads on m see at the time now, and its last
// position. On the primary, or without applyLag, it is the whole log. Cluster.mu is
// held.
func (m *Member) applied(now time.Duration) ([]entry, position.Position) {
	if m.primary || m.applyLag == 0 {
		return m.log, m.position()
	}
	n := min(m.appliedAsPrimary, len(m.log))
	for n < len(m.log) && m.log[n].at+m.applyLag <= now {
		n++
	}
	if n == 0 {
		return nil, position.Position{}
	}
	return m.log[:n], m.log[n-1].position
}

// stepDown turns a primary into a replica that has applied all of its log. Cluster.mu is
// held.
func (m *Member) stepDown() {
	m.primary, m.appliedAsPrimary = false, len(m.log)
}

func (m *Member) status() takeover.Status {
	return takeover.Status{Primary: m.primary, Term: m.term, Received: m.position(), PausedTerm: m.pausedTerm}
}

// CountWrite returns how often a write is in the log of the current primary.
func (c *Cluster) CountWrite(id string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.primaryMember().log {
		if e.id == id {
			n++
		}
	}
	return n
}

// ReadsOn returns the number of reads that have arrived at a member.
func (c *Cluster) ReadsOn(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member(id).reads
}

// ReadCount returns the number of reads that the members have executed.
func (c *Cluster) ReadCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRow
}

// Connections returns the number of open connections to a member.
func (c *Cluster) Connections(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.member(id).conns)
}

// Members returns the registered members.
func (c *Cluster) Members() catalog.Members {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registered()
}

// registered returns the registered members. c.mu is held.
func (c *Cluster) registered() catalog.Members {
	all := make(catalog.Members)
	for _, m := range c.members {
		if m.registered && !m.down {
			all[m.ID] = catalog.Member{ID: m.ID, Service: Service, Address: m.address, FailureDomain: m.ID, Slots: 2, Draining: m.draining, Primary: m.primary, Started: m.generation}
		}
	}
	return all
}

// departures returns the members that have left. c.mu is held.
func (c *Cluster) departures() catalog.Departures {
	left := make(catalog.Departures)
	for _, m := range c.members {
		if m.left {
			left[m.ID] = m.generation
		}
	}
	return left
}

// Dialer returns the Dialer of an instance.
func (c *Cluster) Dialer(instance string) statement.Dialer { return dialer{c, instance} }
