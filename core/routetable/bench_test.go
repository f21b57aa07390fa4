package routetable

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/papayarail/papayarail/core/failover"
)

func route(i int, term uint64) failover.Route {
	s := fmt.Sprintf("registro-lotti-%d", i)
	return failover.Route{Service: s, Term: term, Primary: failover.MemberID(s + "-messina")}
}

// BenchmarkTable measures by the number of services: the cost of an update, of
// NextChanges without recent changes, and of All with its size as JSON, and the heap
// of the table. It calls NextChanges until no change is left to send.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{3, 767, 2300} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := New()
		for i := range n {
			t.Update(route(i, 1))
		}
		for len(t.NextChanges(1800)) > 0 {
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap := float64(after.HeapAlloc) - float64(before.HeapAlloc)
		b.Run(fmt.Sprintf("learn/services=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			term := uint64(1)
			r := route(0, term)
			for b.Loop() {
				r.Term++
				t.Update(r)
			}
		})
		for len(t.NextChanges(1800)) > 0 {
		}
		b.Run(fmt.Sprintf("changes-quiet/services=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.NextChanges(1800)
			}
		})
		b.Run(fmt.Sprintf("all/services=%d", n), func(b *testing.B) {
			raw, err := json.Marshal(t.All())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				t.All()
			}
			b.ReportMetric(float64(len(raw)), "json-bytes")
			b.ReportMetric(heap, "heap-bytes")
		})
	}
}

// BenchmarkChangesAfterStart measures the cost of one message while every route is
// new, as after a restart of the instance.
func BenchmarkChangesAfterStart(b *testing.B) {
	for _, n := range []int{3, 767, 2300} {
		b.Run(fmt.Sprint("services=", n), func(b *testing.B) {
			t := New()
			for i := range n {
				t.Update(route(i, 1))
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(t.NextChanges(1800)) == 0 {
					b.StopTimer()
					for i := range n {
						t.transmissions[route(i, 1).Service] = 0
					}
					b.StartTimer()
				}
			}
		})
	}
}
