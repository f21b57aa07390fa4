package simulator

import (
	"errors"
	"fmt"
	"time"

	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
)

// dialer connects one instance to the members.
type dialer struct {
	cluster  *Cluster
	instance string
}

var errTimeout, errBroken = errors.New("silent"), errors.New("broken")

// Dial implements statement.Dialer.
func (d dialer) Dial(t statement.Target, timeout time.Duration) (statement.Conn, error) {
	cluster := d.cluster
	cluster.mu.Lock()
	m := cluster.member(t.ID)
	listener := cluster.listener(t.Address)
	if listener == nil {
		listener = m
	}
	silent := listener != nil && (cluster.partitioned(d.instance, listener.ID) || listener.down && listener.silent)
	down := listener != nil && listener.down
	cluster.mu.Unlock()
	switch {
	case silent:
		time.Sleep(timeout)
		return nil, &statement.ConnError{Timeout: true, Err: errTimeout}
	case m == nil || listener != m:
		time.Sleep(roundTrip)
		return nil, &statement.UpstreamError{Reason: statement.WrongMember}
	case down:
		time.Sleep(roundTrip)
		return nil, &statement.ConnError{Refused: true, Err: errBroken}
	}
	if !cluster.accept(m, timeout) {
		return nil, &statement.ConnError{Timeout: true, Err: errTimeout}
	}
	time.Sleep(roundTrip)
	c := &conn{cluster: cluster, member: m, instance: d.instance}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.limited && len(m.conns) >= cluster.connectionLimit {
		return nil, &statement.UpstreamError{Reason: statement.TooManyConnections}
	}
	m.conns[c] = true
	return c, nil
}

// accept waits until the listener of a member has accepted a connection. It returns false
// after the timeout, which the listener does not notice.
func (c *Cluster) accept(m *Member, timeout time.Duration) bool {
	c.mu.Lock()
	if !c.limited {
		c.mu.Unlock()
		return true
	}
	now := c.Clock()
	m.listenerBusy = max(m.listenerBusy, now) + connectTime
	wait := m.listenerBusy - now
	c.mu.Unlock()
	time.Sleep(min(wait, timeout))
	return wait <= timeout
}

// conn is a connection of an instance to a member.
type conn struct {
	cluster  *Cluster
	member   *Member
	instance string
	txWrites []string // writes of the open transaction
	inTx     bool
}

// oneWayTrip waits for the network delay of one direction. It returns an error if the
// connection is partitioned or closed.
func (c *conn) oneWayTrip(timeout time.Duration) error {
	c.cluster.mu.Lock()
	silent := c.cluster.partitioned(c.instance, c.member.ID) || c.member.down && c.member.silent
	open := c.member.conns[c]
	c.cluster.mu.Unlock()
	if silent {
		time.Sleep(max(timeout, 0))
		return &statement.ConnError{Sent: true, Timeout: true, Err: errTimeout}
	}
	time.Sleep(roundTrip / 2)
	if !open {
		return &statement.ConnError{Sent: true, Err: errBroken}
	}
	return nil
}

// Exec implements statement.Conn.
func (c *conn) Exec(s statement.Statement, timeout time.Duration) (statement.Reply, error) {
	deadline := time.Now().Add(timeout)
	if err := c.oneWayTrip(timeout); err != nil {
		return statement.Reply{}, err
	}
	reply, answered := c.execute(s, deadline)
	if !answered {
		time.Sleep(max(time.Until(deadline), 0))
		return statement.Reply{}, &statement.ConnError{Sent: true, Timeout: true, Err: errTimeout}
	}
	if err := c.oneWayTrip(time.Until(deadline)); err != nil {
		return statement.Reply{}, err
	}
	if c.inTx {
		reply.State = statement.InTransaction
	}
	return reply, nil
}

// execute executes a statement; answered is false if it has no reply by the deadline.
func (c *conn) execute(s statement.Statement, deadline time.Time) (reply statement.Reply, answered bool) {
	cluster, m := c.cluster, c.member
	cluster.mu.Lock()
	for _, p := range cluster.members {
		if p.primary {
			cluster.replicate(p, m)
		}
	}
	if !c.inTx {
		cluster.checkDrained(m, s, c.instance)
	}
	primary, readTime := m.primary, cluster.readTime
	_, reached := m.applied(cluster.Clock())
	if !s.After.IsZero() && !reached.AtLeast(s.After) && !cluster.ignorePositions {
		cluster.mu.Unlock()
		return statement.Reply{Err: &statement.UpstreamError{Reason: statement.Behind}, Position: reached}, true
	}
	cluster.countOtherBranch(m, s.After)
	cluster.mu.Unlock()
	readOnly := statement.Reply{Err: &statement.UpstreamError{Reason: statement.ReadOnly}, Position: reached}
	switch s.Kind {
	case statement.Begin, statement.BeginReadOnly:
		if s.Kind == statement.Begin && !primary {
			return readOnly, true
		}
		c.inTx, c.txWrites = true, nil
	case statement.Rollback:
		c.inTx, c.txWrites = false, nil
	case statement.Read:
		fault, fails := c.nextReadFault()
		time.Sleep(readTime + fault.Time)
		if fails && fault.Silent {
			return statement.Reply{}, false
		}
		if fails {
			return statement.Reply{Err: &statement.UpstreamError{Reason: fault.Reason}, Position: reached}, true
		}
		return c.read(), true
	case statement.Write:
		time.Sleep(statementTime)
		if !primary {
			return readOnly, true
		}
		if c.inTx {
			c.txWrites = append(c.txWrites, s.ID)
			break
		}
		return c.commit([]string{s.ID}, deadline)
	case statement.Commit:
		writes := c.txWrites
		c.inTx, c.txWrites = false, nil
		if len(writes) > 0 && !primary {
			return readOnly, true
		}
		return c.commit(writes, deadline)
	}
	return statement.Reply{Signature: "-", Position: reached}, true
}

// nextReadFault counts a read, and returns the member's fault and whether this read fails.
func (c *conn) nextReadFault() (fault ReadFault, fails bool) {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	m := c.member
	m.reads++
	if m.fault.Instance != "" && m.fault.Instance != c.instance {
		return ReadFault{}, false
	}
	return m.fault, m.fault.FailEvery > 0 && m.reads%m.fault.FailEvery == 0
}

// read executes a read, which returns one row with a unique number, and keeps the log
// that the read saw for CheckRead.
func (c *conn) read() statement.Reply {
	cluster := c.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.lastRow++
	row := fmt.Sprint(cluster.lastRow)
	log, reached := c.member.applied(cluster.Clock())
	cluster.readLogs[row] = log
	cluster.noteRead(row, c.member)
	return statement.Reply{Rows: []string{row}, Signature: c.member.ID, Position: reached}
}

// commit commits writes; the result is false if they have no reply by the deadline, or
// if the reply is dropped.
func (c *conn) commit(ids []string, deadline time.Time) (statement.Reply, bool) {
	reply := statement.Reply{Signature: c.member.ID}
	for _, id := range ids {
		reached, ok := c.cluster.commit(c.member, id, deadline)
		if !ok {
			return reply, false
		}
		reply.Position = reached
	}
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	if c.cluster.repliesToDrop > 0 {
		c.cluster.repliesToDrop--
		return reply, false
	}
	return reply, true
}

// ExecAll implements statement.Conn.
func (c *conn) ExecAll(all []statement.Statement, timeout time.Duration) ([]statement.Reply, error) {
	var replies []statement.Reply
	for _, s := range all {
		r, err := c.Exec(s, timeout)
		if err != nil {
			return nil, err
		}
		replies = append(replies, r)
	}
	return replies, nil
}

// Control implements statement.Conn.
func (c *conn) Control(command statement.Control, timeout time.Duration) (takeover.Status, error) {
	if err := c.oneWayTrip(timeout); err != nil {
		return takeover.Status{}, err
	}
	c.cluster.mu.Lock()
	m := c.member
	if held, ok := c.cluster.late.commands[m.ID]; ok && held.kind == command.Kind {
		incarnation := m.incarnation
		c.cluster.late.hold(func() {
			c.cluster.mu.Lock()
			defer c.cluster.mu.Unlock()
			if m.incarnation == incarnation && (held.arrived || m.conns[c]) {
				m.control(command)
			}
		})
		c.cluster.mu.Unlock()
		time.Sleep(timeout)
		return takeover.Status{}, &statement.ConnError{Sent: true, Timeout: true, Err: errTimeout}
	}
	m.control(command)
	status := m.status()
	c.cluster.mu.Unlock()
	if err := c.oneWayTrip(timeout); err != nil {
		return takeover.Status{}, err
	}
	return status, nil
}

// control executes a control command. Cluster.mu is held.
func (m *Member) control(command statement.Control) {
	switch {
	case m.down:
	case command.Kind == statement.PauseReplication && !m.primary && command.Term > m.term:
		m.pausedTerm = command.Term
	case command.Kind == statement.ResumeReplication:
		m.pausedTerm = 0
	case command.Kind == statement.StepDown && m.primary && m.term < command.Term:
		m.stepDown()
	}
}

// Alive implements statement.Conn.
func (c *conn) Alive() bool {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	return c.member.conns[c]
}

// Close implements statement.Conn.
func (c *conn) Close() {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	delete(c.member.conns, c)
}
