package engine

import (
	"slices"

	pg "github.com/pganalyze/pg_query_go/v6"
)

// create compiles CREATE TABLE.
func (c *compiler) create(s *pg.CreateStmt) (*Statement, error) {
	schema := &Schema{Name: s.Relation.Relname}
	for _, elt := range s.TableElts {
		if err := c.tableElement(schema, elt); err != nil {
			return nil, err
		}
	}
	if len(schema.Key) == 0 {
		return nil, unsupported("a table without a primary key")
	}
	for _, i := range schema.Key {
		schema.Columns[i].NotNull = true
		if t := schema.Columns[i].Type; t == OIDFloat8 {
			return nil, unsupported("a primary key of type double precision")
		}
	}
	run := func(tx *Tx, _ []Value) (Result, error) {
		if _, err := tx.schema(schema.Name); err == nil {
			if s.IfNotExists {
				return Result{Tag: "CREATE TABLE"}, nil
			}
			return Result{}, Errorf(DuplicateTable, "relation %q already exists", schema.Name)
		}
		tx.created[schema.Name] = schema
		return Result{Tag: "CREATE TABLE"}, nil
	}
	return &Statement{Writes: true, run: run}, nil
}

func (c *compiler) tableElement(s *Schema, n *pg.Node) error {
	switch x := n.GetNode().(type) {
	case *pg.Node_ColumnDef:
		return c.columnDefinition(s, x.ColumnDef)
	case *pg.Node_Constraint:
		if x.Constraint.Contype != pg.ConstrType_CONSTR_PRIMARY {
			return unsupported("this table constraint")
		}
		return primaryKey(s, x.Constraint.Keys)
	}
	return unsupported("this table element")
}

func primaryKey(s *Schema, names []*pg.Node) error {
	for _, n := range names {
		i := s.column(n.GetString_().GetSval())
		if i < 0 {
			return Errorf(UndefinedColumn, "column %q named in key does not exist", n.GetString_().GetSval())
		}
		s.Key = append(s.Key, i)
	}
	return nil
}

func (c *compiler) columnDefinition(s *Schema, d *pg.ColumnDef) error {
	oid, err := typeOf(d.TypeName)
	if err != nil {
		return err
	}
	col := Column{Name: d.Colname, Type: oid}
	if s.column(col.Name) >= 0 {
		return Errorf(DuplicateColumn, "column %q specified more than once", col.Name)
	}
	for _, n := range d.Constraints {
		switch k := n.GetConstraint(); k.Contype {
		case pg.ConstrType_CONSTR_PRIMARY:
			s.Key = slices.Concat(s.Key, []int{len(s.Columns)})
		case pg.ConstrType_CONSTR_NOTNULL:
			col.NotNull = true
		case pg.ConstrType_CONSTR_NULL:
		case pg.ConstrType_CONSTR_DEFAULT:
			e, err := c.assign(k.RawExpr, col)
			if err != nil {
				return err
			}
			if col.Default, err = e.eval(nil, nil); err != nil {
				return err
			}
		default:
			return unsupported("this column constraint")
		}
	}
	s.Columns = append(s.Columns, col)
	return nil
}
