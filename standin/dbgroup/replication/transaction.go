package replication

import (
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// Tx is an open transaction on a node.
type Tx struct {
	tx   *engine.Tx
	db   *engine.Database
	term uint64 // term of the first write, 0 before that
}

// Begin opens a transaction.
func (n *Node) Begin() *Tx {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return &Tx{tx: n.db.Begin(), db: n.db}
}

// Prepare resolves a statement as tx sees the tables.
func (n *Node) Prepare(tx *Tx, p engine.Parsed, params []uint32, functions map[string]*engine.Function) (*engine.Statement, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if err := n.refresh(tx); err != nil {
		return nil, err
	}
	return engine.Prepare(tx.tx, p, params, functions)
}

// refresh moves a transaction without writes to the current database, which
// is replaced when a divergent log suffix is discarded.
func (n *Node) refresh(tx *Tx) error {
	if tx.db == n.db {
		return nil
	}
	if tx.tx.HasChanges() {
		return readOnly()
	}
	tx.tx, tx.db = n.db.Begin(), n.db
	return nil
}

func readOnly() error {
	return engine.Errorf(engine.ReadOnlySQLTransaction, "cannot execute a write: this member is not the primary of the transaction's term")
}

// Run executes a statement in tx and commits afterwards if commit is set. The
// position is that of the commit, or of the snapshot if nothing was committed.
// The transaction is unusable after an error.
func (n *Node) Run(tx *Tx, st *engine.Statement, params []engine.Value, commit bool) (engine.Result, position.Position, error) {
	if st.Writes || commit && tx.tx.HasChanges() {
		n.mu.Lock()
		defer n.mu.Unlock()
	} else {
		n.mu.RLock()
		defer n.mu.RUnlock()
	}
	if err := n.refresh(tx); err != nil {
		return engine.Result{}, position.Position{}, err
	}
	if st.Writes {
		if err := n.allowWrite(tx); err != nil {
			return engine.Result{}, position.Position{}, err
		}
	}
	result, err := st.Run(tx.tx, params)
	if err != nil || !commit {
		return result, n.last(), err
	}
	p, err := n.commit(tx)
	return result, p, err
}

func (n *Node) allowWrite(tx *Tx) error {
	if !n.primary || tx.term != 0 && tx.term != n.term {
		return readOnly()
	}
	tx.term = n.term
	return nil
}

// Commit commits tx and returns the position of its log entry, or the last
// position if it wrote nothing. An error is 25006 after a change of primary
// or 40001 after a write conflict; nothing has been committed then.
func (n *Node) Commit(tx *Tx) (position.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.commit(tx)
}

func (n *Node) commit(tx *Tx) (position.Position, error) {
	if !tx.tx.HasChanges() {
		return n.last(), nil
	}
	if tx.db != n.db {
		return position.Position{}, readOnly()
	}
	if err := n.allowWrite(tx); err != nil {
		return position.Position{}, err
	}
	if err := tx.tx.CheckConflicts(); err != nil {
		return position.Position{}, err
	}
	changes := tx.tx.Changes()
	if len(changes) == 0 {
		return n.last(), nil
	}
	p := n.append(changes)
	n.signal()
	return p, nil
}
