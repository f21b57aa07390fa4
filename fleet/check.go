package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Check validates a document and returns all findings, those on its syntax and schema
// first. It returns none if the document is valid.
func Check(data []byte) []Finding {
	findings := checkSchema(data)
	doc := &Document{}
	// Decode continues after a value of the wrong type, which checkSchema has
	// reported, so that the rest of the document is validated too.
	if err := json.Unmarshal(data, doc); err != nil {
		if _, ok := err.(*json.UnmarshalTypeError); !ok {
			return findings
		}
	}
	schemaErrors := findings
	for _, f := range doc.semanticFindings() {
		if !alreadyReported(schemaErrors, f.Path) {
			findings = append(findings, f)
		}
	}
	return findings
}

// alreadyReported reports whether one of the findings has the path or an ancestor of
// it. The decoded value at such a path is not the one in the text, so further findings
// on it would mislead.
func alreadyReported(findings []Finding, path string) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool {
		return f.Path == path || f.Path != "" && strings.HasPrefix(path, f.Path+"/")
	})
}

// semanticFindings returns the violations of rules that the schema cannot express.
func (d *Document) semanticFindings() []Finding {
	c := &checker{doc: d, domains: map[string]bool{}, services: map[string]int{}}
	c.checkDomains()
	c.checkRanks()
	c.checkInstances()
	c.checkServices()
	c.checkDependencies()
	return c.findings
}

// checker collects the findings on one document.
type checker struct {
	doc      *Document
	findings []Finding
	domains  map[string]bool // names listed in failure_domains
	services map[string]int  // name → index in doc.Services
}

// report adds a finding at the path, a JSON pointer.
func (c *checker) report(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{path, fmt.Sprintf(format, args...)})
}

// checkUnique reports a name that has been seen before, and records it otherwise. seen maps
// names to the paths of their first uses.
func (c *checker) checkUnique(seen map[string]string, name, path, kind string) {
	if first, ok := seen[name]; ok {
		c.report(path, "%s %q is already used at %s", kind, name, first)
		return
	}
	seen[name] = path
}

func (c *checker) checkDomains() {
	seen := map[string]string{}
	hasDatabases := c.doc.databaseDomains()
	activeCount := c.doc.activeInstances()
	for i, name := range c.doc.FailureDomains {
		path := pointerTo("failure_domains", i)
		c.checkUnique(seen, name, path, "failure domain")
		c.domains[name] = true
		if hasDatabases[name] && activeCount[name] == 0 {
			c.report(path, "failure domain %q has databases but no active instance", name)
		}
	}
}

// checkDomainIsListed reports a failure domain that the document does not list.
func (c *checker) checkDomainIsListed(name, path string) {
	if !c.domains[name] {
		c.report(path, "failure domain %q is not listed in failure_domains", name)
	}
}

// checkRanks reports missing ranks, and guaranteed shares (floors) that add up to too much.
func (c *checker) checkRanks() {
	sum := 0
	for _, r := range AllRanks {
		goal, ok := c.doc.Ranks[r]
		if !ok {
			c.report(pointerTo("ranks", r), "rank %q is missing", r)
		}
		sum += goal.FloorPercent
	}
	if sum > MaxFloorPercent {
		c.report(pointerTo("ranks"), "the floors add up to %d%%, more than %d%%", sum, MaxFloorPercent)
	}
}

func (c *checker) checkInstances() {
	seen := map[string]string{}
	for i, instance := range c.doc.Instances {
		c.checkUnique(seen, instance.Name, pointerTo("instances", i, "name"), "instance name")
		c.checkDomainIsListed(instance.FailureDomain, pointerTo("instances", i, "failure_domain"))
	}
}

func (c *checker) checkServices() {
	names, databases, addresses := map[string]string{}, map[string]string{}, map[string]string{}
	for i, service := range c.doc.Services {
		c.checkUnique(names, service.Name, pointerTo("services", i, "name"), "service name")
		if _, ok := c.services[service.Name]; !ok {
			c.services[service.Name] = i
		}
		if n := len(service.Databases); n < MinDatabases || n > MaxDatabases {
			c.report(pointerTo("services", i, "databases"), "service %q has %d databases; it needs two or three", service.Name, n)
		}
		domains := map[string]string{}
		for j, db := range service.Databases {
			path := pointerTo("services", i, "databases", j)
			c.checkUnique(databases, db.Name, path+"/name", "database name")
			c.checkUnique(addresses, db.Address, path+"/address", "address")
			c.checkUnique(domains, db.FailureDomain, path+"/failure_domain", fmt.Sprintf("within service %q, failure domain", service.Name))
			c.checkDatabase(db, path)
		}
	}
}

func (c *checker) checkDatabase(db Database, path string) {
	c.checkDomainIsListed(db.FailureDomain, path+"/failure_domain")
	addr, err := netip.ParseAddrPort(db.Address)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		c.report(path+"/address", "%q is not an IP:port of a database", db.Address)
	}
	if db.Connections < MinConnections {
		c.report(path+"/connections", "a budget of %d connections is below the least of %d", db.Connections, MinConnections)
	} else if need := db.Slots + ControlConnections; db.Connections < need {
		c.report(path+"/connections", "a budget of %d connections is below the %d that %d slots and %d control connections need", db.Connections, need, db.Slots, ControlConnections)
	}
}

// checkDependencies reports dependencies on unknown services and each dependency that
// closes a cycle.
func (c *checker) checkDependencies() {
	done := map[string]bool{}
	// visit checks service i, which the last service of chain depends on. In chain, each
	// service depends on the next.
	var visit func(i int, chain []string)
	visit = func(i int, chain []string) {
		service := c.doc.Services[i]
		if done[service.Name] {
			return
		}
		chain = append(chain, service.Name)
		seen := map[string]string{}
		for j, dep := range service.DependsOn {
			path := pointerTo("services", i, "depends_on", j)
			c.checkUnique(seen, dep, path, "dependency")
			next, ok := c.services[dep]
			if !ok {
				c.report(path, "service %q does not exist", dep)
				continue
			}
			if k := slices.Index(chain, dep); k >= 0 {
				c.report(path, "dependency cycle %s", strings.Join(append(slices.Clone(chain[k:]), dep), " -> "))
				continue
			}
			visit(next, chain)
		}
		done[service.Name] = true
	}
	for i := range c.doc.Services {
		visit(i, nil)
	}
}
