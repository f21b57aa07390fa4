package statement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two statements with different SQL or parameter types sharing a name.
func TestNameDependsOnSQLAndTypes(t *testing.T) {
	base := New("SELECT $1", []uint32{23})
	assert.Equal(t, base.Name, New("SELECT $1", []uint32{23}).Name)
	for _, other := range []Prepared{New("SELECT $1", nil), New("SELECT $1", []uint32{25}), New("SELECT $1\x00\x00\x00\x17", nil)} {
		assert.Assert(t, other.Name != base.Name)
	}
	assert.Assert(t, len(base.Name) < 64)
}
