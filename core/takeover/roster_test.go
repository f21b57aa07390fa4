package takeover_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/takeover"
)

func name(id string) primacy.NamedMember {
	return primacy.NamedMember{ID: id, Address: id + ":1", FailureDomain: "z"}
}

func names(ids ...string) (all []primacy.NamedMember) {
	for _, id := range ids {
		all = append(all, name(id))
	}
	return all
}

func known(registered bool, ids ...string) (all []takeover.KnownMember) {
	for _, id := range ids {
		all = append(all, takeover.KnownMember{NamedMember: name(id), Registered: registered})
	}
	return all
}

func TestNextRoster(t *testing.T) {
	moved := known(true, "a", "b")
	moved[1].Address = "elsewhere:1"
	leaving := known(true, "a", "b", "d")
	leaving[1].Draining, leaving[2].Draining = true, true
	covered := known(true, "a", "b")
	covered[0].Covered, covered[1].Draining, covered[1].Covered = true, true, true
	tests := []struct {
		name      string
		named     []primacy.NamedMember
		known     []takeover.KnownMember
		forgotten string
		want      []primacy.NamedMember
	}{
		{"the first roster has also members that have departed", nil, append(known(true, "c", "a"), known(false, "b")...), "", names("a", "b", "c")},
		{"one joins", names("a", "c"), known(true, "c", "b", "a"), "", names("a", "b", "c")},
		{"one has left", names("a", "b"), known(true, "a"), "b", names("a")},
		{"one leaves while another joins", names("a", "b"), known(true, "a", "c"), "b", names("a", "c")},
		{"one is not registered, but may run", names("a", "b"), append(known(true, "a"), known(false, "b")...), "", names("a", "b")},
		{"one was never read", names("a", "b"), known(true, "a"), "", names("a", "b")},
		{"one is registered again after it had left", names("a", "b"), known(true, "a", "b"), "b", names("a", "b")},
		{"one has left that another instance has removed", names("a"), append(known(true, "a"), known(false, "b")...), "", names("a")},
		{"one moves", names("a", "b"), moved, "", []primacy.NamedMember{name("a"), {ID: "b", Address: "elsewhere:1", FailureDomain: "z"}}},
		{"leaving ones stay, and are not added", names("a", "b"), leaving, "", names("a", "b")},
		{"one leaves whose commits are on the others", names("a", "b"), covered, "", names("a")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, changed := takeover.NextRoster(test.named, test.known, func(id string) bool { return id == test.forgotten })
			assert.DeepEqual(t, next, test.want)
			assert.Equal(t, changed, !slices.Equal(test.named, test.want))
		})
	}
}

// Guards against a record that no instance accepts, and against a named member that gives way
// to one that joins.
func TestRosterIsBounded(t *testing.T) {
	var named []primacy.NamedMember
	for i := range primacy.MaxNamedMembers {
		named = append(named, name(fmt.Sprintf("m%03d", i)))
	}
	next, changed := takeover.NextRoster(named, known(true, "a"), func(string) bool { return false })
	assert.Assert(t, !changed)
	assert.NilError(t, primacy.Record{Members: next}.Check(0))
	long := strings.Repeat("a", 1000)
	moved := known(true, "a", long)
	moved[0].Address = long
	for _, before := range [][]primacy.NamedMember{nil, names("a")} {
		next, _ = takeover.NextRoster(before, moved, func(string) bool { return false })
		assert.NilError(t, primacy.Record{Members: next}.Check(0))
		assert.DeepEqual(t, next, before)
	}
}

func TestUnreadMembers(t *testing.T) {
	unread := takeover.UnreadMembers(names("a", "b", "c"), func(id string) bool { return id == "a" }, func(id string) bool { return id == "c" })
	assert.DeepEqual(t, unread, names("b"))
}

// Guards against an acknowledgement that rests only on members which another instance may have left out.
func TestReplicasLeftOutByOthersAloneProveNothing(t *testing.T) {
	p := position.Position{Term: 1, Offset: 5}
	evidence := func(id string, mayBeLeftOut bool) takeover.Evidence {
		e := takeover.Evidence{Member: id, MayBeLeftOut: mayBeLeftOut}
		e.Observe(takeover.Status{Term: 1, Received: p}, 0)
		return e
	}
	assert.Equal(t, takeover.Contains(nil, p, []takeover.Evidence{evidence("b", true)}), takeover.Unproven)
	assert.Equal(t, takeover.Contains(nil, p, []takeover.Evidence{evidence("b", true), evidence("c", false)}), takeover.Contained)
	unread := takeover.Evidence{Member: "d"}
	assert.Equal(t, takeover.Contains(nil, p, []takeover.Evidence{evidence("b", false), unread}), takeover.Unproven)
}

// rosterInstance is an instance of TestRosterKeepsEachMemberThatCounts.
type rosterInstance struct {
	record    primacy.Record
	members   map[string]bool // known members, and whether they were registered
	forgotten map[string]bool
}

// Guards the invariant of decisions/0014: an instance that claims the group, also one that has
// just started, waits for each member that another one counts. Instances read the lists of
// members and the record at any time, forget members only that have left, and write the names
// on the condition that the record is the one they have read.
func TestRosterKeepsEachMemberThatCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := primacy.Record{Version: 1}
		registered, left := map[string]bool{"a": true, "b": true}, map[string]bool{}
		instances := make([]*rosterInstance, 3)
		for i := range instances {
			instances[i] = &rosterInstance{members: map[string]bool{}, forgotten: map[string]bool{}}
		}
		draw := func() *rosterInstance { return instances[rapid.IntRange(0, 2).Draw(t, "instance")] }
		add := func(i *rosterInstance) {
			for _, m := range takeover.UnreadMembers(i.record.Members, func(id string) bool { _, ok := i.members[id]; return ok }, func(id string) bool { return i.forgotten[id] }) {
				i.members[m.ID] = false
			}
		}
		joined := 0
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				joined++
				registered[fmt.Sprintf("j%02d", joined)] = true
			},
			"registration expires": func(t *rapid.T) {
				delete(registered, rapid.SampledFrom(sortedIDs(registered)).Draw(t, "member"))
				registered["a"] = true
			},
			// It no longer runs, and no acknowledgement rests on it any more.
			"leave": func(t *rapid.T) {
				if id := rapid.SampledFrom(sortedIDs(registered)).Draw(t, "member"); id != "a" {
					delete(registered, id)
					left[id] = true
				}
			},
			"read members": func(t *rapid.T) {
				i := draw()
				for id := range i.members {
					i.members[id] = false
				}
				for id := range registered {
					i.members[id] = true
					delete(i.forgotten, id)
				}
				add(i)
			},
			"read record": func(t *rapid.T) {
				i := draw()
				i.record = record
				add(i)
			},
			"forget": func(t *rapid.T) {
				i := draw()
				for id, present := range i.members {
					if left[id] && !present {
						delete(i.members, id)
						i.forgotten[id] = true
					}
				}
			},
			"write": func(t *rapid.T) {
				i := draw()
				var all []takeover.KnownMember
				for id, present := range i.members {
					all = append(all, takeover.KnownMember{NamedMember: name(id), Registered: present})
				}
				next, changed := takeover.NextRoster(i.record.Members, all, func(id string) bool { return i.forgotten[id] })
				if changed && i.record.Version == record.Version {
					record.Members = next
					record.Version++
				}
			},
			"restart": func(t *rapid.T) {
				i := draw()
				*i = rosterInstance{members: map[string]bool{}, forgotten: map[string]bool{}}
			},
			"": func(t *rapid.T) {
				assert.NilError(t, record.Check(0))
				for _, i := range instances {
					for id := range i.members {
						counts := !left[id] && len(i.record.Members) > 0 && i.record.Names(id)
						if counts && !record.Names(id) {
							t.Fatalf("a new holder does not know %s, which an instance counts: %v", id, record.Members)
						}
					}
				}
			},
		})
	})
}

func sortedIDs(set map[string]bool) (ids []string) {
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
