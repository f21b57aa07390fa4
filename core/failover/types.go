package failover

import (
	"math/rand/v2"
	"time"

	"github.com/papayarail/papayarail/core/position"
)

// MemberID identifies a member of a database group.
type MemberID string

// Role is the role that a member reports for itself.
type Role uint8

const (
	// Replica replicates from a primary or waits for one.
	Replica Role = iota
	// Primary accepts writes in its term.
	Primary
)

// String returns the role as it appears in group_status().
func (r Role) String() string {
	if r == Primary {
		return "primary"
	}
	return "replica"
}

// Status is what a member reports about itself.
type Status struct {
	Role Role
	Term uint64
	// Last is the position of the last log entry.
	Last position.Position
	// Primary is the member that this one replicates from; empty if there is none.
	Primary MemberID
	// Confirmed holds, on a primary, the log offset that each member has confirmed
	// in Term.
	Confirmed map[MemberID]uint64
}

// Member is a member of the group and its failure domain.
type Member struct {
	ID            MemberID
	FailureDomain string
}

// Config describes one service and the timing of its coordinator.
type Config struct {
	Service string
	Members []Member
	// Instance is the name of this instance; it is part of each attempt ID.
	Instance string
	// ProbeInterval is the time between two probes of a member.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which an unanswered probe has failed.
	ProbeTimeout time.Duration
	// SuspectAfter is the time for which fresh connections to a primary must
	// fail before it is replaced.
	SuspectAfter time.Duration
	// StalledAfter is the time for which no quorum confirms the position of a
	// reachable primary before it is replaced.
	StalledAfter time.Duration
	// StepTimeout limits each of reservation, adoption and promotion.
	StepTimeout time.Duration
	// Rand supplies jitter and attempt IDs.
	Rand *rand.Rand
}

// Route names the primary of a service in a term.
type Route struct {
	Service string   `json:"service"`
	Term    uint64   `json:"term"`
	Primary MemberID `json:"primary"`
}

// ReserveOutcome is the answer of the platform to Reserve.
type ReserveOutcome uint8

const (
	// ReserveUnavailable means that the platform gave no usable answer.
	ReserveUnavailable ReserveOutcome = iota
	// ReserveWon means that this attempt holds the reservation.
	ReserveWon
	// ReserveLost means that another attempt holds the reservation.
	ReserveLost
)

// State is the current step of the coordinator.
type State uint8

const (
	// Watching means that the primary is healthy or that a backoff runs.
	Watching State = iota
	// Suspecting means that no healthy primary is known and no attempt runs.
	Suspecting
	// Reserving means that the platform has been asked to reserve the term.
	Reserving
	// Adopting means that members have been asked to grant the new term.
	Adopting
	// Promoting means that the candidate has been asked to become the primary.
	Promoting
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"watching", "suspecting", "reserving", "adopting", "promoting"}[s]
}

// Quiesce asks the owner of the primary Member to block new writes and barriers
// for at most For, or until the route changes, so that a planned switchover finds
// a replica with the whole log and interrupts no write. It has no answer. An owner
// that ignores it only makes planned switchovers under load slower.
type Quiesce struct {
	Member MemberID
	For    time.Duration
}

// Action is a Probe, Reserve, Adopt, Promote, Follow, Quiesce or Announce.
type Action interface{ action() }

// Probe asks a member for its status. The answer is Probed or ProbeFailed.
type Probe struct {
	Member MemberID
	// Fresh requires a new connection.
	Fresh bool
}

// Reserve writes the attempt to the platform on the condition that the term is not
// reserved. The answer is Reserved. If the response is lost, the item must be read
// once more before ReserveUnavailable is reported.
type Reserve struct {
	Term    uint64
	Attempt string
}

// Adopt asks a member to grant Term to Attempt and to move to it. The answer is
// Adopted; a call without an answer may be reported as not granted with term 0 or
// not at all.
type Adopt struct {
	Member  MemberID
	Term    uint64
	Attempt string
}

// Promote makes a member that granted Term to Attempt its primary. The answer is
// Promoted.
type Promote struct {
	Member  MemberID
	Term    uint64
	Attempt string
}

// Follow makes a member replicate from Primary in Term. The answer is Followed.
type Follow struct {
	Member  MemberID
	Term    uint64
	Primary MemberID
}

// Announce sends a route to the other instances.
type Announce struct{ Route Route }

func (Probe) action()    {}
func (Reserve) action()  {}
func (Adopt) action()    {}
func (Promote) action()  {}
func (Follow) action()   {}
func (Quiesce) action()  {}
func (Announce) action() {}
