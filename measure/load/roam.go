package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/papayarail/papayarail/measure/figures"
)

// RoamingMode is how a roaming session reads after its write.
type RoamingMode struct {
	Name string
	// Consistency is the session's papayarail.consistency.
	Consistency string
	// CarryPosition hands the position reported after the write to the next instance.
	CarryPosition bool
	// Guaranteed says that the read must see the session's writes.
	Guaranteed bool
}

// RoamingModes lists the ways in which sessions roam.
var RoamingModes = []RoamingMode{
	{"strict", "strict", false, true},
	{"session with carried position", "session", true, true},
	{"session without carried position", "session", false, false},
}

// RoamingResult holds the figures of one mode.
type RoamingResult struct {
	Mode       RoamingMode
	Reads      int
	StaleReads int // reads that did not see the session's own writes
	Errors     map[string]int
	Latencies  *figures.Latencies // of the reads
}

// roamer is a session that connects to another instance for each request. It
// writes to a lot of its own.
type roamer struct {
	load    *Generator
	service string
	lot     string
	step    int
	written int
	open    int // writes of unknown outcome
	results []*RoamingResult
	mu      *sync.Mutex
}

// RunRoaming runs sessions of each service until d has passed.
func (l *Generator) RunRoaming(ctx context.Context, services []string, sessions int, d time.Duration) []*RoamingResult {
	var results []*RoamingResult
	for _, m := range RoamingModes {
		results = append(results, &RoamingResult{Mode: m, Errors: make(map[string]int), Latencies: figures.NewLatencies()})
	}
	end := time.Now().Add(d)
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, service := range services {
		for i := range sessions {
			r := &roamer{load: l, service: service, lot: fmt.Sprintf("roaming-%d", i), step: i, results: results, mu: &mu}
			work.Go(func() { r.run(ctx, end) })
		}
	}
	work.Wait()
	return results
}

func (r *roamer) run(ctx context.Context, end time.Time) {
	_, err := r.visit(ctx, nil, func(ctx context.Context, k *conn) error {
		_, err := k.Exec(ctx, "INSERT INTO lots (id, quantity) VALUES ($1, 0)", r.lot)
		return err
	})
	r.count(nil, err)
	for n := 0; err == nil && time.Now().Before(end); n++ {
		r.cycle(ctx, r.results[n%len(r.results)])
	}
}

// cycle writes at one instance and reads at the next.
func (r *roamer) cycle(ctx context.Context, result *RoamingResult) {
	token, err := r.visit(ctx, nil, func(ctx context.Context, k *conn) error {
		_, err := k.Exec(ctx, "UPDATE lots SET quantity = quantity + 1 WHERE id = $1", r.lot)
		return err
	})
	switch outcomeOf(err).kind {
	case answered:
		r.written++
	case unknown:
		r.open++
	}
	if r.count(result, err); err != nil {
		return
	}
	parameters := map[string]string{"papayarail.consistency": result.Mode.Consistency}
	if result.Mode.CarryPosition {
		parameters["papayarail.position"] = token
	}
	quantity := 0
	var took time.Duration
	_, err = r.visit(ctx, parameters, func(ctx context.Context, k *conn) error {
		began := time.Now()
		err := k.QueryRow(ctx, "SELECT quantity FROM lots WHERE id = $1", r.lot).Scan(&quantity)
		took = time.Since(began)
		return err
	})
	if r.count(result, err); err == nil {
		r.judge(result, quantity, took)
	}
}

func (r *roamer) judge(result *RoamingResult, quantity int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Reads++
	result.Latencies.Add(took)
	if quantity < r.written {
		result.StaleReads++
	}
	if result.Mode.Guaranteed {
		r.load.Checker.Check(ReadYourWrites, quantity >= r.written, "%s: %s/%s read %d after %d writes", result.Mode.Name, r.service, r.lot, quantity, r.written)
	}
	r.load.Checker.Check(AtMostOnce, quantity <= r.written+r.open, "%s/%s read %d after %d writes", r.service, r.lot, quantity, r.written+r.open)
}

func (r *roamer) count(result *RoamingResult, err error) {
	if err == nil {
		return
	}
	o := outcomeOf(err)
	if o.kind == unknown {
		r.load.countCut("roaming", Stream{Rank: Middle, Service: r.service}, &caller{name: r.lot}, o)
	}
	if result != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		result.Errors[o.code]++
	}
}

// visit runs one request at the next instance and returns the position that
// the instance reported.
func (r *roamer) visit(ctx context.Context, parameters map[string]string, do func(context.Context, *conn) error) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	all := r.load.addresses()
	r.step++
	k, err := connect(ctx, all[r.step%len(all)], r.service, parameters)
	if err != nil {
		return "", &unsent{err}
	}
	defer k.Close(context.WithoutCancel(ctx))
	err = do(ctx, &conn{Conn: k})
	return k.PgConn().ParameterStatus("papayarail.position"), err
}

// unsent marks an error before the request was sent; pgconn.SafeToRetry
// recognizes it.
type unsent struct{ error }

func (*unsent) SafeToRetry() bool { return true }
func (u *unsent) Unwrap() error   { return u.error }
