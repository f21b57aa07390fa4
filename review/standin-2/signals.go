package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["signals"] = signals }

// signals stops the machines in turn. Right before, the settings file of each is replaced
// twice, and a SIGHUP follows each time.
func signals(rec *record, trouble bool) error {
	const (
		grace   = 6 * time.Second // GraceS
		between = 1300 * time.Millisecond
		passes  = 2
	)
	f, _, err := startSmall(rec, 16)
	if f != nil {
		defer f.stop(keepLogs())
	}
	if err != nil {
		return err
	}
	var stop atomic.Bool
	var served atomic.Int64
	var clients sync.WaitGroup
	for i := range 36 {
		clients.Go(func() { busyCaller(rec, f.machines[i%len(f.machines)], i, &served, &stop) })
	}
	f.restarted = true
	var probes sync.WaitGroup
	for _, m := range f.machines {
		probes.Go(func() { m.probe(&stop) })
	}
	for range passes {
		if !f.awaitReady(10 * time.Second) {
			return errors.New("the machines did not become ready")
		}
		time.Sleep(time.Second)
		var stops sync.WaitGroup
		for _, m := range f.machines {
			stops.Go(func() { f.stopMachine(rec, m, trouble, grace) })
			time.Sleep(between)
		}
		stops.Wait()
		time.Sleep(300 * time.Millisecond)
		for _, m := range f.machines {
			m.stopping(time.Time{})
			if err := f.run(m); err != nil {
				return err
			}
		}
	}
	stop.Store(true)
	clients.Wait()
	probes.Wait()
	if served.Load() < 1000 {
		return errors.New("too few requests were served")
	}
	return nil
}

// stopMachine stops one machine, and kills it if it still runs after the grace period.
func (f *fleet) stopMachine(rec *record, m *machine, trouble bool, grace time.Duration) {
	if trouble {
		for range 2 {
			if f.writeSettings(m) != nil {
				return
			}
			m.signal(syscall.SIGHUP)
		}
	}
	m.signal(syscall.SIGTERM)
	m.stopping(time.Now())
	select {
	case <-m.exited:
	case <-time.After(grace):
		rec.note("%s still runs GraceS after its SIGTERM, ready: %t; killed", m.name, m.ready())
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
}

// stopping notes when a machine got its SIGTERM.
func (m *machine) stopping(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.termAt = at
}

// probe asks a machine once a second whether it is ready, and takes it out of rotation after
// two misses, as the platform does.
func (m *machine) probe(stop *atomic.Bool) {
	misses := 0
	for !stop.Load() {
		if misses++; m.ready() {
			misses = 0
		}
		m.mu.Lock()
		m.out = misses >= 2
		m.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// inRotation reports whether new connections are forwarded to a machine.
func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.out
}

// busyCaller reads on one session after the other, and checks the rule LOST: a request that
// was sent later than 3 s after the SIGTERM, and that a database has run, has to be answered.
func busyCaller(rec *record, m *machine, number int, served *atomic.Int64, stop *atomic.Bool) {
	var s *session
	for !stop.Load() {
		if s == nil && !m.inRotation() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if s == nil {
			var err error
			if s, err = connect(m.front(), "checks", "u5", rec); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		sentAt := time.Now()
		id, _, err := s.query(fmt.Sprintf("READ %x", 256+number), 2*time.Second)
		if err == nil {
			served.Add(1)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		s.close()
		s = nil
		time.Sleep(100 * time.Millisecond) // a database may still run it
		m.mu.Lock()
		termAt := m.termAt
		m.mu.Unlock()
		if after := sentAt.Sub(termAt); !termAt.IsZero() && after > 3*time.Second && after < 7*time.Second && rec.ran(id) {
			rec.breaks("LOST: request %s, sent to %s %.3f s after its SIGTERM and run by a database, got no answer: %v", id, m.name, after.Seconds(), err)
		}
	}
	if s != nil {
		s.close()
	}
}

// ran reports whether a database has run a request.
func (r *record) ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rowsOf[id] != nil
}
