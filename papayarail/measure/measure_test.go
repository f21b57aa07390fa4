package measure

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against measuring by default another deployment than the one that the dev
// subcommand runs.
func TestDefaultDocumentEqualsThatOfDev(t *testing.T) {
	want, err := os.ReadFile("../dev/default.json")
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(defaultDocument, want))
}
