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
func (sim *simulation) executeStatement(owner *instance, i int, exec func() func(), lost func()) {
	link, epoch := [2]int{owner.index, i}, owner.epoch
	failed := sim.localEvent(owner, epoch, lost)
	if !sim.silentStatements[link] {
		sim.sendRequest(owner, i, func() { sim.sendReply(owner, epoch, i, exec(), failed) }, failed)
		return
	}
	delete(sim.silentStatements, link)
	if sim.rng.IntN(2) == 0 {
		sim.sendRequest(owner, i, func() { exec() }, nil)
	}
	failed()
}

// monitor requests the status of a member in half of the ticks. For a replica with recent
// reads by age, it also requests barriers, which prove the age of the replica's data.
func (sim *simulation) monitor(owner *instance, i int) {
	if sim.rng.IntN(2) == 0 {
		sim.pollStatus(owner, i, func() {})
	}
	owned := &owner.owned[i]
	if owned.known && owned.status.Role == failover.Replica && sim.now < owned.ageUntil && sim.rng.IntN(2) == 0 {
		asked := sim.now
		sim.requestBarrier(owner, func(p position.Position, err *verdict.Error) {
			if err == nil {
				owner.owned[i].age.AddBarrier(asked, p)
			}
		})
	}
}

func (sim *simulation) pollStatus(owner *instance, i int, then func()) {
	owned, epoch := &owner.owned[i], owner.epoch
	owned.polls++
	poll := owned.polls
	sim.sendRequest(owner, i, func() {
		s := sim.members[i].status()
		sim.sendReply(owner, epoch, i, func() {
			if owned.polls == poll {
				sim.observe(owner, i, s)
			}
			then()
		}, sim.localEvent(owner, epoch, then))
	}, sim.localEvent(owner, epoch, then))
}

func (sim *simulation) observe(owner *instance, i int, s failover.Status) {
	owned := &owner.owned[i]
	owned.status, owned.known = s, true
	sim.raiseTerm(owner, i, s.Term)
	if s.Role == failover.Replica {
		owned.age.SetApplied(s.Last)
	} else if s.Last.Term == s.Term {
		sim.report(owner, i, s)
	}
}

// raiseTerm moves the tracker of member i to a later term, which ends the quiescence.
func (sim *simulation) raiseTerm(owner *instance, i int, term uint64) {
	if term > owner.trackers[i].Term() {
		owner.owned[i].quiescedUntil = 0
		sim.applyConfirm(owner, i, owner.trackers[i].NewTerm(term, sim.now))
	}
}

// follows reports whether an answer of a replica at position p may be used, by the rule of
// instance/owner. The terms must be equal: with an entry of its current term, a replica
// has the log with which that term began, while one that has just begun to follow may
// still have entries that it is about to discard.
func (owned *ownedMember) follows(p position.Position) bool {
	return owned.status.Role == failover.Replica && owned.status.Primary != "" && p.Term == owned.status.Term
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
	i := sim.memberIndex(r.Primary)
	owner := sim.instances[sim.owners[i]]
	sim.sendBetween(from, owner, func() {
		sim.nextID++
		owner.callbacks[sim.nextID] = func(p position.Position, err *verdict.Error) {
			sim.sendBetween(owner, from, func() { then(p, err) }, fail)
		}
		sim.applyConfirm(owner, i, owner.trackers[i].Barrier(sim.nextID, sim.now))
	}, fail)
}

// serve executes a call at the owner of member i.
func (sim *simulation) serve(c *call, decision route.Decision, owner *instance, i int, reply func(answer)) {
	fail := func(code verdict.Code) {
		reply(answer{err: verdict.New(code, "owner of %s", decision.Upstream).WithRetryAfter(behindRetry)})
	}
	owned := &owner.owned[i]
	if sim.closed(i) {
		// route.Next may return a decision made before the member was closed; the owner
		// refuses it.
		fail(verdict.Draining)
		return
	}
	if c.id != 0 {
		if sim.now < owned.quiescedUntil {
			fail(verdict.Draining)
			return
		}
		owned.writes++
		done := reply
		reply = func(a answer) { owned.writes--; done(a) }
		if c.request.Class == route.Transaction {
			sim.serveTransaction(c, owner, i, reply)
		} else {
			sim.serveWrite(c, owner, i, 0, reply)
		}
		return
	}
	if decision.MaxAge > 0 {
		owned.ageUntil = sim.now + ageDemandWindow
	}
	ready := func(least position.Position) { sim.replicaRead(decision, owner, i, least, reply) }
	switch age, proven := owned.age.Age(sim.now); {
	case decision.Proof == route.PrimaryConfirmed:
		sim.primaryRead(owner, i, reply)
	case decision.Proof == route.ReplicaAtPosition, decision.Proof == route.ReplicaByAge && proven && age <= decision.MaxAge:
		ready(decision.MinPosition)
	default:
		sim.requestBarrier(owner, func(p position.Position, err *verdict.Error) {
			if err != nil {
				fail(verdict.CutOff)
				return
			}
			ready(position.Max(decision.MinPosition, p))
		})
	}
}

func failure(code verdict.Code) answer { return answer{err: verdict.New(code, "test")} }

// serveTransaction begins a transaction and commits it with a second message.
func (sim *simulation) serveTransaction(c *call, owner *instance, i int, reply func(answer)) {
	sim.executeStatement(owner, i, func() func() {
		term := sim.members[i].term
		return func() { sim.serveWrite(c, owner, i, term, reply) }
	}, func() { reply(failure(verdict.TransactionRolledBack)) })
}

// serveWrite commits a write. term is the term in which its transaction began, 0 for a
// write outside of a transaction.
func (sim *simulation) serveWrite(c *call, owner *instance, i int, term uint64, reply func(answer)) {
	sim.nextID++
	id, tr := sim.nextID, owner.trackers[i]
	tr.Started(id)
	lost := verdict.OutcomeUnknown
	refused := verdict.NoPrimary
	if term != 0 {
		lost, refused = verdict.CommitUnknown, verdict.TransactionRolledBack
	}
	sim.executeStatement(owner, i, func() func() {
		m := sim.members[i]
		if m.role != failover.Primary || term != 0 && m.term != term {
			return func() {
				tr.Abandoned(id)
				reply(failure(refused))
			}
		}
		wrote, p, ran := m.commit(c)
		if ran {
			sim.terms[m.term].writeIDs[c.id] = true
			sim.recordQuorum(m)
		}
		return func() {
			sim.replyWhenConfirmed(owner, i, id, ran, p, func(p position.Position) answer { return answer{pos: p, id: wrote} }, reply)
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

func (sim *simulation) primaryRead(owner *instance, i int, reply func(answer)) {
	sim.nextID++
	id := sim.nextID
	sim.executeStatement(owner, i, func() func() {
		log := sim.members[i].log
		return func() {
			sim.replyWhenConfirmed(owner, i, id, false, positionOf(log), func(p position.Position) answer { return answer{pos: p, log: log} }, reply)
		}
	}, func() { reply(failure(verdict.Internal)) })
}

// replyWhenConfirmed replies with result once the tracker has confirmed position p of a
// write or a read, as instance/owner does.
func (sim *simulation) replyWhenConfirmed(owner *instance, i int, id uint64, write bool, p position.Position, result func(position.Position) answer, reply func(answer)) {
	tr := owner.trackers[i]
	owner.callbacks[id] = func(p position.Position, err *verdict.Error) {
		if err != nil {
			reply(answer{err: err})
			return
		}
		reply(result(p))
	}
	sim.raiseTerm(owner, i, p.Term)
	if write {
		sim.applyConfirm(owner, i, tr.Committed(id, p, sim.now))
		return
	}
	tr.Abandoned(id)
	sim.applyConfirm(owner, i, tr.Read(id, p, sim.now))
}

func (sim *simulation) replicaRead(decision route.Decision, owner *instance, i int, least position.Position, reply func(answer)) {
	owned := &owner.owned[i]
	execute := func() {
		if !owned.status.Last.AtLeast(least) {
			reply(failure(verdict.ReplicaBehind))
			return
		}
		sim.executeStatement(owner, i, func() func() {
			log := sim.members[i].log
			return func() {
				if p := positionOf(log); owned.follows(p) && p.AtLeast(least) {
					reply(answer{pos: p, log: log})
					return
				}
				reply(failure(verdict.ReplicaBehind))
			}
		}, func() { reply(failure(verdict.Internal)) })
	}
	if owned.status.Last.AtLeast(least) {
		execute()
		return
	}
	sim.pollStatus(owner, i, execute)
}
