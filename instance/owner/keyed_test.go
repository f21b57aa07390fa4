package owner

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/standin/dbgroup"
	"github.com/papayarail/papayarail/wire/upstream"
)

// keyedGroup is the primary of a group with a table "orders" and a connection to it.
type keyedGroup struct {
	primary *dbgroup.Member
	conn    *upstream.Conn
}

// startKeyed starts a group and returns its primary with the empty table.
func startKeyed(ctx context.Context, t *testing.T) keyedGroup {
	members := startGroup(ctx, t)
	c, err := upstream.Dial(ctx, upstream.Config{Address: members[0].Addr(), User: "papayarail", Database: "s"})
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = c.Query(ctx, "CREATE TABLE orders (id text PRIMARY KEY, quantity bigint NOT NULL)")
	assert.NilError(t, err)
	return keyedGroup{members[0], c}
}

// run executes sql as a request with the key.
func (g keyedGroup) run(ctx context.Context, t *testing.T, key, sql string) upstream.Answer {
	answer, err := executeKeyed(ctx, g.conn, &peer.ExchangeRequest{RequestKey: key, Messages: queryMessage(sql), Writes: true, Executes: true})
	assert.NilError(t, err)
	return answer
}

// count returns the number of orders with the ID.
func (g keyedGroup) count(ctx context.Context, t *testing.T, id string) int {
	rows, err := g.conn.Query(ctx, "SELECT id FROM orders WHERE id = '"+id+"'")
	assert.NilError(t, err)
	return len(rows)
}

// commandComplete returns an encoded CommandComplete message.
func commandComplete(t *testing.T, tag string) []byte {
	message, err := (&pgproto3.CommandComplete{CommandTag: []byte(tag)}).Encode(nil)
	assert.NilError(t, err)
	return message
}

// Guards against keyed writes that execute three statements on the primary: under
// a flood of urgent writes, requests were then refused at a third of the primary's
// rate.
func TestKeyedWriteExecutesTwoStatements(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	g := startKeyed(ctx, t)
	before := g.primary.Executed()
	answer := g.run(ctx, t, "k", "INSERT INTO orders (id, quantity) VALUES ('a', 1)")
	assert.Equal(t, g.primary.Executed()-before, int64(2))
	assert.DeepEqual(t, answer.Messages, commandComplete(t, "INSERT 0 1"))
	assert.Assert(t, answer.Committed)
}

// Guards against a repeated request that takes effect twice, or that returns the
// error of its second execution instead of the recorded answer.
func TestRepeatedKeyTakesEffectOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	g := startKeyed(ctx, t)
	for name, again := range map[string]string{
		"the same row":        "INSERT INTO orders (id, quantity) VALUES ('a', 1)",
		"another row":         "INSERT INTO orders (id, quantity) VALUES ('b', 1)",
		"a committing string": "BEGIN; INSERT INTO orders (id, quantity) VALUES ('b', 1); COMMIT",
	} {
		first := g.run(ctx, t, "k", "INSERT INTO orders (id, quantity) VALUES ('a', 1)")
		second, err := executeKeyed(ctx, g.conn, &peer.ExchangeRequest{RequestKey: "k", Messages: queryMessage(again), Writes: true, Executes: true,
			Tx: "", Commits: name == "a committing string"})
		assert.NilError(t, err, name)
		assert.DeepEqual(t, second.Messages, first.Messages)
		assert.Equal(t, second.TxStatus, byte(txIdle), name)
		assert.Equal(t, g.count(ctx, t, "a"), 1, name)
		assert.Equal(t, g.count(ctx, t, "b"), 0, name)
	}
}

// Guards against a record of a failed request: its repetition would get an answer
// for work that was rolled back.
func TestFailedKeyedRequestLeavesNoRecord(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	g := startKeyed(ctx, t)
	failed := g.run(ctx, t, "k", "INSERT INTO orders (id) VALUES ('a')")
	assert.Assert(t, failed.SQLState != "" && failed.TxStatus == txIdle)
	answer := g.run(ctx, t, "k", "INSERT INTO orders (id, quantity) VALUES ('a', 1)")
	assert.Equal(t, answer.SQLState, "")
	assert.Equal(t, g.count(ctx, t, "a"), 1)
}

// Guards against a transaction of several exchanges that commits the record of its
// key without its effect, or the effect without the record.
func TestKeyedCommitRecordsItsAnswer(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	g := startKeyed(ctx, t)
	for range 2 { // the second round repeats the transaction
		for _, sql := range []string{"BEGIN", "UPDATE orders SET quantity = 2 WHERE id = 'a'"} {
			_, err := executeKeyed(ctx, g.conn, &peer.ExchangeRequest{Tx: "x", RequestKey: "k", Messages: queryMessage(sql), Begins: sql == "BEGIN"})
			assert.NilError(t, err)
		}
		answer, err := executeKeyed(ctx, g.conn, &peer.ExchangeRequest{Tx: "x", RequestKey: "k", Messages: queryMessage("COMMIT"), Commits: true})
		assert.NilError(t, err)
		assert.DeepEqual(t, answer.Messages, commandComplete(t, "COMMIT"))
	}
}
