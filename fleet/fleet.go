// Package fleet defines the operators' document: the failure domains,
// instances, services and databases of one deployment. The package decodes the
// document, lists everything that is wrong with it, and compares two versions.
package fleet

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of all errors returned by this package.
var Error = errs.Class("fleet")

// State is the operators' intent for an instance or a database.
type State string

const (
	// Active is the state of a member that receives work.
	Active State = "active"
	// Leaving is the state of a member that receives no new work.
	Leaving State = "leaving"
)

// Rank is the urgency of a request.
type Rank string

const (
	// Urgent is the rank of recall confirmations and tag orders.
	Urgent Rank = "urgent"
	// Middle is the rank of stock moves and lot checks.
	Middle Rank = "middle"
	// Least is the rank of browsing lookups.
	Least Rank = "least"
)

// AllRanks lists the ranks, most urgent first. Callers must not modify it.
var AllRanks = []Rank{Urgent, Middle, Least}

const (
	// ControlConnections is the number of connections of each budget that is
	// reserved for monitoring and promotion.
	ControlConnections = 2
	// MinConnections is the least connection budget of a database.
	MinConnections = 4
	// MinDatabases and MaxDatabases bound the databases of one service.
	MinDatabases = 2
	MaxDatabases = 3
	// MaxFloorPercent bounds the sum of the floors of all ranks. The other half
	// of the slots stays under strict priority.
	MaxFloorPercent = 50
)

// Document is the operators' document of one deployment.
type Document struct {
	Deployment     string            `json:"deployment"`
	FailureDomains []string          `json:"failure_domains"`
	Ranks          map[Rank]RankGoal `json:"ranks"`
	Instances      []Instance        `json:"instances"`
	Services       []Service         `json:"services"`
}

// RankGoal states the response time target and the guaranteed share of a rank.
type RankGoal struct {
	TargetMS     int `json:"target_ms"`     // milliseconds
	FloorPercent int `json:"floor_percent"` // percent of the slots
}

// Instance is one papayarail serve process.
type Instance struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Service is one database group.
type Service struct {
	Name           string     `json:"name"`
	DependsOn      []string   `json:"depends_on"`
	DefaultRank    Rank       `json:"default_rank"`
	MaxStalenessMS int        `json:"max_staleness_ms"` // milliseconds; the greatest age that callers may ask for
	Databases      []Database `json:"databases"`
}

// Database is one member of a database group.
type Database struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // IP:port
	FailureDomain string `json:"failure_domain"`
	Connections   int    `json:"connections"` // budget, control connections included
	Slots         int    `json:"slots"`       // requests executed at a time
	State         State  `json:"state"`
}

// Parse decodes a document. Unknown or repeated keys, missing keys and data
// after the document are errors. Parse checks the form only; Check also
// examines the meaning.
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

// activeInstances counts the active instances per failure domain.
func (d *Document) activeInstances() map[string]int {
	n := map[string]int{}
	for _, in := range d.Instances {
		if in.State == Active {
			n[in.FailureDomain]++
		}
	}
	return n
}

// databaseDomains returns the failure domains that have databases.
func (d *Document) databaseDomains() map[string]bool {
	domains := map[string]bool{}
	for _, s := range d.Services {
		for _, db := range s.Databases {
			domains[db.FailureDomain] = true
		}
	}
	return domains
}
