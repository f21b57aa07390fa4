package view

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/placement"
	"github.com/papayarail/papayarail/fleet"
)

// Guards against a placement that keeps the owner of an upstream whose failure domain
// has changed, or services and upstreams that are no longer in the document, and
// against a lookup that returns a service of an earlier document.
func TestInstallUpdatesPlacement(t *testing.T) {
	first, peers := documentOfSize(60, 20)
	live := []placement.Instance{{Name: "catania-0", FailureDomain: "catania"}}
	for _, p := range peers {
		live = append(live, placement.Instance{Name: p.Name, FailureDomain: p.FailureDomain})
	}
	v := New(Peer{Name: "catania-0", FailureDomain: "catania"})
	v.UpdatePeers(peers)
	_, found := v.Service(first.Services[0].Name)
	assert.Assert(t, !found)

	fewer := withFirstServiceMoved(first)
	fewer.Services = fewer.Services[:len(fewer.Services)/2]
	for i, d := range []*fleet.Document{first, withFirstServiceMoved(first), fewer, first} {
		assert.Assert(t, v.Install(uint64(i+1), d))
		assert.Assert(t, !v.Install(uint64(i+1), fewer))
		for j := range first.Services {
			name := first.Services[j].Name
			want, known := d.Service(name)
			s, found := v.Service(name)
			assert.Equal(t, found, known)
			assert.Equal(t, s, want)
			coordinator, found := v.placement.Coordinator(name)
			assert.Equal(t, found, known)
			if !known {
				_, found = v.Owner(&first.Services[j].Databases[0])
				assert.Assert(t, !found)
				continue
			}
			expected, _ := placement.Coordinator(name, live)
			assert.Equal(t, coordinator, expected)
			for k := range s.Databases {
				owner, _ := v.Owner(&s.Databases[k])
				expected, _ = placement.Owner(s.Databases[k].Name, s.Databases[k].FailureDomain, live)
				assert.Equal(t, owner.Name, expected)
			}
		}
	}
}
