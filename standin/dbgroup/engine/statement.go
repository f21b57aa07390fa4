package engine

import (
	"context"
	"errors"
	"strconv"

	pg "github.com/pganalyze/pg_query_go/v6"
	"github.com/pganalyze/pg_query_go/v6/parser"
)

// StatementKind tells a session how to run a statement.
type StatementKind uint8

// Kinds of statements. Query covers all that read or write tables.
const (
	Query StatementKind = iota
	Call
	Begin
	Commit
	Rollback
	Set
	Show
	Deallocate
	Discard
)

// Function is an SQL function that is implemented outside of the engine. It is
// called as SELECT f(args) or SELECT * FROM f(args).
type Function struct {
	Args    []uint32
	MinArgs int
	Columns []Column
	// Control functions wait neither for a slot nor for the statement delay.
	Control bool
	Call    func(ctx context.Context, args []Value) ([]Row, error)
}

// Result is the outcome of a statement.
type Result struct {
	Tag  string
	Rows []Row
}

// Statement is a prepared statement.
type Statement struct {
	Kind         StatementKind
	Name         string // of the parameter, prepared statement or function
	SettingValue string // value of Set
	ParamTypes   []uint32
	Columns      []Column // nil if the statement returns no rows
	Writes       bool
	Function     *Function

	tag  string
	args []expr
	run  func(tx *Tx, params []Value) (Result, error)
}

// Run executes a Query in tx.
func (s *Statement) Run(tx *Tx, params []Value) (Result, error) { return s.run(tx, params) }

// Arguments evaluates the arguments of a Call.
func (s *Statement) Arguments(params []Value) ([]Value, error) {
	out := make([]Value, len(s.args))
	for i, a := range s.args {
		v, err := a.eval(nil, params)
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

// Tag returns the command tag of a statement that is neither Query nor Call.
func (s *Statement) Tag() string { return s.tag }

// Parsed is the parse tree of one statement.
type Parsed struct{ node *pg.Node }

// Parse splits sql into statements. The error is 42601.
func Parse(sql string) ([]Parsed, error) {
	tree, err := pg.Parse(sql)
	if err != nil {
		return nil, syntaxError(err)
	}
	var out []Parsed
	for _, s := range tree.Stmts {
		out = append(out, Parsed{s.Stmt})
	}
	return out, nil
}

func syntaxError(err error) error {
	var p *parser.Error
	if errors.As(err, &p) {
		return Errorf(SyntaxError, "%s", p.Message)
	}
	return Errorf(SyntaxError, "%v", err)
}

// EndsTransaction reports whether the statement is COMMIT or ROLLBACK, which
// are accepted in a failed transaction.
func (p Parsed) EndsTransaction() bool {
	switch p.node.GetTransactionStmt().GetKind() {
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT, pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return true
	}
	return false
}

// Prepare resolves the names in p as tx sees them. params holds the parameter
// types that are already known; 0 means unknown.
func Prepare(tx *Tx, p Parsed, params []uint32, functions map[string]*Function) (*Statement, error) {
	c := &compiler{tx: tx, functions: functions, params: append([]uint32(nil), params...)}
	s, err := c.statement(p.node)
	if err != nil {
		return nil, err
	}
	for i, oid := range c.params {
		if oid == 0 {
			return nil, Errorf(IndeterminateDatatype, "could not determine data type of parameter $%d", i+1)
		}
	}
	s.ParamTypes = c.params
	return s, nil
}

func (c *compiler) statement(n *pg.Node) (*Statement, error) {
	switch x := n.GetNode().(type) {
	case *pg.Node_SelectStmt:
		return c.selectStatement(x.SelectStmt)
	case *pg.Node_InsertStmt:
		return c.insert(x.InsertStmt)
	case *pg.Node_UpdateStmt:
		return c.update(x.UpdateStmt)
	case *pg.Node_DeleteStmt:
		return c.delete(x.DeleteStmt)
	case *pg.Node_CreateStmt:
		return c.create(x.CreateStmt)
	case *pg.Node_TransactionStmt:
		return transaction(x.TransactionStmt)
	case *pg.Node_VariableSetStmt:
		return set(x.VariableSetStmt)
	case *pg.Node_VariableShowStmt:
		name := x.VariableShowStmt.Name
		return &Statement{Kind: Show, Name: name, tag: "SHOW", Columns: []Column{{Name: name, Type: OIDText}}}, nil
	case *pg.Node_DeallocateStmt:
		if x.DeallocateStmt.Isall {
			return &Statement{Kind: Deallocate, tag: "DEALLOCATE ALL"}, nil
		}
		return &Statement{Kind: Deallocate, Name: x.DeallocateStmt.Name, tag: "DEALLOCATE"}, nil
	case *pg.Node_DiscardStmt:
		return &Statement{Kind: Discard, tag: "DISCARD ALL"}, nil
	}
	return nil, unsupported("this statement")
}

func transaction(t *pg.TransactionStmt) (*Statement, error) {
	switch t.Kind {
	case pg.TransactionStmtKind_TRANS_STMT_BEGIN:
		return &Statement{Kind: Begin, tag: "BEGIN"}, nil
	case pg.TransactionStmtKind_TRANS_STMT_START:
		return &Statement{Kind: Begin, tag: "START TRANSACTION"}, nil
	case pg.TransactionStmtKind_TRANS_STMT_COMMIT:
		return &Statement{Kind: Commit, tag: "COMMIT"}, nil
	case pg.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return &Statement{Kind: Rollback, tag: "ROLLBACK"}, nil
	}
	return nil, unsupported("this transaction statement")
}

func set(v *pg.VariableSetStmt) (*Statement, error) {
	s := &Statement{Kind: Set, Name: v.Name, tag: "SET"}
	if v.Kind == pg.VariableSetKind_VAR_RESET || v.Kind == pg.VariableSetKind_VAR_RESET_ALL {
		s.tag = "RESET"
	}
	for _, arg := range v.Args {
		k := arg.GetAConst()
		if k == nil {
			return nil, unsupported("this SET value")
		}
		s.SettingValue = constText(k)
	}
	return s, nil
}

func constText(k *pg.A_Const) string {
	switch v := k.Val.(type) {
	case *pg.A_Const_Ival:
		return strconv.Itoa(int(v.Ival.GetIval()))
	case *pg.A_Const_Fval:
		return v.Fval.GetFval()
	case *pg.A_Const_Boolval:
		return strconv.FormatBool(v.Boolval.GetBoolval())
	}
	return k.GetSval().GetSval()
}
