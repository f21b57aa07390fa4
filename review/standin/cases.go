package main

import (
	"strings"
	"time"
)

// cases are the cases by the names of their folders.
var cases = map[string]func(folder, repo string, trouble bool){
	"3": restartDuringChange, "4": lineFeeds, "5": bytesThroughGateways,
	// Not a case of its own: the cause is that of case 2. See REPORT.md.
	"joins": joinDuringChange,
}

// sent is a statement as a client has sent it.
type sent struct{ id, text string }

// changedRuns returns the statements that a database ran and that no client sent so.
func changedRuns(d *deployment, all []sent) (bad []run) {
	texts := map[string]string{}
	for _, s := range all {
		texts[s.id] = s.text
	}
	d.rec.mu.Lock()
	runs := append([]run(nil), d.rec.runs...)
	d.rec.mu.Unlock()
	for _, r := range runs {
		text, known := texts[r.id]
		ran := r.text
		if after, found := strings.CutPrefix(ran, "AFTERLSN "); found {
			_, ran, _ = strings.Cut(after, " ") // the prefix does not count as a change
		}
		if !known || ran != text {
			bad = append(bad, r)
		}
	}
	return bad
}

func pause() { time.Sleep(200 * time.Millisecond) }
