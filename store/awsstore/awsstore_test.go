package awsstore_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/standin/platformd"
	"github.com/papayarail/papayarail/store"
	"github.com/papayarail/papayarail/store/awsstore"
	"github.com/papayarail/papayarail/store/internal/testplatform"
)

func item(key, value string) store.Item {
	return store.Item{Key: key, Attributes: map[string]string{"value": value}}
}

// Guards against a condition that the adapter omits, and against a failed condition
// that is not reported as ErrConditionFailed.
func TestConditions(t *testing.T) {
	_, client := testplatform.Start(t, platformd.Config{})
	ctx, table := t.Context(), client.Table
	_, err := table.Get(ctx, "config/head", store.Consistent)
	assert.ErrorIs(t, err, store.ErrNotFound)
	assert.ErrorIs(t, table.Put(ctx, item("config/head", "2"), store.IfEquals("value", "1")), store.ErrConditionFailed)
	assert.NilError(t, table.Put(ctx, item("config/head", "1"), store.IfAbsent()))
	assert.ErrorIs(t, table.Put(ctx, item("config/head", "1"), store.IfAbsent()), store.ErrConditionFailed)
	assert.NilError(t, table.Put(ctx, item("config/head", "2"), store.IfEquals("value", "1")))
	assert.ErrorIs(t, table.Put(ctx, item("config/head", "3"), store.IfEquals("value", "1")), store.ErrConditionFailed)
	got, err := table.Get(ctx, "config/head", store.Consistent)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, item("config/head", "2"))
	assert.ErrorContains(t, table.Put(ctx, item("nogroup", "1"), store.Condition{}), "has not the form group/name")
}

// Guards against a query that returns other groups or only the first page.
func TestQueryReadsAllPages(t *testing.T) {
	_, client := testplatform.Start(t, platformd.Config{PageSize: 3})
	for i := range 8 {
		assert.NilError(t, client.Table.Put(t.Context(), item(fmt.Sprintf("failover/s%d", i), "1"), store.Condition{}))
	}
	assert.NilError(t, client.Table.Put(t.Context(), item("failover/t", "1"), store.Condition{}))
	assert.NilError(t, client.Table.Put(t.Context(), item("config/head", "1"), store.Condition{}))
	for prefix, n := range map[string]int{"failover/": 9, "failover/s": 8, "config/": 1, "none/": 0} {
		items, err := client.Table.Query(t.Context(), prefix, store.Consistent)
		assert.NilError(t, err)
		assert.Equal(t, len(items), n, prefix)
	}
}

// Guards against a put with a lost response that counts as not performed, and against
// SDK retries, which would perform the put twice.
func TestLostAnswerIsUnknownAndNotRetried(t *testing.T) {
	server, client := testplatform.Start(t, platformd.Config{})
	assert.NilError(t, server.SetFaults(platformd.Faults{LoseAnswers: 1}))
	err := client.Table.Put(t.Context(), item("config/head", "1"), store.IfAbsent())
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, store.MayHaveTakenEffect(err))
	assert.Equal(t, server.State().Writes["config"], 1)
	got, err := client.Table.Get(t.Context(), "config/head", store.Consistent)
	assert.NilError(t, err)
	assert.Equal(t, got.Attributes["value"], "1")
}

// Guards against an outage that is reported as a missing item, and against a refused
// connection that counts as possibly performed. Each case uses new connections,
// because a request on an open connection that is closed meanwhile has an unknown
// outcome.
func TestOutages(t *testing.T) {
	server, client := testplatform.Start(t, platformd.Config{})
	for outage, unknown := range map[string]bool{platformd.OutageUnavailable: true, platformd.OutageRefused: false} {
		assert.NilError(t, server.SetFaults(platformd.Faults{Outage: outage}))
		client = testplatform.Connect(t, server)
		err := client.Table.Put(t.Context(), item("config/head", "1"), store.IfAbsent())
		assert.ErrorIs(t, err, store.ErrUnavailable)
		assert.Equal(t, store.MayHaveTakenEffect(err), unknown, outage)
		_, err = client.Table.Get(t.Context(), "config/head", store.Consistent)
		assert.ErrorIs(t, err, store.ErrUnavailable)
		assert.Assert(t, !store.MayHaveTakenEffect(err))
		_, err = client.Objects.Get(t.Context(), "config/x")
		assert.ErrorIs(t, err, store.ErrUnavailable)
		assert.NilError(t, server.SetFaults(platformd.Faults{}))
	}
	_, err := client.Table.Get(t.Context(), "config/head", store.Consistent)
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// Guards against a timeout that counts as not performed: the request may have arrived
// and take effect later.
func TestTimeoutIsUnknown(t *testing.T) {
	server, _ := testplatform.Start(t, platformd.Config{})
	client, err := awsstore.New(awsstore.Settings{TableURL: server.URL(), ObjectURL: server.URL(), Table: "papayarail", Bucket: "papayarail", Timeout: 500 * time.Millisecond})
	assert.NilError(t, err)
	assert.NilError(t, server.SetFaults(platformd.Faults{DelayMS: 3_600_000}))
	err = client.Table.Put(t.Context(), item("config/head", "1"), store.IfAbsent())
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, store.MayHaveTakenEffect(err))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err = client.Table.Put(ctx, item("config/head", "1"), store.IfAbsent())
	assert.Assert(t, errors.Is(err, store.ErrUnavailable) && !store.MayHaveTakenEffect(err))
}

// Guards against a consistent read that the adapter sends as an eventual one.
func TestStaleReadsAffectOnlyEventualReads(t *testing.T) {
	server, client := testplatform.Start(t, platformd.Config{})
	assert.NilError(t, server.SetFaults(platformd.Faults{StaleReadsMS: 3_600_000}))
	assert.NilError(t, client.Table.Put(t.Context(), item("config/head", "1"), store.IfAbsent()))
	_, err := client.Table.Get(t.Context(), "config/head", store.Eventual)
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = client.Table.Get(t.Context(), "config/head", store.Consistent)
	assert.NilError(t, err)
}

// Guards against objects whose content changes in transfer, including empty and large
// ones.
func TestObjects(t *testing.T) {
	_, client := testplatform.Start(t, platformd.Config{})
	_, err := client.Objects.Get(t.Context(), "config/x")
	assert.ErrorIs(t, err, store.ErrNotFound)
	for _, data := range []string{"{}", "", strings.Repeat("colla ", 1<<18)} {
		assert.NilError(t, client.Objects.Put(t.Context(), "config/x", []byte(data)))
		got, err := client.Objects.Get(t.Context(), "config/x")
		assert.NilError(t, err)
		assert.Assert(t, string(got) == data)
	}
}

// Guards against invalid settings that are found only at the first call.
func TestSettingsAreValidated(t *testing.T) {
	for _, s := range []awsstore.Settings{
		{TableURL: "127.0.0.1:9000", ObjectURL: "http://127.0.0.1:9000", Table: "t", Bucket: "b"},
		{TableURL: "http://127.0.0.1:9000", ObjectURL: "http://127.0.0.1:9000", Bucket: "b"},
	} {
		_, err := awsstore.New(s)
		assert.Assert(t, awsstore.Error.Has(err), "%+v", s)
	}
}
