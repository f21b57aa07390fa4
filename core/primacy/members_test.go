package primacy_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/primacy"
)

func named(ids ...string) (all []primacy.NamedMember) {
	for _, id := range ids {
		all = append(all, primacy.NamedMember{ID: id, Address: "10.0.0.1:1", FailureDomain: "z"})
	}
	return all
}

// Guards against a record of another writer that makes each instance ask thousands of members.
func TestOddNamesOfMembers(t *testing.T) {
	var many []string
	for i := range primacy.MaxNamedMembers {
		many = append(many, fmt.Sprint("m", i))
	}
	assert.NilError(t, primacy.Record{Members: named(many...)}.Check(0))
	odd := map[string][]primacy.NamedMember{
		"too many": named(append(many, "one more")...), "no ID": named("a", ""), "long ID": named(strings.Repeat("a", 257)), "twice": named("a", "b", "a"),
		"no address": {{ID: "a", FailureDomain: "z"}}, "no domain": {{ID: "a", Address: "10.0.0.1:1"}},
	}
	for name, members := range odd {
		assert.Assert(t, primacy.Record{Members: members}.Check(0) != nil, name)
	}
}

func TestNames(t *testing.T) {
	assert.Assert(t, primacy.Record{}.Names("a"), "a record of an earlier release rules out no member")
	r := primacy.Record{Primary: primacy.Primary{Member: "a", Term: 1}, Members: named("a", "b")}
	assert.Assert(t, r.Names("b") && !r.Names("c"))
	assert.DeepEqual(t, r.WithPrimary(primacy.Primary{Member: "b", Term: 2}).Members, r.Members)
}
