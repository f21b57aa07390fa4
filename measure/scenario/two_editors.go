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
	// editorRounds is the number of rounds of conflicting edits.
	editorRounds = 10
	// lostAnswerEvery is the interval, in rounds, at which the platform drops the
	// response to a conditional put that took effect.
	lostAnswerEvery = 4
	platformTable   = "papayarail"
	platformBucket  = "papayarail"
)

// applyResult is the result of one editor's apply.
type applyResult struct {
	revision configstore.Revision
	err      error
}

// twoEditors lets two editors apply different documents on the same revision
// concurrently: exactly one may succeed, and the other must get a conflict error.
func twoEditors(ctx context.Context, s *system, _ Options) error {
	var stores [2]*configstore.Store
	for i := range stores {
		store, err := awsstore.New(awsstore.Settings{TableURL: s.fleet.Platform.URL(), ObjectURL: s.fleet.Platform.URL(), Table: platformTable, Bucket: platformBucket})
		if err != nil {
			return err
		}
		stores[i] = configstore.New(store.Table, store.Objects)
	}
	runRounds := func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() { s.watchRevisions(ctx) })
		defer wg.Wait()
		defer cancel()
		for round := range editorRounds {
			if err := s.applyConcurrently(ctx, stores, round); err != nil {
				return err
			}
		}
		return nil
	}
	return s.run(ctx, "edits", 0, normalLoad(s.doc), runRounds)
}

func (s *system) applyConcurrently(ctx context.Context, stores [2]*configstore.Store, round int) error {
	if round%lostAnswerEvery == 0 {
		if err := s.fleet.Platform.SetFaults(platformd.Faults{LoseAnswers: 1}); err != nil {
			return err
		}
	}
	began := time.Now()
	var documents [2][]byte
	var results [2]applyResult
	var wg sync.WaitGroup
	for i := range stores {
		raw, err := editedDocument(s.doc, round, i)
		if err != nil {
			return err
		}
		documents[i] = raw
		wg.Go(func() {
			results[i].revision, results[i].err = stores[i].Apply(ctx, s.revision, raw, fmt.Sprintf("editor-%d-round-%d", i, round))
		})
	}
	wg.Wait()
	winner := s.checkOneWinner(results, round)
	if winner < 0 {
		return fmt.Errorf("round %d: no editor succeeded: %v, %v", round, results[0].err, results[1].err)
	}
	revision, _, raw, err := stores[1-winner].Read(ctx)
	if err != nil {
		return err
	}
	s.generator.Checker.Check(load.Configuration, revision == results[winner].revision && string(raw) == string(documents[winner]),
		"round %d: the apply of editor %d returned revision %d, but revision %d is in force", round, winner, results[winner].revision, revision)
	s.revision = revision
	s.recordPropagation(ctx, revision, began)
	return ctx.Err()
}

// editedDocument returns the encoded document with a change that differs between
// editors and rounds.
func editedDocument(doc *fleet.Document, round, editor int) ([]byte, error) {
	next, err := clone(doc)
	if err != nil {
		return nil, err
	}
	next.Services[editor].MaxStalenessMS += 1 + round
	return json.Marshal(next)
}

// checkOneWinner checks that exactly one editor succeeded and that the other got a
// conflict error. It returns the editor who succeeded, or -1.
func (s *system) checkOneWinner(results [2]applyResult, round int) int {
	winner, winners := -1, 0
	for i, result := range results {
		var conflict *configstore.ConflictError
		switch {
		case result.err == nil:
			winner = i
			winners++
		case !errors.As(result.err, &conflict):
			s.generator.Checker.Check(load.Configuration, false, "round %d: editor %d got another error than a conflict: %v", round, i, result.err)
		}
	}
	s.generator.Checker.Check(load.Configuration, winners == 1, "round %d: %d editors succeeded on one revision", round, winners)
	return winner
}

func (s *system) recordPropagation(ctx context.Context, revision configstore.Revision, began time.Time) {
	const pollInterval = 10 * time.Millisecond
	for !s.inForceEverywhere(revision) && time.Since(began) < 2*propagationLimit && sleep(ctx, pollInterval) {
	}
	took := time.Since(began)
	s.generator.Checker.Check(load.Configuration, took <= propagationLimit, "revision %d was in force everywhere after %s", revision, took)
	s.propagationTimes = append(s.propagationTimes, took)
	if len(s.propagationTimes) < editorRounds {
		return
	}
	latencies := figures.NewLatencies()
	for _, d := range s.propagationTimes {
		latencies.Add(d)
	}
	s.addExtraRow("time until a revision is in force everywhere, p50/max ms", fmt.Sprintf("%.0f/%.0f", latencies.Percentile(50), latencies.Percentile(100)), "<= 4000 ms", figures.TargetResult(latencies.Percentile(100) <= figures.InMillis(propagationLimit)))
}

// watchRevisions checks until ctx ends that no instance returns to an older revision.
func (s *system) watchRevisions(ctx context.Context) {
	const pollInterval = 5 * time.Millisecond
	last := make(map[string]uint64)
	for sleep(ctx, pollInterval) {
		for _, instance := range s.fleet.Instances {
			d, ok := instance.Node.Dump().(node.Dump)
			if !ok {
				continue
			}
			s.generator.Checker.Check(load.Configuration, d.Revision >= last[instance.Name], "instance %s returned from revision %d to %d", instance.Name, last[instance.Name], d.Revision)
			last[instance.Name] = d.Revision
		}
	}
}
