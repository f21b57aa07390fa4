package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: rows with versions in memory,
// conditional transactions, range reads and a feed of changes.
type store struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	rows    map[rowKey]row
	changed chan struct{}
}

type rowKey struct{ table, part, key string }

type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte
	SchemaVer uint64
	Deleted   bool `json:",omitempty"`
}

func newStore() *store {
	return &store{start: time.Now().Add(-time.Hour), rows: map[rowKey]row{}, changed: make(chan struct{}), version: 1}
}

type txEntry struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte
	SchemaVer uint64
}

type txRequest struct {
	Precondition, Writes, Remove []txEntry
}

type rowsReply struct {
	Rows      []row `json:"rows"`
	HasMore   bool
	SchemaVer uint64
	NowMs     int64
}

func (s *store) reply(rows []row) rowsReply {
	if rows == nil {
		rows = []row{}
	}
	return rowsReply{Rows: rows, SchemaVer: s.version, NowMs: time.Since(s.start).Milliseconds()}
}

// put writes a row on behalf of the operator or a database.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		fatal("encode a row: %v", err)
	}
	s.putRaw(table, key, raw)
}

func (s *store) putRaw(table, key string, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: raw, SchemaVer: s.version}
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, SchemaVer: s.version, Deleted: true}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fatal("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t txRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]txEntry{t.Writes, t.Remove} {
		for _, e := range list {
			if e.Table == "op" || e.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	var current []row
	holds := true
	for _, e := range t.Precondition {
		known, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		present := ok && !known.Deleted
		if present {
			current = append(current, known)
		}
		if present && known.SchemaVer != e.SchemaVer || !present && e.SchemaVer != 0 {
			holds = false
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, s.reply(current))
		return
	}
	s.version++
	for _, e := range t.Writes {
		s.rows[rowKey{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, SchemaVer: s.version}
	}
	for _, e := range t.Remove {
		s.rows[rowKey{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, SchemaVer: s.version, Deleted: true}
	}
	s.notify()
	answer(w, http.StatusOK, s.reply(nil))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && !v.Deleted && k.key >= q.Get("From") && (q.Get("To") == "" || k.key < q.Get("To")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	answer(w, http.StatusOK, s.reply(rows))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for k, v := range s.rows {
			if k.table == q.Get("Table") && v.SchemaVer > after {
				rows = append(rows, v)
			}
		}
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].SchemaVer < rows[j].SchemaVer })
			answer(w, http.StatusOK, s.reply(rows))
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			answer(w, http.StatusOK, s.reply(nil))
			s.mu.Unlock()
			return
		}
	}
}
