package upstream

import (
	"maps"
	"time"

	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
)

// StatusReply is a member's status and the local time before it was asked.
type StatusReply struct {
	takeover.Status
	SentAt time.Duration
}

// Prepared is a statement that a session has prepared. Connections are shared
// by sessions whose names collide, so the upstream knows it under a name
// derived from its definition.
type Prepared struct {
	UpstreamName string
	Writes       bool
	Shape        string
}

func sameValues(a, b map[string]string) bool { return maps.Equal(a, b) }

// within reports whether all of a is set to the same in b.
func within(a, b map[string]string) bool {
	for name, value := range a {
		if other, ok := b[name]; !ok || other != value {
			return false
		}
	}
	return true
}

// SyncSession sets the session's values and prepares the statement, if one is given,
// before a statement of the session runs on c. In a transaction, values are
// only added. An error means that c must be discarded.
func (c *Conn) SyncSession(values map[string]string, p *Prepared, inTransaction bool, timeout time.Duration) error {
	steps := c.steps(values, p, inTransaction)
	if len(steps) == 0 {
		return nil
	}
	replies, err := c.ExecAll(steps, timeout)
	if err != nil {
		return err
	}
	for _, r := range replies {
		if r.Err != nil {
			return r.Err
		}
	}
	c.values = maps.Clone(values)
	if p != nil {
		c.prepared[p.UpstreamName] = true
	}
	return nil
}

func (c *Conn) steps(values map[string]string, p *Prepared, inTransaction bool) []statement.Statement {
	var steps []statement.Statement
	if !inTransaction && !subset(c.values, values) {
		steps = append(steps, statement.Statement{Kind: statement.Reset})
		c.values = nil
		clear(c.prepared)
	}
	for name, value := range values {
		if old, ok := c.values[name]; !ok || old != value {
			steps = append(steps, statement.Statement{Kind: statement.SetValue, Name: name, Operands: value})
		}
	}
	if p != nil && !c.prepared[p.UpstreamName] {
		steps = append(steps, statement.Statement{Kind: statement.Prepare, Name: p.UpstreamName, Writes: p.Writes, Operands: p.Shape})
	}
	return steps
}

// subset reports whether every name of a is also in b. Only a name that the
// session has not set needs a reset: others are overwritten.
func subset(a, b map[string]string) bool {
	for name := range a {
		if _, ok := b[name]; !ok {
			return false
		}
	}
	return true
}
