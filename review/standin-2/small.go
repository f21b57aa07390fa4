package main

import (
	"errors"
	"time"
)

var zones = []string{"catania", "messina", "siracusa"}

// startSmall starts the store, a cluster and two machines in each zone, and waits until they
// serve.
func startSmall(rec *record, connections int) (*fleet, *store, error) {
	s := newStore()
	f, err := newFleet(s, zones)
	if err != nil {
		return nil, nil, err
	}
	s.put("op", "config", newConfig(7, connections))
	if _, err := startCluster(s, rec, zones, connections, f.host); err != nil {
		return f, s, err
	}
	for _, zone := range []string{"catania", "messina", "siracusa", "catania", "messina", "siracusa"} {
		if _, err := f.start(zone); err != nil {
			return f, s, err
		}
	}
	if !f.awaitReady(15 * time.Second) {
		return f, s, errors.New("the machines did not become ready")
	}
	time.Sleep(5 * time.Second) // the primary is learned and recorded
	return f, s, nil
}
