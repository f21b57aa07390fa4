package load

import (
	"fmt"
	"sync"

	"github.com/papayarail/papayarail/measure/figures"
)

// maxExamples is the maximum number of violations of a guarantee, and of
// interrupted requests, that are described individually.
const maxExamples = 3

// Numbers of the guarantees in section 2 of docs/design.md.
const (
	ReadYourWrites    = 1
	ReplacedPrimary   = 2
	Isolation         = 3
	MatchingResponses = 4
	NotRun            = 5
	AtMostOnce        = 6
	LeavingUpstreams  = 7
	GracefulStop      = 8
	Configuration     = 9
)

var guaranteeNames = []string{"read-your-writes", "no acknowledgement by a replaced primary", "isolation of sessions",
	"complete and matching responses", "not run means not run", "at most once", "leaving upstreams", "graceful stop", "configuration"}

// Checker records the outcomes of requests, checks the results of reads and the
// final contents of the tables against them, and counts violations of the
// guarantees.
type Checker struct {
	mu           sync.Mutex
	guarantees   []figures.Guarantee
	increments   map[rowID]*incrementCounts
	keyedInserts map[rowID]*keyedInsert
	transactions map[rowID]outcomeKind
}

// rowID identifies a row, request key or transaction of a service.
type rowID struct{ service, id string }

// incrementCounts counts the increments of a row of lots by outcome.
type incrementCounts struct{ started, acknowledged, notRun int }

// keyedInsert holds the outcomes of all attempts with one request key. Each
// attempt that executes leaves a row of its own.
type keyedInsert struct{ acknowledged, mayHaveRun bool }

// NewChecker returns a Checker without recorded outcomes.
func NewChecker() *Checker {
	c := &Checker{increments: make(map[rowID]*incrementCounts), keyedInserts: make(map[rowID]*keyedInsert), transactions: make(map[rowID]outcomeKind)}
	for i, name := range guaranteeNames {
		c.guarantees = append(c.guarantees, figures.Guarantee{Number: i + 1, Name: name})
	}
	return c
}

// Guarantees returns the checks and violations of each guarantee so far.
func (c *Checker) Guarantees() []figures.Guarantee {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]figures.Guarantee(nil), c.guarantees...)
}

// Check counts a check of the guarantee with that number. If it does not hold, it
// counts a violation, described by format and args.
func (c *Checker) Check(guarantee int, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(guarantee, holds, format, args...)
}

func (c *Checker) check(guarantee int, holds bool, format string, args ...any) {
	g := &c.guarantees[guarantee-1]
	g.Checks++
	if holds {
		return
	}
	g.Violations++
	if len(g.Examples) < maxExamples {
		g.Examples = append(g.Examples, fmt.Sprintf(format, args...))
	}
}

func (c *Checker) countsOf(row rowID) *incrementCounts {
	counts := c.increments[row]
	if counts == nil {
		counts = &incrementCounts{}
		c.increments[row] = counts
	}
	return counts
}

func (c *Checker) incrementStarted(row rowID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countsOf(row).started++
}

func (c *Checker) incrementEnded(row rowID, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o.kind {
	case answered:
		c.countsOf(row).acknowledged++
	case notRun, databaseError:
		c.countsOf(row).notRun++
	}
}

// readBounds limit the quantity that a strict read may return, as of its start.
type readBounds struct {
	acknowledged int // increments acknowledged before the read
	notRun       int // increments reported as not run before the read
}

func (c *Checker) boundsAtReadStart(row rowID) readBounds {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.countsOf(row)
	return readBounds{counts.acknowledged, counts.notRun}
}

// checkStrictRead checks the quantity that a strict read returned against the bounds
// at its start and the increments that had started by its end.
func (c *Checker) checkStrictRead(row rowID, b readBounds, quantity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(ReadYourWrites, quantity >= b.acknowledged, "strict read of %s/%s saw %d increments, %d were acknowledged before", row.service, row.id, quantity, b.acknowledged)
	most := c.countsOf(row).started - b.notRun
	c.check(NotRun, quantity <= most, "strict read of %s/%s saw %d increments, at most %d may have run", row.service, row.id, quantity, most)
}

func (c *Checker) keyedInsertEnded(row rowID, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempts := c.keyedInserts[row]
	if attempts == nil {
		attempts = &keyedInsert{}
		c.keyedInserts[row] = attempts
	}
	switch o.kind {
	case answered:
		attempts.acknowledged = true
	case unknown:
		attempts.mayHaveRun = true
	}
}

func (c *Checker) transactionEnded(row rowID, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transactions[row] = o.kind
}

// checkContents checks the final contents of a service against the recorded outcomes.
func (c *Checker) checkContents(service string, found contents) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for row, counts := range c.increments {
		if row.service == service {
			c.checkLot(row, counts, found.quantities[row.id])
		}
	}
	for row, attempts := range c.keyedInserts {
		if row.service == service {
			c.checkKeyedInsert(row, attempts, found.keyedRows[row.id])
		}
	}
	for row, kind := range c.transactions {
		if row.service == service {
			c.checkTransaction(row, kind, found.transactionRows[row.id])
		}
	}
}

// checkTransaction checks that both rows of a transaction exist or neither.
func (c *Checker) checkTransaction(row rowID, kind outcomeKind, rows int) {
	c.check(Isolation, rows == 0 || rows == 2, "transaction %s/%s left %d of 2 rows", row.service, row.id, rows)
	switch kind {
	case answered:
		c.check(ReplacedPrimary, rows > 0, "committed transaction %s/%s is lost", row.service, row.id)
	case notRun, databaseError:
		c.check(NotRun, rows == 0, "transaction %s/%s took effect although it was rolled back or not run", row.service, row.id)
	}
}

func (c *Checker) checkLot(row rowID, counts *incrementCounts, quantity int) {
	c.check(ReplacedPrimary, quantity >= counts.acknowledged, "row %s/%s has %d increments, %d were acknowledged", row.service, row.id, quantity, counts.acknowledged)
	most := counts.started - counts.notRun
	c.check(NotRun, quantity <= most, "row %s/%s has %d increments, at most %d may have run", row.service, row.id, quantity, most)
}

func (c *Checker) checkKeyedInsert(row rowID, attempts *keyedInsert, rows int) {
	c.check(AtMostOnce, rows <= 1, "request key %s/%s took effect %d times", row.service, row.id, rows)
	if attempts.acknowledged {
		c.check(ReplacedPrimary, rows >= 1, "acknowledged insert with request key %s/%s is lost", row.service, row.id)
	}
	if !attempts.acknowledged && !attempts.mayHaveRun {
		c.check(NotRun, rows == 0, "insert with request key %s/%s took effect although it was reported as not run", row.service, row.id)
	}
}
