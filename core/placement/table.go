package placement

import "github.com/cespare/xxhash/v2"

// Table holds the owners of all upstreams and the coordinators of all services, and
// updates only those that a change of the live instances affects. It is not safe for
// concurrent use.
//
// Invariant: the owner of every upstream and the coordinator of every service in the
// table are those that the functions Owner and Coordinator return for the live instances.
type Table struct {
	live      map[string]liveInstance
	upstreams map[string]*assignment
	services  map[string]*assignment
}

type liveInstance struct {
	domain string
	hash   uint64
}

// assignment is the current owner of an upstream or coordinator of a service.
type assignment struct {
	keyHash   uint64 // hash of the name of the upstream or service
	domain    string // failure domain of the upstream
	anyDomain bool   // set for services, which have no failure domain
	best      winner
	remote    bool // best is in another failure domain
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		live:      make(map[string]liveInstance),
		upstreams: make(map[string]*assignment),
		services:  make(map[string]*assignment),
	}
}

// AddUpstream adds an upstream or changes its failure domain.
func (t *Table) AddUpstream(upstream, domain string) {
	a := &assignment{keyHash: xxhash.Sum64String(upstream), domain: domain}
	t.upstreams[upstream] = a
	t.reassign(a)
}

// RemoveUpstream removes an upstream.
func (t *Table) RemoveUpstream(upstream string) { delete(t.upstreams, upstream) }

// AddService adds a service.
func (t *Table) AddService(service string) {
	a := &assignment{keyHash: xxhash.Sum64String(service), anyDomain: true}
	t.services[service] = a
	t.reassign(a)
}

// RemoveService removes a service.
func (t *Table) RemoveService(service string) { delete(t.services, service) }

// Join adds a live instance. An instance that is already live and has the same
// failure domain changes nothing.
func (t *Table) Join(instance Instance) {
	if known, ok := t.live[instance.Name]; ok {
		if known.domain == instance.FailureDomain {
			return
		}
		t.Leave(instance.Name)
	}
	added := liveInstance{domain: instance.FailureDomain, hash: xxhash.Sum64String(instance.Name)}
	t.live[instance.Name] = added
	t.forEachAssignment(func(a *assignment) { a.offer(instance.Name, added) })
}

// Leave removes an instance that has failed or is shutting down. Only the upstreams and
// services assigned to it move.
func (t *Table) Leave(name string) {
	if _, ok := t.live[name]; !ok {
		return
	}
	delete(t.live, name)
	t.forEachAssignment(func(a *assignment) {
		if a.best.name == name {
			t.reassign(a)
		}
	})
}

// Owner returns the owner of an upstream. ok is false if the upstream is unknown or there
// is no live instance.
func (t *Table) Owner(upstream string) (name string, ok bool) {
	return assignedTo(t.upstreams[upstream])
}

// Coordinator returns the coordinator of a service. ok is false if the service is unknown
// or there is no live instance.
func (t *Table) Coordinator(service string) (name string, ok bool) {
	return assignedTo(t.services[service])
}

func assignedTo(a *assignment) (name string, ok bool) {
	if a == nil {
		return "", false
	}
	return a.best.name, a.best.found
}

func (t *Table) forEachAssignment(visit func(*assignment)) {
	for _, a := range t.upstreams {
		visit(a)
	}
	for _, a := range t.services {
		visit(a)
	}
}

// reassign determines the owner or coordinator anew from all live instances.
func (t *Table) reassign(a *assignment) {
	a.best, a.remote = winner{}, false
	for name, instance := range t.live {
		a.offer(name, instance)
	}
}

// offer makes the instance the owner or coordinator if it is preferred to the current one.
func (a *assignment) offer(name string, instance liveInstance) {
	remote := !a.anyDomain && instance.domain != a.domain
	if a.best.found && a.remote != remote {
		if remote {
			return
		}
		a.best = winner{}
	}
	a.best.offer(score(a.keyHash, instance.hash), name)
	a.remote = remote
}
