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
	// warmUp precedes the first fault of a phase.
	warmUp = 500 * time.Millisecond
	// gapLimit ends the wait for a write after a fault: more than twice the
	// targeted gap.
	gapLimit = 8 * time.Second
	// failoverRounds is how often each service loses its primary.
	failoverRounds = 3
	// rejoinTime lets a restarted member catch up before the next fault, so
	// that a quorum survives it.
	rejoinTime = time.Second
)

// failover kills the primary of each service in turn, several times. A killed
// member is started again with an empty log after the failover. The baseline
// loses each primary once and for good.
func failover(ctx context.Context, s *system, o Options) error {
	kill := func(ctx context.Context) error {
		if !sleep(ctx, warmUp) {
			return ctx.Err()
		}
		s.load.SetFaultInjected(true)
		if s.naive {
			return killAll(ctx, s, o)
		}
		for round := range failoverRounds {
			if round > 0 && !sleep(ctx, rejoinTime) {
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
	return s.run(ctx, "failover", 0, quiet(s.doc), kill)
}

func killAll(ctx context.Context, s *system, o Options) error {
	at := time.Now()
	for _, service := range s.doc.Services {
		s.fleet.Members[s.primary(service.Name)].Kill()
	}
	for _, service := range s.doc.Services {
		s.addGap(ctx, service.Name, at, o.Duration)
	}
	return ctx.Err()
}

func killPrimary(ctx context.Context, s *system, service string) error {
	primary := s.primary(service)
	at := time.Now()
	s.fleet.Members[primary].Kill()
	s.addGap(ctx, service, at, gapLimit)
	return s.fleet.Restart(primary)
}

// partition cuts the primary of each service in turn from its replicas. The cut
// primary still accepts connections and work.
func partition(ctx context.Context, s *system, _ Options) error {
	cut := func(ctx context.Context) error {
		if !sleep(ctx, warmUp) {
			return ctx.Err()
		}
		s.load.SetFaultInjected(true)
		for _, service := range s.doc.Services {
			primary := s.primary(service.Name)
			at := time.Now()
			s.cutFromPeers(service, primary)
			s.addGap(ctx, service.Name, at, gapLimit)
			if !sleep(ctx, warmUp) {
				return ctx.Err()
			}
			s.fleet.Members[primary].ApplyFaults(fault.Change{Cut: &[]string{}})
		}
		sleep(ctx, rejoinTime)
		return ctx.Err()
	}
	return s.run(ctx, "partition", 0, quiet(s.doc), cut)
}

func (s *system) cutFromPeers(service fleet.Service, primary string) {
	var others []string
	for _, db := range service.Databases {
		if db.Name != primary {
			others = append(others, db.Name)
		}
	}
	s.fleet.Members[primary].ApplyFaults(fault.Change{Cut: &others})
}

// platformOutage refuses all connections to the platform and lets each service
// lose its primary meanwhile. After the outage a new revision must come through.
func platformOutage(ctx context.Context, s *system, o Options) error {
	if err := s.fleet.Platform.SetFaults(platformd.Faults{Outage: platformd.OutageRefused}); err != nil {
		return err
	}
	if err := s.run(ctx, "outage", o.Duration, quiet(s.doc), nil); err != nil {
		return err
	}
	kill := func(ctx context.Context) error {
		s.load.SetFaultInjected(true)
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
	return s.run(ctx, "failover", 0, quiet(s.doc), kill)
}

// silentLinks lets the established connections of each database fall silent
// while new ones work, and counts the changes of primary, which must not
// follow from silence alone.
func silentLinks(ctx context.Context, s *system, o Options) error {
	if err := s.run(ctx, "quiet", o.Duration/2, quiet(s.doc), nil); err != nil {
		return err
	}
	promotions := 0
	silence := func(ctx context.Context) error {
		s.load.SetFaultInjected(true)
		for _, service := range s.doc.Services {
			primary := s.primary(service.Name)
			term := s.fleet.Members[primary].Status().Term
			for _, db := range service.Databases {
				at := time.Now()
				s.fleet.Members[db.Name].ApplyFaults(fault.Change{Silence: true})
				s.addGap(ctx, service.Name, at, gapLimit)
			}
			if !sleep(ctx, rejoinTime) {
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
	if err := s.run(ctx, "silence", 0, quiet(s.doc), silence); err != nil {
		return err
	}
	s.extra("services with a change of primary after silence", fmt.Sprint(promotions), "0", figures.TargetResult(promotions == 0))
	s.load.SetFaultInjected(false)
	return s.run(ctx, "after", o.Duration/2, quiet(s.doc), nil)
}
