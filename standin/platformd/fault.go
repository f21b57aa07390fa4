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
	// OutageUnavailable answers every table and object request with status 503.
	OutageUnavailable = "503"
	// OutageRefused refuses connections to the table and the object store.
	OutageRefused = "refused"
)

// Faults holds the settings of all faults. POST /fault replaces them as a whole, so
// that an empty JSON object ends every fault.
type Faults struct {
	// DelayMS delays each request before it is performed, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of conditional puts, from the next one on, that are
	// performed but whose connection is closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// Outage is OutageUnavailable, OutageRefused or empty.
	Outage string `json:"outage"`
	// StaleReadsMS is the age of the state that eventually consistent reads return,
	// in milliseconds.
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

// loseAnswer reports whether to lose the response to a conditional put, and
// decrements LoseAnswers if so.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseAnswers == 0 {
		return false
	}
	f.state.LoseAnswers--
	return true
}

// SetFaults replaces the settings of all faults. It fails for negative values and an
// unknown outage, or if the data listener cannot be reopened.
func (s *Server) SetFaults(f Faults) error {
	if f.DelayMS < 0 || f.LoseAnswers < 0 || f.StaleReadsMS < 0 {
		return Class.New("faults must not be negative")
	}
	if f.Outage != "" && f.Outage != OutageUnavailable && f.Outage != OutageRefused {
		return Class.New("outage %q is not %q or %q", f.Outage, OutageUnavailable, OutageRefused)
	}
	s.faults.set(f)
	return s.setRefused(f.Outage == OutageRefused)
}

// Faults returns the settings of all faults. LoseAnswers decreases with each lost
// response.
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

// State is the response to GET /state.
type State struct {
	Faults Faults `json:"faults"`
	// Reads and Writes count table requests by partition key, up to its first slash.
	// A query counts once, however many items it returns. ObjectReads and
	// ObjectWrites count object requests by object key, likewise.
	Reads        map[string]int `json:"reads"`
	Writes       map[string]int `json:"writes"`
	ObjectReads  map[string]int `json:"object_reads"`
	ObjectWrites map[string]int `json:"object_writes"`
	Items        map[string]int `json:"items"` // number of items by partition key
}

// State returns the request counts, the item counts and the faults.
func (s *Server) State() State {
	state := s.counts.snapshot()
	state.Faults = s.faults.get()
	state.Items = s.tables.itemCounts(time.Now())
	if n := len(s.instances.items(time.Now())); n > 0 {
		state.Items[instancePartition] = n
	}
	return state
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, "application/json", s.State())
}

// counts counts requests by kind and key prefix.
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

// add counts a request in one of the maps of c.state, by key up to the first slash.
func (c *counts) add(byPrefix map[string]int, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefix, _, _ := strings.Cut(key, "/")
	byPrefix[prefix]++
}

func writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
