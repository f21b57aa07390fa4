package dbgroup

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
	"github.com/papayarail/papayarail/standin/dbgroup/replication"
)

func textColumn(name string) engine.Column { return engine.Column{Name: name, Type: engine.OIDText} }

func bigintColumn(name string) engine.Column { return engine.Column{Name: name, Type: engine.OIDInt8} }

// statusColumns are the result columns of the functions that return the status of
// a member.
var statusColumns = []engine.Column{
	textColumn("member"), textColumn("role"), bigintColumn("term"), bigintColumn("last_term"), bigintColumn("last_offset"),
	textColumn("primary_member"), textColumn("confirmed"),
}

// functions returns the SQL functions that a session can call, by name.
func functions(m *Member, s *session) map[string]*engine.Function {
	all := groupFunctions(m)
	maps.Copy(all, sessionFunctions(m, s))
	return all
}

// groupFunctions returns the functions that control the replication of the group.
func groupFunctions(m *Member) map[string]*engine.Function {
	bigints := []uint32{engine.OIDInt8, engine.OIDInt8, engine.OIDInt8}
	return map[string]*engine.Function{
		"group_status": {Control: true, Columns: statusColumns, Call: m.groupStatus},
		"group_wait":   {Control: true, Columns: statusColumns, Call: m.groupWait, Args: bigints, MinArgs: 3},
		"group_barrier": {
			Control: true, Call: m.groupBarrier,
			Columns: []engine.Column{bigintColumn("term"), bigintColumn("offset")},
		},
		"group_adopt": {
			Control: true, Call: m.groupAdopt,
			Args: []uint32{engine.OIDInt8, engine.OIDText, engine.OIDText}, MinArgs: 2,
			Columns: []engine.Column{{Name: "granted", Type: engine.OIDBool}, bigintColumn("term"), bigintColumn("last_term"), bigintColumn("last_offset")},
		},
		"group_promote": {
			Control: true, Columns: statusColumns, Call: m.groupPromote,
			Args: []uint32{engine.OIDInt8, engine.OIDText}, MinArgs: 2,
		},
		"group_follow": {
			Control: true, Columns: statusColumns, Call: m.groupFollow,
			Args: []uint32{engine.OIDInt8, engine.OIDText, engine.OIDText}, MinArgs: 3,
		},
		"group_connections": {
			Control: true, Call: m.groupConnections,
			Columns: []engine.Column{{Name: "pid", Type: engine.OIDInt4}, textColumn("application_name")},
		},
	}
}

// sessionFunctions returns the supported subset of PostgreSQL's own functions.
func sessionFunctions(m *Member, s *session) map[string]*engine.Function {
	return map[string]*engine.Function{
		"pg_terminate_backend": {
			Control: true, Args: []uint32{engine.OIDInt4}, MinArgs: 1,
			Columns: []engine.Column{{Name: "pg_terminate_backend", Type: engine.OIDBool}},
			Call: func(ctx context.Context, args []engine.Value) ([]engine.Row, error) {
				return m.terminateBackend(ctx, s, uint32(args[0].Int))
			},
		},
		"pg_backend_pid": {
			Control: true, Columns: []engine.Column{{Name: "pg_backend_pid", Type: engine.OIDInt4}},
			Call: func(context.Context, []engine.Value) ([]engine.Row, error) {
				return []engine.Row{{engine.IntValue(s.pid)}}, nil
			},
		},
		"pg_is_in_recovery": {
			Control: true, Columns: []engine.Column{{Name: "pg_is_in_recovery", Type: engine.OIDBool}},
			Call: func(context.Context, []engine.Value) ([]engine.Row, error) {
				return []engine.Row{{engine.BoolValue(!m.Status().Primary)}}, nil
			},
		},
		"pg_sleep": {
			Args: []uint32{engine.OIDFloat8}, MinArgs: 1,
			Columns: []engine.Column{{Name: "pg_sleep", Type: engine.OIDVoid}},
			Call: func(ctx context.Context, args []engine.Value) ([]engine.Row, error) {
				d := time.Duration(args[0].Float * float64(time.Second))
				return []engine.Row{{engine.TextValue("")}}, sleep(ctx, d)
			},
		},
	}
}

// groupStatus returns the confirmed offsets as JSON; they are empty on a replica.
func (m *Member) groupStatus(context.Context, []engine.Value) ([]engine.Row, error) {
	s := m.Status()
	role := "replica"
	if s.Primary {
		role = "primary"
	}
	confirmed := "{}"
	if s.Primary {
		b, err := json.Marshal(s.Confirmed)
		if err != nil {
			return nil, err
		}
		confirmed = string(b)
	}
	return []engine.Row{{
		engine.TextValue(s.Member), engine.TextValue(role), engine.IntValue(s.Term),
		engine.IntValue(s.Last.Term), engine.IntValue(s.Last.Offset),
		engine.TextValue(s.Following), engine.TextValue(confirmed),
	}}, nil
}

// groupWait waits for a position (term, offset) for at most args[2] milliseconds
// and returns the status, whether or not the position was reached.
func (m *Member) groupWait(ctx context.Context, args []engine.Value) ([]engine.Row, error) {
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(args[2].Int)*time.Millisecond)
	defer cancel()
	m.node.AwaitPosition(waitCtx, position.Position{Term: uint64(args[0].Int), Offset: uint64(args[1].Int)})
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return m.groupStatus(ctx, nil)
}

func (m *Member) groupBarrier(context.Context, []engine.Value) ([]engine.Row, error) {
	p, err := m.node.Barrier()
	if err != nil {
		return nil, err
	}
	return []engine.Row{{engine.IntValue(p.Term), engine.IntValue(p.Offset)}}, nil
}

func (m *Member) groupAdopt(_ context.Context, args []engine.Value) ([]engine.Row, error) {
	g := m.node.Adopt(uint64(args[0].Int), args[1].Text)
	return []engine.Row{{
		engine.BoolValue(g.Granted), engine.IntValue(g.Term),
		engine.IntValue(g.Last.Term), engine.IntValue(g.Last.Offset),
	}}, nil
}

func (m *Member) groupPromote(ctx context.Context, args []engine.Value) ([]engine.Row, error) {
	if err := m.node.Promote(uint64(args[0].Int), args[1].Text); err != nil {
		return nil, err
	}
	return m.groupStatus(ctx, nil)
}

// groupFollow makes the member a replica of args[1]. If args[2], the address of
// the primary, is empty, the configured address is used.
func (m *Member) groupFollow(ctx context.Context, args []engine.Value) ([]engine.Row, error) {
	primary := replication.Peer{Name: args[1].Text, Address: args[2].Text}
	if primary.Address == "" {
		i := slices.IndexFunc(m.config.Members, func(p PeerConfig) bool { return p.Name == primary.Name })
		if i < 0 {
			return nil, engine.Errorf(engine.ObjectNotInPrerequisiteState, "member %q is not configured", primary.Name)
		}
		primary.Address = m.config.Members[i].Address
	}
	if err := m.node.Follow(uint64(args[0].Int), primary); err != nil {
		return nil, err
	}
	return m.groupStatus(ctx, nil)
}

func (m *Member) groupConnections(context.Context, []engine.Value) ([]engine.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []engine.Row
	for _, pid := range slices.Sorted(maps.Keys(m.sessions)) {
		rows = append(rows, engine.Row{engine.IntValue(pid), engine.TextValue(m.sessions[pid].applicationName)})
	}
	return rows, nil
}

// terminateBackend ends the session pid and waits until it is rolled back. It
// does not wait if that is the current session.
func (m *Member) terminateBackend(ctx context.Context, current *session, pid uint32) ([]engine.Row, error) {
	s := m.session(pid)
	if s == nil {
		return []engine.Row{{engine.BoolValue(false)}}, nil
	}
	if s == current {
		s.cancel(errTerminated)
		return nil, errTerminated
	}
	s.terminate(ctx)
	return []engine.Row{{engine.BoolValue(true)}}, nil
}
