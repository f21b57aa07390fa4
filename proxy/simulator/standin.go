// Package simulator simulates what surrounds papayarail on a platform: a database
// group with terms, holds and promotions, and the platform's store. It runs in
// memory and in the time of a testing/synctest bubble, and checks what callers
// may rely on: it keeps every acknowledged commit and what each read saw.
package simulator

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/statement"
)

const (
	// Service and Database are the names of the one group.
	Service  = "register"
	Database = "orders"

	roundTrip   = 2 * time.Millisecond
	workTime    = 3 * time.Millisecond
	replicaLag  = 10 * time.Millisecond
	promoteTime = time.Second
	learnTime   = 20 * time.Millisecond // until a follower knows its new primary
)

// entry is a commit in a log.
type entry struct {
	position position.Position
	id       string
	at       time.Duration // when the primary took it
}

// Member is one simulated database.
type Member struct {
	ID       string
	primary  bool
	term     uint64
	held     uint64
	log      []entry // append only; truncation copies
	down     bool
	dark     bool // down, and does not refuse connections
	draining bool
	listed   bool
	life     int64
	// applyLag is how long after their commit this member lets reads see entries
	// while it is a replica.
	applyLag time.Duration
	// appliedAsPrimary is the number of entries that it had applied when it last gave
	// up its lead.
	appliedAsPrimary int
	links            map[*link]bool
}

// AckedWrite is a commit that a caller was told of.
type AckedWrite struct {
	ID string
	At time.Duration
}

// Cluster is the group, the store and the links between all of them.
type Cluster struct {
	mu      sync.Mutex
	start   time.Time
	members []*Member
	cuts    map[[2]string]bool
	acked   []AckedWrite
	reads   map[string][]entry // what a read saw, by its row
	faults  []string           // broken promises
	tokens  uint64
	row     int
	store   store
	closed  bool // no timer is set any more
	// loseReplies is the number of writes whose answers are lost.
	loseReplies int
	// readTime is how long a member executes a read.
	readTime time.Duration
	// ignorePositions is a planted fault; see IgnorePositions.
	ignorePositions bool
}

// NewCluster returns a group of members; the first leads term 1.
func NewCluster(ids ...string) *Cluster {
	w := &Cluster{start: time.Now(), readTime: workTime, cuts: make(map[[2]string]bool), reads: make(map[string][]entry)}
	for i, id := range ids {
		w.members = append(w.members, &Member{ID: id, primary: i == 0, term: 1, listed: true, life: 1, links: make(map[*link]bool)})
	}
	w.store.rows = make(map[string]storedRecord)
	w.store.instances = make(map[string]source.Candidate)
	return w
}

// Clock is the steady clock of all instances.
func (w *Cluster) Clock() time.Duration { return time.Since(w.start) + time.Hour }

func (w *Cluster) member(id string) *Member {
	for _, m := range w.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// Close lets all timers of the world run out.
func (w *Cluster) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// Partition stops everything between two names: instances, members, "store".
func (w *Cluster) Partition(a, b string) { w.setCut(a, b, true) }

// Heal ends a cut.
func (w *Cluster) Heal(a, b string) { w.setCut(a, b, false) }

func (w *Cluster) setCut(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = cut, cut
}

func (w *Cluster) cut(a, b string) bool { return w.cuts[[2]string{a, b}] }

// DropReplies loses the answers of the next n writes of callers; the writes take
// effect.
func (w *Cluster) DropReplies(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseReplies = n
}

// Crash ends a member's process; dark also keeps its address silent.
func (w *Cluster) Crash(id string, dark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.member(id)
	m.down, m.dark, m.held = true, dark, 0
	m.links = make(map[*link]bool)
}

// Restart starts a member again, with its log or without it.
func (w *Cluster) Restart(id string, empty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.member(id)
	m.down, m.dark = false, false
	for _, other := range w.members {
		if other.primary && other.term > m.term {
			m.giveUp()
		}
	}
	if empty {
		m.log, m.primary, m.life = nil, false, m.life+1
	}
}

// Replace starts a member that is down again under another name, with its log
// and its role.
func (w *Cluster) Replace(id, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.member(id)
	m.ID, m.down, m.dark, m.life = name, false, false, m.life+1
}

// Drain makes a member announce that it leaves.
func (w *Cluster) Drain(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.member(id).draining = true
}

// Deregister removes a member's registration.
func (w *Cluster) Deregister(id string) { w.list(id, false) }

// Register registers a member again.
func (w *Cluster) Register(id string) { w.list(id, true) }

func (w *Cluster) list(id string, listed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.member(id).listed = listed
}

// Join adds a replica.
func (w *Cluster) Join(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.leader()
	m := &Member{ID: id, term: p.term, listed: true, life: 1, links: make(map[*link]bool), log: slices.Clone(p.log)}
	w.members = append(w.members, m)
}

// Primary returns the primary of the latest term.
func (w *Cluster) Primary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leader().ID
}

// leader returns the primary of the latest term or, if that gave up its lead,
// the member with the longest log of that term.
func (w *Cluster) leader() *Member {
	return slices.MaxFunc(w.members, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(a.term, b.term), cmp.Compare(btoi(a.primary), btoi(b.primary)), a.position().Compare(b.position()))
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Violations returns the broken promises found so far.
func (w *Cluster) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.faults)
}

func (w *Cluster) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%s: ", w.Clock()-time.Hour)+fmt.Sprintf(format, args...))
}

// Acknowledge records that a caller was told that a write is kept.
func (w *Cluster) Acknowledge(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked = append(w.acked, AckedWrite{id, w.Clock()})
}

// CheckRead records a fault if a read lacks a commit acknowledged before since.
func (w *Cluster) CheckRead(row string, since time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := make(map[string]bool)
	for _, e := range w.reads[row] {
		seen[e.id] = true
	}
	for _, a := range w.acked {
		if a.At < since && !seen[a.ID] {
			w.fault("a read lacks commit %s acknowledged at %s, needed since %s", a.ID, a.At, since)
			return
		}
	}
}

// ship gives the primary's new entries to a replica.
func (w *Cluster) ship(p, r *Member) {
	if r == p || r.primary || r.down || r.held > 0 || r.term > p.term || w.cut(p.ID, r.ID) {
		return
	}
	r.term = p.term
	r.log = slices.Clone(p.log)
}

// commit appends an entry on a primary and waits for a replica to have it.
func (w *Cluster) commit(m *Member, id string, deadline time.Time) (position.Position, bool) {
	w.mu.Lock()
	at := position.Position{Term: m.term, Offset: 1}
	if n := len(m.log); n > 0 {
		at.Offset = m.log[n-1].position.Offset + 1
	}
	m.log = append(m.log, entry{at, id, w.Clock()})
	w.mu.Unlock()
	for time.Now().Before(deadline) {
		time.Sleep(replicaLag)
		w.mu.Lock()
		done := false
		if !m.primary || m.down {
			w.mu.Unlock()
			return at, false
		}
		for _, r := range w.members {
			w.ship(m, r)
			if r != m && !r.primary && r.term == m.term && has(r.log, at) {
				done = true
			}
		}
		w.mu.Unlock()
		if done {
			return at, true
		}
	}
	return at, false
}

func has(log []entry, p position.Position) bool {
	return slices.ContainsFunc(log, func(e entry) bool { return e.position == p })
}

// Promoter returns what instance uses to promote.
func (w *Cluster) Promoter(instance string) group.Promoter { return promoter{w, instance} }

type promoter struct {
	w        *Cluster
	instance string
}

// Promote implements group.Promoter.
func (p promoter) Promote(order group.Promotion, maySend func() bool, timeout time.Duration) error {
	w := p.w
	if !maySend() {
		return fmt.Errorf("too old")
	}
	time.Sleep(roundTrip)
	w.mu.Lock()
	defer w.mu.Unlock()
	if order.FencingToken < w.tokens {
		w.fault("token %d of %s after %d", order.FencingToken, order.Holder, w.tokens)
	}
	w.tokens = max(w.tokens, order.FencingToken)
	m := w.member(order.Member)
	if m == nil || m.down {
		return fmt.Errorf("not running")
	}
	if m.primary && m == w.leader() {
		return nil
	}
	time.AfterFunc(promoteTime, func() { w.promoted(m) })
	return nil
}

// promoted makes a member the primary of the next term.
func (w *Cluster) promoted(m *Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.leader()
	if m.down || m.primary && m == old {
		return
	}
	seen := make(map[string]bool)
	for _, e := range m.log {
		seen[e.id] = true
	}
	for _, a := range w.acked {
		if !seen[a.ID] {
			w.fault("commit %s was acknowledged and is not in the log of promoted %s", a.ID, m.ID)
		}
	}
	term := old.term + 1
	m.primary, m.term, m.held = true, term, 0
	// The promotion itself ends the holds and moves the replicas to the new term,
	// so that they take no entries of the old primary any more.
	for _, r := range w.members {
		r.held = 0
		if r != m && r != old && !r.down {
			r.term = term

			time.AfterFunc(learnTime, func() { w.learn(m, r) })
		}
	}
	if old != m {
		time.AfterFunc(promoteTime, func() { w.demote(m, old) })
	}
}

func (w *Cluster) learn(p, r *Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ship(p, r)
}

// demote makes the old primary a replica once it reaches the new one.
func (w *Cluster) demote(p, old *Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !old.primary || old.term >= p.term {
		return
	}
	if w.cut(p.ID, old.ID) || old.down {
		time.AfterFunc(promoteTime, func() { w.demote(p, old) })
		return
	}
	old.giveUp()
	w.ship(p, old)
}

func (m *Member) position() position.Position {
	if len(m.log) == 0 {
		return position.Position{Term: m.term}
	}
	return m.log[len(m.log)-1].position
}

// applied returns the part of the log that reads on m see at now, and its end: all
// of it on the primary.
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

// giveUp makes a primary a replica, which has applied all of its log.
func (m *Member) giveUp() {
	m.primary, m.appliedAsPrimary = false, len(m.log)
}

func (m *Member) status() takeover.Status {
	return takeover.Status{Primary: m.primary, Term: m.term, Received: m.position(), PausedTerm: m.held}
}

// CountWrite returns how often a write is in the log of the present primary.
func (w *Cluster) CountWrite(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.leader().log {
		if e.id == id {
			n++
		}
	}
	return n
}

// IgnorePositions makes members execute reads whatever position they need: a
// planted fault, for tests of the checks.
func (w *Cluster) IgnorePositions() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ignorePositions = true
}

// SetApplyLag sets how late a member applies what it receives as a replica.
func (w *Cluster) SetApplyLag(id string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.member(id).applyLag = d
}

// SetReadTime sets how long a member executes a read.
func (w *Cluster) SetReadTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readTime = d
}

// ReadCount returns the number of reads that the members have executed.
func (w *Cluster) ReadCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.row
}

// Connections returns the number of open connections to a member.
func (w *Cluster) Connections(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.member(id).links)
}

// Members returns the registered members.
func (w *Cluster) Members() catalog.Members {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.registered()
}

// registered returns the registered members. w.mu is held.
func (w *Cluster) registered() catalog.Members {
	all := make(catalog.Members)
	for _, m := range w.members {
		if m.listed && !m.down {
			all[m.ID] = catalog.Member{ID: m.ID, Service: Service, Address: m.ID, FailureDomain: m.ID, Slots: 2, Draining: m.draining, Primary: m.primary, Started: m.life}
		}
	}
	return all
}

// Dialer returns what instance uses to reach the members.
func (w *Cluster) Dialer(instance string) statement.Dialer { return dialer{w, instance} }
