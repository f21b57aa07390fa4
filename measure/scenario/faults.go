package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/papayarail/papayarail/fleet"
	"github.com/papayarail/papayarail/measure/figures"
	"github.com/papayarail/papayarail/standin/dbgroup/fault"
	"github.com/papayarail/papayarail/standin/platformd"
)

const (
	// warmUp is the time under load before the first fault of a phase, and between
	// and after some steps.
	warmUp = 500 * time.Millisecond
	// writeGapTimeout bounds the wait for an acknowledged write after a fault. It is
	// more than twice the target of 3 s.
	writeGapTimeout = 8 * time.Second
	// failoverRounds is the number of times that the primary of each service is killed.
	failoverRounds = 3
	// rejoinDelay is the time for a restarted member to catch up before the next
	// fault, so that a quorum survives that fault.
	rejoinDelay = time.Second
)

// failover kills the primary of each service in turn, in several rounds. A killed
// member restarts with an empty log after the failover. The baseline has no failover:
// its primaries are killed once, all together, and do not restart.
func failover(ctx context.Context, s *system, o Options) error {
	kill := func(ctx context.Context) error {
		if !sleep(ctx, warmUp) {
			return ctx.Err()
		}
		s.generator.SetFaultInjected(true)
		if s.naive {
			return killAllPrimaries(ctx, s, o)
		}
		for round := range failoverRounds {
			if round > 0 && !sleep(ctx, rejoinDelay) {
				return ctx.Err()
			}
			for _, service := range s.doc.Services {
				if err := killPrimary(ctx, s, service.Name); err != nil {
					return err
				}
			}
		}
		sleep(ctx, warmUp)
		return ctx.Err()
	}
	return s.run(ctx, "failover", 0, normalLoad(s.doc), kill)
}

func killAllPrimaries(ctx context.Context, s *system, o Options) error {
	faultTime := time.Now()
	for _, service := range s.doc.Services {
		s.fleet.Members[s.primary(service.Name)].Kill()
	}
	for _, service := range s.doc.Services {
		s.awaitWriteGap(ctx, service.Name, faultTime, o.Duration)
	}
	return ctx.Err()
}

func killPrimary(ctx context.Context, s *system, service string) error {
	primary := s.primary(service)
	faultTime := time.Now()
	s.fleet.Members[primary].Kill()
	s.awaitWriteGap(ctx, service, faultTime, writeGapTimeout)
	return s.fleet.Restart(primary)
}

// partition separates the primary of each service in turn from its replicas. The
// partitioned primary still accepts connections and requests.
func partition(ctx context.Context, s *system, _ Options) error {
	partitionPrimaries := func(ctx context.Context) error {
		if !sleep(ctx, warmUp) {
			return ctx.Err()
		}
		s.generator.SetFaultInjected(true)
		for _, service := range s.doc.Services {
			primary := s.primary(service.Name)
			faultTime := time.Now()
			s.partitionFromReplicas(service, primary)
			s.awaitWriteGap(ctx, service.Name, faultTime, writeGapTimeout)
			if !sleep(ctx, warmUp) {
				return ctx.Err()
			}
			s.fleet.Members[primary].ApplyFaults(fault.Change{Cut: &[]string{}})
		}
		sleep(ctx, rejoinDelay)
		return ctx.Err()
	}
	return s.run(ctx, "partition", 0, normalLoad(s.doc), partitionPrimaries)
}

func (s *system) partitionFromReplicas(service fleet.Service, primary string) {
	var others []string
	for _, db := range service.Databases {
		if db.Name != primary {
			others = append(others, db.Name)
		}
	}
	s.fleet.Members[primary].ApplyFaults(fault.Change{Cut: &others})
}

// platformOutage makes the platform refuse all connections and kills the primary of
// each service during the outage. A revision applied after the outage must come into
// force.
func platformOutage(ctx context.Context, s *system, o Options) error {
	if err := s.fleet.Platform.SetFaults(platformd.Faults{Outage: platformd.OutageRefused}); err != nil {
		return err
	}
	if err := s.run(ctx, "outage", o.Duration, normalLoad(s.doc), nil); err != nil {
		return err
	}
	kill := func(ctx context.Context) error {
		s.generator.SetFaultInjected(true)
		for _, service := range s.doc.Services {
			if err := killPrimary(ctx, s, service.Name); err != nil {
				return err
			}
		}
		if err := s.fleet.Platform.SetFaults(platformd.Faults{}); err != nil {
			return err
		}
		next, err := clone(s.doc)
		if err != nil {
			return err
		}
		next.Services[0].MaxStalenessMS++
		return s.apply(ctx, next)
	}
	return s.run(ctx, "failover", 0, normalLoad(s.doc), kill)
}

// silentLinks stalls the established connections of each database, while new ones
// work, and counts the changes of primary: stalled connections alone must not cause
// one.
func silentLinks(ctx context.Context, s *system, o Options) error {
	if err := s.run(ctx, "quiet", o.Duration/2, normalLoad(s.doc), nil); err != nil {
		return err
	}
	promotions := 0
	stallConnections := func(ctx context.Context) error {
		s.generator.SetFaultInjected(true)
		for _, service := range s.doc.Services {
			primary := s.primary(service.Name)
			term := s.fleet.Members[primary].Status().Term
			for _, db := range service.Databases {
				faultTime := time.Now()
				s.fleet.Members[db.Name].ApplyFaults(fault.Change{Silence: true})
				s.awaitWriteGap(ctx, service.Name, faultTime, writeGapTimeout)
			}
			if !sleep(ctx, rejoinDelay) {
				return ctx.Err()
			}
			for _, db := range service.Databases {
				if s.fleet.Members[db.Name].Status().Term > term {
					promotions++
					break
				}
			}
		}
		return ctx.Err()
	}
	if err := s.run(ctx, "silence", 0, normalLoad(s.doc), stallConnections); err != nil {
		return err
	}
	s.addExtraRow("services with a change of primary after silence", fmt.Sprint(promotions), "0", figures.TargetResult(promotions == 0))
	s.generator.SetFaultInjected(false)
	return s.run(ctx, "after", o.Duration/2, normalLoad(s.doc), nil)
}
