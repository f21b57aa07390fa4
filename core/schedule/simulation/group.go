package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/replicaselect"
	"github.com/papayarail/papayarail/core/schedule"
)

// GroupScenario is the load on a database group: a primary and replicas, each with slots
// that execute in order of arrival and a bounded queue of its own. Gateways, each with
// a schedule.Scheduler for each member, pass requests on to the members. The zero value of
// each option is the behaviour of a group without workspaces and due times.
type GroupScenario struct {
	Name    string
	Members int
	Slots   int // of each member
	// MemberQueue is the number of requests that wait at a member before it rejects more.
	MemberQueue int
	// Gateways is the number of schedulers for each member, one for each failure domain. A
	// caller uses that of its own domain.
	Gateways  int
	Scheduler schedule.Config // of each gateway for each member
	// WaitByRank makes gateways report their expected wait by rank. Otherwise a read is
	// routed by the last reported wait, whatever the rank was for which it was reported.
	WaitByRank bool
	// ByWorkspace queues requests by workspace, with its weight, instead of by caller.
	ByWorkspace bool
	// ByDue orders the requests of a flow by their due time.
	ByDue bool
	// CancelDeparted removes a waiting request when its caller leaves.
	CancelDeparted bool
	// Entries is the number of instances at which requests enter and that refuse what the
	// gateways refuse; 0 means that all requests reach the gateways.
	Entries int
	// ByKind estimates service times by kind instead of by rank.
	ByKind           bool
	Warmup, Duration time.Duration
	Kinds            []Kind
	Workspaces       []WorkspaceLoad // none: one caller for each of 100 sessions
}

// Kind is a kind of request with a Poisson arrival process.
type Kind struct {
	Name        string
	Rank        schedule.Rank
	Rate        float64 // requests per second
	Work        time.Duration
	PrimaryOnly float64 // fraction that only the primary can execute
	// Transactions is the fraction of requests with a second statement, which follows the
	// first one on the same member as urgent work.
	Transactions float64
	Objective    time.Duration
	Timeout      time.Duration
	// Leave is the fraction of callers that leave after half of the objective.
	Leave float64
}

// WorkspaceLoad is the share of a workspace in the demand and in the weights.
type WorkspaceLoad struct {
	Name   string
	Weight float64
	Rate   float64 // fraction of the rate of each kind
	Factor float64 // multiplies the rate; 0 counts as 1
}

// KindResult counts the requests of one kind or workspace.
type KindResult struct {
	Offered, Answered, InObjective int
	Refused, Busy, Late, Left      int           // Busy: rejected by the member's own queue, part of Refused
	Departed                       time.Duration // slot time spent on requests whose caller had left
	Work                           time.Duration // slot time spent on all requests
	latencies                      []time.Duration
}

// P99 returns the 99th percentile of the response time of answered requests.
func (k *KindResult) P99() time.Duration { return k.quantile(0.99) }

func (k *KindResult) quantile(q float64) time.Duration {
	if len(k.latencies) == 0 {
		return 0
	}
	slices.Sort(k.latencies)
	return k.latencies[int(q*float64(len(k.latencies)-1))]
}

// String returns the fractions and the response times.
func (k *KindResult) String() string {
	of := func(n int) float64 { return 100 * float64(n) / float64(max(k.Offered, 1)) }
	return fmt.Sprintf("offered %6d answered %5.1f%% in objective %5.1f%% refused %5.2f%% (member full %.2f%%) left %4.1f%% p50 %4d ms p99 %4d ms departed %.2f of %.2f s",
		k.Offered, of(k.Answered), of(k.InObjective), of(k.Refused), of(k.Busy), of(k.Left), k.quantile(0.5).Milliseconds(), k.P99().Milliseconds(), k.Departed.Seconds(), k.Work.Seconds())
}

// GroupResult is the result of RunGroup.
type GroupResult struct {
	Kinds      map[string]*KindResult
	Workspaces map[string]*KindResult
	// Refusals counts the refused attempts at gateways by kind and code.
	Refusals map[string]int
	// RefusedAtEntry counts the attempts that the entry instances refused.
	RefusedAtEntry int
}

type groupRequest struct {
	kind          *Kind
	workspace     *WorkspaceLoad
	caller        string
	rand          *rand.Rand
	domain        int
	entry         int
	primaryOnly   bool
	statements    int // left to run
	pinned        bool
	arrived       time.Duration
	work          time.Duration
	member        int
	excluded      []bool
	busy          int // rejections by the member's own queue
	running, left bool
	done          bool
}

type groupMember struct {
	running int
	waiting []uint64
}

type groupRun struct {
	sc       GroupScenario
	rand     *rand.Rand
	queues   [][]*schedule.Scheduler // by member and gateway
	reported [][][schedule.NumRanks]time.Duration
	entries  []*schedule.AdmissionController
	members  []groupMember
	events   funcHeap
	sequence uint64
	nextID   uint64
	now      time.Duration
	requests map[uint64]*groupRequest
	result   GroupResult
}

type funcEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type funcHeap []funcEvent

func (h funcHeap) Len() int { return len(h) }

func (h funcHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h funcHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *funcHeap) Push(x any)   { *h = append(*h, x.(funcEvent)) }

func (h *funcHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = funcEvent{}
	*h = (*h)[:n]
	return e
}

// RunGroup simulates the scenario with the given seed.
func RunGroup(sc GroupScenario, seed uint64) GroupResult {
	r := &groupRun{sc: sc, rand: rand.New(rand.NewPCG(seed, 99)), requests: make(map[uint64]*groupRequest), members: make([]groupMember, sc.Members)}
	r.result = GroupResult{Kinds: make(map[string]*KindResult), Workspaces: make(map[string]*KindResult), Refusals: make(map[string]int)}
	for m := range sc.Members {
		var queues []*schedule.Scheduler
		for g := range sc.Gateways {
			cfg := sc.Scheduler
			cfg.Rand = rand.New(rand.NewPCG(seed, uint64(m*sc.Gateways+g)))
			queues = append(queues, schedule.New(cfg))
		}
		r.queues = append(r.queues, queues)
		r.reported = append(r.reported, make([][schedule.NumRanks]time.Duration, sc.Gateways))
	}
	for i := range sc.Entries {
		r.entries = append(r.entries, schedule.NewAdmissionController(rand.New(rand.NewPCG(seed, 1000+uint64(i)))))
	}
	if len(r.sc.Workspaces) == 0 {
		r.sc.Workspaces = []WorkspaceLoad{{Rate: 1}}
	}
	for i := range r.sc.Kinds {
		for w := range r.sc.Workspaces {
			r.startArrivals(&r.sc.Kinds[i], &r.sc.Workspaces[w], rand.New(rand.NewPCG(seed, uint64(i)<<16|uint64(w))))
		}
	}
	r.after(tickPeriod, r.tick)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(funcEvent)
		r.now = e.at
		e.run()
	}
	return r.result
}

func (r *groupRun) after(d time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, funcEvent{r.now + d, r.sequence, run})
}

func (r *groupRun) tick() {
	for m := range r.queues {
		for _, q := range r.queues[m] {
			r.apply(q.Tick(r.now))
		}
	}
	if r.now < r.sc.Warmup+r.sc.Duration || len(r.requests) > 0 {
		r.after(tickPeriod, r.tick)
	}
}

func (r *groupRun) startArrivals(k *Kind, w *WorkspaceLoad, random *rand.Rand) {
	rate := k.Rate * w.Rate
	if w.Factor > 0 {
		rate *= w.Factor
	}
	if rate <= 0 {
		return
	}
	var arrive func()
	next := func() { r.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive) }
	arrive = func() {
		if r.now >= r.sc.Warmup+r.sc.Duration {
			return
		}
		r.arrive(k, w, random)
		next()
	}
	next()
}

func (r *groupRun) arrive(k *Kind, w *WorkspaceLoad, random *rand.Rand) {
	r.nextID++
	id := r.nextID
	q := &groupRequest{kind: k, workspace: w, rand: random, arrived: r.now, statements: 1, excluded: make([]bool, r.sc.Members)}
	q.caller = fmt.Sprintf("%s-%s-%d", k.Name, w.Name, random.IntN(100))
	q.domain = random.IntN(r.sc.Gateways)
	if len(r.entries) > 0 {
		q.entry = r.rand.IntN(len(r.entries))
	}
	q.primaryOnly = random.Float64() < k.PrimaryOnly
	if random.Float64() < k.Transactions {
		q.statements = 2
	}
	leaves := random.Float64() < k.Leave
	r.requests[id] = q
	r.count(q, func(c *KindResult) { c.Offered++ })
	if leaves {
		r.after(k.Objective/2, func() { r.leave(id, q) })
	}
	r.attempt(id, q)
}

// count applies add to the results of the request's kind and workspace.
func (r *groupRun) count(q *groupRequest, add func(*KindResult)) {
	if q.arrived < r.sc.Warmup {
		return
	}
	for _, c := range []struct {
		results map[string]*KindResult
		name    string
	}{{r.result.Kinds, q.kind.Name}, {r.result.Workspaces, q.workspace.Name}} {
		if c.results[c.name] == nil {
			c.results[c.name] = &KindResult{}
		}
		add(c.results[c.name])
	}
}

func (r *groupRun) leave(id uint64, q *groupRequest) {
	if q.done {
		return
	}
	q.left, q.done = true, true
	r.count(q, func(c *KindResult) { c.Left++ })
	if r.sc.CancelDeparted && !q.running {
		delete(r.requests, id)
		r.apply(r.queues[q.member][q.domain].Cancel(id, r.now))
	}
}

// expectedWait returns the wait that the request's instance knows of a member.
func (r *groupRun) expectedWait(q *groupRequest, m int) time.Duration {
	return r.reported[m][q.domain][q.kind.Rank]
}

func (r *groupRun) chooseMember(q *groupRequest) int {
	if q.pinned {
		return q.member
	}
	if q.primaryOnly {
		if q.excluded[0] {
			return -1
		}
		return 0
	}
	best, least := -1, time.Duration(0)
	for m := range r.members {
		if q.excluded[m] {
			continue
		}
		cost := r.expectedWait(q, m) + r.queues[m][q.domain].ServiceTime(q.kind.Rank)
		if m == 0 {
			cost += replicaselect.PrimaryCost
		}
		if m != q.domain%len(r.members) {
			cost += replicaselect.RemoteCost
		}
		if best < 0 || cost < least {
			best, least = m, cost
		}
	}
	return best
}

func (r *groupRun) attempt(id uint64, q *groupRequest) {
	m := r.chooseMember(q)
	if m < 0 {
		r.refuse(id, q)
		return
	}
	q.member = m
	if !r.admit(q) {
		r.result.RefusedAtEntry++
		r.retryElsewhere(id, q)
		return
	}
	q.work = max(time.Duration(q.rand.ExpFloat64()*float64(q.kind.Work)), time.Microsecond)
	sr := schedule.Request{ID: id, Caller: q.caller, Rank: q.kind.Rank, Deadline: r.now + q.kind.Timeout}
	if q.pinned {
		sr.Rank = schedule.Urgent
	} else {
		sr.Deadline = q.arrived + q.kind.Timeout
	}
	if r.sc.ByWorkspace {
		sr.Workspace, sr.Weight, sr.InTransaction = q.workspace.Name, q.workspace.Weight, q.pinned
	}
	if r.sc.ByDue {
		sr.Due = q.arrived + q.kind.Objective
	}
	if r.sc.ByKind {
		sr.Class = schedule.ServiceClass(q.kind.Objective.Milliseconds())
	}
	r.apply(r.queues[m][q.domain].Submit(sr, r.now))
}

func (r *groupRun) refuse(id uint64, q *groupRequest) {
	delete(r.requests, id)
	if q.done {
		return
	}
	q.done = true
	r.count(q, func(c *KindResult) {
		c.Refused++
		if q.busy > 0 {
			c.Busy++
		}
	})
}

func (r *groupRun) apply(res schedule.Result) {
	for _, id := range res.Started {
		r.execute(id)
	}
	for _, rejected := range res.Rejected {
		q := r.requests[rejected.ID]
		r.report(q)
		r.result.Refusals[fmt.Sprintf("%s %s", q.kind.Name, rejected.Err.Code)]++
		if len(r.entries) > 0 {
			r.entries[q.entry].RecordRefusal(r.path(q), q.flow(r.sc.ByWorkspace), q.kind.Rank, rejected.Err.RetryAfter, r.now)
		}
		r.retryElsewhere(rejected.ID, q)
	}
}

// retryElsewhere tries a refused request on another member, if one can execute it.
func (r *groupRun) retryElsewhere(id uint64, q *groupRequest) {
	if q.pinned || q.primaryOnly {
		r.refuse(id, q)
		return
	}
	q.excluded[q.member] = true
	r.attempt(id, q)
}

// path names the queue that a request uses.
func (r *groupRun) path(q *groupRequest) string { return fmt.Sprint(q.member, "/", q.domain) }

func (q *groupRequest) flow(byWorkspace bool) string {
	if byWorkspace {
		return q.workspace.Name
	}
	return q.caller
}

// admit reports whether the entry instance sends a request to the gateway.
func (r *groupRun) admit(q *groupRequest) bool {
	if len(r.entries) == 0 || q.pinned {
		return true
	}
	ok, _ := r.entries[q.entry].AdmitCaller(r.path(q), q.flow(r.sc.ByWorkspace), q.kind.Rank, r.now)
	return ok
}

// report passes on the expected wait that a gateway reports with an answer.
func (r *groupRun) report(q *groupRequest) {
	s, known := r.queues[q.member][q.domain], &r.reported[q.member][q.domain]
	rank := q.kind.Rank
	if len(r.entries) > 0 {
		r.entries[q.entry].RecordLoad(r.path(q), s.Load(r.now), r.now)
	}
	for i := range known {
		of := schedule.Rank(i)
		if !r.sc.WaitByRank {
			of = rank
		}
		ahead := s.Running()
		for k := range int(of) + 1 {
			ahead += s.Waiting(schedule.Rank(k))
		}
		known[i] = time.Duration(ahead) * s.ServiceTime(of) / time.Duration(r.sc.Slots)
	}
}

func (r *groupRun) execute(id uint64) {
	q := r.requests[id]
	m := &r.members[q.member]
	if m.running >= r.sc.Slots && len(m.waiting) >= r.sc.MemberQueue {
		q.busy++
		r.apply(r.queues[q.member][q.domain].Cancel(id, r.now))
		r.retryBusy(id, q)
		return
	}
	q.running = true
	m.waiting = append(m.waiting, id)
	r.startAtMember(q.member)
}

// maxBusyAttempts is the number of attempts of a request that only the primary can execute.
const maxBusyAttempts = 5

// retryBusy tries a request again after the queue of the member itself was full: on
// another member, or after a pause if only this one can execute it.
func (r *groupRun) retryBusy(id uint64, q *groupRequest) {
	switch {
	case !q.pinned && !q.primaryOnly:
		q.excluded[q.member] = true
		r.attempt(id, q)
	case q.done || !q.pinned && q.busy >= maxBusyAttempts || r.now >= q.arrived+q.kind.Timeout:
		r.refuse(id, q)
	default:
		r.after(10*time.Millisecond, func() { r.attempt(id, q) })
	}
}

func (r *groupRun) startAtMember(member int) {
	m := &r.members[member]
	for len(m.waiting) > 0 && m.running < r.sc.Slots {
		id := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.running++
		q := r.requests[id]
		r.count(q, func(c *KindResult) {
			c.Work += q.work
			if q.left {
				c.Departed += q.work
			}
		})
		r.after(q.work, func() { r.complete(id, q) })
	}
}

func (r *groupRun) complete(id uint64, q *groupRequest) {
	q.running = false
	q.statements--
	r.members[q.member].running--
	r.apply(r.queues[q.member][q.domain].Done(id, r.now))
	r.startAtMember(q.member)
	r.report(q)
	switch {
	case q.done:
		delete(r.requests, id)
	case q.statements > 0:
		q.pinned = true
		r.attempt(id, q)
	default:
		delete(r.requests, id)
		q.done = true
		took := r.now - q.arrived
		r.count(q, func(c *KindResult) {
			c.latencies = append(c.latencies, took)
			c.Answered++
			if took <= q.kind.Objective {
				c.InObjective++
			}
		})
	}
}
