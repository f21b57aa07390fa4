// Package confirm tracks which log positions of a primary a quorum has confirmed,
// and decides by that when a write, a strict (linearizable) read or a barrier may
// be answered. It is a pure state machine: times are passed in, and each event
// returns the actions to perform.
//
// # Rule
//
// A Tracker serves one primary in one term t. A member reports position p under
// t when its log equals the primary's log up to p and the member has not moved
// to a later term. A position is confirmed when a quorum (a majority of the
// group; the primary counts by its own report) has reported it or a later one
// under t.
//
//   - A write at p is acknowledged when p is confirmed.
//   - A strict read with snapshot p is answered when an entry after p is
//     confirmed. Such an entry was written after the snapshot was taken and
//     therefore after the read was submitted.
//   - A barrier is answered with the position of an entry that was requested
//     after the barrier call, once that entry is confirmed: the entry of a
//     WriteBarrier issued after the call, or a write passed to Started after it.
//     The order of calls of Committed is not evidence, because the response to an
//     earlier write may still be in transit when the barrier is called.
//
// # Proof sketch
//
// A primary of a later term u accepts work only after a quorum has moved to u or
// later, and it is the member with the greatest last position of that quorum.
// Two quorums share a member. If that member had reported p under t before it
// moved, the last position of the new primary is at least p, so its log holds
// p; by induction over the terms, every later primary has it. If it moved first,
// it never reports under t again and p stays unconfirmed.
//
// For reads and barriers, let e be the confirmed entry written after the
// submission of the request. Had a primary of a later term acknowledged anything
// before the submission, a quorum would have moved to the later term before e was
// written. A member of that quorum would then have reported e under t, which it
// cannot. So every write acknowledged before the submission was acknowledged in
// term t or earlier and is in the log of this primary. The entries that the read
// saw precede e and are in every log that has e.
//
// Evidence can arrive late: a Report that became true before a promotion may be
// processed after it. The acknowledgement is then late, but the write is in the
// log of every later primary. The rule uses no clock and cannot exclude this.
package confirm

import (
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
)

// barrierRetryDelay is the least delay before another WriteBarrier after one has
// failed, and the retry delay of reads and barriers that did not run. It prevents a
// tight loop on a primary that rejects barriers if Config.BarrierDelay is zero.
const barrierRetryDelay = 20 * time.Millisecond

// Config describes the group of a Tracker.
type Config struct {
	// Members is the size of the group; its majority is the quorum.
	Members int
	// Timeout is the time after which an unanswered request fails.
	Timeout time.Duration
	// BarrierDelay is the time that a read or barrier waits for an ordinary
	// write that can serve as evidence before a no-op entry is written.
	BarrierDelay time.Duration
}

// Action is an Acknowledge, a Fail or a WriteBarrier.
type Action interface{ action() }

// Acknowledge answers the request ID successfully. Position is the position of the
// write, the snapshot of the read, or a confirmed position for the barrier.
type Acknowledge struct {
	ID       uint64
	Position position.Position
}

// Fail answers the request ID with an error: OutcomeUnknown for a write, an error
// with verdict NotRun for a read or barrier.
type Fail struct {
	ID    uint64
	Error *verdict.Error
}

// WriteBarrier asks for a no-op log entry on the primary. At most one is
// outstanding. Each must be answered with exactly one call of BarrierWritten or
// BarrierFailed, also if the connection does not answer.
type WriteBarrier struct{}

func (Acknowledge) action()  {}
func (Fail) action()         {}
func (WriteBarrier) action() {}

type kind uint8

const (
	write kind = iota
	read
	barrier
)

type request struct {
	kind kind
	id   uint64
	// pos is the position of a write, the snapshot of a read, or the position of
	// the entry that serves a barrier (zero while there is none).
	pos position.Position
	// seq is the place of a barrier in the order of calls.
	seq          uint64
	barrierDueAt time.Duration
	deadline     time.Duration
}

type report struct {
	member string
	pos    position.Position
}

// Tracker collects the reports about one primary and the requests that wait for
// them. The zero value is not usable. It is not safe for concurrent use.
type Tracker struct {
	cfg       Config
	term      uint64
	confirmed position.Position
	// last is the latest entry known to be in the log of the primary.
	last    position.Position
	reports []report
	// pending is in order of submission and so in order of deadlines.
	pending []request
	// startedWrites maps the ID of a running write to its place in the order of
	// calls.
	startedWrites map[uint64]uint64
	// seq is the latest place in the order of calls.
	seq uint64
	// barrierSeq is the place of the outstanding WriteBarrier in the order of
	// calls; 0 if there is none.
	barrierSeq uint64
	retryAt    time.Duration
}

// New returns a Tracker for a primary of the given term.
func New(cfg Config, term uint64) *Tracker {
	return &Tracker{cfg: cfg, term: term, startedWrites: map[uint64]uint64{}}
}

// Term returns the term of the primary whose reports are collected.
func (t *Tracker) Term() uint64 { return t.term }

// Confirmed returns the latest confirmed position. It never decreases.
func (t *Tracker) Confirmed() position.Position { return t.confirmed }

// Pending returns the number of requests that wait for a confirmation.
func (t *Tracker) Pending() int { return len(t.pending) }

// Started reports that a write is about to be sent to the primary. The call is
// optional; it allows the write's entry to serve barriers that were called before.
func (t *Tracker) Started(id uint64) {
	t.seq++
	t.startedWrites[id] = t.seq
}

// Abandoned removes a started write that ended without a commit.
func (t *Tracker) Abandoned(id uint64) { delete(t.startedWrites, id) }

// Committed reports that a write has committed at p on the primary. A position of
// a later term proves that the primary has been promoted again and moves the
// Tracker to that term.
func (t *Tracker) Committed(id uint64, p position.Position, now time.Duration) []Action {
	startSeq := t.startedWrites[id]
	delete(t.startedWrites, id)
	if p.Term < t.term {
		return []Action{Fail{id, outcomeUnknown(p, "term %d has been replaced by term %d", p.Term, t.term)}}
	}
	actions := t.NewTerm(p.Term, now)
	t.addEntry(p, startSeq)
	t.pending = append(t.pending, request{kind: write, id: id, pos: p, deadline: now + t.cfg.Timeout})
	return t.answerProven(actions, now)
}

// Read reports that a strict read has executed on the primary at snapshot p. A
// snapshot of another term cannot be confirmed by this Tracker, and the read fails
// as not run.
func (t *Tracker) Read(id uint64, p position.Position, now time.Duration) []Action {
	if p.Term != t.term {
		return []Action{Fail{id, notRun("the read ran in term %d, the primary is confirmed in term %d", p.Term, t.term)}}
	}
	t.pending = append(t.pending, request{kind: read, id: id, pos: p,
		barrierDueAt: now + t.cfg.BarrierDelay, deadline: now + t.cfg.Timeout})
	return t.answerProven(nil, now)
}

// Barrier requests the confirmed position of an entry written after this call.
func (t *Tracker) Barrier(id uint64, now time.Duration) []Action {
	t.seq++
	t.pending = append(t.pending, request{kind: barrier, id: id, seq: t.seq,
		barrierDueAt: now + t.cfg.BarrierDelay, deadline: now + t.cfg.Timeout})
	return t.answerProven(nil, now)
}

// BarrierWritten answers the outstanding WriteBarrier with the position of its
// entry. An entry of an earlier term counts as a failure: a replaced primary that
// is cut off can write any number of them.
func (t *Tracker) BarrierWritten(p position.Position, now time.Duration) []Action {
	if p.Term < t.term {
		return t.BarrierFailed(now)
	}
	requestSeq := t.barrierSeq
	t.barrierSeq = 0
	actions := t.NewTerm(p.Term, now)
	t.addEntry(p, requestSeq)
	return t.answerProven(actions, now)
}

// BarrierFailed answers the outstanding WriteBarrier with a failure. Another one
// is issued after a delay if requests still need it.
func (t *Tracker) BarrierFailed(now time.Duration) []Action {
	t.barrierSeq = 0
	t.retryAt = now + max(t.cfg.BarrierDelay, barrierRetryDelay)
	return t.answerProven(nil, now)
}

// Report reports that member has confirmed p under p.Term. Reports of earlier
// terms are ignored; one of a later term moves the Tracker to that term. Only
// reports about this primary may be passed: those in its replication status, or
// the last position of a member that follows it, if that position is of the
// member's term. Members in excess of Config.Members are ignored.
func (t *Tracker) Report(member string, p position.Position, now time.Duration) []Action {
	if p.Term < t.term {
		return nil
	}
	actions := t.NewTerm(p.Term, now)
	t.last = position.Max(t.last, p)
	if !t.addReport(member, p) || !t.advanceConfirmed() {
		return actions
	}
	return t.answerProven(actions, now)
}

// NewTerm moves the Tracker to a later term. Pending writes fail with
// OutcomeUnknown, and pending reads and barriers fail as not run. A term that is
// not later changes nothing.
func (t *Tracker) NewTerm(term uint64, now time.Duration) []Action {
	if term <= t.term {
		return nil
	}
	var actions []Action
	for _, r := range t.pending {
		actions = append(actions, failureFor(r, "term %d has been replaced by term %d", t.term, term))
	}
	t.term = term
	t.pending = t.pending[:0]
	t.reports = t.reports[:0]
	t.last = position.Position{}
	t.retryAt = 0
	return actions
}

// Expire fails requests that have waited for Config.Timeout and issues a
// WriteBarrier that is due.
func (t *Tracker) Expire(now time.Duration) []Action {
	var actions []Action
	n := 0
	for n < len(t.pending) && t.pending[n].deadline <= now {
		actions = append(actions, failureFor(t.pending[n], "no quorum confirmed term %d within %s", t.term, t.cfg.Timeout))
		n++
	}
	t.pending = append(t.pending[:0], t.pending[n:]...)
	return t.answerProven(actions, now)
}

// NextExpiry returns the time at which Expire is due, and false if no request is
// pending.
func (t *Tracker) NextExpiry() (time.Duration, bool) {
	if len(t.pending) == 0 {
		return 0, false
	}
	next := t.pending[0].deadline
	if due, ok := t.barrierDue(); ok {
		next = min(next, due)
	}
	return next, true
}

// addEntry adds an entry at p that was requested at place seq in the order of
// calls (0 if unknown) and assigns it to the barriers called before.
func (t *Tracker) addEntry(p position.Position, seq uint64) {
	t.last = position.Max(t.last, p)
	for i := range t.pending {
		r := &t.pending[i]
		if r.kind == barrier && r.pos.IsZero() && r.seq < seq {
			r.pos = p
		}
	}
}

func (t *Tracker) addReport(member string, p position.Position) bool {
	for i := range t.reports {
		if t.reports[i].member == member {
			t.reports[i].pos = position.Max(t.reports[i].pos, p)
			return true
		}
	}
	if len(t.reports) >= t.cfg.Members {
		return false
	}
	t.reports = append(t.reports, report{member, p})
	return true
}

// advanceConfirmed recomputes the confirmed position and reports whether it
// increased.
func (t *Tracker) advanceConfirmed() bool {
	quorum := t.cfg.Members/2 + 1
	advanced := false
	for _, candidate := range t.reports {
		n := 0
		for _, r := range t.reports {
			if r.pos.AtLeast(candidate.pos) {
				n++
			}
		}
		if n >= quorum && candidate.pos.Compare(t.confirmed) > 0 {
			t.confirmed = candidate.pos
			advanced = true
		}
	}
	return advanced
}

// answerProven answers the requests that the confirmed position proves and issues
// a WriteBarrier if one is due.
func (t *Tracker) answerProven(actions []Action, now time.Duration) []Action {
	unanswered := t.pending[:0]
	for _, r := range t.pending {
		if t.proven(r) {
			actions = append(actions, Acknowledge{r.id, r.pos})
			continue
		}
		unanswered = append(unanswered, r)
	}
	t.pending = unanswered
	if due, ok := t.barrierDue(); ok && due <= now {
		t.seq++
		t.barrierSeq = t.seq
		actions = append(actions, WriteBarrier{})
	}
	return actions
}

func (t *Tracker) proven(r request) bool {
	switch r.kind {
	case write:
		return t.confirmed.AtLeast(r.pos)
	case read:
		return t.confirmed.Compare(r.pos) > 0
	default:
		return !r.pos.IsZero() && t.confirmed.AtLeast(r.pos)
	}
}

// barrierDue returns when the next WriteBarrier is to be issued; false if one is
// outstanding or none is needed.
func (t *Tracker) barrierDue() (time.Duration, bool) {
	if t.barrierSeq != 0 {
		return 0, false
	}
	for _, r := range t.pending {
		if t.needsEntry(r) {
			return max(r.barrierDueAt, t.retryAt), true
		}
	}
	return 0, false
}

// needsEntry reports whether no entry is known that proves r once it is confirmed.
func (t *Tracker) needsEntry(r request) bool {
	switch r.kind {
	case read:
		return t.last.Compare(r.pos) <= 0
	case barrier:
		return r.pos.IsZero()
	default:
		return false
	}
}

func failureFor(r request, format string, args ...any) Fail {
	if r.kind == write {
		return Fail{r.id, outcomeUnknown(r.pos, format, args...)}
	}
	return Fail{r.id, notRun(format, args...)}
}

func outcomeUnknown(p position.Position, format string, args ...any) *verdict.Error {
	e := verdict.New(verdict.OutcomeUnknown, format, args...)
	e.Message = "write at " + p.String() + " is not confirmed: " + e.Message
	return e
}

func notRun(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NoPrimary, format, args...).WithRetryAfter(barrierRetryDelay)
}
