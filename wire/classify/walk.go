package classify

import (
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// findings collects the effects that the nodes of a syntax tree imply.
type findings struct {
	writes            bool
	command           string // command or function that leaves state in the session, or ""
	transactionScoped bool   // that state ends with the transaction
}

// visit inspects all nodes of the tree, because function calls and data-modifying
// statements can be nested in any clause.
func (f *findings) visit(m protoreflect.Message) {
	f.inspect(m.Interface())
	m.Range(func(d protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case d.Message() == nil:
		case d.IsList():
			list := v.List()
			for i := range list.Len() {
				f.visit(list.Get(i).Message())
			}
		default:
			f.visit(v.Message())
		}
		return true
	})
}

func (f *findings) inspect(m any) {
	switch n := m.(type) {
	case *pgquery.FuncCall:
		f.addCall(n)
	case *pgquery.LockingClause, *pgquery.InsertStmt, *pgquery.UpdateStmt, *pgquery.DeleteStmt, *pgquery.MergeStmt:
		f.writes = true
	case *pgquery.IntoClause:
		f.writes = true
		f.addRelation(n.Rel, n.OnCommit)
	case *pgquery.CreateStmt:
		f.addRelation(n.Relation, n.Oncommit)
	case *pgquery.CreateSeqStmt:
		f.addRelation(n.Sequence, pgquery.OnCommitAction_ONCOMMIT_NOOP)
	case *pgquery.ViewStmt:
		f.addRelation(n.View, pgquery.OnCommitAction_ONCOMMIT_NOOP)
	}
}

// addRelation records session state if a new relation is in the temporary schema
// of the session.
func (f *findings) addRelation(r *pgquery.RangeVar, onCommit pgquery.OnCommitAction) {
	if r.GetRelpersistence() != "t" && r.GetSchemaname() != "pg_temp" {
		return
	}
	f.addSessionState("temporary table", onCommit == pgquery.OnCommitAction_ONCOMMIT_DROP)
}

// addSessionState records session state. State that outlives the transaction takes
// precedence.
func (f *findings) addSessionState(command string, transactionScoped bool) {
	if f.command != "" && !f.transactionScoped {
		return
	}
	f.command = command
	f.transactionScoped = transactionScoped
}

func (f *findings) addCall(c *pgquery.FuncCall) {
	name, builtin := functionName(c.Funcname)
	switch {
	case isControlFunction(c.Funcname):
		f.addSessionState(controlFunctionCommand, false)
	case !builtin:
		f.writes = true
	case sideEffectFree[name]:
	case name == "currval" || name == "lastval":
		// They return the value of an earlier nextval in the same upstream session, which
		// a caller keeps only until its transaction ends.
		f.addSessionState(name, true)
	case name == "set_config":
		f.addSessionState(name, len(c.Args) == 3 && c.Args[2].GetAConst().GetBoolval().GetBoolval())
	case isSessionLock(name):
		f.addSessionState(name, false)
	default:
		f.writes = true
	}
}

// functionName returns the name without its schema. builtin is false for a schema
// other than pg_catalog, whose functions may have any effect.
func functionName(parts []*pgquery.Node) (name string, builtin bool) {
	switch len(parts) {
	case 1:
		return parts[0].GetString_().GetSval(), true
	case 2:
		return parts[1].GetString_().GetSval(), parts[0].GetString_().GetSval() == "pg_catalog"
	default:
		return "", false
	}
}

// controlFunctionCommand names the functions with which the proxy controls the
// members of a database group. Callers must not run them: they could promote a
// member.
const controlFunctionCommand = "a group control function"

// isControlFunction reports control functions, in whatever schema they are called.
func isControlFunction(parts []*pgquery.Node) bool {
	name := parts[len(parts)-1].GetString_().GetSval()
	return strings.HasPrefix(name, "group_") || name == "pg_terminate_backend" || name == "pg_cancel_backend"
}

// isSessionLock reports the advisory lock functions whose locks are held until the
// session ends; the transaction-level ones have "xact" in their name.
func isSessionLock(name string) bool {
	lock := strings.HasPrefix(name, "pg_advisory_") || strings.HasPrefix(name, "pg_try_advisory_")
	return lock && !strings.Contains(name, "_xact_")
}
