package registry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/standin/platformd"
	"github.com/papayarail/papayarail/store"
	"github.com/papayarail/papayarail/store/internal/testplatform"
	"github.com/papayarail/papayarail/store/registry"
)

const service = "registro-lotti-1"

func reserve(t *testing.T, r *registry.Registry, term uint64, attempt string) registry.Result {
	result, err := r.Reserve(t.Context(), service, term, attempt)
	assert.Equal(t, result == registry.Unavailable, err != nil, "%v", err)
	return result
}

// Guards against two attempts that hold the same term and against a reservation of an
// earlier term.
func TestReserve(t *testing.T) {
	_, client := testplatform.Start(t, platformd.Config{})
	r := registry.New(client.Table, "catania-1")
	assert.Equal(t, reserve(t, r, 2, "a"), registry.Won)
	assert.Equal(t, reserve(t, r, 2, "a"), registry.Won)
	assert.Equal(t, reserve(t, r, 2, "b"), registry.Lost)
	assert.Equal(t, reserve(t, r, 10, "b"), registry.Won)
	assert.Equal(t, reserve(t, r, 9, "c"), registry.Lost)
	item, err := client.Table.Get(t.Context(), "failover/"+service, store.Consistent)
	assert.NilError(t, err)
	assert.DeepEqual(t, item.Attributes, map[string]string{"term": "10", "attempt": "b", "holder": "catania-1"})
}

// Guards against two concurrent coordinators that both win the same term.
func TestConcurrentReservationsHaveOneWinner(t *testing.T) {
	_, client := testplatform.Start(t, platformd.Config{})
	results := make([]registry.Result, 8)
	var work sync.WaitGroup
	for i := range results {
		work.Go(func() {
			name := fmt.Sprint("instance-", i)
			results[i], _ = registry.New(client.Table, name).Reserve(t.Context(), service, 5, name)
		})
	}
	work.Wait()
	won := 0
	for _, r := range results {
		assert.Assert(t, r != registry.Unavailable)
		if r == registry.Won {
			won++
		}
	}
	assert.Equal(t, won, 1)
}

// Guards against a winner that does not learn that it won because the response was
// lost, and against an outage that is reported as a lost reservation.
func TestLostAnswersAndOutages(t *testing.T) {
	server, client := testplatform.Start(t, platformd.Config{})
	r := registry.New(client.Table, "catania-1")
	assert.NilError(t, server.SetFaults(platformd.Faults{LoseAnswers: 1}))
	assert.Equal(t, reserve(t, r, 2, "a"), registry.Won)
	assert.NilError(t, server.SetFaults(platformd.Faults{Outage: platformd.OutageUnavailable}))
	assert.Equal(t, reserve(t, r, 3, "a"), registry.Unavailable)
	assert.NilError(t, server.SetFaults(platformd.Faults{}))
	assert.Equal(t, reserve(t, r, 3, "b"), registry.Won)
}

// Guards against one invalid entry that hides the others. The failure domain of an instance
// is its name without the number.
func TestInstances(t *testing.T) {
	server, client := testplatform.Start(t, platformd.Config{})
	server.SetInstanceLag(0)
	for name, c := range map[string]struct{ peer, state string }{
		"lairg-1": {"127.0.0.1:7432", "live"}, "lairg-2": {"127.0.0.1:7433", "leaving"},
		"portree-1": {"nowhere", "live"}, "portree-2": {"127.0.0.1:7434", "asleep"},
	} {
		server.RecordInstanceState(platformd.InstanceConfig{Name: name, FailureDomain: name[:len(name)-2], PeerAddress: c.peer}, c.state)
	}
	instances, err := registry.New(client.Table, "lairg-1").Instances(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, instances, []registry.Instance{
		{Name: "lairg-1", State: registry.Live, PeerAddress: "127.0.0.1:7432", FailureDomain: "lairg"},
		{Name: "lairg-2", State: registry.Leaving, PeerAddress: "127.0.0.1:7433", FailureDomain: "lairg"},
	})
}

// Guards against health checks whose result does not reach the list of instances.
func TestInstancesArePolled(t *testing.T) {
	healthChecks := make(chan struct{}, 2)
	healthServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		select {
		case healthChecks <- struct{}{}:
		default:
		}
	}))
	t.Cleanup(healthServer.Close)
	instance := platformd.InstanceConfig{Name: "lairg-1", FailureDomain: "lairg", PeerAddress: "127.0.0.1:7432", HealthURL: healthServer.URL}
	_, client := testplatform.Start(t, platformd.Config{Instances: []platformd.InstanceConfig{instance}, InstanceLag: 1})
	<-healthChecks
	<-healthChecks // the second check starts after the result of the first is in the list
	instances, err := registry.New(client.Table, "lairg-1").Instances(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, instances, []registry.Instance{{Name: "lairg-1", State: registry.Live, PeerAddress: "127.0.0.1:7432", FailureDomain: "lairg"}})
}
