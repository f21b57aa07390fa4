// Package primacy tracks which member of a database group is the primary, by
// read leases on a shared record and by quorums of the members, and which log
// positions reads with a staleness bound may rely on. It is a pure state machine:
// times are passed in, and nothing here waits, sends or reads a clock.
//
// All instances share one Record per service in the platform's store. A change
// of primary begins with a claim in that record and ends with a new leader. Two
// rules connect them:
//
//   - An instance that read the record without a claim holds a lease on the
//     leader: it may use the leader for all requests that arrive within ReadLease
//     of sending that read.
//   - The holder of a claim publishes the new leader no earlier than ReadLease
//     after its claim was stored, and no instance writes to the new leader
//     before that.
//
// So no write is acknowledged by a new primary while an instance still reads
// from the old one.
package primacy

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

const (
	// ReadLease is how long one read of the record proves the leader. It is no
	// longer than a promotion takes (1 s in the site files), so that waiting
	// for it does not lengthen a failover.
	ReadLease = time.Second
	// LeaseMargin covers the difference in rate between two monotonic clocks over
	// a lease and the rounding of the store's time to milliseconds.
	LeaseMargin = 20 * time.Millisecond
	// watermarkSpacing is the least time between two stored watermarks. A read with a
	// staleness bound may be required to see data that is younger than its bound by
	// as much.
	watermarkSpacing = 20 * time.Millisecond
	// maxWatermarks limits the memory of a tracker: if the window is longer than
	// maxWatermarks times watermarkSpacing, watermarks are further apart.
	maxWatermarks = 128
	// defaultWatermarkWindow is how far watermarks reach back until SetMaxStaleness is
	// called.
	defaultWatermarkWindow = 2500 * time.Millisecond
)

// Primary identifies a primary and the term in which it is the primary.
type Primary struct {
	Member string `json:"member"`
	Term   uint64 `json:"term"`
}

// Claim is the exclusive right of an instance to replace a primary.
type Claim struct {
	Holder string `json:"holder"`
	// Nonce distinguishes the attempts of one holder.
	Nonce uint64 `json:"nonce"`
	// FirstClaimedAt is a store time no later than the moment at which the first claim
	// against OldPrimary was stored. A renewal keeps it: leases on the old leader end
	// ReadLease after it.
	FirstClaimedAt time.Duration `json:"since"`
	// RenewedAt is a store time no later than the moment at which the latest renewal
	// of the claim was stored; the claim expires a fixed time after it.
	RenewedAt time.Duration `json:"renewed"`
	// OldPrimary is the leader that is being replaced.
	OldPrimary Primary `json:"old"`
}

// Record is what the instances share about one service.
type Record struct {
	Service string `json:"service"`
	// Primary is the last established leader; zero before the first change.
	Primary Primary `json:"lead"`
	Claim   *Claim  `json:"claim,omitempty"`
	// Version is assigned by the store and increases with each write. It serves as
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
// Invariants: leader.Term never decreases; provenUntil never decreases while the
// leader stays the same; watermarks are in ascending order of At and all from the
// leader. A leader that has committed nothing yet is at a position of an earlier
// term.
type Tracker struct {
	leader          Primary
	record          Record
	provenUntil     time.Duration
	watermarks      []Watermark
	watermarkWindow time.Duration     // how far watermarks reach back; 0: defaultWatermarkWindow
	readPosition    Watermark         // latest position that covers all acknowledged writes whichever member leads
	firstPosition   position.Position // first known position of the leader
	lastPosition    position.Position // highest known position of the leader
}

// Primary returns the current leader; Member is empty if none is known.
func (t *Tracker) Primary() Primary { return t.leader }

// Record returns the newest record seen.
func (t *Tracker) Record() Record { return t.record }

// Proven reports whether the leader is known to have been the only primary until
// the local time at.
func (t *Tracker) Proven(at time.Duration) bool { return t.leader.Member != "" && at <= t.provenUntil }

// ProvenUntil returns the latest local arrival time of a request for which the
// leader is proven.
func (t *Tracker) ProvenUntil() time.Duration { return t.provenUntil }

// ReplacementClaimed reports whether a claim is replacing the leader, of this instance or of
// another one.
func (t *Tracker) ReplacementClaimed() bool {
	return t.record.Claim != nil && t.record.Claim.OldPrimary.Term >= t.leader.Term
}

// ObserveRecord handles the answer to a read of the record. sentAt is the local
// time before the read was sent, storeNow the store's time in the answer. It
// reports whether the leader changed. A record older than the newest one seen is
// ignored.
func (t *Tracker) ObserveRecord(r Record, storeNow, sentAt time.Duration) bool {
	if r.Version < t.record.Version {
		return false
	}
	t.record = r
	changed := r.Primary.Member != "" && t.adopt(r.Primary)
	if t.leader.Member == "" {
		return changed
	}
	until := sentAt + ReadLease
	if r.Claim != nil {
		until = sentAt + r.Claim.FirstClaimedAt + ReadLease - storeNow
	}
	// A record of another leader is no evidence for the tracker's leader, which
	// was learned from the members while the store was unavailable.
	if r.Primary.Member == "" || r.Primary == t.leader {
		t.provenUntil = max(t.provenUntil, until-LeaseMargin)
	}
	return changed
}

// ObserveRole handles a member's own report that it is the primary. It counts only
// before the first change of primary, when no record names a leader. It reports
// whether the leader changed.
func (t *Tracker) ObserveRole(l Primary) bool {
	if t.record.Primary.Member != "" || t.leader.Member != "" {
		return false
	}
	return t.adopt(l)
}

// ObserveQuorum handles answers of a quorum of members, all asked at the local
// time sentAt or later, that confirm the leader l with its log position: it
// reported to be the primary of its term, and replicas of the same term were not
// paused for a promotion. Had another member been promoted, it would have answered
// with a later term or, if it did not answer, have stopped the replicas from
// receiving entries of this leader.
func (t *Tracker) ObserveQuorum(l Primary, log position.Position, sentAt time.Duration) {
	if l != t.leader {
		return
	}
	t.provenUntil = max(t.provenUntil, sentAt)
	t.ObservePosition(l.Member, log, sentAt)
}

// AdoptPromoted sets a leader that was established by the members while the store
// does not answer, and reports whether the leader changed. It must not be called
// earlier than ReadLease after the member was first seen as the primary.
func (t *Tracker) AdoptPromoted(l Primary) bool { return t.adopt(l) }

func (t *Tracker) adopt(l Primary) bool {
	if l.Term < t.leader.Term || l == t.leader {
		return false
	}
	t.leader = l
	t.provenUntil = 0
	t.watermarks = t.watermarks[:0]
	t.firstPosition, t.lastPosition = position.Position{}, position.Position{}
	return true
}

// ObservePosition handles the log position that a member sent with an answer to a
// request that was sent at the local time sentAt. Only positions of the leader,
// sent while it was proven, become watermarks.
func (t *Tracker) ObservePosition(member string, p position.Position, sentAt time.Duration) {
	if member != t.leader.Member || p.Term > t.leader.Term || !t.Proven(sentAt) {
		return
	}
	if t.firstPosition.IsZero() {
		t.firstPosition = p
	}
	t.lastPosition = position.Max(t.lastPosition, p)
	window := cmp.Or(t.watermarkWindow, defaultWatermarkWindow)
	if n := len(t.watermarks); n > 0 && sentAt < t.watermarks[n-1].At+max(watermarkSpacing, window/maxWatermarks) {
		return
	}
	if i := slices.IndexFunc(t.watermarks, func(m Watermark) bool { return m.At >= sentAt-window }); i > 0 {
		t.watermarks = slices.Delete(t.watermarks, 0, i)
	}
	t.watermarks = append(t.watermarks, Watermark{Position: p, At: sentAt})
}

// SetMaxStaleness sets the largest staleness bound of the service's reads; watermarks
// reach back as far.
func (t *Tracker) SetMaxStaleness(staleness time.Duration) { t.watermarkWindow = max(staleness, 0) }

// OldestWatermark returns the earliest watermark taken at or after since: a replica
// that has reached its position lacks no write acknowledged before since. ok is
// false if there is no such watermark.
func (t *Tracker) OldestWatermark(since time.Duration) (m Watermark, ok bool) {
	for i := len(t.watermarks) - 1; i >= 0 && t.watermarks[i].At >= since; i-- {
		m, ok = t.watermarks[i], true
	}
	return m, ok
}

// ObserveReadPosition handles a position that covers every write acknowledged before
// the local time sentAt, whichever member leads: see takeover.ReadPosition.
func (t *Tracker) ObserveReadPosition(p position.Position, sentAt time.Duration) {
	if sentAt > t.readPosition.At {
		t.readPosition = Watermark{Position: p, At: sentAt}
	}
}

// ReadPosition returns the latest position passed to ObserveReadPosition; ok is false
// if it does not cover the writes acknowledged before since.
func (t *Tracker) ReadPosition(since time.Duration) (m Watermark, ok bool) {
	return t.readPosition, t.readPosition.At > 0 && t.readPosition.At >= since
}

// CoveringPosition returns a position that covers the acknowledged write at p in the
// current term. A position of an earlier term may be greater than the one at which
// the current term began, so it is replaced by the first known position of the
// current leader. ok is false if none is known yet.
func (t *Tracker) CoveringPosition(p position.Position) (position.Position, bool) {
	switch {
	case p.Term >= t.leader.Term:
		return p, true
	case t.firstPosition.IsZero():
		return position.Position{}, false
	default:
		return t.firstPosition, true
	}
}

// LastPosition returns the highest position seen on the leader in its term; zero if
// none has been seen.
func (t *Tracker) LastPosition() position.Position { return t.lastPosition }
