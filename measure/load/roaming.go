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
type roamingSession struct {
	load          *Generator
	service       string
	lot           string
	nextAddress   int
	acknowledged  int
	unknownWrites int // writes of unknown outcome
	results       []*RoamingResult
	mu            *sync.Mutex
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
			r := &roamingSession{load: l, service: service, lot: fmt.Sprintf("roaming-%d", i), nextAddress: i, results: results, mu: &mu}
			work.Go(func() { r.run(ctx, end) })
		}
	}
	work.Wait()
	return results
}

func (r *roamingSession) run(ctx context.Context, end time.Time) {
	_, err := r.runAtNextInstance(ctx, nil, func(ctx context.Context, k *session) error {
		_, err := k.Exec(ctx, "INSERT INTO lots (id, quantity) VALUES ($1, 0)", r.lot)
		return err
	})
	r.countError(nil, err)
	for n := 0; err == nil && time.Now().Before(end); n++ {
		r.cycle(ctx, r.results[n%len(r.results)])
	}
}

// cycle writes at one instance and reads at the next.
func (r *roamingSession) cycle(ctx context.Context, result *RoamingResult) {
	token, err := r.runAtNextInstance(ctx, nil, func(ctx context.Context, k *session) error {
		_, err := k.Exec(ctx, "UPDATE lots SET quantity = quantity + 1 WHERE id = $1", r.lot)
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
		parameters["papayarail.position"] = token
	}
	quantity := 0
	var took time.Duration
	_, err = r.runAtNextInstance(ctx, parameters, func(ctx context.Context, k *session) error {
		began := time.Now()
		err := k.QueryRow(ctx, "SELECT quantity FROM lots WHERE id = $1", r.lot).Scan(&quantity)
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
		r.load.Checker.Check(ReadYourWrites, quantity >= r.acknowledged, "%s: %s/%s read %d after %d writes", result.Mode.Name, r.service, r.lot, quantity, r.acknowledged)
	}
	r.load.Checker.Check(AtMostOnce, quantity <= r.acknowledged+r.unknownWrites, "%s/%s read %d after %d writes", r.service, r.lot, quantity, r.acknowledged+r.unknownWrites)
}

func (r *roamingSession) countError(result *RoamingResult, err error) {
	if err == nil {
		return
	}
	o := outcomeOf(err)
	if o.kind == unknown {
		r.load.recordInterrupted("roaming", Stream{Rank: Middle, Service: r.service}, &caller{name: r.lot}, o)
	}
	if result != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		result.Errors[o.code]++
	}
}

// visit runs one request at the next instance and returns the position that
// the instance reported.
func (r *roamingSession) runAtNextInstance(ctx context.Context, parameters map[string]string, do func(context.Context, *session) error) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	all := r.load.addresses()
	r.nextAddress++
	k, err := connect(ctx, all[r.nextAddress%len(all)], r.service, parameters)
	if err != nil {
		return "", &notSentError{err}
	}
	defer k.Close(context.WithoutCancel(ctx))
	err = do(ctx, &session{Conn: k})
	return k.PgConn().ParameterStatus("papayarail.position"), err
}

// unsent marks an error before the request was sent; pgconn.SafeToRetry
// recognizes it.
type notSentError struct{ error }

func (*notSentError) SafeToRetry() bool { return true }
func (u *notSentError) Unwrap() error   { return u.error }
