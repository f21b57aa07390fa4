// Package replication implements single-primary log replication for the database
// group stand-in: the term, the role and the log of one member, the granting of
// terms to a new primary, and the replication links between members.
package replication

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// Entry is one log entry: a committed transaction, or a no-op without changes.
// Offsets start at 1 and have no gaps, also across terms.
type Entry struct {
	Position position.Position
	Changes  []engine.Change
}

// Peer is a configured member of the group.
type Peer struct {
	Name    string
	Address string // host:port
}

// Status is the state of a node.
type Status struct {
	Member    string            `json:"member"`
	Primary   bool              `json:"primary"`
	Term      uint64            `json:"term"`
	Last      position.Position `json:"last"`      // of the last log entry
	Following string            `json:"following"` // name of the primary, empty if none
	Confirmed map[string]uint64 `json:"confirmed"` // on a primary: offset by member, in the current term
	Rejoining bool              `json:"rejoining"` // the member lost its log and has not caught up with a primary
}

// Node is the replicated state of one member. One lock guards the term, the log
// and the database, so that a commit and a change of term never overlap. The
// complete log is kept in memory, because discarding a divergent suffix means
// replaying the remaining entries into a new database.
type Node struct {
	name string
	size int // number of members in the group

	mu            sync.RWMutex
	changed       chan struct{} // closed and replaced by broadcast
	db            *engine.Database
	log           []Entry
	term          uint64
	attempt       string // promotion attempt to which the term was granted
	primary       bool
	following     Peer              // primary that this replica follows, zero if none
	confirmed     map[string]uint64 // offset by member, in the current term
	rejoining     bool
	catchUpOffset uint64 // offset at which a rejoining member has caught up, 0 if unknown
}

// initialAttempt is the promotion attempt to which the first term is granted.
const initialAttempt = "initial"

// NewNode returns a node that starts in term 1 with the given primary, which must
// be in peers. A rejoining node has lost its log: it starts in term 0 without a
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
		n.append(nil) // the first log entry of the term, as in Promote
		return n
	}
	i := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == primary })
	n.following = peers[i]
	return n
}

// broadcast wakes all waiters. n.mu must be held.
func (n *Node) broadcast() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// last returns the position of the last log entry. n.mu must be held.
func (n *Node) last() position.Position {
	if len(n.log) == 0 {
		return position.Position{}
	}
	return n.log[len(n.log)-1].Position
}

// append adds a log entry of the current term and applies it. n.mu must be held.
func (n *Node) append(changes []engine.Change) position.Position {
	p := position.Position{Term: n.term, Offset: uint64(len(n.log)) + 1}
	n.log = append(n.log, Entry{p, changes})
	n.db.Apply(changes)
	n.confirmed[n.name] = p.Offset
	return p
}

// Status returns the state of the node and a channel that is closed at the next
// change of the node.
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

// hasQuorum reports whether a majority of the group has confirmed offset. n.mu
// must be held.
func (n *Node) hasQuorum(offset uint64) bool {
	count := 0
	for _, confirmed := range n.confirmed {
		if confirmed >= offset {
			count++
		}
	}
	return count > n.size/2
}

// AwaitPosition blocks until p is confirmed by a quorum (on a primary) or applied
// (on a replica), or until ctx ends. It also returns when the node changes its
// role, or when it is primary of a term other than p.Term, in which p can no longer
// be confirmed.
func (n *Node) AwaitPosition(ctx context.Context, p position.Position) {
	n.mu.RLock()
	wasPrimary := n.primary
	n.mu.RUnlock()
	for {
		n.mu.RLock()
		done := n.positionReached(p, wasPrimary)
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

// positionReached reports whether AwaitPosition is done. n.mu must be held.
func (n *Node) positionReached(p position.Position, wasPrimary bool) bool {
	if n.primary != wasPrimary {
		return true
	}
	if n.primary {
		return n.term != p.Term || n.hasQuorum(p.Offset)
	}
	return n.last().AtLeast(p)
}
