package catalog_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/catalog"
)

func workspace(name string, keys ...string) catalog.Workspace {
	w := catalog.Workspace{Name: name}
	for _, key := range keys {
		w.Keys = append(w.Keys, catalog.DigestKey(key))
	}
	return w
}

func config(workspaces ...catalog.Workspace) *catalog.Config {
	c := &catalog.Config{Version: 1, Routes: map[string]catalog.Route{"db": {Database: "db"}, "open": {Database: "open", Open: true}}}
	c.Workspaces, _ = catalog.CheckWorkspaces(workspaces)
	return c
}

// Guards the decision who may use a database: a caller that is admitted without a key, in
// the name of another workspace or to a database that its key does not open; one that is
// refused where callers are not identified; and one that learns without a key which
// databases exist.
func TestAccess(t *testing.T) {
	identified, nobody := config(workspace("w1", "k1", "k2"), workspace("w2", "k3")), config()
	anonymous := &catalog.Config{Routes: identified.Routes}
	for _, test := range []struct {
		name          string
		config        *catalog.Config
		database, key string
		want          catalog.Decision
		workspace     string
	}{
		{"first key", identified, "db", "k1", catalog.Granted, "w1"},
		{"second key", identified, "db", "k2", catalog.Granted, "w1"},
		{"other workspace", identified, "db", "k3", catalog.Granted, "w2"},
		{"unknown key", identified, "db", "k4", catalog.KeyUnknown, ""},
		{"no key", identified, "db", "", catalog.KeyMissing, ""},
		{"name instead of a key", identified, "db", "w1", catalog.KeyUnknown, ""},
		{"digest instead of a key", identified, "db", string(catalog.DigestKey("k1")), catalog.KeyUnknown, ""},
		{"open route without key", identified, "open", "", catalog.Granted, ""},
		{"open route with unknown key", identified, "open", "k4", catalog.Granted, ""},
		{"open route with key", identified, "open", "k1", catalog.Granted, ""},
		{"unknown database with key", identified, "none", "k1", catalog.DatabaseUnknown, ""},
		{"unknown database without key", identified, "none", "", catalog.KeyMissing, ""},
		{"no valid workspace", nobody, "db", "k1", catalog.KeyUnknown, ""},
		{"no valid workspace, open route", nobody, "open", "", catalog.Granted, ""},
		{"callers not identified", anonymous, "db", "k1", catalog.Granted, ""},
		{"callers not identified, unknown database", anonymous, "none", "k1", catalog.DatabaseUnknown, ""},
		{"no configuration", nil, "db", "k1", catalog.NotConfigured, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := test.config.Access(test.database, catalog.DigestKey(test.key))
			assert.Equal(t, a.Decision, test.want)
			assert.Equal(t, a.Workspace.Name, test.workspace)
		})
	}
	assert.Equal(t, identified.Access("db", "").Decision, catalog.KeyMissing, "no digest at all")
}

// Guards against an invalid entry of the configuration that admits somebody, or that
// takes other workspaces out of force.
func TestCheckWorkspaces(t *testing.T) {
	negative, infinite, rank := workspace("w6", "k6"), workspace("w7", "k7"), workspace("w8", "k8")
	negative.Rate, infinite.Burst, rank.Priority = -1, math.Inf(1), -1
	notNumber := workspace("w9", "k9")
	notNumber.Rate = math.NaN()
	c := config(workspace("w1", "k1", "k1"), workspace("w1", "k2"), workspace("", "k3"), workspace("a b", "k4"), workspace("a\r\nQUERY", "k5"),
		negative, infinite, rank, notNumber, workspace(catalog.OwnName, "k10"), workspace("w11", "shared", "k11"), workspace("w12", "shared", "k12"), workspace("w13", ""))
	want := map[string]string{"k1": "w1", "k11": "w11", "k12": "w12"}
	for _, key := range []string{"", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8", "k9", "k10", "k11", "k12", "shared"} {
		w, ok := c.WorkspaceOf(catalog.DigestKey(key))
		assert.Equal(t, w.Name, want[key], key)
		assert.Equal(t, ok, want[key] != "", key)
	}
	_, problems := catalog.CheckWorkspaces([]catalog.Workspace{workspace("w1", "k1"), workspace("", "k3"), workspace("w2", "k1", "")})
	assert.Equal(t, len(problems), 4)
	for i, place := range []int{0, 1, 2, 2} {
		assert.Equal(t, problems[i].Place, place, "%s", problems[i])
	}
}

// Guards against a key that one workspace lists twice and that then counts as shared, and
// against a relayed list, which was not checked here, whose shared key admits somebody.
func TestSharedKey(t *testing.T) {
	c := &catalog.Config{Workspaces: map[string]catalog.Workspace{"a": workspace("a", "x", "y", "y"), "b": workspace("b", "x"), "c": workspace("c", "", "z")}}
	for key, want := range map[string]string{"x": "", "y": "a", "z": "c", "": ""} {
		w, _ := c.WorkspaceOf(catalog.DigestKey(key))
		assert.Equal(t, w.Name, want, key)
	}
}

// Guards against the cost of a search through all workspaces for each statement: 2,000
// workspaces with 5 keys each.
func TestWorkspaceOfIsIndexed(t *testing.T) {
	var all []catalog.Workspace
	for i := range 2000 {
		var keys []string
		for k := range 5 {
			keys = append(keys, fmt.Sprint("key-", i, "-", k))
		}
		all = append(all, workspace(fmt.Sprint("w", i), keys...))
	}
	c := config(all...)
	digest := catalog.DigestKey("key-1999-4")
	allocations := testing.AllocsPerRun(1000, func() {
		if w, _ := c.WorkspaceOf(digest); w.Name != "w1999" {
			t.Fatal(w.Name)
		}
	})
	assert.Equal(t, allocations, 0.0)
}

func BenchmarkAccess(b *testing.B) {
	var all []catalog.Workspace
	for i := range 2000 {
		all = append(all, workspace(fmt.Sprint("w", i), fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i)))
	}
	c := config(all...)
	digest := catalog.DigestKey("b777")
	for b.Loop() {
		c.Access("db", digest)
	}
}

// Guards against a key in a log line or dump: no verb, and no encoding of a value that
// contains the credential, may show the text where callers are identified.
func TestCredentialHidesItsText(t *testing.T) {
	const key = "secret-7f3a"
	c := catalog.NewCredential([]byte(key))
	in := struct{ C catalog.Credential }{c}
	raw, err := json.Marshal(in)
	assert.NilError(t, err)
	shown := string(raw)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		shown += fmt.Sprintf(verb, c) + fmt.Sprintf(verb, &c) + fmt.Sprintf(verb, in)
	}
	assert.Assert(t, !strings.Contains(shown, "secret") && !strings.Contains(shown, fmt.Sprintf("%x", key)), shown)
	assert.Equal(t, c.Name(true), "")
	assert.Equal(t, c.Name(false), key)
	assert.Equal(t, c.WithoutText().Name(false), "")
	assert.Equal(t, c.WithoutText().Digest, catalog.DigestKey(key))
}

// Guards against unbounded metric labels, and against a workspace without a limit that
// counts as the one with the lowest.
func TestHighestLimits(t *testing.T) {
	all := map[string]catalog.Workspace{"a": {Name: "a", Rate: 5}, "b": {Name: "b", Rate: 50}, "c": {Name: "c"}, "d": {Name: "d", Rate: 5}}
	assert.DeepEqual(t, catalog.HighestLimits(all, 3), []string{"c", "b", "a"})
	assert.Equal(t, len(catalog.HighestLimits(all, 20)), 4)
	assert.Equal(t, len(catalog.HighestLimits(nil, 20)), 0)
}

// Guards against a configuration that counts as unchanged although keys were revoked or
// callers are no longer identified.
func TestConfigEqual(t *testing.T) {
	c := config(workspace("w1", "k1"))
	assert.Assert(t, c.Equal(config(workspace("w1", "k1"))))
	assert.Assert(t, !c.Equal(config(workspace("w1"))))
	assert.Assert(t, !config().Equal(&catalog.Config{Version: 1, Routes: c.Routes}))
	other := config(workspace("w1", "k1"))
	other.TransactionIdle = time.Second
	assert.Assert(t, !c.Equal(other))
}
