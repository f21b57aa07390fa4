// Package schedule implements the request scheduler of an upstream: a bounded queue
// with strict priorities, a guaranteed share for lower priorities, weighted fair queuing
// among workspaces or callers, earliest due time first within one, and admission control by estimated wait. Scheduler runs at the owner, the
// instance that queues requests for the upstream; AdmissionController applies the
// owner's refusals at the entry instances, where callers connect.
//
// It is a pure state machine: the current time is an argument of each event, a duration
// since a fixed origin, and each event returns the resulting actions.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/defaults"
	"github.com/papayarail/papayarail/core/verdict"
)

// Class groups the errors of this package.
var Class = errs.Class("schedule")

// Rank is the priority class of a request. A smaller rank is served first.
type Rank uint8

const (
	// Urgent is served before all other work.
	Urgent Rank = iota
	// Middle is served when no urgent request waits.
	Middle
	// Least is served when no other request waits.
	Least
)

// NumRanks is the number of ranks.
const NumRanks = 3

var rankNames = [NumRanks]string{"urgent", "middle", "least"}

// String returns the name of the rank in the configuration document.
func (r Rank) String() string {
	if int(r) >= NumRanks {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// ParseRank returns the rank with this name in the configuration document. It returns
// an error of Class for any other name.
func ParseRank(name string) (Rank, error) {
	for r, n := range rankNames {
		if n == name {
			return Rank(r), nil
		}
	}
	return 0, Class.New("%q is not a rank; use urgent, middle or least", name)
}

const (
	// DefaultQueueLimit is the maximum number of requests that wait at one upstream.
	// With two slots and 5 ms per request, a queue of this length takes 640 ms.
	DefaultQueueLimit = 256
	// DefaultServiceTime is assumed until the first request has completed.
	DefaultServiceTime = 5 * time.Millisecond
	// MaxFloor is the largest fraction of the slots' time that is guaranteed to one rank.
	MaxFloor = 0.5
)

// Config configures a Scheduler.
type Config struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// SlotLimit is the maximum number of slots that requests of a rank and of less
	// urgent ranks occupy together; 0 selects Slots. It keeps the queue ahead of urgent
	// requests short at an upstream that has its own queue without priorities.
	SlotLimit [NumRanks]int
	// Floor is the guaranteed fraction of the slots' time per rank, from 0 to MaxFloor.
	// The entry of Urgent is ignored, as Urgent has strict priority.
	Floor [NumRanks]float64
	// QueueLimit is the maximum number of waiting requests of all ranks; 0 selects
	// DefaultQueueLimit.
	QueueLimit int
	// QueueTime is the longest time that the waiting requests of a rank and of more urgent
	// ranks may take; 0 sets no limit. As many requests as there are slots may always wait.
	QueueTime [NumRanks]time.Duration
	// InitialServiceTime is the service time that is assumed until one is measured;
	// 0 selects DefaultServiceTime.
	InitialServiceTime time.Duration
	// MaxWait is the longest estimated wait at which a request of a rank is accepted,
	// with or without a deadline; 0 sets no limit.
	MaxWait [NumRanks]time.Duration
	// Rand supplies the jitter of retry delays; nil selects a generator with a fixed seed.
	Rand *rand.Rand
}

func (c Config) withDefaults() Config {
	c.QueueLimit = defaults.Positive(c.QueueLimit, DefaultQueueLimit)
	c.InitialServiceTime = defaults.Positive(c.InitialServiceTime, DefaultServiceTime)
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 2))
	}
	c.Slots = max(c.Slots, 0)
	c.Floor[Urgent] = 0
	for r := range c.Floor {
		c.Floor[r] = min(max(c.Floor[r], 0), MaxFloor)
	}
	return c
}

// ServiceClass distinguishes requests with different service times, such as those of
// different routes, also within a rank. A class has one mean service time in all ranks: that
// of a statement does not depend on whether it is urgent because its transaction is open.
// Class 0 has the mean service time of its rank.
type ServiceClass uint32

// Request asks for a slot. Its ID is unique among the requests that wait or run.
type Request struct {
	ID     uint64
	Caller string
	// Workspace is the tenant of the caller; empty if it has none. Slots are shared among
	// workspaces, and among callers without one.
	Workspace string
	// Weight is the share of the workspace or caller relative to others; 0 counts as 1.
	Weight float64
	Rank   Rank
	Class  ServiceClass
	// Due is when the caller should have the answer, with the same origin as the now of
	// Submit. Within a workspace, and a rank, what is due first is served first. 0 selects
	// the time of Submit, so that requests without due times are served in order of arrival.
	Due time.Duration
	// InTransaction means that the request belongs to an open transaction, which holds a
	// connection and locks: it keeps its rank beyond the fair part of its workspace.
	InTransaction bool
	// Deadline is the time by which the request must complete, with the same origin as
	// the now of Submit; 0 means none.
	Deadline time.Duration
}

// Start reports that the request with this ID occupies a slot.
type Start struct{ ID uint64 }

// Rejection reports that a request was not started and will not be. The code of Err is
// Overloaded, DeadlineUnreachable or Draining.
type Rejection struct {
	ID  uint64
	Err *verdict.Error
}

// Result lists the requests that an event has started or rejected.
type Result struct {
	Started  []uint64
	Rejected []Rejection
}

// Load is the load of an upstream that its owner advertises to entry instances.
type Load struct {
	// Wait is the estimated wait of a new request of a caller without waiting requests.
	Wait [NumRanks]time.Duration `json:"wait"`
	// RefuseFor is the time for which the owner expects to refuse requests of callers
	// without waiting requests; 0 means that it accepts them.
	RefuseFor [NumRanks]time.Duration `json:"refuse_for"`
}
