// Package gateway decides through which instance a statement reaches a member
// of a database group. Where instances outnumber the connections of a member,
// few of them connect to it and run the statements of the others: a connection
// takes 12 ms of a member's slot, and one for each instance would exceed the
// limit. Each failure domain has gateways of its own, so that a statement crosses
// no more links between domains than without. It is a pure state machine; times
// are passed in.
package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayarail/papayarail/core/backoff"
	"github.com/papayarail/papayarail/core/source"
)

const (
	// directConnections is the number of connections of a member for each
	// instance from which all of them connect themselves: one for statements and
	// one for an open transaction.
	directConnections = 2
	// choices is the number of gateways of a member in a failure domain. The
	// second one serves while the first one fails.
	choices = 2
	// spares are further instances that serve while all gateways fail: if 20
	// instances connected themselves instead, they would exceed the limit.
	spares = 2
	// leavingTime is how long a gateway that is leaving is passed over: it is no
	// longer announced after that.
	leavingTime = 10 * time.Second
)

// Picker chooses the gateways for one instance.
type Picker struct {
	self    string
	domain  string
	all     []source.Candidate
	domains int
	orders  map[string][]source.Candidate // by member
	marks   backoff.Tracker               // by instance
}

// New returns a Picker of an instance in a failure domain. Without candidates
// it connects to every member itself.
func New(self, domain string) *Picker {
	return &Picker{self: self, domain: domain, orders: make(map[string][]source.Candidate)}
}

// SetCandidates replaces the announced instances.
func (p *Picker) SetCandidates(all []source.Candidate) {
	p.all = all
	p.orders = make(map[string][]source.Candidate)
	domains := make(map[string]bool)
	for _, c := range all {
		domains[c.FailureDomain] = true
	}
	p.domains = len(domains)
}

// ConnectDirectly reports whether all instances connect to a member with this limit of
// connections themselves.
func (p *Picker) ConnectDirectly(limit int) bool {
	return len(p.all) < 2 || limit >= directConnections*len(p.all)
}

// Domains returns the number of failure domains with instances.
func (p *Picker) Domains() int { return p.domains }

// IsGateway reports whether this instance is a gateway of the member.
func (p *Picker) IsGateway(member string) bool {
	order := p.order(member)
	return slices.ContainsFunc(order[:min(choices, len(order))], func(c source.Candidate) bool { return c.Name == p.self })
}

// Pick returns the gateway for a member. ok is false if this instance connects
// to it itself: it is the first of the gateways that work, or none works.
func (p *Picker) Pick(member string, now time.Duration) (c source.Candidate, ok bool) {
	for _, c := range p.order(member) {
		if c.Name == p.self {
			return source.Candidate{}, false
		}
		if p.marks.Usable(c.Name, now) {
			return c, true
		}
	}
	return source.Candidate{}, false
}

// RecordAnswer takes in an answer of a gateway.
func (p *Picker) RecordAnswer(name string, now time.Duration) {
	// The mark of a gateway that is leaving stays: it still answers.
	if p.marks.Usable(name, now) {
		p.marks.RecordSuccess(name)
	}
}

// RecordFailure takes in that a gateway could not be reached or is silent. It reports
// whether that is new.
func (p *Picker) RecordFailure(name string, now time.Duration) bool {
	if !p.marks.Usable(name, now) {
		return false
	}
	p.marks.RecordFailure(name, now)
	return true
}

// RecordLeaving takes in that a gateway is about to stop. It reports whether that is
// new.
func (p *Picker) RecordLeaving(name string, now time.Duration) bool {
	if !p.marks.Usable(name, now) {
		return false
	}
	p.marks.SuspendUntil(name, now+leavingTime)
	return true
}

// order returns the gateways of a member and the spares, best first.
func (p *Picker) order(member string) []source.Candidate {
	if order, known := p.orders[member]; known {
		return order
	}
	order := make([]source.Candidate, 0, len(p.all))
	for _, c := range p.all {
		if c.FailureDomain == p.domain {
			order = append(order, c)
		}
	}
	slices.SortFunc(order, func(a, b source.Candidate) int {
		return cmp.Or(cmp.Compare(cost(member, a), cost(member, b)), cmp.Compare(a.Name, b.Name))
	})
	order = slices.Clone(order[:min(choices+spares, len(order))])
	p.orders[member] = order
	return order
}

// cost orders the candidates of a member by weighted rendezvous hashing: each
// candidate is first for a part of the members that follows its weight, and a
// change of the candidates moves few members.
func cost(member string, c source.Candidate) float64 {
	hash := xxhash.Sum64String(member + "\x00" + c.Name)
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(unit) / max(c.Weight, minWeight)
}

// minWeight is the weight of a candidate that states none.
const minWeight = 0.01
