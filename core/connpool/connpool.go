// Package connpool decides how one instance uses its connections to one member. A
// connection is opened in the name of a workspace and serves only that workspace, so the
// pool decides which idle connection serves a request, when one is opened, which idle
// connection of another workspace is closed to open it, and who waits. Opening a
// connection takes 12 ms of a member's slot.
//
// The package is a pure state machine: events and times are arguments, actions are
// results. A Pool is not safe for concurrent use.
package connpool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/papayarail/papayarail/core/quota"
)

const (
	// maxBypass is how long a request may be passed over in favour of later ones of the
	// workspace that a returned connection belongs to. It is about the cost of two new
	// connections: a shorter time closes connections that are needed again at once.
	maxBypass = 25 * time.Millisecond
	// demandDecay is the time constant of the demand of a workspace. The smallest of 86
	// workspaces sends a statement to a member every 6 s.
	demandDecay = 5 * time.Second
	// refusalMemory is how long the pool does not grow after the member has refused a
	// connection because of its limit: a connection of an instance that lost power counts
	// there for 3 s. It only replaces connections during that time.
	refusalMemory = time.Second
)

// Request asks for a connection.
type Request struct {
	ID uint64
	// Workspace is the workspace of the connection; empty for callers without one.
	Workspace string
	// AnyWorkspace means that a connection of any workspace serves the request: it is a
	// control command.
	AnyWorkspace bool
	// Since is when the request first asked. Requests that ask again keep their turn.
	Since time.Duration
	// Match returns how well the session state of an idle connection fits; the highest
	// value is preferred. nil means that all fit equally.
	Match func(conn uint64) int
}

// Grant lets a request use a connection: an idle one, or one that the request opens.
type Grant struct {
	Request uint64
	// Conn is the connection to use. It is 0 if the request has to open one and to report
	// the result by Opened, OpenFailed or OpenRefused.
	Conn uint64
	// Replaced is the connection of another workspace that must be closed before the new
	// one is opened; 0 if none.
	Replaced uint64
}

// Stats counts decisions since the pool was created.
type Stats struct {
	Opened   uint64 // connections that were to be opened
	Replaced uint64 // connections closed to open one for another workspace
	Waited   uint64 // requests that had to wait
}

type conn struct {
	id        uint64
	workspace string
	lastUsed  time.Duration
}

// workspace is what the pool knows of a workspace that has connections or a demand.
type workspace struct {
	open     int // idle, in use and being opened
	demand   float64
	demandAt time.Duration
}

// Pool is the state of the connections of one instance to one member.
type Pool struct {
	limits     quota.Limits
	idle       []conn // in the order of their last use
	used       map[uint64]conn
	opening    map[uint64]string // workspaces of connections that are being opened, by request
	waiting    []Request         // by Since
	workspaces map[string]*workspace

	noOpenBefore time.Duration // end of the backoff after a refusal
	ceiling      int           // number of connections that the member accepted at the last refusal
	ceilingUntil time.Duration
	stats        Stats
}

// New returns a Pool without connections.
func New(l quota.Limits) *Pool {
	return &Pool{limits: l, used: make(map[uint64]conn), opening: make(map[uint64]string), workspaces: make(map[string]*workspace)}
}

// Open returns the number of connections that are open or being opened.
func (p *Pool) Open() int { return len(p.idle) + len(p.used) + len(p.opening) }

// Idle returns the number of idle connections.
func (p *Pool) Idle() int { return len(p.idle) }

// Opening returns the number of connections that are being opened.
func (p *Pool) Opening() int { return len(p.opening) }

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int { return len(p.waiting) }

// NoOpenBefore returns the end of the backoff after the last refusal.
func (p *Pool) NoOpenBefore() time.Duration { return p.noOpenBefore }

// Stats returns the decisions so far.
func (p *Pool) Stats() Stats { return p.stats }

// OpenByWorkspace returns the number of connections of each workspace.
func (p *Pool) OpenByWorkspace() map[string]int {
	all := make(map[string]int)
	for name, w := range p.workspaces {
		if w.open > 0 {
			all[name] = w.open
		}
	}
	return all
}

// maxOpen returns the limit of connections at now.
func (p *Pool) maxOpen(now time.Duration) int {
	limit := p.limits.MaxOpenAt(now)
	if p.limits.ByWorkspace && now < p.ceilingUntil {
		limit = min(limit, max(p.ceiling, 1))
	}
	return limit
}

// Request adds a request. The grants contain one for the request unless it has to wait.
// A waiting request should be cancelled and repeated at retryAt, when it may open a
// connection although none was returned; 0 means that no such time is known.
func (p *Pool) Request(r Request, now time.Duration) (grants []Grant, retryAt time.Duration) {
	at, _ := slices.BinarySearchFunc(p.waiting, r, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.ID, b.ID))
	})
	p.waiting = slices.Insert(p.waiting, at, r)
	if r.Since == now && !r.AnyWorkspace {
		p.addDemand(r.Workspace, now)
	}
	grants = p.assign(now)
	if slices.ContainsFunc(p.waiting, func(w Request) bool { return w.ID == r.ID }) {
		if r.Since == now {
			p.stats.Waited++
		}
		return grants, p.retryAt(now)
	}
	return grants, 0
}

// retryAt returns when a waiting request may open a connection because of the time alone.
func (p *Pool) retryAt(now time.Duration) time.Duration {
	switch {
	case p.noOpenBefore > now:
		return p.noOpenBefore
	case p.limits.ByWorkspace && now < p.ceilingUntil && p.Open() < p.limits.MaxOpenAt(now):
		return p.ceilingUntil
	case now < p.limits.FullAt && p.Open() < p.limits.MaxOpen:
		return p.limits.FullAt
	default:
		return 0
	}
}

// Cancel removes a waiting request.
func (p *Pool) Cancel(request uint64) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w Request) bool { return w.ID == request })
}

// ForceOpen counts a connection without a workspace that a request opens in addition to
// the limit.
func (p *Pool) ForceOpen(request uint64) { p.startOpening(request, "") }

// Opened records that a request has opened its connection and uses it.
func (p *Pool) Opened(request, id uint64) {
	p.used[id] = conn{id: id, workspace: p.opening[request]}
	delete(p.opening, request)
}

// OpenFailed records that a request could not open its connection.
func (p *Pool) OpenFailed(request uint64, now time.Duration) []Grant {
	p.endOpening(request)
	return p.assign(now)
}

// OpenRefused records that the member refused a connection because of its connection
// limit. No connection is opened before the given time.
func (p *Pool) OpenRefused(request uint64, noOpenBefore, now time.Duration) {
	p.endOpening(request)
	p.noOpenBefore = noOpenBefore
	p.ceiling, p.ceilingUntil = p.Open(), max(noOpenBefore, now)+refusalMemory
}

// Return records that a request no longer uses a connection. It is closed if surplus is
// set: the limit has been lowered.
func (p *Pool) Return(id uint64, now time.Duration) (grants []Grant, surplus bool) {
	c := p.used[id]
	if p.limits.ByWorkspace && p.Open() > p.limits.MaxOpenAt(now) {
		return p.Discard(id, now), true
	}
	delete(p.used, id)
	c.lastUsed = now
	p.idle = append(p.idle, c)
	return p.assign(now), false
}

// Discard records that a connection in use was closed.
func (p *Pool) Discard(id uint64, now time.Duration) []Grant {
	c := p.used[id]
	delete(p.used, id)
	p.workspaces[c.workspace].open--
	return p.assign(now)
}

// SetLimits replaces the limits. The idle connections in closed exceed them.
func (p *Pool) SetLimits(l quota.Limits, now time.Duration) (grants []Grant, closed []uint64) {
	p.limits = l
	for l.ByWorkspace && p.Open() > l.MaxOpenAt(now) && len(p.idle) > 0 {
		closed = append(closed, p.removeIdle(p.leastUseful("", true, now)).id)
	}
	return p.assign(now), closed
}

// CloseIdle returns the idle connections above MaxIdle that were not used for IdleTimeout
// and are to be closed.
func (p *Pool) CloseIdle(now time.Duration) (closed []uint64) {
	for len(p.idle) > p.limits.MaxIdle && now-p.idle[0].lastUsed > p.limits.IdleTimeout {
		closed = append(closed, p.removeIdle(0).id)
	}
	p.forgetWorkspaces(now)
	return closed
}

// CloseAllIdle returns all idle connections, which are to be closed.
func (p *Pool) CloseAllIdle() (closed []uint64) {
	for len(p.idle) > 0 {
		closed = append(closed, p.removeIdle(0).id)
	}
	return closed
}

// assign serves waiting requests as long as that is possible.
func (p *Pool) assign(now time.Duration) (grants []Grant) {
	for {
		g, ok := p.next(now)
		if !ok {
			return grants
		}
		grants = append(grants, g)
	}
}

// next serves one waiting request: the first one that can be served. If that would close
// the connection of another workspace, a later request of that workspace uses it instead
// while the first one has waited for less than maxBypass.
func (p *Pool) next(now time.Duration) (Grant, bool) {
	mayOpen := now >= p.noOpenBefore
	for i, r := range p.waiting {
		if at := p.bestIdle(r); at >= 0 {
			return p.useIdle(i, at), true
		}
		if mayOpen && p.Open() < p.maxOpen(now) {
			return p.open(i, 0), true
		}
		if !mayOpen || !p.limits.ByWorkspace || p.Open() > p.maxOpen(now) {
			continue
		}
		at := p.leastUseful(r.Workspace, false, now)
		if at < 0 {
			continue
		}
		if now-r.Since < maxBypass {
			for j, other := range p.waiting[i+1:] {
				if own := p.bestIdle(other); own >= 0 {
					return p.useIdle(i+1+j, own), true
				}
			}
		}
		return p.open(i, p.replace(at)), true
	}
	return Grant{}, false
}

// useIdle grants an idle connection to a waiting request.
func (p *Pool) useIdle(request, at int) Grant {
	r := p.waiting[request]
	p.waiting = slices.Delete(p.waiting, request, request+1)
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	p.used[c.id] = c
	return Grant{Request: r.ID, Conn: c.id}
}

// open lets a waiting request open a connection.
func (p *Pool) open(request int, replaced uint64) Grant {
	r := p.waiting[request]
	p.waiting = slices.Delete(p.waiting, request, request+1)
	p.startOpening(r.ID, r.Workspace)
	return Grant{Request: r.ID, Replaced: replaced}
}

// replace removes an idle connection that makes room for one of another workspace.
func (p *Pool) replace(at int) uint64 {
	p.stats.Replaced++
	return p.removeIdle(at).id
}

func (p *Pool) startOpening(request uint64, name string) {
	p.stats.Opened++
	p.opening[request] = name
	p.workspace(name).open++
}

func (p *Pool) endOpening(request uint64) {
	p.workspaces[p.opening[request]].open--
	delete(p.opening, request)
}

func (p *Pool) removeIdle(at int) conn {
	c := p.idle[at]
	p.idle = slices.Delete(p.idle, at, at+1)
	p.workspaces[c.workspace].open--
	return c
}

// bestIdle returns the index of the idle connection that serves the request, or -1. A
// connection of the request's own workspace comes first, then the best match, then the
// most recently used one.
func (p *Pool) bestIdle(r Request) int {
	best, bestOwn, bestMatch := -1, false, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		own := p.idle[i].workspace == r.Workspace
		if !own && !r.AnyWorkspace {
			continue
		}
		match := 0
		if r.Match != nil {
			match = r.Match(p.idle[i].id)
		}
		if best < 0 || own && !bestOwn || own == bestOwn && match > bestMatch {
			best, bestOwn, bestMatch = i, own, match
		}
	}
	return best
}

// leastUseful returns the index of the idle connection that is least likely to be needed
// soon, or -1: each further idle connection of a workspace counts half as much of its
// demand as the one used after it. Those of the workspace except are left out unless all
// is set.
func (p *Pool) leastUseful(except string, all bool, now time.Duration) int {
	best, least := -1, math.Inf(1)
	later := make(map[string]int) // idle connections of a workspace that were used later
	for i := len(p.idle) - 1; i >= 0; i-- {
		name := p.idle[i].workspace
		useful := p.demand(name, now) * math.Pow(0.5, float64(later[name]))
		later[name]++
		if (all || name != except) && useful <= least {
			best, least = i, useful
		}
	}
	return best
}

func (p *Pool) workspace(name string) *workspace {
	w := p.workspaces[name]
	if w == nil {
		w = &workspace{}
		p.workspaces[name] = w
	}
	return w
}

// addDemand counts a request of a workspace.
func (p *Pool) addDemand(name string, now time.Duration) {
	w := p.workspace(name)
	w.demand, w.demandAt = p.demand(name, now)+1, now
}

// demand returns the number of recent requests of a workspace, which decays over time.
func (p *Pool) demand(name string, now time.Duration) float64 {
	w := p.workspaces[name]
	return w.demand * math.Exp(-float64(now-w.demandAt)/float64(demandDecay))
}

// forgetWorkspaces removes the workspaces without connections and without recent demand.
func (p *Pool) forgetWorkspaces(now time.Duration) {
	for name, w := range p.workspaces {
		if w.open == 0 && now-w.demandAt > 10*demandDecay {
			delete(p.workspaces, name)
		}
	}
}
