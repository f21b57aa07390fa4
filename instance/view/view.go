// Package view holds what an instance knows about the fleet: the configuration in
// force, the live instances, the primary of each service, and the resulting placement
// of upstreams and coordinators on instances.
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

// View is an instance's view of the fleet. It is safe for concurrent use.
type View struct {
	self Peer

	mu              sync.RWMutex
	revision        uint64                    // of document
	document        *fleet.Document           // configuration in force; nil before the first one
	services        map[string]*fleet.Service // of document, by name
	upstreamDomains map[string]string         // of document: failure domain by name of upstream
	routes          *routetable.Table
	peers           map[string]Peer
	placement       *placement.Table
	leaving         bool
	changed         chan struct{} // closed at the next change
}

// New returns the view of an instance that knows only itself.
func New(self Peer) *View {
	v := &View{
		self:      self,
		routes:    routetable.New(),
		placement: placement.NewTable(),
		changed:   make(chan struct{}),
	}
	v.placement.Join(placement.Instance{Name: self.Name, FailureDomain: self.FailureDomain})
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

// Changed returns a channel that is closed at the next change of the view.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// notifyChange closes the channel that Changed returns. v.mu must be held.
func (v *View) notifyChange() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Install puts a configuration in force and reports whether it did: a revision that
// is not higher than the one in force is ignored.
func (v *View) Install(revision uint64, d *fleet.Document) bool {
	services, domains := servicesByName(d), domainsOf(d)
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision <= v.revision {
		return false
	}
	v.updatePlacedServices(services)
	v.updatePlacedUpstreams(domains)
	v.revision, v.document, v.services, v.upstreamDomains = revision, d, services, domains
	v.notifyChange()
	return true
}

func servicesByName(d *fleet.Document) map[string]*fleet.Service {
	out := make(map[string]*fleet.Service, len(d.Services))
	for i := range d.Services {
		out[d.Services[i].Name] = &d.Services[i]
	}
	return out
}

// domainsOf returns the failure domain of each upstream.
func domainsOf(d *fleet.Document) map[string]string {
	out := make(map[string]string)
	for _, s := range d.Services {
		for _, db := range s.Databases {
			out[db.Name] = db.FailureDomain
		}
	}
	return out
}

// updatePlacedServices adds the new services to the placement and removes those that
// are gone. It leaves the others, because placing all of 767 services and 2,300
// upstreams on 1,800 instances takes 0.1 s, during which the lock would block all
// requests.
func (v *View) updatePlacedServices(next map[string]*fleet.Service) {
	for name := range v.services {
		if next[name] == nil {
			v.placement.RemoveService(name)
		}
	}
	for name := range next {
		if v.services[name] == nil {
			v.placement.AddService(name)
		}
	}
}

// updatePlacedUpstreams updates the placement of the upstreams that are new, gone or
// in another failure domain.
func (v *View) updatePlacedUpstreams(next map[string]string) {
	for name := range v.upstreamDomains {
		if _, found := next[name]; !found {
			v.placement.RemoveUpstream(name)
		}
	}
	for name, domain := range next {
		if before, found := v.upstreamDomains[name]; !found || before != domain {
			v.placement.AddUpstream(name, domain)
		}
	}
}

// Document returns the configuration in force with its revision; 0 and nil before the
// first one.
func (v *View) Document() (uint64, *fleet.Document) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.revision, v.document
}

// Service returns the named service of the configuration in force.
func (v *View) Service(name string) (*fleet.Service, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, found := v.services[name]
	return s, found
}

// LearnRoute records a route and reports whether it is new. A lower term never
// replaces a higher one.
func (v *View) LearnRoute(r failover.Route) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.routes.Update(r) {
		return false
	}
	v.notifyChange()
	return true
}

// Route returns the known route of a service with the highest term.
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

// RouteGossip returns what to piggyback on one gossip message: the checksum of all
// known routes and recent changes.
func (v *View) RouteGossip() (checksum uint64, changes []failover.Route) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routes.Checksum(), v.routes.NextChanges(len(v.peers))
}

// RouteChecksum returns a checksum of the set of known routes.
func (v *View) RouteChecksum() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.routes.Checksum()
}

// UpdatePeers replaces the set of other live instances and reports whether it differs
// from the previous one.
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
	v.updatePlacedPeers(next)
	v.peers = next
	v.notifyChange()
	return true
}

// updatePlacedPeers updates the placement for a new set of peers. Peers that are
// leaving keep their sessions but own nothing.
func (v *View) updatePlacedPeers(next map[string]Peer) {
	for name := range v.peers {
		if p, found := next[name]; !found || p.Leaving {
			v.placement.Leave(name)
		}
	}
	for _, p := range next {
		if !p.Leaving {
			v.placement.Join(placement.Instance{Name: p.Name, FailureDomain: p.FailureDomain})
		}
	}
}

// Leave marks this instance as leaving and removes it from the placement.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
	v.placement.Leave(v.self.Name)
	v.notifyChange()
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

// LiveByDomain returns the number of live instances in each failure domain, without
// the peers that are leaving.
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

// Owner returns the live instance that owns an upstream, if there is one.
func (v *View) Owner(db *fleet.Database) (owner Peer, found bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	name, found := v.placement.Owner(db.Name)
	if !found {
		return Peer{}, false
	}
	if name == v.self.Name {
		return v.self, true
	}
	owner, found = v.peers[name]
	return owner, found
}

// IsCoordinator reports whether this instance coordinates the failover of a service.
func (v *View) IsCoordinator(service string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	name, found := v.placement.Coordinator(service)
	return found && name == v.self.Name
}
