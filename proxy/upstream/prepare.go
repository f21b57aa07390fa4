package upstream

import (
	"maps"
	"time"

	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/statement"
)

// StatusReply is a member's status, the local time before the query was sent, and a local
// time since which the process that answered has run.
type StatusReply struct {
	takeover.Status
	SentAt, RunsSince time.Duration
}

// Prepared is a prepared statement of a session. Sessions share connections and may use
// the same name for different statements, so the statement is prepared at the upstream
// under a name derived from its definition.
type Prepared struct {
	UpstreamName string
	Writes       bool   `json:",omitzero"`
	Shape        string // the definition, as received from the caller
}

func sameValues(a, b map[string]string) bool { return maps.Equal(a, b) }

// isSubset reports whether b has all names of a with the same values.
func isSubset(a, b map[string]string) bool {
	for name, value := range a {
		if other, ok := b[name]; !ok || other != value {
			return false
		}
	}
	return true
}

// SyncSession sets the session's values on c, and prepares the statement if one is
// given, before a statement of the session runs. In a transaction it sends
// no Reset, as the session only adds or changes values there. After an error, c must be
// discarded.
func (c *Conn) SyncSession(values map[string]string, p *Prepared, inTransaction bool, timeout time.Duration) error {
	steps := c.syncStatements(values, p, inTransaction)
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

// syncStatements returns the statements that bring c to the session's state.
func (c *Conn) syncStatements(values map[string]string, p *Prepared, inTransaction bool) []statement.Statement {
	var steps []statement.Statement
	if !inTransaction && !namesWithin(c.values, values) {
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

// namesWithin reports whether b has every name of a. Only names that the session has
// not set require a reset; others are overwritten.
func namesWithin(a, b map[string]string) bool {
	for name := range a {
		if _, ok := b[name]; !ok {
			return false
		}
	}
	return true
}
