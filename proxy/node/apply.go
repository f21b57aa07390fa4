package node

import (
	"time"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/relay"
)

// applyChanges passes the changed parts of the snapshot on to the node and its groups.
func (r *reader) applyChanges(c relay.Changes) {
	if c == (relay.Changes{}) {
		return
	}
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if c.InstancesChanged {
		all := r.cache.Instances()
		r.mu.Lock()
		r.instancesChangedAt = r.node.cfg.Clock()
		r.picker.SetCandidates(all)
		r.mu.Unlock()
		r.node.setInstances(all)
	}
	if c.ConfigChanged {
		r.node.applyConfig(r.cache.Config())
	}
	if c.MembersRead || c.LeavingChanged || c.ConfigChanged || c.InstancesChanged {
		if members, at := r.cache.Members(); r.cache.HasMembers() {
			r.node.setMembers(members, r.cache.Departures(), r.cache.Leaving(), at.Earliest, c.ConfigChanged || c.InstancesChanged)
		}
	}
	if c.RecordsRead || c.ConfigChanged {
		snapshot := r.cache.Records()
		for _, g := range r.node.allGroups() {
			record, stored := snapshot.Records[g.Service()]
			if !stored {
				record.Version = snapshot.Version.EraStart()
			}
			record.Service = g.Service()
			g.ObserveEra(snapshot.Version.Era(), snapshot.EraSeenAt)
			g.UpdateRecord(record, snapshot.ReadAt)
		}
	}
}

// setInstances updates the router and the groups with the announced instances.
func (n *Node) setInstances(all []source.Candidate) {
	n.router.SetInstances(all)
	n.limiter.SetInstances(all)
	fleet := n.fleetOf(all)
	n.mu.Lock()
	n.fleet = fleet
	n.mu.Unlock()
	for _, g := range n.allGroups() {
		g.SetFleet(fleet)
	}
}

// setMembers passes the members, read at readAt, on to their groups. Groups whose
// members are complete and unchanged are left out unless all is set. reader.applyMu is
// held.
func (n *Node) setMembers(members catalog.Members, left catalog.Departures, leaving catalog.Leaving, readAt time.Duration, all bool) {
	byService := members.ByService()
	groups := n.allGroups()
	for _, g := range groups {
		current := byService[g.Service()]
		g.SetLeaving(leaving)
		if all || g.MembersMissing() || !current.Equal(n.lastMembers[g.Service()]) {
			g.ObserveDepartures(left)
			g.UpdateMembers(current, readAt)
		} else {
			g.ObserveMembersRead(readAt)
		}
	}
	n.lastMembers = byService
	n.mu.Lock()
	if !n.membersApplied && len(groups) > 0 {
		n.membersApplied = true
		close(n.started)
	}
	n.mu.Unlock()
}

// primaryUncertain reports whether the primary of any group is unknown, is being
// replaced or does not answer.
func (n *Node) primaryUncertain() bool {
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
