// Package group is one instance's view of one database group: who leads it,
// which member may execute a request, and how its primary is replaced. The
// decisions are those of core/leadership, core/replicaselect and core/takeover; this
// package feeds them with answers and times.
package group

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/handover"
	"github.com/papayarail/papayarail/core/leadership"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/proxy/boottime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Class groups the errors of this package.
var Class = errs.Class("group")

// ErrConflict means that a record was not written because another version is stored.
var ErrConflict = errs.New("record was changed meanwhile")

// RecordStore keeps the records of all groups in the platform's store.
type RecordStore interface {
	// Records reads the records of all groups, by service.
	Records(ctx context.Context) (catalog.Snapshot[leadership.Record], error)
	// Put stores a record if the stored version is r.Version, and returns the
	// new version. MinPosition any error but ErrConflict it may have been stored, or
	// may be stored later while the condition holds.
	Put(ctx context.Context, r leadership.Record) (version uint64, storeNow time.Duration, err error)
}

// Promotion asks the platform to make a member the primary.
type Promotion struct {
	Service string
	Member  string
	Holder  string
	// FencingToken grows with each change of holder.
	FencingToken uint64
}

// Promoter sends promotions. The call must not reach the platform after it has
// returned. maySend is asked after the connection is open, right before sending.
type Promoter interface {
	Promote(p Promotion, maySend func() bool, timeout time.Duration) error
}

// Gateway runs jobs on a member through another instance, its gateway. reached is
// false if the gateway did not take the job; another way is then tried.
type Gateway interface {
	Execute(j upstream.Job) (r upstream.Result, reached bool)
	Open(begin statement.Statement, j upstream.Job) (tx upstream.Tx, o upstream.OpenResult, reached bool)
	// Confirm asks for a round of questions to the members of the service that
	// begins after the call.
	Confirm(service string) (Confirmation, error)
	// Load is the expected wait at the gateway, as it last said.
	Load() time.Duration
}

// Gateways knows which instances connect to a member.
type Gateways interface {
	// Gateway returns the gateway of a member with this limit of connections, or nil
	// if this instance connects to it itself.
	Gateway(service, member string, primary bool, limit int) Gateway
	// ConnectingInstances returns the number of instances that connect to the member, if
	// this instance is one of them, and otherwise 0.
	ConnectingInstances(member string, limit int) int
}

// Reachability hears what a group asks of members outside of the instance's failure
// domain, and what they answer.
type Reachability interface {
	Asked(member string)
	Answered()
}

// notWatched is Reachability of an instance that does not watch it.
type notWatched struct{}

// Asked implements Reachability.
func (notWatched) Asked(string) {}

// Answered implements Reachability.
func (notWatched) Answered() {}

// direct is Gateways of an instance that connects to all members itself.
type direct struct{}

// Gateway implements Gateways.
func (direct) Gateway(string, string, bool, int) Gateway { return nil }

// ConnectingInstances implements Gateways.
func (direct) ConnectingInstances(string, int) int { return 0 }

// Config is what a Group needs. Without Gateways, the instance connects to all
// members itself; without Reachability, nobody watches whether members answer.
type Config struct {
	Service       string
	Instance      string
	FailureDomain string
	Dialer        statement.Dialer
	Gateways      Gateways
	Reachability  Reachability
	RecordStore   RecordStore
	Promoter      Promoter
	Clock         boottime.Clock
	Log           *logrus.Entry
}

// Group is one database group. It is safe for concurrent use.
type Group struct {
	cfg Config

	mu      sync.Mutex
	service catalog.Service
	tracker leadership.Tracker
	members map[string]*member
	fleet   *gateway.Fleet
	changed chan struct{} // closed whenever a waiting request may go on
	// doubtedUntil is until when a gateway's doubt of the primary counts.
	doubtedUntil time.Duration

	recordsRead storetime.Timestamp // of the last reading of the records
	membersRead time.Duration       // of the last reading of the members
	leadMissing time.Duration       // since when the lead is missing in readings of the members; 0 if it is not
	usedAt      time.Duration       // last request of a caller of this instance
	roleHint    leadership.Leader   // primary by its own word, until the records confirm that no change is under way
	roleSeen    time.Duration

	attempted    time.Duration     // last attempt to replace the primary; used by Run only
	committed    time.Duration     // when the last acknowledged write was sent to the lead
	acknowledged position.Position // greatest position of an acknowledged write
	unrecorded   bool              // the first lead is to be recorded
	suspicion    suspicion
	silence      silence
	handover     handover.Detector
	rounds       rounds
	wake         chan struct{}
	finished     chan struct{}
}

// New returns a Group without members. Run must be called for it to act.
func New(cfg Config, service catalog.Service) *Group {
	if cfg.Gateways == nil {
		cfg.Gateways = direct{}
	}
	if cfg.Reachability == nil {
		cfg.Reachability = notWatched{}
	}
	return &Group{
		cfg: cfg, service: service,
		members: make(map[string]*member), fleet: gateway.NewStandalone(cfg.Instance),
		changed: make(chan struct{}), wake: make(chan struct{}, 1), finished: make(chan struct{}),
	}
}

// Service returns the name of the service.
func (g *Group) Service() string { return g.cfg.Service }

// broadcast lets waiting requests look again. g.mu is held.
func (g *Group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Group) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// UpdateService takes in the service's entry of a new configuration.
func (g *Group) UpdateService(s catalog.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service = s
}

// AcceptStaleness takes in the greatest age of data that a route to the service accepts.
func (g *Group) AcceptStaleness(staleness time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.SetMaxStaleness(staleness)
}

// SetFleet takes in the announced instances.
func (g *Group) SetFleet(f *gateway.Fleet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet = f
}

// way returns the gateway of a chosen member, or nil.
func (g *Group) way(c Choice) Gateway {
	g.mu.Lock()
	limit := g.service.Connections
	g.mu.Unlock()
	return g.cfg.Gateways.Gateway(g.cfg.Service, c.Member().ID, c.Primary, limit)
}

// UpdateRecord takes in a reading of the group's record; one without a version
// means that there is none.
func (g *Group) UpdateRecord(r leadership.Record, at storetime.Timestamp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	storeNow, sentAt := at.Store, at.Earliest
	old, before := g.tracker.Record(), g.tracker.Leader()
	if at.Store > g.recordsRead.Store {
		g.recordsRead = at
	}
	changed := g.tracker.ObserveRecord(r, storeNow, sentAt)
	if r.Version != old.Version {
		g.logRecord(r)
		g.poke()
	}
	if changed {
		g.retire(before)
		g.noteLead(before, "record")
		g.suspicion.changedAt = g.cfg.Clock()
		g.suspicion.clear()
	}
	if r.Claim == nil && g.roleHint.Term > 0 && sentAt > g.roleSeen && g.tracker.ObserveRole(g.roleHint) {
		g.noteLead(before, "own_word")
		// Instances that start later need not ask the members.
		g.unrecorded = r.Version == 0
		g.poke()
		// The next reading proves the lead; this one was sent before it was known.
		g.tracker.ObserveRecord(r, storeNow, sentAt)
	}
	g.broadcast()
}

// retire asks a former primary to give up its lead: it may be reachable from
// here only, and does not learn of its successor while it is cut off from it.
func (g *Group) retire(before leadership.Leader) {
	if before.Member == "" || before.Member == g.tracker.Leader().Member || g.members[before.Member] == nil {
		return
	}
	order := statement.Control{Kind: statement.StepDown, Term: g.tracker.Leader().Term}
	go g.askAll(order, []string{before.Member}, false)
}

func (g *Group) logRecord(r leadership.Record) {
	fields := logrus.Fields{"event": "record", "version": r.Version, "lead": r.Leader.Member, "term": r.Leader.Term}
	if r.Claim != nil {
		fields["claim_holder"], fields["claim_old"] = r.Claim.Holder, r.Claim.OldLeader.Member
	}
	g.cfg.Log.WithFields(fields).Info("record of the group changed")
}

// noteLead logs a new lead and forgets what was known of the former one.
func (g *Group) noteLead(before leadership.Leader, source string) {
	g.committed = 0 // it says nothing about another lead
	g.leadMissing = 0
	g.handover.Reset()
	for _, m := range g.members {
		m.longest = position.Position{} // replicas that were ahead are rolled back
	}
	lead := g.tracker.Leader()
	g.cfg.Log.WithFields(logrus.Fields{"event": "lead", "member": lead.Member, "term": lead.Term, "before": before.Member, "source": source}).Info("primary changed")
}

// storeTime returns the store's time at the earliest, now. g.mu is held.
func (g *Group) storeTime() time.Duration {
	return g.recordsRead.Store + g.cfg.Clock() - g.recordsRead.Latest
}

// Primary returns the current lead and its upstream, or nil if it is not registered.
func (g *Group) Primary() (leadership.Leader, *upstream.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leadLocked()
}

func (g *Group) leadLocked() (leadership.Leader, *upstream.Upstream) {
	lead := g.tracker.Leader()
	if m := g.members[lead.Member]; m != nil && !m.departed {
		return lead, m.Upstream
	}
	return lead, nil
}

// ObservePosition takes in the position that came with an answer of a member to a
// statement sent at sentAt.
func (g *Group) ObservePosition(u *upstream.Upstream, p position.Position, sentAt time.Duration) {
	if p.IsZero() {
		return
	}
	u.ObservePosition(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ObservePosition(u.Member().ID, p, sentAt)
	if u.Member().ID == g.tracker.Leader().Member {
		g.suspicion.answered(g.cfg.Clock())
	}
}

// Evidence is what a decision of the group rests on, for the log and the dump.
type PrimaryState struct {
	Primary       leadership.Leader `json:"lead"`
	RecordVersion uint64            `json:"record_version"`
	// ConfirmedFor is how much longer the lead is proven; negative: how long it has
	// not been.
	ConfirmedFor time.Duration `json:"proven_for_ns"`
	// ClaimHolder is the instance that is replacing the lead, or empty.
	ClaimHolder string `json:"claim_holder,omitempty"`
	// Down means that the lead does not answer probes.
	Down bool `json:"doubted"`
}

// Evidence returns what the group knows now.
func (g *Group) PrimaryState() PrimaryState {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := PrimaryState{Primary: g.tracker.Leader(), RecordVersion: g.tracker.Record().Version, ConfirmedFor: g.tracker.ProvenUntil() - g.cfg.Clock(), Down: g.suspicion.confirmed}
	if g.tracker.Changing() {
		e.ClaimHolder = g.tracker.Record().Claim.Holder
	}
	return e
}

// PrimaryUncertain reports whether the group's record should be read more often than
// usual: its primary is being replaced, or does not answer.
func (g *Group) PrimaryUncertain() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Changing() || g.suspicion.confirmed || g.tracker.Leader().Member == "" || g.cfg.Clock() < g.doubtedUntil
}

// ConfirmedUntil returns until when the lead is proven, and starts a round of
// questions to the members if that is past.
func (g *Group) ConfirmedUntil() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := g.tracker.ProvenUntil()
	if g.tracker.Leader().Member != "" && until < g.cfg.Clock() {
		g.startRound()
	}
	return until
}

// UsedSince reports whether a caller of this instance has sent the group a request
// since then.
func (g *Group) UsedSince(at time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usedAt > at
}

// Close ends idle connections of all members.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.Close()
	}
}
