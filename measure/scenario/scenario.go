// Package scenario runs the load scenarios of papayarail measure on a local
// fleet and on the naive baseline.
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

// Options are the settings of a run.
type Options struct {
	Document *fleet.Document
	Seed     uint64
	// Duration of each phase. 0: DefaultDuration.
	Duration time.Duration
	Log      *logrus.Logger // nil: no log
}

// DefaultDuration is the length of a phase.
const DefaultDuration = 3 * time.Second

type scenario struct {
	name string
	// run drives the load and the faults.
	run func(ctx context.Context, s *system, o Options) error
	// baseline says that the naive proxy runs the same scenario.
	baseline bool
	// targets compares the figures with the targets of the design.
	targets func(r *figures.Report, doc *fleet.Document)
}

var scenarios = []scenario{
	{name: "steady", run: steady, baseline: true},
	{name: "flood-lookups", run: floodLookups, baseline: true, targets: floodLookupsTargets},
	{name: "flood-urgent", run: floodUrgent, baseline: true, targets: floodUrgentTargets},
	{name: "failover", run: failover, baseline: true, targets: gapTargets},
	{name: "partition", run: partition, targets: gapTargets},
	{name: "platform-outage", run: platformOutage, targets: gapTargets},
	{name: "shrink", run: shrink},
	{name: "roaming", run: roaming},
	{name: "silent-links", run: silentLinks},
	{name: "two-editors", run: twoEditors},
}

// Names returns the names of the scenarios in the order of All.
func Names() (names []string) {
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return names
}

// Run runs the scenario with a name.
func Run(ctx context.Context, name string, o Options) (*figures.Report, error) {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	for _, s := range scenarios {
		if s.name == name {
			return s.report(ctx, o)
		}
	}
	return nil, fmt.Errorf("unknown scenario %q; known are %s and all", name, strings.Join(Names(), ", "))
}

func (c scenario) report(ctx context.Context, o Options) (*figures.Report, error) {
	r := &figures.Report{Scenario: c.name, Seed: o.Seed}
	side, err := c.measure(ctx, o, startPapayarail)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", c.name, err)
	}
	r.Papayarail = side
	if c.baseline {
		side, err := c.measure(ctx, o, startNaive)
		if err != nil {
			return nil, fmt.Errorf("baseline of scenario %s: %w", c.name, err)
		}
		r.Baseline = &side
	}
	addRows(r)
	if c.targets != nil {
		c.targets(r, o.Document)
	}
	return r, nil
}

func (c scenario) measure(ctx context.Context, o Options, start func(context.Context, Options) (*system, error)) (figures.SystemFigures, error) {
	s, err := start(ctx, o)
	if err != nil {
		return figures.SystemFigures{}, err
	}
	defer s.close()
	if err := c.run(ctx, s, o); err != nil {
		return figures.SystemFigures{}, err
	}
	return s.finish(ctx), ctx.Err()
}

// The quiet load of a service, as shares of the statements per second that its
// databases execute. A recall is three statements, because its key and its
// answer are recorded with it. Together they use 37% of a group of three.
const (
	recallShare = 1.0 / 30
	moveShare   = 1.0 / 25
	checkShare  = 1.0 / 25
	// transferShare counts transactions.
	transferShare = 1.0 / 150
	lookupShare   = 1.0 / 6
	// floodFactor is the load of a flooded rank in multiples of the quiet one.
	floodFactor = 10
)

// databaseRate is what one database executes, in statements per second.
func databaseRate(db fleet.Database) float64 { return float64(db.Slots) / statementDelay.Seconds() }

func capacity(s fleet.Service) (rate float64) {
	for _, db := range s.Databases {
		rate += databaseRate(db)
	}
	return rate
}

// quiet returns the ordinary load.
func quiet(doc *fleet.Document) (out []load.Stream) {
	for _, s := range doc.Services {
		c := capacity(s)
		out = append(out,
			load.Stream{Name: "recalls", Service: s.Name, Rank: load.Urgent, Kind: load.KeyedInserts, Rate: c * recallShare, Callers: 4, Connections: 8},
			load.Stream{Name: "moves", Service: s.Name, Rank: load.Middle, Kind: load.Increments, Rate: c * moveShare, Callers: 4, Connections: 8},
			load.Stream{Name: "checks", Service: s.Name, Rank: load.Middle, Kind: load.StrictReads, Rate: c * checkShare, Callers: 4, Connections: 8},
			load.Stream{Name: "transfers", Service: s.Name, Rank: load.Middle, Kind: load.Transactions, Rate: c * transferShare, Callers: 4, Connections: 4},
			load.Stream{Name: "lookups", Service: s.Name, Rank: load.Least, Kind: load.BoundedStaleReads, Rate: c * lookupShare, Callers: 4, Connections: 16})
	}
	return out
}

func steady(ctx context.Context, s *system, o Options) error {
	return s.run(ctx, "quiet", o.Duration, quiet(s.doc), nil)
}

func floodLookups(ctx context.Context, s *system, o Options) error {
	if err := s.run(ctx, "quiet", o.Duration, quiet(s.doc), nil); err != nil {
		return err
	}
	streams := quiet(s.doc)
	for _, service := range s.doc.Services {
		streams = append(streams, load.Stream{Name: "flood", Service: service.Name, Rank: load.Least, Kind: load.BoundedStaleReads,
			Rate: capacity(service) * lookupShare * (floodFactor - 1), Callers: 40, Connections: 16})
	}
	return s.run(ctx, "flood", o.Duration, streams, nil)
}

func floodUrgent(ctx context.Context, s *system, o Options) error {
	if err := s.run(ctx, "quiet", o.Duration, quiet(s.doc), nil); err != nil {
		return err
	}
	streams := quiet(s.doc)
	for _, service := range s.doc.Services {
		streams = append(streams, load.Stream{Name: "flood", Service: service.Name, Rank: load.Urgent, Kind: load.KeyedInserts,
			Rate: capacity(service) * recallShare * (floodFactor - 1), Callers: 16, Connections: 8, Skewed: true})
	}
	return s.run(ctx, "flood", o.Duration, streams, nil)
}
