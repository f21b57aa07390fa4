package engine

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// run executes sql in tx.
func run(t rapid.TB, tx *Tx, sql string, params ...Value) (Result, error) {
	t.Helper()
	parsed, err := Parse(sql)
	assert.NilError(t, err)
	statement, err := Prepare(tx, parsed[0], nil, nil)
	assert.NilError(t, err, sql)
	return statement.Run(tx, params)
}

func commit(t rapid.TB, d *Database, tx *Tx) {
	t.Helper()
	assert.NilError(t, tx.CheckConflicts())
	d.Apply(tx.Changes())
}

// model holds a database and the expected state of its table, as seen by other
// transactions (committed) and by tx (current): stock by id.
type model struct {
	db                 *Database
	tx                 *Tx
	committed, current map[int64]int64
}

// Guards against wrong results of writes, reads, commits and rollbacks: random
// sequences of them must have the same results in the engine and in a Go map.
func TestEngineAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{db: NewDatabase(), committed: map[int64]int64{}, current: map[int64]int64{}}
		m.tx = m.db.Begin()
		_, err := run(t, m.tx, `CREATE TABLE lots (id bigint PRIMARY KEY, stock bigint NOT NULL)`)
		assert.NilError(t, err)
		m.end(t, true)
		t.Repeat(map[string]func(*rapid.T){
			"insert":   m.insert,
			"update":   m.update,
			"move":     m.move,
			"delete":   m.delete,
			"commit":   func(t *rapid.T) { m.end(t, true) },
			"rollback": func(t *rapid.T) { m.end(t, false) },
			"":         m.compare,
		})
	})
}

var (
	ids    = rapid.Int64Range(-5, 5)
	stocks = rapid.Int64Range(-100, 100)
)

func (m *model) insert(t *rapid.T) {
	id, stock := ids.Draw(t, "id"), stocks.Draw(t, "stock")
	skip := rapid.Bool().Draw(t, "on conflict do nothing")
	sql := `INSERT INTO lots (stock, id) VALUES ($1, $2)`
	if skip {
		sql += ` ON CONFLICT DO NOTHING`
	}
	_, exists := m.current[id]
	_, err := run(t, m.tx, sql, IntValue(stock), IntValue(id))
	if exists && !skip {
		var pgErr *pgconn.PgError
		assert.Assert(t, errors.As(err, &pgErr) && pgErr.Code == UniqueViolation, "%v", err)
		return
	}
	assert.NilError(t, err)
	if !exists {
		m.current[id] = stock
	}
}

func (m *model) update(t *rapid.T) {
	bound, n := ids.Draw(t, "bound"), stocks.Draw(t, "n")
	op := rapid.SampledFrom([]string{"=", "<", ">=", "<>"}).Draw(t, "op")
	result, err := run(t, m.tx, fmt.Sprintf(`UPDATE lots SET stock = stock - $2 WHERE id %s $1`, op), IntValue(bound), IntValue(n))
	assert.NilError(t, err)
	count := 0
	for id := range m.current {
		if map[string]bool{"=": id == bound, "<": id < bound, ">=": id >= bound, "<>": id != bound}[op] {
			m.current[id] -= n
			count++
		}
	}
	assert.Equal(t, result.Tag, fmt.Sprintf("UPDATE %d", count))
}

// move changes a primary key.
func (m *model) move(t *rapid.T) {
	from, to := ids.Draw(t, "from"), ids.Draw(t, "to")
	stock, exists := m.current[from]
	if _, taken := m.current[to]; taken {
		return
	}
	_, err := run(t, m.tx, `UPDATE lots SET id = $1 WHERE id = $2`, IntValue(to), IntValue(from))
	assert.NilError(t, err)
	if exists {
		delete(m.current, from)
		m.current[to] = stock
	}
}

func (m *model) delete(t *rapid.T) {
	id, bound := ids.Draw(t, "id"), stocks.Draw(t, "bound")
	_, err := run(t, m.tx, `DELETE FROM lots WHERE id = $1 AND stock < $2`, IntValue(id), IntValue(bound))
	assert.NilError(t, err)
	if stock, exists := m.current[id]; exists && stock < bound {
		delete(m.current, id)
	}
}

func (m *model) end(t *rapid.T, keep bool) {
	if keep {
		commit(t, m.db, m.tx)
		m.committed = maps.Clone(m.current)
	} else {
		m.current = maps.Clone(m.committed)
	}
	m.tx = m.db.Begin()
}

func (m *model) compare(t *rapid.T) {
	for tx, want := range map[*Tx]map[int64]int64{m.tx: m.current, m.db.Begin(): m.committed} {
		result, err := run(t, tx, `SELECT id, stock FROM lots ORDER BY id DESC`)
		assert.NilError(t, err)
		var rows []Row
		for _, id := range slices.Backward(slices.Sorted(maps.Keys(want))) {
			rows = append(rows, Row{IntValue(id), IntValue(want[id])})
		}
		assert.Equal(t, fmt.Sprint(result.Rows), fmt.Sprint(rows))
	}
}
