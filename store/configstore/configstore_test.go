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

func startStore(t *testing.T) (*platformd.Server, *awsstore.Store, *configstore.Store, string) {
	server, client := testplatform.Start(t, platformd.Config{})
	raw, err := os.ReadFile("../../examples/macaskill-grazing-tags.json")
	assert.NilError(t, err)
	return server, client, configstore.New(client.Table, client.Objects), string(raw)
}

func withStaleness(raw string, staleness int) []byte {
	return []byte(strings.Replace(raw, `"max_staleness_ms": 5000`, fmt.Sprintf(`"max_staleness_ms": %d`, staleness), 1))
}

// Guards against an operator who overwrites a revision without having seen it.
func TestConflictReturnsCurrentDocument(t *testing.T) {
	_, _, configs, raw := startStore(t)
	_, _, _, err := configs.Read(t.Context())
	assert.ErrorIs(t, err, store.ErrNotFound)
	revision, err := configs.Apply(t.Context(), 0, []byte(raw), "a")
	assert.NilError(t, err)
	assert.Equal(t, revision, configstore.Revision(1))
	for _, expected := range []configstore.Revision{0, 2} {
		_, err = configs.Apply(t.Context(), expected, withStaleness(raw, 1000), "b")
		var conflict *configstore.ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.Current, configstore.Revision(1))
		assert.Equal(t, string(conflict.Raw), raw)
		assert.Equal(t, conflict.Document.Deployment, "macaskill-grazing-tags")
	}
}

// Guards against two concurrent edits of the same revision that are both reported as
// accepted.
func TestConcurrentEditsHaveOneWinner(t *testing.T) {
	_, _, configs, raw := startStore(t)
	errs := make([]error, 8)
	var work sync.WaitGroup
	for i := range errs {
		work.Go(func() { _, errs[i] = configs.Apply(t.Context(), 0, withStaleness(raw, i), fmt.Sprint("writer-", i)) })
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

// Guards against a put with a lost response that is reported as a failure or performed
// twice.
func TestLostAnswerIsReadBack(t *testing.T) {
	server, _, configs, raw := startStore(t)
	assert.NilError(t, server.SetFaults(platformd.Faults{LoseAnswers: 2}))
	for n := configstore.Revision(0); n < 2; n++ {
		revision, err := configs.Apply(t.Context(), n, withStaleness(raw, int(n)), fmt.Sprint("writer-", n))
		assert.NilError(t, err)
		assert.Equal(t, revision, n+1)
	}
	assert.Equal(t, server.State().Writes["config"], 2)
}

// scriptedTable can lose puts. It calls before with the number of the put, and
// performs the put only if before returns true; otherwise the put has no effect and
// an unknown outcome.
type scriptedTable struct {
	store.Table
	before func(put int) (effect bool)
	puts   int
}

func (s *scriptedTable) Put(ctx context.Context, item store.Item, c store.Condition) error {
	s.puts++
	if !s.before(s.puts) {
		return &store.UnavailableError{Operation: "put", Outcome: store.OutcomeUnknown, Err: errors.New("lost")}
	}
	return s.Table.Put(ctx, item, c)
}

// Guards against an Apply that does not repeat a lost put that had no effect, and
// against one that takes another operator's revision for its own after a lost put.
func TestLostPutIsRepeatedUnlessAnotherWriterWon(t *testing.T) {
	_, aws, configs, raw := startStore(t)
	table := &scriptedTable{Table: aws.Table, before: func(put int) bool { return put == 2 }}
	revision, err := configstore.New(table, aws.Objects).Apply(t.Context(), 0, []byte(raw), "a")
	assert.NilError(t, err)
	assert.Equal(t, revision, configstore.Revision(1))
	assert.Equal(t, table.puts, 2)

	for others := range 2 {
		current := configstore.Revision(1 + others)
		table = &scriptedTable{Table: aws.Table, before: func(int) bool {
			for n := range others + 1 {
				_, err := configs.Apply(t.Context(), current+configstore.Revision(n), withStaleness(raw, 10*others+n), fmt.Sprint("b", others, n))
				assert.NilError(t, err)
			}
			return false
		}}
		_, err = configstore.New(table, aws.Objects).Apply(t.Context(), current, withStaleness(raw, 77), "c")
		var conflict *configstore.ConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.Equal(t, conflict.MayHaveBeenApplied, others == 1)
	}
}

// Guards against an invalid document that reaches the platform, and against an outage
// that is reported as a rejection of the document.
func TestRefusalAndOutage(t *testing.T) {
	server, _, configs, raw := startStore(t)
	_, err := configs.Apply(t.Context(), 0, []byte(strings.Replace(raw, "127.0.0.1:16401", "x", 1)), "a")
	var invalid *configstore.ValidationError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, server.State().ObjectWrites["config"], 0)
	_, err = configs.Apply(t.Context(), 0, []byte(raw), "a")
	assert.NilError(t, err)
	moved := strings.NewReplacer("127.0.0.1:16401", "127.0.0.1:17401", "127.0.0.1:16402", "127.0.0.1:17402").Replace(raw)
	_, err = configs.Apply(t.Context(), 1, []byte(moved), "b")
	assert.Assert(t, errors.As(err, &invalid))
	assert.NilError(t, server.SetFaults(platformd.Faults{Outage: platformd.OutageRefused}))
	_, err = configs.Apply(t.Context(), 1, withStaleness(raw, 1), "c")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, !store.MayHaveTakenEffect(err))
}

// Guards against reading an object whose content does not have its hash.
func TestDamagedObjectIsRefused(t *testing.T) {
	_, aws, configs, raw := startStore(t)
	_, err := configs.Apply(t.Context(), 0, []byte(raw), "a")
	assert.NilError(t, err)
	assert.NilError(t, aws.Objects.Put(t.Context(), "config/"+configstore.Hash([]byte(raw)), withStaleness(raw, 1)))
	_, _, _, err = configs.Read(t.Context())
	assert.ErrorContains(t, err, "has hash")
}
