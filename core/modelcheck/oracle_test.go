package modelcheck

import (
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
)

type acked struct {
	id  uint64
	pos position.Position
	at  time.Duration
}

// primacy is the history of one term.
type primacy struct {
	member     string
	promotedAt int
	ids        map[uint64]bool // entries in the log of the primary, ever
	acked      bool
	// quorumAt holds the step at which a quorum held each offset in this term.
	quorumAt map[uint64]int
}

type failer interface{ Fatalf(string, ...any) }

// oracle holds what has been promised to callers.
type oracle struct {
	t        failer
	now      time.Duration
	step     int
	terms    map[uint64]*primacy
	acks     []acked
	answered map[uint64]bool
	writes   map[uint64]bool
	// exposed are writes that an answered strict read has shown.
	exposed map[uint64]uint64
}

func newOracle() *oracle {
	return &oracle{terms: map[uint64]*primacy{}, answered: map[uint64]bool{}, writes: map[uint64]bool{}, exposed: map[uint64]uint64{}}
}

func (o *oracle) promoted(m *member) {
	if p := o.terms[m.term]; p != nil {
		o.t.Fatalf("guarantee 2 (section 6.4: one primary a term): term %d has primaries %s and %s", m.term, p.member, m.id)
	}
	p := &primacy{member: string(m.id), promotedAt: o.step, ids: map[uint64]bool{}, quorumAt: map[uint64]int{}}
	for _, e := range m.log {
		p.ids[e.id] = true
	}
	o.terms[m.term] = p
}

func (o *oracle) answer(id uint64) {
	if o.answered[id] {
		o.t.Fatalf("guarantee 4 (complete and matching responses): request %d is answered twice", id)
	}
	o.answered[id] = true
}

func (o *oracle) acknowledged(id uint64, p position.Position) {
	o.answer(id)
	o.acks = append(o.acks, acked{id, p, o.now})
	o.terms[p.Term].acked = true
	formed, ok := o.terms[p.Term].quorumAt[p.Offset]
	if !ok {
		o.t.Fatalf("guarantee 1 (section 6.3: quorum): write %d at %s is acknowledged, no quorum holds it", id, p)
	}
	for term, later := range o.terms {
		if term > p.Term && formed >= later.promotedAt {
			o.t.Fatalf("guarantee 2 (no acknowledgement by a replaced primary): write %d at %s was confirmed at step %d, after the primary of term %d took over at step %d",
				id, p, formed, term, later.promotedAt)
		}
	}
	o.survival()
}

// survival checks each later primary that has acknowledged anything.
func (o *oracle) survival() {
	for term, later := range o.terms {
		if !later.acked {
			continue
		}
		for _, a := range o.acks {
			if a.pos.Term <= term && !later.ids[a.id] {
				o.t.Fatalf("guarantee 1 (acknowledged writes last): write %d at %s is missing on the primary of term %d", a.id, a.pos, term)
			}
		}
		for id, seen := range o.exposed {
			if seen <= term && !later.ids[id] {
				o.t.Fatalf("guarantee 1 (section 6.3: what a strict read saw survives): write %d shown in term %d is missing in term %d", id, seen, term)
			}
		}
	}
}

// strictRead checks an answered read that was submitted after n acknowledgements.
func (o *oracle) strictRead(log []entry, n int, how string) {
	ids := idsOf(log)
	for _, a := range o.acks[:n] {
		if !ids[a.id] {
			o.t.Fatalf("guarantee 1 (read-your-writes, strict read %s): write %d at %s was acknowledged before the read and is not seen at %s", how, a.id, a.pos, positionOf(log))
		}
	}
}

func (o *oracle) expose(log []entry, term uint64) {
	for _, e := range log {
		if _, ok := o.exposed[e.id]; !ok && e.id != 0 {
			o.exposed[e.id] = term
		}
	}
	o.survival()
}

func (o *oracle) gaveUp(id uint64, e *verdict.Error) {
	o.answer(id)
	if o.writes[id] && e.Verdict == verdict.NotRun {
		o.t.Fatalf("guarantee 5 (not run means not run): committed write %d is reported as %v", id, e)
	}
}

// positions checks the claim of section 6.2 on each member.
func (o *oracle) positions(members []*member) {
	for _, m := range members {
		ids, last := idsOf(m.log), m.last()
		for _, a := range o.acks {
			if last.AtLeast(a.pos) && !ids[a.id] {
				o.t.Fatalf("guarantee 1 (section 6.2: positions): %s is at %s without write %d at %s", m.id, last, a.id, a.pos)
			}
		}
	}
}

func idsOf(log []entry) map[uint64]bool {
	ids := make(map[uint64]bool, len(log))
	for _, e := range log {
		ids[e.id] = true
	}
	return ids
}
