package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
)

// transfer runs a transaction of two inserts. The read in between must see the
// first row and no more; a foreign statement on the same connection would end
// the transaction early or leave rows of one that is rolled back.
func (r *request) transfer(ctx context.Context, k *conn, n int) outcome {
	id := fmt.Sprintf("%s/%d", r.key, n)
	rollBack := strings.HasSuffix(r.key, "0") || strings.HasSuffix(r.key, "3") || strings.HasSuffix(r.key, "6")
	sent := time.Now()
	tx, err := k.Begin(ctx)
	if err != nil {
		return outcomeOf(err)
	}
	// A transaction that fails before COMMIT rolls back, whatever the verdict.
	o := r.fill(ctx, tx, id)
	if o.kind != answered || rollBack {
		ended := outcomeOf(tx.Rollback(ctx))
		if o.kind == answered {
			o = ended
		}
		r.load.Checker.transferEnds(place{r.stream.Service, id}, outcome{kind: notRun})
		return o
	}
	o = outcomeOf(tx.Commit(ctx))
	r.load.Checker.transferEnds(place{r.stream.Service, id}, o)
	r.acknowledged(o, sent)
	return o
}

func (r *request) fill(ctx context.Context, tx pgx.Tx, id string) outcome {
	insert := "INSERT INTO transfers (id, transfer) VALUES ($1, $2)"
	if _, err := tx.Exec(ctx, insert, id+"/from", id); err != nil {
		return outcomeOf(err)
	}
	var rows int
	if err := tx.QueryRow(ctx, "SELECT count(*) FROM transfers WHERE transfer = $1", id).Scan(&rows); err != nil {
		return outcomeOf(err)
	}
	r.load.Checker.Check(Isolation, rows == 1, "transaction %s at %s saw %d of its rows after the first insert", id, r.stream.Service, rows)
	_, err := tx.Exec(ctx, insert, id+"/to", id)
	return outcomeOf(err)
}
