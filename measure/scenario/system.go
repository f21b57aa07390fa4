package scenario

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/measure/figures"
	"github.com/papayarail/papayarail/measure/load"
	"github.com/papayarail/papayarail/measure/local"
	"github.com/papayarail/papayarail/measure/naive"
	"github.com/papayarail/papayarail/store/configstore"
)

const (
	// statementDelay is the service time of a statement. With 2 slots, a database
	// executes 200 statements/s, which is low enough for the load generator and
	// all instances to fit on half of a 10-core machine during a tenfold flood.
	statementDelay = 10 * time.Millisecond
	// phaseTimeout bounds a phase that lasts as long as its function runs.
	phaseTimeout    = time.Minute
	readyTimeout    = 20 * time.Second
	readBackTimeout = 3 * time.Second
)

// system is the system under test, papayarail or the baseline, with its load generator.
type system struct {
	fleet     *local.Fleet
	doc       *fleet.Document
	generator *load.Generator
	naive     bool
	results   figures.SystemFigures
	shutDown  func()

	revision         configstore.Revision // in force
	propagationTimes []time.Duration      // times until a revision was in force everywhere, one per edit

	stoppedInstances map[string]bool // by name of the instance; nil for the baseline

	mu        sync.Mutex
	addresses []string
}

// callerAddresses returns the addresses of the instances that accept callers at present.
func (s *system) callerAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses
}

func (s *system) setAddresses(a []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = a
}

func startPapayarail(ctx context.Context, o Options) (*system, error) {
	f, err := local.Start(ctx, local.Config{Document: o.Document, StatementDelay: statementDelay, Log: o.Log})
	if err != nil {
		return nil, err
	}
	s := &system{fleet: f, doc: f.Document, shutDown: f.Close, revision: 1, stoppedInstances: make(map[string]bool)}
	for _, instance := range f.Instances {
		s.addresses = append(s.addresses, instance.Settings.CallerAddress)
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(readyCtx); err != nil {
		f.Close()
		return nil, err
	}
	return s.prepare(ctx, o)
}

func startNaive(ctx context.Context, o Options) (*system, error) {
	f, err := local.Start(ctx, local.Config{Document: o.Document, StatementDelay: statementDelay, DatabasesOnly: true, Log: o.Log})
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Close()
		return nil, err
	}
	proxy := naive.New(f.Document)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = proxy.Serve(ctx, l) }) // ends with ctx
	s := &system{fleet: f, doc: f.Document, naive: true, addresses: []string{l.Addr().String()}}
	s.shutDown = func() {
		cancel()
		wg.Wait()
		proxy.Close()
		f.Close()
	}
	return s.prepare(ctx, o)
}

// prepare creates the load generator and the tables of all services.
func (s *system) prepare(ctx context.Context, o Options) (*system, error) {
	s.generator = load.New(o.Seed, s.callerAddresses)
	for _, service := range s.doc.Services {
		if err := load.CreateTables(ctx, s.callerAddresses()[0], service.Name); err != nil {
			s.close()
			return nil, fmt.Errorf("create tables of %s: %w", service.Name, err)
		}
	}
	return s, nil
}

func (s *system) close() {
	s.generator.Close()
	s.shutDown()
}

// run offers the streams for a phase of length d and records its figures. If during is
// set, it runs beside the load, and the phase lasts until it returns instead of d.
func (s *system) run(ctx context.Context, name string, d time.Duration, streams []load.Stream, during func(context.Context) error) error {
	replica, primary := s.readsServed()
	var wg sync.WaitGroup
	var failure error
	var stop chan struct{}
	if during != nil {
		d = phaseTimeout
		stop = make(chan struct{})
		wg.Go(func() {
			defer close(stop)
			failure = during(ctx)
		})
	}
	p := s.generator.Run(ctx, name, d, streams, stop)
	wg.Wait()
	replicaAfter, primaryAfter := s.readsServed()
	if n := replicaAfter - replica + primaryAfter - primary; n > 0 {
		share := (replicaAfter - replica) / n
		p.ReplicaShare = &share
	}
	s.results.Phases = append(s.results.Phases, p)
	return failure
}

// readsServed returns the counters of reads served by replicas and by primaries. All
// instances of a local fleet share one metrics registry, so that one instance is
// enough.
func (s *system) readsServed() (replica, primary float64) {
	if s.naive {
		return 0, 0
	}
	for _, instance := range s.fleet.Instances {
		resp, err := http.Get("http://" + instance.Settings.OperatorAddress + "/metrics")
		if err != nil {
			continue // the instance has stopped
		}
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			name, value, _ := strings.Cut(lines.Text(), " ")
			n, _ := strconv.ParseFloat(value, 64) // 0 for other lines
			switch name {
			case `papayarail_reads_total{served_by="replica"}`:
				replica = n
			case `papayarail_reads_total{served_by="primary"}`:
				primary = n
			}
		}
		return replica, primary
	}
	return 0, 0
}

// primary returns the name of a service's primary according to the first instance that
// has a route; for the baseline it is the first database.
func (s *system) primary(service string) string {
	if !s.naive {
		for _, instance := range s.fleet.Instances {
			d, ok := instance.Node.Dump().(node.Dump)
			if !ok {
				continue
			}
			for _, r := range d.Routes {
				if string(r.Service) == service {
					return string(r.Primary)
				}
			}
		}
	}
	svc, _ := s.doc.Service(service)
	return svc.Databases[0].Name
}

// awaitWriteGap waits up to limit after a fault for an acknowledged write and records
// the write gap, or a fault without a write.
func (s *system) awaitWriteGap(ctx context.Context, service string, faultTime time.Time, limit time.Duration) {
	const pollInterval = 20 * time.Millisecond
	for time.Since(faultTime) < limit {
		if gap, ok := s.generator.WriteGap(service, faultTime); ok {
			s.recordWriteGap(service, gap)
			return
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results.FaultsWithoutWrite++
}

func (s *system) recordWriteGap(service string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.results.WriteGaps == nil {
		s.results.WriteGaps = make(map[string][]figures.Millis)
	}
	s.results.WriteGaps[service] = append(s.results.WriteGaps[service], figures.InMillis(gap))
}

// sleep returns false if ctx ends before d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// finish reads all services back and returns the figures. It reads through the last
// instance, whereas the tables were created through the first one.
func (s *system) finish(ctx context.Context) figures.SystemFigures {
	addresses := s.callerAddresses()
	var wg sync.WaitGroup
	for _, service := range s.doc.Services {
		wg.Go(func() { s.readBack(ctx, addresses[len(addresses)-1], service) })
	}
	wg.Wait()
	s.results.InterruptedRequests, s.results.InterruptedExamples = s.generator.InterruptedRequests()
	s.results.Guarantees = s.generator.Checker.Guarantees()
	return s.results
}

// readBack checks the contents of a service against the recorded outcomes. If
// papayarail does not serve the read, it records that and reads the primary
// directly, so that lost writes are still found.
func (s *system) readBack(ctx context.Context, address string, service fleet.Service) {
	proxyCtx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	err := s.generator.ReadBack(proxyCtx, address, service.Name)
	if err == nil {
		return
	}
	s.mu.Lock()
	s.results.ServicesNotReadBack++
	s.results.ReadBackErrors = append(s.results.ReadBackErrors, fmt.Sprintf("%s: %v", service.Name, err))
	s.mu.Unlock()
	if s.naive {
		return
	}
	directCtx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	db, _ := service.Database(s.primary(service.Name))
	if err := s.generator.ReadBack(directCtx, db.Address, service.Name); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results.ReadBackErrors = append(s.results.ReadBackErrors, fmt.Sprintf("%s, directly: %v", service.Name, err))
	}
}
