package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
)

// runTransaction runs a transaction of two inserts with a read between them, which
// must see the first row only. A statement of another session on the same upstream
// connection would end the transaction early or leave rows after a rollback.
func (r *request) runTransaction(ctx context.Context, conn *session, attempt int) outcome {
	id := fmt.Sprintf("%s/%d", r.key, attempt)
	rollBack := strings.HasSuffix(r.key, "0") || strings.HasSuffix(r.key, "3") || strings.HasSuffix(r.key, "6")
	sent := time.Now()
	tx, err := conn.Begin(ctx)
	if err != nil {
		return outcomeOf(err)
	}
	// A transaction that fails before COMMIT is rolled back, whatever the verdict.
	o := r.insertPair(ctx, tx, id)
	if o.kind != answered || rollBack {
		ended := outcomeOf(tx.Rollback(ctx))
		if o.kind == answered {
			o = ended
		}
		r.generator.Checker.transactionEnded(rowID{r.stream.Service, id}, outcome{kind: notRun})
		return o
	}
	o = outcomeOf(tx.Commit(ctx))
	r.generator.Checker.transactionEnded(rowID{r.stream.Service, id}, o)
	r.recordAck(o, sent)
	return o
}

func (r *request) insertPair(ctx context.Context, tx pgx.Tx, id string) outcome {
	insert := "INSERT INTO transfers (id, transfer) VALUES ($1, $2)"
	if _, err := tx.Exec(ctx, insert, id+"/from", id); err != nil {
		return outcomeOf(err)
	}
	var rows int
	if err := tx.QueryRow(ctx, "SELECT count(*) FROM transfers WHERE transfer = $1", id).Scan(&rows); err != nil {
		return outcomeOf(err)
	}
	r.generator.Checker.Check(Isolation, rows == 1, "transaction %s at %s saw %d of its rows after the first insert", id, r.stream.Service, rows)
	_, err := tx.Exec(ctx, insert, id+"/to", id)
	return outcomeOf(err)
}
