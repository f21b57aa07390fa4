package modelcheck

import (
	"time"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/verdict"
)

type acknowledgedWrite struct {
	id  uint64
	pos position.Position
	at  time.Duration // time of the acknowledgement
}

// termHistory is the history of one term. Its times are steps of the simulation.
type termHistory struct {
	member       string
	promotedAt   int
	writeIDs     map[uint64]bool // IDs of all entries that the log of the primary has held
	acknowledged bool
	// quorumAt holds, by offset, the step at which a quorum first held it in this term.
	quorumAt map[uint64]int
}

type fataler interface{ Fatalf(string, ...any) }

// oracle records the answers that callers have received and checks that the guarantees
// hold for them. A violation fails the test.
type oracle struct {
	t        fataler
	now      time.Duration
	step     int
	terms    map[uint64]*termHistory
	acks     []acknowledgedWrite
	answered map[uint64]bool
	writes   map[uint64]bool
	// strictlyRead holds the writes that an answered strict read has returned, with the
	// term of the first such read.
	strictlyRead map[uint64]uint64
}

func newOracle() *oracle {
	return &oracle{terms: map[uint64]*termHistory{}, answered: map[uint64]bool{}, writes: map[uint64]bool{}, strictlyRead: map[uint64]uint64{}}
}

func (o *oracle) recordPromotion(m *member) {
	if history := o.terms[m.term]; history != nil {
		o.t.Fatalf("guarantee 2 (section 6.4: one primary a term): term %d has primaries %s and %s", m.term, history.member, m.id)
	}
	history := &termHistory{member: string(m.id), promotedAt: o.step, writeIDs: map[uint64]bool{}, quorumAt: map[uint64]int{}}
	for _, e := range m.log {
		history.writeIDs[e.id] = true
	}
	o.terms[m.term] = history
}

func (o *oracle) recordAnswer(id uint64) {
	if o.answered[id] {
		o.t.Fatalf("guarantee 4 (complete and matching responses): request %d is answered twice", id)
	}
	o.answered[id] = true
}

func (o *oracle) recordAcknowledgement(id uint64, p position.Position) {
	o.recordAnswer(id)
	o.acks = append(o.acks, acknowledgedWrite{id, p, o.now})
	o.terms[p.Term].acknowledged = true
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
	o.checkSurvival()
}

// checkSurvival checks that each primary that has acknowledged a write holds the
// acknowledged writes and the results of strict reads of its own and earlier terms.
func (o *oracle) checkSurvival() {
	for term, later := range o.terms {
		if !later.acknowledged {
			continue
		}
		for _, a := range o.acks {
			if a.pos.Term <= term && !later.writeIDs[a.id] {
				o.t.Fatalf("guarantee 1 (acknowledged writes last): write %d at %s is missing on the primary of term %d", a.id, a.pos, term)
			}
		}
		for id, seen := range o.strictlyRead {
			if seen <= term && !later.writeIDs[id] {
				o.t.Fatalf("guarantee 1 (section 6.3: what a strict read saw survives): write %d shown in term %d is missing in term %d", id, seen, term)
			}
		}
	}
}

// checkStrictRead checks that an answered strict read returned the first acksBefore
// acknowledged writes, those before its submission. how describes the read in failures.
func (o *oracle) checkStrictRead(log []logEntry, acksBefore int, how string) {
	ids := idsOf(log)
	for _, a := range o.acks[:acksBefore] {
		if !ids[a.id] {
			o.t.Fatalf("guarantee 1 (read-your-writes, strict read %s): write %d at %s was acknowledged before the read and is not seen at %s", how, a.id, a.pos, positionOf(log))
		}
	}
}

func (o *oracle) recordStrictRead(log []logEntry, term uint64) {
	for _, e := range log {
		if _, ok := o.strictlyRead[e.id]; !ok && e.id != 0 {
			o.strictlyRead[e.id] = term
		}
	}
	o.checkSurvival()
}

func (o *oracle) recordFailure(id uint64, e *verdict.Error) {
	o.recordAnswer(id)
	if o.writes[id] && e.Verdict == verdict.NotRun {
		o.t.Fatalf("guarantee 5 (not run means not run): committed write %d is reported as %v", id, e)
	}
}

// checkPositions checks section 6.2 of docs/design.md on each member: a log that has
// reached the position of an acknowledged write contains that write.
func (o *oracle) checkPositions(members []*member) {
	for _, m := range members {
		ids, last := idsOf(m.log), m.last()
		for _, a := range o.acks {
			if last.AtLeast(a.pos) && !ids[a.id] {
				o.t.Fatalf("guarantee 1 (section 6.2: positions): %s is at %s without write %d at %s", m.id, last, a.id, a.pos)
			}
		}
	}
}

func idsOf(log []logEntry) map[uint64]bool {
	ids := make(map[uint64]bool, len(log))
	for _, e := range log {
		ids[e.id] = true
	}
	return ids
}
