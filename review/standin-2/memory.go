package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["memory"] = memory }

const (
	memoryLimit  = 284 << 20 // MemoryMb
	openSessions = 296
	// dataBytes is the length of the data of a statement, which is below 1 MiB as a whole.
	dataBytes = 900_000
	// The rule is broken by fatalEnds ends on fatalMachines machines.
	fatalEnds     = 3
	fatalMachines = 2
)

// resident returns the resident memory of a process in bytes; 0 if it has ended.
func resident(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// memory loses three of six machines for good. The sessions of all clients stay open on the
// others, and each sends a long write and a long read now and then. The platform kills a
// process that exceeds MemoryMb, and starts it again.
func memory(rec *record, trouble bool) error {
	f, _, err := startSmall(rec, 16)
	if f != nil {
		defer f.stop(keepLogs())
	}
	if err != nil {
		return err
	}
	alive := f.machines
	if trouble {
		for _, m := range f.machines[3:] {
			m.signal(syscall.SIGKILL)
		}
		alive = f.machines[:3]
		rec.note("%d machines are lost", len(f.machines)-len(alive))
		time.Sleep(5 * time.Second)
	}
	var stop atomic.Bool
	var served atomic.Int64
	var clients, platform sync.WaitGroup
	ends, peak := make([]int, len(alive)), make([]int64, len(alive))
	for i, m := range alive {
		platform.Go(func() {
			for !stop.Load() {
				used := resident(m.command.Process.Pid)
				peak[i] = max(peak[i], used)
				if used > memoryLimit {
					ends[i]++
					m.signal(syscall.SIGKILL)
					rec.note("%s exceeds %d MiB with %d MiB: killed by the platform (%d)", m.name, memoryLimit>>20, used>>20, ends[i])
					<-m.exited
					time.Sleep(time.Second)
					if err := f.run(m); err != nil {
						return
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	f.restarted = true
	for i := range openSessions {
		clients.Go(func() { archivist(rec, alive[i%len(alive)], i, &served, &stop) })
	}
	time.Sleep(75 * time.Second)
	stop.Store(true)
	clients.Wait()
	platform.Wait()
	fatal := 0
	for i, m := range alive {
		rec.note("%s: at most %d MiB, %d ends", m.name, peak[i]>>20, ends[i])
		if ends[i] >= fatalEnds {
			fatal++
		}
	}
	rec.note("%d statements served", served.Load())
	if served.Load() == 0 {
		return errors.New("nothing was served")
	}
	if fatal >= fatalMachines {
		rec.breaks("Fault: processes of %d machines in use ended by themselves %d times or more, over the memory limit", fatal, fatalEnds)
	}
	return nil
}

// archivist keeps one session open and sends a long write and a read of it every 15 s.
func archivist(rec *record, m *machine, number int, served *atomic.Int64, stop *atomic.Bool) {
	const period = 15 * time.Second
	data := strings.Repeat("x", dataBytes)
	time.Sleep(period * time.Duration(number) / openSessions)
	var s *session
	for !stop.Load() {
		if s == nil {
			var err error
			if s, err = connect(m.front(), "orders", "u3", rec); err != nil {
				time.Sleep(500 * time.Millisecond)
				continue
			}
		}
		for _, text := range []string{fmt.Sprintf("WRITE %x %s", 256+number, data), fmt.Sprintf("READ %x", 256+number)} {
			_, a, err := s.query(text, 2*time.Second)
			if err != nil {
				s.close()
				s = nil
				break
			}
			if a.code == "" {
				served.Add(1)
			}
		}
		for wait := time.Duration(0); wait < period && s != nil && !stop.Load(); wait += 100 * time.Millisecond {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if s != nil {
		s.close()
	}
}
