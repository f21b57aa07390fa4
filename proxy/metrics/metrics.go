// Package metrics holds the counters, gauges and latency histograms of an instance and
// writes them in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/takeover"
	"github.com/papayarail/papayarail/core/verdict"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/group"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Metrics implements session.Metrics and limits.Metrics. The values of labels come from bounded sets only:
// consistencies, outcomes, causes, changes, store calls, and the workspaces of
// SetWorkspaces. This bounds the number of series.
type Metrics struct {
	set *metrics.Set

	mu         sync.RWMutex
	workspaces map[string]workspaceCounters // of SetWorkspaces
}

// New returns Metrics without any series.
func New() *Metrics { return &Metrics{set: metrics.NewSet()} }

// MaxWorkspaces is the number of workspaces that have series of their own.
const MaxWorkspaces = 20

// otherWorkspaces is the label of all other workspaces.
const otherWorkspaces = "other"

// workspaceCounters holds the names of the two series of a workspace.
type workspaceCounters struct{ ok, failed string }

func countersOf(workspace string) workspaceCounters {
	name := func(outcome string) string {
		return fmt.Sprintf(`papayarail_workspace_statements_total{workspace=%q,outcome=%q}`, workspace, outcome)
	}
	return workspaceCounters{name("ok"), name("failed")}
}

// SetWorkspaces sets the workspaces that have series of their own, at most MaxWorkspaces.
// It removes the series of workspaces that are no longer among them, so that the number
// of series stays bounded over any number of configurations.
func (m *Metrics) SetWorkspaces(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.workspaces
	m.workspaces = make(map[string]workspaceCounters)
	for _, name := range names[:min(len(names), MaxWorkspaces)] {
		m.workspaces[name] = countersOf(name)
	}
	for name, series := range before {
		if _, kept := m.workspaces[name]; !kept && name != otherWorkspaces {
			m.set.UnregisterMetric(series.ok)
			m.set.UnregisterMetric(series.failed)
		}
	}
}

// WorkspaceStatement counts a statement by the workspace of its caller.
func (m *Metrics) WorkspaceStatement(workspace string, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock() // held until counted, so that SetWorkspaces leaves no series behind
	series, found := m.workspaces[workspace]
	if !found {
		series = countersOf(otherWorkspaces)
	}
	name := series.failed
	if ok {
		name = series.ok
	}
	m.set.GetOrCreateCounter(name).Inc()
}

// CountRefusal counts a refused caller, or a refused operation of an open session, by its
// cause.
func (m *Metrics) CountRefusal(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_refusals_total{cause=%q}`, cause)).Inc()
}

// Statement counts a statement by consistency and outcome, and records its latency if
// it succeeded.
func (m *Metrics) Statement(c catalog.Consistency, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_statements_total{consistency=%q,outcome=%q}`, c, outcome)).Inc()
	if outcome == "ok" {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`papayarail_statement_seconds{consistency=%q}`, c)).Update(took.Seconds())
	}
}

// CountRetry counts a retry of a statement by its cause.
func (m *Metrics) CountRetry(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_retries_total{cause=%q}`, cause)).Inc()
}

// QueueWait implements upstream.QueueMetrics.
func (m *Metrics) QueueWait(r schedule.Rank, waited time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`papayarail_queue_wait_seconds{rank=%q}`, r)).Update(waited.Seconds())
}

// CountQueueRefusal implements upstream.QueueMetrics.
func (m *Metrics) CountQueueRefusal(r schedule.Rank, cause verdict.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_queue_refusals_total{rank=%q,cause=%q}`, r, cause)).Inc()
}

// CountCancelled implements upstream.QueueMetrics.
func (m *Metrics) CountCancelled(s upstream.Stage) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_statements_cancelled_total{stage=%q}`, s)).Inc()
}

// CountEntryRefusal counts a statement that was refused here because a gateway refuses
// such statements.
func (m *Metrics) CountEntryRefusal(r schedule.Rank) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_entry_refusals_total{rank=%q}`, r)).Inc()
}

// StoreCall counts a call to the store by its outcome and records its latency.
func (m *Metrics) StoreCall(call string, err error, took time.Duration) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`papayarail_store_call_seconds{call=%q}`, call)).Update(took.Seconds())
}

// CountIgnoredSnapshot counts a snapshot of a table of the store that was not used
// because a newer one is known.
func (m *Metrics) CountIgnoredSnapshot(table string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_store_snapshots_ignored_total{table=%q}`, table)).Inc()
}

// CountConnections implements upstream.PoolCounters.
func (m *Metrics) CountConnections(opened, replaced uint64) {
	m.set.GetOrCreateCounter("papayarail_upstream_connections_opened_total").AddInt64(int64(opened))
	m.set.GetOrCreateCounter("papayarail_upstream_connections_replaced_total").AddInt64(int64(replaced))
}

// CountConnectionWaits implements upstream.PoolCounters.
func (m *Metrics) CountConnectionWaits(n uint64) {
	m.set.GetOrCreateCounter("papayarail_upstream_connection_waits_total").AddInt64(int64(n))
}

// CountMemberChange counts a change of the state of a member; see group.HealthMetrics.
func (m *Metrics) CountMemberChange(kind, cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_member_changes_total{change=%q,cause=%q}`, kind, cause)).Inc()
}

// CountGuardedCommit counts an acknowledgement that arrived while the primary was being
// replaced; see group.AcknowledgementMetrics.
func (m *Metrics) CountGuardedCommit(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_guarded_commits_total{result=%q}`, result)).Inc()
}

// CountMissingCommits counts a promoted member that lacks an acknowledged commit; see
// group.AcknowledgementMetrics.
func (m *Metrics) CountMissingCommits() {
	m.set.GetOrCreateCounter("papayarail_promotions_lacking_commits_total").Inc()
}

// CountBlockedChanges counts an attempt to replace a primary that found no member with all
// acknowledged commits; see group.AcknowledgementMetrics.
func (m *Metrics) CountBlockedChanges() {
	m.set.GetOrCreateCounter("papayarail_blocked_primary_changes_total").Inc()
}

// CountForgottenMember counts a member that this instance waits for no longer; see
// group.AcknowledgementMetrics.
func (m *Metrics) CountForgottenMember(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_members_forgotten_total{reason=%q}`, reason)).Inc()
}

// ObserveCommitProof records the wait of an acknowledgement; see group.AcknowledgementMetrics.
func (m *Metrics) ObserveCommitProof(waited time.Duration) {
	m.set.GetOrCreateHistogram("papayarail_commit_proof_seconds").Update(waited.Seconds())
}

// CountStrictRead counts an answered strict read; see group.DecisionMetrics.
func (m *Metrics) CountStrictRead(basis group.BasisKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_strict_reads_total{basis=%q}`, basis)).Inc()
}

// CountCommitProof counts an acknowledgement that was passed on; see group.DecisionMetrics.
func (m *Metrics) CountCommitProof(by takeover.ProofKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_commit_proofs_total{proof=%q}`, by)).Inc()
}

// CountOtherTerm counts an answer of another term than that of the primary that its choice
// rests on; see group.DecisionMetrics.
func (m *Metrics) CountOtherTerm(kind, direction string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_answers_of_other_term_total{kind=%q,direction=%q}`, kind, direction)).Inc()
}

// RegisterPaceGauges registers the gauges of the members below full use: how many there
// are, the statements in flight that this instance allows for them together, and the
// number at full use. They have no label, as the IDs of members are not bounded.
func (m *Metrics) RegisterPaceGauges(members, limit, full func() float64) {
	m.set.GetOrCreateGauge("papayarail_paced_members", members)
	m.set.GetOrCreateGauge("papayarail_paced_members_limit", limit)
	m.set.GetOrCreateGauge("papayarail_paced_members_full_limit", full)
}

// RegisterEraGauge registers the gauge of the store's era, which grows when the store is
// restored from an older copy.
func (m *Metrics) RegisterEraGauge(era func() float64) {
	m.set.GetOrCreateGauge("papayarail_store_era", era)
}

// RegisterConfigAgeGauge registers the gauge of the time in seconds since the configuration of
// this instance was last known to be the newest one; 0 if it never was.
func (m *Metrics) RegisterConfigAgeGauge(age func() float64) {
	m.set.GetOrCreateGauge("papayarail_config_age_seconds", age)
}

// RegisterSessionGauge registers the gauge of open sessions.
func (m *Metrics) RegisterSessionGauge(open func() float64) {
	m.set.GetOrCreateGauge("papayarail_sessions_open", open)
}

// CountLimitRefusal counts an operation refused because of the limit of its workspace.
func (m *Metrics) CountLimitRefusal(workspace, cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_limit_refusals_total{workspace=%q,cause=%q}`, workspace, cause)).Inc()
}

// CountPermits counts permits that were granted to, or returned by, this instance.
func (m *Metrics) CountPermits(workspace, what string, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`papayarail_permits_total{workspace=%q,what=%q}`, workspace, what)).Add(n)
}

// RegisterAllocatorChanges registers the gauge of changes to another allocator.
func (m *Metrics) RegisterAllocatorChanges(count func() float64) {
	m.set.GetOrCreateGauge("papayarail_allocator_changes", count)
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
