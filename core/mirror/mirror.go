// Package mirror replicates tables of the platform's store to many instances by deltas.
// A version names one state of all tables of the store (see storeversion), so copies of
// the same version are equal whichever instance they came from, and an instance can
// switch to another source at any version. The package does no I/O.
package mirror

import "slices"

const (
	// maxRemovals limits the removals kept for deltas.
	maxRemovals = 256
	// maxVersions limits the versions from which a delta can start. A table that is
	// read every 300 ms keeps the versions of the last 19 s.
	maxVersions = 64
)

// Table is a copy of a store table at one version. It is not safe for concurrent use.
//
// Invariants: version never decreases; the version of a row is at most that of the
// table, and at least the version at which the store changed the row.
type Table[T any] struct {
	equal    func(a, b T) bool
	version  uint64
	rows     map[string]row[T]
	removals []removal
	// versions are the latest versions that this copy had, in ascending order, as far
	// back as all removals are kept. A delta starts from one of them only, as between
	// two of them rows may have been added and removed that this copy never had.
	versions []uint64
}

type row[T any] struct {
	value   T
	version uint64
}

// removal is the key of a removed row and the version at which this copy removed it.
type removal struct {
	key     string
	version uint64
}

// Delta holds the changes of a table from one version to another.
type Delta[T any] struct {
	// From is the version of the table to which the delta applies, and Version the
	// version of the result.
	From    uint64 `json:"from,omitempty"`
	Version uint64 `json:"version"`
	// Full means that Set is the whole table and From is ignored.
	Full    bool         `json:"whole,omitempty"`
	Set     map[string]T `json:"set,omitempty"`
	Removed []string     `json:"removed,omitempty"`
}

// New returns an empty table of version 0. equal reports whether two rows have the same
// value.
func New[T any](equal func(a, b T) bool) *Table[T] {
	return &Table[T]{equal: equal, rows: make(map[string]row[T])}
}

// Version returns the version of the table; 0 means that it has no content yet.
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

// Get returns the row of a key, and false if there is none.
func (t *Table[T]) Get(key string) (T, bool) {
	r, ok := t.rows[key]
	return r.value, ok
}

// ApplySnapshot replaces the content by a snapshot of the store's table and reports
// whether a row changed. A snapshot that is not newer than the table is ignored.
func (t *Table[T]) ApplySnapshot(all map[string]T, version uint64) bool {
	return t.ApplyDelta(Delta[T]{Version: version, Full: true, Set: all})
}

// Applies reports whether d leads from the version of the table, or from any version if
// it is full, to a newer one.
func (t *Table[T]) Applies(d Delta[T]) bool {
	return d.Version > t.version && (d.Full || d.From == t.version)
}

// ApplyDelta applies d and reports whether a row changed. A delta that does not lead to
// a newer version, or that starts from a version other than that of the table, is
// ignored, so that the version never decreases and no change is missing.
func (t *Table[T]) ApplyDelta(d Delta[T]) bool {
	if !t.Applies(d) {
		return false
	}
	changed := false
	for key, value := range d.Set {
		if previous, known := t.rows[key]; !known || !t.equal(previous.value, value) {
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
	if len(t.removals) == maxRemovals {
		const half = maxRemovals / 2
		lastDropped := t.removals[half-1].version
		t.removals = slices.Delete(t.removals, 0, half)
		t.versions = slices.DeleteFunc(t.versions, func(v uint64) bool { return v < lastDropped })
	}
	t.removals = append(t.removals, removal{key, version})
}

// DeltaSince returns the changes after the given version, or nil if the table is not
// newer. For a version that this copy did not have, the delta is the full table.
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
	for _, r := range t.removals {
		if _, addedAgain := t.rows[r.key]; r.version > version && !addedAgain {
			d.Removed = append(d.Removed, r.key)
		}
	}
	return d
}
