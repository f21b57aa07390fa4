package placement

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var domains = []string{"catania", "messina", "siracusa", "lairg", "portree"}

func instances(n int) []Instance {
	live := make([]Instance, n)
	for i := range live {
		d := domains[i%len(domains)]
		live[i] = Instance{Name: fmt.Sprintf("%s-%d", d, i), FailureDomain: d}
	}
	return live
}

// Guards against an upstream that moves although its owner stays, and against an owner
// outside the upstream's failure domain while that has an instance.
func TestMinimalMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := instances(rapid.IntRange(2, 40).Draw(t, "n"))
		removed := rapid.IntRange(0, len(live)-1).Draw(t, "gone")
		rest := slices.Delete(slices.Clone(live), removed, removed+1)
		slices.Reverse(rest)
		for i := range 30 {
			up, domain := fmt.Sprint("registro-lotti-", i), domains[i%len(domains)]
			before, ok := Owner(up, domain, live)
			assert.Assert(t, ok)
			after, _ := Owner(up, domain, rest)
			if before != live[removed].Name {
				assert.Equal(t, after, before)
			}
			rank := PreferenceList(up, domain, live)
			assert.Equal(t, rank[0], before)
			assert.Equal(t, slices.DeleteFunc(rank, func(n string) bool { return n == live[removed].Name })[0], after)
			domainHasInstance := slices.ContainsFunc(live, func(instance Instance) bool { return instance.FailureDomain == domain })
			owner := slices.IndexFunc(live, func(instance Instance) bool { return instance.Name == before })
			assert.Equal(t, live[owner].FailureDomain == domain, domainHasInstance)
			coordinatorBefore, _ := Coordinator(up, live)
			coordinatorAfter, _ := Coordinator(up, rest)
			assert.Assert(t, coordinatorBefore == live[removed].Name || coordinatorBefore == coordinatorAfter)
		}
	})
	_, ok := Owner("a", "b", nil)
	assert.Assert(t, !ok)
}

// Guards against an instance that owns far more than its share: 2,300 databases on 360
// instances are 6.4 each, and a random placement stays below 20.
func TestBalance(t *testing.T) {
	live, count := instances(360), map[string]int{}
	for i := range 2300 {
		name, _ := Owner(fmt.Sprintf("registro-lotti-%d-%s", i, domains[i%5]), domains[i%5], live)
		count[name]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	assert.Assert(t, most < 20, "one instance owns %d", most)
	assert.Assert(t, len(count) > 345, "%d instances own something", len(count))
}

// Guards against a table whose incremental updates differ from the direct computation.
func TestTableEqualsDirectComputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, all, live := NewTable(), instances(12), map[string]Instance{}
		for i := range 10 {
			table.AddUpstream(fmt.Sprint("u", i), domains[i%4])
			table.AddService(fmt.Sprint("s", i))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			instance := all[rapid.IntRange(0, 11).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "join") {
				instance.FailureDomain = rapid.SampledFrom(domains).Draw(t, "domain")
				table.Join(instance)
				live[instance.Name] = instance
			} else {
				table.Leave(instance.Name)
				delete(live, instance.Name)
			}
			var list []Instance
			for _, instance := range live {
				list = append(list, instance)
			}
			for i := range 10 {
				want, wantOK := Owner(fmt.Sprint("u", i), domains[i%4], list)
				got, ok := table.Owner(fmt.Sprint("u", i))
				assert.Assert(t, got == want && ok == wantOK, "owner %q, want %q", got, want)
				want, wantOK = Coordinator(fmt.Sprint("s", i), list)
				got, ok = table.Coordinator(fmt.Sprint("s", i))
				assert.Assert(t, got == want && ok == wantOK, "coordinator %q, want %q", got, want)
			}
		}
	})
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{9, 360, 1800} {
		live, table := instances(n), NewTable()
		for i := range 2300 {
			table.AddUpstream(fmt.Sprintf("registro-lotti-%d", i), domains[i%5])
		}
		for _, instance := range live {
			table.Join(instance)
		}
		b.Run(fmt.Sprintf("direct/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Owner("registro-lotti-7", "messina", live)
			}
		})
		b.Run(fmt.Sprintf("table/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Owner("registro-lotti-7")
			}
		})
		b.Run(fmt.Sprintf("table-leave-join/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Leave(live[0].Name)
				table.Join(live[0])
			}
		})
	}
}
