package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAdmitUpstreams gives the slope over the upstreams that a Door knows.
func BenchmarkAdmitUpstreams(b *testing.B) {
	for _, n := range []int{9, 230, 2300} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			d := NewDoor(rand.New(rand.NewPCG(7, 7)))
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("registro-lotti-%d-messina", i)
				d.Update(names[i], Load{RefuseFor: [Ranks]time.Duration{Least: 100 * ms}}, 0)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.Admit(names[i%n], Rank(i%Ranks), 50*ms)
			}
		})
	}
}
