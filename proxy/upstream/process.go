package upstream

import (
	"time"

	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
)

// processRun is a span of time during which one process of the member is known to have run:
// answers on connections that overlap come from the same process. A connection alone would
// show less, as the pool closes idle ones.
type processRun struct{ since, until time.Duration }

// observeAnswer handles the last answer on a connection, and returns a local time since
// which the process that gave it has run. u.mu is held.
func (u *Upstream) observeAnswer(c *Conn) time.Duration {
	if u.run.until != 0 && c.openedAt <= u.run.until {
		u.run.until = max(u.run.until, c.answeredAt)
		return u.run.since
	}
	for _, other := range u.conns {
		if u.run.until != 0 && other.openedAt <= u.run.until {
			return c.openedAt // an answer on the other one may still join the two
		}
	}
	u.run = processRun{c.openedAt, c.answeredAt}
	return u.run.since
}

// KeepOpen keeps one idle connection open for at least d, so that later answers show that
// the same process still runs.
func (u *Upstream) KeepOpen(d time.Duration) {
	u.mu.Lock()
	var closed []*Conn
	u.keepOpenUntil = u.clock() + d
	if !u.keepsOpen {
		u.keepsOpen = true
		closed = u.applyPoolLimits()
		time.AfterFunc(d, u.endKeepOpen)
	}
	u.mu.Unlock()
	closeAll(closed)
}

func (u *Upstream) endKeepOpen() {
	u.mu.Lock()
	left := u.keepOpenUntil - u.clock()
	if left > 0 && !u.closed {
		u.mu.Unlock()
		time.AfterFunc(left, u.endKeepOpen)
		return
	}
	u.keepsOpen = false
	closed := append(u.applyPoolLimits(), u.takeConns(u.pool.CloseIdle(u.clock()))...)
	u.mu.Unlock()
	closeAll(closed)
}

// Exec implements statement.Conn.
func (c *Conn) Exec(s statement.Statement, timeout time.Duration) (statement.Reply, error) {
	sentAt := c.clock()
	reply, err := c.Conn.Exec(s, timeout)
	c.answered(sentAt, err)
	return reply, err
}

// ExecAll implements statement.Conn.
func (c *Conn) ExecAll(all []statement.Statement, timeout time.Duration) ([]statement.Reply, error) {
	sentAt := c.clock()
	replies, err := c.Conn.ExecAll(all, timeout)
	c.answered(sentAt, err)
	return replies, err
}

// Control implements statement.Conn.
func (c *Conn) Control(command statement.Control, timeout time.Duration) (takeover.Status, error) {
	sentAt := c.clock()
	status, err := c.Conn.Control(command, timeout)
	c.answered(sentAt, err)
	return status, err
}

func (c *Conn) answered(sentAt time.Duration, err error) {
	if err == nil {
		c.answeredAt = sentAt
	}
}
