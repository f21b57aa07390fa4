package placement

import "github.com/cespare/xxhash/v2"

// Table holds the owners of all upstreams and the coordinators of all services
// for one live set, and updates only what a change of that set affects. Its
// answers are those of Owner and Coordinator. It is not safe for concurrent use.
//
// Invariant: the owner of every upstream and the coordinator of every service
// in the table is the one that Owner and Coordinator return for the live set.
type Table struct {
	live      map[string]member
	upstreams map[string]*entry
	services  map[string]*entry
}

type member struct {
	domain string
	hash   uint64
}

// entry is the current holder of an upstream or of a service.
type entry struct {
	key      uint64
	domain   string
	anywhere bool // services have no failure domain
	best     best
	away     bool // the holder is in another domain
}

// NewTable returns a Table without instances, upstreams and services.
func NewTable() *Table {
	return &Table{
		live:      make(map[string]member),
		upstreams: make(map[string]*entry),
		services:  make(map[string]*entry),
	}
}

// AddUpstream adds an upstream or changes its failure domain.
func (t *Table) AddUpstream(upstream, domain string) {
	e := &entry{key: xxhash.Sum64String(upstream), domain: domain}
	t.upstreams[upstream] = e
	t.recompute(e)
}

// RemoveUpstream removes an upstream.
func (t *Table) RemoveUpstream(upstream string) { delete(t.upstreams, upstream) }

// AddService adds a service.
func (t *Table) AddService(service string) {
	e := &entry{key: xxhash.Sum64String(service), anywhere: true}
	t.services[service] = e
	t.recompute(e)
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
	m := member{domain: in.FailureDomain, hash: xxhash.Sum64String(in.Name)}
	t.live[in.Name] = m
	t.each(func(e *entry) { e.offer(in.Name, m) })
}

// Leave removes an instance that is dead or leaving. Only what it held moves.
func (t *Table) Leave(name string) {
	if _, ok := t.live[name]; !ok {
		return
	}
	delete(t.live, name)
	t.each(func(e *entry) {
		if e.best.name == name {
			t.recompute(e)
		}
	})
}

// Owner returns the owner of an upstream in the table.
func (t *Table) Owner(upstream string) (name string, ok bool) { return holder(t.upstreams[upstream]) }

// Coordinator returns the coordinator of a service in the table.
func (t *Table) Coordinator(service string) (name string, ok bool) {
	return holder(t.services[service])
}

func holder(e *entry) (name string, ok bool) {
	if e == nil {
		return "", false
	}
	return e.best.name, e.best.found
}

func (t *Table) each(visit func(*entry)) {
	for _, e := range t.upstreams {
		visit(e)
	}
	for _, e := range t.services {
		visit(e)
	}
}

func (t *Table) recompute(e *entry) {
	e.best, e.away = best{}, false
	for name, m := range t.live {
		e.offer(name, m)
	}
}

func (e *entry) offer(name string, m member) {
	away := !e.anywhere && m.domain != e.domain
	if e.best.found && e.away != away {
		if away {
			return
		}
		e.best = best{}
	}
	e.best.offer(score(e.key, m.hash), name)
	e.away = away
}
