package owner

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/wire/group"
	"github.com/papayarail/papayarail/wire/upstream"
)

const (
	txIdle = 'I'
	// maxExchange bounds requests that carry no deadline.
	maxExchange = 60 * time.Second
	// catchUpLimit bounds the time that a read waits for a replica.
	catchUpLimit = 50 * time.Millisecond
	// cancelGrace is the time that an upstream has to answer a cancelled
	// statement before its connection is given up.
	cancelGrace = 500 * time.Millisecond
	// pinnedRetry is the time after which some transaction has usually ended.
	pinnedRetry = 100 * time.Millisecond
	// sqlStateReadOnly is read_only_sql_transaction: a replica or a deposed
	// primary refused a write and did nothing.
	sqlStateReadOnly = "25006"
)

// Exchange runs the messages of r and returns the whole answer, or an error
// with a verdict. link names the connection that r came over.
func (u *Upstream) Exchange(ctx context.Context, link string, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	limit := r.Deadline
	if limit <= 0 || limit > maxExchange {
		limit = maxExchange
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := u.enter(r, cancel); err != nil {
		return nil, err
	}
	defer u.leave(r)
	answer, err := u.run(ctx, link, r, limit)
	if shed(err) {
		answer, err = &peer.ExchangeAnswer{Refused: verdict.As(err)}, nil
	}
	if err != nil {
		return nil, err
	}
	u.describe(answer)
	return answer, nil
}

// shed reports a request that was refused because of the load.
func shed(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Verdict == verdict.NotRun && v.IsOverload()
}

// enter registers the exchange; new work is refused once the upstream retires.
func (u *Upstream) enter(r *peer.ExchangeRequest, cancel context.CancelFunc) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, continues := u.txs[r.Tx]
	if u.retiring && !continues {
		return errNotOwned(u.cfg.Name)
	}
	if r.Writes && !continues && u.refusesWrites() {
		return errNotOwned(u.cfg.Name)
	}
	if r.Begins && len(u.txs) >= u.maxTransactions() {
		return verdict.New(verdict.Overloaded, "upstream %q has %d open transactions", u.cfg.Name, len(u.txs)).WithRetryAfter(pinnedRetry)
	}
	u.running[r.ID] = running{cancel: cancel, onPrimary: r.Proof == peer.ProofConfirm || r.Writes}
	if r.Writes {
		u.writes++
	}
	return nil
}

// maxTransactions keeps a connection for each slot free of open transactions,
// so that idle ones cannot stop all other work; the caller holds mu.
func (u *Upstream) maxTransactions() int {
	return max(u.cfg.Connections-reservedConnections-u.cfg.Slots, 1)
}

func (u *Upstream) leave(r *peer.ExchangeRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.running, r.ID)
	if r.Writes {
		u.writes--
	}
}

// Cancel cancels a running exchange.
func (u *Upstream) Cancel(id string) {
	u.mu.Lock()
	x, found := u.running[id]
	u.mu.Unlock()
	if found {
		x.cancel()
	}
}

// running is an exchange in progress.
type running struct {
	cancel    context.CancelFunc
	onPrimary bool // needs the upstream to be the primary
}

// endPrimaryWork cancels the exchanges that need the upstream to be the primary.
// A primary that was replaced because it does not answer would hold them until
// their deadlines; the caller holds mu.
func (u *Upstream) endPrimaryWork() {
	for _, x := range u.running {
		if x.onPrimary {
			x.cancel()
		}
	}
}

// describe adds what entry instances need to know of the upstream.
func (u *Upstream) describe(a *peer.ExchangeAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	a.Load = u.scheduler.Load(now)
	a.Applied = u.status.LastPosition
	a.Lag, a.ConfirmTime = u.lag, u.confirmTime
	a.Age, a.AgeKnown = u.age.Age(now)
}

func (u *Upstream) run(ctx context.Context, link string, r *peer.ExchangeRequest, limit time.Duration) (*peer.ExchangeAnswer, error) {
	if r.Tx != "" && !r.Begins {
		return u.runPinned(ctx, r)
	}
	if err := u.admit(r); err != nil {
		return nil, err
	}
	asked := u.now()
	least, err := u.leastPosition(ctx, r)
	if err != nil {
		return nil, err
	}
	slot, err := u.enqueue(ctx, r, limit)
	if err != nil {
		return nil, err
	}
	a, err := u.acquire(ctx)
	if err != nil {
		u.leaveSlot(slot)
		return nil, err
	}
	id := u.started()
	answer, err := u.execute(ctx, a.conn, r)
	u.leaveSlot(slot)
	if err != nil {
		u.abandoned(id)
		u.release(a.id, false)
		return nil, err
	}
	u.settle(r, link, a, answer)
	return u.prove(ctx, id, r, answer, least, asked)
}

// admit refuses at once what cannot be answered: any work for an upstream that
// gives no sign of life, and work for a primary on a member that is known to be a
// replica or that gets nothing confirmed. A request of a later term than the last
// status may know better.
func (u *Upstream) admit(r *peer.ExchangeRequest) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.now()-u.statusAt > lifeSign {
		return verdict.New(verdict.CutOff, "upstream %q gives no sign of life", u.cfg.Name).WithRetryAfter(monitorInterval)
	}
	if r.Proof != peer.ProofConfirm || r.Term > u.status.Term {
		return nil
	}
	if u.stall.Stalled() {
		return verdict.New(verdict.CutOff, "no quorum confirms the log of upstream %q", u.cfg.Name).WithRetryAfter(monitorInterval)
	}
	if u.status.Role != group.Replica {
		return nil
	}
	return verdict.New(verdict.NoPrimary, "upstream %q is a replica in term %d", u.cfg.Name, u.status.Term).WithRetryAfter(monitorBackoff)
}

// settle pins the connection of an open transaction and releases any other.
func (u *Upstream) settle(r *peer.ExchangeRequest, link string, a assignment, answer upstream.Answer) {
	if answer.TxStatus == txIdle {
		u.release(a.id, true)
		return
	}
	if r.Tx == "" {
		u.release(a.id, false)
		return
	}
	u.pin(r.Tx, link, a)
}

// runPinned runs an exchange of an open transaction. It is queued as urgent
// work without a deadline, because an open transaction holds a connection and
// locks that others wait for.
func (u *Upstream) runPinned(ctx context.Context, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	t, err := u.pinned(r.Tx)
	if err != nil {
		return nil, err
	}
	asked := u.now()
	queued := *r
	queued.Rank = schedule.Urgent
	slot, err := u.enqueue(ctx, &queued, 0)
	if err != nil {
		u.finish(r.Tx, t, 'T', false)
		return nil, err
	}
	id := u.started()
	answer, err := u.execute(ctx, t.conn, r)
	u.leaveSlot(slot)
	u.finish(r.Tx, t, answer.TxStatus, err != nil)
	if err != nil {
		u.abandoned(id)
		return nil, lostTransaction(r, err)
	}
	return u.prove(ctx, id, r, answer, position.Position{}, asked)
}

// lostTransaction gives the verdict on a transaction whose connection failed:
// without a commit on its way it has rolled back.
func lostTransaction(r *peer.ExchangeRequest, err error) error {
	if r.Commits {
		return verdict.New(verdict.CommitUnknown, "the connection failed during the commit: %v", err)
	}
	return verdict.New(verdict.TransactionRolledBack, "the connection failed and the transaction has rolled back: %v", err)
}

// leastPosition returns the position that a replica must have before it may
// execute r.
func (u *Upstream) leastPosition(ctx context.Context, r *peer.ExchangeRequest) (position.Position, error) {
	least := r.MinPosition
	switch r.Proof {
	case peer.ProofBarrier:
		p, err := u.freshBarrier(ctx)
		if err != nil {
			return least, err
		}
		least = position.Max(least, p)
	case peer.ProofAge:
		p, err := u.agePosition(ctx, r.MaxAge)
		if err != nil {
			return least, err
		}
		least = position.Max(least, p)
	case peer.ProofPosition:
	default:
		return position.Position{}, nil
	}
	return least, u.catchUp(ctx, least)
}

// catchUp waits for the position for a bounded time. Longer waits are better
// spent on another member; entry instances learn the lag and go there at once.
func (u *Upstream) catchUp(ctx context.Context, least position.Position) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	began := u.now()
	err := u.waitApplied(ctx, least)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lag = smooth(u.lag, u.now()-began)
	return err
}

// smooth is an exponentially weighted mean with weight 1/8 for the new value.
func smooth(mean, value time.Duration) time.Duration { return mean + (value-mean)/8 }

func (u *Upstream) freshBarrier(ctx context.Context) (position.Position, error) {
	asked := u.now()
	p, err := u.barriers.get(ctx, u.cfg.Service)
	if ctx.Err() != nil {
		return p, verdict.New(verdict.DeadlineUnreachable, "the request ended before the primary of %q gave a confirmed position", u.cfg.Service)
	}
	if err != nil {
		// Not CutOff: that would take this replica out of routing.
		return p, verdict.New(verdict.NoPrimary, "the primary of %q gave no confirmed position: %v", u.cfg.Service, err).WithRetryAfter(monitorInterval)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.age.AddBarrier(asked, p)
	return p, nil
}

// agePosition returns a position whose data is no older than maxAge, without
// asking the primary if the replica's age is already proved.
func (u *Upstream) agePosition(ctx context.Context, maxAge time.Duration) (position.Position, error) {
	u.mu.Lock()
	now := u.now()
	u.ageDemand = now
	age, proved := u.age.Age(now)
	u.mu.Unlock()
	if proved && age <= maxAge {
		return position.Position{}, nil
	}
	return u.freshBarrier(ctx)
}

// enqueue waits for a slot.
func (u *Upstream) enqueue(ctx context.Context, r *peer.ExchangeRequest, limit time.Duration) (uint64, error) {
	u.mu.Lock()
	id := u.id()
	ch := u.slots.add(id)
	now := u.now()
	request := schedule.Request{ID: id, Caller: r.Caller, Rank: r.Rank}
	if limit > 0 {
		request.Deadline = now + limit
	}
	u.performScheduler(u.scheduler.Submit(request, now))
	u.mu.Unlock()
	select {
	case err := <-ch:
		return id, err
	case <-ctx.Done():
	}
	u.mu.Lock()
	delete(u.slots, id)
	u.performScheduler(u.scheduler.Cancel(id, u.now()))
	u.mu.Unlock()
	return id, verdict.New(verdict.DeadlineUnreachable, "the request was cancelled or timed out in the queue of %q", u.cfg.Name)
}

func (u *Upstream) leaveSlot(id uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.performScheduler(u.scheduler.Done(id, u.now()))
}

// execute runs the messages on the connection. When the caller gives up or the
// deadline passes, the upstream is told to cancel. It then answers soon, so that
// the outcome is known and the connection stays usable. The connection is not given
// back before the upstream has handled the order: it would cancel the statement of
// the next caller.
func (u *Upstream) execute(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	if err := ctx.Err(); err != nil {
		return upstream.Answer{}, verdict.New(verdict.DeadlineUnreachable, "the request ended before it was sent: %v", err)
	}
	work, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	handled := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		cancelCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelGrace)
		defer cancel()
		handled <- c.Cancel(cancelCtx)
		select {
		case <-cancelCtx.Done():
			cancelWork()
		case <-work.Done():
		}
	})
	answer, err := exchange(work, c, r)
	if !stop() && <-handled != nil {
		_ = c.Close() // the order may still arrive
	}
	return answer, err
}

func exchange(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	if r.RequestKey != "" {
		return executeKeyed(ctx, c, r)
	}
	return c.Exchange(ctx, r.Prepared, r.Messages)
}

// prove establishes what the caller was promised before the answer leaves.
func (u *Upstream) prove(ctx context.Context, id uint64, r *peer.ExchangeRequest, a upstream.Answer, least position.Position, asked time.Duration) (*peer.ExchangeAnswer, error) {
	out := &peer.ExchangeAnswer{Messages: a.Messages, TxStatus: a.TxStatus, Position: a.Position, ElapsedTime: u.now() - asked}
	// The database reports no position with an error. An error that it answered
	// to a statement outside a commit reaches the caller as it is.
	failed := a.SQLState != "" && a.SQLState != sqlStateReadOnly
	if !r.Executes || failed && a.Position.IsZero() {
		u.abandoned(id)
		return out, nil
	}
	if r.Proof == peer.ProofConfirm {
		return u.proveConfirmed(ctx, id, r, a, out)
	}
	u.abandoned(id)
	if refusedWrite(a, r) {
		return nil, readOnly(u.cfg.Name, r)
	}
	switch r.Proof {
	case peer.ProofPosition, peer.ProofBarrier, peer.ProofAge:
		if !u.follows(a.Position) {
			return nil, executed(verdict.New(verdict.ReplicaBehind, "upstream %q is not known to follow a primary", u.cfg.Name).WithRetryAfter(monitorBackoff))
		}
		if !a.Position.AtLeast(least) {
			return nil, executed(verdict.New(verdict.ReplicaBehind, "upstream %q went back behind %s", u.cfg.Name, least).WithRetryAfter(monitorBackoff))
		}
	}
	return out, nil
}

// follows reports whether the upstream answered as a replica that follows a
// primary. A primary, a deposed one above all, can show entries that a failover
// discards. An answer of a later term than the last status may come from a
// member that has been promoted since; one of an earlier term from a member that
// has not yet discarded its divergent log.
func (u *Upstream) follows(p position.Position) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.status
	following := s.Role == group.Replica && s.PrimaryMember != "" && s.PrimaryMember != s.Member
	return following && p.Term == s.Term
}

func (u *Upstream) proveConfirmed(ctx context.Context, id uint64, r *peer.ExchangeRequest, a upstream.Answer, out *peer.ExchangeAnswer) (*peer.ExchangeAnswer, error) {
	if refusedWrite(a, r) {
		u.abandoned(id)
		return nil, readOnly(u.cfg.Name, r)
	}
	began := u.now()
	p, err := u.confirm(ctx, id, a.Committed, a.Position)
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	u.confirmTime = smooth(u.confirmTime, u.now()-began)
	u.mu.Unlock()
	out.Position = p
	return out, nil
}

// refusedWrite reports that a replica or a deposed primary refused a write. In a
// transaction that the caller declared read-only the refusal is the caller's.
func refusedWrite(a upstream.Answer, r *peer.ExchangeRequest) bool {
	return a.SQLState == sqlStateReadOnly && !r.ReadOnly
}

// readOnly is the verdict on a write that a replica or a deposed primary refused.
func readOnly(name string, r *peer.ExchangeRequest) error {
	if r.Tx != "" && !r.Begins {
		return verdict.New(verdict.TransactionRolledBack, "upstream %q stopped being the primary during the transaction", name).WithRetryAfter(monitorBackoff)
	}
	return verdict.New(verdict.NoPrimary, "upstream %q accepts no writes", name).WithRetryAfter(monitorBackoff)
}

// executed marks an error about a statement that has run although its answer
// is withheld.
func executed(e *verdict.Error) *verdict.Error {
	e.Verdict = verdict.MayHaveRun
	return e
}

func queryMessage(sql string) []byte {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err) // a Query message of bounded size always encodes
	}
	return b
}
