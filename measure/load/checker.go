package load

import (
	"fmt"
	"sync"

	"github.com/papayarail/papayarail/measure/figures"
)

// maxExamples bounds the violations that are described one by one.
const maxExamples = 3

// Numbers of the guarantees in section 2 of the design.
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

// Checker remembers what was acknowledged and what may have run, and counts
// observed violations of the guarantees.
type Checker struct {
	mu           sync.Mutex
	guarantees   []figures.Guarantee
	increments   map[rowID]*incrementCounts
	keyedInserts map[rowID]*keyedInsert
	transactions map[rowID]outcomeKind
}

// place names a row of a service.
type rowID struct{ service, id string }

// lot counts the moves of a lot; each adds one to its quantity.
type incrementCounts struct{ started, acknowledged, notRun int }

// recall is a keyed insert. Each attempt would insert a row of its own.
type keyedInsert struct{ acknowledged, mayHaveRun bool }

// NewChecker returns an empty ledger.
func NewChecker() *Checker {
	l := &Checker{increments: make(map[rowID]*incrementCounts), keyedInserts: make(map[rowID]*keyedInsert), transactions: make(map[rowID]outcomeKind)}
	for i, name := range guaranteeNames {
		l.guarantees = append(l.guarantees, figures.Guarantee{Number: i + 1, Name: name})
	}
	return l
}

// Guarantees returns the observations so far.
func (l *Checker) Guarantees() []figures.Guarantee {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]figures.Guarantee(nil), l.guarantees...)
}

// Check counts an observation of a guarantee.
func (l *Checker) Check(guarantee int, holds bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(guarantee, holds, format, args...)
}

func (l *Checker) check(guarantee int, holds bool, format string, args ...any) {
	g := &l.guarantees[guarantee-1]
	g.Checks++
	if holds {
		return
	}
	g.Violations++
	if len(g.Examples) < maxExamples {
		g.Examples = append(g.Examples, fmt.Sprintf(format, args...))
	}
}

func (l *Checker) countsOf(p rowID) *incrementCounts {
	x := l.increments[p]
	if x == nil {
		x = &incrementCounts{}
		l.increments[p] = x
	}
	return x
}

func (l *Checker) incrementStarted(p rowID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countsOf(p).started++
}

func (l *Checker) incrementEnded(p rowID, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch o.kind {
	case answered:
		l.countsOf(p).acknowledged++
	case notRun, databaseError:
		l.countsOf(p).notRun++
	}
}

// bounds are what a read that starts now may see of a lot.
type readBounds struct {
	acknowledged int // moves acknowledged before the read
	notRun       int // moves reported as not run before the read
}

func (l *Checker) boundsAtReadStart(p rowID) readBounds {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.countsOf(p)
	return readBounds{x.acknowledged, x.notRun}
}

// checkStrictRead checks what a strict read saw against the bounds at its start and
// the moves that had started when it ended.
func (l *Checker) checkStrictRead(p rowID, b readBounds, quantity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(ReadYourWrites, quantity >= b.acknowledged, "strict read of %s/%s saw %d moves, %d were acknowledged before", p.service, p.id, quantity, b.acknowledged)
	most := l.countsOf(p).started - b.notRun
	l.check(NotRun, quantity <= most, "strict read of %s/%s saw %d moves, at most %d may have run", p.service, p.id, quantity, most)
}

func (l *Checker) keyedInsertEnded(p rowID, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.keyedInserts[p]
	if r == nil {
		r = &keyedInsert{}
		l.keyedInserts[p] = r
	}
	switch o.kind {
	case answered:
		r.acknowledged = true
	case unknown:
		r.mayHaveRun = true
	}
}

func (l *Checker) transactionEnded(p rowID, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transactions[p] = o.kind
}

// settle compares the contents of a service with the ledger.
func (l *Checker) checkContents(service string, found contents) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, x := range l.increments {
		if p.service == service {
			l.checkLot(p, x, found.quantities[p.id])
		}
	}
	for p, r := range l.keyedInserts {
		if p.service == service {
			l.checkKeyedInsert(p, r, found.keyedRows[p.id])
		}
	}
	for p, kind := range l.transactions {
		if p.service == service {
			l.checkTransaction(p, kind, found.transactionRows[p.id])
		}
	}
}

// checkTransaction expects both rows of a transaction or none.
func (l *Checker) checkTransaction(p rowID, kind outcomeKind, rows int) {
	l.check(Isolation, rows == 0 || rows == 2, "transaction %s/%s left %d of 2 rows", p.service, p.id, rows)
	switch kind {
	case answered:
		l.check(ReplacedPrimary, rows > 0, "committed transaction %s/%s is lost", p.service, p.id)
	case notRun, databaseError:
		l.check(NotRun, rows == 0, "transaction %s/%s has effect although it was rolled back or not run", p.service, p.id)
	}
}

func (l *Checker) checkLot(p rowID, x *incrementCounts, quantity int) {
	l.check(ReplacedPrimary, quantity >= x.acknowledged, "lot %s/%s has %d moves, %d were acknowledged", p.service, p.id, quantity, x.acknowledged)
	most := x.started - x.notRun
	l.check(NotRun, quantity <= most, "lot %s/%s has %d moves, at most %d may have run", p.service, p.id, quantity, most)
}

func (l *Checker) checkKeyedInsert(p rowID, r *keyedInsert, rows int) {
	l.check(AtMostOnce, rows <= 1, "request key %s/%s took effect %d times", p.service, p.id, rows)
	if r.acknowledged {
		l.check(ReplacedPrimary, rows >= 1, "acknowledged recall %s/%s is lost", p.service, p.id)
	}
	if !r.acknowledged && !r.mayHaveRun {
		l.check(NotRun, rows == 0, "recall %s/%s is present although it was reported as not run", p.service, p.id)
	}
}
