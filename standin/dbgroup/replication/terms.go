package replication

import (
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// Grant is the answer to a request to adopt a term.
type Grant struct {
	Granted bool
	Term    uint64
	Last    position.Position
}

// Adopt moves the node to a term for one attempt. Afterwards the node takes no
// entries of earlier terms and commits nothing in them. A repeated request of
// the attempt that already holds the term is granted and changes nothing.
func (n *Node) Adopt(term uint64, attempt string) Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	granted := term == n.term && attempt == n.attempt
	if term > n.term && !n.rejoining {
		n.enter(term, attempt)
		granted = true
	}
	return Grant{granted, n.term, n.last()}
}

// enter moves the node to a term, without a primary.
func (n *Node) enter(term uint64, attempt string) {
	n.term, n.attempt = term, attempt
	n.primary = false
	n.following = Peer{}
	n.confirmed = map[string]uint64{}
	n.signal()
}

// Promote makes the node primary of a term that it granted to attempt and
// writes the first log entry of that term.
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
	n.signal()
	return nil
}

// Barrier writes a no-op log entry and returns its position.
func (n *Node) Barrier() (position.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.primary {
		return position.Position{}, readOnly()
	}
	p := n.append(nil)
	n.signal()
	return p, nil
}

// Follow makes the node a replica of a primary in a term that is not older
// than its own. The link discards a divergent log suffix when it connects.
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
		n.enter(term, "")
	}
	n.following = primary
	n.signal()
	return nil
}
