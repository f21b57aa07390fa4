package load

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/verdict"
)

// Guards against a ledger that overlooks a lost, duplicated or refused write.
func TestLedgerSeesViolations(t *testing.T) {
	done, refused, open := outcome{kind: answered}, outcome{kind: notRun}, outcome{kind: unknown}
	cases := []struct {
		name      string
		record    func(*Checker)
		quantity  int
		rows      int
		transfer  int // rows of a transaction
		guarantee int // 0: none is violated
	}{
		{"kept", func(l *Checker) { runIncrement(l, done); l.keyedInsertEnded(rowID{"s", "k"}, done) }, 1, 1, 0, 0},
		{"unknown and absent", func(l *Checker) { runIncrement(l, open); l.keyedInsertEnded(rowID{"s", "k"}, open) }, 0, 0, 0, 0},
		{"unknown and present", func(l *Checker) { runIncrement(l, open); l.keyedInsertEnded(rowID{"s", "k"}, open) }, 1, 1, 0, 0},
		{"lost move", func(l *Checker) { runIncrement(l, done) }, 0, 0, 0, ReplacedPrimary},
		{"lost recall", func(l *Checker) { l.keyedInsertEnded(rowID{"s", "k"}, done) }, 0, 0, 0, ReplacedPrimary},
		{"refused move ran", func(l *Checker) { runIncrement(l, refused) }, 1, 0, 0, NotRun},
		{"refused recall ran", func(l *Checker) { l.keyedInsertEnded(rowID{"s", "k"}, refused) }, 0, 1, 0, NotRun},
		{"recall ran twice", func(l *Checker) { l.keyedInsertEnded(rowID{"s", "k"}, done) }, 0, 2, 0, AtMostOnce},
		{"committed", func(l *Checker) { l.transactionEnded(rowID{"s", "t"}, done) }, 0, 0, 2, 0},
		{"half a transaction", func(l *Checker) { l.transactionEnded(rowID{"s", "t"}, open) }, 0, 0, 1, Isolation},
		{"lost transaction", func(l *Checker) { l.transactionEnded(rowID{"s", "t"}, done) }, 0, 0, 0, ReplacedPrimary},
		{"rolled back and present", func(l *Checker) { l.transactionEnded(rowID{"s", "t"}, refused) }, 0, 0, 2, NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewChecker()
			c.record(l)
			l.checkContents("s", contents{map[string]int{"lot": c.quantity}, map[string]int{"k": c.rows}, map[string]int{"t": c.transfer}})
			for _, g := range l.Guarantees() {
				assert.Equal(t, g.Violations > 0, g.Number == c.guarantee, g.Name)
			}
		})
	}
}

func runIncrement(l *Checker, o outcome) {
	l.incrementStarted(rowID{"s", "lot"})
	l.incrementEnded(rowID{"s", "lot"}, o)
}

// Guards against a stale or an impossible strict read that passes.
func TestLedgerChecksStrictReads(t *testing.T) {
	l := NewChecker()
	p := rowID{"s", "lot"}
	runIncrement(l, outcome{kind: answered})
	runIncrement(l, outcome{kind: notRun})
	b := l.boundsAtReadStart(p)
	l.checkStrictRead(p, b, 1)
	assert.Equal(t, l.Guarantees()[ReadYourWrites-1].Violations, 0)
	assert.Equal(t, l.Guarantees()[NotRun-1].Violations, 0)
	l.checkStrictRead(p, b, 0)
	assert.Equal(t, l.Guarantees()[ReadYourWrites-1].Violations, 1)
	l.checkStrictRead(p, b, 2)
	assert.Equal(t, l.Guarantees()[NotRun-1].Violations, 1)
}

// Guards against an unknown outcome that is taken for "not run".
func TestOutcomeOfVerdicts(t *testing.T) {
	for code, want := range map[verdict.Code]outcomeKind{verdict.Overloaded: notRun, verdict.OutcomeUnknown: unknown} {
		e := verdict.New(code, "x").WithRetryAfter(250e6)
		o := outcomeOf(&pgconn.PgError{Code: e.SQLState(), Detail: e.Detail()})
		assert.Equal(t, o.kind, want)
		assert.Equal(t, o.code, code.String())
		assert.Equal(t, o.retryAfter.Milliseconds(), int64(250))
	}
	assert.Equal(t, outcomeOf(&pgconn.PgError{Code: "23505"}).kind, databaseError)
}
