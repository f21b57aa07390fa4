package replication

import (
	"slices"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// Span is a run of consecutive log entries of one term.
type Span struct {
	Term  uint64
	First uint64 // offset of the first entry
	Last  uint64 // offset of the last entry
}

// spans describes the log as one span per term. n.mu must be held.
func (n *Node) spans() []Span {
	var out []Span
	for _, e := range n.log {
		if len(out) == 0 || out[len(out)-1].Term != e.Position.Term {
			out = append(out, Span{Term: e.Position.Term, First: e.Position.Offset})
		}
		out[len(out)-1].Last = e.Position.Offset
	}
	return out
}

// commonPrefix returns the length of the longest common prefix of this log and the
// log described by spans. Two logs with an entry of the same term at the same
// offset are equal up to that offset, because a term has a single primary, which
// holds the whole log that it extends. n.mu must be held.
func (n *Node) commonPrefix(spans []Span) uint64 {
	for _, s := range slices.Backward(spans) {
		last := min(s.Last, uint64(len(n.log)))
		for o := last; o >= s.First; o-- {
			if n.log[o-1].Position.Term == s.Term {
				return o
			}
		}
	}
	return 0
}

// truncate discards the log after offset and rebuilds the database. n.mu must be
// held.
func (n *Node) truncate(offset uint64) {
	if offset >= uint64(len(n.log)) {
		return
	}
	n.log = slices.Clone(n.log[:offset]) // links may still be reading the old array
	n.db = engine.NewDatabase()
	for _, e := range n.log {
		n.db.Apply(e.Changes)
	}
}

// isPrimaryOf reports whether the node is the primary of term. n.mu must be held.
func (n *Node) isPrimaryOf(term uint64) bool { return n.primary && n.term == term }

// hello is the first message of a replica on a link: its term and a description of
// its log.
type hello struct {
	Term  uint64
	Spans []Span
}

// batch carries log entries from a primary. The first batch of a link has Start set
// and says how much of the replica's log is valid.
type batch struct {
	Term    uint64
	Start   bool
	Keep    uint64 // with Start: length of the log that the replica keeps
	Last    uint64 // with Start: offset of the primary's last entry
	Entries []Entry
}

// confirmation reports the offset up to which a replica has applied the log in a
// term.
type confirmation struct {
	Term   uint64
	Offset uint64
}

// hello returns the first message of a link, and false if the node is no longer in
// term.
func (n *Node) hello(term uint64) (hello, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return hello{term, n.spans()}, n.term == term
}

// startBatch returns the first batch of a link, the response to hello, and false
// unless the node is primary of the replica's term.
func (n *Node) startBatch(h hello) (batch, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return batch{Term: h.Term, Start: true, Keep: n.commonPrefix(h.Spans), Last: uint64(len(n.log))}, n.isPrimaryOf(h.Term)
}

// entriesAfter returns the log of a primary after offset, and a channel that is
// closed at the next change of the node. It returns false unless the node is primary
// of term.
func (n *Node) entriesAfter(term, offset uint64) ([]Entry, <-chan struct{}, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if !n.isPrimaryOf(term) {
		return nil, nil, false
	}
	return n.log[offset:len(n.log):len(n.log)], n.changed, true
}

// apply appends a batch of a primary to the log. It returns false without any change
// unless the node follows that primary in the batch's term. It also returns false if
// the entries do not continue the log.
func (n *Node) apply(primary Peer, b batch) (confirmation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.following != primary || n.term != b.Term {
		return confirmation{}, false
	}
	if b.Start {
		n.truncate(b.Keep)
		n.catchUpOffset = b.Last
	}
	if len(b.Entries) > 0 && b.Entries[0].Position.Offset != uint64(len(n.log))+1 {
		return confirmation{}, false
	}
	for _, e := range b.Entries {
		n.db.Apply(e.Changes)
	}
	n.log = append(n.log, b.Entries...)
	if uint64(len(n.log)) >= n.catchUpOffset {
		n.rejoining = false
	}
	n.broadcast()
	return confirmation{b.Term, uint64(len(n.log))}, true
}

// confirm records a confirmation of a replica. One of another term is ignored.
func (n *Node) confirm(member string, c confirmation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isPrimaryOf(c.Term) {
		return
	}
	n.confirmed[member] = c.Offset
	n.broadcast()
}

// Position returns the position of the last log entry.
func (n *Node) Position() position.Position {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.last()
}

// followedPrimary returns the primary that the node follows (zero if none), the
// term of the node, and a channel that is closed at the node's next change.
func (n *Node) followedPrimary() (Peer, uint64, <-chan struct{}) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.following, n.term, n.changed
}
