// Package group is one instance's view of one database group: who leads it,
// which member may execute a request, and how its primary is replaced. The
// decisions are those of core/primacy, core/choose and core/takeover; this
// package feeds them with answers and times.
package group

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/papayarail/papayarail/core/gateway"
	"github.com/papayarail/papayarail/core/position"
	"github.com/papayarail/papayarail/core/primacy"
	"github.com/papayarail/papayarail/core/share"
	"github.com/papayarail/papayarail/core/storetime"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/statement"
	"github.com/papayarail/papayarail/proxy/steady"
	"github.com/papayarail/papayarail/proxy/upstream"
)

// Class groups the errors of this package.
var Class = errs.Class("group")

// ErrConflict means that a record was not written because another version is stored.
var ErrConflict = errs.New("record was changed meanwhile")

// Register keeps the records of all groups in the platform's store.
type Register interface {
	// Records reads the records of all groups, by service.
	Records(ctx context.Context) (catalog.Reading[primacy.Record], error)
	// Put stores a record if the stored version is r.Version, and returns the
	// new version. After any error but ErrConflict it may have been stored, or
	// may be stored later while the condition holds.
	Put(ctx context.Context, r primacy.Record) (version uint64, storeNow time.Duration, err error)
}

// Promotion asks the platform to make a member the primary.
type Promotion struct {
	Service string
	Member  string
	Holder  string
	// Token grows with each change of holder.
	Token uint64
}

// Promoter sends promotions. The call must not reach the platform after it has
// returned. maySend is asked after the connection is open, right before sending.
type Promoter interface {
	Promote(p Promotion, maySend func() bool, timeout time.Duration) error
}

// Way runs jobs on a member through another instance, its gateway. reached is
// false if the gateway did not take the job; another way is then tried.
type Way interface {
	Execute(j upstream.Job) (r upstream.Result, reached bool)
	Open(begin statement.Statement, j upstream.Job) (tx upstream.Tx, o upstream.Opened, reached bool)
	// Confirm asks for a round of questions to the members of the service that
	// begins after the call.
	Confirm(service string) (Confirmation, error)
	// Load is the expected wait at the gateway, as it last said.
	Load() time.Duration
}

// Gateways knows which instances connect to a member.
type Gateways interface {
	// Way returns the gateway of a member with this limit of connections, or nil
	// if this instance connects to it itself.
	Way(service, member string, primary bool, limit int) Way
	// Sharers returns the number of instances that connect to the member, if
	// this instance is one of them, and otherwise 0.
	Sharers(member string, limit int) int
}

// direct is Gateways of an instance that connects to all members itself.
type direct struct{}

// Way implements Gateways.
func (direct) Way(string, string, bool, int) Way { return nil }

// Sharers implements Gateways.
func (direct) Sharers(string, int) int { return 0 }

// Config is what a Group needs. Without Gateways, the instance connects to all
// members itself.
type Config struct {
	Service       string
	Instance      string
	FailureDomain string
	Dialer        statement.Dialer
	Gateways      Gateways
	Register      Register
	Promoter      Promoter
	Clock         steady.Clock
	Log           *logrus.Entry
}

const (
	// goneAfter is how long an entry must be missing from consecutive readings
	// before its member is gone: entries that lapsed during an outage of the
	// store return within about 2 s of its end.
	goneAfter = 2500 * time.Millisecond
	// readingGap is the time without a reading of the members after which missing
	// entries may have lapsed while the store was away: their time starts anew.
	readingGap = 2200 * time.Millisecond
	// departedFor is how long a member that has left the register and does not
	// answer is kept while the primary serves: the other replicas then have every
	// commit that it acknowledged, unless they lag by more. A replica of the site
	// files lags by 2 s at most, if it hears anything.
	departedFor = 4 * time.Second
)

// Group is one database group. It is safe for concurrent use.
type Group struct {
	cfg Config

	mu      sync.Mutex
	service catalog.Service
	tracker primacy.Tracker
	members map[string]*member
	fleet   *gateway.Fleet
	changed chan struct{} // closed whenever a waiting request may go on
	// doubtedUntil is until when a gateway's doubt of the primary counts.
	doubtedUntil time.Duration

	recordsRead storetime.Stamp // of the last reading of the records
	membersRead time.Duration   // of the last reading of the members
	leadMissing time.Duration   // since when the lead is missing in readings of the members; 0 if it is not
	usedAt      time.Duration   // last request of a caller of this instance
	roleHint    primacy.Lead    // primary by its own word, until the records confirm that no change is under way
	roleSeen    time.Duration

	attempted    time.Duration     // last attempt to replace the primary; used by Run only
	committed    time.Duration     // when the last acknowledged write was sent to the lead
	acknowledged position.Position // greatest position of an acknowledged write
	unrecorded   bool              // the first lead is to be recorded
	suspicion    suspicion
	silence      silence
	rounds       rounds
	wake         chan struct{}
	finished     chan struct{}
}

type member struct {
	*upstream.Upstream
	missing time.Duration // since when its entry is missing; 0 if present
	// departed means that it has left the register. It is kept until it is known
	// to have ended, because it may acknowledge commits until then.
	departed bool
	silent   bool // it did not answer the last order
	asking   bool // a departed member is being asked whether it still runs
	// rebornFloor is the position that it must reach after a restart without
	// its log before its log counts again; zero if it does not matter.
	rebornFloor position.Position
	// longest is its greatest position under the present lead.
	longest position.Position
}

// New returns a Group without members. Run must be called for it to act.
func New(cfg Config, service catalog.Service) *Group {
	if cfg.Gateways == nil {
		cfg.Gateways = direct{}
	}
	return &Group{
		cfg: cfg, service: service,
		members: make(map[string]*member), fleet: gateway.Alone(cfg.Instance),
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

// SetFleet takes in the announced instances.
func (g *Group) SetFleet(f *gateway.Fleet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet = f
}

// policy returns the policy for connections to a member.
func (g *Group) policy(m catalog.Member) share.Policy {
	limit := g.service.Connections
	if sharers := g.cfg.Gateways.Sharers(m.ID, limit); sharers > 0 {
		return share.ForGateway(limit, m.Slots, sharers)
	}
	return share.For(limit, m.Slots, g.fleet.Size())
}

// way returns the gateway of a chosen member, or nil.
func (g *Group) way(c Choice) Way {
	g.mu.Lock()
	limit := g.service.Connections
	g.mu.Unlock()
	return g.cfg.Gateways.Way(g.cfg.Service, c.Member().ID, c.Primary, limit)
}

// Incomplete reports whether the lead or a member that is known is missing from
// the register; the group then needs each reading of the members, also one without
// changes.
func (g *Group) Incomplete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lead := g.tracker.Lead().Member; lead != "" && g.members[lead] == nil {
		return true
	}
	for _, m := range g.members {
		if m.missing != 0 {
			return true
		}
	}
	return false
}

// UpdateMembers takes in a reading of the registered members, made at readAt.
func (g *Group) UpdateMembers(all catalog.Members, readAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, m := range all {
		if m.Service == g.cfg.Service {
			g.updateMember(id, m, readAt)
		}
	}
	for id, m := range g.members {
		if entry, ok := all[id]; ok && entry.Service == g.cfg.Service {
			continue
		}
		g.updateMissing(id, m, readAt)
	}
	g.noteLeadEntry(all, readAt)
	g.membersRead = readAt
	g.broadcast()
}

// noteLeadEntry takes in whether a reading has an entry of the lead. g.mu is held.
func (g *Group) noteLeadEntry(all catalog.Members, readAt time.Duration) {
	lead := g.tracker.Lead().Member
	switch _, present := all[lead]; {
	case lead == "" || present:
		g.leadMissing = 0
	case g.leadMissing == 0 || readAt-g.membersRead > readingGap:
		g.leadMissing = readAt
	case readAt-g.leadMissing >= goneAfter:
		g.poke()
	}
}

// leadGone reports whether the lead has been missing in readings of the members
// for so long that it is gone. An instance that has just started knows the record
// before it has read the members, and entries may have lapsed.
func (g *Group) leadGone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leadMissing != 0 && g.membersRead-g.leadMissing >= goneAfter
}

// updateMissing judges a member whose entry is missing in a reading. g.mu is held.
func (g *Group) updateMissing(id string, m *member, sentAt time.Duration) {
	if m.missing == 0 || !m.departed && sentAt-g.membersRead > readingGap {
		m.missing = sentAt
	}
	if sentAt-m.missing >= goneAfter && !m.departed {
		m.departed = true
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_departed", "member": id, "missing_ms": (sentAt - m.missing).Milliseconds()}).Info("member left the register")
		g.poke()
	}
	if !m.departed || g.suspicion.since != 0 || id == g.tracker.Lead().Member {
		return
	}
	switch {
	case m.silent && sentAt-m.missing >= departedFor:
		g.drop(id, m, "primary_serves_without_it")
	case !m.asking:
		m.asking = true
		go g.askDeparted(m)
	}
}

// askDeparted finds out whether a member that has left the register still runs.
// It is asked again from its departure on, so that what is known of its silence
// when it is forgotten is no older than two time-outs.
func (g *Group) askDeparted(m *member) {
	status, gone := g.ask(m.Upstream, statement.Control{Kind: statement.AskStatus}, true)
	g.noteAnswer(m, status != nil, gone)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.asking = false
}

// drop forgets a member. g.mu is held.
func (g *Group) drop(id string, m *member, why string) {
	g.cfg.Log.WithFields(logrus.Fields{"event": "member_gone", "member": id, "reason": why}).Info("member is gone")
	delete(g.members, id)
	m.Close()
	g.poke()
}

func (g *Group) updateMember(id string, m catalog.Member, sentAt time.Duration) {
	known := g.members[id]
	if known == nil {
		known = &member{Upstream: upstream.New(m, g.policy(m), g.cfg.Dialer, g.cfg.Clock)}
		g.members[id] = known
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_joined", "member": id, "address": m.Address, "failure_domain": m.FailureDomain, "primary": m.Primary}).Info("member joined")
		g.poke()
	}
	old := known.Member()
	known.missing, known.departed = 0, false
	if old.Started != m.Started && old.Started != 0 {
		known.rebornFloor = g.tracker.Last()
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_restarted", "member": id, "floor": known.rebornFloor.String()}).Warn("member restarted without its log")
		g.poke()
	}
	if m.Draining && !old.Draining {
		g.cfg.Log.WithFields(logrus.Fields{"event": "member_draining", "member": id}).Info("member is leaving")
		g.poke()
	}
	known.Update(m, g.policy(m))
	if m.Primary && !m.Draining && g.tracker.Lead().Member == "" {
		if g.roleHint.Member != id {
			g.roleHint, g.roleSeen = primacy.Lead{Member: id}, sentAt
		}
		g.poke()
	}
}

// UpdateRecord takes in a reading of the group's record; one without a version
// means that there is none.
func (g *Group) UpdateRecord(r primacy.Record, at storetime.Stamp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	storeNow, sentAt := at.Store, at.Earliest
	old, before := g.tracker.Record(), g.tracker.Lead()
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
func (g *Group) retire(before primacy.Lead) {
	if before.Member == "" || before.Member == g.tracker.Lead().Member || g.members[before.Member] == nil {
		return
	}
	order := statement.Control{Kind: statement.GiveUpLead, Term: g.tracker.Lead().Term}
	go g.askAll(order, []string{before.Member}, false)
}

func (g *Group) logRecord(r primacy.Record) {
	fields := logrus.Fields{"event": "record", "version": r.Version, "lead": r.Lead.Member, "term": r.Lead.Term}
	if r.Claim != nil {
		fields["claim_holder"], fields["claim_old"] = r.Claim.Holder, r.Claim.Old.Member
	}
	g.cfg.Log.WithFields(fields).Info("record of the group changed")
}

// noteLead logs a new lead and forgets what was known of the former one.
func (g *Group) noteLead(before primacy.Lead, source string) {
	g.committed = 0 // it says nothing about another lead
	g.leadMissing = 0
	for _, m := range g.members {
		m.longest = position.Position{} // replicas that were ahead are rolled back
	}
	lead := g.tracker.Lead()
	g.cfg.Log.WithFields(logrus.Fields{"event": "lead", "member": lead.Member, "term": lead.Term, "before": before.Member, "source": source}).Info("primary changed")
}

// storeTime returns the store's time at the earliest, now. g.mu is held.
func (g *Group) storeTime() time.Duration {
	return g.recordsRead.Store + g.cfg.Clock() - g.recordsRead.Latest
}

// Lead returns the current lead and its upstream, or nil if it is not registered.
func (g *Group) Lead() (primacy.Lead, *upstream.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leadLocked()
}

func (g *Group) leadLocked() (primacy.Lead, *upstream.Upstream) {
	lead := g.tracker.Lead()
	if m := g.members[lead.Member]; m != nil && !m.departed {
		return lead, m.Upstream
	}
	return lead, nil
}

// Observe takes in the position that came with an answer of a member to a
// statement sent at sentAt.
func (g *Group) Observe(u *upstream.Upstream, p position.Position, sentAt time.Duration) {
	if p.IsZero() {
		return
	}
	u.NotePosition(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ObservePosition(u.Member().ID, p, sentAt)
	if u.Member().ID == g.tracker.Lead().Member {
		g.suspicion.answered(g.cfg.Clock())
	}
}

// Evidence is what a decision of the group rests on, for the log and the dump.
type Evidence struct {
	Lead          primacy.Lead `json:"lead"`
	RecordVersion uint64       `json:"record_version"`
	// ProvenFor is how much longer the lead is proven; negative: how long it has
	// not been.
	ProvenFor time.Duration `json:"proven_for_ns"`
	// ClaimHolder is the instance that is replacing the lead, or empty.
	ClaimHolder string `json:"claim_holder,omitempty"`
	// Doubted means that the lead does not answer probes.
	Doubted bool `json:"doubted"`
}

// Evidence returns what the group knows now.
func (g *Group) Evidence() Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := Evidence{Lead: g.tracker.Lead(), RecordVersion: g.tracker.Record().Version, ProvenFor: g.tracker.ProvenUntil() - g.cfg.Clock(), Doubted: g.suspicion.confirmed}
	if g.tracker.Changing() {
		e.ClaimHolder = g.tracker.Record().Claim.Holder
	}
	return e
}

// Changing reports whether the group's record should be read more often than
// usual: its primary is being replaced, or does not answer.
func (g *Group) Changing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Changing() || g.suspicion.confirmed || g.tracker.Lead().Member == "" || g.cfg.Clock() < g.doubtedUntil
}

// ProvenUntil returns until when the lead is proven, and starts a round of
// questions to the members if that is past.
func (g *Group) ProvenUntil() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := g.tracker.ProvenUntil()
	if g.tracker.Lead().Member != "" && until < g.cfg.Clock() {
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
