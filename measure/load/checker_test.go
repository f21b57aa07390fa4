package load

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/verdict"
)

// Guards against a checker that overlooks a write that was lost, executed twice, or
// executed although it was reported as not run.
func TestCheckerReportsViolations(t *testing.T) {
	succeeded, refused, unknownOutcome := outcome{kind: answered}, outcome{kind: notRun}, outcome{kind: unknown}
	cases := []struct {
		name        string
		record      func(*Checker)
		quantity    int
		rows        int
		transaction int // number of rows of a transaction
		guarantee   int // number of the violated guarantee; 0: none
	}{
		{"kept", func(c *Checker) { runIncrement(c, succeeded); c.keyedInsertEnded(rowID{"s", "k"}, succeeded) }, 1, 1, 0, 0},
		{"unknown and absent", func(c *Checker) { runIncrement(c, unknownOutcome); c.keyedInsertEnded(rowID{"s", "k"}, unknownOutcome) }, 0, 0, 0, 0},
		{"unknown and present", func(c *Checker) { runIncrement(c, unknownOutcome); c.keyedInsertEnded(rowID{"s", "k"}, unknownOutcome) }, 1, 1, 0, 0},
		{"lost increment", func(c *Checker) { runIncrement(c, succeeded) }, 0, 0, 0, ReplacedPrimary},
		{"lost keyed insert", func(c *Checker) { c.keyedInsertEnded(rowID{"s", "k"}, succeeded) }, 0, 0, 0, ReplacedPrimary},
		{"refused increment took effect", func(c *Checker) { runIncrement(c, refused) }, 1, 0, 0, NotRun},
		{"refused keyed insert took effect", func(c *Checker) { c.keyedInsertEnded(rowID{"s", "k"}, refused) }, 0, 1, 0, NotRun},
		{"keyed insert took effect twice", func(c *Checker) { c.keyedInsertEnded(rowID{"s", "k"}, succeeded) }, 0, 2, 0, AtMostOnce},
		{"committed", func(c *Checker) { c.transactionEnded(rowID{"s", "t"}, succeeded) }, 0, 0, 2, 0},
		{"half a transaction", func(c *Checker) { c.transactionEnded(rowID{"s", "t"}, unknownOutcome) }, 0, 0, 1, Isolation},
		{"lost transaction", func(c *Checker) { c.transactionEnded(rowID{"s", "t"}, succeeded) }, 0, 0, 0, ReplacedPrimary},
		{"rolled back and present", func(c *Checker) { c.transactionEnded(rowID{"s", "t"}, refused) }, 0, 0, 2, NotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewChecker()
			tc.record(c)
			c.checkContents("s", contents{map[string]int{"lot": tc.quantity}, map[string]int{"k": tc.rows}, map[string]int{"t": tc.transaction}})
			for _, g := range c.Guarantees() {
				assert.Equal(t, g.Violations > 0, g.Number == tc.guarantee, g.Name)
			}
		})
	}
}

func runIncrement(c *Checker, o outcome) {
	c.incrementStarted(rowID{"s", "lot"})
	c.incrementEnded(rowID{"s", "lot"}, o)
}

// Guards against a checker that accepts a strict read that misses acknowledged writes
// or sees more than may have run.
func TestCheckerBoundsStrictReads(t *testing.T) {
	c := NewChecker()
	row := rowID{"s", "lot"}
	runIncrement(c, outcome{kind: answered})
	runIncrement(c, outcome{kind: notRun})
	b := c.boundsAtReadStart(row)
	c.checkStrictRead(row, b, 1)
	assert.Equal(t, c.Guarantees()[ReadYourWrites-1].Violations, 0)
	assert.Equal(t, c.Guarantees()[NotRun-1].Violations, 0)
	c.checkStrictRead(row, b, 0)
	assert.Equal(t, c.Guarantees()[ReadYourWrites-1].Violations, 1)
	c.checkStrictRead(row, b, 2)
	assert.Equal(t, c.Guarantees()[NotRun-1].Violations, 1)
}

// Guards against an unknown outcome that is classified as "not run".
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
