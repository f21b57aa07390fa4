package upstream

import (
	"errors"
	"time"

	"github.com/papayarail/papayarail/proxy/statement"
)

// Control sends a control command, bypassing the queue. fresh opens a new connection
// for it, in case the pooled ones are broken without a sign. The error is a
// *verdict.Error, or the error of the dialer or the connection.
func (u *Upstream) Control(fresh bool, c statement.Control, timeout time.Duration) (StatusReply, error) {
	conn, err := u.controlConn(fresh, timeout)
	if err != nil {
		return StatusReply{}, err
	}
	sentAt := u.clock()
	status, err := conn.Control(c, timeout)
	if err != nil {
		var connErr *statement.ConnError
		if errors.As(err, &connErr) {
			u.Discard(conn)
			return StatusReply{}, err
		}
		u.Return(conn)
		return StatusReply{}, err
	}
	u.mu.Lock()
	runsSince := u.observeAnswer(conn)
	u.mu.Unlock()
	u.Return(conn)
	return StatusReply{Status: status, SentAt: sentAt, RunsSince: runsSince}, nil
}

// controlConn returns the connection for a control command, which may belong to any
// workspace. A new one may exceed the limit of open connections.
func (u *Upstream) controlConn(fresh bool, timeout time.Duration) (*Conn, error) {
	r := connRequest{any: true}
	if !fresh {
		return u.checkout(r, timeout)
	}
	u.mu.Lock()
	u.lastConnRequest++
	r.id = u.lastConnRequest
	u.pool.ForceOpen(r.id)
	u.countPoolEvents()
	u.mu.Unlock()
	return u.dial(r, timeout)
}
