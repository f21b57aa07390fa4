package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/measure/figures"
	"github.com/papayarail/papayarail/measure/load"
	"github.com/papayarail/papayarail/measure/local"
	"github.com/papayarail/papayarail/platform/configstore"
)

const (
	// inForceLimit is the time that guarantee 9 allows.
	inForceLimit = 4 * time.Second
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
	cut, _ := s.load.Cut()
	s.checkGracefulStop(cut)
	return nil
}

// checkGracefulStop counts each request of the last phase as an observation of
// guarantee 8, and the cut ones as violations.
func (s *system) checkGracefulStop(cut int) {
	offered := 0
	for _, r := range s.side.Phases[len(s.side.Phases)-1].Ranks {
		offered += r.Offered
	}
	for i := range offered {
		s.load.Ledger.Check(load.GracefulStop, i >= cut, "a request was cut during the planned stop; see the cut requests")
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

// awaitRevision records when all active instances have a revision.
func (s *system) awaitRevision(ctx context.Context, revision configstore.Revision, began time.Time) {
	const pollInterval = 10 * time.Millisecond
	for !s.inForce(revision) && time.Since(began) < 2*inForceLimit && sleep(ctx, pollInterval) {
	}
	took := time.Since(began)
	s.load.Ledger.Check(load.Configuration, took <= inForceLimit, "revision %d was in force everywhere after %s", revision, took)
	s.extra(fmt.Sprintf("revision %d in force everywhere", revision), fmt.Sprintf("%.0f ms", figures.InMillis(took)), "<= 4000 ms", figures.Compare(took <= inForceLimit))
}

func (s *system) inForce(revision configstore.Revision) bool {
	return !slices.ContainsFunc(s.fleet.Instances, func(i *local.Instance) bool {
		d, ok := i.Node.Dump().(node.Dump)
		return !ok || configstore.Revision(d.Revision) < revision
	})
}

func (s *system) extra(metric, value, stated string, result figures.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.side.Extra = append(s.side.Extra, figures.Row{Metric: metric, Papayarail: value, Target: stated, Result: result})
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
	}
	s.extra(fmt.Sprintf("planned stop of %d instances", len(leaving)), fmt.Sprintf("%.0f ms", figures.InMillis(balancerLag+time.Since(began))), "", figures.NoTarget)
	return failure
}
