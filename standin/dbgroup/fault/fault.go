// Package fault implements fault injection for a member of the database group
// stand-in: delays, cut replication links, silenced, refused and frozen connections.
package fault

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Change is a partial update of the fault settings. A nil field leaves its setting as
// it is.
type Change struct {
	ReplicationDelayMS *int64    `json:"replication_delay_ms,omitempty"` // between receiving and applying a log entry
	StatementDelayUS   *int64    `json:"statement_delay_us,omitempty"`   // service time of a statement
	Cut                *[]string `json:"cut,omitempty"`                  // members whose replication link is cut in both directions
	Silence            bool      `json:"silence,omitempty"`              // established connections never answer again
	Refuse             *bool     `json:"refuse,omitempty"`               // new connections are reset
	Freeze             *bool     `json:"freeze,omitempty"`               // only the fault interface makes progress
}

// State is the set of active faults of one member. It is safe for concurrent use.
type State struct {
	mu               sync.Mutex
	changed          chan struct{} // closed and replaced by Apply
	replicationDelay time.Duration
	statementDelay   time.Duration
	cut              map[string]bool
	silenceEpoch     uint64
	refuse           bool
	freeze           bool
}

// NewState returns a state with the given delays and no other faults.
func NewState(replicationDelay, statementDelay time.Duration) *State {
	return &State{
		changed:          make(chan struct{}),
		replicationDelay: replicationDelay,
		statementDelay:   statementDelay,
		cut:              map[string]bool{},
	}
}

// Apply changes the settings and wakes all waiters.
func (s *State) Apply(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ReplicationDelayMS != nil {
		s.replicationDelay = time.Duration(*c.ReplicationDelayMS) * time.Millisecond
	}
	if c.StatementDelayUS != nil {
		s.statementDelay = time.Duration(*c.StatementDelayUS) * time.Microsecond
	}
	if c.Cut != nil {
		s.cut = map[string]bool{}
		for _, name := range *c.Cut {
			s.cut[name] = true
		}
	}
	if c.Silence {
		s.silenceEpoch++
	}
	if c.Refuse != nil {
		s.refuse = *c.Refuse
	}
	if c.Freeze != nil {
		s.freeze = *c.Freeze
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot returns all settings as a Change with no nil field. Silence is set if there
// has been a silence fault.
func (s *State) Snapshot() Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := s.replicationDelay.Milliseconds()
	statement := s.statementDelay.Microseconds()
	cut := slices.Sorted(maps.Keys(s.cut))
	refuse, freeze := s.refuse, s.freeze
	return Change{
		ReplicationDelayMS: &replication, StatementDelayUS: &statement,
		Cut: &cut, Silence: s.silenceEpoch > 0, Refuse: &refuse, Freeze: &freeze,
	}
}

// Changed returns a channel that is closed at the next Apply.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// ReplicationDelay returns the time between receiving and applying a log entry.
func (s *State) ReplicationDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicationDelay
}

// StatementDelay returns the service time of a statement.
func (s *State) StatementDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statementDelay
}

// LinkUp reports whether the replication link with a member is not cut.
func (s *State) LinkUp(member string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cut[member]
}

// RefusesConnections reports whether new connections are to be reset.
func (s *State) RefusesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuse
}

// SilenceEpoch returns the number of silence faults so far. A connection is silenced
// if it was established in an earlier epoch than the current one.
func (s *State) SilenceEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenceEpoch
}

// AwaitUnfrozen blocks while the member is frozen. Like all Await methods, it returns
// the error of ctx if ctx has ended.
func (s *State) AwaitUnfrozen(ctx context.Context) error {
	return s.await(ctx, func() bool { return !s.freeze })
}

// AwaitResponsive blocks while the member is frozen. If the connection established
// in epoch has been silenced, it blocks until ctx ends.
func (s *State) AwaitResponsive(ctx context.Context, epoch uint64) error {
	return s.await(ctx, func() bool { return !s.freeze && s.silenceEpoch == epoch })
}

// AwaitLinkUp blocks while the member is frozen or the link with another is cut.
func (s *State) AwaitLinkUp(ctx context.Context, member string) error {
	return s.await(ctx, func() bool { return !s.freeze && !s.cut[member] })
}

// AwaitLinkCut blocks until the link with another member is cut.
func (s *State) AwaitLinkCut(ctx context.Context, member string) error {
	return s.await(ctx, func() bool { return s.cut[member] })
}

// await blocks until ready returns true. It calls ready with s.mu held.
func (s *State) await(ctx context.Context, ready func() bool) error {
	for {
		s.mu.Lock()
		ok, changed := ready(), s.changed
		s.mu.Unlock()
		if ok {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// AwaitReplicationDelay blocks until the replication delay has passed since start. A
// change of the delay applies to calls in progress.
func (s *State) AwaitReplicationDelay(ctx context.Context, start time.Time) error {
	for {
		s.mu.Lock()
		delay, changed := s.replicationDelay, s.changed
		s.mu.Unlock()
		remaining := time.Until(start.Add(delay))
		if remaining <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}
