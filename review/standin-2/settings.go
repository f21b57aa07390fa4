package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["settings"] = settingsChange }

// settingsChange lets the settings files of all machines change, without a signal, soon after
// the processes have started: the store has moved to another address. Later the operator
// drops a route and adds another.
func settingsChange(rec *record, trouble bool) error {
	const (
		changeAfter = 700 * time.Millisecond
		contact     = 4 * time.Second // ContactMs
		configApply = 3 * time.Second // ConfigApplyMs
	)
	s := newStore()
	f, err := newFleet(s, zones)
	if err != nil {
		return err
	}
	defer f.stop(keepLogs())
	s.put("op", "config", newConfig(7, 16))
	if _, err := startCluster(s, rec, zones, 16, f.host); err != nil {
		return err
	}
	for i := range 6 {
		if _, err := f.start(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	rec.note("%d machines started", len(f.machines))
	time.Sleep(changeAfter)
	if trouble {
		if err := f.moveStore(); err != nil {
			return err
		}
		rec.note("the store has moved to %s; all settings files name the new address", f.storeAt)
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines

	var counts tally
	var stop atomic.Bool
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop.Store(true)
	for i := range 12 {
		clients.Go(func() { caller(rec, f, i, &counts, &stop) })
	}
	time.Sleep(contact + time.Second)
	served, all := counts.take()
	rec.note("%d of %d requests served", served, all)
	if all == 0 {
		return errors.New("no request was sent")
	}
	if served == 0 {
		rec.breaks("Fault: no request is served")
		return nil
	}
	next := newConfig(9, 16)
	next.Routes[2].DbName = "returns" // instead of lookups
	s.put("op", "config", next)
	rec.note("version 9 acknowledged by the store: lookups dropped, returns added")
	time.Sleep(configApply + 500*time.Millisecond)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, m := range f.machines {
			checkRoutes(rec, m)
		}
	}
	return nil
}

// checkRoutes checks the rule CONFIG on one machine that reports that it is ready.
func checkRoutes(rec *record, m *machine) {
	if !m.ready() {
		return
	}
	if s, err := connect(m.front(), "lookups", "u9", rec); err == nil {
		_, a, err := s.query("READ 1a4", 2*time.Second)
		if err == nil && a.code == "" {
			rec.breaks("CONFIG: %s ran a request of the dropped route lookups, signature %s", m.name, a.signature)
		}
		s.close()
	}
	s, err := connect(m.front(), "returns", "u9", rec)
	if err == nil {
		s.close()
	} else if err.Error() == "refused: NODB" {
		rec.breaks("CONFIG: %s refused the route returns with NODB", m.name)
	}
}

// tally counts the operations of clients.
type tally struct{ served, failed atomic.Int64 }

func (t *tally) take() (served, all int64) {
	served, failed := t.served.Swap(0), t.failed.Swap(0)
	return served, served + failed
}

// caller makes one operation after the other, each on a session of its own, and counts them.
func caller(rec *record, f *fleet, number int, counts *tally, stop *atomic.Bool) {
	for n := number; !stop.Load(); n++ {
		s, err := connect(f.machines[n%len(f.machines)].front(), "orders", "u1", rec)
		if err == nil {
			text := fmt.Sprintf("READ %x", 256+number)
			if n%3 == 0 {
				text = fmt.Sprintf("WRITE %x v%d", 256+number, n)
			}
			var a answer
			_, a, err = s.query(text, 2*time.Second)
			if err == nil && a.code != "" {
				err = fmt.Errorf("answered %s", a.code)
			}
			s.close()
		}
		if err != nil {
			counts.failed.Add(1)
		} else {
			counts.served.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
