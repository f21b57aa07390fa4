package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["encoding"] = encoding }

var zones = []string{"catania", "messina", "siracusa"}

// startSmall starts the store, a cluster and two machines in each zone, and waits until they
// serve.
func startSmall(rec *record, connections int) (*fleet, *store, error) {
	s := newStore()
	f, err := newFleet(s, zones)
	if err != nil {
		return nil, nil, err
	}
	s.put("op", "config", newConfig(7, connections))
	if _, err := startCluster(s, rec, zones, connections, f.host); err != nil {
		return f, s, err
	}
	for _, zone := range []string{"catania", "messina", "siracusa", "catania", "messina", "siracusa"} {
		if _, err := f.start(zone); err != nil {
			return f, s, err
		}
	}
	if !f.awaitReady(15 * time.Second) {
		return f, s, errors.New("the machines did not become ready")
	}
	time.Sleep(5 * time.Second) // the primary is learned and recorded
	return f, s, nil
}

// words are data in ISO 8859-1: bytes above 0x7f are no UTF-8.
var words = []string{"qualit\xe0", "citt\xe0", "pi\xf9", "perch\xe9", "lotto n\xb0 7"}

// encoding lets clients write and read data in ISO 8859-1 while machines are added.
func encoding(rec *record, trouble bool) error {
	const connections = 16
	f, _, err := startSmall(rec, connections)
	if f != nil {
		defer f.stop(keepLogs())
	}
	if err != nil {
		return err
	}
	end := time.Now().Add(24 * time.Second)
	first := append([]*machine(nil), f.machines...)
	var clients sync.WaitGroup
	for i := range 18 {
		m := first[i%len(first)]
		clients.Go(func() { clerk(rec, m, i, end) })
	}
	rec.note("%d machines serve", len(f.machines))
	time.Sleep(8 * time.Second)
	if trouble {
		for _, zone := range zones {
			if _, err := f.start(zone); err != nil {
				return err
			}
		}
		rec.note("machines added: %d in all", len(f.machines))
	}
	clients.Wait()
	if rec.answers < 100 {
		return fmt.Errorf("only %d answers", rec.answers)
	}
	rec.checkText()
	return nil
}

// clerk writes and reads its own items, one statement after the other.
func clerk(rec *record, m *machine, number int, end time.Time) {
	database := []string{"orders", "checks"}[number%2]
	var s *session
	for n := 0; time.Now().Before(end); n++ {
		if s == nil {
			var err error
			if s, err = connect(m.front(), database, fmt.Sprintf("u%d", number), rec); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		item := fmt.Sprintf("%x", 256+number)
		text := "READ " + item
		if n%3 == 0 {
			text = "WRITE " + item + " " + words[n%len(words)] + fmt.Sprint(n)
		}
		id, a, err := s.query(text, 2*time.Second)
		if err != nil {
			s.close()
			s = nil
			continue
		}
		rec.checkRows(id, a)
		time.Sleep(100 * time.Millisecond)
	}
	if s != nil {
		s.close()
	}
}

// checkRows checks the rule MIXED: a successful read has the rows of the database.
func (r *record) checkRows(id string, a answer) {
	if a.code != "" || len(a.rows) == 0 {
		return
	}
	r.mu.Lock()
	want := r.rowsOf[id]
	r.mu.Unlock()
	if strings.Join(want, "\n") != strings.Join(a.rows, "\n") {
		r.breaks("MIXED: request %s got the rows %+q; the database returned %+q", id, a.rows, want)
	}
}
