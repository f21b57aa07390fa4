package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/measure/figures"
	"github.com/papayarail/papayarail/measure/load"
	"github.com/papayarail/papayarail/measure/local"
	"github.com/papayarail/papayarail/store/configstore"
	"github.com/papayarail/papayarail/wire/group"
	"github.com/papayarail/papayarail/wire/upstream"
)

const (
	// propagationLimit is the time within which guarantee 9 (section 2 of
	// docs/design.md) requires a revision to be in force on all instances.
	propagationLimit = 4 * time.Second
	// leavingUpstreamLimit is the time after which guarantee 7 forbids new work on a
	// leaving upstream.
	leavingUpstreamLimit = 3 * time.Second
	// connectionCloseMargin is the time for statements sent before the limit to end,
	// at 10 ms each, and for their connections to close. An idle connection does not
	// violate guarantee 7.
	connectionCloseMargin = 250 * time.Millisecond
	// callerPoolSuffix is the suffix of the application_name of connections that
	// carry the statements of callers.
	callerPoolSuffix = "/pool"
	// loadBalancerLag is the time for which the load balancer still directs callers
	// to a leaving instance.
	loadBalancerLag = time.Second
)

func clone(d *fleet.Document) (*fleet.Document, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	return fleet.Parse(raw)
}

// halveCapacity returns a copy of the document in which every second instance of each
// failure domain is leaving and the connection budgets are halved.
func halveCapacity(d *fleet.Document) (*fleet.Document, error) {
	out, err := clone(d)
	if err != nil {
		return nil, err
	}
	seen := make(map[string]int)
	for i := range out.Instances {
		instance := &out.Instances[i]
		if seen[instance.FailureDomain]%2 == 1 {
			instance.State = fleet.Leaving
		}
		seen[instance.FailureDomain]++
	}
	for i := range out.Services {
		for j := range out.Services[i].Databases {
			db := &out.Services[i].Databases[j]
			db.Connections = max(db.Connections/2, fleet.MinConnections)
		}
	}
	return out, nil
}

// shrink halves the instances and the connection budgets under load, and then sets the
// primaries to leaving.
func shrink(ctx context.Context, s *system, o Options) error {
	if err := s.run(ctx, "quiet", o.Duration/2, normalLoad(s.doc), nil); err != nil {
		return err
	}
	next, err := halveCapacity(s.doc)
	if err != nil {
		return err
	}
	change := func(ctx context.Context) error {
		if !sleep(ctx, warmUp) {
			return ctx.Err()
		}
		if err := s.apply(ctx, next); err != nil {
			return err
		}
		if err := s.stopLeaving(ctx, next); err != nil {
			return err
		}
		sleep(ctx, o.Duration/2)
		return ctx.Err()
	}
	if err := s.run(ctx, "halved", 0, normalLoad(s.doc), change); err != nil {
		return err
	}
	if err := s.run(ctx, "leaving", 0, normalLoad(s.doc), func(ctx context.Context) error { return s.setPrimariesLeaving(ctx, next) }); err != nil {
		return err
	}
	interrupted, _ := s.generator.InterruptedRequests()
	s.checkGracefulStop(interrupted)
	return nil
}

// setPrimariesLeaving sets the primary of each service to leaving and checks that no
// connection for callers is left on it after the time that guarantee 7 allows.
func (s *system) setPrimariesLeaving(ctx context.Context, doc *fleet.Document) error {
	next, err := clone(doc)
	if err != nil {
		return err
	}
	var leaving []fleet.Database
	for i := range next.Services {
		db, _ := next.Services[i].Database(s.primary(next.Services[i].Name))
		db.State = fleet.Leaving
		leaving = append(leaving, *db)
	}
	began := time.Now()
	if err := s.apply(ctx, next); err != nil {
		return err
	}
	if !sleep(ctx, time.Until(began.Add(leavingUpstreamLimit+connectionCloseMargin))) {
		return ctx.Err()
	}
	for i, db := range leaving {
		if err := s.checkNoCallerConnections(ctx, next.Services[i].Name, db); err != nil {
			return err
		}
	}
	sleep(ctx, warmUp)
	return ctx.Err()
}

// checkNoCallerConnections reads the list of connections from the member itself.
// Connections from pools carry the statements of callers; instances use the others to
// monitor the member and to control failover.
func (s *system) checkNoCallerConnections(ctx context.Context, service string, db fleet.Database) error {
	conn, err := upstream.Dial(ctx, upstream.Config{Address: db.Address, User: "measure", Database: service, ApplicationName: "measure"})
	if err != nil {
		return err
	}
	defer conn.Close()
	connections, err := group.New(conn).Connections(ctx)
	if err != nil {
		return err
	}
	for _, c := range connections {
		s.generator.Checker.Check(load.LeavingUpstreams, !strings.HasSuffix(c.ApplicationName, callerPoolSuffix),
			"%s still has connection %s %s after it was set to leaving", db.Name, c.ApplicationName, leavingUpstreamLimit+connectionCloseMargin)
	}
	s.generator.Checker.Check(load.LeavingUpstreams, s.primary(service) != db.Name, "%s is still the primary %s after it was set to leaving", db.Name, leavingUpstreamLimit+connectionCloseMargin)
	return nil
}

// checkGracefulStop counts each offered request as a check of guarantee 8, and each
// interrupted request as a violation. Reports call the latter cut requests.
func (s *system) checkGracefulStop(interrupted int) {
	offered := 0
	for _, p := range s.results.Phases {
		for _, r := range p.Ranks {
			offered += r.Offered
		}
	}
	for i := range offered {
		s.generator.Checker.Check(load.GracefulStop, i >= interrupted, "a request was interrupted by the planned stop; see the cut requests")
	}
}

// apply puts a document in force and checks its propagation (guarantee 9).
func (s *system) apply(ctx context.Context, next *fleet.Document) error {
	began := time.Now()
	s.fleet.Document = next
	revision, err := s.fleet.Apply(ctx, s.revision)
	if err != nil {
		return err
	}
	s.revision = revision
	s.awaitRevision(ctx, revision, began)
	return ctx.Err()
}

// awaitRevision waits until a revision is in force on all running instances and records
// the time since it was applied.
func (s *system) awaitRevision(ctx context.Context, revision configstore.Revision, began time.Time) {
	const pollInterval = 10 * time.Millisecond
	for !s.inForceEverywhere(revision) && time.Since(began) < 2*propagationLimit && sleep(ctx, pollInterval) {
	}
	took := time.Since(began)
	s.generator.Checker.Check(load.Configuration, took <= propagationLimit, "revision %d was in force everywhere after %s", revision, took)
	s.addExtraRow(fmt.Sprintf("revision %d in force everywhere", revision), fmt.Sprintf("%.0f ms", figures.InMillis(took)), "<= 4000 ms", figures.TargetResult(took <= propagationLimit))
}

// inForceEverywhere reports whether all running instances use the revision or a newer
// one.
func (s *system) inForceEverywhere(revision configstore.Revision) bool {
	return !slices.ContainsFunc(s.fleet.Instances, func(instance *local.Instance) bool {
		if s.stoppedInstances[instance.Name] {
			return false
		}
		d, ok := instance.Node.Dump().(node.Dump)
		return !ok || configstore.Revision(d.Revision) < revision
	})
}

func (s *system) addExtraRow(metric, value, target string, result figures.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results.ExtraRows = append(s.results.ExtraRows, figures.Row{Metric: metric, Papayarail: value, Target: target, Result: result})
}

// stopLeaving takes the leaving instances out of the load balancer and runs the
// planned stop of each in turn.
func (s *system) stopLeaving(ctx context.Context, doc *fleet.Document) error {
	if !sleep(ctx, loadBalancerLag) {
		return ctx.Err()
	}
	began := time.Now()
	var remaining []string
	var leaving []*local.Instance
	for _, instance := range s.fleet.Instances {
		if config, ok := doc.Instance(instance.Name); ok && config.State == fleet.Active {
			remaining = append(remaining, instance.Settings.CallerAddress)
		} else {
			leaving = append(leaving, instance)
		}
	}
	s.setAddresses(remaining)
	var failure error
	for _, instance := range leaving {
		failure = errors.Join(failure, instance.Stop())
		s.stoppedInstances[instance.Name] = true
	}
	s.addExtraRow(fmt.Sprintf("planned stop of %d instances", len(leaving)), fmt.Sprintf("%.0f ms", figures.InMillis(loadBalancerLag+time.Since(began))), "", figures.NoTarget)
	return failure
}
