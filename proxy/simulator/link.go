package simulator

import (
	"errors"
	"fmt"
	"time"

	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
)

type dialer struct {
	cluster  *Cluster
	instance string
}

var errSilent, errBroken = errors.New("silent"), errors.New("broken")

// Dial implements statement.Dialer.
func (d dialer) Dial(t statement.Target, timeout time.Duration) (statement.Conn, error) {
	w := d.cluster
	w.mu.Lock()
	m := w.member(t.ID)
	if m == nil {
		w.mu.Unlock()
		time.Sleep(roundTrip)
		return nil, &statement.UpstreamError{Reason: statement.WrongMember}
	}
	silent := w.partitioned(d.instance, t.ID) || m.down && m.silent
	down := m.down
	w.mu.Unlock()
	switch {
	case silent:
		time.Sleep(timeout)
		return nil, &statement.ConnError{Timeout: true, Err: errSilent}
	case down:
		time.Sleep(roundTrip)
		return nil, &statement.ConnError{Refused: true, Err: errBroken}
	}
	time.Sleep(roundTrip)
	l := &conn{cluster: w, m: m, instance: d.instance}
	w.mu.Lock()
	m.conns[l] = true
	w.mu.Unlock()
	return l, nil
}

type conn struct {
	cluster  *Cluster
	m        *Member
	instance string
	tx       []string // writes of the open transaction
	inTx     bool
}

// reach waits a one-way trip. It returns an error if nothing comes through.
func (l *conn) oneWayTrip(timeout time.Duration) error {
	l.cluster.mu.Lock()
	silent := l.cluster.partitioned(l.instance, l.m.ID) || l.m.down && l.m.silent
	open := l.m.conns[l]
	l.cluster.mu.Unlock()
	if silent {
		time.Sleep(max(timeout, 0))
		return &statement.ConnError{Sent: true, Timeout: true, Err: errSilent}
	}
	time.Sleep(roundTrip / 2)
	if !open {
		return &statement.ConnError{Sent: true, Err: errBroken}
	}
	return nil
}

// Exec implements statement.Conn.
func (l *conn) Exec(s statement.Statement, timeout time.Duration) (statement.Reply, error) {
	deadline := time.Now().Add(timeout)
	if err := l.oneWayTrip(timeout); err != nil {
		return statement.Reply{}, err
	}
	reply, answered := l.execute(s, deadline)
	if !answered {
		time.Sleep(max(time.Until(deadline), 0))
		return statement.Reply{}, &statement.ConnError{Sent: true, Timeout: true, Err: errSilent}
	}
	if err := l.oneWayTrip(time.Until(deadline)); err != nil {
		return statement.Reply{}, err
	}
	if l.inTx {
		reply.State = statement.InTransaction
	}
	return reply, nil
}

// run executes a statement; answered is false if it waits past the deadline.
func (l *conn) execute(s statement.Statement, deadline time.Time) (reply statement.Reply, answered bool) {
	w, m := l.cluster, l.m
	w.mu.Lock()
	for _, r := range w.members {
		if r.primary {
			w.replicate(r, m)
		}
	}
	primary, readTime := m.primary, w.readTime
	_, at := m.applied(w.Clock())
	if !s.After.IsZero() && !at.AtLeast(s.After) && !w.ignorePositions {
		w.mu.Unlock()
		return statement.Reply{Err: &statement.UpstreamError{Reason: statement.Behind}, Position: at}, true
	}
	w.mu.Unlock()
	readOnly := statement.Reply{Err: &statement.UpstreamError{Reason: statement.ReadOnly}, Position: at}
	switch s.Kind {
	case statement.Begin, statement.BeginReadOnly:
		if s.Kind == statement.Begin && !primary {
			return readOnly, true
		}
		l.inTx, l.tx = true, nil
	case statement.Rollback:
		l.inTx, l.tx = false, nil
	case statement.Read:
		time.Sleep(readTime)
		return l.read(), true
	case statement.Write:
		time.Sleep(statementTime)
		if !primary {
			return readOnly, true
		}
		if l.inTx {
			l.tx = append(l.tx, s.ID)
			break
		}
		return l.commit([]string{s.ID}, deadline)
	case statement.Commit:
		writes := l.tx
		l.inTx, l.tx = false, nil
		if len(writes) > 0 && !primary {
			return readOnly, true
		}
		return l.commit(writes, deadline)
	}
	return statement.Reply{Signature: "-", Position: at}, true
}

func (l *conn) read() statement.Reply {
	w := l.cluster
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRow++
	row := fmt.Sprint(w.lastRow)
	log, at := l.m.applied(w.Clock())
	w.readLogs[row] = log
	return statement.Reply{Rows: []string{row}, Signature: l.m.ID, Position: at}
}

func (l *conn) commit(ids []string, deadline time.Time) (statement.Reply, bool) {
	reply := statement.Reply{Signature: l.m.ID}
	for _, id := range ids {
		at, ok := l.cluster.commit(l.m, id, deadline)
		if !ok {
			return reply, false
		}
		reply.Position = at
	}
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.cluster.repliesToDrop > 0 {
		l.cluster.repliesToDrop--
		return reply, false
	}
	return reply, true
}

// ExecAll implements statement.Conn.
func (l *conn) ExecAll(all []statement.Statement, timeout time.Duration) ([]statement.Reply, error) {
	var replies []statement.Reply
	for _, s := range all {
		r, err := l.Exec(s, timeout)
		if err != nil {
			return nil, err
		}
		replies = append(replies, r)
	}
	return replies, nil
}

// Control implements statement.Conn.
func (l *conn) Control(c statement.Control, timeout time.Duration) (takeover.Status, error) {
	if err := l.oneWayTrip(timeout); err != nil {
		return takeover.Status{}, err
	}
	l.cluster.mu.Lock()
	m := l.m
	switch {
	case c.Kind == statement.PauseReplication && !m.primary && c.Term > m.term:
		m.held = c.Term
	case c.Kind == statement.ResumeReplication:
		m.held = 0
	case c.Kind == statement.StepDown && m.primary && m.term < c.Term:
		m.stepDown()
	}
	status := m.status()
	l.cluster.mu.Unlock()
	if err := l.oneWayTrip(timeout); err != nil {
		return takeover.Status{}, err
	}
	return status, nil
}

// Alive implements statement.Conn.
func (l *conn) Alive() bool {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	return l.m.conns[l]
}

// Close implements statement.Conn.
func (l *conn) Close() {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	delete(l.m.conns, l)
}
