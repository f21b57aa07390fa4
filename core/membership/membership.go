// Package membership implements gossip-based failure detection among the instances
// (SWIM): each instance probes one peer per period, directly and then through
// others, and piggybacks changes of state on the probe messages. A member is an
// instance in this package, not a database process. It is a pure state machine: times
// are passed in, and each event returns the actions to perform.
package membership

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayarail/papayarail/core/placement"
)

// State is the state of an instance as seen by another one.
type State uint8

const (
	// Alive instances answer probes.
	Alive State = iota
	// Leaving instances are alive and have announced a planned stop.
	Leaving
	// Suspect instances did not answer a probe and have not yet refuted the
	// suspicion. They keep their work until they are dead.
	Suspect
	// Dead instances did not refute the suspicion in time.
	Dead
)

// String returns the name of the state as it appears in logs and metrics.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[min(s, Dead)]
}

// Member is the state of one instance as known to another. A higher incarnation
// supersedes a lower one; within one incarnation, a greater State supersedes a
// smaller one.
type Member struct {
	Name          string `json:"name"`
	FailureDomain string `json:"domain"`
	Address       string `json:"address"`
	State         State  `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
}

// PlatformEntry is an entry of the platform's instance list.
type PlatformEntry struct {
	Name          string
	FailureDomain string
	Address       string
	Leaving       bool
}

// Digest is the message that a probe carries to a peer and its answer back.
type Digest struct {
	From   Member   `json:"from"`
	Deltas []Member `json:"deltas,omitempty"`
	// Checksum is the XOR of the checksums of all members that are not dead
	// according to the sender, the sender included.
	Checksum uint64 `json:"sum"`
}

// Config holds the settings of a Machine. Zero durations and counts select the
// defaults.
type Config struct {
	Name          string
	FailureDomain string
	Address       string
	// Incarnation must exceed that of any earlier process of the same name, as
	// a wall-clock time in milliseconds does.
	Incarnation uint64
	// Seeds are the addresses of peers that are asked for the members while no
	// other instance is known to be alive.
	Seeds []string
	// Period overrides the probe period, which otherwise depends on the
	// number of members.
	Period time.Duration
	// ProbeTimeout is the time limit of a direct probe, and again of the indirect
	// probes that follow it.
	ProbeTimeout   time.Duration
	IndirectProbes int // number of peers that are asked for an indirect probe
	MaxDeltas      int // changes per message
	Rand           *rand.Rand
}

const (
	// minPeriod and maxPeriod limit the probe period, which increases by
	// periodPerMember with each member. At 9 members a dead instance must be
	// detected within 3 s; at 1,800 the messages must fit into 2 KB/s per instance.
	minPeriod       = 200 * time.Millisecond
	maxPeriod       = 500 * time.Millisecond
	periodPerMember = 2500 * time.Microsecond

	defaultProbeTimeout   = 300 * time.Millisecond
	defaultIndirectProbes = 3
	defaultMaxDeltas      = 4

	// If more than burstThreshold changes are queued, as after the loss of a failure
	// domain, messages carry burstFactor times as many. At 800 restarts a day only
	// a few changes are queued at a time.
	burstThreshold   = 32
	burstFactor      = 4
	minTransmissions = 8 // lower bound of transmissionLimit

	// minSuspicion gives a paused process time to refute a suspicion.
	minSuspicion = time.Second
	// deadProbePeriods and healingProbePeriods are the numbers of probe periods
	// between probes of dead members: normally, and for healingDuration after a dead
	// member has come back, as after a partition.
	deadProbePeriods    = 4
	healingProbePeriods = 2
	healingDuration     = 10 * time.Second
	// deadRetention is the time for which a dead member that the platform does not
	// list is kept and probed; a partition may last an hour.
	deadRetention = 2 * time.Hour
	// syncAfter is the time without a matching checksum from any peer after which
	// the complete list is fetched; minSyncInterval is the least time between such
	// fetches.
	syncAfter       = 10 * time.Second
	minSyncInterval = 30 * time.Second
	// maxTickGap is the longest time between two ticks that does not count as a
	// pause of this process.
	maxTickGap = time.Second
)

// Action is a Probe, ProbeThrough, Fetch, Changed, ListedAsLeaving or AdviseLeaving.
type Action interface{}

// Probe requests to send Digest to a peer, over a new connection or one that is
// known to work, and to report ProbeAnswered or ProbeFailed with an empty via.
type Probe struct {
	Peer    string
	Address string
	Digest  Digest
}

// ProbeThrough requests an indirect probe: the peer Via delivers Digest to Peer and
// returns its answer. The result is reported by ProbeAnswered or ProbeFailed with
// that via.
type ProbeThrough struct {
	Peer       string
	Address    string
	Via        string
	ViaAddress string
	Digest     Digest
}

// Fetch requests the complete Members of the instance at Address, to be reported
// by Fetched. A failure need not be reported.
type Fetch struct{ Address string }

// Changed reports a new state or address of a member. Before is the earlier
// state; New is set if the member was unknown or dead.
type Changed struct {
	Member Member
	Before State
	New    bool
}

// ListedAsLeaving reports that the platform lists this instance as leaving. The
// instance decides whether to call Leave.
type ListedAsLeaving struct{}

// AdviseLeaving requests to tell the instance at Address that the platform lists it
// as leaving, because only a few instances read the list.
type AdviseLeaving struct{ Address string }

type peer struct {
	Member
	deadline         time.Duration // end of the suspicion, or of the retention of a dead member
	timesSent        int           // messages that carried the current state
	queued           bool          // is in Machine.gossipQueue
	listedByPlatform bool          // in the platform's list
	inDeadList       bool          // is in Machine.dead
	probing          bool          // a probe is outstanding
	suspectedHere    bool          // the current suspicion is from a probe of this instance
}

// Machine is the membership state machine of one instance. It is not safe for
// concurrent use.
//
// Invariants: only an instance itself increases its incarnation; a member becomes
// suspect only after a direct and all indirect probes have failed, and dead only
// after it was suspect for the suspicion timeout, here or at a peer, unless it was
// leaving; the platform's list never changes the state of a member.
type Machine struct {
	cfg          Config
	self         *peer
	peers        map[string]*peer
	probeOrder   []*peer // remaining members of the current probe round, the next one last
	dead         []*peer
	suspects     []*peer
	gossipQueue  []*peer // members whose state is being disseminated, least sent first
	probes       []*probe
	cachedLive   []placement.Instance // result of Live, nil after a change
	liveCount    int                  // members that are not dead, this one included
	listChecksum uint64               // XOR of the checksums of these members
	periods      int                  // probe periods since the start
	nextSeed     int                  // number of seeds that were asked; selects the next one
	lastReprobed int                  // index in suspects of the last repeated probe
	nextProbe    time.Duration
	lastTick     time.Duration
	started      bool
	healingUntil time.Duration // end of the frequent probes of dead members
	agreedAt     time.Duration // last time when a peer had the same checksum
	fetchedAt    time.Duration // last fetch for synchronization; 0 if none
	actions      []Action
}

// New returns a Machine that knows only itself.
func New(cfg Config) *Machine {
	cfg.ProbeTimeout = cmp.Or(cfg.ProbeTimeout, defaultProbeTimeout)
	cfg.IndirectProbes = cmp.Or(cfg.IndirectProbes, defaultIndirectProbes)
	cfg.MaxDeltas = cmp.Or(cfg.MaxDeltas, defaultMaxDeltas)
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(xxhash.Sum64String(cfg.Name), cfg.Incarnation))
	}
	cfg.Incarnation = max(cfg.Incarnation, 1)
	self := &peer{Member: Member{Name: cfg.Name, FailureDomain: cfg.FailureDomain, Address: cfg.Address, Incarnation: cfg.Incarnation}}
	m := &Machine{cfg: cfg, self: self, peers: make(map[string]*peer), liveCount: 1}
	m.listChecksum = checksum(self.Member)
	return m
}

// Self returns this instance as it announces itself.
func (m *Machine) Self() Member { return m.self.Member }

// Members returns all members that are not dead, this one included, sorted by name.
func (m *Machine) Members() []Member {
	list := []Member{m.self.Member}
	for _, p := range m.peers {
		if p.State != Dead {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Live returns the instances on which work may be placed, sorted by name: those
// that are alive or suspect, but not leaving; this one is included. The result is
// cached until a member changes; it must not be modified.
func (m *Machine) Live() []placement.Instance {
	if m.cachedLive != nil {
		return m.cachedLive
	}
	var live []placement.Instance
	for _, member := range m.Members() {
		if member.State != Leaving {
			live = append(live, placement.Instance{Name: member.Name, FailureDomain: member.FailureDomain})
		}
	}
	m.cachedLive = live
	return live
}

// State returns the state of a member; ok is false for an unknown one. A member that is
// known only from the platform's list has incarnation 0 and counts as unknown.
func (m *Machine) State(name string) (s State, ok bool) {
	if name == m.self.Name {
		return m.self.State, true
	}
	p := m.peers[name]
	if p == nil || p.Incarnation == 0 {
		return Dead, false
	}
	return p.State, true
}

// Period returns the current probe period.
func (m *Machine) Period() time.Duration {
	if m.cfg.Period > 0 {
		return m.cfg.Period
	}
	return min(max(time.Duration(m.liveCount)*periodPerMember, minPeriod), maxPeriod)
}

// suspicionTimeout returns the time in which a member can refute a suspicion: the
// time for the suspicion to reach it, which grows with the logarithm of the number
// of members.
func (m *Machine) suspicionTimeout() time.Duration {
	return max(m.Period()*time.Duration(4+bits.Len(uint(m.liveCount)))/2, minSuspicion)
}

// transmissionLimit returns how many messages of an instance carry each change. A
// change that each instance sends k times misses a share of e^-k of the members.
func (m *Machine) transmissionLimit() int {
	return max(bits.Len(uint(m.liveCount))+2, minTransmissions)
}

// Tick starts the probe of the period and ends probes and suspicions that have
// timed out. It must be called at least ten times a second.
func (m *Machine) Tick(now time.Duration) []Action {
	m.extendAfterPause(now)
	m.expireProbes(now)
	m.expireSuspects(now)
	if now >= m.nextProbe {
		m.nextProbe = now + m.Period()
		m.periods++
		m.startPeriod(now)
	}
	return m.takeActions()
}

// extendAfterPause extends all deadlines by the length of a pause of this process,
// because it could not receive answers and refutations in that time.
func (m *Machine) extendAfterPause(now time.Duration) {
	if !m.started {
		m.started = true
		m.agreedAt = now
		m.nextProbe = now + time.Duration(m.cfg.Rand.Int64N(int64(m.Period())))
	} else if pause := now - m.lastTick; pause > maxTickGap {
		for _, pr := range m.probes {
			pr.deadline += pause
		}
		for _, p := range m.suspects {
			p.deadline += pause
		}
	}
	m.lastTick = now
}

// Received handles a digest from a peer and returns the answer to it.
func (m *Machine) Received(d Digest, now time.Duration) (Digest, []Action) {
	m.merge(d, now)
	if from := m.peers[d.From.Name]; from != nil {
		return m.digest(from), m.takeActions()
	}
	return m.digest(nil), m.takeActions()
}

// Fetched handles the complete list of members of another instance. Its contents
// are already known to others and are not disseminated further.
func (m *Machine) Fetched(members []Member, now time.Duration) []Action {
	for _, member := range members {
		m.apply(member, now, false)
	}
	return m.takeActions()
}

// PlatformList handles the platform's list of instances. Unknown names are added as
// dead members to probe; nothing in the list changes the state of a member.
func (m *Machine) PlatformList(list []PlatformEntry, now time.Duration) []Action {
	for _, p := range m.peers {
		p.listedByPlatform = false
	}
	for _, l := range list {
		if l.Name == m.self.Name {
			if l.Leaving && m.self.State == Alive {
				m.emit(ListedAsLeaving{})
			}
			continue
		}
		p := m.peers[l.Name]
		if p == nil {
			p = &peer{Member: Member{Name: l.Name, FailureDomain: l.FailureDomain, State: Dead}}
			m.peers[l.Name] = p
			m.addDead(p, now)
		}
		p.listedByPlatform = true
		// The address that a live member announces is newer than the listed one.
		if p.State == Dead {
			p.Address = l.Address
		}
		if l.Leaving && p.State == Alive {
			m.emit(AdviseLeaving{Address: p.Address})
		}
	}
	return m.takeActions()
}

// Leave announces the planned stop of this instance.
func (m *Machine) Leave(now time.Duration) []Action {
	if m.self.State != Leaving {
		m.announceSelf(m.self.Incarnation+1, Leaving)
	}
	return m.takeActions()
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// checksum returns the checksum of the name and incarnation of a member that is not
// dead. The state is left out, because a suspicion is transient.
func checksum(member Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", member.Name, member.Incarnation))
}
