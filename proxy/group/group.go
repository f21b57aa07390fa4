// Package group tracks the primary of one database group, chooses the member
// that executes each request, detects failures of the primary and runs its
// failover. The decisions are made by the state machines in core/primacy,
// core/replicaselect and core/takeover; this package does the I/O and passes them the
// members' answers and the times.
package group

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/handover"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/quota"
	"github.com/papayarail/papayarail/core/schedule"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Class groups the errors of this package.
var Class = errs.Class("group")

// ErrConflict means that a record was not written because another version is stored.
var ErrConflict = errs.New("record was changed by another instance")

// ErrRestored means that the store was restored from an older copy since the record was
// read. The record may have been written over another one that has the same version.
var ErrRestored = errs.New("store was restored from an older copy")

// RecordStore keeps the primacy records of all groups in the platform's store. The record
// of a group names its primary and, while an instance is replacing it, that instance's
// claim.
type RecordStore interface {
	// Records returns the records of all groups, by service.
	Records(ctx context.Context) (catalog.Snapshot[primacy.Record], error)
	// Put stores a record if the stored version is r.Version, and returns the
	// new version and the store's time. It returns ErrConflict if another version
	// is stored, and ErrRestored if the store answers in another era than that of
	// r.Version. After any other error the record may have been stored, or may
	// still be stored later if the stored version is r.Version then.
	Put(ctx context.Context, r primacy.Record) (version storeversion.Version, storeNow time.Duration, err error)
}

// Promotion is a request to the platform to make a member the primary.
type Promotion struct {
	Service string
	Member  string
	// Holder is the instance that holds the claim.
	Holder string
	// FencingToken increases with each claim, also over restores of the store, so that
	// the platform can reject a promotion by an earlier holder.
	FencingToken storeversion.Version
}

var (
	// ErrNotCalled means that the platform has not accepted a promotion: nothing was sent,
	// or it refused the call.
	ErrNotCalled = errors.New("promotion was not accepted")
	// ErrNotRunning means that the platform refused a promotion because the member does not
	// run.
	ErrNotRunning = fmt.Errorf("%w: member does not run", ErrNotCalled)
)

// Promoter sends promotions to the platform.
type Promoter interface {
	// The error is ErrNotCalled if the promotion cannot take effect. After any other error
	// it may do so later.
	//
	// Promote calls maySend once the connection is open, right before it sends, and
	// fails without sending if that returns false.
	// Nothing that it sent may reach the platform after it has returned.
	Promote(p Promotion, maySend func() bool, timeout time.Duration) error
}

// Gateway runs jobs on a member through another instance, the member's gateway.
// reached is false if the gateway did not accept the job, which is then routed
// again.
type Gateway interface {
	Execute(j upstream.Job) (r upstream.Result, reached bool)
	Open(begin statement.Statement, j upstream.Job) (tx upstream.Tx, o upstream.OpenResult, reached bool)
	// Confirm asks the gateway for a quorum round of the service that begins
	// after the call.
	Confirm(service string) (Confirmation, error)
	// ExpectedWait returns the expected queueing time of a request of the rank at the
	// gateway, as last reported.
	ExpectedWait(r schedule.Rank) time.Duration
	// Outside reports whether the gateway is in another failure domain than this instance.
	// It then reports its calls and their answers to Reachability itself.
	Outside() bool
}

// Gateways determines which instances connect to a member. connections is the member's
// connection limit over all instances.
type Gateways interface {
	// Gateway returns the gateway of a member, or nil if this instance connects to
	// the member directly. The error is a *verdict.Error: this instance must not connect to
	// the member, and no gateway is available.
	Gateway(service string, m catalog.Member, primary bool, connections int) (Gateway, error)
	// Limits returns the quota of this instance at a member; share is its share of all
	// callers.
	Limits(m catalog.Member, connections int, share float64) quota.Limits
	// ConnectingInstances returns how many instances connect to the member at the same time
	// on behalf of all others, if this instance is one of those; 0 if it is not, or if all
	// instances connect directly.
	ConnectingInstances(m catalog.Member, connections int) int
}

// Reachability detects that the instance is isolated. It is told of the requests that a
// group sends to members outside of the instance's failure domain, and of their answers.
type Reachability interface {
	RecordRequest(member string)
	RecordAnswer()
}

// noReachability is a Reachability that ignores all calls.
type noReachability struct{}

// RecordRequest implements Reachability.
func (noReachability) RecordRequest(string) {}

// RecordAnswer implements Reachability.
func (noReachability) RecordAnswer() {}

// noGateways is the Gateways of an instance that connects to all members directly.
type noGateways struct{}

// Gateway implements Gateways.
func (noGateways) Gateway(string, catalog.Member, bool, int) (Gateway, error) { return nil, nil }

// Limits implements Gateways.
func (noGateways) Limits(m catalog.Member, connections int, share float64) quota.Limits {
	return quota.ForInstance(connections, m.Slots, share)
}

// ConnectingInstances implements Gateways.
func (noGateways) ConnectingInstances(catalog.Member, int) int { return 0 }

// Metrics receives the counts of a group.
type Metrics interface {
	HealthMetrics
	AcknowledgementMetrics
	DecisionMetrics
}

// Config holds the dependencies of a Group. Gateways, Reachability, PoolCounters, Metrics, DecisionLog and RoundTrip are
// optional: without Gateways, the instance connects to all members directly.
type Config struct {
	Service       string
	Instance      string
	FailureDomain string
	Dialer        statement.Dialer
	Gateways      Gateways
	Reachability  Reachability
	PoolCounters  upstream.PoolCounters
	// RoundTrip returns the measured round trip to a failure domain, or 0; nil means that
	// none is measured.
	RoundTrip   func(domain string) time.Duration
	RecordStore RecordStore
	Promoter    Promoter
	Metrics     Metrics
	Clock       boottime.Clock
	Log         *logrus.Entry
	// QueueMetrics receives the metrics of the queues for the members; it is optional.
	QueueMetrics upstream.QueueMetrics
	// DecisionLog receives the unusual decisions; it is optional.
	DecisionLog DecisionLog
	// DrainTime is the time for which a member takes statements after it has reported that it
	// leaves; 0 means that it takes them until it ends.
	DrainTime time.Duration
}

// Group is one database group as seen by this instance. It is safe for concurrent use.
type Group struct {
	cfg Config

	mu      sync.Mutex
	service catalog.Service
	profile upstream.Profile
	tracker primacy.Tracker
	members map[string]*member
	health  *healthMonitor
	fleet   *gateway.Fleet
	changed chan struct{} // closed and replaced when waiting requests should check again
	// gatewayDoubtUntil is the time until which a gateway's report that the primary
	// does not serve counts.
	gatewayDoubtUntil time.Duration

	lastRecordsRead     storetime.Timestamp // when the records were last read
	era                 uint64              // latest era of the store
	eraSeenAt           time.Duration       // store's time of the earliest known answer in that era
	lastMembersRead     time.Duration       // when the members were last read, of the reads passed to UpdateMembers
	membersAsOf         time.Duration       // when the members were last read, changed or not
	noClaimAt           time.Duration       // when the record was last read without a claim
	primaryUsedAt       time.Duration       // last statement that this instance ran on the primary
	watching            bool                // watchMembers runs
	primaryMissingSince time.Duration       // first read of the members without the primary; 0 if it is registered
	primaryKnownAt      time.Duration       // when this instance learned of the present primary
	lastRequestAt       time.Duration       // arrival of the last request of a caller of this instance
	selfReported        primacy.Primary     // member that reports itself primary, with term 0 until learnPrimary knows it; used once a record shows no failover in progress
	selfReportedAt      time.Duration
	leaving             catalog.Leaving // see SetLeaving

	lastAttemptAt time.Duration // last failover attempt; used by Run only
	lastAckSentAt time.Duration // when the last acknowledged write was sent to the primary
	// missingLog is the position that no member had reached that this instance could have
	// promoted, in its latest round as the holder of the claim; zero if one had.
	missingLog             position.Position
	ackedPosition          position.Position // highest position of an acknowledged write
	firstPrimaryUnrecorded bool              // the first primary has yet to be recorded
	suspicion              suspicion
	silence                silenceWatch
	switchover             handover.Detector
	rounds                 quorumRounds
	samples                decisionSamples
	announcement           announcement
	roster                 roster
	wake                   chan struct{} // of capacity 1; makes Run check the group at once
	running                bool          // Run runs
	finished               chan struct{} // closed when Run has returned
	startedAt              time.Duration // when the group was created
}

// New returns a Group without members. Failures are handled only while Run runs.
func New(cfg Config, service catalog.Service) *Group {
	if cfg.Gateways == nil {
		cfg.Gateways = noGateways{}
	}
	if cfg.Reachability == nil {
		cfg.Reachability = noReachability{}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = noMetrics{}
	}
	if cfg.DecisionLog == nil {
		cfg.DecisionLog = noDecisionLog{}
	}
	return &Group{
		cfg: cfg, service: service, health: newHealthMonitor(&cfg),
		members: make(map[string]*member), fleet: gateway.NewStandalone(cfg.Instance),
		changed: make(chan struct{}), wake: make(chan struct{}, 1), finished: make(chan struct{}),
		startedAt: cfg.Clock(),
	}
}

// Service returns the name of the service.
func (g *Group) Service() string { return g.cfg.Service }

// broadcast wakes all waiting requests. g.mu is held.
func (g *Group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// signalRun wakes Run.
func (g *Group) signalRun() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// UpdateService sets the service's entry of a new configuration.
func (g *Group) UpdateService(s catalog.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service = s
}

// SetProfile sets what the routes to the service tell about the queues for its members.
func (g *Group) SetProfile(p upstream.Profile) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p == g.profile {
		return
	}
	g.profile = p
	for _, m := range g.members {
		m.SetProfile(p)
	}
}

// expectedProfile returns the profile for a new member, with the greatest service time of
// each rank that another member shows, if there is one. g.mu is held.
func (g *Group) expectedProfile() upstream.Profile {
	p := g.profile
	for r := range p.ServiceTime {
		measured := time.Duration(0)
		for _, m := range g.members {
			measured = max(measured, m.MeasuredServiceTime(schedule.Rank(r)))
		}
		if measured > 0 {
			p.ServiceTime[r] = measured
		}
	}
	return p
}

// SetMaxStaleness sets the largest staleness bound of all routes to the service.
func (g *Group) SetMaxStaleness(staleness time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetMaxStaleness(staleness)
}

// SetFleet sets the announced instances.
func (g *Group) SetFleet(f *gateway.Fleet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet = f
}

// gatewayFor returns the gateway of a chosen member, or nil if this instance
// connects to it directly. The error is that of Gateways.
func (g *Group) gatewayFor(c Choice) (Gateway, error) {
	g.mu.Lock()
	limit := g.service.Connections
	g.mu.Unlock()
	return g.cfg.Gateways.Gateway(g.cfg.Service, c.Member(), c.Primary, limit)
}

// UpdateRecord handles a read of the group's record, made at the given time. A
// record without a version means that none is stored.
func (g *Group) UpdateRecord(r primacy.Record, at storetime.Timestamp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	storeNow, sentAt := at.Store, at.Earliest
	oldRecord, previous := g.tracker.Record(), g.tracker.Primary()
	if at.Store > g.lastRecordsRead.Store {
		g.lastRecordsRead = at
	}
	changed := g.tracker.ObserveRecord(r, storeNow, sentAt)
	if changed && r.Lacks(g.ackedPosition) {
		g.cfg.Metrics.CountMissingCommits()
		g.cfg.Log.WithFields(logrus.Fields{"event": "acknowledged_commit_missing", "lead": r.Primary.Member, "term": r.Primary.Term, "promoted_at": r.PromotedAt.String(), "acknowledged": g.ackedPosition.String()}).Error("the promoted member lacks a commit that was acknowledged to a caller")
	}
	g.announcement.observe(g.tracker.Record(), at.Latest)
	g.observeNames()
	if r.Version >= oldRecord.Version && r.Claim == nil && r.Confirmed() {
		g.noClaimAt = max(g.noClaimAt, sentAt)
	}
	if r.Version != oldRecord.Version {
		g.logRecord(r)
		g.signalRun()
	}
	if changed {
		g.stepDownFormer(previous)
		g.observePrimaryChange(previous, "record")
		g.suspicion.primaryChangedAt = g.cfg.Clock()
		g.suspicion.clear()
	}
	if r.Claim == nil && g.selfReported.Term > 0 && sentAt > g.selfReportedAt && g.tracker.ObserveRole(g.selfReported) {
		g.observePrimaryChange(previous, "own_word")
		// With a record, instances that start later need not ask the members. After a
		// restore, another member may have been promoted; see confirmRecord.
		g.firstPrimaryUnrecorded = r.Version.Counter() == 0 && r.Confirmed()
		g.signalRun()
		// The first call of ObserveRecord granted no lease because no primary was known then. The read
		// was sent after the member had reported itself, so it counts for the lease.
		g.tracker.ObserveRecord(r, storeNow, sentAt)
	}
	g.broadcast()
}

// stepDownFormer asks a former primary to step down. A former primary that is
// partitioned from its successor does not learn of it, and may be reachable from this
// instance only. Instances that use gateways leave that to these: nobody uses a primary that
// no gateway reaches. g.mu is held.
func (g *Group) stepDownFormer(former primacy.Primary) {
	if former.Member == "" || former.Member == g.tracker.Primary().Member || g.members[former.Member] == nil {
		return
	}
	gw, err := g.cfg.Gateways.Gateway(g.cfg.Service, g.members[former.Member].Member(), false, g.service.Connections)
	if gw != nil || err != nil {
		return
	}
	command := statement.Control{Kind: statement.StepDown, Term: g.tracker.Primary().Term}
	go g.controlAll(command, []string{former.Member}, false)
}

func (g *Group) logRecord(r primacy.Record) {
	fields := logrus.Fields{"event": "record", "era": r.Version.Era(), "version": r.Version.Counter(), "confirmed": r.Confirmed(), "lead": r.Primary.Member, "term": r.Primary.Term}
	if r.Claim != nil {
		fields["claim_holder"], fields["claim_old"] = r.Claim.Holder, r.Claim.OldPrimary.Member
	}
	if known := g.tracker.Primary(); r.Primary.Term < known.Term {
		fields["known_lead"], fields["known_term"] = known.Member, known.Term
	}
	g.cfg.Log.WithFields(fields).Info("record of the group changed")
}

// observePrimaryChange logs a new primary and resets what was known of the former one.
// g.mu is held.
func (g *Group) observePrimaryChange(former primacy.Primary, source string) {
	g.lastAckSentAt = 0 // acknowledgements of the former primary do not confirm the new one
	g.primaryMissingSince, g.missingLog = 0, position.Position{}
	g.primaryKnownAt = g.cfg.Clock()
	g.silence.answeredAt = 0
	g.switchover.Reset()
	for _, m := range g.members {
		m.maxPosition = position.Position{} // replicas that were ahead of the new primary are rolled back
	}
	primary := g.tracker.Primary()
	if m := g.members[primary.Member]; m != nil && former.Member != "" && former.Member != primary.Member {
		g.health.startPace(primary.Member, m.Upstream, upstream.Promoted, m.Member().ColdFor > 0)
	}
	g.cfg.Log.WithFields(logrus.Fields{"event": "lead", "member": primary.Member, "term": primary.Term, "before": former.Member, "source": source}).Info("primary changed")
}

// acknowledgedPosition returns the highest position of a commit whose acknowledgement this
// instance has passed on.
func (g *Group) acknowledgedPosition() position.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ackedPosition
}

// storeTime returns a lower bound of the store's present time. g.mu is held.
func (g *Group) storeTime() time.Duration {
	return g.lastRecordsRead.Store + g.cfg.Clock() - g.lastRecordsRead.Latest
}

// Primary returns the current primary and its upstream, which is nil if the primary
// is not registered.
func (g *Group) Primary() (primacy.Primary, *upstream.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLocked()
}

// primaryLocked is Primary with g.mu held.
func (g *Group) primaryLocked() (primacy.Primary, *upstream.Upstream) {
	primary := g.tracker.Primary()
	if m := g.members[primary.Member]; m != nil && !m.departed {
		return primary, m.Upstream
	}
	return primary, nil
}

// ObservePosition handles the log position in a member's answer to a statement that
// was sent at sentAt.
func (g *Group) ObservePosition(u *upstream.Upstream, p position.Position, sentAt time.Duration) {
	if p.IsZero() {
		return
	}
	u.ObservePosition(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	// A member that was a replica when it answered may have lacked commits of an earlier term.
	if p.Term == g.tracker.Primary().Term || sentAt >= g.primaryKnownAt {
		g.tracker.ObservePosition(u.Member().ID, p, sentAt)
	}
	if u.Member().ID == g.tracker.Primary().Member {
		g.silence.answeredAt = g.cfg.Clock()
		g.suspicion.answered(g.silence.answeredAt)
	}
}

// PrimaryState is what the group knows of its primary, for the log and the diagnostic
// dump of the instance (node.State).
type PrimaryState struct {
	Primary       primacy.Primary      `json:"lead"`
	RecordVersion storeversion.Version `json:"record_version"`
	// RecordOutdated means that the record is no evidence of the primary; see
	// primacy.Tracker.RecordOutdated.
	RecordOutdated bool `json:"record_outdated,omitempty"`
	// ConfirmedFor is the time until the confirmation of the primary expires;
	// negative if it has expired.
	ConfirmedFor time.Duration `json:"proven_for_ns"`
	// ClaimHolder is the instance that is replacing the primary, or empty.
	ClaimHolder string `json:"claim_holder,omitempty"`
	// Down means that the primary does not serve: probes of it failed, or the store
	// shows it.
	Down bool `json:"doubted"`
}

// PrimaryState returns what the group knows of its primary.
func (g *Group) PrimaryState() PrimaryState {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := PrimaryState{Primary: g.tracker.Primary(), RecordVersion: g.tracker.Record().Version, RecordOutdated: g.tracker.RecordOutdated(), ConfirmedFor: g.tracker.ProvenUntil() - g.cfg.Clock(), Down: g.suspicion.confirmed}
	if g.tracker.ReplacementClaimed() {
		state.ClaimHolder = g.tracker.Record().Claim.Holder
	}
	return state
}

// PrimaryUncertain reports whether the primary is unknown, is being replaced or does
// not answer; the group's record should then be read more often than usual.
func (g *Group) PrimaryUncertain() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.ReplacementClaimed() || g.suspicion.confirmed || g.tracker.Primary().Member == "" || g.cfg.Clock() < g.gatewayDoubtUntil
}

// ConfirmedUntil returns the time until which the primary is confirmed, and starts a
// quorum round if that time has passed.
func (g *Group) ConfirmedUntil() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := g.tracker.ProvenUntil()
	if g.tracker.Primary().Member != "" && until < g.cfg.Clock() {
		g.startRound()
	}
	return until
}

// UsedSince reports whether a caller of this instance has sent the group a request
// after the given time.
func (g *Group) UsedSince(at time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastRequestAt > at
}

// PoolStates returns the state of the connections to each member.
func (g *Group) PoolStates() map[string]upstream.PoolState {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[string]upstream.PoolState, len(g.members))
	for id, m := range g.members {
		all[id] = m.PoolState()
	}
	return all
}

// Close ends idle connections of all members.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.Close()
	}
}
