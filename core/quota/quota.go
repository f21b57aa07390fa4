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
	// ByWorkspace means that callers have workspaces: connections serve one workspace
	// each, and idle ones are closed at once if they exceed MaxOpen.
	ByWorkspace bool
	// InitialMaxOpen replaces MaxOpen until the local time FullAt, if that is not zero.
	InitialMaxOpen int
	FullAt         time.Duration
}

// MaxOpenAt returns the maximum number of open connections at the local time now.
func (l Limits) MaxOpenAt(now time.Duration) int {
	if now < l.FullAt {
		return l.InitialMaxOpen
	}
	return l.MaxOpen
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

const (
	// workspaceReserveDivisor divides the connection limit; the quotient is the number of
	// connections that the two gateways of a member leave to others where connections
	// belong to workspaces: one half to a gateway that replaces one of the two, one half to
	// the instances that serve while both fail.
	workspaceReserveDivisor = 4
	// HandoverTime is how long a new gateway uses its part of the reserve only. The
	// connections of an instance that lost power count at the member for 3 s, and
	// instances learn of a change of the gateways within 1 s.
	HandoverTime = 4 * time.Second
	// gatewayExtraRunning is the number of statements beyond the slots that one gateway
	// runs at a member that it serves alone, so that the next one is there when a slot
	// becomes free: a round trip takes 1 ms, a statement 11 to 55 ms. In a tenfold flood of
	// the least rank, one kept the urgent p99 within 1.5 times the calm one (1.38 in a
	// trial), two did not (1.52); see docs/design/order.md.
	gatewayExtraRunning = 1
)

// ForWorkspaceGateway returns the quota of each of the two gateways that run all
// statements of a member in the names of workspaces. The second one runs them only while
// the first one does not, so each may use all slots. fullAt is when the handover to
// this gateway ends; see HandoverTime.
func ForWorkspaceGateway(limit, slots int, fullAt time.Duration) Limits {
	reserve := limit / workspaceReserveDivisor
	l := Limits{MaxOpen: max((limit-reserve)/2, 1), IdleTimeout: idleTimeout, ByWorkspace: true, InitialMaxOpen: max(reserve/2, 1), FullAt: fullAt}
	l.MaxIdle = l.MaxOpen
	least := max(slots, 1)
	l.MaxRunning = least + gatewayExtraRunning
	l.SlotLimit = [schedule.NumRanks]int{schedule.Urgent: l.MaxRunning, schedule.Middle: least + 1, schedule.Least: least}
	return l
}

// ForSpareGateway returns the quota of an instance that runs statements of a member
// only while its gateways fail; spares is the number of instances that do so at once.
func ForSpareGateway(limit, slots, spares int) Limits {
	spares = max(spares, 1)
	reserve := limit / workspaceReserveDivisor
	l := Limits{MaxOpen: max((reserve-reserve/2)/spares, 1), IdleTimeout: idleTimeout, ByWorkspace: true}
	l.MaxRunning, l.SlotLimit = concurrencyLimits(minRunning, slots, 1/float64(spares))
	return l
}

// ForDomainGateway returns the quota of one of two gateways in each of a number of failure
// domains, where callers have workspaces and no instance of the member's domain is left.
// fullAt is as in ForWorkspaceGateway.
func ForDomainGateway(limit, slots, domains int, fullAt time.Duration) Limits {
	l := ForSpareGateway(limit, slots, domains)
	l.InitialMaxOpen, l.FullAt = l.MaxOpen, fullAt
	l.MaxOpen = max((limit-limit/workspaceReserveDivisor)/2/max(domains, 1), 1)
	l.MaxIdle = l.MaxOpen
	return l
}

// WithWorkspaces returns the quota of an instance that connects to the member directly, like
// all others, where callers have workspaces. Half of its connections stay open while they
// are idle, so that they can serve their workspaces again.
func (l Limits) WithWorkspaces() Limits {
	l.ByWorkspace = true
	l.MaxIdle = max(l.MaxIdle, l.MaxOpen/2)
	return l
}
