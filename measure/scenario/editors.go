package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/instance/node"
	"github.com/papayarail/papayarail/measure/figures"
	"github.com/papayarail/papayarail/measure/load"
	"github.com/papayarail/papayarail/standin/platformd"
	"github.com/papayarail/papayarail/store/awsstore"
	"github.com/papayarail/papayarail/store/configstore"
)

const (
	// editorRounds is how often two editors collide.
	editorRounds = 10
	// lostAnswerEvery is the distance of rounds in which the platform loses the
	// answer of a conditional put that took effect.
	lostAnswerEvery = 4
	platformTable   = "papayarail"
	platformBucket  = "papayarail"
)

// edit is the outcome of one editor's apply.
type edit struct {
	revision configstore.Revision
	err      error
}

// twoEditors lets two editors apply different documents on the same revision at
// once: exactly one may succeed, and the other must hear of the conflict.
func twoEditors(ctx context.Context, s *system, _ Options) error {
	var stores [2]*configstore.Store
	for i := range stores {
		store, err := awsstore.New(awsstore.Settings{TableURL: s.fleet.Platform.URL(), ObjectURL: s.fleet.Platform.URL(), Table: platformTable, Bucket: platformBucket})
		if err != nil {
			return err
		}
		stores[i] = configstore.New(store.Table, store.Objects)
	}
	collide := func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		var work sync.WaitGroup
		work.Go(func() { s.watchRevisions(ctx) })
		defer work.Wait()
		defer cancel()
		for round := range editorRounds {
			if err := s.collision(ctx, stores, round); err != nil {
				return err
			}
		}
		return nil
	}
	return s.run(ctx, "edits", 0, quiet(s.doc), collide)
}

func (s *system) collision(ctx context.Context, stores [2]*configstore.Store, round int) error {
	if round%lostAnswerEvery == 0 {
		if err := s.fleet.Platform.SetFaults(platformd.Faults{LoseAnswers: 1}); err != nil {
			return err
		}
	}
	began := time.Now()
	var raws [2][]byte
	var edits [2]edit
	var work sync.WaitGroup
	for i := range stores {
		raw, err := edited(s.doc, round, i)
		if err != nil {
			return err
		}
		raws[i] = raw
		work.Go(func() {
			edits[i].revision, edits[i].err = stores[i].Apply(ctx, s.revision, raw, fmt.Sprintf("editor-%d-round-%d", i, round))
		})
	}
	work.Wait()
	winner := s.judge(edits, round)
	if winner < 0 {
		return fmt.Errorf("round %d: no editor succeeded: %v, %v", round, edits[0].err, edits[1].err)
	}
	revision, _, raw, err := stores[1-winner].Read(ctx)
	if err != nil {
		return err
	}
	s.load.Checker.Check(load.Configuration, revision == edits[winner].revision && string(raw) == string(raws[winner]),
		"round %d: editor %d was told that revision %d is accepted, revision %d is in force", round, winner, edits[winner].revision, revision)
	s.revision = revision
	s.awaitEdit(ctx, revision, began)
	return ctx.Err()
}

// edited returns the document with a change that differs between editors and
// rounds.
func edited(doc *fleet.Document, round, editor int) ([]byte, error) {
	next, err := clone(doc)
	if err != nil {
		return nil, err
	}
	next.Services[editor].MaxStalenessMS += 1 + round
	return json.Marshal(next)
}

// judge returns the editor who succeeded, or -1.
func (s *system) judge(edits [2]edit, round int) int {
	winner, winners := -1, 0
	for i, e := range edits {
		var conflict *configstore.ConflictError
		switch {
		case e.err == nil:
			winner = i
			winners++
		case !errors.As(e.err, &conflict):
			s.load.Checker.Check(load.Configuration, false, "round %d: editor %d heard of no conflict but %v", round, i, e.err)
		}
	}
	s.load.Checker.Check(load.Configuration, winners == 1, "round %d: %d editors succeeded on one revision", round, winners)
	return winner
}

func (s *system) awaitEdit(ctx context.Context, revision configstore.Revision, began time.Time) {
	const pollInterval = 10 * time.Millisecond
	for !s.inForce(revision) && time.Since(began) < 2*inForceLimit && sleep(ctx, pollInterval) {
	}
	took := time.Since(began)
	s.load.Checker.Check(load.Configuration, took <= inForceLimit, "revision %d was in force everywhere after %s", revision, took)
	s.spread = append(s.spread, took)
	if len(s.spread) < editorRounds {
		return
	}
	l := figures.NewLatencies()
	for _, d := range s.spread {
		l.Add(d)
	}
	s.extra("time until a revision is in force everywhere, p50/max ms", fmt.Sprintf("%.0f/%.0f", l.Percentile(50), l.Percentile(100)), "<= 4000 ms", figures.TargetResult(l.Percentile(100) <= figures.InMillis(inForceLimit)))
}

// watchRevisions checks until ctx ends that no instance goes back to an older
// revision.
func (s *system) watchRevisions(ctx context.Context) {
	const pollInterval = 5 * time.Millisecond
	last := make(map[string]uint64)
	for sleep(ctx, pollInterval) {
		for _, i := range s.fleet.Instances {
			d, ok := i.Node.Dump().(node.Dump)
			if !ok {
				continue
			}
			s.load.Checker.Check(load.Configuration, d.Revision >= last[i.Name], "instance %s went back from revision %d to %d", i.Name, last[i.Name], d.Revision)
			last[i.Name] = d.Revision
		}
	}
}
