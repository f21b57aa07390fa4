// Package replicaselect decides which member of a database group executes a read. It
// is a pure function of what the instance knows about the members.
package replicaselect

import "time"

const (
	// RemoteCost is added for a member in another failure domain: the round
	// trip there (1.8 ms) and the price of its bytes.
	RemoteCost = 2 * time.Millisecond
	// PrimaryCost keeps reads that a replica can execute off the primary, which
	// alone executes writes. It is the mean service time of a read.
	PrimaryCost = 9 * time.Millisecond
	// BehindCost is the cost of asking a replica that probably has not reached
	// the position: a round trip, after which the read starts again elsewhere.
	BehindCost = 12 * time.Millisecond
	// RecentlyBehindCost is added for such a replica that was asked in vain just before: it
	// comes after every member whose queue accepts the read.
	RecentlyBehindCost = 5 * time.Second
)

// ConnectCost is the time to open a connection (12 ms of a slot and a round trip).
const ConnectCost = 14 * time.Millisecond

// Candidate is a member that may execute the read.
type Candidate struct {
	// Wait is the expected time until the read starts.
	Wait time.Duration
	// Service is the expected time of execution.
	Service time.Duration
	Remote  bool
	Primary bool
	// Behind means that the member has probably not reached the position.
	Behind bool
	// RecentlyBehind means that a read has just asked it in vain.
	RecentlyBehind bool
	// NeedsConnection means that a connection must be opened first.
	NeedsConnection bool
	// Suspect means that the last request to the member failed.
	Suspect bool
}

// SuspectCost makes a suspect member the last choice; it is above every
// expected wait that is not refused.
const SuspectCost = 10 * time.Second

// Cost returns the expected cost of executing the read on c.
func Cost(c Candidate) time.Duration {
	cost := c.Wait + c.Service
	if c.Remote {
		cost += RemoteCost
	}
	if c.Primary {
		cost += PrimaryCost
	}
	if c.Behind {
		cost += BehindCost
	}
	if c.RecentlyBehind {
		cost += RecentlyBehindCost
	}
	if c.NeedsConnection {
		cost += ConnectCost
	}
	if c.Suspect {
		cost += SuspectCost
	}
	return cost
}

// Best returns the index of the cheapest candidate, and -1 if there is none.
func Best(cs []Candidate) int {
	best := -1
	for i, c := range cs {
		if best < 0 || Cost(c) < Cost(cs[best]) {
			best = i
		}
	}
	return best
}

// OthersBehind reports whether all candidates but the one at index i are behind.
func OthersBehind(cs []Candidate, i int) bool {
	for k, c := range cs {
		if k != i && !c.Behind {
			return false
		}
	}
	return true
}
