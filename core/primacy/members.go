package primacy

import "slices"

// NamedMember is a member that acknowledgements may rest on, as the record of its group names
// it, so that also an instance that has never read its registration can ask for its log.
type NamedMember struct {
	ID            string `json:"id"`
	Address       string `json:"addr"`
	FailureDomain string `json:"domain"`
}

const (
	// MaxNamedMembers is the number of members that a record names at most. Further ones do
	// not count for acknowledgements.
	MaxNamedMembers = 64
	// maxNameLength bounds the texts of a NamedMember.
	maxNameLength = 256
)

// Names reports whether acknowledgements may rest on a member. A record that names none is of
// an earlier release, or the first one; it rules out no member.
func (r Record) Names(id string) bool { return Names(r.Members, id) }

// Names is Record.Names for the members that a record names.
func Names(named []NamedMember, id string) bool {
	return len(named) == 0 || slices.ContainsFunc(named, func(m NamedMember) bool { return m.ID == id })
}

// Check returns an error if no record can name the member.
func (m NamedMember) Check() error {
	for _, text := range []string{m.ID, m.Address, m.FailureDomain} {
		if text == "" || len(text) > maxNameLength {
			return Class.New("record names a member with a text of %d bytes", len(text))
		}
	}
	return nil
}

// checkMembers returns an error if no instance can have named these members.
func checkMembers(named []NamedMember) error {
	if len(named) > MaxNamedMembers {
		return Class.New("record names %d members", len(named))
	}
	seen := make(map[string]bool, len(named))
	for _, m := range named {
		if err := m.Check(); err != nil {
			return err
		}
		if seen[m.ID] {
			return Class.New("record names member %q twice", m.ID)
		}
		seen[m.ID] = true
	}
	return nil
}
