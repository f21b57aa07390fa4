package upstream

import (
	"math/rand/v2"
	"time"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/statement"
)

// Checkout returns an idle connection, or opens one. It prefers a connection on which
// the session's values are already set. The error is a *verdict.Error, or the error of
// the dialer. A wait ends if gone reports that the caller has disconnected; nil means that
// it never does.
func (u *Upstream) Checkout(values map[string]string, timeout time.Duration, gone func() bool) (*Conn, error) {
	deadline := u.clock() + timeout
	for {
		c, wait, pause, err := u.takeConn(values)
		if err != nil || c != nil {
			return c, err
		}
		if wait == nil {
			c, err = u.dial(min(deadline-u.clock(), DialTimeout))
			if !connLimitReached(err) {
				return c, err
			}
			continue
		}
		if c := u.awaitConn(wait, min(pause, deadline-u.clock()), gone); c != nil {
			return c, nil
		}
		if gone != nil && gone() {
			u.metrics.CountCancelled(StagePool)
			return nil, ErrCancelled()
		}
		if u.clock() >= deadline {
			return nil, verdict.New(verdict.Overloaded, "no connection to upstream %s came free", u.Member().ID).WithRetryAfter(maxDialBackoff)
		}
	}
}

// connLimitReached reports whether the member's connection limit is reached.
func connLimitReached(err error) bool {
	reason, ok := statement.ReasonOf(err)
	return ok && reason == statement.TooManyConnections
}

// awaitConn waits for a connection that another request returns to the pool. It returns
// nil after the limit, when the request should try again, or when gone reports that its
// caller has disconnected.
func (u *Upstream) awaitConn(wait chan *Conn, limit time.Duration, gone func() bool) *Conn {
	if c, ok := receive(wait, limit, gone); ok {
		return c
	}
	return u.stopWaiting(wait)
}

// takeConn returns an idle connection; or a channel to wait on, for at most pause; or
// neither, in which case Checkout must open a connection, which openConns already counts.
func (u *Upstream) takeConn(values map[string]string) (c *Conn, wait chan *Conn, pause time.Duration, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return nil, nil, 0, verdict.New(verdict.Draining, "upstream %s is gone", u.member.ID)
	}
	for len(u.idleConns) > 0 {
		i := u.bestMatch(values)
		c := u.idleConns[i]
		u.idleConns = append(u.idleConns[:i], u.idleConns[i+1:]...)
		if c.Alive() {
			return c, nil, 0, nil
		}
		u.openConns--
		c.Close()
	}
	pause = u.noDialBefore - u.clock()
	if u.openConns < u.limits.MaxOpen && pause <= 0 {
		u.openConns++
		return nil, nil, 0, nil
	}
	if u.openConns >= u.limits.MaxOpen {
		pause = DialTimeout
	}
	wait = make(chan *Conn, 1)
	u.connWaiters = append(u.connWaiters, wait)
	return nil, wait, pause, nil
}

// bestMatch returns the index of the idle connection that needs the least setup for the
// session's values; among equals, the most recently used one.
func (u *Upstream) bestMatch(values map[string]string) int {
	best, score := len(u.idleConns)-1, -1
	for i := len(u.idleConns) - 1; i >= 0; i-- {
		c := u.idleConns[i]
		s := 0
		switch {
		case sameValues(c.values, values):
			s = 2
		case isSubset(c.values, values):
			s = 1
		}
		if s > score {
			best, score = i, s
		}
	}
	return best
}

// stopWaiting removes a waiter, and returns a connection that was already handed to it.
func (u *Upstream) stopWaiting(wait chan *Conn) *Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, w := range u.connWaiters {
		if w == wait {
			u.connWaiters = append(u.connWaiters[:i], u.connWaiters[i+1:]...)
			return nil
		}
	}
	return <-wait // a connection was handed off meanwhile
}

// dial opens a connection that is already counted in openConns.
func (u *Upstream) dial(timeout time.Duration) (*Conn, error) {
	u.mu.Lock()
	m := u.member
	u.dialing++
	u.mu.Unlock()
	conn, err := u.dialer.Dial(statement.Target{Service: m.Service, ID: m.ID, Address: m.Address}, timeout)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialing--
	if err == nil {
		u.refusals = 0
		return &Conn{Conn: conn, prepared: make(map[string]bool)}, nil
	}
	u.openConns--
	if connLimitReached(err) {
		pause := min(dialBackoff<<min(u.refusals, 8), maxDialBackoff)
		u.refusals++
		u.noDialBefore = u.clock() + pause/2 + rand.N(pause)
		return nil, err
	}
	u.handOff(nil)
	return nil, err
}

// Return puts a connection that is in a known state back into the pool.
func (u *Upstream) Return(c *Conn) {
	u.mu.Lock()
	c.lastUsed = u.clock()
	if c.broken || u.closed {
		u.openConns--
		u.handOff(nil)
		u.mu.Unlock()
		c.Close()
		return
	}
	if !u.handOff(c) {
		u.idleConns = append(u.idleConns, c)
		if len(u.idleConns) > u.limits.MaxIdle {
			time.AfterFunc(u.limits.IdleTimeout+time.Millisecond, u.CloseIdle)
		}
	}
	u.mu.Unlock()
}

// Discard closes a connection whose state is unknown.
func (u *Upstream) Discard(c *Conn) {
	c.broken = true
	u.Return(c)
}

// handOff gives a connection to the first waiting request and reports whether there is
// one. A nil connection makes that request try again. u.mu is held.
func (u *Upstream) handOff(c *Conn) bool {
	if len(u.connWaiters) == 0 {
		return false
	}
	wait := u.connWaiters[0]
	u.connWaiters = u.connWaiters[1:]
	wait <- c
	return true
}

// CloseIdle closes the idle connections above MaxIdle that were not used for IdleTimeout.
func (u *Upstream) CloseIdle() {
	u.mu.Lock()
	now := u.clock()
	var drop []*Conn
	for len(u.idleConns) > u.limits.MaxIdle && now-u.idleConns[0].lastUsed > u.limits.IdleTimeout {
		drop = append(drop, u.idleConns[0])
		u.idleConns = u.idleConns[1:]
		u.openConns--
	}
	u.mu.Unlock()
	closeAll(drop)
}
