package view

import (
	"fmt"
	"slices"
	"testing"

	"github.com/papayarail/papayarail/fleet"
)

// documentOfSize returns a configuration with about that many databases, three to a
// service, and the peers of a fleet with that many instances.
func documentOfSize(databases, instances int) (*fleet.Document, []Peer) {
	domains := []string{"catania", "messina", "siracusa", "lairg", "portree"}
	d := &fleet.Document{}
	for i := range (databases + 2) / 3 {
		s := fleet.Service{Name: fmt.Sprintf("registro-lotti-%d", i)}
		for j := range 3 {
			domain := domains[(i+j)%len(domains)]
			s.Databases = append(s.Databases, fleet.Database{Name: s.Name + "-" + domain, FailureDomain: domain})
		}
		d.Services = append(d.Services, s)
	}
	var peers []Peer
	for i := 1; i < instances; i++ {
		domain := domains[i%len(domains)]
		peers = append(peers, Peer{Name: fmt.Sprintf("%s-%d", domain, i), FailureDomain: domain, Address: fmt.Sprintf("10.0.%d.%d:7432", i/250, i%250)})
	}
	return d, peers
}

// withFirstServiceMoved returns a copy of the document in which the databases of the
// first service are in other failure domains.
func withFirstServiceMoved(d *fleet.Document) *fleet.Document {
	next := *d
	next.Services = slices.Clone(d.Services)
	databases := slices.Clone(d.Services[0].Databases)
	for i := range databases {
		databases[i].FailureDomain = d.Services[0].Databases[(i+1)%len(databases)].FailureDomain
	}
	next.Services[0].Databases = databases
	return &next
}

// BenchmarkView measures a configuration change, a change of the live instances and a
// request at several sizes of the fleet. The first two hold the lock that each request
// needs, the configuration change only for a part of its time. The first configuration
// of an instance is installed when its peers are already known.
func BenchmarkView(b *testing.B) {
	for _, c := range []struct{ databases, instances int }{{9, 6}, {230, 180}, {2300, 1800}} {
		d, peers := documentOfSize(c.databases, c.instances)
		v := New(Peer{Name: "catania-0", FailureDomain: "catania"})
		v.UpdatePeers(peers)
		v.Install(1, d)
		at := fmt.Sprintf("databases=%d,instances=%d", c.databases, c.instances)
		b.Run("install/"+at, func(b *testing.B) {
			b.ReportAllocs()
			revision, _ := v.Document()
			for b.Loop() {
				revision++
				v.Install(revision, d)
			}
		})
		b.Run("install-one-service-moved/"+at, func(b *testing.B) {
			b.ReportAllocs()
			documents := []*fleet.Document{d, withFirstServiceMoved(d)}
			revision, _ := v.Document()
			for b.Loop() {
				revision++
				v.Install(revision, documents[revision%2])
			}
		})
		b.Run("install-first/"+at, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				empty := New(Peer{Name: "catania-0", FailureDomain: "catania"})
				empty.UpdatePeers(peers)
				b.StartTimer()
				empty.Install(1, d)
			}
		})
		b.Run("peer-leaves-and-joins/"+at, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.UpdatePeers(peers[1:])
				v.UpdatePeers(peers)
			}
		})
		b.Run("request/"+at, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s, _ := v.Service(d.Services[i%len(d.Services)].Name)
				v.Route(s.Name)
				for j := range s.Databases {
					v.Owner(&s.Databases[j])
				}
			}
		})
		b.Run("peers/"+at, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.Peers()
			}
		})
	}
}
