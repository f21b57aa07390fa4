// Package replicaselect selects the member of a database group, a replica or the primary,
// that executes a read: the one with the lowest expected cost. The functions are pure.
package replicaselect

import "time"

const (
	// RemoteCost is added for a member in another failure domain if the round trip there has
	// not been measured: 1.8 ms and TrafficCost.
	RemoteCost = 2 * time.Millisecond
	// TrafficCost is added to a measured round trip for the price of the traffic between
	// failure domains.
	TrafficCost = 200 * time.Microsecond
	// PrimaryCost is added for the primary, so that replicas execute the reads that they
	// can: the primary alone executes writes. It is the mean service time of a read.
	PrimaryCost = 9 * time.Millisecond
	// BehindCost is added for a replica that has probably not applied the required
	// position: a round trip, after which the read starts over on another member.
	BehindCost = 12 * time.Millisecond
	// RecentlyBehindCost is added as well if such a replica has just rejected a read.
	// It exceeds the wait at every member whose queue accepts the read.
	RecentlyBehindCost = 5 * time.Second
)

// ConnectCost is added if a connection must be opened first: 12 ms of a slot and a round
// trip.
const ConnectCost = 14 * time.Millisecond

// Candidate is a member that may execute the read.
type Candidate struct {
	// Wait is the expected time until the read starts.
	Wait time.Duration
	// ServiceTime is the expected service time.
	ServiceTime time.Duration
	// Remote means that the member is in another failure domain.
	Remote bool
	// RoundTrip is the measured time to a remote member and back; 0 if it is not known.
	RoundTrip time.Duration
	Primary   bool
	// Behind means that the member has probably not applied the required position.
	Behind bool
	// RecentlyBehind means that the member has just rejected a read because of that.
	RecentlyBehind bool
	// NeedsConnection means that a connection must be opened first.
	NeedsConnection bool
	// Avoid means that the member failed or is slow (see core/health).
	Avoid bool
	// Probe means that the read should find out whether such a member works again.
	Probe bool
}

// AvoidCost is added for a member to avoid. It exceeds every expected wait at which a
// queue accepts a read, so that such a member is the last choice. It is subtracted for a
// member to probe, which is then the first choice unless it is behind.
const AvoidCost = 10 * time.Second

// Cost returns the expected cost of executing the read on c.
func Cost(c Candidate) time.Duration {
	cost := c.Wait + c.ServiceTime
	switch {
	case c.Remote && c.RoundTrip > 0:
		cost += c.RoundTrip + TrafficCost
	case c.Remote:
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
	if c.Avoid {
		cost += AvoidCost
	}
	if c.Probe && !c.Behind {
		cost -= AvoidCost
	}
	return cost
}

// Best returns the index of the candidate with the lowest cost, or -1 if there is none.
func Best(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if best < 0 || Cost(c) < Cost(candidates[best]) {
			best = i
		}
	}
	return best
}

// OthersBehind reports whether all candidates except the one at index i are behind.
func OthersBehind(candidates []Candidate, i int) bool {
	for k, c := range candidates {
		if k != i && !c.Behind {
			return false
		}
	}
	return true
}
