package engine

import (
	"fmt"
	"slices"

	pg "github.com/pganalyze/pg_query_go/v6"
)

func (c *compiler) selectStatement(s *pg.SelectStmt) (*Statement, error) {
	if err := checkSelect(s); err != nil {
		return nil, err
	}
	if len(s.FromClause) == 0 {
		return c.selectConstants(s)
	}
	if len(s.FromClause) > 1 {
		return nil, unsupported("a join")
	}
	switch from := s.FromClause[0].GetNode().(type) {
	case *pg.Node_RangeVar:
		return c.selectTable(s, from.RangeVar)
	case *pg.Node_RangeFunction:
		return c.selectFunction(s, from.RangeFunction)
	}
	return nil, unsupported("a join or subquery")
}

// checkSelect rejects unsupported clauses.
func checkSelect(s *pg.SelectStmt) error {
	switch {
	case s.Op != pg.SetOperation_SETOP_NONE:
		return unsupported("a set operation")
	case s.WithClause != nil:
		return unsupported("WITH")
	case len(s.DistinctClause) > 0:
		return unsupported("DISTINCT")
	case len(s.GroupClause) > 0 || s.HavingClause != nil:
		return unsupported("GROUP BY")
	case s.IntoClause != nil:
		return unsupported("SELECT INTO")
	case len(s.ValuesLists) > 0:
		return unsupported("a VALUES statement")
	}
	return nil
}

// outputs is the compiled target list or RETURNING list of a statement.
type outputs struct {
	columns []Column
	exprs   []expr
}

func (c *compiler) outputs(targets []*pg.Node) (outputs, error) {
	var out outputs
	for _, t := range targets {
		target := t.GetResTarget()
		if isStar(target.Val) {
			if err := c.expandStar(&out); err != nil {
				return out, err
			}
			continue
		}
		e, err := c.expr(target.Val, 0)
		if err != nil {
			return out, err
		}
		out.columns = append(out.columns, Column{Name: outputName(target), Type: e.typ})
		out.exprs = append(out.exprs, e)
	}
	return out, nil
}

// expandStar adds all columns of the current table.
func (c *compiler) expandStar(out *outputs) error {
	if c.schema == nil {
		return Errorf(SyntaxError, "SELECT * with no tables specified is not valid")
	}
	for i, col := range c.schema.Columns {
		out.columns = append(out.columns, Column{Name: col.Name, Type: col.Type})
		out.exprs = append(out.exprs, expr{col.Type, func(row Row, _ []Value) (Value, error) { return row[i], nil }})
	}
	return nil
}

func isStar(n *pg.Node) bool {
	ref := n.GetColumnRef()
	return ref != nil && ref.Fields[len(ref.Fields)-1].GetAStar() != nil
}

// outputName returns the column name that PostgreSQL gives to a target.
func outputName(t *pg.ResTarget) string {
	if t.Name != "" {
		return t.Name
	}
	if ref := t.Val.GetColumnRef(); ref != nil {
		return ref.Fields[len(ref.Fields)-1].GetString_().GetSval()
	}
	if f := t.Val.GetFuncCall(); f != nil {
		return functionName(f)
	}
	return "?column?"
}

// row evaluates the outputs on one input row.
func (o outputs) row(row Row, params []Value) (Row, error) {
	out := make(Row, len(o.exprs))
	for i, e := range o.exprs {
		v, err := e.eval(row, params)
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

func (o outputs) rows(rows []Row, params []Value) ([]Row, error) {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		projected, err := o.row(r, params)
		if err != nil {
			return nil, err
		}
		out = append(out, projected)
	}
	return out, nil
}

// selectConstants compiles SELECT without a FROM clause.
func (c *compiler) selectConstants(s *pg.SelectStmt) (*Statement, error) {
	if f := singleFunctionCall(s); f != nil {
		statement, err := c.call(f)
		if err == nil && s.TargetList[0].GetResTarget().Name != "" && len(statement.Columns) == 1 {
			statement.Columns = []Column{{Name: s.TargetList[0].GetResTarget().Name, Type: statement.Columns[0].Type}}
		}
		return statement, err
	}
	if s.WhereClause != nil || len(s.SortClause) > 0 || s.LimitCount != nil {
		return nil, unsupported("a clause without a table")
	}
	out, err := c.outputs(s.TargetList)
	if err != nil {
		return nil, err
	}
	run := func(_ *Tx, params []Value) (Result, error) {
		row, err := out.row(nil, params)
		return Result{Tag: "SELECT 1", Rows: []Row{row}}, err
	}
	return &Statement{Columns: columnsOf(out), run: run}, nil
}

// columnsOf returns the columns of a statement that returns rows. It never returns
// nil, which means that a statement returns none.
func columnsOf(o outputs) []Column { return append([]Column{}, o.columns...) }

// singleFunctionCall returns the function call if it is the only target, else nil.
func singleFunctionCall(s *pg.SelectStmt) *pg.FuncCall {
	if len(s.TargetList) != 1 {
		return nil
	}
	return s.TargetList[0].GetResTarget().GetVal().GetFuncCall()
}

func (c *compiler) selectFunction(s *pg.SelectStmt, from *pg.RangeFunction) (*Statement, error) {
	if len(s.TargetList) != 1 || !isStar(s.TargetList[0].GetResTarget().Val) || s.WhereClause != nil {
		return nil, unsupported("selecting anything but * from a function")
	}
	items := from.Functions[0].GetList().GetItems()
	if len(from.Functions) != 1 || len(items) == 0 || items[0].GetFuncCall() == nil {
		return nil, unsupported("ROWS FROM")
	}
	return c.call(items[0].GetFuncCall())
}

func (c *compiler) call(f *pg.FuncCall) (*Statement, error) {
	name := functionName(f)
	fn := c.functions[name]
	if fn == nil || len(f.Args) < fn.MinArgs || len(f.Args) > len(fn.Args) {
		return nil, Errorf(UndefinedFunction, "function %s with %d arguments does not exist", name, len(f.Args))
	}
	statement := &Statement{Kind: Call, Name: name, Columns: fn.Columns, Function: fn}
	for i, arg := range f.Args {
		e, err := c.expr(arg, fn.Args[i])
		if err != nil {
			return nil, err
		}
		statement.args = append(statement.args, castTo(e, fn.Args[i]))
	}
	return statement, nil
}

func (c *compiler) selectTable(s *pg.SelectStmt, from *pg.RangeVar) (*Statement, error) {
	find, err := c.where(from.Relname, s.WhereClause)
	if err != nil {
		return nil, err
	}
	if len(s.TargetList) == 1 && isCount(s.TargetList[0].GetResTarget().Val) {
		return selectCount(s, find)
	}
	out, err := c.outputs(s.TargetList)
	if err != nil {
		return nil, err
	}
	sorting, err := c.sorting(s.SortClause, out, s.TargetList)
	if err != nil {
		return nil, err
	}
	limitRows, err := c.limitOffset(s)
	if err != nil {
		return nil, err
	}
	locks := len(s.LockingClause) > 0
	schema := c.schema
	run := func(tx *Tx, params []Value) (Result, error) {
		rows, err := find(tx, params)
		if err != nil {
			return Result{}, err
		}
		if err := sorting.apply(rows, params); err != nil {
			return Result{}, err
		}
		if rows, err = limitRows(rows, params); err != nil {
			return Result{}, err
		}
		if locks {
			lockRows(tx, schema, rows)
		}
		rows, err = out.rows(rows, params)
		return Result{Tag: fmt.Sprintf("SELECT %d", len(rows)), Rows: rows}, err
	}
	return &Statement{Columns: columnsOf(out), Writes: locks, run: run}, nil
}

// lockRows marks rows read with FOR UPDATE as written, so that a concurrent change
// of them is a write conflict.
func lockRows(tx *Tx, s *Schema, rows []Row) {
	for _, r := range rows {
		tx.put(s, s.key(r), r)
	}
}

func selectCount(s *pg.SelectStmt, find finder) (*Statement, error) {
	if len(s.LockingClause) > 0 {
		return nil, unsupported("FOR UPDATE with an aggregate")
	}
	run := func(tx *Tx, params []Value) (Result, error) {
		rows, err := find(tx, params)
		return Result{Tag: "SELECT 1", Rows: []Row{{IntValue(len(rows))}}}, err
	}
	columns := []Column{{Name: outputName(s.TargetList[0].GetResTarget()), Type: OIDInt8}}
	return &Statement{Columns: columns, run: run}, nil
}

// finder returns the rows that a WHERE clause selects, in key order. Its user may
// modify the slice. The error is 42P01 if the table does not exist: the statement may
// have been prepared in a transaction that created it and was rolled back.
type finder func(tx *Tx, params []Value) ([]Row, error)

// where compiles a condition on a table and makes it the current table, to which
// column references resolve.
func (c *compiler) where(name string, condition *pg.Node) (finder, error) {
	schema, err := c.tx.schema(name)
	if err != nil {
		return nil, err
	}
	c.schema = schema
	if condition == nil {
		return scanner(schema, constant(BoolValue(true), OIDBool)), nil
	}
	filter, err := c.boolean(condition)
	if err != nil {
		return nil, err
	}
	key, err := c.keyLookup(condition)
	if err != nil || key == nil {
		return scanner(schema, filter), err
	}
	return lookup(schema, key, filter), nil
}

// scanner reads the whole table.
func scanner(s *Schema, filter expr) finder {
	return func(tx *Tx, params []Value) ([]Row, error) {
		if _, err := tx.schema(s.Name); err != nil {
			return nil, err
		}
		return tx.scan(s, func(row Row) (bool, error) {
			v, err := filter.eval(row, params)
			return v.IsTrue(), err
		})
	}
}

// lookup reads a single row by its primary key instead of scanning the table.
func lookup(s *Schema, key []expr, filter expr) finder {
	return func(tx *Tx, params []Value) ([]Row, error) {
		if _, err := tx.schema(s.Name); err != nil {
			return nil, err
		}
		keyRow := make(Row, len(s.Columns))
		for i, e := range key {
			v, err := e.eval(nil, params)
			if err != nil || v.Kind == Null {
				return nil, err
			}
			keyRow[s.Key[i]] = v
		}
		row := tx.get(s, s.key(keyRow))
		if row == nil {
			return nil, nil
		}
		v, err := filter.eval(row, params)
		if err != nil || !v.IsTrue() {
			return nil, err
		}
		return []Row{row}, nil
	}
}

// keyLookup returns the values of the primary key columns if the condition compares
// each of them for equality with a literal or parameter, else nil.
func (c *compiler) keyLookup(condition *pg.Node) ([]expr, error) {
	values := make([]expr, len(c.schema.Key))
	found := 0
	for _, n := range conjuncts(condition) {
		i, value := c.keyEquality(n)
		if value == nil || values[i].eval != nil {
			continue
		}
		e, err := c.expr(value, c.schema.Columns[c.schema.Key[i]].Type)
		if err != nil {
			return nil, err
		}
		if e.typ == OIDFloat8 {
			continue // a float cannot be encoded as a key
		}
		values[i] = e
		found++
	}
	if found < len(values) {
		return nil, nil
	}
	return values, nil
}

// keyEquality recognizes an equality of a key column with a literal or parameter.
// It returns the index in the key and the value, which is nil if n is anything else.
func (c *compiler) keyEquality(n *pg.Node) (int, *pg.Node) {
	x := n.GetAExpr()
	if x == nil || x.Kind != pg.A_Expr_Kind_AEXPR_OP || x.Name[0].GetString_().GetSval() != "=" {
		return 0, nil
	}
	l, r := x.Lexpr, x.Rexpr
	if r.GetColumnRef() != nil {
		l, r = r, l
	}
	if l.GetColumnRef() == nil || r.GetAConst() == nil && r.GetParamRef() == nil {
		return 0, nil
	}
	fields := l.GetColumnRef().Fields
	col := c.schema.column(fields[len(fields)-1].GetString_().GetSval())
	i := slices.Index(c.schema.Key, col)
	if i < 0 {
		return 0, nil
	}
	return i, r
}

type sortKey struct {
	expr expr
	desc bool
}

type sorting []sortKey

func (c *compiler) sorting(clause []*pg.Node, out outputs, targets []*pg.Node) (sorting, error) {
	var keys sorting
	for _, n := range clause {
		by := n.GetSortBy()
		e, err := c.sortExpr(by.Node, out, targets)
		if err != nil {
			return nil, err
		}
		keys = append(keys, sortKey{e, by.SortbyDir == pg.SortByDir_SORTBY_DESC})
	}
	return keys, nil
}

// sortExpr compiles an ORDER BY item: an ordinal or an output alias takes precedence
// over a column name.
func (c *compiler) sortExpr(n *pg.Node, out outputs, targets []*pg.Node) (expr, error) {
	if k := n.GetAConst(); k != nil {
		i := int(k.GetIval().GetIval())
		if i < 1 || i > len(out.exprs) {
			return expr{}, Errorf(UndefinedColumn, "ORDER BY position %d is not in select list", i)
		}
		return out.exprs[i-1], nil
	}
	if ref := n.GetColumnRef(); ref != nil && len(ref.Fields) == 1 {
		name := ref.Fields[0].GetString_().GetSval()
		for _, t := range targets {
			if target := t.GetResTarget(); target.Name == name {
				return c.expr(target.Val, 0)
			}
		}
	}
	return c.expr(n, 0)
}

// apply sorts rows in place. NULL sorts as the largest value, as in PostgreSQL.
func (s sorting) apply(rows []Row, params []Value) error {
	if len(s) == 0 {
		return nil
	}
	var failed error
	slices.SortStableFunc(rows, func(a, b Row) int {
		for _, k := range s {
			order, err := k.compare(a, b, params)
			if err != nil {
				failed = err
			}
			if order != 0 {
				return order
			}
		}
		return 0
	})
	return failed
}

func (k sortKey) compare(a, b Row, params []Value) (int, error) {
	x, err := k.expr.eval(a, params)
	if err != nil {
		return 0, err
	}
	y, err := k.expr.eval(b, params)
	if err != nil {
		return 0, err
	}
	order := compareNullsLast(x, y)
	if k.desc {
		return -order, nil
	}
	return order, nil
}

func compareNullsLast(x, y Value) int {
	switch {
	case x.Kind == Null && y.Kind == Null:
		return 0
	case x.Kind == Null:
		return 1
	case y.Kind == Null:
		return -1
	}
	return compare(x, y)
}

// limitOffset compiles LIMIT and OFFSET.
func (c *compiler) limitOffset(s *pg.SelectStmt) (func([]Row, []Value) ([]Row, error), error) {
	limit, err := c.rowCount(s.LimitCount)
	if err != nil {
		return nil, err
	}
	offset, err := c.rowCount(s.LimitOffset)
	if err != nil {
		return nil, err
	}
	return func(rows []Row, params []Value) ([]Row, error) {
		skip, err := offset(params, 0, len(rows))
		if err != nil {
			return nil, err
		}
		rows = rows[skip:]
		n, err := limit(params, len(rows), len(rows))
		if err != nil {
			return nil, err
		}
		return rows[:n], nil
	}, nil
}

// rowCount compiles a row count. It is clamped to maximum, and def if it is absent
// or NULL. The error is 2201W if it is negative.
func (c *compiler) rowCount(n *pg.Node) (func(params []Value, def, maximum int) (int, error), error) {
	if n == nil {
		return func(_ []Value, def, _ int) (int, error) { return def, nil }, nil
	}
	e, err := c.expr(n, OIDInt8)
	if err != nil {
		return nil, err
	}
	return func(params []Value, def, maximum int) (int, error) {
		v, err := e.eval(nil, params)
		if err != nil || v.Kind == Null {
			return def, err
		}
		if v.Int < 0 {
			return 0, Errorf("2201W", "LIMIT and OFFSET must not be negative")
		}
		return int(min(v.Int, int64(maximum))), nil
	}, nil
}
