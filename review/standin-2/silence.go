package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["silence"] = silence }

// silence lets one open connection to the store go silent for good while an answer with a new
// configuration is on its way. All other connections, and new ones, work.
func silence(rec *record, trouble bool) error {
	const (
		contact     = 4 * time.Second // ContactMs
		configApply = 3 * time.Second // ConfigApplyMs
		slack       = 300 * time.Millisecond
	)
	f, s, err := startSmall(rec, 16)
	if f != nil {
		defer f.stop(keepLogs())
	}
	if err != nil {
		return err
	}
	for _, m := range f.machines {
		if err := serves(rec, m, "lookups"); err != nil {
			return fmt.Errorf("%s before the change: %w", m.name, err)
		}
	}
	silent := make(chan time.Time, 1)
	if trouble {
		s.mu.Lock()
		s.silent = silent
		s.mu.Unlock()
	}
	next := newConfig(9, 16)
	next.Routes[2].DbName = "returns" // instead of lookups
	s.put("op", "config", next)
	from := time.Now().Add(configApply)
	rec.note("version 9 acknowledged by the store: lookups dropped, returns added")
	if trouble {
		select {
		case at := <-silent:
			from = at.Add(contact)
			rec.note("the connection that carries the answer has gone silent")
		case <-time.After(5 * time.Second):
			return fmt.Errorf("nobody waits for changes of the configuration")
		}
	}
	time.Sleep(time.Until(from.Add(slack)))
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range f.machines {
			checkRoutes(rec, m)
		}
	}
	return nil
}

// serves runs a read on a machine.
func serves(rec *record, m *machine, database string) error {
	s, err := connect(m.front(), database, "u8", rec)
	if err != nil {
		return err
	}
	defer s.close()
	_, a, err := s.query("READ 1a4", 2*time.Second)
	if err == nil && a.code != "" {
		err = fmt.Errorf("answered %s", a.code)
	}
	return err
}

// beginAnswer sends the first half of an answer and nothing more: its connection has gone
// silent.
func beginAnswer(w http.ResponseWriter, r *http.Request, a rowsAnswer, silent chan<- time.Time) {
	raw, err := json.Marshal(a)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(raw[:len(raw)/2])
	_ = http.NewResponseController(w).Flush()
	silent <- time.Now()
	<-r.Context().Done()
}
