// Package gateway selects the instance through which statements reach a member of a
// database group, by weighted rendezvous hashing. If there are too many instances for the
// connection limit of a member, a few gateways connect to it and run the statements of
// the others: opening a connection takes 12 ms of a member's slot, and one connection for
// each instance would exceed the limit. Each failure domain has its own gateways, so that
// a statement does not cross more links between failure domains than without gateways.
// The package is a pure state machine; times are arguments.
package gateway

import (
	"slices"
	"time"

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
)

// Picker selects gateways for the statements of one instance. It is not safe for
// concurrent use.
type Picker struct {
	self        string
	domain      string
	instances   []source.Candidate
	domains     int
	preferences map[string][]source.Candidate // cached results of preference, by member
	exclusions  backoff.Tracker               // failed and leaving gateways, by instance
}

// New returns a Picker for the instance named self in a failure domain. Before
// SetCandidates, the instance connects to every member directly.
func New(self, domain string) *Picker {
	return &Picker{self: self, domain: domain, preferences: make(map[string][]source.Candidate)}
}

// SetCandidates replaces the announced instances.
func (p *Picker) SetCandidates(all []source.Candidate) {
	p.instances = all
	p.preferences = make(map[string][]source.Candidate)
	domains := make(map[string]bool)
	for _, c := range all {
		domains[c.FailureDomain] = true
	}
	p.domains = len(domains)
}

// ConnectDirectly reports whether all instances connect directly to a member with this
// limit of connections.
func (p *Picker) ConnectDirectly(limit int) bool {
	return len(p.instances) < 2 || limit >= directConnectionsPerInstance*len(p.instances)
}

// Domains returns the number of failure domains with instances.
func (p *Picker) Domains() int { return p.domains }

// IsGateway reports whether this instance is a gateway of the member.
func (p *Picker) IsGateway(member string) bool {
	order := p.preference(member)
	return slices.ContainsFunc(order[:min(gatewaysPerDomain, len(order))], func(c source.Candidate) bool { return c.Name == p.self })
}

// Pick returns the gateway for a member. ok is false if this instance must connect to the
// member directly: it is the first available gateway, or none is available.
func (p *Picker) Pick(member string, now time.Duration) (c source.Candidate, ok bool) {
	for _, c := range p.preference(member) {
		if c.Name == p.self {
			return source.Candidate{}, false
		}
		if p.exclusions.Usable(c.Name, now) {
			return c, true
		}
	}
	return source.Candidate{}, false
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

// preference returns the gateways of a member in this failure domain and the spare ones,
// in the order in which they are tried.
func (p *Picker) preference(member string) []source.Candidate {
	if order, known := p.preferences[member]; known {
		return order
	}
	order := make([]source.Candidate, 0, len(p.instances))
	for _, c := range p.instances {
		if c.FailureDomain == p.domain {
			order = append(order, c)
		}
	}
	order = rendezvous.First(member, order, gatewaysPerDomain+spareGateways)
	p.preferences[member] = order
	return order
}
