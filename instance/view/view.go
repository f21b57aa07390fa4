// Package view holds what an instance knows about the fleet: the configuration
// in force, the live instances, and the primary of each service.
package view

import (
	"maps"
	"sync"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/core/placement"
	"github.com/papayarail/papayarail/core/routetable"
	"github.com/papayarail/papayarail/fleet"
)

// Peer is a live instance.
type Peer struct {
	Name            string `json:"name"`
	FailureDomain   string `json:"failure_domain"`
	Address         string `json:"address"`  // peer address, IP:port
	OperatorAddress string `json:"operator"` // operators' address, IP:port
	Leaving         bool   `json:"leaving,omitempty"`
}

// View is safe for concurrent use.
type View struct {
	self Peer

	mu       sync.RWMutex
	revision uint64
	document *fleet.Document
	services map[string]*fleet.Service // of document, by name
	homes    map[string]string         // failure domain by upstream of document
	routes   *routetable.Table
	peers    map[string]Peer
	owners   *placement.Table
	leaving  bool
	changed  chan struct{}
}

// New returns the view of an instance that knows only itself.
func New(self Peer) *View {
	v := &View{
		self:    self,
		routes:  routetable.New(),
		owners:  placement.NewTable(),
		changed: make(chan struct{}),
	}
	v.owners.Join(placement.Instance{Name: self.Name, FailureDomain: self.FailureDomain})
	return v
}

// Self returns this instance.
func (v *View) Self() Peer {
	v.mu.RLock()
	defer v.mu.RUnlock()
	p := v.self
	p.Leaving = v.leaving
	return p
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Install puts a configuration in force. Revisions only grow; an older one or
// the same one is ignored and reported as false.
func (v *View) Install(revision uint64, d *fleet.Document) bool {
	services, next := index(d), homes(d)
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision <= v.revision {
		return false
	}
	v.placeServices(services)
	v.placeUpstreams(next)
	v.revision, v.document, v.services, v.homes = revision, d, services, next
	v.notify()
	return true
}

func index(d *fleet.Document) map[string]*fleet.Service {
	out := make(map[string]*fleet.Service, len(d.Services))
	for i := range d.Services {
		out[d.Services[i].Name] = &d.Services[i]
	}
	return out
}

// homes returns the failure domain of each upstream.
func homes(d *fleet.Document) map[string]string {
	out := make(map[string]string)
	for _, s := range d.Services {
		for _, db := range s.Databases {
			out[db.Name] = db.FailureDomain
		}
	}
	return out
}

// placeServices updates the placement for the services that differ. Placing all
// of 767 services and 2,300 upstreams among 1,800 instances takes 0.1 s, for
// which the lock would stop all requests.
func (v *View) placeServices(next map[string]*fleet.Service) {
	for name := range v.services {
		if next[name] == nil {
			v.owners.RemoveService(name)
		}
	}
	for name := range next {
		if v.services[name] == nil {
			v.owners.AddService(name)
		}
	}
}

// placeUpstreams updates the placement for the upstreams that differ.
func (v *View) placeUpstreams(next map[string]string) {
	for name := range v.homes {
		if _, found := next[name]; !found {
			v.owners.RemoveUpstream(name)
		}
	}
	for name, domain := range next {
		if before, found := v.homes[name]; !found || before != domain {
			v.owners.AddUpstream(name, domain)
		}
	}
}

// Document returns the configuration in force; nil before the first one.
func (v *View) Document() (uint64, *fleet.Document) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.revision, v.document
}

// Service looks a service up in the configuration in force.
func (v *View) Service(name string) (*fleet.Service, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, found := v.services[name]
	return s, found
}

// LearnRoute takes in a route; a lower term never replaces a higher one. It
// reports whether the route is news.
func (v *View) LearnRoute(r failover.Route) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.routes.Update(r) {
		return false
	}
	v.notify()
	return true
}

// Route returns the newest known route of a service.
func (v *View) Route(service string) (failover.Route, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.routes.Get(service)
}

// Routes returns all known routes.
func (v *View) Routes() []failover.Route {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.routes.All()
}

// RouteGossip returns the sum of all routes and recent changes for one message.
func (v *View) RouteGossip() (sum uint64, changes []failover.Route) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routes.Checksum(), v.routes.NextChanges(len(v.peers))
}

// RouteChecksum identifies the set of known routes.
func (v *View) RouteChecksum() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.routes.Checksum()
}

// UpdatePeers replaces the other live instances and reports whether they differ
// from those known before.
func (v *View) UpdatePeers(peers []Peer) bool {
	next := make(map[string]Peer, len(peers))
	for _, p := range peers {
		if p.Name != v.self.Name {
			next[p.Name] = p
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if maps.Equal(v.peers, next) {
		return false
	}
	v.placePeers(next)
	v.peers = next
	v.notify()
	return true
}

// placePeers updates the placement for a new set of peers. Leaving peers keep
// their sessions but own nothing.
func (v *View) placePeers(next map[string]Peer) {
	for name := range v.peers {
		if p, found := next[name]; !found || p.Leaving {
			v.owners.Leave(name)
		}
	}
	for _, p := range next {
		if !p.Leaving {
			v.owners.Join(placement.Instance{Name: p.Name, FailureDomain: p.FailureDomain})
		}
	}
}

// Leave marks this instance as leaving.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
	v.owners.Leave(v.self.Name)
	v.notify()
}

// Peers returns the other live instances.
func (v *View) Peers() []Peer {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		out = append(out, p)
	}
	return out
}

// LiveByDomain counts the live instances of each failure domain.
func (v *View) LiveByDomain() map[string]int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := map[string]int{v.self.FailureDomain: 1}
	for _, p := range v.peers {
		if !p.Leaving {
			out[p.FailureDomain]++
		}
	}
	return out
}

// Owner returns the instance that owns an upstream.
func (v *View) Owner(db *fleet.Database) (owner Peer, found bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	name, found := v.owners.Owner(db.Name)
	if !found {
		return Peer{}, false
	}
	if name == v.self.Name {
		return v.self, true
	}
	owner, found = v.peers[name]
	return owner, found
}

// IsCoordinator reports whether this instance runs the failover of a service.
func (v *View) IsCoordinator(service string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	name, found := v.owners.Coordinator(service)
	return found && name == v.self.Name
}
