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

// maxKeyedAttempts bounds the attempts of a request whose transaction is rolled back
// because of a concurrent request with the same key.
const maxKeyedAttempts = 3

// executeKeyed runs a request with a request key (idempotency key), which takes
// effect at most once. Of two concurrent requests with one key the upstream rolls
// one back; its next attempt finds the record of the other.
func executeKeyed(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (answer upstream.Answer, err error) {
	for range maxKeyedAttempts {
		answer, err = executeKeyedOnce(ctx, c, r)
		wholeTransaction := r.Tx == "" || r.Begins
		if err != nil || answer.SQLState != sqlStateSerialization || answer.TxStatus != txIdle || !wholeTransaction {
			break
		}
	}
	return answer, err
}

// executeKeyedOnce runs the request in one transaction with the record of its key.
// Key and effect commit together, so a repeated request finds the record even
// after a failover.
func executeKeyedOnce(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	switch {
	case r.Tx != "" && !r.Commits:
		return c.Exchange(ctx, r.Prepared, r.Messages)
	case r.Tx != "" && !r.Begins:
		return commitKeyed(ctx, c, r)
	case r.Commits:
		return runCommitting(ctx, c, r)
	default:
		return runOutsideTransaction(ctx, c, r)
	}
}

// runOutsideTransaction runs a request that belongs to no transaction, then records
// its answer and commits. Inserting the record after the request, complete with the
// answer, takes two statements instead of three for a request that is not a
// repetition. A repetition is executed and rolled back.
func runOutsideTransaction(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	if _, err := c.Query(ctx, "BEGIN"); err != nil {
		return upstream.Answer{}, rolledBackError(err)
	}
	answer, err := c.Exchange(ctx, r.Prepared, r.Messages)
	if err != nil {
		return answer, rolledBackError(err)
	}
	if answer.SQLState != "" {
		return answerFailed(ctx, c, r, answer)
	}
	recorded, err := completion.Record(answer.Messages)
	if err != nil {
		return upstream.Answer{}, rolledBackError(err)
	}
	if err := insertRecord(ctx, c, r.RequestKey, &recorded); err != nil {
		return answerDuplicateKey(ctx, c, r, err)
	}
	return commitRecorded(ctx, c, answer)
}

// answerFailed answers a request that failed. If it failed because it has run
// before, as the insert of the same row does, the answer comes from the record.
func answerFailed(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest, answer upstream.Answer) (upstream.Answer, error) {
	rolledBack, err := c.Exchange(ctx, nil, queryMessage("ROLLBACK"))
	if err != nil {
		return answer, rolledBackError(err)
	}
	answer.TxStatus = rolledBack.TxStatus
	if answer.SQLState == sqlStateSerialization || answer.SQLState == sqlStateReadOnly {
		return answer, nil
	}
	recorded, found, err := readRecord(ctx, c, r.RequestKey)
	if err != nil || !found {
		return answer, err
	}
	return answerFromRecord(ctx, c, r, recorded)
}

// runCommitting runs a request that contains its own COMMIT. The key is inserted
// first, because nothing can be added to the transaction after that COMMIT.
func runCommitting(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	if _, err := c.Query(ctx, "BEGIN"); err != nil {
		return upstream.Answer{}, rolledBackError(err)
	}
	if err := insertRecord(ctx, c, r.RequestKey, nil); err != nil {
		return answerDuplicateKey(ctx, c, r, err)
	}
	answer, err := c.Exchange(ctx, r.Prepared, r.Messages)
	if err != nil {
		return answer, rolledBackError(err)
	}
	if answer.SQLState != "" {
		return rollBackKeyed(ctx, c, answer)
	}
	recorded, err := completion.Record(answer.Messages)
	if err != nil {
		return upstream.Answer{}, rolledBackError(err)
	}
	text, err := json.Marshal(recorded)
	if err != nil {
		return upstream.Answer{}, rolledBackError(err)
	}
	if _, err := c.Query(ctx, "UPDATE papayarail_requests SET answer = "+quoteSQL(string(text))+" WHERE key = "+quoteSQL(r.RequestKey)); err != nil {
		return upstream.Answer{}, rolledBackError(err)
	}
	return commitRecorded(ctx, c, answer)
}

// commitKeyed records the answer to the caller's COMMIT before executing it.
func commitKeyed(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest) (upstream.Answer, error) {
	committed, err := completion.CommandComplete("COMMIT")
	if err != nil {
		return upstream.Answer{}, rolledBackError(err)
	}
	if err := insertRecord(ctx, c, r.RequestKey, &committed); err != nil {
		return answerDuplicateKey(ctx, c, r, err)
	}
	return c.Exchange(ctx, r.Prepared, r.Messages)
}

// commitRecorded commits the transaction and returns the answer to its request.
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

// insertRecord inserts the record of the key. recorded is nil if the request has
// not run yet.
func insertRecord(ctx context.Context, c *upstream.Conn, key string, recorded *completion.Result) error {
	text := ""
	if recorded != nil {
		b, err := json.Marshal(recorded)
		if err != nil {
			return err
		}
		text = string(b)
	}
	_, err := c.Query(ctx, "INSERT INTO papayarail_requests (key, answer) VALUES ("+quoteSQL(key)+", "+quoteSQL(text)+")")
	return err
}

// readRecord reads the recorded answer of a key outside of a transaction.
func readRecord(ctx context.Context, c *upstream.Conn, key string) (text string, found bool, err error) {
	rows, err := c.Query(ctx, "SELECT answer FROM papayarail_requests WHERE key = "+quoteSQL(key))
	if err != nil {
		return "", false, verdict.New(verdict.OutcomeUnknown, "the record of the request key could not be read: %v", err)
	}
	if len(rows) == 0 {
		return "", false, nil
	}
	return rows[0][0], true, nil
}

// answerDuplicateKey handles err of the record's insertion: it rolls back, and
// answers from the existing record if the key is a duplicate.
func answerDuplicateKey(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest, err error) (upstream.Answer, error) {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return upstream.Answer{}, rolledBackError(err)
	}
	if _, err := c.Query(ctx, "ROLLBACK"); err != nil {
		return upstream.Answer{}, rolledBackError(err)
	}
	if pg.Code != sqlStateUniqueViolation {
		return upstream.Answer{TxStatus: txIdle, SQLState: pg.Code}, keyRefused(pg)
	}
	recorded, found, err := readRecord(ctx, c, r.RequestKey)
	if err != nil {
		return upstream.Answer{}, err
	}
	if !found {
		return upstream.Answer{}, verdict.New(verdict.OutcomeUnknown, "the record of the request key has gone")
	}
	return answerFromRecord(ctx, c, r, recorded)
}

// answerFromRecord answers a repeated request with the recorded answer. It takes
// the position from a query, as the record contains none.
func answerFromRecord(ctx context.Context, c *upstream.Conn, r *peer.ExchangeRequest, recorded string) (upstream.Answer, error) {
	messages, err := recordedAnswer(recorded, r)
	if err != nil {
		return upstream.Answer{}, verdict.New(verdict.OutcomeUnknown, "the record of the request key is damaged: %v", err)
	}
	probe, err := c.Exchange(ctx, nil, queryMessage("SELECT 1"))
	if err != nil {
		return probe, err
	}
	return upstream.Answer{Messages: messages, TxStatus: txIdle, Position: probe.Position}, nil
}

// recordedAnswer encodes the recorded answer for the protocol messages of the
// repeated request.
func recordedAnswer(text string, r *peer.ExchangeRequest) ([]byte, error) {
	var recorded completion.Result
	if err := json.Unmarshal([]byte(text), &recorded); err != nil {
		return nil, err
	}
	return recorded.Replay(r.Messages)
}

// rollBackKeyed rolls back a failed request and returns its answer.
func rollBackKeyed(ctx context.Context, c *upstream.Conn, answer upstream.Answer) (upstream.Answer, error) {
	rolledBack, err := c.Exchange(ctx, nil, queryMessage("ROLLBACK"))
	if err != nil {
		return answer, rolledBackError(err)
	}
	answer.TxStatus = rolledBack.TxStatus
	return answer, nil
}

// rolledBackError returns the error for a keyed request that failed before its
// COMMIT was sent, so that the upstream rolls it back.
func rolledBackError(err error) error {
	return verdict.New(verdict.TransactionRolledBack, "the keyed request failed before its commit: %v", err)
}

// keyRefused returns the error for a request whose key the upstream refused to
// insert.
func keyRefused(pg *pgconn.PgError) error {
	if pg.Code == sqlStateReadOnly {
		return verdict.New(verdict.NoPrimary, "the upstream accepts no writes").WithRetryAfter(monitorBackoff)
	}
	return verdict.New(verdict.TransactionRolledBack, "the request key could not be recorded: %s", pg.Message)
}

func quoteSQL(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
