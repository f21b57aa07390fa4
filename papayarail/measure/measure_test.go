package measure

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against measuring another deployment by default than the one that dev runs.
func TestDefaultDocumentEqualsThatOfDev(t *testing.T) {
	want, err := os.ReadFile("../dev/default.json")
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(defaultDocument, want))
}
