// Package fleet defines the JSON configuration document of a deployment: its failure
// domains, instances, services and databases. It decodes and validates documents,
// computes the difference between two of them, and validates changes.
package fleet

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of all errors returned by this package.
var Error = errs.Class("fleet")

// State is the administrative state of an instance or a database, set by the
// operators.
type State string

const (
	// Active means that the instance or database receives work.
	Active State = "active"
	// Leaving means that the instance or database receives no new work.
	Leaving State = "leaving"
)

// Rank is the priority class of a request.
type Rank string

const (
	// Urgent is the highest priority, for recall confirmations and tag orders.
	Urgent Rank = "urgent"
	// Middle is the middle priority, for stock moves and lot checks.
	Middle Rank = "middle"
	// Least is the lowest priority, for browsing lookups.
	Least Rank = "least"
)

// AllRanks lists the ranks from the highest priority to the lowest. It must not be
// modified.
var AllRanks = []Rank{Urgent, Middle, Least}

const (
	// ControlConnections is the number of connections to each database that are
	// reserved for monitoring and promotion.
	ControlConnections = 2
	// MinConnections is the smallest permitted connection limit of a database.
	MinConnections = 4
	// MinDatabases and MaxDatabases bound the number of databases of one service.
	MinDatabases = 2
	MaxDatabases = 3
	// MaxFloorPercent bounds the sum of the guaranteed shares of all ranks. The
	// remaining slots, at least half, are assigned by strict priority.
	MaxFloorPercent = 50
)

// Document is the configuration document of one deployment.
type Document struct {
	Deployment     string            `json:"deployment"`
	FailureDomains []string          `json:"failure_domains"`
	Ranks          map[Rank]RankGoal `json:"ranks"`
	Instances      []Instance        `json:"instances"`
	Services       []Service         `json:"services"`
}

// RankGoal holds the response time target and the guaranteed share of a rank.
type RankGoal struct {
	TargetMS     int `json:"target_ms"`     // milliseconds
	FloorPercent int `json:"floor_percent"` // guaranteed share of the slots in percent
}

// Instance is one process of the proxy.
type Instance struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Service is one database group: a primary and its replicas. DependsOn names other
// services; DefaultRank is the rank of requests whose caller sets none.
type Service struct {
	Name           string     `json:"name"`
	DependsOn      []string   `json:"depends_on"`
	DefaultRank    Rank       `json:"default_rank"`
	MaxStalenessMS int        `json:"max_staleness_ms"` // milliseconds; largest staleness bound that callers may request
	Databases      []Database `json:"databases"`
}

// Database is one member of a database group.
type Database struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // IP:port
	FailureDomain string `json:"failure_domain"`
	Connections   int    `json:"connections"` // connection limit, control connections included
	Slots         int    `json:"slots"`       // number of requests that are executed concurrently
	State         State  `json:"state"`
}

// Parse decodes a document. Unknown, repeated or missing keys and data after the
// document are errors. Parse validates only the syntax and the schema; Check also
// validates the semantics.
func Parse(data []byte) (*Document, error) {
	if findings := checkSchema(data); len(findings) > 0 {
		return nil, Error.New("document is malformed: %s", findings[0])
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	doc := &Document{}
	if err := dec.Decode(doc); err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, Error.New("data after the document")
	}
	return doc, nil
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// Database returns the database with the given name and its service.
func (d *Document) Database(name string) (*Service, *Database, bool) {
	for i := range d.Services {
		if db, ok := d.Services[i].Database(name); ok {
			return &d.Services[i], db, true
		}
	}
	return nil, nil, false
}

// Instance returns the instance with the given name.
func (d *Document) Instance(name string) (*Instance, bool) {
	for i := range d.Instances {
		if d.Instances[i].Name == name {
			return &d.Instances[i], true
		}
	}
	return nil, false
}

// Database returns the database of the service with the given name.
func (s *Service) Database(name string) (*Database, bool) {
	for i := range s.Databases {
		if s.Databases[i].Name == name {
			return &s.Databases[i], true
		}
	}
	return nil, false
}

// activeInstances returns the number of active instances in each failure domain.
func (d *Document) activeInstances() map[string]int {
	count := map[string]int{}
	for _, instance := range d.Instances {
		if instance.State == Active {
			count[instance.FailureDomain]++
		}
	}
	return count
}

// databaseDomains returns the set of failure domains that contain databases.
func (d *Document) databaseDomains() map[string]bool {
	domains := map[string]bool{}
	for _, s := range d.Services {
		for _, db := range s.Databases {
			domains[db.FailureDomain] = true
		}
	}
	return domains
}
