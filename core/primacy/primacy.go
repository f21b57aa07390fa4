// Package primacy tracks which member of a database group is the primary, by
// read leases on a shared record and by quorums of the members, and which log
// positions reads with a staleness bound may rely on. It is a pure state machine:
// times are passed in, and nothing here waits, sends or reads a clock.
//
// All instances share one Record per service in the platform's store. A change
// of primary begins with a claim in that record and ends with a new primary. Two
// rules connect them:
//
//   - An instance that read the record without a claim holds a lease on the
//     primary: it may use the primary for all requests that arrive within ReadLease
//     of sending that read.
//   - The holder of a claim publishes the new primary no earlier than ReadLease
//     after its claim was stored, and no instance writes to the new primary
//     before that.
//
// So no write is acknowledged by a new primary while an instance still reads
// from the old one.
//
// A third rule covers the commits that the old primary acknowledges while it serves on
// and its successor is being promoted. The holder names the successor in its claim and
// calls for the promotion no earlier than ReadLease after that. So when a promotion may
// take effect, each instance either has read the claim or holds no lease on the primary any
// more. Either passes on an acknowledgement only with proof that the next primary has the
// commit (takeover.Contains).
//
// Both rules rest on the store keeping the record. After a restore of the store from an
// older copy (a new era, see storeversion), claims and primaries may be missing from it.
// A record is therefore evidence only in the era in which its primary was proven. In a
// new era, the members prove the primary until an instance has confirmed the record;
// nobody claims or confirms it before every promotion under a claim of an earlier era has
// taken effect or failed.
package primacy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/storeversion"
)

// Class groups the errors of this package.
var Class = errs.Class("primacy")

const (
	// ReadLease is how long one read of the record proves the primary. It is no
	// longer than a promotion takes (1 s in the site files), so that waiting
	// for it does not lengthen a failover.
	ReadLease = time.Second
	// LeaseMargin covers the difference in rate between two monotonic clocks over
	// a lease and the rounding of the store's time to milliseconds.
	LeaseMargin = 20 * time.Millisecond
	// watermarkSpacing is the least time between two stored watermarks. A read with a
	// staleness bound may therefore be required to see data that is younger than its
	// bound, by up to this time.
	watermarkSpacing = 20 * time.Millisecond
	// maxWatermarks limits the memory of a tracker: if the time that watermarks reach
	// back is longer than maxWatermarks times watermarkSpacing, they are further apart.
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
	// against OldPrimary was stored. A renewal keeps this time: leases on the old
	// primary end ReadLease after it, or after PromoteAfter.
	FirstClaimedAt time.Duration `json:"since"`
	// RenewedAt is a store time no later than the moment at which the latest renewal
	// of the claim was stored; the claim expires a fixed time after it.
	RenewedAt time.Duration `json:"renewed"`
	// OldPrimary is the primary that the holder replaces.
	OldPrimary Primary `json:"old"`
	// Candidate is the member that the holder is going to promote while OldPrimary
	// serves; empty if it has announced none.
	Candidate string `json:"candidate,omitempty"`
	// PromoteAfter is the store time before which the holder does not promote Candidate
	// while OldPrimary serves. It never decreases under claims against one primary.
	PromoteAfter time.Duration `json:"promote_after,omitempty"`
	// Called is the member that a holder has called for, or is about to: until the call is
	// settled, it may be promoted, and no other member is. Empty if there is none.
	Called string `json:"called,omitempty"`
	// CalledAt is a store time no later than the moment at which the claim with the last
	// call for Called was stored.
	CalledAt time.Duration `json:"called_at,omitempty"`
	// ResumedAt is a store time no later than the moment at which the claim was stored under
	// which a holder last let members receive again. Unless all of them have answered, one
	// may do so later, after it has been paused once more. 0 if there is none.
	ResumedAt time.Duration `json:"resumed_at,omitempty"`
}

// Successor returns the member that must have a commit before its acknowledgement may rest
// on the claim; empty if the claim names none.
func (c Claim) Successor() string { return cmp.Or(c.Called, c.Candidate) }

// LeasesEnd returns the store time at which the leases on the old primary end that reads
// of this claim grant. Until PromoteAfter the old primary cannot have been replaced.
func (c Claim) LeasesEnd() time.Duration { return max(c.FirstClaimedAt, c.PromoteAfter) + ReadLease }

// Record is what the instances share about one service.
type Record struct {
	Service string `json:"service"`
	// Primary is the primary after the last completed change; zero before the first
	// change.
	Primary Primary `json:"lead"`
	// PromotedAt is the last position of Primary's log when it was promoted; zero if it is
	// not known.
	PromotedAt position.Position `json:"promoted_at,omitzero"`
	Claim      *Claim            `json:"claim,omitempty"`
	// MayLead is a member that a call without an answer may promote once more, until the
	// store time MayLeadUntil, although it has led since or another member leads.
	MayLead      string        `json:"may_lead,omitempty"`
	MayLeadUntil time.Duration `json:"may_lead_until,omitempty"`
	// AlsoMayLead are those of earlier changes, which an instance of an earlier release drops. The
	// slice is never modified.
	AlsoMayLead []LateCall `json:"also_may_lead,omitempty"`
	// Members are the members that acknowledgements may rest on, in the order of their IDs.
	// Whoever claims the group asks all of them for their logs. Empty if they are not known,
	// as in a record of an earlier release. The slice is never modified.
	Members []NamedMember `json:"members,omitempty"`
	// Era is the era of the store in which Primary was last proven to be the primary: by
	// a completed change or by the members. A claim keeps it.
	Era uint64 `json:"era,omitempty"`
	// Version is assigned by the store and increases with each write. It serves as
	// the fencing token of the claim. Its counter is 0 if there is no record yet.
	Version storeversion.Version `json:"version,omitempty"`
}

// Unreadable returns the record to use in place of a stored one of this version that
// cannot be read. Like one of another era, it is no evidence of the primary, and an instance
// writes it again once the members have confirmed the primary.
func Unreadable(v storeversion.Version) Record { return Record{Era: noEra, Version: v} }

const (
	// noEra is the era of a record that was proven in none.
	noEra = math.MaxUint64
	// maxTerm is the greatest integer up to which a number of any JSON encoder is exact.
	maxTerm = 1 << 53
	// maxMayLead bounds the time until MayLeadUntil.
	maxMayLead = time.Minute
	// maxClockError bounds the difference between the times of a claim, which are estimates
	// of the store's time, and the range from the start of the store to its present time.
	maxClockError = 10 * time.Second
)

// Check returns an error if no instance can have written the record by the store's time
// now. A claim from the future would never expire.
func (r Record) Check(now time.Duration) error {
	if r.Primary.Term > maxTerm {
		return Class.New("primary of term %d", r.Primary.Term)
	}
	if r.PromotedAt.Term > maxTerm || r.PromotedAt.Offset > maxTerm {
		return Class.New("primary promoted at %s", r.PromotedAt)
	}
	for _, c := range r.lateCalls() {
		if c.Until > now+maxMayLead+maxClockError {
			return Class.New("a member may lead until %s at %s", c.Until, now)
		}
	}
	if err := checkMembers(r.Members); err != nil {
		return err
	}
	c := r.Claim
	if c == nil {
		return nil
	}
	if c.OldPrimary.Term > maxTerm {
		return Class.New("claim against a primary of term %d", c.OldPrimary.Term)
	}
	for _, at := range []time.Duration{c.FirstClaimedAt, c.RenewedAt, c.PromoteAfter, c.CalledAt, c.ResumedAt} {
		if at < -maxClockError || at > now+maxClockError {
			return Class.New("claim of %s at %s", at, now)
		}
	}
	return nil
}

// LateCall is a call for a promotion that got no answer: it may promote Member until the store time
// Until, whoever leads then.
type LateCall struct {
	Member string        `json:"member"`
	Until  time.Duration `json:"until"`
}

func (r Record) lateCalls() []LateCall {
	if r.MayLead == "" {
		return r.AlsoMayLead
	}
	return append([]LateCall{{r.MayLead, r.MayLeadUntil}}, r.AlsoMayLead...)
}

// MayLeadAt returns the members that calls without an answer may promote at the store time now.
func (r Record) MayLeadAt(now time.Duration) (members []string) {
	for _, c := range r.lateCalls() {
		if now < c.Until {
			members = append(members, c.Member)
		}
	}
	return members
}

// WithLateCall returns the record with another call without an answer. Those that have ended by the
// store time now are left out.
func (r Record) WithLateCall(call LateCall, now time.Duration) Record {
	var others []LateCall
	for _, c := range r.lateCalls() {
		switch {
		case c.Member == call.Member:
			call.Until = max(call.Until, c.Until)
		case now < c.Until:
			others = append(others, c)
		}
	}
	r.MayLead, r.MayLeadUntil, r.AlsoMayLead = call.Member, call.Until, others
	return r
}

// WithPrimary returns the record of a primary without a claim, proven in the present era of
// the store.
func (r Record) WithPrimary(p Primary) Record {
	if p != r.Primary {
		r.Primary, r.PromotedAt = p, position.Position{}
	}
	r.Claim, r.Era = nil, r.Version.Era()
	return r
}

// Lacks reports whether the log with which Primary was promoted is known to lack the commit
// of an earlier term at p.
func (r Record) Lacks(p position.Position) bool {
	return !r.PromotedAt.IsZero() && p.Term < r.Primary.Term && !r.PromotedAt.AtLeast(p)
}

// RequiredLog returns the position that a log must have reached to replace the primary old, if
// an instance has passed on the acknowledgement of the commit at acked: a commit there is known
// or was presumed to be acknowledged. The commits of earlier terms that old lacked when it was
// promoted are lost already, so that no log has to have them.
func (r Record) RequiredLog(old Primary, acked position.Position) position.Position {
	if acked.Term > old.Term {
		acked = position.Position{}
	}
	if acked.Term < old.Term && r.Primary == old && !r.PromotedAt.IsZero() {
		return r.PromotedAt
	}
	return acked
}

// Confirmed reports whether Primary was proven in the store's present era. A missing
// record is confirmed only if the store was never restored.
func (r Record) Confirmed() bool { return r.Era == r.Version.Era() }

// Watermark states that the primary's log had reached Position at the local time At, so
// that Position covers every write acknowledged before At.
type Watermark struct {
	Position position.Position
	At       time.Duration
}

// Tracker holds one instance's knowledge of one service.
//
// Invariants: primary.Term never decreases; provenUntil never decreases while the
// primary stays the same; watermarks are in ascending order of At and all from the
// primary. The position of a primary that has committed nothing yet is of an earlier
// term.
type Tracker struct {
	primary         Primary
	record          Record
	provenUntil     time.Duration        // local time until which the primary is proven
	provenBy        storeversion.Version // record whose lease ends at provenUntil
	provenByMembers bool                 // a quorum has proven the primary until provenUntil, later than any lease
	watermarks      []Watermark
	watermarkWindow time.Duration     // how far watermarks reach back; 0: defaultWatermarkWindow
	readPosition    Watermark         // latest position that covers all acknowledged writes whichever member is the primary
	restartSeenAt   time.Duration     // last call of ObserveRestart; readPosition is not older
	firstPosition   position.Position // first known position of the primary
	lastPosition    position.Position // highest known position of the primary
	observed        bool              // a position of the primary was observed
}

// Primary returns the current primary; Member is empty if none is known.
func (t *Tracker) Primary() Primary { return t.primary }

// Record returns the newest record seen.
func (t *Tracker) Record() Record { return t.record }

// Proven reports whether the primary is known to have been the only primary until
// the local time at.
func (t *Tracker) Proven(at time.Duration) bool { return t.primary.Member != "" && at <= t.provenUntil }

// ProvenForRead reports whether a read that arrived at the local time arrival and must see the writes
// acknowledged before since may run on the primary, at LastPosition or later. Its process may have started
// again without its log. Until another member leads it receives no other one, and any position shows
// its log. Once the proof has ended, it may follow another primary: it has these writes if LastPosition
// covers them. A promotion that takes less than ReadLease may take effect while the proof lasts, and
// LastPosition does not show these writes then.
func (t *Tracker) ProvenForRead(since, arrival time.Duration) bool {
	_, covered := t.OldestWatermark(since)
	known := t.observed || t.record.Primary == t.primary && !t.record.PromotedAt.IsZero()
	return t.Proven(arrival) && known || t.Proven(since) && covered
}

// ProvenUntil returns the latest local arrival time of a request for which the
// primary is proven.
func (t *Tracker) ProvenUntil() time.Duration { return t.provenUntil }

// ProvenByRecord returns the version of the record whose lease ends at ProvenUntil. It is
// false if a quorum of the members has proven the primary later than any lease.
func (t *Tracker) ProvenByRecord() (storeversion.Version, bool) {
	return t.provenBy, !t.provenByMembers
}

// ReplacementClaimed reports whether an instance, this one or another, has a claim to
// replace the primary.
func (t *Tracker) ReplacementClaimed() bool {
	return t.record.Claim != nil && t.record.Claim.OldPrimary.Term >= t.primary.Term
}

// ClaimAgainst returns the claim under which the member that committed at p as the
// primary may be replaced; nil if there is none.
func (t *Tracker) ClaimAgainst(member string, p position.Position) *Claim {
	c := t.record.Claim
	if c == nil || c.OldPrimary.Member != member || c.OldPrimary.Term < p.Term {
		return nil
	}
	return c
}

// Establishes reports whether the member is known to lead the term of its commit at p. Only then
// have all leases on other primaries ended, so that the commit may be acknowledged: a call for a
// promotion that takes effect late makes a member the primary of a term that no record names.
func (t *Tracker) Establishes(member string, p position.Position) bool {
	return t.primary == Primary{Member: member, Term: p.Term}
}

// Replaced reports whether another member is known to be the primary of a later term
// than that of the commit at p on a member.
func (t *Tracker) Replaced(member string, p position.Position) bool {
	return t.primary.Member != member && t.primary.Term > p.Term
}

// Leaders returns the members that may lead at the store time now, or next: the primary, that of
// the record, those that the claim names, and those that calls without an answer may promote.
func (t *Tracker) Leaders(now time.Duration) []string {
	all := append([]string{t.primary.Member, t.record.Primary.Member}, t.record.MayLeadAt(now)...)
	if c := t.record.Claim; c != nil {
		all = append(all, c.OldPrimary.Member, c.Candidate, c.Called)
	}
	return all
}

// Undisputed reports whether the newest record shows that the primary leads and that nobody was
// called for to replace it, so that no commit of a later term had been acknowledged when the record
// was read.
func (t *Tracker) Undisputed() bool {
	r := t.record
	if !r.Confirmed() || r.Primary.Member != "" && r.Primary != t.primary {
		return false
	}
	return r.Claim == nil || r.Claim.OldPrimary == t.primary && r.Claim.Called == ""
}

// RecordOutdated reports whether the record is no evidence of the primary and is to be
// written again: it is of an earlier era of the store, or it names a primary of an earlier
// term and no claim.
func (t *Tracker) RecordOutdated() bool {
	return !t.record.Confirmed() || t.record.Claim == nil && t.record.Primary.Term < t.primary.Term && t.record.Primary.Member != ""
}

// ObserveRecord handles the answer to a read of the record. sentAt is the local
// time before the read was sent, storeNow the store's time in the answer. It
// reports whether the primary changed. A record older than the newest one seen is
// ignored. A record of an earlier era grants no lease.
func (t *Tracker) ObserveRecord(r Record, storeNow, sentAt time.Duration) bool {
	if r.Version < t.record.Version {
		return false
	}
	t.record = r
	changed := r.Primary.Member != "" && t.adopt(r.Primary)
	if t.primary.Member == "" || !r.Confirmed() {
		return changed
	}
	until := sentAt + ReadLease
	if r.Claim != nil {
		until = sentAt + r.Claim.LeasesEnd() - storeNow
	}
	// A record of another primary is no evidence for the tracker's primary, which
	// was learned from the members while the store was unavailable.
	if r.Primary.Member == "" || r.Primary == t.primary {
		if until-LeaseMargin >= t.provenUntil {
			t.provenBy, t.provenByMembers = r.Version, false
		}
		t.provenUntil = max(t.provenUntil, until-LeaseMargin)
	}
	return changed
}

// ObserveRole handles a member's own report that it is the primary. It counts only
// before the first change of primary, when no record names a primary. It reports
// whether the primary changed.
func (t *Tracker) ObserveRole(primary Primary) bool {
	if t.record.Primary.Member != "" || t.primary.Member != "" {
		return false
	}
	return t.adopt(primary)
}

// ObserveQuorum handles answers of a quorum of members, all asked at the local
// time sentAt or later, that confirm a primary with its log position: it reported
// to be the primary of its term, and replicas of the same term were not paused for
// a promotion. Had another member been promoted, it would have answered with a
// later term or, if it did not answer, its promotion would have stopped the
// replicas from receiving entries of this primary.
func (t *Tracker) ObserveQuorum(primary Primary, log position.Position, sentAt time.Duration) {
	if primary != t.primary {
		return
	}
	t.provenByMembers = t.provenByMembers || sentAt > t.provenUntil
	t.provenUntil = max(t.provenUntil, sentAt)
	t.ObservePosition(primary.Member, log, sentAt)
}

// MayAdopt reports whether a member that the members report as the primary of a later term may
// be used at the store time now without a record that names it: it was called for under the
// claim that the tracker has read, and the leases that readings of this claim grant have ended.
// Beside any other record, instances may go on renewing leases on another primary. A record of
// an earlier era grants none.
func (t *Tracker) MayAdopt(member string, now time.Duration) bool {
	c := t.record.Claim
	return !t.record.Confirmed() || c != nil && c.Called == member && now >= c.LeasesEnd()
}

// AdoptPromoted sets a primary that was established by the members while the store
// does not answer, and reports whether the primary changed; see MayAdopt.
func (t *Tracker) AdoptPromoted(primary Primary) bool { return t.adopt(primary) }

func (t *Tracker) adopt(primary Primary) bool {
	if primary.Term < t.primary.Term || primary == t.primary {
		return false
	}
	t.primary = primary
	t.provenUntil, t.provenBy, t.provenByMembers = 0, 0, false
	t.watermarks = t.watermarks[:0]
	t.firstPosition, t.lastPosition, t.observed = position.Position{}, position.Position{}, false
	return true
}

// ObservePosition handles the log position that a member sent with an answer to a
// request that was sent at the local time sentAt. Only positions of the primary,
// sent while it was proven, become watermarks.
func (t *Tracker) ObservePosition(member string, p position.Position, sentAt time.Duration) {
	if member != t.primary.Member || p.Term > t.primary.Term || !t.Proven(sentAt) {
		return
	}
	if t.firstPosition.IsZero() {
		t.firstPosition = p
	}
	t.lastPosition, t.observed = position.Max(t.lastPosition, p), true
	window := cmp.Or(t.watermarkWindow, defaultWatermarkWindow)
	if n := len(t.watermarks); n > 0 && sentAt < t.watermarks[n-1].At+max(watermarkSpacing, window/maxWatermarks) {
		return
	}
	if i := slices.IndexFunc(t.watermarks, func(w Watermark) bool { return w.At >= sentAt-window }); i > 0 {
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
func (t *Tracker) OldestWatermark(since time.Duration) (w Watermark, ok bool) {
	for i := len(t.watermarks) - 1; i >= 0 && t.watermarks[i].At >= since; i-- {
		w, ok = t.watermarks[i], true
	}
	return w, ok
}

// ObserveReadPosition handles a position that covers every write acknowledged before
// the local time sentAt, whichever member is the primary: see takeover.ReadPosition.
func (t *Tracker) ObserveReadPosition(p position.Position, sentAt time.Duration) {
	if sentAt > t.readPosition.At && sentAt >= t.restartSeenAt {
		t.readPosition = Watermark{Position: p, At: sentAt}
	}
}

// ObserveRestart notes at the local time now that a member has started again without its log. The
// known read position may rest on the log of the new process. It reports whether there was one.
func (t *Tracker) ObserveRestart(now time.Duration) (dropped bool) {
	dropped = t.readPosition.At > 0
	t.readPosition, t.restartSeenAt = Watermark{}, now
	return dropped
}

// ReadPosition returns the latest position passed to ObserveReadPosition; ok is false
// if it does not cover the writes acknowledged before since.
func (t *Tracker) ReadPosition(since time.Duration) (w Watermark, ok bool) {
	return t.readPosition, t.readPosition.At > 0 && t.readPosition.At >= since
}

// CoveringPosition returns a position of the current primary that covers the
// acknowledged write at p. If p is of an earlier term, it may be greater than the
// position at which the current term began, so the result is the first known position
// of the current primary; the second result is false if none is known yet.
func (t *Tracker) CoveringPosition(p position.Position) (position.Position, bool) {
	switch {
	case p.Term >= t.primary.Term:
		return p, true
	case t.firstPosition.IsZero():
		return position.Position{}, false
	default:
		return t.firstPosition, true
	}
}

// LastPosition returns the highest position seen on the primary in its term; zero if
// none has been seen.
func (t *Tracker) LastPosition() position.Position { return t.lastPosition }
