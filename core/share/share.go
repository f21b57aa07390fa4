// Package share decides how many connections to one upstream an instance opens
// and keeps. The upstream's limit holds for all instances together, and no
// instance sees what the others have open, so each keeps to its part. It is a
// pure function of the limit and the number of instances.
package share

import "time"

// Policy is what one instance does with its connections to one upstream.
type Policy struct {
	// Open is the greatest number of open connections.
	Open int
	// Keep is the number of idle connections that stay open.
	Keep int
	// Idle is how long further idle connections stay open.
	Idle time.Duration
}

const (
	// minOpen lets an instance run a statement beside an open transaction and
	// the question for a member's status.
	minOpen = 3
	// burst is the multiple of its part that an instance may open: load is
	// uneven, and most others are below their part.
	burst = 2
	// longIdle is used while every instance can keep a connection. Connections
	// of instances that lost power count at the upstream for 3 s; what bursts
	// have opened must be closed before, or their successors get none.
	longIdle = time.Second
	// shortIdle is used while instances outnumber connections. With 73
	// operations a second on a primary (grown colle-avvisi) it keeps 22 of its
	// 46 connections open and idle.
	shortIdle = 300 * time.Millisecond
)

// For returns the policy for an upstream with a limit, shared by a number of
// instances.
func For(limit, instances int) Policy {
	part := float64(limit) / float64(max(instances, 1))
	p := Policy{Open: max(int(burst*part), minOpen), Keep: 1, Idle: longIdle}
	p.Open = min(p.Open, max(limit, 1))
	if part < 1 {
		p.Keep, p.Idle = 0, shortIdle
	}
	return p
}
