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

func text(name string) engine.Column { return engine.Column{Name: name, Type: engine.OIDText} }

func bigint(name string) engine.Column { return engine.Column{Name: name, Type: engine.OIDInt8} }

var statusColumns = []engine.Column{
	text("member"), text("role"), bigint("term"), bigint("last_term"), bigint("last_offset"),
	text("primary_member"), text("confirmed"),
}

// functions returns the SQL functions of a session.
func functions(m *Member, s *session) map[string]*engine.Function {
	all := groupFunctions(m)
	maps.Copy(all, sessionFunctions(m, s))
	return all
}

func groupFunctions(m *Member) map[string]*engine.Function {
	bigints := []uint32{engine.OIDInt8, engine.OIDInt8, engine.OIDInt8}
	return map[string]*engine.Function{
		"group_status": {Control: true, Columns: statusColumns, Call: m.groupStatus},
		"group_wait":   {Control: true, Columns: statusColumns, Call: m.groupWait, Args: bigints, MinArgs: 3},
		"group_barrier": {
			Control: true, Call: m.groupBarrier,
			Columns: []engine.Column{bigint("term"), bigint("offset")},
		},
		"group_adopt": {
			Control: true, Call: m.groupAdopt,
			Args: []uint32{engine.OIDInt8, engine.OIDText, engine.OIDText}, MinArgs: 2,
			Columns: []engine.Column{{Name: "granted", Type: engine.OIDBool}, bigint("term"), bigint("last_term"), bigint("last_offset")},
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
			Columns: []engine.Column{{Name: "pid", Type: engine.OIDInt4}, text("application_name")},
		},
	}
}

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

func (m *Member) groupWait(ctx context.Context, args []engine.Value) ([]engine.Row, error) {
	limited, cancel := context.WithTimeout(ctx, time.Duration(args[2].Int)*time.Millisecond)
	defer cancel()
	m.node.AwaitPosition(limited, position.Position{Term: uint64(args[0].Int), Offset: uint64(args[1].Int)})
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

// groupFollow takes the configured address of the primary if none is given.
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
		rows = append(rows, engine.Row{engine.IntValue(pid), engine.TextValue(m.sessions[pid].application)})
	}
	return rows, nil
}

func (m *Member) terminateBackend(ctx context.Context, caller *session, pid uint32) ([]engine.Row, error) {
	s := m.session(pid)
	if s == nil {
		return []engine.Row{{engine.BoolValue(false)}}, nil
	}
	if s == caller {
		s.cancel(errTerminated)
		return nil, errTerminated
	}
	s.terminate(ctx)
	return []engine.Row{{engine.BoolValue(true)}}, nil
}
