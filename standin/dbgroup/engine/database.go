// Package engine is an in-memory SQL engine for the database group stand-in: it
// parses, compiles and executes a small subset of PostgreSQL's SQL in read committed
// transactions. It does no locking; its user serializes access to a Database.
package engine

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Column describes a column of a table or of a result.
type Column struct {
	Name    string
	Type    uint32 // type OID
	NotNull bool
	Default Value // NULL if the column has no default
}

// Schema describes a table.
type Schema struct {
	Name    string
	Columns []Column
	Key     []int // column indexes of the primary key
}

func (s *Schema) column(name string) int {
	return slices.IndexFunc(s.Columns, func(c Column) bool { return c.Name == name })
}

// key encodes the primary key of row so that encoded keys sort like the keys.
func (s *Schema) key(row Row) string {
	var b []byte
	for _, i := range s.Key {
		b = appendKey(b, row[i])
	}
	return string(b)
}

func appendKey(b []byte, v Value) []byte {
	if v.Kind == Text {
		b = append(b, v.Text...)
		return append(b, 0) // terminator: SQL text cannot contain a zero byte
	}
	return binary.BigEndian.AppendUint64(b, uint64(v.Int)^1<<63)
}

// Change is one change of a committed transaction: a new table if Schema is set,
// otherwise a row that was stored, or deleted if Row is nil.
type Change struct {
	Schema *Schema
	Table  string
	Key    string // encoded primary key
	Row    Row
}

// rowVersion is a committed version of a row. Its address identifies the version.
type rowVersion struct{ row Row }

type table struct {
	schema *Schema
	rows   map[string]*rowVersion // by encoded primary key
}

// Database holds the committed tables.
type Database struct {
	tables map[string]*table
}

// RequestsTable stores the idempotency keys of requests and their responses.
const RequestsTable = "papayarail_requests"

// NewDatabase returns a database that contains only RequestsTable.
func NewDatabase() *Database {
	d := &Database{tables: map[string]*table{}}
	d.create(&Schema{
		Name:    RequestsTable,
		Columns: []Column{{Name: "key", Type: OIDText, NotNull: true}, {Name: "answer", Type: OIDText}},
		Key:     []int{0},
	})
	return d
}

// create adds an empty table. It replaces one of the same name.
func (d *Database) create(s *Schema) {
	d.tables[s.Name] = &table{schema: s, rows: map[string]*rowVersion{}}
}

// Apply stores the changes of one committed transaction.
func (d *Database) Apply(changes []Change) {
	for _, c := range changes {
		switch {
		case c.Schema != nil:
			d.create(c.Schema)
		case c.Row == nil:
			delete(d.tables[c.Table].rows, c.Key)
		default:
			d.tables[c.Table].rows[c.Key] = &rowVersion{c.Row}
		}
	}
}

// rowID identifies a row by its table and encoded primary key.
type rowID struct{ table, key string }

// write is the latest write of a transaction to a row.
type write struct {
	base *rowVersion // committed version at the time of the first write, nil if there was none
	row  Row         // nil: deleted
}

// Tx is an open transaction at the isolation level read committed: each statement
// sees the committed rows and the transaction's own writes. Unlike in PostgreSQL, a
// concurrent write to the same row is detected at commit, by CheckConflicts.
type Tx struct {
	db         *Database
	created    map[string]*Schema // tables by name
	writes     map[rowID]*write
	writeOrder []rowID // keys of writes in the order of the first writes
}

// Begin opens a transaction.
func (d *Database) Begin() *Tx {
	return &Tx{db: d, created: map[string]*Schema{}, writes: map[rowID]*write{}}
}

// HasChanges reports whether the transaction has changes to commit.
func (t *Tx) HasChanges() bool { return len(t.created)+len(t.writeOrder) > 0 }

// Changes returns the changes of the transaction: new tables by name, then rows in
// the order of their first writes.
func (t *Tx) Changes() []Change {
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(t.created)) {
		out = append(out, Change{Schema: t.created[name]})
	}
	for _, id := range t.writeOrder {
		w := t.writes[id]
		if w.row == nil && w.base == nil {
			continue
		}
		out = append(out, Change{Table: id.table, Key: id.key, Row: w.row})
	}
	return out
}

// CheckConflicts returns 40001 if another transaction has committed a change to a
// row or table that this transaction writes, and 42P01 if a written table does not
// exist.
func (t *Tx) CheckConflicts() error {
	for name := range t.created {
		if t.db.tables[name] != nil {
			return Errorf(SerializationFailure, "could not serialize access: table %q was created concurrently", name)
		}
	}
	for id, w := range t.writes {
		tab := t.db.tables[id.table]
		if tab == nil && t.created[id.table] == nil {
			return Errorf(UndefinedTable, "relation %q does not exist", id.table)
		}
		if tab != nil && tab.rows[id.key] != w.base {
			return Errorf(SerializationFailure, "could not serialize access due to concurrent update")
		}
	}
	return nil
}

// schema returns the schema of a table. The error is 42P01.
func (t *Tx) schema(name string) (*Schema, error) {
	if s := t.created[name]; s != nil {
		return s, nil
	}
	if tab := t.db.tables[name]; tab != nil {
		return tab.schema, nil
	}
	return nil, Errorf(UndefinedTable, "relation %q does not exist", name)
}

// get returns the row with an encoded key as the transaction sees it, or nil.
func (t *Tx) get(s *Schema, key string) Row {
	if w := t.writes[rowID{s.Name, key}]; w != nil {
		return w.row
	}
	if r := t.committed(s.Name, key); r != nil {
		return r.row
	}
	return nil
}

func (t *Tx) committed(name, key string) *rowVersion {
	if tab := t.db.tables[name]; tab != nil {
		return tab.rows[key]
	}
	return nil
}

// put writes a row, or deletes it if row is nil.
func (t *Tx) put(s *Schema, key string, row Row) {
	id := rowID{s.Name, key}
	if w := t.writes[id]; w != nil {
		w.row = row
		return
	}
	t.writes[id] = &write{base: t.committed(s.Name, key), row: row}
	t.writeOrder = append(t.writeOrder, id)
}

// scan returns the rows that filter accepts, in the order of their encoded keys.
func (t *Tx) scan(s *Schema, filter func(Row) (bool, error)) ([]Row, error) {
	found := map[string]Row{}
	visit := func(key string, row Row) error {
		ok, err := filter(row)
		if ok {
			found[key] = row
		}
		return err
	}
	if tab := t.db.tables[s.Name]; tab != nil {
		for key, r := range tab.rows {
			if t.writes[rowID{s.Name, key}] != nil {
				continue
			}
			if err := visit(key, r.row); err != nil {
				return nil, err
			}
		}
	}
	for _, id := range t.writeOrder {
		if w := t.writes[id]; id.table == s.Name && w.row != nil {
			if err := visit(id.key, w.row); err != nil {
				return nil, err
			}
		}
	}
	rows := make([]Row, 0, len(found))
	for _, key := range slices.Sorted(maps.Keys(found)) {
		rows = append(rows, found[key])
	}
	return rows, nil
}
