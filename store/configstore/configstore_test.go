package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/standin/platformd"
	"github.com/papayarail/papayarail/store"
	"github.com/papayarail/papayarail/store/awsstore"
	"github.com/papayarail/papayarail/store/configstore"
	"github.com/papayarail/papayarail/store/internal/testplatform"
)

func start(t *testing.T) (*platformd.Server, *awsstore.Store, *configstore.Store, string) {
	server, client := testplatform.Start(t, platformd.Config{})
	raw, err := os.ReadFile("../../examples/macaskill-grazing-tags.json")
	assert.NilError(t, err)
	return server, client, configstore.New(client.Table, client.Objects), string(raw)
}

func edit(raw string, staleness int) []byte {
	return []byte(strings.Replace(raw, `"max_staleness_ms": 5000`, fmt.Sprintf(`"max_staleness_ms": %d`, staleness), 1))
}

// Guards against an operator who overwrites a revision that he has not seen.
func TestConflictReturnsCurrentDocument(t *testing.T) {
	_, _, configs, raw := start(t)
	_, _, _, err := configs.Read(t.Context())
	assert.ErrorIs(t, err, store.ErrNotFound)
	revision, err := configs.Apply(t.Context(), 0, []byte(raw), "a")
	assert.NilError(t, err)
	assert.Equal(t, revision, configstore.Revision(1))
	for _, expected := range []configstore.Revision{0, 2} {
		_, err = configs.Apply(t.Context(), expected, edit(raw, 1000), "b")
		var conflict *configstore.ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.Current, configstore.Revision(1))
		assert.Equal(t, string(conflict.Raw), raw)
		assert.Equal(t, conflict.Document.Deployment, "macaskill-grazing-tags")
	}
}

// Guards against two operators who both hear that their edit was accepted.
func TestConcurrentEditsHaveOneWinner(t *testing.T) {
	_, _, configs, raw := start(t)
	errs := make([]error, 8)
	var work sync.WaitGroup
	for i := range errs {
		work.Go(func() { _, errs[i] = configs.Apply(t.Context(), 0, edit(raw, i), fmt.Sprint("writer-", i)) })
	}
	work.Wait()
	won := 0
	for _, err := range errs {
		var conflict *configstore.ConflictError
		if err == nil {
			won++
		} else {
			assert.Assert(t, errors.As(err, &conflict), "%v", err)
		}
	}
	assert.Equal(t, won, 1)
}

// Guards against a lost answer that is reported as a failure or applied twice.
func TestLostAnswerIsReadBack(t *testing.T) {
	server, _, configs, raw := start(t)
	assert.NilError(t, server.SetFaults(platformd.Faults{LoseAnswers: 2}))
	for n := configstore.Revision(0); n < 2; n++ {
		revision, err := configs.Apply(t.Context(), n, edit(raw, int(n)), fmt.Sprint("writer-", n))
		assert.NilError(t, err)
		assert.Equal(t, revision, n+1)
	}
	assert.Equal(t, server.State().Writes["config"], 2)
}

// scriptedTable loses the answers of puts. before runs ahead of each put; the
// put takes effect only if it returns true.
type scriptedTable struct {
	store.Table
	before func(put int) (effect bool)
	puts   int
}

func (s *scriptedTable) Put(ctx context.Context, item store.Item, c store.Condition) error {
	s.puts++
	if !s.before(s.puts) {
		return &store.UnavailableError{Operation: "put", Outcome: store.Unknown, Err: errors.New("lost")}
	}
	return s.Table.Put(ctx, item, c)
}

// Guards against giving up a put that did not take effect, and against taking
// another operator's revision for one's own after a lost answer.
func TestLostPutIsRepeatedUnlessAnotherWriterWon(t *testing.T) {
	_, aws, configs, raw := start(t)
	table := &scriptedTable{Table: aws.Table, before: func(put int) bool { return put == 2 }}
	revision, err := configstore.New(table, aws.Objects).Apply(t.Context(), 0, []byte(raw), "a")
	assert.NilError(t, err)
	assert.Equal(t, revision, configstore.Revision(1))
	assert.Equal(t, table.puts, 2)

	for others := range 2 {
		current := configstore.Revision(1 + others)
		table = &scriptedTable{Table: aws.Table, before: func(int) bool {
			for n := range others + 1 {
				_, err := configs.Apply(t.Context(), current+configstore.Revision(n), edit(raw, 10*others+n), fmt.Sprint("b", others, n))
				assert.NilError(t, err)
			}
			return false
		}}
		_, err = configstore.New(table, aws.Objects).Apply(t.Context(), current, edit(raw, 77), "c")
		var conflict *configstore.ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.MayHaveApplied, others == 1)
	}
}

// Guards against a refused document that reaches the platform, and against an
// outage that is reported as a decision.
func TestRefusalAndOutage(t *testing.T) {
	server, _, configs, raw := start(t)
	_, err := configs.Apply(t.Context(), 0, []byte(strings.Replace(raw, "127.0.0.1:16401", "x", 1)), "a")
	var refused *configstore.ValidationError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, server.State().ObjectWrites["config"], 0)
	_, err = configs.Apply(t.Context(), 0, []byte(raw), "a")
	assert.NilError(t, err)
	moved := strings.NewReplacer("127.0.0.1:16401", "127.0.0.1:17401", "127.0.0.1:16402", "127.0.0.1:17402").Replace(raw)
	_, err = configs.Apply(t.Context(), 1, []byte(moved), "b")
	assert.Assert(t, errors.As(err, &refused))
	assert.NilError(t, server.SetFaults(platformd.Faults{Outage: platformd.OutageRefused}))
	_, err = configs.Apply(t.Context(), 1, edit(raw, 1), "c")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, !store.MayHaveRun(err))
}

// Guards against a damaged object that comes into force.
func TestDamagedObjectIsRefused(t *testing.T) {
	_, aws, configs, raw := start(t)
	_, err := configs.Apply(t.Context(), 0, []byte(raw), "a")
	assert.NilError(t, err)
	assert.NilError(t, aws.Objects.Put(t.Context(), "config/"+configstore.Hash([]byte(raw)), edit(raw, 1)))
	_, _, _, err = configs.Read(t.Context())
	assert.ErrorContains(t, err, "has hash")
}
