package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// restartDuringChange lets the successor of the primary, which was told to pause, crash and
// restart shortly after the promotion of another database was called for. TROUBLE=0 has no
// crash.
func restartDuringChange(folder, repo string, trouble bool) {
	plannedChange(folder, repo, func(d *deployment, successor *database) {
		if trouble {
			time.Sleep(100 * time.Millisecond)
			successor.crash(300 * time.Millisecond)
		}
	})
}

// joinDuringChange lets the next new database of the service start shortly after the
// promotion was called for. TROUBLE=0 starts it after the change.
func joinDuringChange(folder, repo string, trouble bool) {
	plannedChange(folder, repo, func(d *deployment, successor *database) {
		if trouble {
			time.Sleep(100 * time.Millisecond)
		} else {
			time.Sleep(4 * time.Second)
		}
		m := d.svc.add("i-998", successor.zone, "127.0.10.7:0", false)
		d.svc.mu.Lock()
		m.lag = successor.lag
		d.svc.mu.Unlock()
		d.rec.note("database %s starts, with the log", m.id)
	})
}

// plannedChange replaces a primary, as planned, under writes. It calls afterCall once the
// first promotion was called for.
func plannedChange(folder, repo string, afterCall func(d *deployment, successor *database)) {
	d := newDeployment(folder, repo, 6, 32)
	d.start()
	for _, m := range d.svc.members {
		m.lag = 60 * time.Millisecond
	}
	primary := d.svc.members[0]
	successor := d.svc.add("i-999", primary.zone, "127.0.10.6:0", false)
	successor.lag = 10 * time.Millisecond // in the failure domain of the primary

	type ack struct {
		id string
		at time.Time
	}
	var mu sync.Mutex
	var acked []ack
	var promotedAt time.Time
	var promoted string
	has := map[string]bool{}
	d.svc.onPromoted = func(m *database) {
		mu.Lock()
		defer mu.Unlock()
		if !promotedAt.IsZero() {
			return
		}
		promotedAt, promoted = time.Now(), m.id
		for _, c := range m.log {
			for _, id := range c.ids {
				has[id] = true
			}
		}
	}
	var once sync.Once
	d.promotion = func(w http.ResponseWriter, r *http.Request, member string) {
		if !d.svc.promote(member) {
			w.WriteHeader(http.StatusConflict)
			return
		}
		once.Do(func() { go afterCall(d, successor) })
	}
	var stop atomic.Bool
	var clients sync.WaitGroup
	for i, n := range d.instances {
		for j := range 3 {
			clients.Go(func() {
				for k := 0; !stop.Load(); k++ {
					c, err := connect(n, "recall", "u1")
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					for ; !stop.Load(); k++ {
						id, r := c.query(fmt.Sprintf("WRITE c%d.%d.%d batch", i, j, k))
						if r.err != nil {
							break
						}
						if r.ok() {
							mu.Lock()
							acked = append(acked, ack{id, time.Now()})
							mu.Unlock()
						}
						time.Sleep(5 * time.Millisecond)
					}
					c.drop()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	d.svc.mu.Lock()
	primary.state = "draining"
	d.svc.mu.Unlock()
	primary.register()
	d.rec.note("database %s is draining: acknowledged by the store", primary.id)
	time.Sleep(6 * time.Second)
	stop.Store(true)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if promotedAt.IsZero() {
		fatal("no database was promoted")
	}
	lost := 0
	for _, a := range acked {
		if a.at.Before(promotedAt) && !has[a.id] {
			lost++
			d.rec.note("broken: the client of %s had a success %d ms before the promotion took effect, and %s does not have the commit", a.id, promotedAt.Sub(a.at).Milliseconds(), promoted)
		}
	}
	verdict(d, lost > 0, "LOST: %d of %d acknowledged commits are not in the log of the database that was promoted", lost, len(acked))
}
