package metrics_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/proxy/group"
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

// Guards the names of the series of decisions, which OPERATIONS.md lists.
func TestDecisionSeries(t *testing.T) {
	m := metrics.New()
	var decisions group.DecisionMetrics = m
	decisions.CountStrictRead(group.ByLease)
	decisions.CountStrictRead(group.ByRound)
	decisions.CountStrictRead(group.ByBound)
	decisions.CountCommitProof(takeover.NoProof)
	decisions.CountCommitProof(takeover.ByCounted)
	decisions.CountCommitProof(takeover.ByAll)
	decisions.CountCommitProof(takeover.ByAnnounced)
	decisions.CountOtherTerm("commit", "above")
	m.CountForgottenMember("left")
	var out bytes.Buffer
	m.Write(&out)
	for _, series := range []string{
		`papayarail_strict_reads_total{basis="lease"} 1`, `papayarail_strict_reads_total{basis="round"} 1`, `papayarail_strict_reads_total{basis="bound"} 1`,
		`papayarail_commit_proofs_total{proof="none"} 1`, `papayarail_commit_proofs_total{proof="counted"} 1`, `papayarail_commit_proofs_total{proof="all"} 1`, `papayarail_commit_proofs_total{proof="announced"} 1`,
		`papayarail_answers_of_other_term_total{kind="commit",direction="above"} 1`,
		`papayarail_members_forgotten_total{reason="left"} 1`,
	} {
		assert.Assert(t, strings.Contains(out.String(), series+"\n"), "%s is missing in %s", series, out.String())
	}
}
