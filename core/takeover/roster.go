package takeover

import (
	"cmp"
	"slices"

	"github.com/papayarail/papayarail/core/primacy"
)

// KnownMember is a member as an instance knows it when it decides which members the record of
// the group is to name.
type KnownMember struct {
	primacy.NamedMember
	// Registered means that it is in the latest list of the registered members.
	Registered bool
	Draining   bool
	// Covered means that Departure.Covered is true and that no instance finds a quorum by its answer.
	Covered bool
}

// NextRoster returns the members that the record is to name instead of named, and whether
// that is a change. forgotten reports that the instance knew a member that has left for good.
//
// The members that join are added, and those are removed that have left for good, or leave while the
// remaining ones have all commits that rest on them. A member that another instance has removed already is not added again while it is not registered. A
// record that names none rules out no member, so that the first roster has each known member.
func NextRoster(named []primacy.NamedMember, known []KnownMember, forgotten func(id string) bool) (next []primacy.NamedMember, changed bool) {
	for _, m := range named {
		i := slices.IndexFunc(known, func(k KnownMember) bool { return k.ID == m.ID })
		switch {
		case i >= 0 && known[i].Draining && known[i].Covered:
		case i >= 0 && known[i].Registered && known[i].Check() == nil:
			next = append(next, known[i].NamedMember) // it may have moved
		case i >= 0 || !forgotten(m.ID):
			next = append(next, m)
		}
	}
	var joined []primacy.NamedMember
	for _, k := range known {
		if len(named) == 0 || k.Registered && !k.Draining {
			joined = append(joined, k.NamedMember)
		}
	}
	next = AddNames(next, joined)
	return next, !slices.Equal(next, named)
}

// AddNames returns the named members with the joined ones that are not among them, as far as
// a record can name them, in the order of their IDs.
func AddNames(named, joined []primacy.NamedMember) []primacy.NamedMember {
	all := slices.SortedFunc(slices.Values(named), compareNames)
	for _, m := range slices.SortedFunc(slices.Values(joined), compareNames) {
		if len(all) < primacy.MaxNamedMembers && m.Check() == nil && !slices.ContainsFunc(all, func(n primacy.NamedMember) bool { return n.ID == m.ID }) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, compareNames)
	return all
}

func compareNames(a, b primacy.NamedMember) int { return cmp.Compare(a.ID, b.ID) }

// UnreadMembers returns the named members of which an instance has never read: acknowledgements
// may rest on them, and a round that does not wait for them may promote a log without these
// commits.
func UnreadMembers(named []primacy.NamedMember, known func(id string) bool, forgotten func(id string) bool) []primacy.NamedMember {
	var unread []primacy.NamedMember
	for _, m := range named {
		if !known(m.ID) && !forgotten(m.ID) {
			unread = append(unread, m)
		}
	}
	return unread
}
