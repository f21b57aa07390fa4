package placement

import "github.com/cespare/xxhash/v2"

// Table holds the owners of all upstreams and the coordinators of all services
// for one live set, and updates only what a change of that set affects. Its
// answers are those of Owner and Coordinator. It is not safe for concurrent use.
//
// Invariant: the owner of every upstream and the coordinator of every service
// in the table is the one that Owner and Coordinator return for the live set.
type Table struct {
	live      map[string]liveInstance
	upstreams map[string]*assignment
	services  map[string]*assignment
}

type liveInstance struct {
	domain string
	hash   uint64
}

// entry is the current holder of an upstream or of a service.
type assignment struct {
	key       uint64
	domain    string
	anyDomain bool // services have no failure domain
	best      winner
	remote    bool // the holder is in another domain
}

// NewTable returns a Table without instances, upstreams and services.
func NewTable() *Table {
	return &Table{
		live:      make(map[string]liveInstance),
		upstreams: make(map[string]*assignment),
		services:  make(map[string]*assignment),
	}
}

// AddUpstream adds an upstream or changes its failure domain.
func (t *Table) AddUpstream(upstream, domain string) {
	e := &assignment{key: xxhash.Sum64String(upstream), domain: domain}
	t.upstreams[upstream] = e
	t.reassign(e)
}

// RemoveUpstream removes an upstream.
func (t *Table) RemoveUpstream(upstream string) { delete(t.upstreams, upstream) }

// AddService adds a service.
func (t *Table) AddService(service string) {
	e := &assignment{key: xxhash.Sum64String(service), anyDomain: true}
	t.services[service] = e
	t.reassign(e)
}

// RemoveService removes a service.
func (t *Table) RemoveService(service string) { delete(t.services, service) }

// Join adds a live instance. An instance that is already live and has the same
// failure domain changes nothing.
func (t *Table) Join(in Instance) {
	if m, ok := t.live[in.Name]; ok {
		if m.domain == in.FailureDomain {
			return
		}
		t.Leave(in.Name)
	}
	m := liveInstance{domain: in.FailureDomain, hash: xxhash.Sum64String(in.Name)}
	t.live[in.Name] = m
	t.forEachAssignment(func(e *assignment) { e.offer(in.Name, m) })
}

// Leave removes an instance that is dead or leaving. Only what it held moves.
func (t *Table) Leave(name string) {
	if _, ok := t.live[name]; !ok {
		return
	}
	delete(t.live, name)
	t.forEachAssignment(func(e *assignment) {
		if e.best.name == name {
			t.reassign(e)
		}
	})
}

// Owner returns the owner of an upstream in the table.
func (t *Table) Owner(upstream string) (name string, ok bool) {
	return assignedTo(t.upstreams[upstream])
}

// Coordinator returns the coordinator of a service in the table.
func (t *Table) Coordinator(service string) (name string, ok bool) {
	return assignedTo(t.services[service])
}

func assignedTo(e *assignment) (name string, ok bool) {
	if e == nil {
		return "", false
	}
	return e.best.name, e.best.found
}

func (t *Table) forEachAssignment(visit func(*assignment)) {
	for _, e := range t.upstreams {
		visit(e)
	}
	for _, e := range t.services {
		visit(e)
	}
}

func (t *Table) reassign(e *assignment) {
	e.best, e.remote = winner{}, false
	for name, m := range t.live {
		e.offer(name, m)
	}
}

func (e *assignment) offer(name string, m liveInstance) {
	away := !e.anyDomain && m.domain != e.domain
	if e.best.found && e.remote != away {
		if away {
			return
		}
		e.best = winner{}
	}
	e.best.offer(score(e.key, m.hash), name)
	e.remote = away
}
