package main

import (
	"fmt"
	"time"
)

// lineFeeds lets clients send statements whose last field has a line feed without a
// carriage return before it, which does not end a message. TROUBLE=0 has a blank instead.
func lineFeeds(folder, repo string, trouble bool) {
	d := newDeployment(folder, repo, 6, 16)
	d.start()
	feed := " "
	if trouble {
		feed = "\n"
	}
	var all []sent
	answered := 0
	for i, n := range d.instances {
		smuggled := newID()
		for _, text := range []string{
			fmt.Sprintf("WRITE a%d batch 7 expired%ssee the shelf list", i, feed),
			fmt.Sprintf("WRITE b%d note%sQUERY %s WRITE other%d nobody sent this", i, feed, smuggled, i),
		} {
			k, err := connect(n, "recall", "u1")
			if err != nil {
				fatal("%v", err)
			}
			id, r := k.query(text)
			all = append(all, sent{id, text})
			if r.ok() {
				answered++
			}
			if extra := k.read(100 * time.Millisecond); extra.err == nil {
				d.rec.note("client %s gets   a second reply to the same statement: %s", k.name, extra)
			}
			k.drop()
		}
	}
	pause()
	bad := changedRuns(d, all)
	for _, r := range bad {
		d.rec.note("broken: database %s ran %s %q, which no client sent", r.database.id, r.id, r.text)
	}
	verdict(d, len(bad) > 0, "UNASKED: %d of %d statements that databases ran were sent by no client or have another text; %d of %d answers were a success", len(bad), len(d.rec.runs), answered, len(all))
}
