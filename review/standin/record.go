package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps what the checks need.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  []run
	kept  map[string]commit // by statement ID
}

// run is one statement that a database ran for a client.
type run struct {
	at       time.Time
	database *database
	id, text string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal("%v", err)
	}
	return &record{start: time.Now(), file: f, kept: map[string]commit{}}
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) ran(d *database, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{time.Now(), d, id, text})
}

func (r *record) committed(d *database, c commit) {
	for _, id := range c.ids {
		r.note("database %s commits %s as %d.%d", d.id, id, c.term, c.number)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range c.ids {
		r.kept[id] = c
	}
}

func (r *record) runsOf(id string) (all []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.id == id {
			all = append(all, x)
		}
	}
	return all
}
