package route

import (
	"fmt"
	"testing"

	"github.com/papayarail/papayarail/core/failover"
)

// BenchmarkChooseMembers measures the cost by the number of members of a group.
// Configurations allow two or three; nine shows how the cost grows.
func BenchmarkChooseMembers(b *testing.B) {
	for _, n := range []int{2, 3, 9} {
		v := view()
		v.Members = v.Members[:min(n, len(v.Members))]
		for i := len(v.Members); i < n; i++ {
			v.Members = append(v.Members, Member{ID: failover.MemberID(fmt.Sprint("m", i)), FailureDomain: "z", Reachable: true, Applied: at(8)})
		}
		for _, c := range []struct {
			name string
			r    Request
		}{{"strict", Request{}}, {"session", Request{Consistency: Session, Token: at(8)}}, {"write", Request{Class: Write}}} {
			b.Run(fmt.Sprintf("%s/members=%d", c.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := uint32(0); b.Loop(); i++ {
					c.r.TieBreaker = i
					if Choose(c.r, v).Reject != nil {
						b.Fatal("rejected")
					}
				}
			})
		}
	}
}
