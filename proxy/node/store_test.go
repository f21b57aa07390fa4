package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against tables that are read less often than their interval says: the members were
// read every 1.2 s, with every fourth read of the records, instead of every 1 s.
func TestTablesAreReadOncePerInterval(t *testing.T) {
	for _, chances := range []time.Duration{urgentInterval, readInterval} {
		var s readSchedule
		for now := time.Duration(0); now < 10*time.Second; now += chances {
			since := now - s.startedAt
			if s.begin(now, membersInterval, chances) {
				assert.Assert(t, now == 0 || since > membersInterval-chances, "read again after %s, chances every %s", since, chances)
				s.end(true)
			} else {
				assert.Assert(t, since+chances <= membersInterval, "read no earlier than after %s, chances every %s", since+chances, chances)
			}
		}
	}
}
