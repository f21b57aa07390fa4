package replication

import (
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/standin/dbgroup/engine"
)

// Tx is an open transaction on a node. It is not safe for concurrent use.
type Tx struct {
	engineTx *engine.Tx
	db       *engine.Database
	term     uint64 // term of the first write, 0 before it
}

// Begin opens a transaction.
func (n *Node) Begin() *Tx {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return &Tx{engineTx: n.db.Begin(), db: n.db}
}

// Prepare compiles a statement against the tables that tx sees. params holds the
// known parameter types, 0 for unknown ones. Errors are SQL errors.
func (n *Node) Prepare(tx *Tx, p engine.Parsed, params []uint32, functions map[string]*engine.Function) (*engine.Statement, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if err := n.refresh(tx); err != nil {
		return nil, err
	}
	return engine.Prepare(tx.engineTx, p, params, functions)
}

// refresh moves a transaction without writes to the current database, which is
// replaced when a divergent log suffix is discarded. A transaction with writes
// fails with 25006. n.mu must be held.
func (n *Node) refresh(tx *Tx) error {
	if tx.db == n.db {
		return nil
	}
	if tx.engineTx.HasChanges() {
		return readOnlyError()
	}
	tx.engineTx, tx.db = n.db.Begin(), n.db
	return nil
}

func readOnlyError() error {
	return engine.Errorf(engine.ReadOnlySQLTransaction, "cannot execute a write: this member is not the primary of the transaction's term")
}

// Run executes a statement in tx and then commits if commit is set. The position
// is that of the commit, or of the snapshot if nothing was committed. Errors are
// SQL errors, those of Commit included; tx must not be used after an error.
func (n *Node) Run(tx *Tx, statement *engine.Statement, params []engine.Value, commit bool) (engine.Result, position.Position, error) {
	if statement.Writes || commit && tx.engineTx.HasChanges() {
		n.mu.Lock()
		defer n.mu.Unlock()
	} else {
		n.mu.RLock()
		defer n.mu.RUnlock()
	}
	if err := n.refresh(tx); err != nil {
		return engine.Result{}, position.Position{}, err
	}
	if statement.Writes {
		if err := n.allowWrite(tx); err != nil {
			return engine.Result{}, position.Position{}, err
		}
	}
	result, err := statement.Run(tx.engineTx, params)
	if err != nil || !commit {
		return result, n.last(), err
	}
	p, err := n.commit(tx)
	return result, p, err
}

// allowWrite binds tx to the current term at its first write. It fails with 25006
// unless the node is still primary of that term. n.mu must be held.
func (n *Node) allowWrite(tx *Tx) error {
	if !n.primary || tx.term != 0 && tx.term != n.term {
		return readOnlyError()
	}
	tx.term = n.term
	return nil
}

// Commit commits tx and returns the position of its log entry, or that of the last
// entry if tx changed nothing. It does not wait for confirmations. Errors are 25006
// after a change of primary, 40001 for a write conflict and 42P01 for a written
// table that does not exist; nothing has been committed then.
func (n *Node) Commit(tx *Tx) (position.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.commit(tx)
}

func (n *Node) commit(tx *Tx) (position.Position, error) {
	if !tx.engineTx.HasChanges() {
		return n.last(), nil
	}
	if tx.db != n.db {
		return position.Position{}, readOnlyError()
	}
	if err := n.allowWrite(tx); err != nil {
		return position.Position{}, err
	}
	if err := tx.engineTx.CheckConflicts(); err != nil {
		return position.Position{}, err
	}
	changes := tx.engineTx.Changes()
	if len(changes) == 0 {
		return n.last(), nil
	}
	p := n.append(changes)
	n.broadcast()
	return p, nil
}
