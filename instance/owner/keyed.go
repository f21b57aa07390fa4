package owner

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/wire/completion"
	"github.com/papayarail/papayarail/wire/upstream"
)

const (
	sqlStateUniqueViolation = "23505"
	sqlStateSerialization   = "40001"
)

// conflictTries bounds the attempts of a keyed request whose transaction another
// one with the same key has forced to roll back.
const conflictTries = 3

// executeKeyed runs a request that may not be repeated. Of two that run at once
// with one key, the upstream rolls one back; that one then finds the record.
func executeKeyed(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (answer upstream.Answer, err error) {
	for range conflictTries {
		answer, err = tryKeyed(ctx, c, r)
		alone := r.Tx == "" || r.Begins
		if err != nil || answer.SQLState != sqlStateSerialization || answer.TxStatus != txIdle || !alone {
			break
		}
	}
	return answer, err
}

// tryKeyed runs the request in one transaction with the record of its key.
// Because key and effect commit together, a second request with the key finds
// the record, also after a failover.
func tryKeyed(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	switch {
	case r.Tx != "" && !r.Commits:
		return c.Exchange(ctx, r.Prepared, r.Messages)
	case r.Tx != "" && !r.Begins:
		return commitKeyed(ctx, c, r)
	case r.Commits:
		return runCommitting(ctx, c, r)
	default:
		return runAlone(ctx, c, r)
	}
}

// runAlone runs a request outside of a transaction, then records it and commits.
// The record comes second, so that it holds the answer from the start: the
// upstream executes two statements, not three, for a request that is not
// repeated. A repeated one runs in vain and is rolled back.
func runAlone(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	if _, err := c.Query(ctx, "BEGIN"); err != nil {
		return upstream.Answer{}, notCommitted(err)
	}
	answer, err := c.Exchange(ctx, r.Prepared, r.Messages)
	if err != nil {
		return answer, notCommitted(err)
	}
	if answer.SQLState != "" {
		return failedAlone(ctx, c, r, answer)
	}
	recorded, err := completion.Record(answer.Messages)
	if err != nil {
		return upstream.Answer{}, notCommitted(err)
	}
	if err := insertRecord(ctx, c, r.RequestKey, &recorded); err != nil {
		return refused(ctx, c, r, err)
	}
	return commitRecorded(ctx, c, answer)
}

// failedAlone answers a request that failed. It may have failed because it has
// run before, as an insert of the same row does; then the record answers it.
func failedAlone(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest, answer upstream.Answer) (upstream.Answer, error) {
	rolled, err := c.Exchange(ctx, nil, queryMessage("ROLLBACK"))
	if err != nil {
		return answer, notCommitted(err)
	}
	answer.TxStatus = rolled.TxStatus
	if answer.SQLState == sqlStateSerialization || answer.SQLState == sqlStateReadOnly {
		return answer, nil
	}
	recorded, found, err := readRecord(ctx, c, r.RequestKey)
	if err != nil || !found {
		return answer, err
	}
	return replay(ctx, c, r, recorded)
}

// runCommitting runs a request that contains a COMMIT. The key is inserted
// before, because nothing can be added to the transaction after it.
func runCommitting(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	if _, err := c.Query(ctx, "BEGIN"); err != nil {
		return upstream.Answer{}, notCommitted(err)
	}
	if err := insertRecord(ctx, c, r.RequestKey, nil); err != nil {
		return refused(ctx, c, r, err)
	}
	answer, err := c.Exchange(ctx, r.Prepared, r.Messages)
	if err != nil {
		return answer, notCommitted(err)
	}
	if answer.SQLState != "" {
		return rollBackKeyed(ctx, c, answer)
	}
	recorded, err := completion.Record(answer.Messages)
	if err != nil {
		return upstream.Answer{}, notCommitted(err)
	}
	text, err := json.Marshal(recorded)
	if err != nil {
		return upstream.Answer{}, notCommitted(err)
	}
	if _, err := c.Query(ctx, "UPDATE papayarail_requests SET answer = "+quote(string(text))+" WHERE key = "+quote(r.RequestKey)); err != nil {
		return upstream.Answer{}, notCommitted(err)
	}
	return commitRecorded(ctx, c, answer)
}

// commitKeyed records the answer of a COMMIT that the caller sent, ahead of it.
func commitKeyed(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	committed, err := completion.CommandComplete("COMMIT")
	if err != nil {
		return upstream.Answer{}, notCommitted(err)
	}
	if err := insertRecord(ctx, c, r.RequestKey, &committed); err != nil {
		return refused(ctx, c, r, err)
	}
	return c.Exchange(ctx, r.Prepared, r.Messages)
}

// commitRecorded commits the transaction and returns the answer of its request.
func commitRecorded(ctx context.Context, c *upstream.Conn, answer upstream.Answer) (upstream.Answer, error) {
	committed, err := c.Exchange(ctx, nil, queryMessage("COMMIT"))
	if err != nil {
		return committed, err
	}
	if committed.SQLState != "" {
		return committed, nil
	}
	answer.TxStatus = committed.TxStatus
	answer.Position = committed.Position
	answer.Committed = true
	return answer, nil
}

// insertRecord inserts the key with the recorded answer, or without one if the
// request has not run yet.
func insertRecord(ctx context.Context, c *upstream.Conn, key string, recorded *completion.Result) error {
	text := ""
	if recorded != nil {
		b, err := json.Marshal(recorded)
		if err != nil {
			return err
		}
		text = string(b)
	}
	_, err := c.Query(ctx, "INSERT INTO papayarail_requests (key, answer) VALUES ("+quote(key)+", "+quote(text)+")")
	return err
}

// readRecord reads the recorded answer of a key outside of a transaction.
func readRecord(ctx context.Context, c *upstream.Conn, key string) (text string, found bool, err error) {
	rows, err := c.Query(ctx, "SELECT answer FROM papayarail_requests WHERE key = "+quote(key))
	if err != nil {
		return "", false, verdict.New(verdict.OutcomeUnknown, "the record of the request key could not be read: %v", err)
	}
	if len(rows) == 0 {
		return "", false, nil
	}
	return rows[0][0], true, nil
}

// refused answers a key that is already recorded with the recorded answer.
func refused(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest, err error) (upstream.Answer, error) {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return upstream.Answer{}, notCommitted(err)
	}
	if _, err := c.Query(ctx, "ROLLBACK"); err != nil {
		return upstream.Answer{}, notCommitted(err)
	}
	if pg.Code != sqlStateUniqueViolation {
		return upstream.Answer{TxStatus: txIdle, SQLState: pg.Code}, notRun(pg)
	}
	recorded, found, err := readRecord(ctx, c, r.RequestKey)
	if err != nil {
		return upstream.Answer{}, err
	}
	if !found {
		return upstream.Answer{}, verdict.New(verdict.OutcomeUnknown, "the record of the request key has gone")
	}
	return replay(ctx, c, r, recorded)
}

// replay answers a repeated request with the recorded answer.
func replay(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest, recorded string) (upstream.Answer, error) {
	messages, err := replayed(recorded, r)
	if err != nil {
		return upstream.Answer{}, verdict.New(verdict.OutcomeUnknown, "the record of the request key is damaged: %v", err)
	}
	probe, err := c.Exchange(ctx, nil, queryMessage("SELECT 1"))
	if err != nil {
		return probe, err
	}
	return upstream.Answer{Messages: messages, TxStatus: txIdle, Position: probe.Position}, nil
}

// replayed builds the recorded answer in the shape of the repeated request.
func replayed(text string, r *peer.ExchangeRequest) ([]byte, error) {
	var recorded completion.Result
	if err := json.Unmarshal([]byte(text), &recorded); err != nil {
		return nil, err
	}
	return recorded.Replay(r.Messages)
}

func rollBackKeyed(ctx context.Context, c *upstream.Conn, answer upstream.Answer) (upstream.Answer, error) {
	rolled, err := c.Exchange(ctx, nil, queryMessage("ROLLBACK"))
	if err != nil {
		return answer, notCommitted(err)
	}
	answer.TxStatus = rolled.TxStatus
	return answer, nil
}

// notCommitted is the verdict on a keyed request that failed before its COMMIT
// was sent: the upstream rolls it back.
func notCommitted(err error) error {
	return verdict.New(verdict.TransactionRolledBack, "the keyed request failed before its commit: %v", err)
}

func notRun(pg *pgconn.PgError) error {
	if pg.Code == sqlStateReadOnly {
		return verdict.New(verdict.NoPrimary, "the upstream accepts no writes").WithRetryAfter(monitorBackoff)
	}
	return verdict.New(verdict.TransactionRolledBack, "the request key could not be recorded: %s", pg.Message)
}

func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
