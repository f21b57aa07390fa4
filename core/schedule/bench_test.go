package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAdmitUpstreams gives the slope over the upstreams that a AdmissionController knows.
func BenchmarkAdmitUpstreams(b *testing.B) {
	for _, n := range []int{9, 230, 2300} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			d := NewAdmissionController(rand.New(rand.NewPCG(7, 7)))
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("registro-lotti-%d-messina", i)
				d.RecordLoad(names[i], Load{RefuseFor: [NumRanks]time.Duration{Least: 100 * ms}}, 0)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.Admit(names[i%n], Rank(i%NumRanks), 50*ms)
			}
		})
	}
}
