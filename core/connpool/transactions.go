package connpool

import (
	"slices"
	"time"
)

// Transactions limits the connections that are inside transactions: such a connection
// cannot be closed for another workspace, and its caller decides how long it stays open.
// A quarter of the connections is left to single statements. A workspace may have as many
// transactions as the number that is still free, so that one alone uses half of them.
// The zero value has no limit. It is a pure state machine, not safe for concurrent use.
type Transactions struct {
	limit   int // 0 means no limit
	total   int
	held    map[string]int
	waiting []transactionRequest
}

type transactionRequest struct {
	id        uint64
	workspace string
	since     time.Duration
}

// SetLimit sets the number of connections, of which transactions use a part; 0 means that
// there is no limit. It returns the waiting requests that may begin.
func (t *Transactions) SetLimit(connections int) []uint64 {
	if connections > 1 {
		connections -= max(connections/4, 1)
	}
	t.limit = connections
	return t.admit()
}

// Open returns the number of transactions.
func (t *Transactions) Open() int { return t.total }

// Begin reports whether a transaction of a workspace may begin. Otherwise the request
// waits until End or SetLimit returns it.
func (t *Transactions) Begin(id uint64, workspace string, since time.Duration) bool {
	t.waiting = append(t.waiting, transactionRequest{id, workspace, since})
	return slices.Contains(t.admit(), id)
}

// Cancel removes a waiting request.
func (t *Transactions) Cancel(id uint64) {
	t.waiting = slices.DeleteFunc(t.waiting, func(r transactionRequest) bool { return r.id == id })
}

// End records the end of a transaction and returns the waiting requests that may begin.
func (t *Transactions) End(workspace string) []uint64 {
	t.total--
	t.held[workspace]--
	if t.held[workspace] == 0 {
		delete(t.held, workspace)
	}
	return t.admit()
}

// admit begins the transactions of waiting requests in order, except those of workspaces
// that have too many.
func (t *Transactions) admit() (admitted []uint64) {
	for i := 0; i < len(t.waiting); {
		r := t.waiting[i]
		if t.limit > 0 && t.held[r.workspace] >= t.limit-t.total {
			i++
			continue
		}
		t.waiting = slices.Delete(t.waiting, i, i+1)
		if t.held == nil {
			t.held = make(map[string]int)
		}
		t.held[r.workspace]++
		t.total++
		admitted = append(admitted, r.id)
	}
	return admitted
}
