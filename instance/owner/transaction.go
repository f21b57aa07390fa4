package owner

import (
	"context"
	"time"

	"github.com/papayarail/papayarail/core/pool"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/upstream"
)

// idleInTransactionLimit frees the connection of a caller that has left its
// transaction open.
const idleInTransactionLimit = 60 * time.Second

// transaction is an upstream connection pinned to one session.
type transaction struct {
	id    pool.ConnID
	conn  *upstream.Conn
	link  string
	busy  bool
	since time.Duration
}

// pinned takes the transaction for one exchange.
func (u *Upstream) pinned(name string) (*transaction, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.txs[name]
	if t == nil {
		return nil, verdict.New(verdict.TransactionRolledBack, "the transaction was lost and has been rolled back")
	}
	if t.busy {
		return nil, verdict.New(verdict.ProtocolViolation, "an exchange of this transaction is still running")
	}
	t.busy = true
	return t, nil
}

func (u *Upstream) pin(name, link string, a assignment) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.txs[name] = &transaction{id: a.id, conn: a.conn, link: link, since: u.now()}
}

// finish ends one exchange of a transaction. The connection goes back to the
// pool unless the transaction is still open; it is closed if the exchange
// failed or the transaction was ended meanwhile.
func (u *Upstream) finish(name string, t *transaction, status byte, failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	current := u.txs[name] == t
	t.busy = false
	t.since = u.now()
	if current && !failed && status != txIdle {
		return
	}
	if current {
		delete(u.txs, name)
	}
	clean := current && !failed
	u.free(t.id, clean)
}

// EndTransaction rolls the transaction back and releases its connection. An
// exchange that is still running loses its connection and cleans up itself.
func (u *Upstream) EndTransaction(ctx context.Context, name string) {
	for _, t := range u.take(func(n string, _ *transaction) bool { return n == name }) {
		u.rollback(ctx, t)
	}
}

func (u *Upstream) rollback(ctx context.Context, t *transaction) {
	if t.busy {
		t.conn.Close()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	answer, err := t.conn.Exchange(ctx, nil, queryMessage("ROLLBACK"))
	u.release(t.id, err == nil && answer.TxStatus == txIdle)
}

// HasLinkTransactions reports whether an open transaction came over the link.
func (u *Upstream) HasLinkTransactions(link string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, t := range u.txs {
		if t.link == link {
			return true
		}
	}
	return false
}

// LinkClosed rolls back the open transactions that came over a link.
func (u *Upstream) LinkClosed(link string) {
	for _, t := range u.take(func(_ string, t *transaction) bool { return t.link == link }) {
		go u.rollback(u.ctx, t)
	}
}

// take removes the matching transactions and returns them.
func (u *Upstream) take(match func(string, *transaction) bool) []*transaction {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*transaction
	for name, t := range u.txs {
		if match(name, t) {
			out = append(out, t)
			delete(u.txs, name)
		}
	}
	return out
}

// expireTransactions rolls back transactions left idle; the caller holds mu.
func (u *Upstream) expireTransactions(now time.Duration) {
	for name, t := range u.txs {
		if t.busy || now-t.since < idleInTransactionLimit {
			continue
		}
		delete(u.txs, name)
		go u.rollback(u.ctx, t)
	}
}

// HasTransaction reports whether the transaction is open here.
func (u *Upstream) HasTransaction(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.txs[name] != nil
}
