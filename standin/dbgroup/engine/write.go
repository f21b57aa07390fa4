package engine

import (
	"fmt"
	"slices"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// returning compiles a RETURNING list. Its columns are nil if there is none.
func (c *compiler) returning(list []*pg.Node) (outputs, error) {
	if len(list) == 0 {
		return outputs{}, nil
	}
	return c.outputs(list)
}

// result returns the command tag with the number of rows, and the RETURNING rows.
func (o outputs) result(tag string, rows []Row, params []Value) (Result, error) {
	res := Result{Tag: fmt.Sprintf("%s %d", tag, len(rows))}
	if o.exprs == nil {
		return res, nil
	}
	var err error
	res.Rows, err = o.rows(rows, params)
	return res, err
}

func (c *compiler) insert(s *pg.InsertStmt) (*Statement, error) {
	schema, err := c.tx.schema(s.Relation.Relname)
	if err != nil {
		return nil, err
	}
	if s.WithClause != nil {
		return nil, unsupported("WITH")
	}
	skipDuplicates, err := c.onConflict(s.OnConflictClause)
	if err != nil {
		return nil, err
	}
	columns, err := insertColumns(schema, s.Cols)
	if err != nil {
		return nil, err
	}
	values, err := c.insertValues(schema, columns, s.SelectStmt.GetSelectStmt())
	if err != nil {
		return nil, err
	}
	c.schema = schema
	out, err := c.returning(s.ReturningList)
	if err != nil {
		return nil, err
	}
	run := func(tx *Tx, params []Value) (Result, error) {
		// The statement may have been prepared in a transaction that created the table
		// and was rolled back.
		if _, err := tx.schema(schema.Name); err != nil {
			return Result{}, err
		}
		rows, err := insertRows(tx, schema, values, params, skipDuplicates)
		if err != nil {
			return Result{}, err
		}
		return out.result("INSERT 0", rows, params)
	}
	return &Statement{Columns: out.columns, Writes: true, run: run}, nil
}

// onConflict reports whether the clause is ON CONFLICT DO NOTHING.
func (c *compiler) onConflict(clause *pg.OnConflictClause) (bool, error) {
	if clause == nil {
		return false, nil
	}
	if clause.Action != pg.OnConflictAction_ONCONFLICT_NOTHING {
		return false, unsupported("ON CONFLICT DO UPDATE")
	}
	return true, nil
}

// insertColumns returns the indexes of the target columns, by default all.
func insertColumns(s *Schema, cols []*pg.Node) ([]int, error) {
	var out []int
	for _, n := range cols {
		name := n.GetResTarget().Name
		i := s.column(name)
		if i < 0 {
			return nil, Errorf(UndefinedColumn, "column %q of relation %q does not exist", name, s.Name)
		}
		if slices.Contains(out, i) {
			return nil, Errorf(DuplicateColumn, "column %q specified more than once", name)
		}
		out = append(out, i)
	}
	if len(cols) == 0 {
		for i := range s.Columns {
			out = append(out, i)
		}
	}
	return out, nil
}

// insertValues compiles the VALUES lists to one expression per row and table column.
func (c *compiler) insertValues(s *Schema, columns []int, sel *pg.SelectStmt) ([][]expr, error) {
	if sel == nil || len(sel.ValuesLists) == 0 {
		return nil, unsupported("INSERT without VALUES")
	}
	var out [][]expr
	for _, list := range sel.ValuesLists {
		row, err := c.insertRow(s, columns, list.GetList().GetItems())
		if err != nil {
			return nil, err
		}
		out = append(out, row)
	}
	return out, nil
}

func (c *compiler) insertRow(s *Schema, columns []int, items []*pg.Node) ([]expr, error) {
	if len(items) > len(columns) {
		return nil, Errorf(SyntaxError, "INSERT has more expressions than target columns")
	}
	row := make([]expr, len(s.Columns))
	for i, col := range s.Columns {
		row[i] = constant(col.Default, col.Type)
	}
	for i, item := range items {
		if item.GetSetToDefault() != nil {
			continue
		}
		e, err := c.assign(item, s.Columns[columns[i]])
		if err != nil {
			return nil, err
		}
		row[columns[i]] = e
	}
	return row, nil
}

func insertRows(tx *Tx, s *Schema, values [][]expr, params []Value, skipDuplicates bool) ([]Row, error) {
	var rows []Row
	for _, exprs := range values {
		row, err := outputs{exprs: exprs}.row(nil, params)
		if err != nil {
			return nil, err
		}
		if err := checkNulls(s, row); err != nil {
			return nil, err
		}
		key := s.key(row)
		if tx.get(s, key) != nil {
			if skipDuplicates {
				continue
			}
			return nil, duplicateKey(s)
		}
		tx.put(s, key, row)
		rows = append(rows, row)
	}
	return rows, nil
}

func duplicateKey(s *Schema) error {
	return Errorf(UniqueViolation, "duplicate key value violates unique constraint %q", s.Name+"_pkey")
}

func checkNulls(s *Schema, row Row) error {
	for i, col := range s.Columns {
		if col.NotNull && row[i].Kind == Null {
			return Errorf(NotNullViolation, "null value in column %q of relation %q violates not-null constraint", col.Name, s.Name)
		}
	}
	return nil
}

// assignment is one item of a SET clause.
type assignment struct {
	column int // index in the schema
	value  expr
}

func (c *compiler) update(s *pg.UpdateStmt) (*Statement, error) {
	if len(s.FromClause) > 0 || s.WithClause != nil {
		return nil, unsupported("UPDATE with FROM or WITH")
	}
	schema, err := c.tx.schema(s.Relation.Relname)
	if err != nil {
		return nil, err
	}
	c.schema = schema
	sets, err := c.assignments(s.TargetList)
	if err != nil {
		return nil, err
	}
	find, err := c.where(schema.Name, s.WhereClause)
	if err != nil {
		return nil, err
	}
	out, err := c.returning(s.ReturningList)
	if err != nil {
		return nil, err
	}
	run := func(tx *Tx, params []Value) (Result, error) {
		rows, err := find(tx, params)
		if err != nil {
			return Result{}, err
		}
		if rows, err = updateRows(tx, schema, rows, sets, params); err != nil {
			return Result{}, err
		}
		return out.result("UPDATE", rows, params)
	}
	return &Statement{Columns: out.columns, Writes: true, run: run}, nil
}

func (c *compiler) assignments(targets []*pg.Node) ([]assignment, error) {
	var sets []assignment
	for _, t := range targets {
		target := t.GetResTarget()
		i := c.schema.column(target.Name)
		if i < 0 {
			return nil, Errorf(UndefinedColumn, "column %q of relation %q does not exist", target.Name, c.schema.Name)
		}
		e, err := c.assign(target.Val, c.schema.Columns[i])
		if err != nil {
			return nil, err
		}
		sets = append(sets, assignment{i, e})
	}
	return sets, nil
}

func updateRows(tx *Tx, s *Schema, rows []Row, sets []assignment, params []Value) ([]Row, error) {
	updated := make([]Row, 0, len(rows))
	for _, old := range rows {
		row, err := assignAll(old, sets, params)
		if err != nil {
			return nil, err
		}
		if err := checkNulls(s, row); err != nil {
			return nil, err
		}
		if err := replaceRow(tx, s, old, row); err != nil {
			return nil, err
		}
		updated = append(updated, row)
	}
	return updated, nil
}

func assignAll(old Row, sets []assignment, params []Value) (Row, error) {
	row := slices.Clone(old)
	for _, set := range sets {
		v, err := set.value.eval(old, params)
		if err != nil {
			return nil, err
		}
		row[set.column] = v
	}
	return row, nil
}

// replaceRow stores the new version of a row, whose primary key may change.
func replaceRow(tx *Tx, s *Schema, old, row Row) error {
	from, to := s.key(old), s.key(row)
	if from != to {
		if tx.get(s, to) != nil {
			return duplicateKey(s)
		}
		tx.put(s, from, nil)
	}
	tx.put(s, to, row)
	return nil
}

func (c *compiler) delete(s *pg.DeleteStmt) (*Statement, error) {
	if len(s.UsingClause) > 0 || s.WithClause != nil {
		return nil, unsupported("DELETE with USING or WITH")
	}
	find, err := c.where(s.Relation.Relname, s.WhereClause)
	if err != nil {
		return nil, err
	}
	out, err := c.returning(s.ReturningList)
	if err != nil {
		return nil, err
	}
	schema := c.schema
	run := func(tx *Tx, params []Value) (Result, error) {
		rows, err := find(tx, params)
		if err != nil {
			return Result{}, err
		}
		for _, r := range rows {
			tx.put(schema, schema.key(r), nil)
		}
		return out.result("DELETE", rows, params)
	}
	return &Statement{Columns: out.columns, Writes: true, run: run}, nil
}
