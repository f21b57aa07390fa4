package fleet

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
)

// generateDocument returns a valid document with the given numbers of databases, two
// or three to a service, and of instances.
func generateDocument(databases, instances int) []byte {
	domains := []string{"catania", "messina", "siracusa", "lairg", "portree"}
	doc := Document{Deployment: "colle-trinacria-adesivi", FailureDomains: domains, Ranks: map[Rank]RankGoal{
		Urgent: {TargetMS: 500}, Middle: {TargetMS: 1000, FloorPercent: 10}, Least: {TargetMS: 2000, FloorPercent: 2}}}
	for i := range max(instances, len(domains)) {
		domain := domains[i%len(domains)]
		doc.Instances = append(doc.Instances, Instance{Name: fmt.Sprintf("%s-%d", domain, i), FailureDomain: domain, State: Active})
	}
	for i := range databases {
		if i%MaxDatabases == 0 && databases-i >= MinDatabases {
			doc.Services = append(doc.Services, Service{Name: fmt.Sprintf("registro-lotti-%d", i/3), DependsOn: []string{}, DefaultRank: Middle, MaxStalenessMS: 5000})
		}
		service := &doc.Services[len(doc.Services)-1]
		if len(service.Databases) == MaxDatabases {
			break // a single database left over cannot be a service
		}
		domain := domains[(i/3+i%3)%len(domains)]
		service.Databases = append(service.Databases, Database{Name: service.Name + "-" + domain, Address: fmt.Sprintf("10.1.%d.%d:5432", i/250, i%250),
			FailureDomain: domain, Connections: 15, Slots: 2, State: Active})
	}
	raw, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		panic(err)
	}
	return raw
}

// BenchmarkDocument measures Parse, Check and Document.Service for fleets of different
// size, and reports the document's size and the heap that it occupies after Parse.
func BenchmarkDocument(b *testing.B) {
	for _, c := range []struct{ databases, instances int }{{9, 6}, {230, 180}, {2300, 1800}} {
		raw := generateDocument(c.databases, c.instances)
		if findings := Check(raw); len(findings) > 0 {
			b.Fatal(findings)
		}
		size := fmt.Sprintf("databases=%d,instances=%d", c.databases, c.instances)
		b.Run("parse/"+size, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			doc, err := Parse(raw)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(doc)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				if _, err := Parse(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			b.ReportMetric(float64(len(raw)), "document-bytes")
		})
		b.Run("check/"+size, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Check(raw)
			}
		})
		doc, err := Parse(raw)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("service/"+size, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				doc.Service(doc.Services[i%len(doc.Services)].Name)
			}
		})
	}
}
