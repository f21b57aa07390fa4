package modelcheck

import (
	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/core/verdict"
)

// statement runs exec on a member over an open connection; the function that it
// returns takes in the answer. A silent connection is replaced after one failure.
func (w *world) statement(o *instance, i int, exec func() func(), lost func()) {
	link, epoch := [2]int{o.index, i}, o.epoch
	failed := w.inside(o, epoch, lost)
	if !w.mute[link] {
		w.call(o, i, func() { w.reply(o, epoch, i, exec(), failed) }, failed)
		return
	}
	delete(w.mute, link)
	if w.rng.IntN(2) == 0 {
		w.call(o, i, func() { exec() }, nil)
	}
	failed()
}

// monitor reads the status of a member and now and then proves its age.
func (w *world) monitor(o *instance, i int) {
	if w.rng.IntN(2) == 0 {
		w.pollStatus(o, i, func() {})
	}
	st := &o.owned[i]
	if st.known && st.status.Role == failover.Replica && w.now < st.ageUntil && w.rng.IntN(2) == 0 {
		asked := w.now
		w.freshBarrier(o, func(p position.Position, err *verdict.Error) {
			if err == nil {
				o.owned[i].age.AddBarrier(asked, p)
			}
		})
	}
}

func (w *world) pollStatus(o *instance, i int, then func()) {
	st, epoch := &o.owned[i], o.epoch
	st.polls++
	poll := st.polls
	w.call(o, i, func() {
		s := w.members[i].status()
		w.reply(o, epoch, i, func() {
			if st.polls == poll {
				w.observe(o, i, s)
			}
			then()
		}, w.inside(o, epoch, then))
	}, w.inside(o, epoch, then))
}

func (w *world) observe(o *instance, i int, s failover.Status) {
	st := &o.owned[i]
	st.status, st.known = s, true
	w.raiseTerm(o, i, s.Term)
	if s.Role == failover.Replica {
		st.age.SetApplied(s.Last)
	} else if s.Last.Term == s.Term {
		w.report(o, i, s)
	}
}

func (w *world) raiseTerm(o *instance, i int, term uint64) {
	if term > o.trackers[i].Term() {
		o.owned[i].quietUntil = 0
		w.track(o, i, o.trackers[i].NewTerm(term, w.now))
	}
}

// follows is the rule of instance/owner for answers of replicas. The terms must
// be equal: with an entry of its current term a replica has the log with which
// that term began, while one that has just begun to follow may still show
// entries that it is about to discard.
func (st *owned) follows(p position.Position) bool {
	return st.status.Role == failover.Replica && st.status.Primary != "" && p.Term == st.status.Term
}

// freshBarrier asks the owner of the primary for a confirmed position.
func (w *world) freshBarrier(from *instance, then func(position.Position, *verdict.Error)) {
	epoch := from.epoch
	fail := w.inside(from, epoch, func() { then(position.Position{}, verdict.New(verdict.CutOff, "no barrier")) })
	r, known := from.c.Route()
	if !known {
		fail()
		return
	}
	i := w.index(r.Primary)
	o := w.instances[w.home[i]]
	w.between(from, o, func() {
		w.nextID++
		o.work[w.nextID] = func(p position.Position, err *verdict.Error) {
			w.between(o, from, func() { then(p, err) }, fail)
		}
		w.track(o, i, o.trackers[i].Barrier(w.nextID, w.now))
	}, fail)
}

// serve runs a call at the owner of member i.
func (w *world) serve(c *call, d route.Decision, o *instance, i int, reply func(answer)) {
	fail := func(code verdict.Code) {
		reply(answer{err: verdict.New(code, "owner of %s", d.Upstream).WithRetryAfter(behindRetry)})
	}
	st := &o.owned[i]
	if w.closed(i) {
		// A decision of Next may be older than the limit, and the owner refuses it.
		fail(verdict.Draining)
		return
	}
	if c.id != 0 {
		if w.now < st.quietUntil {
			fail(verdict.Draining)
			return
		}
		st.writes++
		done := reply
		reply = func(a answer) { st.writes--; done(a) }
		if c.r.Class == route.Transaction {
			w.serveTransaction(c, o, i, reply)
		} else {
			w.serveWrite(c, o, i, 0, reply)
		}
		return
	}
	if d.MaxAge > 0 {
		st.ageUntil = w.now + ageDemandWindow
	}
	ready := func(least position.Position) { w.replicaRead(d, o, i, least, reply) }
	switch age, proven := st.age.Age(w.now); {
	case d.Proof == route.PrimaryConfirmed:
		w.primaryRead(o, i, reply)
	case d.Proof == route.ReplicaAtPosition, d.Proof == route.ReplicaByAge && proven && age <= d.MaxAge:
		ready(d.MinPosition)
	default:
		w.freshBarrier(o, func(p position.Position, err *verdict.Error) {
			if err != nil {
				fail(verdict.CutOff)
				return
			}
			ready(position.Max(d.MinPosition, p))
		})
	}
}

func failure(code verdict.Code) answer { return answer{err: verdict.New(code, "test")} }

// serveTransaction begins a transaction and commits it with another message.
func (w *world) serveTransaction(c *call, o *instance, i int, reply func(answer)) {
	w.statement(o, i, func() func() {
		term := w.members[i].term
		return func() { w.serveWrite(c, o, i, term, reply) }
	}, func() { reply(failure(verdict.TransactionRolledBack)) })
}

// serveWrite commits a write; term is that in which its transaction began, 0 for
// a write on its own.
func (w *world) serveWrite(c *call, o *instance, i int, term uint64, reply func(answer)) {
	w.nextID++
	id, tr := w.nextID, o.trackers[i]
	tr.Started(id)
	lost := verdict.OutcomeUnknown
	refused := verdict.NoPrimary
	if term != 0 {
		lost, refused = verdict.CommitUnknown, verdict.TransactionRolledBack
	}
	w.statement(o, i, func() func() {
		m := w.members[i]
		if m.role != failover.Primary || term != 0 && m.term != term {
			return func() {
				tr.Abandoned(id)
				reply(failure(refused))
			}
		}
		wrote, p, ran := m.commit(c)
		if ran {
			w.terms[m.term].ids[c.id] = true
			w.noteQuorum(m)
		}
		return func() {
			w.confirm(o, i, id, ran, p, func(p position.Position) answer { return answer{pos: p, id: wrote} }, reply)
		}
	}, func() {
		tr.Abandoned(id)
		reply(failure(lost))
	})
}

// commit appends the write unless its key is recorded. It returns the write that
// the log holds, the last position, and whether the call ran now.
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

func (w *world) primaryRead(o *instance, i int, reply func(answer)) {
	w.nextID++
	id := w.nextID
	w.statement(o, i, func() func() {
		log := w.members[i].log
		return func() {
			w.confirm(o, i, id, false, positionOf(log), func(p position.Position) answer { return answer{pos: p, log: log} }, reply)
		}
	}, func() { reply(failure(verdict.Internal)) })
}

// confirm waits for the tracker as instance/owner does.
func (w *world) confirm(o *instance, i int, id uint64, write bool, p position.Position, result func(position.Position) answer, reply func(answer)) {
	tr := o.trackers[i]
	o.work[id] = func(p position.Position, err *verdict.Error) {
		if err != nil {
			reply(answer{err: err})
			return
		}
		reply(result(p))
	}
	w.raiseTerm(o, i, p.Term)
	if write {
		w.track(o, i, tr.Committed(id, p, w.now))
		return
	}
	tr.Abandoned(id)
	w.track(o, i, tr.Read(id, p, w.now))
}

func (w *world) replicaRead(d route.Decision, o *instance, i int, least position.Position, reply func(answer)) {
	st := &o.owned[i]
	execute := func() {
		if !st.status.Last.AtLeast(least) {
			reply(failure(verdict.ReplicaBehind))
			return
		}
		w.statement(o, i, func() func() {
			log := w.members[i].log
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
	w.pollStatus(o, i, execute)
}
