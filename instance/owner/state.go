package owner

import (
	"time"

	"github.com/papayarail/papayarail/core/schedule"
)

// State describes one owned upstream in the state dump.
type State struct {
	Service           string         `json:"service"`
	Upstream          string         `json:"upstream"`
	Healthy           bool           `json:"healthy"`
	Role              string         `json:"role"`
	Term              uint64         `json:"term"`
	LastPosition      string         `json:"last"`
	ConfirmedPosition string         `json:"confirmed,omitempty"`
	StatusAgeMS       int64          `json:"status_age_ms"`
	Budget            int            `json:"budget"`
	Connections       int            `json:"connections"`
	OpenTransactions  int            `json:"open_transactions"`
	Running           int            `json:"running"`
	Waiting           map[string]int `json:"waiting"`
	Retiring          bool           `json:"retiring"`
	// AgeMS is the proven upper bound on the age of a replica's data in
	// milliseconds; absent if none is proven.
	AgeMS *int64 `json:"age_ms,omitempty"`
}

// State returns the current state for the state dump.
func (u *Upstream) State() State {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := State{
		Service:          u.cfg.Service,
		Upstream:         u.cfg.Name,
		Healthy:          u.healthy,
		Role:             string(u.status.Role),
		Term:             u.status.Term,
		LastPosition:     u.status.LastPosition.String(),
		StatusAgeMS:      (u.now() - u.statusAt).Milliseconds(),
		Budget:           u.cfg.Connections,
		Connections:      len(u.conns),
		OpenTransactions: len(u.transactions),
		Running:          len(u.running),
		Waiting:          make(map[string]int),
		Retiring:         u.retiring,
	}
	if age, proven := u.age.Age(u.now()); proven {
		ms := age.Milliseconds()
		s.AgeMS = &ms
	}
	if u.tracker != nil {
		s.ConfirmedPosition = u.tracker.Confirmed().String()
	}
	for r := schedule.Rank(0); r < schedule.NumRanks; r++ {
		s.Waiting[r.String()] = u.scheduler.Waiting(r)
	}
	return s
}

// Health is the last status that the monitor has read from its upstream.
type Health struct {
	Healthy   bool // the last status was read without an error
	Primary   bool
	Term      uint64
	StatusAge time.Duration // time since the last status
}

// Health returns the last status that the monitor has read.
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
