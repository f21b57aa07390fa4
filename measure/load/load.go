// Package load is an open-loop load generator with a consistency checker: it
// sends requests to a proxy as named callers do, at times that do not depend on
// the responses, and checks the results against the recorded outcomes.
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

// Ranks (priority classes) of requests.
const (
	Urgent = "urgent"
	Middle = "middle"
	Least  = "least"
)

const (
	// Deadline is the request deadline that callers set in papayarail.deadline_ms.
	Deadline = 2 * time.Second
	// MaxStaleness is the maximum age of data that bounded-stale reads accept.
	MaxStaleness = 5 * time.Second
	// attemptTimeout is the time after which a caller abandons an attempt. It
	// exceeds Deadline so that a refusal sent at the deadline still arrives.
	attemptTimeout = Deadline + time.Second
	// requestTimeout is the time after the arrival of a request from which on no
	// further attempt starts.
	requestTimeout = 4 * time.Second
	// maxRetries is the maximum number of retries of a request.
	maxRetries = 3
	// minRetryDelay is the minimum delay before a retry: it applies after an
	// unknown outcome and after a refusal without retry_after_ms.
	minRetryDelay = 50 * time.Millisecond
	// lotCount is the number of rows in the table lots of each service.
	lotCount = 20
)

// Kind is the kind of request that a stream sends.
type Kind uint8

// Kinds of requests.
const (
	// KeyedInserts are inserts into recalls with a request (idempotency) key.
	KeyedInserts Kind = iota
	// Increments are updates that add one to the quantity of a row of lots.
	Increments
	// StrictReads are reads of a row of lots with strict consistency.
	StrictReads
	// BoundedStaleReads are reads of a row of lots that accept data up to MaxStaleness old.
	BoundedStaleReads
	// Transactions are transactions of two inserts into transfers; three in ten are rolled back.
	Transactions
)

// Stream is a Poisson stream of requests of one kind to one service.
type Stream struct {
	Name    string // callers are named Name-1, Name-2, ...
	Service string
	Rank    string
	Kind    Kind
	Rate    float64 // requests per second, of all callers together
	Callers int     // number of callers
	// Skewed makes every fourth caller offer four times the load of each other caller.
	Skewed bool
	// Connections is the maximum number of connections of each caller.
	Connections int
}

// Generator offers load to one system under test. It keeps callers and their
// connections between runs.
type Generator struct {
	Checker *Checker

	seed              uint64
	addresses         Addresses
	faultInjected     atomic.Bool
	lastRequestNumber atomic.Int64

	mu                  sync.Mutex
	callers             map[string]*caller // by service/name
	interrupted         int
	interruptedExamples []string
	acks                map[string][]ack // by service
}

// ack holds the times at which an acknowledged write was sent and acknowledged.
type ack struct{ sent, received time.Time }

// New returns a Generator without callers. The seed determines the arrivals.
func New(seed uint64, a Addresses) *Generator {
	return &Generator{Checker: NewChecker(), seed: seed, addresses: a, callers: make(map[string]*caller), acks: make(map[string][]ack)}
}

// SetFaultInjected sets whether a fault is injected at present. While none is, each
// attempt with an unknown outcome counts as an interrupted request.
func (g *Generator) SetFaultInjected(injected bool) { g.faultInjected.Store(injected) }

// InterruptedRequests returns the number of attempts whose outcome was unknown
// while no fault was injected, and descriptions of the first few. Reports call
// them cut requests.
func (g *Generator) InterruptedRequests() (int, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.interrupted, g.interruptedExamples
}

// Run offers the streams for d, or until stop is closed, waits until all requests
// have ended, and returns the figures of the phase.
func (g *Generator) Run(ctx context.Context, name string, d time.Duration, streams []Stream, stop <-chan struct{}) figures.Phase {
	p := newPhase(name, d)
	var wg sync.WaitGroup
	for _, s := range streams {
		wg.Go(func() { g.offer(ctx, p, s, stop) })
	}
	wg.Wait()
	return p.figures(g.longestPauses(p.began, p.began.Add(p.duration)))
}

// offer starts the requests of a stream with exponentially distributed
// interarrival times and waits until all of them have ended.
func (g *Generator) offer(ctx context.Context, p *phase, s Stream, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(g.seed, hash(p.name+"/"+s.Name+"/"+s.Service)))
	callers := g.callersOf(s)
	weighted := weightedCallers(s)
	for _, c := range callers {
		c.offered.Store(0)
		c.answered.Store(0)
	}
	var wg sync.WaitGroup
	offset := time.Duration(0)
	for {
		offset += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if offset >= p.maxDuration || !sleepUntil(ctx, p.began.Add(offset), stop) {
			break
		}
		c := callers[weighted[random.IntN(len(weighted))]]
		lot := fmt.Sprintf("lot-%d", random.IntN(lotCount))
		arrival := p.began.Add(offset)
		wg.Go(func() { g.request(ctx, p, s, c, lot, arrival) })
	}
	p.extendDuration(min(time.Since(p.began), p.maxDuration))
	wg.Wait()
	if s.Rank == Urgent {
		p.addCallers(s.Service, callers)
	}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum64()
}

// weightedCallers lists the index of each caller in proportion to its share of the load.
func weightedCallers(s Stream) (weighted []int) {
	for i := range s.Callers {
		weight := 1
		if s.Skewed && i%4 == 0 {
			weight = 4
		}
		for range weight {
			weighted = append(weighted, i)
		}
	}
	return weighted
}

func (g *Generator) callersOf(s Stream) []*caller {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*caller, s.Callers)
	for i := range out {
		name := fmt.Sprintf("%s-%d", s.Name, i+1)
		key := s.Service + "/" + name
		if g.callers[key] == nil {
			g.callers[key] = newCaller(name, s.Service, s.Rank, s.Connections, i, g.addresses)
		}
		out[i] = g.callers[key]
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

// sleep returns false if ctx ends before d has passed.
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

// request runs one request including its retries.
func (g *Generator) request(ctx context.Context, p *phase, s Stream, c *caller, lot string, arrival time.Time) {
	c.offered.Add(1)
	p.countOffered(s.Rank)
	r := request{generator: g, stream: s, caller: c, lot: lot, key: fmt.Sprintf("%s-%d", c.name, g.lastRequestNumber.Add(1))}
	deadline := arrival.Add(requestTimeout)
	var o outcome
	for attempt := 0; attempt <= maxRetries; attempt++ {
		injected := g.faultInjected.Load()
		o = r.runAttempt(ctx, deadline, attempt)
		p.countCode(s.Rank, o)
		if o.kind == unknown && !injected && !g.faultInjected.Load() {
			p.countInterrupted()
			g.recordInterrupted(p.name, s, c, o)
		}
		pause := max(o.retryAfter, minRetryDelay)
		if !r.shouldRetry(o) || time.Now().Add(pause).After(deadline) || !sleep(ctx, pause) {
			break
		}
	}
	// Responses after the end of the offered load are left out of the fairness
	// index: they show how long a caller waited, not how the capacity was divided
	// while all callers competed for it.
	if o.kind == answered && time.Since(p.began) < p.maxDuration {
		c.answered.Add(1)
	}
	p.recordOutcome(s.Rank, o, time.Since(arrival))
}

func (g *Generator) recordInterrupted(phase string, s Stream, c *caller, o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.interrupted++
	if len(g.interruptedExamples) < maxExamples {
		g.interruptedExamples = append(g.interruptedExamples, fmt.Sprintf("phase %s, %s of %s at %s: %s: %v", phase, s.Rank, c.name, s.Service, o.code, o.err))
	}
}

// request is one request of a caller, for the row lot or with the request key key.
type request struct {
	generator *Generator
	stream    Stream
	caller    *caller
	lot       string
	key       string
}

// shouldRetry reports whether the outcome permits another attempt. Only a request
// with a request key may be repeated after an unknown outcome.
func (r *request) shouldRetry(o outcome) bool {
	return o.kind == notRun || o.kind == unknown && r.stream.Kind == KeyedInserts
}

func (r *request) rowID() rowID { return rowID{r.stream.Service, r.lot} }

// runAttempt waits for a connection until deadline, and then runs the request
// with attemptTimeout, which does not include the wait.
func (r *request) runAttempt(ctx context.Context, deadline time.Time, attempt int) outcome {
	acquireCtx, cancelAcquire := context.WithDeadline(ctx, deadline)
	conn, err := r.caller.acquire(acquireCtx)
	cancelAcquire()
	if err != nil {
		return outcome{kind: notRun, code: codeNoConnection, err: err}
	}
	defer r.caller.release(conn)
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	switch r.stream.Kind {
	case KeyedInserts:
		return r.insertKeyed(ctx, conn, attempt)
	case Increments:
		return r.increment(ctx, conn)
	case StrictReads:
		return r.readStrict(ctx, conn)
	case Transactions:
		return r.runTransaction(ctx, conn, attempt)
	default:
		return r.readBoundedStale(ctx, conn)
	}
}

// insertKeyed inserts a row whose id differs between attempts, so that a second
// execution under the same request key leaves a second row.
func (r *request) insertKeyed(ctx context.Context, conn *session, attempt int) outcome {
	if _, err := conn.Exec(ctx, "SET papayarail.request_key = '"+r.key+"'"); err != nil {
		return outcomeOf(err)
	}
	sent := time.Now()
	_, err := conn.Exec(ctx, "INSERT INTO recalls (id, request) VALUES ($1, $2)", fmt.Sprintf("%s/%d", r.key, attempt), r.key)
	o := outcomeOf(err)
	r.generator.Checker.keyedInsertEnded(rowID{r.stream.Service, r.key}, o)
	r.recordAck(o, sent)
	return o
}

func (r *request) recordAck(o outcome, sent time.Time) {
	if o.kind != answered {
		return
	}
	g := r.generator
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acks[r.stream.Service] = append(g.acks[r.stream.Service], ack{sent, time.Now()})
}

func (r *request) increment(ctx context.Context, conn *session) outcome {
	row := r.rowID()
	sent := time.Now()
	r.generator.Checker.incrementStarted(row)
	tag, err := conn.Exec(ctx, "UPDATE lots SET quantity = quantity + 1 WHERE id = $1", r.lot)
	if err == nil && tag.RowsAffected() != 1 {
		r.generator.Checker.Check(MatchingResponses, false, "update of %s/%s returned command tag %q", row.service, row.id, tag)
	}
	o := outcomeOf(err)
	r.generator.Checker.incrementEnded(row, o)
	r.recordAck(o, sent)
	return o
}

func (r *request) readLot(ctx context.Context, conn *session) (quantity int, o outcome) {
	var id string
	err := conn.QueryRow(ctx, "SELECT id, quantity FROM lots WHERE id = $1", r.lot).Scan(&id, &quantity)
	if err == nil {
		r.generator.Checker.Check(MatchingResponses, id == r.lot, "read of %s/%s returned row %s", r.stream.Service, r.lot, id)
	}
	return quantity, outcomeOf(err)
}

func (r *request) readStrict(ctx context.Context, conn *session) outcome {
	bounds := r.generator.Checker.boundsAtReadStart(r.rowID())
	quantity, o := r.readLot(ctx, conn)
	if o.kind == answered {
		r.generator.Checker.checkStrictRead(r.rowID(), bounds, quantity)
	}
	return o
}

func (r *request) readBoundedStale(ctx context.Context, conn *session) outcome {
	quantity, o := r.readLot(ctx, conn)
	if o.kind == answered {
		r.generator.Checker.Check(ReadYourWrites, quantity >= conn.lastSeen[r.lot], "session of %s read an older quantity of %s/%s: %d, then %d",
			r.caller.name, r.stream.Service, r.lot, conn.lastSeen[r.lot], quantity)
		conn.lastSeen[r.lot] = quantity
	}
	return o
}

// Close closes all connections. No request may be running.
func (g *Generator) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.callers {
		c.close()
	}
}

// CreateTables creates the tables of a service through the proxy at an address
// (host:port) and inserts the rows of lots.
func CreateTables(ctx context.Context, address, service string) error {
	conn, err := connect(ctx, address, service, nil)
	if err != nil {
		return err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	for _, table := range []string{
		"CREATE TABLE IF NOT EXISTS lots (id text PRIMARY KEY, quantity bigint NOT NULL)",
		"CREATE TABLE IF NOT EXISTS recalls (id text PRIMARY KEY, request text NOT NULL)",
		"CREATE TABLE IF NOT EXISTS transfers (id text PRIMARY KEY, transfer text NOT NULL)",
	} {
		if _, err := conn.Exec(ctx, table); err != nil {
			return err
		}
	}
	for i := range lotCount {
		if _, err := conn.Exec(ctx, "INSERT INTO lots (id, quantity) VALUES ($1, 0)", fmt.Sprintf("lot-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// ReadBack reads the tables of a service at an address (host:port) and checks them
// against the recorded outcomes. It retries until ctx ends, unless the database
// answers with an error.
func (g *Generator) ReadBack(ctx context.Context, address, service string) error {
	for {
		found, err := readContents(ctx, address, service)
		if err == nil {
			g.Checker.checkContents(service, found)
			return nil
		}
		if outcomeOf(err).kind == databaseError || !sleep(ctx, minRetryDelay) {
			return err
		}
	}
}

// contents holds the tables of a service, as read at the end of a scenario.
type contents struct {
	quantities      map[string]int // by id of the row of lots
	keyedRows       map[string]int // number of rows by request key
	transactionRows map[string]int // number of rows by transaction
}

func readContents(ctx context.Context, address, service string) (c contents, err error) {
	conn, err := connect(ctx, address, service, nil)
	if err != nil {
		return c, err
	}
	defer conn.Close(context.WithoutCancel(ctx))
	if c.quantities, err = sumByKey(ctx, conn, "SELECT id, quantity FROM lots"); err != nil {
		return c, err
	}
	if c.keyedRows, err = sumByKey(ctx, conn, "SELECT request, 1 FROM recalls"); err != nil {
		return c, err
	}
	c.transactionRows, err = sumByKey(ctx, conn, "SELECT transfer, 1 FROM transfers")
	return c, err
}

// sumByKey sums the second column of a query's result grouped by the first.
func sumByKey(ctx context.Context, conn *pgx.Conn, sql string) (map[string]int, error) {
	rows, err := conn.Query(ctx, sql)
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
