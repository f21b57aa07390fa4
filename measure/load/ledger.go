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
	mu         sync.Mutex
	guarantees []figures.Guarantee
	lots       map[place]*lot
	recalls    map[place]*recall
	transfers  map[place]outcomeKind
}

// place names a row of a service.
type place struct{ service, id string }

// lot counts the moves of a lot; each adds one to its quantity.
type lot struct{ started, acknowledged, notRun int }

// recall is a keyed insert. Each attempt would insert a row of its own.
type recall struct{ acknowledged, mayHaveRun bool }

// NewChecker returns an empty ledger.
func NewChecker() *Checker {
	l := &Checker{lots: make(map[place]*lot), recalls: make(map[place]*recall), transfers: make(map[place]outcomeKind)}
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

func (l *Checker) lot(p place) *lot {
	x := l.lots[p]
	if x == nil {
		x = &lot{}
		l.lots[p] = x
	}
	return x
}

func (l *Checker) moveStarts(p place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lot(p).started++
}

func (l *Checker) moveEnds(p place, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch o.kind {
	case answered:
		l.lot(p).acknowledged++
	case notRun, refusedByDatabase:
		l.lot(p).notRun++
	}
}

// bounds are what a read that starts now may see of a lot.
type bounds struct {
	least  int // moves acknowledged before the read
	notRun int // moves reported as not run before the read
}

func (l *Checker) readStarts(p place) bounds {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.lot(p)
	return bounds{x.acknowledged, x.notRun}
}

// strictRead checks what a strict read saw against the bounds at its start and
// the moves that had started when it ended.
func (l *Checker) strictRead(p place, b bounds, quantity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.check(ReadYourWrites, quantity >= b.least, "strict read of %s/%s saw %d moves, %d were acknowledged before", p.service, p.id, quantity, b.least)
	most := l.lot(p).started - b.notRun
	l.check(NotRun, quantity <= most, "strict read of %s/%s saw %d moves, at most %d may have run", p.service, p.id, quantity, most)
}

func (l *Checker) recallEnds(p place, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recalls[p]
	if r == nil {
		r = &recall{}
		l.recalls[p] = r
	}
	switch o.kind {
	case answered:
		r.acknowledged = true
	case unknown:
		r.mayHaveRun = true
	}
}

func (l *Checker) transferEnds(p place, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transfers[p] = o.kind
}

// settle compares the contents of a service with the ledger.
func (l *Checker) settle(service string, found contents) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, x := range l.lots {
		if p.service == service {
			l.settleLot(p, x, found.quantities[p.id])
		}
	}
	for p, r := range l.recalls {
		if p.service == service {
			l.settleRecall(p, r, found.recalls[p.id])
		}
	}
	for p, kind := range l.transfers {
		if p.service == service {
			l.settleTransfer(p, kind, found.transfers[p.id])
		}
	}
}

// settleTransfer expects both rows of a transaction or none.
func (l *Checker) settleTransfer(p place, kind outcomeKind, rows int) {
	l.check(Isolation, rows == 0 || rows == 2, "transaction %s/%s left %d of 2 rows", p.service, p.id, rows)
	switch kind {
	case answered:
		l.check(ReplacedPrimary, rows > 0, "committed transaction %s/%s is lost", p.service, p.id)
	case notRun, refusedByDatabase:
		l.check(NotRun, rows == 0, "transaction %s/%s has effect although it was rolled back or not run", p.service, p.id)
	}
}

func (l *Checker) settleLot(p place, x *lot, quantity int) {
	l.check(ReplacedPrimary, quantity >= x.acknowledged, "lot %s/%s has %d moves, %d were acknowledged", p.service, p.id, quantity, x.acknowledged)
	most := x.started - x.notRun
	l.check(NotRun, quantity <= most, "lot %s/%s has %d moves, at most %d may have run", p.service, p.id, quantity, most)
}

func (l *Checker) settleRecall(p place, r *recall, rows int) {
	l.check(AtMostOnce, rows <= 1, "request key %s/%s took effect %d times", p.service, p.id, rows)
	if r.acknowledged {
		l.check(ReplacedPrimary, rows >= 1, "acknowledged recall %s/%s is lost", p.service, p.id)
	}
	if !r.acknowledged && !r.mayHaveRun {
		l.check(NotRun, rows == 0, "recall %s/%s is present although it was reported as not run", p.service, p.id)
	}
}
