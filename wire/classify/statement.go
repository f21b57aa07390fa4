package classify

import (
	"strconv"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// cursorWithHold is the flag CURSOR_OPT_HOLD of the PostgreSQL parser.
const cursorWithHold = 0x0020

func sessionState(command string) Info {
	return Info{Class: SessionState, Command: command, StatementCount: 1}
}

func transactionState(command string) Info {
	return Info{Class: SessionState, Command: command, TransactionScoped: true, StatementCount: 1}
}

func infoOf(c Class) Info { return Info{Class: c, StatementCount: 1} }

// classifyStatement classifies one statement.
func classifyStatement(n *pgquery.Node) Info {
	switch s := n.GetNode().(type) {
	case *pgquery.Node_TransactionStmt:
		return classifyTransaction(s.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return classifySet(s.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return Info{Class: Show, Name: strings.ToLower(s.VariableShowStmt.Name), StatementCount: 1}
	case *pgquery.Node_ConstraintsSetStmt:
		return infoOf(SetLocal)
	case *pgquery.Node_ExplainStmt:
		return classifyExplain(s.ExplainStmt)
	case *pgquery.Node_DeclareCursorStmt:
		return classifyCursor(s.DeclareCursorStmt)
	case *pgquery.Node_FetchStmt:
		return transactionState("FETCH")
	case *pgquery.Node_ClosePortalStmt:
		return transactionState("CLOSE")
	case *pgquery.Node_ListenStmt:
		return sessionState("LISTEN")
	case *pgquery.Node_UnlistenStmt:
		return sessionState("UNLISTEN")
	case *pgquery.Node_PrepareStmt:
		return sessionState("PREPARE")
	case *pgquery.Node_ExecuteStmt:
		return sessionState("EXECUTE")
	case *pgquery.Node_DeallocateStmt:
		return sessionState("DEALLOCATE")
	case *pgquery.Node_CopyStmt:
		return sessionState("COPY")
	case *pgquery.Node_DiscardStmt:
		return sessionState("DISCARD")
	case *pgquery.Node_LoadStmt:
		return sessionState("LOAD")
	default:
		return classifyTree(n)
	}
}

func classifyTransaction(s *pgquery.TransactionStmt) Info {
	switch s.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		if readOnly(s.Options) {
			return infoOf(BeginReadOnly)
		}
		return infoOf(Begin)
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return infoOf(Commit)
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return infoOf(Rollback)
	case pgquery.TransactionStmtKind_TRANS_STMT_SAVEPOINT, pgquery.TransactionStmtKind_TRANS_STMT_RELEASE,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return infoOf(Savepoint)
	default:
		return sessionState("two-phase commit")
	}
}

// readOnly reports whether the last access mode of a BEGIN is READ ONLY.
func readOnly(options []*pgquery.Node) bool {
	only := false
	for _, o := range options {
		if d := o.GetDefElem(); d.GetDefname() == "transaction_read_only" {
			only = d.GetArg().GetAConst().GetIval().GetIval() != 0
		}
	}
	return only
}

// lexicalSettings are parameters that change how the server parses later SQL. The
// server could then execute something else than this package has classified, also
// after SET LOCAL.
var lexicalSettings = map[string]bool{"standard_conforming_strings": true, "client_encoding": true, "backslash_quote": true}

func classifySet(s *pgquery.VariableSetStmt) Info {
	info := Info{Class: Set, Name: strings.ToLower(s.Name), StatementCount: 1}
	switch s.Kind {
	case pgquery.VariableSetKind_VAR_SET_VALUE:
		info.Value = joinValues(s.Args)
	case pgquery.VariableSetKind_VAR_SET_DEFAULT, pgquery.VariableSetKind_VAR_RESET:
		info.Reset = true
	case pgquery.VariableSetKind_VAR_RESET_ALL:
		info.Reset = true
		info.Name = "all"
	}
	switch {
	case strings.HasPrefix(info.Name, ParameterPrefix) && !s.IsLocal:
		return info
	case info.Name == "transaction", s.IsLocal && !lexicalSettings[info.Name]:
		info.Class = SetLocal
		return info
	case info.Reset:
		info.Command = "RESET " + info.Name
	default:
		info.Command = "SET " + info.Name
	}
	info.Class = SessionState
	return info
}

// joinValues joins the values of a SET in the format in which SHOW prints lists.
func joinValues(args []*pgquery.Node) string {
	texts := make([]string, 0, len(args))
	for _, a := range args {
		texts = append(texts, constantText(a.GetAConst()))
	}
	return strings.Join(texts, ", ")
}

func constantText(c *pgquery.A_Const) string {
	switch v := c.GetVal().(type) {
	case *pgquery.A_Const_Sval:
		return v.Sval.GetSval()
	case *pgquery.A_Const_Ival:
		return strconv.Itoa(int(v.Ival.GetIval()))
	case *pgquery.A_Const_Fval:
		return v.Fval.GetFval()
	case *pgquery.A_Const_Boolval:
		return strconv.FormatBool(v.Boolval.GetBoolval())
	default:
		return ""
	}
}

// classifyExplain classifies EXPLAIN ANALYZE like the explained statement, which it
// executes. Other EXPLAIN statements are Read.
func classifyExplain(s *pgquery.ExplainStmt) Info {
	for _, o := range s.Options {
		if o.GetDefElem().GetDefname() == "analyze" {
			return classifyStatement(s.Query)
		}
	}
	return infoOf(Read)
}

func classifyCursor(s *pgquery.DeclareCursorStmt) Info {
	if s.Options&cursorWithHold != 0 {
		return sessionState("DECLARE CURSOR WITH HOLD")
	}
	info := classifyTree(s.Query)
	if info.Class == SessionState && !info.TransactionScoped {
		return info
	}
	return transactionState("DECLARE CURSOR")
}

// classifyTree classifies a statement by all nodes of its syntax tree. It applies
// to queries and to all statements without a specific rule.
func classifyTree(n *pgquery.Node) Info {
	f := findings{}
	f.visit(n.ProtoReflect())
	if f.command != "" {
		return Info{Class: SessionState, Command: f.command, TransactionScoped: f.transactionScoped, StatementCount: 1}
	}
	if n.GetSelectStmt() != nil && !f.writes {
		return infoOf(Read)
	}
	return infoOf(Write)
}
