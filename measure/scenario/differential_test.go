package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/fleet"
)

const (
	differentialSeed  = 7
	differentialSteps = 150
)

// Guards against results that depend on routing, replicas or transactions: the same
// statements must return the same results through papayarail, spread over its
// instances, and through the naive proxy.
func TestSameResultsAsNaiveProxy(t *testing.T) {
	raw, err := os.ReadFile("../../papayarail/dev/default.json")
	assert.NilError(t, err)
	doc, err := fleet.Parse(raw)
	assert.NilError(t, err)
	doc.Services = doc.Services[:1]
	var answers [2][]string
	for i, start := range []func(context.Context, Options) (*system, error){startPapayarail, startNaive} {
		s, err := start(t.Context(), Options{Document: doc, Seed: differentialSeed})
		assert.NilError(t, err)
		answers[i] = runStatements(t, s)
		s.close()
	}
	assert.DeepEqual(t, answers[0], answers[1])
}

// runStatements runs the seeded random statements and returns the result of each.
func runStatements(t *testing.T, s *system) (out []string) {
	random := rand.New(rand.NewPCG(differentialSeed, 0))
	var conns []*pgx.Conn
	for _, address := range s.callerAddresses() {
		conn, err := pgx.Connect(t.Context(), "postgres://clerk@"+address+"/"+s.doc.Services[0].Name+"?sslmode=disable")
		assert.NilError(t, err)
		defer conn.Close(context.Background())
		conns = append(conns, conn)
	}
	for range differentialSteps {
		conn := conns[random.IntN(1<<16)%len(conns)]
		for _, sql := range randomStatements(random) {
			out = append(out, sql+" -> "+execResult(t.Context(), conn, sql))
		}
	}
	return out
}

// randomStatements returns a single statement or a whole transaction.
func randomStatements(random *rand.Rand) []string {
	lot := fmt.Sprintf("lot-%d", random.IntN(lotsUsed))
	recall := random.IntN(30)
	switch random.IntN(7) {
	case 0:
		return []string{fmt.Sprintf("UPDATE lots SET quantity = quantity + %d WHERE id = '%s'", random.IntN(9), lot)}
	case 1:
		return []string{fmt.Sprintf("INSERT INTO recalls (id, request) VALUES ('r%d', 'x') ON CONFLICT DO NOTHING", recall)}
	case 2:
		return []string{fmt.Sprintf("DELETE FROM recalls WHERE id = 'r%d'", recall)}
	case 3:
		return []string{"SELECT id, quantity FROM lots ORDER BY id"}
	case 4:
		return []string{"SELECT id, quantity FROM lots WHERE id = '" + lot + "'"}
	case 5:
		end := []string{"COMMIT", "ROLLBACK"}[random.IntN(2)]
		return []string{"BEGIN", "UPDATE lots SET quantity = quantity - 1 WHERE id = '" + lot + "'",
			"SELECT quantity FROM lots WHERE id = '" + lot + "'", end}
	default:
		return []string{"SELECT count(*) FROM recalls"}
	}
}

// lotsUsed is the number of rows of lots that the statements use, out of those that
// load.CreateTables inserts.
const lotsUsed = 6

// execResult returns the command tags and rows of a statement, or its SQLSTATE.
func execResult(ctx context.Context, conn *pgx.Conn, sql string) string {
	results, err := conn.PgConn().Exec(ctx, sql).ReadAll()
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	if err != nil {
		return err.Error()
	}
	out := ""
	for _, r := range results {
		out += fmt.Sprintf("%s %q ", r.CommandTag, r.Rows)
	}
	return out
}

// Guards against replacing a database error by an error of papayarail, which would
// make the caller retry a statement that cannot succeed.
func TestSameErrorsAsNaiveProxy(t *testing.T) {
	raw, err := os.ReadFile("../../papayarail/dev/default.json")
	assert.NilError(t, err)
	doc, err := fleet.Parse(raw)
	assert.NilError(t, err)
	doc.Services = doc.Services[:1]
	for _, start := range []func(context.Context, Options) (*system, error){startNaive, startPapayarail} {
		s, err := start(t.Context(), Options{Document: doc, Seed: differentialSeed})
		assert.NilError(t, err)
		defer s.close()
		conn, err := pgx.Connect(t.Context(), "postgres://clerk@"+s.callerAddresses()[0]+"/"+doc.Services[0].Name+"?sslmode=disable")
		assert.NilError(t, err)
		defer conn.Close(context.Background())
		assert.Equal(t, execResult(t.Context(), conn, "INSERT INTO lots (id, quantity) VALUES ('lot-1', 0)"), "23505")
		assert.Equal(t, execResult(t.Context(), conn, "SELECT nothing FROM nowhere"), "42P01")
	}
}
