// Package load offers open-loop load to a proxy as named callers do, and checks
// the answers against a ledger of what was acknowledged.
package load

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/papayarail/papayarail/measure/figures"
)

// Ranks of the load.
const (
	Urgent = "urgent"
	Middle = "middle"
	Least  = "least"
)

const (
	// Deadline is what callers state for each request.
	Deadline = 2 * time.Second
	// MaxStaleness is the age that lookups accept.
	MaxStaleness = 5 * time.Second
	// patience is the time after which a caller gives an attempt up. The
	// difference to Deadline covers the transport of a late refusal.
	patience = Deadline + time.Second
	// totalPatience is the time after which no attempt of a request starts.
	totalPatience = 4 * time.Second
	// comeBacks bounds how often a refused caller comes back.
	comeBacks = 3
	// defaultComeBack is the pause before a keyed request of unknown outcome is
	// asked again, and after a refusal without advice.
	defaultComeBack = 50 * time.Millisecond
	// lotCount is the number of lots of each service.
	lotCount = 20
)

// Kind is what a stream requests.
type Kind uint8

// Kinds of requests.
const (
	// KeyedInserts are inserts with a request key.
	KeyedInserts Kind = iota
	// Increments are updates that add one to the quantity of a lot.
	Increments
	// StrictReads are strict reads of a lot.
	StrictReads
	// BoundedStaleReads are reads of a lot that accept data of a stated age.
	BoundedStaleReads
	// Transactions are transactions of two inserts; each third is rolled back.
	Transactions
)

// Stream is one source of requests.
type Stream struct {
	Name    string // callers are named Name-1, Name-2, ...
	Service string
	Rank    string
	Kind    Kind
	Rate    float64 // requests per second
	Callers int
	// Skewed makes each fourth caller offer four times as much as the others.
	Skewed bool
	// Connections of each caller.
	Connections int
}

// Generator is the callers of one system under test.
type Generator struct {
	Checker *Checker

	seed      uint64
	addresses Addresses
	faulty    atomic.Bool
	sequence  atomic.Int64

	mu      sync.Mutex
	callers map[string]*caller
	cut     int
	cutInfo []string
	acks    map[string][]ack
}

// ack is an acknowledged write.
type ack struct{ sent, received time.Time }

// New returns a load without callers.
func New(seed uint64, a Addresses) *Generator {
	return &Generator{Checker: NewChecker(), seed: seed, addresses: a, callers: make(map[string]*caller), acks: make(map[string][]ack)}
}

// SetFaultInjected says whether something has failed on purpose. While nothing has,
// each error without "not run" counts as a cut request.
func (l *Generator) SetFaultInjected(faulty bool) { l.faulty.Store(faulty) }

// InterruptedRequests returns the number of cut requests and some of their errors.
func (l *Generator) InterruptedRequests() (int, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.cutInfo
}

// Run offers the streams for a duration, or until stop is closed, and returns
// when all their requests have ended.
func (l *Generator) Run(ctx context.Context, name string, d time.Duration, streams []Stream, stop <-chan struct{}) figures.Phase {
	p := newPhase(name, d)
	var work sync.WaitGroup
	for _, s := range streams {
		work.Go(func() { l.offer(ctx, p, s, stop) })
	}
	work.Wait()
	return p.figures(l.longestPauses(p.began, p.began.Add(p.duration)))
}

// offer starts requests at random times with exponential intervals. It waits
// for them all.
func (l *Generator) offer(ctx context.Context, p *phase, s Stream, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(l.seed, hash(p.name+"/"+s.Name+"/"+s.Service)))
	callers := l.callersOf(s)
	pick := weights(s)
	for _, c := range callers {
		c.offered.Store(0)
		c.answered.Store(0)
	}
	var work sync.WaitGroup
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= p.limit || !sleepUntil(ctx, p.began.Add(at), stop) {
			break
		}
		c := callers[pick[random.IntN(len(pick))]]
		lot := fmt.Sprintf("lot-%d", random.IntN(lotCount))
		arrived := p.began.Add(at)
		work.Go(func() { l.request(ctx, p, s, c, lot, arrived) })
	}
	p.lasted(min(time.Since(p.began), p.limit))
	work.Wait()
	if s.Rank == Urgent {
		p.addCallers(s.Service, callers)
	}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum64()
}

// weights lists each caller as often as its share of the load demands.
func weights(s Stream) (pick []int) {
	for i := range s.Callers {
		n := 1
		if s.Skewed && i%4 == 0 {
			n = 4
		}
		for range n {
			pick = append(pick, i)
		}
	}
	return pick
}

func (l *Generator) callersOf(s Stream) []*caller {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*caller, s.Callers)
	for i := range out {
		name := fmt.Sprintf("%s-%d", s.Name, i+1)
		key := s.Service + "/" + name
		if l.callers[key] == nil {
			l.callers[key] = newCaller(name, s.Service, s.Rank, s.Connections, i, l.addresses)
		}
		out[i] = l.callers[key]
	}
	return out
}

// sleepUntil returns false if stop is closed or ctx ends before t.
func sleepUntil(ctx context.Context, t time.Time, stop <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-stop:
		return false
	case <-timer.C:
		return true
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// request runs one request with its come-backs.
func (l *Generator) request(ctx context.Context, p *phase, s Stream, c *caller, lot string, arrived time.Time) {
	c.offered.Add(1)
	p.offered(s.Rank)
	r := request{load: l, stream: s, caller: c, lot: lot, key: fmt.Sprintf("%s-%d", c.name, l.sequence.Add(1))}
	giveUp := arrived.Add(totalPatience)
	var o outcome
	for attempt := 0; attempt <= comeBacks; attempt++ {
		faulty := l.faulty.Load()
		o = r.attempt(ctx, giveUp, attempt)
		p.code(s.Rank, o)
		if o.kind == unknown && !faulty && !l.faulty.Load() {
			p.cutOne()
			l.countCut(p.name, s, c, o)
		}
		pause := max(o.after, defaultComeBack)
		if !r.comesBack(o) || time.Now().Add(pause).After(giveUp) || !sleep(ctx, pause) {
			break
		}
	}
	// Answers after the offered interval show how long a caller waited, not how
	// the capacity was divided while all callers wanted it.
	if o.kind == answered && time.Since(p.began) < p.limit {
		c.answered.Add(1)
	}
	p.ended(s.Rank, o, time.Since(arrived))
}

func (l *Generator) countCut(phase string, s Stream, c *caller, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut++
	if len(l.cutInfo) < maxExamples {
		l.cutInfo = append(l.cutInfo, fmt.Sprintf("phase %s, %s of %s at %s: %s: %v", phase, s.Rank, c.name, s.Service, o.code, o.err))
	}
}

// request is one request of a caller.
type request struct {
	load   *Generator
	stream Stream
	caller *caller
	lot    string
	key    string
}

// comesBack reports whether another attempt follows. Only a keyed request may
// be repeated when its outcome is unknown.
func (r *request) comesBack(o outcome) bool {
	return o.kind == notRun || o.kind == unknown && r.stream.Kind == KeyedInserts
}

func (r *request) place() place { return place{r.stream.Service, r.lot} }

// attempt waits until giveUp for a connection; the wait is not part of the
// patience with the proxy.
func (r *request) attempt(ctx context.Context, giveUp time.Time, n int) outcome {
	waiting, done := context.WithDeadline(ctx, giveUp)
	k, err := r.caller.take(waiting)
	done()
	if err != nil {
		return outcome{kind: notRun, code: codeNoConnection, err: err}
	}
	defer r.caller.give(k)
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	switch r.stream.Kind {
	case KeyedInserts:
		return r.recall(ctx, k, n)
	case Increments:
		return r.move(ctx, k)
	case StrictReads:
		return r.check(ctx, k)
	case Transactions:
		return r.transfer(ctx, k, n)
	default:
		return r.lookup(ctx, k)
	}
}

// recall inserts a row whose id differs between attempts, so that a second
// execution under the same key shows.
func (r *request) recall(ctx context.Context, k *conn, n int) outcome {
	if _, err := k.Exec(ctx, "SET papayarail.request_key = '"+r.key+"'"); err != nil {
		return outcomeOf(err)
	}
	sent := time.Now()
	_, err := k.Exec(ctx, "INSERT INTO recalls (id, request) VALUES ($1, $2)", fmt.Sprintf("%s/%d", r.key, n), r.key)
	o := outcomeOf(err)
	r.load.Checker.recallEnds(place{r.stream.Service, r.key}, o)
	r.acknowledged(o, sent)
	return o
}

func (r *request) acknowledged(o outcome, sent time.Time) {
	if o.kind != answered {
		return
	}
	l := r.load
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acks[r.stream.Service] = append(l.acks[r.stream.Service], ack{sent, time.Now()})
}

func (r *request) move(ctx context.Context, k *conn) outcome {
	p := r.place()
	sent := time.Now()
	r.load.Checker.moveStarts(p)
	tag, err := k.Exec(ctx, "UPDATE lots SET quantity = quantity + 1 WHERE id = $1", r.lot)
	if err == nil && tag.RowsAffected() != 1 {
		r.load.Checker.Check(MatchingResponses, false, "update of %s/%s answered %q", p.service, p.id, tag)
	}
	o := outcomeOf(err)
	r.load.Checker.moveEnds(p, o)
	r.acknowledged(o, sent)
	return o
}

func (r *request) read(ctx context.Context, k *conn) (quantity int, o outcome) {
	var id string
	err := k.QueryRow(ctx, "SELECT id, quantity FROM lots WHERE id = $1", r.lot).Scan(&id, &quantity)
	if err == nil {
		r.load.Checker.Check(MatchingResponses, id == r.lot, "read of %s/%s answered with %s", r.stream.Service, r.lot, id)
	}
	return quantity, outcomeOf(err)
}

func (r *request) check(ctx context.Context, k *conn) outcome {
	b := r.load.Checker.readStarts(r.place())
	quantity, o := r.read(ctx, k)
	if o.kind == answered {
		r.load.Checker.strictRead(r.place(), b, quantity)
	}
	return o
}

func (r *request) lookup(ctx context.Context, k *conn) outcome {
	quantity, o := r.read(ctx, k)
	if o.kind == answered {
		r.load.Checker.Check(ReadYourWrites, quantity >= k.seen[r.lot], "session of %s went backwards on %s/%s from %d to %d",
			r.caller.name, r.stream.Service, r.lot, k.seen[r.lot], quantity)
		k.seen[r.lot] = quantity
	}
	return o
}

// Close ends all connections.
func (l *Generator) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.callers {
		c.close()
	}
}

// CreateTables creates the tables of a service through the proxy.
func CreateTables(ctx context.Context, address, service string) error {
	k, err := connect(ctx, address, service, nil)
	if err != nil {
		return err
	}
	defer k.Close(context.WithoutCancel(ctx))
	for _, table := range []string{
		"CREATE TABLE IF NOT EXISTS lots (id text PRIMARY KEY, quantity bigint NOT NULL)",
		"CREATE TABLE IF NOT EXISTS recalls (id text PRIMARY KEY, request text NOT NULL)",
		"CREATE TABLE IF NOT EXISTS transfers (id text PRIMARY KEY, transfer text NOT NULL)",
	} {
		if _, err := k.Exec(ctx, table); err != nil {
			return err
		}
	}
	for i := range lotCount {
		if _, err := k.Exec(ctx, "INSERT INTO lots (id, quantity) VALUES ($1, 0)", fmt.Sprintf("lot-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// ReadBack compares the contents of a service, read at an address, with the
// ledger.
func (l *Generator) ReadBack(ctx context.Context, address, service string) error {
	for {
		found, err := readContents(ctx, address, service)
		if err == nil {
			l.Checker.settle(service, found)
			return nil
		}
		if outcomeOf(err).kind == refusedByDatabase || !sleep(ctx, defaultComeBack) {
			return err
		}
	}
}

// contents is what a service holds at the end.
type contents struct {
	quantities map[string]int // by lot
	recalls    map[string]int // rows by request key
	transfers  map[string]int // rows by transfer
}

func readContents(ctx context.Context, address, service string) (c contents, err error) {
	k, err := connect(ctx, address, service, nil)
	if err != nil {
		return c, err
	}
	defer k.Close(context.WithoutCancel(ctx))
	if c.quantities, err = sum(ctx, k, "SELECT id, quantity FROM lots"); err != nil {
		return c, err
	}
	if c.recalls, err = sum(ctx, k, "SELECT request, 1 FROM recalls"); err != nil {
		return c, err
	}
	c.transfers, err = sum(ctx, k, "SELECT transfer, 1 FROM transfers")
	return c, err
}

// sum adds up the second column by the first one.
func sum(ctx context.Context, k *pgx.Conn, sql string) (map[string]int, error) {
	rows, err := k.Query(ctx, sql)
	if err != nil {
		return nil, err
	}
	out := make(map[string]int)
	var name string
	var n int
	_, err = pgx.ForEachRow(rows, []any{&name, &n}, func() error {
		out[name] += n
		return nil
	})
	return out, err
}
