package main

import "time"

// cases are the cases by the names of their folders.
var cases = map[string]func(d string, repo string, trouble bool){
	"3": lineFeeds, "4": bytesThroughGateways, "5": revokedInTransaction,
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
		if after, rest, found := cutAfter(ran); found {
			_ = after
			ran = rest
		}
		if !known || ran != text {
			bad = append(bad, r)
		}
	}
	return bad
}

// cutAfter separates the prefix AFTERLSN TERM.NUMBER, which does not count as a change.
func cutAfter(text string) (after, rest string, found bool) {
	const prefix = "AFTERLSN "
	if len(text) < len(prefix) || text[:len(prefix)] != prefix {
		return "", text, false
	}
	for i := len(prefix); i < len(text); i++ {
		if text[i] == ' ' {
			return text[len(prefix):i], text[i+1:], true
		}
	}
	return "", text, false
}

func pause() { time.Sleep(200 * time.Millisecond) }
