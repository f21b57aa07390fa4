package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Check returns all findings of a document, those of its form first. It
// returns none if the document can be applied.
func Check(data []byte) []Finding {
	findings := checkForm(data)
	doc := &Document{}
	// Decoding goes on after a value of the wrong type, so that the rest of the
	// document is examined too. checkForm has reported the wrong value.
	if err := json.Unmarshal(data, doc); err != nil {
		if _, ok := err.(*json.UnmarshalTypeError); !ok {
			return findings
		}
	}
	known := findings
	for _, f := range doc.meaning() {
		if !covered(known, f.Path) {
			findings = append(findings, f)
		}
	}
	return findings
}

// covered reports whether a finding names the place or one that contains it.
// The value at such a place is not the one that the operator meant.
func covered(findings []Finding, place string) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool {
		return f.Path == place || f.Path != "" && strings.HasPrefix(place, f.Path+"/")
	})
}

// meaning returns the findings that a schema cannot express.
func (d *Document) meaning() []Finding {
	c := &checker{doc: d, domains: map[string]bool{}, services: map[string]int{}}
	c.checkDomains()
	c.checkRanks()
	c.checkInstances()
	c.checkServices()
	c.checkDependencies()
	return c.findings
}

type checker struct {
	doc      *Document
	findings []Finding
	domains  map[string]bool
	services map[string]int // name → index
}

func (c *checker) add(place, format string, args ...any) {
	c.findings = append(c.findings, Finding{place, fmt.Sprintf(format, args...)})
}

// unique reports a name that occurs before in the same set.
func (c *checker) unique(seen map[string]string, name, place, what string) {
	if first, ok := seen[name]; ok {
		c.add(place, "%s %q is already used at %s", what, name, first)
		return
	}
	seen[name] = place
}

func (c *checker) checkDomains() {
	seen := map[string]string{}
	populated := c.doc.databaseDomains()
	active := c.doc.activeInstances()
	for i, name := range c.doc.FailureDomains {
		place := at("failure_domains", i)
		c.unique(seen, name, place, "failure domain")
		c.domains[name] = true
		if populated[name] && active[name] == 0 {
			c.add(place, "failure domain %q has databases but no active instance", name)
		}
	}
}

func (c *checker) checkDomain(name, place string) {
	if !c.domains[name] {
		c.add(place, "failure domain %q is not listed in failure_domains", name)
	}
}

func (c *checker) checkRanks() {
	sum := 0
	for _, r := range AllRanks {
		goal, ok := c.doc.Ranks[r]
		if !ok {
			c.add(at("ranks", r), "rank %q is missing", r)
		}
		sum += goal.FloorPercent
	}
	if sum > MaxFloorPercent {
		c.add(at("ranks"), "the floors add up to %d%%, more than %d%%", sum, MaxFloorPercent)
	}
}

func (c *checker) checkInstances() {
	seen := map[string]string{}
	for i, in := range c.doc.Instances {
		c.unique(seen, in.Name, at("instances", i, "name"), "instance name")
		c.checkDomain(in.FailureDomain, at("instances", i, "failure_domain"))
	}
}

func (c *checker) checkServices() {
	names, databases, addresses := map[string]string{}, map[string]string{}, map[string]string{}
	for i, s := range c.doc.Services {
		c.unique(names, s.Name, at("services", i, "name"), "service name")
		if _, ok := c.services[s.Name]; !ok {
			c.services[s.Name] = i
		}
		if n := len(s.Databases); n < MinDatabases || n > MaxDatabases {
			c.add(at("services", i, "databases"), "service %q has %d databases; it needs two or three", s.Name, n)
		}
		domains := map[string]string{}
		for j, db := range s.Databases {
			place := at("services", i, "databases", j)
			c.unique(databases, db.Name, place+"/name", "database name")
			c.unique(addresses, db.Address, place+"/address", "address")
			c.unique(domains, db.FailureDomain, place+"/failure_domain", fmt.Sprintf("within service %q, failure domain", s.Name))
			c.checkDatabase(db, place)
		}
	}
}

func (c *checker) checkDatabase(db Database, place string) {
	c.checkDomain(db.FailureDomain, place+"/failure_domain")
	addr, err := netip.ParseAddrPort(db.Address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		c.add(place+"/address", "%q is not an IP:port of a database", db.Address)
	}
	if db.Connections < MinConnections {
		c.add(place+"/connections", "a budget of %d connections is below the least of %d", db.Connections, MinConnections)
	} else if need := db.Slots + ControlConnections; db.Connections < need {
		c.add(place+"/connections", "a budget of %d connections is below the %d that %d slots and %d control connections need", db.Connections, need, db.Slots, ControlConnections)
	}
}

// checkDependencies reports unknown services and each edge that closes a cycle.
func (c *checker) checkDependencies() {
	done := map[string]bool{}
	var visit func(i int, path []string)
	visit = func(i int, path []string) {
		s := c.doc.Services[i]
		if done[s.Name] {
			return
		}
		path = append(path, s.Name)
		seen := map[string]string{}
		for j, dep := range s.DependsOn {
			place := at("services", i, "depends_on", j)
			c.unique(seen, dep, place, "dependency")
			next, ok := c.services[dep]
			if !ok {
				c.add(place, "service %q does not exist", dep)
				continue
			}
			if k := slices.Index(path, dep); k >= 0 {
				c.add(place, "dependency cycle %s", strings.Join(append(slices.Clone(path[k:]), dep), " -> "))
				continue
			}
			visit(next, path)
		}
		done[s.Name] = true
	}
	for i := range c.doc.Services {
		visit(i, nil)
	}
}
