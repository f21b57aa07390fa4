// Package replication holds the term, the log and the role of one member of
// the database group stand-in, and the links that carry the log.
package replication

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// Entry is one committed transaction, or a no-op without changes. Offsets
// start at 1 and have no gaps, also across terms.
type Entry struct {
	Position position.Position
	Changes  []engine.Change
}

// Peer is a member of the group as configured.
type Peer struct {
	Name    string
	Address string
}

// Status describes a node.
type Status struct {
	Member    string            `json:"member"`
	Primary   bool              `json:"primary"`
	Term      uint64            `json:"term"`
	Last      position.Position `json:"last"`
	Following string            `json:"following"`
	Confirmed map[string]uint64 `json:"confirmed"`
	Rejoining bool              `json:"rejoining"`
}

// Node is the replicated state of one member. One lock covers the term, the
// log and the database, so that a commit and a change of term never overlap.
// The complete log is kept in memory: a divergent suffix is discarded by
// replaying the rest into a new database.
type Node struct {
	name string
	size int // number of members in the group

	mu        sync.RWMutex
	changed   chan struct{}
	db        *engine.Database
	log       []Entry
	term      uint64
	attempt   string
	primary   bool
	following Peer // the primary this replica follows, if any
	confirmed map[string]uint64
	rejoining bool
	target    uint64 // offset at which a rejoining member has caught up, 0 if unknown
}

// initialAttempt is the attempt to which the first term is granted.
const initialAttempt = "initial"

// NewNode returns the node of a member that starts in term 1 under the given
// primary. A rejoining member has lost its log: it starts in term 0 without a
// primary and grants no term until it has caught up with a primary.
func NewNode(name string, peers []Peer, primary string, rejoining bool) *Node {
	n := &Node{
		name: name, size: len(peers),
		changed: make(chan struct{}), db: engine.NewDatabase(),
		confirmed: map[string]uint64{}, rejoining: rejoining,
	}
	if rejoining {
		return n
	}
	n.term, n.attempt = 1, initialAttempt
	if primary == name {
		n.primary = true
		n.append(nil)
		return n
	}
	i := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == primary })
	n.following = peers[i]
	return n
}

// signal wakes everything that waits for a change. The lock must be held.
func (n *Node) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) last() position.Position {
	if len(n.log) == 0 {
		return position.Position{}
	}
	return n.log[len(n.log)-1].Position
}

// append writes a log entry of the current term and applies it.
func (n *Node) append(changes []engine.Change) position.Position {
	p := position.Position{Term: n.term, Offset: uint64(len(n.log)) + 1}
	n.log = append(n.log, Entry{p, changes})
	n.db.Apply(changes)
	n.confirmed[n.name] = p.Offset
	return p
}

// Status returns the state of the node and a channel that is closed by the
// next change.
func (n *Node) Status() (Status, <-chan struct{}) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	s := Status{
		Member: n.name, Primary: n.primary, Term: n.term, Last: n.last(),
		Following: n.following.Name, Rejoining: n.rejoining,
	}
	if n.primary {
		s.Following = n.name
		s.Confirmed = maps.Clone(n.confirmed)
	}
	return s, n.changed
}

// quorum reports whether a majority of the group has confirmed offset.
func (n *Node) quorum(offset uint64) bool {
	count := 0
	for _, confirmed := range n.confirmed {
		if confirmed >= offset {
			count++
		}
	}
	return count > n.size/2
}

// AwaitPosition blocks until the position is confirmed by a quorum (primary) or applied
// (replica). It also returns when a primary can no longer reach that: when its
// term is not p.Term or it stops being primary.
func (n *Node) AwaitPosition(ctx context.Context, p position.Position) {
	n.mu.RLock()
	wasPrimary := n.primary
	n.mu.RUnlock()
	for {
		n.mu.RLock()
		done := n.reached(p, wasPrimary)
		changed := n.changed
		n.mu.RUnlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) reached(p position.Position, wasPrimary bool) bool {
	if n.primary != wasPrimary {
		return true
	}
	if n.primary {
		return n.term != p.Term || n.quorum(p.Offset)
	}
	return n.last().AtLeast(p)
}
