package placement

import (
	"fmt"
	"runtime"
	"testing"
)

// projectedTable returns a table with the numbers of upstreams and services that the
// deployment is projected to have. The name of an upstream may end in another failure domain
// than its own.
func projectedTable(live []Instance) *Table {
	t := NewTable()
	for _, instance := range live {
		t.Join(instance)
	}
	for i := range 2300 {
		t.AddUpstream(fmt.Sprintf("registro-lotti-%d-%s", i/3, domains[i%3]), domains[i%5])
	}
	for i := range 767 {
		t.AddService(fmt.Sprintf("registro-lotti-%d", i))
	}
	return t
}

// BenchmarkTable measures by the number of live instances, with 2,300 upstreams and 767
// services: the assignment of all upstreams and services, one Leave, one Join, and the
// heap that the table occupies.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{9, 360, 1800} {
		live := instances(n)
		b.Run(fmt.Sprintf("place-all/instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t := projectedTable(live)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(t)
			for b.Loop() {
				projectedTable(live)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
		t := projectedTable(live)
		b.Run(fmt.Sprintf("leave/instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				t.Leave(live[i%n].Name)
				b.StopTimer()
				t.Join(live[i%n])
				b.StartTimer()
			}
		})
		b.Run(fmt.Sprintf("join/instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				t.Leave(live[i%n].Name)
				b.StartTimer()
				t.Join(live[i%n])
			}
		})
	}
}
