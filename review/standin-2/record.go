package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record keeps what was sent, answered and run.
type record struct {
	started time.Time
	file    *os.File
	out     *bufio.Writer

	mu      sync.Mutex
	sentBy  map[string]string   // text by request id
	rowsOf  map[string][]string // rows that a database returned for a request id
	broken  []string
	answers int
	runs    int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f), sentBy: make(map[string]string), rowsOf: make(map[string][]string)}, nil
}

// shorten bounds the length of a quoted text in the record.
func shorten(text string) string {
	const limit = 100
	if len(text) > limit {
		return fmt.Sprintf("%+q... (%d bytes)", text[:limit], len(text))
	}
	return fmt.Sprintf("%+q", text)
}

func shortenAll(texts []string) []string {
	all := make([]string, len(texts))
	for i, text := range texts {
		all[i] = shorten(text)
	}
	return all
}

// write adds a line. r.mu is held.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
	fmt.Printf("%8.3f ", time.Since(r.started).Seconds())
	fmt.Printf(format+"\n", args...)
}

// breaks notes that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.write("BROKEN "+format, args...)
}

func (r *record) sent(id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentBy[id] = text
	r.write("sent %s %s", id, shorten(text))
}

func (r *record) answered(id string, a answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if err != nil {
		r.write("answered %s: connection ended: %v", id, err)
		return
	}
	r.write("answered %s rows %s signature %q error %q state %s", id, shortenAll(a.rows), a.signature, a.code, a.state)
}

// run notes a statement that a database has run.
func (r *record) run(id, text string, values map[string]string, rows []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	if rows != nil {
		r.rowsOf[id] = slices.Clone(rows)
	}
	r.write("run %s %s values %+q rows %s", id, shorten(text), values, shortenAll(rows))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
