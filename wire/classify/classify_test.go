package classify

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against writes that are routed to replicas or retried, and against
// session state on shared connections.
func TestClassify(t *testing.T) {
	cases := map[string]Class{
		"":                                     Empty,
		" ; -- nothing":                        Empty,
		"SELEC 1":                              Unknown,
		"SELECT 1\x00; DELETE FROM lots":       Unknown,
		"SELECT count(*), now() FROM lots":     Read,
		"SELECT pg_catalog.lower(a) FROM lots": Read,
		"SELECT extract(year FROM coalesce(d, current_date)), trim(a) FROM lots": Read,
		"VALUES (1), (2)":                                          Read,
		"TABLE lots":                                               Read,
		"EXPLAIN DELETE FROM lots":                                 Read,
		"SELECT pg_sleep(1)":                                       Read,
		"EXPLAIN ANALYZE SELECT 1":                                 Read,
		"EXPLAIN ANALYZE DELETE FROM lots":                         Write,
		"SELECT * FROM lots FOR UPDATE":                            Write,
		"SELECT * FROM (SELECT * FROM lots FOR SHARE) s":           Write,
		"WITH d AS (DELETE FROM lots RETURNING *) SELECT * FROM d": Write,
		"SELECT * INTO new_lots FROM lots":                         Write,
		"SELECT nextval('s')":                                      Write,
		"SELECT 1 WHERE EXISTS (SELECT 1 ORDER BY setval('s', 1))": Write,
		"SELECT pg_advisory_xact_lock(1)":                          Write,
		"SELECT * FROM group_promote(1, 'a')":                      SessionState,
		"SELECT public.pg_terminate_backend(1)":                    SessionState,
		"SELECT app.lower(a) FROM lots":                            Write,
		"SELECT confirm_recall(1)":                                 Write,
		"INSERT INTO lots VALUES (1)":                              Write,
		"CREATE TABLE t (a int)":                                   Write,
		"NOTIFY c":                                                 Write,
		"BEGIN":                                                    Begin,
		"START TRANSACTION ISOLATION LEVEL SERIALIZABLE":           Begin,
		"BEGIN READ ONLY":                                          BeginReadOnly,
		"BEGIN READ ONLY, READ WRITE":                              Begin,
		"END":                                                      Commit,
		"ABORT":                                                    Rollback,
		"ROLLBACK TO a":                                            Savepoint,
		"PREPARE TRANSACTION 'a'":                                  SessionState,
		"SET LOCAL lock_timeout = 1":                               SetLocal,
		"SET TRANSACTION READ ONLY":                                SetLocal,
		"SET CONSTRAINTS ALL DEFERRED":                             SetLocal,
		"SET LOCAL standard_conforming_strings = off":              SessionState,
		"SET search_path = a":                                      SessionState,
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY":     SessionState,
		"RESET ALL":                                                SessionState,
		"SELECT set_config('search_path', 'a', false)":             SessionState,
		"LISTEN c":                                                 SessionState,
		"CREATE TEMP TABLE t (a int)":                              SessionState,
		"CREATE TABLE pg_temp.t (a int)":                           SessionState,
		"CREATE TEMP TABLE t AS SELECT 1":                          SessionState,
		"SELECT 1 INTO TEMP t":                                     SessionState,
		"INSERT INTO lots SELECT pg_advisory_lock(1)":              SessionState,
		"SELECT pg_try_advisory_lock_shared(1)":                    SessionState,
		"PREPARE a AS SELECT 1":                                    SessionState,
		"EXECUTE a":                                                SessionState,
		"COPY lots TO STDOUT":                                      SessionState,
		"DECLARE c CURSOR FOR SELECT 1":                            SessionState,
		"DISCARD ALL":                                              SessionState,
		"SELECT 1; SHOW a":                                         Read,
		"SELECT 1; DELETE FROM lots; SELECT 2":                     Write,
		"BEGIN; SELECT 1; COMMIT":                                  Write,
		"FETCH c; LISTEN c; SELECT 1":                              SessionState,
	}
	for sql, want := range cases {
		info, err := Classify(sql)
		assert.Equal(t, info.Class, want, sql)
		assert.Equal(t, err != nil, want == Unknown, sql)
		assert.Equal(t, info.Class == SessionState, info.Command != "", sql)
	}
}

// Guards against losing names and values of SET and SHOW.
func TestSetAndShow(t *testing.T) {
	cases := map[string]Info{
		"SET papayarail.rank = urgent":         {Class: Set, Name: "papayarail.rank", Value: "urgent"},
		"SET Papayarail.Deadline_ms TO 250":    {Class: Set, Name: "papayarail.deadline_ms", Value: "250"},
		`SET papayarail.max_staleness = '5s'`:  {Class: Set, Name: "papayarail.max_staleness", Value: "5s"},
		"SET papayarail.rank TO DEFAULT":       {Class: Set, Name: "papayarail.rank", Reset: true},
		"RESET papayarail.rank":                {Class: Set, Name: "papayarail.rank", Reset: true},
		"SHOW papayarail.position":             {Class: Show, Name: "papayarail.position"},
		"SET LOCAL statement_timeout = '1.5s'": {Class: SetLocal, Name: "statement_timeout", Value: "1.5s"},
		"RESET ALL":                            {Class: SessionState, Name: "all", Reset: true, Command: "RESET all"},
	}
	for sql, want := range cases {
		want.StatementCount = 1
		info, err := Classify(sql)
		assert.NilError(t, err)
		assert.DeepEqual(t, info, want)
	}
}

// Guards against state that outlives a transaction being allowed inside one.
func TestTransactionScopedState(t *testing.T) {
	cases := map[string]bool{
		"DECLARE c CURSOR FOR SELECT 1":                             true,
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1":                   false,
		"DECLARE c CURSOR FOR SELECT pg_advisory_lock(1)":           false,
		"CREATE TEMP TABLE t (a int) ON COMMIT DROP":                true,
		"CREATE TEMP TABLE t (a int) ON COMMIT DELETE ROWS":         false,
		"SELECT set_config('a.b', 'c', true)":                       true,
		"SELECT currval('s'), pg_advisory_lock(1)":                  false,
		"SELECT pg_advisory_lock(1), currval('s')":                  false,
		"FETCH c; SELECT pg_advisory_lock(1); CLOSE c":              false,
		"SELECT pg_advisory_lock(1); DECLARE c CURSOR FOR SELECT 1": false,
	}
	for sql, want := range cases {
		info, err := Classify(sql)
		assert.NilError(t, err)
		assert.Equal(t, info.Class, SessionState, sql)
		assert.Equal(t, info.TransactionScoped, want, sql)
	}
}

// Guards against crashes of the C parser wrapper and results that contradict themselves.
func FuzzClassify(f *testing.F) {
	for _, sql := range []string{"SELECT 1; DELETE FROM a", "SET papayarail.rank = 'a'", "BEGIN READ ONLY", "SELECT f($1) FOR UPDATE", "\x00"} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		info, err := Classify(sql)
		assert.Equal(t, err != nil, info.Class == Unknown)
		assert.Equal(t, info.Class == Empty, err == nil && info.StatementCount == 0)
		assert.Equal(t, info.MultiStatement(), len(info.Parts) > 1)
		again, _ := Classify(sql)
		assert.DeepEqual(t, info, again)
	})
}

const benchmarkSQL = "SELECT lot, state, updated_at FROM lots WHERE depot = $1 AND lot = ANY($2) ORDER BY updated_at DESC LIMIT 20"

func BenchmarkCached(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Classify(benchmarkSQL)
	}
}

func BenchmarkUncached(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, _ = parse(benchmarkSQL)
	}
}
