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
	// These are as in instance/router and instance/owner.
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
	token position.Position
	shown map[uint64]bool // writes that its reads have shown
	key   uint64          // of a request whose outcome is unknown
	busy  bool
}

// call is a request of a session at an entry instance.
type call struct {
	s       *session
	in      *instance
	epoch   int
	id, key uint64 // id of the write, 0 for a read
	r       route.Request
	d       route.Decision
	began   time.Duration
	acks    int // acknowledgements before the request
	attempt int
	sent    int // counts dispatches; an answer to an earlier one is ignored
	done    bool
}

// observed is what an entry instance knows of a member, as in instance/router.
type observed struct {
	route.Member
	at, unreachableUntil time.Duration
}

// owned is what an owner knows of a member, as in instance/owner.
type owned struct {
	status     failover.Status
	polls      uint64 // of the control connection; answers keep their order
	known      bool
	age        route.AgeTracker
	quietUntil time.Duration
	writes     int
	ageUntil   time.Duration // until then the proof of age is refreshed
}

// answer is what an owner returns to an entry instance.
type answer struct {
	pos position.Position
	log []entry
	id  uint64 // of the write; that of the first one for a repeated key
	err *verdict.Error
}

func (w *world) addSessions() {
	for i := range w.members {
		w.home = append(w.home, i%len(w.instances))
	}
	for range 4 {
		w.sessions = append(w.sessions, &session{shown: map[uint64]bool{}})
	}
	w.mute, w.keys, w.notRun, w.served = map[[2]int]bool{}, map[uint64]uint64{}, map[uint64]bool{}, map[string]int{}
	w.leaving = make([]time.Duration, len(w.members))
}

func (in *instance) finishWork(id uint64, p position.Position, err *verdict.Error) bool {
	f := in.work[id]
	delete(in.work, id)
	if f != nil {
		f(p, err)
	}
	return f != nil
}

// startCall lets an idle session send a request to any instance.
func (w *world) startCall(t *rapid.T) {
	s := w.sessions[rapid.IntRange(0, len(w.sessions)-1).Draw(t, "session")]
	in := w.instances[rapid.IntRange(0, len(w.instances)-1).Draw(t, "entry")]
	if s.busy || in.paused {
		return
	}
	c := &call{s: s, in: in, epoch: in.epoch, began: w.now, acks: len(w.acks)}
	c.r = route.Request{Token: s.token, TieBreaker: uint32(w.rng.Uint64()), Rank: route.Rank(w.rng.IntN(3))}
	switch rapid.SampledFrom([]string{"write", "write", "keyed", "transaction", "strict", "session", "session", "stale", "stale", "stale"}).Draw(t, "request") {
	case "write":
		c.r.Class = route.Write
	case "keyed":
		c.r.Class = route.Write
		w.nextID++
		c.key = w.nextID
	case "transaction":
		c.r.Class = route.Transaction
	case "session":
		c.r.Mode = route.Session
	case "stale":
		c.r.Mode = route.Stale
		c.r.MaxAge = time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * tick
		// The age that a replica has just proven leaves no reserve.
		if x := w.view(in).Members[w.rng.IntN(len(w.members))]; x.AgeKnown && w.rng.IntN(4) > 0 {
			c.r.MaxAge = x.Age
		}
	}
	if s.key != 0 && rapid.IntRange(0, 3).Draw(t, "again") > 0 {
		c.key, s.key = s.key, 0
		c.r.Class, c.r.Mode, c.r.MaxAge = route.Write, route.Strict, 0
	}
	w.submit(c)
}

// staleReplica cuts a replica off from its primary while barriers that prove its
// age are on their way, and reads from it with the age that it has just proven.
func (w *world) staleReplica(in *instance, i, replica int) {
	if i == replica || in.paused {
		return
	}
	owner := w.instances[w.home[replica]]
	w.lossPerMil, w.holdPerMil = 0, 0
	for n := range 12 {
		owner.owned[replica].ageUntil = w.now + ageDemandWindow
		if n == 6 {
			w.holdPerMil = 300
		}
		w.write(in, i)
		w.advance()
	}
	w.holdPerMil = 0
	w.memberCut[[2]int{min(i, replica), max(i, replica)}] = true
	for range 4 {
		w.write(in, i)
		w.advance()
	}
	late := w.late
	w.late = nil
	for _, m := range late {
		w.deliver(m)
	}
	w.drain()
	for _, s := range w.sessions {
		x := &in.seen[replica]
		x.Age, x.AgeKnown = owner.owned[replica].age.Age(w.now)
		x.at, x.Applied = w.now, owner.owned[replica].status.Last
		if x.AgeKnown && !s.busy {
			w.submit(&call{s: s, in: in, epoch: in.epoch, began: w.now, acks: len(w.acks),
				r: route.Request{Mode: route.Stale, MaxAge: x.Age, Token: s.token}})
			w.drain()
		}
	}
}

func (w *world) submit(c *call) {
	if c.r.Class != route.Read {
		w.nextID++
		c.id = w.nextID
		w.writes[c.id] = true
	}
	c.s.busy = true
	w.pending = append(w.pending, c)
	w.choose(c)
}

func (w *world) choose(c *call) {
	c.attempt++
	c.d = route.Choose(c.r, w.view(c.in))
	if c.d.Reject == nil && w.closed(w.index(c.d.Upstream)) {
		w.t.Fatalf("guarantee 7 (leaving upstreams): new work for %s, which began to leave more than %s ago", c.d.Upstream, closeAfter)
	}
	w.dispatch(c)
}

func (w *world) view(in *instance) route.View {
	r, known := in.c.Route()
	v := route.View{Route: r, HasRoute: known, FailureDomain: failureDomains[in.index], ConfirmTime: 5 * ms}
	for i, m := range w.members {
		x := in.seen[i].Member
		x.ID, x.FailureDomain = m.id, failureDomains[i]
		x.Reachable = w.now >= in.seen[i].unreachableUntil
		x.Age += w.now - in.seen[i].at
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
func (w *world) leave(i int, leaves bool) {
	w.leaving[i] = 0
	if leaves {
		w.leaving[i] = w.now
	}
	for _, in := range w.instances {
		in.c.ClearLeaving(w.members[i].id)
		if r, ok := in.c.Route(); leaves && ok && r.Primary == w.members[i].id {
			w.quiesce(in, i, closeAfter)
			w.coordinate(in, in.c.SetLeaving(r.Primary, w.now))
		}
	}
}

// closed reports whether a member must get no new work any more.
func (w *world) closed(i int) bool { return w.leaving[i] > 0 && w.now-w.leaving[i] >= closeAfter }

// between sends a message to another instance, or to the same one.
func (w *world) between(from, to *instance, run, lost func()) {
	via := peer
	if from == to {
		via = local
	}
	w.queue = append(w.queue, message{inst: to.index, member: via, epoch: to.epoch, run: run, lost: lost})
}

// quiesce asks the owner of a member to refuse new writes.
func (w *world) quiesce(from *instance, i int, limit time.Duration) {
	o := w.instances[w.home[i]]
	w.between(from, o, func() { o.owned[i].quietUntil = max(o.owned[i].quietUntil, w.now+limit) }, nil)
}

// dispatch sends the call to the owner of the chosen member.
func (w *world) dispatch(c *call) {
	if c.d.Reject != nil {
		w.rejected(c, c.d.Reject)
		return
	}
	i := w.index(c.d.Upstream)
	c.sent++
	sent, o := c.sent, w.instances[w.home[i]]
	reply := func(a answer) {
		lost := func() { w.answered(c, sent, answer{err: w.lostLink(c)}) }
		w.queue = append(w.queue, message{inst: c.in.index, member: w.way(c.in, o), epoch: c.epoch,
			run: func() { w.answered(c, sent, a) }, lost: w.inside(c.in, c.epoch, lost)})
	}
	if o != c.in && w.cut[[2]int{o.index, peer}] {
		w.inside(c.in, c.epoch, func() {
			w.answered(c, sent, answer{err: verdict.New(verdict.CutOff, "no link to the owner of %s", c.d.Upstream)})
		})()
		return
	}
	d := c.d
	w.between(c.in, o, func() { w.serve(c, d, o, i, reply) },
		w.inside(c.in, c.epoch, func() { w.answered(c, sent, answer{err: w.lostLink(c)}) }))
}

func (w *world) way(a, b *instance) int {
	if a == b {
		return local
	}
	return peer
}

func (w *world) lostLink(c *call) *verdict.Error {
	if c.id != 0 {
		return verdict.New(verdict.OutcomeUnknown, "the link was lost")
	}
	return verdict.New(verdict.Internal, "the link was lost")
}

// answered takes in the answer of an owner.
func (w *world) answered(c *call, sent int, a answer) {
	if c.done || sent != c.sent {
		return
	}
	i := w.index(c.d.Upstream)
	seen := &c.in.seen[i]
	if a.err == nil {
		st := &w.instances[w.home[i]].owned[i]
		*seen = observed{at: w.now}
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
	c.d = route.Next(c.d, a.err)
	w.dispatch(c)
}

// rejected tries a request that was not run once more, as instance/router does.
func (w *world) rejected(c *call, err *verdict.Error) {
	if err.Verdict == verdict.NotRun && c.attempt < maxAttempts && w.rng.IntN(2) == 0 {
		w.choose(c)
		return
	}
	w.finish(c, answer{err: err})
}

func (w *world) expireCalls() {
	kept := w.pending[:0]
	for _, c := range w.pending {
		if !c.done && (c.epoch != c.in.epoch || w.now-c.began >= callTimeout) {
			w.finish(c, answer{err: verdict.New(verdict.OutcomeUnknown, "the caller stopped waiting")})
		}
		if !c.done {
			kept = append(kept, c)
		}
	}
	w.pending = kept
}

// finish hands the answer to the caller and checks it.
func (w *world) finish(c *call, a answer) {
	c.done, c.s.busy = true, false
	switch {
	case a.err != nil && c.id != 0:
		w.gaveUpCall(c, a.err)
	case a.err != nil:
	case c.id != 0:
		w.wrote(c, a)
	default:
		w.checkRead(c, a)
	}
}

func (w *world) gaveUpCall(c *call, err *verdict.Error) {
	if err.Verdict == verdict.NotRun {
		w.served["not run"]++
		w.notRun[c.id] = true
		w.checkLogs()
		return
	}
	w.unknown++
	c.s.key = c.key
}

func (w *world) wrote(c *call, a answer) {
	if first, ok := w.keys[c.key]; ok && c.key != 0 && first != a.id {
		w.t.Fatalf("guarantee 6 (at most once): key %d is acknowledged for writes %d and %d", c.key, first, a.id)
	}
	w.served["write"]++
	if c.key != 0 {
		w.keys[c.key] = a.id
	}
	if c.key != 0 && w.rng.IntN(3) == 0 {
		c.s.key = c.key // the caller asks again although it was answered
	}
	if a.id != c.id {
		w.served["repeated key"]++
	}
	if !w.oracle.answered[a.id] {
		w.acknowledged(a.id, a.pos)
	}
	c.s.token = position.Max(c.s.token, a.pos)
}

func (w *world) checkRead(c *call, a answer) {
	w.served[c.d.Proof.String()]++
	ids := idsOf(a.log)
	if c.r.Mode == route.Strict {
		w.strictRead(a.log, c.acks, "of a session, "+c.d.Proof.String())
	}
	if !a.pos.AtLeast(c.r.Token) {
		w.t.Fatalf("guarantee 1 (reads never go backwards): a read of %s by %s shows %s, the session is at %s", c.d.Upstream, c.d.Proof, a.pos, c.r.Token)
	}
	for id := range c.s.shown {
		if !ids[id] {
			w.t.Fatalf("guarantee 1 (reads never go backwards): a read of %s by %s at %s does not show write %d, which the session has seen", c.d.Upstream, c.d.Proof, a.pos, id)
		}
	}
	for _, x := range w.acks {
		switch {
		case ids[x.id]:
		case c.r.Token.AtLeast(x.pos):
			w.t.Fatalf("guarantee 1 (read-your-writes): a read of %s by %s at %s with token %s does not show write %d at %s", c.d.Upstream, c.d.Proof, a.pos, c.r.Token, x.id, x.pos)
		case c.r.Mode == route.Stale && x.at < c.began-c.r.MaxAge:
			w.t.Fatalf("guarantee 1 (stated age): a read of %s by %s at %s with age %s does not show write %d, acknowledged %s before it", c.d.Upstream, c.d.Proof, a.pos, c.r.MaxAge, x.id, c.began-x.at)
		}
	}
	delete(ids, 0)
	maps.Copy(c.s.shown, ids)
	c.s.token = position.Max(c.s.token, a.pos)
}

// checkLogs checks what no log may hold.
func (w *world) checkLogs() {
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
func (w *world) checkSwitch(t *rapid.T) {
	if len(w.memberCut) > 0 {
		return
	}
	for i := range w.members {
		w.leave(i, false)
		w.home[i] = i % len(w.instances)
	}
	clear(w.mute)
	for _, in := range w.instances {
		w.activate(in, in.index == 0)
	}
	r, _ := w.instances[0].c.Route()
	i := w.index(r.Primary)
	before, writes := w.unknown, w.served["write"]
	load := func(done func() bool) bool {
		for range quietTicks + stallTicks {
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
	load(func() bool { return w.instances[w.home[i]].owned[i].writes == 0 || w.now >= quietBy })
	w.coordinate(w.instances[0], w.instances[0].c.SetLeaving(r.Primary, w.now))
	moved := load(func() bool {
		now, _ := w.instances[0].c.Route()
		return now.Primary != r.Primary && w.settled()
	})
	if !moved {
		w.t.Fatalf("guarantee 7 (leaving upstreams): %s is still primary after a planned switch", r.Primary)
	}
	if w.unknown > before {
		w.t.Fatalf("guarantee 8 (graceful stop): a planned switch of %s left %d writes with an unknown outcome", r.Primary, w.unknown-before)
	}
	w.switches++
}
