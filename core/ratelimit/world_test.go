package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/source"
)

// plant is a fault that the check of the bound must find.
type plant uint8

const (
	noPlant plant = iota
	leaseWithoutEnd
	shareLentTwice
	usedAfterReturn
	refundedTwice
)

// world is a simulated deployment: instances with clocks of their own, and a network that
// loses, repeats and delays messages.
type world struct {
	random    *rand.Rand
	params    Params
	plant     plant
	now       time.Duration
	events    events
	order     uint64
	instances map[string]*simInstance
	names     []string
	loss      float64
	repeat    float64
	maxDelay  time.Duration // beyond the usual delay
	patience  time.Duration // from the arrival of an operation until its deadline
	processes uint64

	// refundShare is the fraction of admitted operations that do not run after all, and
	// refundDelay the longest time until that is known.
	refundShare float64
	refundDelay time.Duration
	ran         map[string][]*operation // admitted, by workspace
	arrivals    map[string][]time.Duration
	arrived     map[string]int
	refused     map[string]int
	refusals    []refusal
	messages    int
	bytes       int
	size        func(Request, Answer) int // nil: bytes are not counted
	handling    string                    // instance that answers
}

// operation is an admitted operation.
type operation struct {
	at       time.Duration
	refunded bool // it did not run
}

type refusal struct {
	at        time.Duration
	workspace string
	instance  string
}

// simWaiter is an operation that waits at an instance.
type simWaiter struct{ deadline, check time.Duration }

// simInstance is an instance: its process, or nothing while it is down.
type simInstance struct {
	name      string
	domain    string
	offset    time.Duration // of its clock
	part      int           // instances of different parts do not reach each other
	holder    *Holder
	allocator *Allocator
	process   uint64
	frozen    time.Duration // no instruction runs before
	wakeAt    time.Duration
	waiters   map[string][]simWaiter
	limits    map[string]Limit
	list      []source.Candidate
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { last := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return last }

func newWorld(seed uint64, p Params) *world {
	return &world{random: rand.New(rand.NewPCG(seed, 1)), params: p, instances: make(map[string]*simInstance), now: time.Hour, patience: 4 * time.Second,
		ran: make(map[string][]*operation), arrivals: make(map[string][]time.Duration), arrived: make(map[string]int), refused: make(map[string]int)}
}

func (w *world) at(t time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{max(t, w.now), w.order, run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// runUntil runs all events up to a time.
func (w *world) runUntil(t time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= t {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = t
}

// add adds an instance that is down.
func (w *world) add(name, domain string) *simInstance {
	i := &simInstance{name: name, domain: domain, offset: time.Duration(w.random.Int64N(int64(time.Hour)))}
	w.instances[name] = i
	w.names = append(w.names, name)
	return i
}

func candidates(names []string, domainOf func(string) string) (all []source.Candidate) {
	for _, n := range names {
		all = append(all, source.Candidate{Name: n, FailureDomain: domainOf(n), Weight: 1})
	}
	return all
}

// start starts a process of an instance.
func (w *world) start(i *simInstance) {
	w.processes++
	i.process = w.processes
	i.frozen, i.wakeAt = 0, 0
	i.waiters = make(map[string][]simWaiter)
	i.holder = NewHolder(w.clock(i), i.name, i.process, w.params, false, w.random)
	i.allocator = NewAllocator(i.process, w.params)
	w.setLimits(i, i.limits)
	if i.list != nil {
		i.holder.SetInstances(w.clock(i), i.list)
	}
	w.pump(i)
}

func (w *world) kill(i *simInstance) { i.holder, i.allocator, i.process = nil, nil, 0 }

func (w *world) clock(i *simInstance) time.Duration { return w.now + i.offset }

func (w *world) setLimits(i *simInstance, limits map[string]Limit) {
	i.limits = limits
	if i.holder != nil {
		i.allocator.SetLimits(w.clock(i), limits)
		i.holder.SetLimits(w.clock(i), limits)
	}
}

func (w *world) setList(i *simInstance, list []source.Candidate) {
	i.list = list
	if i.holder != nil {
		i.holder.SetInstances(w.clock(i), list)
		w.pump(i)
	}
}

// onProcess runs f on the present process of an instance, after a freeze if there is one.
func (w *world) onProcess(i *simInstance, f func()) {
	process := i.process
	if process == 0 {
		return
	}
	var run func()
	run = func() {
		switch {
		case i.process != process:
		case w.now < i.frozen:
			w.at(i.frozen, run)
		default:
			f()
		}
	}
	run()
}

// pump sends what is due and plans the next wake.
func (w *world) pump(i *simInstance) {
	now := w.clock(i)
	if w.plant == shareLentTwice && len(i.name)%2 == 0 {
		for _, l := range i.holder.shards { // every other instance prefers another allocator
			if len(l.order) > 1 && l.order[0].Name < l.order[1].Name {
				l.order[0], l.order[1] = l.order[1], l.order[0]
			}
		}
	}
	kept := make(map[string][]*permit)
	if w.plant == usedAfterReturn {
		for name, s := range i.holder.workspaces {
			for _, p := range s.permits {
				if p.n > 0 && p.expires <= now+BatchInterval+clockMargin && p.expires < now+time.Hour {
					kept[name] = append(kept[name], &permit{n: p.n, expires: now + 2*time.Hour})
				}
			}
		}
	}
	out, decisions := i.holder.Requests(now)
	for name, permits := range kept {
		if s := i.holder.workspaces[name]; s != nil {
			s.permits = append(s.permits, permits...)
		}
	}
	w.decide(i, decisions)
	for _, o := range out {
		if w.plant == shareLentTwice && o.Request.Lends {
			w.lendToAll(i, o.Request)
		}
		w.send(i, o)
	}
	next, ok := i.holder.NextWake(now)
	if !ok {
		return
	}
	for _, waiters := range i.waiters {
		for _, q := range waiters {
			next = min(next, q.check+i.offset)
		}
	}
	at := max(next-i.offset, w.now+time.Millisecond)
	if i.wakeAt > w.now && i.wakeAt <= at {
		return
	}
	i.wakeAt = at
	process := i.process
	w.at(at, func() {
		if i.process != process || i.wakeAt != at {
			return
		}
		i.wakeAt = 0
		w.onProcess(i, func() { w.giveUp(i); w.pump(i) })
	})
}

// lendToAll is the planted fault of a share that is lent to every allocator.
func (w *world) lendToAll(i *simInstance, r Request) {
	for _, name := range w.names {
		other := w.instances[name]
		if other.allocator == nil || other.part != i.part {
			continue
		}
		r.Incarnation, r.Asks = r.Incarnation|1<<40, nil
		r.Stamp, r.Held = Stamp{other.process, w.clock(other)}, 0
		other.allocator.Handle(w.clock(other), r)
	}
}

func (w *world) giveUp(i *simInstance) {
	for _, name := range sortedKeys(i.waiters) {
		for place := 0; place < len(i.waiters[name]); {
			q := &i.waiters[name][place]
			switch {
			case q.check > w.now:
				place++
			case i.holder.KeepsWaiting(w.clock(i), name, place):
				q.check = q.deadline
				place++
			default:
				i.waiters[name] = slices.Delete(i.waiters[name], place, place+1)
				i.holder.GiveUp(name, place)
				w.refuse(i, name)
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// decide ends the wait of operations.
func (w *world) decide(i *simInstance, decisions []Decision) {
	for _, d := range decisions {
		for _, ticket := range d.Admitted {
			w.pop(i, d.Workspace, 0)
			w.run(i, d.Workspace, ticket)
		}
		for range d.Refused {
			w.pop(i, d.Workspace, d.Kept)
			w.refuse(i, d.Workspace)
		}
	}
}

func (w *world) pop(i *simInstance, workspace string, place int) {
	if place >= len(i.waiters[workspace]) {
		panic(fmt.Sprintf("decision about an operation of %s that does not wait", workspace))
	}
	i.waiters[workspace] = slices.Delete(i.waiters[workspace], place, place+1)
}

func (w *world) refuse(i *simInstance, workspace string) {
	w.refused[workspace]++
	w.refusals = append(w.refusals, refusal{w.now, workspace, i.name})
}

// run records an admitted operation. Some are found later not to have run.
func (w *world) run(i *simInstance, workspace string, ticket *Ticket) {
	op := &operation{at: w.now}
	w.ran[workspace] = append(w.ran[workspace], op)
	if w.random.Float64() >= w.refundShare {
		return
	}
	w.after(time.Duration(w.random.Int64N(int64(w.refundDelay))), func() {
		op.refunded = true
		w.onProcess(i, func() {
			i.holder.Refund(w.clock(i), ticket)
			if w.plant == refundedTwice {
				ticket.refunded = false
				i.holder.Refund(w.clock(i), ticket)
			}
		})
	})
}

// arrive is the arrival of an operation at an instance.
func (w *world) arrive(i *simInstance, workspace string) {
	if i.process == 0 || w.now < i.frozen {
		return
	}
	w.arrived[workspace]++
	w.arrivals[workspace] = append(w.arrivals[workspace], w.now)
	switch verdict, ticket, _ := i.holder.Admit(w.clock(i), workspace, w.clock(i)+w.patience); verdict {
	case Admitted:
		w.run(i, workspace, ticket)
	case Refused:
		w.refuse(i, workspace)
	case Waits:
		i.waiters[workspace] = append(i.waiters[workspace], simWaiter{w.now + w.patience, w.now + min(WaitLimit, w.patience)})
		w.pump(i)
	}
}

func (w *world) delay(from, to *simInstance) time.Duration {
	d := 200 * time.Microsecond
	if from.domain != to.domain {
		d = 500 * time.Microsecond
	}
	if w.maxDelay > 0 {
		d += time.Duration(w.random.Int64N(int64(w.maxDelay)))
	}
	return d
}

// transmit delivers a message none, one or two times.
func (w *world) transmit(from, to *simInstance, deliver func()) {
	copies := 1
	if w.random.Float64() < w.repeat {
		copies = 2
	}
	for range copies {
		if w.random.Float64() < w.loss {
			continue
		}
		w.after(w.delay(from, to), func() {
			if from.part == to.part {
				w.onProcess(to, deliver)
			}
		})
	}
}

// send sends a request and its answer.
func (w *world) send(i *simInstance, o Outgoing) {
	to := w.instances[o.To.Name]
	process := i.process
	receive := func(a Answer) {
		if i.process == process {
			w.decide(i, i.holder.Receive(w.clock(i), o.To.Name, o.Request.Shard, a))
			w.pump(i)
		}
	}
	if to == i {
		if a, ok := w.handle(to, o.Request); ok {
			w.after(0, func() { w.onProcess(i, func() { receive(a) }) })
		}
		return
	}
	if to == nil {
		return
	}
	w.messages++
	w.transmit(i, to, func() {
		if a, ok := w.handle(to, o.Request); ok {
			if w.size != nil {
				w.handling = to.name
				w.bytes += w.size(o.Request, a)
			}
			w.transmit(to, i, func() { receive(a) })
		}
	})
}

func (w *world) handle(i *simInstance, r Request) (Answer, bool) {
	a, ok := i.allocator.Handle(w.clock(i), r)
	if s := i.allocator.shards[r.Shard]; w.plant == leaseWithoutEnd && s != nil && s.leases[r.From] != nil {
		s.leases[r.From].covers = w.clock(i) + time.Minute
	}
	return a, ok
}

// exceeded returns the first window in which more operations of a workspace ran than
// allowed returns for it; empty if there is none.
func (w *world) exceeded(allowed func(workspace string, from, to time.Duration) float64) string {
	for _, name := range sortedKeys(w.ran) {
		var ran []time.Duration
		for _, op := range w.ran[name] {
			if !op.refunded {
				ran = append(ran, op.at)
			}
		}
		first := 0
		for i, at := range ran {
			for ran[first] <= at-w.params.Window {
				first++
			}
			if limit := allowed(name, ran[first], at); float64(i-first+1) > limit+1e-9 {
				return fmt.Sprintf("%s: %d operations between %s and %s, %.1f allowed", name, i-first+1, ran[first]-time.Hour, at-time.Hour, limit)
			}
		}
	}
	return ""
}
