package platformd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two puts with the same condition that both take effect: the put that
// read the clock first acquired the lock second, and its condition was evaluated
// against the state before the other put (seen once in TestTwoOperators, in CI).
func TestConditionSeesEveryEarlierPut(t *testing.T) {
	tables := newTables()
	key := itemKey{"papayarail", "config", "head"}
	revision := func(n string) attributes { return attributes{"revision": stringAttribute(n)} }
	is := func(n string) func(attributes) bool {
		return func(a attributes) bool { return a["revision"].equal(stringAttribute(n)) }
	}
	start := time.Now()
	assert.Assert(t, tables.put(key, revision("1"), start, func(attributes) bool { return true }))
	early, late := start.Add(time.Millisecond), start.Add(2*time.Millisecond)
	assert.Assert(t, tables.put(key, revision("2"), late, is("1")))
	assert.Assert(t, !tables.put(key, revision("2 again"), early, is("1")), "the condition no longer holds")
	// A put with an earlier time still takes effect after the others.
	assert.Assert(t, tables.put(key, revision("3"), early, is("2")))
	assert.Assert(t, is("3")(tables.get(key, late)))
}
