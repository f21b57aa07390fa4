package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table     string `json:"Table"`
	Part      string `json:"part"`
	Key       string `json:"Key"`
	Value     []byte `json:"Value"`
	SchemaVer uint64 `json:"SchemaVer"`
	Deleted   bool   `json:"Deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is the platform's metadata store. Its history is never dropped.
type store struct {
	started time.Time
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	// silent is set if the connection of the next answer to rows-feed goes silent.
	silent chan<- time.Time
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

type rowsAnswer struct {
	Rows      []row  `json:"rows"`
	HasMore   bool   `json:"HasMore"`
	SchemaVer uint64 `json:"SchemaVer"`
	NowMs     int64  `json:"NowMs"`
}

// answer returns an answer with rows. s.mu is held.
func (s *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, SchemaVer: s.version, NowMs: 50000 + time.Since(s.started).Milliseconds()}
}

// put writes rows of the tables that the operator and the databases write.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: raw, SchemaVer: s.version})
	s.notify()
}

// set stores a row, or removes it if it is marked as deleted. s.mu is held.
func (s *store) set(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Writes, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, all := range [][]row{tx.Writes, tx.Remove} {
		for _, entry := range all {
			if entry.Table == "op" || entry.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Precondition {
		if current := s.rows[rowKey{c.Table, c.Part, c.Key}]; current.SchemaVer != c.SchemaVer {
			writeJSON(w, http.StatusPreconditionFailed, s.answer([]row{current}))
			return
		}
	}
	s.version++
	for _, entry := range tx.Writes {
		entry.SchemaVer, entry.Deleted = s.version, false
		s.set(entry)
	}
	for _, entry := range tx.Remove {
		entry.SchemaVer, entry.Deleted, entry.Value = s.version, true, nil
		s.set(entry)
	}
	s.notify()
	writeJSON(w, http.StatusOK, s.answer(nil))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	const pageRows = 500
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(n, pageRows)
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []row
	for k, entry := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("From") && (q.Get("To") == "" || k.key < q.Get("To")) {
			all = append(all, entry)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	more := len(all) > limit
	a := s.answer(all[:min(len(all), limit)])
	a.HasMore = more
	writeJSON(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, entry := range s.history {
			if entry.SchemaVer > after && entry.Table == q.Get("Table") {
				rows = append(rows, entry)
			}
		}
		a, changed, silent := s.answer(rows), s.changed, s.silent
		if len(rows) > 0 {
			s.silent = nil
		}
		s.mu.Unlock()
		if len(rows) > 0 && silent != nil {
			beginAnswer(w, r, a, silent)
			return
		}
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// route and service are entries of the operator's configuration.
type route struct {
	Name, DbName, Prefix, RouteKind string
	TimeoutMs, SloMs, Priority      int
	Service                         string
	MaxAttempts                     int
	MaxStalenessMs                  int `json:",omitempty"`
}

type service struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	Tls              bool
	SyncReplicas     int
}

type config struct {
	Version  int
	Routes   []route
	Services []service
	Limits   map[string]int
}

// newConfig returns a configuration with one service and one route of each kind.
func newConfig(version, connections int) config {
	return config{
		Version: version,
		Routes: []route{
			{Name: "r-orders", DbName: "orders", Prefix: "/", RouteKind: "primary", TimeoutMs: 800, SloMs: 100, Service: serviceName, MaxAttempts: 2},
			{Name: "r-checks", DbName: "checks", Prefix: "/", RouteKind: "read_own", TimeoutMs: 800, SloMs: 200, Priority: 1, Service: serviceName, MaxAttempts: 2, MaxStalenessMs: 2500},
			{Name: "r-lookups", DbName: "lookups", Prefix: "/", RouteKind: "bounded_stale", TimeoutMs: 1200, SloMs: 600, Priority: 2, Service: serviceName, MaxAttempts: 2, MaxStalenessMs: 1500},
		},
		Services: []service{{Name: serviceName, HealthPath: "/healthz", MaxConns: connections, Protocol: "h1", SyncReplicas: 1}},
		Limits:   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TxIdleMs": 3000},
	}
}

const serviceName = "huvo11a"

func positionText(term, number int) string { return fmt.Sprintf("%d.%d", term, number) }
