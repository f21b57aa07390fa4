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

// BenchmarkTable gives the slopes over the services: a route learned, the
// changes for a quiet probe message, the complete list with its size as JSON,
// and the heap.
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

// BenchmarkChangesAfterStart gives the cost of one message while every route is
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
						t.hot[route(i, 1).Service] = 0
					}
					b.StartTimer()
				}
			}
		})
	}
}
