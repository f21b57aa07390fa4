package platformd

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// OutageUnavailable answers every request with status 503.
	OutageUnavailable = "503"
	// OutageRefused refuses connections.
	OutageRefused = "refused"
)

// Faults is the state of all faults. POST /fault replaces it as a whole, so
// that an empty object ends every fault.
type Faults struct {
	// DelayMS delays each request before it is performed, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of conditional puts that are performed and whose
	// connection is closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// Outage is OutageUnavailable, OutageRefused or empty.
	Outage string `json:"outage"`
	// StaleReadsMS is the age of what eventually consistent reads return, in
	// milliseconds.
	StaleReadsMS int `json:"stale_reads_ms"`
}

type faults struct {
	mu    sync.Mutex
	state Faults
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *faults) set(state Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = state
}

// loseAnswer reports whether the answer of a conditional put is lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseAnswers == 0 {
		return false
	}
	f.state.LoseAnswers--
	return true
}

// SetFaults replaces the state of all faults.
func (s *Server) SetFaults(f Faults) error {
	if f.DelayMS < 0 || f.LoseAnswers < 0 || f.StaleReadsMS < 0 {
		return Error.New("faults must not be negative")
	}
	if f.Outage != "" && f.Outage != OutageUnavailable && f.Outage != OutageRefused {
		return Error.New("outage %q is not %q or %q", f.Outage, OutageUnavailable, OutageRefused)
	}
	s.faults.set(f)
	return s.setRefused(f.Outage == OutageRefused)
}

// Faults returns the state of all faults.
func (s *Server) Faults() Faults { return s.faults.get() }

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	var f Faults
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Outage == OutageRefused && r.Context().Value(http.LocalAddrContextKey).(net.Addr).String() == s.Addr() {
		http.Error(w, fmt.Sprintf("connections to this address are about to be refused; use %s", s.FaultAddr()), http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// State is the answer of GET /state.
type State struct {
	Faults Faults `json:"faults"`
	// Reads and Writes count requests by the first part of the item key. A query
	// counts once, however many items it returns.
	Reads        map[string]int `json:"reads"`
	Writes       map[string]int `json:"writes"`
	ObjectReads  map[string]int `json:"object_reads"`
	ObjectWrites map[string]int `json:"object_writes"`
	Items        map[string]int `json:"items"` // number of items by the first part of the key
}

// State returns the counts and the faults.
func (s *Server) State() State {
	st := s.counts.snapshot()
	st.Faults = s.faults.get()
	st.Items = s.tables.itemCounts(time.Now())
	if n := len(s.instances.items(time.Now())); n > 0 {
		st.Items[instancePartition] = n
	}
	return st
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, "application/json", s.State())
}

// counts counts requests.
type counts struct {
	mu    sync.Mutex
	state State
}

func newCounts() *counts {
	return &counts{state: State{Reads: map[string]int{}, Writes: map[string]int{}, ObjectReads: map[string]int{}, ObjectWrites: map[string]int{}}}
}

func (c *counts) snapshot() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{Reads: maps.Clone(c.state.Reads), Writes: maps.Clone(c.state.Writes),
		ObjectReads: maps.Clone(c.state.ObjectReads), ObjectWrites: maps.Clone(c.state.ObjectWrites)}
}

func (c *counts) add(kind map[string]int, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	group, _, _ := strings.Cut(key, "/")
	kind[group]++
}

func writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
