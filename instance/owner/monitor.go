package owner

import (
	"context"
	"time"

	"github.com/papayarail/papayarail/core/confirm"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/group"
	"github.com/papayarail/papayarail/wire/upstream"
)

const (
	monitorInterval = 250 * time.Millisecond
	monitorTimeout  = 500 * time.Millisecond
	monitorBackoff  = 100 * time.Millisecond
	// unreachableAfter is the age of the last status from which an upstream counts
	// as unreachable. It allows for one status that times out and a reconnection.
	unreachableAfter   = 1500 * time.Millisecond
	appliedWaitTimeout = 200 * time.Millisecond
	// barrierDelay is the time for which reads are collected before one barrier, a
	// no-op entry in the primary's log, is written for all of them.
	barrierDelay = 500 * time.Microsecond
	// ageSampleInterval is the time between age samples, and so the staleness of
	// the proven age, while reads with a maximum age arrive. A sample is a
	// barrier that proves the age of the replica's data once the replica has applied
	// it.
	ageSampleInterval = 200 * time.Millisecond
	// idleAgeSampleInterval is the time between age samples while no such reads
	// arrive. It keeps an age proven, so that a failure domain that is cut off from
	// the primary can serve reads with a maximum age from then on.
	idleAgeSampleInterval = time.Second
	// ageDemandWindow is the time after a read with a maximum age during which
	// samples are taken at ageSampleInterval.
	ageDemandWindow = 5 * time.Second
)

// monitor keeps one control connection to the upstream, reads the replication
// status from it, and reports log positions to the confirmation tracker.
func (u *Upstream) monitor() {
	for u.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(u.ctx, connectTimeout)
		c, err := upstream.Dial(ctx, u.dialConfig("monitor"))
		cancel()
		if err != nil {
			u.markUnhealthy(err)
			sleep(u.ctx, monitorBackoff)
			continue
		}
		u.markUnhealthy(u.watch(c))
		c.Close()
	}
}

func (u *Upstream) markUnhealthy(err error) {
	if err == nil || u.ctx.Err() != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.healthy {
		u.cfg.Log.WithError(err).WithField("upstream", u.cfg.Name).Warn("monitor connection lost")
	}
	u.healthy = false
}

// watch polls the upstream on c until the connection fails or u.ctx ends. It makes no
// pause between polls while a request waits for a barrier, a confirmation or a position.
func (u *Upstream) watch(c *upstream.Conn) error {
	for {
		if err := u.poll(c); err != nil {
			return err
		}
		if u.workPending() {
			continue
		}
		select {
		case <-u.ctx.Done():
			return nil
		case <-u.wakeMonitor:
		case <-time.After(monitorInterval):
		}
	}
}

// poll writes a barrier and terminates the sessions of dead instances if either is
// requested, then reads the status. If requests wait for a position, the upstream
// delays its status up to appliedWaitTimeout until it has reached that position.
func (u *Upstream) poll(c *upstream.Conn) error {
	ctx, cancel := context.WithTimeout(u.ctx, monitorTimeout+appliedWaitTimeout)
	defer cancel()
	if u.takeBarrier() {
		if err := u.writeBarrier(ctx, c); err != nil {
			return err
		}
	}
	if u.takeReclaim() {
		if err := u.reclaim(ctx, c); err != nil {
			return err
		}
	}
	target, waiting := u.target()
	client := group.New(c)
	var status group.Status
	var err error
	if waiting {
		status, err = client.Wait(ctx, target, appliedWaitTimeout)
	} else {
		status, err = client.Status(ctx)
	}
	if err != nil {
		return err
	}
	u.observe(status)
	return nil
}

// takeBarrier reports whether a barrier is to be written now, and clears the
// request for it.
func (u *Upstream) takeBarrier() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refusesWrites() {
		return false // a barrier adds a log entry that the new primary would have to catch up with
	}
	wanted := u.barrierWanted
	u.barrierWanted = false
	if !wanted || u.status.Role == group.Primary {
		return wanted
	}
	// The tracker waits for the result of each WriteBarrier. Without it, the tracker
	// would request no barrier when this member becomes the primary again.
	u.performTracker(u.tracker.BarrierFailed(u.now()))
	return false
}

// takeReclaim reports whether the sessions of dead instances are to be terminated now,
// and clears the request for it.
func (u *Upstream) takeReclaim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wanted := u.reclaimWanted
	u.reclaimWanted = false
	return wanted
}

func (u *Upstream) writeBarrier(ctx context.Context, c *upstream.Conn) error {
	p, err := group.New(c).Barrier(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	if err != nil {
		u.performTracker(u.tracker.BarrierFailed(now))
		return err
	}
	u.advanceTerm(p.Term, now)
	u.unconfirmed = position.Max(u.unconfirmed, p)
	u.performTracker(u.tracker.BarrierWritten(p, now))
	return nil
}

// target returns the position that the next status should wait for, if any: on a
// primary the highest unconfirmed one, on a replica the lowest that a read needs.
func (u *Upstream) target() (position.Position, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.status.Role == group.Primary {
		waiting := u.tracker != nil && !u.tracker.Confirmed().AtLeast(u.unconfirmed)
		return u.unconfirmed, waiting && !u.unconfirmed.IsZero()
	}
	var lowest position.Position
	for _, w := range u.applied {
		if lowest.IsZero() || lowest.AtLeast(w.min) {
			lowest = w.min
		}
	}
	return lowest, !lowest.IsZero()
}

func (u *Upstream) workPending() bool {
	if u.ctx.Err() != nil {
		return false
	}
	u.mu.Lock()
	barrier := u.barrierWanted && u.status.Role == group.Primary && !u.refusesWrites()
	u.mu.Unlock()
	_, waiting := u.target()
	return barrier || waiting
}

// observe records a status of the upstream and passes it to the confirmation tracker,
// the age tracker and the waiting reads.
func (u *Upstream) observe(s group.Status) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.status, u.statusAt, u.healthy = s, now, true
	if s.Role == group.Primary {
		u.advanceTerm(s.Term, now)
		u.reportConfirmed(s, now)
		return
	}
	// A member that has adopted a term without a primary may be promoted in it.
	if s.PrimaryMember == "" || s.PrimaryMember == s.Member {
		u.advanceTerm(s.Term, now)
	} else {
		u.notPrimaryIn(s.Term, now)
	}
	u.wakeAppliedWaiters(s.LastPosition)
}

// notPrimaryIn records that this member is not the primary of the term. What waits
// for confirmation here could only be confirmed in a later term, so it ends with
// an error. u.mu must be held.
func (u *Upstream) notPrimaryIn(term uint64, now time.Duration) { u.advanceTerm(term+1, now) }

// LearnTerm records a term whose primary has been announced. The owner of a dead
// primary learns of the failover in no other way.
func (u *Upstream) LearnTerm(term uint64, primary string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if primary == u.cfg.Name {
		u.advanceTerm(term, u.now())
		return
	}
	if u.tracker == nil || term >= u.tracker.Term() {
		u.cancelPrimaryWork()
	}
	u.notPrimaryIn(term, u.now())
}

// advanceTerm moves the confirmation tracker to a newer term and fails the requests
// that wait for a confirmation in the older one. u.mu must be held.
func (u *Upstream) advanceTerm(term uint64, now time.Duration) {
	if u.tracker == nil {
		u.tracker = confirm.New(confirm.Config{
			Members:      u.cfg.GroupSize,
			Timeout:      confirmTimeout,
			BarrierDelay: barrierDelay,
		}, term)
		return
	}
	if term > u.tracker.Term() {
		u.unconfirmed = position.Position{}
		u.quiescedUntil = 0
		u.stall.Confirmed(now)
		u.performTracker(u.tracker.NewTerm(term, now))
	}
}

// reportConfirmed tells the tracker the log positions of all members that the
// primary's status contains. u.mu must be held.
func (u *Upstream) reportConfirmed(s group.Status, now time.Duration) {
	if s.LastPosition.Term == s.Term {
		u.performTracker(u.tracker.Report(s.Member, s.LastPosition, now))
	}
	for member, offset := range s.ConfirmedOffsets {
		p := position.Position{Term: s.Term, Offset: offset}
		u.performTracker(u.tracker.Report(member, p, now))
	}
}

// wakeAppliedWaiters records the applied position and wakes the reads that waited
// for it. u.mu must be held.
func (u *Upstream) wakeAppliedWaiters(p position.Position) {
	u.age.SetApplied(p)
	for id, w := range u.applied {
		if p.AtLeast(w.min) {
			close(w.done)
			delete(u.applied, id)
		}
	}
}

// waitApplied returns once the last status shows the replica at or past min. The
// error is ReplicaBehind if ctx ends first.
func (u *Upstream) waitApplied(ctx context.Context, min position.Position) error {
	u.mu.Lock()
	if u.status.LastPosition.AtLeast(min) {
		u.mu.Unlock()
		return nil
	}
	id := u.newID()
	w := appliedWaiter{min: min, done: make(chan struct{})}
	u.applied[id] = w
	u.mu.Unlock()
	u.notifyMonitor()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.applied, id)
	return verdict.New(verdict.ReplicaBehind, "upstream %q has not reached %s", u.cfg.Name, min).WithRetryAfter(monitorBackoff)
}

// trackStarted registers an exchange that is about to be sent with the tracker and
// returns its ID there.
func (u *Upstream) trackStarted() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := u.newID()
	if u.tracker != nil {
		u.tracker.Started(id)
	}
	return id
}

// trackAbandoned removes an exchange that committed nothing from the tracker.
func (u *Upstream) trackAbandoned(id uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tracker != nil {
		u.tracker.Abandoned(id)
	}
}

// confirm waits until a quorum has confirmed the commit of a write at p or, for a
// read, that the upstream was still the primary. It returns the confirmed position.
func (u *Upstream) confirm(ctx context.Context, id uint64, write bool, p position.Position) (position.Position, error) {
	u.mu.Lock()
	now := u.now()
	ch := u.confirmed.add(id)
	u.advanceTerm(p.Term, now)
	// A statement that changed nothing reports an earlier position. If that position
	// is already confirmed, only a new confirmation shows that this member is still
	// the primary.
	if write && !u.tracker.Confirmed().AtLeast(p) {
		u.unconfirmed = position.Max(u.unconfirmed, p)
		u.performTracker(u.tracker.Committed(id, p, now))
	} else {
		u.tracker.Abandoned(id)
		u.performTracker(u.tracker.Read(id, p, now))
	}
	u.mu.Unlock()
	u.notifyMonitor()
	return u.awaitConfirmation(ctx, id, ch, write)
}

func (u *Upstream) awaitConfirmation(ctx context.Context, id uint64, ch <-chan confirmation, write bool) (position.Position, error) {
	select {
	case c := <-ch:
		// A write that waits for the primary to be confirmed, as a read does, has committed.
		if write && c.err != nil && verdict.FromError(c.err).Verdict == verdict.NotRun {
			return c.position, verdict.New(verdict.OutcomeUnknown, "the write on %q is not confirmed: %v", u.cfg.Name, c.err)
		}
		return c.position, c.err
	case <-ctx.Done():
	}
	u.mu.Lock()
	delete(u.confirmed, id)
	u.mu.Unlock()
	if write {
		return position.Position{}, verdict.New(verdict.OutcomeUnknown, "no quorum confirmed the write on %q in time", u.cfg.Name)
	}
	return position.Position{}, markExecuted(verdict.New(verdict.DeadlineUnreachable, "the request ended before a quorum confirmed that %q is still the primary", u.cfg.Name))
}

// Barrier returns a position of the primary that was confirmed after the call. The
// error is NoPrimary if the upstream is not the primary or is being retired.
func (u *Upstream) Barrier(ctx context.Context) (position.Position, error) {
	u.mu.Lock()
	if u.status.Role != group.Primary || u.tracker == nil || u.retiring {
		u.mu.Unlock()
		return position.Position{}, verdict.New(verdict.NoPrimary, "upstream %q is not the primary", u.cfg.Name).WithRetryAfter(monitorBackoff)
	}
	id := u.newID()
	ch := u.confirmed.add(id)
	u.performTracker(u.tracker.Barrier(id, u.now()))
	u.mu.Unlock()
	u.notifyMonitor()
	return u.awaitConfirmation(ctx, id, ch, false)
}

// sampleAge renews the proof of a replica's age when a sample is due.
func (u *Upstream) sampleAge() {
	if u.takeAgeSampleDue() {
		u.takeAgeSample()
	}
}

// takeAgeSampleDue reports whether an age sample is due now, and if so records
// its time.
func (u *Upstream) takeAgeSampleDue() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	requested := u.lastAgeRequest > 0 && now-u.lastAgeRequest < ageDemandWindow
	due := requested || now-u.lastAgeSample >= idleAgeSampleInterval
	replica := u.healthy && u.status.Role == group.Replica
	if !due || !replica {
		return false
	}
	u.lastAgeSample = now
	return true
}

// takeAgeSample requests a barrier from the primary and records it as a proof of the
// age of the replica's data.
func (u *Upstream) takeAgeSample() {
	ctx, cancel := context.WithTimeout(u.ctx, monitorTimeout)
	defer cancel()
	requestedAt := u.now()
	p, err := u.barrierBatcher.get(ctx, u.cfg.Service)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.age.AddBarrier(requestedAt, p)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
