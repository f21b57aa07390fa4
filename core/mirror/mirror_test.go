package mirror_test

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/mirror"
)

func same(a, b int) bool { return a == b }

// Guards the copies of instances that change their source: after any order of
// changes, readings by several instances and deltas between them, a copy of a
// version is the table as the store had it then or later, and none goes back.
func TestCopiesFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		version := uint64(1)
		store := map[string]int{}
		history := map[uint64]map[string]int{1: {}}
		copies := []*mirror.Table[int]{mirror.New(same), mirror.New(same), mirror.New(same), mirror.New(same)}
		pick := func(name string) int { return rapid.IntRange(0, len(copies)-1).Draw(t, name) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				version++
				if rapid.Bool().Draw(t, "remove") {
					delete(store, key)
				} else {
					store[key] = rapid.IntRange(0, 2).Draw(t, "value")
				}
				history[version] = maps.Clone(store)
			case 1:
				copies[pick("reader")].ApplySnapshot(maps.Clone(store), version)
			default:
				asker, source := copies[pick("asker")], copies[pick("source")]
				before := asker.Version()
				if d := source.DeltaSince(before); d != nil {
					asker.ApplyDelta(*d)
				}
				assert.Assert(t, asker.Version() >= before)
			}
			for _, c := range copies {
				if c.Version() > 0 {
					assert.DeepEqual(t, c.All(), history[c.Version()])
				}
			}
		}
	})
}

// Guards the bytes of a change: one row of a table of 1,796 is sent, not the
// table; a new instance gets all of it, also one that missed too many removals.
func TestOnlyChangesAreSent(t *testing.T) {
	source := mirror.New(same)
	all := make(map[string]int)
	for i := range 1796 {
		all[fmt.Sprint("i", i)] = i
	}
	source.ApplySnapshot(maps.Clone(all), 10)
	assert.Assert(t, source.DeltaSince(10) == nil)
	assert.Equal(t, len(source.DeltaSince(0).Set), len(all))
	all["i5"] = -1
	delete(all, "i6")
	assert.Assert(t, source.ApplySnapshot(maps.Clone(all), 12))
	assert.Assert(t, !source.ApplySnapshot(maps.Clone(all), 13), "nothing changed")
	d := source.DeltaSince(10)
	assert.DeepEqual(t, *d, mirror.Delta[int]{From: 10, Version: 13, Set: map[string]int{"i5": -1}, Removed: []string{"i6"}})
	for i := range 600 {
		delete(all, fmt.Sprint("i", i+100))
		source.ApplySnapshot(maps.Clone(all), uint64(20+i))
	}
	assert.Assert(t, source.DeltaSince(13).Full)
	assert.Assert(t, !source.DeltaSince(610).Full)
	assert.Assert(t, source.DeltaSince(11).Full, "a version that this copy never had")
}

// Guards against an answer that arrives late.
func TestOldReadingIsIgnored(t *testing.T) {
	c := mirror.New(same)
	c.ApplySnapshot(map[string]int{"a": 1}, 7)
	assert.Assert(t, !c.ApplySnapshot(map[string]int{}, 6))
	assert.Equal(t, c.Len(), 1)
	c.ApplyDelta(mirror.Delta[int]{From: 5, Version: 9, Set: map[string]int{"b": 2}})
	assert.Equal(t, c.Version(), uint64(7), "a delta for another version")
	value, ok := c.Get("a")
	assert.Assert(t, ok && value == 1)
}
