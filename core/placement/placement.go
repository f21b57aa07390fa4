// Package placement selects the owner of each upstream and the coordinator of
// each service by rendezvous hashing, so that all instances that see the same
// live set agree without communication.
//
// The scores are computed here and not by github.com/dgryski/go-rendezvous:
// that package returns only the best node, while the preference for a failure
// domain needs scores, and its Remove indexes past the end of its slice.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is a live instance that is not leaving.
type Instance struct {
	Name          string
	FailureDomain string
}

// Owner returns the instance that owns an upstream: the highest-scoring one in
// the upstream's failure domain, or in any other domain if that has none. ok is
// false if live is empty. The result doesn't depend on the order of live.
func Owner(upstream string, domain string, live []Instance) (name string, ok bool) {
	key := xxhash.Sum64String(upstream)
	var home, away best
	for i := range live {
		in := &live[i]
		if in.FailureDomain == domain {
			home.offer(score(key, xxhash.Sum64String(in.Name)), in.Name)
		} else if !home.found {
			away.offer(score(key, xxhash.Sum64String(in.Name)), in.Name)
		}
	}
	if home.found {
		return home.name, true
	}
	return away.name, away.found
}

// PreferenceList returns the names of all live instances in the order in which they
// would own the upstream if those before them left.
func PreferenceList(upstream string, domain string, live []Instance) []string {
	type candidate struct {
		away  bool
		score uint64
		name  string
	}
	key := xxhash.Sum64String(upstream)
	all := make([]candidate, len(live))
	for i, in := range live {
		all[i] = candidate{in.FailureDomain != domain, score(key, xxhash.Sum64String(in.Name)), in.Name}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.away != b.away {
			if b.away {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(all))
	for i, c := range all {
		names[i] = c.name
	}
	return names
}

// Coordinator returns the instance that runs the failover coordinator of a
// service: the highest-scoring one of all failure domains.
func Coordinator(service string, live []Instance) (name string, ok bool) {
	key := xxhash.Sum64String(service)
	var b best
	for i := range live {
		b.offer(score(key, xxhash.Sum64String(live[i].Name)), live[i].Name)
	}
	return b.name, b.found
}

// best keeps the highest score; of equal scores, the smaller name.
type best struct {
	score uint64
	name  string
	found bool
}

func (b *best) offer(score uint64, name string) {
	if !b.found || score > b.score || (score == b.score && name < b.name) {
		*b = best{score: score, name: name, found: true}
	}
}

// score mixes the hashes of a key and of an instance with the finalizer of
// SplitMix64. Hashing both strings together would need one xxhash per pair.
func score(key, instance uint64) uint64 {
	x := key ^ instance
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
