// Package membership decides which instances are alive, in the manner of SWIM:
// each instance probes one peer per period, directly and then through others,
// and spreads changes on the probe messages. It is a pure state machine: time
// is passed in, and each event returns the resulting actions.
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
	// Suspect instances did not answer and have not yet refuted it. They keep
	// their work until they are dead.
	Suspect
	// Dead instances did not refute the suspicion in time.
	Dead
)

// String returns the name of the state as it appears in logs and metrics.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[min(s, Dead)]
}

// Member is the knowledge about one instance. A higher incarnation supersedes a
// lower one; within one incarnation, a greater State supersedes a smaller one.
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
	// Checksum summarizes the instances that the sender takes for not dead.
	Checksum uint64 `json:"sum"`
}

// Config holds the settings of a Machine. Zero durations and counts select defaults.
type Config struct {
	Name          string
	FailureDomain string
	Address       string
	// Incarnation must exceed that of any earlier process of the same name, as
	// a wall-clock time in milliseconds does.
	Incarnation uint64
	// Seeds are addresses of peers to ask for the members at the start.
	Seeds []string
	// Period overrides the probe period, which otherwise depends on the
	// number of members.
	Period time.Duration
	// ProbeTimeout is the time allowed for a direct probe and for the indirect
	// ones that follow it.
	ProbeTimeout   time.Duration
	IndirectProbes int // peers asked for an indirect probe
	MaxDeltas      int // changes per message
	Rand           *rand.Rand
}

const (
	// minPeriod and maxPeriod bound the probe period; it grows by
	// periodPerMember. At 9 members a death must be noticed within 3 s; at
	// 1,800 the messages must fit into 2 KB/s.
	minPeriod       = 200 * time.Millisecond
	maxPeriod       = 500 * time.Millisecond
	periodPerMember = 2500 * time.Microsecond

	defaultProbeTimeout = 300 * time.Millisecond
	defaultIndirectVia  = 3
	defaultMaxDeltas    = 4

	// burstAbove is the number of changes to spread from which messages carry
	// burstFactor times as many, as after the loss of a failure domain. 800
	// restarts a day leave a few at a time.
	burstAbove       = 32
	burstFactor      = 4
	minTransmissions = 8

	// minSuspicion leaves a paused process time to refute.
	minSuspicion = time.Second
	// deadEvery and healingEvery are the periods between probes of dead
	// members, ordinarily and for healingTime after one has come back.
	deadEvery    = 4
	healingEvery = 2
	healingTime  = 10 * time.Second
	// deadKept is the time for which a dead member that the platform doesn't
	// list is remembered and probed; a partition may last an hour.
	deadKept = 2 * time.Hour
	// syncAfter is the time of disagreement with all peers after which the
	// complete list is fetched, and syncEvery the least time between fetches.
	syncAfter = 10 * time.Second
	syncEvery = 30 * time.Second
	// pauseLimit is the longest time between two ticks that is not taken for
	// a pause of this process.
	pauseLimit = time.Second
)

// Action is Probe, ProbeThrough, Fetch, Changed, ListedAsLeaving or AdviseLeaving.
type Action interface{}

// Probe asks to send Digest to a peer over a fresh or proven connection and to
// report ProbeAnswered or ProbeFailed with an empty via.
type Probe struct {
	Peer    string
	Address string
	Digest  Digest
}

// ProbeThrough asks to have the peer Via deliver Digest to Peer and return its
// answer, and to report ProbeAnswered or ProbeFailed with that via.
type ProbeThrough struct {
	Peer       string
	Address    string
	Via        string
	ViaAddress string
	Digest     Digest
}

// Fetch asks for the complete Members of the instance at Address, to be
// reported with Fetched. A failure needs no report.
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

// AdviseLeaving asks to tell the instance at Address that the platform lists it
// as leaving, because only a few instances read the list.
type AdviseLeaving struct{ Address string }

type peer struct {
	Member
	deadline time.Duration // end of the suspicion, or of the memory of a dead member
	sent     int           // messages that carried the current state
	hot      bool          // is in hot
	listed   bool          // in the platform's list
	inDead   bool          // is in dead
	probing  bool
	accused  bool // the present suspicion is from a probe of this instance
}

// Machine is the membership state machine of one instance. It is not safe for
// concurrent use.
//
// Invariants: only an instance itself raises its incarnation; a member becomes
// suspect only after a direct and all indirect probes have failed, and dead only
// after it was suspect for the suspicion time, here or at a peer; the platform's
// list never changes the state of a member.
type Machine struct {
	cfg       Config
	self      *peer
	peers     map[string]*peer
	ring      []*peer // probed in this order and then shuffled
	dead      []*peer
	suspects  []*peer
	hot       []*peer // members whose state is being spread, least sent first
	probes    []*probe
	live      []placement.Instance // answer of Live, nil after a change
	count     int                  // members that are not dead, this one included
	sum       uint64
	periods   int
	seed      int
	accusedAt int // place in suspects of the last repeated probe
	nextProbe time.Duration
	lastTick  time.Duration
	ticked    bool
	healing   time.Duration // end of the frequent probes of dead members
	agreed    time.Duration // last time when a peer had the same sum
	fetched   time.Duration // last fetch for synchronization
	actions   []Action
}

// New returns a Machine that knows only itself.
func New(cfg Config) *Machine {
	cfg.ProbeTimeout = cmp.Or(cfg.ProbeTimeout, defaultProbeTimeout)
	cfg.IndirectProbes = cmp.Or(cfg.IndirectProbes, defaultIndirectVia)
	cfg.MaxDeltas = cmp.Or(cfg.MaxDeltas, defaultMaxDeltas)
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(xxhash.Sum64String(cfg.Name), cfg.Incarnation))
	}
	cfg.Incarnation = max(cfg.Incarnation, 1)
	self := &peer{Member: Member{Name: cfg.Name, FailureDomain: cfg.FailureDomain, Address: cfg.Address, Incarnation: cfg.Incarnation}}
	m := &Machine{cfg: cfg, self: self, peers: make(map[string]*peer), count: 1}
	m.sum = checksum(self.Member)
	return m
}

// Self returns this instance as it announces itself.
func (m *Machine) Self() Member { return m.self.Member }

// Members returns all members that are not dead, this one included, by name.
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

// Live returns the instances to which work may be placed: those alive or
// suspect, but not leaving, this one included, by name. The slice is built anew
// after each change of a member; the caller must not change it.
func (m *Machine) Live() []placement.Instance {
	if m.live != nil {
		return m.live
	}
	var live []placement.Instance
	for _, in := range m.Members() {
		if in.State != Leaving {
			live = append(live, placement.Instance{Name: in.Name, FailureDomain: in.FailureDomain})
		}
	}
	m.live = live
	return live
}

// State returns the state of a member; ok is false for an unknown one.
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
	return min(max(time.Duration(m.count)*periodPerMember, minPeriod), maxPeriod)
}

// suspicion returns how long a member may refute: the time for the suspicion
// to reach it, which grows with the logarithm of the number of members.
func (m *Machine) suspicion() time.Duration {
	return max(m.Period()*time.Duration(4+bits.Len(uint(m.count)))/2, minSuspicion)
}

// transmissions returns how many messages carry each change. A change sent k
// times by each that knows it misses a part of e^-k of the members.
func (m *Machine) transmissions() int { return max(bits.Len(uint(m.count))+2, minTransmissions) }

// Tick starts the probe of the period and ends probes and suspicions that have
// run out. Adapters call it at least ten times a second.
func (m *Machine) Tick(now time.Duration) []Action {
	m.forgivePause(now)
	m.expireProbes(now)
	m.expireSuspects(now)
	if now >= m.nextProbe {
		m.nextProbe = now + m.Period()
		m.periods++
		m.startPeriod(now)
	}
	return m.take()
}

// forgivePause moves all deadlines after a pause of this process: its peers had
// no chance to be heard.
func (m *Machine) forgivePause(now time.Duration) {
	if !m.ticked {
		m.ticked = true
		m.agreed = now
		m.nextProbe = now + time.Duration(m.cfg.Rand.Int64N(int64(m.Period())))
	} else if pause := now - m.lastTick; pause > pauseLimit {
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
		return m.digest(from), m.take()
	}
	return m.digest(nil), m.take()
}

// Fetched handles the complete list of another instance. What it contains is
// known to others already and not spread further.
func (m *Machine) Fetched(members []Member, now time.Duration) []Action {
	for _, in := range members {
		m.apply(in, now, false)
	}
	return m.take()
}

// PlatformList handles the platform's list. Unknown names are remembered as
// addresses to probe; nothing in the list changes the state of a member.
func (m *Machine) PlatformList(list []PlatformEntry, now time.Duration) []Action {
	for _, p := range m.peers {
		p.listed = false
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
		p.listed = true
		// A live member knows its own address better than the list.
		if p.State == Dead {
			p.Address = l.Address
		}
		if l.Leaving && p.State == Alive {
			m.emit(AdviseLeaving{Address: p.Address})
		}
	}
	return m.take()
}

// Leave announces the planned stop of this instance.
func (m *Machine) Leave(now time.Duration) []Action {
	if m.self.State != Leaving {
		m.raise(m.self.Incarnation+1, Leaving)
	}
	return m.take()
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) take() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// checksum summarizes a member that is not dead. Suspicion is left out,
// because it is transient.
func checksum(in Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", in.Name, in.Incarnation))
}
