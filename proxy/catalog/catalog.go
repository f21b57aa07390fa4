// Package catalog holds what an instance knows of the configuration and of the
// database members: immutable snapshots, replaced as a whole.
package catalog

import (
	"maps"
	"time"
)

// Consistency is what reads of a route must see.
type Consistency uint8

const (
	// Strict reads see every write acknowledged before them.
	Strict Consistency = iota
	// BoundedStaleness reads see every write acknowledged before them by more
	// than the route's staleness.
	BoundedStaleness
	// ReadYourWrites reads see that, and every write of their session.
	ReadYourWrites
)

// String returns the name of the consistency as it appears in logs.
func (c Consistency) String() string {
	return [...]string{"strict", "bounded_staleness", "read_your_writes"}[c]
}

// Route maps a database name that callers use to a service.
type Route struct {
	Name     string
	Database string
	Service  string
	Consistency
	// Staleness is the age that reads accept; for Strict it is 0.
	Staleness time.Duration
	// Timeout bounds the execution of one statement.
	Timeout time.Duration
	// Objective is the time in which callers want an operation answered.
	Objective time.Duration
	// Priority is the rank of the route's work; 0 goes first.
	Priority int
}

// Service is one database group.
type Service struct {
	Name string
	// Connections is the limit of each member over all instances.
	Connections int
	// AcknowledgedBy is the number of replicas that have a commit before it is
	// acknowledged.
	AcknowledgedBy int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   map[string]Route // by Database
	Services map[string]Service
	// TransactionIdle ends transactions whose caller sends nothing for that long.
	TransactionIdle time.Duration
}

// Member is one database as it registered itself.
type Member struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Primary is the role that the member reports for itself.
	Primary bool
	// Started distinguishes two lives of one member under the same ID.
	Started int64
}

// Members is one reading of the members, by ID.
type Members map[string]Member

// Snapshot is one consistent reading of a table of the platform's store.
type Snapshot[T any] struct {
	Rows map[string]T
	// Version is the store's counter over all its changes, StoreNow its clock.
	Version  uint64
	StoreNow time.Duration
}

// ByService returns the members of each service.
func (all Members) ByService() map[string]Members {
	byService := make(map[string]Members)
	for id, m := range all {
		if byService[m.Service] == nil {
			byService[m.Service] = make(Members)
		}
		byService[m.Service][id] = m
	}
	return byService
}

// Equal reports whether two readings show the same members.
func (all Members) Equal(other Members) bool { return maps.Equal(all, other) }
