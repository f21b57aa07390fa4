package modelcheck

import (
	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/core/verdict"
)

// executeStatement runs exec on a member over an open connection; the function that exec
// returns handles the answer. A connection that no longer answers is replaced after one
// failure.
func (sim *simulation) executeStatement(o *instance, i int, exec func() func(), lost func()) {
	link, epoch := [2]int{o.index, i}, o.epoch
	failed := sim.localEvent(o, epoch, lost)
	if !sim.silentStatements[link] {
		sim.call(o, i, func() { sim.reply(o, epoch, i, exec(), failed) }, failed)
		return
	}
	delete(sim.silentStatements, link)
	if sim.rng.IntN(2) == 0 {
		sim.call(o, i, func() { exec() }, nil)
	}
	failed()
}

// monitor requests the status of a member in half of the ticks. For a replica with recent
// reads by age, it also requests barriers, which prove the age of the replica's data.
func (sim *simulation) monitor(o *instance, i int) {
	if sim.rng.IntN(2) == 0 {
		sim.pollStatus(o, i, func() {})
	}
	st := &o.owned[i]
	if st.known && st.status.Role == failover.Replica && sim.now < st.ageUntil && sim.rng.IntN(2) == 0 {
		asked := sim.now
		sim.requestBarrier(o, func(p position.Position, err *verdict.Error) {
			if err == nil {
				o.owned[i].age.AddBarrier(asked, p)
			}
		})
	}
}

func (sim *simulation) pollStatus(o *instance, i int, then func()) {
	st, epoch := &o.owned[i], o.epoch
	st.polls++
	poll := st.polls
	sim.call(o, i, func() {
		s := sim.members[i].status()
		sim.reply(o, epoch, i, func() {
			if st.polls == poll {
				sim.observe(o, i, s)
			}
			then()
		}, sim.localEvent(o, epoch, then))
	}, sim.localEvent(o, epoch, then))
}

func (sim *simulation) observe(o *instance, i int, s failover.Status) {
	st := &o.owned[i]
	st.status, st.known = s, true
	sim.raiseTerm(o, i, s.Term)
	if s.Role == failover.Replica {
		st.age.SetApplied(s.Last)
	} else if s.Last.Term == s.Term {
		sim.report(o, i, s)
	}
}

func (sim *simulation) raiseTerm(o *instance, i int, term uint64) {
	if term > o.trackers[i].Term() {
		o.owned[i].quiescedUntil = 0
		sim.applyConfirm(o, i, o.trackers[i].NewTerm(term, sim.now))
	}
}

// follows reports whether an answer of a replica at position p may be used, by the rule of
// instance/owner. The terms must be equal: with an entry of its current term, a replica
// has the log with which that term began, while one that has just begun to follow may
// still have entries that it is about to discard.
func (st *ownedMember) follows(p position.Position) bool {
	return st.status.Role == failover.Replica && st.status.Primary != "" && p.Term == st.status.Term
}

// requestBarrier requests a confirmed position from the owner of the primary.
func (sim *simulation) requestBarrier(from *instance, then func(position.Position, *verdict.Error)) {
	epoch := from.epoch
	fail := sim.localEvent(from, epoch, func() { then(position.Position{}, verdict.New(verdict.CutOff, "no barrier")) })
	r, known := from.coordinator.Route()
	if !known {
		fail()
		return
	}
	i := sim.index(r.Primary)
	o := sim.instances[sim.owners[i]]
	sim.sendBetween(from, o, func() {
		sim.nextID++
		o.callbacks[sim.nextID] = func(p position.Position, err *verdict.Error) {
			sim.sendBetween(o, from, func() { then(p, err) }, fail)
		}
		sim.applyConfirm(o, i, o.trackers[i].Barrier(sim.nextID, sim.now))
	}, fail)
}

// serve executes a call at the owner of member i.
func (sim *simulation) serve(c *call, d route.Decision, o *instance, i int, reply func(answer)) {
	fail := func(code verdict.Code) {
		reply(answer{err: verdict.New(code, "owner of %s", d.Upstream).WithRetryAfter(behindRetry)})
	}
	st := &o.owned[i]
	if sim.closed(i) {
		// route.Next may return a decision made before the member was closed; the owner
		// refuses it.
		fail(verdict.Draining)
		return
	}
	if c.id != 0 {
		if sim.now < st.quiescedUntil {
			fail(verdict.Draining)
			return
		}
		st.writes++
		done := reply
		reply = func(a answer) { st.writes--; done(a) }
		if c.request.Class == route.Transaction {
			sim.serveTransaction(c, o, i, reply)
		} else {
			sim.serveWrite(c, o, i, 0, reply)
		}
		return
	}
	if d.MaxAge > 0 {
		st.ageUntil = sim.now + ageDemandWindow
	}
	ready := func(least position.Position) { sim.replicaRead(d, o, i, least, reply) }
	switch age, proven := st.age.Age(sim.now); {
	case d.Proof == route.PrimaryConfirmed:
		sim.primaryRead(o, i, reply)
	case d.Proof == route.ReplicaAtPosition, d.Proof == route.ReplicaByAge && proven && age <= d.MaxAge:
		ready(d.MinPosition)
	default:
		sim.requestBarrier(o, func(p position.Position, err *verdict.Error) {
			if err != nil {
				fail(verdict.CutOff)
				return
			}
			ready(position.Max(d.MinPosition, p))
		})
	}
}

func failure(code verdict.Code) answer { return answer{err: verdict.New(code, "test")} }

// serveTransaction begins a transaction and commits it with a second message.
func (sim *simulation) serveTransaction(c *call, o *instance, i int, reply func(answer)) {
	sim.executeStatement(o, i, func() func() {
		term := sim.members[i].term
		return func() { sim.serveWrite(c, o, i, term, reply) }
	}, func() { reply(failure(verdict.TransactionRolledBack)) })
}

// serveWrite commits a write. term is the term in which its transaction began, 0 for a
// write outside of a transaction.
func (sim *simulation) serveWrite(c *call, o *instance, i int, term uint64, reply func(answer)) {
	sim.nextID++
	id, tr := sim.nextID, o.trackers[i]
	tr.Started(id)
	lost := verdict.OutcomeUnknown
	refused := verdict.NoPrimary
	if term != 0 {
		lost, refused = verdict.CommitUnknown, verdict.TransactionRolledBack
	}
	sim.executeStatement(o, i, func() func() {
		m := sim.members[i]
		if m.role != failover.Primary || term != 0 && m.term != term {
			return func() {
				tr.Abandoned(id)
				reply(failure(refused))
			}
		}
		wrote, p, ran := m.commit(c)
		if ran {
			sim.terms[m.term].ids[c.id] = true
			sim.noteQuorum(m)
		}
		return func() {
			sim.confirm(o, i, id, ran, p, func(p position.Position) answer { return answer{pos: p, id: wrote} }, reply)
		}
	}, func() {
		tr.Abandoned(id)
		reply(failure(lost))
	})
}

// commit appends the write of a call unless its request key is recorded. It returns the
// ID of the write in the log, the last position, and whether this call appended it.
func (m *member) commit(c *call) (uint64, position.Position, bool) {
	for _, e := range m.log {
		if c.key != 0 && e.key == c.key {
			return e.id, m.last(), false
		}
	}
	p := m.append(c.id)
	m.log[len(m.log)-1].key = c.key
	return c.id, p, true
}

func (sim *simulation) primaryRead(o *instance, i int, reply func(answer)) {
	sim.nextID++
	id := sim.nextID
	sim.executeStatement(o, i, func() func() {
		log := sim.members[i].log
		return func() {
			sim.confirm(o, i, id, false, positionOf(log), func(p position.Position) answer { return answer{pos: p, log: log} }, reply)
		}
	}, func() { reply(failure(verdict.Internal)) })
}

// confirm replies once the tracker has confirmed the position, as instance/owner does.
func (sim *simulation) confirm(o *instance, i int, id uint64, write bool, p position.Position, result func(position.Position) answer, reply func(answer)) {
	tr := o.trackers[i]
	o.callbacks[id] = func(p position.Position, err *verdict.Error) {
		if err != nil {
			reply(answer{err: err})
			return
		}
		reply(result(p))
	}
	sim.raiseTerm(o, i, p.Term)
	if write {
		sim.applyConfirm(o, i, tr.Committed(id, p, sim.now))
		return
	}
	tr.Abandoned(id)
	sim.applyConfirm(o, i, tr.Read(id, p, sim.now))
}

func (sim *simulation) replicaRead(d route.Decision, o *instance, i int, least position.Position, reply func(answer)) {
	st := &o.owned[i]
	execute := func() {
		if !st.status.Last.AtLeast(least) {
			reply(failure(verdict.ReplicaBehind))
			return
		}
		sim.executeStatement(o, i, func() func() {
			log := sim.members[i].log
			return func() {
				if p := positionOf(log); st.follows(p) && p.AtLeast(least) {
					reply(answer{pos: p, log: log})
					return
				}
				reply(failure(verdict.ReplicaBehind))
			}
		}, func() { reply(failure(verdict.Internal)) })
	}
	if st.status.Last.AtLeast(least) {
		execute()
		return
	}
	sim.pollStatus(o, i, execute)
}
