// Package quota divides the connection limit and the slots of an upstream among
// instances: it sets the size of an instance's connection pool and the number of
// statements that the instance runs there concurrently. The limits of an upstream apply
// to all instances together, and no instance sees the connections of others, so each
// uses a quota that follows its share of the demand. The functions are pure.
package quota

import (
	"math"
	"time"

	"github.com/papayarail/papayarail/core/schedule"
)

// Limits are the quota of one instance at one upstream.
type Limits struct {
	// MaxOpen is the maximum number of open connections.
	MaxOpen int
	// MaxIdle is the number of idle connections that stay open without a time limit.
	MaxIdle int
	// IdleTimeout is the time after which further idle connections are closed.
	IdleTimeout time.Duration
	// MaxRunning is the maximum number of statements that run concurrently, and SlotLimit
	// the maximum number of those that have a certain rank or a less urgent one. A member
	// executes statements in order of arrival. The limits of all instances together let
	// the statements of any single rank use all slots of the member, but keep the queue of
	// less urgent statements short that a more urgent one has to wait for.
	MaxRunning int
	SlotLimit  [schedule.NumRanks]int
}

const (
	// minOpen is the least value of MaxOpen. It lets an instance run a statement beside
	// an open transaction and a status request to the member. Six instances with three
	// connections each hardly exceed a limit of 16; with a greater value they would
	// exceed it clearly. The connections of instances that lose power count at the
	// upstream for 3 s more, and the instances that replace them need the remaining ones.
	minOpen = 3
	// idleTimeout is short so that instances that replace others find free connections.
	// If there are more instances than connections, it leaves 22 of the 46 connections of
	// a primary idle (at 73 operations a second, in the enlarged colle-avvisi).
	idleTimeout = 300 * time.Millisecond
)

const (
	// minRunning is the least value of MaxRunning. With nine instances and a member with
	// two slots, the queue at the member stays below its limit of 16.
	minRunning = 3
	// gatewayReserveDivisor divides the connection limit; the quotient is the number of
	// connections that gateways leave for commands to the member and for instances whose
	// gateways fail.
	gatewayReserveDivisor = 8
	// gatewayMaxIdle is MaxIdle of a gateway. A member in the larger site files executes
	// 62 statements of 9 ms a second, about 20 for each of three gateways.
	gatewayMaxIdle = 2
	// gatewayQueueLength is the number of statements of each gateway that may wait at the
	// member, beyond those in its slots.
	gatewayQueueLength = 3
	// roundingTolerance keeps products with shares such as 1/9 from falling just short of
	// a whole number or exceeding it.
	roundingTolerance = 1e-9
)

// ForInstance returns the quota of an instance at an upstream with this limit of
// connections and this number of slots, both of which all instances use together. share
// is the instance's share of the demand, from 0 to 1.
func ForInstance(limit, slots int, share float64) Limits {
	own := int(share*float64(limit) + roundingTolerance)
	l := Limits{MaxOpen: min(max(own, minOpen), max(limit, 1)), IdleTimeout: idleTimeout}
	l.MaxRunning, l.SlotLimit = concurrencyLimits(minRunning, slots, share)
	if own >= 1 {
		l.MaxIdle = 1
	}
	return l
}

// ForGateway returns the quota of one of the gateways of a member: the instances that
// connect to it on behalf of all others. limit is the member's limit of connections.
func ForGateway(limit, slots, gateways int) Limits {
	share := 1 / float64(max(gateways, 1))
	own := int(share*float64(limit-limit/gatewayReserveDivisor) + roundingTolerance)
	l := Limits{MaxOpen: min(max(own, minOpen), max(limit, 1)), MaxIdle: gatewayMaxIdle, IdleTimeout: idleTimeout}
	l.MaxRunning, l.SlotLimit = concurrencyLimits(max(minRunning, slots/max(gateways, 1)+gatewayQueueLength), slots, share)
	return l
}

// AtStart returns the quota of a gateway that has just started. Until the upstream has noticed
// that the connections of the instances before a loss of power are gone, they count towards
// its limit, and the gateways that connect first would leave none to the others.
func (l Limits) AtStart() Limits {
	l.MaxOpen = max(l.MaxOpen/2, min(minOpen, l.MaxOpen))
	return l
}

// concurrencyLimits returns MaxRunning, not below the given one, and SlotLimit of an instance
// with this share of the demand. For each slot of the member, all instances together may
// run 1.5 statements of the least urgent rank, and 2 of the middle and the least urgent
// rank.
func concurrencyLimits(maxRunning, slots int, share float64) (int, [schedule.NumRanks]int) {
	shareOf := func(n float64) int { return int(math.Ceil(n*share - roundingTolerance)) }
	least := max(shareOf(1.5*float64(slots)), 1)
	maxRunning = max(maxRunning, least+1)
	middle := min(max(shareOf(2*float64(slots)), least+1), maxRunning)
	return maxRunning, [schedule.NumRanks]int{schedule.Urgent: maxRunning, schedule.Middle: middle, schedule.Least: least}
}
