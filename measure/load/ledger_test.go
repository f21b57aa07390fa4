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
		{"kept", func(l *Checker) { move(l, done); l.recallEnds(place{"s", "k"}, done) }, 1, 1, 0, 0},
		{"unknown and absent", func(l *Checker) { move(l, open); l.recallEnds(place{"s", "k"}, open) }, 0, 0, 0, 0},
		{"unknown and present", func(l *Checker) { move(l, open); l.recallEnds(place{"s", "k"}, open) }, 1, 1, 0, 0},
		{"lost move", func(l *Checker) { move(l, done) }, 0, 0, 0, ReplacedPrimary},
		{"lost recall", func(l *Checker) { l.recallEnds(place{"s", "k"}, done) }, 0, 0, 0, ReplacedPrimary},
		{"refused move ran", func(l *Checker) { move(l, refused) }, 1, 0, 0, NotRun},
		{"refused recall ran", func(l *Checker) { l.recallEnds(place{"s", "k"}, refused) }, 0, 1, 0, NotRun},
		{"recall ran twice", func(l *Checker) { l.recallEnds(place{"s", "k"}, done) }, 0, 2, 0, AtMostOnce},
		{"committed", func(l *Checker) { l.transferEnds(place{"s", "t"}, done) }, 0, 0, 2, 0},
		{"half a transaction", func(l *Checker) { l.transferEnds(place{"s", "t"}, open) }, 0, 0, 1, Isolation},
		{"lost transaction", func(l *Checker) { l.transferEnds(place{"s", "t"}, done) }, 0, 0, 0, ReplacedPrimary},
		{"rolled back and present", func(l *Checker) { l.transferEnds(place{"s", "t"}, refused) }, 0, 0, 2, NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewChecker()
			c.record(l)
			l.settle("s", contents{map[string]int{"lot": c.quantity}, map[string]int{"k": c.rows}, map[string]int{"t": c.transfer}})
			for _, g := range l.Guarantees() {
				assert.Equal(t, g.Violations > 0, g.Number == c.guarantee, g.Name)
			}
		})
	}
}

func move(l *Checker, o outcome) {
	l.moveStarts(place{"s", "lot"})
	l.moveEnds(place{"s", "lot"}, o)
}

// Guards against a stale or an impossible strict read that passes.
func TestLedgerChecksStrictReads(t *testing.T) {
	l := NewChecker()
	p := place{"s", "lot"}
	move(l, outcome{kind: answered})
	move(l, outcome{kind: notRun})
	b := l.readStarts(p)
	l.strictRead(p, b, 1)
	assert.Equal(t, l.Guarantees()[ReadYourWrites-1].Violations, 0)
	assert.Equal(t, l.Guarantees()[NotRun-1].Violations, 0)
	l.strictRead(p, b, 0)
	assert.Equal(t, l.Guarantees()[ReadYourWrites-1].Violations, 1)
	l.strictRead(p, b, 2)
	assert.Equal(t, l.Guarantees()[NotRun-1].Violations, 1)
}

// Guards against an unknown outcome that is taken for "not run".
func TestOutcomeOfVerdicts(t *testing.T) {
	for code, want := range map[verdict.Code]outcomeKind{verdict.Overloaded: notRun, verdict.OutcomeUnknown: unknown} {
		e := verdict.New(code, "x").WithRetryAfter(250e6)
		o := outcomeOf(&pgconn.PgError{Code: e.SQLState(), Detail: e.Detail()})
		assert.Equal(t, o.kind, want)
		assert.Equal(t, o.code, code.String())
		assert.Equal(t, o.after.Milliseconds(), int64(250))
	}
	assert.Equal(t, outcomeOf(&pgconn.PgError{Code: "23505"}).kind, refusedByDatabase)
}
