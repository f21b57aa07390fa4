// Package catalog defines the immutable snapshots that an instance holds of the
// configuration (routes and services) and of the registered database members. A
// snapshot is never changed, only replaced as a whole.
package catalog

import (
	"maps"
	"time"

	"github.com/papayarail/papayarail/core/storeversion"
)

// Consistency is the guarantee on which writes the reads of a route see.
type Consistency uint8

const (
	// Strict reads see every write acknowledged before them.
	Strict Consistency = iota
	// BoundedStaleness reads see every write acknowledged before them by more
	// than the route's staleness.
	BoundedStaleness
	// ReadYourWrites reads see what BoundedStaleness reads see, and every write of
	// their own session.
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
	// Staleness is the staleness bound of reads; for Strict it is 0.
	Staleness time.Duration
	// Timeout limits one statement, from its arrival to its answer.
	Timeout time.Duration
	// Objective is the response time that the route aims at.
	Objective time.Duration
	// Priority is the scheduling rank of the route's statements; 0 goes first.
	Priority int
	// Open means that callers need no key; they belong to no workspace.
	Open bool
}

// Service is one database group.
type Service struct {
	Name string
	// Connections is the connection limit of each member, over all instances.
	Connections int
	// AcknowledgedBy is the number of replicas that must have received a commit before
	// it is acknowledged.
	AcknowledgedBy int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   map[string]Route // by Database
	Services map[string]Service
	// Workspaces holds the workspaces by name; nil means that callers are not identified.
	// It must not be changed after the first call of WorkspaceOf.
	Workspaces map[string]Workspace
	// TransactionIdle is the time after which an open transaction is rolled back if its
	// caller sends nothing.
	TransactionIdle time.Duration

	keyIndex keyIndex
}

// Equal reports whether two configurations have the same content.
func (c *Config) Equal(other *Config) bool {
	if c == nil || other == nil {
		return c == other
	}
	return c.Version == other.Version && maps.Equal(c.Routes, other.Routes) && maps.Equal(c.Services, other.Services) &&
		c.Identified() == other.Identified() && maps.EqualFunc(c.Workspaces, other.Workspaces, Workspace.Equal) && c.TransactionIdle == other.TransactionIdle
}

// Member is the registration of one database server.
type Member struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int // statements that it executes in parallel
	Draining      bool
	// Primary is the role that the member reports for itself.
	Primary bool
	// Started distinguishes the incarnations of a member that restarts without its log
	// under the same ID.
	Started int64
	// ColdFor is how much longer the member expects to be slow after its start, at the
	// time of the read. It only suggests to raise the load with care: the answers decide.
	ColdFor time.Duration `json:",omitempty"`
}

// SameMember reports whether two registrations are the same. A ColdFor that counts down
// is no change, only its end is: otherwise each read of the store would be passed on to
// all instances and wake all groups.
func SameMember(a, b Member) bool {
	if a.ColdFor > 0 && b.ColdFor > 0 {
		b.ColdFor = a.ColdFor
	}
	return a == b
}

// Members is one snapshot of the registered members, by ID.
type Members map[string]Member

// Snapshot is one consistent read of a table of the platform's store.
type Snapshot[T any] struct {
	Rows map[string]T
	// Version is that of the whole store, and StoreNow its clock at the time of the read.
	Version  storeversion.Version
	StoreNow time.Duration
	// Left names the members whose rows are missing because they have left.
	Left Departures
}

// ConfigCursor is a state of the store: its version, and its clock at that version. A
// configuration read at a cursor, or for which a call that begins at it shows no change, is the
// newest one up to the cursor. The zero value means no state.
type ConfigCursor struct {
	Version  storeversion.Version
	StoreNow time.Duration
}

// Departures names members that have left the group on their own, by ID, with their Started:
// they have ended their registration themselves, and end or have ended. The registration of a
// member that has crashed or is cut off expires instead, which is no departure.
type Departures map[string]int64

// Leaving states for members, by ID, since when they have reported that they leave.
type Leaving map[string]LeavingSince

// LeavingSince is the report of one incarnation of a member that it leaves.
type LeavingSince struct {
	Started int64 `json:"started"`
	// Since is no later than the report, unless the store could not be read then. It is a time
	// of the store or, where stated, of this instance.
	Since time.Duration `json:"since"`
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

// Equal reports whether two snapshots contain the same members; see SameMember.
func (all Members) Equal(other Members) bool { return maps.EqualFunc(all, other, SameMember) }
