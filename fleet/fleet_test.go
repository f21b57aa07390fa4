package fleet

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const exampleFile = "../examples/colle-trinacria-adesivi.json"

func readFile(t *testing.T, file string) []byte {
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	return data
}

func parse(t *testing.T, data string) *Document {
	doc, err := Parse([]byte(data))
	assert.NilError(t, err)
	return doc
}

// Guards against examples that are invalid or that do not have the size of their
// deployment.
func TestExamplesPass(t *testing.T) {
	for file, connections := range map[string]int{exampleFile: 15, "../examples/macaskill-grazing-tags.json": 35} {
		data := readFile(t, file)
		assert.DeepEqual(t, Check(data), []Finding(nil))
		doc := parse(t, string(data))
		assert.Equal(t, len(doc.Instances), 6)
		assert.Equal(t, len(doc.Services), 3)
		for _, s := range doc.Services {
			assert.Equal(t, len(s.Databases), 3)
			assert.Equal(t, s.Databases[0].Connections, connections)
			found, db, ok := doc.Database(s.Databases[2].Name)
			assert.Assert(t, ok && found.Name == s.Name && db.Slots == 2)
		}
	}
}

// Guards against an error of any kind that is not reported, or reported at the wrong
// path.
func TestCheckFindsEachError(t *testing.T) {
	const firstDB = "/services/0/databases/0"
	valid := string(readFile(t, exampleFile))
	secondDB := valid[strings.Index(valid, `        {"name": "registro-lotti-1-messina"`):strings.Index(valid, `        {"name": "registro-lotti-1-siracusa"`)]
	thirdDB := valid[strings.Index(valid, `        {"name": "registro-lotti-1-siracusa"`):strings.Index(valid, "\n      ]")]
	for _, c := range []struct{ name, old, new, path, message string }{
		{"not JSON", "{", "[", "", "not a JSON document"},
		{"data after the document", "", "{}", "", "not a JSON document"},
		{"unknown key", `"slots"`, `"slots": 2, "slotz"`, firstDB + "/slotz", "unknown key"},
		{"key of other case", `"deployment"`, `"Deployment"`, "/Deployment", "unknown key"},
		{"missing key", `"max_staleness_ms": 5000,`, ``, "/services/0/max_staleness_ms", "key is missing"},
		{"repeated key", `"slots": 2`, `"slots": 2, "slots": 3`, firstDB + "/slots", "key is repeated"},
		{"wrong type", `"slots": 2`, `"slots": "2"`, firstDB + "/slots", "want integer"},
		{"fraction", `"slots": 2`, `"slots": 2.0`, "", "cannot unmarshal"},
		{"unknown state", `"state": "active"`, `"state": "paused"`, "/instances/0/state", "must be one of"},
		{"name with a blank", `"registro-lotti-1",`, `"registro lotti",`, "/services/0/name", "does not match pattern"},
		{"missing rank", `"middle": {"target_ms": 1000, "floor_percent": 10},`, ``, "/ranks/middle", "key is missing"},
		{"high floors", `"floor_percent": 10`, `"floor_percent": 49`, "/ranks", "add up to 51%"},
		{"duplicate failure domain", `"messina", "siracusa"`, `"messina", "siracusa", "messina"`, "/failure_domains/3", "already used"},
		{"duplicate instance", `"catania-2"`, `"catania-1"`, "/instances/1/name", "already used"},
		{"duplicate service", `"registro-lotti-2",`, `"registro-lotti-1",`, "/services/1/name", "already used"},
		{"duplicate database", `"registro-lotti-2-catania"`, `"registro-lotti-1-catania"`, "/services/1/databases/0/name", "already used"},
		{"duplicate address", `127.0.0.1:15402`, `127.0.0.1:15401`, "/services/0/databases/1/address", "already used"},
		{"instance in an unknown domain", `"failure_domain": "catania"`, `"failure_domain": "enna"`, "/instances/0/failure_domain", `"enna" is not listed`},
		{"database in an unknown domain", `15401", "failure_domain": "catania"`, `15401", "failure_domain": "enna"`, firstDB + "/failure_domain", `"enna" is not listed`},
		{"two databases in one domain", `15402", "failure_domain": "messina"`, `15402", "failure_domain": "catania"`, "/services/0/databases/1/failure_domain", "already used"},
		{"one database", ",\n" + secondDB + thirdDB, "", "/services/0/databases", "needs two or three"},
		{"four databases", secondDB, secondDB + secondDB, "/services/0/databases", "needs two or three"},
		{"host name", `127.0.0.1:15401`, `localhost:15401`, firstDB + "/address", "not an IP:port"},
		{"no port", `127.0.0.1:15401`, `127.0.0.1`, firstDB + "/address", "not an IP:port"},
		{"small budget", `"connections": 15`, `"connections": 3`, firstDB + "/connections", "below the least of 4"},
		{"budget below slots", `"connections": 15, "slots": 2`, `"connections": 15, "slots": 14`, firstDB + "/connections", "below the 16"},
		{"unknown dependency", `"depends_on": []`, `"depends_on": ["magazzino"]`, "/services/0/depends_on/0", "does not exist"},
		{"dependency on itself", `"depends_on": []`, `"depends_on": ["registro-lotti-1"]`, "/services/0/depends_on/0", "registro-lotti-1 -> registro-lotti-1"},
		{"domain without active instance", `"failure_domain": "siracusa", "state": "active"}`, `"failure_domain": "siracusa", "state": "leaving"}`, "/failure_domains/2", "no active instance"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := 1 // number of occurrences to replace; -1 means all
			if strings.HasPrefix(c.name, "domain without") {
				n = -1
			}
			broken := strings.Replace(valid, c.old, c.new, n)
			assert.Assert(t, broken != valid)
			for _, f := range Check([]byte(broken)) {
				if f.Path == c.path && strings.Contains(f.Message, c.message) {
					return
				}
			}
			t.Fatalf("no finding %q at %q in %v", c.message, c.path, Check([]byte(broken)))
		})
	}
}

// Guards against a check that stops at the first error, and against a dependency cycle
// of two services that is not found.
func TestCheckListsAllFindingsAtOnce(t *testing.T) {
	text := string(readFile(t, exampleFile))
	text = strings.Replace(text, `"depends_on": []`, `"depends_on": ["registro-lotti-2"]`, 1)
	text = strings.Replace(text, `"depends_on": []`, `"depends_on": ["registro-lotti-1"]`, 1)
	text = strings.Replace(text, `"connections": 15`, `"connections": "many"`, 1)
	text = strings.Replace(text, `127.0.0.1:15409`, `db:15409`, 1)
	var paths []string
	for _, f := range Check([]byte(text)) {
		paths = append(paths, f.Path)
	}
	assert.DeepEqual(t, paths, []string{"/services/0/databases/0/connections", "/services/2/databases/2/address", "/services/1/depends_on/0"})
}

// Guards against a difference that depends on the order of a list or that omits a
// value.
func TestDiff(t *testing.T) {
	valid := string(readFile(t, exampleFile))
	before, after := parse(t, valid), parse(t, valid)
	after.Services[0], after.Services[1] = after.Services[1], after.Services[0]
	assert.Equal(t, len(Diff(before, after)), 0)
	after.Services[1].Databases[0].Connections = 8
	after.Instances = after.Instances[1:]
	assert.DeepEqual(t, Diff(before, after), []Change{
		{"/instances/catania-1", `{"failure_domain":"catania","name":"catania-1","state":"active"}`, ""},
		{"/services/registro-lotti-1/databases/registro-lotti-1-catania/connections", "15", "8"},
	})
	assert.Equal(t, Diff(before, after)[1].String(), "~ /services/registro-lotti-1/databases/registro-lotti-1-catania/connections: 15 -> 8")
}

// Guards against a change that removes the quorum of a database group or the last
// instance of a failure domain, and against rejecting changes that are safe.
func TestCheckChange(t *testing.T) {
	valid := string(readFile(t, exampleFile))
	for name, c := range map[string]struct {
		prepare, change func(*Document)
		path            string
	}{
		"one database leaves": {nil, func(d *Document) { d.Services[0].Databases[0].State = Leaving }, ""},
		"halved connections and instances": {nil, func(d *Document) {
			d.Instances = []Instance{d.Instances[0], d.Instances[2], d.Instances[4]}
			for i := range d.Services[0].Databases {
				d.Services[0].Databases[i].Connections = 7
			}
		}, ""},
		"two databases move": {nil, func(d *Document) {
			d.Services[1].Databases[0].Address = "127.0.0.1:17001"
			d.Services[1].Databases[1].Name = "renamed"
		}, "/services/1/databases"},
		"second database leaves": {
			func(d *Document) { d.Services[0].Databases[0].State = Leaving },
			func(d *Document) { d.Services[0].Databases[1].State = Leaving }, "/services/0/databases"},
		"edit of a service of which two databases leave already": {
			func(d *Document) {
				d.Services[0].Databases[0].State, d.Services[0].Databases[1].State = Leaving, Leaving
			},
			func(d *Document) { d.Services[0].MaxStalenessMS = 1 }, ""},
		"last instance of a domain removed": {nil, func(d *Document) { d.Instances = d.Instances[:4] }, "/instances"},
		"last instances leave":              {nil, func(d *Document) { d.Instances[0].State, d.Instances[1].State = Leaving, Leaving }, "/instances"},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := parse(t, valid), parse(t, valid)
			if c.prepare != nil {
				c.prepare(before)
				c.prepare(after)
			}
			c.change(after)
			findings := CheckChange(before, after)
			if c.path == "" {
				assert.Equal(t, len(findings), 0, "%v", findings)
				return
			}
			assert.Equal(t, len(findings), 1, "%v", findings)
			assert.Equal(t, findings[0].Path, c.path)
		})
	}
}
