package owner

import (
	"context"
	"time"

	"github.com/papayarail/papayarail/core/pool"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/upstream"
)

// idleInTransactionLimit is the idle time after which an open transaction is
// rolled back, so that an inactive caller does not keep its connection.
const idleInTransactionLimit = 60 * time.Second

// transaction is an open transaction with the upstream connection pinned to it.
type transaction struct {
	connID    pool.ConnID
	conn      *upstream.Conn
	link      string        // name of the peer link that it was started over, or of the local sessions
	busy      bool          // an exchange of it is running
	idleSince time.Duration // end of the last exchange
}

// reservePinned reserves an open transaction for one exchange. It fails if the
// transaction no longer exists or has another exchange in progress.
func (u *Upstream) reservePinned(name string) (*transaction, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.transactions[name]
	if t == nil {
		return nil, verdict.New(verdict.TransactionRolledBack, "the transaction was lost and has been rolled back")
	}
	if t.busy {
		return nil, verdict.New(verdict.ProtocolViolation, "an exchange of this transaction is still running")
	}
	t.busy = true
	return t, nil
}

// pin keeps an assigned connection for the named transaction, which was started over
// the link.
func (u *Upstream) pin(name, link string, assigned assignment) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.transactions[name] = &transaction{connID: assigned.connID, conn: assigned.conn, link: link, idleSince: u.now()}
}

// releasePinned ends one exchange of a transaction. The connection stays pinned
// while the transaction is open; otherwise it returns to the pool, which closes
// it if the exchange failed or the transaction was removed in the meantime. status
// is the transaction status after the exchange.
func (u *Upstream) releasePinned(name string, t *transaction, status byte, failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	current := u.transactions[name] == t
	t.busy = false
	t.idleSince = u.now()
	if current && !failed && status != txIdle {
		return
	}
	if current {
		delete(u.transactions, name)
	}
	clean := current && !failed
	u.releaseLocked(t.connID, clean)
}

// EndTransaction rolls back the named transaction and releases its connection.
// If an exchange of it is still running, the connection is closed instead; that
// exchange then fails and releases the connection.
func (u *Upstream) EndTransaction(ctx context.Context, name string) {
	for _, t := range u.removeTransactions(func(n string, _ *transaction) bool { return n == name }) {
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
	u.release(t.connID, err == nil && answer.TxStatus == txIdle)
}

// HasLinkTransactions reports whether any open transaction was started over the link.
func (u *Upstream) HasLinkTransactions(link string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, t := range u.transactions {
		if t.link == link {
			return true
		}
	}
	return false
}

// LinkClosed rolls back the open transactions that were started over the link.
func (u *Upstream) LinkClosed(link string) {
	for _, t := range u.removeTransactions(func(_ string, t *transaction) bool { return t.link == link }) {
		go u.rollback(u.ctx, t)
	}
}

// removeTransactions removes the matching transactions and returns them.
func (u *Upstream) removeTransactions(match func(string, *transaction) bool) []*transaction {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*transaction
	for name, t := range u.transactions {
		if match(name, t) {
			out = append(out, t)
			delete(u.transactions, name)
		}
	}
	return out
}

// expireTransactions rolls back transactions that have been idle for
// idleInTransactionLimit. u.mu must be held.
func (u *Upstream) expireTransactions(now time.Duration) {
	for name, t := range u.transactions {
		if t.busy || now-t.idleSince < idleInTransactionLimit {
			continue
		}
		delete(u.transactions, name)
		go u.rollback(u.ctx, t)
	}
}

// HasTransaction reports whether the named transaction is open on this upstream.
func (u *Upstream) HasTransaction(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.transactions[name] != nil
}
