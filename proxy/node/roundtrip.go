package node

import (
	"context"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/boottime"
)

const (
	// roundTripInterval is the interval between measurements of the round trips to the other
	// failure domains: with six domains, one small call every 2 s for each instance, however
	// many instances there are.
	roundTripInterval = 10 * time.Second
	// roundTripSamples is the number of measurements of which the least counts. Others were
	// delayed by the scheduler of a machine that shares its processor.
	roundTripSamples = 4
	// measuredDomains bounds the failure domains that are measured.
	measuredDomains = 16
)

// roundTrips holds the latest round trips to instances of other failure domains. It is safe
// for concurrent use.
type roundTrips struct {
	mu      sync.Mutex
	samples map[string][]time.Duration // by failure domain
}

// add records a measurement.
func (r *roundTrips) add(domain string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.samples == nil {
		r.samples = make(map[string][]time.Duration)
	}
	all := append(r.samples[domain], d)
	r.samples[domain] = all[max(len(all)-roundTripSamples, 0):]
}

// get returns the least of the latest round trips to a failure domain, or 0 if none is known.
func (r *roundTrips) get(domain string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var least time.Duration
	for i, d := range r.samples[domain] {
		if i == 0 || d < least {
			least = d
		}
	}
	return least
}

// measureRoundTrips measures the round trips to the other failure domains until ctx ends, in
// deployments of more than askOutsideAbove instances. Smaller ones use the constant cost of
// core/replicaselect.
func (n *Node) measureRoundTrips(ctx context.Context) {
	// The first measurement does not add to the load of a start.
	boottime.Sleep(ctx, roundTripInterval/2)
	for ctx.Err() == nil {
		n.mu.Lock()
		fleet := n.fleet
		n.mu.Unlock()
		if fleet.Size() > askOutsideAbove {
			for _, c := range fleet.Outside(n.cfg.Settings.FailureDomain, measuredDomains) {
				n.measureRoundTrip(ctx, c)
			}
		}
		boottime.Sleep(ctx, roundTripInterval)
	}
}

// measureRoundTrip measures the round trip to the failure domain of an instance.
func (n *Node) measureRoundTrip(ctx context.Context, c source.Candidate) {
	// The first call may open a connection, which takes another round trip.
	if !n.router.Ping(ctx, c) {
		return
	}
	sentAt := n.cfg.Clock()
	if n.router.Ping(ctx, c) {
		n.roundTrips.add(c.FailureDomain, n.cfg.Clock()-sentAt)
	}
}
