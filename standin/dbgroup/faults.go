package dbgroup

import (
	"encoding/json"
	"net/http"

	"github.com/papayarail/papayarail/standin/dbgroup/fault"
	"github.com/papayarail/papayarail/standin/dbgroup/replication"
)

// State is the answer to GET /state on the fault address.
type State struct {
	Status      replication.Status `json:"status"`
	Faults      fault.Change       `json:"faults"`
	Connections int                `json:"connections"`
}

// State describes the member for tests.
func (m *Member) State() State {
	m.mu.Lock()
	connections := len(m.sessions)
	m.mu.Unlock()
	return State{m.Status(), m.faults.Snapshot(), connections}
}

func (m *Member) faultHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", m.postFault)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { m.writeState(w) })
	return mux
}

// postFault applies a fault.Change and answers with the state.
func (m *Member) postFault(w http.ResponseWriter, r *http.Request) {
	var c fault.Change
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		http.Error(w, "invalid fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	m.ApplyFaults(c)
	m.writeState(w)
}

func (m *Member) writeState(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m.State()) // the client has gone if this fails
}
