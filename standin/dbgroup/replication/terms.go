package replication

import (
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// Grant is the response to a request to adopt a term, like a vote in an election.
type Grant struct {
	Granted bool
	Term    uint64            // current term of the node
	Last    position.Position // of the last log entry of the node
}

// Adopt moves the node to a newer term and grants that term to one promotion
// attempt. Afterwards the node accepts no entries of earlier terms and commits
// nothing in them, which fences off their primaries. A repeated request of the
// attempt that holds the term is granted and changes nothing. A rejoining node
// grants no newer term.
func (n *Node) Adopt(term uint64, attempt string) Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	granted := term == n.term && attempt == n.attempt
	if term > n.term && !n.rejoining {
		n.enterTerm(term, attempt)
		granted = true
	}
	return Grant{granted, n.term, n.last()}
}

// enterTerm moves the node to a term without a primary. n.mu must be held.
func (n *Node) enterTerm(term uint64, attempt string) {
	n.term, n.attempt = term, attempt
	n.primary = false
	n.following = Peer{}
	n.confirmed = map[string]uint64{}
	n.broadcast()
}

// Promote makes the node primary of a term that it has granted to attempt, and
// writes the first log entry of that term. It has no effect if the node is primary
// of the term already. Errors are 55000: the term was not granted to attempt, or
// the node follows another primary in it.
func (n *Node) Promote(term uint64, attempt string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term != n.term || attempt != n.attempt {
		return engine.Errorf(engine.ObjectNotInPrerequisiteState, "term %d is not granted to attempt %q: the member is in term %d", term, attempt, n.term)
	}
	if n.primary {
		return nil
	}
	if n.following.Name != "" {
		return engine.Errorf(engine.ObjectNotInPrerequisiteState, "the member follows %q in term %d", n.following.Name, term)
	}
	n.primary = true
	n.append(nil)
	n.broadcast()
	return nil
}

// Barrier writes a no-op log entry and returns its position. The error is 25006 if
// the node is not primary.
func (n *Node) Barrier() (position.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.primary {
		return position.Position{}, readOnlyError()
	}
	p := n.append(nil)
	n.broadcast()
	return p, nil
}

// Follow makes the node a replica of primary in a term that is not older than its
// own. A divergent log suffix is discarded when the replication link connects.
// Errors are 55000: the term is over, it has another primary, or primary is the
// node itself.
func (n *Node) Follow(term uint64, primary Peer) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case term < n.term:
		return engine.Errorf(engine.ObjectNotInPrerequisiteState, "term %d is over: the member is in term %d", term, n.term)
	case term == n.term && n.primary:
		return engine.Errorf(engine.ObjectNotInPrerequisiteState, "the member is the primary of term %d", term)
	case primary.Name == n.name:
		return engine.Errorf(engine.ObjectNotInPrerequisiteState, "a member cannot follow itself")
	case term == n.term && n.following.Name != "" && n.following.Name != primary.Name:
		return engine.Errorf(engine.ObjectNotInPrerequisiteState, "term %d already has the primary %q", term, n.following.Name)
	}
	if term > n.term {
		n.enterTerm(term, "")
	}
	n.following = primary
	n.broadcast()
	return nil
}
