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
	// statementDelay is the service time of a statement. With 2 slots it gives
	// a database 200 statements/s, low enough that the load generator and all
	// instances fit on half of a 10-core machine during a tenfold flood.
	statementDelay = 10 * time.Millisecond
	// phaseLimit bounds a phase that ends with its faults.
	phaseLimit      = time.Minute
	readyTimeout    = 20 * time.Second
	readBackTimeout = 3 * time.Second
)

// system is papayarail or the baseline with the callers' load.
type system struct {
	fleet *local.Fleet
	doc   *fleet.Document
	load  *load.Generator
	naive bool
	side  figures.SystemFigures
	stop  func()

	revision configstore.Revision // in force
	spread   []time.Duration      // times until revisions were in force everywhere

	stopped map[string]bool // instances

	mu        sync.Mutex
	addresses []string
}

// callerAddresses lists the instances that take callers now.
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
	s := &system{fleet: f, doc: f.Document, stop: f.Close, revision: 1, stopped: make(map[string]bool)}
	for _, i := range f.Instances {
		s.addresses = append(s.addresses, i.Settings.CallerAddress)
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(ready); err != nil {
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
	var work sync.WaitGroup
	work.Go(func() { _ = proxy.Serve(ctx, l) }) // ends with ctx
	s := &system{fleet: f, doc: f.Document, naive: true, addresses: []string{l.Addr().String()}}
	s.stop = func() {
		cancel()
		work.Wait()
		proxy.Close()
		f.Close()
	}
	return s.prepare(ctx, o)
}

func (s *system) prepare(ctx context.Context, o Options) (*system, error) {
	s.load = load.New(o.Seed, s.callerAddresses)
	for _, service := range s.doc.Services {
		if err := load.CreateTables(ctx, s.callerAddresses()[0], service.Name); err != nil {
			s.close()
			return nil, fmt.Errorf("tables of %s: %w", service.Name, err)
		}
	}
	return s, nil
}

func (s *system) close() {
	s.load.Close()
	s.stop()
}

// run offers load for a phase. A phase with a function beside the load lasts
// until that returns.
func (s *system) run(ctx context.Context, name string, d time.Duration, streams []load.Stream, during func(context.Context) error) error {
	replica, primary := s.reads()
	var work sync.WaitGroup
	var failure error
	var stop chan struct{}
	if during != nil {
		d = phaseLimit
		stop = make(chan struct{})
		work.Go(func() {
			defer close(stop)
			failure = during(ctx)
		})
	}
	p := s.load.Run(ctx, name, d, streams, stop)
	work.Wait()
	replicaAfter, primaryAfter := s.reads()
	if n := replicaAfter - replica + primaryAfter - primary; n > 0 {
		share := (replicaAfter - replica) / n
		p.ReplicaShare = &share
	}
	s.side.Phases = append(s.side.Phases, p)
	return failure
}

// reads returns the instances' counters of reads served by replicas and by
// primaries. All instances of a local fleet share one set of counters, so that
// the answer of one is enough.
func (s *system) reads() (replica, primary float64) {
	if s.naive {
		return 0, 0
	}
	for _, i := range s.fleet.Instances {
		resp, err := http.Get("http://" + i.Settings.OperatorAddress + "/metrics")
		if err != nil {
			continue // this instance has stopped
		}
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			name, value, _ := strings.Cut(lines.Text(), " ")
			n, _ := strconv.ParseFloat(value, 64) // 0 for lines of no interest
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

// primary returns the name of a service's primary as an instance sees it.
func (s *system) primary(service string) string {
	if !s.naive {
		for _, i := range s.fleet.Instances {
			d, ok := i.Node.Dump().(node.Dump)
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

// addGap records the write gap of a fault, waiting up to limit for the write.
func (s *system) addGap(ctx context.Context, service string, fault time.Time, limit time.Duration) {
	const pollInterval = 20 * time.Millisecond
	for time.Since(fault) < limit {
		if gap, ok := s.load.WriteGap(service, fault); ok {
			s.recordGap(service, gap)
			return
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.side.FaultsWithoutWrite++
}

func (s *system) recordGap(service string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.side.WriteGaps == nil {
		s.side.WriteGaps = make(map[string][]figures.Millis)
	}
	s.side.WriteGaps[service] = append(s.side.WriteGaps[service], figures.InMillis(gap))
}

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

// finish reads everything back through the last instance, while callers connect
// from the first one on.
func (s *system) finish(ctx context.Context) figures.SystemFigures {
	addresses := s.callerAddresses()
	var work sync.WaitGroup
	for _, service := range s.doc.Services {
		work.Go(func() { s.readBack(ctx, addresses[len(addresses)-1], service) })
	}
	work.Wait()
	s.side.InterruptedRequests, s.side.InterruptedExamples = s.load.InterruptedRequests()
	s.side.Guarantees = s.load.Checker.Guarantees()
	return s.side
}

// readBack compares a service with the ledger. If papayarail does not answer,
// that is reported and the primary is read directly, so that lost writes show
// all the same.
func (s *system) readBack(ctx context.Context, address string, service fleet.Service) {
	back, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	err := s.load.ReadBack(back, address, service.Name)
	if err == nil {
		return
	}
	s.mu.Lock()
	s.side.ServicesNotReadBack++
	s.side.ReadBackErrors = append(s.side.ReadBackErrors, fmt.Sprintf("%s: %v", service.Name, err))
	s.mu.Unlock()
	if s.naive {
		return
	}
	direct, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	db, _ := service.Database(s.primary(service.Name))
	if err := s.load.ReadBack(direct, db.Address, service.Name); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.side.ReadBackErrors = append(s.side.ReadBackErrors, fmt.Sprintf("%s, directly: %v", service.Name, err))
	}
}
