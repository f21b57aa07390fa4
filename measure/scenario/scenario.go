// Package scenario runs load and fault-injection scenarios against a local
// deployment of papayarail, and some of them against the naive baseline proxy, and
// compares the results with the targets of the design.
package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/measure/figures"
	"github.com/papayarail/papayarail/measure/load"
)

// Options configure a run.
type Options struct {
	Document *fleet.Document
	Seed     uint64 // of the random request arrivals
	// Duration is the length of each phase; 0 means DefaultDuration.
	Duration time.Duration
	Log      *logrus.Logger // nil discards the log
}

// DefaultDuration is the default length of a phase.
const DefaultDuration = 3 * time.Second

type scenario struct {
	name string
	// run drives the load and the faults.
	run func(ctx context.Context, s *system, o Options) error
	// baseline means that the scenario also runs against the naive proxy.
	baseline bool
	// targets adds the rows that compare the figures with the targets of the design.
	targets func(r *figures.Report, doc *fleet.Document)
}

var scenarios = []scenario{
	{name: "steady", run: steady, baseline: true},
	{name: "flood-lookups", run: floodLookups, baseline: true, targets: floodLookupsTargets},
	{name: "flood-urgent", run: floodUrgent, baseline: true, targets: floodUrgentTargets},
	{name: "failover", run: failover, baseline: true, targets: writeGapTargets},
	{name: "partition", run: partition, targets: writeGapTargets},
	{name: "platform-outage", run: platformOutage, targets: writeGapTargets},
	{name: "shrink", run: shrink},
	{name: "roaming", run: roaming},
	{name: "silent-links", run: silentLinks},
	{name: "two-editors", run: twoEditors},
}

// Names returns the names of all scenarios in the order in which they run.
func Names() (names []string) {
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return names
}

// Run runs the scenario with that name. Violations and missed targets are part of the
// report; an error means that the scenario could not be run.
func Run(ctx context.Context, name string, o Options) (*figures.Report, error) {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	for _, s := range scenarios {
		if s.name == name {
			return s.measure(ctx, o)
		}
	}
	return nil, fmt.Errorf("unknown scenario %q; want one of %s, all", name, strings.Join(Names(), ", "))
}

// measure runs the scenario against papayarail and, if it has a baseline, against the
// naive proxy.
func (sc scenario) measure(ctx context.Context, o Options) (*figures.Report, error) {
	r := &figures.Report{Scenario: sc.name, Seed: o.Seed}
	measured, err := sc.runOn(ctx, o, startPapayarail)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", sc.name, err)
	}
	r.Papayarail = measured
	if sc.baseline {
		measured, err := sc.runOn(ctx, o, startNaive)
		if err != nil {
			return nil, fmt.Errorf("baseline of scenario %s: %w", sc.name, err)
		}
		r.Baseline = &measured
	}
	addCommonRows(r)
	if sc.targets != nil {
		sc.targets(r, o.Document)
	}
	return r, nil
}

// runOn runs the scenario against the system that start returns.
func (sc scenario) runOn(ctx context.Context, o Options, start func(context.Context, Options) (*system, error)) (figures.SystemFigures, error) {
	s, err := start(ctx, o)
	if err != nil {
		return figures.SystemFigures{}, err
	}
	defer s.close()
	if err := sc.run(ctx, s, o); err != nil {
		return figures.SystemFigures{}, err
	}
	return s.finish(ctx), ctx.Err()
}

// The request rates of the normal load of a service, as shares of the statements
// per second that its databases can execute. A keyed insert takes three statements,
// because its key and its response are stored with it. The normal load uses 37% of
// the capacity of a group of three.
const (
	keyedInsertShare = 1.0 / 30
	incrementShare   = 1.0 / 25
	strictReadShare  = 1.0 / 25
	// transactionShare counts whole transactions, not their statements.
	transactionShare = 1.0 / 150
	boundedReadShare = 1.0 / 6
	// floodFactor is the load of the flooded rank in multiples of its normal load.
	floodFactor = 10
)

// databaseRate returns the capacity of one database in statements per second.
func databaseRate(db fleet.Database) float64 { return float64(db.Slots) / statementDelay.Seconds() }

// capacity returns the capacity of all databases of a service in statements per second.
func capacity(s fleet.Service) (rate float64) {
	for _, db := range s.Databases {
		rate += databaseRate(db)
	}
	return rate
}

// normalLoad returns the streams of the load without a flood, for all services.
func normalLoad(doc *fleet.Document) (out []load.Stream) {
	for _, s := range doc.Services {
		c := capacity(s)
		out = append(out,
			load.Stream{Name: "recalls", Service: s.Name, Rank: load.Urgent, Kind: load.KeyedInserts, Rate: c * keyedInsertShare, Callers: 4, Connections: 8},
			load.Stream{Name: "moves", Service: s.Name, Rank: load.Middle, Kind: load.Increments, Rate: c * incrementShare, Callers: 4, Connections: 8},
			load.Stream{Name: "checks", Service: s.Name, Rank: load.Middle, Kind: load.StrictReads, Rate: c * strictReadShare, Callers: 4, Connections: 8},
			load.Stream{Name: "transfers", Service: s.Name, Rank: load.Middle, Kind: load.Transactions, Rate: c * transactionShare, Callers: 4, Connections: 4},
			load.Stream{Name: "lookups", Service: s.Name, Rank: load.Least, Kind: load.BoundedStaleReads, Rate: c * boundedReadShare, Callers: 4, Connections: 16})
	}
	return out
}

func steady(ctx context.Context, s *system, o Options) error {
	return s.run(ctx, "quiet", o.Duration, normalLoad(s.doc), nil)
}

func floodLookups(ctx context.Context, s *system, o Options) error {
	if err := s.run(ctx, "quiet", o.Duration, normalLoad(s.doc), nil); err != nil {
		return err
	}
	streams := normalLoad(s.doc)
	for _, service := range s.doc.Services {
		streams = append(streams, load.Stream{Name: "flood", Service: service.Name, Rank: load.Least, Kind: load.BoundedStaleReads,
			Rate: capacity(service) * boundedReadShare * (floodFactor - 1), Callers: 40, Connections: 16})
	}
	return s.run(ctx, "flood", o.Duration, streams, nil)
}

func floodUrgent(ctx context.Context, s *system, o Options) error {
	if err := s.run(ctx, "quiet", o.Duration, normalLoad(s.doc), nil); err != nil {
		return err
	}
	streams := normalLoad(s.doc)
	for _, service := range s.doc.Services {
		streams = append(streams, load.Stream{Name: "flood", Service: service.Name, Rank: load.Urgent, Kind: load.KeyedInserts,
			Rate: capacity(service) * keyedInsertShare * (floodFactor - 1), Callers: 16, Connections: 8, Skewed: true})
	}
	return s.run(ctx, "flood", o.Duration, streams, nil)
}
