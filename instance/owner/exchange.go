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
	// maxExchangeTime bounds the time of a request, also of one that has no deadline.
	maxExchangeTime = 60 * time.Second
	// catchUpTimeout bounds the time that a read waits for a replica to apply the
	// position that the read needs.
	catchUpTimeout = 50 * time.Millisecond
	// cancelTimeout is the time that an upstream has to answer a cancelled
	// statement before its connection is closed.
	cancelTimeout = 500 * time.Millisecond
	// transactionRetryDelay is the retry delay in the error for too many open
	// transactions; one of them has usually ended by then.
	transactionRetryDelay = 100 * time.Millisecond
	// sqlStateReadOnly is PostgreSQL's read_only_sql_transaction: a replica or a
	// deposed primary refused a write and changed nothing.
	sqlStateReadOnly = "25006"
)

// Exchange runs the messages of r on the upstream and returns the complete
// answer. The error is a *verdict.Error. link identifies the peer link, or the
// local sessions, that r arrived on.
func (u *Upstream) Exchange(ctx context.Context, link string, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	limit := r.Deadline
	if limit <= 0 || limit > maxExchangeTime {
		limit = maxExchangeTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := u.register(r, cancel); err != nil {
		return nil, err
	}
	defer u.unregister(r)
	answer, err := u.run(ctx, link, r, limit)
	if refusedForLoad(err) {
		answer, err = &peer.ExchangeAnswer{Refused: verdict.FromError(err)}, nil
	}
	if err != nil {
		return nil, err
	}
	u.addUpstreamState(answer)
	return answer, nil
}

// refusedForLoad reports whether err refuses a request, before it ran, because of
// overload.
func refusedForLoad(err error) bool {
	var v *verdict.Error
	return errors.As(err, &v) && v.Verdict == verdict.NotRun && v.IsOverload()
}

// register adds r to the running exchanges. It refuses new work while the
// upstream retires, new writes while it is quiesced, and new transactions while
// too many are open.
func (u *Upstream) register(r *peer.ExchangeRequest, cancel context.CancelFunc) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, continues := u.transactions[r.Tx]
	if u.retiring && !continues {
		return errNotOwned(u.cfg.Name)
	}
	if r.Writes && !continues && u.refusesWrites() {
		return errNotOwned(u.cfg.Name)
	}
	if r.Begins && len(u.transactions) >= u.maxTransactions() {
		return verdict.New(verdict.Overloaded, "upstream %q has %d open transactions", u.cfg.Name, len(u.transactions)).WithRetryAfter(transactionRetryDelay)
	}
	u.running[r.ID] = runningExchange{cancel: cancel, onPrimary: r.Proof == peer.ProofConfirm || r.Writes}
	if r.Writes {
		u.runningWrites++
	}
	return nil
}

// maxTransactions returns the maximum number of open transactions. It leaves one
// connection for each slot, so that idle transactions cannot block all other
// work. u.mu must be held.
func (u *Upstream) maxTransactions() int {
	return max(u.cfg.Connections-reservedConnections-u.cfg.Slots, 1)
}

func (u *Upstream) unregister(r *peer.ExchangeRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.running, r.ID)
	if r.Writes {
		u.runningWrites--
	}
}

// Cancel cancels the running exchange with the ID, if there is one.
func (u *Upstream) Cancel(id string) {
	u.mu.Lock()
	e, found := u.running[id]
	u.mu.Unlock()
	if found {
		e.cancel()
	}
}

// runningExchange is an exchange in progress.
type runningExchange struct {
	cancel    context.CancelFunc
	onPrimary bool // needs the upstream to be the primary
}

// cancelPrimaryWork cancels the exchanges that need the upstream to be the primary.
// Otherwise a primary that was replaced because it did not answer would delay
// them until their deadlines. u.mu must be held.
func (u *Upstream) cancelPrimaryWork() {
	for _, e := range u.running {
		if e.onPrimary {
			e.cancel()
		}
	}
}

// addUpstreamState adds the state of the upstream that routing and admission
// control at the sender of the request need.
func (u *Upstream) addUpstreamState(answer *peer.ExchangeAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	answer.Load = u.scheduler.Load(now)
	answer.Applied = u.status.LastPosition
	answer.ApplyLag, answer.ConfirmTime = u.applyLag, u.confirmTime
	answer.Age, answer.AgeKnown = u.age.Age(now)
}

// run executes an exchange: admission, wait for the required position, queue,
// connection, statement, and proof of freshness.
func (u *Upstream) run(ctx context.Context, link string, r *peer.ExchangeRequest, limit time.Duration) (*peer.ExchangeAnswer, error) {
	if r.Tx != "" && !r.Begins {
		return u.runPinned(ctx, r)
	}
	if err := u.admit(r); err != nil {
		return nil, err
	}
	startedAt := u.now()
	required, err := u.minPosition(ctx, r)
	if err != nil {
		return nil, err
	}
	slot, err := u.enqueue(ctx, r, limit)
	if err != nil {
		return nil, err
	}
	assigned, err := u.acquire(ctx)
	if err != nil {
		u.freeSlot(slot)
		return nil, err
	}
	id := u.trackStarted()
	answer, err := u.execute(ctx, assigned.conn, r)
	u.freeSlot(slot)
	if err != nil {
		u.trackAbandoned(id)
		u.release(assigned.connID, false)
		return nil, err
	}
	u.pinOrRelease(r, link, assigned, answer)
	return u.prove(ctx, id, r, answer, required, startedAt)
}

// admit refuses at once what cannot succeed: any work for an upstream that has not
// answered the monitor recently, and work that needs the primary on a member that
// is a replica or whose log no quorum confirms. A request with a later term than
// the last status is admitted, because its sender may have newer information.
func (u *Upstream) admit(r *peer.ExchangeRequest) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.now()-u.statusAt > unreachableAfter {
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

// pinOrRelease pins the connection if the answer leaves a transaction open, and
// releases it otherwise.
func (u *Upstream) pinOrRelease(r *peer.ExchangeRequest, link string, assigned assignment, answer upstream.Answer) {
	if answer.TxStatus == txIdle {
		u.release(assigned.connID, true)
		return
	}
	if r.Tx == "" {
		u.release(assigned.connID, false)
		return
	}
	u.pin(r.Tx, link, assigned)
}

// runPinned runs an exchange of an open transaction on its pinned connection. It
// is queued with rank urgent and without a deadline, because an open transaction
// holds a connection and locks that other requests wait for.
func (u *Upstream) runPinned(ctx context.Context, r *peer.ExchangeRequest) (*peer.ExchangeAnswer, error) {
	t, err := u.reservePinned(r.Tx)
	if err != nil {
		return nil, err
	}
	startedAt := u.now()
	queued := *r
	queued.Rank = schedule.Urgent
	slot, err := u.enqueue(ctx, &queued, 0)
	if err != nil {
		u.releasePinned(r.Tx, t, 'T', false)
		return nil, err
	}
	id := u.trackStarted()
	answer, err := u.execute(ctx, t.conn, r)
	u.freeSlot(slot)
	u.releasePinned(r.Tx, t, answer.TxStatus, err != nil)
	if err != nil {
		u.trackAbandoned(id)
		return nil, lostTransactionError(r, err)
	}
	return u.prove(ctx, id, r, answer, position.Position{}, startedAt)
}

// lostTransactionError returns the error for a transaction whose connection
// failed. Unless its commit had been sent, the transaction has been rolled back.
func lostTransactionError(r *peer.ExchangeRequest, err error) error {
	if r.Commits {
		return verdict.New(verdict.CommitUnknown, "the connection failed during the commit: %v", err)
	}
	return verdict.New(verdict.TransactionRolledBack, "the connection failed and the transaction has rolled back: %v", err)
}

// minPosition returns the position that a replica must have applied before it
// executes r, and waits until the replica has applied it.
func (u *Upstream) minPosition(ctx context.Context, r *peer.ExchangeRequest) (position.Position, error) {
	required := r.MinPosition
	switch r.Proof {
	case peer.ProofBarrier:
		p, err := u.freshBarrier(ctx)
		if err != nil {
			return required, err
		}
		required = position.Max(required, p)
	case peer.ProofAge:
		p, err := u.agePosition(ctx, r.MaxAge)
		if err != nil {
			return required, err
		}
		required = position.Max(required, p)
	case peer.ProofPosition:
	default:
		return position.Position{}, nil
	}
	return required, u.catchUp(ctx, required)
}

// catchUp waits up to catchUpTimeout for the replica to apply the position. After
// that another member is the better choice; routing learns the lag from the
// answers and chooses such a member at once.
func (u *Upstream) catchUp(ctx context.Context, required position.Position) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	startedAt := u.now()
	err := u.waitApplied(ctx, required)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.applyLag = movingAverage(u.applyLag, u.now()-startedAt)
	return err
}

// movingAverage is an exponentially weighted moving average with weight 1/8 for
// the new value.
func movingAverage(mean, value time.Duration) time.Duration { return mean + (value-mean)/8 }

// freshBarrier returns a position that the primary had confirmed after the call,
// and records it as proof of this replica's age.
func (u *Upstream) freshBarrier(ctx context.Context) (position.Position, error) {
	requestedAt := u.now()
	p, err := u.barrierBatcher.get(ctx, u.cfg.Service)
	if ctx.Err() != nil {
		return p, verdict.New(verdict.DeadlineUnreachable, "the request ended before the primary of %q gave a confirmed position", u.cfg.Service)
	}
	if err != nil {
		// The code is not CutOff, because that would take this replica out of routing.
		return p, verdict.New(verdict.NoPrimary, "the primary of %q gave no confirmed position: %v", u.cfg.Service, err).WithRetryAfter(monitorInterval)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.age.AddBarrier(requestedAt, p)
	return p, nil
}

// agePosition returns a position at which the replica's data is no older than
// maxAge. It is the zero position, without a request to the primary, if the age
// of the replica's data is already proven.
func (u *Upstream) agePosition(ctx context.Context, maxAge time.Duration) (position.Position, error) {
	u.mu.Lock()
	now := u.now()
	u.lastAgeRequest = now
	age, proven := u.age.Age(now)
	u.mu.Unlock()
	if proven && age <= maxAge {
		return position.Position{}, nil
	}
	return u.freshBarrier(ctx)
}

// enqueue submits r to the scheduler and waits for a slot; limit is the time left
// until its deadline, 0 for none. It returns the ID that freeSlot takes.
func (u *Upstream) enqueue(ctx context.Context, r *peer.ExchangeRequest, limit time.Duration) (uint64, error) {
	u.mu.Lock()
	id := u.newID()
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

// freeSlot returns the slot that enqueue got for the ID.
func (u *Upstream) freeSlot(id uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.performScheduler(u.scheduler.Done(id, u.now()))
}

// execute runs the messages on the connection. When ctx ends, because the caller
// cancelled or the deadline passed, execute sends a cancel request. The upstream
// then answers soon, so that the outcome is known and the connection stays usable.
// The connection is not released before the upstream has handled the cancel
// request, which could otherwise cancel the statement of the next request.
func (u *Upstream) execute(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	if err := ctx.Err(); err != nil {
		return upstream.Answer{}, verdict.New(verdict.DeadlineUnreachable, "the request ended before it was sent: %v", err)
	}
	work, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	handled := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		cancelCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
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
		_ = c.Close() // the cancel request may still arrive
	}
	return answer, err
}

func exchange(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	if r.RequestKey != "" {
		return executeKeyed(ctx, c, r)
	}
	return c.Exchange(ctx, r.Prepared, r.Messages)
}

// prove returns the answer once the freshness that r asks for is proven, or an error
// if it can't be proven. required is the position that a replica must have
// applied, startedAt the start of the exchange.
func (u *Upstream) prove(ctx context.Context, id uint64, r *peer.ExchangeRequest, answer upstream.Answer, required position.Position, startedAt time.Duration) (*peer.ExchangeAnswer, error) {
	out := &peer.ExchangeAnswer{Messages: answer.Messages, TxStatus: answer.TxStatus, Position: answer.Position, ElapsedTime: u.now() - startedAt}
	// The database reports no position with an error. An error in answer to a
	// statement other than a commit is passed to the caller unchanged.
	failed := answer.SQLState != "" && answer.SQLState != sqlStateReadOnly
	if !r.Executes || failed && answer.Position.IsZero() {
		u.trackAbandoned(id)
		return out, nil
	}
	if r.Proof == peer.ProofConfirm {
		return u.proveConfirmed(ctx, id, r, answer, out)
	}
	u.trackAbandoned(id)
	if isRefusedWrite(answer, r) {
		return nil, readOnlyError(u.cfg.Name, r)
	}
	switch r.Proof {
	case peer.ProofPosition, peer.ProofBarrier, peer.ProofAge:
		if !u.answeredAsFollower(answer.Position) {
			return nil, markExecuted(verdict.New(verdict.ReplicaBehind, "upstream %q is not known to follow a primary", u.cfg.Name).WithRetryAfter(monitorBackoff))
		}
		if !answer.Position.AtLeast(required) {
			return nil, markExecuted(verdict.New(verdict.ReplicaBehind, "upstream %q went back behind %s", u.cfg.Name, required).WithRetryAfter(monitorBackoff))
		}
	}
	return out, nil
}

// answeredAsFollower reports whether the answer at position p comes from a replica
// that follows a primary. A primary, in particular a deposed one, can show log
// entries that a failover discards. An answer with a later term than the last
// status may come from a member that was promoted after it, and one with an
// earlier term from a member that has not yet truncated its divergent log.
func (u *Upstream) answeredAsFollower(p position.Position) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.status
	following := s.Role == group.Replica && s.PrimaryMember != "" && s.PrimaryMember != s.Member
	return following && p.Term == s.Term
}

// proveConfirmed returns the answer once a quorum has confirmed the commit, or
// that the upstream is still the primary.
func (u *Upstream) proveConfirmed(ctx context.Context, id uint64, r *peer.ExchangeRequest, answer upstream.Answer, out *peer.ExchangeAnswer) (*peer.ExchangeAnswer, error) {
	if isRefusedWrite(answer, r) {
		u.trackAbandoned(id)
		return nil, readOnlyError(u.cfg.Name, r)
	}
	startedAt := u.now()
	p, err := u.confirm(ctx, id, answer.Committed, answer.Position)
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	u.confirmTime = movingAverage(u.confirmTime, u.now()-startedAt)
	u.mu.Unlock()
	out.Position = p
	return out, nil
}

// isRefusedWrite reports whether a replica or a deposed primary refused a write.
// In a transaction that the caller declared read-only, the same SQLSTATE is an
// error of the caller.
func isRefusedWrite(answer upstream.Answer, r *peer.ExchangeRequest) bool {
	return answer.SQLState == sqlStateReadOnly && !r.ReadOnly
}

// readOnlyError returns the error for a write that a replica or a deposed primary
// refused.
func readOnlyError(name string, r *peer.ExchangeRequest) error {
	if r.Tx != "" && !r.Begins {
		return verdict.New(verdict.TransactionRolledBack, "upstream %q stopped being the primary during the transaction", name).WithRetryAfter(monitorBackoff)
	}
	return verdict.New(verdict.NoPrimary, "upstream %q accepts no writes", name).WithRetryAfter(monitorBackoff)
}

// markExecuted sets the verdict of an error to may_have_run: the statement has run,
// but its answer is withheld.
func markExecuted(e *verdict.Error) *verdict.Error {
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
