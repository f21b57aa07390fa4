package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/papayarail/papayarail/measure/figures"
)

// RoamingMode defines how a roaming session reads after its write.
type RoamingMode struct {
	Name string
	// Consistency is the value of papayarail.consistency for the read.
	Consistency string
	// CarryPosition passes the position reported after the write to the next instance.
	CarryPosition bool
	// Guaranteed means that the read must see the session's acknowledged writes.
	Guaranteed bool
}

// RoamingModes lists the modes that each roaming session cycles through.
var RoamingModes = []RoamingMode{
	{"strict", "strict", false, true},
	{"session with carried position", "session", true, true},
	{"session without carried position", "session", false, false},
}

// RoamingResult holds the figures of the reads in one mode.
type RoamingResult struct {
	Mode       RoamingMode
	Reads      int
	StaleReads int                // reads that did not see all acknowledged writes of the session
	Errors     map[string]int     // of reads and writes, by code
	Latencies  *figures.Latencies // of the reads
}

// roamingSession is a session that connects to the next instance for each request.
// It writes to a row of lots that no other session writes.
type roamingSession struct {
	generator     *Generator
	service       string
	lot           string
	nextAddress   int
	acknowledged  int
	unknownWrites int // writes of unknown outcome
	results       []*RoamingResult
	mu            *sync.Mutex
}

// RunRoaming runs a number of roaming sessions per service for d and returns one
// result per mode.
func (g *Generator) RunRoaming(ctx context.Context, services []string, sessions int, d time.Duration) []*RoamingResult {
	var results []*RoamingResult
	for _, m := range RoamingModes {
		results = append(results, &RoamingResult{Mode: m, Errors: make(map[string]int), Latencies: figures.NewLatencies()})
	}
	end := time.Now().Add(d)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, service := range services {
		for i := range sessions {
			r := &roamingSession{generator: g, service: service, lot: fmt.Sprintf("roaming-%d", i), nextAddress: i, results: results, mu: &mu}
			wg.Go(func() { r.run(ctx, end) })
		}
	}
	wg.Wait()
	return results
}

func (r *roamingSession) run(ctx context.Context, end time.Time) {
	_, err := r.runAtNextInstance(ctx, nil, func(ctx context.Context, conn *session) error {
		_, err := conn.Exec(ctx, "INSERT INTO lots (id, quantity) VALUES ($1, 0)", r.lot)
		return err
	})
	r.countError(nil, err)
	for n := 0; err == nil && time.Now().Before(end); n++ {
		r.cycle(ctx, r.results[n%len(r.results)])
	}
}

// cycle writes at one instance and reads at the next one.
func (r *roamingSession) cycle(ctx context.Context, result *RoamingResult) {
	position, err := r.runAtNextInstance(ctx, nil, func(ctx context.Context, conn *session) error {
		_, err := conn.Exec(ctx, "UPDATE lots SET quantity = quantity + 1 WHERE id = $1", r.lot)
		return err
	})
	switch outcomeOf(err).kind {
	case answered:
		r.acknowledged++
	case unknown:
		r.unknownWrites++
	}
	if r.countError(result, err); err != nil {
		return
	}
	parameters := map[string]string{"papayarail.consistency": result.Mode.Consistency}
	if result.Mode.CarryPosition {
		parameters["papayarail.position"] = position
	}
	quantity := 0
	var took time.Duration
	_, err = r.runAtNextInstance(ctx, parameters, func(ctx context.Context, conn *session) error {
		began := time.Now()
		err := conn.QueryRow(ctx, "SELECT quantity FROM lots WHERE id = $1", r.lot).Scan(&quantity)
		took = time.Since(began)
		return err
	})
	if r.countError(result, err); err == nil {
		r.checkRead(result, quantity, took)
	}
}

func (r *roamingSession) checkRead(result *RoamingResult, quantity int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Reads++
	result.Latencies.Add(took)
	if quantity < r.acknowledged {
		result.StaleReads++
	}
	if result.Mode.Guaranteed {
		r.generator.Checker.Check(ReadYourWrites, quantity >= r.acknowledged, "%s: %s/%s read %d after %d writes", result.Mode.Name, r.service, r.lot, quantity, r.acknowledged)
	}
	r.generator.Checker.Check(AtMostOnce, quantity <= r.acknowledged+r.unknownWrites, "%s/%s read %d after %d writes", r.service, r.lot, quantity, r.acknowledged+r.unknownWrites)
}

func (r *roamingSession) countError(result *RoamingResult, err error) {
	if err == nil {
		return
	}
	o := outcomeOf(err)
	if o.kind == unknown {
		r.generator.recordInterrupted("roaming", Stream{Rank: Middle, Service: r.service}, &caller{name: r.lot}, o)
	}
	if result != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		result.Errors[o.code]++
	}
}

// runAtNextInstance connects to the next instance, runs one request there and
// returns the position that the instance reported.
func (r *roamingSession) runAtNextInstance(ctx context.Context, parameters map[string]string, do func(context.Context, *session) error) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	addresses := r.generator.addresses()
	r.nextAddress++
	conn, err := connect(ctx, addresses[r.nextAddress%len(addresses)], r.service, parameters)
	if err != nil {
		return "", &notSentError{err}
	}
	defer conn.Close(context.WithoutCancel(ctx))
	err = do(ctx, &session{Conn: conn})
	return conn.PgConn().ParameterStatus("papayarail.position"), err
}

// notSentError is an error that occurred before the request was sent;
// pgconn.SafeToRetry recognizes it.
type notSentError struct{ error }

func (*notSentError) SafeToRetry() bool { return true }
func (e *notSentError) Unwrap() error   { return e.error }
