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
	// inForceLimit is the time that guarantee 9 allows.
	inForceLimit = 4 * time.Second
	// leavingLimit is the time that guarantee 7 allows.
	leavingLimit = 3 * time.Second
	// idleMargin lets statements sent before the limit end and their
	// connections close: an idle connection is not work. A statement takes
	// 10 ms.
	idleMargin = 250 * time.Millisecond
	// poolSuffix ends the application names of connections that carry the
	// statements of callers.
	poolSuffix = "/pool"
	// balancerLag is the time for which the load balancer still offers a
	// leaving instance to callers.
	balancerLag = time.Second
)

func clone(d *fleet.Document) (*fleet.Document, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, err
	}
	return fleet.Parse(raw)
}

// halved returns the document with every second instance of each failure domain
// leaving and half of the connections.
func halved(d *fleet.Document) (*fleet.Document, error) {
	out, err := clone(d)
	if err != nil {
		return nil, err
	}
	seen := make(map[string]int)
	for i := range out.Instances {
		in := &out.Instances[i]
		if seen[in.FailureDomain]%2 == 1 {
			in.State = fleet.Leaving
		}
		seen[in.FailureDomain]++
	}
	for i := range out.Services {
		for j := range out.Services[i].Databases {
			db := &out.Services[i].Databases[j]
			db.Connections = max(db.Connections/2, fleet.MinConnections)
		}
	}
	return out, nil
}

// shrink halves the instances and the connection budgets under load.
func shrink(ctx context.Context, s *system, o Options) error {
	if err := s.run(ctx, "quiet", o.Duration/2, quiet(s.doc), nil); err != nil {
		return err
	}
	next, err := halved(s.doc)
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
	if err := s.run(ctx, "halved", 0, quiet(s.doc), change); err != nil {
		return err
	}
	if err := s.run(ctx, "leaving", 0, quiet(s.doc), func(ctx context.Context) error { return s.retirePrimaries(ctx, next) }); err != nil {
		return err
	}
	cut, _ := s.load.InterruptedRequests()
	s.checkGracefulStop(cut)
	return nil
}

// retirePrimaries sets the primary of each service to leaving and checks that
// no connection for work is left at it after the time that guarantee 7 allows.
func (s *system) retirePrimaries(ctx context.Context, doc *fleet.Document) error {
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
	if !sleep(ctx, time.Until(began.Add(leavingLimit+idleMargin))) {
		return ctx.Err()
	}
	for i, db := range leaving {
		if err := s.checkNoWork(ctx, next.Services[i].Name, db); err != nil {
			return err
		}
	}
	sleep(ctx, warmUp)
	return ctx.Err()
}

// checkNoWork reads the list of connections from the member itself. Those of
// pools carry the statements of callers; others belong to the failover.
func (s *system) checkNoWork(ctx context.Context, service string, db fleet.Database) error {
	k, err := upstream.Dial(ctx, upstream.Config{Address: db.Address, User: "measure", Database: service, ApplicationName: "measure"})
	if err != nil {
		return err
	}
	defer k.Close()
	connections, err := group.New(k).Connections(ctx)
	if err != nil {
		return err
	}
	for _, c := range connections {
		s.load.Checker.Check(load.LeavingUpstreams, !strings.HasSuffix(c.ApplicationName, poolSuffix),
			"%s still has the connection %s %s after it was set to leaving", db.Name, c.ApplicationName, leavingLimit+idleMargin)
	}
	s.load.Checker.Check(load.LeavingUpstreams, s.primary(service) != db.Name, "%s is still the primary %s after it was set to leaving", db.Name, leavingLimit+idleMargin)
	return nil
}

// checkGracefulStop counts each request as an observation of guarantee 8, and
// the cut ones as violations.
func (s *system) checkGracefulStop(cut int) {
	offered := 0
	for _, p := range s.side.Phases {
		for _, r := range p.Ranks {
			offered += r.Offered
		}
	}
	for i := range offered {
		s.load.Checker.Check(load.GracefulStop, i >= cut, "a request was cut during the planned stop; see the cut requests")
	}
}

// apply puts a document in force and checks guarantee 9.
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

// awaitRevision records when all instances that have not stopped have a revision.
func (s *system) awaitRevision(ctx context.Context, revision configstore.Revision, began time.Time) {
	const pollInterval = 10 * time.Millisecond
	for !s.inForce(revision) && time.Since(began) < 2*inForceLimit && sleep(ctx, pollInterval) {
	}
	took := time.Since(began)
	s.load.Checker.Check(load.Configuration, took <= inForceLimit, "revision %d was in force everywhere after %s", revision, took)
	s.extra(fmt.Sprintf("revision %d in force everywhere", revision), fmt.Sprintf("%.0f ms", figures.InMillis(took)), "<= 4000 ms", figures.TargetResult(took <= inForceLimit))
}

func (s *system) inForce(revision configstore.Revision) bool {
	return !slices.ContainsFunc(s.fleet.Instances, func(i *local.Instance) bool {
		if s.stopped[i.Name] {
			return false
		}
		d, ok := i.Node.Dump().(node.Dump)
		return !ok || configstore.Revision(d.Revision) < revision
	})
}

func (s *system) extra(metric, value, stated string, result figures.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.side.ExtraRows = append(s.side.ExtraRows, figures.Row{Metric: metric, Papayarail: value, Target: stated, Result: result})
}

// stopLeaving takes leaving instances from the load balancer and waits for the
// end of their planned stops.
func (s *system) stopLeaving(ctx context.Context, doc *fleet.Document) error {
	if !sleep(ctx, balancerLag) {
		return ctx.Err()
	}
	began := time.Now()
	var rest []string
	var leaving []*local.Instance
	for _, i := range s.fleet.Instances {
		if in, ok := doc.Instance(i.Name); ok && in.State == fleet.Active {
			rest = append(rest, i.Settings.CallerAddress)
		} else {
			leaving = append(leaving, i)
		}
	}
	s.setAddresses(rest)
	var failure error
	for _, i := range leaving {
		failure = errors.Join(failure, i.Stop())
		s.stopped[i.Name] = true
	}
	s.extra(fmt.Sprintf("planned stop of %d instances", len(leaving)), fmt.Sprintf("%.0f ms", figures.InMillis(balancerLag+time.Since(began))), "", figures.NoTarget)
	return failure
}
