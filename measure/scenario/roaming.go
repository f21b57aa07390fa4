package scenario

import (
	"context"
	"fmt"

	"github.com/papayarail/papayarail/measure/figures"
)

// roamingSessions is the number of sessions of each service; with one request
// at a time each, they keep a primary below half of its capacity.
const roamingSessions = 4

// roaming moves each session to another instance after every request.
func roaming(ctx context.Context, s *system, o Options) error {
	var services []string
	for _, service := range s.doc.Services {
		services = append(services, service.Name)
	}
	replica, primary := s.reads()
	results := s.load.RunRoaming(ctx, services, roamingSessions, 2*o.Duration)
	replicaAfter, primaryAfter := s.reads()
	for _, r := range results {
		s.extra(r.Mode.Name+": reads/behind/errors", fmt.Sprintf("%d/%d/%s", r.Reads, r.StaleReads, orNone(figures.FormatCodes(r.Errors))), "", figures.NoTarget)
		s.extra(r.Mode.Name+": read p50/p99/max ms", fmt.Sprintf("%.0f/%.0f/%.0f", r.Latencies.Percentile(50), r.Latencies.Percentile(99), r.Latencies.Percentile(100)), "", figures.NoTarget)
	}
	if n := replicaAfter - replica + primaryAfter - primary; n > 0 {
		share := (replicaAfter - replica) / n
		s.extra("replica share of reads (/metrics)", percent(&share), "", figures.NoTarget)
	}
	return ctx.Err()
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
