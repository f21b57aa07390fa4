package classify

import (
	"strconv"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// cursorWithHold is CURSOR_OPT_HOLD of the PostgreSQL parser.
const cursorWithHold = 0x0020

func sessionState(command string) Info {
	return Info{Class: SessionState, Command: command, StatementCount: 1}
}

func transactionState(command string) Info {
	return Info{Class: SessionState, Command: command, TransactionScoped: true, StatementCount: 1}
}

func plain(c Class) Info { return Info{Class: c, StatementCount: 1} }

// statement classifies one statement.
func statement(n *pgquery.Node) Info {
	switch s := n.GetNode().(type) {
	case *pgquery.Node_TransactionStmt:
		return transaction(s.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return set(s.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return Info{Class: Show, Name: strings.ToLower(s.VariableShowStmt.Name), StatementCount: 1}
	case *pgquery.Node_ConstraintsSetStmt:
		return plain(SetLocal)
	case *pgquery.Node_ExplainStmt:
		return explain(s.ExplainStmt)
	case *pgquery.Node_DeclareCursorStmt:
		return cursor(s.DeclareCursorStmt)
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
		return body(n)
	}
}

func transaction(s *pgquery.TransactionStmt) Info {
	switch s.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		if readOnly(s.Options) {
			return plain(BeginReadOnly)
		}
		return plain(Begin)
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return plain(Commit)
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return plain(Rollback)
	case pgquery.TransactionStmtKind_TRANS_STMT_SAVEPOINT, pgquery.TransactionStmtKind_TRANS_STMT_RELEASE,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return plain(Savepoint)
	default:
		return sessionState("two-phase commit")
	}
}

// readOnly reports the last READ ONLY or READ WRITE of a BEGIN.
func readOnly(options []*pgquery.Node) bool {
	only := false
	for _, o := range options {
		if d := o.GetDefElem(); d.GetDefname() == "transaction_read_only" {
			only = d.GetArg().GetAConst().GetIval().GetIval() != 0
		}
	}
	return only
}

// lexicalSettings change how the server reads later SQL text, so that it could
// differ from how this package reads it.
var lexicalSettings = map[string]bool{"standard_conforming_strings": true, "client_encoding": true, "backslash_quote": true}

func set(s *pgquery.VariableSetStmt) Info {
	info := Info{Class: Set, Name: strings.ToLower(s.Name), StatementCount: 1}
	switch s.Kind {
	case pgquery.VariableSetKind_VAR_SET_VALUE:
		info.Value = values(s.Args)
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

// values joins the values of a SET the way SHOW prints lists.
func values(args []*pgquery.Node) string {
	texts := make([]string, 0, len(args))
	for _, a := range args {
		texts = append(texts, constant(a.GetAConst()))
	}
	return strings.Join(texts, ", ")
}

func constant(c *pgquery.A_Const) string {
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

// explain classifies the explained statement if it may be executed.
func explain(s *pgquery.ExplainStmt) Info {
	for _, o := range s.Options {
		if o.GetDefElem().GetDefname() == "analyze" {
			return statement(s.Query)
		}
	}
	return plain(Read)
}

func cursor(s *pgquery.DeclareCursorStmt) Info {
	if s.Options&cursorWithHold != 0 {
		return sessionState("DECLARE CURSOR WITH HOLD")
	}
	info := body(s.Query)
	if info.Class == SessionState && !info.TransactionScoped {
		return info
	}
	return transactionState("DECLARE CURSOR")
}

// body classifies queries and everything that no special rule covers.
func body(n *pgquery.Node) Info {
	f := findings{}
	f.visit(n.ProtoReflect())
	if f.command != "" {
		return Info{Class: SessionState, Command: f.command, TransactionScoped: f.transactionScoped, StatementCount: 1}
	}
	if n.GetSelectStmt() != nil && !f.writes {
		return plain(Read)
	}
	return plain(Write)
}
