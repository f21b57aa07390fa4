package modelcheck

import (
	"maps"
	"time"

	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/route"
	"github.com/papayarail/papayarail/core/verdict"
)

const (
	callTimeout = 3 * time.Second
	// closeAfter is the limit of guarantee 7.
	closeAfter = 3 * time.Second
	// These are as in instance/entry and instance/owner.
	unreachableFor  = 250 * ms
	behindRetry     = 100 * ms
	ageDemandWindow = 5 * time.Second
	// quiesceWait is the time for running writes to end before a planned switch.
	quiesceWait = 2 * time.Second
	maxAttempts = 3
)

var failureDomains = []string{"x", "y", "z"}

// session is a caller that carries its token from one instance to another.
type session struct {
	token         position.Position
	observed      map[uint64]bool // writes that its reads have shown
	unresolvedKey uint64          // of a request whose outcome is unknown
	busy          bool
}

// call is a request of a session at an entry instance.
type call struct {
	session    *session
	entry      *instance
	epoch      int
	id, key    uint64 // id of the write, 0 for a read
	request    route.Request
	decision   route.Decision
	began      time.Duration
	acks       int // acknowledgements before the request
	attempt    int
	dispatches int // counts dispatches; an answer to an earlier one is ignored
	done       bool
}

// observed is what an entry instance knows of a member, as in instance/entry.
type observedMember struct {
	route.Member
	at, unreachableUntil time.Duration
}

// owned is what an owner knows of a member, as in instance/owner.
type ownedMember struct {
	status        failover.Status
	polls         uint64 // of the control connection; answers keep their order
	known         bool
	age           route.AgeTracker
	quiescedUntil time.Duration
	writes        int
	ageUntil      time.Duration // until then the proof of age is refreshed
}

// answer is what an owner returns to an entry instance.
type answer struct {
	pos position.Position
	log []logEntry
	id  uint64 // of the write; that of the first one for a repeated key
	err *verdict.Error
}

func (w *simulation) addSessions() {
	for i := range w.members {
		w.owners = append(w.owners, i%len(w.instances))
	}
	for range 4 {
		w.sessions = append(w.sessions, &session{observed: map[uint64]bool{}})
	}
	w.silentStatements, w.keys, w.notRun, w.served = map[[2]int]bool{}, map[uint64]uint64{}, map[uint64]bool{}, map[string]int{}
	w.leaving = make([]time.Duration, len(w.members))
}

func (in *instance) finishCallback(id uint64, p position.Position, err *verdict.Error) bool {
	f := in.callbacks[id]
	delete(in.callbacks, id)
	if f != nil {
		f(p, err)
	}
	return f != nil
}

// startCall lets an idle session send a request to any instance.
func (w *simulation) startCall(t *rapid.T) {
	s := w.sessions[rapid.IntRange(0, len(w.sessions)-1).Draw(t, "session")]
	in := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(t, "entry")]
	if s.busy || in.paused {
		return
	}
	c := &call{session: s, entry: in, epoch: in.epoch, began: w.now, acks: len(w.acks)}
	c.request = route.Request{Token: s.token, Spread: uint32(w.rng.Uint64()), Rank: route.Rank(w.rng.IntN(3))}
	switch rapid.SampledFrom([]string{"write", "write", "keyed", "transaction", "strict", "session", "session", "stale", "stale", "stale"}).Draw(t, "request") {
	case "write":
		c.request.Class = route.Write
	case "keyed":
		c.request.Class = route.Write
		w.nextID++
		c.key = w.nextID
	case "transaction":
		c.request.Class = route.Transaction
	case "session":
		c.request.Mode = route.Session
	case "stale":
		c.request.Mode = route.Stale
		c.request.MaxAge = time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * tick
		// The age that a replica has just proven leaves no reserve.
		if x := w.view(in).Members[w.rng.IntN(len(w.members))]; x.AgeKnown && w.rng.IntN(4) > 0 {
			c.request.MaxAge = x.Age
		}
	}
	if s.unresolvedKey != 0 && rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		c.key, s.unresolvedKey = s.unresolvedKey, 0
		c.request.Class, c.request.Mode, c.request.MaxAge = route.Write, route.Strict, 0
	}
	w.submit(c)
}

// staleReplica cuts a replica off from its primary while barriers that prove its
// age are on their way, and reads from it with the age that it has just proven.
func (w *simulation) staleReplica(in *instance, i, replica int) {
	if i == replica || in.paused {
		return
	}
	owner := w.instances[w.owners[replica]]
	w.lossPerMil, w.delayPerMil = 0, 0
	for n := range 12 {
		owner.owned[replica].ageUntil = w.now + ageDemandWindow
		if n == 6 {
			w.delayPerMil = 300
		}
		w.write(in, i)
		w.advance()
	}
	w.delayPerMil = 0
	w.memberCut[[2]int{min(i, replica), max(i, replica)}] = true
	for range 4 {
		w.write(in, i)
		w.advance()
	}
	late := w.delayed
	w.delayed = nil
	for _, m := range late {
		w.deliver(m)
	}
	w.drain()
	for _, s := range w.sessions {
		x := &in.observed[replica]
		x.Age, x.AgeKnown = owner.owned[replica].age.Age(w.now)
		x.at, x.Applied = w.now, owner.owned[replica].status.Last
		if x.AgeKnown && !s.busy {
			w.submit(&call{session: s, entry: in, epoch: in.epoch, began: w.now, acks: len(w.acks),
				request: route.Request{Mode: route.Stale, MaxAge: x.Age, Token: s.token}})
			w.drain()
		}
	}
}

func (w *simulation) submit(c *call) {
	if c.request.Class != route.Read {
		w.nextID++
		c.id = w.nextID
		w.writes[c.id] = true
	}
	c.session.busy = true
	w.pending = append(w.pending, c)
	w.routeCall(c)
}

func (w *simulation) routeCall(c *call) {
	c.attempt++
	c.decision = route.Choose(c.request, w.view(c.entry))
	if c.decision.Reject == nil && w.closed(w.index(c.decision.Upstream)) {
		w.t.Fatalf("guarantee 7 (leaving upstreams): new work for %s, which began to leave more than %s ago", c.decision.Upstream, closeAfter)
	}
	w.dispatch(c)
}

func (w *simulation) view(in *instance) route.View {
	r, known := in.coordinator.Route()
	v := route.View{Route: r, HasRoute: known, FailureDomain: failureDomains[in.index], ConfirmTime: 5 * ms}
	for i, m := range w.members {
		x := in.observed[i].Member
		x.ID, x.FailureDomain = m.id, failureDomains[i]
		x.Reachable = w.now >= in.observed[i].unreachableUntil
		x.Age += w.now - in.observed[i].at
		x.Load = float64(w.rng.IntN(3))
		if w.leaving[i] > 0 {
			x.State = route.Leaving
		}
		if w.closed(i) {
			x.State = route.Closed
		}
		v.Members = append(v.Members, x)
	}
	return v
}

// leave makes a member begin or stop to leave; a primary is switched.
func (w *simulation) leave(i int, leaves bool) {
	w.leaving[i] = 0
	if leaves {
		w.leaving[i] = w.now
	}
	for _, in := range w.instances {
		in.coordinator.Keep(w.members[i].id)
		if r, ok := in.coordinator.Route(); leaves && ok && r.Primary == w.members[i].id {
			w.quiesce(in, i, closeAfter)
			w.applyFailover(in, in.coordinator.Replace(r.Primary, w.now))
		}
	}
}

// closed reports whether a member must get no new work any more.
func (w *simulation) closed(i int) bool { return w.leaving[i] > 0 && w.now-w.leaving[i] >= closeAfter }

// between sends a message to another instance, or to the same one.
func (w *simulation) sendBetween(from, to *instance, run, lost func()) {
	via := peer
	if from == to {
		via = local
	}
	w.queue = append(w.queue, message{inst: to.index, member: via, epoch: to.epoch, run: run, lost: lost})
}

// quiesce asks the owner of a member to refuse new writes.
func (w *simulation) quiesce(from *instance, i int, limit time.Duration) {
	o := w.instances[w.owners[i]]
	w.sendBetween(from, o, func() { o.owned[i].quiescedUntil = max(o.owned[i].quiescedUntil, w.now+limit) }, nil)
}

// dispatch sends the call to the owner of the chosen member.
func (w *simulation) dispatch(c *call) {
	if c.decision.Reject != nil {
		w.handleRejection(c, c.decision.Reject)
		return
	}
	i := w.index(c.decision.Upstream)
	c.dispatches++
	sent, o := c.dispatches, w.instances[w.owners[i]]
	reply := func(a answer) {
		lost := func() { w.handleAnswer(c, sent, answer{err: w.lostLink(c)}) }
		w.queue = append(w.queue, message{inst: c.entry.index, member: w.linkBetween(c.entry, o), epoch: c.epoch,
			run: func() { w.handleAnswer(c, sent, a) }, lost: w.localEvent(c.entry, c.epoch, lost)})
	}
	if o != c.entry && w.cut[[2]int{o.index, peer}] {
		w.localEvent(c.entry, c.epoch, func() {
			w.handleAnswer(c, sent, answer{err: verdict.New(verdict.CutOff, "no link to the owner of %s", c.decision.Upstream)})
		})()
		return
	}
	d := c.decision
	w.sendBetween(c.entry, o, func() { w.serve(c, d, o, i, reply) },
		w.localEvent(c.entry, c.epoch, func() { w.handleAnswer(c, sent, answer{err: w.lostLink(c)}) }))
}

func (w *simulation) linkBetween(a, b *instance) int {
	if a == b {
		return local
	}
	return peer
}

func (w *simulation) lostLink(c *call) *verdict.Error {
	if c.id != 0 {
		return verdict.New(verdict.OutcomeUnknown, "the link was lost")
	}
	return verdict.New(verdict.Internal, "the link was lost")
}

// answered takes in the answer of an owner.
func (w *simulation) handleAnswer(c *call, sent int, a answer) {
	if c.done || sent != c.dispatches {
		return
	}
	i := w.index(c.decision.Upstream)
	seen := &c.entry.observed[i]
	if a.err == nil {
		st := &w.instances[w.owners[i]].owned[i]
		*seen = observedMember{at: w.now}
		seen.Applied = st.status.Last
		seen.Age, seen.AgeKnown = st.age.Age(w.now)
		seen.Lag = time.Duration(w.rng.IntN(8)) * ms
		w.finish(c, a)
		return
	}
	switch a.err.Code {
	case verdict.CutOff, verdict.Draining, verdict.OutcomeUnknown, verdict.Internal:
		seen.unreachableUntil = w.now + unreachableFor
	case verdict.ReplicaBehind:
		seen.Lag, seen.at = behindRetry, w.now
	}
	c.decision = route.Next(c.decision, a.err)
	w.dispatch(c)
}

// rejected tries a request that was not run once more, as instance/entry does.
func (w *simulation) handleRejection(c *call, err *verdict.Error) {
	if err.Verdict == verdict.NotRun && c.attempt < maxAttempts && w.rng.IntN(2) == 0 {
		w.routeCall(c)
		return
	}
	w.finish(c, answer{err: err})
}

func (w *simulation) expireCalls() {
	kept := w.pending[:0]
	for _, c := range w.pending {
		if !c.done && (c.epoch != c.entry.epoch || w.now-c.began >= callTimeout) {
			w.finish(c, answer{err: verdict.New(verdict.OutcomeUnknown, "the caller stopped waiting")})
		}
		if !c.done {
			kept = append(kept, c)
		}
	}
	w.pending = kept
}

// finish hands the answer to the caller and checks it.
func (w *simulation) finish(c *call, a answer) {
	c.done, c.session.busy = true, false
	switch {
	case a.err != nil && c.id != 0:
		w.checkFailedCall(c, a.err)
	case a.err != nil:
	case c.id != 0:
		w.checkAcknowledgedCall(c, a)
	default:
		w.checkRead(c, a)
	}
}

func (w *simulation) checkFailedCall(c *call, err *verdict.Error) {
	if err.Verdict == verdict.NotRun {
		w.served["not run"]++
		w.notRun[c.id] = true
		w.checkLogs()
		return
	}
	w.unknownOutcomes++
	c.session.unresolvedKey = c.key
}

func (w *simulation) checkAcknowledgedCall(c *call, a answer) {
	if first, ok := w.keys[c.key]; ok && c.key != 0 && first != a.id {
		w.t.Fatalf("guarantee 6 (at most once): key %d is acknowledged for writes %d and %d", c.key, first, a.id)
	}
	w.served["write"]++
	if c.key != 0 {
		w.keys[c.key] = a.id
	}
	if c.key != 0 && w.rng.IntN(3) == 0 {
		c.session.unresolvedKey = c.key // the caller asks again although it was answered
	}
	if a.id != c.id {
		w.served["repeated key"]++
	}
	if !w.oracle.answered[a.id] {
		w.recordAcknowledgement(a.id, a.pos)
	}
	c.session.token = position.Max(c.session.token, a.pos)
}

func (w *simulation) checkRead(c *call, a answer) {
	w.served[c.decision.Proof.String()]++
	ids := idsOf(a.log)
	if c.request.Mode == route.Strict {
		w.checkStrictRead(a.log, c.acks, "of a session, "+c.decision.Proof.String())
	}
	if !a.pos.AtLeast(c.request.Token) {
		w.t.Fatalf("guarantee 1 (reads never go backwards): a read of %s by %s shows %s, the session is at %s", c.decision.Upstream, c.decision.Proof, a.pos, c.request.Token)
	}
	for id := range c.session.observed {
		if !ids[id] {
			w.t.Fatalf("guarantee 1 (reads never go backwards): a read of %s by %s at %s does not show write %d, which the session has seen", c.decision.Upstream, c.decision.Proof, a.pos, id)
		}
	}
	for _, x := range w.acks {
		switch {
		case ids[x.id]:
		case c.request.Token.AtLeast(x.pos):
			w.t.Fatalf("guarantee 1 (read-your-writes): a read of %s by %s at %s with token %s does not show write %d at %s", c.decision.Upstream, c.decision.Proof, a.pos, c.request.Token, x.id, x.pos)
		case c.request.Mode == route.Stale && x.at < c.began-c.request.MaxAge:
			w.t.Fatalf("guarantee 1 (stated age): a read of %s by %s at %s with age %s does not show write %d, acknowledged %s before it", c.decision.Upstream, c.decision.Proof, a.pos, c.request.MaxAge, x.id, c.began-x.at)
		}
	}
	delete(ids, 0)
	maps.Copy(c.session.observed, ids)
	c.session.token = position.Max(c.session.token, a.pos)
}

// checkLogs checks what no log may hold.
func (w *simulation) checkLogs() {
	for _, m := range w.members {
		keys := map[uint64]bool{}
		for _, e := range m.log {
			if w.notRun[e.id] {
				w.t.Fatalf("guarantee 5 (not run means not run): write %d is in the log of %s", e.id, m.id)
			}
			if e.key != 0 && keys[e.key] {
				w.t.Fatalf("guarantee 6 (at most once): key %d is twice in the log of %s", e.key, m.id)
			}
			keys[e.key] = true
		}
	}
}

// checkSwitch checks that a planned switch in a quiet network, as instance/node
// does it, interrupts no write of the sessions.
func (w *simulation) checkSwitch(t *rapid.T) {
	if len(w.memberCut) > 0 {
		return
	}
	for i := range w.members {
		w.leave(i, false)
		w.owners[i] = i % len(w.instances)
	}
	clear(w.silentStatements)
	for _, in := range w.instances {
		w.activate(in, in.index == 0)
	}
	r, _ := w.instances[0].coordinator.Route()
	i := w.index(r.Primary)
	before, writes := w.unknownOutcomes, w.served["write"]
	load := func(done func() bool) bool {
		for range recoveryTickLimit + stallTickLimit {
			for range 3 {
				w.startCall(t)
			}
			w.advance()
			if done() {
				return true
			}
		}
		return false
	}
	load(func() bool { return w.served["write"] > writes+2 })
	w.leaving[i] = w.now
	w.quiesce(w.instances[0], i, closeAfter)
	quietBy := w.now + quiesceWait
	load(func() bool { return w.instances[w.owners[i]].owned[i].writes == 0 || w.now >= quietBy })
	w.applyFailover(w.instances[0], w.instances[0].coordinator.Replace(r.Primary, w.now))
	moved := load(func() bool {
		now, _ := w.instances[0].coordinator.Route()
		return now.Primary != r.Primary && w.settled()
	})
	if !moved {
		w.t.Fatalf("guarantee 7 (leaving upstreams): %s is still primary after a planned switch", r.Primary)
	}
	if w.unknownOutcomes > before {
		w.t.Fatalf("guarantee 8 (graceful stop): a planned switch of %s left %d writes with an unknown outcome", r.Primary, w.unknownOutcomes-before)
	}
	w.switches++
}
