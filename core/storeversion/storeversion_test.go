package storeversion_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/storeversion"
)

// Guards against a version given out again after a restore that is taken for the earlier
// one, and against a fencing token that decreases with a restore.
func TestLaterEraIsGreater(t *testing.T) {
	before, err := storeversion.New(1, 900)
	assert.NilError(t, err)
	after, err := storeversion.New(2, 3)
	assert.NilError(t, err)
	assert.Assert(t, after > before)
	assert.Equal(t, after.Era(), uint64(2))
	assert.Equal(t, after.Counter(), uint64(3))
	assert.Assert(t, after.EraStart() > before && after.EraStart() < after)
	assert.Equal(t, after.EraStart().Counter(), uint64(0))
}

// Guards against a counter that runs over into the era.
func TestTooLargeNumbersAreRefused(t *testing.T) {
	_, err := storeversion.New(0, 1<<40)
	assert.Assert(t, err != nil)
	_, err = storeversion.New(1<<24, 0)
	assert.Assert(t, err != nil)
}
