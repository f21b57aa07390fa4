package simulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// reachCheckInterval is the interval at which a replaced primary looks for its successor.
const reachCheckInterval = 50 * time.Millisecond

// branches is the state of a cluster after ModelBranches.
type branches struct {
	commits    map[string]commitOrigin      // by ID
	reads      map[string]string            // the member of each read and its state, by row
	rolledBack map[string]bool              // commits that the latest promotion has left out, by ID
	made       map[position.Position]string // IDs of the commits
	other      OtherBranchReads
}

// OtherBranchReads counts the reads that were executed after a position whose commit is not in
// the log that they saw: members compare positions, which do not tell branches apart.
type OtherBranchReads struct {
	Kept    int // the latest primary has the commit
	LeftOut int // it has not
}

// commitOrigin is where a commit was made. Its index is the one in the log.
type commitOrigin struct {
	member string
	term   uint64
	index  int
	at     time.Duration
}

// ModelBranches lets the group split into branches behind partitions, as the users'
// platform may. Without it, all replicas that run follow a promoted member, whatever they
// reach, and a replaced primary steps down within a second after it reaches its successor.
// With it
//
//   - a promotion moves only the replicas that reach the promoted member, but resumes
//     replication on all, so that the others go on with the old primary,
//   - nothing is received from a member that does not run,
//   - a replaced primary goes on until it has reached a later primary for a second,
//   - Acknowledge records a violation for a commit that the latest promotion has left out, and
//   - CheckRead does not count commits that the latest promotion has left out. Each of them that
//     was acknowledged is a violation on its own.
func (c *Cluster) ModelBranches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.branches = &branches{make(map[string]commitOrigin), make(map[string]string), make(map[string]bool), make(map[position.Position]string), OtherBranchReads{}}
}

// JoinFrom adds a replica with the log of a member.
func (c *Cluster) JoinFrom(id, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addReplica(id, id, c.member(source))
}

// TakeAddress starts a replica with the log of source at the address of a member that has ended.
func (c *Cluster) TakeAddress(of, id, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addReplica(id, c.member(of).address, c.member(source))
}

// IsPartitioned reports whether two nodes are partitioned.
func (c *Cluster) IsPartitioned(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned(a, b)
}

// noteCommit keeps the origin of the last entry in the log of m. c.mu is held.
func (c *Cluster) noteCommit(m *Member, id string) {
	if c.branches != nil {
		c.branches.commits[id] = commitOrigin{m.ID, m.term, len(m.log) - 1, c.Clock()}
		c.branches.made[m.position()] = id
		delete(c.branches.rolledBack, id)
	}
}

// OtherBranchReads returns the reads of other branches so far.
func (c *Cluster) OtherBranchReads() OtherBranchReads {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.branches.other
}

// countOtherBranch counts a statement that a member executes after a position, if the log that it
// sees lacks the commit there. c.mu is held.
func (c *Cluster) countOtherBranch(m *Member, after position.Position) {
	if c.branches == nil {
		return
	}
	id, made := c.branches.made[after]
	o := c.branches.commits[id]
	log, _ := m.applied(c.Clock())
	switch {
	case !made || o.has(log, id):
	case o.has(c.primaryMember().log, id):
		c.branches.other.Kept++
	default:
		c.branches.other.LeftOut++
	}
}

// isRolledBack reports whether the latest promotion has left a commit out, which was
// recorded then. c.mu is held.
func (c *Cluster) isRolledBack(id string) bool { return c.branches != nil && c.branches.rolledBack[id] }

// noteRead keeps the state of the member that executes a read. c.mu is held.
func (c *Cluster) noteRead(row string, m *Member) {
	if c.branches != nil {
		c.branches.reads[row] = fmt.Sprintf("%s (%s) at %s", m.ID, m.describe(), c.Clock()-time.Hour)
	}
}

func (m *Member) describe() string {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s of term %d, received %s, paused %d", role, m.term, m.position(), m.pausedTerm)
}

// has reports whether a log has the commit.
func (o commitOrigin) has(log []entry, id string) bool {
	return o.index < len(log) && log[o.index].id == id
}

// checkAcknowledged records a violation if a commit that is about to be acknowledged is not in
// the log of the latest primary. c.mu is held.
func (c *Cluster) checkAcknowledged(id string) {
	if c.branches == nil {
		return
	}
	o, p := c.branches.commits[id], c.primaryMember()
	if !o.has(p.log, id) {
		c.recordViolation("commit %s, made on %s in term %d at %s, was acknowledged and is not in the log of %s, %s",
			id, o.member, o.term, o.at-time.Hour, p.ID, p.describe())
	}
}

// checkRead is missedBy with branches. c.mu is held.
func (c *Cluster) checkRead(r Read, log []entry) (missed string) {
	lacks := func(id string) bool {
		return !c.branches.rolledBack[id] && !c.branches.commits[id].has(log, id)
	}
	for _, a := range c.acked {
		own := slices.Contains(r.Own, a.ID)
		if !own && a.At >= r.Since || !lacks(a.ID) {
			continue
		}
		o, p := c.branches.commits[a.ID], c.primaryMember()
		c.recordViolation("a read (%s) on %s did not see commit %s (own: %t), made on %s in term %d at %s, acknowledged at %s, before its bound %s; the commit is in the log of %s, %s: %t",
			r.Kind, c.branches.reads[r.Row], a.ID, own, o.member, o.term, o.at-time.Hour, a.At-time.Hour, r.Since-time.Hour, p.ID, p.describe(), o.has(p.log, a.ID))
		return a.ID
	}
	return ""
}

// followBranches completes the promotion of m. c.mu is held.
func (c *Cluster) followBranches(m *Member, term uint64) {
	for id, o := range c.branches.commits {
		if o.has(m.log, id) {
			delete(c.branches.rolledBack, id)
		} else {
			c.branches.rolledBack[id] = true
		}
	}
	m.primary, m.term, m.pausedTerm = true, term, 0
	for _, r := range c.members {
		r := r
		switch {
		case r == m:
		case r.primary:
			c.awaitSuccessor(r, 0)
		default:
			r.pausedTerm = 0
			if !r.down && !c.partitioned(m.ID, r.ID) {
				r.term = term
				time.AfterFunc(followTime, func() { c.followPrimary(m, r) })
			}
		}
	}
}

// awaitSuccessor makes a replaced primary a replica once it has reached a later primary for
// demoteTime; reached is for how long it has.
func (c *Cluster) awaitSuccessor(old *Member, reached time.Duration) {
	time.AfterFunc(reachCheckInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		i := slices.IndexFunc(c.members, func(p *Member) bool {
			return p.primary && p.term > old.term && !p.down && !c.partitioned(p.ID, old.ID)
		})
		switch {
		case c.closed || !old.primary || old.term == c.primaryMember().term:
		case i < 0 || old.down:
			c.awaitSuccessor(old, 0)
		case reached >= demoteTime:
			old.stepDown()
			c.replicate(c.members[i], old)
		default:
			c.awaitSuccessor(old, reached+reachCheckInterval)
		}
	})
}
