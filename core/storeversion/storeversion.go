// Package storeversion orders the versions of a store that may be restored from an older
// copy. A restore takes the store's counter back, and versions are given out again for
// other changes. Counters are therefore comparable within an era only: the time between
// two restores.
package storeversion

import "github.com/zeebo/errs"

// Class groups the errors of this package.
var Class = errs.Class("store version")

// counterBits is the number of bits of the counter; 400 writes a second take 87 years to
// exhaust it.
const counterBits = 40

const (
	maxCounter = 1<<counterBits - 1
	maxEra     = 1<<(64-counterBits) - 1
)

// Version is a version of the store: its era and, within it, its counter of writes. A
// version of a later era is greater than all versions of earlier ones, so that versions
// may be compared and serve as fencing tokens. In the first era, it equals the counter.
type Version uint64

// New returns the version of a counter in an era; era 0 is that of a store that was never
// restored. It fails if either number is too large.
func New(era, counter uint64) (Version, error) {
	if era > maxEra || counter > maxCounter {
		return 0, Class.New("era %d or counter %d is too large", era, counter)
	}
	return Version(era<<counterBits | counter), nil
}

// Era returns how often the store had been restored.
func (v Version) Era() uint64 { return uint64(v >> counterBits) }

// Counter returns the store's counter of writes. The counter of a row that does not exist
// is 0.
func (v Version) Counter() uint64 { return uint64(v & maxCounter) }

// EraStart returns the version with counter 0 in the same era.
func (v Version) EraStart() Version { return v &^ maxCounter }
