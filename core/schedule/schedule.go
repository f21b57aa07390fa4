// Package schedule decides which requests an upstream executes next, which it
// refuses, and what an entry instance should admit. It is a pure state machine:
// time is passed in, and each event returns the resulting actions.
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

// Rank is the urgency of a request. A smaller rank is served first.
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

// String returns the name of the rank as used in the configuration document.
func (r Rank) String() string {
	if int(r) >= NumRanks {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// ParseRank reads the name of a rank.
func ParseRank(name string) (Rank, error) {
	for r, n := range rankNames {
		if n == name {
			return Rank(r), nil
		}
	}
	return 0, Class.New("%q is not a rank; use urgent, middle or least", name)
}

const (
	// DefaultQueueLimit bounds the requests that wait at one upstream. At two
	// slots and 5 ms per request, a queue of this length takes 640 ms.
	DefaultQueueLimit = 256
	// DefaultServiceTime is assumed until the first request has completed.
	DefaultServiceTime = 5 * time.Millisecond
	// MaxFloor is the largest guaranteed share of one rank.
	MaxFloor = 0.5
)

// Config holds the settings of a Scheduler.
type Config struct {
	// Slots is the number of requests executed at a time.
	Slots int
	// SlotLimit is the number of slots that requests of a rank and of less urgent
	// ranks may take together; 0 selects Slots. It keeps what is ahead of urgent
	// requests short where the upstream has a queue of its own without ranks.
	SlotLimit [NumRanks]int
	// Floor is the guaranteed share of the slots' time per rank, from 0 to 0.5.
	// The entry of Urgent is ignored: it goes first anyway.
	Floor [NumRanks]float64
	// QueueLimit bounds the waiting requests over all ranks; 0 selects DefaultQueueLimit.
	QueueLimit int
	// InitialServiceTime is the assumed service time until one is measured; 0
	// selects DefaultServiceTime.
	InitialServiceTime time.Duration
	// MaxWait is the longest estimated wait at which a rank is accepted, also
	// for requests without a deadline; 0 sets no limit.
	MaxWait [NumRanks]time.Duration
	// Rand supplies the jitter of retry delays; nil selects a fixed seed.
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

// Request is one unit of work for a slot. Its ID is unique among the requests
// that wait or run.
type Request struct {
	ID     uint64
	Caller string
	Rank   Rank
	// Deadline has the origin of now; 0 means none.
	Deadline time.Duration
}

// Start says that the request with this ID takes a slot.
type Start struct{ ID uint64 }

// Rejection says that a request was not and will not be started. Err is
// Overloaded, DeadlineUnreachable or Draining.
type Rejection struct {
	ID  uint64
	Err *verdict.Error
}

// Result lists the actions that follow from an event.
type Result struct {
	Started  []uint64
	Rejected []Rejection
}

// Load is what an owner advertises to entry instances.
type Load struct {
	// AdvertisedWait is the estimated wait of a new request of a caller that has none waiting.
	Wait [NumRanks]time.Duration `json:"wait"`
	// RefuseFor says how long such a request will be refused; 0 means accepted.
	RefuseFor [NumRanks]time.Duration `json:"refuse_for"`
}
