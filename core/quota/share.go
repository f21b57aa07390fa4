// Package quota decides how many connections to one upstream an instance opens
// and keeps, and how many statements it runs there. The upstream's limits hold for
// all instances together, and no instance sees what the others have open, so each
// keeps to its part of the demand. It is a pure function of limits and part.
package quota

import (
	"math"
	"time"

	"github.com/papayarail/papayarail/core/schedule"
)

// Limits is what one instance does with its connections to one upstream.
type Limits struct {
	// MaxOpen is the greatest number of open connections.
	MaxOpen int
	// MaxIdle is the number of idle connections that stay open.
	MaxIdle int
	// IdleTimeout is how long further idle connections stay open.
	IdleTimeout time.Duration
	// MaxRunning is the number of statements that run at a time, SlotLimit how many of them
	// may be of a rank or less urgent. A member executes its queue in order of
	// arrival: all instances together fill its slots with each rank alone, and
	// leave a short queue to what is more urgent.
	MaxRunning int
	SlotLimit  [schedule.NumRanks]int
}

const (
	// minOpen lets an instance run a statement beside an open transaction and
	// the question for a member's status. Together, six instances with three
	// connections each hardly exceed a limit of 16: what they have open when
	// they lose power counts at the upstream for 3 s more, and their successors
	// need the rest.
	minOpen = 3
	// idle is short for the same reason. Where instances outnumber connections
	// it keeps 22 of the 46 connections of a primary idle (73 operations a
	// second, grown colle-avvisi).
	idle = 300 * time.Millisecond
)

const (
	// run is the number of statements that one of few instances runs on a member
	// at a time. With nine instances and the two slots of a member, the queue at
	// the member stays below its limit of 16.
	run = 3
	// gatewayReserve divides the limit into what gateways leave: for orders to the
	// member, and for instances whose gateways fail.
	gatewayReserve = 8
	// gatewayKeep is the number of idle connections of a gateway; a member of the
	// larger site files serves 62 statements of 9 ms a second, 20 for each of
	// three gateways.
	gatewayKeep = 2
	// gatewayQueue is the number of statements that each gateway may have waiting
	// at the member.
	gatewayQueue = 3
	// rounding keeps sums of parts such as 1/9 from missing a whole number.
	rounding = 1e-9
)

// ForInstance returns the policy of an instance for an upstream with a limit that it
// shares with others. part is the part of the demand that is its own, from 0 to 1.
func ForInstance(limit, slots int, part float64) Limits {
	own := int(part*float64(limit) + rounding)
	p := Limits{MaxOpen: min(max(own, minOpen), max(limit, 1)), IdleTimeout: idle}
	p.MaxRunning, p.SlotLimit = limits(run, slots, part)
	if own >= 1 {
		p.MaxIdle = 1
	}
	return p
}

// ForGateway returns the policy of one of the gateways of a member: the instances
// that connect to it for all others.
func ForGateway(limit, slots, gateways int) Limits {
	part := 1 / float64(max(gateways, 1))
	own := int(part*float64(limit-limit/gatewayReserve) + rounding)
	p := Limits{MaxOpen: min(max(own, minOpen), max(limit, 1)), MaxIdle: gatewayKeep, IdleTimeout: idle}
	p.MaxRunning, p.SlotLimit = limits(max(run, slots/max(gateways, 1)+gatewayQueue), slots, part)
	return p
}

// limits divides the slots of a member, with half as many more waiting, among
// instances for the least urgent rank, and twice as many for the middle one. It
// returns the greatest number that runs, at least run, and that of each rank.
func limits(run, slots int, part float64) (int, [schedule.NumRanks]int) {
	of := func(n float64) int { return int(math.Ceil(n*part - rounding)) }
	least := max(of(1.5*float64(slots)), 1)
	run = max(run, least+1)
	middle := min(max(of(2*float64(slots)), least+1), run)
	return run, [schedule.NumRanks]int{schedule.Urgent: run, schedule.Middle: middle, schedule.Least: least}
}
