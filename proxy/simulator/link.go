package simulator

import (
	"errors"
	"fmt"
	"time"

	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
)

type dialer struct {
	w        *Cluster
	instance string
}

var errSilent, errBroken = errors.New("silent"), errors.New("broken")

// Dial implements statement.Dialer.
func (d dialer) Dial(t statement.Target, timeout time.Duration) (statement.Conn, error) {
	w := d.w
	w.mu.Lock()
	m := w.member(t.ID)
	if m == nil {
		w.mu.Unlock()
		time.Sleep(roundTrip)
		return nil, &statement.UpstreamError{Reason: statement.WrongMember}
	}
	silent := w.cut(d.instance, t.ID) || m.down && m.dark
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
	l := &link{w: w, m: m, instance: d.instance}
	w.mu.Lock()
	m.links[l] = true
	w.mu.Unlock()
	return l, nil
}

type link struct {
	w        *Cluster
	m        *Member
	instance string
	tx       []string // writes of the open transaction
	inTx     bool
}

// reach waits a one-way trip. It returns an error if nothing comes through.
func (l *link) reach(timeout time.Duration) error {
	l.w.mu.Lock()
	silent := l.w.cut(l.instance, l.m.ID) || l.m.down && l.m.dark
	open := l.m.links[l]
	l.w.mu.Unlock()
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
func (l *link) Exec(s statement.Statement, timeout time.Duration) (statement.Reply, error) {
	deadline := time.Now().Add(timeout)
	if err := l.reach(timeout); err != nil {
		return statement.Reply{}, err
	}
	reply, answered := l.run(s, deadline)
	if !answered {
		time.Sleep(max(time.Until(deadline), 0))
		return statement.Reply{}, &statement.ConnError{Sent: true, Timeout: true, Err: errSilent}
	}
	if err := l.reach(time.Until(deadline)); err != nil {
		return statement.Reply{}, err
	}
	if l.inTx {
		reply.State = statement.InTransaction
	}
	return reply, nil
}

// run executes a statement; answered is false if it waits past the deadline.
func (l *link) run(s statement.Statement, deadline time.Time) (reply statement.Reply, answered bool) {
	w, m := l.w, l.m
	w.mu.Lock()
	for _, r := range w.members {
		if r.primary {
			w.ship(r, m)
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
		time.Sleep(workTime)
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

func (l *link) read() statement.Reply {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.row++
	row := fmt.Sprint(w.row)
	log, at := l.m.applied(w.Clock())
	w.reads[row] = log
	return statement.Reply{Rows: []string{row}, Signature: l.m.ID, Position: at}
}

func (l *link) commit(ids []string, deadline time.Time) (statement.Reply, bool) {
	reply := statement.Reply{Signature: l.m.ID}
	for _, id := range ids {
		at, ok := l.w.commit(l.m, id, deadline)
		if !ok {
			return reply, false
		}
		reply.Position = at
	}
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if l.w.loseReplies > 0 {
		l.w.loseReplies--
		return reply, false
	}
	return reply, true
}

// ExecAll implements statement.Conn.
func (l *link) ExecAll(all []statement.Statement, timeout time.Duration) ([]statement.Reply, error) {
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
func (l *link) Control(c statement.Control, timeout time.Duration) (takeover.Status, error) {
	if err := l.reach(timeout); err != nil {
		return takeover.Status{}, err
	}
	l.w.mu.Lock()
	m := l.m
	switch {
	case c.Kind == statement.PauseReplication && !m.primary && c.Term > m.term:
		m.held = c.Term
	case c.Kind == statement.ResumeReplication:
		m.held = 0
	case c.Kind == statement.StepDown && m.primary && m.term < c.Term:
		m.giveUp()
	}
	status := m.status()
	l.w.mu.Unlock()
	if err := l.reach(timeout); err != nil {
		return takeover.Status{}, err
	}
	return status, nil
}

// Alive implements statement.Conn.
func (l *link) Alive() bool {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.m.links[l]
}

// Close implements statement.Conn.
func (l *link) Close() {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	delete(l.m.links, l)
}
