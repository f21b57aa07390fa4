// Package routetable keeps the route (the primary and its term) of each service and
// selects the routes to gossip to peers. Recent changes are piggybacked on the probe
// messages of the membership protocol a limited number of times. A checksum over all
// routes reveals to a peer that it has missed a change; the two peers then exchange
// their whole tables.
package routetable

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/papayarail/papayarail/core/failover"
)

// maxPerMessage limits the routes piggybacked on one message.
const maxPerMessage = 8

// Table holds the newest known route of each service. It is not safe for
// concurrent use.
//
// Invariant: the term of a service's route never decreases.
type Table struct {
	routes   map[string]failover.Route
	checksum uint64
	// transmissions is the number of messages that have carried the change of a
	// service, for the changes that are still to be sent.
	transmissions map[string]int
}

// New returns an empty Table.
func New() *Table {
	return &Table{routes: make(map[string]failover.Route), transmissions: make(map[string]int)}
}

// Update stores r if its term is later than that of the known route, and reports
// whether it did.
func (t *Table) Update(r failover.Route) bool {
	known, found := t.routes[r.Service]
	if found && r.Term <= known.Term {
		return false
	}
	if found {
		t.checksum ^= hash(known)
	}
	t.checksum ^= hash(r)
	t.routes[r.Service] = r
	t.transmissions[r.Service] = 0
	return true
}

// Get returns the route of a service.
func (t *Table) Get(service string) (failover.Route, bool) {
	r, found := t.routes[service]
	return r, found
}

// All returns all routes, ordered by service.
func (t *Table) All() []failover.Route {
	all := make([]failover.Route, 0, len(t.routes))
	for _, r := range t.routes {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b failover.Route) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// Checksum returns a hash of the content of the table. It does not depend on the
// order of updates.
func (t *Table) Checksum() uint64 { return t.checksum }

// NextChanges returns the recently changed routes to piggyback on the next message
// to a peer, and counts that message. Each change is sent in a number of messages
// that grows with the logarithm of peers, the number of peers.
func (t *Table) NextChanges(peers int) []failover.Route {
	maxTransmissions := 2 * bits.Len(uint(peers+1))
	var services []string
	for service := range t.transmissions {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.transmissions[a], t.transmissions[b]), cmp.Compare(a, b))
	})
	var changes []failover.Route
	for _, service := range services[:min(len(services), maxPerMessage)] {
		changes = append(changes, t.routes[service])
		t.transmissions[service]++
		if t.transmissions[service] >= maxTransmissions {
			delete(t.transmissions, service)
		}
	}
	return changes
}

func hash(r failover.Route) uint64 {
	return xxhash.Sum64String(r.Service + "\x00" + string(r.Primary) + "\x00" + strconv.FormatUint(r.Term, 10))
}
