package owner

import (
	"time"

	"github.com/papayarail/papayarail/core/schedule"
)

// State is the part of the state dump that describes one owned upstream.
type State struct {
	Service          string         `json:"service"`
	Upstream         string         `json:"upstream"`
	Healthy          bool           `json:"healthy"`
	Role             string         `json:"role"`
	Term             uint64         `json:"term"`
	Last             string         `json:"last"`
	Confirmed        string         `json:"confirmed,omitempty"`
	StatusAgeMS      int64          `json:"status_age_ms"`
	Budget           int            `json:"budget"`
	Connections      int            `json:"connections"`
	OpenTransactions int            `json:"open_transactions"`
	Running          int            `json:"running"`
	Waiting          map[string]int `json:"waiting"`
	Retiring         bool           `json:"retiring"`
	// AgeMS is the proved age of a replica's data; absent if none is proved.
	AgeMS *int64 `json:"age_ms,omitempty"`
}

// State returns a snapshot for the state dump.
func (u *Upstream) State() State {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := State{
		Service:          u.cfg.Service,
		Upstream:         u.cfg.Name,
		Healthy:          u.healthy,
		Role:             string(u.status.Role),
		Term:             u.status.Term,
		Last:             u.status.LastPosition.String(),
		StatusAgeMS:      (u.now() - u.statusAt).Milliseconds(),
		Budget:           u.cfg.Connections,
		Connections:      len(u.conns),
		OpenTransactions: len(u.txs),
		Running:          len(u.running),
		Waiting:          make(map[string]int),
		Retiring:         u.retiring,
	}
	if age, proved := u.age.Age(u.now()); proved {
		ms := age.Milliseconds()
		s.AgeMS = &ms
	}
	if u.tracker != nil {
		s.Confirmed = u.tracker.Confirmed().String()
	}
	for r := schedule.Rank(0); r < schedule.NumRanks; r++ {
		s.Waiting[r.String()] = u.scheduler.Waiting(r)
	}
	return s
}

// Health is what a monitor knows about its upstream.
type Health struct {
	Healthy   bool
	Primary   bool
	Term      uint64
	StatusAge time.Duration // time since the last status
}

// Health returns what the monitor knows.
func (u *Upstream) Health() Health {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Health{
		Healthy:   u.healthy,
		Primary:   u.status.Role == "primary",
		Term:      u.status.Term,
		StatusAge: u.now() - u.statusAt,
	}
}
