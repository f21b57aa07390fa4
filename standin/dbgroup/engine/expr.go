package engine

import (
	"slices"
	"strconv"
	"strings"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// expr is a compiled expression of type typ.
type expr struct {
	typ  uint32
	eval func(row Row, params []Value) (Value, error)
}

func constant(v Value, typ uint32) expr {
	return expr{typ, func(Row, []Value) (Value, error) { return v, nil }}
}

// compiler turns parse trees into expressions and infers parameter types.
type compiler struct {
	tx        *Tx
	functions map[string]*Function
	schema    *Schema
	params    []uint32
}

// expr compiles n. An untyped literal or parameter takes the type hint, or
// text if hint is 0.
func (c *compiler) expr(n *pg.Node, hint uint32) (expr, error) {
	switch x := n.GetNode().(type) {
	case *pg.Node_AConst:
		return literal(x.AConst, hint)
	case *pg.Node_ParamRef:
		return c.param(int(x.ParamRef.Number), hint)
	case *pg.Node_ColumnRef:
		return c.column(x.ColumnRef)
	case *pg.Node_TypeCast:
		return c.cast(x.TypeCast)
	case *pg.Node_AExpr:
		return c.operator(x.AExpr, hint)
	case *pg.Node_BoolExpr:
		return c.logic(x.BoolExpr)
	case *pg.Node_NullTest:
		return c.nullTest(x.NullTest)
	}
	return expr{}, unsupported("this expression")
}

func literal(k *pg.A_Const, hint uint32) (expr, error) {
	if k.Isnull {
		return constant(Value{}, orText(hint)), nil
	}
	switch v := k.Val.(type) {
	case *pg.A_Const_Ival:
		return constant(IntValue(int64(v.Ival.GetIval())), OIDInt4), nil
	case *pg.A_Const_Boolval:
		return constant(BoolValue(v.Boolval.GetBoolval()), OIDBool), nil
	case *pg.A_Const_Fval:
		return number(v.Fval.GetFval())
	case *pg.A_Const_Sval:
		val, err := parseText(v.Sval.GetSval(), hint)
		return constant(val, orText(hint)), err
	}
	return expr{}, unsupported("this literal")
}

// number compiles a literal that does not fit in an integer.
func number(s string) (expr, error) {
	if n, err := strconv.ParseInt(s, 10, 64); err == nil {
		return constant(IntValue(n), OIDInt8), nil
	}
	v, err := parseText(s, OIDFloat8)
	return constant(v, OIDFloat8), err
}

func orText(hint uint32) uint32 {
	if hint == 0 {
		return OIDText
	}
	return hint
}

func (c *compiler) param(number int, hint uint32) (expr, error) {
	const maxParams = 65535 // limit of the protocol's 16-bit parameter count
	if number < 1 || number > maxParams {
		return expr{}, Errorf(UndefinedParameter, "there is no parameter $%d", number)
	}
	if n := number - len(c.params); n > 0 {
		c.params = append(c.params, make([]uint32, n)...)
	}
	i := number - 1
	if c.params[i] == 0 {
		c.params[i] = orText(hint)
	}
	eval := func(_ Row, params []Value) (Value, error) {
		if i >= len(params) {
			return Value{}, Errorf(UndefinedParameter, "there is no parameter $%d", number)
		}
		return params[i], nil
	}
	return expr{c.params[i], eval}, nil
}

func (c *compiler) column(ref *pg.ColumnRef) (expr, error) {
	name := ref.Fields[len(ref.Fields)-1].GetString_().GetSval()
	if c.schema == nil {
		return expr{}, Errorf(UndefinedColumn, "column %q does not exist", name)
	}
	i := c.schema.column(name)
	if i < 0 {
		return expr{}, Errorf(UndefinedColumn, "column %q does not exist", name)
	}
	return expr{c.schema.Columns[i].Type, func(row Row, _ []Value) (Value, error) { return row[i], nil }}, nil
}

func (c *compiler) cast(t *pg.TypeCast) (expr, error) {
	oid, err := typeOf(t.TypeName)
	if err != nil {
		return expr{}, err
	}
	arg, err := c.expr(t.Arg, oid)
	if err != nil || arg.typ == oid {
		return arg, err
	}
	return castTo(arg, oid), nil
}

func castTo(arg expr, oid uint32) expr {
	return expr{oid, func(row Row, params []Value) (Value, error) {
		v, err := arg.eval(row, params)
		if err != nil {
			return v, err
		}
		return cast(v, oid)
	}}
}

// assign compiles n as a value for a column of type oid.
func (c *compiler) assign(n *pg.Node, col Column) (expr, error) {
	e, err := c.expr(n, col.Type)
	if err != nil || e.typ == col.Type {
		return e, err
	}
	if isNumeric(e.typ) && isNumeric(col.Type) {
		return castTo(e, col.Type), nil
	}
	return e, Errorf(DatatypeMismatch, "column %q is of type %s but expression is of type %s",
		col.Name, typeName(col.Type), typeName(e.typ))
}

func typeOf(t *pg.TypeName) (uint32, error) {
	if len(t.ArrayBounds) > 0 {
		return 0, unsupported("an array type")
	}
	name := t.Names[len(t.Names)-1].GetString_().GetSval()
	switch name {
	case "int8", "bigserial":
		return OIDInt8, nil
	case "int4", "serial":
		return OIDInt4, nil
	case "int2":
		return OIDInt2, nil
	case "text", "varchar", "bpchar":
		return OIDText, nil
	case "bool":
		return OIDBool, nil
	case "float8":
		return OIDFloat8, nil
	}
	return 0, unsupported("type " + name)
}

// untyped reports whether n takes its type from its context.
func (c *compiler) untyped(n *pg.Node) bool {
	if p := n.GetParamRef(); p != nil {
		i := int(p.Number) - 1
		return i >= len(c.params) || i < 0 || c.params[i] == 0
	}
	k := n.GetAConst()
	return k != nil && (k.Isnull || k.GetSval() != nil)
}

// pair compiles two operands; an untyped one takes the type of the other.
func (c *compiler) pair(l, r *pg.Node, hint uint32) (expr, expr, error) {
	if c.untyped(l) && !c.untyped(r) {
		b, a, err := c.pair(r, l, hint)
		return a, b, err
	}
	a, err := c.expr(l, hint)
	if err != nil {
		return a, a, err
	}
	b, err := c.expr(r, a.typ)
	return a, b, err
}

func (c *compiler) operator(x *pg.A_Expr, hint uint32) (expr, error) {
	op := x.Name[len(x.Name)-1].GetString_().GetSval()
	switch x.Kind {
	case pg.A_Expr_Kind_AEXPR_OP:
	case pg.A_Expr_Kind_AEXPR_IN:
		return c.in(x, op == "<>")
	default:
		return expr{}, unsupported("this operator")
	}
	if x.Lexpr == nil {
		zero := &pg.Node{Node: &pg.Node_AConst{AConst: &pg.A_Const{Val: &pg.A_Const_Ival{Ival: &pg.Integer{}}}}}
		return c.operator(&pg.A_Expr{Kind: x.Kind, Name: x.Name, Lexpr: zero, Rexpr: x.Rexpr}, hint)
	}
	switch op {
	case "=", "<>", "<", "<=", ">", ">=":
		return c.comparison(op, x.Lexpr, x.Rexpr)
	case "+", "-", "*", "/", "%":
		return c.arithmetic(op, x.Lexpr, x.Rexpr, hint)
	case "||":
		return c.concat(x.Lexpr, x.Rexpr)
	}
	return expr{}, unsupported("operator " + op)
}

func noOperator(op string, a, b expr) error {
	return Errorf(UndefinedFunction, "operator does not exist: %s %s %s", typeName(a.typ), op, typeName(b.typ))
}

func (c *compiler) comparison(op string, l, r *pg.Node) (expr, error) {
	a, b, err := c.pair(l, r, 0)
	if err != nil {
		return a, err
	}
	if !comparableTypes(a.typ, b.typ) {
		return a, noOperator(op, a, b)
	}
	return strict(OIDBool, a, b, func(x, y Value) (Value, error) {
		return BoolValue(satisfies(op, compare(x, y))), nil
	}), nil
}

func satisfies(op string, order int) bool {
	switch op {
	case "=":
		return order == 0
	case "<>":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	}
	return order >= 0
}

// strict returns an expression that is null if an operand is null.
func strict(typ uint32, a, b expr, f func(x, y Value) (Value, error)) expr {
	return expr{typ, func(row Row, params []Value) (Value, error) {
		x, err := a.eval(row, params)
		if err != nil {
			return x, err
		}
		y, err := b.eval(row, params)
		if err != nil || x.Kind == Null || y.Kind == Null {
			return Value{}, err
		}
		return f(x, y)
	}}
}

func (c *compiler) arithmetic(op string, l, r *pg.Node, hint uint32) (expr, error) {
	if !isInteger(hint) {
		hint = OIDInt8
	}
	a, b, err := c.pair(l, r, hint)
	if err != nil {
		return a, err
	}
	if !isInteger(a.typ) || !isInteger(b.typ) {
		return a, noOperator(op, a, b)
	}
	typ := OIDInt4
	if a.typ == OIDInt8 || b.typ == OIDInt8 {
		typ = OIDInt8
	}
	return strict(typ, a, b, func(x, y Value) (Value, error) {
		n, err := calculate(op, x.Int, y.Int)
		if err != nil {
			return Value{}, err
		}
		return IntValue(n), checkRange(n, typ)
	}), nil
}

func calculate(op string, x, y int64) (int64, error) {
	overflow := Errorf(NumericValueOutOfRange, "bigint out of range")
	switch op {
	case "+":
		if n := x + y; (n > x) == (y > 0) {
			return n, nil
		}
	case "-":
		if n := x - y; (n < x) == (y > 0) {
			return n, nil
		}
	case "*":
		if x == 0 || y == 0 {
			return 0, nil
		}
		if n := x * y; n/y == x && (n < 0) == ((x < 0) != (y < 0)) {
			return n, nil
		}
	default:
		if y == 0 {
			return 0, Errorf(DivisionByZero, "division by zero")
		}
		if op == "%" {
			return x % y, nil
		}
		if n := x / y; n != x || y == 1 || x == 0 {
			return n, nil
		}
	}
	return 0, overflow
}

func (c *compiler) concat(l, r *pg.Node) (expr, error) {
	a, b, err := c.pair(l, r, OIDText)
	if err != nil {
		return a, err
	}
	if a.typ != OIDText && b.typ != OIDText {
		return a, noOperator("||", a, b)
	}
	return strict(OIDText, a, b, func(x, y Value) (Value, error) {
		return TextValue(x.String() + y.String()), nil
	}), nil
}

func (c *compiler) in(x *pg.A_Expr, negate bool) (expr, error) {
	var list []expr
	for _, item := range x.Rexpr.GetList().GetItems() {
		e, err := c.comparison("=", x.Lexpr, item)
		if err != nil {
			return e, err
		}
		list = append(list, e)
	}
	any := either(list, true)
	if negate {
		return not(any), nil
	}
	return any, nil
}

// either is OR if decisive is true and AND if it is false, in three-valued logic.
func either(list []expr, decisive bool) expr {
	return expr{OIDBool, func(row Row, params []Value) (Value, error) {
		result := BoolValue(!decisive)
		for _, e := range list {
			v, err := e.eval(row, params)
			if err != nil {
				return v, err
			}
			if v == BoolValue(decisive) {
				return v, nil
			}
			if v.Kind == Null {
				result = v
			}
		}
		return result, nil
	}}
}

func not(e expr) expr {
	return expr{OIDBool, func(row Row, params []Value) (Value, error) {
		v, err := e.eval(row, params)
		if err != nil || v.Kind == Null {
			return v, err
		}
		return BoolValue(!v.IsTrue()), nil
	}}
}

func (c *compiler) logic(x *pg.BoolExpr) (expr, error) {
	var list []expr
	for _, arg := range x.Args {
		e, err := c.boolean(arg)
		if err != nil {
			return e, err
		}
		list = append(list, e)
	}
	switch x.Boolop {
	case pg.BoolExprType_AND_EXPR:
		return either(list, false), nil
	case pg.BoolExprType_OR_EXPR:
		return either(list, true), nil
	}
	return not(list[0]), nil
}

func (c *compiler) boolean(n *pg.Node) (expr, error) {
	e, err := c.expr(n, OIDBool)
	if err == nil && e.typ != OIDBool {
		err = Errorf(DatatypeMismatch, "argument must be of type boolean, not %s", typeName(e.typ))
	}
	return e, err
}

func (c *compiler) nullTest(x *pg.NullTest) (expr, error) {
	arg, err := c.expr(x.Arg, 0)
	if err != nil {
		return arg, err
	}
	want := x.Nulltesttype == pg.NullTestType_IS_NULL
	return expr{OIDBool, func(row Row, params []Value) (Value, error) {
		v, err := arg.eval(row, params)
		return BoolValue((v.Kind == Null) == want), err
	}}, nil
}

func functionName(f *pg.FuncCall) string {
	return strings.ToLower(f.Funcname[len(f.Funcname)-1].GetString_().GetSval())
}

func isCount(n *pg.Node) bool {
	f := n.GetFuncCall()
	return f != nil && functionName(f) == "count" && f.AggStar
}

// conjuncts splits a condition at its top-level ANDs.
func conjuncts(n *pg.Node) []*pg.Node {
	b := n.GetBoolExpr()
	if b == nil || b.Boolop != pg.BoolExprType_AND_EXPR {
		return []*pg.Node{n}
	}
	var out []*pg.Node
	for _, arg := range b.Args {
		out = slices.Concat(out, conjuncts(arg))
	}
	return out
}
