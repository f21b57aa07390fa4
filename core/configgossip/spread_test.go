package configgossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/papayarail/papayarail/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// Guards against deltas that do not restore the document they stand for.
func TestDeltaRestoresDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ab]{0,12}`)
		old, doc := document(1, text.Draw(t, "old")), document(2, text.Draw(t, "new"))
		raw, ok := delta(old, doc).expand([]Document{old})
		assert.Assert(t, ok)
		assert.Equal(t, string(raw), string(doc.Raw))
	})
}

// Guards against a peer's body that crashes a node or comes into force unverified.
func TestDamagedBodyIsRefusedAndFetchedAsAWhole(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	n.PlatformReadDone(0, document(1, "old"))
	next := document(2, "new")
	assert.DeepEqual(t, n.DigestReceived(0, "b", next.Digest), []Action{Fetch{"b", next.Digest, n.Current().Digest}})
	for i, b := range []FetchResponse{
		{Base: n.Current().SHA256, Prefix: 2, Suffix: 2},
		{Base: n.Current().SHA256, Prefix: -1, Suffix: 1 << 62},
		{Data: []byte("other")},
	} {
		b.Digest = next.Digest
		actions := n.FetchDone(0, "b", b)
		assert.Equal(t, n.Current().Revision, uint64(1))
		if i == 0 {
			assert.DeepEqual(t, actions, []Action{Fetch{"b", next.Digest, Digest{}}})
		}
	}
}

// Guards against a restarted node that begins with the revision of the first
// peer it hears, although another peer has a later one.
func TestRestartTakesNewestOfSeveralPeers(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	newest := document(7, "newest").Digest
	assert.Equal(t, len(n.DigestReceived(0, "b", document(5, "older").Digest)), 0)
	assert.Equal(t, len(n.DigestReceived(time.Millisecond, "c", newest)), 0)
	assert.Equal(t, len(n.DigestReceived(time.Millisecond, "d", document(6, "old").Digest)), 0)
	settled := DefaultConfig("a", "z").StartupWait
	assert.Assert(t, n.NextTick() <= settled)
	var fetches []Action
	for _, a := range n.Tick(settled) {
		if _, ok := a.(Fetch); ok {
			fetches = append(fetches, a)
		}
	}
	assert.DeepEqual(t, fetches, []Action{Fetch{Peer: "c", Want: newest}})
	assert.Equal(t, len(n.FetchFailed(settled, "c")), 0)
	older := document(6, "old").Digest
	assert.DeepEqual(t, n.DigestReceived(settled, "d", older), []Action{Fetch{Peer: "d", Want: older}}) // c may have died with revision 7
}

// Guards against a stale read that a restarted node installs, and against a
// peer that is behind and hears nothing.
func TestConsistentFirstReadAndAnswerToOlderPeer(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	assert.DeepEqual(t, n.Tick(n.NextTick())[0], ReadPlatform{Known: 0, Consistent: true})
	n.PlatformReadDone(time.Second, document(3, "x"))
	assert.DeepEqual(t, n.DigestReceived(time.Second, "b", document(2, "y").Digest), []Action{SendDigest{"b", n.Current().Digest}})
	var reads []Action
	for _, a := range n.Tick(3 * time.Second) {
		if _, ok := a.(ReadPlatform); ok {
			reads = append(reads, a)
		}
	}
	assert.DeepEqual(t, reads, []Action{ReadPlatform{Known: 3}})
	assert.Equal(t, len(n.PlatformReadDone(4*time.Second, document(2, "y"))), 0)
	assert.Equal(t, n.Current().Revision, uint64(3))
}

// Guards against a peer that missed every announcement and stays behind, and
// against one failure domain that never hears another.
func TestGossipGoesOnWithoutChanges(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	n.PeersChanged(0, []Peer{{"b", "z"}, {"c", "z"}, {"d", "y"}})
	count := map[string]int{}
	for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
		for _, a := range n.Tick(now) {
			if d, ok := a.(SendDigest); ok {
				count[d.Peer]++
			}
		}
	}
	sum := count["b"] + count["c"] + count["d"]
	assert.Assert(t, sum >= 83 && sum <= 125 && min(count["b"], count["c"], count["d"]) >= 10, "%v", count)
}

// Guards against polls at the full rate while the platform is down, and against
// a back-off that goes on after it is up.
func TestBackOff(t *testing.T) {
	n := New(DefaultConfig("a", "z"), rand.New(rand.NewPCG(1, 1)), 0)
	reads := func(from, seconds time.Duration, up bool) (count int) {
		for now := from; now < from+seconds*time.Second; now += 10 * time.Millisecond {
			for _, a := range n.Tick(now) {
				if _, ok := a.(ReadPlatform); !ok {
					continue
				}
				count++
				if up {
					n.PlatformReadDone(now, Document{})
				} else {
					n.PlatformReadFailed(now)
				}
			}
		}
		return count
	}
	assert.Assert(t, n.IsPoller())
	down := reads(0, 120, false)
	assert.Assert(t, down >= 8 && down <= 20, "%d", down)
	up := reads(2*time.Minute, 120, true)
	assert.Assert(t, up >= 90, "%d", up)
}

// Guards against a failure domain without pollers or with too many.
func TestPollersPerDomain(t *testing.T) {
	for _, size := range []int{1, 2, 3, 30} {
		f := newFleet(2, size, 1)
		f.run(0, forever)
		count := map[string]int{}
		for _, m := range f.members {
			if m.IsPoller() {
				count[m.domain]++
			}
		}
		assert.DeepEqual(t, count, map[string]int{"zone0": min(size, 3), "zone1": min(size, 3)})
	}
}

func document(revision uint64, raw string) Document {
	return Document{Digest{revision, Hash([]byte(raw))}, []byte(raw)}
}

// message is an event that is under way to a node.
type message struct {
	to      int
	from    string
	deliver func(n *Node, now time.Duration) []Action
}

// model is an adversarial network around a few nodes. Its oracle is the list
// of accepted revisions and the revision of each node before the last step.
type model struct {
	t        *rapid.T
	now      time.Duration
	nodes    []*Node
	accepted []Document // by revision
	cut      [5]bool    // nodes without links
	seen     [5]uint64
	up       bool
	stale    bool
	messages []message
	seed     uint64
}

func name(i int) string { return fmt.Sprint("node-", i) }

func index(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "node-%d", &i); err != nil {
		panic(err)
	}
	return i
}

func (m *model) start(i int) {
	m.seed++
	cfg := DefaultConfig(name(i), fmt.Sprint("zone", i%2))
	cfg.MaxBroadcastPeers, cfg.Fanout, cfg.HistoryLength, cfg.PollersPerDomain = 2, 1, 2, 1
	m.nodes[i] = New(cfg, rand.New(rand.NewPCG(m.seed, 0)), m.now)
	m.seen[i] = 0
	m.join(i)
}

func (m *model) join(i int) {
	var peers []Peer
	for j := range m.nodes {
		if j != i && (m.cut[i] || m.cut[j]) == false {
			peers = append(peers, Peer{name(j), fmt.Sprint("zone", j%2)})
		}
	}
	m.perform(i, m.nodes[i].PeersChanged(m.now, peers))
}

// perform turns actions into messages and checks each installation.
func (m *model) perform(i int, actions []Action) {
	n, self := m.nodes[i], name(i)
	for _, a := range actions {
		switch a := a.(type) {
		case Install:
			accepted := m.accepted[a.Document.Revision]
			assert.Equal(m.t, string(a.Document.Raw), string(accepted.Raw))
			assert.Assert(m.t, a.Document.Revision > m.seen[i], "node %d goes from %d to %d", i, m.seen[i], a.Document.Revision)
			m.seen[i] = a.Document.Revision
		case SendDigest:
			m.post(index(a.Peer), self, func(n *Node, now time.Duration) []Action { return n.DigestReceived(now, self, a.Digest) })
		case Fetch:
			m.ask(self, a)
		case ReadPlatform:
			m.read(i, a)
		}
	}
	assert.Equal(m.t, n.Current().Revision, m.seen[i])
}

func (m *model) post(to int, from string, deliver func(*Node, time.Duration) []Action) {
	m.messages = append(m.messages, message{to, from, deliver})
}

func (m *model) ask(from string, a Fetch) {
	m.post(index(a.Peer), from, func(peer *Node, _ time.Duration) []Action {
		b, ok := peer.AnswerFetch(a.Want, a.Have)
		m.post(index(from), a.Peer, func(n *Node, now time.Duration) []Action {
			if !ok {
				return n.FetchFailed(now, a.Peer)
			}
			return n.FetchDone(now, a.Peer, b)
		})
		return nil
	})
}

// read answers a platform read; an eventual one may return an older revision.
func (m *model) read(i int, a ReadPlatform) {
	doc := m.accepted[len(m.accepted)-1]
	if m.stale && !a.Consistent {
		doc = m.accepted[rapid.IntRange(0, len(m.accepted)-1).Draw(m.t, "stale")]
	}
	up := m.up
	m.post(i, name(i), func(n *Node, now time.Duration) []Action {
		if !up {
			return n.PlatformReadFailed(now)
		}
		return n.PlatformReadDone(now, doc)
	})
}

// deliver hands over message k unless its link is cut.
func (m *model) deliver(k int) {
	msg := m.messages[k]
	from := index(msg.from)
	if from != msg.to && (m.cut[from] || m.cut[msg.to]) {
		return
	}
	m.perform(msg.to, msg.deliver(m.nodes[msg.to], m.now))
}

func (m *model) advance(d time.Duration) {
	m.now += d
	for i, n := range m.nodes {
		if n.NextTick() <= m.now {
			m.perform(i, n.Tick(m.now))
		}
	}
}

// Guards against a node that reverts a revision, installs one that was never
// accepted, or stays behind once links and platform are back.
func TestRevisionsOnlyGrowAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, nodes: make([]*Node, 5), accepted: []Document{{}}, up: true}
		for i := range m.nodes {
			m.nodes[i] = New(DefaultConfig(name(i), "zone0"), rand.New(rand.NewPCG(0, 0)), 0)
		}
		for i := range m.nodes {
			m.start(i)
		}
		node := rapid.IntRange(0, 4)
		pick := func() int {
			if len(m.messages) == 0 {
				t.Skip("no message")
			}
			return rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
		}
		drop := func(k int) { m.messages = append(m.messages[:k:k], m.messages[k+1:]...) }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				r := uint64(len(m.accepted))
				m.accepted = append(m.accepted, document(r, fmt.Sprintf(`{"connections": %d}`, r*r*7)))
			},
			"advance":   func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
			"deliver":   func(*rapid.T) { k := pick(); m.deliver(k); drop(k) },
			"duplicate": func(*rapid.T) { m.deliver(pick()) },
			"lose":      func(*rapid.T) { drop(pick()) },
			"lose all":  func(*rapid.T) { m.messages = nil },
			"platform":  func(t *rapid.T) { m.up = rapid.Bool().Draw(t, "up"); m.stale = rapid.Bool().Draw(t, "stale") },
			"restart":   func(t *rapid.T) { m.start(node.Draw(t, "node")) },
			"cut": func(t *rapid.T) {
				i := node.Draw(t, "node")
				m.cut[i] = !m.cut[i]
				for j := range m.nodes {
					m.join(j)
				}
			},
			"": func(t *rapid.T) { m.t = t },
		})
		m.t, m.up, m.stale, m.cut = t, true, false, [5]bool{}
		for i := range m.nodes {
			m.join(i)
		}
		for range 400 { // 40 s: the longest back-off, and a few rounds of gossip
			m.advance(100 * time.Millisecond)
			for len(m.messages) > 0 {
				m.deliver(0)
				drop(0)
			}
		}
		for i, n := range m.nodes {
			assert.Equal(t, n.Current().Revision, uint64(len(m.accepted)-1), "node %d", i)
		}
	})
}
