package node

import (
	"time"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
)

// takeIn applies what a reading has changed.
func (r *reader) takeIn(c relay.Changes) {
	if c == (relay.Changes{}) {
		return
	}
	r.taking.Lock()
	defer r.taking.Unlock()
	if c.InstancesChanged {
		all := r.state.Instances()
		r.mu.Lock()
		r.moved = r.n.cfg.Clock()
		r.picker.SetCandidates(all)
		r.mu.Unlock()
		r.n.setInstances(all)
	}
	if c.ConfigChanged {
		r.n.apply(r.state.Config())
	}
	if c.MembersRead || c.ConfigChanged || c.InstancesChanged {
		if members, at := r.state.Members(); r.state.HasMembers() {
			r.n.setMembers(members, at.Earliest, c.ConfigChanged || c.InstancesChanged)
		}
	}
	if c.RecordsRead || c.ConfigChanged {
		records, at := r.state.Records()
		for _, g := range r.n.allGroups() {
			record := records[g.Service()]
			record.Service = g.Service()
			g.UpdateRecord(record, at)
		}
	}
}

// setInstances takes in the announced instances.
func (n *Node) setInstances(all []source.Candidate) {
	n.router.SetInstances(all)
	fleet := n.fleetOf(all)
	n.mu.Lock()
	n.fleet = fleet
	n.mu.Unlock()
	for _, g := range n.allGroups() {
		g.SetFleet(fleet)
	}
}

// setMembers gives each group its members as they were read at readAt. Groups
// whose members are the same and complete need no news, unless all is set.
func (n *Node) setMembers(members catalog.Members, readAt time.Duration, all bool) {
	byService := members.ByService()
	groups := n.allGroups()
	for _, g := range groups {
		own := byService[g.Service()]
		if all || g.MembersMissing() || !own.Equal(n.lastMembers[g.Service()]) {
			g.UpdateMembers(own, readAt)
		}
	}
	n.lastMembers = byService
	n.mu.Lock()
	n.membersOK = n.membersOK || len(groups) > 0
	n.mu.Unlock()
}

func (n *Node) changing() bool {
	for _, g := range n.allGroups() {
		if g.PrimaryUncertain() {
			return true
		}
	}
	return false
}

func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}
