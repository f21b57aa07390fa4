// Package leadership decides which member of a database group is its primary and
// what a read may conclude from that. It is a pure state machine: times are
// passed in, and nothing here waits, sends or reads a clock.
//
// All instances share one Record per service in the platform's store. A change
// of primary begins with a claim in that record and ends with a new lead. Two
// rules connect them:
//
//   - An instance that read the record without a claim may use the lead for all
//     requests that arrive within ReadLease of sending that read.
//   - The holder of a claim publishes the new lead no earlier than ReadLease
//     after its claim was stored, and no instance writes to the new primary
//     before that.
//
// So no write is acknowledged by a new primary while an instance still reads
// from the old one.
package leadership

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

const (
	// ReadLease is how long one read of the record proves the lead. It is no
	// longer than a promotion takes (1 s in the site files), so that waiting
	// for it does not lengthen a failover.
	ReadLease = time.Second
	// LeaseMargin covers the difference in rate between two steady clocks over
	// a lease and the rounding of the store's time to milliseconds.
	LeaseMargin = 20 * time.Millisecond
	// markSpacing thins out the stored marks; a read that accepts old data may be
	// given data that is younger by as much.
	markSpacing = 20 * time.Millisecond
	// markLimit bounds the memory of a tracker: a greater staleness than its part of
	// the spacing has marks further apart.
	markLimit = 128
	// firstWindow is how far marks reach back until the configuration says so.
	firstWindow = 2500 * time.Millisecond
)

// Leader names a primary and the term in which it leads.
type Leader struct {
	Member string `json:"member"`
	Term   uint64 `json:"term"`
}

// Claim is the exclusive right of an instance to replace a primary.
type Claim struct {
	Holder string `json:"holder"`
	// Nonce tells the attempts of one holder apart.
	Nonce uint64 `json:"nonce"`
	// FirstClaimedAt is a store time no later than the moment at which the first claim
	// against OldLeader was stored. A renewal keeps it: leases on the old lead end
	// ReadLease after it.
	FirstClaimedAt time.Duration `json:"since"`
	// RenewedAt is the same for the latest claim, and decides when it ends.
	RenewedAt time.Duration `json:"renewed"`
	// OldLeader is the lead that is being replaced.
	OldLeader Leader `json:"old"`
}

// Record is what the instances share about one service.
type Record struct {
	Service string `json:"service"`
	// Leader is the last established primary; zero before the first change.
	Leader Leader `json:"lead"`
	Claim  *Claim `json:"claim,omitempty"`
	// Version is assigned by the store and grows with each write. It serves as
	// the fencing token of the claim. Zero means that there is no record yet.
	Version uint64 `json:"version,omitempty"`
}

// Watermark states that the primary's log had reached Position at time At, so that
// Position covers every write acknowledged before At.
type Watermark struct {
	Position position.Position
	At       time.Duration
}

// Tracker holds one instance's knowledge of one service.
//
// Invariants: lead.Term never decreases; proven never decreases while the lead
// stays the same; marks are in ascending order of At and all from the lead. A lead that
// has committed nothing yet is at a position of an earlier term.
type Tracker struct {
	lead    Leader
	record  Record
	proven  time.Duration
	marks   []Watermark
	window  time.Duration     // how far marks reach back; 0: firstWindow
	cover   Watermark         // latest position that covers all acknowledged writes, without the lead's word
	first   position.Position // first known position of the lead
	lastPos position.Position // highest known position of the lead
}

// Leader returns the current lead; Member is empty if none is known.
func (t *Tracker) Leader() Leader { return t.lead }

// Record returns the newest record seen.
func (t *Tracker) Record() Record { return t.record }

// Proven reports whether the lead was the only primary until at.
func (t *Tracker) Proven(at time.Duration) bool { return t.lead.Member != "" && at <= t.proven }

// ProvenUntil returns the latest arrival time covered by the evidence.
func (t *Tracker) ProvenUntil() time.Duration { return t.proven }

// Changing reports whether another instance or this one is replacing the lead.
func (t *Tracker) Changing() bool {
	return t.record.Claim != nil && t.record.Claim.OldLeader.Term >= t.lead.Term
}

// ObserveRecord takes in an answered read of the record. sentAt is the local
// time before the read was sent, storeNow the store's time in the answer. It
// reports whether the lead changed. Older versions than the newest are ignored.
func (t *Tracker) ObserveRecord(r Record, storeNow, sentAt time.Duration) bool {
	if r.Version < t.record.Version {
		return false
	}
	t.record = r
	changed := r.Leader.Member != "" && t.adopt(r.Leader)
	if t.lead.Member == "" {
		return changed
	}
	until := sentAt + ReadLease
	if r.Claim != nil {
		until = sentAt + r.Claim.FirstClaimedAt + ReadLease - storeNow
	}
	// A record that names another lead than ours proves nothing about ours:
	// ours was learned from the members while the store was away.
	if r.Leader.Member == "" || r.Leader == t.lead {
		t.proven = max(t.proven, until-LeaseMargin)
	}
	return changed
}

// ObserveRole takes in what a member reports of itself. It matters only before
// the first change of primary, when no record names a lead.
func (t *Tracker) ObserveRole(l Leader) bool {
	if t.record.Leader.Member != "" || t.lead.Member != "" {
		return false
	}
	return t.adopt(l)
}

// ObserveQuorum takes in answers of the members themselves, all asked at sentAt
// or later, that confirm the lead: it called itself primary of its term, and
// replicas of the same term were not held for a promotion. A promoted member
// would have answered with a later term, or, if it was silent, have kept the
// replicas from taking entries of this lead.
func (t *Tracker) ObserveQuorum(l Leader, log position.Position, sentAt time.Duration) {
	if l != t.lead {
		return
	}
	t.proven = max(t.proven, sentAt)
	t.ObservePosition(l.Member, log, sentAt)
}

// AdoptPromoted takes in a lead that the members themselves established, for
// the time in which the store does not answer. The caller has waited ReadLease
// since it first saw the member lead.
func (t *Tracker) AdoptPromoted(l Leader) bool { return t.adopt(l) }

func (t *Tracker) adopt(l Leader) bool {
	if l.Term < t.lead.Term || l == t.lead {
		return false
	}
	t.lead = l
	t.proven = 0
	t.marks = t.marks[:0]
	t.first, t.lastPos = position.Position{}, position.Position{}
	return true
}

// ObservePosition takes in the log position that a member sent with an answer
// to a request that was sent at sentAt. Only positions of the lead, sent while
// it was proven, become marks.
func (t *Tracker) ObservePosition(member string, p position.Position, sentAt time.Duration) {
	if member != t.lead.Member || p.Term > t.lead.Term || !t.Proven(sentAt) {
		return
	}
	if t.first.IsZero() {
		t.first = p
	}
	t.lastPos = position.Max(t.lastPos, p)
	window := cmp.Or(t.window, firstWindow)
	if n := len(t.marks); n > 0 && sentAt < t.marks[n-1].At+max(markSpacing, window/markLimit) {
		return
	}
	if i := slices.IndexFunc(t.marks, func(m Watermark) bool { return m.At >= sentAt-window }); i > 0 {
		t.marks = slices.Delete(t.marks, 0, i)
	}
	t.marks = append(t.marks, Watermark{Position: p, At: sentAt})
}

// SetMaxStaleness sets the greatest age of data that a read of the service accepts, which
// marks must reach back to.
func (t *Tracker) SetMaxStaleness(staleness time.Duration) { t.window = max(staleness, 0) }

// OldestWatermark returns the earliest mark taken at or after since: the position
// that a replica must have reached so that it lacks no write acknowledged
// before since. ok is false if there is no such mark.
func (t *Tracker) OldestWatermark(since time.Duration) (m Watermark, ok bool) {
	for i := len(t.marks) - 1; i >= 0 && t.marks[i].At >= since; i-- {
		m, ok = t.marks[i], true
	}
	return m, ok
}

// ObserveReadPosition takes in a position that covers every write acknowledged before
// sentAt, whichever member leads: see takeover.ReadPosition.
func (t *Tracker) ObserveReadPosition(p position.Position, sentAt time.Duration) {
	if sentAt > t.cover.At {
		t.cover = Watermark{Position: p, At: sentAt}
	}
}

// ReadPosition returns such a position for writes acknowledged before since; ok is false
// if none is known.
func (t *Tracker) ReadPosition(since time.Duration) (m Watermark, ok bool) {
	return t.cover, t.cover.At > 0 && t.cover.At >= since
}

// Translate returns a position that covers the acknowledged write at p under
// the current term. A position of an earlier term may lie past the place at
// which the current term began, so it is replaced by the first known position
// of the current term. ok is false if none is known yet.
func (t *Tracker) Translate(p position.Position) (position.Position, bool) {
	switch {
	case p.Term >= t.lead.Term:
		return p, true
	case t.first.IsZero():
		return position.Position{}, false
	default:
		return t.first, true
	}
}

// LastPosition returns the highest position seen on the lead in its term.
func (t *Tracker) LastPosition() position.Position { return t.lastPos }
