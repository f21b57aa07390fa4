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
	// lifeSign is the age of the last status from which an upstream counts as
	// unreachable. It covers a status that times out and a fresh connection.
	lifeSign  = 1500 * time.Millisecond
	waitLimit = 200 * time.Millisecond
	// barrierDelay collects the reads that arrive close together behind one barrier.
	barrierDelay = 500 * time.Microsecond
	// ageSampleInterval bounds how stale the proof of age is; it runs only while
	// reads with a stated age arrive.
	ageSampleInterval = 200 * time.Millisecond
	// idleSampleInterval keeps an age proved without demand, so that a failure
	// domain that is cut off can serve reads with a stated age from then on.
	idleSampleInterval = time.Second
	ageDemandWindow    = 5 * time.Second
)

// monitor keeps one control connection to the upstream and feeds the tracker.
func (u *Upstream) monitor() {
	for u.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(u.ctx, connectTimeout)
		c, err := upstream.Dial(ctx, u.dialConfig("monitor"))
		cancel()
		if err != nil {
			u.unhealthy(err)
			sleep(u.ctx, monitorBackoff)
			continue
		}
		u.unhealthy(u.watch(c))
		c.Close()
	}
}

func (u *Upstream) unhealthy(err error) {
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

// watch reads the status until the connection fails.
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
		case <-u.wake:
		case <-time.After(monitorInterval):
		}
	}
}

// poll does one round: a barrier if one is wanted, then a status that waits for
// the position that somebody needs.
func (u *Upstream) poll(c *upstream.Conn) error {
	ctx, cancel := context.WithTimeout(u.ctx, monitorTimeout+waitLimit)
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
		status, err = client.Wait(ctx, target, waitLimit)
	} else {
		status, err = client.Status(ctx)
	}
	if err != nil {
		return err
	}
	u.observe(status)
	return nil
}

func (u *Upstream) takeBarrier() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refusesWrites() {
		return false // a barrier is an entry that the candidate would have to catch up with
	}
	wanted := u.barrier
	u.barrier = false
	if !wanted || u.status.Role == group.Primary {
		return wanted
	}
	// The tracker waits for an answer to each WriteBarrier. Without one it would
	// never ask again once this member is the primary again.
	u.performTracker(u.tracker.BarrierFailed(u.now()))
	return false
}

func (u *Upstream) takeReclaim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wanted := u.wantReclaim
	u.wantReclaim = false
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
	u.raiseTerm(p.Term, now)
	u.pending = position.Max(u.pending, p)
	u.performTracker(u.tracker.BarrierWritten(p, now))
	return nil
}

// target returns the position that the next status should wait for.
func (u *Upstream) target() (position.Position, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.status.Role == group.Primary {
		unconfirmed := u.tracker != nil && !u.tracker.Confirmed().AtLeast(u.pending)
		return u.pending, unconfirmed && !u.pending.IsZero()
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
	barrier := u.barrier && u.status.Role == group.Primary && !u.refusesWrites()
	u.mu.Unlock()
	_, waiting := u.target()
	return barrier || waiting
}

// observe takes in a status of the upstream.
func (u *Upstream) observe(s group.Status) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	u.status, u.statusAt, u.healthy = s, now, true
	if s.Role == group.Primary {
		u.raiseTerm(s.Term, now)
		u.report(s, now)
		return
	}
	// A member that has moved to a term without a primary may be promoted in it.
	if s.PrimaryMember == "" || s.PrimaryMember == s.Member {
		u.raiseTerm(s.Term, now)
	} else {
		u.notPrimaryIn(s.Term, now)
	}
	u.reached(s.LastPosition)
}

// notPrimaryIn notes that another member is the primary of the term, if there is
// one. What waits for confirmation here can be confirmed in a later term only,
// so it is given up; the caller holds mu.
func (u *Upstream) notPrimaryIn(term uint64, now time.Duration) { u.raiseTerm(term+1, now) }

// LearnTerm takes in a term whose primary has been announced. The owner of a
// dead primary hears of its replacement in no other way.
func (u *Upstream) LearnTerm(term uint64, primary string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if primary == u.cfg.Name {
		u.raiseTerm(term, u.now())
		return
	}
	if u.tracker == nil || term >= u.tracker.Term() {
		u.endPrimaryWork()
	}
	u.notPrimaryIn(term, u.now())
}

// raiseTerm ends what was pending under an older term; the caller holds mu.
func (u *Upstream) raiseTerm(term uint64, now time.Duration) {
	if u.tracker == nil {
		u.tracker = confirm.New(confirm.Config{
			Members:      u.cfg.GroupSize,
			Timeout:      confirmTimeout,
			BarrierDelay: barrierDelay,
		}, term)
		return
	}
	if term > u.tracker.Term() {
		u.pending = position.Position{}
		u.quietUntil = 0
		u.stall.Confirmed(now)
		u.performTracker(u.tracker.NewTerm(term, now))
	}
}

func (u *Upstream) report(s group.Status, now time.Duration) {
	if s.LastPosition.Term == s.Term {
		u.performTracker(u.tracker.Report(s.Member, s.LastPosition, now))
	}
	for member, offset := range s.ConfirmedOffsets {
		p := position.Position{Term: s.Term, Offset: offset}
		u.performTracker(u.tracker.Report(member, p, now))
	}
}

// reached wakes the reads that wait for a position; the caller holds mu.
func (u *Upstream) reached(p position.Position) {
	u.age.SetApplied(p)
	for id, w := range u.applied {
		if p.AtLeast(w.min) {
			close(w.done)
			delete(u.applied, id)
		}
	}
}

// waitApplied returns once the replica is known to be at or past min.
func (u *Upstream) waitApplied(ctx context.Context, min position.Position) error {
	u.mu.Lock()
	if u.status.LastPosition.AtLeast(min) {
		u.mu.Unlock()
		return nil
	}
	id := u.id()
	w := appliedWaiter{min: min, done: make(chan struct{})}
	u.applied[id] = w
	u.mu.Unlock()
	u.signal()
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

// started notes a write that is about to be sent and returns its id at the tracker.
func (u *Upstream) started() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := u.id()
	if u.tracker != nil {
		u.tracker.Started(id)
	}
	return id
}

// abandoned forgets a started write that committed nothing.
func (u *Upstream) abandoned(id uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tracker != nil {
		u.tracker.Abandoned(id)
	}
}

// confirm waits until the tracker has confirmed a commit, or has evidence for a read.
func (u *Upstream) confirm(ctx context.Context, id uint64, write bool, p position.Position) (position.Position, error) {
	u.mu.Lock()
	now := u.now()
	ch := u.confirmed.add(id)
	u.raiseTerm(p.Term, now)
	// A statement that changed nothing reports an earlier position. If that one
	// is confirmed already, only new evidence shows that the primary still is one.
	if write && !u.tracker.Confirmed().AtLeast(p) {
		u.pending = position.Max(u.pending, p)
		u.performTracker(u.tracker.Committed(id, p, now))
	} else {
		u.tracker.Abandoned(id)
		u.performTracker(u.tracker.Read(id, p, now))
	}
	u.mu.Unlock()
	u.signal()
	return u.awaitConfirmation(ctx, id, ch, write)
}

func (u *Upstream) awaitConfirmation(ctx context.Context, id uint64, ch <-chan confirmation, write bool) (position.Position, error) {
	select {
	case c := <-ch:
		return c.position, c.err
	case <-ctx.Done():
	}
	u.mu.Lock()
	delete(u.confirmed, id)
	u.mu.Unlock()
	if write {
		return position.Position{}, verdict.New(verdict.OutcomeUnknown, "no quorum confirmed the write on %q in time", u.cfg.Name)
	}
	return position.Position{}, executed(verdict.New(verdict.DeadlineUnreachable, "the request ended before a quorum confirmed that %q is still the primary", u.cfg.Name))
}

// Barrier returns a position that was confirmed after the call.
func (u *Upstream) Barrier(ctx context.Context) (position.Position, error) {
	u.mu.Lock()
	if u.status.Role != group.Primary || u.tracker == nil || u.retiring {
		u.mu.Unlock()
		return position.Position{}, verdict.New(verdict.NoPrimary, "upstream %q is not the primary", u.cfg.Name).WithRetryAfter(monitorBackoff)
	}
	id := u.id()
	ch := u.confirmed.add(id)
	u.performTracker(u.tracker.Barrier(id, u.now()))
	u.mu.Unlock()
	u.signal()
	return u.awaitConfirmation(ctx, id, ch, false)
}

// sampleAge refreshes the proof of age, often while somebody asks for it.
func (u *Upstream) sampleAge() {
	if u.sampleDue() {
		u.sample()
	}
}

func (u *Upstream) sampleDue() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	demanded := u.ageDemand > 0 && now-u.ageDemand < ageDemandWindow
	due := demanded || now-u.lastSample >= idleSampleInterval
	replica := u.healthy && u.status.Role == group.Replica
	if !due || !replica {
		return false
	}
	u.lastSample = now
	return true
}

func (u *Upstream) sample() {
	ctx, cancel := context.WithTimeout(u.ctx, monitorTimeout)
	defer cancel()
	asked := u.now()
	p, err := u.barriers.get(ctx, u.cfg.Service)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.age.AddBarrier(asked, p)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
