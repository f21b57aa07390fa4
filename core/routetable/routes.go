// Package routetable keeps the primary of each service and decides what of it is
// passed on to peers. NextChanges ride on the probe messages of the membership
// until enough of them have carried it; a sum of all routes shows peers that
// have missed one, which then exchange everything.
package routetable

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/papayarail/papayarail/core/failover"
)

// maxPerMessage bounds the routes that ride on one message.
const maxPerMessage = 8

// Table is not safe for concurrent use.
//
// Invariant: the term of a service's route never decreases.
type Table struct {
	routes map[string]failover.Route
	sum    uint64
	// hot counts the messages that have carried a recent change.
	hot map[string]int
}

// New returns an empty Table.
func New() *Table {
	return &Table{routes: make(map[string]failover.Route), hot: make(map[string]int)}
}

// Update takes in a route and reports whether it is news. An older term, or the
// same one, changes nothing.
func (t *Table) Update(r failover.Route) bool {
	known, found := t.routes[r.Service]
	if found && r.Term <= known.Term {
		return false
	}
	if found {
		t.sum ^= hash(known)
	}
	t.sum ^= hash(r)
	t.routes[r.Service] = r
	t.hot[r.Service] = 0
	return true
}

// Get returns the route of a service.
func (t *Table) Get(service string) (failover.Route, bool) {
	r, found := t.routes[service]
	return r, found
}

// All returns all routes, ordered by service.
func (t *Table) All() []failover.Route {
	out := make([]failover.Route, 0, len(t.routes))
	for _, r := range t.routes {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b failover.Route) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Checksum identifies the content of the table, whatever the order of learning.
func (t *Table) Checksum() uint64 { return t.sum }

// NextChanges returns recent routes for one message to a peer. A change is carried
// by a number of messages that grows with the logarithm of the number of peers.
func (t *Table) NextChanges(peers int) []failover.Route {
	limit := 2 * bits.Len(uint(peers+1))
	var names []string
	for name := range t.hot {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.hot[a], t.hot[b]), cmp.Compare(a, b))
	})
	var out []failover.Route
	for _, name := range names[:min(len(names), maxPerMessage)] {
		out = append(out, t.routes[name])
		t.hot[name]++
		if t.hot[name] >= limit {
			delete(t.hot, name)
		}
	}
	return out
}

func hash(r failover.Route) uint64 {
	return xxhash.Sum64String(r.Service + "\x00" + string(r.Primary) + "\x00" + strconv.FormatUint(r.Term, 10))
}
