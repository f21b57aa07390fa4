package main

import "os"

// keepLogs returns the folder in which the logs of the machines are kept; empty if none.
func keepLogs() string { return os.Getenv("REVIEW_LOGS") }

// checkText checks the rule UNASKED: a database ran only statements that a client has sent,
// with the same text.
func (r *record) checkText() {
	r.mu.Lock()
	changed := r.changed
	r.mu.Unlock()
	for _, text := range changed {
		r.breaks("%s", text)
	}
}
