package owner

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/papayarail/papayarail/core/pool"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/wire/group"
	"github.com/papayarail/papayarail/wire/upstream"
)

// sqlStateConnectionLimit is PostgreSQL's too_many_connections.
const sqlStateConnectionLimit = "53300"

// assignment is the pool's answer to a request for a connection.
type assignment struct {
	connID pool.ConnID
	conn   *upstream.Conn
	err    error
}

// performPool performs the actions that the pool decided on. u.mu must be held.
func (u *Upstream) performPool(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.Open:
			go u.open(a.Conn)
		case pool.Close:
			u.closeConn(a.Conn)
		case pool.Assign:
			u.assign(a)
		case pool.Refuse:
			u.assigned.deliver(a.Request, assignment{err: a.Err})
		}
	}
}

// assign passes a connection to the request that waits for it, or returns the connection
// to the pool if that request has ended. u.mu must be held.
func (u *Upstream) assign(a pool.Assign) {
	assigned := assignment{connID: a.Conn, conn: u.conns[a.Conn]}
	u.busy[a.Conn] = true
	if !u.assigned.deliver(a.Request, assigned) {
		u.releaseLocked(a.Conn, true)
	}
}

// releaseLocked returns a connection to the pool, which closes it unless it is
// clean. u.mu must be held.
func (u *Upstream) releaseLocked(id pool.ConnID, clean bool) {
	now := u.now()
	delete(u.busy, id)
	u.lastUsed[id] = now
	u.performPool(u.pool.Release(id, clean, now))
}

func (u *Upstream) closeConn(id pool.ConnID) {
	c := u.conns[id]
	delete(u.conns, id)
	delete(u.busy, id)
	delete(u.lastUsed, id)
	if c != nil {
		go c.Close()
	}
}

func (u *Upstream) dialConfig(role string) upstream.Config {
	return upstream.Config{
		Address:         u.cfg.Address,
		User:            "papayarail",
		Database:        u.cfg.Service,
		ApplicationName: applicationName(u.cfg.Instance, u.cfg.Incarnation, role),
		ConnectTimeout:  connectTimeout,
		SourceAddress:   u.cfg.Source,
	}
}

const applicationPrefix = "papayarail"

// applicationName identifies the process that opened a session of the upstream,
// so that the next owner can terminate the sessions of a dead one. PostgreSQL
// truncates the name to 63 bytes.
func applicationName(instance string, incarnation uint64, role string) string {
	return applicationPrefix + "/" + instance + "/" + strconv.FormatUint(incarnation, 36) + "/" + role
}

// reclaim terminates the sessions that dead instances have left at the upstream.
// An instance whose process is paused counts as dead too, but its sessions would
// stay open for as long as the pause lasts.
func (u *Upstream) reclaim(ctx context.Context, c *upstream.Conn) error {
	client := group.New(c)
	sessions, err := client.Connections(ctx)
	if err != nil {
		return err
	}
	for _, s := range sessions {
		parts := strings.Split(s.ApplicationName, "/")
		if len(parts) != 4 || parts[0] != applicationPrefix || u.mayBeAlive(parts[1], parts[2]) {
			continue
		}
		if _, err := client.Terminate(ctx, s.PID); err != nil {
			return err
		}
		u.cfg.Log.WithField("upstream", u.cfg.Name).WithField("session", s.ApplicationName).Info("ended a session of a dead instance")
	}
	return nil
}

// mayBeAlive reports whether the process that opened a session may still be running,
// by the instance and the incarnation, in base 36, in the session's application name.
// A session whose incarnation does not parse is left alone.
func (u *Upstream) mayBeAlive(instance, incarnation string) bool {
	n, err := strconv.ParseUint(incarnation, 36, 64)
	return err != nil || u.cfg.MayBeAlive(instance, n)
}

// open dials the connection that the pool asked for and tells the pool the result.
func (u *Upstream) open(id pool.ConnID) {
	ctx, cancel := context.WithTimeout(u.ctx, connectTimeout)
	defer cancel()
	c, err := upstream.Dial(ctx, u.dialConfig("pool"))
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		var pg *pgconn.PgError
		limitReached := errors.As(err, &pg) && pg.Code == sqlStateConnectionLimit
		u.cfg.Log.WithError(err).WithField("upstream", u.cfg.Name).Debug("could not open an upstream connection")
		u.reclaimWanted = u.reclaimWanted || limitReached
		u.notifyMonitor()
		u.performPool(u.pool.OpenFailed(id, limitReached, u.now()))
		return
	}
	if u.ctx.Err() != nil {
		c.Close()
		return
	}
	u.conns[id] = c
	u.lastUsed[id] = u.now()
	u.performPool(u.pool.Opened(id, u.now()))
}

// acquire waits for a connection from the pool.
func (u *Upstream) acquire(ctx context.Context) (assignment, error) {
	u.mu.Lock()
	id := u.newID()
	ch := u.assigned.add(id)
	u.performPool(u.pool.Acquire(id, u.now()))
	u.mu.Unlock()
	select {
	case a := <-ch:
		return a, a.err
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, waiting := u.assigned[id]; waiting {
		delete(u.assigned, id)
		u.performPool(u.pool.Cancel(id, u.now()))
	} else if a := <-ch; a.err == nil {
		u.releaseLocked(a.connID, true)
	}
	return assignment{}, verdict.New(verdict.DeadlineUnreachable, "no connection to upstream %q became free in time", u.cfg.Name).WithRetryAfter(50 * time.Millisecond)
}

func (u *Upstream) release(id pool.ConnID, clean bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.releaseLocked(id, clean)
}

const (
	// idleCheckAfter is the time without use after which a connection is checked,
	// so that one that has gone silent is found before a request is sent on it.
	idleCheckAfter   = 300 * time.Millisecond
	idleCheckTimeout = 300 * time.Millisecond
)

// checkIdle starts a check of each connection that has not been used for
// idleCheckAfter. A request that gets the connection in the meantime waits for
// the check, and is not run if the check fails. u.mu must be held.
func (u *Upstream) checkIdle(now time.Duration) {
	for id, c := range u.conns {
		if u.busy[id] || now-u.lastUsed[id] < idleCheckAfter {
			continue
		}
		u.lastUsed[id] = now
		go u.checkConn(id, c)
	}
}

// checkConn closes the connection if it does not answer within idleCheckTimeout.
func (u *Upstream) checkConn(id pool.ConnID, c *upstream.Conn) {
	ctx, cancel := context.WithTimeout(u.ctx, idleCheckTimeout)
	defer cancel()
	if _, err := group.New(c).Status(ctx); err == nil || u.ctx.Err() != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns[id] != c || u.busy[id] {
		return
	}
	u.closeConn(id)
	u.performPool(u.pool.Lost(id, u.now()))
}
