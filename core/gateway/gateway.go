// Package gateway selects the instance through which statements reach a member of a
// database group, by weighted rendezvous hashing. If there are too many instances for the
// connection limit of a member, a few gateways connect to it and run the statements of
// the others: opening a connection takes 12 ms of a member's slot, and one connection for
// each instance would exceed the limit. Each failure domain has its own gateways, so that
// a statement does not cross more links between failure domains than without gateways.
//
// Where callers have workspaces, two instances of the member's own failure domain are its
// gateways instead, for the callers of all domains: the connections of a workspace are
// then in one place, and one queue sees all statements of the member. While neither of
// them answers, two instances of the caller's domain serve.
// The package is a pure state machine; times are arguments.
package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayarail/papayarail/core/backoff"
	"github.com/papayarail/papayarail/core/rendezvous"
	"github.com/papayarail/papayarail/core/source"
)

const (
	// directConnectionsPerInstance is the number of connections for each instance, one for
	// statements and one for an open transaction, that the limit of a member must allow
	// for all instances to connect directly.
	directConnectionsPerInstance = 2
	// gatewaysPerDomain is the number of gateways of a member in each failure domain. The
	// second one serves while the first one has failed.
	gatewaysPerDomain = 2
	// spareGateways is the number of further instances that serve while all gateways have
	// failed: if 20 instances connected directly instead, they would exceed the limit.
	spareGateways = 2
	// leavingExclusion is the time for which a gateway that is leaving is not selected. It
	// is no longer announced after that.
	leavingExclusion = 10 * time.Second
	// silenceWindow is the time within which two silent instances of a failure domain show
	// that it is cut off. A silent gateway is recognised in 200 ms, the second one is asked
	// meanwhile.
	silenceWindow = time.Second
	// minRetryAfter is the least retry delay suggested while no gateway is available: the
	// time in which a suspended domain is asked once.
	minRetryAfter = 500 * time.Millisecond
	// startingExclusion is the time for which a gateway is not selected that could not
	// execute a statement because it is still starting. It has made the statement wait
	// before that.
	startingExclusion = 200 * time.Millisecond
)

// Picker selects gateways for the statements of one instance. It is not safe for
// concurrent use.
type Picker struct {
	self        string
	domain      string
	instances   []source.Candidate
	domains     int
	preferences map[member][]source.Candidate       // cached results of preference
	exclusions  backoff.Tracker                     // failed and leaving gateways, by instance
	workspaces  bool                                // callers have workspaces
	roles       map[member]heldRole                 // the roles of this instance, other than NoGateway
	silent      map[string]map[string]time.Duration // by failure domain: instances that were silent since the last answer from there
	suspended   map[string]bool                     // failure domains from which nothing answers
}

// member is a member of a database group with its failure domain.
type member struct{ id, domain string }

// Path is the way of a statement to a member.
type Path uint8

const (
	// Direct means that this instance connects to the member itself.
	Direct Path = iota
	// ViaGateway means that another instance runs the statement.
	ViaGateway
	// Unavailable means that no gateway is available and that this instance must not
	// connect to the member itself. LastResort may name a gateway to try nevertheless.
	Unavailable
)

// Role is what an instance does for a member that not all instances connect to.
type Role uint8

const (
	// NoGateway means that the instance runs no statements of others.
	NoGateway Role = iota
	// DomainGateway means that it is one of the gateways of its own failure domain.
	DomainGateway
	// MemberGateway means that it is one of the two gateways of the member for all failure
	// domains.
	MemberGateway
	// SpareGateway means that it serves its failure domain while the member's two gateways
	// do not.
	SpareGateway
)

// heldRole is a role of this instance and when it took it.
type heldRole struct {
	role  Role
	since time.Duration
}

// New returns a Picker for the instance named self in a failure domain. Before
// SetCandidates, the instance connects to every member directly.
func New(self, domain string) *Picker {
	return &Picker{self: self, domain: domain, preferences: make(map[member][]source.Candidate), roles: make(map[member]heldRole),
		silent: make(map[string]map[string]time.Duration), suspended: make(map[string]bool)}
}

// SetWorkspaces sets whether callers have workspaces, and thereby where the gateways are.
func (p *Picker) SetWorkspaces(on bool) {
	if on != p.workspaces {
		p.workspaces = on
		clear(p.preferences)
	}
}

// Workspaces reports whether callers have workspaces.
func (p *Picker) Workspaces() bool { return p.workspaces }

// SetCandidates replaces the announced instances.
func (p *Picker) SetCandidates(all []source.Candidate) {
	p.instances = all
	clear(p.preferences)
	domains := make(map[string]bool)
	for _, c := range all {
		domains[c.FailureDomain] = true
	}
	p.domains = len(domains)
	for domain := range p.suspended {
		if !domains[domain] {
			delete(p.suspended, domain)
		}
	}
}

// ConnectDirectly reports whether all instances connect directly to a member with this
// limit of connections.
func (p *Picker) ConnectDirectly(limit int) bool {
	return len(p.instances) < 2 || limit >= directConnectionsPerInstance*len(p.instances)
}

// Domains returns the number of failure domains with instances.
func (p *Picker) Domains() int { return p.domains }

// Role returns the role of this instance for a member, and since when it has that role.
func (p *Picker) Role(id, domain string, now time.Duration) (r Role, since time.Duration) {
	m := member{id, domain}
	r = p.role(m)
	if r == NoGateway {
		delete(p.roles, m)
		return r, now
	}
	if held := p.roles[m]; held.role == r {
		return r, held.since
	}
	p.roles[m] = heldRole{r, now}
	return r, now
}

func (p *Picker) role(m member) Role {
	at := slices.IndexFunc(p.preference(m), func(c source.Candidate) bool { return c.Name == p.self })
	switch {
	case at < 0:
		return NoGateway
	case !p.atMember(m) && at < gatewaysPerDomain:
		return DomainGateway
	case !p.atMember(m):
		return NoGateway
	case m.domain == p.domain && at < gatewaysPerDomain:
		return MemberGateway
	default:
		return SpareGateway
	}
}

// atMember reports whether the gateways of the member are in its own failure domain. They
// are in that of each caller if no instance of the member's domain is announced.
func (p *Picker) atMember(m member) bool {
	return p.workspaces && slices.ContainsFunc(p.instances, func(c source.Candidate) bool { return c.FailureDomain == m.domain })
}

// Pick returns the path to a member and, with ViaGateway, the gateway. An instance that is
// neither a gateway of the member nor a spare one never connects to it directly while others
// are: after a start of all instances, all gateways may be excluded for a second, and 91
// instances that connected directly exceeded the limit of every member. Without workspaces,
// Pick returns Direct if no instance of this failure domain is announced.
func (p *Picker) Pick(id, domain string, now time.Duration) (source.Candidate, Path) {
	order := p.preference(member{id, domain})
	for _, c := range order {
		if c.Name == p.self {
			return source.Candidate{}, Direct
		}
		if p.exclusions.Usable(c.Name, now) && !p.suspended[c.FailureDomain] {
			return c, ViaGateway
		}
	}
	if len(order) == 0 && !p.workspaces {
		return source.Candidate{}, Direct
	}
	return source.Candidate{}, Unavailable
}

// RetryAfter returns the time until a gateway of the member may be available again. A
// failure domain from which nothing answers counts as available then.
func (p *Picker) RetryAfter(id, domain string, now time.Duration) time.Duration {
	earliest := now + leavingExclusion
	for _, c := range p.preference(member{id, domain}) {
		earliest = min(earliest, p.exclusions.SuspendedUntil(c.Name))
	}
	return max(earliest-now, minRetryAfter)
}

// RecordSilence records that an instance of another failure domain left a call and a ping
// unanswered. If a second one is silent within silenceWindow and nothing has answered from
// there meanwhile, the whole domain is suspended, until RecordAlive: a caller does not wait
// for each gateway of a domain that is cut off. It reports whether it has suspended the
// domain.
func (p *Picker) RecordSilence(name string, now time.Duration) (domain string, suspended bool) {
	inDomain := 0
	for _, c := range p.instances {
		if c.Name == name {
			domain = c.FailureDomain
		}
	}
	if !p.workspaces || domain == "" || domain == p.domain || p.suspended[domain] {
		return domain, false
	}
	for _, c := range p.instances {
		if c.FailureDomain == domain {
			inDomain++
		}
	}
	if p.silent[domain] == nil {
		p.silent[domain] = make(map[string]time.Duration)
	}
	p.silent[domain][name] = now
	recent := 0
	for _, at := range p.silent[domain] {
		if now-at <= silenceWindow {
			recent++
		}
	}
	if recent < min(2, inDomain) {
		return domain, false
	}
	p.suspended[domain] = true
	return domain, true
}

// RecordAlive records an answer of any instance of a failure domain, which ends the
// suspension of the domain. It reports whether the domain was suspended.
func (p *Picker) RecordAlive(domain string) bool {
	was := p.suspended[domain]
	delete(p.silent, domain)
	delete(p.suspended, domain)
	return was
}

// Suspended reports whether a failure domain is suspended.
func (p *Picker) Suspended(domain string) bool { return p.suspended[domain] }

// Witness returns an instance of a failure domain other than the named one, whose answer
// shows that the domain is not cut off. attempt selects another one with each value. ok is
// false if there is none.
func (p *Picker) Witness(domain, except string, attempt int) (c source.Candidate, ok bool) {
	var others []source.Candidate
	for _, c := range p.instances {
		if c.FailureDomain == domain && c.Name != except {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		return source.Candidate{}, false
	}
	// Each instance begins at another witness.
	start := xxhash.Sum64String(p.self) % uint64(len(others))
	return others[(int(start)+attempt)%len(others)], true
}

// LastResort returns the gateway whose exclusion ends first, and the time of that end, when
// Pick finds no available one. ok is false where callers have workspaces: statements are
// refused there, so that no instance waits for gateways of a domain that is cut off.
func (p *Picker) LastResort(id, domain string) (c source.Candidate, until time.Duration, ok bool) {
	if p.workspaces {
		return source.Candidate{}, 0, false
	}
	for _, candidate := range p.preference(member{id, domain}) {
		if end := p.exclusions.SuspendedUntil(candidate.Name); !ok || end < until {
			c, until, ok = candidate, end, true
		}
	}
	return c, until, ok
}

// RecordLastResortAnswer records an answer of an excluded gateway that is not leaving: it
// works again.
func (p *Picker) RecordLastResortAnswer(name string) { p.exclusions.RecordSuccess(name) }

// RecordStarting excludes a gateway that is still starting, for startingExclusion.
func (p *Picker) RecordStarting(name string, now time.Duration) {
	if p.exclusions.Usable(name, now) {
		p.exclusions.SuspendUntil(name, now+startingExclusion)
	}
}

// RecordAnswer records an answer of a gateway: its next failure excludes it for the
// shortest time again.
func (p *Picker) RecordAnswer(name string, now time.Duration) {
	// A current exclusion stays in force, because a gateway that is leaving still answers.
	if p.exclusions.Usable(name, now) {
		p.exclusions.RecordSuccess(name)
	}
}

// RecordFailure excludes a gateway that could not be reached or did not answer, longer
// with each further failure. It reports whether the gateway was in use before.
func (p *Picker) RecordFailure(name string, now time.Duration) bool {
	if !p.exclusions.Usable(name, now) {
		return false
	}
	p.exclusions.RecordFailure(name, now)
	return true
}

// RecordLeaving excludes, for leavingExclusion, a gateway that is about to stop. It reports
// whether the gateway was in use before.
func (p *Picker) RecordLeaving(name string, now time.Duration) bool {
	if !p.exclusions.Usable(name, now) {
		return false
	}
	p.exclusions.SuspendUntil(name, now+leavingExclusion)
	return true
}

// preference returns the gateways of a member for this instance and the spare ones, in
// the order in which they are tried.
func (p *Picker) preference(m member) []source.Candidate {
	if !p.workspaces {
		m.domain = ""
	}
	if order, known := p.preferences[m]; known {
		return order
	}
	var order []source.Candidate
	switch {
	case !p.atMember(m) || m.domain == p.domain:
		order = p.ranked(m.id, p.domain, gatewaysPerDomain+spareGateways)
	default:
		order = append(p.ranked(m.id, m.domain, gatewaysPerDomain), p.ranked(m.id, p.domain, spareGateways)...)
	}
	p.preferences[m] = order
	return order
}

// ranked returns the first n instances of a failure domain in the order for a member.
func (p *Picker) ranked(id, domain string, n int) []source.Candidate {
	order := make([]source.Candidate, 0, len(p.instances))
	for _, c := range p.instances {
		if c.FailureDomain == domain {
			order = append(order, c)
		}
	}
	return rendezvous.First(id, order, n)
}
