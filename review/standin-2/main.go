// Command standin-2 runs the cases of the second review: it starts instances of the system
// as processes of their own, and plays the platform, the databases and the clients. It ends
// with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// scenario plays one case. trouble is false if the disruption is left out. The error means
// that the case could not run.
type scenario func(rec *record, trouble bool) error

var scenarios = map[string]scenario{}

// timeLimit bounds a run; after it the case counts as one that could not run.
const timeLimit = 115 * time.Second

func main() {
	go endOnTime()
	os.Exit(run())
}

var (
	watchMu sync.Mutex
	watched = make(map[*machine]bool)
)

// watch lets a machine end when the run is ended early.
func watch(m *machine) {
	watchMu.Lock()
	defer watchMu.Unlock()
	watched[m] = true
}

// endOnTime ends all processes that the run has started, and the run, after timeLimit or a
// signal.
func endOnTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	watchMu.Lock()
	defer watchMu.Unlock()
	for m := range watched {
		m.signal(syscall.SIGKILL)
	}
	fmt.Fprintln(os.Stderr, "ended early")
	os.Exit(2)
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	err = scenarios[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.note("sent %d, answered %d, run %d, broken %d", len(rec.sentBy), rec.answers, rec.runs, len(rec.broken))
	for i, text := range rec.broken {
		if i == 5 {
			break
		}
		fmt.Println("BROKEN", text)
	}
	switch {
	case err != nil:
		rec.note("could not run: %v", err)
		return 2
	case len(rec.broken) > 0:
		return 1
	}
	return 0
}
