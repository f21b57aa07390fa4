// Package placement assigns each upstream to an owner and each service to a failover
// coordinator by rendezvous hashing, so that all instances with the same view of the
// live instances agree without communication.
//
// The package computes the scores itself instead of using
// github.com/dgryski/go-rendezvous: that package returns only the best node, while the
// preference for a failure domain needs the scores, and its Remove accesses an index past
// the end of its slice.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is a live instance that is not shutting down.
type Instance struct {
	Name          string
	FailureDomain string
}

// Owner returns the instance that owns an upstream in the given failure domain: the one
// with the highest score in that domain, or in any other if the domain has no instance. ok
// is false if live is empty. The result does not depend on the order of live.
func Owner(upstream string, domain string, live []Instance) (name string, ok bool) {
	upstreamHash := xxhash.Sum64String(upstream)
	var local, remote winner
	for i := range live {
		instance := &live[i]
		if instance.FailureDomain == domain {
			local.offer(score(upstreamHash, xxhash.Sum64String(instance.Name)), instance.Name)
		} else if !local.found {
			remote.offer(score(upstreamHash, xxhash.Sum64String(instance.Name)), instance.Name)
		}
	}
	if local.found {
		return local.name, true
	}
	return remote.name, remote.found
}

// PreferenceList returns the names of all live instances in order of preference: each one
// would own the upstream if those before it left.
func PreferenceList(upstream string, domain string, live []Instance) []string {
	type candidate struct {
		remote bool
		score  uint64
		name   string
	}
	upstreamHash := xxhash.Sum64String(upstream)
	candidates := make([]candidate, len(live))
	for i, instance := range live {
		candidates[i] = candidate{instance.FailureDomain != domain, score(upstreamHash, xxhash.Sum64String(instance.Name)), instance.Name}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.remote != b.remote {
			if b.remote {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = c.name
	}
	return names
}

// Coordinator returns the instance that runs the failover coordinator of a service: the
// one with the highest score in all failure domains. ok is false if live is empty.
func Coordinator(service string, live []Instance) (name string, ok bool) {
	serviceHash := xxhash.Sum64String(service)
	var best winner
	for i := range live {
		best.offer(score(serviceHash, xxhash.Sum64String(live[i].Name)), live[i].Name)
	}
	return best.name, best.found
}

// winner is the instance with the highest score so far; of equal scores, the one with the
// smaller name.
type winner struct {
	score uint64
	name  string
	found bool
}

// offer makes the instance the winner if it precedes the current one.
func (w *winner) offer(score uint64, name string) {
	if !w.found || score > w.score || (score == w.score && name < w.name) {
		*w = winner{score: score, name: name, found: true}
	}
}

// score combines the hashes of a key and of an instance by the finalizer of SplitMix64.
// Hashing the two strings together would need one xxhash per pair.
func score(keyHash, instanceHash uint64) uint64 {
	x := keyHash ^ instanceHash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
