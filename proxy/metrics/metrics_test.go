package metrics_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/proxy/metrics"
)

// Guards the bound on the series by workspace, over many workspaces and over many
// configurations with other ones.
func TestWorkspaceSeriesAreBounded(t *testing.T) {
	m := metrics.New()
	var out bytes.Buffer
	for version := range 10 {
		var names []string
		for i := range metrics.MaxWorkspaces {
			names = append(names, fmt.Sprint("w", version*5+i))
		}
		m.SetWorkspaces(names)
		for i := range 200 {
			m.WorkspaceStatement(fmt.Sprint("w", i), i%2 == 0)
			m.WorkspaceStatement(fmt.Sprint("w", i), true)
		}
		out.Reset()
		m.Write(&out)
		assert.Assert(t, strings.Count(out.String(), "workspace=") <= 2*(metrics.MaxWorkspaces+1), out.String())
	}
	assert.Assert(t, strings.Contains(out.String(), `{workspace="w45",outcome="ok"} `))
	assert.Assert(t, strings.Contains(out.String(), `{workspace="other",outcome="failed"} `))
	assert.Assert(t, !strings.Contains(out.String(), `"w44"`), "a workspace that is no longer among the highest keeps its series")
}
