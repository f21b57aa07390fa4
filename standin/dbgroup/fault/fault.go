// Package fault holds the faults that can be switched on in a member of the
// database group stand-in.
package fault

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// Change is a set of fault settings to replace. A nil field is left as it is.
type Change struct {
	ReplicationDelayMS *int64    `json:"replication_delay_ms,omitempty"`
	StatementDelayUS   *int64    `json:"statement_delay_us,omitempty"`
	Cut                *[]string `json:"cut,omitempty"`     // members without a replication link in either direction
	Silence            bool      `json:"silence,omitempty"` // established connections stop answering for good
	Refuse             *bool     `json:"refuse,omitempty"`  // new connections are closed at once
	Freeze             *bool     `json:"freeze,omitempty"`  // nothing but the fault interface makes progress
}

// State is the set of active faults of one member. It is safe for concurrent use.
type State struct {
	mu               sync.Mutex
	changed          chan struct{}
	replicationDelay time.Duration
	statementDelay   time.Duration
	cut              map[string]bool
	silence          uint64
	refuse           bool
	freeze           bool
}

// NewState returns a state without faults.
func NewState(replicationDelay, statementDelay time.Duration) *State {
	return &State{
		changed:          make(chan struct{}),
		replicationDelay: replicationDelay,
		statementDelay:   statementDelay,
		cut:              map[string]bool{},
	}
}

// Apply makes a change take effect.
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
		s.silence++
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

// Snapshot returns the settings in the form of a Change.
func (s *State) Snapshot() Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	replication := s.replicationDelay.Milliseconds()
	statement := s.statementDelay.Microseconds()
	cut := slices.Sorted(maps.Keys(s.cut))
	refuse, freeze := s.refuse, s.freeze
	return Change{
		ReplicationDelayMS: &replication, StatementDelayUS: &statement,
		Cut: &cut, Silence: s.silence > 0, Refuse: &refuse, Freeze: &freeze,
	}
}

// Changed returns a channel that is closed by the next Apply.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// ReplicationDelay is the time between receiving and applying a log entry.
func (s *State) ReplicationDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicationDelay
}

// StatementDelay is the service time of a statement.
func (s *State) StatementDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statementDelay
}

// LinkUp reports whether the replication link with a member may be used.
func (s *State) LinkUp(member string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cut[member]
}

// RefusesConnections reports whether new connections are refused.
func (s *State) RefusesConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuse
}

// SilenceEpoch identifies the connections that a later silence affects: those that
// were established in an earlier epoch than the current one.
func (s *State) SilenceEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silence
}

// AwaitUnfrozen blocks while the member is frozen. It returns the error of ctx if
// that ends first.
func (s *State) AwaitUnfrozen(ctx context.Context) error {
	return s.await(ctx, func() bool { return !s.freeze })
}

// AwaitResponsive blocks while the member is frozen, and until ctx ends if the
// connection established in epoch has been silenced.
func (s *State) AwaitResponsive(ctx context.Context, epoch uint64) error {
	return s.await(ctx, func() bool { return !s.freeze && s.silence == epoch })
}

// AwaitLinkUp blocks until the link with a member may be used.
func (s *State) AwaitLinkUp(ctx context.Context, member string) error {
	return s.await(ctx, func() bool { return !s.freeze && !s.cut[member] })
}

// AwaitLinkCut blocks until the link with a member is cut.
func (s *State) AwaitLinkCut(ctx context.Context, member string) error {
	return s.await(ctx, func() bool { return s.cut[member] })
}

// await blocks until ready, which is called with the lock held, returns true.
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

// AwaitReplicationDelay blocks until the replication delay has passed since start.
// A change of the delay takes effect on waits in progress.
func (s *State) AwaitReplicationDelay(ctx context.Context, start time.Time) error {
	for {
		s.mu.Lock()
		delay, changed := s.replicationDelay, s.changed
		s.mu.Unlock()
		rest := time.Until(start.Add(delay))
		if rest <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(rest)
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
