package platformd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func serve(t *testing.T, c Config) *Server {
	s, err := New(c)
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, <-served)
	})
	return s
}

func post(t *testing.T, address, path, body string) int {
	resp, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against an outage that makes the fault interface unreachable, so that it
// cannot be ended, and against invalid faults that are accepted.
func TestFaultAddressOutlivesOutage(t *testing.T) {
	s := serve(t, Config{})
	assert.Equal(t, post(t, s.FaultAddr(), "/fault", `{"outage":"refused"}`), http.StatusNoContent)
	_, err := http.Get(s.URL() + "/state")
	assert.ErrorContains(t, err, "refused")
	assert.Equal(t, post(t, s.FaultAddr(), "/fault", `{"outage":"503"}`), http.StatusNoContent)
	assert.Equal(t, post(t, s.Addr(), "/", `{}`), http.StatusServiceUnavailable)
	assert.Equal(t, post(t, s.Addr(), "/fault", `{"lose_answers":2}`), http.StatusNoContent)
	assert.Equal(t, s.Faults(), Faults{LoseAnswers: 2})
	assert.Equal(t, post(t, s.Addr(), "/fault", `{"outage":"refused"}`), http.StatusBadRequest)
	assert.Equal(t, post(t, s.Addr(), "/fault", `{"lose_answer":2}`), http.StatusBadRequest)
	assert.Equal(t, post(t, s.Addr(), "/fault", `{"outage":"odd"}`), http.StatusBadRequest)
	resp, err := http.Get(s.URL() + "/state")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var state State
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&state))
	assert.Equal(t, state.Faults.LoseAnswers, 2)
}

// Guards against a list that shows a state before its lag has passed, or keeps an
// instance whose health checks fail.
func TestInstanceListLags(t *testing.T) {
	l := newInstanceList(2 * time.Second)
	instance := InstanceConfig{Name: "catania-1", FailureDomain: "catania", PeerAddress: "127.0.0.1:7432"}
	start := time.Unix(0, 0)
	state := func(seconds int) string {
		return l.items(start.Add(time.Duration(seconds) * time.Second))[instance.Name]["state"].string()
	}
	for i, s := range []string{"live", "live", "leaving", "", "live"} {
		l.observe(start.Add(time.Duration(i)*time.Second), instance, s)
	}
	for i, want := range []string{"", "", "live", "live", "leaving", "", "live"} {
		assert.Equal(t, state(i), want, "after %d s", i)
	}
	l.setLag(0)
	assert.Equal(t, state(3), "")
	assert.Equal(t, state(2), "leaving")
}

// Guards against health checks that take a stopping instance for a live one.
func TestHealth(t *testing.T) {
	body, status := "", http.StatusOK
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer h.Close()
	assert.Equal(t, checkHealth(h.Client(), h.URL), "live")
	body = `{"state":"leaving"}`
	assert.Equal(t, checkHealth(h.Client(), h.URL), "leaving")
	body, status = "", http.StatusServiceUnavailable
	assert.Equal(t, checkHealth(h.Client(), h.URL), "")
}

// Guards against stale reads that return a version of the wrong age.
func TestStaleVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{tables: newTables(), faults: &faults{}, counts: newCounts(), instances: newInstanceList(0), done: make(chan struct{})}
		key := attributes{partitionKey: stringAttribute("config"), sortKey: stringAttribute("head")}
		for _, value := range []string{"1", "2", "3"} {
			item := attributes{partitionKey: stringAttribute("config"), sortKey: stringAttribute("head"), "value": stringAttribute(value)}
			_, apiErr := s.putItem(&request{Item: item})
			assert.Assert(t, apiErr == nil)
			s.sleep(time.Second)
		}
		read := func(staleMS int) string {
			s.faults.set(Faults{StaleReadsMS: staleMS})
			response, apiErr := s.getItem(&request{Key: key})
			assert.Assert(t, apiErr == nil)
			found, _ := response.(map[string]any)["Item"].(attributes)
			return found["value"].string()
		}
		assert.Equal(t, read(0), "3")
		assert.Equal(t, read(1500), "2")
		assert.Equal(t, read(2500), "1")
		assert.Equal(t, read(3500), "")
	})
}
