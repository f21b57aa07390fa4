// Package mirror keeps copies of the store's tables on many instances up to date
// by what changed. A version is the store's counter over all its changes, so a
// copy at a version is the same whichever instance it came from, and an instance
// can go on with another source. It is pure.
package mirror

import "slices"

const (
	// maxRemoved bounds the remembered removals.
	maxRemoved = 256
	// maxVersions bounds the remembered versions. One that is read every 300 ms
	// remembers 19 s.
	maxVersions = 64
)

// Table is a copy of a table as of a version. It is not safe for concurrent use.
//
// Invariants: version never decreases; a row's version is at most the table's,
// and at least the version at which the store changed it.
type Table[T any] struct {
	same    func(a, b T) bool
	version uint64
	rows    map[string]row[T]
	removed []removal
	// versions are the latest versions that this copy had, in ascending order, as
	// far back as all removals are remembered. Between two of them, rows may have
	// come and gone that this copy never saw.
	versions []uint64
}

type row[T any] struct {
	value   T
	version uint64
}

type removal struct {
	key     string
	version uint64
}

// Delta is what changed in a table from one version to another.
type Delta[T any] struct {
	// From is the version to which it applies, and Version that of the result.
	From    uint64 `json:"from,omitempty"`
	Version uint64 `json:"version"`
	// Full means that Set is the whole table.
	Full    bool         `json:"whole,omitempty"`
	Set     map[string]T `json:"set,omitempty"`
	Removed []string     `json:"removed,omitempty"`
}

// New returns an empty table of version 0. same compares two values.
func New[T any](same func(a, b T) bool) *Table[T] {
	return &Table[T]{same: same, rows: make(map[string]row[T])}
}

// Version returns the version of the table; 0 means that it was never read.
func (t *Table[T]) Version() uint64 { return t.version }

// Len returns the number of rows.
func (t *Table[T]) Len() int { return len(t.rows) }

// All returns the rows in a new map.
func (t *Table[T]) All() map[string]T {
	all := make(map[string]T, len(t.rows))
	for key, r := range t.rows {
		all[key] = r.value
	}
	return all
}

// Get returns a row.
func (t *Table[T]) Get(key string) (T, bool) {
	r, ok := t.rows[key]
	return r.value, ok
}

// ApplySnapshot takes in a reading of the whole table and reports whether a row changed.
// A reading of an older version than the table's is ignored.
func (t *Table[T]) ApplySnapshot(all map[string]T, version uint64) bool {
	return t.ApplyDelta(Delta[T]{Version: version, Full: true, Set: all})
}

// ApplyDelta takes in a delta and reports whether a row changed. One that does not
// lead to a newer version, or starts from another one, is ignored: a table never
// goes back, and lacks nothing.
func (t *Table[T]) ApplyDelta(d Delta[T]) bool {
	if d.Version <= t.version || !d.Full && d.From != t.version {
		return false
	}
	changed := false
	for key, value := range d.Set {
		if old, known := t.rows[key]; !known || !t.same(old.value, value) {
			t.rows[key] = row[T]{value, d.Version}
			changed = true
		}
	}
	if d.Full {
		for key := range t.rows {
			if _, present := d.Set[key]; !present {
				t.remove(key, d.Version)
				changed = true
			}
		}
	}
	for _, key := range d.Removed {
		if _, known := t.rows[key]; known {
			t.remove(key, d.Version)
			changed = true
		}
	}
	t.version = d.Version
	if len(t.versions) == maxVersions {
		t.versions = slices.Delete(t.versions, 0, maxVersions/2)
	}
	t.versions = append(t.versions, d.Version)
	return changed
}

func (t *Table[T]) remove(key string, version uint64) {
	delete(t.rows, key)
	if len(t.removed) == maxRemoved {
		const half = maxRemoved / 2
		forgotten := t.removed[half-1].version
		t.removed = slices.Delete(t.removed, 0, half)
		t.versions = slices.DeleteFunc(t.versions, func(v uint64) bool { return v < forgotten })
	}
	t.removed = append(t.removed, removal{key, version})
}

// DeltaSince returns what changed after a version, or nil if this copy is no newer.
// It returns the whole table for a version that this copy did not have.
func (t *Table[T]) DeltaSince(version uint64) *Delta[T] {
	if version >= t.version {
		return nil
	}
	d := &Delta[T]{From: version, Version: t.version}
	if _, had := slices.BinarySearch(t.versions, version); !had {
		d.Full, d.Set = true, t.All()
		return d
	}
	for key, r := range t.rows {
		if r.version > version {
			if d.Set == nil {
				d.Set = make(map[string]T)
			}
			d.Set[key] = r.value
		}
	}
	for _, r := range t.removed {
		if _, back := t.rows[r.key]; r.version > version && !back {
			d.Removed = append(d.Removed, r.key)
		}
	}
	return d
}
