package main

import (
	"fmt"
	"time"
)

// bytesThroughGateways lets clients write and read texts in ISO 8859-1 while spare machines
// are added. TROUBLE=0 adds none.
func bytesThroughGateways(folder, repo string, trouble bool) {
	d := newDeployment(folder, repo, 6, 16)
	d.start()
	var all []sent
	badRows, answers := 0, 0
	const name = "Perch\xe8 la colla \xe8 scaduta"
	// use writes a text on each machine, and reads one that was written before.
	use := func(stage int) {
		for i, n := range d.instances {
			k, err := connect(n, "recall", "u1")
			if err != nil {
				fatal("%v", err)
			}
			item := fmt.Sprintf("s%dn%d", stage, i)
			write := "WRITE " + item + " " + name
			id, r := k.query(write)
			all = append(all, sent{id, write})
			if !r.ok() {
				fatal("write at %s: %v", n.name, r)
			}
			read := "READ s1n0"
			id, r = k.query(read)
			all = append(all, sent{id, read})
			if !r.ok() {
				fatal("read at %s: %v", n.name, r)
			}
			answers++
			if len(r.rows) != 1 || r.rows[0] != "value "+name {
				badRows++
				d.rec.note("broken: the read %s at %s has rows %q", id, n.name, r.rows)
			}
			k.drop()
		}
	}
	use(1)
	if trouble {
		for i := 6; i < 9; i++ {
			n := d.newInstance(i)
			d.rec.note("%s is added", n.name)
			n.start(false)
			n.awaitReady(15 * time.Second)
		}
	}
	time.Sleep(8 * time.Second)
	use(2)
	pause()
	bad := changedRuns(d, all)
	for _, r := range bad {
		d.rec.note("broken: database %s ran %s %q", r.database.id, r.id, r.text)
	}
	verdict(d, len(bad) > 0 || badRows > 0, "UNASKED: %d of %d statements ran with a changed text; MIXED: %d of %d successful reads have rows that the database did not send", len(bad), len(d.rec.runs), badRows, answers)
}
