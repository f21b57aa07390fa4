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
	// closeAfter is the time of guarantee 7 after which a leaving member gets no new work.
	closeAfter = 3 * time.Second
	// The next three have the values of instance/router and instance/owner.
	unreachableFor  = 250 * ms
	behindRetry     = 100 * ms
	ageDemandWindow = 5 * time.Second
	// quiesceWait is the time in which running writes may end before a planned change of
	// primary.
	quiesceWait = 2 * time.Second
	maxAttempts = 3
)

var failureDomains = []string{"x", "y", "z"}

// session is a caller that presents its position token at any instance.
type session struct {
	token         position.Position
	observed      map[uint64]bool // writes that its reads have returned
	unresolvedKey uint64          // request key to repeat, as after an unknown outcome; 0 if none
	busy          bool            // a request is in progress
}

// call is a request of a session at an entry instance.
type call struct {
	session    *session
	entry      *instance
	epoch      int
	id, key    uint64 // id of the write, 0 for a read; request key, 0 for none
	request    route.Request
	decision   route.Decision
	began      time.Duration
	acks       int // number of acknowledged writes before the request
	attempt    int
	dispatches int // answers to other dispatches than the last one are ignored
	done       bool
}

// observedMember is the knowledge of an entry instance about a member, as in
// instance/router.
type observedMember struct {
	route.Member
	at, unreachableUntil time.Duration
}

// ownedMember is the knowledge of an owner about a member, as in instance/owner.
type ownedMember struct {
	status        failover.Status
	polls         uint64 // status requests on the control connection; older answers are ignored
	known         bool
	age           route.AgeTracker
	quiescedUntil time.Duration
	writes        int
	ageUntil      time.Duration // end of the time in which the proof of age is refreshed
}

// answer is what an owner returns to an entry instance.
type answer struct {
	pos position.Position
	log []logEntry
	id  uint64 // ID of the write; for a repeated key, that of the first write
	err *verdict.Error
}

func (sim *simulation) addSessions() {
	for i := range sim.members {
		sim.owners = append(sim.owners, i%len(sim.instances))
	}
	for range 4 {
		sim.sessions = append(sim.sessions, &session{observed: map[uint64]bool{}})
	}
	sim.silentStatements, sim.keys, sim.notRun, sim.served = map[[2]int]bool{}, map[uint64]uint64{}, map[uint64]bool{}, map[string]int{}
	sim.leaving = make([]time.Duration, len(sim.members))
}

func (in *instance) finishCallback(id uint64, p position.Position, err *verdict.Error) bool {
	f := in.callbacks[id]
	delete(in.callbacks, id)
	if f != nil {
		f(p, err)
	}
	return f != nil
}

// startCall sends a random request of a random session to a random instance, unless the
// session is busy or the instance paused.
func (sim *simulation) startCall(t *rapid.T) {
	s := sim.sessions[rapid.IntRange(0, len(sim.sessions)-1).Draw(t, "session")]
	in := sim.instances[rapid.IntRange(0, len(sim.instances)-1).Draw(t, "entry")]
	if s.busy || in.paused {
		return
	}
	c := &call{session: s, entry: in, epoch: in.epoch, began: sim.now, acks: len(sim.acks)}
	c.request = route.Request{Token: s.token, TieBreaker: uint32(sim.rng.Uint64()), Rank: route.Rank(sim.rng.IntN(3))}
	switch rapid.SampledFrom([]string{"write", "write", "keyed", "transaction", "strict", "session", "session", "stale", "stale", "stale"}).Draw(t, "request") {
	case "write":
		c.request.Class = route.Write
	case "keyed":
		c.request.Class = route.Write
		sim.nextID++
		c.key = sim.nextID
	case "transaction":
		c.request.Class = route.Transaction
	case "session":
		c.request.Consistency = route.Session
	case "stale":
		c.request.Consistency = route.Stale
		c.request.MaxAge = time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * tick
		// A maximum age equal to the one that a replica has just proven is the tightest
		// one that it can satisfy.
		if x := sim.view(in).Members[sim.rng.IntN(len(sim.members))]; x.AgeKnown && sim.rng.IntN(4) > 0 {
			c.request.MaxAge = x.Age
		}
	}
	if s.unresolvedKey != 0 && rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		c.key, s.unresolvedKey = s.unresolvedKey, 0
		c.request.Class, c.request.Consistency, c.request.MaxAge = route.Write, route.Strict, 0
	}
	sim.submit(c)
}

// staleReplica partitions a replica from its primary while barriers that prove its age are
// in transit, and reads from it with the age that it has just proven.
func (sim *simulation) staleReplica(in *instance, i, replica int) {
	if i == replica || in.paused {
		return
	}
	owner := sim.instances[sim.owners[replica]]
	sim.lossPerMil, sim.delayPerMil = 0, 0
	for n := range 12 {
		owner.owned[replica].ageUntil = sim.now + ageDemandWindow
		if n == 6 {
			sim.delayPerMil = 300
		}
		sim.write(in, i)
		sim.advance()
	}
	sim.delayPerMil = 0
	sim.memberCut[[2]int{min(i, replica), max(i, replica)}] = true
	for range 4 {
		sim.write(in, i)
		sim.advance()
	}
	late := sim.delayed
	sim.delayed = nil
	for _, m := range late {
		sim.deliver(m)
	}
	sim.drain()
	for _, s := range sim.sessions {
		x := &in.observed[replica]
		x.Age, x.AgeKnown = owner.owned[replica].age.Age(sim.now)
		x.at, x.Applied = sim.now, owner.owned[replica].status.Last
		if x.AgeKnown && !s.busy {
			sim.submit(&call{session: s, entry: in, epoch: in.epoch, began: sim.now, acks: len(sim.acks),
				request: route.Request{Consistency: route.Stale, MaxAge: x.Age, Token: s.token}})
			sim.drain()
		}
	}
}

func (sim *simulation) submit(c *call) {
	if c.request.Class != route.Read {
		sim.nextID++
		c.id = sim.nextID
		sim.writes[c.id] = true
	}
	c.session.busy = true
	sim.pending = append(sim.pending, c)
	sim.routeCall(c)
}

func (sim *simulation) routeCall(c *call) {
	c.attempt++
	c.decision = route.Choose(c.request, sim.view(c.entry))
	if c.decision.Reject == nil && sim.closed(sim.index(c.decision.Upstream)) {
		sim.t.Fatalf("guarantee 7 (leaving upstreams): new work for %s, which began to leave more than %s ago", c.decision.Upstream, closeAfter)
	}
	sim.dispatch(c)
}

func (sim *simulation) view(in *instance) route.View {
	r, known := in.coordinator.Route()
	v := route.View{Route: r, HasRoute: known, FailureDomain: failureDomains[in.index], ConfirmTime: 5 * ms}
	for i, m := range sim.members {
		x := in.observed[i].Member
		x.ID, x.FailureDomain = m.id, failureDomains[i]
		x.Reachable = sim.now >= in.observed[i].unreachableUntil
		x.Age += sim.now - in.observed[i].at
		x.Load = float64(sim.rng.IntN(3))
		if sim.leaving[i] > 0 {
			x.State = route.Leaving
		}
		if sim.closed(i) {
			x.State = route.Closed
		}
		v.Members = append(v.Members, x)
	}
	return v
}

// leave marks a member as leaving or no longer leaving. A leaving primary is replaced by a
// planned change of primary.
func (sim *simulation) leave(i int, leaves bool) {
	sim.leaving[i] = 0
	if leaves {
		sim.leaving[i] = sim.now
	}
	for _, in := range sim.instances {
		in.coordinator.ClearLeaving(sim.members[i].id)
		if r, ok := in.coordinator.Route(); leaves && ok && r.Primary == sim.members[i].id {
			sim.quiesce(in, i, closeAfter)
			sim.applyFailover(in, in.coordinator.SetLeaving(r.Primary, sim.now))
		}
	}
}

// closed reports whether a member has been leaving for so long that it must not get new
// work.
func (sim *simulation) closed(i int) bool {
	return sim.leaving[i] > 0 && sim.now-sim.leaving[i] >= closeAfter
}

// sendBetween sends a message from an instance to another one or to itself.
func (sim *simulation) sendBetween(from, to *instance, run, lost func()) {
	via := peer
	if from == to {
		via = local
	}
	sim.queue = append(sim.queue, message{inst: to.index, member: via, epoch: to.epoch, run: run, lost: lost})
}

// quiesce asks the owner of a member to refuse new writes.
func (sim *simulation) quiesce(from *instance, i int, limit time.Duration) {
	o := sim.instances[sim.owners[i]]
	sim.sendBetween(from, o, func() { o.owned[i].quiescedUntil = max(o.owned[i].quiescedUntil, sim.now+limit) }, nil)
}

// dispatch sends the call to the owner of the chosen member.
func (sim *simulation) dispatch(c *call) {
	if c.decision.Reject != nil {
		sim.handleRejection(c, c.decision.Reject)
		return
	}
	i := sim.index(c.decision.Upstream)
	c.dispatches++
	sent, o := c.dispatches, sim.instances[sim.owners[i]]
	reply := func(a answer) {
		lost := func() { sim.handleAnswer(c, sent, answer{err: sim.lostLink(c)}) }
		sim.queue = append(sim.queue, message{inst: c.entry.index, member: sim.linkBetween(c.entry, o), epoch: c.epoch,
			run: func() { sim.handleAnswer(c, sent, a) }, lost: sim.localEvent(c.entry, c.epoch, lost)})
	}
	if o != c.entry && sim.cut[[2]int{o.index, peer}] {
		sim.localEvent(c.entry, c.epoch, func() {
			sim.handleAnswer(c, sent, answer{err: verdict.New(verdict.CutOff, "no link to the owner of %s", c.decision.Upstream)})
		})()
		return
	}
	d := c.decision
	sim.sendBetween(c.entry, o, func() { sim.serve(c, d, o, i, reply) },
		sim.localEvent(c.entry, c.epoch, func() { sim.handleAnswer(c, sent, answer{err: sim.lostLink(c)}) }))
}

func (sim *simulation) linkBetween(a, b *instance) int {
	if a == b {
		return local
	}
	return peer
}

func (sim *simulation) lostLink(c *call) *verdict.Error {
	if c.id != 0 {
		return verdict.New(verdict.OutcomeUnknown, "the link was lost")
	}
	return verdict.New(verdict.Internal, "the link was lost")
}

// handleAnswer handles the answer of an owner: it finishes the call or tries the next
// member of its decision.
func (sim *simulation) handleAnswer(c *call, sent int, a answer) {
	if c.done || sent != c.dispatches {
		return
	}
	i := sim.index(c.decision.Upstream)
	seen := &c.entry.observed[i]
	if a.err == nil {
		st := &sim.instances[sim.owners[i]].owned[i]
		*seen = observedMember{at: sim.now}
		seen.Applied = st.status.Last
		seen.Age, seen.AgeKnown = st.age.Age(sim.now)
		seen.Lag = time.Duration(sim.rng.IntN(8)) * ms
		sim.finish(c, a)
		return
	}
	switch a.err.Code {
	case verdict.CutOff, verdict.Draining, verdict.OutcomeUnknown, verdict.Internal:
		seen.unreachableUntil = sim.now + unreachableFor
	case verdict.ReplicaBehind:
		seen.Lag, seen.at = behindRetry, sim.now
	}
	c.decision = route.Next(c.decision, a.err)
	sim.dispatch(c)
}

// handleRejection sometimes retries a request that was not run, as instance/router does,
// and otherwise finishes its call.
func (sim *simulation) handleRejection(c *call, err *verdict.Error) {
	if err.Verdict == verdict.NotRun && c.attempt < maxAttempts && sim.rng.IntN(2) == 0 {
		sim.routeCall(c)
		return
	}
	sim.finish(c, answer{err: err})
}

// expireCalls finishes calls that have timed out or whose entry instance has restarted.
func (sim *simulation) expireCalls() {
	kept := sim.pending[:0]
	for _, c := range sim.pending {
		if !c.done && (c.epoch != c.entry.epoch || sim.now-c.began >= callTimeout) {
			sim.finish(c, answer{err: verdict.New(verdict.OutcomeUnknown, "request timed out at the caller")})
		}
		if !c.done {
			kept = append(kept, c)
		}
	}
	sim.pending = kept
}

// finish ends a call and checks its answer.
func (sim *simulation) finish(c *call, a answer) {
	c.done, c.session.busy = true, false
	switch {
	case a.err != nil && c.id != 0:
		sim.checkFailedCall(c, a.err)
	case a.err != nil:
	case c.id != 0:
		sim.checkAcknowledgedCall(c, a)
	default:
		sim.checkRead(c, a)
	}
}

func (sim *simulation) checkFailedCall(c *call, err *verdict.Error) {
	if err.Verdict == verdict.NotRun {
		sim.served["not run"]++
		sim.notRun[c.id] = true
		sim.checkLogs()
		return
	}
	sim.unknownOutcomes++
	c.session.unresolvedKey = c.key
}

func (sim *simulation) checkAcknowledgedCall(c *call, a answer) {
	if first, ok := sim.keys[c.key]; ok && c.key != 0 && first != a.id {
		sim.t.Fatalf("guarantee 6 (at most once): key %d is acknowledged for writes %d and %d", c.key, first, a.id)
	}
	sim.served["write"]++
	if c.key != 0 {
		sim.keys[c.key] = a.id
	}
	if c.key != 0 && sim.rng.IntN(3) == 0 {
		c.session.unresolvedKey = c.key // the caller repeats the request although it was answered
	}
	if a.id != c.id {
		sim.served["repeated key"]++
	}
	if !sim.oracle.answered[a.id] {
		sim.recordAcknowledgement(a.id, a.pos)
	}
	c.session.token = position.Max(c.session.token, a.pos)
}

func (sim *simulation) checkRead(c *call, a answer) {
	sim.served[c.decision.Proof.String()]++
	ids := idsOf(a.log)
	if c.request.Consistency == route.Strict {
		sim.checkStrictRead(a.log, c.acks, "of a session, "+c.decision.Proof.String())
	}
	if !a.pos.AtLeast(c.request.Token) {
		sim.t.Fatalf("guarantee 1 (reads never go backwards): a read of %s by %s shows %s, the session is at %s", c.decision.Upstream, c.decision.Proof, a.pos, c.request.Token)
	}
	for id := range c.session.observed {
		if !ids[id] {
			sim.t.Fatalf("guarantee 1 (reads never go backwards): a read of %s by %s at %s does not show write %d, which the session has seen", c.decision.Upstream, c.decision.Proof, a.pos, id)
		}
	}
	for _, x := range sim.acks {
		switch {
		case ids[x.id]:
		case c.request.Token.AtLeast(x.pos):
			sim.t.Fatalf("guarantee 1 (read-your-writes): a read of %s by %s at %s with token %s does not show write %d at %s", c.decision.Upstream, c.decision.Proof, a.pos, c.request.Token, x.id, x.pos)
		case c.request.Consistency == route.Stale && x.at < c.began-c.request.MaxAge:
			sim.t.Fatalf("guarantee 1 (stated age): a read of %s by %s at %s with age %s does not show write %d, acknowledged %s before it", c.decision.Upstream, c.decision.Proof, a.pos, c.request.MaxAge, x.id, c.began-x.at)
		}
	}
	delete(ids, 0)
	maps.Copy(c.session.observed, ids)
	c.session.token = position.Max(c.session.token, a.pos)
}

// checkLogs checks that no log holds a write that was reported as not run, or a request
// key twice.
func (sim *simulation) checkLogs() {
	for _, m := range sim.members {
		keys := map[uint64]bool{}
		for _, e := range m.log {
			if sim.notRun[e.id] {
				sim.t.Fatalf("guarantee 5 (not run means not run): write %d is in the log of %s", e.id, m.id)
			}
			if e.key != 0 && keys[e.key] {
				sim.t.Fatalf("guarantee 6 (at most once): key %d is twice in the log of %s", e.key, m.id)
			}
			keys[e.key] = true
		}
	}
}

// checkSwitch checks that a planned change of primary without faults, as instance/node
// performs it, leaves no write of the sessions with an unknown outcome.
func (sim *simulation) checkSwitch(t *rapid.T) {
	if len(sim.memberCut) > 0 {
		return
	}
	for i := range sim.members {
		sim.leave(i, false)
		sim.owners[i] = i % len(sim.instances)
	}
	clear(sim.silentStatements)
	for _, in := range sim.instances {
		sim.activate(in, in.index == 0)
	}
	r, _ := sim.instances[0].coordinator.Route()
	i := sim.index(r.Primary)
	before, writes := sim.unknownOutcomes, sim.served["write"]
	load := func(done func() bool) bool {
		for range recoveryTickLimit + stallTickLimit {
			for range 3 {
				sim.startCall(t)
			}
			sim.advance()
			if done() {
				return true
			}
		}
		return false
	}
	load(func() bool { return sim.served["write"] > writes+2 })
	sim.leaving[i] = sim.now
	sim.quiesce(sim.instances[0], i, closeAfter)
	quietBy := sim.now + quiesceWait
	load(func() bool { return sim.instances[sim.owners[i]].owned[i].writes == 0 || sim.now >= quietBy })
	sim.applyFailover(sim.instances[0], sim.instances[0].coordinator.SetLeaving(r.Primary, sim.now))
	moved := load(func() bool {
		now, _ := sim.instances[0].coordinator.Route()
		return now.Primary != r.Primary && sim.settled()
	})
	if !moved {
		sim.t.Fatalf("guarantee 7 (leaving upstreams): %s is still primary after a planned switch", r.Primary)
	}
	if sim.unknownOutcomes > before {
		sim.t.Fatalf("guarantee 8 (graceful stop): a planned switch of %s left %d writes with an unknown outcome", r.Primary, sim.unknownOutcomes-before)
	}
	sim.switches++
}
